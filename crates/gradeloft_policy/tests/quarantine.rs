//! Tests of the quarantine of requests that crash replicas.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    request::quarantine::{QUARANTINE_CRASHES, Quarantine, Subjects, Verdict},
};
use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, Subject, Suspect},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn request(number: u64) -> Subject {
    Subject::Request(Fingerprint::of(
        None,
        ["h", "POST", "/"],
        &number.to_le_bytes(),
    ))
}

/// Returns the verdict on a request whose prompt has no shared parts.
fn verdict_on(known: &Quarantine, number: u64, is_retry_owner: bool, now: Time) -> Verdict {
    let subjects = Subjects {
        request: request(number).fingerprint(),
        parts: Rc::from([]),
    };
    known.verdict(&subjects, |_| is_retry_owner, now)
}

fn quarantined(number: u64, seconds: u64) -> Verdict {
    Verdict::Quarantined(request(number), Duration::from_secs(seconds))
}

fn at(seconds: u64) -> Time {
    Time::ZERO.after(Duration::from_secs(seconds))
}

fn message(number: u64, starts: &[u32]) -> Suspect {
    let crash = |it: &u32| Crash {
        start: *it,
        void: false,
        age_ms: 0,
    };
    Suspect {
        subject: request(number),
        crashes: starts.iter().map(crash).collect(),
    }
}

fn known(messages: &[(u64, Vec<u32>)]) -> Quarantine {
    let mut known = Quarantine::default();
    for (number, starts) in messages {
        known.merge(&message(*number, starts), at(100));
    }
    known
}

#[rstest]
#[case::no_crashes(&[], Verdict::Admitted)]
#[case::one_crash_has_no_effect(&[(1, vec![10])], Verdict::Admitted)]
#[case::two_crashes_make_it_exclusive(&[(1, vec![10, 11])], Verdict::Exclusive(request(1)))]
#[case::the_same_crash_counts_once(&[(1, vec![10, 11]), (1, vec![10, 11])], Verdict::Exclusive(request(1)))]
#[case::three_crashes_quarantine_it(
    &[(1, vec![10, 11, 12])],
    quarantined(1, 600)
)]
#[case::others_with_fewer_crashes_do_not_exonerate(
    &[(1, vec![10, 11, 12]), (2, vec![10, 11]), (3, vec![12])],
    quarantined(1, 600)
)]
#[case::another_request_explains_one_crash_equally_well(&[(1, vec![10, 11, 12]), (2, vec![12, 13, 14])], Verdict::Exclusive(request(1)))]
#[case::a_further_crash_distinguishes_them(
    &[(1, vec![10, 11, 12, 15]), (2, vec![12, 13, 14])],
    quarantined(1, 1_200)
)]
fn the_verdict_follows_from_crashes_and_rival_requests(
    #[case] messages: &[(u64, Vec<u32>)],
    #[case] verdict: Verdict,
) {
    let known = known(messages);
    assert_eq!(verdict_on(&known, 1, true, at(100)), verdict);
    let innocent = verdict_on(&known, 9, true, at(100));
    assert_eq!(innocent, Verdict::Admitted);
}

#[test]
fn a_success_clears_a_request_despite_late_messages() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    assert!(known.clear(request(1), at(100)));
    assert_eq!(verdict_on(&known, 1, false, at(100)), Verdict::Admitted);
    assert!(!known.merge(&message(1, &[10, 11, 12]), at(101)).changed);
    assert_eq!(verdict_on(&known, 1, false, at(101)), Verdict::Admitted);
    // The request can still be quarantined for later crashes.
    known.merge(&message(1, &[13, 14, 15]), at(102));
    let verdict = verdict_on(&known, 1, false, at(102));
    assert!(matches!(verdict, Verdict::Quarantined(..)), "{verdict:?}");
    assert!(
        !known.clear(request(2), at(100)),
        "the request is not suspect"
    );
}

#[test]
fn a_suspect_request_runs_one_attempt_at_a_time() {
    let mut known = known(&[(1, vec![10, 11])]);
    known.begin_attempt(request(1));
    let busy = verdict_on(&known, 1, true, at(100));
    assert!(matches!(busy, Verdict::Busy(..)), "{busy:?}");
    known.end_attempt(request(1));
    assert_eq!(
        verdict_on(&known, 1, true, at(100)),
        Verdict::Exclusive(request(1))
    );
}

#[test]
fn one_entry_retries_a_quarantined_request_after_growing_periods() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    let verdict = |known: &Quarantine, home, s| verdict_on(known, 1, home, at(s));
    assert!(matches!(
        verdict(&known, true, 699),
        Verdict::Quarantined(..)
    ));
    assert_eq!(verdict(&known, true, 700), Verdict::Exclusive(request(1)));
    assert!(matches!(
        verdict(&known, false, 700),
        Verdict::Quarantined(..)
    ));
    known.record_crash(request(1), 13, at(700), at(700));
    assert!(matches!(
        verdict(&known, true, 1_899),
        Verdict::Quarantined(..)
    ));
    assert_eq!(verdict(&known, true, 1_900), Verdict::Exclusive(request(1)));
    for start in 14..40 {
        known.record_crash(request(1), start, at(2_000), at(2_000));
    }
    let day = 24 * 3_600;
    assert!(matches!(
        verdict(&known, true, day),
        Verdict::Quarantined(..)
    ));
    assert_eq!(
        verdict(&known, true, 2_000 + day),
        Verdict::Exclusive(request(1))
    );
}

#[test]
fn old_suspects_expire_and_quarantined_ones_last() {
    let mut known = known(&[(1, vec![10, 11, 12]), (2, vec![10])]);
    known.expire(at(1_050));
    assert!(known.contains(request(1)) && !known.contains(request(2)));
    known.expire(at(1_301));
    assert!(!known.contains(request(1)));
}

#[test]
fn thousands_of_suspects_evict_no_quarantined_request() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    for number in 2..5_000 {
        known.record_crash(request(number), number as u32, at(101), at(101));
    }
    assert!(known.is_quarantined(request(1)));
    assert!(known.subjects().count() <= 1_024);
    assert!(known.contains(request(4_999)), "the newest suspect is kept");
}

#[test]
fn an_incomplete_message_is_reported() {
    let mut known = known(&[(1, vec![10, 11])]);
    assert!(known.merge(&message(1, &[10]), at(100)).incomplete);
    let same = known.merge(&message(1, &[10, 11]), at(100));
    assert!(!same.incomplete && !same.changed);
    let more = known.merge(&message(1, &[10, 11, 12]), at(100));
    assert!(more.changed && !more.incomplete);
    known.clear(request(1), at(100));
    assert!(known.merge(&message(1, &[10, 11, 12]), at(100)).incomplete);
}

proptest! {
    /// Guards against diverging entries: the same messages, in any order and any number of times,
    /// must lead to the same state.
    #[test]
    fn messages_may_arrive_late_and_repeatedly(
        messages in prop::collection::vec((0_u64..4, 0_u32..40, any::<bool>()), 1..60),
        seed in any::<u64>(),
    ) {
        let sent: Vec<Suspect> = messages
            .iter()
            .map(|(number, start, void)| Suspect {
                subject: request(*number),
                crashes: vec![Crash { start: *start, void: *void, age_ms: 0 }],
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut one = Quarantine::default();
        sent.iter().for_each(|it| { one.merge(it, at(1)); });
        let mut other = Quarantine::default();
        for _ in 0..sent.len() * 8 {
            other.merge(sent.choose(&mut rng).unwrap(), at(1));
        }
        // Both exchange their state once, as entries do after an incomplete message.
        for number in 0..4 {
            if let Some(message) = one.snapshot(request(number), at(1)) {
                other.merge(&message, at(1));
            }
            if let Some(message) = other.snapshot(request(number), at(1)) {
                one.merge(&message, at(1));
            }
            prop_assert_eq!(
                one.snapshot(request(number), at(1)),
                other.snapshot(request(number), at(1))
            );
        }
    }
}

/// A fleet whose replicas hold other requests beside the one that crashes them.
struct Fleet {
    rng: ChaCha8Rng,
    replicas: usize,
    slots: usize,
    known: Quarantine,
    /// Last number used for replica starts and innocent requests.
    next: u64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            replicas: 12,
            slots: 16,
            known: Quarantine::default(),
            next: 1_000,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Crashes a replica that holds `others` and the requests in `with`.
    fn crash(&mut self, with: &[u64], others: &[u64]) {
        let start = self.next_number() as u32;
        for number in with.iter().chain(others) {
            self.known
                .record_crash(request(*number), start, at(1), at(1));
        }
    }

    fn count_quarantined(&self, numbers: impl IntoIterator<Item = u64>) -> usize {
        let is_quarantined = |it: &u64| self.known.is_quarantined(request(*it));
        numbers.into_iter().filter(is_quarantined).count()
    }
}

/// Guards against missing a poison request, and against quarantining innocent requests at the same
/// replicas. Requests lost in a crash are retried at any other replica, up to three times. In 200
/// fleets the poison request is quarantined after three crashes; in a tenth of them after four or
/// five, where another request was at each of the first three by chance. No innocent request is
/// quarantined.
#[test]
fn a_poison_request_is_quarantined_and_innocent_ones_are_not() {
    let (mut innocent_total, mut wrongly_quarantined, mut most, mut late) = (0, 0, 0, 0);
    for seed in 0..200 {
        let mut fleet = Fleet::new(seed);
        let mut retried: Vec<u64> = Vec::new();
        let mut innocents = BTreeSet::new();
        let mut crashes = 0;
        while fleet.count_quarantined([1]) == 0 {
            crashes += 1;
            assert!(crashes <= 2 * QUARANTINE_CRASHES, "seed {seed}");
            // Each retried request may be at the next replica to crash.
            let chance = 1.0 / fleet.replicas as f64;
            let mut beside: Vec<u64> = Vec::new();
            for number in std::mem::take(&mut retried) {
                if fleet.rng.random_bool(chance) {
                    beside.push(number);
                } else {
                    fleet.known.clear(request(number), at(100));
                }
            }
            while beside.len() < fleet.slots - 1 {
                beside.push(fleet.next_number());
            }
            innocents.extend(beside.iter().copied());
            fleet.crash(&[1], &beside);
            retried = beside;
        }
        most = most.max(crashes);
        late += usize::from(QUARANTINE_CRASHES < crashes);
        innocent_total += innocents.len();
        wrongly_quarantined += fleet.count_quarantined(innocents);
    }
    assert_eq!(wrongly_quarantined, 0, "of {innocent_total}");
    assert!(most <= QUARANTINE_CRASHES + 2, "{most}");
    assert!(late <= 200 / 8, "{late}");
}

/// Guards against quarantining requests after mass failures: all replicas crash at the same time,
/// repeatedly, and callers retry what was lost. Without a response in between, a third failure in a
/// row looks like a poison request only if the request was alone on its replica each time.
#[test]
fn a_mass_failure_quarantines_no_request() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        let all: Vec<u64> = (0..fleet.replicas * fleet.slots)
            .map(|_| fleet.next_number())
            .collect();
        for failure in 1..=3 {
            let mut left = all.clone();
            while !left.is_empty() {
                let beside: Vec<u64> = (0..fleet.slots.min(left.len()))
                    .map(|_| left.swap_remove(fleet.rng.random_range(0..left.len())))
                    .collect();
                fleet.crash(&beside, &[]);
            }
            assert_eq!(
                fleet.count_quarantined(all.clone()),
                0,
                "failure {failure}, seed {seed}"
            );
        }
        // Responses clear the requests.
        for number in &all {
            fleet.known.clear(request(*number), at(100));
        }
        let verdict = |it: &u64| verdict_on(&fleet.known, *it, false, at(2));
        assert!(all.iter().all(|it| verdict(it) == Verdict::Admitted));
    }
}
