//! Estimates the times at which records of a table were written.
//!
//! Records carry no time of writing. A record read during steady reading counts as just written. A
//! record read after an interruption can have been written at any time since the copy was last
//! complete, and counts as written at that time. A record received from a peer is as old as it is
//! at the peer, or older if this process learned of it earlier.

use std::{collections::HashMap, time::Duration};

use gradeloft_wire::position::Position;

use super::{earliest_writes::EarliestWrites, latest_writes::LatestWrites};
use crate::clock::Time;

/// Pause between two successful reads above which reading counts as interrupted, in milliseconds:
/// the pause between reads of the operator's table is 50 ms, and at most 150 ms after a single
/// failure.
const STEADY_PAUSE_MS: u64 = 300;
/// Time after the end of the store's wait within which an undelayed read is complete, in
/// milliseconds. Entries require new weights early enough to allow for records that they learn of
/// with this delay.
const DELAYED_MS: u64 = 300;

/// Size from which the transfer time of a response is significant, in bytes: 0.2 s on a link of
/// 1.2 MB a second, such as that of a store.
const LARGE_BYTES: usize = 256 << 10;

/// Timing and size of a read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// Time at which the read was requested.
    pub requested_at: Time,
    /// Longest time that the store waits for new records.
    pub wait: Duration,
    /// Time at which the response was received.
    pub received_at: Time,
    /// Size of the records in the response, in bytes.
    pub bytes: usize,
    /// Whether the previous read failed, or this process was suspended or cut off in the meantime.
    pub disturbed: bool,
}

impl Read {
    /// Returns whether the store may have begun the response long before it arrived.
    fn is_delayed(self) -> bool {
        let late = self.requested_at.after(self.wait).after_ms(DELAYED_MS) < self.received_at;
        late || LARGE_BYTES <= self.bytes
    }
}

/// Bounds and estimates of the times at which the records of one table were written.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes {
    /// Upper bounds.
    latest: LatestWrites,
    /// Effective times, between the lower and the upper bounds.
    effective: LatestWrites,
    /// Lower bounds.
    earliest: EarliestWrites,
    /// Effective times of records that a restored store still has, at their positions in the new
    /// era.
    restored: HashMap<Position, Time>,
    /// Latest time at which this process's own reads showed the copy to be complete.
    confirmed: Option<Time>,
    /// Time at which the last successful read ended.
    read_at: Option<Time>,
    /// Whether the response to the last read was delayed, so that the store went unobserved
    /// meanwhile.
    read_delayed: bool,
}

impl WriteTimes {
    /// Records that the copy of a peer reaches up to `end` at `now`.
    pub fn note_peer_end(&mut self, end: Position, now: Time) {
        self.latest.note(end, now);
    }

    /// Records that the copy of a peer, which reaches up to `end`, was complete `age_ms` before
    /// `now`.
    pub fn note_peer_complete(&mut self, end: Position, age_ms: u64, now: Time) {
        self.earliest.note(end, now.before_ms(age_ms));
    }

    /// Records that a peer sent a record that it has known for `age_ms`, in reply to a call made
    /// at `requested_at`.
    pub fn note_received(&mut self, position: Position, age_ms: u64, requested_at: Time) {
        self.effective
            .note(position.next(), requested_at.before_ms(age_ms));
    }

    /// Sets the times at which the records that a restored store still has were written, by their
    /// positions in the new era.
    pub fn set_restored(&mut self, written: HashMap<Position, Time>) {
        self.restored = written;
    }

    /// Records that a read brought the records at `positions`.
    pub fn note_read(&mut self, positions: impl Iterator<Item = Position>, read: Read) {
        let bound = self.lower_bound(read);
        for position in positions {
            let earliest = self
                .earliest
                .unwritten_until(position)
                .unwrap_or(read.received_at);
            let written = earliest.max(bound).min(read.received_at);
            self.effective.note(position.next(), written);
        }
        self.read_at = Some(read.received_at);
        self.read_delayed = read.is_delayed();
    }

    /// Returns the lower bound for the write times of the records of a read, as far as the read
    /// itself shows it.
    fn lower_bound(&self, read: Read) -> Time {
        if read.disturbed || read.is_delayed() {
            return Time::ZERO;
        }
        let paused = |it: Time| it.after_ms(STEADY_PAUSE_MS) < read.requested_at;
        let reading_steadily = !self.read_at.is_none_or(paused) && !self.read_delayed;
        let waited = read.requested_at.after_ms(DELAYED_MS) < read.received_at;
        match (reading_steadily, waited) {
            (true, _) => read.received_at,
            // The store would have responded at once if the records had been there at the start of
            // the read.
            (false, true) => read.requested_at,
            (false, false) => Time::ZERO,
        }
    }

    /// Records that this process's own reads showed its copy, which reaches up to `end`, to be
    /// complete at `at`.
    pub fn confirm(&mut self, end: Position, at: Time) {
        self.earliest.note(end, at);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the time since this process's own reads last showed the copy to be complete, in
    /// milliseconds, or `None` if they never did.
    pub fn unconfirmed_ms(&self, now: Time) -> Option<u64> {
        self.confirmed.map(|it| now.since(it).as_millis() as u64)
    }

    /// Returns the time at which the last successful read ended.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// Returns the latest time at which a copy that reaches up to `end` is known to have been
    /// complete, by the reads of this process and of peers.
    pub fn complete_until(&self, end: Position) -> Option<Time> {
        self.earliest.unwritten_until(end)
    }

    /// Returns the earliest time by which a record is known to have been written.
    pub fn known_since(&self, position: Position) -> Option<Time> {
        self.latest.known_since(position)
    }

    /// Returns the time at which a record counts as written, from which time limits set by its
    /// writer are measured.
    pub fn effective_since(&self, position: Position) -> Option<Time> {
        let (known, counted) = (
            self.latest.known_since(position),
            self.effective.known_since(position),
        );
        let restored = self.restored.get(&position).copied();
        known.into_iter().chain(counted).chain(restored).min()
    }
}
