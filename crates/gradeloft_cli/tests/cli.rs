//! Tests that run the `gradeloft` binary and compare its output with snapshots.

use std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::Command,
};

use gradeloft_policy::version::bundle::canonical;
use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL, SIGNER, digest},
    scripted::{ScriptedServer, Step},
    weights::Version,
};
use gradeloft_wire::{border::bundle::Bundle, schema::Schema};
use rstest::rstest;

/// Creates a separate folder for a test.
fn create_folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is made");
    folder
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

/// Runs the tool in a folder; returns its arguments, output and exit code as text.
fn run(folder: &Path, env: &[(&str, String)], args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_gradeloft"))
        .args(args)
        .envs(env.iter().map(|(key, value)| (*key, value.clone())))
        .current_dir(folder)
        .output()
        .expect("the tool runs");
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    format!(
        "$ gradeloft {}\n{text}exit {}\n",
        args.join(" "),
        output.status.code().unwrap_or(-1)
    )
}

fn assert_snapshot(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"127\.0\.0\.1:\d+", "[address]");
    settings.add_filter(r"\b[0-9a-f]{64}\b", "[digest]");
    settings.add_filter(r"\b[0-9a-f]{12}\b", "[short]");
    settings.add_filter(r#""time_ms":\d+"#, r#""time_ms":0"#);
    settings.set_prepend_module_to_snapshot(false);
    settings.bind(|| insta::assert_snapshot!(name, text));
}

#[test]
fn invalid_bundles_are_refused_with_every_error() {
    let folder = create_folder("bundles");
    let good = include_str!("../../../config/bundle.yaml");
    write(&folder, "good.yaml", good);
    write(&folder, "broken.yaml", "format: [1\n");
    let unknown = good.replace("models: [bulletin]", "models: [bulletin, narrator]");
    write(
        &folder,
        "unknown.yaml",
        &unknown.replace("class: critical ", "class: urgent "),
    );
    let fields = good.replace("replicas: 12", "replicas: -1\n    colour: red");
    write(
        &folder,
        "fields.yaml",
        &fields.replace("origin_copies: 4.0", "origin_copies: 0.5"),
    );
    write(
        &folder,
        "parent.yaml",
        &good.replace("number: 1", "number: 2"),
    );
    let text: String = ["good", "broken", "unknown", "fields", "parent"]
        .iter()
        .map(|it| run(&folder, &[], &["bundle", "check", &format!("{it}.yaml")]))
        .collect();
    assert_snapshot("bundle_check", &text);
}

#[test]
fn missing_keys_and_keys_readable_by_others_are_refused() {
    let folder = create_folder("keys");
    write(
        &folder,
        "bundle.yaml",
        include_str!("../../../config/bundle.yaml"),
    );
    let sign = [
        "bundle",
        "sign",
        "bundle.yaml",
        "--key",
        "k",
        "--signer",
        "ops",
        "--out",
        "signed",
    ];
    let mut text = run(&folder, &[], &sign);
    text += &run(&folder, &[], &["keygen", "--out", "k"]);
    text += &run(&folder, &[], &["keygen", "--out", "k"]);
    fs::set_permissions(folder.join("k"), fs::Permissions::from_mode(0o644)).unwrap();
    text += &run(&folder, &[], &sign);
    fs::set_permissions(folder.join("k"), fs::Permissions::from_mode(0o600)).unwrap();
    text += &run(&folder, &[], &sign);
    write(&folder, "k", "not a key");
    text += &run(&folder, &[], &sign);
    assert_snapshot("keys", &text);
}

#[test]
fn help_and_completions_are_printed() {
    let folder = create_folder("help");
    let text =
        run(&folder, &[], &["--help"]) + &run(&folder, &[], &["bundle", "publish", "--help"]);
    assert_snapshot("help", &text);
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&folder, &[], &["completions", shell]).contains("publish"));
    }
}

#[test]
fn an_unreachable_platform_has_its_own_exit_code() {
    let folder = create_folder("down");
    let env = [
        ("GRADELOFT_LOG", "http://127.0.0.1:1".to_owned()),
        ("GRADELOFT_LIST", "http://127.0.0.1:1".to_owned()),
    ];
    let text = run(&folder, &env, &["bundle", "status"])
        + &run(&folder, &env, &["fleet", "status", "--json"])
        + &run(&folder, &env, &["bundle", "history"]);
    assert_snapshot("platform_down", &text);
}

/// Runs the tool on another thread while the fleet runs on this one.
async fn run_with_fleet(folder: &Path, env: &[(&'static str, String)], args: &[&str]) -> String {
    let (folder, env) = (folder.to_owned(), env.to_vec());
    let args: Vec<String> = args.iter().map(|it| (*it).to_owned()).collect();
    let task = actix_rt::task::spawn_blocking(move || {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        run(&folder, &env, &args)
    });
    task.await.expect("the tool ends")
}

fn to_yaml(bundle: &Bundle) -> String {
    // Canonical JSON is valid YAML.
    String::from_utf8(canonical(bundle)).expect("text")
}

#[actix_rt::test]
async fn bundles_are_published_refused_and_listed_in_the_history() {
    let folder = create_folder("day");
    let config = FleetConfig {
        entries: 1,
        engines: 2,
        services: 1,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let env = [
        ("GRADELOFT_LOG", fleet.log.url()),
        ("GRADELOFT_LIST", fleet.list.url()),
        (
            "GRADELOFT_TRUST",
            format!("{SIGNER}={}", fleet.key.public()),
        ),
    ];
    let key = write(&folder, "ops.key", &"07".repeat(32));
    fs::set_permissions(key, fs::Permissions::from_mode(0o600)).unwrap();
    let (v1, v2) = (
        Version::new(MODEL, "v1", 4, 1024),
        Version::new(MODEL, "v2", 4, 1024),
    );
    fleet.upload(&v1);
    fleet.upload(&v2);
    let first = fleet.bundle(1, None, &v1);
    let second = fleet.bundle(2, Some(digest(&first)), &v2);
    write(&folder, "first.yaml", &to_yaml(&first));
    write(&folder, "second.yaml", &to_yaml(&second));
    write(
        &folder,
        "rival.yaml",
        &to_yaml(&fleet.bundle(2, Some(digest(&first)), &v1)),
    );
    let with_key = ["--key", "ops.key", "--signer", SIGNER];
    let publish =
        |file: &'static str| [vec!["bundle", "publish", file], with_key.to_vec()].concat();

    let mut text = run_with_fleet(&folder, &env, &["bundle", "status"]).await;
    text += &run_with_fleet(&folder, &env, &["bundle", "publish", "first.yaml"]).await;
    text += &run_with_fleet(&folder, &env, &publish("first.yaml")).await;
    fleet
        .wait_until("v1 is everywhere", || fleet.is_routable(&v1))
        .await;
    text += &run_with_fleet(&folder, &env, &["fleet", "status"]).await;
    let sign = [
        vec!["bundle", "sign", "second.yaml", "--out", "second.signed"],
        with_key.to_vec(),
    ];
    text += &run_with_fleet(&folder, &env, &sign.concat()).await;
    text += &run_with_fleet(&folder, &env, &["bundle", "publish", "second.signed"]).await;
    text += &run_with_fleet(&folder, &env, &publish("rival.yaml")).await;
    text += &run_with_fleet(
        &folder,
        &env,
        &[publish("rival.yaml"), vec!["--renumber", "--json"]].concat(),
    )
    .await;
    text += &run_with_fleet(&folder, &env, &["bundle", "history"]).await;
    text += &run_with_fleet(&folder, &env, &["bundle", "status", "--json"]).await;
    assert_snapshot("operators_day", &text);
}

#[actix_rt::test]
async fn publishing_names_the_nodes_that_lag_at_the_timeout() {
    let folder = create_folder("lag");
    let config = FleetConfig {
        entries: 1,
        engines: 1,
        services: 0,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config).await.expect("the fleet starts");
    let env = [
        ("GRADELOFT_LOG", fleet.log.url()),
        ("GRADELOFT_LIST", fleet.list.url()),
        (
            "GRADELOFT_TRUST",
            format!("{SIGNER}={}", fleet.key.public()),
        ),
    ];
    // A listener that never answers replaces the agent: the address of a stopped agent could be
    // reassigned to another process.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let admin = silent.local_addr().expect("it is bound").to_string();
    fleet.engines[0].agent = None;
    fleet
        .list
        .state
        .change("engine-0", |it| it.admin = Some(admin.clone()));
    let bundle = fleet.bundle(1, None, &Version::new(MODEL, "v1", 1, 1024));
    write(
        &folder,
        "first.signed",
        &gradeloft_cli::bundles::signed_text(&fleet.key.sign(&bundle, SIGNER)),
    );
    let publish = ["bundle", "publish", "first.signed", "--wait", "1"];
    assert_snapshot("lagging", &run_with_fleet(&folder, &env, &publish).await);
}

#[actix_rt::test]
async fn a_status_from_another_instance_at_a_nodes_address_is_ignored() {
    let folder = create_folder("moved");
    let config = FleetConfig {
        entries: 1,
        engines: 1,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let env = [
        ("GRADELOFT_LOG", fleet.log.url()),
        ("GRADELOFT_LIST", fleet.list.url()),
        (
            "GRADELOFT_TRUST",
            format!("{SIGNER}={}", fleet.key.public()),
        ),
    ];
    let entry = fleet.entries[0]
        .as_ref()
        .expect("alive")
        .admin()
        .to_string();
    fleet
        .list
        .state
        .change("engine-0", |it| it.admin = Some(entry.clone()));
    let text = run_with_fleet(&folder, &env, &["fleet", "status"]).await;
    assert!(text.contains("engine-0: no answer"), "{text}");
}

#[test]
fn a_signed_bundle_file_round_trips() {
    let folder = create_folder("signed");
    let bundle: Bundle = gradeloft_wire::schema::from_yaml(
        Schema::Bundle,
        include_str!("../../../config/bundle.yaml"),
    )
    .expect("the sample");
    let key = gradeloft_policy::version::bundle::Key::new([3; 32]);
    let signed = key.sign(&bundle, "ops");
    let path = write(
        &folder,
        "signed",
        &gradeloft_cli::bundles::signed_text(&signed),
    );
    assert_eq!(
        gradeloft_cli::bundles::read_signed(&path).expect("it reads"),
        signed
    );
}

/// Starts a log or a list that sends the same bytes on each connection and closes it.
async fn start_platform(length: usize, body: &str) -> ScriptedServer {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
    let response = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
    let script = vec![Step::Read, Step::Send(response), Step::Close];
    let server = ScriptedServer::start("127.0.0.1:0", vec![script]).await;
    server.expect("the server starts")
}

const EMPTY_LOG: &str = r#"{"records":[],"oldest":0,"next":0}"#;
const NO_INSTANCES: &str = r#"{"instances":[]}"#;

/// Guards against answers that are printed as whole: no bundle in force, no node that lags.
#[rstest]
#[case::log_cut(EMPTY_LOG.len() + 9, EMPTY_LOG, NO_INSTANCES.len(), "bundle status", 4)]
#[case::list_cut(EMPTY_LOG.len(), EMPTY_LOG, NO_INSTANCES.len() + 9, "bundle status", 4)]
#[case::history_cut(EMPTY_LOG.len() + 9, EMPTY_LOG, NO_INSTANCES.len(), "bundle history", 4)]
#[case::fleet_cut(EMPTY_LOG.len(), EMPTY_LOG, NO_INSTANCES.len() + 9, "fleet status", 4)]
#[case::records_missing(
    34, r#"{"records":[],"oldest":0,"next":5}"#, NO_INSTANCES.len(), "bundle status", 4
)]
#[case::records_deleted(
    34, r#"{"records":[],"oldest":5,"next":5}"#, NO_INSTANCES.len(), "bundle status", 0
)]
#[case::no_instances(EMPTY_LOG.len(), EMPTY_LOG, NO_INSTANCES.len(), "fleet status", 1)]
#[actix_rt::test]
async fn an_answer_that_is_cut_or_lacks_its_content_is_no_success(
    #[case] log_length: usize,
    #[case] log: &str,
    #[case] list_length: usize,
    #[case] command: &str,
    #[case] exit_code: i32,
) {
    let folder = create_folder("partial");
    let log = start_platform(log_length, log).await;
    let list = start_platform(list_length, NO_INSTANCES).await;
    let env = [
        ("GRADELOFT_LOG", format!("http://{}", log.address)),
        ("GRADELOFT_LIST", format!("http://{}", list.address)),
    ];
    let args: Vec<&str> = command.split(' ').collect();
    let text = run_with_fleet(&folder, &env, &args).await;
    assert!(text.ends_with(&format!("exit {exit_code}\n")), "{text}");
}

/// Guards against a bundle that is reported in force although no node was seen.
#[actix_rt::test]
async fn a_bundle_is_in_force_on_no_node_if_none_is_listed() {
    let folder = create_folder("alone");
    let config = FleetConfig {
        entries: 0,
        engines: 0,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let env = [
        ("GRADELOFT_LOG", fleet.log.url()),
        ("GRADELOFT_LIST", fleet.list.url()),
        (
            "GRADELOFT_TRUST",
            format!("{SIGNER}={}", fleet.key.public()),
        ),
    ];
    let bundle = fleet.bundle(1, None, &Version::new(MODEL, "v1", 1, 1024));
    let signed = gradeloft_cli::bundles::signed_text(&fleet.key.sign(&bundle, SIGNER));
    write(&folder, "first.signed", &signed);
    let publish = ["bundle", "publish", "first.signed", "--wait", "1"];
    let text = run_with_fleet(&folder, &env, &publish).await;
    assert!(text.ends_with("exit 3\n"), "{text}");
}

/// Guards against a log that is printed as empty or as whole although its answer is cut.
#[rstest]
#[case::length("Content-Length: 34\r\n\r\n", "")]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n22\r\n", "\r\n0\r\n\r\n")]
#[actix_rt::test]
async fn an_answer_that_is_cut_at_any_byte_is_no_success(
    #[case] before: &str,
    #[case] after: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let folder = create_folder("cut");
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    let answer = format!("{head}{before}{EMPTY_LOG}{after}");
    let cut = |at| vec![Step::Read, Step::Send(answer[..at].to_owned()), end.clone()];
    let scripts = (0..=answer.len()).map(cut).collect();
    let server = ScriptedServer::start("127.0.0.1:0", scripts).await;
    let log = server.expect("the server starts");
    let list = start_platform(NO_INSTANCES.len(), NO_INSTANCES).await;
    let env = [
        ("GRADELOFT_LOG", format!("http://{}", log.address)),
        ("GRADELOFT_LIST", format!("http://{}", list.address)),
    ];
    for at in 0..answer.len() {
        let text = run_with_fleet(&folder, &env, &["bundle", "history"]).await;
        assert!(
            text.ends_with("exit 4\n"),
            "{at} of {}: {text}",
            answer.len()
        );
        assert_eq!(log.recording.borrow().connections, at + 1);
    }
    if end == Step::Close {
        let text = run_with_fleet(&folder, &env, &["bundle", "history"]).await;
        assert!(text.ends_with("exit 0\n"), "{text}");
    }
}
