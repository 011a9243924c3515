//! Which replica of a service gets a request, and which replicas there are.

mod support;

use gradeloft_policy::{
    clock::Time,
    process::replicas::{Listing, ReplicaKey, Replicas, Report, StoreTrust},
    request::placement::{self, Requirements, Uncertainty, Urgency},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::listing;

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
    prompt_tokens: 0.0,
    speed: None,
    near: SURE,
    far: SURE,
};

fn choose(replicas: &Replicas, wish: Requirements<'_>, now: Time) -> Option<ReplicaKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    placement::choose(replicas.of("m"), wish, now, &mut rng)
}

#[test]
fn only_replicas_with_weights_that_are_new_enough_and_not_leaving_get_requests() {
    let mut replicas = Replicas::default();
    replicas.apply_listing(listing("a", None));
    let old = replicas.apply_listing(listing("bb", Some(1)));
    let mut leaving = listing("ccc", Some(2));
    leaving.draining = true;
    replicas.apply_listing(leaving);
    let now = Time::ZERO;
    assert_eq!(choose(&replicas, WISH, now), Some(old));
    let strict = Requirements {
        min_version: Some(2),
        ..WISH
    };
    assert_eq!(choose(&replicas, strict, now), None);
}

#[test]
fn a_replica_that_is_about_to_load_gets_no_requests_until_its_agent_falls_silent() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let report = Report {
        born: None,
        version: Some(1),
        loading: true,
        congested: false,
        at: Time::ZERO,
    };
    let address = replicas.get(key).unwrap().listing.address;
    replicas.apply_report(address, report);
    assert_eq!(choose(&replicas, WISH, Time::ZERO), None);
    assert_eq!(
        choose(&replicas, WISH, Time::ZERO.after_ms(4_000)),
        Some(key)
    );
}

#[test]
fn a_replica_behind_a_full_link_gets_requests_only_when_nothing_else_has_room() {
    let mut replicas = Replicas::default();
    let behind = replicas.apply_listing(listing("a", Some(1)));
    let report = Report {
        born: None,
        version: Some(1),
        loading: false,
        congested: true,
        at: Time::ZERO,
    };
    replicas.apply_report(replicas.get(behind).unwrap().listing.address, report);
    let busy = replicas.apply_listing(Listing {
        address: "10.0.0.9:1".parse().unwrap(),
        ..listing("b", Some(1))
    });
    replicas.get_mut(busy).unwrap().own_requests = 4;
    assert_eq!(choose(&replicas, WISH, Time::ZERO), Some(busy));
    replicas.get_mut(busy).unwrap().own_requests = 100;
    assert_eq!(choose(&replicas, WISH, Time::ZERO), Some(behind));
}

#[test]
fn requests_that_have_not_begun_weigh_more_than_free_slots() {
    let mut replicas = Replicas::default();
    let busy = replicas.apply_listing(listing("a", Some(1)));
    let fresh = replicas.apply_listing(listing("bb", Some(1)));
    replicas.get_mut(busy).unwrap().own_requests = 6;
    let empty = replicas.get_mut(fresh).unwrap();
    (empty.own_requests, empty.own_waiting) = (4, 4);
    assert_eq!(choose(&replicas, WISH, Time::ZERO), Some(busy));
}

#[test]
fn a_stream_goes_on_at_the_version_that_began_it() {
    let mut replicas = Replicas::default();
    let same = replicas.apply_listing(listing("a", Some(1)));
    replicas.apply_listing(listing("bb", Some(2)));
    replicas.get_mut(same).unwrap().own_requests = 12;
    let wish = Requirements {
        resumed_version: Some(1),
        ..WISH
    };
    assert_eq!(choose(&replicas, wish, Time::ZERO), Some(same));
}

#[test]
fn full_replicas_are_refused_rather_than_queued_at() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    replicas.get_mut(key).unwrap().own_requests = 18;
    assert_eq!(choose(&replicas, WISH, Time::ZERO), None);
}

#[test]
fn a_census_says_why_no_replica_gets_a_request() {
    let mut replicas = Replicas::default();
    let full = replicas.apply_listing(listing("a", Some(2)));
    replicas.get_mut(full).unwrap().own_requests = 18;
    let unbegun = replicas.apply_listing(listing("bb", Some(2)));
    replicas.get_mut(unbegun).unwrap().own_waiting = 8;
    replicas.apply_listing(listing("ccc", Some(1)));
    replicas.apply_listing(listing("dddd", None));
    let tried = replicas.apply_listing(listing("eeeee", Some(2)));
    let wish = Requirements {
        min_version: Some(2),
        tried: &[tried],
        ..WISH
    };
    assert_eq!(choose(&replicas, wish, Time::ZERO), None);
    let census = placement::count_exclusions(replicas.of("m"), |_| true, wish, Time::ZERO);
    assert_eq!(census.to_string(), "closed:1,full:2,old:1,tried:1,away:0");
}

#[test]
fn suspicion_passes_and_never_empties_a_service() {
    let mut replicas = Replicas::default();
    let one = replicas.apply_listing(listing("a", Some(1)));
    let two = replicas.apply_listing(listing("bb", Some(1)));
    replicas.failed(one, Time::ZERO);
    assert_eq!(choose(&replicas, WISH, Time::ZERO), Some(two));
    replicas.failed(two, Time::ZERO);
    assert!(choose(&replicas, WISH, Time::ZERO).is_some());
    assert!(!replicas.get(one).unwrap().suspect(Time::ZERO.after_ms(300)));
}

#[test]
fn a_removal_after_an_outage_waits_and_is_undone_by_a_new_entry() {
    let mut replicas = Replicas::default();
    replicas.apply_listing(listing("a", Some(1)));
    let doubtful = StoreTrust::Doubtful(Time::ZERO.after_ms(2_000));
    replicas.unlist("a", doubtful);
    assert!(replicas.expire(Time::ZERO.after_ms(1_999)).is_empty());
    replicas.apply_listing(listing("a", Some(1)));
    assert!(replicas.expire(Time::ZERO.after_ms(9_000)).is_empty());
    replicas.unlist("a", doubtful);
    assert_eq!(replicas.expire(Time::ZERO.after_ms(2_000)).len(), 1);
    replicas.apply_listing(listing("a", Some(1)));
    replicas.unlist("a", StoreTrust::Sound);
    assert!(replicas.is_empty());
}

#[test]
fn a_removal_that_is_read_late_is_doubted_no_longer_than_one_that_is_read_at_once() {
    let written = Time::ZERO.after_ms(1_000);
    let read = Time::ZERO.after_ms(2_000);
    let trust = StoreTrust::Doubtful(read.after_ms(2_300));
    let until = written.after_ms(2_300);
    assert_eq!(
        trust.of_written(written, 2_300),
        StoreTrust::Doubtful(until)
    );
    let sooner = StoreTrust::Doubtful(written);
    assert_eq!(sooner.of_written(written, 2_300), sooner);
    assert_eq!(
        StoreTrust::Sound.of_written(written, 2_300),
        StoreTrust::Sound
    );
}
