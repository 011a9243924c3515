//! Requests that one entry may send to one replica, by the replica's backpressure and warm-up.

use std::time::Duration;

use super::{Leaving, RateLimit, Rest};
use crate::{clock::Time, process::rate_share::RateShare};

/// Permission to send a request, from the selection of the replica on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Whether the request is part of this entry's share of a restricted rate.
    within_rate: bool,
    /// Whether the request is the first one after a pause.
    probes: bool,
}

/// What one start of a replica accepts from this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    /// Limit of the request rate that the replica names in its responses.
    pub limit: RateLimit,
    /// Whether the replica says in its responses that it is leaving.
    pub leaving: Leaving,
    /// Pause of this entry's requests that the replica asked for.
    pub rest: Rest,
    /// This entry's share of the request rate while the replica is cold or limits the rate.
    share: RateShare,
    /// End of the replica's warm-up.
    cold_until: Time,
}

impl Throttle {
    /// Returns whether the replica is still warming up.
    pub fn cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Sets the remaining time of the replica's warm-up. The time can also grow, since a warm
    /// replica can become cold again, and an older message can report the replica as warm.
    pub fn set_warmup_left(&mut self, left_ms: u64, now: Time) {
        self.cold_until = match left_ms {
            0 => Time::ZERO,
            left_ms => now.after_ms(left_ms),
        };
    }

    /// Returns whether the replica's responses restrict the requests of all entries.
    pub fn has_backpressure(&self) -> bool {
        self.limit.is_restricted() || self.leaving.is_restricted()
    }

    /// Returns the requests a second that the replica accepts from all entries together, given the
    /// rate that it tolerates while it is cold; `None` without a restriction.
    pub fn accepted_per_s(&self, cold_per_s: Option<f64>, now: Time) -> Option<f64> {
        let cold_per_s = cold_per_s.filter(|_| self.cold(now));
        let limit = self.limit.paced_per_s();
        cold_per_s.into_iter().chain(limit).reduce(f64::min)
    }

    /// Returns whether all entries together share a request rate that the replica accepts.
    pub fn rate_restricted(&self, now: Time) -> bool {
        self.cold(now) || self.limit.is_restricted()
    }

    /// Sets this entry's interval between requests while the rate is restricted; `None` if this
    /// entry has no share.
    pub fn set_send_interval(&mut self, interval: Option<Duration>, now: Time) {
        self.share.set_interval(interval, now);
    }

    /// Returns whether this entry may send a request now, by the rate that the replica accepts.
    pub fn rate_allows(&self, now: Time) -> bool {
        !self.rate_restricted(now) || self.share.next_send().is_some_and(|it| it <= now)
    }

    /// Returns the time from which this entry may send its next request, by the rate that the
    /// replica accepts; `None` without a share of the rate.
    pub fn next_send(&self, now: Time) -> Option<Time> {
        match self.rate_restricted(now) {
            true => self.share.next_send().map(|it| it.max(now)),
            false => Some(now),
        }
    }

    /// Counts a request that is about to be sent, and returns its permission.
    /// [`Throttle::still_permits`] checks it once the connection is established.
    pub fn begin_request(&mut self, now: Time) -> SendPermit {
        let permit = SendPermit {
            within_rate: self.rate_restricted(now),
            probes: self.rest.begin_request(now),
        };
        self.share.note_sent(now);
        permit
    }

    /// Returns whether a request may be sent that was permitted when the replica was selected.
    pub fn still_permits(&self, permit: SendPermit, now: Time) -> bool {
        let rate_permits = permit.within_rate || self.rate_allows(now);
        let rest_permits = match permit.probes {
            true => self.rest.ends(now).is_none(),
            false => self.rest.allows(now),
        };
        !self.leaving.value() && rate_permits && rest_permits
    }

    /// Records that a request ended, whether or not it was sent.
    pub fn request_ended(&mut self, permit: SendPermit) {
        if permit.probes {
            self.rest.probe_ended();
        }
    }
}
