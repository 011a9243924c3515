//! Pauses that a replica asks for when it refuses a request.
//!
//! A pause concerns only the entry that was refused. After it, a single request shows whether the
//! replica accepts requests again; others follow once it has responded.

use std::time::Duration;

use crate::clock::Time;

/// Pause of one entry's requests to a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rest {
    /// End of the pause; `None` once a request after it was not refused.
    until: Option<Time>,
    /// Whether the first request after the pause is in progress.
    probing: bool,
}

impl Rest {
    /// Starts or extends a pause; returns whether it was started.
    pub fn ask(&mut self, pause: Duration, now: Time) -> bool {
        let until = now.after(pause);
        if until <= now {
            return false;
        }
        let began = self.ends(now).is_none();
        self.until = self.until.max(Some(until));
        began
    }

    /// Returns the end of the pause while it lasts.
    pub fn ends(&self, now: Time) -> Option<Time> {
        self.until.filter(|it| now < *it)
    }

    /// Returns whether a request may be sent: outside a pause, and after one if no other request
    /// probes the replica.
    pub fn allows(&self, now: Time) -> bool {
        self.ends(now).is_none() && !self.probing
    }

    /// Records that a request is sent; returns whether it is the probe after a pause.
    pub fn begin_request(&mut self, now: Time) -> bool {
        let probes = self.until.is_some() && self.allows(now);
        self.probing |= probes;
        probes
    }

    /// Records that the probe ended without a response, so another one may follow.
    pub fn probe_ended(&mut self) {
        self.probing = false;
    }

    /// Records a response other than a refusal that asks for a pause, to a request sent at `sent`;
    /// returns whether the replica accepts requests again.
    pub fn accepted(&mut self, sent: Time) -> bool {
        let is_later = self.until.is_some_and(|it| it <= sent);
        if is_later {
            *self = Rest::default();
        }
        is_later
    }
}
