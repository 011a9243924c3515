//! What an entry knows of other entries' requests, how far that may be off, and what it tells callers
//! when there is no room.

use std::{collections::HashMap, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Replica, ReplicaKey},
        split::{self, Demand},
    },
};
use gradeloft_wire::datagram::Load;

use super::{Entry, forward::Job};

/// Requests of another entry at replicas.
pub(super) struct Told {
    /// When it told them.
    pub(super) at: Time,
    /// By the hash of each replica's id.
    pub(super) loads: HashMap<u64, Load>,
}

/// Requests that come for a service.
#[derive(Default)]
pub(super) struct Demands {
    /// All of them.
    pub(super) all: Demand,
    /// Those that do not go to a slot of this entry's part.
    pub(super) beyond: Demand,
}

/// How far what an entry knows of replicas may be off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Part of the requests beyond the entry's own slots that may go to others'.
    pub chance: f64,
    /// Requests that may have come to each replica since others told.
    pub unseen: f64,
}

impl Entry {
    /// How far what this entry knows of a service's replicas may be off.
    pub fn view(&self, service: &str, now: Time) -> View {
        let demands = self.demands.borrow();
        let Some(demand) = demands.get(service) else {
            return View::default();
        };
        let (others, age) = self.told(now);
        let replicas = self.replicas.borrow();
        let open = || replicas.of(service).filter(|(_, it)| it.open(now));
        let rate = demand.all.rate(now) * others as f64 / open().count().max(1) as f64;
        let unseen = split::unseen(rate, age);
        let spare = open().map(|(_, it)| it.spare(unseen)).sum();
        View {
            chance: split::chance(spare, others, demand.beyond.rate(now), age),
            unseen,
        }
    }

    /// How many other entries told what they have at replicas, and how long ago on average.
    fn told(&self, now: Time) -> (usize, Duration) {
        let elsewhere = self.elsewhere.borrow();
        let ages = elsewhere.values().map(|it| now.since(it.at));
        let sum: Duration = ages.sum();
        let others = elsewhere.len();
        (others, sum / others.max(1) as u32)
    }

    /// Counts a request that goes to a replica, or to none, if that is not to a slot of this entry's part.
    pub fn count_choice(&self, service: &Rc<str>, chosen: Option<ReplicaKey>) {
        let replicas = self.replicas.borrow();
        let chosen = chosen.and_then(|it| replicas.get(it));
        if chosen.is_some_and(Replica::has_own_slot) {
            return;
        }
        let now = self.node.clock.now();
        let mut demands = self.demands.borrow_mut();
        let demand = demands.entry(Rc::clone(service)).or_default();
        demand.beyond.count(now);
    }

    /// When the caller of a request that found no replica is to come back.
    pub fn back_in(&self, job: &Job) -> Duration {
        let now = self.node.clock.now();
        let mut shortages = self.shortages.borrow_mut();
        let shortage = shortages.entry(Rc::clone(&job.service)).or_default();
        let left = job.deadline.since(now);
        self.node.with_rng(|rng| shortage.refuse(left, now, rng))
    }
}
