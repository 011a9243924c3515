//! Discrete-event simulation of a fleet in virtual time: callers, entries and replicas. It evaluates
//! the decisions of `gradeloft_policy` without processes, sockets or a real clock.
//!
//! Entries run the same policy code as the gateway. Replicas process requests in passes, at the
//! speed that an operator publishes. A run is determined by its load and its seed, and takes a small
//! fraction of the time that it simulates.
//!
//! - [`ends`]: ends of responses without a length.
//! - [`engine`]: queue and passes of a replica.
//! - [`load`]: parameters of a run.
//! - [`outcome`]: outcomes of the callers' requests.
//! - [`entry`]: view and decisions of one entry.
//! - [`removals`]: removal of a replica after a cut or an outage of the store.
//! - [`rollout`]: rollout of a version, with pauses of agents and corrupt chunks.
//! - [`simulation`]: event loop of a run.

pub mod ends;
pub mod engine;
pub mod entry;
pub mod load;
pub mod outcome;
pub mod removals;
pub mod rollout;
pub mod simulation;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        load::{Load, Outage, RequestKind, Scheme, Surge},
        outcome::{Outcome, Tally},
        simulation::simulate,
    };
}
