//! When peers first said that a table goes beyond a record.
//!
//! A record may come late to a process: behind large ones, over a link that carries little. What its
//! writer bounds by time counts from when it was written, and peers that have it say how far their copies
//! go well before the record itself is here.

use std::collections::VecDeque;

use crate::clock::Time;

/// Ends that are remembered: a few seconds of changes that follow each other closely.
const REMEMBERED: usize = 64;

/// Ends of a table that peers told, each higher than the one before it.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::ends::Ends};
/// let mut ends = Ends::default();
/// ends.told(7, Time::ZERO.after_ms(10));
/// ends.told(9, Time::ZERO.after_ms(20));
/// assert_eq!(ends.known_since(7), Some(Time::ZERO.after_ms(20)));
/// assert_eq!(ends.known_since(9), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ends {
    told: VecDeque<(u64, Time)>,
}

impl Ends {
    /// A peer's copy goes up to `end`.
    pub fn told(&mut self, end: u64, now: Time) {
        if self.told.back().is_some_and(|it| end <= it.0) {
            return;
        }
        self.told.push_back((end, now));
        if REMEMBERED < self.told.len() {
            self.told.pop_front();
        }
    }

    /// Since when the record at `offset` is known to be there.
    pub fn known_since(&self, offset: u64) -> Option<Time> {
        let beyond = self.told.iter().find(|it| offset < it.0);
        beyond.map(|it| it.1)
    }
}
