//! Return times of callers that are refused for lack of room.

use std::time::Duration;

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use rstest::rstest;

use crate::support::{Harness, TestConfig, ok, request, run, wait_until};

/// Requests that are answered before the replica is full.
const ANSWERED: usize = 10;

/// Refuses a caller at a model's only replica, whose only slot was freed several times before it
/// was taken for good. Returns the response and the metrics.
async fn refuse(ranked: bool) -> (String, String) {
    let config = TestConfig {
        ranked,
        model_slots: Some(1),
        ..TestConfig::of(RouteKind::Idempotent)
    };
    let mut scripts = vec![vec![Step::Read, ok("answer")]; ANSWERED];
    scripts.push(vec![Step::Read, Step::WaitForDisconnect]);
    let harness = Harness::start(config, vec![vec![scripts.concat()]]).await;
    let request_text = request("POST", "form");
    for _ in 0..ANSWERED {
        let response = harness.send(&request_text).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    let refused = async {
        wait_until(|| async { harness.request_count() == ANSWERED + 1 }).await;
        let response = harness.send(&request_text).await;
        let counted = || async {
            let metrics = harness.get(9464, "/metrics").await;
            let mut counts = metrics.lines().filter(|it| it.contains("returns_total{"));
            counts.any(|it| it.ends_with(" 1"))
        };
        if ranked {
            wait_until(counted).await;
        }
        (response, harness.get(9464, "/metrics").await)
    };
    tokio::select! {
        refused = refused => refused,
        response = harness.send(&request_text) => panic!("{response}"),
    }
}

fn retry_after(response: &str) -> Duration {
    let seconds = response.split("Retry-After: ").nth(1).unwrap();
    Duration::from_secs_f64(seconds.split("\r\n").next().unwrap().parse().unwrap())
}

#[rstest]
fn only_a_refused_caller_of_a_ranked_service_is_booked(#[values(false, true)] ranked: bool) {
    run(async move {
        let (response, metrics) = refuse(ranked).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
        // A third of the six seconds that the caller has.
        assert!(
            retry_after(&response) < Duration::from_secs(2),
            "{response}"
        );
        let booked = metrics.contains("gradeloft_returns_total{reason=\"booked\"} 1");
        assert_eq!(booked, ranked, "{metrics}");
    });
}
