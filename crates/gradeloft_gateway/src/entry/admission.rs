//! The level of admission of services whose requests the operator ranks: demand measured and
//! reported, the level recomputed, and the decision on a request.

use std::rc::Rc;

use gradeloft_policy::{
    clock::Time,
    process::{
        remote_loads::Demand,
        replicas::{Replica, ReplicaKey},
    },
    rendezvous,
    request::{
        admission_level::{self, Arrivals, Level, Share, Verdict},
        contention::Precedence,
    },
};
use gradeloft_wire::datagram::{self, MAX_DEMANDS};
use rand::Rng;
use slog::info;

use super::{
    Entry,
    forward::{self, Job},
    selection,
};
use crate::{logs::Topic, metrics::AdmissionLabels};

/// Level of admission of a service at this entry.
#[derive(Default)]
pub(super) struct ServiceAdmission {
    /// Requests that arrive at this entry.
    arrivals: Arrivals,
    /// Level as of the last maintenance.
    level: Level,
    /// Interval at which a slot that is assigned to this entry becomes free while all are in use,
    /// in seconds.
    slot_interval_s: f64,
    /// Whether the last logged level was that of a shortage.
    logged_short: bool,
}

impl Entry {
    /// Counts a request towards the demand for its service.
    pub(super) fn count_arrival(&self, job: &Job) {
        if !self.ranks_requests_for(&job.service) {
            return;
        }
        let Some(contender) = forward::contender(self, job) else {
            return;
        };
        let now = self.node.clock.now();
        let mut admission = self.admission.borrow_mut();
        let service = admission.entry(Rc::clone(&job.service)).or_default();
        let objective_ms = job.route.goal_ms as f64;
        let precedence = contender.precedence;
        service
            .arrivals
            .count(precedence, contender.work_ms, objective_ms, now);
    }

    /// Returns whether a service runs a model and the operator ranks its requests.
    pub(super) fn ranks_requests_for(&self, service: &str) -> bool {
        let config = self.config.borrow();
        let config = config.as_ref();
        config.is_some_and(|it| it.ranks_requests_for(service) && self.speed(service).is_some())
    }

    /// Decides whether a request is admitted.
    pub(super) fn decide_admission(&self, job: &Job, now: Time) -> Verdict {
        let admission = self.admission.borrow();
        let Some(service) = admission.get(&job.service) else {
            return Verdict::Unlimited;
        };
        let urgency = selection::urgency(job, now);
        let precedence = job.precedence;
        let reserve = service
            .arrivals
            .reserve(precedence, service.slot_interval_s, now);
        let free = self.free_own_slots(&job.service, now);
        let team_fraction = self.team_fraction(job, service.level.fraction(precedence));
        let draw = service
            .level
            .draw_of_team(precedence, job.draw, team_fraction);
        service
            .level
            .decide(precedence, urgency, draw, reserve, free)
    }

    /// Returns the number of free slots of a service that are assigned to this entry.
    fn free_own_slots(&self, service: &str, now: Time) -> u32 {
        let replicas = self.replicas.borrow();
        let open = replicas.of(service).filter(|(_, it)| it.open(now));
        open.map(|(_, it)| it.own_slots.saturating_sub(it.own_requests))
            .sum()
    }

    /// Recomputes the levels from the latest reports.
    pub(super) fn update_admission(&self, now: Time) {
        let config = self.config.borrow().clone();
        let mut admission = self.admission.borrow_mut();
        admission.retain(|it, _| {
            let config = config.as_ref();
            config.is_some_and(|config| config.ranks_requests_for(it))
        });
        for (name, service) in admission.iter_mut() {
            service.arrivals.expire(now);
            let demands = self.demands(name, &service.arrivals, now);
            service.level = Level::deal(demands.into_iter(), self.capacity(name, now));
            service.slot_interval_s = self.slot_interval_s(name, now);
            self.show_level(name, service, now);
        }
    }

    /// Returns the demand for a service at this entry, and as others reported it.
    fn demands(&self, service: &str, arrivals: &Arrivals, now: Time) -> Vec<(Precedence, f64)> {
        let hash = service_hash(service);
        let near = self.near_loads.borrow();
        let far = self.far_loads.borrow();
        let reported = near.demands().chain(far.demands());
        let reported = reported.filter(|(_, it)| it.service == hash);
        let reported = reported.map(|(_, it)| (it.precedence, it.replicas));
        arrivals.replicas(now).chain(reported).collect()
    }

    /// Returns the number of replicas of usual speed that serve a service. The demand of a silent
    /// region is unknown, and so is the room that it leaves: its replicas don't count either.
    fn capacity(&self, service: &str, now: Time) -> f64 {
        let settings = self.node.settings();
        let oldest = self.oldest_versions(service).allowed;
        let far = self.far_loads.borrow();
        let reports = |it: &Replica| it.near || far.has(settings.region(&it.listing.zone));
        let replicas = self.replicas.borrow();
        let serving = |(_, it): &(ReplicaKey, &Replica)| {
            it.open(now) && oldest <= it.version(now) && reports(it)
        };
        let serving = replicas.of(service).filter(serving);
        admission_level::capacity(serving.map(|(_, it)| it.slowness.factor()).collect())
    }

    /// Returns the interval at which one of this entry's slots becomes free while all are in use,
    /// in seconds.
    fn slot_interval_s(&self, service: &str, now: Time) -> f64 {
        let (Some(speed), Some(slots)) = (self.speed(service), self.slots_of(service)) else {
            return 0.0;
        };
        let replicas = self.replicas.borrow();
        let open = replicas.of(service).filter(|(_, it)| it.open(now));
        let own_slots = open.map(|(_, it)| it.own_slots).sum();
        admission_level::slot_interval_s(&speed, slots, own_slots)
    }

    /// Sets the metric of a level, and logs when a shortage begins or ends.
    fn show_level(&self, name: &Rc<str>, service: &mut ServiceAdmission, now: Time) {
        for share in service.level.shares() {
            let labels = AdmissionLabels {
                service: name.to_string(),
                team_priority: share.precedence.team,
                priority: share.precedence.route,
            };
            let fractions = &self.node.metrics.admitted_fraction;
            fractions.get_or_create(&labels).set(share.fraction);
        }
        let short = service.level.is_short();
        if service.logged_short == short {
            return;
        }
        let Some(log) = self.node.logs.line(Topic::State) else {
            return;
        };
        service.logged_short = short;
        info!(log, "admission level"; "service" => &**name, "short" => short,
            "shares" => describe(service.level.shares()),
            "capacity" => service.level.capacity(),
            "near_reports" => self.near_loads.borrow().len(),
            "near_age_ms" => self.near_loads.borrow().age(now).as_millis() as u64,
            "far_reports" => self.far_loads.borrow().len(),
            "far_age_ms" => self.far_loads.borrow().age(now).as_millis() as u64);
    }

    /// Returns the demand at this entry, as a report.
    pub(super) fn own_demands(&self) -> Vec<datagram::Demand> {
        self.report_demands(self.own_demand_rows())
    }

    /// Returns the demand at all entries of this region, as a report.
    pub(super) fn region_demands(&self) -> Vec<datagram::Demand> {
        let mut rows = self.own_demand_rows();
        let near = self.near_loads.borrow();
        rows.extend(near.demands().map(|(_, it)| *it));
        self.report_demands(rows)
    }

    fn own_demand_rows(&self) -> Vec<Demand> {
        let now = self.node.clock.now();
        let admission = self.admission.borrow();
        let services = admission.iter().flat_map(|(name, service)| {
            let rows = service.arrivals.replicas(now);
            rows.map(|(precedence, replicas)| Demand {
                service: service_hash(name),
                precedence,
                replicas,
            })
        });
        services.collect()
    }

    /// Sums the demand by service and precedence, and encodes the most urgent rows.
    fn report_demands(&self, mut rows: Vec<Demand>) -> Vec<datagram::Demand> {
        rows.sort_by_key(|it| (it.precedence, it.service));
        let same = |a: &Demand, b: &Demand| (a.precedence, a.service) == (b.precedence, b.service);
        let groups = rows.chunk_by(same).take(MAX_DEMANDS);
        let encode = |rows: &[Demand]| {
            let units =
                rows.iter().map(|it| it.replicas).sum::<f64>() * datagram::Demand::WORK_UNITS;
            // Rounded at random, so that small demands at many entries add up correctly.
            let rounding: f64 = self.node.with_rng(Rng::random);
            datagram::Demand {
                service: rows[0].service,
                team_priority: saturate(rows[0].precedence.team),
                route_priority: saturate(rows[0].precedence.route),
                work: (units + rounding) as u16,
            }
        };
        groups.map(encode).collect()
    }
}

/// Returns a priority as a field of a datagram; the largest value stands for larger ones as well.
fn saturate(priority: u32) -> u8 {
    priority.min(u32::from(u8::MAX)) as u8
}

/// Returns the identifier of a service in datagrams.
fn service_hash(service: &str) -> u32 {
    rendezvous::hash(service.as_bytes()) as u32
}

fn describe(shares: &[Share]) -> String {
    let share = |it: &Share| {
        let Precedence { team, route } = it.precedence;
        format!("{team}.{route}:{:.2}*{:.2}", it.demand, it.fraction)
    };
    let shares: Vec<String> = shares.iter().map(share).collect();
    shares.join(",")
}
