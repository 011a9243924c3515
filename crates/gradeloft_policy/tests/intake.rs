//! Tests of the bounds on what the clients of a listener make a process hold.

use gradeloft_policy::{
    clock::Time,
    connection::intake::{Activity, ConnectionKey, Content, Growth, Intake, Limits},
};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    connections: 4,
    shared_bytes: 1_000,
    reserved_bytes: 200,
};

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// Opens connections with the given states, one each millisecond.
fn intake(activities: &[Activity]) -> (Intake, Vec<ConnectionKey>) {
    let mut intake = Intake::new(LIMITS);
    let keys = (0..).zip(activities).map(|(ms, activity)| {
        let (key, victim) = intake.open(at(ms)).expect("there is room");
        assert_eq!(victim, None);
        intake.set_activity(key, *activity, at(ms));
        key
    });
    let keys = keys.collect();
    (intake, keys)
}

#[test]
fn a_connection_that_waits_for_its_client_goes_first() {
    use Activity::{Closing, Idle, Receiving, Serving};
    let (mut intake, keys) = intake(&[Serving, Idle, Closing, Receiving]);
    let mut ended = Vec::new();
    // Of the new connections, all are being served.
    for _ in 0..3 {
        let (key, victim) = intake.open(at(1_500)).expect("a connection ends");
        intake.set_activity(key, Serving, at(1_500));
        ended.extend(victim.map(|it| it.key));
    }
    assert_eq!(ended, [keys[2], keys[3], keys[1]]);
    assert_eq!(intake.open(at(1_500)), None);
    assert_eq!(intake.connections(), LIMITS.connections);
}

#[test]
fn the_connection_that_has_kept_others_waiting_for_longest_goes_first() {
    use Activity::{Idle, Receiving, Serving};
    let (mut intake, keys) = intake(&[Serving, Receiving, Idle, Idle]);
    let (_, victim) = intake.open(at(500)).expect("a connection ends");
    assert_eq!(victim.map(|it| it.key), Some(keys[1]));
}

#[test]
fn a_crowd_of_newcomers_leaves_each_the_time_to_send_a_request() {
    use Activity::{Idle, Receiving};
    let (mut intake, keys) = intake(&[Idle, Receiving, Idle, Idle]);
    assert_eq!(intake.open(at(99)), None);
    let (_, victim) = intake.open(at(100)).expect("a connection ends");
    assert_eq!(victim.map(|it| it.key), Some(keys[0]));
    assert_eq!(intake.open(at(100)), None);
}

/// Guards against a refusal that is lost, as its connection is reset right after it was sent.
#[test]
fn a_crowd_of_newcomers_leaves_each_the_time_to_read_its_response() {
    use Activity::{Closing, Idle, Serving};
    let (mut intake, keys) = intake(&[Serving, Closing, Serving, Serving]);
    intake.set_activity(keys[0], Closing, at(1_000));
    let (_, victim) = intake.open(at(1_099)).expect("a connection ends");
    assert_eq!(victim.map(|it| it.key), Some(keys[1]));
    assert_eq!(intake.open(at(1_099)), None);
    let (_, victim) = intake.open(at(1_100)).expect("a connection ends");
    assert_eq!(
        victim.map(|it| (it.key, it.activity)),
        Some((keys[0], Closing))
    );
    // A newcomer that sends nothing goes before one that was just responded to.
    intake.set_activity(keys[2], Closing, at(1_150));
    let (_, victim) = intake.open(at(1_200)).expect("a connection ends");
    assert_eq!(victim.map(|it| it.activity), Some(Idle));
}

#[test]
fn an_old_incomplete_body_makes_room_for_a_new_one() {
    let (mut intake, keys) = intake(&[Activity::Receiving; 3]);
    for key in &keys[..2] {
        assert_eq!(
            intake.grow(*key, 400, Content::Body, at(10)),
            Growth::Granted
        );
    }
    let Growth::Waits(victims) = intake.grow(keys[2], 300, Content::Body, at(20)) else {
        panic!("a request ends");
    };
    assert_eq!(
        victims.iter().map(|it| it.key).collect::<Vec<_>>(),
        [keys[0]]
    );
    let again = intake.grow(keys[2], 300, Content::Body, at(20));
    assert_eq!(again, Growth::Waits(Vec::new()), "one victim is enough");
    intake.shrink(keys[0], 400);
    assert_eq!(
        intake.grow(keys[2], 300, Content::Body, at(20)),
        Growth::Granted
    );
    assert_eq!(
        intake.grow(keys[0], 1, Content::Body, at(20)),
        Growth::Refused
    );
    assert_eq!(intake.held_bytes(), 700);
}

#[test]
fn the_body_that_has_held_most_for_longest_is_itself_refused() {
    let (mut intake, keys) = intake(&[Activity::Receiving; 2]);
    assert_eq!(
        intake.grow(keys[0], 600, Content::Body, at(10)),
        Growth::Granted
    );
    assert_eq!(
        intake.grow(keys[1], 100, Content::Body, at(10)),
        Growth::Granted
    );
    assert_eq!(
        intake.grow(keys[0], 200, Content::Body, at(20)),
        Growth::Refused
    );
    assert_eq!(intake.held_bytes(), 700);
}

#[test]
fn requests_that_are_served_keep_their_memory() {
    let (mut intake, keys) = intake(&[Activity::Serving, Activity::Receiving]);
    assert_eq!(
        intake.grow(keys[0], 800, Content::Body, at(10)),
        Growth::Granted
    );
    assert_eq!(
        intake.grow(keys[1], 10, Content::Body, at(5_000)),
        Growth::Refused
    );
    assert_eq!(
        intake.grow(keys[1], 200, Content::Other, at(5_000)),
        Growth::Granted
    );
}

#[test]
fn a_request_that_completes_before_it_ends_keeps_its_memory() {
    let (mut intake, keys) = intake(&[Activity::Receiving; 2]);
    assert_eq!(
        intake.grow(keys[0], 800, Content::Body, at(10)),
        Growth::Granted
    );
    assert!(matches!(
        intake.grow(keys[1], 10, Content::Body, at(20)),
        Growth::Waits(_)
    ));
    intake.set_activity(keys[0], Activity::Serving, at(20));
    assert_eq!(
        intake.grow(keys[1], 10, Content::Body, at(20)),
        Growth::Refused
    );
    assert_eq!(intake.held_bytes(), 800);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Close(usize),
    Set(usize, Activity),
    Grow(usize, usize, Content),
    Shrink(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let activity = prop_oneof![
        Just(Activity::Closing),
        Just(Activity::Idle),
        Just(Activity::Receiving),
        Just(Activity::Serving),
    ];
    let content = prop_oneof![Just(Content::Body), Just(Content::Other)];
    prop_oneof![
        Just(Step::Open),
        (0..8_usize).prop_map(Step::Close),
        (0..8_usize, activity).prop_map(|(idx, activity)| Step::Set(idx, activity)),
        (0..8_usize, 1..600_usize, content).prop_map(|(idx, bytes, it)| Step::Grow(idx, bytes, it)),
        (0..8_usize, 1..600_usize).prop_map(|(idx, bytes)| Step::Shrink(idx, bytes)),
    ]
}

proptest! {
    /// Guards against an account that passes its limit, or that keeps bytes of closed connections.
    #[test]
    fn the_account_stays_within_its_limits_and_returns_to_zero(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut intake = Intake::new(LIMITS);
        let mut keys: Vec<ConnectionKey> = Vec::new();
        for (ms, step) in (0..).zip(steps) {
            let now = at(ms * 37);
            let key = |idx: usize| keys.get(idx % keys.len().max(1)).copied();
            match step {
                Step::Open => keys.extend(intake.open(now).map(|it| it.0)),
                Step::Close(idx) => key(idx).into_iter().for_each(|it| intake.close(it)),
                Step::Set(idx, activity) => {
                    key(idx).into_iter().for_each(|it| intake.set_activity(it, activity, now));
                }
                Step::Grow(idx, bytes, content) => {
                    let before = intake.held_bytes();
                    let grown = key(idx).map(|it| intake.grow(it, bytes, content, now));
                    if grown == Some(Growth::Granted) && content == Content::Body {
                        let limit = LIMITS.shared_bytes - LIMITS.reserved_bytes;
                        prop_assert!(intake.held_bytes() <= limit.max(before));
                    }
                }
                Step::Shrink(idx, bytes) => {
                    key(idx).into_iter().for_each(|it| intake.shrink(it, bytes));
                }
            }
            prop_assert!(intake.held_bytes() <= LIMITS.shared_bytes);
            prop_assert!(intake.connections() <= LIMITS.connections);
        }
        for key in keys {
            intake.close(key);
        }
        prop_assert_eq!((intake.held_bytes(), intake.connections()), (0, 0));
    }
}
