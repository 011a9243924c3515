//! Backpressure that replicas signal in the heads of their responses.
//!
//! A replica in need names the request rate that it accepts from all entries together. The limit
//! holds until a later response names another one or none. Responses arrive out of order, and each
//! was generated at an unknown time between the sending of its request and its arrival. A
//! restriction therefore counts from the arrival, and the end of a restriction from the sending of
//! the request.

use crate::clock::Time;

/// Least rate at which requests are sent to a limited replica, in requests a second. Without any,
/// nobody would notice that the limit has ended.
const MIN_PER_S: f64 = 0.2;

/// Limit named in the head of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// Requests a second, from all entries together; finite, not negative, and rounded to a
    /// thousandth, as entries report it to each other.
    PerSecond(f64),
    /// The response names no limit.
    #[default]
    Unlimited,
    /// The response names a limit that can't be parsed. What is known of the replica stays.
    Unreadable,
}

impl LimitSignal {
    /// Parses the header value with the limit, if there is one.
    ///
    /// ```
    /// use gradeloft_policy::process::backpressure::LimitSignal;
    /// assert_eq!(LimitSignal::parse(Some("2.5")), LimitSignal::PerSecond(2.5));
    /// assert_eq!(LimitSignal::parse(Some("-1")), LimitSignal::Unreadable);
    /// assert_eq!(LimitSignal::parse(None), LimitSignal::Unlimited);
    /// ```
    pub fn parse(value: Option<&str>) -> LimitSignal {
        let Some(value) = value else {
            return LimitSignal::Unlimited;
        };
        match value.trim().parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && 0.0 <= per_s => {
                LimitSignal::PerSecond(from_thousandths(thousandths(per_s)))
            }
            _ => LimitSignal::Unreadable,
        }
    }
}

/// Time span in which a response was generated.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Time at which the request was sent; [`Time::ZERO`] if unknown.
    pub sent: Time,
    /// Time at which the head of the response arrived.
    pub received: Time,
}

/// Change of a replica's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The replica is limited now and was not before.
    Began,
    /// The limit has another value.
    Changed,
    /// The replica is no longer limited.
    Ended,
}

impl Change {
    /// Returns the change from one limit to another, if they differ.
    fn between(before: Option<f64>, after: Option<f64>) -> Option<Change> {
        match (before, after) {
            (None, Some(_)) => Some(Change::Began),
            (Some(_), None) => Some(Change::Ended),
            (Some(before), Some(after)) if before != after => Some(Change::Changed),
            _ => None,
        }
    }

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
    /// The report is newer and changed the limit.
    Applied(Change),
    /// The report says what is known.
    Known,
    /// The report says something else, and is older than what is known.
    Outdated,
}

/// Limit of one start of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests a second, from all entries together; `None` without a limit.
    per_s: Option<f64>,
    /// Time from which this counts.
    since: Time,
}

impl RateLimit {
    /// Returns the requests a second that the replica accepts from all entries together; `None`
    /// without a limit.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns the rate at which all entries together send requests, in requests a second; `None`
    /// without a limit.
    pub fn paced_per_s(&self) -> Option<f64> {
        self.per_s.map(|it| it.max(MIN_PER_S))
    }

    /// Applies the head of a response; returns the change of the limit, if there is one.
    pub fn observe(&mut self, signal: LimitSignal, exchange: Exchange) -> Option<Change> {
        let stated = match signal {
            LimitSignal::PerSecond(per_s) => Some(per_s),
            LimitSignal::Unlimited => None,
            LimitSignal::Unreadable => return None,
        };
        let since = match is_looser(stated, self.per_s) {
            true => exchange.sent,
            false => exchange.received,
        };
        self.apply(stated, since)
    }

    /// Returns the time from which the limit, or its absence, counts.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Applies the report of another entry about the same start of the replica.
    pub fn merge(&mut self, reported: Option<f64>, since: Time) -> Merge {
        let is_known = self.per_s == reported;
        // At the same time, a restriction takes precedence.
        let is_newer =
            self.since < since || (self.since == since && !is_looser(reported, self.per_s));
        match (is_newer, is_known) {
            (true, true) => {
                self.since = since;
                Merge::Known
            }
            (true, false) => match self.apply(reported, since) {
                Some(change) => Merge::Applied(change),
                None => Merge::Known,
            },
            (false, true) => Merge::Known,
            (false, false) => Merge::Outdated,
        }
    }

    /// Applies a statement, unless a later one is known.
    fn apply(&mut self, per_s: Option<f64>, since: Time) -> Option<Change> {
        if since < self.since {
            return None;
        }
        let before = std::mem::replace(&mut self.per_s, per_s);
        self.since = since;
        Change::between(before, per_s)
    }
}

/// Returns a rate in thousandths of a request per second.
pub fn thousandths(per_s: f64) -> u32 {
    // A rate beyond the range is as good as none at all.
    (per_s * 1_000.0).round() as u32
}

/// Returns a rate in requests a second.
pub fn from_thousandths(rate: u32) -> f64 {
    f64::from(rate) / 1_000.0
}

/// Returns whether a limit allows more requests than another, or whether there is none.
fn is_looser(limit: Option<f64>, other: Option<f64>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => other < limit,
        (Some(_), None) => false,
        (None, _) => true,
    }
}
