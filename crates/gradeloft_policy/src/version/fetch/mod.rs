//! Selection of the next chunk of a version to fetch, and of its upstream.
//!
//! The agents are ranked for each chunk by rendezvous hashing. The first one, the chunk's owner,
//! reads it from the weight store or the origin; all others fetch it from peers that hold it, the
//! rarest chunk first. An agent of a lower rank reads from the origin only after it has queried the
//! better-ranked agents directly and found them unavailable. So changes of membership, or different
//! views of it, cost few extra copies.

mod chunk_request;
mod hedge;
mod item;
mod owners;
mod source;
mod tuning;

use std::collections::HashMap;

use gradeloft_wire::{border::bundle::Objective, id::Digest};
use rand::Rng;
use slotmap::{SlotMap, new_key_type};

pub use chunk_request::{ChunkCounts, ChunkRequest, Failure, Upstream};
use hedge::Hedge;
use item::{Item, State};
use source::Source;
pub use tuning::{Scheme, Tuning};

use super::{manifest::Manifest, outside_sources::OutsideSources, partners};
use crate::{clock::Time, rendezvous};

/// Wait before a peer that had no free slot is used again, in milliseconds.
const BUSY_WAIT_MS: u64 = 40;
/// Maximum timeout of a query to an owner, as a multiple of the takeover wait.
const OWNER_TIMEOUT_FACTOR: u64 = 2;
/// Factor by which the objective `origin_bytes` extends the wait before an owner is queried.
const ORIGIN_BYTES_WAIT_FACTOR: u64 = 2;

new_key_type! {
    /// Key of a peer that reports which chunks it holds.
    pub struct SourceKey;
}

/// Fetch of one version by one agent.
pub struct Fetch {
    /// Hash of this agent's name.
    own: u64,
    tuning: Tuning,
    items: Vec<Item>,
    /// Position of each chunk by its digest.
    index: HashMap<Digest, usize>,
    sources: SlotMap<SourceKey, Source>,
    members: Vec<u64>,
    outside: OutsideSources,
    hedge: Hedge,
    /// Number of outstanding requests.
    in_flight: usize,
    /// Number of outstanding requests to the store or the origin.
    outside_in_flight: usize,
    /// Number of chunks that are not held yet.
    missing: usize,
    counts: ChunkCounts,
}

impl Fetch {
    /// Creates a fetch by the agent whose name hashes to `own`; `held` returns whether a chunk is
    /// already held.
    pub fn new(
        own: u64,
        manifest: &Manifest,
        held: impl Fn(Digest) -> bool,
        tuning: Tuning,
        now: Time,
    ) -> Fetch {
        let items: Vec<Item> = manifest
            .distinct_chunks()
            .into_iter()
            .map(|it| Item::new(it, held(it.digest), now))
            .collect();
        let index = items
            .iter()
            .enumerate()
            .map(|(idx, it)| (it.chunk.digest, idx))
            .collect();
        let missing = items.iter().filter(|it| it.state != State::Held).count();
        Fetch {
            own,
            tuning,
            items,
            index,
            sources: SlotMap::with_key(),
            members: Vec::new(),
            outside: OutsideSources::default(),
            hedge: Hedge::new(now),
            in_flight: 0,
            outside_in_flight: 0,
            missing,
            counts: ChunkCounts::default(),
        }
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Returns the number of chunks that are not held yet.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the numbers of fetched chunks by upstream.
    pub fn counts(&self) -> ChunkCounts {
        self.counts
    }

    /// Returns the position of a chunk.
    pub fn position(&self, digest: Digest) -> Option<usize> {
        self.index.get(&digest).copied()
    }

    /// Returns whether this agent considers itself the one to read a chunk from the origin.
    pub fn owns(&self, digest: Digest) -> bool {
        self.position(digest)
            .is_some_and(|idx| self.items[idx].effective_rank() == 0)
    }

    /// Sets the agents that fetch this version, by the hashes of their names.
    pub fn set_members(&mut self, members: Vec<u64>) {
        self.set_owners(members, true);
    }

    /// Sets the agents that read this version from the store or the origin, by the hashes of their
    /// names. An agent that is not a reader ranks after all readers.
    pub fn set_readers(&mut self, readers: Vec<u64>) {
        let reads = readers.contains(&self.own);
        self.set_owners(readers, reads);
    }

    /// Returns the agent that reads the chunk at a position first.
    pub fn first_owner(&self, idx: usize) -> Option<u64> {
        self.items.get(idx)?.first_owner
    }

    fn set_owners(&mut self, owners: Vec<u64>, reads: bool) {
        if self.members == owners {
            return;
        }
        let keys: Vec<u64> = self
            .items
            .iter()
            .map(|it| it.chunk.digest.prefix_u64())
            .collect();
        let firsts = owners::assign(&keys, &owners);
        for ((item, key), first) in self.items.iter_mut().zip(keys).zip(firsts) {
            let others = || owners.iter().copied().filter(|it| *it != self.own);
            item.first_owner = first;
            item.rank = if !reads {
                owners.len()
            } else if first == Some(self.own) {
                0
            } else {
                let behind = others().filter(|it| Some(*it) != first);
                1 + rendezvous::rank(key, self.own, behind)
            };
            item.absent.retain(|it| owners.contains(it));
        }
        self.members = owners;
    }

    /// Sets the maximum number of concurrent requests to peers.
    pub fn set_peer_slots(&mut self, slots: usize) {
        self.tuning.peer_slots = slots;
    }

    /// Adds a peer that reports which chunks it holds.
    pub fn add_source(&mut self, near: bool) -> SourceKey {
        let held = vec![false; self.items.len()];
        self.sources.insert(Source {
            near,
            held,
            in_flight: 0,
            failures: 0,
            not_before: Time::ZERO,
        })
    }

    /// Removes a peer; the chunks requested from it are missing again.
    pub fn remove_source(&mut self, key: SourceKey, now: Time) {
        let requested: Vec<usize> = (0..self.items.len())
            .filter(|&idx| self.items[idx].requested_from() == Some(Upstream::Source(key)))
            .collect();
        for idx in requested {
            self.release(idx, now);
        }
        if let Some(source) = self.sources.remove(key) {
            self.uncount_source(&source);
        }
    }

    /// Records that a peer holds the chunks at these positions.
    pub fn add_held(&mut self, key: SourceKey, positions: impl Iterator<Item = usize>) {
        let Some(source) = self.sources.get_mut(key) else {
            return;
        };
        for idx in positions {
            if let Some(held @ false) = source.held.get_mut(idx) {
                *held = true;
                self.items[idx].seen = true;
                if source.is_reliable() {
                    self.items[idx].holders += 1;
                }
            }
        }
    }

    /// Records that some peer holds the chunks at these positions, even if this agent must not
    /// request them from that peer.
    pub fn mark_seen(&mut self, positions: impl Iterator<Item = usize>) {
        for idx in positions {
            if let Some(item) = self.items.get_mut(idx) {
                item.seen = true;
            }
        }
    }

    /// Returns whether at least half of the chunks are held by this agent or known to be held by a
    /// peer.
    pub fn half_available(&self) -> bool {
        self.unseen() * 2 <= self.items.len()
    }

    /// Returns the number of chunks that are neither held by this agent nor known to be held by a
    /// peer.
    fn unseen(&self) -> usize {
        let unseen = |it: &&Item| !it.seen && it.state != State::Held;
        self.items.iter().filter(unseen).count()
    }

    /// Returns the next request to send now, if there is one. Must be called until it returns
    /// `None`.
    pub fn next_request(&mut self, now: Time, rng: &mut impl Rng) -> Option<ChunkRequest> {
        self.hedge
            .record_missing(self.unseen(), self.items.len(), now);
        let (idx, from) = self
            .owner_request(now, rng)
            .or_else(|| self.has_peer_slot().then(|| self.peer_request(now, rng))?)?;
        self.in_flight += 1;
        if from == Upstream::Origin {
            self.outside.record_origin_request(now);
        }
        match from {
            Upstream::Origin | Upstream::Store => self.outside_in_flight += 1,
            Upstream::Source(key) => self.sources[key].in_flight += 1,
            Upstream::Owner(_) => {}
        }
        self.items[idx].state = State::Requested { from, at: now };
        Some(ChunkRequest {
            idx,
            chunk: self.items[idx].chunk,
            from,
        })
    }

    /// Returns whether a slot for a request to a peer is free. Requests to the origin have separate
    /// slots, because they queue at the origin behind the requests of all readers, not on this
    /// agent's link. With shared slots, readers would request nothing from peers while the origin
    /// delays its responses, and would complete a version after 3.7 s, 1.7 s later than the other
    /// agents.
    fn has_peer_slot(&self) -> bool {
        self.in_flight - self.outside_in_flight < self.tuning.peer_slots
    }

    /// Returns requests that have timed out; the caller reports each with [`Fetch::failed`].
    pub fn stalled(&self, now: Time) -> Vec<(usize, Upstream)> {
        let timed_out = |it: &Item| match it.state {
            State::Requested { from, at } if at.after_ms(self.timeout_ms(from)) <= now => {
                Some(from)
            }
            _ => None,
        };
        self.items
            .iter()
            .enumerate()
            .filter_map(|(idx, it)| Some((idx, timed_out(it)?)))
            .collect()
    }

    fn timeout_ms(&self, from: Upstream) -> u64 {
        let queued = (self.members.len() * self.tuning.origin_slots) as u64;
        match from {
            Upstream::Origin | Upstream::Store => {
                self.tuning.stall_ms + queued * self.tuning.chunk_ms
            }
            // An owner either holds the chunk or replies immediately that it is pending.
            Upstream::Owner(_) => self
                .tuning
                .stall_ms
                .min(OWNER_TIMEOUT_FACTOR * self.tuning.takeover_ms),
            Upstream::Source(_) => self.tuning.stall_ms,
        }
    }

    /// Records the arrival of a chunk whose digest has been verified, and returns whether it was
    /// still missing.
    pub fn arrived(&mut self, idx: usize, from: Upstream, now: Time) -> bool {
        match from {
            Upstream::Origin => {
                self.counts.origin += 1;
                self.outside.succeeded(from);
            }
            Upstream::Store => {
                self.counts.store += 1;
                self.outside.succeeded(from);
            }
            Upstream::Owner(_) | Upstream::Source(_) => self.counts.peers += 1,
        }
        if self.items[idx].state == State::Held {
            return false;
        }
        self.release(idx, now);
        self.items[idx].state = State::Held;
        self.missing -= 1;
        true
    }

    /// Records that a request failed. If the request was abandoned before, only corrupt content is
    /// recorded.
    pub fn failed(&mut self, idx: usize, from: Upstream, failure: Failure, now: Time) {
        if failure == Failure::Corrupt {
            self.counts.corrupt += 1;
        }
        if self.items[idx].requested_from() != Some(from) {
            return;
        }
        self.release(idx, now);
        match from {
            Upstream::Origin | Upstream::Store => self.outside.failed(from, failure, now),
            Upstream::Owner(node) => self.owner_failed(idx, node, failure, now),
            Upstream::Source(key) => self.source_failed(idx, key, failure, now),
        }
    }

    /// Returns the number of chunks that this agent may read from the origin before it has to slow
    /// down.
    fn origin_share(&self) -> u64 {
        if self.tuning.scheme != Scheme::Owners {
            return u64::MAX;
        }
        let members = self.members.len().max(1) as f64;
        let share = self.items.len() as f64 * self.tuning.origin_copies / members;
        share.ceil() as u64 + 1
    }

    fn owner_request(&self, now: Time, rng: &mut impl Rng) -> Option<(usize, Upstream)> {
        let outside = self.outside.source(self.origin_share(), now);
        let mut best = None;
        let mut ties = 0;
        for (idx, item) in self.items.iter().enumerate() {
            if 0 < item.holders || !item.is_requestable(now) {
                continue;
            }
            let rank = self.rank(item);
            let hedged = !item.seen && self.hedge.is_due(rank, now);
            let from = match if hedged { 0 } else { rank } {
                0 if self.outside_in_flight < self.tuning.origin_slots => outside,
                0 => None,
                rank if self.has_peer_slot() => self.overdue_owner(item, rank, now),
                _ => None,
            };
            let Some(from) = from else {
                continue;
            };
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some((idx, from));
            }
        }
        best
    }

    /// Returns the number of agents that rank before this one for a chunk.
    fn rank(&self, item: &Item) -> usize {
        match self.tuning.scheme {
            Scheme::Origin | Scheme::Random => 0,
            Scheme::Owners => item.effective_rank(),
            Scheme::Tree => partners::tree_position(self.own, &self.members),
        }
    }

    /// Returns the best-ranked owner of a chunk that isn't known to be absent, once the wait for
    /// its report of the chunk is over.
    fn overdue_owner(&self, item: &Item, rank: usize, now: Time) -> Option<Upstream> {
        let wait_factor = match self.tuning.objective {
            Objective::OriginBytes => ORIGIN_BYTES_WAIT_FACTOR,
            Objective::Time => 1,
        };
        if self.tuning.scheme != Scheme::Owners {
            return None;
        }
        // The wait grows with the square of the rank, so that few agents connect to and query the
        // owner of a late chunk.
        let wait = self.tuning.takeover_ms * wait_factor * (rank * rank) as u64;
        if now < item.waiting_since.after_ms(wait) {
            return None;
        }
        let key = item.chunk.digest.prefix_u64();
        let better = self
            .members
            .iter()
            .filter(|it| **it != self.own && !item.absent.contains(it));
        better
            .max_by_key(|it| {
                (
                    item.first_owner == Some(**it),
                    rendezvous::score(key, **it),
                    **it,
                )
            })
            .map(|it| Upstream::Owner(*it))
    }

    fn peer_request(&self, now: Time, rng: &mut impl Rng) -> Option<(usize, Upstream)> {
        let free: Vec<(SourceKey, &Source)> = self
            .sources
            .iter()
            .filter(|(_, it)| it.is_available(self.tuning.per_source, now))
            .collect();
        if free.is_empty() {
            return None;
        }
        let mut rarest = u32::MAX;
        let mut best = None;
        let mut ties = 0;
        for (idx, item) in self.items.iter().enumerate() {
            let rare = item.holders <= rarest || self.tuning.scheme == Scheme::Random;
            let wanted = 0 < item.holders && rare && item.is_requestable(now);
            if !wanted || !free.iter().any(|(_, it)| it.held[idx]) {
                continue;
            }
            if item.holders < rarest {
                rarest = item.holders;
                ties = if self.tuning.scheme == Scheme::Random {
                    ties
                } else {
                    0
                };
            }
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some(idx);
            }
        }
        let idx = best?;
        let offset = rng.random_range(0..free.len());
        let holders = free.iter().cycle().skip(offset).take(free.len());
        let holders = holders.filter(|(_, it)| it.held[idx]);
        let chosen = holders.min_by_key(|(_, it)| (it.in_flight, !it.near))?;
        Some((idx, Upstream::Source(chosen.0)))
    }

    /// Releases the slots of the request for a chunk, whatever its outcome, and marks the chunk as
    /// missing.
    fn release(&mut self, idx: usize, now: Time) {
        let Some(from) = self.items[idx].requested_from() else {
            return;
        };
        self.items[idx].state = State::Missing { not_before: now };
        self.in_flight -= 1;
        match from {
            Upstream::Origin | Upstream::Store => self.outside_in_flight -= 1,
            Upstream::Source(key) => {
                if let Some(source) = self.sources.get_mut(key) {
                    source.in_flight -= 1;
                }
            }
            Upstream::Owner(_) => {}
        }
    }

    fn owner_failed(&mut self, idx: usize, node: u64, failure: Failure, now: Time) {
        let version_ms = self.items.len() as u64 * self.tuning.chunk_ms;
        let max_announcements =
            self.tuning.max_announcements + version_ms / self.tuning.takeover_ms.max(1);
        let item = &mut self.items[idx];
        match failure {
            Failure::Busy => item.waiting_since = now,
            Failure::Pending if item.announcements < max_announcements => {
                item.announcements += 1;
                item.waiting_since = now;
            }
            _ => {
                item.announcements = 0;
                item.absent.insert(node);
            }
        }
    }

    fn source_failed(&mut self, idx: usize, key: SourceKey, failure: Failure, now: Time) {
        let stall_ms = self.tuning.stall_ms;
        let Some(source) = self.sources.get_mut(key) else {
            return;
        };
        let was_reliable = source.is_reliable();
        match failure {
            Failure::Busy => source.not_before = now.after_ms(BUSY_WAIT_MS),
            Failure::Limited(ms) => source.not_before = now.after_ms(ms),
            Failure::Gone | Failure::Stalled => {
                source.failures += 1;
                source.not_before = now.after_ms(stall_ms);
            }
            Failure::Corrupt => source.failures += 1,
            Failure::NotHeld | Failure::Pending => {}
        }
        if matches!(failure, Failure::Corrupt | Failure::NotHeld) && source.held[idx] {
            source.held[idx] = false;
            if was_reliable {
                self.items[idx].holders -= 1;
            }
        }
        if was_reliable && !source.is_reliable() {
            let held = source.held.clone();
            self.uncount_holdings(&held);
        }
    }

    fn uncount_source(&mut self, source: &Source) {
        if source.is_reliable() {
            self.uncount_holdings(&source.held);
        }
    }

    fn uncount_holdings(&mut self, held: &[bool]) {
        for (item, held) in self.items.iter_mut().zip(held) {
            item.holders -= u32::from(*held);
        }
    }
}
