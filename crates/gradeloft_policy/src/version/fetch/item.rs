//! One chunk of a fetch, and how it stands with it.

use std::collections::HashSet;

use super::Upstream;
use crate::{clock::Time, version::manifest::Chunk};

/// How it stands with a chunk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Asked { from: Upstream, at: Time },
    Held,
    Missing { not_before: Time },
}

/// A chunk of the version.
pub(super) struct Item {
    pub(super) chunk: Chunk,
    pub(super) state: State,
    /// Sources in good standing that hold it.
    pub(super) holders: u32,
    /// Whether any peer was known to hold it, in good standing or not.
    pub(super) seen: bool,
    /// The member that reads it first.
    pub(super) first: Option<u64>,
    /// How many members come before this one for the chunk.
    pub(super) rank: usize,
    /// When its owners were last given time.
    pub(super) waiting_since: Time,
    /// Better-ranked owners that turned out not to be reading it.
    pub(super) absent: HashSet<u64>,
    /// How often the present owner said that it is about to.
    pub(super) announced: u64,
}

impl Item {
    /// A chunk at the begin of a fetch.
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
            first: None,
            rank: 0,
            waiting_since: now,
            absent: HashSet::new(),
            announced: 0,
        }
    }

    /// Where it is asked for now.
    pub(super) fn asked_of(&self) -> Option<Upstream> {
        match self.state {
            State::Asked { from, .. } => Some(from),
            _ => None,
        }
    }

    /// Whether it can be asked for now.
    pub(super) fn askable(&self, now: Time) -> bool {
        matches!(self.state, State::Missing { not_before } if not_before <= now)
    }

    /// How many owners that are not known to be absent come before this agent.
    pub(super) fn effective_rank(&self) -> usize {
        self.rank.saturating_sub(self.absent.len())
    }
}
