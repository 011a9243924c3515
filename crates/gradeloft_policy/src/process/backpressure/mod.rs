//! Backpressure that replicas signal in the heads of their responses.
//!
//! - [`rest`]: pauses that replicas ask for.
//! - [`signal`]: the values of the headers.
//! - [`statement`]: what replicas last stated, in the order of time.

pub mod rest;
pub mod signal;
pub mod statement;

pub use self::{
    rest::Rest,
    statement::{Change, Exchange, Leaving, Merge, RateLimit, Statement},
};
