//! Requests for chunks, and their outcomes.

use super::SourceKey;
use crate::version::manifest::Chunk;

/// Instance or service to which a request for a chunk goes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Upstream {
    /// The origin.
    Origin,
    /// A better-ranked owner that has not reported that it holds the chunk, identified by the hash
    /// of its name.
    Owner(u64),
    /// A peer that has reported that it holds the chunk.
    Source(SourceKey),
    /// The weight store.
    Store,
}

/// Request for a chunk that the caller has to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    /// Position of the chunk among the manifest's distinct chunks.
    pub idx: usize,
    /// Requested chunk.
    pub chunk: Chunk,
    /// Upstream to which the request goes.
    pub from: Upstream,
}

/// Reason why a request for a chunk failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The upstream has no free slot.
    Busy,
    /// The content does not match the digest.
    Corrupt,
    /// The connection failed or can't be established.
    Gone,
    /// The upstream limits the rate of requests; a retry is allowed after this many milliseconds.
    Limited(u64),
    /// The upstream does not hold the chunk.
    NotHeld,
    /// The owner has not read the chunk yet, but is going to.
    Pending,
    /// The request timed out.
    Stalled,
}

/// Numbers of chunks by upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChunkCounts {
    /// Chunks whose content did not match the digest.
    pub corrupt: u64,
    /// Chunks from the origin.
    pub origin: u64,
    /// Chunks from peers.
    pub peers: u64,
    /// Chunks from the weight store.
    pub store: u64,
}
