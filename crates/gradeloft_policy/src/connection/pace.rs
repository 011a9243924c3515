//! Rate limit for weights on an instance's link, with priority for live requests.

use std::time::Duration;

use crate::clock::Time;

/// Smallest share of the link for weights, so that a rollout completes.
const MIN_SHARE: f64 = 0.05;
/// Share of the link that is kept free for the next burst of live requests while any are present.
const HEADROOM: f64 = 0.2;
/// Share of the link that live traffic must use for live requests to be considered present.
const LIVE_THRESHOLD: f64 = 0.002;
/// Maximum number of concurrent chunk requests while live requests are present. Chunks in flight
/// queue ahead of live requests on the last link, which can't prioritize.
const MAX_CONCURRENT_BESIDE_LIVE: usize = 1;
/// Time constant of the average over live bytes, in seconds.
const WINDOW_S: f64 = 0.5;
/// Burst size, as transfer time at the full link rate, in seconds.
const BURST_S: f64 = 0.02;

/// Rate limiter for one direction of a link.
///
/// ```
/// use gradeloft_policy::{clock::Time, connection::pace::Pacer};
/// let mut pacer = Pacer::new(1_000_000);
/// assert!(pacer.reserve(100_000, Time::ZERO).is_zero());
/// assert_eq!(pacer.reserve(100_000, Time::ZERO).as_millis(), 80);
/// ```
#[derive(Clone, Debug)]
pub struct Pacer {
    link: f64,
    /// Moving average of live traffic, in bytes per second.
    live: f64,
    live_at: Time,
    /// Time at which all granted transfers have ended at their rates.
    free_at: Time,
}

impl Pacer {
    /// Creates a pacer for a link of `link_bytes_per_s`.
    pub fn new(link_bytes_per_s: u64) -> Pacer {
        Pacer {
            link: link_bytes_per_s.max(1) as f64,
            live: 0.0,
            live_at: Time::ZERO,
            free_at: Time::ZERO,
        }
    }

    /// Records bytes transferred by live requests.
    pub fn record_live(&mut self, bytes: u64, now: Time) {
        self.decay(now);
        self.live += bytes as f64 / WINDOW_S;
    }

    /// Grants a transfer of weights and returns the delay before it may start. Transfers without a
    /// delay exceed the rate by a short burst at most.
    pub fn reserve(&mut self, bytes: u64, now: Time) -> Duration {
        let rate = self.rate(now);
        let start = self.free_at.max(now);
        self.free_at = start.after(Duration::from_secs_f64(bytes as f64 / rate));
        start
            .since(now)
            .saturating_sub(Duration::from_secs_f64(BURST_S))
    }

    /// Returns the rate available to weights, in bytes per second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        if !self.has_live_traffic() {
            return self.link;
        }
        let left = self.link * (1.0 - HEADROOM) - self.live;
        left.max(self.link * MIN_SHARE)
    }

    /// Returns the number of chunks to request concurrently, at most `most`.
    pub fn max_concurrent(&mut self, most: usize, now: Time) -> usize {
        self.decay(now);
        if self.has_live_traffic() {
            most.min(MAX_CONCURRENT_BESIDE_LIVE)
        } else {
            most
        }
    }

    fn has_live_traffic(&self) -> bool {
        self.link * LIVE_THRESHOLD <= self.live
    }

    fn decay(&mut self, now: Time) {
        let passed = now.seconds_since(self.live_at);
        self.live *= (-passed / WINDOW_S).exp();
        self.live_at = self.live_at.max(now);
    }
}
