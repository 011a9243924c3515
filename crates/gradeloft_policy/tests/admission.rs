//! Tests of requests to a service short of capacity: placement, waiting and retry delays.

mod support;

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        document::Speed,
        replicas::{ReplicaKey, Replicas},
        slot_split::{self, ReplicaSlots},
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
    usual_response: 120.0,
};

const CERTAIN: Uncertainty = Uncertainty {
    overflow_probability: 1.0,
    unseen_requests: 0.0,
};

const REQUIREMENTS: Requirements<'static> = Requirements {
    zone: "z",
    min_version: None,
    resumed_version: None,
    tried: &[],
    urgency: Urgency::OnTime(400.0),
    prompt_tokens: 900.0,
    speed: Some(&SPEED),
    near: CERTAIN,
    far: CERTAIN,
};

fn add_replica(replicas: &mut Replicas, id: &str) -> ReplicaKey {
    replicas.apply_listing(listing(id, Some(1)))
}

fn choose(replicas: &Replicas, requirements: Requirements<'_>) -> Option<ReplicaKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    placement::choose(replicas.of("m"), requirements, Time::ZERO, &mut rng)
}

#[rstest]
// Its own prompt and one pass.
#[case(0, 0, 72.0)]
// Also half of the current pass.
#[case(4, 0, 93.0)]
// Also two prompts ahead of its own.
#[case(4, 2, 153.0)]
// Also the wait for one of sixteen slots: a sixteenth of a response.
#[case(16, 0, 145.5)]
fn time_to_first_token_adds_slot_prompts_and_passes(
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
fn observed_latency_corrects_the_forecast_within_bounds() {
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
fn a_request_is_placed_only_where_it_can_be_in_time() {
    let mut replicas = Replicas::default();
    let key = add_replica(&mut replicas, "a");
    let replica = replicas.get_mut(key).unwrap();
    (
        replica.own_requests,
        replica.own_waiting,
        replica.own_waiting_tokens,
    ) = (4, 4, 9_000.0);
    assert_eq!(
        choose(&replicas, REQUIREMENTS),
        None,
        "behind 300 ms of prompts"
    );
    replicas.get_mut(key).unwrap().own_waiting_tokens = 1_800.0;
    assert_eq!(choose(&replicas, REQUIREMENTS), Some(key));
    replicas.get_mut(key).unwrap().slowness.observe(1.0, 100.0);
    (0..30).for_each(|_| {
        let slow = &mut replicas.get_mut(key).unwrap().slowness;
        slow.observe(100.0, 300.0);
    });
    assert_eq!(choose(&replicas, REQUIREMENTS), None, "a slow replica");
}

#[rstest]
// An eighth of the slots stays free for requests that can be in time.
#[case(13, Urgency::Late, true)]
#[case(14, Urgency::Late, false)]
#[case(14, Urgency::OnTime(400.0), true)]
// A resumed stream may exceed a full replica's slots.
#[case(17, Urgency::OnTime(400.0), false)]
#[case(17, Urgency::Resumed, true)]
fn late_requests_leave_slots_free(#[case] load: u32, #[case] urgency: Urgency, #[case] sent: bool) {
    let mut replicas = Replicas::default();
    let key = add_replica(&mut replicas, "a");
    replicas.get_mut(key).unwrap().own_requests = load;
    let requirements = Requirements {
        urgency,
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, requirements), sent.then_some(key));
}

#[test]
fn own_slots_come_first_and_other_entries_slots_by_probability() {
    let mut replicas = Replicas::default();
    let own = add_replica(&mut replicas, "a");
    let other = add_replica(&mut replicas, "bb");
    let replica = replicas.get_mut(own).unwrap();
    (
        replica.own_slots,
        replica.own_requests,
        replica.other_requests,
    ) = (4, 3, 16);
    let no_overflow = Requirements {
        near: Uncertainty {
            overflow_probability: 0.0,
            ..CERTAIN
        },
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, no_overflow), Some(own));
    replicas.get_mut(own).unwrap().own_requests = 4;
    assert_eq!(choose(&replicas, no_overflow), None);
    assert_eq!(choose(&replicas, REQUIREMENTS), Some(other));
    let stale = Requirements {
        near: Uncertainty {
            unseen_requests: 16.0,
            ..CERTAIN
        },
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, stale), None);
}

#[test]
fn resumed_streams_rank_first_and_late_requests_last() {
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
fn a_retry_is_as_old_as_its_missing_time() {
    let route: Rc<str> = "r".into();
    let mut time_budgets = TimeBudgets::default();
    let mut age = |left_ms, now_ms| {
        let left = Duration::from_millis(left_ms);
        let age = time_budgets.age(&route, left, Time::ZERO.after_ms(now_ms));
        age.as_millis()
    };
    assert_eq!(age(6_000, 0), 0);
    assert_eq!(age(4_500, 100), 1_500);
    // Once all callers use a shorter timeout, they no longer count as older.
    assert_eq!(age(1_000, 10_000), 5_000);
    assert_eq!(age(1_000, 20_000), 0);
}

/// Guards against fresh requests that count as late: callers have timeouts from 5.1 to 6 s, and
/// some retry 2 s after a refusal. If age were measured from the longest timeout, three in five
/// first attempts would appear up to 0.9 s old.
#[test]
fn first_attempts_with_varying_timeouts_are_fresh() {
    let route: Rc<str> = "r".into();
    let mut time_budgets = TimeBudgets::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut late, mut missed) = (0, 0);
    for number in 0..400_u64 {
        let is_retry = number % 12 == 11;
        let timeout_ms = rng.random_range(5_100..6_000);
        let left = if is_retry {
            timeout_ms - 2_000
        } else {
            timeout_ms
        };
        let now = Time::ZERO.after_ms(number * 250);
        let age = time_budgets.age(&route, Duration::from_millis(left), now);
        let fresh = age <= Duration::from_millis(200);
        late += u32::from(!is_retry && !fresh && 20 < number);
        missed += u32::from(is_retry && fresh && 20 < number);
    }
    assert_eq!((late, missed), (0, 0));
}

/// Guards against losing track of first attempts when every second request is a retry after one or
/// two seconds, for longer than samples are kept. All callers use the same timeout.
#[test]
fn retries_of_uniform_callers_keep_their_age_in_a_long_shortage() {
    let route: Rc<str> = "r".into();
    let mut time_budgets = TimeBudgets::default();
    for number in 0..400_u64 {
        let waited = if number % 2 == 1 {
            1_000 + number * 2
        } else {
            0
        };
        let left = Duration::from_millis(6_000 - waited);
        let age = time_budgets.age(&route, left, Time::ZERO.after_ms(number * 250));
        assert_eq!(age, Duration::from_millis(waited), "request {number}");
    }
}

#[test]
fn time_budgets_of_removed_routes_are_dropped() {
    let route: Rc<str> = "r".into();
    let mut time_budgets = TimeBudgets::default();
    time_budgets.age(&route, Duration::from_millis(6_000), Time::ZERO);
    time_budgets.retain(|it| it != "r");
    let left = Duration::from_millis(1_000);
    assert_eq!(time_budgets.age(&route, left, Time::ZERO), Duration::ZERO);
}

#[test]
fn retry_delays_grow_with_the_duration_of_a_shortage() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut shortage = Shortage::default();
    let left = Duration::from_millis(6_000);
    let mut delay_ms = |at_ms| {
        let delay =
            shortage.record_refusal(left, Duration::ZERO, Time::ZERO.after_ms(at_ms), &mut rng);
        delay.as_millis()
    };
    assert!((45..=60).contains(&delay_ms(1_000)));
    let (mut second, mut fourth) = (0, 0);
    for at in (1_000..=5_000).step_by(100) {
        let delay = delay_ms(at);
        second = if at == 2_000 { delay } else { second };
        fourth = if at == 5_000 { delay } else { fourth };
    }
    assert!((750..=1_000).contains(&second), "{second}");
    // Capped at the delay that callers accept.
    assert!((1_500..=2_000).contains(&fourth), "{fourth}");
    assert!(delay_ms(9_000) <= 60, "a new shortage");
}

#[test]
fn callers_that_pipeline_make_way_for_two_seconds_after_another_was_refused() {
    let mut shortage = Shortage::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let at = |ms| Time::ZERO.after_ms(ms);
    shortage.record_refusal(Duration::from_secs(6), Duration::ZERO, at(500), &mut rng);
    assert_eq!(
        shortage.makes_way_for(at(500)),
        None,
        "its caller pipelines"
    );
    shortage.record_patient(at(1_000));
    let left = |ms| shortage.makes_way_for(at(ms)).map(|it| it.as_millis());
    assert_eq!(left(1_000), Some(2_000));
    assert_eq!(left(2_999), Some(1));
    assert_eq!(left(3_000), None);
}

#[test]
fn a_refused_caller_returns_when_a_replica_accepts_a_request_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut delay_ms = |left_ms, room_in_ms| {
        let left = Duration::from_millis(left_ms);
        let room_in = Duration::from_millis(room_in_ms);
        let delay = Shortage::default().record_refusal(left, room_in, Time::ZERO, &mut rng);
        delay.as_millis()
    };
    for _ in 0..20 {
        assert!((800..=1_000).contains(&delay_ms(6_000, 800)));
        // Callers accept no more than a third of their remaining time.
        assert_eq!(delay_ms(1_200, 800), 400);
    }
}

#[rstest]
#[case(Some(1_400), Some(1_500))]
#[case(Some(1_500), None)]
#[case(None, None)]
fn a_request_waits_for_a_replica_that_accepts_one_in_time(
    #[case] room_at_ms: Option<u64>,
    #[case] until_ms: Option<u64>,
) {
    let received = Time::ZERO.after_ms(1_000);
    let until = wait::wait_deadline(
        Urgency::OnTime(500.0),
        ExclusionCounts {
            limited: 1,
            room_at: room_at_ms.map(|it| Time::ZERO.after_ms(it)),
            ..ExclusionCounts::default()
        },
        received,
        Duration::from_millis(500),
        received.after_ms(6_000),
        received,
        false,
    );
    assert_eq!(until, until_ms.map(|it| Time::ZERO.after_ms(it)));
}

proptest! {
    #[test]
    fn every_slot_belongs_to_one_entry_and_entries_have_similar_totals(
        entries in 1usize..420,
        replicas in 1usize..120,
        slots in 1u32..20,
    ) {
        let all: Vec<ReplicaSlots> = (0..replicas as u64).map(|key| ReplicaSlots { key, slots }).collect();
        let hashes: Vec<u64> = (0..entries as u64).collect();
        let of = slot_split::all_parts(&hashes, &all);
        // Each entry computes its own parts alone.
        for own in [0, entries / 2, entries - 1] {
            prop_assert_eq!(&slot_split::parts(own, &hashes, &all), &of[own]);
        }
        for replica in 0..replicas {
            let sum: u32 = of.iter().map(|it| it[replica]).sum();
            prop_assert_eq!(sum, slots);
        }
        let totals = of.iter().map(|it| it.iter().sum::<u32>());
        let (least, most) = (totals.clone().min().unwrap(), totals.max().unwrap());
        prop_assert!(most - least <= 1, "{least}..{most}");
    }
}

#[rstest]
// Until the response would be late.
#[case(Urgency::OnTime(500.0), 5, 500, 6_000, Some(1_500))]
#[case(Urgency::Late, 5, 500, 6_000, Some(1_500))]
// At most a quarter of the caller's time.
#[case(Urgency::OnTime(500.0), 5, 500, 1_000, Some(1_250))]
// A resumed stream waits from when it broke off.
#[case(Urgency::Resumed, 5, 500, 6_000, Some(3_200))]
#[case(Urgency::Resumed, 5, 500, 1_500, Some(2_500))]
// No replica accepts such requests, so the caller is refused at once.
#[case(Urgency::OnTime(500.0), 0, 500, 6_000, None)]
#[case(Urgency::Resumed, 0, 500, 6_000, None)]
fn a_request_waits_for_room_while_it_can_be_in_time(
    #[case] urgency: Urgency,
    #[case] full: u32,
    #[case] objective_ms: u64,
    #[case] time_ms: u64,
    #[case] until_ms: Option<u64>,
) {
    let exclusions = ExclusionCounts {
        full,
        ..ExclusionCounts::default()
    };
    let received = Time::ZERO.after_ms(1_000);
    let until = |refused| {
        let until = wait::wait_deadline(
            urgency,
            exclusions,
            received,
            Duration::from_millis(objective_ms),
            received.after_ms(time_ms),
            Time::ZERO.after_ms(2_000),
            refused,
        );
        until.map(|it| it.since(Time::ZERO).as_millis() as u64)
    };
    assert_eq!(until(false), until_ms);
    // While others are refused, only resumed streams wait.
    let waits = urgency == Urgency::Resumed;
    assert_eq!(until(true), until_ms.filter(|_| waits));
}

#[test]
fn a_shortage_is_inactive_two_seconds_after_the_last_refusal() {
    let mut shortage = Shortage::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert!(!shortage.is_active(Time::ZERO));
    shortage.record_refusal(Duration::from_secs(6), Duration::ZERO, Time::ZERO, &mut rng);
    assert!(shortage.is_active(Time::ZERO.after_ms(1_999)));
    assert!(!shortage.is_active(Time::ZERO.after_ms(2_000)));
}
