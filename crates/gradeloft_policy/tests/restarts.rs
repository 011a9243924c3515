//! A replica that starts again under the id that it had.

mod support;

use gradeloft_policy::{
    clock::Time,
    process::replicas::{Listing, Replicas, Report},
};
use rstest::rstest;
use support::listing;

const NOW: Time = Time::ZERO;

fn started(born: u64, version: Option<u64>) -> Listing {
    Listing {
        born: Some(born),
        ..listing("a", version)
    }
}

fn report(born: u64, version: Option<u64>) -> Report {
    Report {
        born: Some(born),
        version,
        loading: false,
        congested: false,
        at: NOW,
    }
}

#[test]
fn nothing_that_was_known_of_the_start_before_holds() {
    let mut replicas = Replicas::default();
    let before = replicas.apply_listing(started(1, Some(3)));
    let address = replicas.get(before).unwrap().listing.address;
    replicas.apply_report(address, report(1, Some(4)));
    replicas.failed(before, NOW);
    let known = replicas.get_mut(before).unwrap();
    (
        known.own_requests,
        known.own_waiting,
        known.other_requests,
        known.own_slots,
    ) = (5, 2, 7, 4);
    known.slowness.observe(100.0, 400.0);
    let hash = known.hash();
    let after = replicas.apply_listing(started(2, None));
    assert_ne!(before, after);
    assert!(replicas.get(before).is_none());
    let known = replicas.get(after).unwrap();
    assert_eq!(known.version(NOW), None);
    assert_eq!((known.load(), known.waiting(), known.own_slots), (0, 0, 0));
    assert_eq!(known.slowness.factor(), 1.0);
    assert!(!known.suspect(NOW) && !known.open(NOW));
    // What others have at the old start is not at this one.
    assert_ne!(known.hash(), hash);
    assert_eq!(replicas.of("m").count(), 1);
}

#[test]
fn an_agent_tells_of_a_restart_before_the_platform_does() {
    let mut replicas = Replicas::default();
    let before = replicas.apply_listing(started(1, Some(3)));
    let address = replicas.get(before).unwrap().listing.address;
    assert_eq!(replicas.apply_report(address, report(2, None)), [before]);
    let after = replicas.key("a").unwrap();
    assert_eq!(replicas.get(after).unwrap().version(NOW), None);
    // The platform's word on the new start is no further restart.
    assert_eq!(replicas.apply_listing(started(2, Some(5))), after);
    assert_eq!(replicas.get(after).unwrap().version(NOW), Some(5));
}

#[rstest]
#[case::of_the_start_before(1, None)]
#[case::of_a_start_long_ago(0, None)]
#[case::of_this_start(2, Some(9))]
fn a_late_report_of_the_start_before_changes_nothing(
    #[case] born: u64,
    #[case] version: Option<u64>,
) {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(started(1, Some(3)));
    let address = replicas.get(key).unwrap().listing.address;
    let key = replicas.apply_listing(started(2, None));
    assert!(
        replicas
            .apply_report(address, report(born, Some(9)))
            .is_empty()
    );
    assert_eq!(replicas.get(key).unwrap().version(NOW), version);
}

#[test]
fn a_clock_that_was_set_back_hides_no_restart() {
    let mut replicas = Replicas::default();
    let before = replicas.apply_listing(started(1_000, Some(3)));
    let address = replicas.get(before).unwrap().listing.address;
    let after = replicas.apply_listing(started(400, None));
    assert_ne!(before, after);
    assert!(
        replicas
            .apply_report(address, report(1_000, Some(3)))
            .is_empty()
    );
    assert_eq!(replicas.get(after).unwrap().version(NOW), None);
    assert!(
        replicas
            .apply_report(address, report(400, Some(4)))
            .is_empty()
    );
    assert_eq!(replicas.get(after).unwrap().version(NOW), Some(4));
}

#[test]
fn replicas_that_do_not_say_when_they_started_are_told_apart_by_id_only() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    assert_eq!(replicas.apply_listing(listing("a", Some(2))), key);
    assert_eq!(replicas.apply_listing(started(5, Some(2))), key);
    assert_eq!(replicas.apply_listing(listing("a", Some(2))), key);
    assert_ne!(replicas.apply_listing(started(6, None)), key);
}

#[test]
fn a_replica_that_is_listed_for_another_service_leaves_the_one_before() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let moved = Listing {
        service: "other".into(),
        ..listing("a", Some(1))
    };
    assert_eq!(replicas.apply_listing(moved), key);
    assert_eq!(
        (replicas.of("m").count(), replicas.of("other").count()),
        (0, 1)
    );
}
