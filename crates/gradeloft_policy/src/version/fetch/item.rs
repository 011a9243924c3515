//! State of one chunk in a fetch.

use std::collections::HashSet;

use super::Upstream;
use crate::{clock::Time, version::manifest::Chunk};

/// Progress of fetching a chunk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Requested { from: Upstream, at: Time },
    Held,
    Missing { not_before: Time },
}

/// Chunk of the version, and its state.
pub(super) struct Item {
    pub(super) chunk: Chunk,
    pub(super) state: State,
    /// Number of reliable sources that hold the chunk.
    pub(super) holders: u32,
    /// Whether any peer, reliable or not, has been known to hold the chunk.
    pub(super) seen: bool,
    /// Member that reads the chunk first.
    pub(super) first_owner: Option<u64>,
    /// Number of members that rank before this agent for the chunk.
    pub(super) rank: usize,
    /// Start of the current wait for the chunk's owners.
    pub(super) waiting_since: Time,
    /// Better-ranked owners that are known not to be reading the chunk.
    pub(super) absent: HashSet<u64>,
    /// Number of times that the current owner has replied that the chunk is pending.
    pub(super) announcements: u64,
}

impl Item {
    /// Creates the state of a chunk at the beginning of a fetch.
    pub(super) fn new(chunk: Chunk, held: bool, now: Time) -> Item {
        let state = if held {
            State::Held
        } else {
            State::Missing { not_before: now }
        };
        Item {
            chunk,
            state,
            holders: 0,
            seen: held,
            first_owner: None,
            rank: 0,
            waiting_since: now,
            absent: HashSet::new(),
            announcements: 0,
        }
    }

    /// Returns the upstream from which the chunk is currently requested.
    pub(super) fn requested_from(&self) -> Option<Upstream> {
        match self.state {
            State::Requested { from, .. } => Some(from),
            _ => None,
        }
    }

    /// Returns whether the chunk can be requested now.
    pub(super) fn is_requestable(&self, now: Time) -> bool {
        matches!(self.state, State::Missing { not_before } if not_before <= now)
    }

    /// Returns the number of owners before this agent that are not known to be absent.
    pub(super) fn effective_rank(&self) -> usize {
        self.rank.saturating_sub(self.absent.len())
    }
}
