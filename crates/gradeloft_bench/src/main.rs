//! `gradeloft_bench`: benchmarks on one machine, with baselines measured in the same run.
//!
//! - [`bundles`]: time from publishing a bundle until it is in force on all nodes.
//! - [`distribute`]: distribution of a new version to many agents.
//! - [`fleet`]: outcomes of requests to an overloaded fleet, in virtual time.
//! - [`footprint`]: memory, message sizes and time per replica, team, chunk and bundle.
//! - [`idle`]: processor time and traffic of idle fleets.
//! - [`limits`]: enforcement of a team's rate limit across several entries.
//! - [`live`]: live requests during a rollout.
//! - [`plot`]: line charts as SVG.
//! - [`relay`]: overhead that entry and agent add to a request.
//! - [`requests`]: live requests under load and faults.
//! - [`worker`]: threads that run agents.

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

/// Counts allocated bytes for [`footprint`].
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures gradeloft with real agents on loopback, over links with emulated bandwidth.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Time from publishing a bundle until it is in force on all nodes, and agreement of the nodes
    /// after concurrent publishes.
    Bundle(bundles::Args),
    /// Time until replicas serve a new version, and bytes read from the origin.
    Distribute(distribute::Args),
    /// Outcomes of requests to a fleet under a load, in virtual time.
    Fleet(fleet::Args),
    /// Bytes of state, bytes of messages and time, each at several sizes, with fitted slopes.
    Footprint(footprint::Args),
    /// Admitted fraction of a team's rate while demand moves between entries.
    Limits(limits::Args),
    /// Overhead that an entry and an agent add to a request.
    Relay(relay::Args),
    /// Latency, prefix cache hits and retries; under a fault, also whether answers are correct and
    /// calls run at most once.
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
