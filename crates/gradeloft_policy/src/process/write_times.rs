//! Since when the records of a table count as written.
//!
//! Nobody says when a record was written. What is read in steady reading was written a moment ago; what is
//! read after an interruption may have been written at any time since the copy was last whole, and counts
//! from there; what a peer gives is as old as it is to the peer, or older if this process heard of it
//! before.

use std::time::Duration;

use super::{earliest_writes::EarliestWrites, latest_writes::LatestWrites};
use crate::clock::Time;

/// Pause between two good reads from which on reading was interrupted, in milliseconds: the pause between
/// reads of the operator's table is 50 ms, and the longest after a single failure 150 ms.
const STEADY_PAUSE_MS: u64 = 300;
/// Time after the end of its wait by which a read's answer is here if nothing holds it up, in milliseconds:
/// entries require new weights early enough for what was learned so late.
const LATE_MS: u64 = 300;

/// Size of an answer from which on its way here takes time that counts, in bytes: 0.2 s on a link of 1.2 MB a
/// second, such as that of a store.
const LARGE_BYTES: usize = 256 << 10;

/// How a read of the store went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// When it was asked for.
    pub asked: Time,
    /// Longest wait at the store for something new.
    pub wait: Duration,
    /// When the answer came.
    pub answered: Time,
    /// Bytes of what it brought.
    pub bytes: usize,
    /// Whether the read before it failed, or this process stood still or was cut off meanwhile.
    pub disturbed: bool,
}

impl Read {
    /// Whether the answer may have begun long before it was here.
    fn is_delayed(self) -> bool {
        let late = self.asked.after(self.wait).after_ms(LATE_MS) < self.answered;
        late || LARGE_BYTES <= self.bytes
    }
}

/// What is known of the times at which one table's records were written.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes {
    /// The latest times.
    latest: LatestWrites,
    /// The times that count: between the earliest and the latest.
    effective: LatestWrites,
    /// The earliest times.
    earliest: EarliestWrites,
    /// Until when the copy was whole by this process's own reads.
    confirmed: Option<Time>,
    /// When the last good read ended.
    read_at: Option<Time>,
    /// Whether its answer was long on its way: nobody looked at the store meanwhile.
    read_delayed: bool,
}

impl WriteTimes {
    /// A peer's copy goes up to `end` now.
    pub fn note_peer_end(&mut self, end: u64, now: Time) {
        self.latest.note(end, now);
    }

    /// A peer's copy, which goes up to `end`, was whole `age_ms` before `now`.
    pub fn note_peer_complete(&mut self, end: u64, age_ms: u64, now: Time) {
        self.earliest.note(end, now.before_ms(age_ms));
    }

    /// A peer gave a record on a call that was made at `asked`, and knew it for `age_ms`.
    pub fn note_received(&mut self, offset: u64, age_ms: u64, asked: Time) {
        self.effective.note(offset + 1, asked.before_ms(age_ms));
    }

    /// A read brought the records at `offsets`.
    pub fn read(&mut self, offsets: impl Iterator<Item = u64>, read: Read) {
        let bound = self.bound(read);
        for offset in offsets {
            let earliest = self
                .earliest
                .unwritten_until(offset)
                .unwrap_or(read.answered);
            let counts = earliest.max(bound).min(read.answered);
            self.effective.note(offset + 1, counts);
        }
        self.read_at = Some(read.answered);
        self.read_delayed = read.is_delayed();
    }

    /// Before which time nothing was written that a read brought, as the read itself shows.
    fn bound(&self, read: Read) -> Time {
        if read.disturbed || read.is_delayed() {
            return Time::ZERO;
        }
        let paused = |it: Time| it.after_ms(STEADY_PAUSE_MS) < read.asked;
        let looked = !self.read_at.is_none_or(paused) && !self.read_delayed;
        let waited = read.asked.after_ms(LATE_MS) < read.answered;
        match (looked, waited) {
            (true, _) => read.answered,
            // What was there when it was asked for would have come at once.
            (false, true) => read.asked,
            (false, false) => Time::ZERO,
        }
    }

    /// This process's copy, which goes up to `end`, was whole at `at` by its own reading.
    pub fn confirm(&mut self, end: u64, at: Time) {
        self.earliest.note(end, at);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// For how long the copy has not been known to be whole by own reads, in milliseconds, if it ever was.
    pub fn unconfirmed_ms(&self, now: Time) -> Option<u64> {
        self.confirmed.map(|it| now.since(it).as_millis() as u64)
    }

    /// Until when a copy that goes up to `end` is known to have been whole, by own reads and by peers'.
    pub fn complete_until(&self, end: u64) -> Option<Time> {
        self.earliest.unwritten_until(end)
    }

    /// Since when a record is known to be there: it was written then or before.
    pub fn known_since(&self, offset: u64) -> Option<Time> {
        self.latest.known_since(offset)
    }

    /// Since when a record counts as written, where its writer bounds something by time.
    pub fn effective_since(&self, offset: u64) -> Option<Time> {
        let (known, counted) = (
            self.latest.known_since(offset),
            self.effective.known_since(offset),
        );
        known.into_iter().chain(counted).min()
    }
}
