//! State that an entry recomputes several times a second, and expiry of old state.

use std::{collections::HashMap, net::Ipv4Addr, rc::Rc};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Replica, ReplicaKey},
        roster,
        slot_split::{self, RegionSlots},
        warmup,
    },
};
use slog::info;

use super::Entry;
use crate::logs::Topic;

/// Age from which load reports of other regions are ignored, in milliseconds: twice the longest
/// pause between reports. Below this age, older reports have less weight
/// (`slot_split::unseen_requests`).
const FAR_LOADS_MAX_AGE_MS: u64 = 10_000;

/// Replicas and slots of one region for a service.
#[derive(Default)]
struct RegionReplicas {
    slots: RegionSlots,
    /// Replicas that accept requests, with their slots, in the order of their ids.
    replicas: Vec<(Rc<str>, ReplicaKey, u32)>,
}

impl Entry {
    /// Expires old state, and recomputes what depends on other entries' reports.
    pub(super) fn maintain(self: &Rc<Entry>) {
        let now = self.node.clock.now();
        self.node.update_behind_metric();
        self.log_freshness();
        self.node.log_traffic();
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
        self.sum_other_loads(now);
        self.split_slots(now);
        self.pace_cold_replicas(now);
        self.count_limited_replicas();
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
                return (replica.listing.slots, 0);
            }
            let sum = sums.get(&replica.hash()).copied().unwrap_or_default();
            (sum.running, sum.waiting)
        };
        let mut replicas = self.replicas.borrow_mut();
        replicas.set_near(|zone| self.node.near(zone));
        replicas.set_others(others);
    }

    /// Sets the pause between this entry's requests to each cold replica. The request rate that the
    /// replica sustains is shared by the entries of its region, or by all entries if no entry of
    /// its region accepts callers.
    fn pace_cold_replicas(&self, now: Time) {
        let settings = self.node.settings();
        let config = self.config.borrow();
        let roster = self.roster.borrow();
        let own = roster::hash(&settings.address);
        let pause = |replica: &Replica| {
            let warmup = config.as_ref()?.service(&replica.listing.service)?.warmup?;
            let region = settings.region(&replica.listing.zone);
            let mut senders: Vec<Ipv4Addr> = roster
                .serving(|it| settings.region(it) == region, now)
                .collect();
            if !replica.near {
                if !senders.is_empty() {
                    return None;
                }
                senders.extend(roster.serving(|_| true, now));
            }
            let others = senders.iter().map(roster::hash);
            warmup::min_interval(warmup.per_s, u64::from(replica.hash()), own, others)
        };
        let cold = self.replicas.borrow_mut().set_cold_pauses(pause, now);
        self.node.metrics.cold.set(cold as i64);
    }

    /// Splits the slots of each model's available replicas among the entries that accept callers.
    fn split_slots(&self, now: Time) {
        let own = self.node.settings().address;
        let near = |it: &str| self.node.near(it);
        let mut entries: Vec<Ipv4Addr> = self.roster.borrow().serving(near, now).collect();
        entries.push(own);
        entries.sort_unstable();
        let position = entries.iter().take_while(|it| **it != own).count();
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.document.services);
        for service in services.filter(|it| it.speed.is_some()) {
            let (home, regions) = self.replicas_by_region(&service.name, entries.len(), now);
            let slots: Vec<RegionSlots> = regions.iter().map(|it| it.slots.clone()).collect();
            let parts = slot_split::parts_by_region(&slots, home, position);
            let mut replicas = self.replicas.borrow_mut();
            for (region, parts) in regions.iter().zip(parts) {
                for ((_, key, _), part) in region.replicas.iter().zip(parts) {
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
        entries_here: usize,
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
            let row = (Rc::clone(&listing.id), key, listing.slots);
            in_region.replicas.push(row);
        }
        regions.extend(by_region.keys().cloned());
        regions.sort_unstable();
        regions.dedup();
        let roster = self.roster.borrow();
        let far = self.far_loads.borrow();
        let replicas_by_region = regions.iter().map(|region| {
            let mut region_replicas = by_region.remove(region).unwrap_or_default();
            region_replicas.replicas.sort_unstable();
            let slots = region_replicas.replicas.iter().map(|it| it.2).collect();
            let in_region = |it: &str| settings.region(it) == region;
            region_replicas.slots = if *region == own {
                RegionSlots {
                    entries: entries_here,
                    demand: self.model_request_rate() + self.near_loads.borrow().demand(),
                    slots,
                }
            } else {
                RegionSlots {
                    entries: roster.serving(in_region, now).count(),
                    demand: far.demand_of(region),
                    slots,
                }
            };
            region_replicas
        });
        let replicas_by_region: Vec<RegionReplicas> = replicas_by_region.collect();
        let home = regions.iter().take_while(|it| **it != own).count();
        (home, replicas_by_region)
    }
}
