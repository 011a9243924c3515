//! Tests of the rate at which all entries together send requests to a replica.

use std::time::Duration;

use gradeloft_policy::{process::rate_share, rendezvous};
use rstest::rstest;

/// Allowance for requests that are in transit at the beginning of a second.
const IN_TRANSIT: usize = 5;

fn intervals(per_s: f64, entries: usize) -> Vec<Duration> {
    let names: Vec<u64> = (0..entries)
        .map(|it| rendezvous::hash(&it.to_le_bytes()))
        .collect();
    let interval = |own: &u64| {
        let others = names.iter().copied().filter(move |it| it != own);
        rate_share::min_interval(per_s, 7, *own, others)
    };
    names.iter().filter_map(interval).collect()
}

/// Returns the number of requests that one entry sends in a second that begins with a request.
fn requests_per_second(interval: Duration) -> usize {
    1 + (Duration::from_secs(1).as_micros() - 1).div_euclid(interval.as_micros()) as usize
}

#[rstest]
fn all_entries_together_exceed_the_rate_of_a_cold_replica_by_at_most_half(
    #[values(1, 2, 6, 34, 547, 2_000)] entries: usize,
    #[values(2.0, 14.0, 18.0, 200.0)] per_s: f64,
) {
    let intervals = intervals(per_s, entries);
    let worst: usize = intervals.iter().map(|it| requests_per_second(*it)).sum();
    assert!(worst as f64 <= per_s * 1.5 + IN_TRANSIT as f64, "{worst}");
    let mean: f64 = intervals.iter().map(|it| 1.0 / it.as_secs_f64()).sum();
    assert!((per_s * 0.99..=per_s * 1.01).contains(&mean), "{mean}");
}

#[rstest]
#[case(0.0)]
#[case(-1.0)]
#[case(f64::NAN)]
fn a_replica_with_an_invalid_or_zero_rate_gets_no_requests(#[case] per_s: f64) {
    assert_eq!(intervals(per_s, 3), []);
}
