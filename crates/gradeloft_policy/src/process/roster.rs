//! The entries that callers may be sent to, by the status that each of them sends.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
};

use crate::{clock::Time, rendezvous};

/// Least silence after which an entry is no longer named to callers, in milliseconds.
const SILENCE_MS: u64 = 1_300;
/// The same for entries that are known through others, in milliseconds: three pauses between a region's lists of its
/// members, and the silence after which another entry sends them.
const RELAYED_SILENCE_MS: u64 = 4_000;
/// Silence after which an entry is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Entries named in one answer at most; the platform reads no more.
const MAX_NAMED: usize = 64;
/// Entries of the caller's availability zone from which on few others are named. Callers draw from what is
/// named, so each of these takes its part of what the zone asks for; and a request that enters elsewhere
/// crosses a link twice that requests and weights share.
const ENOUGH_NEAR: usize = 8;
/// Others that are named all the same: callers reach them at once should the whole zone go dark.
const FALLBACKS: usize = 2;

/// How well an entry knows which others there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discovery {
    /// It has not read the table of entries.
    None,
    /// It has, within a window of its start: of many entries it knows only that they are listed.
    Listed,
    /// It has met those that there are.
    Complete,
}

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
    /// Whether the platform's store serves it, by its last status.
    served: bool,
    /// How far its copy of the operator's table goes, by its last status.
    end: u64,
    /// When it was known to be alive last.
    seen: Option<Time>,
    /// Until when it counts as alive.
    alive_until: Time,
}

/// What an entry sends of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status<'a> {
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
    peak: usize,
}

impl Roster {
    /// Learns that there may be an entry at an address, and its availability zone if that is known.
    pub fn learn(&mut self, address: Ipv4Addr, zone: Option<&str>) {
        let entry = self.entries.entry(address).or_insert(Entry {
            zone: String::new(),
            state: State::Starting,
            incarnation: 0,
            served: false,
            end: 0,
            seen: None,
            alive_until: Time::ZERO,
        });
        if let Some(zone) = zone.filter(|_| entry.zone.is_empty()) {
            zone.clone_into(&mut entry.zone);
        }
    }

    /// Takes in the status of an entry, unless it is of an earlier start of it.
    pub fn receive(&mut self, address: Ipv4Addr, status: Status<'_>, now: Time) {
        self.take_in(address, status, SILENCE_MS, now);
    }

    /// The same, through another entry.
    pub fn receive_relayed(&mut self, address: Ipv4Addr, status: Status<'_>, now: Time) {
        self.take_in(address, status, RELAYED_SILENCE_MS, now);
    }

    fn take_in(&mut self, address: Ipv4Addr, status: Status<'_>, silence_ms: u64, now: Time) {
        self.learn(address, Some(status.zone));
        let Some(entry) = self.entries.get_mut(&address) else {
            return;
        };
        if status.incarnation < entry.incarnation {
            return;
        }
        entry.incarnation = status.incarnation;
        status.zone.clone_into(&mut entry.zone);
        entry.state = status.state;
        entry.served = status.served;
        entry.end = status.end;
        entry.seen = Some(now);
        entry.alive_until = entry.alive_until.max(now.after_ms(silence_ms));
        let known = self.entries.values().filter(|it| it.seen.is_some());
        self.peak = self.peak.max(known.count() + 1);
    }

    /// Those whose availability zone is known and fits.
    pub fn addresses_in(&self, fits: impl Fn(&str) -> bool) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| !it.zone.is_empty() && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Those of which nothing is known but the address.
    pub fn unidentified(&self) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, it)| it.zone.is_empty())
            .map(|(address, _)| *address)
    }

    /// Availability zones of all that are known.
    pub fn zones(&self) -> BTreeSet<&str> {
        let zones = self.entries.values().map(|it| it.zone.as_str());
        zones.filter(|it| !it.is_empty()).collect()
    }

    /// Entries that are alive, in availability zones that fit.
    pub fn alive_in(
        &self,
        fits: impl Fn(&str) -> bool,
        now: Time,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// The last status of the entries that are alive in availability zones that fit.
    pub fn statuses(
        &self,
        fits: impl Fn(&str) -> bool,
        now: Time,
    ) -> impl Iterator<Item = (Ipv4Addr, Status<'_>)> {
        let entries = self.entries.iter();
        let alive = entries.filter(move |(_, it)| it.alive(now) && fits(&it.zone));
        alive.map(|(address, it)| (*address, it.status()))
    }

    /// Most entries that were known at once, the own one included.
    pub fn peak_size(&self) -> usize {
        self.peak.max(1)
    }

    /// Among how many entries that is split which all may spend together; `None` while nobody knows. An entry that
    /// has just started has met few others. Where many start at once, each would else take most of it: of seven, six
    /// that were killed together each took a half or all, and all of them more than there was.
    pub fn budget_sharers(&self, acquaintance: Discovery) -> Option<usize> {
        match acquaintance {
            Discovery::None => None,
            Discovery::Listed => Some(self.peak_size().max(self.entries.len() + 1)),
            Discovery::Complete => Some(self.peak_size()),
        }
    }

    /// Entries that are alive and served by the platform's store, in availability zones that fit.
    pub fn served(&self, fits: impl Fn(&str) -> bool, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && it.served && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Entries that take callers, in availability zones that fit.
    pub fn serving(
        &self,
        fits: impl Fn(&str) -> bool,
        now: Time,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && it.state == State::Ready && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Whether most entries, the own one included, take callers and have more of the operator's table than
    /// up to `end`. Those that are leaving count for nothing.
    pub fn majority_beyond(&self, end: u64, now: Time) -> bool {
        let staying = |it: &&Entry| it.alive(now) && it.state != State::Leaving;
        let others = self.entries.values().filter(staying);
        let beyond = others
            .clone()
            .filter(|it| it.state == State::Ready && end < it.end);
        others.count() + 1 < 2 * beyond.count()
    }

    /// Whether an entry is alive.
    pub fn alive(&self, address: Ipv4Addr, now: Time) -> bool {
        self.entries.get(&address).is_some_and(|it| it.alive(now))
    }

    /// Entries to name to callers in `zone`, the one at `own` left out: those of the zone first, and of the
    /// others as many as are needed, drawn for `own`, so that all of them are named alike. Only those in availability
    /// zones that `allow` lets through.
    pub fn ready(
        &self,
        own: Ipv4Addr,
        zone: &str,
        allow: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<Ipv4Addr> {
        let mut near: Vec<Ipv4Addr> = self.serving(|it| it == zone && allow(it), now).collect();
        near.sort_unstable();
        near.truncate(MAX_NAMED - FALLBACKS);
        let others: Vec<Ipv4Addr> = self.serving(|it| it != zone && allow(it), now).collect();
        let hashes: Vec<u64> = others.iter().map(hash).collect();
        let missing = ENOUGH_NEAR.saturating_sub(near.len()).max(FALLBACKS);
        let order = rendezvous::order(hash(&own), &hashes).into_iter();
        near.extend(order.take(missing).map(|it| others[it]));
        near
    }

    /// Forgets entries that have been silent for long; `keep` says which are never forgotten.
    pub fn forget(&mut self, keep: impl Fn(Ipv4Addr) -> bool, now: Time) {
        self.entries.retain(|address, it| {
            let recent = it.seen.is_some_and(|at| now < at.after_ms(FORGET_MS));
            recent || it.seen.is_none() || keep(*address)
        });
    }
}

/// Hash of an entry's address, by which duties are drawn.
pub fn hash(address: &Ipv4Addr) -> u64 {
    rendezvous::hash(&address.octets())
}

impl Entry {
    fn alive(&self, now: Time) -> bool {
        now < self.alive_until
    }

    fn status(&self) -> Status<'_> {
        Status {
            incarnation: self.incarnation,
            zone: &self.zone,
            state: self.state,
            served: self.served,
            end: self.end,
        }
    }
}
