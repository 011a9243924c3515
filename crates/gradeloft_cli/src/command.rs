//! The commands and what they print.

use std::{
    io::{self, IsTerminal, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use gradeloft_cli::{
    bundles, diff,
    fleet::{self, Member},
    history::History,
    keys,
    publish::{self, Failure, Progress},
};
use gradeloft_daemon::settings;
use gradeloft_platform::{
    Fault,
    list::{self, List},
    log::{self, Log},
};
use gradeloft_policy::version::bundle::{Publisher, canonical};
use gradeloft_wire::{border::bundle::Bundle, id::Digest, record::SignedBundle};
use serde_json::{Value, json};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// How a command ended; the exit code is documented in the help.
enum Ending {
    Done = 0,
    Refused = 1,
    BadInput = 2,
    NotEverywhere = 3,
    Unreachable = 4,
}

/// What a command prints.
struct Output {
    ending: Ending,
    text: String,
    json: Value,
}

impl Output {
    fn done(text: impl Into<String>, json: Value) -> Output {
        Output {
            ending: Ending::Done,
            text: text.into(),
            json,
        }
    }

    fn failed(ending: Ending, error: impl Into<String>) -> Output {
        let text = error.into();
        let json = json!({ "error": text });
        Output { ending, text, json }
    }
}

/// The operators' tool of gradeloft.
///
/// Exit codes: 0 done; 1 refused or not healthy; 2 bad input; 3 published, but not in force
/// everywhere in time; 4 the platform can't be reached.
#[derive(Debug, Parser)]
#[command(
    name = "gradeloft",
    version,
    after_help = "Examples:\n  gradeloft keygen --out operator.key\n  gradeloft bundle check bundle.yaml\n  gradeloft bundle publish bundle.yaml --key operator.key --signer ops --renumber\n  gradeloft fleet status --json"
)]
pub(crate) struct Args {
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Work with bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Look at the fleet.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Make a key that signs bundles; prints its public part.
    #[command(after_help = "Example:\n  gradeloft keygen --out operator.key")]
    Keygen {
        /// File for the key; must not exist.
        #[arg(long)]
        out: PathBuf,
    },
    /// Work with settings of the daemon.
    #[command(subcommand)]
    Settings(SettingsCommand),
}

#[derive(Debug, Subcommand)]
enum BundleCommand {
    /// Check a bundle and report every fault in it.
    #[command(after_help = "Example:\n  gradeloft bundle check bundle.yaml")]
    Check {
        /// The bundle, in YAML.
        file: PathBuf,
    },
    /// Show everything that was published, who signed it and what became of it.
    History(Platform),
    /// Publish a bundle and wait until it is in force on every node.
    #[command(
        after_help = "Examples:\n  gradeloft bundle publish bundle.yaml --key operator.key --signer ops\n  gradeloft bundle publish bundle.signed"
    )]
    Publish {
        /// The bundle, in YAML; or, without --key, a file that `bundle sign` made.
        file: PathBuf,
        #[command(flatten)]
        signing: Signing,
        /// Take number and parent from the bundle in force instead of from the file.
        #[arg(long, requires = "key")]
        renumber: bool,
        /// Seconds to wait until it is in force everywhere; 0 does not wait.
        #[arg(long, default_value_t = 30)]
        wait: u64,
        #[command(flatten)]
        platform: Platform,
    },
    /// Sign a bundle.
    #[command(
        after_help = "Example:\n  gradeloft bundle sign bundle.yaml --key operator.key --signer ops --out bundle.signed"
    )]
    Sign {
        /// The bundle, in YAML.
        file: PathBuf,
        #[command(flatten)]
        signing: Signing,
        /// File for the signed bundle.
        #[arg(long)]
        out: PathBuf,
    },
    /// Show the bundle in force and the nodes that lag behind it.
    Status(Platform),
}

#[derive(Debug, Subcommand)]
enum FleetCommand {
    /// Show every node: bundle, versions and their phases.
    Status(Platform),
}

#[derive(Debug, Subcommand)]
enum SettingsCommand {
    /// Check a settings file and report every fault in it.
    Check {
        /// The settings, in YAML.
        file: PathBuf,
    },
}

#[derive(clap::Args, Debug)]
struct Signing {
    /// File of the signing key.
    #[arg(long, requires = "signer")]
    key: Option<PathBuf>,
    /// Name of the publisher whose key it is.
    #[arg(long, requires = "key")]
    signer: Option<String>,
}

#[derive(clap::Args, Debug)]
struct Platform {
    /// Base URL of the log.
    #[arg(long, env = "GRADELOFT_LOG")]
    log: String,
    /// Base URL of the list of instances.
    #[arg(long, env = "GRADELOFT_LIST")]
    list: String,
    /// Publisher trusted before any bundle, as NAME=PUBLIC-KEY; may stand more than once.
    #[arg(long, env = "GRADELOFT_TRUST", value_delimiter = ',', value_parser = publisher)]
    trust: Vec<Publisher>,
}

fn publisher(text: &str) -> Result<Publisher, String> {
    let (name, key) = text.split_once('=').ok_or("NAME=PUBLIC-KEY is expected")?;
    Publisher::new(name, key).ok_or_else(|| "the key is no ed25519 public key in hex".to_owned())
}

impl Platform {
    fn log(&self) -> Rc<dyn Log> {
        Rc::new(log::Http::new(&self.log, PLATFORM_TIMEOUT))
    }

    fn list(&self) -> Rc<dyn List> {
        Rc::new(list::Http::new(&self.list, PLATFORM_TIMEOUT))
    }
}

/// Runs a command and prints what it gives.
pub(crate) async fn run(args: Args) -> ExitCode {
    let output = match args.command {
        Command::Bundle(it) => bundle(it, args.json).await,
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "gradeloft", &mut text);
            let text = String::from_utf8_lossy(&text).into_owned();
            Output::done(text.clone(), json!({ "completions": text }))
        }
        Command::Fleet(FleetCommand::Status(platform)) => fleet_status(&platform).await,
        Command::Keygen { out } => keygen(&out),
        Command::Settings(SettingsCommand::Check { file }) => check_settings(&file),
    };
    print(&output, args.json);
    ExitCode::from(output.ending as u8)
}

fn print(output: &Output, as_json: bool) {
    let text = if as_json {
        output.json.to_string()
    } else {
        output.text.clone()
    };
    let failed = output.json.get("error").is_some();
    if failed && !as_json {
        eprintln!("{}", text.trim_end());
    } else {
        println!("{}", text.trim_end());
    }
}

async fn bundle(command: BundleCommand, as_json: bool) -> Output {
    match command {
        BundleCommand::Check { file } => check_bundle(&file),
        BundleCommand::History(platform) => history(&platform).await,
        BundleCommand::Publish {
            file,
            signing,
            renumber,
            wait,
            platform,
        } => {
            let wait = Duration::from_secs(wait);
            publish(&file, &signing, renumber, wait, &platform, as_json).await
        }
        BundleCommand::Sign { file, signing, out } => sign(&file, &signing, &out),
        BundleCommand::Status(platform) => bundle_status(&platform).await,
    }
}

fn keygen(out: &Path) -> Output {
    match keys::generate(out) {
        Ok(key) => {
            let public = key.public();
            Output::done(
                format!("public key {public}"),
                json!({ "public_key": public }),
            )
        }
        Err(fault) => Output::failed(Ending::BadInput, format!("{}: {fault}", out.display())),
    }
}

fn check_settings(file: &Path) -> Output {
    match settings::read(file) {
        Ok(settings) => {
            let text = format!("{}: ok, role {}", file.display(), settings.role);
            Output::done(text, json!({ "ok": true }))
        }
        Err(invalid) => Output::failed(Ending::BadInput, invalid.to_string()),
    }
}

fn check_bundle(file: &Path) -> Output {
    match bundles::read(file) {
        Ok(bundle) => {
            let digest = Digest::of(&canonical(&bundle));
            let text = format!("{}: ok, number {}, {digest}", file.display(), bundle.number);
            Output::done(
                text,
                json!({ "number": bundle.number, "digest": digest.to_string() }),
            )
        }
        Err(invalid) => Output::failed(Ending::BadInput, invalid.to_string()),
    }
}

fn sign(file: &Path, signing: &Signing, out: &Path) -> Output {
    let bundle = match bundles::read(file) {
        Ok(bundle) => bundle,
        Err(invalid) => return Output::failed(Ending::BadInput, invalid.to_string()),
    };
    let signed = match signed(&bundle, signing) {
        Ok(Some(signed)) => signed,
        Ok(None) => return Output::failed(Ending::BadInput, "--key and --signer are needed"),
        Err(why) => return Output::failed(Ending::BadInput, why),
    };
    if let Err(error) = std::fs::write(out, bundles::signed_text(&signed)) {
        return Output::failed(Ending::BadInput, format!("{}: {error}", out.display()));
    }
    let digest = signed.digest().to_string();
    Output::done(format!("signed {digest}"), json!({ "digest": digest }))
}

fn signed(bundle: &Bundle, signing: &Signing) -> Result<Option<SignedBundle>, String> {
    let (Some(path), Some(signer)) = (&signing.key, &signing.signer) else {
        return Ok(None);
    };
    let key = keys::read(path).map_err(|it| format!("{}: {it}", path.display()))?;
    Ok(Some(key.sign(bundle, signer)))
}

async fn publish(
    file: &Path,
    signing: &Signing,
    renumber: bool,
    wait: Duration,
    platform: &Platform,
    as_json: bool,
) -> Output {
    let log = platform.log();
    let history = match History::read(&*log, &platform.trust).await {
        Ok(history) => history,
        Err(fault) => return unreachable("log", &fault),
    };
    let signed = if signing.key.is_none() {
        bundles::read_signed(file).map_err(|it| it.to_string())
    } else {
        prepare(file, signing, renumber, &history)
    };
    let signed = match signed {
        Ok(signed) => signed,
        Err(why) => return Output::failed(Ending::BadInput, why),
    };
    show_changes(&history, &signed, as_json);
    let number = match publish::publish(&*log, &platform.trust, &signed).await {
        Ok(number) => number,
        Err(failure @ Failure::Refused(_)) => {
            return Output::failed(Ending::Refused, failure.to_string());
        }
        Err(failure @ Failure::Log(_)) => {
            return Output::failed(Ending::Unreachable, failure.to_string());
        }
    };
    wait_in_force(&platform.list(), number, wait, as_json).await
}

fn prepare(
    file: &Path,
    signing: &Signing,
    renumber: bool,
    history: &History,
) -> Result<SignedBundle, String> {
    let mut bundle = bundles::read(file).map_err(|it| it.to_string())?;
    if renumber {
        bundle.number = history.chain.number() + 1;
        bundle.parent = history.chain.head().map(|it| it.digest.to_string());
    }
    let signed = signed(&bundle, signing)?;
    signed.ok_or_else(|| "--key and --signer are needed".to_owned())
}

fn show_changes(history: &History, signed: &SignedBundle, as_json: bool) {
    let Ok(new) = gradeloft_policy::version::bundle::parse_canonical(&signed.payload) else {
        return;
    };
    if as_json {
        return;
    }
    for line in diff::lines(history.chain.head().map(|it| &it.bundle), &new) {
        println!("{line}");
    }
}

async fn wait_in_force(list: &Rc<dyn List>, number: u64, wait: Duration, as_json: bool) -> Output {
    if wait.is_zero() {
        return Output::done(
            format!("number {number} accepted"),
            json!({ "number": number }),
        );
    }
    let live = io::stderr().is_terminal() && !as_json;
    let result = publish::in_force(list, number, wait, |it| show_progress(it, live)).await;
    if live {
        eprintln!();
    }
    let progress = match result {
        Ok(progress) => progress,
        Err(fault) => return unreachable("list", &fault),
    };
    let Progress {
        reached,
        nodes,
        lagging,
    } = progress;
    let json = json!({ "number": number, "reached": reached, "nodes": nodes, "lagging": lagging });
    if lagging.is_empty() {
        return Output::done(format!("number {number} in force on {reached} nodes"), json);
    }
    let text = format!(
        "number {number} accepted, in force on {reached} of {nodes} nodes; lagging: {}",
        lagging.join(", ")
    );
    Output {
        ending: Ending::NotEverywhere,
        text,
        json,
    }
}

fn show_progress(progress: &Progress, live: bool) {
    if live {
        eprint!(
            "\rin force on {} of {} nodes ",
            progress.reached, progress.nodes
        );
        let _ = io::stderr().flush();
    }
}

async fn history(platform: &Platform) -> Output {
    let history = match History::read(&*platform.log(), &platform.trust).await {
        Ok(history) => history,
        Err(fault) => return unreachable("log", &fault),
    };
    let lines: Vec<String> = history
        .published
        .iter()
        .map(|it| {
            let note = it.note.as_deref().unwrap_or_default();
            let digest = &it.digest[..12];
            format!(
                "{:>6} {digest} by {}: {} {note}",
                it.number, it.signer, it.verdict
            )
        })
        .collect();
    Output::done(lines.join("\n"), json!({ "published": history.published }))
}

async fn bundle_status(platform: &Platform) -> Output {
    let history = match History::read(&*platform.log(), &platform.trust).await {
        Ok(history) => history,
        Err(fault) => return unreachable("log", &fault),
    };
    let members = match fleet::status(&platform.list()).await {
        Ok(members) => members,
        Err(fault) => return unreachable("list", &fault),
    };
    let Some(head) = history.chain.head() else {
        return Output::done("no bundle is in force", json!({ "number": 0 }));
    };
    let number = head.bundle.number;
    let behind = |it: &&Member| it.counts() && it.bundle() < number;
    let lagging: Vec<&str> = members
        .iter()
        .filter(behind)
        .map(|it| it.instance.id.as_str())
        .collect();
    let text = format!(
        "number {number}, {}, signed by {}; lagging: {}",
        head.digest,
        head.signed.signer,
        if lagging.is_empty() {
            "none".to_owned()
        } else {
            lagging.join(", ")
        }
    );
    let json = json!({
        "number": number,
        "digest": head.digest.to_string(),
        "signer": head.signed.signer,
        "lagging": lagging,
    });
    Output::done(text, json)
}

async fn fleet_status(platform: &Platform) -> Output {
    let members = match fleet::status(&platform.list()).await {
        Ok(members) => members,
        Err(fault) => return unreachable("list", &fault),
    };
    let lines: Vec<String> = members.iter().map(line).collect();
    let healthy = members.iter().filter(|it| it.counts()).all(healthy);
    let json = json!({ "healthy": healthy, "nodes": members });
    let ending = if healthy {
        Ending::Done
    } else {
        Ending::Refused
    };
    Output {
        ending,
        text: lines.join("\n"),
        json,
    }
}

fn healthy(member: &Member) -> bool {
    let Some(status) = &member.status else {
        return false;
    };
    status.ready && status.versions.iter().all(|it| it.fault.is_none())
}

fn line(member: &Member) -> String {
    let id = &member.instance.id;
    let Some(status) = &member.status else {
        return format!("{id}: no answer");
    };
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let versions: Vec<String> = status
        .versions
        .iter()
        .map(|it| {
            let fault = it
                .fault
                .as_ref()
                .map(|it| format!(" ({it})"))
                .unwrap_or_default();
            format!("{}/{} {}{fault}", it.model, it.version, it.phase)
        })
        .collect();
    let bundle = member.bundle();
    format!(
        "{id}: {} in {}, {state}, bundle {bundle}; {}",
        status.role,
        status.zone,
        versions.join(", ")
    )
}

fn unreachable(service: &str, fault: &Fault) -> Output {
    Output::failed(
        Ending::Unreachable,
        format!("the {service} can't be used: {fault}"),
    )
}
