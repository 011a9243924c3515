//! The daemon's two roles: I/O, scheduling and life cycle around the decisions of
//! `gradeloft_policy`.
//!
//! - [`agent`]: the process beside an endpoint.
//! - [`entry`]: the process that callers talk to.
//! - [`node`]: what both share: bundle, peers, admin port.
//! - [`transport`]: streams between gradeloft's own processes.
//! - [`settings`], [`logging`], [`metrics`], [`clock`], [`scope`]: the rest of a process.
//!
//! Everything of one process runs on one thread, so its state is shared by `Rc` and `RefCell` and
//! never locked; no borrow is held over an await.

pub mod agent;
pub mod clock;
pub mod entry;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod scope;
pub mod settings;
pub mod transport;
