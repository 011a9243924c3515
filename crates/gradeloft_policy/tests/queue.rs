//! Queue of the requests that wait at an entry.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    request::{
        contention::{Contender, Precedence},
        queue::{Entrant, HOLD_MS, Order, Queue, WaiterKey},
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const FIRST_TOKEN_MS: u64 = 50;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

fn entrant(priority: u32, goal_ms: u64) -> Entrant {
    Entrant {
        contender: Contender {
            precedence: Precedence {
                team: 0,
                route: priority,
            },
            team: None,
            work_ms: 10.0,
            goal: at(goal_ms),
            deadline: at(goal_ms + 10_000),
            returned: false,
        },
        resumed: false,
        first_token: Duration::from_millis(FIRST_TOKEN_MS),
    }
}

fn returned(entrant: Entrant) -> Entrant {
    let contender = Contender {
        returned: true,
        ..entrant.contender
    };
    Entrant {
        contender,
        ..entrant
    }
}

fn with_work(entrant: Entrant, work_ms: f64) -> Entrant {
    let contender = Contender {
        work_ms,
        ..entrant.contender
    };
    Entrant {
        contender,
        ..entrant
    }
}

/// Adds a request that found no room and is admitted.
fn wait(queue: &mut Queue, order: Order, entrant: Entrant, now: Time) -> WaiterKey {
    let key = queue.join(order, entrant, true, now);
    assert!(queue.admit(key, now).is_some());
    key
}

/// Returns the keys that get a turn in a new round, none of which finds room.
fn round(queue: &mut Queue, now: Time) -> Vec<WaiterKey> {
    queue.room_changed(now);
    let mut turns = Vec::new();
    while let Some(key) = queue.next_turn(now) {
        turns.push(key);
        queue.found_no_room(key);
    }
    turns
}

/// Returns a queue whose requests end every `interval_ms`, and the time of the last end.
fn draining(interval_ms: u64) -> (Queue, Time) {
    let mut queue = Queue::default();
    let key = queue.join(Order::Precedence, entrant(0, 60_000), true, at(0));
    let ends = (1..=20).map(|it| at(it * interval_ms));
    ends.clone().for_each(|it| queue.request_ended(it));
    queue.leave(key);
    (queue, at(20 * interval_ms))
}

#[test]
fn waiters_look_for_room_in_the_order_of_their_claims() {
    let mut queue = Queue::default();
    let now = at(0);
    let mut add = |entrant| wait(&mut queue, Order::Precedence, entrant, now);
    let later_goal = add(entrant(1, 2_000));
    let earlier_goal = add(entrant(1, 1_000));
    let as_early = add(entrant(1, 1_000));
    let returned = add(returned(entrant(1, 3_000)));
    let urgent = add(entrant(0, 9_000));
    let resumed = add(Entrant {
        resumed: true,
        ..entrant(5, 9_000)
    });
    let expected = [
        resumed,
        urgent,
        returned,
        earlier_goal,
        as_early,
        later_goal,
    ];
    assert_eq!(round(&mut queue, now), expected);
}

#[test]
fn the_team_decides_before_the_route() {
    let mut queue = Queue::default();
    let mut of_team = entrant(0, 1_000);
    of_team.contender.precedence.team = 1;
    let second = wait(&mut queue, Order::Precedence, of_team, at(0));
    let first = wait(&mut queue, Order::Precedence, entrant(7, 1_000), at(0));
    assert_eq!(round(&mut queue, at(0)), [first, second]);
}

#[test]
fn services_without_ranks_are_served_by_arrival() {
    let mut queue = Queue::default();
    let first = wait(&mut queue, Order::Arrival, entrant(5, 9_000), at(0));
    let second = wait(&mut queue, Order::Arrival, entrant(0, 1_000), at(1));
    assert_eq!(round(&mut queue, at(2)), [first, second]);
}

#[test]
fn a_newcomer_does_not_overtake_a_waiter_that_has_not_looked_for_the_room() {
    let mut queue = Queue::default();
    let waiter = wait(&mut queue, Order::Precedence, entrant(1, 1_000), at(0));
    assert!(queue.precedes(Order::Precedence, &entrant(1, 1_500)));
    assert!(queue.precedes(Order::Precedence, &entrant(2, 900)));
    assert!(!queue.precedes(Order::Precedence, &entrant(0, 2_000)));
    queue.request_ended(at(10));
    let newcomer = queue.join(Order::Precedence, entrant(1, 1_500), false, at(10));
    assert_eq!(queue.next_turn(at(10)), Some(waiter));
    assert_eq!(queue.next_turn(at(10)), None, "one looks at a time");
    queue.place(waiter, at(10));
    assert_eq!(queue.next_turn(at(10)), Some(newcomer));
}

#[test]
fn a_waiter_that_leaves_during_its_turn_does_not_stop_the_round() {
    let mut queue = Queue::default();
    let first = wait(&mut queue, Order::Precedence, entrant(1, 1_000), at(0));
    let second = wait(&mut queue, Order::Precedence, entrant(1, 1_000), at(0));
    queue.room_changed(at(1));
    assert_eq!(queue.next_turn(at(1)), Some(first));
    queue.leave(first);
    assert_eq!(queue.next_turn(at(1)), Some(second));
}

#[test]
fn a_request_that_cannot_be_in_time_behind_others_is_refused_at_once() {
    let (mut queue, now) = draining(100);
    let goal_ms = now.0 / 1000 + 350;
    // Slots free up after 100, 200 and 300 ms, and the first token takes 50 ms.
    for _ in 0..3 {
        wait(&mut queue, Order::Precedence, entrant(1, goal_ms), now);
    }
    let late = queue.join(Order::Precedence, entrant(1, goal_ms), true, now);
    assert_eq!(queue.admit(late, now), None);
    queue.leave(late);
    let urgent = queue.join(Order::Precedence, entrant(0, goal_ms), true, now);
    assert!(queue.admit(urgent, now).is_some());
}

#[test]
fn those_behind_an_urgent_request_that_cannot_be_in_time_any_more_are_evicted() {
    let (mut queue, now) = draining(100);
    let goal_ms = now.0 / 1000 + 250;
    let first = wait(&mut queue, Order::Precedence, entrant(1, goal_ms), now);
    let last = wait(&mut queue, Order::Precedence, entrant(1, goal_ms), now);
    let patient = wait(&mut queue, Order::Precedence, entrant(2, 60_000), now);
    let urgent = queue.join(Order::Precedence, entrant(0, goal_ms), true, now);
    assert_eq!(queue.admit(urgent, now), Some(vec![last]));
    queue.leave(last);
    assert_eq!(round(&mut queue, now), [urgent, first, patient]);
}

#[test]
fn without_a_measured_interval_requests_wait() {
    let mut queue = Queue::default();
    for _ in 0..100 {
        wait(&mut queue, Order::Precedence, entrant(1, 100), at(0));
    }
}

/// Guards against both: a long prompt that blocks shorter ones behind it, and one that starves
/// behind them.
#[test]
fn a_long_prompt_holds_back_shorter_ones_only_after_they_took_as_much_work() {
    let mut queue = Queue::default();
    let now = at(1);
    let long = with_work(entrant(1, 1_000), 40.0);
    let long = wait(&mut queue, Order::Precedence, long, now);
    let mut passed = 0;
    loop {
        let short = wait(&mut queue, Order::Precedence, entrant(1, 2_000), now);
        if round(&mut queue, now) == [long] {
            break;
        }
        queue.place(short, now);
        passed += 1;
    }
    assert_eq!(passed, 4);
    let over = now.after_ms(HOLD_MS);
    assert_eq!(round(&mut queue, over).len(), 2, "the hold ends");
    // Requests of similar size may pass, as holding them back frees no suitable room.
    let similar = with_work(entrant(1, 2_000), 30.0);
    for _ in 0..10 {
        let similar = wait(&mut queue, Order::Precedence, similar, over);
        queue.place(similar, over);
    }
    assert_eq!(round(&mut queue, over).len(), 2);
}

/// Guards against requests that wait in vain while more urgent ones take all slots, and against a
/// bound that stays after these have gone.
#[test]
fn a_request_counts_on_the_slots_that_more_urgent_ones_leave() {
    let (mut queue, now) = draining(100);
    let admits = |queue: &mut Queue| {
        let key = queue.join(Order::Precedence, entrant(1, now.0 / 1000 + 400), true, now);
        let admitted = queue.admit(key, now).is_some();
        queue.leave(key);
        admitted
    };
    let precedence = |it| entrant(it, 0).contender.precedence;
    (0..20).for_each(|_| queue.found_room(precedence(0)));
    assert!(!admits(&mut queue));
    (0..20).for_each(|_| queue.found_room(precedence(1)));
    assert!(admits(&mut queue));
}

/// A class of requests in the load.
#[derive(Clone, Copy)]
struct Class {
    priority: u32,
    objective_ms: u64,
    /// Longest wait beside others of the same priority.
    patience_ms: u64,
}

const CLASSES: [Class; 4] = [
    Class {
        priority: 0,
        objective_ms: 400,
        patience_ms: 400,
    },
    Class {
        priority: 1,
        objective_ms: 400,
        patience_ms: 400,
    },
    Class {
        priority: 1,
        objective_ms: 1_000,
        patience_ms: 400,
    },
    Class {
        priority: 2,
        objective_ms: 1_000,
        patience_ms: 1_000,
    },
];
/// Mean time for which a request holds a slot, in milliseconds.
const HELD_MS: u64 = 160;
const SLOTS: usize = 8;

/// Requests of one class by outcome.
#[derive(Clone, Copy, Default)]
struct Outcomes {
    offered: u32,
    in_time: u32,
    late: u32,
    /// Refused after a wait.
    evicted: u32,
}

impl Outcomes {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }
}

/// Entry with slots of its own whose requests wait in a queue.
struct Simulation {
    queue: Queue,
    rng: ChaCha8Rng,
    /// Ends of the requests that hold slots.
    ends: Vec<Time>,
    waiting: Vec<(WaiterKey, usize, Entrant)>,
    outcomes: [Outcomes; CLASSES.len()],
}

impl Simulation {
    fn run(load: f64) -> [Outcomes; CLASSES.len()] {
        let mut simulation = Simulation {
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(7),
            ends: Vec::new(),
            waiting: Vec::new(),
            outcomes: Default::default(),
        };
        let per_ms = SLOTS as f64 / HELD_MS as f64;
        for ms in 0..20_000 {
            let now = at(ms);
            simulation.end_requests(now);
            // Demand rises in a step.
            let load = if ms < 2_000 { 0.8 } else { load };
            if simulation.rng.random::<f64>() < per_ms * load {
                simulation.arrive(now);
            }
        }
        simulation.outcomes
    }

    fn end_requests(&mut self, now: Time) {
        let before = self.ends.len();
        self.ends.retain(|it| now < *it);
        for _ in self.ends.len()..before {
            self.queue.request_ended(now);
        }
        self.refuse_expired(now);
        self.hand_over(now);
    }

    /// Refuses those that could only be served late, as the entry does by its timers.
    fn refuse_expired(&mut self, now: Time) {
        let (queue, outcomes) = (&mut self.queue, &mut self.outcomes);
        self.waiting.retain(|(key, class, entrant)| {
            let expired = entrant.contender.goal < now.after(entrant.first_token);
            if expired {
                queue.leave(*key);
                outcomes[*class].evicted += 1;
            }
            !expired
        });
    }

    fn hand_over(&mut self, now: Time) {
        while let Some(key) = self.queue.next_turn(now) {
            if self.ends.len() == SLOTS {
                self.queue.found_no_room(key);
                continue;
            }
            self.queue.place(key, now);
            let idx = self.waiting.iter().position(|it| it.0 == key).unwrap();
            let (_, class, entrant) = self.waiting.remove(idx);
            self.serve(class, entrant, now);
        }
    }

    fn serve(&mut self, class: usize, entrant: Entrant, now: Time) {
        let held_ms = self.rng.random_range(HELD_MS / 2..=HELD_MS * 3 / 2);
        self.ends.push(now.after_ms(held_ms));
        let timely = now.after(entrant.first_token) <= entrant.contender.goal;
        let outcomes = &mut self.outcomes[class];
        *(if timely {
            &mut outcomes.in_time
        } else {
            &mut outcomes.late
        }) += 1;
    }

    fn arrive(&mut self, now: Time) {
        let idx = self.rng.random_range(0..CLASSES.len());
        let class = CLASSES[idx];
        self.outcomes[idx].offered += 1;
        let wait_ms = class.objective_ms.min(class.patience_ms);
        let entrant = entrant(class.priority, now.0 / 1000 + wait_ms);
        if self.ends.len() < SLOTS && !self.queue.precedes(Order::Precedence, &entrant) {
            self.queue.found_room(entrant.contender.precedence);
            return self.serve(idx, entrant, now);
        }
        let key = self.queue.join(Order::Precedence, entrant, true, now);
        match self.queue.admit(key, now) {
            None => self.queue.leave(key),
            Some(late) => {
                self.waiting.push((key, idx, entrant));
                for late in late {
                    self.queue.leave(late);
                    let idx = self.waiting.iter().position(|it| it.0 == late).unwrap();
                    let (_, class, _) = self.waiting.remove(idx);
                    self.outcomes[class].evicted += 1;
                }
            }
        }
    }
}

/// Guards against goodput that falls as demand rises, lenient requests that outlast strict ones,
/// and requests that starve beside others of their priority.
#[rstest]
#[case::capacity(1.0)]
#[case::above(1.3)]
#[case::twice(2.0)]
#[case::four_times(4.0)]
fn more_demand_costs_the_least_urgent_first(#[case] load: f64) {
    let outcomes = Simulation::run(load);
    let shares = outcomes.map(Outcomes::share);
    let [urgent, strict, lenient, last] = shares;
    let in_time: u32 = outcomes.iter().map(|it| it.in_time).sum();
    let late: u32 = outcomes.iter().map(|it| it.late).sum();
    let possible = 18_000.0 * SLOTS as f64 / HELD_MS as f64;
    assert_eq!(late, 0, "nothing is served too late");
    if 1.0 < load {
        assert!(
            0.9 * possible <= f64::from(in_time),
            "{in_time} of {possible}"
        );
    }
    assert!(0.95 <= urgent, "{shares:?}");
    assert!(strict <= urgent && last <= strict, "{shares:?}");
    // Those that wait mostly get a slot.
    let evicted: u32 = outcomes.iter().map(|it| it.evicted).sum();
    assert!(evicted <= in_time / 2, "{evicted} of {in_time}");
    // Within a priority, each gets at least three quarters of the mean.
    let mean = f64::midpoint(strict, lenient);
    assert!(0.75 * mean <= strict.min(lenient), "{shares:?}");
}
