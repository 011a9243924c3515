//! Command line arguments.

use std::{path::PathBuf, rc::Rc, time::Duration};

use clap::{Parser, Subcommand};
use clap_complete::Shell;
use gradeloft_platform::{
    list::{self, InstanceList},
    log::{self, Log},
};
use gradeloft_policy::version::bundle::Publisher;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// The command line tool for operators of gradeloft.
///
/// Exit codes: 0 success; 1 refused or unhealthy; 2 bad input; 3 published, but not in force
/// everywhere in time; 4 the platform is unreachable.
#[derive(Debug, Parser)]
#[command(
    name = "gradeloft",
    version,
    after_help = "Examples:\n  gradeloft keygen --out operator.key\n  gradeloft bundle check bundle.yaml\n  gradeloft bundle publish bundle.yaml --key operator.key --signer ops --renumber\n  gradeloft fleet status --json"
)]
pub(crate) struct Args {
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check, sign and publish bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Print shell completions.
    Completions {
        /// Shell to generate completions for.
        shell: Shell,
    },
    /// Explain what happened to a request, from the logs of the processes.
    #[command(
        after_help = "Example:\n  gradeloft explain --request 9c41d07be2a35f68 entry-1.log entry-2.log"
    )]
    Explain {
        /// Attempt id that the caller sent.
        #[arg(long)]
        request: String,
        /// Log files, in any order.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Inspect the fleet.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Generate a key for signing bundles and print its public key.
    #[command(after_help = "Example:\n  gradeloft keygen --out operator.key")]
    Keygen {
        /// File to write the key to; must not exist.
        #[arg(long)]
        out: PathBuf,
    },
    /// Check settings of the daemon.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Sum what the processes sent, by purpose, from their logs.
    #[command(after_help = "Example:\n  gradeloft traffic entry-1.log agent-1.log")]
    Traffic {
        /// Log files, in chronological order.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
    /// Check a bundle and report every error in it.
    #[command(after_help = "Example:\n  gradeloft bundle check bundle.yaml")]
    Check {
        /// Bundle in YAML.
        file: PathBuf,
    },
    /// Show all published bundles, their signers and whether each was accepted.
    History(Platform),
    /// Publish a bundle and wait until it is in force on every node.
    #[command(
        after_help = "Examples:\n  gradeloft bundle publish bundle.yaml --key operator.key --signer ops\n  gradeloft bundle publish bundle.signed"
    )]
    Publish {
        /// Bundle in YAML; without --key, a file written by `bundle sign`.
        file: PathBuf,
        #[command(flatten)]
        signing: Signing,
        /// Derive number and parent from the bundle in force instead of the file.
        #[arg(long, requires = "key")]
        renumber: bool,
        /// Seconds to wait until the bundle is in force everywhere; 0 does not wait.
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
        /// Bundle in YAML.
        file: PathBuf,
        #[command(flatten)]
        signing: Signing,
        /// File to write the signed bundle to.
        #[arg(long)]
        out: PathBuf,
    },
    /// Show the bundle in force and the nodes that lag behind.
    Status(Platform),
}

#[derive(Debug, Subcommand)]
pub(crate) enum FleetCommand {
    /// Show the bundle, the versions and their phases on every node.
    Status(Platform),
}

#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Check a settings file and report every error in it.
    Check {
        /// Settings in YAML.
        file: PathBuf,
    },
}

#[derive(clap::Args, Debug)]
pub(crate) struct Signing {
    /// File of the signing key.
    #[arg(long, requires = "signer")]
    pub(crate) key: Option<PathBuf>,
    /// Name of the publisher that owns the key.
    #[arg(long, requires = "key")]
    pub(crate) signer: Option<String>,
}

#[derive(clap::Args, Debug)]
pub(crate) struct Platform {
    /// Base URL of the log.
    #[arg(long, env = "GRADELOFT_LOG")]
    log: String,
    /// Base URL of the list of instances.
    #[arg(long, env = "GRADELOFT_LIST")]
    list: String,
    /// Publisher that is trusted before the first bundle, as NAME=PUBLIC-KEY; repeatable.
    #[arg(long, env = "GRADELOFT_TRUST", value_delimiter = ',', value_parser = parse_publisher)]
    pub(crate) trust: Vec<Publisher>,
}

fn parse_publisher(text: &str) -> Result<Publisher, String> {
    let (name, key) = text.split_once('=').ok_or("expected NAME=PUBLIC-KEY")?;
    Publisher::new(name, key)
        .ok_or_else(|| "the key is not an ed25519 public key in hex".to_owned())
}

impl Platform {
    pub(crate) fn log(&self) -> Rc<dyn Log> {
        Rc::new(log::Http::new(&self.log, PLATFORM_TIMEOUT))
    }

    pub(crate) fn list(&self) -> Rc<dyn InstanceList> {
        Rc::new(list::Http::new(&self.list, PLATFORM_TIMEOUT))
    }
}
