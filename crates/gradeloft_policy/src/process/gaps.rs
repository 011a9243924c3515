//! Detects gaps between recurring events, such as the ticks of a process or the datagrams of its
//! peers.
//!
//! Data that is read right after a gap can be old, since the process was suspended or nothing
//! reached it.

use std::time::Duration;

use crate::clock::Time;

/// Time after a gap for which a received message may have been in the socket since before the end
/// of the gap, in milliseconds: a running process empties the socket within this time.
const STALE_MS: u64 = 250;

/// Gaps between recurring events.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::gaps::Gaps};
/// let at = |ms| Time::ZERO.after_ms(ms);
/// let mut ticks = Gaps::new(1_000);
/// ticks.note_event(at(100));
/// assert!(!ticks.gap_since(at(90), at(1_100)));
/// assert!(ticks.gap_since(at(90), at(1_101)), "a gap may be in progress");
/// assert_eq!(ticks.current(at(1_101)).map(|it| it.as_millis()), Some(1_001));
/// ticks.note_event(at(4_000));
/// assert!(ticks.gap_since(at(3_990), at(4_010)));
/// assert!(ticks.fresh(at(4_250)) && !ticks.fresh(at(4_249)));
/// assert_eq!(ticks.last_end(at(4_900)), Some(at(4_000)));
/// assert_eq!(ticks.last_end(at(6_000)), Some(at(6_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Gaps {
    /// Longest pause between events that is not a gap, in milliseconds.
    limit_ms: u64,
    last: Option<Time>,
    /// Time at which the last gap ended.
    ended: Option<Time>,
}

impl Gaps {
    /// Creates a detector for which pauses longer than `limit_ms` are gaps. Before the first event
    /// there is no gap.
    pub fn new(limit_ms: u64) -> Gaps {
        Gaps {
            limit_ms,
            last: None,
            ended: None,
        }
    }

    /// Records an event.
    pub fn note_event(&mut self, now: Time) {
        if self.gap_start().is_some_and(|it| it < now) {
            self.ended = Some(now);
        }
        self.last = Some(now);
    }

    /// Returns the time since the last event if it counts as a gap.
    pub fn current(&self, now: Time) -> Option<Duration> {
        let last = self.last?;
        self.gap_start()
            .is_some_and(|it| it < now)
            .then(|| now.since(last))
    }

    /// Returns whether a gap ended at or after `requested_at`, or is in progress and was first
    /// recognised after it. A gap that was recognised earlier and still lasts is ignored, since a
    /// process without peers never receives anything.
    pub fn gap_since(&self, requested_at: Time, now: Time) -> bool {
        let goes_on = |it: Time| requested_at < it && it < now;
        self.ended.is_some_and(|it| requested_at <= it) || self.gap_start().is_some_and(goes_on)
    }

    /// Returns the time at which the last gap ended, which is `now` while a gap is in progress.
    pub fn last_end(&self, now: Time) -> Option<Time> {
        let goes_on = self.gap_start().is_some_and(|it| it < now);
        if goes_on { Some(now) } else { self.ended }
    }

    /// Returns whether a message received now was sent recently.
    pub fn fresh(&self, now: Time) -> bool {
        self.ended.is_none_or(|it| it.after_ms(STALE_MS) <= now)
    }

    /// Returns the time from which on the pause since the last event counts as a gap.
    fn gap_start(&self) -> Option<Time> {
        self.last.map(|it| it.after_ms(self.limit_ms))
    }
}
