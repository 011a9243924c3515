//! Every decision of gradeloft, without I/O, clock, globals or runtime.
//!
//! Functions here take a state, an event, the time and a random generator, and give actions; the
//! daemon carries the actions out. Modules follow life spans:
//!
//! - [`request`]: what lives for a request: admission, route, retries, at most once, answer.
//! - [`connection`]: what lives for a connection: health, pacing.
//! - [`version`]: what lives for a bundle or a version: acceptance, placement, distribution.
//! - [`process`]: what lives for a process: membership, addresses.
//! - [`clock`] and [`rendezvous`] serve them all.

pub mod clock;
pub mod connection;
pub mod process;
pub mod rendezvous;
pub mod request;
pub mod version;

/// The names that most users of this crate want.
pub mod prelude {
    pub use crate::{
        clock::Time,
        process::membership::Membership,
        version::{chain::Chain, fetch::Fetch},
    };
}
