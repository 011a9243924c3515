//! What an entry knows of other entries' requests, how far that may be off, and what it tells callers
//! when there is no room.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Replica, ReplicaKey},
        slot_split::{self, RequestRate},
    },
    request::placement::Uncertainty,
};

use super::{Entry, forward::Job};

/// Others that send requests to the same replicas.
#[derive(Clone, Copy)]
struct Others {
    entries: usize,
    /// Requests that come to all of them, a second.
    demand: f64,
    /// How long ago they told what they have at replicas.
    age: Duration,
}

/// Requests that come for a service.
#[derive(Default)]
pub(super) struct Demands {
    /// All of them.
    pub(super) all: RequestRate,
    /// Those that do not go to a slot of this entry's part.
    pub(super) beyond: RequestRate,
}

/// How far what an entry knows of replicas may be off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Staleness {
    /// For those of its region.
    pub near: Uncertainty,
    /// For those of other regions.
    pub far: Uncertainty,
}

impl Entry {
    /// How far what this entry knows of a service's replicas may be off.
    pub fn staleness(&self, service: &str, now: Time) -> Staleness {
        let demands = self.demands.borrow();
        let Some(demand) = demands.get(service) else {
            return Staleness::default();
        };
        let near_loads = self.near_loads.borrow();
        let near = Others {
            entries: near_loads.len(),
            demand: near_loads.demand(),
            age: near_loads.age(now),
        };
        let far_loads = self.far_loads.borrow();
        let far = Others {
            entries: self.roster.borrow().serving(|_| true, now).count(),
            demand: far_loads.demand(),
            age: far_loads.age(now) + near.age,
        };
        let beyond = demand.beyond.rate(now);
        let replicas = self.replicas.borrow();
        let doubt = |is_near: bool, others: Others| {
            let open = replicas.of(service);
            let open = || {
                open.clone()
                    .filter(|(_, it)| it.near == is_near && it.open(now))
            };
            let rate = others.demand / open().count().max(1) as f64;
            let unseen = slot_split::unseen_requests(rate, others.age);
            let spare = open().map(|(_, it)| it.spare(unseen)).sum();
            Uncertainty {
                chance: slot_split::overflow_probability(spare, others.entries, beyond, others.age),
                unseen,
            }
        };
        Staleness {
            near: doubt(true, near),
            far: doubt(false, far),
        }
    }

    /// Counts a request that goes to a replica, or to none, if that is not to a slot of this entry's part.
    pub fn count_placement(&self, service: &Rc<str>, chosen: Option<ReplicaKey>) {
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

    /// Whether callers of a service have been refused for want of room a moment ago.
    pub fn recently_refused(&self, service: &str, now: Time) -> bool {
        let shortages = self.shortages.borrow();
        shortages.get(service).is_some_and(|it| it.is_active(now))
    }

    /// When the caller of a request that found no replica is to come back.
    pub fn retry_after(&self, job: &Job) -> Duration {
        let now = self.node.clock.now();
        let mut shortages = self.shortages.borrow_mut();
        let shortage = shortages.entry(Rc::clone(&job.service)).or_default();
        let left = job.deadline.since(now);
        self.node
            .with_rng(|rng| shortage.record_refusal(left, now, rng))
    }
}
