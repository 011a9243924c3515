//! A large value on its way, and the peers that have it.
//!
//! A record never changes, so what came of its value from one peer goes on from any other. Whoever lacks
//! it asks one that has it, drawn at random, and keeps what came whatever becomes of that peer; a peer
//! that gives to as many as it can sends others away, and these come back a moment later, when those it
//! gave to have it to give.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use gradeloft_wire::{frame::Role, id::Digest};
use rand::{Rng, seq::IteratorRandom};

use crate::{clock::Time, rendezvous};

/// Largest value that is taken from peers, in bytes: on an instance with 128 MB of memory, the value, its
/// copy in the table and what is read from it fit beside everything else.
pub const MAX_VALUE: u64 = 16 << 20;
/// Large values that a process gives to entries at once. Few at once are whole sooner, and those that have
/// them give them on; with one, a peer behind a narrow link would hold up all others.
const GIVEN_TO_ENTRIES: usize = 2;
/// Large values that a process gives to agents at once, beside those: an agent's link is a quarter of an
/// entry's, and agents give to nobody. Where entries and agents shared two slots, a zone's last entry had
/// 0.9 MB after 3.6 s and not after 1.3 s (in the model of `tests/records.rs`: 14 entries, of which two
/// have it, and 30 agents).
const GIVEN_TO_AGENTS: usize = 1;
/// Processes of a region that ask another region at first: one could be out of that region's reach. Their number doubles
/// with each turn, so that a link which is full or slow gets no copy for each process.
const FAR_AT_ONCE: usize = 2;
/// Length of a turn, in milliseconds: 0.9 MB cross 30 Mbit/s in 0.24 s, and whoever has them says so within
/// 0.13 s.
const FAR_TURN_MS: u64 = 500;
/// Time after which an agent that knows near peers asks another region, in milliseconds.
const AGENT_FAR_MS: u64 = 2_000;
/// Longest pause before a look whether a near peer has it meanwhile.
const FAR_LOOK: Duration = Duration::from_millis(50);
/// Peers remembered for each table: a region's entries and more.
const HOLDERS: usize = 64;
/// Time after which a peer that said nothing is not asked, in milliseconds: agents and peers of other
/// regions speak once a second.
const SILENCE_MS: u64 = 5_000;
/// Pause before a peer that gives to others is asked again, in milliseconds: within it, 0.2 to 1.2 MB
/// cross a link of 40 Mbit/s.
const BUSY_MS: std::ops::RangeInclusive<u64> = 50..=250;
/// Time after which it shows how quickly a peer gives or takes, in milliseconds.
const JUDGED_MS: u64 = 500;
/// Time for the rest of a value from which on a peer is slow, in milliseconds: 0.9 MB within it are a quarter of
/// an agent's link. Where all links carry little, turns cost more than they bring: with 1 s, the last of six
/// had 0.7 MB over links of 0.5 MB a second after 7 s and not after 5.7 s.
const REST_MS: u64 = 3_000;
/// Pause before a peer is asked again that did not answer, or not in good time, in milliseconds.
const FAULTY_MS: u64 = 1_000;

/// Who fetches.
#[derive(Clone, Copy, Debug)]
pub struct Fetcher {
    /// Its instance.
    pub address: Ipv4Addr,
    /// What it is.
    pub role: Role,
}

/// A value that is to be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingValue {
    /// Key of its record.
    pub key: String,
    /// Position of its record in the table.
    pub offset: u64,
    /// Bytes.
    pub length: u64,
    /// Of all of it.
    pub digest: Digest,
}

/// Large values that are being given.
#[derive(Clone, Copy, Debug, Default)]
pub struct UploadSlots {
    to_agents: usize,
    to_entries: usize,
    agents_refused: u64,
    entries_refused: u64,
}

impl UploadSlots {
    /// Takes a slot; gives `false` if none is free. Whoever finds none asks another peer, which is sooner
    /// than waiting.
    pub fn take(&mut self, caller: Role) -> bool {
        let (used, most) = self.of(caller);
        let free = *used < most;
        *used += usize::from(free);
        if !free {
            *self.refused_mut(caller) += 1;
        }
        free
    }

    /// How often none was free so far.
    pub fn refused(&mut self, caller: Role) -> u64 {
        *self.refused_mut(caller)
    }

    /// Frees a slot that was taken.
    pub fn free(&mut self, caller: Role) {
        let (used, _) = self.of(caller);
        *used = used.saturating_sub(1);
    }

    fn of(&mut self, caller: Role) -> (&mut usize, usize) {
        match caller {
            Role::Agent => (&mut self.to_agents, GIVEN_TO_AGENTS),
            Role::Entry => (&mut self.to_entries, GIVEN_TO_ENTRIES),
        }
    }

    fn refused_mut(&mut self, caller: Role) -> &mut u64 {
        match caller {
            Role::Agent => &mut self.agents_refused,
            Role::Entry => &mut self.entries_refused,
        }
    }
}

/// How quickly one peer gives, or takes.
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
    /// Of what goes on from `start` bytes.
    pub fn new(start: u64, since: Time) -> Pace {
        Pace { start, since }
    }

    /// Whether the rest takes long at this pace: of `length` bytes, `done` are over.
    pub fn slow(self, done: u64, length: u64, now: Time) -> bool {
        let passed = now.since(self.since).as_millis() as u64;
        let moved = done.saturating_sub(self.start);
        let rest = length.saturating_sub(done);
        JUDGED_MS <= passed && moved.saturating_mul(REST_MS) < rest.saturating_mul(passed)
    }
}

#[derive(Clone, Copy)]
struct Holder {
    peer: Ipv4Addr,
    /// Whether it is in the own region.
    near: bool,
    /// Offset up to which its copy goes.
    end: u64,
    at: Time,
}

/// How far the copies of a table go that peers have.
#[derive(Default)]
pub struct Holders {
    /// At most [`HOLDERS`], one for each peer.
    known: Vec<Holder>,
}

impl Holders {
    /// A peer's copy goes up to `end`. `near` says whether the peer is in the own region; `None` leaves
    /// that as it is known.
    pub fn note(&mut self, peer: Ipv4Addr, near: Option<bool>, end: u64, now: Time) {
        if let Some(known) = self.known.iter_mut().find(|it| it.peer == peer) {
            known.near = near.unwrap_or(known.near);
            known.end = end;
            known.at = now;
            return;
        }
        if self.known.len() == HOLDERS {
            self.forget_one();
        }
        self.known.push(Holder {
            peer,
            near: near.unwrap_or(true),
            end,
            at: now,
        });
    }

    /// Forgets the one that is of least use: far rather than near, silent for long rather than heard.
    fn forget_one(&mut self) {
        let least = (0..self.known.len()).min_by_key(|it| {
            let holder = &self.known[*it];
            (holder.near, holder.at)
        });
        least.map(|it| self.known.swap_remove(it));
    }

    /// Time for which a caller leaves it to others of its region to ask another region for what `key` names, in
    /// milliseconds.
    pub fn far_wait_ms(&self, key: u64, caller: Fetcher, now: Time) -> u64 {
        if caller.role == Role::Agent && self.near(now).next().is_some() {
            return AGENT_FAR_MS;
        }
        let near = self.near(now).map(|it| node_hash(it.peer));
        let rank = rendezvous::rank(key, node_hash(caller.address), near);
        let turn = (rank / FAR_AT_ONCE).checked_ilog2().map_or(0, |it| it + 1);
        u64::from(turn) * FAR_TURN_MS
    }

    fn near(&self, now: Time) -> impl Iterator<Item = &Holder> {
        let speaks = move |it: &&Holder| now < it.at.after_ms(SILENCE_MS);
        self.known.iter().filter(|it| it.near).filter(speaks)
    }

    fn having(&self, offset: u64, now: Time) -> impl Iterator<Item = &Holder> {
        let speaks = move |it: &&Holder| now < it.at.after_ms(SILENCE_MS);
        let has = move |it: &&Holder| offset < it.end;
        self.known.iter().filter(speaks).filter(has)
    }
}

fn node_hash(address: Ipv4Addr) -> u64 {
    rendezvous::hash(&address.octets())
}

/// Why a peer gave nothing further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It gives to others now.
    Busy,
    /// It did not answer, or broke off.
    Faulty,
    /// It does not have the record, or not as it was announced.
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

/// What is to be done next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Ask this peer.
    Ask(Ipv4Addr),
    /// No peer that speaks has it.
    NoHolder,
    /// Choose again after so long: whoever has it gives to others now.
    Wait(Duration),
    /// Choose again after so long: whoever has it did not answer.
    Retry(Duration),
}

/// What a part brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// There is more to come.
    More,
    /// What came is not the value that was announced: it begins anew.
    Corrupt,
    /// The whole value.
    Complete(Bytes),
}

/// One value on its way.
pub struct Transfer {
    want: MissingValue,
    begun: Time,
    /// Never longer than the value.
    came: Vec<u8>,
    exclusions: HashMap<Ipv4Addr, Exclusion>,
}

impl Transfer {
    /// A transfer of which nothing came yet.
    pub fn new(want: MissingValue, now: Time) -> Transfer {
        // All at once: growing by doubling would need up to three times as much for a moment.
        let room = want.length.min(MAX_VALUE) as usize;
        Transfer {
            want,
            begun: now,
            came: Vec::with_capacity(room),
            exclusions: HashMap::new(),
        }
    }

    /// What is fetched.
    pub fn want(&self) -> &MissingValue {
        &self.want
    }

    /// Bytes that came.
    pub fn start(&self) -> u64 {
        self.came.len() as u64
    }

    /// Takes in the next bytes.
    pub fn add(&mut self, part: &[u8]) -> Progress {
        let length = self.start() + part.len() as u64;
        if length <= self.want.length {
            self.came.extend_from_slice(part);
            if length < self.want.length {
                return Progress::More;
            }
            if Digest::of(&self.came) == self.want.digest {
                return Progress::Complete(std::mem::take(&mut self.came).into());
            }
        }
        self.came.clear();
        Progress::Corrupt
    }

    /// Forgets who did not have it: it was announced once more.
    pub fn announced(&mut self) {
        self.exclusions.retain(|_, bar| *bar != Exclusion::NotHeld);
    }

    /// Which peer to ask next: any of the own region that has it, and one of another region only where
    /// none of the own can give it, and where it is the caller's turn: bytes between regions are paid
    /// for, and the link there is narrow for all processes of a region together.
    pub fn choose(
        &self,
        holders: &Holders,
        caller: Fetcher,
        now: Time,
        rng: &mut impl Rng,
    ) -> Choice {
        let bar = |it: &Holder| self.exclusions.get(&it.peer).copied();
        let able: Vec<&Holder> = holders
            .having(self.want.offset, now)
            .filter(|it| bar(it) != Some(Exclusion::NotHeld))
            .collect();
        let until = |it: &Holder| bar(it).and_then(Exclusion::until).filter(|it| now < *it);
        let free = |near: bool| {
            let these = able.iter().filter(move |it| it.near == near);
            these.filter(|it| until(it).is_none())
        };
        if let Some(holder) = free(true).choose(rng) {
            return Choice::Ask(holder.peer);
        }
        let busy = |it: &&&Holder| it.near && matches!(bar(it), Some(Exclusion::Busy(_)));
        if let Some(soonest) = able.iter().filter(busy).filter_map(|it| until(it)).min() {
            return Choice::Wait(soonest.since(now));
        }
        if let Some(holder) = free(false).choose(rng) {
            let wait_ms = holders.far_wait_ms(self.want.offset, caller, now);
            let turn = self.begun.after_ms(wait_ms);
            if turn <= now {
                return Choice::Ask(holder.peer);
            }
            return Choice::Wait(turn.since(now).min(FAR_LOOK));
        }
        let soonest = able
            .iter()
            .filter_map(|it| until(it).zip(bar(it)))
            .min_by_key(|it| it.0);
        match soonest {
            Some((until, Exclusion::Busy(_))) => Choice::Wait(until.since(now)),
            Some((until, _)) => Choice::Retry(until.since(now)),
            None => Choice::NoHolder,
        }
    }

    /// Whether another peer is to be asked now rather than `peer`, which gives slowly. What came goes on
    /// from there, so that nothing is lost by it.
    pub fn should_switch(
        &self,
        peer: Ipv4Addr,
        holders: &Holders,
        caller: Fetcher,
        now: Time,
        rng: &mut impl Rng,
    ) -> bool {
        let others = holders.known.iter().filter(|it| it.peer != peer);
        let others = Holders {
            known: others.copied().collect(),
        };
        matches!(self.choose(&others, caller, now, rng), Choice::Ask(_))
    }

    /// A peer gave nothing further.
    pub fn refused(&mut self, peer: Ipv4Addr, refusal: Refusal, now: Time, rng: &mut impl Rng) {
        let bar = match refusal {
            Refusal::Busy => Exclusion::Busy(now.after_ms(rng.random_range(BUSY_MS))),
            Refusal::Faulty => Exclusion::Faulty(now.after_ms(FAULTY_MS)),
            Refusal::NotHeld => Exclusion::NotHeld,
        };
        self.exclusions.insert(peer, bar);
    }
}
