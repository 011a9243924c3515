//! Splits the request rate that a replica accepts among entries.
//!
//! A cold replica crashes under a load that it tolerates once warm, and a replica in need names the
//! rate that it accepts ([`backpressure`](super::backpressure)). No process counts the requests of
//! all entries. Therefore a few entries share the rate of the replica, each with an interval of its
//! own, and the other entries send it no requests. An equal share for each of hundreds of entries
//! would be less than one request in any useful time.

use std::time::Duration;

use crate::{
    clock::{Time, duration_ms},
    rendezvous,
};

/// Largest excess of requests in one second over the rate of a replica, as a fraction of the rate.
/// Each sender may start a second with a request, so this is also the number of senders per request
/// a second.
const OVERSHOOT: f64 = 0.5;
/// Time for which an entry waits before it takes the share of another one, in milliseconds: as long
/// as other entries may take to notice that they have lost theirs.
const TAKEOVER_MS: u64 = 1_000;

/// Returns the shortest interval between two requests of the entry `own` to a replica that accepts
/// `per_s` requests a second, or `None` if the entry is not one of its senders. `others` are the
/// other entries that may send to the replica.
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::process::rate_share;
/// let alone = rate_share::min_interval(10.0, 1, 2, [].into_iter());
/// assert_eq!(alone, Some(Duration::from_millis(100)));
/// ```
pub fn min_interval(
    per_s: f64,
    replica: u64,
    own: u64,
    others: impl Iterator<Item = u64> + Clone,
) -> Option<Duration> {
    if !per_s.is_finite() || per_s <= 0.0 {
        return None;
    }
    let most = ((per_s * OVERSHOOT) as usize).max(1);
    let senders = most.min(others.clone().count() + 1);
    if senders <= rendezvous::rank(replica, own, others) {
        return None;
    }
    Some(duration_ms(1000.0 * senders as f64 / per_s))
}

/// Share of one entry in the rate of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateShare {
    /// Shortest interval between this entry's requests; `None` if it sends none.
    interval: Option<Duration>,
    /// Time before which the entry takes no share, as another entry may still use it.
    taken_until: Time,
    /// Time of the last request.
    sent: Option<Time>,
}

impl RateShare {
    /// Sets the interval that [`min_interval`] returned. After a time without a share, a share is
    /// used only once the other entries know of it too.
    pub fn set_interval(&mut self, interval: Option<Duration>, now: Time) {
        if interval.is_none() {
            self.taken_until = now.after_ms(TAKEOVER_MS);
        }
        self.interval = interval.filter(|_| self.taken_until <= now);
    }

    /// Records that this entry sends a request.
    pub fn note_sent(&mut self, now: Time) {
        self.sent = Some(now);
    }

    /// Returns the time from which the entry may send its next request; `None` without a share.
    pub fn next_send(&self) -> Option<Time> {
        let interval = self.interval?;
        Some(self.sent.map_or(Time::ZERO, |it| it.after(interval)))
    }
}
