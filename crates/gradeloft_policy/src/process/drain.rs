//! Handles callers while an entry shuts down.
//!
//! Callers keep an entry's address for seconds after its shutdown began, and connections for
//! longer. The entry refuses their new requests without running them, so that callers send them to
//! another entry at once: the other entries own the slots by then, and a refusal costs
//! milliseconds. If no other entry accepts callers, the entry serves only requests whose response
//! is sure to be complete before the process ends: a stream that breaks off costs its caller the
//! whole time waited.

use crate::clock::Time;

/// Time for which connections without a request stay open, in milliseconds: callers keep addresses
/// for two seconds, and some for three times as long.
const LINGER_MS: u64 = 3_500;
/// Share of the grace period after which the process ends. The process is killed at the end of the
/// whole period, which begins with a signal that may reach the process late.
const GRACE_SHARE: f64 = 0.9;
/// Time for a request to arrive on a connection that was just accepted or kept alive, in
/// milliseconds.
const FIRST_REQUEST_MS: u64 = 1_000;

/// Shutdown of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    /// Time at which the shutdown began.
    pub since: Time,
    /// Latest time at which the process ends; not before `since`.
    pub end: Time,
}

impl Drain {
    /// Starts a shutdown at `now` with a grace period of `grace_ms`.
    pub fn begin(now: Time, grace_ms: u64) -> Drain {
        Drain {
            since: now,
            end: now.after_ms((grace_ms as f64 * GRACE_SHARE) as u64),
        }
    }

    /// Returns whether a request with this deadline is sure to be served before the process ends.
    pub fn accepts(self, deadline: Time) -> bool {
        deadline <= self.end
    }

    /// Returns the time until which a connection that is idle since `idle_since` may wait for a
    /// request.
    pub fn idle_until(self, idle_since: Time) -> Time {
        self.lingers_until()
            .max(idle_since.after_ms(FIRST_REQUEST_MS))
    }

    /// Returns whether a process with this number of open connections may end.
    pub fn finished(self, connections: usize, now: Time) -> bool {
        self.end <= now || (self.lingers_until() <= now && connections == 0)
    }

    fn lingers_until(self) -> Time {
        self.since.after_ms(LINGER_MS)
    }
}
