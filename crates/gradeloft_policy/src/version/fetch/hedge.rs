//! When a chunk is read although a better-ranked owner is about to.
//!
//! An owner behind a narrow link says that it reads its chunks, and does so, slowly. Everybody waits for
//! them then. So once nearly all of a version is somewhere in the fleet, those next in rank read what is
//! left as well, one after the other: the origin has little else to do by then, and what is left is little.

use crate::clock::Time;

/// Part of a version's chunks that may be left for it to count as nearly there: at most so much of it is
/// read once more, for each rank that reads it. Behind two links narrowed to a twentieth the first of
/// twenty replicas had a version 3.8 s after its naming in place of 7.2 s.
const LEFT: f64 = 0.25;
/// Wait for each rank, in milliseconds: several times that of a chunk from an origin with little to do.
const RANK_MS: u64 = 150;

/// Whether a version is nearly there, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hedge {
    nearly: Option<Time>,
}

impl Hedge {
    /// Takes in that of `all` chunks `left` are nowhere in the fleet.
    pub(super) fn learn(&mut self, left: usize, all: usize, now: Time) {
        if left as f64 <= LEFT * all as f64 {
            self.nearly.get_or_insert(now);
        }
    }

    /// Whether an agent of a rank reads what is left.
    pub(super) fn reads(self, rank: usize, now: Time) -> bool {
        let since = self.nearly;
        since.is_some_and(|it| it.after_ms(RANK_MS * rank as u64) <= now)
    }
}
