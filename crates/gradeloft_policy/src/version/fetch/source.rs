//! A peer that tells what it holds of a version.

use crate::clock::Time;

/// Failures after which a source is left alone for the rest of the fetch.
const MAX_FAILURES: u32 = 4;

/// A peer that tells what it holds.
pub(super) struct Source {
    /// Whether it is in this agent's availability zone.
    pub(super) near: bool,
    pub(super) held: Vec<bool>,
    pub(super) asked: u32,
    pub(super) failures: u32,
    pub(super) not_before: Time,
}

impl Source {
    /// Whether it still counts.
    pub(super) fn reliable(&self) -> bool {
        self.failures < MAX_FAILURES
    }

    /// Whether it can be asked for a chunk now; at most `most` are asked of it at once.
    pub(super) fn free(&self, most: u32, now: Time) -> bool {
        self.reliable() && self.asked < most && self.not_before <= now
    }
}
