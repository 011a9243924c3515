//! Tests of the estimated write times of records.

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
use gradeloft_wire::position::Position;
use proptest::prelude::*;
use rstest::rstest;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// Returns the position at an offset in the first era.
fn position(offset: u64) -> Position {
    Position::new(0, offset)
}

fn positions(offsets: std::ops::Range<u64>) -> impl Iterator<Item = Position> {
    offsets.map(position)
}

/// Returns a read that waits for up to two seconds.
fn read(asked: u64, answered: u64) -> Read {
    Read {
        requested_at: at(asked),
        wait: Duration::from_secs(2),
        received_at: at(answered),
        bytes: 20,
        disturbed: false,
    }
}

/// Returns the write times of a copy with five records, whose latest complete read, requested at 900 ms and
/// answered at one second, is confirmed.
fn confirmed_copy() -> WriteTimes {
    let mut write_times = WriteTimes::default();
    write_times.note_read(positions(0..5), read(900, 1_000));
    write_times.confirm(position(5), at(900));
    write_times
}

#[test]
fn a_record_of_a_continuous_read_counts_from_the_read() {
    let mut write_times = confirmed_copy();
    write_times.note_read(positions(5..6), read(1_050, 2_900));
    assert_eq!(write_times.effective_since(position(5)), Some(at(2_900)));
}

#[test]
fn a_record_at_an_offset_that_was_assigned_before_a_restore_counts_from_after_it() {
    let mut write_times = confirmed_copy();
    write_times.note_peer_end(position(5), at(1_000));
    let rewritten = Position::new(1, 3);
    assert_eq!(write_times.effective_since(rewritten), None);
    write_times.note_read([rewritten].into_iter(), read(3_000, 3_100));
    assert_eq!(write_times.effective_since(rewritten), Some(at(900)));
    write_times.note_peer_end(rewritten.next(), at(2_000));
    assert_eq!(write_times.known_since(rewritten), Some(at(2_000)));
}

#[rstest]
#[case::after_a_pause_between_reads(read(1_751, 1_800))]
#[case::late(read(1_050, 3_351))]
#[case::disturbed(Read { disturbed: true, ..read(1_050, 1_100) })]
fn a_record_read_after_an_interruption_counts_from_the_last_complete_copy(#[case] read: Read) {
    let mut write_times = confirmed_copy();
    write_times.note_read(positions(5..6), read);
    assert_eq!(write_times.effective_since(position(5)), Some(at(900)));
    assert_eq!(
        write_times.known_since(position(5)),
        None,
        "only reports of peers count as known"
    );
}

/// Guards against too late a write time after a slow response. Nothing reads the store while the response is
/// in transit, so a version that is named meanwhile arrives immediately with the next read, and may have been
/// written at any time since the slow read was requested.
#[rstest]
#[case::large(Read { bytes: 900_000, ..read(1_050, 2_400) })]
#[case::late(Read { wait: Duration::ZERO, ..read(1_050, 2_400) })]
fn a_record_read_right_after_a_slow_response_counts_from_before_that_response(#[case] long: Read) {
    let mut write_times = confirmed_copy();
    write_times.note_read(positions(5..6), long);
    write_times.confirm(position(6), at(1_050));
    assert_eq!(write_times.effective_since(position(5)), Some(at(900)));
    write_times.note_read(positions(6..7), read(2_450, 2_500));
    write_times.confirm(position(7), at(2_450));
    assert_eq!(write_times.effective_since(position(6)), Some(at(1_050)));
    write_times.note_read(positions(7..8), read(2_550, 3_500));
    assert_eq!(write_times.effective_since(position(7)), Some(at(3_500)));
}

#[test]
fn a_record_that_a_read_waited_for_was_written_after_the_request() {
    let mut write_times = confirmed_copy();
    write_times.note_read(
        positions(5..6),
        Read {
            bytes: 900_000,
            ..read(1_050, 2_400)
        },
    );
    write_times.confirm(position(6), at(1_050));
    write_times.note_read(positions(6..7), read(2_450, 2_751));
    assert_eq!(write_times.effective_since(position(6)), Some(at(2_450)));
}

#[test]
fn a_peers_report_of_a_complete_copy_bounds_records_read_after_an_interruption() {
    let mut write_times = confirmed_copy();
    write_times.note_peer_complete(position(5), 300, at(3_000));
    // The copy of this peer already contains the record, so its report gives no bound.
    write_times.note_peer_complete(position(6), 0, at(4_000));
    write_times.note_read(positions(5..6), read(4_500, 4_600));
    assert_eq!(write_times.effective_since(position(5)), Some(at(2_700)));
    assert_eq!(write_times.complete_until(position(6)), Some(at(4_000)));
}

#[test]
fn a_record_of_a_copy_that_was_never_complete_counts_from_the_read() {
    let mut write_times = WriteTimes::default();
    write_times.note_read(positions(0..1), read(10_000, 10_100));
    assert_eq!(write_times.effective_since(position(0)), Some(at(10_100)));
}

#[test]
fn a_record_from_a_peer_has_the_earlier_of_the_peers_and_the_own_write_time() {
    let mut write_times = confirmed_copy();
    write_times.note_peer_end(position(6), at(4_000));
    write_times.note_received(position(5), 20, at(4_010));
    assert_eq!(write_times.effective_since(position(5)), Some(at(3_990)));
    write_times.note_peer_end(position(7), at(5_000));
    write_times.note_received(position(6), 0, at(5_600));
    assert_eq!(write_times.effective_since(position(6)), Some(at(5_000)));
    write_times.note_received(position(7), u64::from(u16::MAX), at(6_000));
    assert_eq!(write_times.effective_since(position(7)), Some(Time::ZERO));
}

#[test]
fn only_own_reads_confirm_a_copy_to_peers() {
    let mut write_times = WriteTimes::default();
    write_times.note_peer_complete(position(5), 0, at(1_000));
    assert_eq!(write_times.unconfirmed_ms(at(1_100)), None);
    write_times.confirm(position(5), at(1_050));
    assert_eq!(write_times.unconfirmed_ms(at(1_100)), Some(50));
}

#[test]
fn the_earliest_time_counts_in_any_order_of_reports() {
    let mut ends = LatestWrites::default();
    ends.note(position(5), at(50));
    ends.note(position(9), at(90));
    ends.note(position(7), at(20));
    ends.note(position(3), at(60));
    let known: Vec<_> = (0..10)
        .step_by(2)
        .map(|it| ends.known_since(position(it)))
        .collect();
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
#[case::events_continue(&[100, 800, 1_500], 900, 2_000, false)]
#[case::gap_ended_since(&[100, 2_000], 1_900, 2_100, true)]
#[case::gap_ended_before(&[100, 2_000], 2_100, 2_200, false)]
#[case::gap_continues(&[100], 1_000, 1_101, true)]
#[case::first_event_long_before(&[100], 9_000, 9_100, false)]
#[case::no_event(&[], 9_000, 9_100, false)]
fn a_gap_disturbs_requests_sent_before_its_end(
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
    /// The write time of each record lies between the bounds that reports give, in any order of the reports.
    #[test]
    fn reports_in_any_order_bound_the_write_time_of_every_record(
        pauses in prop::collection::vec(0_u64..50, 1..40),
        reports in prop::collection::vec((0_u64..2_000, 0_u64..3, any::<bool>()), 0..80),
    ) {
        let written: Vec<u64> = pauses
            .iter()
            .scan(0, |sum, it| { *sum += it; Some(*sum) })
            .collect();
        let end_at = |time: u64| written.iter().filter(|it| **it <= time).count() as u64;
        let (mut ends, mut complete) = (LatestWrites::default(), EarliestWrites::default());
        for (time, less, upper) in reports {
            let end = end_at(time);
            if upper {
                ends.note(position(end.saturating_sub(less)), at(time));
            } else {
                complete.note(position(end + less), at(time));
            }
        }
        for (offset, time) in written.iter().enumerate() {
            let position = position(offset as u64);
            prop_assert!(ends.known_since(position).is_none_or(|it| at(*time) <= it));
            prop_assert!(complete.unwritten_until(position).is_none_or(|it| it <= at(*time)));
        }
    }
}
