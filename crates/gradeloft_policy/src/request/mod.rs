//! What lives for a request.
//!
//! - [`admission`]: rates of teams and the shedding of classes.
//! - [`answer`]: whether the frames of an answer are whole and its own.
//! - [`attempt`]: what may follow a failed attempt.
//! - [`once`]: calls that run at most once.
//! - [`placement`]: which replica gets a forwarded request.
//! - [`retry`]: whether a failed attempt is tried again.
//! - [`route`]: which replica gets it.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod once;
pub mod placement;
pub mod retry;
pub mod route;
