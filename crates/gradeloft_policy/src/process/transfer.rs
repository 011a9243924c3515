//! Fetches a large value from the peers that hold it.
//!
//! A record never changes, so a transfer that was begun from one peer can continue from any other.
//! A process that lacks a value requests it from a random peer that holds it, and keeps the
//! received part if that peer fails. A peer without a free upload slot refuses the request, and the
//! process tries again a moment later, when the peers that were served first can serve it.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use gradeloft_wire::{frame::Role, id::Digest, position::Position};
use rand::{Rng, seq::IteratorRandom};

use crate::{clock::Time, rendezvous};

/// Largest value that is fetched from peers, in bytes. On an instance with 128 MB of memory, the
/// value, its copy in the table and the data parsed from it fit into memory together with
/// everything else.
pub const MAX_VALUE: u64 = 16 << 20;
/// Number of large values that a process sends to entries at once. With few transfers at once, each
/// completes sooner, and its receiver can send the value on; with only one, a peer behind a slow
/// link would delay all others.
const ENTRY_UPLOADS: usize = 2;
/// Number of large values that a process sends to agents at once, in addition to those for entries.
/// An agent's link has a quarter of the capacity of an entry's, and agents send to nobody. With 14
/// entries, two of which hold a value of 0.9 MB, and 30 agents, two slots shared by both roles
/// delay the last entry of a zone from 1.3 s to 3.6 s (model in `tests/records.rs`).
const AGENT_UPLOADS: usize = 1;
/// Number of processes of a region that fetch from another region in the first turn. A single
/// process might be unable to reach that region. The number doubles with each turn, so a saturated
/// or slow link does not carry a copy for each process.
const FAR_AT_ONCE: usize = 2;
/// Duration of a turn, in milliseconds. A value of 0.9 MB crosses a link of 30 Mbit/s in 0.24 s,
/// and its receiver announces it within 0.13 s.
const FAR_TURN_MS: u64 = 500;
/// Time after which an agent that knows peers in its region fetches from another region, in
/// milliseconds.
const AGENT_FAR_MS: u64 = 2_000;
/// Longest pause between checks whether a peer of the own region holds the value.
const FAR_POLL: Duration = Duration::from_millis(50);
/// Number of peers remembered for each table, which is more than a region has entries.
const HOLDERS: usize = 64;
/// Silence after which a peer gets no requests, in milliseconds. Agents and peers of other regions
/// send once a second.
const SILENCE_MS: u64 = 5_000;
/// Pause before the next request to a busy peer, in milliseconds. Within this pause, 0.2 to 1.2 MB
/// cross a link of 40 Mbit/s.
const BUSY_MS: std::ops::RangeInclusive<u64> = 50..=250;
/// Time after which the rate of a transfer can be judged, in milliseconds.
const MIN_SAMPLE_MS: u64 = 500;
/// Remaining time of a transfer above which its peer counts as slow, in milliseconds: a transfer of
/// 0.9 MB in this time uses a quarter of an agent's link. Where all links are slow, switching peers
/// costs more than it gains: with 1 s, the last of six processes has 0.7 MB over links of 0.5 MB a
/// second after 7 s instead of 5.7 s.
const SLOW_REST_MS: u64 = 3_000;
/// Pause before the next request to a peer that did not reply in time, in milliseconds.
const FAULTY_MS: u64 = 1_000;

/// A process that fetches a value.
#[derive(Clone, Copy, Debug)]
pub struct Fetcher {
    /// Address of its instance.
    pub address: Ipv4Addr,
    /// Role of its instance.
    pub role: Role,
}

/// A value to be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingValue {
    /// Key of its record.
    pub key: String,
    /// Position of its record in the table.
    pub position: Position,
    /// Length in bytes.
    pub length: u64,
    /// Digest of the whole value.
    pub digest: Digest,
}

/// Slots for large values that are being sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct UploadSlots {
    to_agents: usize,
    to_entries: usize,
    agents_refused: u64,
    entries_refused: u64,
}

impl UploadSlots {
    /// Takes a slot; returns `false` if none is free. A process that gets no slot tries another
    /// peer, which is faster than waiting.
    pub fn take(&mut self, caller: Role) -> bool {
        let (used, most) = self.of(caller);
        let free = *used < most;
        *used += usize::from(free);
        if !free {
            *self.refused_mut(caller) += 1;
        }
        free
    }

    /// Returns the number of times so far that no slot was free for a process of this role.
    pub fn refused(&mut self, caller: Role) -> u64 {
        *self.refused_mut(caller)
    }

    /// Releases a slot.
    pub fn free(&mut self, caller: Role) {
        let (used, _) = self.of(caller);
        *used = used.saturating_sub(1);
    }

    fn of(&mut self, caller: Role) -> (&mut usize, usize) {
        match caller {
            Role::Agent => (&mut self.to_agents, AGENT_UPLOADS),
            Role::Entry => (&mut self.to_entries, ENTRY_UPLOADS),
        }
    }

    fn refused_mut(&mut self, caller: Role) -> &mut u64 {
        match caller {
            Role::Agent => &mut self.agents_refused,
            Role::Entry => &mut self.entries_refused,
        }
    }
}

/// Progress of a transfer with one peer, for judging its rate.
///
/// ```
/// use gradeloft_policy::{clock::Time, process::transfer::Pace};
/// let at = |ms| Time::ZERO.after_ms(ms);
/// let pace = Pace::new(100_000, at(0));
/// assert!(!pace.slow(150_000, 900_000, at(400)), "too early to tell");
/// assert!(pace.slow(150_000, 900_000, at(1_000)));
/// assert!(!pace.slow(400_000, 900_000, at(1_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    start: u64,
    since: Time,
}

impl Pace {
    /// Creates a pace for a transfer that continues after `start` bytes.
    pub fn new(start: u64, since: Time) -> Pace {
        Pace { start, since }
    }

    /// Returns whether the rest takes too long at this rate, with `done` of `length` bytes
    /// transferred.
    pub fn slow(self, done: u64, length: u64, now: Time) -> bool {
        let passed = now.since(self.since).as_millis() as u64;
        let moved = done.saturating_sub(self.start);
        let rest = length.saturating_sub(done);
        MIN_SAMPLE_MS <= passed && moved.saturating_mul(SLOW_REST_MS) < rest.saturating_mul(passed)
    }
}

#[derive(Clone, Copy)]
struct Holder {
    peer: Ipv4Addr,
    /// Whether the peer is in the own region.
    near: bool,
    /// End of the peer's copy.
    end: Position,
    at: Time,
}

/// Ends of the copies of a table that peers hold.
#[derive(Default)]
pub struct Holders {
    /// At most [`HOLDERS`], one for each peer.
    known: Vec<Holder>,
}

impl Holders {
    /// Records that a peer's copy ends at `end`. `near` is whether the peer is in the own region;
    /// `None` leaves this unchanged.
    pub fn note(&mut self, peer: Ipv4Addr, near: Option<bool>, end: Position, now: Time) {
        if let Some(known) = self.known.iter_mut().find(|it| it.peer == peer) {
            known.near = near.unwrap_or(known.near);
            known.end = end;
            known.at = now;
            return;
        }
        if self.known.len() == HOLDERS {
            self.evict();
        }
        self.known.push(Holder {
            peer,
            near: near.unwrap_or(true),
            end,
            at: now,
        });
    }

    /// Forgets the least useful peer: one of another region first, then the one that has been
    /// silent longest.
    fn evict(&mut self) {
        let least = (0..self.known.len()).min_by_key(|it| {
            let holder = &self.known[*it];
            (holder.near, holder.at)
        });
        least.map(|it| self.known.swap_remove(it));
    }

    /// Returns the time, in milliseconds, for which a process waits for others of its region to
    /// fetch the data that `key` identifies from another region.
    pub fn far_wait_ms(&self, key: u64, fetcher: Fetcher, now: Time) -> u64 {
        if fetcher.role == Role::Agent && self.near(now).next().is_some() {
            return AGENT_FAR_MS;
        }
        let near = self.near(now).map(|it| node_hash(it.peer));
        let rank = rendezvous::rank(key, node_hash(fetcher.address), near);
        let turn = (rank / FAR_AT_ONCE).checked_ilog2().map_or(0, |it| it + 1);
        u64::from(turn) * FAR_TURN_MS
    }

    fn near(&self, now: Time) -> impl Iterator<Item = &Holder> {
        let is_recent = move |it: &&Holder| now < it.at.after_ms(SILENCE_MS);
        self.known.iter().filter(|it| it.near).filter(is_recent)
    }

    fn holding(&self, position: Position, now: Time) -> impl Iterator<Item = &Holder> {
        let is_recent = move |it: &&Holder| now < it.at.after_ms(SILENCE_MS);
        let has = move |it: &&Holder| position < it.end;
        self.known.iter().filter(is_recent).filter(has)
    }
}

fn node_hash(address: Ipv4Addr) -> u64 {
    rendezvous::hash(&address.octets())
}

/// Reason why a peer sent no more of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The peer has no free upload slot.
    Busy,
    /// The peer did not reply, or the connection broke.
    Faulty,
    /// The peer does not hold the record as announced.
    NotHeld,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Exclusion {
    Busy(Time),
    Faulty(Time),
    NotHeld,
}

impl Exclusion {
    fn until(self) -> Option<Time> {
        match self {
            Exclusion::Busy(until) | Exclusion::Faulty(until) => Some(until),
            Exclusion::NotHeld => None,
        }
    }
}

/// The next step of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Request the value from this peer.
    Request(Ipv4Addr),
    /// No peer that has sent data recently holds the value.
    NoHolder,
    /// Choose again after this time; the peers that hold the value are busy, or it is not this
    /// process's turn to fetch from another region.
    Wait(Duration),
    /// Choose again after this time; the peers that hold the value did not reply.
    Retry(Duration),
}

/// Result of adding received bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// More bytes are missing.
    More,
    /// The received bytes are not the announced value; the transfer starts again.
    Corrupt,
    /// The whole value.
    Complete(Bytes),
}

/// Transfer of one value.
pub struct Transfer {
    want: MissingValue,
    begun: Time,
    /// Received bytes, never more than the length of the value.
    received: Vec<u8>,
    exclusions: HashMap<Ipv4Addr, Exclusion>,
}

impl Transfer {
    /// Creates a transfer without received bytes.
    pub fn new(want: MissingValue, now: Time) -> Transfer {
        // Allocates the buffer once: growth by doubling would need up to three times the memory for
        // a moment.
        let room = want.length.min(MAX_VALUE) as usize;
        Transfer {
            want,
            begun: now,
            received: Vec::with_capacity(room),
            exclusions: HashMap::new(),
        }
    }

    /// Returns the value that is being fetched.
    pub fn want(&self) -> &MissingValue {
        &self.want
    }

    /// Returns the number of received bytes, which is the offset at which the transfer continues.
    pub fn start(&self) -> u64 {
        self.received.len() as u64
    }

    /// Adds received bytes.
    pub fn add(&mut self, part: &[u8]) -> Progress {
        let length = self.start() + part.len() as u64;
        if length <= self.want.length {
            self.received.extend_from_slice(part);
            if length < self.want.length {
                return Progress::More;
            }
            if Digest::of(&self.received) == self.want.digest {
                return Progress::Complete(std::mem::take(&mut self.received).into());
            }
        }
        self.received.clear();
        Progress::Corrupt
    }

    /// Clears the refusals of peers that did not hold the value, since it was announced again.
    pub fn announced(&mut self) {
        self.exclusions
            .retain(|_, exclusion| *exclusion != Exclusion::NotHeld);
    }

    /// Chooses the next peer: any peer of this region that holds the value. If no such peer can
    /// send the value and it is this process's turn, chooses a peer of another region. Traffic
    /// between regions costs money, and all processes of a region share one narrow link to other
    /// regions.
    pub fn choose(
        &self,
        holders: &Holders,
        fetcher: Fetcher,
        now: Time,
        rng: &mut impl Rng,
    ) -> Choice {
        let exclusion = |it: &Holder| self.exclusions.get(&it.peer).copied();
        let candidates: Vec<&Holder> = holders
            .holding(self.want.position, now)
            .filter(|it| exclusion(it) != Some(Exclusion::NotHeld))
            .collect();
        let until = |it: &Holder| {
            exclusion(it)
                .and_then(Exclusion::until)
                .filter(|it| now < *it)
        };
        let free = |near: bool| {
            let these = candidates.iter().filter(move |it| it.near == near);
            these.filter(|it| until(it).is_none())
        };
        if let Some(holder) = free(true).choose(rng) {
            return Choice::Request(holder.peer);
        }
        let busy = |it: &&&Holder| it.near && matches!(exclusion(it), Some(Exclusion::Busy(_)));
        if let Some(soonest) = candidates
            .iter()
            .filter(busy)
            .filter_map(|it| until(it))
            .min()
        {
            return Choice::Wait(soonest.since(now));
        }
        if let Some(holder) = free(false).choose(rng) {
            let wait_ms = holders.far_wait_ms(self.want.position.offset, fetcher, now);
            let turn = self.begun.after_ms(wait_ms);
            if turn <= now {
                return Choice::Request(holder.peer);
            }
            return Choice::Wait(turn.since(now).min(FAR_POLL));
        }
        let soonest = candidates
            .iter()
            .filter_map(|it| until(it).zip(exclusion(it)))
            .min_by_key(|it| it.0);
        match soonest {
            Some((until, Exclusion::Busy(_))) => Choice::Wait(until.since(now)),
            Some((until, _)) => Choice::Retry(until.since(now)),
            None => Choice::NoHolder,
        }
    }

    /// Returns whether to switch from `peer`, which sends slowly, to another peer now. The transfer
    /// continues at the other peer, so no received bytes are lost.
    pub fn should_switch(
        &self,
        peer: Ipv4Addr,
        holders: &Holders,
        fetcher: Fetcher,
        now: Time,
        rng: &mut impl Rng,
    ) -> bool {
        let others = holders.known.iter().filter(|it| it.peer != peer);
        let others = Holders {
            known: others.copied().collect(),
        };
        matches!(self.choose(&others, fetcher, now, rng), Choice::Request(_))
    }

    /// Records that a peer sent no more of the value.
    pub fn refused(&mut self, peer: Ipv4Addr, refusal: Refusal, now: Time, rng: &mut impl Rng) {
        let exclusion = match refusal {
            Refusal::Busy => Exclusion::Busy(now.after_ms(rng.random_range(BUSY_MS))),
            Refusal::Faulty => Exclusion::Faulty(now.after_ms(FAULTY_MS)),
            Refusal::NotHeld => Exclusion::NotHeld,
        };
        self.exclusions.insert(peer, exclusion);
    }
}
