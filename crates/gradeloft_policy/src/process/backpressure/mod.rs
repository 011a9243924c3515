//! Backpressure that replicas signal in the heads of their responses.
//!
//! - [`signal`]: the values of the headers.
//! - [`statement`]: what replicas last stated, in the order of time.

pub mod signal;
pub mod statement;

pub use self::statement::{Change, Exchange, Merge, RateLimit, Statement};
