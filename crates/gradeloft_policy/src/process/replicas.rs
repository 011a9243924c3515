//! The replicas of all services, by the platform's listings, the reports of their agents and the
//! state of connections.

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
        backpressure::{Throttle, Unlisted},
        document::Speed,
        occupancy::Occupancy,
        remote_loads::Load,
        replica_starts::{StartOrder, Starts},
    },
    rendezvous,
    request::forecast::{Queue, Slowness},
};

/// First pause after a failure, in milliseconds; doubles with each further consecutive failure.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds; about the time within which the platform notices that a replica
/// is gone.
const MAX_PAUSE_MS: u64 = 4_000;
/// Age at which an agent's report expires, in milliseconds: three of the usual intervals between
/// reports.
const REPORT_MS: u64 = 3_000;

/// Time without data after which a replica with requests counts as silent, in milliseconds: ten
/// passes of an engine at full load.
const SILENCE_MS: u64 = 600;

new_key_type! {
    /// Key of one start of a replica.
    pub struct ReplicaKey;
}

/// The platform's listing of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Id of the replica, by which a request can be pinned to it.
    pub id: Rc<str>,
    /// Start of the replica as a Unix time in milliseconds, if it is reported. A replica may
    /// restart under the same id.
    pub born: Option<u64>,
    /// Service that the replica belongs to.
    pub service: Rc<str>,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the replica runs at once.
    pub slots: u32,
    /// Whether the replica is being drained.
    pub draining: bool,
    /// Whether the replica runs a model, and therefore needs weights to serve requests.
    pub has_model: bool,
    /// Version of the weights that the replica holds in full; `None` without weights.
    pub version: Option<u64>,
    /// Time that the replica stays cold from the writing of this listing on, in milliseconds.
    pub warmup_left_ms: u64,
}

/// Report of a replica's agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Start of the replica as a Unix time in milliseconds, if it is reported.
    pub born: Option<u64>,
    /// Version of the weights that the replica holds in full.
    pub version: Option<u64>,
    /// Whether the replica accepts no work because weights are about to be loaded.
    pub loading: bool,
    /// Whether the link of the replica's instance is saturated.
    pub congested: bool,
    /// Number of requests that the replica runs, by its own count.
    pub running: u32,
    /// Number of requests in the replica's queue, by its own count.
    pub queued: u32,
    /// Time at which the report was received.
    pub at: Time,
}

/// Whether a removal may be an error of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTrust {
    /// The store was unreachable recently and may have dropped live replicas, which reappear by
    /// this time.
    Doubtful(Time),
    /// The store was available throughout.
    Sound,
}

impl StoreTrust {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreTrust::Doubtful(_) => "doubtful",
            StoreTrust::Sound => "sound",
        }
    }

    /// Returns the trust in a removal that was written at `written`: a replica that was dropped in
    /// error reappears within `back_ms` milliseconds of that time, however late the removal is
    /// read.
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
    /// Listing by the platform.
    pub listing: Listing,
    /// Last report of the replica's agent.
    pub report: Option<Report>,
    /// Number of this entry's requests in progress at the replica.
    pub own_requests: u32,
    /// Number of these requests whose response has not begun.
    pub own_waiting: u32,
    /// Number of prompt tokens of this entry's requests whose response has not begun.
    pub own_waiting_tokens: f64,
    /// Number of other entries' requests in progress at the replica, by their last reports, and those
    /// of its own count that these reports don't explain.
    pub other_requests: u32,
    /// Number of these requests that no entry reports.
    pub unreported_requests: u32,
    /// Knowledge of the requests at the replica by its own count.
    pub occupancy: Occupancy,
    /// Number of these requests whose response has not begun.
    pub others_waiting: u32,
    /// Number of prompt tokens of these requests whose response has not begun.
    pub others_waiting_tokens: f64,
    /// Slots assigned to this entry, which it fills without regard to other entries.
    pub own_slots: u32,
    /// Whether the replica is in this entry's region.
    pub near: bool,
    /// Delay of the start of the replica's responses compared with the speed that the operator
    /// publishes.
    pub slowness: Slowness,
    /// Time at which data was last received from the replica, or at which this entry's only request
    /// in progress was sent to it.
    pub silent_since: Time,
    /// Time at which data was last received from the replica.
    pub last_received: Time,
    /// Whether the replica's availability zone is evacuated.
    pub evacuated: bool,
    /// Requests that the replica accepts from this entry, by its backpressure and warm-up.
    pub throttle: Throttle,
    failures: u32,
    paused_until: Time,
    /// Time of the replica's removal, if one is scheduled.
    gone_at: Option<Time>,
    starts: Starts,
}

impl Replica {
    /// Creates a replica of which only the platform's listing is known.
    fn new(listing: Listing, starts: Starts) -> Replica {
        Replica {
            listing,
            report: None,
            own_requests: 0,
            own_waiting: 0,
            own_waiting_tokens: 0.0,
            other_requests: 0,
            unreported_requests: 0,
            occupancy: Occupancy::default(),
            others_waiting: 0,
            others_waiting_tokens: 0.0,
            own_slots: 0,
            near: true,
            slowness: Slowness::default(),
            silent_since: Time::ZERO,
            last_received: Time::ZERO,
            evacuated: false,
            throttle: Throttle::default(),
            failures: 0,
            paused_until: Time::ZERO,
            gone_at: None,
            starts,
        }
    }

    /// Returns a short identifier of this start for messages to other processes. Of fleets with
    /// 2,300 replicas, one in 1,600 has two replicas with the same identifier, which then count as
    /// busier than they are.
    pub fn hash(&self) -> u32 {
        let id = rendezvous::hash(self.listing.id.as_bytes());
        let start = self.starts.born().map(|it| rendezvous::score(id, it));
        start.unwrap_or(id) as u32
    }

    /// Returns the time of this start in Unix milliseconds, if starts have times.
    pub fn born(&self) -> Option<u64> {
        self.starts.born()
    }

    /// Returns the version of the weights that the replica holds in full: the higher of the listed
    /// and the reported version.
    pub fn version(&self, now: Time) -> Option<u64> {
        let reported = self.fresh(now).and_then(|it| it.version);
        reported.max(self.listing.version)
    }

    /// Returns whether the replica gets new work.
    pub fn open(&self, now: Time) -> bool {
        !self.evacuated && self.serves(now)
    }

    /// Returns whether the replica accepts new work, even if its availability zone is evacuated.
    pub fn serves(&self, now: Time) -> bool {
        let loading = self.fresh(now).is_some_and(|it| it.loading);
        let filled = !self.listing.has_model || self.version(now).is_some();
        !self.listing.draining && !self.throttle.leaving.value() && !loading && filled
    }

    /// Returns whether the replica has long sent no data although it has requests of this entry.
    pub fn silent(&self, now: Time) -> bool {
        0 < self.own_requests && self.silent_since.after_ms(SILENCE_MS) <= now
    }

    /// Returns whether requests queue at the link of the replica's instance, by its agent's report.
    pub fn congested(&self, now: Time) -> bool {
        self.fresh(now).is_some_and(|it| it.congested)
    }

    /// Returns whether the replica failed recently.
    pub fn suspect(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns the number of requests in progress, as far as this entry knows.
    pub fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Returns the number of requests whose response has not begun, as far as this entry knows.
    pub fn waiting(&self) -> u32 {
        self.own_waiting + self.others_waiting
    }

    /// Returns whether a slot that is assigned to this entry is free. Requests that no entry reports
    /// may occupy it.
    pub fn has_free_own_slot(&self) -> bool {
        let is_full = 0 < self.unreported_requests && self.listing.slots <= self.load();
        !is_full && self.own_requests < self.own_slots
    }

    /// Returns the number of slots that the entries can split among them: those that no unreported
    /// request occupies.
    pub fn splittable_slots(&self) -> u32 {
        self.listing.slots.saturating_sub(self.unreported_requests)
    }

    /// Returns the number of free slots as far as this entry knows, less `unseen` requests that
    /// others may have sent.
    pub fn spare(&self, unseen: f64) -> f64 {
        (f64::from(self.listing.slots) - f64::from(self.load()) - unseen).max(0.0)
    }

    /// Returns the queue that a new request meets, as far as this entry knows. The prompt lengths
    /// of other entries' requests are not reported. While a slot assigned to this entry is free,
    /// other entries can't have taken it, whatever they reported some time ago.
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

    /// Sets the requests of other entries by their last reports.
    fn set_others(&mut self, reported: Load, now: Time) {
        self.occupancy.update(now);
        self.unreported_requests = self.occupancy.unreported();
        self.other_requests = reported.running + self.unreported_requests;
        self.others_waiting = reported.waiting;
        self.others_waiting_tokens = reported.waiting_tokens;
    }

    /// Applies a report of the replica's agent about the current start.
    fn apply_report(&mut self, report: Report) {
        self.report = Some(report);
        let reported = self.other_requests - self.unreported_requests;
        let count = report.running + report.queued;
        self.occupancy
            .record(count, self.own_requests, reported, report.at);
        self.unreported_requests = self.occupancy.unreported();
        self.other_requests = reported + self.unreported_requests;
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
    /// Backpressure of replicas that are no longer listed.
    unlisted: Unlisted,
    /// Availability zones whose replicas get no requests.
    evacuated: HashSet<String>,
}

impl Replicas {
    /// Returns a replica, if it still exists.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.arena.get(key)
    }

    /// Returns a replica for modification.
    pub fn get_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.arena.get_mut(key)
    }

    /// Iterates over the replicas of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (ReplicaKey, &Replica)> + Clone {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|it| (*it, &self.arena[*it]))
    }

    /// Iterates over all replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.arena.iter()
    }

    /// Returns the replicas that listen on an address.
    pub fn at(&self, address: SocketAddr) -> Vec<ReplicaKey> {
        let at = self
            .arena
            .iter()
            .filter(|(_, it)| it.listing.address == address);
        at.map(|(key, _)| key).collect()
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Applies a listing that was written in an era of the store. Once the store was restored, a leave
    /// that was listed holds until the replica restarts: replicas write their records again in any
    /// order.
    pub fn apply_written(&mut self, mut listing: Listing, era: u32) -> ReplicaKey {
        let known = self.key(&listing.id).map(|it| &self.arena[it]);
        let leaves = |it: &Replica| {
            let born = it.starts.born().zip(listing.born);
            it.listing.draining && born.is_none_or(|(known, listed)| known == listed)
        };
        listing.draining |= 0 < era && known.is_some_and(leaves);
        self.apply_listing(listing)
    }

    /// Applies a listing of a replica. A replica that restarted gets a new key.
    pub fn apply_listing(&mut self, listing: Listing) -> ReplicaKey {
        let Some(&key) = self.by_id.get(&listing.id) else {
            let starts = Starts::new(listing.born);
            let mut replica = Replica::new(listing, starts);
            let throttle = self
                .unlisted
                .take(&replica.listing.id, replica.starts.born());
            replica.throttle = throttle.unwrap_or_default();
            return self.insert(replica);
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
            self.remove_from_service(&before, key);
            self.by_service.entry(service).or_default().push(key);
        }
        key
    }

    /// Returns the key of a replica by its id.
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

    /// Replaces a replica by its new start, dropping all state of the previous one.
    fn restart(&mut self, ended: ReplicaKey, listing: Listing) -> ReplicaKey {
        let starts = self.arena[ended].starts;
        self.remove(ended);
        self.unlisted.forget(&listing.id);
        self.insert(Replica::new(listing, starts))
    }

    /// Applies the removal of a replica from the platform's list.
    pub fn unlist(&mut self, id: &str, trust: StoreTrust) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        match trust {
            StoreTrust::Sound => self.remove(key),
            StoreTrust::Doubtful(until) => self.arena[key].gone_at = Some(until),
        }
    }

    /// Removes the replicas whose scheduled removal is due and returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<Rc<str>> {
        self.unlisted.expire(now);
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

    /// Applies the report of the agent of the replica at `address`; returns the keys of starts that
    /// have ended according to the report. A report that is older than the known one, or concerns
    /// an ended start, changes nothing.
    pub fn apply_report(&mut self, address: SocketAddr, report: Report) -> Vec<ReplicaKey> {
        let keys = self.at(address);
        let mut ended = Vec::new();
        for key in keys {
            let replica = &mut self.arena[key];
            match replica.starts.received(report.born) {
                StartOrder::Ended => {}
                StartOrder::Newer => {
                    // The known listing concerns the start that ended.
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
                        replica.apply_report(report);
                    }
                }
            }
        }
        ended
    }

    /// Sets the requests of other entries at each replica.
    pub fn set_others(&mut self, others: impl Fn(&Replica) -> Load, now: Time) {
        for replica in self.arena.values_mut() {
            let load = others(replica);
            replica.set_others(load, now);
        }
    }

    /// Treats the requests at all replicas of models as unknown until a count of them is received.
    /// Only replicas of models have agents, which send these counts.
    pub fn await_counts(&mut self, now: Time) {
        for replica in self.arena.values_mut().filter(|it| it.listing.has_model) {
            replica.occupancy = Occupancy::awaited(now);
        }
    }

    /// Stops or resumes sending requests to the replicas of an availability zone; returns whether
    /// this changed anything.
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

    /// Sets this entry's interval between requests to each replica that accepts a limited rate.
    pub fn set_send_intervals(
        &mut self,
        interval: impl Fn(&Replica) -> Option<Duration>,
        now: Time,
    ) {
        let restricted = |it: &&mut Replica| it.throttle.rate_restricted(now);
        for replica in self.arena.values_mut().filter(restricted) {
            let interval = interval(replica);
            replica.throttle.set_send_interval(interval, now);
        }
    }

    /// Sets which replicas are in this entry's region, by their availability zone.
    pub fn set_near(&mut self, near: impl Fn(&str) -> bool) {
        for replica in self.arena.values_mut() {
            replica.near = near(&replica.listing.zone);
        }
    }

    /// Returns whether a replica is listed as draining, and the version of the weights listed for
    /// it.
    pub fn state(&self, id: &str) -> Option<(bool, Option<u64>)> {
        let listing = &self.arena.get(*self.by_id.get(id)?)?.listing;
        Some((listing.draining, listing.version))
    }

    /// Records that a replica sent data.
    pub fn received(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            replica.silent_since = now;
            replica.last_received = now;
        }
    }

    /// Records that a request to a replica succeeded.
    pub fn succeeded(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            replica.last_received = now;
            replica.failures = 0;
            replica.paused_until = Time::ZERO;
        }
    }

    /// Records that a request to a replica failed, possibly through the replica's fault.
    pub fn failed(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.arena.get_mut(key) {
            let pause = FIRST_PAUSE_MS << replica.failures.min(8);
            replica.failures += 1;
            replica.paused_until = now.after_ms(pause.min(MAX_PAUSE_MS));
        }
    }

    /// Removes a replica whose address now belongs to another replica.
    pub fn remove_replaced(&mut self, key: ReplicaKey) {
        if self.arena.contains_key(key) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.arena.remove(key) {
            self.by_id.remove(&replica.listing.id);
            self.remove_from_service(&replica.listing.service, key);
            let (id, born) = (&replica.listing.id, replica.starts.born());
            self.unlisted.keep(id, born, replica.throttle);
        }
    }

    fn remove_from_service(&mut self, service: &str, key: ReplicaKey) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|it| *it != key);
        }
    }
}
