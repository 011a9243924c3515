//! Tests of replica selection and of the set of replicas.

mod support;

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::Exchange,
        replicas::{Listing, ReplicaKey, Replicas, Report, StoreTrust},
    },
    request::placement::{self, Requirements, Uncertainty, Urgency},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::listing;

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
    prompt_tokens: 0.0,
    speed: None,
    near: CERTAIN,
    far: CERTAIN,
};

fn choose(replicas: &Replicas, requirements: Requirements<'_>, now: Time) -> Option<ReplicaKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    placement::choose(replicas.of("m"), requirements, now, &mut rng)
}

#[test]
fn only_replicas_with_new_enough_weights_that_are_not_draining_get_requests() {
    let mut replicas = Replicas::default();
    replicas.apply_listing(listing("a", None));
    let old = replicas.apply_listing(listing("bb", Some(1)));
    let mut draining = listing("ccc", Some(2));
    draining.draining = true;
    replicas.apply_listing(draining);
    let now = Time::ZERO;
    assert_eq!(choose(&replicas, REQUIREMENTS, now), Some(old));
    let strict = Requirements {
        min_version: Some(2),
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, strict, now), None);
}

#[test]
fn a_replica_about_to_load_gets_no_requests_while_its_agent_reports() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let report = Report {
        born: None,
        version: Some(1),
        loading: true,
        congested: false,
        running: 0,
        queued: 0,
        at: Time::ZERO,
    };
    let address = replicas.get(key).unwrap().listing.address;
    replicas.apply_report(address, report);
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), None);
    assert_eq!(
        choose(&replicas, REQUIREMENTS, Time::ZERO.after_ms(4_000)),
        Some(key)
    );
}

#[test]
fn a_replica_behind_a_congested_link_is_chosen_last() {
    let mut replicas = Replicas::default();
    let behind = replicas.apply_listing(listing("a", Some(1)));
    let report = Report {
        born: None,
        version: Some(1),
        loading: false,
        congested: true,
        running: 0,
        queued: 0,
        at: Time::ZERO,
    };
    replicas.apply_report(replicas.get(behind).unwrap().listing.address, report);
    let busy = replicas.apply_listing(Listing {
        address: "10.0.0.9:1".parse().unwrap(),
        ..listing("b", Some(1))
    });
    replicas.get_mut(busy).unwrap().own_requests = 4;
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), Some(busy));
    replicas.get_mut(busy).unwrap().own_requests = 100;
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), Some(behind));
}

#[test]
fn waiting_prompts_outweigh_free_slots() {
    let mut replicas = Replicas::default();
    let busy = replicas.apply_listing(listing("a", Some(1)));
    let fresh = replicas.apply_listing(listing("bb", Some(1)));
    replicas.get_mut(busy).unwrap().own_requests = 6;
    let empty = replicas.get_mut(fresh).unwrap();
    (empty.own_requests, empty.own_waiting) = (4, 4);
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), Some(busy));
}

#[test]
fn a_stream_resumes_at_the_version_that_began_it() {
    let mut replicas = Replicas::default();
    let same = replicas.apply_listing(listing("a", Some(1)));
    replicas.apply_listing(listing("bb", Some(2)));
    replicas.get_mut(same).unwrap().own_requests = 12;
    let requirements = Requirements {
        resumed_version: Some(1),
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, requirements, Time::ZERO), Some(same));
}

#[test]
fn a_full_replica_is_not_chosen() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    replicas.get_mut(key).unwrap().own_requests = 18;
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), None);
}

#[test]
fn exclusion_counts_tell_why_no_replica_is_chosen() {
    let mut replicas = Replicas::default();
    let full = replicas.apply_listing(listing("a", Some(2)));
    replicas.get_mut(full).unwrap().own_requests = 18;
    let unbegun = replicas.apply_listing(listing("bb", Some(2)));
    replicas.get_mut(unbegun).unwrap().own_waiting = 8;
    replicas.apply_listing(listing("ccc", Some(1)));
    replicas.apply_listing(listing("dddd", None));
    let tried = replicas.apply_listing(listing("eeeee", Some(2)));
    let requirements = Requirements {
        min_version: Some(2),
        tried: &[tried],
        ..REQUIREMENTS
    };
    assert_eq!(choose(&replicas, requirements, Time::ZERO), None);
    let counts = placement::count_exclusions(replicas.of("m"), |_| true, requirements, Time::ZERO);
    assert_eq!(
        counts.to_string(),
        "closed:1,leaving:0,full:2,limited:0,resting:0,old:1,tried:1,away:0"
    );
}

#[test]
fn a_replica_that_says_it_leaves_is_not_chosen_whatever_the_platform_lists() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let replica = replicas.get_mut(key).unwrap();
    let permit = replica.throttle.begin_request(Time::ZERO);
    let received = Time::ZERO.after_ms(100);
    let exchange = Exchange {
        sent: Time::ZERO,
        received,
    };
    replica.throttle.leaving.observe(true, exchange);
    // The request for which the replica was selected before is not sent.
    assert!(!replica.throttle.still_permits(permit, received));
    replicas.apply_listing(listing("a", Some(1)));
    assert_eq!(choose(&replicas, REQUIREMENTS, received), None);
    let counts = placement::count_exclusions(replicas.of("m"), |_| true, REQUIREMENTS, received);
    assert_eq!((counts.leaving, counts.closed), (1, 0));
}

#[test]
fn a_request_selected_before_a_limit_was_named_is_sent_only_within_the_limit() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let replica = replicas.get_mut(key).unwrap();
    let now = Time::ZERO.after_ms(100);
    let permit = replica.throttle.begin_request(Time::ZERO);
    let exchange = Exchange {
        sent: Time::ZERO,
        received: now,
    };
    replica.throttle.limit.observe(Some(2.0), exchange);
    replica
        .throttle
        .set_send_interval(Some(Duration::from_millis(500)), now);
    assert!(!replica.throttle.still_permits(permit, now));
    let later = Time::ZERO.after_ms(500);
    assert!(replica.throttle.still_permits(permit, later));
    let within_limit = replica.throttle.begin_request(later);
    assert!(replica.throttle.still_permits(within_limit, later));
}

#[test]
fn suspicion_expires_and_never_excludes_all_replicas() {
    let mut replicas = Replicas::default();
    let one = replicas.apply_listing(listing("a", Some(1)));
    let two = replicas.apply_listing(listing("bb", Some(1)));
    replicas.failed(one, Time::ZERO);
    assert_eq!(choose(&replicas, REQUIREMENTS, Time::ZERO), Some(two));
    replicas.failed(two, Time::ZERO);
    assert!(choose(&replicas, REQUIREMENTS, Time::ZERO).is_some());
    assert!(!replicas.get(one).unwrap().suspect(Time::ZERO.after_ms(300)));
}

#[test]
fn a_removal_after_an_outage_is_delayed_and_cancelled_by_a_new_listing() {
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
fn a_removal_read_late_is_delayed_no_longer_than_one_read_at_once() {
    let written = Time::ZERO.after_ms(1_000);
    let read = Time::ZERO.after_ms(2_000);
    let trust = StoreTrust::Doubtful(read.after_ms(2_300));
    let until = written.after_ms(2_300);
    assert_eq!(
        trust.of_written(written, 2_300),
        StoreTrust::Doubtful(until)
    );
    let earlier = StoreTrust::Doubtful(written);
    assert_eq!(earlier.of_written(written, 2_300), earlier);
    assert_eq!(
        StoreTrust::Sound.of_written(written, 2_300),
        StoreTrust::Sound
    );
}

#[test]
fn a_replica_that_lapses_and_is_listed_again_keeps_its_backpressure() {
    let now = Time::ZERO.after_ms(1_000);
    let mut replicas = Replicas::default();
    let born = |born| Listing {
        born: Some(born),
        ..listing("a", Some(1))
    };
    let key = replicas.apply_listing(born(1));
    let exchange = Exchange {
        sent: Time::ZERO,
        received: now,
    };
    let replica = replicas.get_mut(key).unwrap();
    replica.throttle.leaving.observe(true, exchange);
    replica.throttle.limit.observe(Some(2.0), exchange);
    replica.throttle.rest.ask(Duration::from_secs(60), now);
    replicas.unlist("a", StoreTrust::Sound);
    let key = replicas.apply_listing(born(1));
    let replica = replicas.get(key).unwrap();
    assert!(replica.throttle.leaving.value());
    assert_eq!(replica.throttle.limit.value(), Some(2.0));
    assert!(replica.throttle.rest.ends(now).is_some());
    // Another start has its own state.
    replicas.unlist("a", StoreTrust::Sound);
    let key = replicas.apply_listing(born(2));
    assert!(!replicas.get(key).unwrap().throttle.has_backpressure());
    replicas.unlist("a", StoreTrust::Sound);
    let key = replicas.apply_listing(born(1));
    assert!(!replicas.get(key).unwrap().throttle.has_backpressure());
}

#[test]
fn backpressure_of_a_replica_that_stays_away_is_forgotten() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let exchange = Exchange {
        sent: Time::ZERO,
        received: Time::ZERO,
    };
    replicas
        .get_mut(key)
        .unwrap()
        .throttle
        .leaving
        .observe(true, exchange);
    replicas.unlist("a", StoreTrust::Sound);
    replicas.expire(Time::ZERO);
    replicas.expire(Time::ZERO.after_ms(120_000));
    let key = replicas.apply_listing(listing("a", Some(1)));
    assert!(!replicas.get(key).unwrap().throttle.has_backpressure());
}
