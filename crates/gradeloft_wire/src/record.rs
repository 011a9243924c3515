//! Records that gradeloft keeps on the platform's log.
//!
//! A record is one format byte and a bincode body, so that a reader can pass over records of a
//! newer format instead of misreading them.

use bincode::{Decode, Encode};

use crate::{codec, id::Digest};

/// Format of the records written by this build.
pub const FORMAT: u8 = 1;
/// Largest record read from the log, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// Stream of accepted and refused bundles.
pub const CONFIG: &str = "config";
/// Stream of agents' epochs.
pub const EPOCHS: &str = "epochs";
/// Streams of claims on calls that may run at most once; one for each service, `claims.SERVICE`.
pub const CLAIMS: &str = "claims";
/// Streams of turns to switch versions; one for each model, `turns.MODEL`, and for each adapter,
/// `turns.MODEL.ADAPTER`.
pub const TURNS: &str = "turns";

/// A bundle with the signature of its publisher.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SignedBundle {
    /// The bundle in canonical JSON; its digest and its signature are over these bytes.
    pub payload: Vec<u8>,
    /// Name of the publisher.
    pub signer: String,
    /// ed25519 signature.
    pub signature: [u8; 64],
}

impl SignedBundle {
    /// Digest that names the bundle.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.payload)
    }
}

/// The right to run one call that may run at most once.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Claim {
    /// Service and the caller's key, scoped by team.
    pub key: Digest,
    /// Attempt that claims; equal in a re-read of the same claim.
    pub attempt: u128,
}

/// How far a replica is with a version that it needed a turn for.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Step {
    /// It asks for a turn, or renews its ask.
    Ask,
    /// It serves the version.
    Done,
    /// The version failed on it.
    Failed,
}

/// A replica's word on its turn to switch to a bundle's version.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Turn {
    /// Number of the bundle in force when it was said.
    pub number: u64,
    /// Manifest of the version, which stays the same when a bundle changes something else.
    pub manifest: Digest,
    /// Instance of the replica.
    pub node: String,
    /// How far it is.
    pub step: Step,
}

/// One record.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Record {
    /// A published bundle.
    Bundle(SignedBundle),
    /// The bundle in force, appended again by a node that accepted it, for readers that come after
    /// the log has dropped the original.
    Checkpoint(SignedBundle),
    /// A start of an agent; its offset in the log is the agent's epoch.
    Epoch {
        /// Instance.
        node: String,
        /// Drawn at random at start, to know the own record again.
        nonce: u64,
    },
    /// Claims on calls.
    Claims(Vec<Claim>),
    /// A turn of a rollout.
    Turn(Turn),
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// Empty, cut off, too long or otherwise broken.
    Malformed,
    /// Written by a newer build.
    Newer,
}

impl Record {
    /// Bytes for the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(codec::encode_body(self));
        bytes
    }

    /// Reads the bytes of one record.
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
