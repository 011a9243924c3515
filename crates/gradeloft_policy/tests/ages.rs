//! Since when records count as written.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    process::{
        earliest_writes::EarliestWrites,
        gaps::Gaps,
        latest_writes::LatestWrites,
        write_times::{Read, WriteTimes},
    },
};
use proptest::prelude::*;
use rstest::rstest;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// A read that waits for up to two seconds.
fn read(asked: u64, answered: u64) -> Read {
    Read {
        asked: at(asked),
        wait: Duration::from_secs(2),
        answered: at(answered),
        bytes: 20,
        disturbed: false,
    }
}

/// A copy of a table with five records, which was last read whole at one second, and confirmed.
fn steady() -> WriteTimes {
    let mut ages = WriteTimes::default();
    ages.note_read(0..5, read(900, 1_000));
    ages.confirm(5, at(900));
    ages
}

#[test]
fn what_is_read_in_steady_reading_counts_from_the_read() {
    let mut ages = steady();
    ages.note_read(5..6, read(1_050, 2_900));
    assert_eq!(ages.effective_since(5), Some(at(2_900)));
}

#[rstest]
#[case::after_a_pause_between_reads(read(1_751, 1_800))]
#[case::late(read(1_050, 3_351))]
#[case::disturbed(Read { disturbed: true, ..read(1_050, 1_100) })]
fn what_is_read_after_an_interruption_counts_from_when_the_copy_was_whole(#[case] read: Read) {
    let mut ages = steady();
    ages.note_read(5..6, read);
    assert_eq!(ages.effective_since(5), Some(at(900)));
    assert_eq!(ages.known_since(5), None, "only what peers say is known");
}

/// While an answer is long on its way nobody looks at the store: a version that is named meanwhile comes on the next
/// read, at once, and was written any time since that answer was asked for.
#[rstest]
#[case::large(Read { bytes: 900_000, ..read(1_050, 2_400) })]
#[case::late(Read { wait: Duration::ZERO, ..read(1_050, 2_400) })]
fn what_is_read_right_after_an_answer_that_was_long_on_its_way_counts_from_before_it(
    #[case] long: Read,
) {
    let mut ages = steady();
    ages.note_read(5..6, long);
    ages.confirm(6, at(1_050));
    assert_eq!(ages.effective_since(5), Some(at(900)));
    ages.note_read(6..7, read(2_450, 2_500));
    ages.confirm(7, at(2_450));
    assert_eq!(ages.effective_since(6), Some(at(1_050)));
    ages.note_read(7..8, read(2_550, 3_500));
    assert_eq!(ages.effective_since(7), Some(at(3_500)));
}

#[test]
fn what_a_read_waited_for_was_not_there_when_it_was_asked() {
    let mut ages = steady();
    ages.note_read(
        5..6,
        Read {
            bytes: 900_000,
            ..read(1_050, 2_400)
        },
    );
    ages.confirm(6, at(1_050));
    ages.note_read(6..7, read(2_450, 2_751));
    assert_eq!(ages.effective_since(6), Some(at(2_450)));
}

#[test]
fn a_peers_word_that_its_copy_was_whole_bounds_what_is_read_after_an_interruption() {
    let mut ages = steady();
    ages.note_peer_complete(5, 300, at(3_000));
    // This one goes beyond the record, and says nothing of it.
    ages.note_peer_complete(6, 0, at(4_000));
    ages.note_read(5..6, read(4_500, 4_600));
    assert_eq!(ages.effective_since(5), Some(at(2_700)));
    assert_eq!(ages.complete_until(6), Some(at(4_000)));
}

#[test]
fn a_copy_that_was_never_whole_counts_from_the_read() {
    let mut ages = WriteTimes::default();
    ages.note_read(0..1, read(10_000, 10_100));
    assert_eq!(ages.effective_since(0), Some(at(10_100)));
}

#[test]
fn what_a_peer_gives_is_as_old_as_it_is_to_the_peer_or_to_this_process() {
    let mut ages = steady();
    ages.note_peer_end(6, at(4_000));
    ages.note_received(5, 20, at(4_010));
    assert_eq!(ages.effective_since(5), Some(at(3_990)));
    ages.note_peer_end(7, at(5_000));
    ages.note_received(6, 0, at(5_600));
    assert_eq!(ages.effective_since(6), Some(at(5_000)));
    ages.note_received(7, u64::from(u16::MAX), at(6_000));
    assert_eq!(ages.effective_since(7), Some(Time::ZERO));
}

#[test]
fn only_own_reads_confirm_a_copy_to_peers() {
    let mut ages = WriteTimes::default();
    ages.note_peer_complete(5, 0, at(1_000));
    assert_eq!(ages.unconfirmed_ms(at(1_100)), None);
    ages.confirm(5, at(1_050));
    assert_eq!(ages.unconfirmed_ms(at(1_100)), Some(50));
}

#[test]
fn an_earlier_time_counts_also_if_it_is_told_later() {
    let mut ends = LatestWrites::default();
    ends.note(5, at(50));
    ends.note(9, at(90));
    ends.note(7, at(20));
    ends.note(3, at(60));
    let known: Vec<_> = (0..10).step_by(2).map(|it| ends.known_since(it)).collect();
    let expected = [
        Some(at(20)),
        Some(at(20)),
        Some(at(20)),
        Some(at(20)),
        Some(at(90)),
    ];
    assert_eq!(known, expected);
}

#[rstest]
#[case::went_on(&[100, 800, 1_500], 900, 2_000, false)]
#[case::ended_since(&[100, 2_000], 1_900, 2_100, true)]
#[case::ended_before(&[100, 2_000], 2_100, 2_200, false)]
#[case::goes_on(&[100], 1_000, 1_101, true)]
#[case::went_on_long_before(&[100], 9_000, 9_100, false)]
#[case::never_an_event(&[], 9_000, 9_100, false)]
fn a_gap_disturbs_what_was_asked_before_its_end(
    #[case] events: &[u64],
    #[case] asked: u64,
    #[case] now: u64,
    #[case] within: bool,
) {
    let mut gaps = Gaps::new(1_000);
    events.iter().for_each(|it| gaps.note_event(at(*it)));
    assert_eq!(gaps.gap_since(at(asked), at(now)), within);
}

proptest! {
    /// However the words come, what was written lies between the bounds that they give.
    #[test]
    fn true_words_in_any_order_bound_the_time_of_every_record(
        pauses in prop::collection::vec(0_u64..50, 1..40),
        words in prop::collection::vec((0_u64..2_000, 0_u64..3, any::<bool>()), 0..80),
    ) {
        let written: Vec<u64> = pauses
            .iter()
            .scan(0, |sum, it| { *sum += it; Some(*sum) })
            .collect();
        let end_at = |time: u64| written.iter().filter(|it| **it <= time).count() as u64;
        let (mut ends, mut whole) = (LatestWrites::default(), EarliestWrites::default());
        for (time, less, upper) in words {
            let end = end_at(time);
            if upper {
                ends.note(end.saturating_sub(less), at(time));
            } else {
                whole.note(end + less, at(time));
            }
        }
        for (offset, time) in written.iter().enumerate() {
            let offset = offset as u64;
            prop_assert!(ends.known_since(offset).is_none_or(|it| at(*time) <= it));
            prop_assert!(whole.unwritten_until(offset).is_none_or(|it| it <= at(*time)));
        }
    }
}
