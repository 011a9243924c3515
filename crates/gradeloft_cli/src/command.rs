//! Runs the commands and prints their output.

use std::{
    fs,
    io::{self, IsTerminal, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use clap::CommandFactory;
use gradeloft_cli::{
    bundles, diff, explain,
    fleet::{self, Member},
    history::History,
    keys,
    publish::{self, Progress, PublishError},
    traffic,
};
use gradeloft_daemon::settings;
use gradeloft_platform::{Fault, list::InstanceList};
use gradeloft_policy::version::bundle::canonical;
use gradeloft_wire::{border::bundle::Bundle, id::Digest, record::SignedBundle};
use serde_json::{Value, json};

use crate::args::{Args, BundleCommand, Command, FleetCommand, Platform, SettingsCommand, Signing};

/// Exit codes of the commands, as documented in the help.
enum ExitStatus {
    Success = 0,
    Refused = 1,
    BadInput = 2,
    Lagging = 3,
    Unreachable = 4,
}

/// Exit status and output of a command.
struct Output {
    exit_status: ExitStatus,
    text: String,
    json: Value,
}

impl Output {
    fn success(text: impl Into<String>, json: Value) -> Output {
        Output {
            exit_status: ExitStatus::Success,
            text: text.into(),
            json,
        }
    }

    fn failed(exit_status: ExitStatus, error: impl Into<String>) -> Output {
        let text = error.into();
        let json = json!({ "error": text });
        Output {
            exit_status,
            text,
            json,
        }
    }
}

/// Runs a command, prints its output and returns the exit code.
pub(crate) async fn run(args: Args) -> ExitCode {
    let output = match args.command {
        Command::Bundle(it) => bundle(it, args.json).await,
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "gradeloft", &mut text);
            let text = String::from_utf8_lossy(&text).into_owned();
            Output::success(text.clone(), json!({ "completions": text }))
        }
        Command::Explain { request, logs } => explain_request(&request, &logs),
        Command::Fleet(FleetCommand::Status(platform)) => fleet_status(&platform).await,
        Command::Keygen { out } => keygen(&out),
        Command::Settings(SettingsCommand::Check { file }) => check_settings(&file),
        Command::Traffic { logs } => show_traffic(&logs),
    };
    print(&output, args.json);
    ExitCode::from(output.exit_status as u8)
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

/// Reads and concatenates log files.
fn read_logs(logs: &[PathBuf]) -> Result<String, Output> {
    let mut text = String::new();
    for path in logs {
        let content = fs::read(path).map_err(|error| {
            let error = format!("{}: {error}", path.display());
            Output::failed(ExitStatus::BadInput, error)
        })?;
        text.push_str(&String::from_utf8_lossy(&content));
        text.push('\n');
    }
    Ok(text)
}

fn show_traffic(logs: &[PathBuf]) -> Output {
    let text = match read_logs(logs) {
        Ok(text) => text,
        Err(output) => return output,
    };
    let found = traffic::sum(text.lines());
    if found.processes == 0 {
        return Output::failed(ExitStatus::Refused, "the logs contain no traffic lines");
    }
    let mut shown = format!("{} processes\n", found.processes);
    let tables = [
        ("bytes", &found.bytes),
        ("store calls", &found.store_calls),
        ("requests without a replica", &found.refused),
    ];
    for (title, rows) in tables {
        shown.push_str(&format!("{title}\n"));
        for (name, count) in rows {
            shown.push_str(&format!("  {name:<16} {count:>14}\n"));
        }
    }
    Output::success(shown, json!(found))
}

fn explain_request(request: &str, logs: &[PathBuf]) -> Output {
    let text = match read_logs(logs) {
        Ok(text) => text,
        Err(output) => return output,
    };
    let found = explain::explain(text.lines(), request);
    if found.endings.is_empty() {
        let error = format!(
            "no log line for request {request} in {} lines; the processes left out {} lines",
            found.lines, found.left_out
        );
        return Output::failed(ExitStatus::Refused, error);
    }
    let mut shown = String::new();
    for outcome in &found.endings {
        shown.push_str(&format!("at {}\n", outcome.node));
        for step in &outcome.steps {
            shown.push_str(&format!("  {step}\n"));
        }
    }
    if !found.related.is_empty() {
        shown.push_str("lines about its replicas\n");
    }
    for line in &found.related {
        shown.push_str(&format!("  {line}\n"));
    }
    let json = serde_json::to_value(&found).unwrap_or_default();
    Output::success(shown, json)
}

fn keygen(out: &Path) -> Output {
    match keys::generate(out) {
        Ok(key) => {
            let public = key.public();
            Output::success(
                format!("public key {public}"),
                json!({ "public_key": public }),
            )
        }
        Err(fault) => Output::failed(ExitStatus::BadInput, format!("{}: {fault}", out.display())),
    }
}

fn check_settings(file: &Path) -> Output {
    match settings::read(file) {
        Ok(settings) => {
            let text = format!("{}: ok, role {}", file.display(), settings.role);
            Output::success(text, json!({ "ok": true }))
        }
        Err(invalid) => Output::failed(ExitStatus::BadInput, invalid.to_string()),
    }
}

fn check_bundle(file: &Path) -> Output {
    match bundles::read(file) {
        Ok(bundle) => {
            let digest = Digest::of(&canonical(&bundle));
            let text = format!("{}: ok, number {}, {digest}", file.display(), bundle.number);
            Output::success(
                text,
                json!({ "number": bundle.number, "digest": digest.to_string() }),
            )
        }
        Err(invalid) => Output::failed(ExitStatus::BadInput, invalid.to_string()),
    }
}

fn sign(file: &Path, signing: &Signing, out: &Path) -> Output {
    let bundle = match bundles::read(file) {
        Ok(bundle) => bundle,
        Err(invalid) => return Output::failed(ExitStatus::BadInput, invalid.to_string()),
    };
    let signed = match sign_bundle(&bundle, signing) {
        Ok(Some(signed)) => signed,
        Ok(None) => return Output::failed(ExitStatus::BadInput, "--key and --signer are needed"),
        Err(error) => return Output::failed(ExitStatus::BadInput, error),
    };
    if let Err(error) = std::fs::write(out, bundles::signed_text(&signed)) {
        return Output::failed(ExitStatus::BadInput, format!("{}: {error}", out.display()));
    }
    let digest = signed.digest().to_string();
    Output::success(format!("signed {digest}"), json!({ "digest": digest }))
}

fn sign_bundle(bundle: &Bundle, signing: &Signing) -> Result<Option<SignedBundle>, String> {
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
        read_and_sign(file, signing, renumber, &history)
    };
    let signed = match signed {
        Ok(signed) => signed,
        Err(error) => return Output::failed(ExitStatus::BadInput, error),
    };
    show_changes(&history, &signed, as_json);
    let number = match publish::publish(&*log, &platform.trust, &signed).await {
        Ok(number) => number,
        Err(failure @ PublishError::Refused(_)) => {
            return Output::failed(ExitStatus::Refused, failure.to_string());
        }
        Err(failure @ PublishError::Log(_)) => {
            return Output::failed(ExitStatus::Unreachable, failure.to_string());
        }
    };
    wait_until_in_force(&platform.list(), number, wait, as_json).await
}

fn read_and_sign(
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
    let signed = sign_bundle(&bundle, signing)?;
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

async fn wait_until_in_force(
    list: &Rc<dyn InstanceList>,
    number: u64,
    wait: Duration,
    as_json: bool,
) -> Output {
    if wait.is_zero() {
        return Output::success(
            format!("number {number} accepted"),
            json!({ "number": number }),
        );
    }
    let interactive = io::stderr().is_terminal() && !as_json;
    let result =
        publish::wait_until_in_force(list, number, wait, |it| show_progress(it, interactive)).await;
    if interactive {
        eprintln!();
    }
    let progress = match result {
        Ok(progress) => progress,
        Err(fault) => return unreachable("list", &fault),
    };
    let is_complete = progress.is_complete();
    let Progress {
        reached,
        nodes,
        lagging,
    } = progress;
    let json = json!({ "number": number, "reached": reached, "nodes": nodes, "lagging": lagging });
    if is_complete {
        return Output::success(format!("number {number} in force on {reached} nodes"), json);
    }
    let text = format!(
        "number {number} accepted, in force on {reached} of {nodes} nodes; lagging: {}",
        lagging.join(", ")
    );
    Output {
        exit_status: ExitStatus::Lagging,
        text,
        json,
    }
}

fn show_progress(progress: &Progress, interactive: bool) {
    if interactive {
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
    Output::success(lines.join("\n"), json!({ "published": history.published }))
}

async fn bundle_status(platform: &Platform) -> Output {
    let history = match History::read(&*platform.log(), &platform.trust).await {
        Ok(history) => history,
        Err(fault) => return unreachable("log", &fault),
    };
    let members = match fleet::fetch_members(&platform.list()).await {
        Ok(members) => members,
        Err(fault) => return unreachable("list", &fault),
    };
    let Some(head) = history.chain.head() else {
        return Output::success("no bundle is in force", json!({ "number": 0 }));
    };
    let number = head.bundle.number;
    let is_lagging = |it: &&Member| it.is_live() && it.bundle_number() < number;
    let lagging: Vec<&str> = members
        .iter()
        .filter(is_lagging)
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
    Output::success(text, json)
}

async fn fleet_status(platform: &Platform) -> Output {
    let members = match fleet::fetch_members(&platform.list()).await {
        Ok(members) => members,
        Err(fault) => return unreachable("list", &fault),
    };
    let lines: Vec<String> = members.iter().map(status_line).collect();
    let live: Vec<&Member> = members.iter().filter(|it| it.is_live()).collect();
    let healthy = !live.is_empty() && live.into_iter().all(is_healthy);
    let json = json!({ "healthy": healthy, "nodes": members });
    let exit_status = if healthy {
        ExitStatus::Success
    } else {
        ExitStatus::Refused
    };
    Output {
        exit_status,
        text: lines.join("\n"),
        json,
    }
}

fn is_healthy(member: &Member) -> bool {
    let Some(status) = &member.status else {
        return false;
    };
    status.ready && status.versions.iter().all(|it| it.fault.is_none())
}

fn status_line(member: &Member) -> String {
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
    let bundle = member.bundle_number();
    format!(
        "{id}: {} in {}, {state}, bundle {bundle}; {}",
        status.role,
        status.zone,
        versions.join(", ")
    )
}

fn unreachable(service: &str, fault: &Fault) -> Output {
    Output::failed(
        ExitStatus::Unreachable,
        format!("the {service} can't be used: {fault}"),
    )
}
