//! Requests under which replicas ended: who is shut out, and who is not.

use std::{collections::BTreeSet, time::Duration};

use gradeloft_policy::{
    clock::Time,
    request::quarantine::{QUARANTINE_CRASHES, Quarantine, Verdict},
};
use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, Suspect},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn request(number: u64) -> Fingerprint {
    Fingerprint::of(None, ["h", "POST", "/"], &number.to_le_bytes())
}

fn at(seconds: u64) -> Time {
    Time::ZERO.after(Duration::from_secs(seconds))
}

fn word(number: u64, starts: &[u32]) -> Suspect {
    let crash = |it: &u32| Crash {
        start: *it,
        void: false,
    };
    Suspect {
        request: request(number),
        crashes: starts.iter().map(crash).collect(),
        age_ms: 0,
    }
}

fn known(words: &[(u64, Vec<u32>)]) -> Quarantine {
    let mut known = Quarantine::default();
    for (number, starts) in words {
        known.merge(&word(*number, starts), at(100));
    }
    known
}

#[rstest]
#[case::nothing_known(&[], Verdict::Admitted)]
#[case::one_crash_is_bad_luck(&[(1, vec![10])], Verdict::Admitted)]
#[case::after_two_it_goes_alone(&[(1, vec![10, 11])], Verdict::Exclusive)]
#[case::the_same_crash_counts_once(&[(1, vec![10, 11]), (1, vec![10, 11])], Verdict::Exclusive)]
#[case::after_three_it_goes_nowhere(
    &[(1, vec![10, 11, 12])],
    Verdict::Quarantined(Duration::from_secs(600))
)]
#[case::others_with_fewer_crashes_explain_less(
    &[(1, vec![10, 11, 12]), (2, vec![10, 11]), (3, vec![12])],
    Verdict::Quarantined(Duration::from_secs(600))
)]
#[case::another_explains_one_of_them_as_well(&[(1, vec![10, 11, 12]), (2, vec![12, 13, 14])], Verdict::Exclusive)]
#[case::a_further_crash_tells_them_apart(
    &[(1, vec![10, 11, 12, 15]), (2, vec![12, 13, 14])],
    Verdict::Quarantined(Duration::from_secs(1_200))
)]
fn what_speaks_against_a_request(#[case] words: &[(u64, Vec<u32>)], #[case] verdict: Verdict) {
    let known = known(words);
    assert_eq!(known.verdict(request(1), true, at(100)), verdict);
    let innocent = known.verdict(request(9), true, at(100));
    assert_eq!(innocent, Verdict::Admitted);
}

#[test]
fn a_success_clears_a_request_whatever_comes_later_of_what_was_before() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    assert!(known.clear(request(1)));
    assert_eq!(known.verdict(request(1), false, at(100)), Verdict::Admitted);
    assert!(!known.merge(&word(1, &[10, 11, 12]), at(101)).changed);
    assert_eq!(known.verdict(request(1), false, at(101)), Verdict::Admitted);
    // It is not above suspicion by that.
    known.merge(&word(1, &[13, 14, 15]), at(102));
    let verdict = known.verdict(request(1), false, at(102));
    assert!(matches!(verdict, Verdict::Quarantined(_)), "{verdict:?}");
    assert!(!known.clear(request(2)), "nothing was known of it");
}

#[test]
fn a_suspect_is_tried_once_at_a_time() {
    let mut known = known(&[(1, vec![10, 11])]);
    known.begin_attempt(request(1));
    let busy = known.verdict(request(1), true, at(100));
    assert!(matches!(busy, Verdict::Busy(_)), "{busy:?}");
    known.end_attempt(request(1));
    assert_eq!(known.verdict(request(1), true, at(100)), Verdict::Exclusive);
}

#[test]
fn one_entry_tries_a_request_again_after_pauses_that_grow() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    let verdict = |known: &Quarantine, home, s| known.verdict(request(1), home, at(s));
    assert!(matches!(
        verdict(&known, true, 699),
        Verdict::Quarantined(_)
    ));
    assert_eq!(verdict(&known, true, 700), Verdict::Exclusive);
    assert!(matches!(
        verdict(&known, false, 700),
        Verdict::Quarantined(_)
    ));
    known.record_crash(request(1), 13, at(700));
    assert!(matches!(
        verdict(&known, true, 1_899),
        Verdict::Quarantined(_)
    ));
    assert_eq!(verdict(&known, true, 1_900), Verdict::Exclusive);
    for start in 14..40 {
        known.record_crash(request(1), start, at(2_000));
    }
    let day = 24 * 3_600;
    assert!(matches!(
        verdict(&known, true, day),
        Verdict::Quarantined(_)
    ));
    assert_eq!(verdict(&known, true, 2_000 + day), Verdict::Exclusive);
}

#[test]
fn what_is_old_is_forgotten_and_what_is_shut_out_last() {
    let mut known = known(&[(1, vec![10, 11, 12]), (2, vec![10])]);
    known.expire(at(1_050));
    assert!(known.contains(request(1)) && !known.contains(request(2)));
    known.expire(at(1_301));
    assert!(!known.contains(request(1)));
}

#[test]
fn thousands_of_suspects_push_none_out_that_is_shut_out() {
    let mut known = known(&[(1, vec![10, 11, 12])]);
    for number in 2..5_000 {
        known.record_crash(request(number), number as u32, at(101));
    }
    assert!(known.is_quarantined(request(1)));
    assert!(known.fingerprints().count() <= 1_024);
    assert!(known.contains(request(4_999)), "the newest is there");
}

#[test]
fn a_word_that_lacks_something_is_told_so() {
    let mut known = known(&[(1, vec![10, 11])]);
    assert!(known.merge(&word(1, &[10]), at(100)).incomplete);
    let same = known.merge(&word(1, &[10, 11]), at(100));
    assert!(!same.incomplete && !same.changed);
    let more = known.merge(&word(1, &[10, 11, 12]), at(100));
    assert!(more.changed && !more.incomplete);
    known.clear(request(1));
    assert!(known.merge(&word(1, &[10, 11, 12]), at(100)).incomplete);
}

proptest! {
    /// Entries that hear the same words, in whatever order and however often, know the same.
    #[test]
    fn words_may_come_late_and_twice(
        words in prop::collection::vec((0_u64..4, 0_u32..40, any::<bool>()), 1..60),
        seed in any::<u64>(),
    ) {
        let told: Vec<Suspect> = words
            .iter()
            .map(|(number, start, void)| Suspect {
                request: request(*number),
                crashes: vec![Crash { start: *start, void: *void }],
                age_ms: 0,
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut one = Quarantine::default();
        told.iter().for_each(|it| { one.merge(it, at(1)); });
        let mut other = Quarantine::default();
        for _ in 0..told.len() * 8 {
            other.merge(told.choose(&mut rng).unwrap(), at(1));
        }
        // One exchange both ways, as entries answer words that lack something.
        for number in 0..4 {
            if let Some(word) = one.snapshot(request(number), at(1)) {
                other.merge(&word, at(1));
            }
            if let Some(word) = other.snapshot(request(number), at(1)) {
                one.merge(&word, at(1));
            }
            prop_assert_eq!(
                one.snapshot(request(number), at(1)),
                other.snapshot(request(number), at(1))
            );
        }
    }
}

/// A fleet in which each replica has other requests beside the one that ends it.
struct Fleet {
    rng: ChaCha8Rng,
    replicas: usize,
    slots: usize,
    known: Quarantine,
    /// Names starts and innocent requests.
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

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// A replica ends under `others` and the requests in `with`.
    fn end(&mut self, with: &[u64], others: &[u64]) {
        let start = self.fresh() as u32;
        for number in with.iter().chain(others) {
            self.known.record_crash(request(*number), start, at(1));
        }
    }

    fn shut_out(&self, numbers: impl IntoIterator<Item = u64>) -> usize {
        let shut_out = |it: &u64| self.known.is_quarantined(request(*it));
        numbers.into_iter().filter(shut_out).count()
    }
}

/// Callers whose requests are lost with a replica send them again, to any other replica, up to three times; one
/// caller's request ends each replica that begins it. Over 200 fleets, in each of which the request comes until
/// it is shut out: it is after three crashes, in a tenth of the fleets after four or five, as another request was
/// at each of the first three by chance, and none of the innocent requests beside it ever is.
#[test]
fn the_request_at_fault_is_shut_out_and_those_beside_it_are_not() {
    let (mut innocent_total, mut wrongly, mut most, mut late) = (0, 0, 0, 0);
    for seed in 0..200 {
        let mut fleet = Fleet::new(seed);
        let mut returning: Vec<u64> = Vec::new();
        let mut innocents = BTreeSet::new();
        let mut crashes = 0;
        while fleet.shut_out([1]) == 0 {
            crashes += 1;
            assert!(crashes <= 2 * QUARANTINE_CRASHES, "seed {seed}");
            // Each of those that returned is at the replica that ends next by chance.
            let chance = 1.0 / fleet.replicas as f64;
            let mut beside: Vec<u64> = Vec::new();
            for number in std::mem::take(&mut returning) {
                if fleet.rng.random_bool(chance) {
                    beside.push(number);
                } else {
                    fleet.known.clear(request(number));
                }
            }
            while beside.len() < fleet.slots - 1 {
                beside.push(fleet.fresh());
            }
            innocents.extend(beside.iter().copied());
            fleet.end(&[1], &beside);
            returning = beside;
        }
        most = most.max(crashes);
        late += usize::from(QUARANTINE_CRASHES < crashes);
        innocent_total += innocents.len();
        wrongly += fleet.shut_out(innocents);
    }
    assert_eq!(wrongly, 0, "of {innocent_total}");
    assert!(most <= QUARANTINE_CRASHES + 2, "{most}");
    assert!(late <= 200 / 8, "{late}");
}

/// All replicas end at the same moment, twice within a minute, with callers that come again with what they lost:
/// nobody is shut out. A third time in a row without any answer between is beyond what can be told apart from a
/// request at fault only where it was alone on its replica each time.
#[test]
fn a_mass_failure_shuts_out_none() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        let all: Vec<u64> = (0..fleet.replicas * fleet.slots)
            .map(|_| fleet.fresh())
            .collect();
        for failure in 1..=3 {
            let mut left = all.clone();
            while !left.is_empty() {
                let beside: Vec<u64> = (0..fleet.slots.min(left.len()))
                    .map(|_| left.swap_remove(fleet.rng.random_range(0..left.len())))
                    .collect();
                fleet.end(&beside, &[]);
            }
            assert_eq!(
                fleet.shut_out(all.clone()),
                0,
                "failure {failure}, seed {seed}"
            );
        }
        // Their answers clear them.
        for number in &all {
            fleet.known.clear(request(*number));
        }
        let verdict = |it: &u64| fleet.known.verdict(request(*it), false, at(2));
        assert!(all.iter().all(|it| verdict(it) == Verdict::Admitted));
    }
}
