//! Bounds of a fetch, and ways to spread chunks.

use gradeloft_wire::border::bundle::Objective;

/// How chunks are spread. All but [`Scheme::Owners`] are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scheme {
    /// Every agent reads everything from outside.
    Origin,
    /// Each chunk has its owner; the rest comes from peers, rarest first.
    #[default]
    Owners,
    /// Any chunk of any peer that has it, at random; from outside if no known peer has it.
    Random,
    /// Everything comes from one parent; the root reads from outside.
    Tree,
}

/// Bounds of one fetch.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How chunks are spread.
    pub scheme: Scheme,
    /// Chunks asked of peers at once.
    pub peer_slots: usize,
    /// Chunks read from the store or the origin at once, beside those.
    pub origin_slots: usize,
    /// Chunks asked of one peer at once.
    pub per_source: u32,
    /// An ask that takes longer is given up, in milliseconds.
    pub stall_ms: u64,
    /// Time of a chunk on one agent's link, in milliseconds. All owners may ask the origin at once,
    /// and its link carries at least as much as one agent's, so an ask there gets this much more
    /// time for each member.
    pub chunk_ms: u64,
    /// Wait before an owner's silence is looked into, in milliseconds, times the square of the rank.
    pub takeover_ms: u64,
    /// How often an owner may say that it is about to read a chunk before another reads it, beside the
    /// time that the whole version takes.
    pub max_announcements: u64,
    /// What the rollout spends.
    pub objective: Objective,
    /// Copies of the version that all members together may read from the origin.
    pub origin_copies: f64,
}
