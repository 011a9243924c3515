//! What callers got.

use serde::Serialize;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered within its time.
    InTime,
    /// Answered later, or with a pause that is too long.
    Late,
    /// Refused, and refused again when it came back.
    Refused,
}

/// Ends of requests, by how many.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Answered within their time.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused for good.
    pub refused: u32,
}

impl Tally {
    /// Counts one.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
        }
    }

    /// Requests in all.
    pub fn asked(&self) -> u32 {
        self.in_time + self.late + self.refused
    }

    /// Part that was answered in time.
    pub fn part_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked().max(1))
    }
}

/// What a run gave.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Result {
    /// All requests.
    pub all: Tally,
    /// By kind, in the order of the load.
    pub kinds: Vec<Tally>,
    /// Those of the shorter and of the longer half of the prompts.
    pub halves: [Tally; 2],
}
