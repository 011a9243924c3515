//! Hedged reads: reads of a chunk by an agent although a better-ranked owner is reading it.
//!
//! An owner behind a slow link replies that its chunks are pending, and delays the whole fleet.
//! Hedging starts once nearly all of a version is in the fleet and the remaining chunks are late,
//! given the pace of the earlier chunks. The next agents in rank then read the remaining chunks as
//! well, one agent after the other. At that time the origin has little other load, and few chunks
//! remain. Earlier hedges would only compete with the owners at the origin: with a fixed wait, the
//! origin sends 1.5 copies of the version, and the last chunk 0.2 s later than possible.

use crate::clock::Time;

/// Fraction of a version's chunks that may be missing from the fleet when hedging starts. It bounds
/// the chunks that the agent of each rank reads again. If two links have a twentieth of their
/// bandwidth, hedging lets the first of twenty replicas have a version 3.8 s instead of 7.2 s after
/// the operator names it.
const MAX_MISSING: f64 = 0.25;
/// Additional wait for each rank, in milliseconds: several times the time to read a chunk from an
/// origin with little load.
const WAIT_PER_RANK_MS: u64 = 150;
/// Time after which the remaining chunks are late, as a multiple of the time expected from the pace
/// of the earlier chunks.
const SLACK: f64 = 1.25;

/// State of hedging in one fetch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hedge {
    started: Time,
    /// Time at which nearly all chunks were in the fleet, and the time that the rest may take, in
    /// milliseconds.
    nearly_complete: Option<(Time, u64)>,
}

impl Hedge {
    /// Creates the state for a fetch that begins at `now`.
    pub(super) fn new(now: Time) -> Hedge {
        Hedge {
            started: now,
            nearly_complete: None,
        }
    }

    /// Records that `missing` of `all` chunks are nowhere in the fleet.
    pub(super) fn record_missing(&mut self, missing: usize, all: usize, now: Time) {
        if missing as f64 <= MAX_MISSING * all as f64 {
            let elapsed_ms = now.seconds_since(self.started) * 1000.0;
            let rest_ms = elapsed_ms * missing as f64 / (all - missing).max(1) as f64;
            self.nearly_complete
                .get_or_insert((now, (rest_ms * SLACK) as u64));
        }
    }

    /// Returns whether an agent at `rank` also reads the remaining chunks now.
    pub(super) fn is_due(self, rank: usize, now: Time) -> bool {
        let wait_ms = |rest_ms: u64| {
            rest_ms.max(WAIT_PER_RANK_MS) + WAIT_PER_RANK_MS * rank.saturating_sub(1) as u64
        };
        let nearly_complete = self.nearly_complete;
        nearly_complete.is_some_and(|(since, rest_ms)| since.after_ms(wait_ms(rest_ms)) <= now)
    }
}
