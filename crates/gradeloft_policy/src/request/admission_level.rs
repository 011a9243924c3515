//! Level of admission of a service whose requests the operator ranks by precedence.
//!
//! While demand exceeds the replicas, each request that is placed displaces another one. Every
//! entry knows the demand of the whole deployment by precedence, from its own arrivals and the
//! reports of others, and deals the replicas to it from the most urgent precedence down. A
//! precedence whose demand fits only in part is admitted with that fraction. Entries with the same
//! reports compute the same fractions, so they need not agree on anything, and as the fractions
//! depend on demand alone and not on what was served, they don't oscillate.

use std::{collections::BTreeMap, fmt};

use crate::{
    clock::Time,
    process::{document::Speed, slot_split::RequestRate},
    request::{contention::Precedence, placement::Urgency},
};

/// Time constant over which replica time is averaged, in seconds. Reports of others are up to half a
/// second old, and the fractions have to follow a step of demand within a second: in the remaining
/// half second, the average takes in six sevenths of the step. An entry sees few requests in this
/// time, but the fractions come from the sum over all entries.
const WINDOW_S: f64 = 0.25;
/// Requests a second below which a precedence counts as without demand at an entry.
const MIN_RATE: f64 = 0.01;
/// Lowest fraction of a precedence, as a share of the fraction of all demand that fits: the least
/// urgent callers are served at least a quarter as often as callers are on average.
const FLOOR_SHARE: f64 = 0.25;
/// Replica time that is admitted, as a share of the capacity. An admitted request is placed only
/// where its entry knows of a slot in time. While demand is several times the capacity, about half of
/// the admitted requests find none, since one entry's slots are full at times while those of others
/// are free; an admitted request without a slot is refused and takes no replica time.
pub const ADMITTED_SHARE: f64 = 2.0;
/// Share of the capacity from which demand counts as a shortage. Arrivals of a tenth of a second
/// vary by more than the rest, so requests wait for slots from here on.
const SHORT_FROM: f64 = 0.9;
/// Ratio of the slowness of a replica to the usual one from which the replica counts as less than a
/// whole one. Forecasts of single replicas vary by less than this at random.
const SLOW_FROM: f64 = 1.5;

/// Requests of one precedence that arrive at an entry.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Requests per second.
    requests: RequestRate,
    /// Replica time per second that they take, in seconds.
    replicas: RequestRate,
    /// Strictest objective among them for the time to the first token, in milliseconds.
    objective_ms: f64,
}

/// Requests for a service that arrive at one entry, by precedence.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    by_precedence: BTreeMap<Precedence, Arrival>,
}

impl Arrivals {
    /// Counts a request that takes `work_ms` of replica time and has an objective of
    /// `objective_ms` for its first token, both in milliseconds.
    pub fn count(&mut self, precedence: Precedence, work_ms: f64, objective_ms: f64, now: Time) {
        let arrival = self.by_precedence.entry(precedence).or_insert(Arrival {
            requests: RequestRate::default(),
            replicas: RequestRate::with_window(WINDOW_S),
            objective_ms,
        });
        arrival.requests.count(now);
        arrival.replicas.add(work_ms / 1000.0, now);
        arrival.objective_ms = arrival.objective_ms.min(objective_ms);
    }

    /// Drops the precedences of which no requests arrive any longer.
    pub fn expire(&mut self, now: Time) {
        self.by_precedence
            .retain(|_, it| MIN_RATE < it.requests.rate(now));
    }

    /// Iterates over the number of replicas that each precedence keeps busy, the most urgent first.
    pub fn replicas(&self, now: Time) -> impl Iterator<Item = (Precedence, f64)> {
        let rows = self.by_precedence.iter();
        rows.map(move |(precedence, it)| (*precedence, it.replicas.rate(now)))
    }

    /// Returns the room that a request leaves to more urgent ones, if any arrive at this entry,
    /// while one of the entry's slots becomes free every `slot_interval_s` seconds.
    pub fn reserve(
        &self,
        precedence: Precedence,
        slot_interval_s: f64,
        now: Time,
    ) -> Option<Reserve> {
        let more_urgent = || self.by_precedence.range(..precedence).map(|(_, it)| it);
        let rate: f64 = more_urgent().map(|it| it.requests.rate(now)).sum();
        let objectives = more_urgent().map(|it| it.objective_ms);
        let first_token_ms = objectives.min_by(f64::total_cmp)?;
        let expected = rate * slot_interval_s;
        Some(Reserve {
            slots: expected + expected.sqrt(),
            first_token_ms,
        })
    }
}

/// Room that a request leaves to more urgent ones that arrive before the next slot becomes free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// Number of the entry's free slots.
    pub slots: f64,
    /// Longest time to the first token, in milliseconds: the strictest objective of the more urgent
    /// requests. Replicas that answer later than this are of no use to them.
    pub first_token_ms: f64,
}

/// Demand of one precedence, and what is admitted of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Precedence of the requests.
    pub precedence: Precedence,
    /// Number of replicas that the requests keep busy.
    pub demand: f64,
    /// Fraction of the requests that is admitted.
    pub fraction: f64,
}

/// Level of admission of a service. The default admits everything.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Level {
    /// Shares by precedence, the most urgent first; each precedence at most once.
    shares: Vec<Share>,
    /// Number of replicas that serve the requests.
    capacity: f64,
}

impl Level {
    /// Deals `capacity` replicas to demand, given in numbers of replicas by precedence in any
    /// order; several rows of one precedence add up.
    ///
    /// ```
    /// use gradeloft_policy::request::{
    ///     admission_level::{ADMITTED_SHARE, Level},
    ///     contention::Precedence,
    /// };
    /// let route = |route| Precedence { team: 0, route };
    /// let capacity = 10.0 / ADMITTED_SHARE;
    /// let level = Level::deal([(route(0), 6.0), (route(1), 8.0)].into_iter(), capacity);
    /// assert_eq!(level.fraction(route(0)), 1.0);
    /// assert_eq!(level.fraction(route(1)), 0.5);
    /// ```
    pub fn deal(demands: impl Iterator<Item = (Precedence, f64)>, capacity: f64) -> Level {
        let mut sums: BTreeMap<Precedence, f64> = BTreeMap::new();
        for (precedence, replicas) in demands {
            *sums.entry(precedence).or_default() += replicas;
        }
        let total: f64 = sums.values().sum();
        let admitted = capacity * ADMITTED_SHARE;
        let floor = FLOOR_SHARE * fitting(total, admitted);
        let mut left = admitted - floor * total;
        let shares = sums.into_iter().map(|(precedence, demand)| {
            let above_floor = (1.0 - floor) * demand;
            let fraction = floor + (1.0 - floor) * fitting(above_floor, left);
            left = (left - above_floor).max(0.0);
            Share {
                precedence,
                demand,
                fraction,
            }
        });
        Level {
            shares: shares.collect(),
            capacity,
        }
    }

    /// Returns the shares by precedence, the most urgent first.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    /// Returns the number of replicas that serve the requests.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns the fraction of the requests of a precedence that is admitted. Without known demand,
    /// it is that of the next more urgent precedence with demand.
    pub fn fraction(&self, precedence: Precedence) -> f64 {
        let known = self.shares.iter().rev();
        let mut known = known.skip_while(|it| precedence < it.precedence);
        known.next().map_or(1.0, |it| it.fraction)
    }

    /// Returns the draw by which [`Level::decide`] admits the fraction `team_fraction` of a team's
    /// requests, where the requests of the precedence are admitted by draws in 0..1.
    pub fn draw_of_team(&self, precedence: Precedence, draw: f64, team_fraction: f64) -> f64 {
        if team_fraction <= 0.0 {
            return 1.0;
        }
        draw * self.fraction(precedence) / team_fraction
    }

    /// Returns whether demand exceeds the capacity, or nearly so.
    pub fn is_short(&self) -> bool {
        let demand: f64 = self.shares.iter().map(|it| it.demand).sum();
        self.capacity * SHORT_FROM < demand
    }

    /// Decides on a request. `draw` is a random number in 0..1 that stays the same for the life of
    /// the request, `reserve` the room that it leaves to more urgent requests, and `free` the
    /// number of free slots that are assigned to the entry.
    pub fn decide(
        &self,
        precedence: Precedence,
        urgency: Urgency,
        draw: f64,
        reserve: Option<Reserve>,
        free: u32,
    ) -> Verdict {
        if urgency == Urgency::Resumed || !self.is_short() {
            return Verdict::Unlimited;
        }
        let fraction = self.fraction(precedence);
        let Urgency::OnTime(left_ms) = urgency else {
            return match fraction < 1.0 {
                true => Verdict::Late,
                false => Verdict::Unlimited,
            };
        };
        if fraction <= draw {
            return Verdict::Shed;
        }
        match reserve {
            Some(it) if f64::from(free) <= it.slots => Verdict::Reserved,
            Some(it) => Verdict::InTime(left_ms.min(it.first_token_ms)),
            None if fraction < 1.0 => Verdict::InTime(left_ms),
            None => Verdict::Unlimited,
        }
    }
}

/// Returns the fraction of demand that fits into a capacity.
fn fitting(demand: f64, capacity: f64) -> f64 {
    if demand <= capacity {
        1.0
    } else {
        capacity / demand
    }
}

/// Decision of a [`Level`] on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request may be placed wherever there is room.
    Unlimited,
    /// The request may be placed where its response is forecast to begin within this many
    /// milliseconds, and may wait for such a place.
    InTime(f64),
    /// The free slots are left to more urgent requests; the request may wait for others.
    Reserved,
    /// The request is refused at once: it is beyond the fraction that is admitted.
    Shed,
    /// The request is refused at once: it is late, and others of its precedence that are not are
    /// being refused.
    Late,
}

impl Verdict {
    /// Returns whether the request is refused at once.
    pub fn refuses(self) -> bool {
        matches!(self, Verdict::Late | Verdict::Shed)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Unlimited => f.write_str("unlimited"),
            Verdict::InTime(within_ms) => write!(f, "in_time:{within_ms:.0}"),
            Verdict::Reserved => f.write_str("reserved"),
            Verdict::Shed => f.write_str("shed"),
            Verdict::Late => f.write_str("late"),
        }
    }
}

/// Returns the number of replicas of usual speed that replicas with these slownesses
/// ([`Slowness::factor`](crate::request::forecast::Slowness::factor)) amount to.
///
/// All forecasts are too short while requests of other entries are unseen, so a replica counts as
/// slow only in comparison with the others.
///
/// ```
/// use gradeloft_policy::request::admission_level::capacity;
/// assert_eq!(capacity(vec![1.2, 1.2, 1.1, 2.4]), 3.5);
/// ```
pub fn capacity(mut slownesses: Vec<f64>) -> f64 {
    slownesses.sort_by(f64::total_cmp);
    let Some(usual) = slownesses.get(slownesses.len() / 2).copied() else {
        return 0.0;
    };
    let amount = |it: &f64| {
        if *it <= usual * SLOW_FROM {
            1.0
        } else {
            usual / it
        }
    };
    slownesses.iter().map(amount).sum()
}

/// Returns the interval at which one of an entry's `own_slots` slots becomes free while all are in
/// use, in seconds, at replicas with `slots` slots each.
pub fn slot_interval_s(speed: &Speed, slots: u32, own_slots: u32) -> f64 {
    let step_ms = speed.step_ms + speed.step_ms_per_request * f64::from(slots);
    speed.usual_response * step_ms / 1000.0 / f64::from(own_slots.max(1))
}
