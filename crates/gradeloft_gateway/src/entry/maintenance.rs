//! State that an entry recomputes several times a second, and expiry of old state.

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
    rc::Rc,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        rate_share,
        remote_loads::Load,
        replicas::{Replica, ReplicaKey},
        roster::{self, State},
        slot_split::{self, RegionSlots, ReplicaSlots},
    },
    rendezvous,
};
use gradeloft_wire::datagram::Presence;
use slog::info;

use super::Entry;
use crate::logs::Topic;

/// Age from which load reports of other regions are ignored, in milliseconds: twice the longest
/// pause between reports. Below this age, older reports have less weight
/// (`slot_split::unseen_requests`).
const FAR_LOADS_MAX_AGE_MS: u64 = 10_000;

/// Time after its start for which an entry expects each listed entry of its region to share the slots
/// of replicas, in milliseconds: two of the longest intervals between the messages of entries. If
/// all entries start together, each would otherwise take the slots of those that it hasn't received
/// a message from.
const EXPECTED_MS: u64 = 2_000;

/// Replicas and slots of one region for a service.
#[derive(Default)]
struct RegionReplicas {
    slots: RegionSlots,
    /// Keys of the replicas, in the same order.
    keys: Vec<ReplicaKey>,
}

/// Entries that share the request rates of replicas: those of the replica's region, or all if no
/// entry of its region accepts callers.
struct RateSharers {
    own: u64,
    /// Whether this entry takes a share beside others.
    accepts_callers: bool,
    /// Other entries of this region.
    near: Vec<u64>,
    /// Other entries of all regions.
    all: Vec<u64>,
    /// Regions with other entries.
    regions: HashSet<String>,
}

impl RateSharers {
    fn of(entry: &Entry, now: Time) -> RateSharers {
        let settings = entry.node.settings();
        let roster = entry.roster.borrow();
        let hashes = |it: &mut dyn Iterator<Item = Ipv4Addr>| -> Vec<u64> {
            it.map(|it| roster::hash(&it)).collect()
        };
        let ready = roster.statuses(|_| true, now);
        let ready = ready.filter(|(_, it)| it.state == State::Ready);
        RateSharers {
            own: roster::hash(&settings.address),
            accepts_callers: entry.presence() == Presence::Ready,
            near: hashes(&mut roster.serving(|it| entry.node.near(it), now)),
            all: hashes(&mut roster.serving(|_| true, now)),
            regions: ready
                .map(|(_, it)| settings.region(it.zone).to_owned())
                .collect(),
        }
    }

    /// Returns the other entries that share the rate of a replica; `None` if this entry has no
    /// share.
    fn others(&self, near: bool, region: &str) -> Option<&[u64]> {
        if !near && self.regions.contains(region) {
            return None;
        }
        let others = if near { &self.near } else { &self.all };
        (self.accepts_callers || others.is_empty()).then_some(others)
    }
}

impl Entry {
    /// Expires old state, and recomputes what depends on other entries' reports.
    pub(super) fn maintain(self: &Rc<Entry>) {
        let now = self.node.clock.now();
        self.node.update_behind_metric();
        self.log_freshness();
        self.node.log_traffic();
        self.note_callers();
        self.count_unkept();
        for id in self.replicas.borrow_mut().expire(now) {
            if let Some(log) = self.node.logs.line(Topic::State) {
                info!(log, "replica gone"; "replica" => &*id);
            }
        }
        let replicas = self.replicas.borrow();
        self.pool.expire(|it| replicas.get(it).is_some());
        drop(replicas);
        self.prune_restart_tokens();
        self.maintain_quarantine(now);
        let seeds = self.node.settings().seeds.clone();
        self.roster
            .borrow_mut()
            .forget(|it| seeds.contains(&it), now);
        self.expire_team_shares(now);
        self.expire_returns(now);
        self.sum_other_loads(now);
        self.split_slots(now);
        self.update_admission(now);
        self.share_restricted_rates(now);
        self.count_restricted_replicas(now);
    }

    /// Counts the content of datagrams that was not kept since the last round.
    fn count_unkept(&self) {
        let entries = self.roster.borrow_mut().take_unkept();
        let near = self.near_loads.borrow_mut().take_unkept();
        let far = self.far_loads.borrow_mut().take_unkept();
        self.node.count_unkept("entries", entries);
        self.node.count_unkept("reports", near + far);
    }

    /// Sums the requests that other entries have at each replica.
    fn sum_other_loads(&self, now: Time) {
        let roster = self.roster.borrow();
        self.near_loads
            .borrow_mut()
            .retain(|it| roster.alive(*it, now));
        drop(roster);
        self.far_loads
            .borrow_mut()
            .expire(now.before_ms(FAR_LOADS_MAX_AGE_MS));
        let mut sums = HashMap::new();
        self.near_loads.borrow().add_to(&mut sums);
        self.far_loads.borrow().add_to(&mut sums);
        let settings = self.node.settings();
        let far_loads = self.far_loads.borrow();
        let others = |replica: &Replica| {
            let region = settings.region(&replica.listing.zone);
            // The load of a silent region is unknown. Its replicas of models are treated as full,
            // except for the slots that it lends; otherwise all entries that are short of slots
            // would send their overflow there.
            if replica.listing.has_model && !replica.near && !far_loads.has(region) {
                return Load {
                    running: replica.listing.slots,
                    ..Load::default()
                };
            }
            sums.get(&replica.hash()).copied().unwrap_or_default()
        };
        let mut replicas = self.replicas.borrow_mut();
        replicas.set_near(|zone| self.node.near(zone));
        replicas.set_others(others, now);
    }

    /// Sets this entry's share of the request rate of each replica that is cold or limits the rate.
    pub(super) fn share_restricted_rates(&self, now: Time) {
        let restricted = |(_, it): (ReplicaKey, &Replica)| it.throttle.rate_restricted(now);
        if !self.replicas.borrow().iter().any(restricted) {
            return;
        }
        let sharers = RateSharers::of(self, now);
        let config = self.config.borrow();
        let settings = self.node.settings();
        let interval = |replica: &Replica| {
            let service = config
                .as_ref()
                .and_then(|it| it.service(&replica.listing.service));
            let cold_per_s = service.and_then(|it| it.warmup).map(|it| it.per_s);
            let per_s = replica.throttle.accepted_per_s(cold_per_s, now)?;
            let others = sharers.others(replica.near, settings.region(&replica.listing.zone))?;
            let others = others.iter().copied();
            rate_share::min_interval(per_s, u64::from(replica.hash()), sharers.own, others)
        };
        let mut replicas = self.replicas.borrow_mut();
        replicas.set_send_intervals(interval, now);
    }

    /// Counts the replicas that accept fewer requests than usual.
    fn count_restricted_replicas(&self, now: Time) {
        let replicas = self.replicas.borrow();
        let count = |restricted: &dyn Fn(&Replica) -> bool| {
            replicas.iter().filter(|(_, it)| restricted(it)).count() as i64
        };
        let metrics = &self.node.metrics;
        metrics.cold.set(count(&|it| it.throttle.cold(now)));
        metrics
            .limited
            .set(count(&|it| it.throttle.limit.is_restricted()));
        metrics
            .leaving
            .set(count(&|it| it.throttle.leaving.value()));
        metrics
            .resting
            .set(count(&|it| it.throttle.rest.ends(now).is_some()));
    }

    /// Splits the slots of each model's available replicas among the entries that accept callers.
    pub(super) fn split_slots(&self, now: Time) {
        let own = self.node.settings().address;
        let near = |it: &str| self.node.near(it);
        let just_started = now < Time::ZERO.after_ms(EXPECTED_MS);
        let roster = self.roster.borrow();
        let mut entries: Vec<u64> = vec![roster::hash(&own)];
        match just_started {
            true => entries.extend(roster.expected(near, now).map(|it| roster::hash(&it))),
            false => entries.extend(roster.serving(near, now).map(|it| roster::hash(&it))),
        }
        drop(roster);
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.document.services);
        for service in services.filter(|it| it.speed.is_some()) {
            let (home, regions) = self.replicas_by_region(&service.name, &entries, now);
            let slots: Vec<RegionSlots> = regions.iter().map(|it| it.slots.clone()).collect();
            let parts = slot_split::parts_by_region(&slots, home, 0);
            let mut replicas = self.replicas.borrow_mut();
            for (region, parts) in regions.iter().zip(parts) {
                for (key, part) in region.keys.iter().zip(parts) {
                    if let Some(replica) = replicas.get_mut(*key) {
                        replica.own_slots = part;
                    }
                }
            }
        }
    }

    /// Returns the position of this entry's region, and the replicas of a service in each region.
    fn replicas_by_region(
        &self,
        service: &str,
        entries_here: &[u64],
        now: Time,
    ) -> (usize, Vec<RegionReplicas>) {
        let settings = self.node.settings();
        let own = settings.region(&settings.zone).to_owned();
        let mut regions = self.other_regions();
        regions.push(own.clone());
        let oldest = self.oldest_versions(service).allowed;
        let accepts = |it: &Replica| it.open(now) && oldest <= it.version(now);
        let replicas = self.replicas.borrow();
        let open = replicas.of(service).filter(|(_, it)| accepts(it));
        let mut by_region: HashMap<String, RegionReplicas> = HashMap::new();
        for (key, replica) in open {
            let listing = &replica.listing;
            let region = settings.region(&listing.zone).to_owned();
            let in_region = by_region.entry(region).or_default();
            in_region.keys.push(key);
            in_region.slots.replicas.push(ReplicaSlots {
                key: rendezvous::hash(listing.id.as_bytes()),
                slots: replica.splittable_slots(),
            });
        }
        regions.extend(by_region.keys().cloned());
        regions.sort_unstable();
        regions.dedup();
        let roster = self.roster.borrow();
        let far = self.far_loads.borrow();
        let replicas_by_region = regions.iter().map(|region| {
            let mut region_replicas = by_region.remove(region).unwrap_or_default();
            let slots = &mut region_replicas.slots;
            let in_region = |it: &str| settings.region(it) == region;
            (slots.entries, slots.demand) = if *region == own {
                let demand = self.model_request_rate() + self.near_loads.borrow().demand();
                (entries_here.to_vec(), demand)
            } else {
                let entries = roster.serving(in_region, now);
                let entries = entries.map(|it| roster::hash(&it)).collect();
                (entries, far.demand_of(region))
            };
            region_replicas
        });
        let replicas_by_region: Vec<RegionReplicas> = replicas_by_region.collect();
        let home = regions.iter().take_while(|it| **it != own).count();
        (home, replicas_by_region)
    }
}
