//! What entries tell each other, and keep in the platform's store, of requests under which replicas ended.

use bincode::{Decode, Encode};

use crate::id::Fingerprint;

/// Crashes of one request that are told and kept: far more than shut one out.
pub const MAX_CRASHES: usize = 16;
/// Requests in one datagram: with the most crashes each, 120 bytes, they fill it.
pub const MAX_PER_DATAGRAM: usize = 10;

/// The end of a replica while it had a request.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Crash {
    /// Hash of the replica's start, which ended only once.
    pub start: u32,
    /// Whether it no longer speaks against the request, which was answered elsewhere.
    pub void: bool,
}

/// What is known of a request, as one entry tells others.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Suspect {
    /// The request.
    pub request: Fingerprint,
    /// Crashes by start, each start once.
    pub crashes: Vec<Crash>,
    /// How long ago the last of them happened, in milliseconds.
    pub age_ms: u32,
}

/// What is known of a request, as the store keeps it under the request's [`key`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Unix millisecond of the last crash, by the clock of the entry that wrote it.
    pub crashed_ms: u64,
    /// Crashes by start, each start once.
    pub crashes: Vec<Crash>,
}

/// Begins the keys of requests, beside the addresses under which entries register.
const KEY: &str = "request/";

/// Key of a request in the table that entries write.
///
/// ```
/// use gradeloft_wire::{id::Fingerprint, quarantine};
/// let request = Fingerprint::of(None, ["host", "GET", "/"], b"");
/// assert_eq!(quarantine::parse_key(&quarantine::key(request)), Some(request));
/// assert_eq!(quarantine::parse_key("10.0.0.1"), None);
/// ```
pub fn key(request: Fingerprint) -> String {
    format!("{KEY}{request}")
}

/// The request that a key names, if it names one.
pub fn parse_key(key: &str) -> Option<Fingerprint> {
    key.strip_prefix(KEY)?.parse().ok()
}
