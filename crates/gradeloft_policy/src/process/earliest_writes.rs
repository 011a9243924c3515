//! Lower bounds for the times at which records of a table were written.
//!
//! A record that is read after an interruption may have been written at any time since the copy was
//! last known to be complete.

use std::collections::VecDeque;

use gradeloft_wire::position::Position;

use crate::clock::Time;

/// Number of ends that are remembered, enough for a few seconds of changes in close succession.
const MAX_ENDS: usize = 64;

/// Ends of a table, each with the latest time at which the table is known to have reached no
/// further than this end.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::earliest_writes::EarliestWrites};
/// use gradeloft_wire::position::Position;
/// let at = |offset| Position::new(0, offset);
/// let mut whole = EarliestWrites::default();
/// whole.note(at(7), Time::ZERO.after_ms(10));
/// whole.note(at(8), Time::ZERO.after_ms(20));
/// assert_eq!(whole.unwritten_until(at(7)), Some(Time::ZERO.after_ms(10)));
/// assert_eq!(whole.unwritten_until(at(8)), Some(Time::ZERO.after_ms(20)));
/// assert_eq!(whole.unwritten_until(at(6)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EarliestWrites {
    /// Pairs of end and time, ascending in both; other pairs would add no information.
    ends: VecDeque<(Position, Time)>,
}

impl EarliestWrites {
    /// Records that the table ended at or before `end` at the time `at`.
    pub fn note(&mut self, end: Position, at: Time) {
        if self.unwritten_until(end).is_some_and(|it| at <= it) {
            return;
        }
        self.ends.retain(|it| it.0 < end || at < it.1);
        let place = self.ends.partition_point(|it| it.0 < end);
        self.ends.insert(place, (end, at));
        if MAX_ENDS < self.ends.len() {
            self.ends.pop_front();
        }
    }

    /// Returns the latest time at which the record at `position` is known not to have been written
    /// yet. A copy that ends at `position` was complete until that time.
    pub fn unwritten_until(&self, position: Position) -> Option<Time> {
        let within = self.ends.iter().take_while(|it| it.0 <= position);
        within.last().map(|it| it.1)
    }
}
