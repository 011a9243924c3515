//! Each failure of a rollout twice, one after the other.

mod support;

use gradeloft_standin::{
    fleet::{Fleet, MODEL, digest},
    weights::Version,
};
use rstest::rstest;
use support::{describe_generate, fleet, shape, version};

/// A failure of a rollout.
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

async fn answers(fleet: &Fleet, version: &Version) {
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    let expected = format!(
        "200 the version's own text, end of 2 tokens by bulletin/{}, no error",
        version.version
    );
    assert_eq!(describe_generate(&answer, version, "p", 2), expected);
}

/// Brings a failure about for the first or the second time, while a version is in flight.
async fn fail(fleet: &mut Fleet, failure: Failure, time: usize, target: &Version) {
    let origin = std::rc::Rc::clone(&fleet.origin.state);
    match failure {
        Failure::AgentKilled => fleet.engines[time].agent = None,
        Failure::AgentRestarted => fleet.restart_agent(time).await.expect("it restarts"),
        Failure::ChunksCorrupted => origin.corrupt_every.set(3),
        Failure::EngineLostWeights => fleet.engines[time].endpoint.state.force(Vec::new()),
        Failure::OrderLost => fleet.engines[time].endpoint.state.lose_replies.set(1),
        Failure::OriginDown => {
            let read = origin.bytes_read.get();
            origin.down.set(true);
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
            origin.down.set(false);
            fleet
                .until("the origin is read again", || {
                    read < origin.bytes_read.get() || fleet.known(target)
                })
                .await;
        }
        Failure::StoreLimited => fleet.store.state.limited.set(time == 0),
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
async fn a_rollout_survives_a_failure_twice(#[case] failure: Failure) {
    let mut fleet = fleet(shape(1, 5, 0)).await;
    let mut head = fleet.deploy(&version("v1")).await;
    fleet.origin.state.bytes_per_s.set(150 << 10);
    let mut target = version("v2");
    for time in 0..2 {
        if time == 0 || failure == Failure::VersionReplaced {
            target = version(&format!("v{}", time + 2));
            fleet.upload(&target);
            let next = fleet.bundle(head.number + 1, Some(digest(&head)), &target);
            fleet.publish(&next).await.expect("it is accepted");
            head = next;
        }
        let before = fleet.origin.state.bytes_read.get();
        // On a busy machine it may be through before it is looked at.
        let begun = || before + 8_192 < fleet.origin.state.bytes_read.get() || fleet.known(&target);
        fleet.until("the version is in flight", begun).await;
        fail(&mut fleet, failure, time, &target).await;
        if failure != Failure::VersionReplaced {
            answers_old_or_new(&fleet, &target).await;
        }
    }
    fleet
        .until("the survivors serve the version", || fleet.known(&target))
        .await;
    answers(&fleet, &target).await;
}

/// In the middle of it a caller gets a whole answer, of the old version or the new one.
async fn answers_old_or_new(fleet: &Fleet, target: &Version) {
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
