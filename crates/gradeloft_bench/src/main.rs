//! `gradeloft_bench`: measurements on one machine, as ratios to baselines of the same run.
//!
//! - [`bundles`]: from publish to in force everywhere.
//! - [`distribute`]: a new version reaches many agents.
//! - [`fleet`]: what callers get from a short fleet, in virtual time.
//! - [`footprint`]: state, messages and time for each replica, team, chunk and bundle.
//! - [`limits`]: a team's rate over several entries.
//! - [`live`]: live requests beside a rollout.
//! - [`plot`]: curves as SVG.
//! - [`relay`]: what entry and agent add to a request.
//! - [`requests`]: live requests under load and faults.

mod bundles;
mod distribute;
mod fleet;
mod footprint;
mod idle;
mod limits;
mod live;
mod plot;
mod relay;
mod requests;
mod worker;

use std::alloc::System;

use clap::{Parser, Subcommand};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts bytes, for [`footprint`].
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures gradeloft with real agents on loopback, over links that stand-ins pace.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Time from publish to in force everywhere, and what a race of publishers leaves.
    Bundle(bundles::Args),
    /// Time until replicas serve a new version, and bytes read from the origin.
    Distribute(distribute::Args),
    /// What callers get from a fleet under a load, in virtual time.
    Fleet(fleet::Args),
    /// Bytes of state, bytes of messages and time, at several sizes each, with the fitted slopes.
    Footprint(footprint::Args),
    /// What is admitted of a team's rate while demand moves between entries.
    Limits(limits::Args),
    /// What an entry and an agent add to a request.
    Relay(relay::Args),
    /// First answers, prefix hits and retries; under a fault, whether answers are right and calls
    /// run at most once.
    Requests(requests::Args),
}

fn main() {
    match Args::parse().command {
        Command::Bundle(args) => bundles::run(&args),
        Command::Distribute(args) => distribute::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Footprint(args) => footprint::run(&args),
        Command::Limits(args) => limits::run(&args),
        Command::Relay(args) => relay::run(&args),
        Command::Requests(args) => requests::run(&args),
    }
}
