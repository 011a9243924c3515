//! The two roles of the daemon: I/O, scheduling and life cycle. Decisions are made by
//! `gradeloft_policy`.
//!
//! - [`agent`]: the process beside an endpoint.
//! - [`entry`]: the process that callers connect to.
//! - [`node`]: common parts of both: bundle, peers, admin port.
//! - [`transport`]: streams between processes of the system.
//! - [`settings`], [`logging`], [`metrics`], [`clock`], [`scope`]: support for these.
//!
//! A process runs on one thread. Its state is shared by `Rc` and `RefCell` without locks, and no
//! borrow is held across an await.

pub mod agent;
pub mod clock;
pub mod entry;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod scope;
pub mod settings;
pub mod transport;
