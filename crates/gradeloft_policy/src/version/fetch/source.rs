//! State of a peer that reports which chunks of a version it holds.

use crate::clock::Time;

/// Number of failures after which a source is not used for the rest of the fetch.
const MAX_FAILURES: u32 = 4;

/// Peer that reports which chunks it holds.
pub(super) struct Source {
    /// Whether the peer is in this agent's availability zone.
    pub(super) near: bool,
    /// Whether the peer holds each chunk, by position.
    pub(super) held: Vec<bool>,
    /// Number of outstanding requests to the peer.
    pub(super) in_flight: u32,
    pub(super) failures: u32,
    /// Time before which nothing is requested from the peer.
    pub(super) not_before: Time,
}

impl Source {
    /// Returns whether the source is still used.
    pub(super) fn is_reliable(&self) -> bool {
        self.failures < MAX_FAILURES
    }

    /// Returns whether a chunk can be requested from the source now, with at most `limit`
    /// concurrent requests.
    pub(super) fn is_available(&self, limit: u32, now: Time) -> bool {
        self.is_reliable() && self.in_flight < limit && self.not_before <= now
    }
}
