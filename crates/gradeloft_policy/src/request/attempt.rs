//! What is known of one attempt at a request after it ended, and what may follow.

use crate::process::document::Kind;

/// How an attempt ended without an answer that can be passed on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// Its answer broke off or was not HTTP.
    Broken,
    /// The replica answered that it failed.
    Failed,
    /// The connection ended after the request went out, with no answer.
    Lost,
    /// Another replica has the address now; it ran nothing.
    Misdirected,
    /// It was taken back before it began, since the replica's weights became too old.
    Outdated,
    /// The replica answered that it ran nothing.
    Refused,
    /// Nothing came from the replica for too long, on a connection that is open.
    Silent,
    /// No connection could be made; nothing was sent.
    Unsent,
    /// It was taken back, since another replica that had it answers.
    Withdrawn,
}

/// Whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// It has not and will not.
    No,
    /// It may have.
    Unknown,
}

impl Failure {
    /// Whether the request may have run.
    pub fn ran(self) -> Ran {
        match self {
            Failure::Misdirected | Failure::Refused | Failure::Unsent => Ran::No,
            Failure::Broken
            | Failure::Failed
            | Failure::Lost
            | Failure::Outdated
            | Failure::Silent
            | Failure::Withdrawn => Ran::Unknown,
        }
    }

    /// Whether it speaks against the replica, so that others are better for a while.
    pub fn implicates_replica(self) -> bool {
        !matches!(
            self,
            Failure::Failed | Failure::Outdated | Failure::Refused | Failure::Withdrawn
        )
    }

    /// Whether it is what the end of a replica looks like to a request that it had.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Failure::Broken | Failure::Lost | Failure::Silent)
    }

    /// Name in logs and metrics.
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
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    /// What may be repeated.
    pub kind: Kind,
    /// Replicas that got it, or may have.
    pub attempts: u32,
    /// Most replicas that may get it.
    pub max_attempts: u32,
    /// Whether any attempt may have run.
    pub ran: Ran,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(kind: Kind, max_attempts: u32) -> Attempts {
        Attempts {
            kind,
            attempts: 0,
            max_attempts: max_attempts.max(1),
            ran: Ran::No,
        }
    }

    /// Takes the end of an attempt in. Whatever reached a replica counts against the limit.
    pub fn record_failure(&mut self, failure: Failure) {
        if failure != Failure::Unsent {
            self.attempts += 1;
        }
        if failure.ran() == Ran::Unknown {
            self.ran = Ran::Unknown;
        }
    }

    /// Whether another replica may get the request.
    pub fn may_retry(&self) -> bool {
        let harmless = self.ran == Ran::No || self.kind.repeatable();
        harmless && self.attempts < self.max_attempts
    }
}
