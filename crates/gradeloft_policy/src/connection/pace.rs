//! How fast weights may go over an instance's link, beside live requests.

use std::time::Duration;

use crate::clock::Time;

/// Weights get at least this share of the link, so that a rollout ends.
const LEAST_SHARE: f64 = 0.05;
/// Share of the link left free above what live requests use, for their next burst.
const HEADROOM: f64 = 0.2;
/// Live requests count as present from this share of the link on.
const PRESENT: f64 = 0.002;
/// Chunks asked for at once beside live requests. Whatever is under way queues before them on the
/// last link, where nobody can put them first.
const SLOTS_BESIDE_LIVE: usize = 1;
/// Time over which live bytes are averaged, in seconds.
const WINDOW_S: f64 = 0.5;
/// Bytes that may go at once, as time at the full link.
const BURST_S: f64 = 0.02;

/// Paces one direction of a link.
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
    /// Live bytes a second, averaged.
    live: f64,
    live_at: Time,
    /// When what was granted so far has gone at the rate then in force.
    free_at: Time,
}

impl Pacer {
    /// A pacer for a link of so many bytes a second.
    pub fn new(link_bytes_per_s: u64) -> Pacer {
        Pacer {
            link: link_bytes_per_s.max(1) as f64,
            live: 0.0,
            live_at: Time::ZERO,
            free_at: Time::ZERO,
        }
    }

    /// Live requests moved so many bytes.
    pub fn record_live(&mut self, bytes: u64, now: Time) {
        self.decay(now);
        self.live += bytes as f64 / WINDOW_S;
    }

    /// How long to wait before so many bytes of weights go; they are granted. What goes without
    /// a wait is at most a short burst ahead of the rate.
    pub fn reserve(&mut self, bytes: u64, now: Time) -> Duration {
        let rate = self.rate(now);
        let start = self.free_at.max(now);
        self.free_at = start.after(Duration::from_secs_f64(bytes as f64 / rate));
        start
            .since(now)
            .saturating_sub(Duration::from_secs_f64(BURST_S))
    }

    /// Bytes a second that weights may use.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        if !self.beside_live() {
            return self.link;
        }
        let left = self.link * (1.0 - HEADROOM) - self.live;
        left.max(self.link * LEAST_SHARE)
    }

    /// How many chunks to ask for at once, of `most`.
    pub fn max_concurrent(&mut self, most: usize, now: Time) -> usize {
        self.decay(now);
        if self.beside_live() {
            most.min(SLOTS_BESIDE_LIVE)
        } else {
            most
        }
    }

    fn beside_live(&self) -> bool {
        self.link * PRESENT <= self.live
    }

    fn decay(&mut self, now: Time) {
        let passed = now.seconds_since(self.live_at);
        self.live *= (-passed / WINDOW_S).exp();
        self.live_at = self.live_at.max(now);
    }
}
