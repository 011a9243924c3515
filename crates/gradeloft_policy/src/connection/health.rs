//! Health of a peer, derived from its connection.

use crate::clock::Time;

const FIRST_SUSPICION_MS: u64 = 250;
const MAX_SUSPICION_MS: u64 = 8_000;

/// Failure state of one peer. A peer is suspect for a limited time after a failure, then it is
/// tried again; the time doubles with each further failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    suspect_until: Time,
}

impl Health {
    /// Records a failed call or connection.
    pub fn record_failure(&mut self, now: Time) {
        let doubled = FIRST_SUSPICION_MS << self.failures.min(5);
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = now.after_ms(doubled.min(MAX_SUSPICION_MS));
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Returns whether to avoid the peer for now.
    pub fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }

    /// Returns the time from which the peer may be tried again.
    pub fn retry_at(&self) -> Time {
        self.suspect_until
    }
}
