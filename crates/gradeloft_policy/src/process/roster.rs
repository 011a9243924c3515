//! The entries that callers can be sent to, by the status that each of them sends.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
};

use gradeloft_wire::position::Position;

use crate::{clock::Time, rendezvous};

/// Silence after which an entry is no longer offered to callers, in milliseconds.
const SILENCE_MS: u64 = 1_300;
/// Silence after which an entry known only by relayed status is no longer offered, in milliseconds:
/// three intervals between the member lists of a region, plus the silence after which another entry
/// takes over sending these lists.
const RELAYED_SILENCE_MS: u64 = 4_000;
/// Silence after which an entry is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Maximum number of known entries, five times the largest fleet that is designed for: anybody can send
/// datagrams that name others.
pub const MAX_ENTRIES: usize = 2_048;
/// Most entries in one lookup response; the platform reads no more.
const MAX_OFFERED: usize = 64;
/// Number of entries up to which those of the caller's availability zone are supplemented by
/// entries of other zones. Callers choose at random among the offered entries, so each offered
/// entry gets its share of the zone's requests. A request through another zone crosses twice a link
/// that requests and weights share.
const ENOUGH_NEAR: usize = 8;
/// Number of entries of other zones that are offered in any case, so that callers can reach them at
/// once if the whole zone fails.
const FALLBACKS: usize = 2;

/// Extent to which an entry knows the other entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discovery {
    /// The entry has not read the table of entries yet.
    None,
    /// The entry has read the table, but started less than a window ago: it knows many entries only
    /// by their listing.
    Listed,
    /// The entry has received messages from the entries that exist.
    Complete,
}

/// State of an entry towards callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The entry finishes the requests in progress and accepts no new ones.
    Leaving,
    /// The entry accepts callers.
    Ready,
    /// The entry lacks state that it needs, or that other entries have.
    Starting,
}

/// Strongest evidence that there is an entry at an address.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Evidence {
    /// Somebody named the address.
    Named,
    /// Another entry relayed the entry's status.
    Relayed,
    /// The status came from the address itself.
    Direct,
}

#[derive(Clone, Debug)]
struct Entry {
    evidence: Evidence,
    zone: String,
    state: State,
    incarnation: u64,
    /// Whether the entry has access to the platform's store, by its last status.
    served: bool,
    /// End of the entry's copy of the operator's table, by its last status.
    end: Position,
    /// Time at which the entry was last known to be alive.
    seen: Option<Time>,
    /// Time until which the entry counts as alive.
    alive_until: Time,
}

/// Status that an entry sends about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status<'a> {
    /// Number of the entry's current start; later starts have higher numbers.
    pub incarnation: u64,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// State towards callers.
    pub state: State,
    /// Whether the entry has access to the platform's store.
    pub served: bool,
    /// End of the entry's copy of the operator's table.
    pub end: Position,
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Roster {
    /// At most [`MAX_ENTRIES`].
    entries: HashMap<Ipv4Addr, Entry>,
    /// Number of entries of which only the address is known.
    named: usize,
    /// Highest number of entries known at once, including this one.
    peak: usize,
    /// Number of entries that were not kept for lack of room.
    unkept: u64,
}

impl Roster {
    /// Records that there may be an entry at an address, and its availability zone if known.
    pub fn learn(&mut self, address: Ipv4Addr, zone: Option<&str>) {
        let Some(entry) = self.entry(address, Evidence::Named) else {
            return;
        };
        if let Some(zone) = zone.filter(|_| entry.zone.is_empty()) {
            zone.clone_into(&mut entry.zone);
        }
    }

    /// Returns the entry at an address, added if it is new; `None` if there is no room for it.
    fn entry(&mut self, address: Ipv4Addr, evidence: Evidence) -> Option<&mut Entry> {
        let known = self.entries.get(&address).map(|it| it.evidence);
        if known.is_none() && MAX_ENTRIES <= self.entries.len() {
            self.unkept += 1;
            let replaced = self.least_known(evidence)?;
            let removed = self.entries.remove(&replaced)?;
            self.named -= usize::from(removed.evidence == Evidence::Named);
        }
        let evidence = known.map_or(evidence, |it| it.max(evidence));
        self.named -= usize::from(known == Some(Evidence::Named));
        self.named += usize::from(evidence == Evidence::Named);
        let entry = self.entries.entry(address).or_insert(Entry {
            evidence,
            zone: String::new(),
            state: State::Starting,
            incarnation: 0,
            served: false,
            end: Position::START,
            seen: None,
            alive_until: Time::ZERO,
        });
        entry.evidence = evidence;
        Some(entry)
    }

    /// Returns the entry that a new one with some evidence replaces: one of which only the address is known,
    /// or the one with least evidence if the new one has sent its status itself.
    fn least_known(&self, evidence: Evidence) -> Option<Ipv4Addr> {
        if evidence == Evidence::Named || (evidence == Evidence::Relayed && self.named == 0) {
            return None;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(address, it)| (it.evidence, it.seen, **address));
        least.map(|(address, _)| *address)
    }

    /// Applies the status of an entry, unless it is from an earlier start of that entry.
    pub fn receive(&mut self, address: Ipv4Addr, status: Status<'_>, now: Time) {
        self.apply_status(address, status, Evidence::Direct, now);
    }

    /// Applies the status of an entry that another entry relayed.
    pub fn receive_relayed(&mut self, address: Ipv4Addr, status: Status<'_>, now: Time) {
        self.apply_status(address, status, Evidence::Relayed, now);
    }

    fn apply_status(
        &mut self,
        address: Ipv4Addr,
        status: Status<'_>,
        evidence: Evidence,
        now: Time,
    ) {
        let silence_ms = match evidence {
            Evidence::Direct => SILENCE_MS,
            Evidence::Named | Evidence::Relayed => RELAYED_SILENCE_MS,
        };
        let Some(entry) = self.entry(address, evidence) else {
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
        self.peak = self.peak.max(self.entries.len() - self.named + 1);
    }

    /// Iterates over the entries whose availability zone is known and accepted by `fits`.
    pub fn addresses_in(&self, fits: impl Fn(&str) -> bool) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| !it.zone.is_empty() && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Iterates over the entries of which only the address is known.
    pub fn unidentified(&self) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, it)| it.zone.is_empty())
            .map(|(address, _)| *address)
    }

    /// Returns the availability zones of all known entries.
    pub fn zones(&self) -> BTreeSet<&str> {
        let zones = self.entries.values().map(|it| it.zone.as_str());
        zones.filter(|it| !it.is_empty()).collect()
    }

    /// Iterates over the live entries in availability zones accepted by `fits`.
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

    /// Iterates over the last status of the live entries in availability zones accepted by `fits`.
    pub fn statuses(
        &self,
        fits: impl Fn(&str) -> bool,
        now: Time,
    ) -> impl Iterator<Item = (Ipv4Addr, Status<'_>)> {
        let entries = self.entries.iter();
        let alive = entries.filter(move |(_, it)| it.alive(now) && fits(&it.zone));
        alive.map(|(address, it)| (*address, it.status()))
    }

    /// Returns the highest number of entries known at once, including this one.
    pub fn peak_size(&self) -> usize {
        self.peak.max(1)
    }

    /// Returns the number of entries among which a common budget is split, or `None` while this
    /// number is unknown. An entry that has just started knows few others. If many entries start at
    /// once, each would otherwise take most of the budget: if six of seven entries restarted
    /// together, each of the six would take half or all of the budget, and together they would
    /// exceed it.
    pub fn budget_sharers(&self, discovery: Discovery) -> Option<usize> {
        match discovery {
            Discovery::None => None,
            Discovery::Listed => Some(self.peak_size().max(self.entries.len() + 1)),
            Discovery::Complete => Some(self.peak_size()),
        }
    }

    /// Iterates over the live entries with access to the platform's store, in availability zones
    /// accepted by `fits`.
    pub fn served(&self, fits: impl Fn(&str) -> bool, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| it.alive(now) && it.served && fits(&it.zone))
            .map(|(address, _)| *address)
    }

    /// Iterates over the entries that accept callers, in availability zones accepted by `fits`.
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

    /// Iterates over the entries that accept callers or may soon, in availability zones accepted by
    /// `fits`: those that are starting, and those that are listed and have sent nothing yet.
    pub fn expected(
        &self,
        fits: impl Fn(&str) -> bool,
        now: Time,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let is_expected = move |it: &Entry| {
            let unseen = it.seen.is_none() && !it.zone.is_empty();
            (unseen || it.alive(now)) && it.state != State::Leaving && fits(&it.zone)
        };
        let entries = self.entries.iter();
        entries
            .filter(move |(_, it)| is_expected(it))
            .map(|(address, _)| *address)
    }

    /// Returns whether a majority of entries, including this one, accept callers and have a copy of
    /// the operator's table that reaches beyond `end`. Leaving entries don't count.
    pub fn majority_beyond(&self, end: Position, now: Time) -> bool {
        let staying = |it: &&Entry| it.alive(now) && it.state != State::Leaving;
        let others = self.entries.values().filter(staying);
        let beyond = others
            .clone()
            .filter(|it| it.state == State::Ready && end < it.end);
        others.count() + 1 < 2 * beyond.count()
    }

    /// Returns the number of an entry's latest known start; 0 if it has sent no status.
    pub fn incarnation(&self, address: Ipv4Addr) -> u64 {
        self.entries.get(&address).map_or(0, |it| it.incarnation)
    }

    /// Returns whether an entry is alive.
    pub fn alive(&self, address: Ipv4Addr, now: Time) -> bool {
        self.entries.get(&address).is_some_and(|it| it.alive(now))
    }

    /// Returns the entries to offer to callers in `zone`, without the one at `own`: those of the
    /// zone first, then as many others as needed. The selection of the others depends on `own`, so
    /// that all of them are offered equally often over all entries. Only availability zones
    /// accepted by `allow` are used.
    pub fn offered(
        &self,
        own: Ipv4Addr,
        zone: &str,
        allow: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<Ipv4Addr> {
        let mut near: Vec<Ipv4Addr> = self.serving(|it| it == zone && allow(it), now).collect();
        near.sort_unstable();
        near.truncate(MAX_OFFERED - FALLBACKS);
        let others: Vec<Ipv4Addr> = self.serving(|it| it != zone && allow(it), now).collect();
        let hashes: Vec<u64> = others.iter().map(hash).collect();
        let missing = ENOUGH_NEAR.saturating_sub(near.len()).max(FALLBACKS);
        let order = rendezvous::order(hash(&own), &hashes).into_iter();
        near.extend(order.take(missing).map(|it| others[it]));
        near
    }

    /// Returns the number of entries since the last call that were not kept for lack of room.
    pub fn take_unkept(&mut self) -> u64 {
        std::mem::take(&mut self.unkept)
    }

    /// Forgets entries that have been silent for long, unless `keep` returns `true`.
    pub fn forget(&mut self, keep: impl Fn(Ipv4Addr) -> bool, now: Time) {
        self.entries.retain(|address, it| {
            let recent = it.seen.is_some_and(|at| now < at.after_ms(FORGET_MS));
            recent || it.seen.is_none() || keep(*address)
        });
        let named = self.entries.values();
        self.named = named.filter(|it| it.evidence == Evidence::Named).count();
    }
}

/// Returns the hash of an entry's address. Duties are assigned to entries by this hash.
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
