//! Settings of a process.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use gradeloft_policy::process::retry_budget;

/// Validated settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Address of the instance.
    pub address: Ipv4Addr,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: BTreeMap<String, String>,
    /// TCP and UDP port on which gradeloft's processes communicate; the same on all instances.
    pub peer_port: u16,
    /// Port of the metrics listener.
    pub metrics_port: u16,
    /// Instances that may run an entry.
    pub seeds: Vec<Ipv4Addr>,
    /// Limits on request retries by all entries together.
    pub repeats: retry_budget::Bounds,
    /// Time from the confirmation of a configuration until it must be in force everywhere, in
    /// milliseconds.
    pub apply_ms: u64,
    /// Time from the announcement of new weights until every new request must run on them, in
    /// milliseconds.
    pub version_ms: u64,
    /// Time from SIGTERM until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Maximum time for which callers cache looked-up addresses, in seconds.
    pub max_ttl_s: u64,
    /// Bandwidth of the instance's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Role of the process.
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Delivers weights to a replica.
    Agent {
        /// Address of the replica on this instance.
        replica: SocketAddr,
        /// Service that the replica belongs to.
        service: String,
    },
    /// Forwards requests.
    Entry {
        /// Listen address for callers.
        frontend: SocketAddr,
        /// Listen address for readiness checks of the platform.
        readiness: SocketAddr,
        /// Listen address for address lookups by callers.
        directory: SocketAddr,
    },
}

impl Settings {
    /// Returns the region of an availability zone, or the zone's own name if the region is unknown.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
