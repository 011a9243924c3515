//! How long ago a caller first asked.
//!
//! Each request says how much time its caller has left. Callers that were refused and came back have less than those of the
//! same route that ask for the first time. First tries differ too, as callers differ in patience, so a request only counts
//! as older by what it has less than nearly all first tries.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::clock::Time;

/// Length of a window of samples, in milliseconds: short enough to follow callers that change.
const WINDOW_MS: u64 = 10_000;
/// Most samples of a window.
const SAMPLES: usize = 64;
/// Samples below which the largest stands for first tries, as it can't be seen whether callers differ.
const FEW: usize = 16;
/// Callers are alike if at least this part of the samples equals the largest, give or take [`NEARLY`] of it. Even in a
/// shortage in which each caller comes back once, half of the requests are first tries.
const ALIKE: f64 = 1.0 / 3.0;
const NEARLY: f64 = 0.01;
/// Part of the requests of a window that may have less time left than first tries, where callers differ: those that
/// come back. In a shortage it is more, and the window before decides.
const RETURNED: f64 = 0.1;

/// Time left of requests of one route.
#[derive(Clone, Debug, Default)]
struct Samples {
    begun: Time,
    /// Of this window, least first; at most [`SAMPLES`].
    now: Vec<Duration>,
    /// Least of first tries in the window before.
    before: Option<Duration>,
}

impl Samples {
    fn add(&mut self, left: Duration, now: Time) {
        if self.begun.after_ms(WINDOW_MS) <= now {
            self.before = first_try(&self.now).or(self.before);
            self.now.clear();
            self.begun = now;
        }
        if self.now.len() < SAMPLES {
            let place = self.now.partition_point(|it| *it < left);
            self.now.insert(place, left);
        }
    }

    /// Least of first tries. Callers that come back can only lower the estimate, so the higher one of both windows
    /// counts.
    fn first_try(&self) -> Duration {
        let is_known = FEW <= self.now.len() || self.before.is_none();
        let now = first_try(&self.now).filter(|_| is_known);
        now.max(self.before).unwrap_or_default()
    }
}

/// Least of the first tries among sorted samples.
fn first_try(samples: &[Duration]) -> Option<Duration> {
    let most = *samples.last()?;
    let nearly = samples.partition_point(|it| *it < most.mul_f64(1.0 - NEARLY));
    if samples.len() < FEW || samples.len() as f64 * ALIKE <= (samples.len() - nearly) as f64 {
        return Some(most);
    }
    samples
        .get((samples.len() as f64 * RETURNED) as usize)
        .copied()
}

/// Time budgets of the callers of each route.
#[derive(Clone, Debug, Default)]
pub struct TimeBudgets {
    routes: HashMap<Rc<str>, Samples>,
}

impl TimeBudgets {
    /// Takes in that a caller of a route has `left`; gives how long it has waited at least.
    pub fn age(&mut self, route: &Rc<str>, left: Duration, now: Time) -> Duration {
        let samples = self.routes.entry(Rc::clone(route)).or_default();
        samples.add(left, now);
        samples.first_try().saturating_sub(left)
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.routes.retain(|it, _| exists(it));
    }
}
