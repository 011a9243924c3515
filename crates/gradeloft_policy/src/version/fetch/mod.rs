//! Which chunk of a version to fetch next, and from where.
//!
//! Each chunk has its agents ranked by rendezvous. The first of them reads it from the weight
//! store or the origin; all others take it from peers that have it, the rarest chunk first. An
//! agent of a lower rank reads the origin only after the better ones, asked directly, turned out
//! to be gone. So changes of membership, or views of it that differ, cost few extra copies.

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

/// Wait before a peer that had no free slot is asked again, in milliseconds.
const BUSY_WAIT_MS: u64 = 40;
/// Part of the time that an owner is given before its silence is looked into within which it answers a
/// question, as a multiple.
const OWNER_PATIENCE: u64 = 2;
/// How many times longer the objective `origin_bytes` waits before it suspects an owner.
const PATIENCE: u64 = 2;

new_key_type! {
    /// Names a peer that tells us what it holds.
    pub struct SourceKey;
}

/// The fetch of one version by one agent.
pub struct Fetch {
    own: u64,
    tuning: Tuning,
    items: Vec<Item>,
    index: HashMap<Digest, usize>,
    sources: SlotMap<SourceKey, Source>,
    members: Vec<u64>,
    outside: OutsideSources,
    hedge: Hedge,
    asked: usize,
    /// Of those, chunks asked of the store or the origin.
    asked_outside: usize,
    missing: usize,
    counts: ChunkCounts,
}

impl Fetch {
    /// A fetch by the agent whose name hashes to `own`; `held` tells which chunks it has already.
    pub fn new(
        own: u64,
        manifest: &Manifest,
        held: impl Fn(Digest) -> bool,
        tuning: Tuning,
        now: Time,
    ) -> Fetch {
        let items: Vec<Item> = manifest
            .distinct()
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
            asked: 0,
            asked_outside: 0,
            missing,
            counts: ChunkCounts::default(),
        }
    }

    /// Whether every chunk is held.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Chunks not held yet.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Where the chunks came from.
    pub fn counts(&self) -> ChunkCounts {
        self.counts
    }

    /// Position of a chunk.
    pub fn position(&self, digest: Digest) -> Option<usize> {
        self.index.get(&digest).copied()
    }

    /// Whether this agent is the one to read a chunk from the origin, as far as it knows.
    pub fn owns(&self, digest: Digest) -> bool {
        self.position(digest)
            .is_some_and(|idx| self.items[idx].effective_rank() == 0)
    }

    /// Takes over the agents that fetch this version, by the hashes of their names.
    pub fn set_members(&mut self, members: Vec<u64>) {
        self.set_owners(members, true);
    }

    /// Takes over the agents that read this version from outside, by the hashes of their names. An
    /// agent that is not among them comes after them all.
    pub fn set_readers(&mut self, readers: Vec<u64>) {
        let reads = readers.contains(&self.own);
        self.set_owners(readers, reads);
    }

    /// The agent that reads a chunk first, by the chunk's position.
    pub fn first_owner(&self, idx: usize) -> Option<u64> {
        self.items.get(idx)?.first
    }

    fn set_owners(&mut self, owners: Vec<u64>, reads: bool) {
        if self.members == owners {
            return;
        }
        let keys: Vec<u64> = self
            .items
            .iter()
            .map(|it| it.chunk.digest.short())
            .collect();
        let firsts = owners::assign(&keys, &owners);
        for ((item, key), first) in self.items.iter_mut().zip(keys).zip(firsts) {
            let others = || owners.iter().copied().filter(|it| *it != self.own);
            item.first = first;
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

    /// Changes how many chunks are asked for at once.
    pub fn set_peer_slots(&mut self, slots: usize) {
        self.tuning.peer_slots = slots;
    }

    /// A peer begins to tell what it holds.
    pub fn add_source(&mut self, near: bool) -> SourceKey {
        let held = vec![false; self.items.len()];
        self.sources.insert(Source {
            near,
            held,
            asked: 0,
            failures: 0,
            not_before: Time::ZERO,
        })
    }

    /// A peer has gone; what it was asked for is missing again.
    pub fn remove_source(&mut self, key: SourceKey, now: Time) {
        let asked: Vec<usize> = (0..self.items.len())
            .filter(|&idx| self.items[idx].asked_of() == Some(Upstream::Source(key)))
            .collect();
        for idx in asked {
            self.release(idx, now);
        }
        if let Some(source) = self.sources.remove(key) {
            self.forget(&source);
        }
    }

    /// A peer has these chunks, by position.
    pub fn add_held(&mut self, key: SourceKey, positions: impl Iterator<Item = usize>) {
        let Some(source) = self.sources.get_mut(key) else {
            return;
        };
        for idx in positions {
            if let Some(held @ false) = source.held.get_mut(idx) {
                *held = true;
                self.items[idx].seen = true;
                if source.reliable() {
                    self.items[idx].holders += 1;
                }
            }
        }
    }

    /// Some peer holds these chunks, by position, whether or not they are to be asked of it.
    pub fn mark_seen(&mut self, positions: impl Iterator<Item = usize>) {
        for idx in positions {
            if let Some(item) = self.items.get_mut(idx) {
                item.seen = true;
            }
        }
    }

    /// Whether half of the version is in the fleet: held here, or known to be held by a peer.
    pub fn half_available(&self) -> bool {
        self.unseen() * 2 <= self.items.len()
    }

    /// Chunks that are neither held here nor known to be held by any peer.
    fn unseen(&self) -> usize {
        let unseen = |it: &&Item| !it.seen && it.state != State::Held;
        self.items.iter().filter(unseen).count()
    }

    /// The next ask, if there is one to make now. Call until it gives none.
    pub fn next_request(&mut self, now: Time, rng: &mut impl Rng) -> Option<ChunkRequest> {
        self.hedge.learn(self.unseen(), self.items.len(), now);
        let (idx, from) = self
            .owner_ask(now, rng)
            .or_else(|| self.free_slot().then(|| self.peer_ask(now, rng))?)?;
        self.asked += 1;
        if from == Upstream::Origin {
            self.outside.record_origin_request(now);
        }
        match from {
            Upstream::Origin | Upstream::Store => self.asked_outside += 1,
            Upstream::Source(key) => self.sources[key].asked += 1,
            Upstream::Owner(_) => {}
        }
        self.items[idx].state = State::Asked { from, at: now };
        Some(ChunkRequest {
            idx,
            chunk: self.items[idx].chunk,
            from,
        })
    }

    /// Whether a peer can be asked for one more. Asks of the origin have slots of their own: there they wait behind those
    /// of all readers, not on this agent's link. Readers that asked peers for nothing meanwhile had a version whole
    /// 1.7 s after the others, of 3.7 s.
    fn free_slot(&self) -> bool {
        self.asked - self.asked_outside < self.tuning.peer_slots
    }

    /// Asks that have stalled; report each with [`Fetch::failed`].
    pub fn stalled(&self, now: Time) -> Vec<(usize, Upstream)> {
        let late = |it: &Item| match it.state {
            State::Asked { from, at } if at.after_ms(self.patience(from)) <= now => Some(from),
            _ => None,
        };
        self.items
            .iter()
            .enumerate()
            .filter_map(|(idx, it)| Some((idx, late(it)?)))
            .collect()
    }

    fn patience(&self, from: Upstream) -> u64 {
        let queued = (self.members.len() * self.tuning.origin_slots) as u64;
        match from {
            Upstream::Origin | Upstream::Store => {
                self.tuning.stall_ms + queued * self.tuning.chunk_ms
            }
            // An owner has the chunk, or says at once that it is about to read it.
            Upstream::Owner(_) => self
                .tuning
                .stall_ms
                .min(OWNER_PATIENCE * self.tuning.takeover_ms),
            Upstream::Source(_) => self.tuning.stall_ms,
        }
    }

    /// A chunk came, and its content has its digest. Gives whether it was still missing.
    pub fn arrived(&mut self, idx: usize, from: Upstream, now: Time) -> bool {
        match from {
            Upstream::Origin => {
                self.counts.origin += 1;
                self.outside.answered(from);
            }
            Upstream::Store => {
                self.counts.store += 1;
                self.outside.answered(from);
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

    /// An ask failed. Does nothing when it was given up before.
    pub fn failed(&mut self, idx: usize, from: Upstream, failure: Failure, now: Time) {
        if failure == Failure::Corrupt {
            self.counts.corrupt += 1;
        }
        if self.items[idx].asked_of() != Some(from) {
            return;
        }
        self.release(idx, now);
        match from {
            Upstream::Origin | Upstream::Store => self.outside.failed(from, failure, now),
            Upstream::Owner(node) => self.owner_failed(idx, node, failure, now),
            Upstream::Source(key) => self.source_failed(idx, key, failure, now),
        }
    }

    /// Chunks that this agent may ask of the origin before it has to slow down.
    fn origin_part(&self) -> u64 {
        if self.tuning.scheme != Scheme::Owners {
            return u64::MAX;
        }
        let members = self.members.len().max(1) as f64;
        let part = self.items.len() as f64 * self.tuning.origin_copies / members;
        part.ceil() as u64 + 1
    }

    fn owner_ask(&self, now: Time, rng: &mut impl Rng) -> Option<(usize, Upstream)> {
        let outside = self.outside.source(self.origin_part(), now);
        let mut best = None;
        let mut ties = 0;
        for (idx, item) in self.items.iter().enumerate() {
            if 0 < item.holders || !item.askable(now) {
                continue;
            }
            let rank = self.rank(item);
            let hedged = !item.seen && self.hedge.reads(rank, now);
            let from = match if hedged { 0 } else { rank } {
                0 if self.asked_outside < self.tuning.origin_slots => outside,
                0 => None,
                rank if self.free_slot() => self.suspected(item, rank, now),
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

    /// How many agents come before this one for a chunk.
    fn rank(&self, item: &Item) -> usize {
        match self.tuning.scheme {
            Scheme::Origin | Scheme::Random => 0,
            Scheme::Owners => item.effective_rank(),
            Scheme::Tree => partners::tree_position(self.own, &self.members),
        }
    }

    /// The best owner of a chunk that has kept silent for too long.
    fn suspected(&self, item: &Item, rank: usize, now: Time) -> Option<Upstream> {
        let patience = match self.tuning.objective {
            Objective::OriginBytes => PATIENCE,
            Objective::Time => 1,
        };
        if self.tuning.scheme != Scheme::Owners {
            return None;
        }
        // Grows with the square, so that few agents ask, and connect to, the owner of a late chunk.
        let wait = self.tuning.takeover_ms * patience * (rank * rank) as u64;
        if now < item.waiting_since.after_ms(wait) {
            return None;
        }
        let key = item.chunk.digest.short();
        let better = self
            .members
            .iter()
            .filter(|it| **it != self.own && !item.absent.contains(it));
        better
            .max_by_key(|it| (item.first == Some(**it), rendezvous::score(key, **it), **it))
            .map(|it| Upstream::Owner(*it))
    }

    fn peer_ask(&self, now: Time, rng: &mut impl Rng) -> Option<(usize, Upstream)> {
        let free: Vec<(SourceKey, &Source)> = self
            .sources
            .iter()
            .filter(|(_, it)| it.free(self.tuning.per_source, now))
            .collect();
        if free.is_empty() {
            return None;
        }
        let mut rarest = u32::MAX;
        let mut best = None;
        let mut ties = 0;
        for (idx, item) in self.items.iter().enumerate() {
            let rare = item.holders <= rarest || self.tuning.scheme == Scheme::Random;
            let wanted = 0 < item.holders && rare && item.askable(now);
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
        let chosen = holders.min_by_key(|(_, it)| (it.asked, !it.near))?;
        Some((idx, Upstream::Source(chosen.0)))
    }

    /// Takes back an ask, whatever came of it.
    fn release(&mut self, idx: usize, now: Time) {
        let Some(from) = self.items[idx].asked_of() else {
            return;
        };
        self.items[idx].state = State::Missing { not_before: now };
        self.asked -= 1;
        match from {
            Upstream::Origin | Upstream::Store => self.asked_outside -= 1,
            Upstream::Source(key) => {
                if let Some(source) = self.sources.get_mut(key) {
                    source.asked -= 1;
                }
            }
            Upstream::Owner(_) => {}
        }
    }

    fn owner_failed(&mut self, idx: usize, node: u64, failure: Failure, now: Time) {
        let version_ms = self.items.len() as u64 * self.tuning.chunk_ms;
        let most = self.tuning.max_announcements + version_ms / self.tuning.takeover_ms.max(1);
        let item = &mut self.items[idx];
        match failure {
            Failure::Busy => item.waiting_since = now,
            Failure::Pending if item.announced < most => {
                item.announced += 1;
                item.waiting_since = now;
            }
            _ => {
                item.announced = 0;
                item.absent.insert(node);
            }
        }
    }

    fn source_failed(&mut self, idx: usize, key: SourceKey, failure: Failure, now: Time) {
        let stall_ms = self.tuning.stall_ms;
        let Some(source) = self.sources.get_mut(key) else {
            return;
        };
        let standing = source.reliable();
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
            if standing {
                self.items[idx].holders -= 1;
            }
        }
        if standing && !source.reliable() {
            let held = source.held.clone();
            self.uncount(&held);
        }
    }

    fn forget(&mut self, source: &Source) {
        if source.reliable() {
            self.uncount(&source.held);
        }
    }

    fn uncount(&mut self, held: &[bool]) {
        for (item, held) in self.items.iter_mut().zip(held) {
            item.holders -= u32::from(*held);
        }
    }
}
