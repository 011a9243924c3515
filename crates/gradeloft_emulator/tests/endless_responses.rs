//! Replicas whose responses do not end, so that requests there last until their deadlines.

use gradeloft_emulator::prelude::*;
use rstest::rstest;

const SEEDS: u64 = 20;
/// Time in which the responses of some replicas do not end, in milliseconds.
const ENDLESS_MS: u64 = 8_000;

fn load(replicas: usize) -> Load {
    Load {
        endless: vec![Outage {
            start_ms: 5_000,
            duration_ms: ENDLESS_MS,
            replicas,
        }],
        ..Load::at_utilization(0.5)
    }
}

/// Guards against entries that keep sending requests to a replica while earlier ones wait there. The
/// requests there fill its slots, and as many again once these have reached their deadlines.
#[rstest]
#[case::one(1)]
#[case::three(3)]
fn endless_responses_cost_no_more_requests_than_their_slots(#[case] replicas: usize) {
    for seed in 0..SEEDS {
        let load = load(replicas);
        let rounds = ENDLESS_MS.div_ceil(load.caller_timeout_ms) as u32;
        let slots = load.slots * replicas as u32;
        let lost = simulate(&load, seed).all.refused;
        assert!(lost <= rounds * slots, "seed {seed}: {lost} requests");
        assert!(0 < lost, "seed {seed}: no request met such a replica");
    }
}

/// Guards against requests to sound replicas that suffer from those beside them.
#[test]
fn requests_beside_endless_responses_are_in_time() {
    for seed in 0..SEEDS {
        let tally = simulate(&load(1), seed).all;
        let others = f64::from(tally.total() - tally.refused);
        let in_time = f64::from(tally.in_time) / others;
        assert!(0.95 < in_time, "seed {seed}: {in_time}");
    }
}
