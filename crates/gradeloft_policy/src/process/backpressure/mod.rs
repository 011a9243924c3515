//! Backpressure that replicas signal in the heads of their responses.
//!
//! - [`rest`]: pauses that replicas ask for.
//! - [`signal`]: the values of the headers.
//! - [`statement`]: what replicas last stated, in the order of time.
//! - [`throttle`]: requests that one entry may send to one replica.
//! - [`unlisted`]: backpressure of replicas that are no longer listed.

pub mod rest;
pub mod signal;
pub mod statement;
pub mod throttle;
pub mod unlisted;

pub use self::{
    rest::Rest,
    statement::{Change, Exchange, Leaving, Merge, RateLimit, Statement},
    throttle::{SendPermit, Throttle},
    unlisted::Unlisted,
};
