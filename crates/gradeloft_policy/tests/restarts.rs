//! Tests of replicas that restart with the same id.

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
        running: 0,
        queued: 0,
        at: NOW,
    }
}

#[test]
fn state_of_the_previous_start_is_discarded() {
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
    // Requests that other entries have at the old start don't count for this one.
    assert_ne!(known.hash(), hash);
    assert_eq!(replicas.of("m").count(), 1);
}

#[test]
fn an_agent_can_report_a_restart_before_the_platform_does() {
    let mut replicas = Replicas::default();
    let before = replicas.apply_listing(started(1, Some(3)));
    let address = replicas.get(before).unwrap().listing.address;
    assert_eq!(replicas.apply_report(address, report(2, None)), [before]);
    let after = replicas.key("a").unwrap();
    assert_eq!(replicas.get(after).unwrap().version(NOW), None);
    // The platform's listing of the new start is not another restart.
    assert_eq!(replicas.apply_listing(started(2, Some(5))), after);
    assert_eq!(replicas.get(after).unwrap().version(NOW), Some(5));
}

#[rstest]
#[case::from_the_previous_start(1, None)]
#[case::from_an_earlier_start(0, None)]
#[case::from_the_current_start(2, Some(9))]
fn late_reports_from_earlier_starts_are_ignored(#[case] born: u64, #[case] version: Option<u64>) {
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
fn a_restart_is_detected_even_if_the_clock_was_set_back() {
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
fn replicas_without_a_start_time_are_identified_by_id_only() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    assert_eq!(replicas.apply_listing(listing("a", Some(2))), key);
    assert_eq!(replicas.apply_listing(started(5, Some(2))), key);
    assert_eq!(replicas.apply_listing(listing("a", Some(2))), key);
    assert_ne!(replicas.apply_listing(started(6, None)), key);
}

#[test]
fn a_replica_that_is_listed_for_another_service_leaves_the_previous_one() {
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
