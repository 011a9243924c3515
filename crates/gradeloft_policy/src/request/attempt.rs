//! Outcomes of failed attempts at a request, and whether another attempt may follow.

use crate::process::document::RouteKind;

/// Reason why an attempt ended without a response to relay.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// The response broke off or was not valid HTTP.
    Broken,
    /// The replica responded with a failure.
    Failed,
    /// The connection closed after the request was sent, without a response.
    Lost,
    /// The address now belongs to another replica, which did not run the request.
    Misdirected,
    /// The entry withdrew the attempt before its response began, as the replica's weights became
    /// too old.
    Outdated,
    /// The replica responded that it did not run the request.
    Refused,
    /// The replica sent nothing for too long on an open connection.
    Silent,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The request was not sent, as the replica accepts fewer requests than when it was selected.
    Withheld,
    /// The entry withdrew the attempt, as another replica with the same request responds.
    Withdrawn,
}

/// Whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// The request has not run and will not.
    No,
    /// The request may have run.
    Unknown,
}

impl Failure {
    /// Returns whether the request may have run.
    pub fn ran(self) -> Ran {
        match self {
            Failure::Misdirected | Failure::Refused | Failure::Unsent | Failure::Withheld => {
                Ran::No
            }
            Failure::Broken
            | Failure::Failed
            | Failure::Lost
            | Failure::Outdated
            | Failure::Silent
            | Failure::Withdrawn => Ran::Unknown,
        }
    }

    /// Returns whether the failure counts against the replica, so that others are preferred for a
    /// while.
    pub fn implicates_replica(self) -> bool {
        !matches!(
            self,
            Failure::Failed
                | Failure::Outdated
                | Failure::Refused
                | Failure::Withdrawn
                | Failure::Withheld
        )
    }

    /// Returns whether a crash of the replica can cause this failure.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Failure::Broken | Failure::Lost | Failure::Silent)
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Failure::Broken => "broken",
            Failure::Failed => "failed",
            Failure::Lost => "lost",
            Failure::Misdirected => "misdirected",
            Failure::Outdated => "outdated",
            Failure::Refused => "refused",
            Failure::Silent => "silent",
            Failure::Unsent => "unsent",
            Failure::Withdrawn => "withdrawn",
            Failure::Withheld => "withheld",
        }
    }
}

/// Attempts made for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    /// Kind of the route, which decides whether a request that may have run can be repeated.
    pub kind: RouteKind,
    /// Number of attempts that reached or may have reached a replica.
    pub attempts: u32,
    /// Most replicas that may receive the request.
    pub max_attempts: u32,
    /// Whether any attempt may have run.
    pub ran: Ran,
}

impl Attempts {
    /// Creates the state of a request without attempts.
    pub fn new(kind: RouteKind, max_attempts: u32) -> Attempts {
        Attempts {
            kind,
            attempts: 0,
            max_attempts: max_attempts.max(1),
            ran: Ran::No,
        }
    }

    /// Records a failed attempt. Every attempt that may have reached a replica counts against the
    /// limit.
    pub fn record_failure(&mut self, failure: Failure) {
        if !matches!(failure, Failure::Unsent | Failure::Withheld) {
            self.attempts += 1;
        }
        if failure.ran() == Ran::Unknown {
            self.ran = Ran::Unknown;
        }
    }

    /// Returns whether the request may be sent to another replica.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.ran == Ran::No || self.kind.repeatable();
        is_safe && self.attempts < self.max_attempts
    }
}
