//! Until when a table is known to have had no more: the earliest time at which a record can have been
//! written.
//!
//! What is read after an interruption may have been written at any time since the copy was last known to
//! be whole.

use std::collections::VecDeque;

use crate::clock::Time;

/// Ends that are remembered: a few seconds of changes that follow each other closely.
const REMEMBERED: usize = 64;

/// Ends of a table, and until when it went no further.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::earliest_writes::EarliestWrites};
/// let mut whole = EarliestWrites::default();
/// whole.note(7, Time::ZERO.after_ms(10));
/// whole.note(8, Time::ZERO.after_ms(20));
/// assert_eq!(whole.unwritten_until(7), Some(Time::ZERO.after_ms(10)));
/// assert_eq!(whole.unwritten_until(8), Some(Time::ZERO.after_ms(20)));
/// assert_eq!(whole.unwritten_until(6), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EarliestWrites {
    /// Each higher and later than the one before it: others say nothing more.
    noted: VecDeque<(u64, Time)>,
}

impl EarliestWrites {
    /// At the time `at` the table went no further than `end`.
    pub fn note(&mut self, end: u64, at: Time) {
        if self.unwritten_until(end).is_some_and(|it| at <= it) {
            return;
        }
        self.noted.retain(|it| it.0 < end || at < it.1);
        let place = self.noted.partition_point(|it| it.0 < end);
        self.noted.insert(place, (end, at));
        if REMEMBERED < self.noted.len() {
            self.noted.pop_front();
        }
    }

    /// Until when the record at `offset` is known not to have been written. A copy that ends there was whole
    /// until then.
    pub fn unwritten_until(&self, offset: u64) -> Option<Time> {
        let within = self.noted.iter().take_while(|it| it.0 <= offset);
        within.last().map(|it| it.1)
    }
}
