//! Whether a failed attempt is tried again.

use gradeloft_wire::error::{Kind, Retry};

use crate::clock::Time;

/// Retries that may be saved up while all goes well.
const SAVED: f64 = 10.0;
/// Attempts that one request may make, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Bounds retries to a share of fresh requests, so that a dead availability zone makes no storm.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries earned by each fresh request.
    share: f64,
    /// From 0 to [`SAVED`].
    saved: f64,
}

impl Budget {
    /// A full budget of `percent` retries for each hundred fresh requests.
    pub fn new(percent: u64) -> Budget {
        let saved = if percent == 0 { 0.0 } else { SAVED };
        Budget {
            share: percent as f64 / 100.0,
            saved,
        }
    }

    /// Counts a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }

    fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not.
    Never,
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why it failed.
    pub kind: Kind,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Whether the caller has been sent a part of the answer.
    pub response_started: bool,
}

/// Whether to try again; takes one retry out of the budget if so.
pub fn should_retry(failure: Failure, budget: &mut Budget, now: Time, deadline: Time) -> bool {
    if failure.response_started || MAX_ATTEMPTS <= failure.attempts || deadline <= now {
        return false;
    }
    let allowed = match failure.kind.row().retry {
        Retry::Elsewhere => true,
        Retry::IfRepeatable => failure.repeat == Repeat::Allowed,
        Retry::Never => false,
    };
    allowed && budget.spend()
}
