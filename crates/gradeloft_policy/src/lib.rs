//! All decisions of gradeloft as pure logic, without I/O, clock, globals or runtime.
//!
//! Functions take a state, an event, the time and a random generator, and return actions, which the
//! daemon carries out. Modules are grouped by the lifetime of the state they handle:
//!
//! - [`request`]: one request: admission, routing, retries, at-most-once execution, responses.
//! - [`connection`]: one connection: health, pacing.
//! - [`version`]: one bundle or version: acceptance, placement, distribution.
//! - [`process`]: one process: membership, gossip, replicas, rate leases, table copies.
//! - [`clock`] and [`rendezvous`] are used by all of these modules.

pub mod clock;
pub mod connection;
pub mod process;
pub mod rendezvous;
pub mod request;
pub mod version;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        clock::Time,
        process::membership::Membership,
        version::{chain::Chain, fetch::Fetch},
    };
}
