//! A large value on its way, and the peers that have it.
//!
//! A record never changes, so what came of its value from one peer goes on from any other. Whoever lacks
//! it asks one that has it, drawn at random, and keeps what came whatever becomes of that peer; a peer
//! that gives to as many as it can sends others away, and these come back a moment later, when those it
//! gave to have it to give.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use gradeloft_wire::id::Digest;
use rand::{Rng, seq::IteratorRandom};

use crate::clock::Time;

/// Largest value that is taken from peers, in bytes: on an instance with 128 MB of memory, the value, its
/// copy in the table and what is read from it fit beside everything else.
pub const MAX_VALUE: u64 = 16 << 20;
/// Large values that a process gives to peers at once. Few at once are whole sooner, and those that have
/// them give them on; with one, a peer behind a narrow link would hold up all others.
pub const GIVEN_AT_ONCE: usize = 2;
/// Peers remembered for each table: a region's entries and more.
const HOLDERS: usize = 64;
/// Time after which a peer that said nothing is not asked, in milliseconds: agents and peers of other
/// regions speak once a second.
const SILENCE_MS: u64 = 5_000;
/// Pause before a peer that gives to others is asked again, in milliseconds: within it, 0.2 to 1.2 MB
/// cross a link of 40 Mbit/s.
const BUSY_MS: std::ops::RangeInclusive<u64> = 50..=250;
/// Pause before a peer is asked again that did not answer, in milliseconds.
const FAULTY_MS: u64 = 1_000;

/// A value that is to be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Want {
    /// Key of its record.
    pub key: String,
    /// Position of its record in the table.
    pub offset: u64,
    /// Bytes.
    pub length: u64,
    /// Of all of it.
    pub digest: Digest,
}

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
    pub fn told(&mut self, peer: Ipv4Addr, near: Option<bool>, end: u64, now: Time) {
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

    fn having(&self, offset: u64, now: Time) -> impl Iterator<Item = &Holder> {
        let speaks = move |it: &&Holder| now < it.at.after_ms(SILENCE_MS);
        let has = move |it: &&Holder| offset < it.end;
        self.known.iter().filter(speaks).filter(has)
    }
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
enum Bar {
    Busy(Time),
    Faulty(Time),
    NotHeld,
}

impl Bar {
    fn until(self) -> Option<Time> {
        match self {
            Bar::Busy(until) | Bar::Faulty(until) => Some(until),
            Bar::NotHeld => None,
        }
    }
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Ask this peer.
    Ask(Ipv4Addr),
    /// No peer that speaks has it.
    Nobody,
    /// Choose again after so long: whoever has it gives to others now.
    Queue(Duration),
    /// Choose again after so long: whoever has it did not answer.
    Retry(Duration),
}

/// What a part brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// There is more to come.
    More,
    /// What came is not the value that was announced: it begins anew.
    Spoilt,
    /// The whole value.
    Whole(Bytes),
}

/// One value on its way.
pub struct Transfer {
    want: Want,
    /// Never longer than the value.
    came: Vec<u8>,
    bars: HashMap<Ipv4Addr, Bar>,
}

impl Transfer {
    /// A transfer of which nothing came yet.
    pub fn new(want: Want) -> Transfer {
        Transfer {
            want,
            came: Vec::new(),
            bars: HashMap::new(),
        }
    }

    /// What is fetched.
    pub fn want(&self) -> &Want {
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
                return Progress::Whole(std::mem::take(&mut self.came).into());
            }
        }
        self.came.clear();
        Progress::Spoilt
    }

    /// Forgets who did not have it: it was announced once more.
    pub fn announced(&mut self) {
        self.bars.retain(|_, bar| *bar != Bar::NotHeld);
    }

    /// Which peer to ask next: any of the own region that has it, and one of another region only where
    /// none of the own can give it, since bytes between regions are paid for.
    pub fn choose(&self, holders: &Holders, now: Time, rng: &mut impl Rng) -> Choice {
        let bar = |it: &Holder| self.bars.get(&it.peer).copied();
        let able: Vec<&Holder> = holders
            .having(self.want.offset, now)
            .filter(|it| bar(it) != Some(Bar::NotHeld))
            .collect();
        let until = |it: &Holder| bar(it).and_then(Bar::until).filter(|it| now < *it);
        let free = |near: bool| {
            let these = able.iter().filter(move |it| it.near == near);
            these.filter(|it| until(it).is_none())
        };
        if let Some(holder) = free(true).choose(rng) {
            return Choice::Ask(holder.peer);
        }
        let busy = |it: &&&Holder| it.near && matches!(bar(it), Some(Bar::Busy(_)));
        if let Some(soonest) = able.iter().filter(busy).filter_map(|it| until(it)).min() {
            return Choice::Queue(soonest.since(now));
        }
        if let Some(holder) = free(false).choose(rng) {
            return Choice::Ask(holder.peer);
        }
        let soonest = able
            .iter()
            .filter_map(|it| until(it).zip(bar(it)))
            .min_by_key(|it| it.0);
        match soonest {
            Some((until, Bar::Busy(_))) => Choice::Queue(until.since(now)),
            Some((until, _)) => Choice::Retry(until.since(now)),
            None => Choice::Nobody,
        }
    }

    /// A peer gave nothing further.
    pub fn refused(&mut self, peer: Ipv4Addr, refusal: Refusal, now: Time, rng: &mut impl Rng) {
        let bar = match refusal {
            Refusal::Busy => Bar::Busy(now.after_ms(rng.random_range(BUSY_MS))),
            Refusal::Faulty => Bar::Faulty(now.after_ms(FAULTY_MS)),
            Refusal::NotHeld => Bar::NotHeld,
        };
        self.bars.insert(peer, bar);
    }
}
