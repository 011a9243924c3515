//! Outcomes of requests to a fleet in virtual time, for several schemes to choose replicas.

use clap::ValueEnum;
use gradeloft_emulator::prelude::{Load, Outage, Scheme, Tally, simulate};
use serde::Serialize;

/// Start of the outage, in milliseconds from the start of the run.
const OUTAGE_START_MS: u64 = 6_000;

/// Scheme to choose replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum SchemeArg {
    /// All schemes in turn.
    All,
    /// The replica with the fewest requests.
    FewestRequests,
    /// The policy of gradeloft.
    Gradeloft,
    /// The policy of gradeloft with a single entry, which sees all requests.
    KnowingAll,
    /// Each replica in turn.
    RoundRobin,
    /// The less loaded of two replicas drawn at random.
    TwoChoices,
}

impl SchemeArg {
    const MEASURED: [SchemeArg; 5] = [
        SchemeArg::FewestRequests,
        SchemeArg::RoundRobin,
        SchemeArg::TwoChoices,
        SchemeArg::Gradeloft,
        SchemeArg::KnowingAll,
    ];

    fn apply(self, load: &Load) -> Load {
        let (scheme, entries) = match self {
            SchemeArg::All | SchemeArg::Gradeloft => (Scheme::Gradeloft, load.entries),
            SchemeArg::KnowingAll => (Scheme::Gradeloft, 1),
            SchemeArg::FewestRequests => (Scheme::FewestRequests, load.entries),
            SchemeArg::RoundRobin => (Scheme::RoundRobin, load.entries),
            SchemeArg::TwoChoices => (Scheme::TwoChoices, load.entries),
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
    /// Scheme to choose replicas.
    #[arg(long, value_enum, default_value = "all")]
    way: SchemeArg,
    /// Request rate, as a fraction of the replicas' capacity.
    #[arg(long, default_value_t = 1.33)]
    part: f64,
    /// Number of entries.
    #[arg(long, default_value_t = 9)]
    entries: usize,
    /// Number of replicas.
    #[arg(long, default_value_t = 12)]
    replicas: usize,
    /// Seconds during which new requests arrive.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Milliseconds between exchanges of the entries' views.
    #[arg(long, default_value_t = 125)]
    view_ms: u64,
    /// Replicas that are unavailable during the outage.
    #[arg(long, default_value_t = 0)]
    lost: usize,
    /// Duration of the outage in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    lost_ms: u64,
    /// Number of runs; their seeds count from 0.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Print one JSON line for each scheme.
    #[arg(long)]
    json: bool,
}

/// Outcomes with one scheme, over all seeds.
#[derive(Serialize)]
struct Report {
    way: String,
    /// Fractions of all requests.
    in_time: f64,
    late: f64,
    refused: f64,
    /// Minimum and maximum over the seeds.
    in_time_least: f64,
    in_time_most: f64,
}

pub(crate) fn run(args: &Args) {
    let load = load(args);
    let schemes = match args.way {
        SchemeArg::All => SchemeArg::MEASURED.to_vec(),
        scheme => vec![scheme],
    };
    for scheme in schemes {
        let report = measure(scheme, &load, args.seeds);
        if args.json {
            println!("{}", serde_json::to_string(&report).expect("plain numbers"));
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
        start_ms: OUTAGE_START_MS,
        duration_ms: args.lost_ms,
        replicas: args.lost.min(base.replicas),
    };
    Load {
        rate: args.part * base.capacity(),
        outages: vec![outage],
        ..base
    }
}

fn measure(scheme: SchemeArg, load: &Load, seeds: u64) -> Report {
    let load = scheme.apply(load);
    let tallies: Vec<Tally> = (0..seeds).map(|it| simulate(&load, it).all).collect();
    let total: u32 = tallies.iter().map(Tally::total).sum();
    let fraction = |count: fn(&Tally) -> u32| {
        let sum: u32 = tallies.iter().map(count).sum();
        f64::from(sum) / f64::from(total.max(1))
    };
    let in_time = || tallies.iter().map(Tally::fraction_in_time);
    Report {
        way: scheme
            .to_possible_value()
            .map_or_else(String::new, |it| it.get_name().to_owned()),
        in_time: fraction(|it| it.in_time),
        late: fraction(|it| it.late),
        refused: fraction(|it| it.refused),
        in_time_least: in_time().fold(1.0, f64::min),
        in_time_most: in_time().fold(0.0, f64::max),
    }
}
