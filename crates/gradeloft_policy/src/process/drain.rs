//! How an entry that was told to end treats its callers.
//!
//! Callers keep an address for seconds after its entry began to leave, and connections for longer. What they send meanwhile
//! is sent to another entry at once, unrun: the others have the slots by then, and a refusal costs milliseconds. Where no
//! other takes callers, it is answered as long as the answer is sure to be whole before the process ends: a stream that
//! breaks off costs its caller all that it has waited for.

use crate::clock::Time;

/// Time for which connections without a request stay open, in milliseconds: callers keep addresses for two seconds,
/// and some three times as long.
const LINGER_MS: u64 = 3_500;
/// Part of the grace within which the process ends: it is killed after all of it, counted from a signal that it may have got
/// late.
const USED: f64 = 0.9;
/// Time for a request to come on a connection that was just accepted or promised to be kept, in milliseconds.
const FIRST_MS: u64 = 1_000;

/// The leave of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    /// When it began.
    pub since: Time,
    /// When the process ends at the latest; not before `since`.
    pub end: Time,
}

impl Drain {
    /// A leave that begins now, with a grace in milliseconds.
    pub fn begin(now: Time, grace_ms: u64) -> Drain {
        Drain {
            since: now,
            end: now.after_ms((grace_ms as f64 * USED) as u64),
        }
    }

    /// Whether a request that has until `deadline` is sure to be answered before the process ends.
    pub fn accepts(self, deadline: Time) -> bool {
        deadline <= self.end
    }

    /// Until when a connection may wait for a request that rests since `rests`.
    pub fn idle_until(self, rests: Time) -> Time {
        self.lingers_until().max(rests.after_ms(FIRST_MS))
    }

    /// Whether a process with so many connections may end.
    pub fn finished(self, connections: usize, now: Time) -> bool {
        self.end <= now || (self.lingers_until() <= now && connections == 0)
    }

    fn lingers_until(self) -> Time {
        self.since.after_ms(LINGER_MS)
    }
}
