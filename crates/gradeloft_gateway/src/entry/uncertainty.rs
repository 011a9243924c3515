//! The uncertainty of an entry's knowledge of other entries' requests, and retry times for callers
//! when no replica has room.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Replica, ReplicaKey},
        slot_split::{self, RequestRate},
    },
    request::{placement::Uncertainty, reservation::Answer},
};

use super::{Entry, forward::Job};
use crate::h1::wire::Wire;

/// Other entries that send requests to the same replicas.
#[derive(Clone, Copy)]
struct OtherEntries {
    entries: usize,
    /// Requests per second that all of them receive.
    request_rate: f64,
    /// Age of the load reports of these entries.
    age: Duration,
}

/// Request rates of a service.
#[derive(Default)]
pub(super) struct ServiceRates {
    /// All requests.
    pub(super) all: RequestRate,
    /// Requests that get no free slot of this entry's share.
    pub(super) overflow: RequestRate,
}

/// Uncertainty about the load of a service's replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadUncertainty {
    /// Uncertainty about requests from the entry's own region.
    pub near: Uncertainty,
    /// Uncertainty about requests from other regions.
    pub far: Uncertainty,
}

impl Entry {
    /// Returns the uncertainty about the load of a service's replicas.
    pub fn load_uncertainty(&self, service: &str, now: Time) -> LoadUncertainty {
        let rates = self.service_rates.borrow();
        let Some(service_rates) = rates.get(service) else {
            return LoadUncertainty::default();
        };
        let near_loads = self.near_loads.borrow();
        let near = OtherEntries {
            entries: near_loads.len(),
            request_rate: near_loads.demand(),
            age: near_loads.age(now),
        };
        let far_loads = self.far_loads.borrow();
        let far = OtherEntries {
            entries: self.roster.borrow().serving(|_| true, now).count(),
            request_rate: far_loads.demand(),
            age: far_loads.age(now) + near.age,
        };
        let overflow = service_rates.overflow.rate(now);
        let replicas = self.replicas.borrow();
        let uncertainty = |is_near: bool, others: OtherEntries| {
            let open = replicas.of(service);
            let open = || {
                open.clone()
                    .filter(|(_, it)| it.near == is_near && it.open(now))
            };
            let rate = others.request_rate / open().count().max(1) as f64;
            let unseen_requests = slot_split::unseen_requests(rate, others.age);
            let spare = open().map(|(_, it)| it.spare(unseen_requests)).sum();
            Uncertainty {
                overflow_probability: slot_split::overflow_probability(
                    spare,
                    others.entries,
                    overflow,
                    others.age,
                ),
                unseen_requests,
            }
        };
        LoadUncertainty {
            near: uncertainty(true, near),
            far: uncertainty(false, far),
        }
    }

    /// Counts a request as overflow unless the chosen replica has a free slot of this entry's
    /// share.
    pub fn count_placement(&self, service: &Rc<str>, chosen: Option<ReplicaKey>) {
        let replicas = self.replicas.borrow();
        let chosen = chosen.and_then(|it| replicas.get(it));
        if chosen.is_some_and(Replica::has_free_own_slot) {
            return;
        }
        let now = self.node.clock.now();
        let mut rates = self.service_rates.borrow_mut();
        let service_rates = rates.entry(Rc::clone(service)).or_default();
        service_rates.overflow.count(now);
    }

    /// Returns whether callers of a service were refused for lack of room a moment ago.
    pub fn recently_refused(&self, service: &str, now: Time) -> bool {
        let shortages = self.shortages.borrow();
        shortages.get(service).is_some_and(|it| it.is_active(now))
    }

    /// Returns for how long a request makes way for refused callers because its own caller pipelines requests
    /// and they do not; `None` if it competes with them.
    pub(super) fn makes_way_for(&self, caller: &Wire, job: &Job, now: Time) -> Option<Duration> {
        if 0 < job.progress.attempts {
            return None;
        }
        let shortages = self.shortages.borrow();
        let left = shortages.get(&job.service)?.makes_way_for(now)?;
        caller.has_unread_data().then_some(left)
    }

    /// Records the refusal of a caller that does not pipeline requests.
    pub(super) fn record_patient(&self, service: &Rc<str>) {
        let now = self.node.clock.now();
        let mut shortages = self.shortages.borrow_mut();
        shortages
            .entry(Rc::clone(service))
            .or_default()
            .record_patient(now);
    }

    /// Returns when the caller of a request that found no replica should retry, and whether room is
    /// reserved for it.
    pub fn retry_after(&self, job: &Job) -> Answer {
        let now = self.node.clock.now();
        let mut shortages = self.shortages.borrow_mut();
        let shortage = shortages.entry(Rc::clone(&job.service)).or_default();
        let left = job.deadline.since(now);
        let exclusions = job.exclusions.filter(|it| it.full == 0);
        let room_at = exclusions.and_then(|it| it.room_at);
        let room_in = room_at.map_or(Duration::ZERO, |it| it.since(now));
        let likely = self
            .node
            .with_rng(|rng| shortage.record_refusal(left, room_in, now, rng));
        self.book_return(job, room_in).unwrap_or(Answer {
            retry_after: likely,
            booked: false,
        })
    }
}
