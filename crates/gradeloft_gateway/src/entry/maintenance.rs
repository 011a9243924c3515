//! What an entry works out anew several times a second, and what it lets go of as it becomes old.

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

/// Age from which on other regions' reports of their requests don't count any more, in milliseconds: two of
/// the longest pauses between two of them. What is old counts for little before (`slot_split::unseen_requests`).
const FAR_MS: u64 = 10_000;

/// A region, as far as its slots go.
#[derive(Default)]
struct Place {
    area: RegionSlots,
    /// Replicas that take requests, in the order of their ids.
    replicas: Vec<(Rc<str>, ReplicaKey, u32)>,
}

impl Entry {
    /// Drops what has become old, and takes in the reports of others.
    pub(super) fn upkeep(self: &Rc<Entry>) {
        let now = self.node.clock.now();
        self.node.show_behind();
        self.show_standing();
        self.node.log_traffic();
        for id in self.replicas.borrow_mut().expire(now) {
            if let Some(log) = self.node.logs.line(Topic::State) {
                info!(log, "replica gone"; "replica" => &*id);
            }
        }
        let replicas = self.replicas.borrow();
        self.pool.expire(|it| replicas.get(it).is_some());
        drop(replicas);
        self.forget_starts();
        self.maintain_quarantine(now);
        let seeds = self.node.settings().seeds.clone();
        self.roster
            .borrow_mut()
            .forget(|it| seeds.contains(&it), now);
        self.sum_elsewhere(now);
        self.split_slots(now);
        self.pace_cold(now);
    }

    /// Sums the requests that other entries have at each replica.
    fn sum_elsewhere(&self, now: Time) {
        let roster = self.roster.borrow();
        self.near_loads
            .borrow_mut()
            .retain(|it| roster.alive(*it, now));
        drop(roster);
        self.far_loads.borrow_mut().expire(now.before_ms(FAR_MS));
        let mut sums = HashMap::new();
        self.near_loads.borrow().add_to(&mut sums);
        self.far_loads.borrow().add_to(&mut sums);
        let settings = self.node.settings();
        let far_loads = self.far_loads.borrow();
        let others = |replica: &Replica| {
            let region = settings.region(&replica.listing.zone);
            // Nothing is known of a region that is silent: but for what it lends, its models count as full. Else
            // all entries that are short would send there what they have no room for.
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

    /// Sets how often this entry sends to each replica that is cold. The entries of the replica's region share what it
    /// bears, or all entries if none of that region takes callers.
    fn pace_cold(&self, now: Time) {
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

    /// Splits the slots of each model's replicas that take requests among the entries that take callers.
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
            let (home, places) = self.places(&service.name, entries.len(), now);
            let areas: Vec<RegionSlots> = places.iter().map(|it| it.area.clone()).collect();
            let parts = slot_split::parts_by_region(&areas, home, position);
            let mut replicas = self.replicas.borrow_mut();
            for (place, parts) in places.iter().zip(parts) {
                for ((_, key, _), part) in place.replicas.iter().zip(parts) {
                    if let Some(replica) = replicas.get_mut(*key) {
                        replica.part = part;
                    }
                }
            }
        }
    }

    /// The regions, each with what it has of a service, and the position of the own one.
    fn places(&self, service: &str, entries_here: usize, now: Time) -> (usize, Vec<Place>) {
        let settings = self.node.settings();
        let own = settings.region(&settings.zone).to_owned();
        let mut regions = self.other_regions();
        regions.push(own.clone());
        let oldest = self.oldest_versions(service).allowed;
        let takes = |it: &Replica| it.open(now) && oldest <= it.version(now);
        let replicas = self.replicas.borrow();
        let open = replicas.of(service).filter(|(_, it)| takes(it));
        let mut by_region: HashMap<String, Place> = HashMap::new();
        for (key, replica) in open {
            let listing = &replica.listing;
            let region = settings.region(&listing.zone).to_owned();
            let place = by_region.entry(region).or_default();
            let row = (Rc::clone(&listing.id), key, listing.slots);
            place.replicas.push(row);
        }
        regions.extend(by_region.keys().cloned());
        regions.sort_unstable();
        regions.dedup();
        let roster = self.roster.borrow();
        let far = self.far_loads.borrow();
        let places = regions.iter().map(|region| {
            let mut place = by_region.remove(region).unwrap_or_default();
            place.replicas.sort_unstable();
            let slots = place.replicas.iter().map(|it| it.2).collect();
            let here = |it: &str| settings.region(it) == region;
            place.area = if *region == own {
                RegionSlots {
                    entries: entries_here,
                    demand: self.demand() + self.near_loads.borrow().demand(),
                    slots,
                }
            } else {
                RegionSlots {
                    entries: roster.serving(here, now).count(),
                    demand: far.demand_of(region),
                    slots,
                }
            };
            place
        });
        let places: Vec<Place> = places.collect();
        let home = regions.iter().take_while(|it| **it != own).count();
        (home, places)
    }
}
