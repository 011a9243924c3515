//! The run: events in the order of their times.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    rc::Rc,
    time::Duration,
};

use gradeloft_policy::clock::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    engine::{Engine, Job, Step},
    entry::{Asked, Decision, Entry, Held},
    load::Load,
    outcome::{Outcome, Result},
};

/// Way of a request from its caller to an entry, and on to a replica, in microseconds.
const TO_ENTRY_US: u64 = 3_000;
const TO_REPLICA_US: u64 = 2_000;
/// Way of what entries tell each other, in microseconds.
const BETWEEN_ENTRIES_US: u64 = 3_000;
/// Longest pause between the tokens of an answer in time, in microseconds.
const PAUSE_US: u64 = 300_000;
/// Least and most of a prompt or an answer, as parts of the mean of its kind.
const LEAST: f64 = 0.2;
const MOST: f64 = 3.0;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller's request comes to an entry.
    Asks(usize),
    /// A replica's pass ends; passes of before it went away have another number.
    Ended { replica: usize, start: u32 },
    /// A replica goes away or comes back.
    Moved { replica: usize, here: bool },
    /// A request comes to a replica.
    Reaches {
        request: usize,
        replica: usize,
        rank: u32,
    },
    /// Entries tell each other.
    Tell,
    /// What they told arrives.
    Told(usize),
}

struct Caller {
    kind: usize,
    prompt: f64,
    answer: f64,
    first_asked: Time,
    tries: u32,
    entry: usize,
    /// Where it is, since when, and when it was to begin.
    at: Option<(usize, Time, f64)>,
    /// When the answer's newest tokens came.
    newest: Option<Time>,
    in_time: bool,
    outcome: Option<Outcome>,
}

struct World<'a> {
    load: &'a Load,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    callers: Vec<Caller>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    starts: Vec<u32>,
    here: Vec<bool>,
    /// What entries told, until it arrives.
    told: HashMap<usize, (Vec<Vec<Held>>, Vec<bool>)>,
    routes: Vec<Rc<str>>,
}

/// Plays a load; the same seed gives the same result.
pub fn play(load: &Load, seed: u64) -> Result {
    let mut world = World::new(load, seed);
    world.schedule();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.result()
}

impl<'a> World<'a> {
    fn new(load: &'a Load, seed: u64) -> World<'a> {
        let routes = (0..load.kinds.len()).map(|it| format!("kind-{it}").into());
        World {
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            callers: Vec::new(),
            entries: (0..load.entries).map(|it| Entry::new(it, load)).collect(),
            engines: vec![Engine::new(load.speed, load.slots); load.replicas],
            starts: vec![0; load.replicas],
            here: vec![true; load.replicas],
            told: HashMap::new(),
            routes: routes.collect(),
        }
    }

    /// Draws the callers, and all that comes whatever the entries decide.
    fn schedule(&mut self) {
        let mut at = Time::ZERO;
        let end = Time::ZERO.after_ms(self.load.length_ms);
        loop {
            let pause_s = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
            at = at.after(Duration::from_secs_f64(pause_s));
            if end <= at {
                break;
            }
            let caller = self.caller(at);
            self.callers.push(caller);
            let event = Event::Asks(self.callers.len() - 1);
            self.push(Time(at.0 + TO_ENTRY_US), event);
        }
        let tells = self.load.length_ms / self.load.view_ms.max(1);
        for turn in 0..tells {
            self.push(Time::ZERO.after_ms(turn * self.load.view_ms), Event::Tell);
        }
        for loss in &self.load.losses {
            for replica in 0..loss.replicas {
                let left = Time::ZERO.after_ms(loss.at_ms);
                self.push(
                    left,
                    Event::Moved {
                        replica,
                        here: false,
                    },
                );
                let back = left.after_ms(loss.for_ms);
                self.push(
                    back,
                    Event::Moved {
                        replica,
                        here: true,
                    },
                );
            }
        }
    }

    fn caller(&mut self, at: Time) -> Caller {
        let mut left = self.rng.random::<f64>();
        let parts = self.load.kinds.iter().map(|it| it.part);
        let drawn = parts.take_while(|part| {
            left -= part;
            0.0 <= left
        });
        let kind = drawn.count().min(self.load.kinds.len() - 1);
        let mean = self.load.kinds[kind];
        let mut size = |mean: f64| {
            let drawn = -(1.0 - self.rng.random::<f64>()).ln();
            mean * drawn.clamp(LEAST, MOST)
        };
        Caller {
            kind,
            prompt: size(mean.prompt),
            answer: size(mean.answer),
            first_asked: at,
            tries: 0,
            entry: 0,
            at: None,
            newest: None,
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
            Event::Asks(request) => self.asks(request),
            Event::Ended { replica, start } if start == self.starts[replica] => {
                self.pass_ended(replica);
            }
            Event::Ended { .. } => {}
            Event::Moved { replica, here } => self.moved(replica, here),
            Event::Reaches {
                request,
                replica,
                rank,
            } => self.reaches(request, replica, rank),
            Event::Tell => {
                let held = self.entries.iter().map(Entry::held).collect();
                let key = self.sequence as usize;
                self.told.insert(key, (held, self.here.clone()));
                self.push(Time(self.now.0 + BETWEEN_ENTRIES_US), Event::Told(key));
            }
            Event::Told(key) => self.told(key),
        }
    }

    fn told(&mut self, key: usize) {
        let Some((held, here)) = self.told.remove(&key) else {
            return;
        };
        for (own, entry) in self.entries.iter_mut().enumerate() {
            let mut others = vec![Held::default(); self.load.replicas];
            let told = held.iter().enumerate().filter(|(it, _)| *it != own);
            for (_, held) in told {
                for (sum, held) in others.iter_mut().zip(held) {
                    sum.running += held.running;
                    sum.waiting += held.waiting;
                }
            }
            entry.learn(&others, &here, self.load, self.now);
        }
    }

    fn asks(&mut self, request: usize) {
        let entry = self.rng.random_range(0..self.load.entries);
        let caller = &mut self.callers[request];
        caller.entry = entry;
        caller.tries += 1;
        let kind = self.load.kinds[caller.kind];
        let waited = Duration::from_micros(self.now.0 - TO_ENTRY_US - caller.first_asked.0);
        let asked = Asked {
            route: Rc::clone(&self.routes[caller.kind]),
            prompt: caller.prompt,
            goal: Duration::from_millis(kind.goal_ms),
            left: Duration::from_millis(self.load.patience_ms).saturating_sub(waited),
        };
        let decided = self.entries[entry].decide(self.load, &asked, self.now, &mut self.rng);
        match decided {
            Decision::Refused(back) if caller.tries == 1 => {
                let at = self.now.after(back);
                self.push(Time(at.0 + 2 * TO_ENTRY_US), Event::Asks(request));
            }
            Decision::Refused(_) => caller.outcome = Some(Outcome::Refused),
            Decision::Sent {
                replica,
                rank,
                expected_ms,
            } => {
                caller.at = Some((replica, self.now, expected_ms));
                self.entries[entry].sent(replica, asked.prompt);
                let event = Event::Reaches {
                    request,
                    replica,
                    rank,
                };
                self.push(Time(self.now.0 + TO_REPLICA_US), event);
            }
        }
    }

    fn reaches(&mut self, request: usize, replica: usize, rank: u32) {
        if !self.here[replica] {
            self.dropped(request);
            return;
        }
        let caller = &self.callers[request];
        let job = Job {
            id: request,
            rank,
            prompt: caller.prompt,
            answer: caller.answer,
        };
        let pass = self.engines[replica].take(job);
        self.pass_begins(replica, pass);
    }

    fn pass_begins(&mut self, replica: usize, pass_ms: Option<f64>) {
        if let Some(pass_ms) = pass_ms {
            let at = self.now.after(Duration::from_secs_f64(pass_ms / 1000.0));
            let start = self.starts[replica];
            self.push(at, Event::Ended { replica, start });
        }
    }

    fn pass_ended(&mut self, replica: usize) {
        let (steps, next) = self.engines[replica].end();
        for step in steps {
            self.step(replica, step);
        }
        self.pass_begins(replica, next);
    }

    fn step(&mut self, replica: usize, step: Step) {
        let arrives = Time(self.now.0 + TO_REPLICA_US + TO_ENTRY_US);
        match step {
            Step::Began(request) => {
                let caller = &mut self.callers[request];
                let goal_ms = self.load.kinds[caller.kind].goal_ms;
                caller.in_time = arrives <= caller.first_asked.after_ms(goal_ms);
                caller.newest = Some(arrives);
                if let Some((_, sent, expected_ms)) = caller.at {
                    let took = self.now.since(sent);
                    let entry = &mut self.entries[caller.entry];
                    entry.began(replica, caller.prompt, expected_ms, took);
                }
            }
            Step::Wrote(request) => {
                let caller = &mut self.callers[request];
                let newest = caller.newest.replace(arrives);
                let pause = newest.map_or(0, |it| arrives.0 - it.0);
                caller.in_time &= pause <= PAUSE_US;
            }
            Step::Ended(request) => {
                let caller = &mut self.callers[request];
                caller.outcome = Some(match caller.in_time {
                    true => Outcome::InTime,
                    false => Outcome::Late,
                });
                self.entries[caller.entry].ended(replica);
            }
        }
    }

    fn moved(&mut self, replica: usize, here: bool) {
        self.here[replica] = here;
        self.starts[replica] += 1;
        for request in self.engines[replica].clear() {
            self.dropped(request);
        }
    }

    /// A replica went away with a request: its caller gets no answer.
    fn dropped(&mut self, request: usize) {
        let caller = &mut self.callers[request];
        if let Some((replica, _, _)) = caller.at.take() {
            let entry = &mut self.entries[caller.entry];
            if caller.newest.is_none() {
                entry.began(replica, caller.prompt, 0.0, Duration::ZERO);
            }
            entry.ended(replica);
        }
        caller.outcome = Some(Outcome::Refused);
    }

    fn result(self) -> Result {
        let mut result = Result {
            kinds: vec![Default::default(); self.load.kinds.len()],
            ..Result::default()
        };
        for caller in &self.callers {
            // What runs at the end of the run has an outcome as well: nothing stops before it is done.
            let Some(outcome) = caller.outcome else {
                continue;
            };
            let longer = self.load.kinds[caller.kind].prompt <= caller.prompt;
            result.all.count(outcome);
            result.kinds[caller.kind].count(outcome);
            result.halves[usize::from(longer)].count(outcome);
        }
        result
    }
}
