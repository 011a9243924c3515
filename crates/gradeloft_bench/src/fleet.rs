//! A fleet in virtual time: what callers get under a load, by each way to choose replicas.

use clap::ValueEnum;
use gradeloft_emulator::prelude::{Load, Outage, Scheme, Tally, simulate};
use serde::Serialize;

/// When replicas go away, in milliseconds from the start.
const LOSS_AT_MS: u64 = 6_000;

/// A way to choose replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Way {
    /// All of these one after the other.
    All,
    /// The one with the fewest requests.
    FewestRequests,
    /// What gradeloft does.
    Gradeloft,
    /// What gradeloft does with one entry, which knows all.
    KnowingAll,
    /// One after the other.
    RoundRobin,
    /// The less busy of two drawn at random.
    TwoChoices,
}

impl Way {
    const EACH: [Way; 5] = [
        Way::FewestRequests,
        Way::RoundRobin,
        Way::TwoChoices,
        Way::Gradeloft,
        Way::KnowingAll,
    ];

    fn apply(self, load: &Load) -> Load {
        let (scheme, entries) = match self {
            Way::All | Way::Gradeloft => (Scheme::Gradeloft, load.entries),
            Way::KnowingAll => (Scheme::Gradeloft, 1),
            Way::FewestRequests => (Scheme::FewestRequests, load.entries),
            Way::RoundRobin => (Scheme::RoundRobin, load.entries),
            Way::TwoChoices => (Scheme::TwoChoices, load.entries),
        };
        Load {
            scheme,
            entries,
            ..load.clone()
        }
    }
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Way to choose replicas.
    #[arg(long, value_enum, default_value = "all")]
    way: Way,
    /// Rate, as a part of what the replicas can answer.
    #[arg(long, default_value_t = 1.33)]
    part: f64,
    /// Entries.
    #[arg(long, default_value_t = 9)]
    entries: usize,
    /// Replicas.
    #[arg(long, default_value_t = 12)]
    replicas: usize,
    /// Seconds for which requests come.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Milliseconds between what entries tell each other.
    #[arg(long, default_value_t = 125)]
    view_ms: u64,
    /// Replicas that are away for a while.
    #[arg(long, default_value_t = 0)]
    lost: usize,
    /// For how many milliseconds.
    #[arg(long, default_value_t = 2_000)]
    lost_ms: u64,
    /// Runs, each with a seed of its own, from 0 on.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Print one JSON line for each way.
    #[arg(long)]
    json: bool,
}

/// What callers got by one way, over all seeds.
#[derive(Serialize)]
struct Report {
    way: String,
    /// Parts of all requests.
    in_time: f64,
    late: f64,
    refused: f64,
    /// Least and most of the seeds.
    in_time_least: f64,
    in_time_most: f64,
}

pub(crate) fn run(args: &Args) {
    let load = load(args);
    let ways = match args.way {
        Way::All => Way::EACH.to_vec(),
        way => vec![way],
    };
    for way in ways {
        let report = measure(way, &load, args.seeds);
        if args.json {
            println!("{}", serde_json::to_string(&report).expect("numbers"));
            continue;
        }
        println!(
            "{:16} in time {:.3} ({:.3} to {:.3})  late {:.3}  refused {:.3}",
            report.way,
            report.in_time,
            report.in_time_least,
            report.in_time_most,
            report.late,
            report.refused
        );
    }
}

fn load(args: &Args) -> Load {
    let base = Load {
        entries: args.entries.max(1),
        replicas: args.replicas.max(1),
        arrivals_ms: args.seconds * 1_000,
        exchange_interval_ms: args.view_ms.max(1),
        ..Load::at_utilization(args.part)
    };
    let outage = Outage {
        start_ms: LOSS_AT_MS,
        duration_ms: args.lost_ms,
        replicas: args.lost.min(base.replicas),
    };
    Load {
        rate: args.part * base.capacity(),
        outages: vec![outage],
        ..base
    }
}

fn measure(way: Way, load: &Load, seeds: u64) -> Report {
    let load = way.apply(load);
    let tallies: Vec<Tally> = (0..seeds).map(|it| simulate(&load, it).all).collect();
    let total: u32 = tallies.iter().map(Tally::total).sum();
    let part = |of: fn(&Tally) -> u32| {
        let sum: u32 = tallies.iter().map(of).sum();
        f64::from(sum) / f64::from(total.max(1))
    };
    let parts = || tallies.iter().map(Tally::fraction_in_time);
    Report {
        way: way
            .to_possible_value()
            .map_or_else(String::new, |it| it.get_name().to_owned()),
        in_time: part(|it| it.in_time),
        late: part(|it| it.late),
        refused: part(|it| it.refused),
        in_time_least: parts().fold(1.0, f64::min),
        in_time_most: parts().fold(0.0, f64::max),
    }
}
