//! Shares of a process's listeners in its memory and descriptors.
//!
//! What is left of the memory besides the copies of the platform's tables belongs to clients. Each
//! listener has a share of it, part of which bounds the number of its connections, so the sum over all
//! connections of all listeners stays within the memory of the machine.

use gradeloft_daemon::transport::server as peers;
use gradeloft_http::server as http;
use gradeloft_policy::connection::intake::Limits;

use crate::{entry::connection, settings::Settings};

/// Memory that a process needs besides that of clients, in bytes: the limit for control of the largest
/// fleet that is designed for.
const CONTROL_BYTES: usize = 64 << 20;
/// Descriptors that the platform reserves for files.
const FILES: usize = 200;
/// Largest useful numbers of connections.
const MAX_LOOKUPS: usize = 256;
const MAX_CHECKS: usize = 32;
const MAX_PEERS: usize = 512;

/// Limits of all listeners of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shares {
    /// Callers of an entry.
    pub callers: Limits,
    /// Address lookups.
    pub lookups: Limits,
    /// Metrics.
    pub metrics: Limits,
    /// Other processes of gradeloft.
    pub peers: Limits,
    /// Readiness checks.
    pub readiness: Limits,
}

impl Shares {
    /// Returns the shares for the limits of the settings.
    pub fn of(settings: &Settings) -> Shares {
        Shares::new(settings.memory_bytes, settings.max_descriptors)
    }

    /// Returns the shares of a process with the given memory in bytes and number of descriptors.
    ///
    /// ```
    /// use gradeloft_gateway::shares::Shares;
    /// let shares = Shares::new(260 << 20, 4_100);
    /// assert_eq!(shares.callers.connections, 313);
    /// ```
    pub fn new(memory_bytes: usize, max_descriptors: usize) -> Shares {
        let control = CONTROL_BYTES.min(memory_bytes / 4 * 3);
        let clients = memory_bytes - control;
        let sockets = max_descriptors
            .saturating_sub(FILES)
            .max(max_descriptors / 2);
        // The rest of the sockets are connections to replicas, peers and the store.
        Shares {
            callers: limits(
                clients / 2,
                connection::CONNECTION_BYTES,
                2,
                sockets / 16 * 5,
            ),
            peers: limits(
                clients / 4,
                peers::CONNECTION_BYTES,
                4,
                (sockets / 16 * 3).min(MAX_PEERS),
            ),
            lookups: limits(
                clients / 8,
                http::CONNECTION_BYTES,
                8,
                (sockets / 16).min(MAX_LOOKUPS),
            ),
            readiness: limits(
                clients / 16,
                http::CONNECTION_BYTES,
                8,
                (sockets / 64).min(MAX_CHECKS),
            ),
            metrics: limits(
                clients / 16,
                http::CONNECTION_BYTES,
                2,
                (sockets / 64).min(MAX_CHECKS),
            ),
        }
    }
}

/// Returns the limits of a listener, of whose memory one part in `parts` is shared by all connections.
fn limits(memory: usize, connection_bytes: usize, parts: usize, most: usize) -> Limits {
    let shared_bytes = memory / parts;
    let room = (memory - shared_bytes) / connection_bytes;
    Limits {
        connections: room.min(most).max(1),
        shared_bytes,
        reserved_bytes: shared_bytes / 4,
    }
}
