//! Rollouts during which the same failure occurs twice.

mod support;

use gradeloft_standin::{
    fleet::{Fleet, MODEL, digest},
    weights::Version,
};
use rstest::rstest;
use support::{describe_generate, fleet, shape, version};

/// A failure during a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    AgentKilled,
    AgentRestarted,
    ChunksCorrupted,
    EngineLostWeights,
    OrderLost,
    OriginDown,
    StoreLimited,
    VersionReplaced,
}

async fn assert_generates(fleet: &Fleet, version: &Version) {
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    let expected = format!(
        "200 the version's own text, end of 2 tokens by bulletin/{}, no error",
        version.version
    );
    assert_eq!(describe_generate(&answer, version, "p", 2), expected);
}

/// Injects a failure while a version is in flight; `occurrence` is 0 or 1.
async fn inject_failure(fleet: &mut Fleet, failure: Failure, occurrence: usize, target: &Version) {
    let origin = std::rc::Rc::clone(&fleet.origin.state);
    match failure {
        Failure::AgentKilled => fleet.engines[occurrence].agent = None,
        Failure::AgentRestarted => fleet
            .restart_agent(occurrence)
            .await
            .expect("the agent restarts"),
        Failure::ChunksCorrupted => origin.corrupt_every.set(3),
        Failure::EngineLostWeights => fleet.engines[occurrence]
            .endpoint
            .state
            .set_serving(Vec::new()),
        Failure::OrderLost => fleet.engines[occurrence].endpoint.state.lose_replies.set(1),
        Failure::OriginDown => {
            let read = origin.bytes_read.get();
            origin.down.set(true);
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
            origin.down.set(false);
            fleet
                .wait_until("the origin is read again", || {
                    read < origin.bytes_read.get() || fleet.is_routable(target)
                })
                .await;
        }
        Failure::StoreLimited => fleet.store.state.rate_limited.set(occurrence == 0),
        Failure::VersionReplaced => {}
    }
}

#[rstest]
#[case(Failure::AgentKilled)]
#[case(Failure::AgentRestarted)]
#[case(Failure::ChunksCorrupted)]
#[case(Failure::EngineLostWeights)]
#[case(Failure::OrderLost)]
#[case(Failure::OriginDown)]
#[case(Failure::StoreLimited)]
#[case(Failure::VersionReplaced)]
#[actix_rt::test]
async fn rollout_completes_although_a_failure_occurs_twice(#[case] failure: Failure) {
    let mut fleet = fleet(shape(1, 5, 0)).await;
    let mut head = fleet.deploy(&version("v1")).await;
    fleet.origin.state.bytes_per_s.set(150 << 10);
    let mut target = version("v2");
    for occurrence in 0..2 {
        if occurrence == 0 || failure == Failure::VersionReplaced {
            target = version(&format!("v{}", occurrence + 2));
            fleet.upload(&target);
            let next = fleet.bundle(head.number + 1, Some(digest(&head)), &target);
            fleet.publish(&next).await.expect("the bundle is accepted");
            head = next;
        }
        let before = fleet.origin.state.bytes_read.get();
        // On a busy machine the rollout may complete before the first check.
        let in_flight =
            || before + 8_192 < fleet.origin.state.bytes_read.get() || fleet.is_routable(&target);
        fleet
            .wait_until("the version is in flight", in_flight)
            .await;
        inject_failure(&mut fleet, failure, occurrence, &target).await;
        if failure != Failure::VersionReplaced {
            assert_generates_old_or_new(&fleet, &target).await;
        }
    }
    fleet
        .wait_until("the remaining replicas serve the version", || {
            fleet.is_routable(&target)
        })
        .await;
    assert_generates(&fleet, &target).await;
}

/// Asserts that a caller gets a complete response of the old version or the new one.
async fn assert_generates_old_or_new(fleet: &Fleet, target: &Version) {
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    let served = answer
        .end
        .as_ref()
        .map(|it| it.version.clone())
        .unwrap_or_default();
    let version = if served == target.version {
        target.clone()
    } else {
        version("v1")
    };
    let line = describe_generate(&answer, &version, "p", 2);
    assert!(
        line.starts_with("200 the version's own text, end of 2 tokens"),
        "{line}"
    );
}
