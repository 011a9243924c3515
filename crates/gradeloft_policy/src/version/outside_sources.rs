//! The weight store and the origin as one agent sees them: when to read which.

use super::fetch::{Failure, Upstream};
use crate::clock::Time;

/// First wait after a failure, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 200;
/// Longest wait after a failure, in milliseconds: an origin that comes back is read soon, and each
/// chunk has only one agent that asks.
const LONGEST_BACKOFF_MS: u64 = 800;
/// Pause between asks of the origin beyond an agent's part, in milliseconds.
const SLOW_MS: u64 = 5_000;
/// How long a store that lacked a chunk is passed over, in milliseconds.
const MISSING_WAIT_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct SourceBackoff {
    closed_until: Time,
    /// Failures since the last answer.
    failures: u32,
}

impl SourceBackoff {
    fn failed(&mut self, failure: Failure, now: Time) {
        let wait_ms = match failure {
            Failure::Limited(ms) => ms.max(FIRST_BACKOFF_MS),
            Failure::NotHeld => MISSING_WAIT_MS,
            _ => self.backoff_ms(),
        };
        self.closed_until = now.after_ms(wait_ms);
    }

    fn backoff_ms(&mut self) -> u64 {
        let wait_ms = (FIRST_BACKOFF_MS << self.failures.min(6)).min(LONGEST_BACKOFF_MS);
        self.failures += 1;
        wait_ms
    }
}

/// Sources outside the fleet. The store goes first, because its bytes cost less.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutsideSources {
    origin: SourceBackoff,
    store: SourceBackoff,
    /// Chunks that the origin sent so far, spoilt ones included. Asks that it did not answer cost it
    /// nothing.
    origin_sent: u64,
    /// When the origin was asked last.
    origin_requested: Time,
}

impl OutsideSources {
    /// Where to read now, if anywhere. After `part` chunks the origin is asked slowly only, so that a
    /// chunk that nobody else reads is late, and not missing for ever.
    pub fn source(&self, part: u64, now: Time) -> Option<Upstream> {
        if self.store.closed_until <= now {
            return Some(Upstream::Store);
        }
        let within = self.origin_sent < part || self.origin_requested.after_ms(SLOW_MS) <= now;
        (self.origin.closed_until <= now && within).then_some(Upstream::Origin)
    }

    /// The origin is asked for a chunk.
    pub fn record_origin_request(&mut self, now: Time) {
        self.origin_requested = now;
    }

    /// A source answered well.
    pub fn answered(&mut self, from: Upstream) {
        *self.backoff(from) = SourceBackoff::default();
        self.origin_sent += u64::from(from == Upstream::Origin);
    }

    /// A source failed.
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
