//! What lives for a request.
//!
//! - [`admission`]: rates of teams and the shedding of classes.
//! - [`caller_age`]: how long ago a caller first asked.
//! - [`response`]: whether the frames of an answer are whole and its own.
//! - [`attempt`]: what may follow a failed attempt.
//! - [`forecast`]: when a replica would begin an answer.
//! - [`at_most_once`]: calls that run at most once.
//! - [`placement`]: which replica gets a forwarded request.
//! - [`quarantine`]: requests that end the replicas which begin them.
//! - [`retry`]: whether a failed attempt is tried again.
//! - [`route`]: which replica gets it.
//! - [`shortage`]: when callers that are refused come back.
//! - [`wait`]: how long a request waits for a replica with room.

pub mod admission;
pub mod at_most_once;
pub mod attempt;
pub mod caller_age;
pub mod forecast;
pub mod placement;
pub mod quarantine;
pub mod response;
pub mod retry;
pub mod route;
pub mod shortage;
pub mod wait;
