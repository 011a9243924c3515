//! Since when a table is known to go beyond a record: the latest time at which it can have been written.
//!
//! A record may come late to a process: behind large ones, over a link that carries little. What its
//! writer bounds by time counts from when it was written, and peers that have it say how far their copies
//! go well before the record itself is here. Messages come in any order, so an earlier time counts also
//! if it is received later.

use std::collections::VecDeque;

use crate::clock::Time;

/// Ends that are remembered: a few seconds of changes that follow each other closely.
const REMEMBERED: usize = 64;

/// Ends of a table, and by when it went that far.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::latest_writes::LatestWrites};
/// let mut ends = LatestWrites::default();
/// ends.note(7, Time::ZERO.after_ms(10));
/// ends.note(9, Time::ZERO.after_ms(20));
/// assert_eq!(ends.known_since(7), Some(Time::ZERO.after_ms(20)));
/// assert_eq!(ends.known_since(9), None);
/// ends.note(8, Time::ZERO.after_ms(5));
/// assert_eq!(ends.known_since(6), Some(Time::ZERO.after_ms(5)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatestWrites {
    /// Each higher and later than the one before it: others say nothing more.
    noted: VecDeque<(u64, Time)>,
}

impl LatestWrites {
    /// The table went up to `end` by the time `at`.
    pub fn note(&mut self, end: u64, at: Time) {
        let place = self.noted.partition_point(|it| it.0 < end);
        if self.noted.get(place).is_some_and(|it| it.1 <= at) {
            return;
        }
        if self.noted.get(place).is_some_and(|it| it.0 == end) {
            self.noted.remove(place);
        }
        let earlier = self.noted.partition_point(|it| it.1 < at);
        let first = earlier.min(place);
        self.noted.drain(first..place);
        self.noted.insert(first, (end, at));
        if REMEMBERED < self.noted.len() {
            self.noted.pop_front();
        }
    }

    /// Since when the record at `offset` is known to be there.
    pub fn known_since(&self, offset: u64) -> Option<Time> {
        let beyond = self.noted.iter().find(|it| offset < it.0);
        beyond.map(|it| it.1)
    }
}
