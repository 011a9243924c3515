//! Tests of reservations for callers that were refused and return, in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    request::{
        contention::Precedence,
        reservation::{CLAIM_WAIT_MS, Counts, Ledger, Refused},
        shortage::Shortage,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const PRECEDENCE: Precedence = Precedence { team: 0, route: 1 };
const TIMEOUT_MS: u64 = 6_000;
const RESPONSE_MS: u64 = 400;
const SLOTS: usize = 120;
/// Requests a second that the slots serve.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / RESPONSE_MS as f64;

#[derive(Clone, Copy, PartialEq)]
enum Scheme {
    Shortage,
    Ledger,
}

#[derive(Clone, Copy, PartialEq)]
enum Habit {
    /// Returns when told.
    Keeps,
    /// Returns after a third of the delay.
    Early,
    Never,
}

#[derive(Clone, Copy)]
struct Caller {
    first_ms: u64,
    tries: u32,
    booked: bool,
}

#[derive(Default)]
struct Entry {
    /// Times at which the taken slots become free.
    taken: Vec<u64>,
    /// Callers that wait for a slot ahead of newcomers, and until when.
    waiting: VecDeque<(u64, Caller)>,
    ledger: Ledger,
    shortage: Shortage,
}

/// Tries by kind, and the refused ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    sent: f64,
    refused: f64,
}

impl Tries {
    fn count(&mut self, served: bool) {
        self.sent += 1.0;
        self.refused += f64::from(u8::from(!served));
    }

    fn refused_share(self) -> f64 {
        self.refused / self.sent.max(1.0)
    }
}

struct Simulation {
    scheme: Scheme,
    habit: Habit,
    /// Whether each entry may use all slots; otherwise, each has an equal part.
    shared: bool,
    entries: Vec<Entry>,
    returning: BTreeMap<u64, Vec<Caller>>,
    rng: ChaCha8Rng,
    now_ms: u64,
    newcomers: Tries,
    returns: Tries,
    /// Returns of callers that room was reserved for.
    booked_returns: Tries,
    served: f64,
}

impl Simulation {
    fn new(scheme: Scheme, habit: Habit, entries: usize) -> Simulation {
        Simulation {
            scheme,
            habit,
            shared: false,
            entries: (0..entries).map(|_| Entry::default()).collect(),
            returning: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(11),
            now_ms: 0,
            newcomers: Tries::default(),
            returns: Tries::default(),
            booked_returns: Tries::default(),
            served: 0.0,
        }
    }

    /// Runs for `ms` at a multiple of the capacity.
    fn run(&mut self, ms: u64, load: f64) {
        for _ in 0..ms {
            self.now_ms += 1;
            for idx in 0..self.entries.len() {
                self.free_slots(idx);
            }
            for caller in self.returning.remove(&self.now_ms).unwrap_or_default() {
                self.send(caller);
            }
            let mut due = load * CAPACITY / 1000.0;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let first_ms = self.now_ms;
                self.send(Caller {
                    first_ms,
                    tries: 0,
                    booked: false,
                });
            }
        }
    }

    fn free(&self, idx: usize) -> usize {
        if self.shared {
            let taken: usize = self.entries.iter().map(|it| it.taken.len()).sum();
            SLOTS - taken
        } else {
            SLOTS / self.entries.len() - self.entries[idx].taken.len()
        }
    }

    /// Frees slots, and gives them to waiting callers.
    fn free_slots(&mut self, idx: usize) {
        let entry = &mut self.entries[idx];
        let before = entry.taken.len();
        entry.taken.retain(|it| self.now_ms < *it);
        for _ in entry.taken.len()..before {
            entry.ledger.record_freed(Time::ZERO.after_ms(self.now_ms));
        }
        while let Some((until_ms, caller)) = self.entries[idx].waiting.front().copied() {
            let is_free = 0 < self.free(idx);
            if !is_free && self.now_ms < until_ms {
                break;
            }
            self.entries[idx].waiting.pop_front();
            self.end_try(idx, caller, is_free);
        }
    }

    fn send(&mut self, caller: Caller) {
        let idx = self.rng.random_range(0..self.entries.len());
        let free = self.free(idx);
        let entry = &mut self.entries[idx];
        let now = Time::ZERO.after_ms(self.now_ms);
        let age_ms = self.now_ms - caller.first_ms;
        let age = Duration::from_millis(age_ms);
        let left = Duration::from_millis(TIMEOUT_MS - age_ms);
        let served = match self.scheme {
            Scheme::Shortage => 0 < free,
            Scheme::Ledger => {
                let kept = entry.ledger.receive(PRECEDENCE, age, left, now);
                if kept && free == 0 {
                    let until_ms = self.now_ms + CLAIM_WAIT_MS;
                    entry.waiting.push_back((until_ms, caller));
                    return;
                }
                let reserved = entry.ledger.reserved(PRECEDENCE, now);
                kept || (entry.waiting.is_empty() && reserved < free as f64)
            }
        };
        self.end_try(idx, caller, served);
    }

    fn end_try(&mut self, idx: usize, caller: Caller, served: bool) {
        if caller.tries == 0 {
            self.newcomers.count(served);
        } else {
            self.returns.count(served);
        }
        if caller.booked {
            self.booked_returns.count(served);
        }
        if served {
            self.served += 1.0;
            self.entries[idx].taken.push(self.now_ms + RESPONSE_MS);
        } else {
            self.refuse(idx, caller);
        }
    }

    fn refuse(&mut self, idx: usize, caller: Caller) {
        let age_ms = self.now_ms - caller.first_ms;
        let age = Duration::from_millis(age_ms);
        let left = Duration::from_millis(TIMEOUT_MS.saturating_sub(age_ms));
        let now = Time::ZERO.after_ms(self.now_ms);
        let entry = &mut self.entries[idx];
        let (delay, booked) = match self.scheme {
            Scheme::Shortage => {
                let shortage = &mut entry.shortage;
                let delay = shortage.record_refusal(left, Duration::ZERO, now, &mut self.rng);
                (delay, false)
            }
            Scheme::Ledger => {
                let answer = entry.ledger.refuse(refused(age, left), now, &mut self.rng);
                (answer.retry_after, answer.booked)
            }
        };
        let delay_ms = match self.habit {
            Habit::Keeps => delay.as_millis() as u64 + 1,
            Habit::Early => delay.as_millis() as u64 / 3 + 1,
            Habit::Never => return,
        };
        let returns_ms = self.now_ms + delay_ms;
        if returns_ms + RESPONSE_MS < caller.first_ms + TIMEOUT_MS && caller.tries < 4 {
            let tries = caller.tries + 1;
            let returning = self.returning.entry(returns_ms).or_default();
            returning.push(Caller {
                tries,
                booked,
                ..caller
            });
        }
    }

    fn counts(&mut self) -> Counts {
        let now = Time::ZERO.after_ms(self.now_ms);
        let counts = self.entries.iter_mut().map(|it| it.ledger.take_counts(now));
        counts.fold(Counts::default(), |sum, it| Counts {
            booked: sum.booked + it.booked,
            kept: sum.kept + it.kept,
            expired: sum.expired + it.expired,
            unbooked: sum.unbooked + it.unbooked,
        })
    }
}

fn refused(age: Duration, left: Duration) -> Refused {
    Refused {
        precedence: PRECEDENCE,
        age,
        left,
        response: Duration::from_millis(RESPONSE_MS),
        room_in: Duration::ZERO,
    }
}

fn after_pulse(scheme: Scheme, habit: Habit, entries: usize, ms: u64, load: f64) -> Simulation {
    let mut simulation = Simulation::new(scheme, habit, entries);
    // Parts of three slots would be full at random without a shortage.
    simulation.shared = SLOTS / entries < 10;
    simulation.run(5_000, 0.8);
    simulation.run(ms, load);
    simulation.run(5_000, 0.8);
    simulation
}

#[rstest]
fn callers_that_return_as_told_are_refused_again_a_third_as_often_as_without_bookings(
    #[values(4, 12, 40)] entries: usize,
    #[values(1.3, 2.0, 4.0)] load: f64,
    // A pulse, and a step.
    #[values(2_000, 10_000)] ms: u64,
) {
    let before = after_pulse(Scheme::Shortage, Habit::Keeps, entries, ms, load);
    let after = after_pulse(Scheme::Ledger, Habit::Keeps, entries, ms, load);
    let shares = (
        before.returns.refused_share(),
        after.booked_returns.refused_share(),
    );
    assert!(shares.1 <= shares.0 / 3.0, "{shares:?}");
    assert!(
        before.served * 0.98 < after.served,
        "{} {}",
        before.served,
        after.served
    );
}

#[rstest]
fn callers_that_return_early_are_served_no_more_than_newcomers(#[values(2.0, 4.0)] load: f64) {
    let early = after_pulse(Scheme::Ledger, Habit::Early, 4, 10_000, load);
    let (returns, newcomers) = (
        early.returns.refused_share(),
        early.newcomers.refused_share(),
    );
    assert!(newcomers * 0.9 <= returns, "{returns} {newcomers}");
}

#[rstest]
fn room_for_callers_that_never_return_is_given_to_newcomers(#[values(1.3, 2.0, 4.0)] load: f64) {
    let before = after_pulse(Scheme::Shortage, Habit::Never, 4, 10_000, load);
    let mut after = after_pulse(Scheme::Ledger, Habit::Never, 4, 10_000, load);
    assert!(
        before.served * 0.97 < after.served,
        "{} {}",
        before.served,
        after.served
    );
    let counts = after.counts();
    assert_eq!(
        (counts.kept, counts.expired),
        (0, counts.booked),
        "{counts:?}"
    );
}

fn busy_ledger(now: Time) -> Ledger {
    let mut ledger = Ledger::default();
    for ms in 0..4_000 {
        if ms % 20 == 0 {
            ledger.record_freed(now.before_ms(4_000 - ms));
        }
    }
    ledger
}

const NOW: Time = Time(10_000_000);

#[rstest]
// At most a third of the remaining time, as callers ignore longer delays.
#[case(6_000, 400, 0, 1_900)]
#[case(1_500, 400, 0, 400)]
// The whole response is sent before the deadline.
#[case(6_000, 5_000, 0, 1_000)]
fn a_booked_return_is_within_reach_of_the_caller(
    #[case] left_ms: u64,
    #[case] response_ms: u64,
    #[case] room_in_ms: u64,
    #[case] latest_ms: u128,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ledger = busy_ledger(NOW);
    let caller = Refused {
        response: Duration::from_millis(response_ms),
        room_in: Duration::from_millis(room_in_ms),
        ..refused(Duration::ZERO, Duration::from_millis(left_ms))
    };
    let answers: Vec<_> = (0..200)
        .map(|_| ledger.refuse(caller, NOW, &mut rng))
        .collect();
    let booked: Vec<_> = answers.iter().filter(|it| it.booked).collect();
    assert!(
        !booked.is_empty() && booked.len() < answers.len(),
        "{}",
        booked.len()
    );
    for answer in booked {
        let delay_ms = answer.retry_after.as_millis();
        assert!((60..=latest_ms).contains(&delay_ms), "{delay_ms}");
    }
    // The others are told truthfully that there is no room until the bound.
    let others = answers.iter().filter(|it| !it.booked);
    let bound = Duration::from_millis(left_ms) / 3;
    assert!(
        others
            .map(|it| it.retry_after)
            .all(|it| it.abs_diff(bound) < Duration::from_millis(1))
    );
}

#[test]
fn no_return_is_booked_into_room_that_more_urgent_newcomers_take() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ledger = busy_ledger(NOW);
    let caller = refused(Duration::ZERO, Duration::from_millis(TIMEOUT_MS));
    assert!(ledger.clone().refuse(caller, NOW, &mut rng).booked);
    let urgent = Precedence { team: 0, route: 0 };
    for _ in 0..100 {
        ledger.receive(
            urgent,
            Duration::ZERO,
            Duration::from_millis(TIMEOUT_MS),
            NOW,
        );
    }
    assert!(!ledger.refuse(caller, NOW, &mut rng).booked);
    let urgent_caller = Refused {
        precedence: urgent,
        ..caller
    };
    assert!(ledger.refuse(urgent_caller, NOW, &mut rng).booked);
}

#[test]
fn no_return_is_booked_before_a_replica_has_room() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let caller = Refused {
        room_in: Duration::from_millis(900),
        ..refused(Duration::ZERO, Duration::from_millis(TIMEOUT_MS))
    };
    let answer = busy_ledger(NOW).refuse(caller, NOW, &mut rng);
    assert!(answer.booked && Duration::from_millis(900) <= answer.retry_after);
}

#[test]
fn only_a_caller_that_waited_uses_up_a_booking_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ledger = busy_ledger(NOW);
    let left = Duration::from_millis(TIMEOUT_MS);
    let room_in = Duration::from_millis(900);
    let caller = Refused {
        room_in,
        ..refused(Duration::ZERO, left)
    };
    let answers = [0; 20].map(|_| ledger.refuse(caller, NOW, &mut rng));
    let booked = answers.iter().filter(|it| it.booked).count();
    let due = answers[0].retry_after;
    let mut claim = |age: Duration| {
        let returned = NOW.after(due.max(age));
        ledger.receive(PRECEDENCE, age, left.saturating_sub(age), returned)
    };
    assert!(!claim(Duration::ZERO), "a newcomer");
    assert!(!claim(Duration::from_millis(300)), "an early return");
    assert!(!claim(left / 3), "a return without a booking");
    let claimed = (0..100).filter(|_| claim(due)).count();
    assert!((1..=booked).contains(&claimed), "{claimed} of {booked}");
}

#[test]
fn an_unclaimed_booking_expires_after_its_grace() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ledger = busy_ledger(NOW);
    let caller = refused(Duration::ZERO, Duration::from_millis(TIMEOUT_MS));
    let due = NOW.after(ledger.refuse(caller, NOW, &mut rng).retry_after);
    let expired = |ledger: &mut Ledger, at| ledger.take_counts(at).expired;
    assert_eq!(expired(&mut ledger, due.after_ms(200)), 0);
    assert_eq!(expired(&mut ledger, due.after_ms(300)), 1);
    assert_eq!(ledger.reserved(PRECEDENCE, due.after_ms(300)), 0.0);
}

#[test]
fn slots_are_reserved_when_too_few_become_free_for_the_due_returns() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ledger = busy_ledger(NOW);
    let caller = Refused {
        room_in: Duration::from_millis(1_500),
        ..refused(Duration::ZERO, Duration::from_millis(TIMEOUT_MS))
    };
    let answers = [0; 40].map(|_| ledger.refuse(caller, NOW, &mut rng));
    let due = NOW.after(answers[0].retry_after);
    // No slot has become free since.
    let reserved = ledger.reserved(PRECEDENCE, due);
    let urgent = Precedence { team: 0, route: 0 };
    assert!(0.0 < reserved, "{reserved}");
    assert_eq!(ledger.reserved(urgent, due), 0.0);
}
