//! The entries that callers may be sent to, by what each of them says of itself.

use std::{collections::HashMap, net::Ipv4Addr};

use crate::clock::Time;

/// Silence after which an entry is no longer given to callers, in milliseconds: five of the pauses
/// between its datagrams, so that the loss of a few of them does not count.
const SILENCE_MS: u64 = 1_300;
/// Silence after which an entry is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Entries named in one answer at most; the platform reads no more.
const MAX_NAMED: usize = 64;

/// Whether an entry takes callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It finishes what runs and takes nothing new.
    Leaving,
    /// It takes callers.
    Ready,
    /// It does not know enough, or others know more.
    Starting,
}

#[derive(Clone, Debug)]
struct Entry {
    zone: String,
    state: State,
    incarnation: u64,
    /// Whether the platform's store serves it, as it said last.
    served: bool,
    /// How far its copy of the operator's table goes, as it said last.
    end: u64,
    heard: Option<Time>,
}

/// What an entry says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Word<'a> {
    /// Names this start of it; later starts have higher numbers.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether it takes callers.
    pub state: State,
    /// Whether the platform's store serves it.
    pub served: bool,
    /// How far its copy of the operator's table goes.
    pub end: u64,
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Roster {
    entries: HashMap<Ipv4Addr, Entry>,
    /// Most entries that were known at once, the own one included.
    most: usize,
}

impl Roster {
    /// Learns that there may be an entry at an address.
    pub fn learn(&mut self, address: Ipv4Addr) {
        self.entries.entry(address).or_insert(Entry {
            zone: String::new(),
            state: State::Starting,
            incarnation: 0,
            served: false,
            end: 0,
            heard: None,
        });
    }

    /// An entry said something of itself. Words of an earlier start of it are passed over.
    pub fn heard(&mut self, address: Ipv4Addr, word: Word<'_>, now: Time) {
        self.learn(address);
        let Some(entry) = self.entries.get_mut(&address) else {
            return;
        };
        if word.incarnation < entry.incarnation {
            return;
        }
        entry.incarnation = word.incarnation;
        word.zone.clone_into(&mut entry.zone);
        entry.state = word.state;
        entry.served = word.served;
        entry.end = word.end;
        entry.heard = Some(now);
        let known = self.entries.values().filter(|it| it.heard.is_some());
        self.most = self.most.max(known.count() + 1);
    }

    /// Everyone to talk to.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.entries.keys().copied()
    }

    /// Those whose availability zone fits, and those whose zone is not known yet.
    pub fn addresses_in(&self, fits: impl Fn(&str) -> bool) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.zone.is_empty() || fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Most entries that were known at once, the own one included.
    pub fn most(&self) -> usize {
        self.most.max(1)
    }

    /// Entries that are alive and served by the platform's store, in availability zones that fit.
    pub fn served(&self, fits: impl Fn(&str) -> bool, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && it.served && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Entries that take callers.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && it.state == State::Ready)
            .map(|(address, _)| *address)
    }

    /// Whether most entries, the own one included, take callers and have more of the operator's table than
    /// up to `end`. Those that are leaving count for nothing.
    pub fn most_beyond(&self, end: u64, now: Time) -> bool {
        let staying = |it: &&Entry| it.alive(now) && it.state != State::Leaving;
        let others = self.entries.values().filter(staying);
        let beyond = others
            .clone()
            .filter(|it| it.state == State::Ready && end < it.end);
        others.count() + 1 < 2 * beyond.count()
    }

    /// Whether an entry was heard a moment ago.
    pub fn alive(&self, address: Ipv4Addr, now: Time) -> bool {
        self.entries.get(&address).is_some_and(|it| it.alive(now))
    }

    /// Entries that take callers, the own one left out: those of `zone` first.
    pub fn ready(&self, zone: &str, now: Time) -> Vec<Ipv4Addr> {
        let mut ready: Vec<(bool, Ipv4Addr)> = self
            .entries
            .iter()
            .filter(|(_, it)| it.alive(now) && it.state == State::Ready)
            .map(|(address, it)| (it.zone != zone, *address))
            .collect();
        ready.sort_unstable();
        let named = ready.into_iter().map(|(_, address)| address);
        named.take(MAX_NAMED).collect()
    }

    /// Forgets entries that have been silent for long; `keep` says which are never forgotten.
    pub fn forget(&mut self, keep: impl Fn(Ipv4Addr) -> bool, now: Time) {
        self.entries.retain(|address, it| {
            let recent = it.heard.is_some_and(|at| now < at.after_ms(FORGET_MS));
            recent || it.heard.is_none() || keep(*address)
        });
    }
}

impl Entry {
    fn alive(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now < at.after_ms(SILENCE_MS))
    }
}
