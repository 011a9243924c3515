//! What cold replicas get of all entries together.

use std::time::Duration;

use gradeloft_policy::{process::warmup, rendezvous};
use rstest::rstest;

/// Allowance for requests that are on their way when a second begins.
const ON_THE_WAY: usize = 5;

fn pauses(per_s: f64, entries: usize) -> Vec<Duration> {
    let names: Vec<u64> = (0..entries)
        .map(|it| rendezvous::hash(&it.to_le_bytes()))
        .collect();
    let pause = |own: &u64| {
        let others = names.iter().copied().filter(move |it| it != own);
        warmup::min_interval(per_s, 7, *own, others)
    };
    names.iter().filter_map(pause).collect()
}

/// Requests that one entry sends in a second which begins with one of them.
fn in_a_second(pause: Duration) -> usize {
    1 + (Duration::from_secs(1).as_micros() - 1).div_euclid(pause.as_micros()) as usize
}

#[rstest]
fn all_entries_together_send_half_more_than_a_cold_replica_bears_at_most(
    #[values(1, 2, 6, 34, 547, 2_000)] entries: usize,
    #[values(2.0, 14.0, 18.0, 200.0)] per_s: f64,
) {
    let pauses = pauses(per_s, entries);
    let worst: usize = pauses.iter().map(|it| in_a_second(*it)).sum();
    assert!(worst as f64 <= per_s * 1.5 + ON_THE_WAY as f64, "{worst}");
    let mean: f64 = pauses.iter().map(|it| 1.0 / it.as_secs_f64()).sum();
    assert!((per_s * 0.99..=per_s * 1.01).contains(&mean), "{mean}");
}

#[rstest]
#[case(0.0)]
#[case(-1.0)]
#[case(f64::NAN)]
fn a_replica_that_bears_nothing_gets_nothing(#[case] per_s: f64) {
    assert_eq!(pauses(per_s, 3), []);
}
