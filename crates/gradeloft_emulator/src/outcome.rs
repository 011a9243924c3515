//! Outcomes of the callers' requests.

use serde::Serialize;

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered within its target times.
    InTime,
    /// First token after the target time, or too long a gap between tokens.
    Late,
    /// Refused at both attempts, or lost with its replica.
    Refused,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Answered within their target times.
    pub in_time: u32,
    /// Answered late.
    pub late: u32,
    /// Refused at both attempts, or lost with their replica.
    pub refused: u32,
}

impl Tally {
    /// Adds an outcome.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
        }
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u32 {
        self.in_time + self.late + self.refused
    }

    /// Returns the fraction of requests that were answered in time.
    pub fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total().max(1))
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RunResult {
    /// All requests.
    pub all: Tally,
    /// Requests by kind, in the order of the load.
    pub kinds: Vec<Tally>,
    /// Requests with prompts below, and of at least, the mean length of their kind.
    pub halves: [Tally; 2],
}
