//! Whether to retry a failed attempt.

use gradeloft_wire::error::{Kind, Retry};

use crate::clock::Time;

/// Most retries that can accumulate.
const MAX_SAVED: f64 = 10.0;
/// Most attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Limits retries to a share of new requests, to prevent a retry storm when an availability zone
/// fails.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries earned by each new request.
    share: f64,
    /// Available retries, from 0 to [`MAX_SAVED`].
    saved: f64,
}

impl Budget {
    /// Creates a full budget that allows `percent` retries per hundred new requests.
    pub fn new(percent: u64) -> Budget {
        let saved = if percent == 0 { 0.0 } else { MAX_SAVED };
        Budget {
            share: percent as f64 / 100.0,
            saved,
        }
    }

    /// Records a new request, which adds its share of a retry to the budget.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
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
    /// The request may run again.
    Allowed,
    /// The request must not run again.
    Never,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Error of the attempt.
    pub kind: Kind,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Whether any part of the response was sent to the caller.
    pub response_started: bool,
}

/// Returns whether to retry, and takes one retry from the budget if so.
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
