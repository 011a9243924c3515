//! When each replica takes a new version, so that the fleet goes on serving.
//!
//! Replicas that already serve change over in two waves. Those of the first cut their streams off,
//! which go on at replicas of the second, still on the same version, and are back within the time of
//! one load. Then they take the new requests while those of the second finish what they have. The
//! waves are drawn by rendezvous hashing, so every agent knows its own without asking.

use crate::{clock::Time, rendezvous};

/// Part of the first wave that has to be back before the second begins.
const BACK: f64 = 0.75;
/// Part of the time for a version after which the second wave begins in any case.
const LATEST: f64 = 0.55;

/// What a replica does with the requests that it has when it is ordered to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Running {
    /// They are cut off, to go on elsewhere.
    Cut,
    /// They are finished first.
    Finished,
}

/// The wave of one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wave {
    /// Loads as soon as it can.
    First,
    /// Loads once most of the first wave, of so many replicas, is back.
    Second {
        /// Replicas in the first wave.
        first: usize,
    },
}

impl Wave {
    /// The wave of the replica `own` for a version; `others` are all other replicas of the service.
    pub fn of(version: u64, own: u64, others: &[u64]) -> Wave {
        let all = others.len() + 1;
        let first = all / 2;
        let rank = rendezvous::rank(version, own, others.iter().copied());
        if rank < first {
            Wave::First
        } else {
            Wave::Second { first }
        }
    }

    /// Whether the replica may load now: `switched` replicas are back with the version, which was
    /// named at `named` and is due within `version_ms`.
    pub fn may_load(self, switched: usize, named: Time, version_ms: u64, now: Time) -> bool {
        match self {
            Wave::First => true,
            Wave::Second { first } => {
                let latest = named.after_ms((version_ms as f64 * LATEST) as u64);
                (first as f64 * BACK) <= switched as f64 || latest <= now
            }
        }
    }

    /// What becomes of the requests that run. Cutting needs streams that can all go on elsewhere.
    pub fn running(self, resumable: bool) -> Running {
        match self {
            Wave::First if resumable => Running::Cut,
            Wave::First | Wave::Second { .. } => Running::Finished,
        }
    }
}
