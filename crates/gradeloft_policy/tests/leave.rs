//! Callers of an entry that was told to end.

use gradeloft_policy::{clock::Time, process::drain::Drain};
use rstest::rstest;

const GRACE_MS: u64 = 8_000;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// The load: requests with 1 and 6 s until their callers leave, at any moment of a leave. None that is taken has time
/// beyond the process's end, and the process ends before it is killed.
#[test]
fn what_is_taken_is_over_before_the_process_is() {
    let leave = Drain::begin(Time::ZERO, GRACE_MS);
    for sent_ms in 0..GRACE_MS {
        for time_ms in [1_000, 6_000] {
            let deadline = at(sent_ms + time_ms);
            assert_eq!(leave.accepts(deadline), deadline <= leave.end);
        }
    }
    assert!(leave.end < at(GRACE_MS));
    // A stream that comes with the signal is still taken.
    assert!(leave.accepts(at(6_000)));
}

#[rstest]
#[case::callers_still_have_the_address(0, 3_499, false)]
#[case::nobody_is_left(0, 3_500, true)]
#[case::somebody_is(1, 7_199, false)]
#[case::time_is_over(1, 7_200, true)]
fn it_ends_without_callers_or_with_its_time(
    #[case] connections: usize,
    #[case] now_ms: u64,
    #[case] over: bool,
) {
    let leave = Drain::begin(Time::ZERO, GRACE_MS);
    assert_eq!(leave.finished(connections, at(now_ms)), over);
}

/// A connection at rest stays until callers have other addresses, a late one for a moment.
#[rstest]
#[case(0, 3_500)]
#[case(2_000, 3_500)]
#[case(5_000, 6_000)]
fn how_long_a_connection_may_rest(#[case] rests_ms: u64, #[case] until_ms: u64) {
    let leave = Drain::begin(Time::ZERO, GRACE_MS);
    assert_eq!(leave.idle_until(at(rests_ms)), at(until_ms));
}
