//! Replicas that pause in the middle of a response.
//!
//! Guards against responses that end early although their replica keeps running. A replica pauses
//! for 1.2 s in a stream, 1.5 s before a response or 2 s in a plain response; the entry drops the
//! connection, and only then finds that no other replica may continue because of the route kind,
//! the number of attempts, the retry budget or full replicas. Cause: silence was treated as the
//! end.
//!
//! Evidence: with real processes and stalled replicas, 33 of 34 truncated responses of a run had
//! `ended_by=silent` and `quiet_ms=1201` to `1202`, and each of the cases below was truncated
//! although its replica kept running.

use std::{rc::Rc, time::Duration};

use crate::support::{Harness, TestConfig, last_chunk, request, response, run, stream, wait_until};
use gradeloft_gateway::settings::Settings;
use gradeloft_policy::process::{document::RouteKind, retry_budget};
use gradeloft_standin::scripted::Step;
use rstest::rstest;

/// Longer than any silence after which an entry sends a hedge request.
const PAUSE: Duration = Duration::from_millis(2_300);

fn one_connection(steps: Vec<Step>) -> Vec<Vec<Step>> {
    vec![steps]
}

fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn raw(text: &str) -> Step {
    Step::Send(text.to_owned())
}

/// Returns the script of a stream that pauses between its first and second event.
fn pausing_stream_script() -> Vec<Vec<Step>> {
    one_connection(vec![
        Step::Read,
        stream("s1", "id: 1\ndata: a\n\n"),
        Step::Wait(PAUSE),
        chunk("id: 2\ndata: b\n\n"),
        last_chunk(),
    ])
}

fn full_script() -> Vec<Vec<Step>> {
    one_connection(vec![
        Step::Read,
        response("503 Full", "t-not-run: 1\r\n", ""),
    ])
}

/// Returns the script of a plain response that pauses in the middle.
fn pausing_response_script() -> Vec<Vec<Step>> {
    one_connection(vec![
        Step::Read,
        raw("HTTP/1.1 200 OK\r\nt-seal: s1\r\nContent-Length: 8\r\n\r\nfirst"),
        Step::Wait(PAUSE),
        raw("two"),
    ])
}

fn with_attempts(kind: RouteKind, max_attempts: u32) -> TestConfig {
    TestConfig {
        max_attempts,
        ..TestConfig::of(kind)
    }
}

#[rstest]
#[case::runs_once(with_attempts(RouteKind::Stream, 2), vec![pausing_stream_script(), full_script()])]
#[case::no_other_replica(with_attempts(RouteKind::ResumableStream, 2), vec![pausing_stream_script()])]
#[case::no_attempt_left(with_attempts(RouteKind::ResumableStream, 1), vec![pausing_stream_script(), full_script()])]
#[case::other_replica_full(with_attempts(RouteKind::ResumableStream, 2), vec![pausing_stream_script(), full_script()])]
fn a_stream_continues_after_a_pause_when_no_hedge_is_possible(
    #[case] config: TestConfig,
    #[case] scripts: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let harness = Harness::start(config, scripts).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: a\n\n"), "{response}");
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

#[test]
fn a_stream_continues_after_a_pause_when_the_retry_budget_is_empty() {
    run(async {
        let config = TestConfig::of(RouteKind::ResumableStream);
        let harness = Harness::start(
            config,
            vec![pausing_stream_script(), pausing_stream_script()],
        )
        .await;
        let node = &harness.entry.entry().node;
        let settings = Settings {
            repeats: retry_budget::Bounds {
                ratio: 0.0,
                slack: 0.0,
                window_ms: 10_000,
            },
            ..(*node.settings()).clone()
        };
        *node.settings.borrow_mut() = Rc::new(settings);
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(harness.request_count(), 1);
    });
}

#[rstest]
#[case::runs_once(with_attempts(RouteKind::Once, 2), vec![pausing_response_script(), full_script()])]
#[case::no_other_replica(with_attempts(RouteKind::Idempotent, 2), vec![pausing_response_script()])]
#[case::other_replica_full(with_attempts(RouteKind::Idempotent, 2), vec![pausing_response_script(), full_script()])]
fn a_plain_response_continues_after_a_pause_when_no_hedge_is_possible(
    #[case] config: TestConfig,
    #[case] scripts: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let harness = Harness::start(config, scripts).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("firsttwo"), "{response}");
    });
}

/// A response too large to buffer is partly sent already, so no other replica can continue it.
#[test]
fn a_large_response_continues_after_a_pause() {
    run(async {
        let first = "x".repeat(600 << 10);
        let head = format!(
            "HTTP/1.1 200 OK\r\nt-seal: s1\r\nContent-Length: {}\r\n\r\n",
            first.len() + 4
        );
        let script = one_connection(vec![
            Step::Read,
            raw(&head),
            raw(&first),
            Step::Wait(PAUSE),
            raw("last"),
        ]);
        let harness = Harness::start(TestConfig::of(RouteKind::Idempotent), vec![script]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.ends_with("last\r\n0\r\n\r\n"),
            "{}",
            response.len()
        );
    });
}

#[rstest]
#[case::no_other_replica(vec![])]
#[case::other_replica_full(vec![full_script()])]
fn a_response_that_starts_late_is_forwarded_if_no_other_replica_responds(
    #[case] others: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let late_script = one_connection(vec![
            Step::Read,
            Step::Wait(PAUSE),
            response("200 OK", "t-seal: s1\r\n", "late"),
        ]);
        let scripts = [vec![late_script], others].concat();
        let harness = Harness::start(TestConfig::of(RouteKind::Idempotent), scripts).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("late"), "{response}");
    });
}

/// A free replica continues the stream, and the request at the paused replica is cancelled.
#[test]
fn a_stream_continues_at_another_replica_after_a_pause() {
    run(async {
        let silent_script = one_connection(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::WaitForDisconnect,
        ]);
        let resumed_script = one_connection(vec![
            Step::Read,
            stream("s2", "id: 2\ndata: b\n\n"),
            last_chunk(),
        ]);
        let config = TestConfig::of(RouteKind::ResumableStream);
        let harness = Harness::start(config, vec![silent_script, resumed_script]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.contains("data: b\n\n") && response.ends_with("0\r\n\r\n"),
            "{response}"
        );
        wait_until(|| async { harness.replicas[0].recording.borrow().disconnects == 1 }).await;
        assert!(harness.replicas[1].requests()[0].contains("Last-Event-Id: 1\r\n"));
    });
}

/// The paused replica continues before the hedge has started: the caller gets its response, and the
/// hedge is cancelled.
#[test]
fn the_replica_that_continues_first_wins_over_the_hedge() {
    run(async {
        let pausing_script = one_connection(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::Wait(Duration::from_millis(1_700)),
            chunk("id: 2\ndata: b\n\n"),
            last_chunk(),
        ]);
        let slow_script = one_connection(vec![Step::Read, Step::WaitForDisconnect]);
        let config = TestConfig::of(RouteKind::ResumableStream);
        let harness = Harness::start(config, vec![pausing_script, slow_script]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.contains("data: b\n\n") && response.ends_with("0\r\n\r\n"),
            "{response}"
        );
        wait_until(|| async { harness.replicas[1].recording.borrow().disconnects == 1 }).await;
        assert_eq!(harness.request_count(), 2);
    });
}

/// The replica never continues: the response ends at the request's timeout and doesn't look
/// complete.
#[test]
fn a_stream_whose_replica_stays_silent_ends_at_the_timeout() {
    run(async {
        let silent_script = one_connection(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::WaitForDisconnect,
        ]);
        let config = TestConfig {
            timeout_ms: 3_000,
            ..TestConfig::of(RouteKind::Stream)
        };
        let harness = Harness::start(config, vec![silent_script]).await;
        let clock = harness.entry.entry().node.clock;
        let started = clock.now();
        let response = harness.send(&request("POST", "form")).await;
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        assert!(Duration::from_secs(3) <= clock.now().since(started));
        wait_until(|| async { harness.replicas[0].recording.borrow().disconnects == 1 }).await;
    });
}
