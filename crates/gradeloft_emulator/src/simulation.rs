//! Event loop of a run, in order of virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    rc::Rc,
    time::Duration,
};

use gradeloft_policy::{clock::Time, request::contention::Precedence};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    engine::{Engine, Job, Progress},
    entry::{Decision, Entry, InFlight, IncomingRequest},
    load::{Load, Outage},
    outcome::{Outcome, RunResult},
};

/// One-way latency between a caller and an entry, and between an entry and a replica, in
/// microseconds.
const CALLER_LATENCY_US: u64 = 3_000;
const REPLICA_LATENCY_US: u64 = 2_000;
/// One-way latency between entries, in microseconds.
const ENTRY_LATENCY_US: u64 = 3_000;
/// Longest gap between the tokens of an answer that counts as in time, in microseconds.
const MAX_TOKEN_GAP_US: u64 = 300_000;
/// Minimum and maximum size of a prompt or an answer, as multiples of the mean of its kind.
const MIN_SIZE: f64 = 0.2;
const MAX_SIZE: f64 = 3.0;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller's request arrives at an entry.
    EntryArrival(usize),
    /// A pass of a replica ends; ignored if the replica's epoch has changed since.
    PassEnd { replica: usize, epoch: u32 },
    /// A replica becomes unavailable or available.
    Availability { replica: usize, available: bool },
    /// A request arrives at a replica.
    ReplicaArrival {
        request: usize,
        replica: usize,
        rank: u32,
    },
    /// A request whose response does not end reaches its deadline.
    Expired(usize),
    /// Entries send their views to each other.
    ViewsSent,
    /// Views arrive at the other entries.
    ViewsReceived(usize),
}

struct Caller {
    kind: usize,
    prompt_tokens: f64,
    answer_tokens: f64,
    first_sent: Time,
    attempts: u32,
    entry: usize,
    /// Replica, time of sending, and expected time to the first token in milliseconds.
    placed: Option<(usize, Time, f64)>,
    /// Time at which the caller received the latest tokens.
    last_tokens: Option<Time>,
    in_time: bool,
    outcome: Option<Outcome>,
}

/// State of all entries at one time, as they send it to each other.
struct View {
    /// In-flight requests by entry and replica.
    in_flight: Vec<Vec<InFlight>>,
    /// Availability of each replica.
    available: Vec<bool>,
    /// Demand by entry.
    demands: Vec<Vec<(Precedence, f64)>>,
}

struct Simulation<'a> {
    load: &'a Load,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    callers: Vec<Caller>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    /// Number of times that each replica became unavailable or available.
    epochs: Vec<u32>,
    available: Vec<bool>,
    /// Views in transit, by key.
    views: HashMap<usize, View>,
    routes: Vec<Rc<str>>,
}

/// Simulates a load; the same load and seed give the same result.
pub fn simulate(load: &Load, seed: u64) -> RunResult {
    let mut simulation = Simulation::new(load, seed);
    simulation.schedule_initial_events();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.result()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, seed: u64) -> Simulation<'a> {
        let routes = (0..load.kinds.len()).map(|it| format!("kind-{it}").into());
        Simulation {
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            callers: Vec::new(),
            entries: (0..load.entries).map(|it| Entry::new(it, load)).collect(),
            engines: vec![Engine::new(load.speed, load.slots); load.replicas],
            epochs: vec![0; load.replicas],
            available: vec![true; load.replicas],
            views: HashMap::new(),
            routes: routes.collect(),
        }
    }

    /// Draws the callers and schedules all events that don't depend on decisions of the entries.
    fn schedule_initial_events(&mut self) {
        let mut at = Time::ZERO;
        let end = Time::ZERO.after_ms(self.load.arrivals_ms);
        loop {
            let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate_at(at.0 / 1_000);
            at = at.after(Duration::from_secs_f64(gap_s));
            if end <= at {
                break;
            }
            let caller = self.draw_caller(at);
            self.callers.push(caller);
            let event = Event::EntryArrival(self.callers.len() - 1);
            self.push(Time(at.0 + CALLER_LATENCY_US), event);
        }
        let exchanges = self.load.arrivals_ms / self.load.exchange_interval_ms.max(1);
        for idx in 0..exchanges {
            self.push(
                Time::ZERO.after_ms(idx * self.load.exchange_interval_ms),
                Event::ViewsSent,
            );
        }
        for outage in &self.load.outages {
            for replica in 0..outage.replicas {
                let start = Time::ZERO.after_ms(outage.start_ms);
                self.push(
                    start,
                    Event::Availability {
                        replica,
                        available: false,
                    },
                );
                let end = start.after_ms(outage.duration_ms);
                self.push(
                    end,
                    Event::Availability {
                        replica,
                        available: true,
                    },
                );
            }
        }
    }

    fn draw_caller(&mut self, at: Time) -> Caller {
        let mut left = self.rng.random::<f64>();
        let fractions = self.load.kinds.iter().map(|it| it.fraction);
        let passed = fractions.take_while(|fraction| {
            left -= fraction;
            0.0 <= left
        });
        let kind = passed.count().min(self.load.kinds.len() - 1);
        let means = self.load.kinds[kind];
        let mut size = |mean: f64| {
            let drawn = -(1.0 - self.rng.random::<f64>()).ln();
            mean * drawn.clamp(MIN_SIZE, MAX_SIZE)
        };
        Caller {
            kind,
            prompt_tokens: size(means.prompt_tokens),
            answer_tokens: size(means.answer_tokens),
            first_sent: at,
            attempts: 0,
            entry: 0,
            placed: None,
            last_tokens: None,
            in_time: true,
            outcome: None,
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::EntryArrival(request) => self.arrive_at_entry(request),
            Event::PassEnd { replica, epoch } if epoch == self.epochs[replica] => {
                self.end_pass(replica);
            }
            Event::PassEnd { .. } => {}
            Event::Availability { replica, available } => self.set_availability(replica, available),
            Event::ReplicaArrival {
                request,
                replica,
                rank,
            } => self.arrive_at_replica(request, replica, rank),
            Event::Expired(request) => self.lose_request(request),
            Event::ViewsSent => {
                let in_flight = self.entries.iter().map(Entry::in_flight).collect();
                let demands = self.entries.iter().map(|it| it.demands(self.now));
                let view = View {
                    in_flight,
                    available: self.available.clone(),
                    demands: demands.collect(),
                };
                let key = self.sequence as usize;
                self.views.insert(key, view);
                self.push(
                    Time(self.now.0 + ENTRY_LATENCY_US),
                    Event::ViewsReceived(key),
                );
            }
            Event::ViewsReceived(key) => self.receive_views(key),
        }
    }

    fn receive_views(&mut self, key: usize) {
        let Some(view) = self.views.remove(&key) else {
            return;
        };
        let silent_from = self.load.silent_from_ms;
        let silent = silent_from.is_some_and(|it| Time::ZERO.after_ms(it) <= self.now);
        for (idx, entry) in self.entries.iter_mut().enumerate() {
            let mut others = vec![InFlight::default(); self.load.replicas];
            let views = view.in_flight.iter().enumerate();
            for (_, view) in views.filter(|(it, _)| *it != idx) {
                for (sum, it) in others.iter_mut().zip(view) {
                    sum.requests += it.requests;
                    sum.waiting += it.waiting;
                }
            }
            entry.apply_view(&others, &view.available, self.load, self.now);
            let demands = view.demands.iter().enumerate();
            let demands = demands.filter(|(it, _)| *it != idx && !silent);
            let demands = demands.flat_map(|(_, rows)| rows.iter().copied());
            entry.update_level(demands, self.load, self.now);
        }
    }

    fn arrive_at_entry(&mut self, request: usize) {
        let entry = self.rng.random_range(0..self.load.entries);
        let caller = &mut self.callers[request];
        caller.entry = entry;
        caller.attempts += 1;
        let kind = self.load.kinds[caller.kind];
        let waited = Duration::from_micros(self.now.0 - CALLER_LATENCY_US - caller.first_sent.0);
        let incoming = IncomingRequest {
            route: Rc::clone(&self.routes[caller.kind]),
            precedence: Precedence {
                team: 0,
                route: kind.priority,
            },
            prompt_tokens: caller.prompt_tokens,
            first_token_goal: Duration::from_millis(kind.first_token_goal_ms),
            time_left: Duration::from_millis(self.load.caller_timeout_ms).saturating_sub(waited),
        };
        let decision = self.entries[entry].decide(self.load, &incoming, self.now, &mut self.rng);
        match decision {
            Decision::Refused(retry_after) if caller.attempts == 1 => {
                let at = self.now.after(retry_after);
                self.push(
                    Time(at.0 + 2 * CALLER_LATENCY_US),
                    Event::EntryArrival(request),
                );
            }
            Decision::Refused(_) => caller.outcome = Some(Outcome::Refused),
            Decision::Sent {
                replica,
                rank,
                expected_ms,
            } => {
                caller.placed = Some((replica, self.now, expected_ms));
                self.entries[entry].record_sent(replica, incoming.prompt_tokens);
                let event = Event::ReplicaArrival {
                    request,
                    replica,
                    rank,
                };
                self.push(Time(self.now.0 + REPLICA_LATENCY_US), event);
            }
        }
    }

    fn arrive_at_replica(&mut self, request: usize, replica: usize, rank: u32) {
        if !self.available[replica] {
            self.lose_request(request);
            return;
        }
        let caller = &self.callers[request];
        if self.is_endless(replica) {
            let deadline = caller.first_sent.after_ms(self.load.caller_timeout_ms);
            self.push(deadline.max(self.now), Event::Expired(request));
            return;
        }
        let job = Job {
            id: request,
            rank,
            prompt_left: caller.prompt_tokens,
            answer_left: caller.answer_tokens,
        };
        let pass = self.engines[replica].enqueue(job);
        self.schedule_pass_end(replica, pass);
    }

    /// Returns whether a response that a replica begins now does not end.
    fn is_endless(&self, replica: usize) -> bool {
        let includes = |it: &Outage| {
            let start = Time::ZERO.after_ms(it.start_ms);
            let end = start.after_ms(it.duration_ms);
            replica < it.replicas && start <= self.now && self.now < end
        };
        self.load.endless.iter().any(includes)
    }

    fn schedule_pass_end(&mut self, replica: usize, pass_ms: Option<f64>) {
        if let Some(pass_ms) = pass_ms {
            let at = self.now.after(Duration::from_secs_f64(pass_ms / 1000.0));
            let epoch = self.epochs[replica];
            self.push(at, Event::PassEnd { replica, epoch });
        }
    }

    fn end_pass(&mut self, replica: usize) {
        let (progress, next) = self.engines[replica].finish_pass();
        for it in progress {
            self.record_progress(replica, it);
        }
        self.schedule_pass_end(replica, next);
    }

    fn record_progress(&mut self, replica: usize, progress: Progress) {
        let arrives = Time(self.now.0 + REPLICA_LATENCY_US + CALLER_LATENCY_US);
        match progress {
            Progress::First(request) => {
                let caller = &mut self.callers[request];
                let goal_ms = self.load.kinds[caller.kind].first_token_goal_ms;
                caller.in_time = arrives <= caller.first_sent.after_ms(goal_ms);
                caller.last_tokens = Some(arrives);
                if let Some((_, sent, expected_ms)) = caller.placed {
                    let elapsed = self.now.since(sent);
                    let entry = &mut self.entries[caller.entry];
                    entry.record_first_token(replica, caller.prompt_tokens, expected_ms, elapsed);
                }
            }
            Progress::Further(request) => {
                let caller = &mut self.callers[request];
                let previous = caller.last_tokens.replace(arrives);
                let gap = previous.map_or(0, |it| arrives.0 - it.0);
                caller.in_time &= gap <= MAX_TOKEN_GAP_US;
            }
            Progress::Last(request) => {
                let caller = &mut self.callers[request];
                caller.outcome = Some(match caller.in_time {
                    true => Outcome::InTime,
                    false => Outcome::Late,
                });
                self.entries[caller.entry].record_end(replica);
            }
        }
    }

    fn set_availability(&mut self, replica: usize, available: bool) {
        self.available[replica] = available;
        self.epochs[replica] += 1;
        for request in self.engines[replica].drop_all() {
            self.lose_request(request);
        }
    }

    /// Ends a request that its replica lost: the caller gets no answer.
    fn lose_request(&mut self, request: usize) {
        let caller = &mut self.callers[request];
        if let Some((replica, _, _)) = caller.placed.take() {
            let entry = &mut self.entries[caller.entry];
            if caller.last_tokens.is_none() {
                entry.record_first_token(replica, caller.prompt_tokens, 0.0, Duration::ZERO);
            }
            entry.record_end(replica);
        }
        caller.outcome = Some(Outcome::Refused);
    }

    fn result(self) -> RunResult {
        let mut result = RunResult {
            kinds: vec![Default::default(); self.load.kinds.len()],
            ..RunResult::default()
        };
        for caller in &self.callers {
            // Requests in flight when arrivals stop also have an outcome: the run continues until no
            // event is left.
            let Some(outcome) = caller.outcome else {
                continue;
            };
            let is_longer = self.load.kinds[caller.kind].prompt_tokens <= caller.prompt_tokens;
            result.all.count(outcome);
            result.kinds[caller.kind].count(outcome);
            result.halves[usize::from(is_longer)].count(outcome);
        }
        result
    }
}
