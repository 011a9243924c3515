//! `gradeloftd`: the daemon, which runs as an entry or as an agent.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use gradeloft_daemon::{
    agent::{self, Endpoint},
    entry, logging,
    node::{Node, Platform},
    settings::{self, SettingsError},
};
use gradeloft_wire::border::settings::{Role, Settings};
use slog::{error, info};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

/// Exit code if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the process can't start.
const EXIT_START_FAILED: u8 = 1;
/// Exit code if the shutdown cut off requests.
const EXIT_CUT_OFF: u8 = 3;

/// The gradeloft daemon.
///
/// Exit codes: 0 after a shutdown that cut nothing off; 1 when it can't start; 2 when the settings
/// can't be used; 3 when the shutdown cut requests off.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  gradeloftd entry --settings config/entry.yaml"
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run as the agent beside an endpoint.
    Agent(Source),
    /// Check a settings file and report every fault in it.
    Check(Source),
    /// Run as an entry.
    Entry(Source),
}

#[derive(clap::Args, Debug)]
struct Source {
    /// The settings file, in YAML.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let (source, role) = match Args::parse().command {
        Command::Agent(source) => (source, Some(Role::Agent)),
        Command::Check(source) => (source, None),
        Command::Entry(source) => (source, Some(Role::Entry)),
    };
    let settings = match settings::read(&source.settings) {
        Ok(settings) => settings,
        Err(error) => return report(&source, &error),
    };
    let Some(role) = role else {
        println!("{}: ok, role {}", source.settings.display(), settings.role);
        return ExitCode::SUCCESS;
    };
    if settings.role != role {
        eprintln!(
            "{}: /role: {}, but {role} was asked for",
            source.settings.display(),
            settings.role
        );
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    actix_rt::System::new().block_on(run(settings))
}

fn report(source: &Source, error: &SettingsError) -> ExitCode {
    let path = source.settings.display();
    match error {
        SettingsError::Unreadable { .. } => eprintln!("{error}"),
        SettingsError::Invalid(faults) => {
            for fault in faults {
                eprintln!("{path}: {fault}");
            }
        }
    }
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

/// Signals that shut a process down gracefully.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the signal handlers. Must be called before requests are accepted, since an earlier
    /// signal ends the process at once.
    fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

async fn run(settings: Settings) -> ExitCode {
    let log = logging::to_stderr(settings.log_level, &settings.node.id);
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(why) => {
            error!(log, "can't install signal handlers"; "why" => %why);
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let Ok(seed) = getrandom::u64() else {
        error!(log, "can't get a random seed from the system");
        return ExitCode::from(EXIT_START_FAILED);
    };
    let platform = Platform::http(&settings);
    let role = settings.role;
    let agent = settings.agent.clone();
    let node = Node::new(settings, platform, log.clone(), seed);
    let result = match (role, agent) {
        (Role::Agent, Some(agent)) => run_agent(node, agent, signals).await,
        _ => run_entry(node, signals).await,
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT_OFF),
        Err(why) => {
            error!(log, "can't start"; "why" => %why);
            eprintln!("can't start: {why}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

async fn run_agent(
    node: Node,
    settings: gradeloft_wire::border::settings::Agent,
    signals: Signals,
) -> std::io::Result<usize> {
    let endpoint = Endpoint::http(&settings.endpoint);
    let handle = agent::Builder::new(node, settings, endpoint)
        .start()
        .await?;
    let forced = wait_for_shutdown(handle.node(), signals).await;
    Ok(handle.drain(forced).await as usize)
}

async fn run_entry(node: Node, signals: Signals) -> std::io::Result<usize> {
    let handle = entry::Builder::new(node).start().await?;
    let forced = wait_for_shutdown(handle.node(), signals).await;
    Ok(handle.drain(forced).await)
}

/// Waits for the first SIGTERM or SIGINT. The returned channel becomes true at the second one.
async fn wait_for_shutdown(node: &Node, mut signals: Signals) -> watch::Receiver<bool> {
    signals.next().await;
    info!(node.log, "signal received"; "action" => "drain");
    let (force, forced) = watch::channel(false);
    let log = node.log.clone();
    actix_rt::spawn(async move {
        signals.next().await;
        info!(log, "signal received"; "action" => "force");
        let _ = force.send(true);
    });
    forced
}
