//! Estimates how long ago a caller first sent its request.
//!
//! Each request carries its caller's remaining time. A caller that retries after a refusal has less
//! time remaining than first attempts on the same route. Timeouts also vary between callers, so the
//! age is the difference from a time budget that nearly all first attempts have.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::clock::Time;

/// Length of a sample window, in milliseconds; short enough to follow changing callers.
const WINDOW_MS: u64 = 10_000;
/// Most samples per window.
const MAX_SAMPLES: usize = 64;
/// Number of samples below which the largest sample is the estimate for first attempts, as the
/// variation between callers isn't visible yet.
const MIN_SAMPLES: usize = 16;
/// Callers are treated as uniform if at least this share of the samples is within [`TOLERANCE`] of
/// the largest. Half of the requests are first attempts even in a shortage in which each caller
/// retries once.
const UNIFORM_SHARE: f64 = 1.0 / 3.0;
const TOLERANCE: f64 = 0.01;
/// Share of the samples, those with the least time remaining, that the estimate ignores if timeouts
/// vary. The estimate is correct while at most this share of the requests in a window are retries.
/// A shortage causes more retries, but the estimate of the window before the shortage is larger and
/// is used instead.
const RETRY_SHARE: f64 = 0.1;

/// Remaining times of the requests on one route.
#[derive(Clone, Debug, Default)]
struct Samples {
    window_start: Time,
    /// Samples of the current window, ascending; at most [`MAX_SAMPLES`].
    current: Vec<Duration>,
    /// Shortest time budget of first attempts in the previous window.
    previous: Option<Duration>,
}

impl Samples {
    fn add(&mut self, left: Duration, now: Time) {
        if self.window_start.after_ms(WINDOW_MS) <= now {
            self.previous = initial_budget(&self.current).or(self.previous);
            self.current.clear();
            self.window_start = now;
        }
        if self.current.len() < MAX_SAMPLES {
            let idx = self.current.partition_point(|it| *it < left);
            self.current.insert(idx, left);
        }
    }

    /// Returns the shortest time budget of first attempts: the larger estimate of both windows, as
    /// retries can only lower it.
    fn initial_budget(&self) -> Duration {
        let is_known = MIN_SAMPLES <= self.current.len() || self.previous.is_none();
        let current = initial_budget(&self.current).filter(|_| is_known);
        current.max(self.previous).unwrap_or_default()
    }
}

/// Estimates the shortest time budget of first attempts from sorted samples.
fn initial_budget(samples: &[Duration]) -> Option<Duration> {
    let largest = *samples.last()?;
    let first_near = samples.partition_point(|it| *it < largest.mul_f64(1.0 - TOLERANCE));
    if samples.len() < MIN_SAMPLES
        || samples.len() as f64 * UNIFORM_SHARE <= (samples.len() - first_near) as f64
    {
        return Some(largest);
    }
    samples
        .get((samples.len() as f64 * RETRY_SHARE) as usize)
        .copied()
}

/// Time budgets of the callers of each route.
#[derive(Clone, Debug, Default)]
pub struct TimeBudgets {
    routes: HashMap<Rc<str>, Samples>,
}

impl TimeBudgets {
    /// Records the remaining time `left` of a caller of a route, and returns the shortest time that
    /// the caller must have waited already.
    pub fn age(&mut self, route: &Rc<str>, left: Duration, now: Time) -> Duration {
        let samples = self.routes.entry(Rc::clone(route)).or_default();
        samples.add(left, now);
        samples.initial_budget().saturating_sub(left)
    }

    /// Removes routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.routes.retain(|it, _| exists(it));
    }
}
