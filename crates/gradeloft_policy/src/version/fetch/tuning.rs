//! Limits of a fetch, and schemes of distributing chunks.

use gradeloft_wire::border::bundle::Objective;

/// Scheme of distributing chunks. All but [`Scheme::Owners`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scheme {
    /// Every agent reads all chunks from the store or the origin.
    Origin,
    /// The owner of each chunk reads it from the store or the origin; other agents fetch it from
    /// peers, rarest first.
    #[default]
    Owners,
    /// Agents fetch random chunks from random peers that hold them, or from the store or the origin
    /// if no known peer holds the chunk.
    Random,
    /// Each agent fetches all chunks from its parent; the root reads from the store or the origin.
    Tree,
}

/// Limits and timeouts of one fetch.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Scheme of distributing chunks.
    pub scheme: Scheme,
    /// Maximum number of concurrent requests to peers.
    pub peer_slots: usize,
    /// Maximum number of concurrent requests to the store and the origin, in addition to those to
    /// peers.
    pub origin_slots: usize,
    /// Maximum number of concurrent requests to one peer.
    pub per_source: u32,
    /// Timeout of a request, in milliseconds.
    pub stall_ms: u64,
    /// Transfer time of a chunk on one agent's link, in milliseconds. The timeout of a request to
    /// the origin grows by this time for each origin slot of each member: all owners may read from
    /// the origin at once, and the origin's link has at least the bandwidth of one agent's link.
    pub chunk_ms: u64,
    /// Wait before an owner that has not reported a chunk is queried, in milliseconds; multiplied
    /// by the square of the querying agent's rank.
    pub takeover_ms: u64,
    /// Number of times that an owner may reply that a chunk is pending before another agent reads
    /// it, in addition to one for each `takeover_ms` of the whole version's transfer time.
    pub max_announcements: u64,
    /// Objective of the rollout: time or bytes from the origin.
    pub objective: Objective,
    /// Copies of the version that all members together may read from the origin.
    pub origin_copies: f64,
}
