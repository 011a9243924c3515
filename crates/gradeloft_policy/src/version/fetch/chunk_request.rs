//! An order to ask for a chunk, and what may come of it.

use super::SourceKey;
use crate::version::manifest::Chunk;

/// Where a chunk is asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Upstream {
    /// The origin.
    Origin,
    /// A better-ranked owner, by the hash of its name, which did not say that it has the chunk.
    Owner(u64),
    /// A peer that said it has the chunk.
    Source(SourceKey),
    /// The weight store.
    Store,
}

/// An order to ask for a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    /// Position among the manifest's distinct chunks.
    pub idx: usize,
    /// The chunk.
    pub chunk: Chunk,
    /// Whom to ask.
    pub from: Upstream,
}

/// How an ask failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No slot free now.
    Busy,
    /// The content does not have the digest.
    Corrupt,
    /// The connection failed, or can't be made.
    Gone,
    /// Asked to come back after so many milliseconds.
    Limited(u64),
    /// It does not hold the chunk.
    NotHeld,
    /// It is the owner and is about to read the chunk.
    Pending,
    /// Nothing came for too long.
    Stalled,
}

/// Chunks by where they came from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChunkCounts {
    /// Chunks whose content did not have its digest.
    pub corrupt: u64,
    /// From the origin.
    pub origin: u64,
    /// From peers.
    pub peers: u64,
    /// From the weight store.
    pub store: u64,
}
