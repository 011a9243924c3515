//! Rollouts in which agents are paused at each step of a deployment while chunks become corrupt.

use gradeloft_emulator::rollout::{self, Outcome, Rollout, Validity};
use rstest::rstest;

/// Number of seeds for each size.
const SEEDS: u64 = 50;

fn simulate(replicas: usize, paused: f64, validity: Validity, seed: u64) -> Outcome {
    rollout::simulate(Rollout {
        replicas,
        version_ms: 8_000,
        paused,
        validity,
        seed,
    })
}

/// Guards against requests to replicas whose chunks were corrupt for too long when they were loaded.
#[rstest]
#[case(12)]
#[case(120)]
fn no_replica_is_opened_with_corrupt_chunks(#[case] replicas: usize) {
    let mut excluded = 0;
    for seed in 0..SEEDS {
        let outcome = simulate(replicas, 0.3, Validity::Limited, seed);
        assert_eq!(outcome.faulty, 0, "seed {seed}");
        assert_eq!(outcome.serving + outcome.excluded, replicas, "seed {seed}");
        excluded += outcome.excluded;
    }
    assert!(0 < excluded, "no pause hit the last step before the order");
}

/// Shows that the pauses of [`no_replica_is_opened_with_corrupt_chunks`] reach the fault.
#[test]
fn verifications_without_a_limit_open_replicas_with_corrupt_chunks() {
    let runs = (0..SEEDS).map(|it| simulate(12, 0.3, Validity::Unlimited, it));
    let faulty: usize = runs.map(|it| it.faulty).sum();
    assert!(0 < faulty);
}

/// Guards against a limit that delays rollouts without pauses.
#[rstest]
#[case(12)]
#[case(120)]
fn limit_of_verifications_costs_nothing_without_pauses(#[case] replicas: usize) {
    for seed in 0..SEEDS {
        let limited = simulate(replicas, 0.0, Validity::Limited, seed);
        assert_eq!(limited, simulate(replicas, 0.0, Validity::Unlimited, seed));
    }
}
