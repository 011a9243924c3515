//! Share of requests of each priority that an overloaded fleet answers in time.

use gradeloft_emulator::prelude::*;
use rstest::rstest;

const SEEDS: u64 = 6;
/// Times at which demand is at its highest, in milliseconds.
const START_MS: u64 = 4_000;

/// Returns a load at capacity whose rate is multiplied by the surges.
fn surging(surges: Vec<Surge>) -> Load {
    let load = Load::at_utilization(1.0).with_priorities();
    Load {
        rate: load.capacity(),
        arrivals_ms: 12_000,
        surges,
        ..load
    }
}

fn step(factor: f64) -> Load {
    surging(vec![surge(START_MS, 8_000, factor)])
}

fn pulse(factor: f64) -> Load {
    surging(vec![surge(START_MS, 3_000, factor)])
}

/// Rises to the factor in eight steps of half a second.
fn ramp(factor: f64) -> Load {
    let each = factor.powf(1.0 / 8.0);
    let steps = (0..8).map(|it| surge(START_MS + 500 * it, 8_000, each));
    surging(steps.collect())
}

fn surge(start_ms: u64, duration_ms: u64, factor: f64) -> Surge {
    Surge {
        start_ms,
        duration_ms,
        factor,
    }
}

/// Returns the sum of the tallies over the seeds: all requests, and each kind.
fn tallies(load: &Load) -> (Tally, Vec<Tally>) {
    let add = |sum: &mut Tally, it: Tally| {
        sum.in_time += it.in_time;
        sum.late += it.late;
        sum.refused += it.refused;
    };
    let mut all = Tally::default();
    let mut kinds = vec![Tally::default(); load.kinds.len()];
    for seed in 0..SEEDS {
        let result = simulate(load, seed);
        add(&mut all, result.all);
        for (sum, it) in kinds.iter_mut().zip(result.kinds) {
            add(sum, it);
        }
    }
    (all, kinds)
}

#[rstest]
#[case(step(1.3))]
#[case(step(2.0))]
#[case(step(4.0))]
#[case(ramp(1.3))]
#[case(ramp(2.0))]
#[case(ramp(4.0))]
#[case(pulse(1.3))]
#[case(pulse(2.0))]
#[case(pulse(4.0))]
fn more_demand_costs_refusals_and_no_answers_in_time(#[case] load: Load) {
    let (at_capacity, _) = tallies(&surging(Vec::new()));
    let (all, kinds) = tallies(&load);
    assert!(
        0.95 * f64::from(at_capacity.in_time) <= f64::from(all.in_time),
        "{all:?}, {at_capacity:?} at capacity"
    );
    for pair in kinds.windows(2) {
        let (urgent, lenient) = (pair[0].fraction_in_time(), pair[1].fraction_in_time());
        assert!(lenient <= urgent + 0.05, "{kinds:?}");
    }
    let mean = all.fraction_in_time();
    for kind in &kinds {
        let served = f64::from(kind.in_time + kind.late) / f64::from(kind.total());
        assert!(0.25 * mean <= served, "{kinds:?}");
    }
}

#[test]
fn entries_that_know_only_their_own_demand_serve_no_less_than_without_a_level() {
    let load = step(2.0);
    let silent = Load {
        silent_from_ms: Some(0),
        ..load.clone()
    };
    let mut unranked = silent.clone();
    for kind in &mut unranked.kinds {
        kind.priority = 0;
    }
    let (silent, unranked) = (tallies(&silent).0, tallies(&unranked).0);
    assert!(
        0.95 * f64::from(unranked.in_time) <= f64::from(silent.in_time),
        "{silent:?}, {unranked:?} without a level"
    );
}
