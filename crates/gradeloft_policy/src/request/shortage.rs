//! When callers that are refused for want of room are to come back.

use std::time::Duration;

use rand::Rng;

use crate::clock::Time;

/// Time without a refusal after which a shortage is over, in milliseconds: several times the pause
/// between two requests at one entry.
const OVER_MS: u64 = 300;
/// Time without a refusal after which want of room counts as a moment's again, in milliseconds: several times an objective
/// of today, for which requests wait before the first of them is refused.
const CALM_MS: u64 = 2_000;
/// Shortest time to come back, in milliseconds: about the time in which a slot frees at a busy replica.
const SHORTEST_MS: f64 = 60.0;
/// Part of the time that a caller still has after which it comes back at the latest: callers wait no
/// longer.
const LONGEST: f64 = 1.0 / 3.0;
/// Part by which times to come back differ, so that those refused together do not come back together.
const SPREAD: f64 = 0.25;

/// The present want of room at a service, as one entry sees it.
///
/// A shortage that has lasted long will likely last as long again, so callers come back after the time
/// that it has lasted: those of a moment's shortage soon enough to be in time, those of a long one when
/// it may be over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    /// First and last refusal.
    span: Option<(Time, Time)>,
}

impl Shortage {
    /// Whether callers have been refused lately. A request waits in a moment's want of room only: in a lasting one it
    /// would take the place of one that came later and can still be in time.
    pub fn is_active(self, now: Time) -> bool {
        self.span
            .is_some_and(|(_, last)| now < last.after_ms(CALM_MS))
    }

    /// A caller that still has `left` is refused; gives when it is to come back.
    pub fn record_refusal(&mut self, left: Duration, now: Time, rng: &mut impl Rng) -> Duration {
        let since = match self.span {
            Some((since, last)) if now < last.after_ms(OVER_MS) => since,
            _ => now,
        };
        self.span = Some((since, now));
        let lasted_ms = now.since(since).as_secs_f64() * 1000.0;
        let longest_ms = left.as_secs_f64() * 1000.0 * LONGEST;
        let spread = 1.0 - SPREAD * rng.random::<f64>();
        let back_ms = lasted_ms.max(SHORTEST_MS).min(longest_ms) * spread;
        Duration::from_millis(back_ms as u64)
    }
}
