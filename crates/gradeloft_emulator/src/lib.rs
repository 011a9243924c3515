//! A fleet in virtual time: callers, entries and replicas, to see what the decisions of
//! `gradeloft_policy` are worth to callers without a process, a socket or a clock.
//!
//! Entries run the very code that the gateway runs. Replicas work in passes, by the times that an operator
//! publishes. A run depends on its load and its seed only, and takes a small part of the time that it
//! emulates.
//!
//! - [`engine`]: a replica's queue and passes.
//! - [`load`]: what is played.
//! - [`outcome`]: what callers got.
//! - [`entry`]: one entry's view and decisions.
//! - [`world`]: the run.

pub mod engine;
pub mod entry;
pub mod load;
pub mod outcome;
pub mod world;

/// The names that most users of this crate want.
pub mod prelude {
    pub use crate::{
        load::{Kind, Load, Loss, Scheme},
        outcome::{Outcome, Tally},
        world::play,
    };
}
