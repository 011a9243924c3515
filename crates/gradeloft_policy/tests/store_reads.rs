//! Tests of the trust in removals by the reads of the store that succeeded.

use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::Record,
        replicas::StoreTrust,
        store_reads::{DoubtfulRemovals, ReadPeriod, Removal, Since, continued_since, vouches},
    },
};
use gradeloft_wire::position::Position;
use rstest::rstest;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

fn end(offset: u64) -> Position {
    Position::new(0, offset)
}

/// A removal at offset 7, written at 10 s.
const REMOVAL: Removal = Removal {
    end: Position::new(0, 8),
    written: Time(10_000_000),
};

fn period(since_ms: u64, offset: u64) -> Option<ReadPeriod> {
    Some(ReadPeriod {
        since: at(since_ms).into(),
        until: at(10_000),
        end: end(offset),
    })
}

#[rstest]
#[case::by_own_reads(Some(8_500), None, StoreTrust::Sound)]
#[case::not_by_own_reads_that_just_resumed(Some(8_501), None, StoreTrust::Doubtful(at(10_801)))]
#[case::not_without_any_reads(None, None, StoreTrust::Doubtful(at(12_300)))]
#[case::by_a_peer_despite_own_reads_that_just_resumed(
    Some(9_900),
    period(8_500, 8),
    StoreTrust::Sound
)]
#[case::by_a_peer_without_own_reads(None, period(8_500, 8), StoreTrust::Sound)]
#[case::not_by_a_peer_that_lacks_it(None, period(8_500, 7), StoreTrust::Doubtful(at(12_300)))]
#[case::not_by_a_peer_whose_reads_just_resumed(
    None,
    period(9_000, 8),
    StoreTrust::Doubtful(at(11_300))
)]
fn a_removal_is_sound_only_if_reads_before_it_succeeded(
    #[case] own_since_ms: Option<u64>,
    #[case] peers: Option<ReadPeriod>,
    #[case] trust: StoreTrust,
) {
    let own_since = own_since_ms.map(|it| Since::from(at(it)));
    assert_eq!(REMOVAL.trust(own_since, peers, at(10_100)), trust);
}

#[test]
fn only_long_reads_of_the_process_itself_are_vouched_for() {
    assert!(!vouches(None, at(60_000)));
    assert!(!vouches(Some(at(1_000).into()), at(2_999)));
    assert!(vouches(Some(at(1_000).into()), at(3_000)));
}

#[test]
fn adjoining_periods_count_as_one() {
    let vouched = |ms, offset| ReadPeriod::vouched(at(ms), at(ms), end(offset));
    let first = ReadPeriod::vouched(at(5_000), at(5_010), end(4));
    assert_eq!(first.since, at(3_010).into());
    let adjoining = first.extended(vouched(7_000, 6));
    assert_eq!(
        (adjoining.since, adjoining.until, adjoining.end),
        (at(3_010).into(), at(7_000), end(6))
    );
    // Nobody is known to have read the store between 7 s and 7.1 s.
    let later = adjoining.extended(vouched(9_100, 9));
    assert_eq!(later.since, at(7_100).into());
    assert_eq!(later.extended(vouched(9_200, 8)), later);
}

#[test]
fn reads_join_a_period_that_overlaps_them() {
    let peers = period(1_000, 8).unwrap();
    assert_eq!(peers.joined(at(9_000).into()), Some(at(1_000).into()));
    assert_eq!(peers.joined(at(10_001).into()), None);
    assert_eq!(peers.joined(at(900).into()), None);
}

/// Guards against removals that are doubtful at a process because it has just started.
#[test]
fn a_peer_vouches_for_the_time_before_the_start_of_this_process() {
    let removal = Removal {
        written: at(300),
        ..REMOVAL
    };
    let peers = ReadPeriod::vouched(at(100), at(110), end(8));
    assert_eq!(removal.trust(None, Some(peers), at(310)), StoreTrust::Sound);
    let own_since = continued_since(Some(peers), Some(at(100)), at(200));
    assert!(vouches(own_since, at(200)));
}

#[test]
fn a_reader_that_takes_over_continues_only_reads_that_were_recent() {
    let peers = period(1_000, 8);
    assert_eq!(
        continued_since(peers, Some(at(9_000)), at(11_399)),
        Some(at(1_000).into())
    );
    assert_eq!(continued_since(peers, Some(at(9_000)), at(11_400)), None);
    assert_eq!(continued_since(peers, None, at(11_000)), None);
    assert_eq!(continued_since(None, Some(at(9_000)), at(9_100)), None);
}

fn record(key: &str) -> Record {
    Record {
        key: key.to_owned(),
        value: None,
        position: end(7),
    }
}

#[test]
fn doubtful_removals_are_confirmed_by_a_period_that_covers_them() {
    let mut doubts = DoubtfulRemovals::default();
    doubts.note(record("gone"), REMOVAL, at(12_300));
    doubts.note(record("back"), REMOVAL, at(12_300));
    let listed = |key: &str| key == "back";
    assert!(
        doubts
            .take_confirmed(None, period(8_500, 7), listed, at(10_200))
            .is_empty()
    );
    assert!(doubts.any(at(10_200)));
    let sound = doubts.take_confirmed(None, period(8_500, 8), listed, at(10_300));
    assert_eq!(sound, [record("gone")]);
    assert!(!doubts.any(at(10_300)));
}

#[test]
fn a_doubt_ends_with_the_time_after_reads_that_resumed_earlier_than_was_known() {
    let mut doubts = DoubtfulRemovals::default();
    doubts.note(record("gone"), REMOVAL, at(12_300));
    let take = |doubts: &mut DoubtfulRemovals, ms| {
        doubts.take_confirmed(None, period(9_000, 8), |_| false, at(ms))
    };
    assert!(take(&mut doubts, 11_299).is_empty());
    assert_eq!(take(&mut doubts, 11_300), [record("gone")]);
}

#[test]
fn doubts_end_by_themselves() {
    let mut doubts = DoubtfulRemovals::default();
    doubts.note(record("gone"), REMOVAL, at(12_300));
    assert!(doubts.any(at(12_299)) && !doubts.any(at(12_300)));
    assert!(
        doubts
            .take_confirmed(None, period(8_500, 8), |_| false, at(12_300))
            .is_empty()
    );
}
