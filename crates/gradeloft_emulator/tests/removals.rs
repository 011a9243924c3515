//! Removals after cuts of one entry's path to the store, and after outages, in fleets of several sizes.

use gradeloft_emulator::removals::{self, Disruption, Outcome, Passing, Run};
use rstest::rstest;

/// Number of seeds for each size.
const SEEDS: u64 = 50;
/// Time within which requests to a removed replica have to stop, in milliseconds.
const DRAIN_MS: u64 = 2_000;

#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    regions: usize,
    replicas: usize,
}

const SMALL: Size = Size {
    entries: 7,
    regions: 1,
    replicas: 12,
};
const LARGE: Size = Size {
    entries: 110,
    regions: 5,
    replicas: 120,
};
const FLEET: Size = Size {
    entries: 410,
    regions: 7,
    // Their table is read every 0.3 s; at 2,300 replicas, the pause alone is longer than the bound.
    replicas: 100,
};

fn simulate(size: Size, disruption: Disruption, passing: Passing, seed: u64) -> Outcome {
    removals::simulate(Run {
        entries: size.entries,
        regions: size.regions,
        replicas: size.replicas,
        disruption,
        for_ms: 2_500 + seed * 70,
        removed_after_ms: seed * 97 % 3_000,
        passing,
        seed,
    })
}

/// Guards against requests to a removed replica because one entry was cut off from the store.
#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
#[case::fleet(FLEET)]
fn a_cut_of_one_reader_delays_a_removal_at_no_other_entry(#[case] size: Size) {
    for seed in 0..SEEDS {
        let outcome = simulate(size, Disruption::Cut, Passing::Reads, seed);
        assert!(outcome.last_ms <= DRAIN_MS, "seed {seed}: {outcome:?}");
    }
}

/// Guards against the loss of a live replica whose record lapsed while the store was away.
#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
#[case::fleet(FLEET)]
fn no_entry_drops_a_replica_whose_record_lapsed_in_an_outage(#[case] size: Size) {
    for seed in 0..SEEDS {
        let outcome = removals::simulate(Run {
            entries: size.entries,
            regions: size.regions,
            replicas: size.replicas,
            disruption: Disruption::Outage,
            for_ms: 2_500 + seed * 70,
            removed_after_ms: 0,
            passing: Passing::Reads,
            seed,
        });
        assert_eq!(outcome.dropped, 0, "seed {seed}: {outcome:?}");
    }
}

/// Shows that the cuts of [`a_cut_of_one_reader_delays_a_removal_at_no_other_entry`] reach the fault.
#[test]
fn doubts_that_are_passed_on_delay_removals() {
    let runs = (0..SEEDS).map(|it| simulate(SMALL, Disruption::Cut, Passing::Doubts, it));
    let late = runs.filter(|it| DRAIN_MS < it.last_ms).count();
    assert!(0 < late);
}
