//! Tests of entries whose records are older than those of other entries.

use std::{net::Ipv4Addr, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        freshness::Freshness,
        latest_writes::LatestWrites,
        roster::{Roster, State, Status},
    },
};
use gradeloft_wire::position::Position;
use rstest::rstest;

const NOW: Time = Time::ZERO;
/// Time within which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(2);

/// Returns a roster of entries with the given states and ends of their copies.
fn roster(others: &[(State, u64)]) -> Roster {
    let mut roster = Roster::default();
    for (last, (state, end)) in (1..).zip(others) {
        let status = Status {
            incarnation: 1,
            zone: "z",
            state: *state,
            served: true,
            end: Position::new(0, *end),
        };
        roster.receive(Ipv4Addr::new(10, 0, 0, last), status, NOW);
    }
    roster
}

#[rstest]
// No other entry.
#[case(&[], false)]
// Half of two entries.
#[case(&[(State::Ready, 8)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8)], true)]
// Copies that end where the own one does.
#[case(&[(State::Ready, 7), (State::Ready, 7)], false)]
// Half of four entries, and three of five.
#[case(&[(State::Ready, 8), (State::Ready, 9), (State::Ready, 7)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 9), (State::Ready, 8), (State::Ready, 7)], true)]
// Entries that can't accept callers don't count as ahead, but remain in the total: otherwise one entry after the other
// would withdraw until few serve.
#[case(&[(State::Ready, 8), (State::Starting, 8), (State::Leaving, 8)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8), (State::Starting, 7)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8), (State::Leaving, 7)], true)]
fn entries_that_accept_callers_and_have_newer_records_count_towards_the_majority(
    #[case] others: &[(State, u64)],
    #[case] most: bool,
) {
    let roster = roster(others);
    assert_eq!(roster.majority_beyond(Position::new(0, 7), NOW), most);
    // Silent entries don't count.
    assert!(!roster.majority_beyond(Position::new(0, 7), NOW.after_ms(5_000)));
}

#[rstest]
#[case(None, true, Freshness::Current)]
#[case(Some(0), true, Freshness::Behind)]
#[case(Some(1_599), true, Freshness::Behind)]
#[case(Some(1_600), true, Freshness::Stale)]
#[case(Some(60_000), false, Freshness::Behind)]
fn an_entry_becomes_stale_after_a_time_if_others_have_newer_records(
    #[case] lacked_ms: Option<u64>,
    #[case] most: bool,
    #[case] expected: Freshness,
) {
    let lacked = lacked_ms.map(Duration::from_millis);
    assert_eq!(Freshness::of(lacked, APPLY, || most), expected);
    // The limit scales with the time that the operator allows.
    let twice = lacked.map(|it| 2 * it);
    assert_eq!(Freshness::of(twice, 2 * APPLY, || most), expected);
}

/// Returns the freshness over time of an entry that learns of a version every 330 ms and gets each `delay_ms` later.
fn freshness_with_delay(delay_ms: u64) -> Vec<Freshness> {
    let mut ends = LatestWrites::default();
    let mut freshness = Vec::new();
    for now_ms in (0..60_000).step_by(10) {
        let now = Time::ZERO.after_ms(now_ms);
        ends.note(Position::new(0, now_ms / 330 + 1), now);
        let end = now_ms.checked_sub(delay_ms).map_or(0, |it| it / 330 + 1);
        let lacked = ends
            .known_since(Position::new(0, end))
            .map(|it| now.since(it));
        freshness.push(Freshness::of(lacked, APPLY, || true));
    }
    freshness
}

#[test]
fn an_entry_with_a_constant_small_delay_never_becomes_stale() {
    for delay_ms in [10, 300, 500, 1_000, 1_590] {
        let freshness = freshness_with_delay(delay_ms);
        assert!(!freshness.contains(&Freshness::Stale), "{delay_ms}");
    }
    assert!(freshness_with_delay(1_900).contains(&Freshness::Stale));
}
