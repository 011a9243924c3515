//! Requests to a model whose replicas have no free slot.

use std::time::Duration;

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;

use crate::support::{Harness, TestConfig, ok, request, run, wait_until};

fn config(goal_ms: u64) -> TestConfig {
    TestConfig {
        goal_ms,
        model_slots: Some(1),
        ..TestConfig::of(RouteKind::Idempotent)
    }
}

/// Three callers compete for one slot. Guards against refusing the second and third at once,
/// although the slot is free again well before their latency objective.
#[test]
fn a_request_waits_for_a_slot_that_becomes_free_within_its_objective() {
    run(async {
        let delay = Step::Wait(Duration::from_millis(100));
        let responses = [Step::Read, delay, ok("answer")];
        let responses = responses.iter().cycle().take(9).cloned().collect();
        let harness = Harness::start(config(3_000), vec![vec![responses]]).await;
        let request_text = request("POST", "form");
        let (first, second, third) = tokio::join!(
            harness.send(&request_text),
            harness.send(&request_text),
            harness.send(&request_text)
        );
        for response in [first, second, third] {
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
    });
}

/// The slot never becomes free: the caller gets a refusal once the latency objective has passed,
/// long before the deadline.
#[test]
fn a_request_without_a_slot_within_its_objective_is_refused_as_not_run() {
    run(async {
        let harness = Harness::start(
            config(200),
            vec![vec![vec![Step::Read, Step::WaitForDisconnect]]],
        )
        .await;
        let request_text = request("POST", "form");
        let first_request = harness.send(&request_text);
        let second_request = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            let clock = Clock::start();
            let sent_at = clock.now();
            (
                harness.send(&request_text).await,
                clock.now().since(sent_at),
            )
        };
        let (response, took) = tokio::select! {
            refused = second_request => refused,
            response = first_request => panic!("{response}"),
        };
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
        assert!(Duration::from_millis(200) <= took, "{took:?}");
        assert_eq!(harness.request_count(), 1);
    });
}
