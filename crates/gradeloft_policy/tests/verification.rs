//! Tests of the time for which a verification of staged chunks is valid.

use gradeloft_policy::{clock::Time, version::verification::Verification};
use rstest::rstest;

const STARTED: Time = Time(7_000_000);

/// Time before a load in which a chunk may become corrupt without consequences, in milliseconds.
const TOLERATED_MS: u64 = 3_000;

#[rstest]
#[case::usual_waits(1_100, true)]
#[case::paused(4_000, false)]
fn an_order_needs_a_recent_verification(#[case] ms: u64, #[case] permitted: bool) {
    let verification = Verification::new(STARTED, None);
    assert_eq!(verification.permits_order(STARTED.after_ms(ms)), permitted);
}

/// Guards against an age that counts from the last chunk read, or a bound beyond the tolerated time.
#[test]
fn no_load_is_covered_once_its_first_chunk_may_have_been_corrupt_for_too_long() {
    let verification = Verification::new(STARTED, None);
    assert!(!verification.covers_load(STARTED.after_ms(TOLERATED_MS)));
    assert!(!verification.permits_order(STARTED.after_ms(TOLERATED_MS)));
}

/// Guards against orders that the usual response time of a replica already makes doubtful.
#[test]
fn a_permitted_order_leaves_the_replica_time_to_respond() {
    let verification = Verification::new(STARTED, None);
    let permits = |ms: &u64| verification.permits_order(STARTED.after_ms(*ms));
    let last = (0..TOLERATED_MS).rfind(permits).unwrap();
    assert!(verification.covers_load(STARTED.after_ms(last + 500)));
}

#[rstest]
#[case::same(Some(7), Some(7), false)]
#[case::restarted(Some(7), Some(8), true)]
#[case::unknown(None, Some(8), false)]
fn a_verification_is_bound_to_a_known_start_of_the_replica(
    #[case] verified: Option<u64>,
    #[case] born: Option<u64>,
    #[case] other: bool,
) {
    let verification = Verification::new(STARTED, verified);
    assert_eq!(verification.is_of_other_start(born), other);
}
