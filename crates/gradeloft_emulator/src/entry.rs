//! One entry's view and decisions.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        replicas::{Listing, Replica, ReplicaKey, Replicas},
        slot_split::{self, RequestRate},
    },
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

/// Service of all requests.
const SERVICE: &str = "model";
/// Availability zone of everything: distance plays no part here.
const ZONE: &str = "zone";
/// Requests beyond its slots that a baseline sends to a replica.
const BASELINE_WAITING: u32 = 2;
/// When a baseline lets callers come back, in milliseconds.
const BASELINE_BACK_MS: u64 = 250;

/// A request as an entry gets it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Name of its kind's route.
    pub route: Rc<str>,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Time within which the first token is to come, for one that comes for the first time.
    pub goal: Duration,
    /// How long its caller waits from now on.
    pub left: Duration,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Back to its caller, who is to come again after this time.
    Refused(Duration),
    /// To a replica.
    Sent {
        /// Position of the replica.
        replica: usize,
        /// Rank in its queue.
        rank: u32,
        /// Time until its first token by the published speed, in milliseconds.
        expected_ms: f64,
    },
}

/// Requests of one entry at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    /// Requests.
    pub running: u32,
    /// Of those, requests whose answer has not begun.
    pub waiting: u32,
}

/// An entry.
pub struct Entry {
    position: usize,
    replicas: Replicas,
    keys: Vec<ReplicaKey>,
    patience: TimeBudgets,
    shortage: Shortage,
    /// All requests.
    demand: RequestRate,
    /// Requests beyond its own slots.
    beyond: RequestRate,
    /// When the others told last what they have.
    told: Time,
    turn: usize,
}

impl Entry {
    /// The entry at a position among all, before the replicas of a load.
    pub fn new(position: usize, load: &Load) -> Entry {
        let mut replicas = Replicas::default();
        let keys = (0..load.replicas).map(|it| replicas.apply_listing(listing(it, load)));
        let keys = keys.collect();
        Entry {
            position,
            replicas,
            keys,
            patience: TimeBudgets::default(),
            shortage: Shortage::default(),
            demand: RequestRate::default(),
            beyond: RequestRate::default(),
            told: Time::ZERO,
            turn: position,
        }
    }

    /// Decides on a request.
    pub fn decide(
        &mut self,
        load: &Load,
        asked: &Asked,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        self.demand.count(now);
        let age = self.patience.age(&asked.route, asked.left, now);
        let urgency = Urgency::of(asked.goal.saturating_sub(age));
        let chosen = match load.scheme {
            Scheme::Gradeloft => self.place(load, asked, urgency, now, rng),
            baseline => self.baseline(baseline, rng).map(|it| (it, urgency)),
        };
        let within = chosen.is_some_and(|(it, _)| self.is_within(it));
        if !within {
            self.beyond.count(now);
        }
        let Some((replica, urgency)) = chosen else {
            return Decision::Refused(match load.scheme {
                Scheme::Gradeloft => self.shortage.record_refusal(asked.left, now, rng),
                _ => Duration::from_millis(BASELINE_BACK_MS),
            });
        };
        let found = &self.replicas.get(self.keys[replica]);
        let queue = found.map(|it| it.queue(&load.speed));
        let expected_ms = queue.map_or(0.0, |it| {
            forecast::first_token_ms(&load.speed, it, asked.prompt)
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
        asked: &Asked,
        urgency: Urgency,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, Urgency)> {
        let open = || self.replicas.of(SERVICE).filter(|(_, it)| it.open(now));
        let age = now.since(self.told);
        let others = load.entries - 1;
        let rate = self.demand.rate(now) * others as f64 / open().count().max(1) as f64;
        let unseen_requests = slot_split::unseen_requests(rate, age);
        let spare = open().map(|(_, it)| it.spare(unseen_requests)).sum();
        let wish = Requirements {
            zone: ZONE,
            min_version: None,
            resumed_version: None,
            tried: &[],
            urgency,
            prompt_tokens: asked.prompt,
            speed: Some(&load.speed),
            near: Uncertainty {
                overflow_probability: slot_split::overflow_probability(
                    spare,
                    others,
                    self.beyond.rate(now),
                    age,
                ),
                unseen_requests,
            },
            far: Uncertainty::default(),
        };
        let urgencies = [Some(urgency), urgency.fallback()];
        urgencies.into_iter().flatten().find_map(|urgency| {
            let wish = Requirements { urgency, ..wish };
            let key = placement::choose(self.replicas.of(SERVICE), wish, now, rng)?;
            Some((self.keys.iter().position(|it| *it == key)?, urgency))
        })
    }

    fn baseline(&mut self, scheme: Scheme, rng: &mut ChaCha8Rng) -> Option<usize> {
        let known: Vec<(usize, u32)> = self
            .keys
            .iter()
            .enumerate()
            .filter_map(|(idx, key)| Some((idx, self.replicas.get(*key)?)))
            .filter(|(_, it)| !it.listing.draining)
            .filter(|(_, it)| it.load() < it.listing.slots + BASELINE_WAITING)
            .map(|(idx, it)| (idx, it.load()))
            .collect();
        if known.is_empty() {
            return None;
        }
        self.turn += 1;
        let drawn = |rng: &mut ChaCha8Rng| known[rng.random_range(0..known.len())];
        let chosen = match scheme {
            Scheme::FewestRequests | Scheme::Gradeloft => {
                known.iter().copied().min_by_key(|it| it.1)
            }
            Scheme::RoundRobin => Some(known[self.turn % known.len()]),
            Scheme::TwoChoices => {
                Some([drawn(rng), drawn(rng)]).and_then(|it| it.into_iter().min_by_key(|it| it.1))
            }
        };
        chosen.map(|it| it.0)
    }

    /// Whether it has a free slot of its own at a replica.
    fn is_within(&self, replica: usize) -> bool {
        let replica = self.replicas.get(self.keys[replica]);
        replica.is_some_and(Replica::has_free_own_slot)
    }

    /// Counts a request with a prompt as sent to a replica.
    pub fn sent(&mut self, replica: usize, prompt: f64) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_requests += 1;
            replica.own_waiting += 1;
            replica.own_waiting_tokens += prompt;
        }
    }

    /// A request's answer began, so long after it was sent.
    pub fn began(&mut self, replica: usize, prompt: f64, expected_ms: f64, took: Duration) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_waiting -= 1;
            replica.own_waiting_tokens -= prompt;
            let took_ms = took.as_secs_f64() * 1000.0;
            replica.slowness.observe(expected_ms, took_ms);
        }
    }

    /// A request's answer ended.
    pub fn ended(&mut self, replica: usize) {
        if let Some(replica) = self.replicas.get_mut(self.keys[replica]) {
            replica.own_requests -= 1;
        }
    }

    /// What it has at each replica.
    pub fn held(&self) -> Vec<Held> {
        let replicas = self.keys.iter().filter_map(|it| self.replicas.get(*it));
        replicas
            .map(|it| Held {
                running: it.own_requests,
                waiting: it.own_waiting,
            })
            .collect()
    }

    /// Takes in what other entries have at each replica, and which replicas are there.
    pub fn learn(&mut self, others: &[Held], here: &[bool], load: &Load, now: Time) {
        self.told = now;
        for (idx, key) in self.keys.iter().enumerate() {
            if let Some(replica) = self.replicas.get_mut(*key) {
                (replica.other_requests, replica.others_waiting) =
                    (others[idx].running, others[idx].waiting);
                replica.listing.draining = !here[idx];
            }
        }
        let open: Vec<ReplicaKey> = self
            .replicas
            .of(SERVICE)
            .filter(|(_, it)| it.open(now))
            .map(|(key, _)| key)
            .collect();
        let slots = vec![load.slots; open.len()];
        let parts = slot_split::parts(self.position, load.entries, &slots);
        for (key, part) in open.into_iter().zip(parts) {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.own_slots = part;
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
