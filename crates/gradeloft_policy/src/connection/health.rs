//! Whether a peer can be relied on at present, by what its connection shows.

use crate::clock::Time;

const FIRST_SUSPICION_MS: u64 = 250;
const LONGEST_SUSPICION_MS: u64 = 8_000;

/// Evidence about one peer. Suspicion ends by itself, so that a peer is tried again, and grows
/// while tries fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    suspect_until: Time,
}

impl Health {
    /// A call or a connection failed.
    pub fn record_failure(&mut self, now: Time) {
        let doubled = FIRST_SUSPICION_MS << self.failures.min(5);
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = now.after_ms(doubled.min(LONGEST_SUSPICION_MS));
    }

    /// It answered.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Whether to leave it alone for now.
    pub fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }

    /// When it may be tried again.
    pub fn retry_at(&self) -> Time {
        self.suspect_until
    }
}
