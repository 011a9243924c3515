//! View and decisions of one entry.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Listing, Replica, ReplicaKey, Replicas},
        slot_split::{self, ReplicaSlots, RequestRate},
    },
    rendezvous,
    request::{
        caller_age::TimeBudgets,
        forecast,
        placement::{self, Requirements, Uncertainty, Urgency},
        shortage::Shortage,
    },
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::load::{Load, Scheme};

/// Service that all requests are for.
const SERVICE: &str = "model";
/// Availability zone of all entries and replicas; distance is not simulated.
const ZONE: &str = "zone";
/// Requests beyond its slots that the baselines send to a replica.
const BASELINE_MAX_WAITING: u32 = 2;
/// Retry delay that the baselines send to refused callers, in milliseconds.
const BASELINE_RETRY_MS: u64 = 250;

/// A request as an entry receives it.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Route of the request's kind.
    pub route: Rc<str>,
    /// Number of prompt tokens.
    pub prompt_tokens: f64,
    /// Target time to the first token, counted from the first attempt.
    pub first_token_goal: Duration,
    /// Time that the caller still waits.
    pub time_left: Duration,
}

/// Decision of an entry on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Refused; the caller is to retry after this time.
    Refused(Duration),
    /// Sent to a replica.
    Sent {
        /// Index of the replica.
        replica: usize,
        /// Rank in its queue.
        rank: u32,
        /// Expected time to the first token at the published speed, in milliseconds.
        expected_ms: f64,
    },
}

/// In-flight requests of one entry at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// All in-flight requests.
    pub requests: u32,
    /// In-flight requests without a first token.
    pub waiting: u32,
}

/// An emulated entry.
pub struct Entry {
    idx: usize,
    replicas: Replicas,
    keys: Vec<ReplicaKey>,
    /// Replicas whose slots were last split.
    split: Vec<ReplicaKey>,
    time_budgets: TimeBudgets,
    shortage: Shortage,
    /// Rate of all requests.
    demand: RequestRate,
    /// Rate of requests beyond the entry's own slots.
    overflow: RequestRate,
    /// Time of the newest view of the other entries' requests.
    view_time: Time,
    /// Counter for the round-robin baseline.
    turn: usize,
}

impl Entry {
    /// Creates the entry with an index among the entries of a load.
    pub fn new(idx: usize, load: &Load) -> Entry {
        let mut replicas = Replicas::default();
        let keys = (0..load.replicas).map(|it| replicas.apply_listing(listing(it, load)));
        let keys = keys.collect();
        Entry {
            idx,
            replicas,
            keys,
            split: Vec::new(),
            time_budgets: TimeBudgets::default(),
            shortage: Shortage::default(),
            demand: RequestRate::default(),
            overflow: RequestRate::default(),
            view_time: Time::ZERO,
            turn: idx,
        }
    }

    /// Decides on a request.
    pub fn decide(
        &mut self,
        load: &Load,
        request: &IncomingRequest,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        self.demand.count(now);
        let age = self
            .time_budgets
            .age(&request.route, request.time_left, now);
        let urgency = Urgency::of(request.first_token_goal.saturating_sub(age));
        let chosen = match load.scheme {
            Scheme::Gradeloft => self.place(load, request, urgency, now, rng),
            baseline => self
                .place_by_baseline(baseline, rng)
                .map(|it| (it, urgency)),
        };
        let has_own_slot = chosen.is_some_and(|(it, _)| self.has_own_slot(it));
        if !has_own_slot {
            self.overflow.count(now);
        }
        let Some((replica, urgency)) = chosen else {
            return Decision::Refused(match load.scheme {
                Scheme::Gradeloft => {
                    let room_in = Duration::ZERO;
                    self.shortage
                        .record_refusal(request.time_left, room_in, now, rng)
                }
                _ => Duration::from_millis(BASELINE_RETRY_MS),
            });
        };
        let target = &self.replicas.get(self.keys[replica]);
        let queue = target.map(|it| it.queue(&load.speed));
        let expected_ms = queue.map_or(0.0, |it| {
            forecast::first_token_ms(&load.speed, it, request.prompt_tokens)
        });
        Decision::Sent {
            replica,
            rank: match load.scheme {
                Scheme::Gradeloft => urgency.rank(1),
                _ => 5,
            },
            expected_ms,
        }
    }

    fn place(
        &self,
        load: &Load,
        request: &IncomingRequest,
        urgency: Urgency,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, Urgency)> {
        let open = || self.replicas.of(SERVICE).filter(|(_, it)| it.open(now));
        let age = now.since(self.view_time);
        let others = load.entries - 1;
        let rate = self.demand.rate(now) * others as f64 / open().count().max(1) as f64;
        let unseen_requests = slot_split::unseen_requests(rate, age);
        let spare = open().map(|(_, it)| it.spare(unseen_requests)).sum();
        let requirements = Requirements {
            zone: ZONE,
            min_version: None,
            resumed_version: None,
            tried: &[],
            urgency,
            prompt_tokens: request.prompt_tokens,
            speed: Some(&load.speed),
            near: Uncertainty {
                overflow_probability: slot_split::overflow_probability(
                    spare,
                    others,
                    self.overflow.rate(now),
                    age,
                ),
                unseen_requests,
            },
            far: Uncertainty::default(),
        };
        let urgencies = [Some(urgency), urgency.fallback()];
        urgencies.into_iter().flatten().find_map(|urgency| {
            let requirements = Requirements {
                urgency,
                ..requirements
            };
            let key = placement::choose(self.replicas.of(SERVICE), requirements, now, rng)?;
            Some((self.keys.iter().position(|it| *it == key)?, urgency))
        })
    }

    fn place_by_baseline(&mut self, scheme: Scheme, rng: &mut ChaCha8Rng) -> Option<usize> {
        let eligible: Vec<(usize, u32)> = self
            .keys
            .iter()
            .enumerate()
            .filter_map(|(idx, key)| Some((idx, self.replicas.get(*key)?)))
            .filter(|(_, it)| !it.listing.draining)
            .filter(|(_, it)| it.load() < it.listing.slots + BASELINE_MAX_WAITING)
            .map(|(idx, it)| (idx, it.load()))
            .collect();
        if eligible.is_empty() {
            return None;
        }
        self.turn += 1;
        let draw = |rng: &mut ChaCha8Rng| eligible[rng.random_range(0..eligible.len())];
        let chosen = match scheme {
            Scheme::FewestRequests | Scheme::Gradeloft => {
                eligible.iter().copied().min_by_key(|it| it.1)
            }
            Scheme::RoundRobin => Some(eligible[self.turn % eligible.len()]),
            Scheme::TwoChoices => {
                Some([draw(rng), draw(rng)]).and_then(|it| it.into_iter().min_by_key(|it| it.1))
            }
        };
        chosen.map(|it| it.0)
    }

    /// Returns whether the entry has a free slot of its own at a replica.
    fn has_own_slot(&self, replica: usize) -> bool {
        let replica = self.replicas.get(self.keys[replica]);
        replica.is_some_and(Replica::has_free_own_slot)
    }

    /// Records that a request was sent to a replica.
    pub fn record_sent(&mut self, replica: usize, prompt_tokens: f64) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_requests += 1;
            replica.own_waiting += 1;
            replica.own_waiting_tokens += prompt_tokens;
        }
    }

    /// Records the first token of an answer and the time that it took.
    pub fn record_first_token(
        &mut self,
        replica: usize,
        prompt_tokens: f64,
        expected_ms: f64,
        elapsed: Duration,
    ) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_waiting -= 1;
            replica.own_waiting_tokens -= prompt_tokens;
            let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
            replica.slowness.observe(expected_ms, elapsed_ms);
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, replica: usize) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_requests -= 1;
        }
    }

    /// Returns the in-flight requests of this entry at each replica.
    pub fn in_flight(&self) -> Vec<InFlight> {
        let replicas = self.keys.iter().filter_map(|it| self.replicas.get(*it));
        replicas
            .map(|it| InFlight {
                requests: it.own_requests,
                waiting: it.own_waiting,
            })
            .collect()
    }

    /// Applies a view: the other entries' in-flight requests at each replica, and which replicas are
    /// available.
    pub fn apply_view(&mut self, others: &[InFlight], available: &[bool], load: &Load, now: Time) {
        self.view_time = now;
        for (idx, key) in self.keys.iter().enumerate() {
            if let Some(replica) = self.replicas.get_mut(*key) {
                (replica.other_requests, replica.others_waiting) =
                    (others[idx].requests, others[idx].waiting);
                replica.listing.draining = !available[idx];
            }
        }
        let open: Vec<ReplicaKey> = self
            .replicas
            .of(SERVICE)
            .filter(|(_, it)| it.open(now))
            .map(|(key, _)| key)
            .collect();
        if open == self.split {
            return;
        }
        self.split.clone_from(&open);
        let slots = open.iter().filter_map(|it| self.replicas.get(*it));
        let slots: Vec<ReplicaSlots> = slots
            .map(|it| ReplicaSlots {
                key: rendezvous::hash(it.listing.id.as_bytes()),
                slots: it.listing.slots,
            })
            .collect();
        let entries = (0..load.entries).map(|it| rendezvous::hash(&it.to_le_bytes()));
        let entries: Vec<u64> = entries.collect();
        let shares = slot_split::parts(self.idx, &entries, &slots);
        for (key, share) in open.into_iter().zip(shares) {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.own_slots = share;
            }
        }
    }
}

fn listing(idx: usize, load: &Load) -> Listing {
    Listing {
        id: format!("replica-{idx}").into(),
        born: None,
        service: SERVICE.into(),
        address: ([10, 0, (idx >> 8) as u8, idx as u8], 80).into(),
        zone: ZONE.to_owned(),
        slots: load.slots,
        draining: false,
        has_model: true,
        version: Some(1),
        warmup_left_ms: 0,
    }
}
