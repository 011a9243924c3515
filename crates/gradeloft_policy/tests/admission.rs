//! Decisions about requests to a service that is short: who is sent where, and who comes back when.

mod support;

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        document::Speed,
        replicas::{ReplicaKey, Replicas},
        slot_split,
    },
    request::{
        caller_age::TimeBudgets,
        forecast::{Queue, Slowness, first_token_ms},
        placement::{self, ExclusionCounts, Requirements, Uncertainty, Urgency},
        shortage::Shortage,
        wait,
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::listing;

const SPEED: Speed = Speed {
    step_ms: 7.0,
    step_ms_per_request: 0.0,
    steps: 6,
    read_per_ms: 30.0,
    usual_prompt: 900.0,
    usual_answer: 120.0,
};

const SURE: Uncertainty = Uncertainty {
    overflow_probability: 1.0,
    unseen_requests: 0.0,
};

const WISH: Requirements<'static> = Requirements {
    zone: "z",
    min_version: None,
    resumed_version: None,
    tried: &[],
    urgency: Urgency::OnTime(400.0),
    prompt_tokens: 900.0,
    speed: Some(&SPEED),
    near: SURE,
    far: SURE,
};

fn listed(replicas: &mut Replicas, id: &str) -> ReplicaKey {
    replicas.apply_listing(listing(id, Some(1)))
}

fn choose(replicas: &Replicas, wish: Requirements<'_>) -> Option<ReplicaKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    placement::choose(replicas.of("m"), wish, Time::ZERO, &mut rng)
}

#[rstest]
// Its prompt and a pass.
#[case(0, 0, 72.0)]
// Half of a pass that goes on as well.
#[case(4, 0, 93.0)]
// Two prompts before its own.
#[case(4, 2, 153.0)]
// A slot of sixteen that is free after a sixteenth of an answer.
#[case(16, 0, 145.5)]
fn the_first_token_comes_after_a_slot_the_prompts_before_and_a_pass(
    #[case] begun: u32,
    #[case] waiting: u32,
    #[case] expected_ms: f64,
) {
    let queue = Queue {
        slots: 16,
        begun,
        waiting,
        waiting_tokens: 900.0 * f64::from(waiting),
    };
    assert_eq!(first_token_ms(&SPEED, queue, 900.0), expected_ms);
}

#[test]
fn answers_correct_the_forecast_within_bounds() {
    let mut slowness = Slowness::default();
    (0..100).for_each(|_| slowness.observe(100.0, 250.0));
    assert!((2.4..2.6).contains(&slowness.factor()));
    (0..100).for_each(|_| slowness.observe(100.0, 60_000.0));
    assert!(slowness.factor() <= 4.0);
    let before = slowness;
    slowness.observe(0.0, 100.0);
    assert_eq!(slowness, before);
}

#[test]
fn a_request_goes_where_it_can_be_in_time_and_is_refused_where_it_cannot() {
    let mut replicas = Replicas::default();
    let key = listed(&mut replicas, "a");
    let replica = replicas.get_mut(key).unwrap();
    (
        replica.own_requests,
        replica.own_waiting,
        replica.own_waiting_tokens,
    ) = (4, 4, 9_000.0);
    assert_eq!(choose(&replicas, WISH), None, "behind 300 ms of prompts");
    replicas.get_mut(key).unwrap().own_waiting_tokens = 1_800.0;
    assert_eq!(choose(&replicas, WISH), Some(key));
    replicas.get_mut(key).unwrap().slowness.observe(1.0, 100.0);
    (0..30).for_each(|_| {
        let slow = &mut replicas.get_mut(key).unwrap().slowness;
        slow.observe(100.0, 300.0);
    });
    assert_eq!(choose(&replicas, WISH), None, "a slow replica");
}

#[rstest]
// An eighth of the slots stays free for those that can be in time.
#[case(13, Urgency::Late, true)]
#[case(14, Urgency::Late, false)]
#[case(14, Urgency::OnTime(400.0), true)]
// A stream that goes on is not held up by a full replica's slots.
#[case(17, Urgency::OnTime(400.0), false)]
#[case(17, Urgency::Resumed, true)]
fn late_requests_fill_what_is_left_free(
    #[case] load: u32,
    #[case] urgency: Urgency,
    #[case] sent: bool,
) {
    let mut replicas = Replicas::default();
    let key = listed(&mut replicas, "a");
    replicas.get_mut(key).unwrap().own_requests = load;
    let wish = Requirements { urgency, ..WISH };
    assert_eq!(choose(&replicas, wish), sent.then_some(key));
}

#[test]
fn own_slots_are_filled_whatever_others_told_and_theirs_only_by_chance() {
    let mut replicas = Replicas::default();
    let own = listed(&mut replicas, "a");
    let other = listed(&mut replicas, "bb");
    let replica = replicas.get_mut(own).unwrap();
    (
        replica.own_slots,
        replica.own_requests,
        replica.other_requests,
    ) = (4, 3, 16);
    let never = Requirements {
        near: Uncertainty {
            overflow_probability: 0.0,
            ..SURE
        },
        ..WISH
    };
    assert_eq!(choose(&replicas, never), Some(own));
    replicas.get_mut(own).unwrap().own_requests = 4;
    assert_eq!(choose(&replicas, never), None);
    assert_eq!(choose(&replicas, WISH), Some(other));
    let stale = Requirements {
        near: Uncertainty {
            unseen_requests: 16.0,
            ..SURE
        },
        ..WISH
    };
    assert_eq!(choose(&replicas, stale), None);
}

#[test]
fn ranks_put_streams_first_and_late_requests_last() {
    let ranks = [
        Urgency::Resumed.rank(9),
        Urgency::OnTime(1.0).rank(0),
        Urgency::OnTime(1.0).rank(9),
        Urgency::Late.rank(0),
        Urgency::Late.rank(9),
    ];
    assert_eq!(ranks, [0, 1, 4, 5, 9]);
}

#[test]
fn a_caller_that_comes_back_is_as_old_as_the_time_that_it_lacks() {
    let route: Rc<str> = "r".into();
    let mut patience = TimeBudgets::default();
    let mut age = |left_ms, now_ms| {
        let left = Duration::from_millis(left_ms);
        let age = patience.age(&route, left, Time::ZERO.after_ms(now_ms));
        age.as_millis()
    };
    assert_eq!(age(6_000, 0), 0);
    assert_eq!(age(4_500, 100), 1_500);
    // Callers that all wait for less time are no older for it, some time after others did.
    assert_eq!(age(1_000, 10_000), 5_000);
    assert_eq!(age(1_000, 20_000), 0);
}

/// Callers that wait for 5.1 to 6 seconds, and some that were refused and came back after two. By the most that any
/// of them told, three in five first tries were up to 0.9 s old and late before they began.
#[test]
fn first_tries_of_callers_that_differ_in_patience_are_fresh() {
    let route: Rc<str> = "r".into();
    let mut patience = TimeBudgets::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut late, mut missed) = (0, 0);
    for number in 0..400_u64 {
        let comes_back = number % 12 == 11;
        let whole = rng.random_range(5_100..6_000);
        let left = if comes_back { whole - 2_000 } else { whole };
        let now = Time::ZERO.after_ms(number * 250);
        let age = patience.age(&route, Duration::from_millis(left), now);
        let fresh = age <= Duration::from_millis(200);
        late += u32::from(!comes_back && !fresh && 20 < number);
        missed += u32::from(comes_back && fresh && 20 < number);
    }
    assert_eq!((late, missed), (0, 0));
}

/// In a shortage that outlasts what is remembered, every second request comes back after a second or two. Where callers
/// all wait as long, each is told from a first try all the same.
#[test]
fn in_a_long_shortage_callers_that_are_alike_are_as_old_as_the_time_that_they_lack() {
    let route: Rc<str> = "r".into();
    let mut patience = TimeBudgets::default();
    for number in 0..400_u64 {
        let waited = if number % 2 == 1 {
            1_000 + number * 2
        } else {
            0
        };
        let left = Duration::from_millis(6_000 - waited);
        let age = patience.age(&route, left, Time::ZERO.after_ms(number * 250));
        assert_eq!(age, Duration::from_millis(waited), "request {number}");
    }
}

#[test]
fn what_callers_of_a_route_that_is_gone_told_is_forgotten() {
    let route: Rc<str> = "r".into();
    let mut patience = TimeBudgets::default();
    patience.age(&route, Duration::from_millis(6_000), Time::ZERO);
    patience.retain(|it| it != "r");
    let left = Duration::from_millis(1_000);
    assert_eq!(patience.age(&route, left, Time::ZERO), Duration::ZERO);
}

#[test]
fn callers_come_back_soon_from_a_moments_shortage_and_late_from_a_long_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut shortage = Shortage::default();
    let left = Duration::from_millis(6_000);
    let mut back_ms = |at_ms| {
        let back = shortage.record_refusal(left, Time::ZERO.after_ms(at_ms), &mut rng);
        back.as_millis()
    };
    assert!((45..=60).contains(&back_ms(1_000)));
    let (mut second, mut fourth) = (0, 0);
    for at in (1_000..=5_000).step_by(100) {
        let back = back_ms(at);
        second = if at == 2_000 { back } else { second };
        fourth = if at == 5_000 { back } else { fourth };
    }
    assert!((750..=1_000).contains(&second), "{second}");
    // No longer than callers heed it.
    assert!((1_500..=2_000).contains(&fourth), "{fourth}");
    assert!(back_ms(9_000) <= 60, "another shortage");
}

proptest! {
    #[test]
    fn every_slot_is_the_part_of_one_entry_and_entries_have_much_the_same(
        entries in 1usize..420,
        replicas in 1usize..120,
        slots in 1u32..20,
    ) {
        let all = vec![slots; replicas];
        let of: Vec<Vec<u32>> = (0..entries).map(|it| slot_split::parts(it, entries, &all)).collect();
        for replica in 0..replicas {
            let sum: u32 = of.iter().map(|it| it[replica]).sum();
            prop_assert_eq!(sum, slots);
        }
        let totals = of.iter().map(|it| it.iter().sum::<u32>());
        let (least, most) = (totals.clone().min().unwrap(), totals.max().unwrap());
        // A holder more or less, and what is left over at each of its replicas.
        prop_assert!(most - least <= 2 + slots + replicas as u32, "{least}..{most}");
    }
}

#[rstest]
// For as long as it can be in time.
#[case(Urgency::OnTime(500.0), 5, 500, 6_000, Some(1_500))]
#[case(Urgency::Late, 5, 500, 6_000, Some(1_500))]
// A quarter of the caller's time at most.
#[case(Urgency::OnTime(500.0), 5, 500, 1_000, Some(1_250))]
// A stream that goes on, from when it broke.
#[case(Urgency::Resumed, 5, 500, 6_000, Some(3_200))]
#[case(Urgency::Resumed, 5, 500, 1_500, Some(2_500))]
// No replica takes requests at all: the caller is told at once.
#[case(Urgency::OnTime(500.0), 0, 500, 6_000, None)]
#[case(Urgency::Resumed, 0, 500, 6_000, None)]
fn a_request_waits_for_room_while_that_is_of_use(
    #[case] urgency: Urgency,
    #[case] full: u32,
    #[case] objective_ms: u64,
    #[case] time_ms: u64,
    #[case] until_ms: Option<u64>,
) {
    let census = ExclusionCounts {
        full,
        ..ExclusionCounts::default()
    };
    let received = Time::ZERO.after_ms(1_000);
    let until = |refused| {
        let until = wait::wait_deadline(
            urgency,
            census,
            received,
            Duration::from_millis(objective_ms),
            received.after_ms(time_ms),
            Time::ZERO.after_ms(2_000),
            refused,
        );
        until.map(|it| it.since(Time::ZERO).as_millis() as u64)
    };
    assert_eq!(until(false), until_ms);
    // While others are refused, only streams that go on wait.
    let waits = urgency == Urgency::Resumed;
    assert_eq!(until(true), until_ms.filter(|_| waits));
}

#[test]
fn want_of_room_is_a_moments_again_after_two_seconds_without_a_refusal() {
    let mut shortage = Shortage::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert!(!shortage.is_active(Time::ZERO));
    shortage.record_refusal(Duration::from_secs(6), Time::ZERO, &mut rng);
    assert!(shortage.is_active(Time::ZERO.after_ms(1_999)));
    assert!(!shortage.is_active(Time::ZERO.after_ms(2_000)));
}
