//! Tests of admission, response validation, retries and routing of a request.

use gradeloft_policy::{
    clock::Time,
    request::{
        admission::{Rate, TeamLimiter, should_shed},
        response::ResponseChecker,
        retry::{self, Budget, Failure, Repeat},
        route::{self, Candidate, Locality},
    },
};
use gradeloft_wire::{
    error::{Kind, Ran, Retry},
    frame::Reply,
    id::{Digest, RequestId},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const REQUEST: RequestId = RequestId(7);

fn piece(request: u128, version: &str, seq: u64, data: &str) -> Reply {
    let (request, version) = (RequestId(request), version.to_owned());
    Reply::Piece {
        request,
        version,
        seq,
        data: data.as_bytes().to_vec(),
    }
}

fn end(version: &str, count: u64, text: &str) -> Reply {
    let digest = Digest::of(text.as_bytes());
    Reply::End {
        request: REQUEST,
        version: version.to_owned(),
        count,
        digest,
    }
}

#[test]
fn a_complete_response_is_accepted() {
    let mut checker = ResponseChecker::new(REQUEST, "v1");
    assert_eq!(checker.accept(&piece(7, "v1", 0, "a")), Ok(()));
    assert_eq!(checker.accept(&piece(7, "v1", 1, "b")), Ok(()));
    assert_eq!(checker.accept(&end("v1", 2, "ab")), Ok(()));
    assert!(checker.is_complete());
}

#[rstest]
#[case::crossed(piece(8, "v1", 1, "b"))]
#[case::mixed_version(piece(7, "v2", 1, "b"))]
#[case::repeated(piece(7, "v1", 0, "a"))]
#[case::gap(piece(7, "v1", 2, "c"))]
#[case::early_end(end("v1", 2, "a"))]
#[case::wrong_digest(end("v1", 1, "b"))]
#[case::end_of_another_version(end("v2", 1, "a"))]
#[case::no_answer_at_all(Reply::Have(Vec::new()))]
fn an_invalid_frame_ends_the_response(#[case] frame: Reply) {
    let mut checker = ResponseChecker::new(REQUEST, "v1");
    checker.accept(&piece(7, "v1", 0, "a")).unwrap();
    assert_eq!(checker.accept(&frame), Err(Kind::Mismatch));
    assert!(!checker.is_complete());
}

#[test]
fn a_frame_after_the_end_is_rejected() {
    let mut checker = ResponseChecker::new(REQUEST, "v1");
    checker.accept(&end("v1", 0, "")).unwrap();
    assert_eq!(
        checker.accept(&piece(7, "v1", 0, "late")),
        Err(Kind::Mismatch)
    );
}

fn failure(kind: Kind, repeat: Repeat) -> Failure {
    Failure {
        kind,
        attempts: 1,
        repeat,
        response_started: false,
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
    for kind in Kind::ALL.iter().copied() {
        let tried = |repeat| {
            let mut budget = Budget::new(10);
            let deadline = Time::ZERO.after_ms(1);
            retry::should_retry(failure(kind, repeat), &mut budget, Time::ZERO, deadline)
        };
        let row = kind.row();
        assert_eq!(
            tried(Repeat::Allowed),
            row.retry != Retry::Never,
            "{kind:?}"
        );
        assert_eq!(
            tried(Repeat::Never),
            row.retry == Retry::Elsewhere,
            "{kind:?}"
        );
        if tried(Repeat::Never) {
            assert_eq!(row.ran, Ran::No, "{kind:?}");
        }
    }
}

#[test]
fn no_retry_after_partial_response_deadline_or_last_attempt() {
    let again = |failure: Failure, now: Time| {
        let mut budget = Budget::new(10);
        retry::should_retry(failure, &mut budget, now, Time::ZERO.after_ms(10))
    };
    let fresh = failure(Kind::Busy, Repeat::Allowed);
    assert!(again(fresh, Time::ZERO));
    assert!(!again(
        Failure {
            response_started: true,
            ..fresh
        },
        Time::ZERO
    ));
    assert!(!again(
        Failure {
            attempts: retry::MAX_ATTEMPTS,
            ..fresh
        },
        Time::ZERO
    ));
    assert!(!again(fresh, Time::ZERO.after_ms(10)));
}

#[test]
fn retries_are_a_share_of_new_requests_when_a_zone_fails() {
    let mut budget = Budget::new(10);
    let deadline = Time::ZERO.after_ms(1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        let failed = failure(Kind::Unreachable, Repeat::Allowed);
        retries += u32::from(retry::should_retry(
            failed,
            &mut budget,
            Time::ZERO,
            deadline,
        ));
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

const RATE: Rate = Rate {
    requests: 10.0,
    tokens: 100.0,
};

fn ledger() -> TeamLimiter {
    let mut ledger = TeamLimiter::default();
    ledger.set_rate("loud", RATE, Time::ZERO);
    ledger.set_rate("quiet", RATE, Time::ZERO);
    ledger
}

#[test]
fn a_team_over_its_rate_is_limited_and_others_are_not() {
    let mut ledger = ledger();
    let admitted = (0..100)
        .filter(|_| ledger.admit("loud", 1.0, Time::ZERO).is_ok())
        .count();
    assert_eq!(admitted, 20, "two seconds of its rate");
    assert_eq!(
        ledger.admit("loud", 1.0, Time::ZERO),
        Err(Kind::RateLimited)
    );
    assert_eq!(ledger.admit("quiet", 1.0, Time::ZERO), Ok(()));
    assert_eq!(ledger.admit("loud", 1.0, Time::ZERO.after_ms(100)), Ok(()));
}

#[test]
fn a_team_that_overdraws_its_tokens_is_limited_until_refill() {
    let mut ledger = ledger();
    assert_eq!(ledger.admit("loud", 0.0, Time::ZERO), Ok(()));
    ledger.charge("loud", 300.0, Time::ZERO);
    let at = |ms| Time::ZERO.after_ms(ms);
    assert_eq!(ledger.admit("loud", 0.0, at(900)), Err(Kind::RateLimited));
    assert_eq!(ledger.admit("loud", 0.0, at(1_100)), Ok(()));
}

#[test]
fn a_new_bundle_keeps_bucket_levels_and_drops_removed_teams() {
    let mut ledger = ledger();
    while ledger.admit("loud", 0.0, Time::ZERO).is_ok() {}
    ledger.retain(|it| it == "loud");
    ledger.set_rate(
        "loud",
        Rate {
            requests: 20.0,
            ..RATE
        },
        Time::ZERO,
    );
    assert_eq!(
        ledger.admit("loud", 0.0, Time::ZERO),
        Err(Kind::RateLimited)
    );
    assert_eq!(ledger.admit("quiet", 0.0, Time::ZERO), Err(Kind::NotFound));
}

#[rstest]
#[case(0, 9, false)]
#[case(0, 10, true)]
#[case(1, 8, false)]
#[case(1, 9, true)]
#[case(2, 8, true)]
fn the_lowest_class_is_shed_first(#[case] class: u8, #[case] running: u32, #[case] shed: bool) {
    assert_eq!(should_shed(class, running, 10), shed);
}

fn candidate(key: u32, own: u32, others: u32, locality: Locality) -> Candidate<u32> {
    let reported = Time::ZERO;
    Candidate {
        key,
        node: u64::from(key),
        locality,
        own,
        others,
        reported,
        capacity: 10,
    }
}

#[test]
fn a_prefix_keeps_its_replica_until_that_is_much_busier_than_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let idle: Vec<_> = (0..8)
        .map(|it| candidate(it, 0, 0, Locality::Zone))
        .collect();
    let home = route::choose(&idle, Some(42), Time::ZERO, &mut rng).unwrap();
    for _ in 0..20 {
        assert_eq!(
            route::choose(&idle, Some(42), Time::ZERO, &mut rng),
            Some(home)
        );
    }
    let busy: Vec<_> = idle
        .iter()
        .map(|it| Candidate {
            own: if it.key == home { 9 } else { 1 },
            ..*it
        })
        .collect();
    let second = route::choose(&busy, Some(42), Time::ZERO, &mut rng).unwrap();
    assert_ne!(second, home);
    assert_eq!(
        route::choose(&busy, Some(42), Time::ZERO, &mut rng),
        Some(second)
    );
}

#[test]
fn a_stale_load_report_counts_less() {
    let told = candidate(0, 1, 8, Locality::Zone);
    assert!(0.85 < told.load(Time::ZERO));
    assert!(told.load(Time::ZERO.after_ms(5_000)) < 0.11);
}

#[test]
fn the_nearer_of_two_equal_replicas_is_chosen() {
    let pair = [
        candidate(0, 1, 0, Locality::OtherZone),
        candidate(1, 1, 0, Locality::Zone),
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let chosen = (0..400).filter_map(|_| route::choose(&pair, None, Time::ZERO, &mut rng));
    let near = chosen.filter(|it| *it == 1).count();
    assert!(
        (270..330).contains(&near),
        "{near}: near unless both draws are far"
    );
}

#[test]
fn without_candidates_none_is_chosen() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    assert_eq!(
        route::choose::<u32>(&[], Some(1), Time::ZERO, &mut rng),
        None
    );
}
