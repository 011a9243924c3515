//! The replicas of all services: what the platform says of them, joined with what their own agents
//! say and with what connections to them show.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    clock::Time,
    process::{
        document::Speed,
        replica_starts::{StartOrder, Starts},
    },
    rendezvous,
    request::forecast::{Queue, Slowness},
};

/// First pause after a failure, in milliseconds; doubles with each further failure in a row.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds: about the platform's own time to notice that a replica is gone.
const MAX_PAUSE_MS: u64 = 4_000;
/// Age at which an agent's word is no longer used, in milliseconds: three of its usual pauses.
const REPORT_MS: u64 = 3_000;

/// Time without a byte after which a replica with requests counts as silent, in milliseconds: ten of
/// an engine's passes at full load.
const SILENCE_MS: u64 = 600;

new_key_type! {
    /// Names a replica.
    pub struct ReplicaKey;
}

/// What the platform says of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Id of the replica; a request can be pinned to it.
    pub id: Rc<str>,
    /// Unix millisecond of its start, where it says so. It may start again under the same id.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it is a model's replica, which can answer only with weights.
    pub has_model: bool,
    /// Version of the weights that it holds in full; `None` without them.
    pub version: Option<u64>,
    /// How much longer it is cold, in milliseconds, from when it wrote this.
    pub warmup_left_ms: u64,
}

/// What a replica's agent says of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Unix millisecond of the replica's start, where it says so.
    pub born: Option<u64>,
    /// Version of the weights that it holds in full.
    pub version: Option<u64>,
    /// Whether it takes no work now because weights are about to be loaded.
    pub loading: bool,
    /// Whether its instance's link is full.
    pub congested: bool,
    /// When the report came.
    pub at: Time,
}

/// Whether a removal may be an error of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTrust {
    /// The store was out of reach a moment ago and may have dropped replicas that live; those are back
    /// by then.
    Doubtful(Time),
    /// The store has been well.
    Sound,
}

impl StoreTrust {
    /// Of a removal that was written at `written`: whoever is dropped in error is back so many milliseconds
    /// after it, however late it is read.
    pub fn of_written(self, written: Time, back_ms: u64) -> StoreTrust {
        match self {
            StoreTrust::Doubtful(until) => {
                StoreTrust::Doubtful(until.min(written.after_ms(back_ms)))
            }
            StoreTrust::Sound => StoreTrust::Sound,
        }
    }
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What the platform says.
    pub listing: Listing,
    /// What its agent says.
    pub report: Option<Report>,
    /// Requests of this entry that it works on.
    pub own_requests: u32,
    /// Of those, requests whose answer has not begun.
    pub own_waiting: u32,
    /// Prompt tokens of those.
    pub own_waiting_tokens: f64,
    /// Requests of other entries that it works on, as they said last.
    pub other_requests: u32,
    /// Of those, requests whose answer has not begun.
    pub others_waiting: u32,
    /// Slots of it that this entry fills without regard to others.
    pub own_slots: u32,
    /// Whether it is in this entry's region.
    pub near: bool,
    /// How much later than the operator publishes its answers begin.
    pub slowness: Slowness,
    /// When it sent something last, or was given the only request that it has from this entry.
    pub silent_since: Time,
    /// When it sent something last.
    pub last_received: Time,
    /// Whether its availability zone is evacuated.
    pub evacuated: bool,
    /// Least time between two requests of this entry while it is cold; `None` if this entry sends it none.
    pub cold_pause: Option<Duration>,
    /// Until when it is cold.
    cold_until: Time,
    /// When this entry sent it a request last.
    sent: Option<Time>,
    failures: u32,
    paused_until: Time,
    /// Set while a removal waits.
    gone_at: Option<Time>,
    starts: Starts,
}

impl Replica {
    /// A replica of which nothing is known but what the platform says.
    fn new(listing: Listing, starts: Starts) -> Replica {
        Replica {
            listing,
            report: None,
            own_requests: 0,
            own_waiting: 0,
            own_waiting_tokens: 0.0,
            other_requests: 0,
            others_waiting: 0,
            own_slots: 0,
            near: true,
            slowness: Slowness::default(),
            silent_since: Time::ZERO,
            last_received: Time::ZERO,
            evacuated: false,
            cold_pause: None,
            cold_until: Time::ZERO,
            sent: None,
            failures: 0,
            paused_until: Time::ZERO,
            gone_at: None,
            starts,
        }
    }

    /// Names this start of it to other processes, in few bytes. Two of 2,300 replicas have the same name in
    /// one fleet of 1,600, and then count as busier than they are.
    pub fn hash(&self) -> u32 {
        let id = rendezvous::hash(self.listing.id.as_bytes());
        let start = self.starts.born().map(|it| rendezvous::score(id, it));
        start.unwrap_or(id) as u32
    }

    /// Version of the weights that it holds in full, by the newer of both sources.
    pub fn version(&self, now: Time) -> Option<u64> {
        let reported = self.fresh(now).and_then(|it| it.version);
        reported.max(self.listing.version)
    }

    /// Whether it gets new work.
    pub fn open(&self, now: Time) -> bool {
        !self.evacuated && self.serves(now)
    }

    /// Whether it takes new work, be its availability zone evacuated or not.
    pub fn serves(&self, now: Time) -> bool {
        let loading = self.fresh(now).is_some_and(|it| it.loading);
        let filled = !self.listing.has_model || self.version(now).is_some();
        !self.listing.draining && !loading && filled
    }

    /// Whether it is cold.
    pub fn cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Sets how much longer it is cold. It may have turned cold again, and an older message may say that it is warm.
    pub fn set_warmup_left(&mut self, left_ms: u64, now: Time) {
        self.cold_until = match left_ms {
            0 => Time::ZERO,
            left_ms => now.after_ms(left_ms),
        };
    }

    /// Whether this entry may send it a request now, as far as its being cold goes.
    pub fn warmup_allows(&self, now: Time) -> bool {
        if !self.cold(now) {
            return true;
        }
        let Some(pause) = self.cold_pause else {
            return false;
        };
        self.sent.is_none_or(|it| it.after(pause) <= now)
    }

    /// Notes that this entry sends it a request.
    pub fn note_sent(&mut self, now: Time) {
        self.sent = Some(now);
    }

    /// Whether it has sent nothing for long although it has requests of this entry.
    pub fn silent(&self, now: Time) -> bool {
        0 < self.own_requests && self.silent_since.after_ms(SILENCE_MS) <= now
    }

    /// Whether requests wait before its instance's link, as its agent sees it.
    pub fn congested(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|it| it.congested)
    }

    /// Whether it failed a moment ago.
    pub fn suspect(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Requests that it works on, as far as this entry knows.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Requests whose answer has not begun, as far as this entry knows.
    pub fn waiting(&self) -> u32 {
        self.own_waiting + self.others_waiting
    }

    /// Whether a slot of this entry's part is free.
    pub fn has_free_own_slot(&self) -> bool {
        self.own_requests < self.own_slots
    }

    /// Slots that are free as far as this entry knows, where so many more requests may have come.
    pub fn spare(&self, unseen: f64) -> f64 {
        (f64::from(self.listing.slots) - f64::from(self.load()) - unseen).max(0.0)
    }

    /// What a request finds at it, as far as this entry knows. How long the prompts are that other
    /// entries sent is not told. Where this entry has a free slot of its own, others can't have taken it,
    /// whatever they told some time ago.
    pub fn queue(&self, speed: &Speed) -> Queue {
        let slots = self.listing.slots;
        let others = if self.has_free_own_slot() {
            self.other_requests.min(slots - self.own_slots.min(slots))
        } else {
            self.other_requests
        };
        let others_waiting = self.others_waiting.min(others);
        let waiting = self.own_waiting + others_waiting;
        let others_tokens = f64::from(others_waiting) * speed.usual_prompt;
        Queue {
            slots,
            begun: (self.own_requests + others).saturating_sub(waiting),
            waiting,
            waiting_tokens: self.own_waiting_tokens + others_tokens,
        }
    }

    fn fresh(&self, now: Time) -> Option<Report> {
        self.report.filter(|it| now < it.at.after_ms(REPORT_MS))
    }
}

/// All replicas.
#[derive(Debug, Default)]
pub struct Replicas {
    arena: SlotMap<ReplicaKey, Replica>,
    by_id: HashMap<Rc<str>, ReplicaKey>,
    by_service: HashMap<Rc<str>, Vec<ReplicaKey>>,
    /// Availability zones whose replicas get no requests.
    evacuated: HashSet<String>,
}

impl Replicas {
    /// A replica, unless it is gone.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.arena.get(key)
    }

    /// A replica, to change.
    pub fn get_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.arena.get_mut(key)
    }

    /// The replicas of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (ReplicaKey, &Replica)> + Clone {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|it| (*it, &self.arena[*it]))
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.arena.iter()
    }

    /// The replicas that listen at an address.
    pub fn at(&self, address: SocketAddr) -> Vec<ReplicaKey> {
        let at = self
            .arena
            .iter()
            .filter(|(_, it)| it.listing.address == address);
        at.map(|(key, _)| key).collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Takes over what the platform says of a replica. One that started again gets another key.
    pub fn list(&mut self, listing: Listing) -> ReplicaKey {
        let Some(&key) = self.by_id.get(&listing.id) else {
            let starts = Starts::new(listing.born);
            return self.insert(Replica::new(listing, starts));
        };
        let replica = &mut self.arena[key];
        if replica.starts.listed(listing.born) == StartOrder::Newer {
            return self.restart(key, listing);
        }
        let before = Rc::clone(&replica.listing.service);
        let service = Rc::clone(&listing.service);
        replica.listing = listing;
        replica.evacuated = self.evacuated.contains(&replica.listing.zone);
        replica.gone_at = None;
        if before != service {
            self.leave_service(&before, key);
            self.by_service.entry(service).or_default().push(key);
        }
        key
    }

    /// Key of the replica with an id.
    pub fn key(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    fn insert(&mut self, mut replica: Replica) -> ReplicaKey {
        replica.evacuated = self.evacuated.contains(&replica.listing.zone);
        let id = Rc::clone(&replica.listing.id);
        let service = Rc::clone(&replica.listing.service);
        let key = self.arena.insert(replica);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Puts a new start of a replica in the place of the one before it, of which nothing holds any more.
    fn restart(&mut self, ended: ReplicaKey, listing: Listing) -> ReplicaKey {
        let starts = self.arena[ended].starts;
        self.remove(ended);
        self.insert(Replica::new(listing, starts))
    }

    /// The platform no longer lists a replica.
    pub fn unlist(&mut self, id: &str, trust: StoreTrust) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        match trust {
            StoreTrust::Sound => self.remove(key),
            StoreTrust::Doubtful(until) => self.arena[key].gone_at = Some(until),
        }
    }

    /// Removes the replicas whose removal has waited long enough; gives their ids.
    pub fn expire(&mut self, now: Time) -> Vec<Rc<str>> {
        let due = |it: &Replica| it.gone_at.is_some_and(|at| at <= now);
        let gone: Vec<ReplicaKey> = self
            .arena
            .iter()
            .filter(|(_, it)| due(it))
            .map(|(key, _)| key)
            .collect();
        let ids = gone.iter().map(|it| Rc::clone(&self.arena[*it].listing.id));
        let ids = ids.collect();
        for key in gone {
            self.remove(key);
        }
        ids
    }

    /// Takes over what the agent beside the replica at `address` says of it; gives the keys of starts that
    /// have ended by that. What is older than what is known, or said of a start that has ended, changes nothing.
    pub fn report_at(&mut self, address: SocketAddr, report: Report) -> Vec<ReplicaKey> {
        let keys = self.at(address);
        let mut ended = Vec::new();
        for key in keys {
            let replica = &mut self.arena[key];
            match replica.starts.received(report.born) {
                StartOrder::Ended => {}
                StartOrder::Newer => {
                    // The platform's word is of the start that ended.
                    let listing = Listing {
                        born: report.born,
                        draining: false,
                        version: None,
                        ..replica.listing.clone()
                    };
                    let begun = self.restart(key, listing);
                    self.arena[begun].report = Some(report);
                    ended.push(key);
                }
                StartOrder::Same => {
                    if replica.report.is_none_or(|it| it.at <= report.at) {
                        replica.report = Some(report);
                    }
                }
            }
        }
        ended
    }

    /// Takes over how many requests of other entries each replica works on, and how many of those
    /// have not begun.
    pub fn set_others(&mut self, others: impl Fn(&Replica) -> (u32, u32)) {
        for replica in self.arena.values_mut() {
            (replica.other_requests, replica.others_waiting) = others(replica);
        }
    }

    /// Sends nothing more to the replicas of an availability zone, or takes that back; gives whether that changes
    /// anything.
    pub fn evacuate(&mut self, zone: &str, evacuated: bool) -> bool {
        let changed = match evacuated {
            true => self.evacuated.insert(zone.to_owned()),
            false => self.evacuated.remove(zone),
        };
        for replica in self.arena.values_mut() {
            if replica.listing.zone == zone {
                replica.evacuated = evacuated;
            }
        }
        changed
    }

    /// Availability zones whose replicas get no requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Sets the pause between this entry's requests to each replica that is cold; gives how many are.
    pub fn set_cold_pauses(
        &mut self,
        pause: impl Fn(&Replica) -> Option<Duration>,
        now: Time,
    ) -> usize {
        let mut cold = 0;
        for replica in self.arena.values_mut().filter(|it| it.cold(now)) {
            replica.cold_pause = pause(replica);
            cold += 1;
        }
        cold
    }

    /// Takes over which replicas are in this entry's region, by their availability zone.
    pub fn set_near(&mut self, near: impl Fn(&str) -> bool) {
        for replica in self.arena.values_mut() {
            replica.near = near(&replica.listing.zone);
        }
    }

    /// Whether a replica is listed as draining, and the version of the weights listed for it.
    pub fn state(&self, id: &str) -> Option<(bool, Option<u64>)> {
        let listing = &self.arena.get(*self.by_id.get(id)?)?.listing;
        Some((listing.draining, listing.version))
    }

    /// A replica sent something.
    pub fn received(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            replica.silent_since = now;
            replica.last_received = now;
        }
    }

    /// A request to a replica came back as it should.
    pub fn succeeded(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            replica.last_received = now;
            replica.failures = 0;
            replica.paused_until = Time::ZERO;
        }
    }

    /// A request to a replica failed in a way that may be the replica's fault.
    pub fn failed(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            let pause = FIRST_PAUSE_MS << replica.failures.min(8);
            replica.failures += 1;
            replica.paused_until = now.after_ms(pause.min(MAX_PAUSE_MS));
        }
    }

    /// The replica's address is another's now.
    pub fn replaced(&mut self, key: ReplicaKey) {
        if self.arena.contains_key(key) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.arena.remove(key) {
            self.by_id.remove(&replica.listing.id);
            self.leave_service(&replica.listing.service, key);
        }
    }

    fn leave_service(&mut self, service: &str, key: ReplicaKey) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|it| *it != key);
        }
    }
}
