//! Records that gradeloft appends to the platform's log.
//!
//! A record is one format byte and a bincode body, so that a reader skips records of a newer format
//! instead of misreading them.

use bincode::{Decode, Encode};

use crate::{codec, id::Digest};

/// Format of the records that this build writes.
pub const FORMAT: u8 = 1;
/// Largest record read from the log, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// Stream of accepted and refused bundles.
pub const CONFIG: &str = "config";
/// Stream of agents' epochs.
pub const EPOCHS: &str = "epochs";
/// Prefix of the streams of claims on calls that run at most once; one for each service,
/// `claims.SERVICE`.
pub const CLAIMS: &str = "claims";
/// Prefix of the streams of turns to switch versions; one for each model, `turns.MODEL`, and for
/// each adapter, `turns.MODEL.ADAPTER`.
pub const TURNS: &str = "turns";

/// A bundle with the signature of its publisher.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SignedBundle {
    /// The bundle as canonical JSON; the digest and the signature cover these bytes.
    pub payload: Vec<u8>,
    /// Name of the publisher.
    pub signer: String,
    /// ed25519 signature.
    pub signature: [u8; 64],
}

impl SignedBundle {
    /// Returns the digest that identifies the bundle.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.payload)
    }
}

/// Exclusive right to run a call that runs at most once.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Claim {
    /// Digest of the team, the service and the caller's key.
    pub key: Digest,
    /// Attempt that claims the call; tells a re-read of the same claim from a competing one.
    pub attempt: u128,
}

/// Progress of a replica's switch to a version.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Step {
    /// The replica requests a turn, or renews its request.
    Ask,
    /// The replica serves the version.
    Done,
    /// The version failed on the replica.
    Failed,
}

/// State of a replica's turn to switch to a bundle's version.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Turn {
    /// Number of the bundle in force when the record was written.
    pub number: u64,
    /// Digest of the version's manifest; a bundle that leaves the version unchanged keeps the
    /// digest.
    pub manifest: Digest,
    /// Instance of the replica.
    pub node: String,
    /// Progress of the switch.
    pub step: Step,
}

/// A record of the log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Record {
    /// A published bundle.
    Bundle(SignedBundle),
    /// The bundle in force, appended again by a node that accepted it, for readers that start after
    /// the log has dropped the original.
    Checkpoint(SignedBundle),
    /// A start of an agent; its offset in the log is the agent's epoch.
    Epoch {
        /// Instance.
        node: String,
        /// Random number by which the agent recognizes its own record.
        nonce: u64,
    },
    /// Claims on calls that run at most once.
    Claims(Vec<Claim>),
    /// A replica's turn in a rollout.
    Turn(Turn),
}

/// Reason why a record can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The record is empty, truncated, too long or otherwise invalid.
    Malformed,
    /// A newer build wrote the record.
    Newer,
}

impl Record {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(codec::encode_body(self));
        bytes
    }

    /// Decodes the bytes of one record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        if MAX_BYTES < bytes.len() {
            return Err(RecordError::Malformed);
        }
        match bytes.split_first() {
            Some((&FORMAT, body)) => codec::decode_body(body).map_err(|_| RecordError::Malformed),
            Some((format, _)) if FORMAT < *format => Err(RecordError::Newer),
            _ => Err(RecordError::Malformed),
        }
    }
}
