//! Upper bounds for the times at which records of a table were written.
//!
//! A record can reach a process late, behind large records or over a slow link. Time limits set by
//! its writer count from the time of writing, and peers that hold the record announce the end of
//! their copies well before the record itself arrives. Messages arrive in any order, so an earlier
//! time replaces a later one even if the earlier time is received last.

use std::collections::VecDeque;

use gradeloft_wire::position::Position;

use crate::clock::Time;

/// Number of ends that are remembered, enough for a few seconds of changes in close succession.
const MAX_ENDS: usize = 64;

/// Ends of a table, each with the earliest time by which the table is known to have reached this
/// end.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::latest_writes::LatestWrites};
/// use gradeloft_wire::position::Position;
/// let at = |offset| Position::new(0, offset);
/// let mut ends = LatestWrites::default();
/// ends.note(at(7), Time::ZERO.after_ms(10));
/// ends.note(at(9), Time::ZERO.after_ms(20));
/// assert_eq!(ends.known_since(at(7)), Some(Time::ZERO.after_ms(20)));
/// assert_eq!(ends.known_since(at(9)), None);
/// ends.note(at(8), Time::ZERO.after_ms(5));
/// assert_eq!(ends.known_since(at(6)), Some(Time::ZERO.after_ms(5)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatestWrites {
    /// Pairs of end and time, ascending in both; other pairs would add no information.
    ends: VecDeque<(Position, Time)>,
}

impl LatestWrites {
    /// Records that the table reached `end` by the time `at`.
    pub fn note(&mut self, end: Position, at: Time) {
        let place = self.ends.partition_point(|it| it.0 < end);
        if self.ends.get(place).is_some_and(|it| it.1 <= at) {
            return;
        }
        if self.ends.get(place).is_some_and(|it| it.0 == end) {
            self.ends.remove(place);
        }
        let earlier = self.ends.partition_point(|it| it.1 < at);
        let first = earlier.min(place);
        self.ends.drain(first..place);
        self.ends.insert(first, (end, at));
        if MAX_ENDS < self.ends.len() {
            self.ends.pop_front();
        }
    }

    /// Returns the earliest time by which the record at `position` is known to have been written.
    pub fn known_since(&self, position: Position) -> Option<Time> {
        let beyond = self.ends.iter().find(|it| position < it.0);
        beyond.map(|it| it.1)
    }
}
