//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`gossip`]: which peers a node asks for the bundle in force.
//! - [`membership`]: which peers there are, by the list and by what connections show.
//! - [`shares`]: shares of a rate between entries.

pub mod address;
pub mod gossip;
pub mod membership;
pub mod shares;
