//! Selection of the weight store or the origin as the source from which one agent reads.

use super::fetch::{Failure, Upstream};
use crate::clock::Time;

/// Initial backoff after a failure, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Maximum backoff after a failure, in milliseconds. It is short, so that an origin that recovers
/// is read soon; the load stays low because only one agent requests each chunk.
const MAX_BACKOFF_MS: u64 = 800;
/// Interval between requests to the origin beyond an agent's share, in milliseconds.
const BEYOND_SHARE_INTERVAL_MS: u64 = 5_000;
/// Time for which a store that lacked a chunk is skipped, in milliseconds.
const NOT_HELD_WAIT_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct SourceBackoff {
    closed_until: Time,
    /// Consecutive failures since the last success.
    failures: u32,
}

impl SourceBackoff {
    fn failed(&mut self, failure: Failure, now: Time) {
        let wait_ms = match failure {
            Failure::Limited(ms) => ms.max(INITIAL_BACKOFF_MS),
            Failure::NotHeld => NOT_HELD_WAIT_MS,
            _ => self.backoff_ms(),
        };
        self.closed_until = now.after_ms(wait_ms);
    }

    fn backoff_ms(&mut self) -> u64 {
        let wait_ms = (INITIAL_BACKOFF_MS << self.failures.min(6)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        wait_ms
    }
}

/// Sources of chunks outside the fleet. The store is preferred, because its bytes cost less.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutsideSources {
    origin: SourceBackoff,
    store: SourceBackoff,
    /// Chunks sent by the origin so far, including corrupt ones. Unanswered requests don't count,
    /// because they cost the origin nothing.
    origin_sent: u64,
    /// Time of the latest request to the origin.
    origin_requested: Time,
}

impl OutsideSources {
    /// Returns the source to read from now, if there is one. After `share` chunks from the origin,
    /// requests to the origin are spaced out, so that a chunk that no other agent reads is delayed
    /// rather than missing forever.
    pub fn source(&self, share: u64, now: Time) -> Option<Upstream> {
        if self.store.closed_until <= now {
            return Some(Upstream::Store);
        }
        let allowed = self.origin_sent < share
            || self.origin_requested.after_ms(BEYOND_SHARE_INTERVAL_MS) <= now;
        (self.origin.closed_until <= now && allowed).then_some(Upstream::Origin)
    }

    /// Records a request to the origin.
    pub fn record_origin_request(&mut self, now: Time) {
        self.origin_requested = now;
    }

    /// Records that a source delivered a valid chunk.
    pub fn succeeded(&mut self, from: Upstream) {
        *self.backoff(from) = SourceBackoff::default();
        self.origin_sent += u64::from(from == Upstream::Origin);
    }

    /// Records that a request to a source failed.
    pub fn failed(&mut self, from: Upstream, failure: Failure, now: Time) {
        let sent = matches!(failure, Failure::Corrupt | Failure::Stalled);
        self.origin_sent += u64::from(from == Upstream::Origin && sent);
        self.backoff(from).failed(failure, now);
    }

    fn backoff(&mut self, from: Upstream) -> &mut SourceBackoff {
        if from == Upstream::Store {
            &mut self.store
        } else {
            &mut self.origin
        }
    }
}
