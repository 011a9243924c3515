//! When a chunk is read although a better-ranked owner is about to.
//!
//! An owner behind a narrow link says that it reads its chunks, and does so, slowly. Everybody waits for
//! them then. So once nearly all of a version is somewhere in the fleet, and what is left has not come in the time that
//! it takes by the pace of the rest, those next in rank read it as well, one after the other: the origin has little else
//! to do by then, and what is left is little. Sooner they would only keep the origin from sending it to its owners:
//! with a fixed wait it sent 1.5 copies, and the last chunk 0.2 s later than it could.

use crate::clock::Time;

/// Part of a version's chunks that may be left for it to count as nearly there: at most so much of it is
/// read once more, for each rank that reads it. Behind two links narrowed to a twentieth the first of
/// twenty replicas had a version 3.8 s after its naming in place of 7.2 s.
const LEFT: f64 = 0.25;
/// Wait for each rank, in milliseconds: several times that of a chunk from an origin with little to do.
const RANK_MS: u64 = 150;
/// Time for what is left, as a multiple of what it takes by the pace of the rest.
const SLACK: f64 = 1.25;

/// Whether a version is nearly there, and since when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hedge {
    begun: Time,
    /// When it was nearly there, and how long the rest may take, in milliseconds.
    nearly: Option<(Time, u64)>,
}

impl Hedge {
    /// For a fetch that begins now.
    pub(super) fn new(now: Time) -> Hedge {
        Hedge {
            begun: now,
            nearly: None,
        }
    }

    /// Takes in that of `all` chunks `left` are nowhere in the fleet.
    pub(super) fn learn(&mut self, left: usize, all: usize, now: Time) {
        if left as f64 <= LEFT * all as f64 {
            let took_ms = now.seconds_since(self.begun) * 1000.0;
            let rest_ms = took_ms * left as f64 / (all - left).max(1) as f64;
            self.nearly.get_or_insert((now, (rest_ms * SLACK) as u64));
        }
    }

    /// Whether an agent of a rank after the owner reads what is left.
    pub(super) fn reads(self, rank: usize, now: Time) -> bool {
        let wait_ms = |rest_ms: u64| rest_ms.max(RANK_MS) + RANK_MS * rank.saturating_sub(1) as u64;
        let nearly = self.nearly;
        nearly.is_some_and(|(since, rest_ms)| since.after_ms(wait_ms(rest_ms)) <= now)
    }
}
