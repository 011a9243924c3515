//! Settings: the sample files load, and all faults of an invalid file are reported.

mod support;

use std::{fs, path::Path, process::Command};

use gradeloft_daemon::settings;
use gradeloft_policy::version::bundle;
use gradeloft_wire::border::settings::{Limits, Role};
use rstest::rstest;
use support::golden;

fn sample(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../config")
        .join(name);
    fs::read_to_string(path).expect("the sample is there")
}

#[test]
fn sample_files_load_with_default_values() {
    let entry = settings::parse(&sample("entry.yaml")).expect("the entry's sample");
    assert_eq!(entry.role, Role::Entry);
    assert_eq!(entry.limits, Some(Limits::default()));
    assert_eq!(entry.entry, Some(Default::default()));
    let agent = settings::parse(&sample("agent.yaml")).expect("the agent's sample");
    assert_eq!(agent.role, Role::Agent);
    bundle::parse(&sample("bundle.yaml")).expect("the bundle's sample");
}

/// Runs `gradeloftd check` on a file and returns its exit code and output.
fn check(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{name}.yaml"));
    fs::write(&path, text).expect("the file is written");
    run(&path)
}

fn run(path: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_gradeloftd"))
        .args(["check", "--settings"])
        .arg(path)
        .output()
        .expect("the daemon runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text);
    let folder = path.parent().expect("a folder").display().to_string();
    format!(
        "exit {:?}\n{}",
        output.status.code(),
        text.replace(&folder, "[folder]")
    )
}

#[rstest]
#[case::broken_yaml("broken_yaml", "role: [entry\nnode: {")]
#[case::not_a_map("not_a_map", "- 1\n- 2\n")]
#[case::many_faults(
    "many_faults",
    "role: boss\nnode: {id: 'Bad Name', zone: z, region: r, rack: 7}\nlisten: {peer: '1.2.3.4:99999', \
     admin: nowhere}\nplatform: {log: 'ftp://x', list: 'http://l', store: 'http://s', origin: \
     'http://o'}\npublishers: []\nlimits: {idle_ms: 1, body_bytes: lots}\n"
)]
fn all_faults_of_an_invalid_file_are_reported(#[case] name: &str, #[case] text: &str) {
    golden(&format!("settings_{name}"), &check(name, text));
}

#[test]
fn faults_beyond_the_schema_are_reported_together() {
    let text = sample("agent.yaml")
        .replace("kind: engine", "kind: service")
        .replace("127.0.0.1:7401", "127.0.0.1:70000")
        .replace("3b6a27bcceb6", "ffffffffffff");
    golden("settings_beyond_the_schema", &check("beyond", &text));
    let wrong_part = "role: entry\nnode: {id: a, zone: z, region: r}\nlisten: {peer: '127.0.0.1:1', admin: \
                   '127.0.0.1:2'}\nplatform: {log: 'http://a', list: 'http://b', store: 'http://c', \
                   origin: 'http://d'}\npublishers: [{name: ops, key: \
                   3b6a27bcceb6a42d62a3a8d02a6f0d73653215771de243a63ac048a18b59da29}]\nagent: \
                   {endpoint: {kind: engine, url: 'http://e'}}\n";
    golden("settings_wrong_part", &check("wrong_part", wrong_part));
}

#[test]
fn missing_file_is_named_in_the_error() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("missing.yaml");
    golden("settings_missing_file", &run(&path));
}

#[test]
fn role_mismatch_is_rejected() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("role.yaml");
    fs::write(&path, sample("entry.yaml")).expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_gradeloftd"))
        .args(["agent", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/role: entry, but agent"));
}
