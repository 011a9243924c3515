//! Requests at a replica that no known entry accounts for, by the replica's own count.
//!
//! An entry that has just started knows no other entry's requests, and a replica may go on with
//! requests of entries that no longer exist. Until the requests that the entry knows of explain a
//! replica's count, the replica is as full as it counts itself.

use crate::clock::Time;

/// Time after which an entry no longer waits for the first count of a replica, in milliseconds:
/// three of the usual intervals between agents' reports, as the replica's agent may not run.
const FIRST_COUNT_MS: u64 = 3_000;
/// Age at which a count expires, in milliseconds: two of the usual intervals between reports, and
/// about the time that a replica needs for all requests of an earlier count.
const COUNT_MAX_AGE_MS: u64 = 2_000;
/// Requests in a replica's count that need no explanation: the reports of other entries are a
/// fraction of a second old, in which a replica receives and completes about one request each.
const UNEXPLAINED: u32 = 1;

/// Knowledge of an entry about the requests at a replica, by the replica's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Occupancy {
    /// No count has been received, and requests are limited until this time.
    Awaited(Time),
    /// The last count exceeds the requests that the entry knows of.
    Counted {
        /// Requests that neither this entry nor the reports of others accounted for at that time.
        unreported: u32,
        /// Time of the count.
        at: Time,
    },
    /// The requests that the entry knows of explain the count.
    #[default]
    Explained,
}

impl Occupancy {
    /// Returns the state of a replica that other entries may have filled before.
    pub fn awaited(now: Time) -> Occupancy {
        Occupancy::Awaited(now.after_ms(FIRST_COUNT_MS))
    }

    /// Records the replica's count, of which `own` requests are this entry's, and `reported` are
    /// other entries' by their reports.
    pub fn record(&mut self, count: u32, own: u32, reported: u32, at: Time) {
        if *self == Occupancy::Explained {
            return;
        }
        let unreported = count.saturating_sub(own + reported);
        *self = if unreported <= UNEXPLAINED {
            Occupancy::Explained
        } else {
            Occupancy::Counted { unreported, at }
        };
    }

    /// Ends the wait for a count, and drops one that expired.
    pub fn update(&mut self, now: Time) {
        match *self {
            Occupancy::Awaited(until) if until <= now => *self = Occupancy::Explained,
            Occupancy::Counted { at, .. } if at.after_ms(COUNT_MAX_AGE_MS) <= now => {
                *self = Occupancy::awaited(now);
            }
            Occupancy::Awaited(_) | Occupancy::Counted { .. } | Occupancy::Explained => {}
        }
    }

    /// Returns the number of requests at the replica that no entry reports; 0 if unknown. Requests
    /// that are reported after the count was taken come on top, until the next count.
    pub fn unreported(self) -> u32 {
        match self {
            Occupancy::Counted { unreported, .. } => unreported,
            Occupancy::Awaited(_) | Occupancy::Explained => 0,
        }
    }

    /// Returns whether the entry knows too little of the requests at the replica to use more than
    /// its own share of the slots.
    pub fn is_unknown(self) -> bool {
        self != Occupancy::Explained
    }
}
