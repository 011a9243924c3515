//! `gradeloft_bench`: measurements on one machine, as ratios to baselines of the same run.
//!
//! - [`distribute`]: a new version reaches many agents.
//! - [`plot`]: curves as SVG.

mod distribute;
mod plot;
mod worker;

use clap::{Parser, Subcommand};

/// Measures gradeloft with real agents on loopback, over links that stand-ins pace.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Time until replicas serve a new version, and bytes read from the origin.
    Distribute(distribute::Args),
}

fn main() {
    let Command::Distribute(args) = Args::parse().command;
    distribute::run(&args);
}
