//! Tests of the quarantine of prompt parts in emulated fleets: each entry observes only its own
//! requests, and receives the observations of others after a delay.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    rc::Rc,
};

use gradeloft_policy::{
    clock::Time,
    request::quarantine::{self, Blame, Quarantine, Subjects, Verdict},
};
use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, Subject, Suspect},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time after the fifth crash from which requests with the part are limited, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Highest number of requests with the part that may reach replicas from then on.
const MAX_LATE_REQUESTS: usize = 3;
/// Time from the arrival of a request at a replica to the first token, in milliseconds.
const PREFILL_MS: u64 = 150;
/// Time for which a response flows before it shows that its request did not crash its replica, in
/// milliseconds.
const FLOWING_MS: u64 = 300;
/// Duration of a response, in milliseconds.
const RESPONSE_MS: u64 = 900;
/// Time from a crash of a replica to its next start, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// Range of the time after which an entry receives an observation, in milliseconds.
const GOSSIP_MS: std::ops::Range<u64> = 5..120;
/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 14_000;
/// Time between two batches of arrivals, in milliseconds.
const ARRIVALS_MS: u64 = 10;
/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 2;
/// Part that all requests share, and first of the parts that a route's requests share.
const COMMON: u32 = 1;
const FIRST_ROUTE: u32 = 2;
/// First of the bad parts, and first of the topics' parts.
const FIRST_BAD: u32 = 10;
const FIRST_TOPIC: u32 = 100;

/// A fleet, its load and its faults.
#[derive(Clone, Copy, Debug)]
struct Options {
    replicas: usize,
    entries: usize,
    /// Requests a second.
    rate: u64,
    /// Sound topics; the requests of one share a part.
    topics: u32,
    /// Parts that crash replicas, and their requests' share of all.
    bad_parts: u32,
    bad_share: f64,
    /// Replicas that crash at the same moment, and the times at which they do, in milliseconds.
    rack: usize,
    rack_at_ms: &'static [u64],
}

const SMALL: Options = Options {
    replicas: 12,
    entries: 7,
    rate: 200,
    topics: 20,
    bad_parts: 1,
    bad_share: 0.03,
    rack: 0,
    rack_at_ms: &[],
};
const MIDDLE: Options = Options {
    replicas: 60,
    entries: 20,
    rate: 600,
    topics: 60,
    ..SMALL
};
const LARGE: Options = Options {
    replicas: 2_300,
    entries: 30,
    rate: 1_600,
    topics: 200,
    ..SMALL
};

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    subjects: Subjects,
    topic: u32,
    attempts: u32,
    sent: Time,
    /// Whether its response has begun a while ago.
    flowing: bool,
    exclusive: Option<Subject>,
}

impl Request {
    fn is_bad(&self) -> bool {
        self.topic < FIRST_TOPIC
    }
}

#[derive(Debug, Default)]
struct Replica {
    /// Number of the current start; odd while the replica runs.
    start: u32,
    running: Vec<usize>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Begun {
        replica: usize,
        start: u32,
        request: usize,
    },
    Flowing {
        replica: usize,
        start: u32,
        request: usize,
    },
    Completed {
        replica: usize,
        start: u32,
        request: usize,
    },
    Started {
        replica: usize,
    },
    RackFailure,
    Received {
        entry: usize,
        message: usize,
    },
}

/// What happened in a run.
#[derive(Debug, Default)]
struct Outcome {
    /// Times at which requests with each bad part reached replicas, and crashed them.
    bad_sent: Vec<Vec<Time>>,
    bad_crashes: Vec<Vec<Time>>,
    /// Sound requests sent, and refused as quarantined.
    sound: usize,
    sound_refused: usize,
    /// The same from twice the contact time after the fifth crash of every bad part.
    late_sound: usize,
    late_sound_refused: usize,
    /// Sound topics that are quarantined at any entry at the end.
    shut_out: BTreeSet<u32>,
}

impl Outcome {
    /// Returns the number of requests with a bad part that reached replicas too late.
    fn late_bad(&self) -> usize {
        let late = |(sent, crashes): (&Vec<Time>, &Vec<Time>)| {
            let fifth = crashes.get(4)?.after_ms(CONTACT_MS);
            Some(sent.iter().filter(|it| fifth < **it).count())
        };
        let all = self.bad_sent.iter().zip(&self.bad_crashes);
        all.filter_map(late).max().unwrap_or(0)
    }
}

struct Fleet {
    rng: ChaCha8Rng,
    options: Options,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    replicas: Vec<Replica>,
    entries: Vec<Quarantine>,
    requests: Vec<Request>,
    messages: Vec<(Suspect, Time)>,
    outcome: Outcome,
}

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint::of_part(&number.to_string())
}

impl Fleet {
    fn new(options: Options, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            options,
            now: Time::ZERO.after_ms(100_000),
            events: BinaryHeap::new(),
            sequence: 0,
            replicas: (0..options.replicas)
                .map(|_| Replica {
                    start: 1,
                    running: Vec::new(),
                })
                .collect(),
            entries: vec![Quarantine::default(); options.entries],
            requests: Vec::new(),
            messages: Vec::new(),
            outcome: Outcome {
                bad_sent: vec![Vec::new(); options.bad_parts as usize],
                bad_crashes: vec![Vec::new(); options.bad_parts as usize],
                ..Outcome::default()
            },
        };
        fleet.schedule(0, Event::Arrival);
        for at_ms in options.rack_at_ms {
            fleet.schedule(*at_ms, Event::RackFailure);
        }
        fleet
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        let at = self.now.after_ms(after_ms);
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        let end = self.now.after_ms(RUN_MS);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if end < at {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for topic in FIRST_TOPIC..FIRST_TOPIC + self.options.topics {
            let subject = Subject::Part(fingerprint(topic));
            if self.entries.iter().any(|it| it.is_quarantined(subject)) {
                self.outcome.shut_out.insert(topic);
            }
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                self.schedule(ARRIVALS_MS, Event::Arrival);
                for _ in 0..self.options.rate * ARRIVALS_MS / 1_000 {
                    let request = self.draw_request();
                    self.requests.push(request);
                    self.send(self.requests.len() - 1);
                }
            }
            Event::Begun {
                replica,
                start,
                request,
            } if self.replicas[replica].start == start => {
                let topic = self.requests[request].topic;
                if self.requests[request].is_bad() {
                    let times = &mut self.outcome.bad_crashes[(topic - FIRST_BAD) as usize];
                    times.push(self.now);
                    self.crash(&[replica]);
                }
            }
            Event::Completed {
                replica,
                start,
                request,
            } if self.replicas[replica].start == start => {
                self.replicas[replica].running.retain(|it| *it != request);
                self.clear(request, true);
            }
            Event::Flowing {
                replica,
                start,
                request,
            } if self.replicas[replica].start == start => {
                self.requests[request].flowing = true;
                self.clear(request, false);
            }
            Event::Begun { .. } | Event::Flowing { .. } | Event::Completed { .. } => {}
            Event::Started { replica } => self.replicas[replica].start += 1,
            Event::RackFailure => {
                let first = self.rng.random_range(0..self.options.replicas);
                let rack = (first..first + self.options.rack).map(|it| it % self.options.replicas);
                let rack: Vec<usize> = rack.collect();
                self.crash(&rack);
            }
            Event::Received { entry, message } => {
                let (message, at) = self.messages[message].clone();
                let age_ms = self.now.since(at).as_millis() as u32;
                let aged = Suspect {
                    crashes: message
                        .crashes
                        .iter()
                        .map(|it| {
                            let age_ms = it.age_ms + age_ms;
                            Crash { age_ms, ..*it }
                        })
                        .collect(),
                    ..message
                };
                self.entries[entry].merge(&aged, self.now);
            }
        }
    }

    fn draw_request(&mut self) -> Request {
        let Options {
            topics,
            bad_parts,
            bad_share,
            entries,
            ..
        } = self.options;
        let topic = if self
            .rng
            .random_bool(bad_share * f64::from(bad_parts.min(1)))
        {
            FIRST_BAD + self.rng.random_range(0..bad_parts)
        } else {
            // A few topics have most of the requests.
            let skewed = self.rng.random::<f64>().powi(3);
            FIRST_TOPIC + (f64::from(topics) * skewed) as u32
        };
        let parts = [COMMON, FIRST_ROUTE + topic % 3, topic].map(fingerprint);
        let number = self.requests.len().to_le_bytes();
        Request {
            entry: self.rng.random_range(0..entries),
            subjects: Subjects {
                request: Fingerprint::of(None, ["h", "POST", "/"], &number),
                parts: Rc::new(parts),
            },
            topic,
            attempts: 0,
            sent: self.now,
            flowing: false,
            exclusive: None,
        }
    }

    fn send(&mut self, number: usize) {
        let request = self.requests[number].clone();
        let is_owner = |it: Subject| {
            it.fingerprint().prefix_u64() % self.options.entries as u64 == request.entry as u64
        };
        let quarantine = &self.entries[request.entry];
        let verdict = quarantine.verdict(&request.subjects, is_owner, self.now);
        let refused = matches!(verdict, Verdict::Quarantined(..) | Verdict::Busy(..));
        if !request.is_bad() {
            let fifth = self
                .outcome
                .bad_crashes
                .iter()
                .map(|it| it.get(4).copied())
                .collect::<Option<Vec<Time>>>();
            let late = fifth.and_then(|it| it.into_iter().max());
            if late.is_some_and(|it| it.after_ms(2 * CONTACT_MS) < self.now) {
                self.outcome.late_sound += 1;
                self.outcome.late_sound_refused += usize::from(refused);
            }
            self.outcome.sound += 1;
            self.outcome.sound_refused += usize::from(refused);
        }
        if refused {
            return;
        }
        let up = (0..self.replicas.len()).filter(|it| !self.replicas[*it].start.is_multiple_of(2));
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        if let Verdict::Exclusive(subject) = verdict {
            self.entries[request.entry].begin_attempt(subject);
            self.requests[number].exclusive = Some(subject);
        }
        let replica = up[self.rng.random_range(0..up.len())];
        let start = self.replicas[replica].start;
        self.replicas[replica].running.push(number);
        self.requests[number].sent = self.now;
        self.requests[number].attempts += 1;
        self.requests[number].flowing = false;
        if request.is_bad() {
            self.outcome.bad_sent[(request.topic - FIRST_BAD) as usize].push(self.now);
        }
        let delay_ms = PREFILL_MS + self.rng.random_range(0..60);
        self.schedule(
            delay_ms,
            Event::Begun {
                replica,
                start,
                request: number,
            },
        );
        self.schedule(
            delay_ms + FLOWING_MS,
            Event::Flowing {
                replica,
                start,
                request: number,
            },
        );
        let whole_ms = delay_ms + RESPONSE_MS + self.rng.random_range(0..300);
        self.schedule(
            whole_ms,
            Event::Completed {
                replica,
                start,
                request: number,
            },
        );
    }

    /// Crashes replicas at the same moment; their requests are sent to others.
    fn crash(&mut self, replicas: &[usize]) {
        let mut lost = Vec::new();
        for idx in replicas.iter().copied() {
            let replica = &mut self.replicas[idx];
            if replica.start.is_multiple_of(2) {
                continue;
            }
            let hash = (idx as u32) << 12 | replica.start;
            replica.start += 1;
            let requests = std::mem::take(&mut replica.running);
            self.schedule(RESTART_MS, Event::Started { replica: idx });
            lost.extend(requests.into_iter().map(|it| (it, hash)));
        }
        let mut observed = BTreeSet::new();
        let mass_failures: Vec<bool> = (0..self.options.entries)
            .map(|it| self.observes_mass_failure(it, &lost))
            .collect();
        for (number, hash) in &lost {
            let request = self.requests[*number].clone();
            let blame = match request.flowing || mass_failures[request.entry] {
                true => Blame::RequestOnly,
                false => Blame::WithParts,
            };
            let known = &mut self.entries[request.entry];
            let changed = known.record_loss(&request.subjects, blame, *hash, self.now, self.now);
            observed.extend(changed.into_iter().map(|it| (request.entry, it)));
            if let Some(subject) = self.requests[*number].exclusive.take() {
                self.entries[request.entry].end_attempt(subject);
            }
        }
        for (entry, subject) in observed {
            self.announce(entry, subject);
        }
        for (number, _) in lost {
            let request = &self.requests[number];
            let known = &self.entries[request.entry];
            if request.attempts < MAX_ATTEMPTS && !known.suspects_all_parts(&request.subjects) {
                self.send(number);
            }
        }
    }

    fn observes_mass_failure(&self, entry: usize, lost: &[(usize, u32)]) -> bool {
        let is_own = |it: &usize| self.requests[*it].entry == entry;
        let crashed = lost.iter().filter(|it| is_own(&it.0)).map(|it| it.1);
        let crashed = crashed.collect::<BTreeSet<u32>>().len();
        let in_use = self
            .replicas
            .iter()
            .filter(|it| it.running.iter().any(is_own));
        quarantine::is_mass_failure(crashed, crashed + in_use.count())
    }

    fn clear(&mut self, number: usize, done: bool) {
        if let Some(subject) = self.requests[number].exclusive.take() {
            let entry = self.requests[number].entry;
            self.entries[entry].end_attempt(subject);
        }
        let request = self.requests[number].clone();
        for subject in request.subjects.iter() {
            if matches!(subject, Subject::Request(_)) && !done {
                continue;
            }
            if self.entries[request.entry].clear(subject, request.sent) {
                self.announce(request.entry, subject);
            }
        }
    }

    /// Sends what an entry knows of a subject to all others.
    fn announce(&mut self, entry: usize, subject: Subject) {
        let known = &self.entries[entry];
        // A request that crashed one replica concerns no other entry yet.
        if matches!(subject, Subject::Request(_)) && known.crashes(subject) < 2 {
            return;
        }
        let Some(message) = known.snapshot(subject, self.now) else {
            return;
        };
        self.messages.push((message, self.now));
        let message = self.messages.len() - 1;
        for other in (0..self.entries.len()).filter(|it| *it != entry) {
            let delay_ms = self.rng.random_range(GOSSIP_MS);
            self.schedule(
                delay_ms,
                Event::Received {
                    entry: other,
                    message,
                },
            );
        }
    }
}

/// Crashes of single replicas, one after the other.
const ROLLING_MS: &[u64] = &[
    500, 900, 1_300, 1_700, 2_100, 2_500, 2_900, 3_300, 3_700, 4_100, 4_500,
];

/// Guards against a verdict that comes late, that holds at some entries only, or that includes parts of
/// sound requests, which share all other parts with the bad ones.
#[rstest]
#[case::small(SMALL, 0..12)]
#[case::all_sound_requests_on_one_topic(Options { topics: 1, ..SMALL }, 0..6)]
#[case::seldom(Options { bad_share: 0.005, ..SMALL }, 0..6)]
#[case::often(Options { bad_share: 0.06, ..SMALL }, 0..6)]
#[case::beside_a_rack(Options { rack: 6, rack_at_ms: &[0, 500, 2_000, 5_000], ..SMALL }, 0..12)]
#[case::two_parts(Options { bad_parts: 2, ..SMALL }, 0..6)]
#[case::often_with_all_replicas_down_1(Options { bad_share: 0.06, ..SMALL }, 49..50)]
#[case::often_with_all_replicas_down_2(Options { bad_share: 0.06, ..SMALL }, 75..76)]
#[case::two_parts_with_all_replicas_down(Options { bad_parts: 2, ..SMALL }, 6..7)]
#[case::middle(MIDDLE, 0..2)]
#[case::middle_beside_a_rack(Options { rack: 20, rack_at_ms: &[300, 1_300, 5_000], ..MIDDLE }, 0..2)]
#[case::large(LARGE, 0..1)]
#[case::large_beside_a_region(Options { rack: 800, rack_at_ms: &[300, 1_300], ..LARGE }, 0..1)]
fn bad_parts_are_quarantined_and_sound_requests_are_served(
    #[case] options: Options,
    #[case] seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let outcome = Fleet::new(options, seed).run();
        let crashes: Vec<usize> = outcome.bad_crashes.iter().map(Vec::len).collect();
        assert!(crashes.iter().all(|it| 0 < *it), "seed {seed}: {crashes:?}");
        assert!(
            outcome.late_bad() <= MAX_LATE_REQUESTS,
            "seed {seed}: {:?}",
            outcome.bad_sent
        );
        assert!(
            20 * outcome.late_sound_refused <= outcome.late_sound,
            "seed {seed}: {} of {}",
            outcome.late_sound_refused,
            outcome.late_sound
        );
        assert_eq!(outcome.shut_out, BTreeSet::new(), "seed {seed}");
    }
}

/// Guards against taking crashes from before the start of a process for simultaneous ones, so that a
/// restarted entry releases a part that it learns from its peers or the store.
#[test]
fn a_part_stays_quarantined_at_an_entry_that_has_just_started() {
    let subject = Subject::Part(fingerprint(FIRST_BAD));
    let crash = |idx: u32| Crash {
        start: idx,
        void: false,
        age_ms: 9_000 - 700 * idx,
    };
    let message = Suspect {
        subject,
        crashes: (0..6).map(crash).collect(),
    };
    let now = Time::ZERO.after_ms(5);
    let mut restarted = Quarantine::default();
    restarted.merge(&message, now);
    assert!(restarted.is_quarantined(subject));
    let reported = restarted.snapshot(subject, now).unwrap();
    assert_eq!(reported, message, "ages are passed on");
}

/// Guards against taking replicas that fail for other reasons for replicas crashed by a part.
#[rstest]
#[case::all_at_once_three_times(Options { rack: 12, rack_at_ms: &[500, 3_700, 7_000], ..SMALL }, 0..6)]
#[case::one_after_the_other(Options { rack: 1, rack_at_ms: ROLLING_MS, ..SMALL }, 0..6)]
#[case::one_after_the_other_with_rare_topics(
    Options { topics: 200, rack: 1, rack_at_ms: ROLLING_MS, ..SMALL }, 0..6
)]
#[case::all_of_a_large_fleet_at_once(Options { rack: 2_300, rack_at_ms: &[500, 3_700], ..LARGE }, 0..1)]
fn failures_without_a_bad_part_shut_out_no_request(
    #[case] options: Options,
    #[case] seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let options = Options {
            bad_parts: 0,
            ..options
        };
        let outcome = Fleet::new(options, seed).run();
        assert_eq!(outcome.shut_out, BTreeSet::new(), "seed {seed}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}");
    }
}
