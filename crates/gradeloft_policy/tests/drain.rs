//! Tests of draining an entry.

use gradeloft_policy::{clock::Time, process::drain::Drain};
use rstest::rstest;

const GRACE_MS: u64 = 8_000;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// Guards against accepting requests that the process can't finish. Requests with deadlines of 1 s and 6 s arrive at any
/// moment of a drain. No accepted request has a deadline after the end of the process, and the process ends before it is
/// killed.
#[test]
fn accepted_requests_end_before_the_process() {
    let drain = Drain::begin(Time::ZERO, GRACE_MS);
    for sent_ms in 0..GRACE_MS {
        for time_ms in [1_000, 6_000] {
            let deadline = at(sent_ms + time_ms);
            assert_eq!(drain.accepts(deadline), deadline <= drain.end);
        }
    }
    assert!(drain.end < at(GRACE_MS));
    // A stream that arrives together with the signal is still accepted.
    assert!(drain.accepts(at(6_000)));
}

#[rstest]
#[case::callers_still_have_the_address(0, 3_499, false)]
#[case::no_connection_is_left(0, 3_500, true)]
#[case::a_connection_is_left(1, 7_199, false)]
#[case::the_drain_has_ended(1, 7_200, true)]
fn a_drain_finishes_without_connections_or_at_its_end(
    #[case] connections: usize,
    #[case] now_ms: u64,
    #[case] finished: bool,
) {
    let drain = Drain::begin(Time::ZERO, GRACE_MS);
    assert_eq!(drain.finished(connections, at(now_ms)), finished);
}

/// An idle connection stays open until callers have other addresses; one that becomes idle later stays open briefly.
#[rstest]
#[case(0, 3_500)]
#[case(2_000, 3_500)]
#[case(5_000, 6_000)]
fn idle_connections_stay_open_for_a_bounded_time(
    #[case] idle_since_ms: u64,
    #[case] until_ms: u64,
) {
    let drain = Drain::begin(Time::ZERO, GRACE_MS);
    assert_eq!(drain.idle_until(at(idle_since_ms)), at(until_ms));
}
