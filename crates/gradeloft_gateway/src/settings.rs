//! What a process is told at its start.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use gradeloft_policy::process::retry_budget;

/// Settings of a process, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// The instance's address.
    pub address: Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: BTreeMap<String, String>,
    /// Port, TCP and UDP, on which gradeloft's processes talk to each other; the same on all
    /// instances.
    pub peer_port: u16,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Instances that may run an entry.
    pub seeds: Vec<Ipv4Addr>,
    /// How often requests may be sent again, by all entries together.
    pub repeats: retry_budget::Bounds,
    /// Time from the confirmation of a configuration until it is in force everywhere, in milliseconds.
    pub apply_ms: u64,
    /// Time from the naming of new weights until every request begins on them, in milliseconds.
    pub version_ms: u64,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Longest time for which callers keep the addresses that they are given, in seconds.
    pub max_ttl_s: u64,
    /// Bytes a second that the instance's link carries, each way.
    pub link_bytes_per_s: u64,
    /// What the process does.
    pub role: Role,
}

/// What a process does.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Brings weights to a replica.
    Agent {
        /// Where the replica listens, on this instance.
        replica: SocketAddr,
        /// Service that the replica belongs to.
        service: String,
    },
    /// Forwards requests.
    Entry {
        /// Where callers connect.
        frontend: SocketAddr,
        /// Where the platform asks whether the process is ready.
        readiness: SocketAddr,
        /// Where callers ask for addresses.
        directory: SocketAddr,
    },
}

impl Settings {
    /// Region of an availability zone; the zone's own name where none is known.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
