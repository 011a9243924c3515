//! What replicas last stated in their responses, in the order of time.
//!
//! A restriction holds until a later response states another one or none. Responses arrive out of
//! order, and each was generated at an unknown time between the sending of its request and its
//! arrival. A restriction therefore counts from the arrival, and the end of a restriction from the
//! sending of the request.

use std::time::Duration;

use crate::clock::Time;

/// Least rate at which requests are sent to a limited replica, in requests a second. Without any,
/// nobody would notice that the limit has ended.
const MIN_PER_S: f64 = 0.2;

/// Time span in which a response was generated.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Time at which the request was sent; [`Time::ZERO`] if unknown.
    pub sent: Time,
    /// Time at which the head of the response arrived.
    pub received: Time,
}

/// Change of a restriction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The replica is restricted now and was not before.
    Began,
    /// The restriction has another value.
    Changed,
    /// The replica is no longer restricted.
    Ended,
}

impl Change {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Change::Began => "began",
            Change::Changed => "changed",
            Change::Ended => "ended",
        }
    }
}

/// Outcome of the merge of another entry's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The report is newer and changed the restriction.
    Applied(Change),
    /// The report says what is known.
    Known,
    /// The report says something else, and is older than what is known.
    Outdated,
}

/// A restriction of the requests that a replica accepts. The default restricts nothing.
pub trait Restriction: Copy + Default + PartialEq {
    /// Returns whether a replica with this restriction accepts more than one with another.
    fn is_looser(self, other: Self) -> bool;
}

/// Requests a second from all entries together; `None` without a limit.
impl Restriction for Option<f64> {
    fn is_looser(self, other: Option<f64>) -> bool {
        match (self, other) {
            (Some(limit), Some(other)) => other < limit,
            (Some(_), None) => false,
            (None, _) => other.is_some(),
        }
    }
}

/// Whether the replica accepts no new requests.
impl Restriction for bool {
    fn is_looser(self, other: bool) -> bool {
        !self && other
    }
}

/// The last statement of one start of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement<T> {
    value: T,
    /// Time from which the value counts.
    since: Time,
}

/// Limit of the request rate that one start of a replica names.
pub type RateLimit = Statement<Option<f64>>;

/// Whether one start of a replica says that it is leaving.
pub type Leaving = Statement<bool>;

impl<T: Restriction> Statement<T> {
    /// Returns the restriction.
    pub fn value(&self) -> T {
        self.value
    }

    /// Returns whether the replica restricts anything.
    pub fn is_restricted(&self) -> bool {
        self.value != T::default()
    }

    /// Returns the time for which the restriction, or its absence, has counted; `None` if nothing
    /// was ever stated.
    pub fn age(&self, now: Time) -> Option<Duration> {
        (Time::ZERO < self.since).then(|| now.since(self.since))
    }

    /// Applies the head of a response; returns the change of the restriction, if there is one.
    pub fn observe(&mut self, stated: T, exchange: Exchange) -> Option<Change> {
        // An unchanged absence counts from the sending too, as a restriction may follow.
        let is_end = stated.is_looser(self.value) || stated == T::default();
        let since = match is_end {
            true => exchange.sent,
            false => exchange.received,
        };
        self.apply(stated, since)
    }

    /// Applies the report of another entry about the same start of the replica.
    pub fn merge(&mut self, reported: T, since: Time) -> Merge {
        let is_known = self.value == reported;
        // At the same time, a restriction takes precedence.
        let is_newer =
            self.since < since || (self.since == since && !reported.is_looser(self.value));
        match (is_newer, is_known) {
            (true, _) => match self.apply(reported, since) {
                Some(change) => Merge::Applied(change),
                None => Merge::Known,
            },
            (false, true) => Merge::Known,
            (false, false) => Merge::Outdated,
        }
    }

    /// Applies a statement, unless a later one is known.
    fn apply(&mut self, stated: T, since: Time) -> Option<Change> {
        if since < self.since {
            return None;
        }
        let before = std::mem::replace(&mut self.value, stated);
        self.since = since;
        if before == stated {
            return None;
        }
        Some(match (before == T::default(), stated == T::default()) {
            (true, _) => Change::Began,
            (false, true) => Change::Ended,
            (false, false) => Change::Changed,
        })
    }
}

impl RateLimit {
    /// Returns the rate at which all entries together send requests, in requests a second; `None`
    /// without a limit.
    pub fn paced_per_s(&self) -> Option<f64> {
        self.value.map(|it| it.max(MIN_PER_S))
    }
}
