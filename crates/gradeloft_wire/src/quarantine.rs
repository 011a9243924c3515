//! Requests suspected of crashing replicas, as entries exchange and store them.

use bincode::{Decode, Encode};

use crate::id::Fingerprint;

/// Maximum number of crashes of a request that are sent and stored, far above the number that
/// quarantines the request.
pub const MAX_CRASHES: usize = 16;
/// Maximum number of suspects in one datagram. Suspects with [`MAX_CRASHES`] each, 120 bytes, fill
/// the datagram.
pub const MAX_PER_DATAGRAM: usize = 10;

/// A crash of a replica while it had a request.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Crash {
    /// Hash that identifies the start of the replica; each start crashes at most once.
    pub start: u32,
    /// Whether the crash no longer counts, because the request succeeded elsewhere or an operator
    /// cleared it.
    pub void: bool,
}

/// Crashes of a request, as entries send them to each other.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Crashes, at most one for each start of a replica.
    pub crashes: Vec<Crash>,
    /// Time since the last crash, in milliseconds.
    pub age_ms: u32,
}

/// Crashes of a request, as stored under the request's [`key`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Unix time of the last crash in milliseconds, by the clock of the entry that wrote the
    /// record.
    pub crashed_ms: u64,
    /// Crashes, at most one for each start of a replica.
    pub crashes: Vec<Crash>,
}

/// Prefix of the keys of requests; entries register in the same table under their addresses.
const KEY_PREFIX: &str = "request/";

/// Returns the key of a request in the table that entries write.
///
/// ```
/// use gradeloft_wire::{id::Fingerprint, quarantine};
/// let request = Fingerprint::of(None, ["host", "GET", "/"], b"");
/// assert_eq!(quarantine::parse_key(&quarantine::key(request)), Some(request));
/// assert_eq!(quarantine::parse_key("10.0.0.1"), None);
/// ```
pub fn key(request: Fingerprint) -> String {
    format!("{KEY_PREFIX}{request}")
}

/// Returns the request that a key identifies; `None` for other keys.
pub fn parse_key(key: &str) -> Option<Fingerprint> {
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}
