//! Entries that know that others have newer records.

use std::{net::Ipv4Addr, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        freshness::Freshness,
        latest_writes::LatestWrites,
        roster::{Roster, State, Status},
    },
};
use rstest::rstest;

const NOW: Time = Time::ZERO;
/// Time for a configuration to be in force.
const APPLY: Duration = Duration::from_secs(2);

/// Others' states, and how far each one's copy goes.
fn roster(others: &[(State, u64)]) -> Roster {
    let mut roster = Roster::default();
    for (last, (state, end)) in (1..).zip(others) {
        let word = Status {
            incarnation: 1,
            zone: "z",
            state: *state,
            served: true,
            end: *end,
        };
        roster.receive(Ipv4Addr::new(10, 0, 0, last), word, NOW);
    }
    roster
}

#[rstest]
// Nobody else.
#[case(&[], false)]
// Half of two.
#[case(&[(State::Ready, 8)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8)], true)]
// As far as this one.
#[case(&[(State::Ready, 7), (State::Ready, 7)], false)]
// Half of four, and three of five.
#[case(&[(State::Ready, 8), (State::Ready, 9), (State::Ready, 7)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 9), (State::Ready, 8), (State::Ready, 7)], true)]
// Those that can take no callers are no help, but those that stepped aside stay in the count: when they
// left it, one after the other would step aside until few serve.
#[case(&[(State::Ready, 8), (State::Starting, 8), (State::Leaving, 8)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8), (State::Starting, 7)], false)]
#[case(&[(State::Ready, 8), (State::Ready, 8), (State::Leaving, 7)], true)]
fn others_count_if_they_can_take_callers_and_know_more(
    #[case] others: &[(State, u64)],
    #[case] most: bool,
) {
    let roster = roster(others);
    assert_eq!(roster.majority_beyond(7, NOW), most);
    // Those that fell silent count for nothing.
    assert!(!roster.majority_beyond(7, NOW.after_ms(5_000)));
}

#[rstest]
#[case(None, true, Freshness::Current)]
#[case(Some(0), true, Freshness::Behind)]
#[case(Some(1_599), true, Freshness::Behind)]
#[case(Some(1_600), true, Freshness::Stale)]
#[case(Some(60_000), false, Freshness::Behind)]
fn an_entry_steps_aside_after_a_while_if_others_know_more(
    #[case] lacked_ms: Option<u64>,
    #[case] most: bool,
    #[case] expected: Freshness,
) {
    let lacked = lacked_ms.map(Duration::from_millis);
    assert_eq!(Freshness::of(lacked, APPLY, || most), expected);
    // Where the operator allows twice the time, so does the entry.
    let twice = lacked.map(|it| 2 * it);
    assert_eq!(Freshness::of(twice, 2 * APPLY, || most), expected);
}

/// Standing over time of an entry that hears of a version each 330 ms and gets each so much later.
fn in_a_storm(delay_ms: u64) -> Vec<Freshness> {
    let mut ends = LatestWrites::default();
    let mut standings = Vec::new();
    for now_ms in (0..60_000).step_by(10) {
        let now = Time::ZERO.after_ms(now_ms);
        ends.note(now_ms / 330 + 1, now);
        let end = now_ms.checked_sub(delay_ms).map_or(0, |it| it / 330 + 1);
        let lacked = ends.known_since(end).map(|it| now.since(it));
        standings.push(Freshness::of(lacked, APPLY, || true));
    }
    standings
}

#[test]
fn an_entry_that_is_always_a_little_behind_serves_on() {
    for delay_ms in [10, 300, 500, 1_000, 1_590] {
        let standings = in_a_storm(delay_ms);
        assert!(!standings.contains(&Freshness::Stale), "{delay_ms}");
    }
    assert!(in_a_storm(1_900).contains(&Freshness::Stale));
}
