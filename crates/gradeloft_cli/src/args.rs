//! The command line.

use std::{path::PathBuf, rc::Rc, time::Duration};

use clap::{Parser, Subcommand};
use clap_complete::Shell;
use gradeloft_platform::{
    list::{self, InstanceList},
    log::{self, Log},
};
use gradeloft_policy::version::bundle::Publisher;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

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
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Work with bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Say what happened to a request, from the logs of the processes.
    #[command(
        after_help = "Example:\n  gradeloft explain --request 9c41d07be2a35f68 entry-1.log entry-2.log"
    )]
    Explain {
        /// Id of the caller's attempt.
        #[arg(long)]
        request: String,
        /// Log files, in any order.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
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
    /// Say what the processes sent, by purpose, from their logs.
    #[command(after_help = "Example:\n  gradeloft traffic entry-1.log agent-1.log")]
    Traffic {
        /// Log files, in the order of time.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
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
pub(crate) enum FleetCommand {
    /// Show every node: bundle, versions and their phases.
    Status(Platform),
}

#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Check a settings file and report every fault in it.
    Check {
        /// The settings, in YAML.
        file: PathBuf,
    },
}

#[derive(clap::Args, Debug)]
pub(crate) struct Signing {
    /// File of the signing key.
    #[arg(long, requires = "signer")]
    pub(crate) key: Option<PathBuf>,
    /// Name of the publisher whose key it is.
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
    /// Publisher trusted before any bundle, as NAME=PUBLIC-KEY; may stand more than once.
    #[arg(long, env = "GRADELOFT_TRUST", value_delimiter = ',', value_parser = publisher)]
    pub(crate) trust: Vec<Publisher>,
}

fn publisher(text: &str) -> Result<Publisher, String> {
    let (name, key) = text.split_once('=').ok_or("NAME=PUBLIC-KEY is expected")?;
    Publisher::new(name, key).ok_or_else(|| "the key is no ed25519 public key in hex".to_owned())
}

impl Platform {
    pub(crate) fn log(&self) -> Rc<dyn Log> {
        Rc::new(log::Http::new(&self.log, PLATFORM_TIMEOUT))
    }

    pub(crate) fn list(&self) -> Rc<dyn InstanceList> {
        Rc::new(list::Http::new(&self.list, PLATFORM_TIMEOUT))
    }
}
