//! Requests, and parts of prompts, suspected of crashing replicas, as entries exchange and store them.

use std::{fmt, str::FromStr};

use bincode::{Decode, Encode};

use crate::id::{Fingerprint, Malformed};

/// Maximum number of crashes of a subject that are sent and stored, far above the number that
/// quarantines it.
pub const MAX_CRASHES: usize = 16;
/// Maximum number of suspects in one datagram. Suspects with [`MAX_CRASHES`] each, about 200 bytes,
/// fill the datagram.
pub const MAX_PER_DATAGRAM: usize = 6;

/// What crashes are held against.
///
/// ```
/// use gradeloft_wire::{id::Fingerprint, quarantine::Subject};
/// let request = Fingerprint::of(None, ["host", "GET", "/"], b"");
/// assert_eq!(request.to_string().parse(), Ok(Subject::Request(request)));
/// let part = Subject::Part(Fingerprint::of_part("5c1e07a2"));
/// assert_eq!(part.to_string().parse(), Ok(part));
/// ```
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A part of prompts, whatever else a request contains.
    Part(Fingerprint),
    /// A request with all its content.
    Request(Fingerprint),
}

impl Subject {
    /// Returns the fingerprint of the request or part.
    pub fn fingerprint(self) -> Fingerprint {
        match self {
            Subject::Part(fingerprint) | Subject::Request(fingerprint) => fingerprint,
        }
    }
}

/// Prefix of a part's fingerprint in text.
const PART_PREFIX: &str = "part:";

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Part(part) => write!(f, "{PART_PREFIX}{part}"),
            Subject::Request(request) => write!(f, "{request}"),
        }
    }
}

impl FromStr for Subject {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Subject, Malformed> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().map(Subject::Part),
            None => text.parse().map(Subject::Request),
        }
    }
}

/// A crash of a replica while it had a request with the subject.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Crash {
    /// Hash that identifies the start of the replica; each start crashes at most once.
    pub start: u32,
    /// Whether the crash no longer counts, because a request with the subject succeeded elsewhere or
    /// an operator cleared it.
    pub void: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// Crashes held against a subject, as entries send them to each other.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Suspect {
    /// The request or part.
    pub subject: Subject,
    /// Crashes, at most one for each start of a replica.
    pub crashes: Vec<Crash>,
}

/// Crashes held against a subject, as stored under the subject's [`key`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Unix time to which the ages of the crashes refer, in milliseconds, by the clock of the entry
    /// that wrote the record.
    pub written_ms: u64,
    /// Crashes, at most one for each start of a replica.
    pub crashes: Vec<Crash>,
}

/// Prefix of the keys of suspects; entries register in the same table under their addresses.
const KEY_PREFIX: &str = "suspect/";

/// Returns the key of a subject in the table that entries write.
///
/// ```
/// use gradeloft_wire::{id::Fingerprint, quarantine::{self, Subject}};
/// let request = Subject::Request(Fingerprint::of(None, ["host", "GET", "/"], b""));
/// assert_eq!(quarantine::parse_key(&quarantine::key(request)), Some(request));
/// assert_eq!(quarantine::parse_key("10.0.0.1"), None);
/// ```
pub fn key(subject: Subject) -> String {
    format!("{KEY_PREFIX}{subject}")
}

/// Returns the subject that a key identifies; `None` for other keys.
pub fn parse_key(key: &str) -> Option<Subject> {
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}
