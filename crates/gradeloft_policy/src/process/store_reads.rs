//! Periods in which reads of the platform's store succeeded, and the trust in removals that follows
//! from them.
//!
//! While the store is unavailable, the records of live replicas may lapse, and they return moments
//! after it is back. A process whose own reads failed can't distinguish an outage of the store
//! from a failure of its path to the store. Reads that succeeded show that the store was available,
//! whichever process made them. Therefore processes report to each other only which reads succeeded,
//! never a doubt, and each process decides about its copy on its own.

use gradeloft_wire::{frame::VOUCHED_MS, position::Position};

use crate::{
    clock::Time,
    process::{mirror::Record, replicas::StoreTrust},
};

/// Time after an outage of the store in which it may still drop records of live replicas, in
/// milliseconds.
pub const DOUBT_MS: u64 = 1_500;
/// Time after an outage of the store within which dropped records of live replicas return, in
/// milliseconds: two seconds and one read. It starts when the reads resume, not when a record is
/// removed, so that requests to a replica that really leaves meanwhile stop in time.
pub const RESTORED_MS: u64 = 2_300;
/// Shortest outage of the store in which the record of a live replica lapses, in milliseconds: two
/// intervals between a replica's writes, as a record lapses after three without one.
const LAPSE_MS: u64 = 2_400;

/// Time since which reads have succeeded, which may be before the start of this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Since(
    /// Microseconds from the start of this process.
    i64,
);

impl Since {
    /// Returns the time `ms` milliseconds before `time`.
    pub fn before_ms(time: Time, ms: u64) -> Since {
        Since(Since::from(time).0 - micros(ms))
    }

    /// Returns whether the reads have succeeded for `ms` milliseconds at `time`.
    fn lasts_ms(self, ms: u64, time: Time) -> bool {
        self.0 + micros(ms) <= Since::from(time).0
    }

    /// Returns the time `ms` milliseconds later, at least the start of this process.
    pub fn after_ms(self, ms: u64) -> Time {
        Time(u64::try_from(self.0 + micros(ms)).unwrap_or_default())
    }
}

impl From<Time> for Since {
    fn from(time: Time) -> Since {
        Since(i64::try_from(time.0).unwrap_or(i64::MAX / 2))
    }
}

fn micros(ms: u64) -> i64 {
    i64::try_from(ms.saturating_mul(1_000)).unwrap_or(i64::MAX / 4)
}

/// Period in which one process's reads of a table succeeded without interruption.
///
/// The period is shorter than the one that the process itself knows, never longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPeriod {
    /// Time of the first read.
    pub since: Since,
    /// Time of the last read.
    pub until: Time,
    /// End of the copy after the last read.
    pub end: Position,
}

impl ReadPeriod {
    /// Returns the period that a peer vouches for in a reply, with a copy up to `end`.
    pub fn vouched(requested_at: Time, received_at: Time, end: Position) -> ReadPeriod {
        ReadPeriod {
            since: Since::before_ms(received_at, VOUCHED_MS),
            until: requested_at,
            end,
        }
    }

    /// Returns the time since which this period and reads since `own_since` succeeded together, if they
    /// overlap and the period began earlier.
    pub fn joined(self, own_since: Since) -> Option<Since> {
        let overlap = own_since <= Since::from(self.until);
        (overlap && self.since < own_since).then_some(self.since)
    }

    /// Returns the period extended by a newer one, or the newer one if the store may have been
    /// unavailable in between.
    pub fn extended(self, newer: ReadPeriod) -> ReadPeriod {
        if newer.end < self.end {
            return self;
        }
        let adjoins = newer.since <= Since::from(self.until);
        let since = if adjoins {
            newer.since.min(self.since)
        } else {
            newer.since
        };
        ReadPeriod { since, ..newer }
    }
}

/// Returns whether a process may vouch for its copy of a table: its own reads have succeeded since
/// `own_since`, for at least [`VOUCHED_MS`].
pub fn vouches(own_since: Option<Since>, now: Time) -> bool {
    own_since.is_some_and(|it| it.lasts_ms(VOUCHED_MS, now))
}

/// Returns the time since which reads of a table have succeeded, for a process whose first read
/// succeeds now after others have read the table. `confirmed` is the time up to which reads of
/// others are known to have succeeded. Returns `None` if the store may have been unavailable
/// meanwhile.
pub fn continued_since(
    peers: Option<ReadPeriod>,
    confirmed: Option<Time>,
    now: Time,
) -> Option<Since> {
    let is_recent = confirmed.is_some_and(|it| now < it.after_ms(LAPSE_MS));
    peers.filter(|_| is_recent).map(|it| it.since)
}

/// Removal of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Removal {
    /// End of the shortest copy that contains the removal.
    pub end: Position,
    /// Time by which the removal is known to have been written.
    pub written: Time,
}

impl Removal {
    /// Returns the trust in the removal. `own_since` is the time since which this process's own
    /// reads have succeeded, and `peers` a period of another process's reads.
    pub fn trust(
        self,
        own_since: Option<Since>,
        peers: Option<ReadPeriod>,
        now: Time,
    ) -> StoreTrust {
        let peers_since = peers.filter(|it| self.end <= it.end).map(|it| it.since);
        let Some(since) = own_since.into_iter().chain(peers_since).min() else {
            return self.doubtful(now.into());
        };
        if since.lasts_ms(DOUBT_MS, self.written) {
            StoreTrust::Sound
        } else {
            self.doubtful(since)
        }
    }

    /// Returns a doubt about the removal, for reads that resumed at `resumed`.
    fn doubtful(self, resumed: Since) -> StoreTrust {
        StoreTrust::Doubtful(resumed.after_ms(RESTORED_MS)).of_written(self.written, RESTORED_MS)
    }
}

/// Removal that may be an error of the store.
#[derive(Clone, Debug)]
struct Doubt {
    record: Record,
    removal: Removal,
    /// Time from which the removal holds without confirmation.
    until: Time,
}

/// Removals that may be errors of the store.
#[derive(Clone, Debug, Default)]
pub struct DoubtfulRemovals {
    doubts: Vec<Doubt>,
}

impl DoubtfulRemovals {
    /// Adds a removal that holds without confirmation from `until` on.
    pub fn note(&mut self, record: Record, removal: Removal, until: Time) {
        self.doubts.retain(|it| it.record.key != record.key);
        self.doubts.push(Doubt {
            record,
            removal,
            until,
        });
    }

    /// Returns whether a removal is still to be confirmed.
    pub fn any(&self, now: Time) -> bool {
        self.doubts.iter().any(|it| now < it.until)
    }

    /// Removes and returns the removals that hold by now. `is_listed` returns whether the store
    /// has another record of a key again.
    pub fn take_confirmed(
        &mut self,
        own_since: Option<Since>,
        peers: Option<ReadPeriod>,
        is_listed: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<Record> {
        self.doubts
            .retain(|it| now < it.until && !is_listed(&it.record.key));
        // Reads that resumed earlier than was known end a doubt earlier.
        let holds = |it: &mut Doubt| match it.removal.trust(own_since, peers, now) {
            StoreTrust::Doubtful(until) => until <= now,
            StoreTrust::Sound => true,
        };
        let confirmed = self.doubts.extract_if(.., holds);
        confirmed.map(|it| it.record).collect()
    }
}
