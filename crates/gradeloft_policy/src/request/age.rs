//! How long ago a caller first asked.
//!
//! Callers tell how long they still wait. One that was refused and came back has less time left than
//! those of the same route that ask for the first time, so the most that any of them tells is the time
//! that a first try has.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::clock::Time;

/// Time for which the most that was told counts, in milliseconds: many requests of each route of today,
/// and short enough to follow callers that change.
const WINDOW_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct Most {
    begun: Time,
    /// Most that was told in this window and in the one before it.
    now: Duration,
    before: Duration,
}

/// The most time that callers of each route told to have.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    routes: HashMap<Rc<str>, Most>,
}

impl Patience {
    /// A caller of a route tells that it waits for `left` more; gives how long it has waited.
    pub fn age(&mut self, route: &Rc<str>, left: Duration, now: Time) -> Duration {
        let most = self.routes.entry(Rc::clone(route)).or_default();
        if most.begun.after_ms(WINDOW_MS) <= now {
            *most = Most {
                begun: now,
                now: Duration::ZERO,
                before: most.now,
            };
        }
        most.now = most.now.max(left);
        most.now.max(most.before).saturating_sub(left)
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.routes.retain(|it, _| exists(it));
    }
}
