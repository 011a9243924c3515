//! How long ago a caller first asked.
//!
//! Callers tell how long they still wait. Those that were refused and came back have less time left than
//! those of the same route that ask for the first time. What first tries tell differs too, as callers
//! differ in how long they wait, so a request is older only by what it tells less than nearly all first tries.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::clock::Time;

/// Time over which what was told is looked at together, in milliseconds: some tens of requests of each route
/// of today at one entry, and short enough to follow callers that change.
const WINDOW_MS: u64 = 10_000;
/// Requests of a window that are looked at: the tenth of them that tells least is known well enough then.
const SAMPLES: usize = 64;
/// Requests of a window below which the most that one of them told stands for first tries: it can't be seen whether
/// callers differ.
const FEW: usize = 16;
/// Callers are alike if at least this part of them tells the most, give or take [`NEARLY`] of it. Even in a shortage
/// in which each caller comes back once, half of the requests are first tries; of callers whose patience differs by a
/// seventh, one in fourteen tells so much.
const ALIKE: f64 = 1.0 / 3.0;
const NEARLY: f64 = 0.01;
/// Part of the requests of a window that may have less time left than first tries, where callers differ: those that
/// come back. In a shortage it is more; the window before it tells then.
const RETURNED: f64 = 0.1;

/// What callers of one route told.
#[derive(Clone, Debug, Default)]
struct Told {
    begun: Time,
    /// Of this window, least first; at most [`SAMPLES`].
    now: Vec<Duration>,
    /// What first tries told at least, in the window before.
    before: Option<Duration>,
}

impl Told {
    fn hear(&mut self, left: Duration, now: Time) {
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

    /// What first tries tell at least. Callers that come back only lower what is seen of it, so the higher of
    /// both windows counts.
    fn first_try(&self) -> Duration {
        let is_known = FEW <= self.now.len() || self.before.is_none();
        let now = first_try(&self.now).filter(|_| is_known);
        now.max(self.before).unwrap_or_default()
    }
}

/// What first tries among these told at least.
fn first_try(told: &[Duration]) -> Option<Duration> {
    let most = *told.last()?;
    let nearly = told.partition_point(|it| *it < most.mul_f64(1.0 - NEARLY));
    if told.len() < FEW || told.len() as f64 * ALIKE <= (told.len() - nearly) as f64 {
        return Some(most);
    }
    told.get((told.len() as f64 * RETURNED) as usize).copied()
}

/// What callers of each route told of the time that they wait.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    routes: HashMap<Rc<str>, Told>,
}

impl Patience {
    /// A caller of a route tells that it waits for `left` more; gives how long it has waited at least.
    pub fn age(&mut self, route: &Rc<str>, left: Duration, now: Time) -> Duration {
        let told = self.routes.entry(Rc::clone(route)).or_default();
        told.hear(left, now);
        told.first_try().saturating_sub(left)
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.routes.retain(|it, _| exists(it));
    }
}
