//! Retry times for callers that were refused for lack of capacity.

use std::time::Duration;

use rand::Rng;

use crate::clock::Time;

/// Time without a refusal after which a shortage has ended, in milliseconds: several times the
/// interval between requests at one entry.
const EPISODE_GAP_MS: u64 = 300;
/// Time without a refusal after which a new shortage is treated as momentary, in milliseconds. It
/// is several times a typical latency objective, because requests wait for the length of the
/// objective before the first refusal.
const ACTIVE_MS: u64 = 2_000;
/// Shortest delay before a retry, in milliseconds: about the time until a busy replica frees a
/// slot.
const MIN_RETRY_AFTER_MS: f64 = 60.0;
/// Longest delay before a retry, as a share of the caller's remaining time. Callers ignore longer
/// delays.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Largest random reduction of the delay, as a share, so that callers refused together don't retry
/// together.
const JITTER: f64 = 0.25;

/// Current lack of capacity of a service, as seen by one entry.
///
/// A shortage is likely to last as long again as it has lasted so far, so refused callers retry
/// after that time. In a short shortage, the retry is soon enough to be in time; in a long one, it
/// comes when the shortage may be over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    /// Times of the first and last refusal.
    span: Option<(Time, Time)>,
    /// Time of the last refusal of a caller that waits for its response before it sends another request.
    patient_at: Option<Time>,
}

impl Shortage {
    /// Returns whether callers were refused recently. Requests wait for room only in a momentary
    /// shortage; in a lasting shortage, waiting requests would displace later requests that can
    /// still be in time.
    pub fn is_active(self, now: Time) -> bool {
        self.span
            .is_some_and(|(_, last)| now < last.after_ms(ACTIVE_MS))
    }

    /// Returns for how long requests of callers that pipeline make way for callers that wait for their
    /// responses and were refused; `None` if none was refused recently. A slot that becomes free would
    /// otherwise go to the next request of the connection that had it, which has arrived already.
    pub fn makes_way_for(self, now: Time) -> Option<Duration> {
        let until = self.patient_at?.after_ms(ACTIVE_MS);
        (now < until).then(|| until.since(now))
    }

    /// Records that a refused caller waits for its response before it sends another request.
    pub fn record_patient(&mut self, now: Time) {
        self.patient_at = Some(now);
    }

    /// Records the refusal of a caller whose remaining time is `left`, and returns the delay after
    /// which the caller may retry. No replica has room for `room_in`; zero if that is unknown.
    pub fn record_refusal(
        &mut self,
        left: Duration,
        room_in: Duration,
        now: Time,
        rng: &mut impl Rng,
    ) -> Duration {
        let since = match self.span {
            Some((since, last)) if now < last.after_ms(EPISODE_GAP_MS) => since,
            _ => now,
        };
        self.span = Some((since, now));
        let lasted_ms = now.since(since).as_secs_f64() * 1000.0;
        let longest_ms = left.as_secs_f64() * 1000.0 * MAX_RETRY_SHARE;
        let jitter = JITTER * rng.random::<f64>();
        let likely_ms = lasted_ms.max(MIN_RETRY_AFTER_MS).min(longest_ms) * (1.0 - jitter);
        let room_in_ms = room_in.as_secs_f64() * 1000.0 * (1.0 + jitter);
        let retry_after_ms = likely_ms.max(room_in_ms.min(longest_ms));
        Duration::from_millis(retry_after_ms as u64)
    }
}
