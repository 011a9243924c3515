//! Requests that compete for the replicas of a service, and their order.

use crate::clock::Time;

/// Precedence of a request by the operator's priorities: the team's priority decides, then the
/// route's. The lowest value comes first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Precedence {
    /// Priority of the team; 0 is the highest.
    pub team: u32,
    /// Priority of the route; 0 is the highest.
    pub route: u32,
}

/// A request that competes with others for the replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contender {
    /// Precedence by the operator's priorities.
    pub precedence: Precedence,
    /// Hash of the team's name; `None` without a team.
    pub team: Option<u64>,
    /// Replica time that the request takes, in milliseconds.
    pub work_ms: f64,
    /// Time by which the response has to begin to meet the latency objective.
    pub goal: Time,
    /// Time by which the response has to be complete.
    pub deadline: Time,
    /// Whether the caller was refused before and returns at the time of its booking. The request
    /// goes before others of its precedence.
    pub returned: bool,
}
