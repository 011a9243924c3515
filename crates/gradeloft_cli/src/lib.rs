//! Operator commands: check, sign and publish bundles, and inspect the fleet.
//!
//! - [`bundles`]: bundle files and signed bundle files.
//! - [`diff`]: differences between two bundles.
//! - [`explain`]: reconstructs the path of a request from logs.
//! - [`fleet`]: status of all nodes.
//! - [`history`]: published bundles in the log, with the verdict on each.
//! - [`keys`]: key files.
//! - [`publish`]: publishes a bundle and waits until it is in force.
//! - [`traffic`]: sums the bytes that processes sent, by purpose, from logs.
//!
//! The binary `gradeloft` is a thin wrapper around these modules.

pub mod bundles;
pub mod diff;
pub mod explain;
pub mod fleet;
pub mod history;
pub mod keys;
pub mod publish;
pub mod traffic;
