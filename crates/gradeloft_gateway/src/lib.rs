//! Gateway to replicas that speak HTTP: entries that forward requests, and agents that deliver
//! weights to the replicas beside them.
//!
//! - [`agent`]: the process beside a replica.
//! - [`entry`]: the process that callers connect to.
//! - [`events`]: parsing of event streams.
//! - [`h1`]: HTTP/1.1 on top of plain TCP connections.
//! - [`logs`]: rate-limited logging.
//! - [`metrics`]: counters and histograms.
//! - [`node`]: what both processes share: copies of the platform's tables, peers, datagrams.
//! - [`pool`]: pool of connections to replicas.
//! - [`settings`]: settings of a process.
//! - [`suspects`]: operator's access to requests suspected of crashing replicas.
//! - [`traffic`]: traffic accounting by purpose.
//! - [`watch`]: detects changes of a file.
//!
//! A process runs on one thread: its state is shared by `Rc` and `RefCell`, and no borrow is held
//! across an await.

pub mod agent;
pub mod entry;
pub mod events;
pub mod h1;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod pool;
pub mod settings;
pub mod shares;
pub mod suspects;
pub mod traffic;
pub mod watch;

/// Re-exports of the most commonly used items.
pub mod prelude {
    pub use crate::{
        agent::Agent,
        entry::Entry,
        node::{Node, Platform},
        settings::Settings,
    };
}
