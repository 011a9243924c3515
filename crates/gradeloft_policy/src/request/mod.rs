//! State and decisions that last for one request.
//!
//! - [`admission`]: rate limits of teams and load shedding by class.
//! - [`admission_level`]: the fraction of the requests of each precedence that is admitted.
//! - [`at_most_once`]: calls that run at most once.
//! - [`attempt`]: whether another attempt may follow a failed one.
//! - [`caller_age`]: how long ago a caller first sent its request.
//! - [`contention`]: requests that compete for the replicas of a service.
//! - [`forecast`]: time to first token at a replica.
//! - [`late_data`]: data that is read after the deadline of its request.
//! - [`placement`]: selection of a replica for a forwarded request.
//! - [`prompt`]: parts that prompts share.
//! - [`quarantine`]: requests that crash the replicas running them.
//! - [`queue`]: requests that wait for a replica, and their order.
//! - [`reservation`]: reservations of room for callers that were refused and return.
//! - [`response`]: validation of response frames.
//! - [`retry`]: whether to retry a failed attempt.
//! - [`route`]: selection of a replica by prefix affinity and load.
//! - [`shortage`]: when refused callers retry.
//! - [`wait`]: how long a request waits for a replica with room.

pub mod admission;
pub mod admission_level;
pub mod at_most_once;
pub mod attempt;
pub mod caller_age;
pub mod contention;
pub mod forecast;
pub mod late_data;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod queue;
pub mod reservation;
pub mod response;
pub mod retry;
pub mod route;
pub mod shortage;
pub mod wait;
