//! Forwarding of requests, with failures of replicas and connections.

use std::time::Duration;

use crate::support::{
    Harness, TestConfig, address, get, healthy, last_chunk, ok, read_all, request, response, run,
    stream, wait_until,
};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::{scripted::Step, tables::StoreMode};
use gradeloft_wire::frame::Table;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn one_connection(steps: Vec<Step>) -> Vec<Vec<Step>> {
    vec![steps]
}

/// Returns the script of a replica that answers one request on each connection.
fn ok_script(body: &str) -> Vec<Vec<Step>> {
    one_connection(vec![Step::Read, ok(body)])
}

#[test]
fn a_response_is_forwarded_unchanged_and_the_replica_gets_only_its_own_headers() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("receipt")]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
        assert!(response.contains("t-seal: s1\r\n") && response.ends_with("\r\n\r\nreceipt"));
        let seen = harness.replicas[0].requests().remove(0);
        assert!(seen.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"), "{seen}");
        assert!(seen.contains("t-request: abc\r\n") && seen.ends_with("\r\n\r\nform"));
        assert!(seen.contains("t-team: rangers\r\n") && seen.contains("t-replica: i-0\r\n"));
        assert!(!seen.contains("secret") && !seen.to_lowercase().contains("connection:"));
        let remaining_ms = seen.split("t-deadline: ").nth(1).unwrap();
        let remaining_ms: u64 = remaining_ms.split("\r\n").next().unwrap().parse().unwrap();
        assert!((1..=6000).contains(&remaining_ms), "{remaining_ms}");
    });
}

#[test]
fn a_body_that_ends_with_its_connection_is_whole_if_its_replica_then_says_who_it_is() {
    run(async {
        let body = "HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\nall";
        let scripts = vec![
            vec![Step::Read, Step::Send(body.to_owned()), Step::Close],
            vec![Step::Read, healthy()],
        ];
        let config = TestConfig::of(RouteKind::Once);
        let harness = Harness::start(config, vec![scripts, ok_script("second")]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("\r\n\r\nall"), "{response}");
        let question = harness.replicas[0].requests().remove(1);
        assert!(
            question.starts_with("GET /health HTTP/1.1\r\n"),
            "{question}"
        );
    });
}

#[rstest]
// Sent without a response: the request may have run.
#[case(RouteKind::Once, vec![Step::Read, Step::Close], "502", 1)]
#[case(RouteKind::Once, vec![Step::Read, Step::Reset], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Close], "200", 2)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Reset], "200", 2)]
// The replica reports that the request has not run.
#[case(RouteKind::Once, vec![Step::Read, response("503 Full", "t-not-run: 1\r\n", "")], "200", 2)]
// The address belongs to another replica now.
#[case(RouteKind::Once, vec![Step::Read, response("421 Other", "t-replica-id: x\r\n", "")], "200", 2)]
// The replica's own failure is forwarded, unless the request may be repeated.
#[case(RouteKind::Once, vec![Step::Read, response("500 Oops", "t-seal: s\r\n", "")], "500", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, response("500 Oops", "t-seal: s\r\n", "")], "200", 2)]
// Bytes that aren't a response.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("\u{1}nonsense\r\n\r\n".into())], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Send("nonsense\r\n\r\n".into())], "200", 2)]
// A body that ends early.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 9\r\n\r\nhalf".into()), Step::Close], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 9\r\n\r\nhalf".into()), Step::Close], "200", 2)]
// A success without a replica's seal.
#[case(RouteKind::Once, vec![Step::Read, response("200 OK", "", "forged")], "502", 1)]
// A body that ends with its connection is complete only if the connection wasn't reset, and the replica
// then says who it is. The second request is that question, which the replica doesn't answer.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\nall".into()), Step::Close], "502", 2)]
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\npart".into()), Step::Wait(Duration::from_millis(50)), Step::Reset], "502", 1)]
fn the_outcome_depends_on_how_the_replica_connection_ends(
    #[case] kind: RouteKind,
    #[case] first: Vec<Step>,
    #[case] status: &str,
    #[case] request_count: usize,
) {
    run(async {
        let harness = Harness::start(
            TestConfig::of(kind),
            vec![one_connection(first), ok_script("second")],
        )
        .await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert_eq!(harness.request_count(), request_count);
        if status == "502" {
            assert!(response.contains(r#""ran":"unknown""#), "{response}");
        }
    });
}

/// Guards against a head of a replica in trouble that reaches the caller as a response.
#[rstest]
#[case::of_zeros("HTTP/1.1 000 Nothing\r\nt-seal: s")]
#[case::below_the_range("HTTP/1.1 099 Early\r\nt-seal: s")]
#[case::beyond_the_range("HTTP/1.1 600 Late\r\nt-seal: s")]
#[case::of_nines("HTTP/1.1 999 Last\r\nt-seal: s")]
#[case::with_two_digits("HTTP/1.1 20 OK\r\nt-seal: s")]
#[case::with_a_blank_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nbad name: v")]
#[case::with_a_blank_after_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nname : v")]
#[case::with_a_control_byte_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nna\u{1}me: v")]
#[case::with_a_nul_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nna\0me: v")]
#[case::with_a_blank_before_its_first_name("HTTP/1.1 200 OK\r\n t-seal: s")]
#[case::with_a_tab_after_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nname\t: v")]
#[case::with_a_delete_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nna\u{7f}me: v")]
#[case::with_a_letter_beyond_ascii_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nna\u{e4}me: v")]
#[case::with_a_carriage_return_before_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\n\rname: v")]
#[case::with_a_line_feed_before_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\n\nname: v")]
#[case::with_a_line_feed_in_a_name("HTTP/1.1 200 OK\r\nt-seal: s\r\nna\nme: v")]
#[case::with_a_line_feed_after_a_value("HTTP/1.1 200 OK\r\nt-seal: s\r\nname: v\nother: w")]
#[case::with_a_line_without_a_colon("HTTP/1.1 200 OK\r\nt-seal: s\r\nname")]
#[case::with_an_empty_name("HTTP/1.1 200 OK\r\nt-seal: s\r\n: v")]
#[case::with_a_folded_line("HTTP/1.1 200 OK\r\nt-seal: s\r\nname: v\r\n folded")]
#[case::with_a_control_byte_in_a_value("HTTP/1.1 200 OK\r\nt-seal: s\r\nname: v\u{1}")]
fn a_malformed_head_is_no_response(
    #[case] head: &str,
    #[values((RouteKind::Once, "502", 1), (RouteKind::Idempotent, "200", 2))] outcome: (
        RouteKind,
        &str,
        usize,
    ),
) {
    let (kind, status, request_count) = outcome;
    let head = format!("{head}\r\nt-request: abc\r\nContent-Length: 4\r\n\r\nbody");
    run(async {
        let first = one_connection(vec![Step::Read, Step::Send(head)]);
        let harness = Harness::start(TestConfig::of(kind), vec![first, ok_script("second")]).await;
        let response = harness.send(&request("POST", "form")).await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&expected), "{response}");
        assert!(!response.ends_with("body"), "{response}");
        assert_eq!(harness.request_count(), request_count);
    });
}

#[test]
fn an_unsent_request_that_may_run_only_once_goes_to_another_replica() {
    run(async {
        // The first replica gets no request.
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![ok_script("never"), ok_script("second")],
        )
        .await;
        // The first replica is no longer listed.
        let tables = harness.tables.clone();
        tables.write(Table::Replicas, "i-0", None);
        wait_until(|| async { harness.entry.entry().replicas.borrow().len() == 1 }).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.ends_with("second"), "{response}");
    });
}

#[test]
fn a_refusal_reports_that_the_request_has_not_run_and_when_to_retry() {
    run(async {
        let full_script = one_connection(vec![
            Step::Read,
            response("503 Full", "t-not-run: 1\r\n", ""),
        ]);
        let config = TestConfig {
            max_attempts: 1,
            ..TestConfig::of(RouteKind::Once)
        };
        let harness = Harness::start(config, vec![full_script, ok_script("never")]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
        let retry_after = response.split("Retry-After: ").nth(1).unwrap();
        let retry_after: f64 = retry_after.split("\r\n").next().unwrap().parse().unwrap();
        // First refusal of a shortage: the shortest delay, after which a slot may be free.
        assert!((0.045..=0.06).contains(&retry_after), "{retry_after}");
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn a_late_response_to_another_request_is_skipped() {
    run(async {
        let late_response =
            "HTTP/1.1 200 OK\r\nt-request: other\r\nt-seal: s0\r\nContent-Length: 5\r\n\r\nwrong";
        let script = one_connection(vec![
            Step::Read,
            Step::Send(late_response.to_owned()),
            ok("right"),
        ]);
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![script]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.ends_with("right") && !response.contains("wrong"),
            "{response}"
        );
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn bytes_after_a_response_are_dropped_with_the_connection() {
    run(async {
        let response_with_extra_bytes = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nt-seal: s2\r\nContent-Length: 5\r\n\r\nextra";
        let script = vec![
            vec![Step::Read, Step::Send(response_with_extra_bytes.to_owned())],
            vec![Step::Read, ok("two")],
        ];
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![script]).await;
        let first = harness.send(&request("POST", "form")).await;
        let second = harness.send(&request("POST", "form")).await;
        assert!(first.ends_with("\r\n\r\none"), "{first}");
        assert!(second.ends_with("\r\n\r\ntwo"), "{second}");
        assert_eq!(harness.replicas[0].recording.borrow().connections, 2);
    });
}

#[test]
fn connections_are_reused_after_complete_responses() {
    run(async {
        let script = one_connection(vec![Step::Read, ok("one"), Step::Read, ok("two")]);
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![script]).await;
        harness.send(&request("POST", "form")).await;
        let second = harness.send(&request("POST", "form")).await;
        assert!(second.ends_with("two"), "{second}");
        assert_eq!(harness.replicas[0].recording.borrow().connections, 1);
    });
}

#[test]
fn an_early_response_to_a_long_body_is_forwarded_and_its_connection_is_not_reused() {
    run(async {
        let early_response = response("413 Long", "t-seal: s1\r\n", "no");
        let script = vec![
            vec![Step::ReadHead, early_response, Step::WaitForDisconnect],
            vec![Step::Read, ok("two")],
        ];
        let config = TestConfig {
            body_bytes: 64 << 20,
            ..TestConfig::of(RouteKind::Once)
        };
        let harness = Harness::start(config, vec![script]).await;
        // More than the socket buffers hold, so part of the body is unsent when the response
        // arrives.
        let first = harness.send(&request("POST", &"x".repeat(32 << 20))).await;
        assert!(first.starts_with("HTTP/1.1 413 Long"), "{first}");
        let second = harness.send(&request("POST", "form")).await;
        assert!(second.ends_with("two"), "{second}");
        assert_eq!(harness.replicas[0].recording.borrow().connections, 2);
    });
}

#[test]
fn a_broken_stream_resumes_at_another_replica_without_gaps_or_duplicates() {
    run(async {
        let first = one_connection(vec![
            Step::Read,
            stream("first", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
            Step::Reset,
        ]);
        // Repeats an event that the caller already has.
        let second = one_connection(vec![
            Step::Read,
            stream("second", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
            last_chunk(),
        ]);
        let harness = Harness::start(
            TestConfig::of(RouteKind::ResumableStream),
            vec![first, second],
        )
        .await;
        let response = harness.send(&request("POST", "prompt")).await;
        assert!(response.contains("t-seal: first") && !response.contains("t-seal: second"));
        let ids: Vec<&str> = response
            .lines()
            .filter(|it| it.starts_with("id:"))
            .collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3"], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        let resumed_request = harness.replicas[1].requests().remove(0);
        assert!(
            resumed_request.contains("Last-Event-Id: 2\r\n"),
            "{resumed_request}"
        );
    });
}

#[test]
fn a_broken_stream_that_cannot_resume_does_not_look_complete() {
    run(async {
        let cut_script = one_connection(vec![
            Step::Read,
            stream("s", "id: 1\ndata: a\n\n"),
            Step::Wait(Duration::from_millis(30)),
            Step::Reset,
        ]);
        let harness = Harness::start(
            TestConfig::of(RouteKind::Stream),
            vec![cut_script, ok_script("never")],
        )
        .await;
        let response = harness.send(&request("POST", "prompt")).await;
        assert!(
            response.contains("data: a") && !response.contains("0\r\n\r\n"),
            "{response}"
        );
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    run(async {
        let script = one_connection(vec![
            Step::Read,
            stream("s", "id: 1\ndata: a\n\n"),
            Step::WaitForDisconnect,
        ]);
        let harness =
            Harness::start(TestConfig::of(RouteKind::ResumableStream), vec![script]).await;
        let mut caller = harness.connect().await;
        caller
            .write_all(request("POST", "prompt").as_bytes())
            .await
            .unwrap();
        let mut seen = Vec::new();
        while !seen.ends_with(b"data: a\n\n\r\n") {
            tokio::io::AsyncReadExt::read_buf(&mut caller, &mut seen)
                .await
                .unwrap();
        }
        // A disconnect of the caller cancels the request at the replica.
        drop(caller);
        wait_until(|| async { harness.replicas[0].recording.borrow().disconnects == 1 }).await;
    });
}

#[test]
fn a_disconnect_before_the_response_cancels_the_request_without_a_retry() {
    run(async {
        let script = one_connection(vec![Step::Read, Step::WaitForDisconnect]);
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![script, ok_script("never")],
        )
        .await;
        let mut caller = harness.connect().await;
        caller
            .write_all(request("GET", "").as_bytes())
            .await
            .unwrap();
        wait_until(|| async { harness.request_count() == 1 }).await;
        drop(caller);
        wait_until(|| async { harness.replicas[0].recording.borrow().disconnects == 1 }).await;
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn a_request_gets_its_final_response_at_the_routes_timeout() {
    run(async {
        let config = TestConfig {
            timeout_ms: 200,
            ..TestConfig::of(RouteKind::Once)
        };
        let harness = Harness::start(
            config,
            vec![one_connection(vec![Step::Read, Step::WaitForDisconnect])],
        )
        .await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
        wait_until(|| async { harness.replicas[0].recording.borrow().disconnects == 1 }).await;
    });
}

#[rstest]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: wrong\r\nConnection: close\r\n\r\n",
    "401"
)]
#[case("POST /r/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "401")]
#[case(
    "POST /none/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nConnection: close\r\n\r\n",
    "404"
)]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "400"
)]
#[case("no request at all\r\n\r\n", "400")]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 9999999\r\n\r\n",
    "413"
)]
fn an_invalid_request_reaches_no_replica(#[case] bytes: &str, #[case] status: &str) {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("never")]).await;
        let mut request = bytes.to_owned();
        if status == "413" {
            request.push_str(&"x".repeat(1_100_000));
        }
        let response = harness.send(&request).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert_eq!(harness.request_count(), 0);
    });
}

#[test]
fn an_entry_without_a_configuration_answers_503_and_is_not_ready() {
    run(async {
        let harness =
            Harness::start_unready(TestConfig::of(RouteKind::Once), vec![ok_script("never")]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(
            harness
                .get(8002, "/ready")
                .await
                .starts_with("HTTP/1.1 503")
        );
        assert!(
            harness
                .get(8009, "/where")
                .await
                .starts_with("HTTP/1.1 503")
        );
    });
}

#[test]
fn an_entry_without_the_store_gets_its_tables_from_peers() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("receipt")]).await;
        let refusing = std::rc::Rc::new(gradeloft_standin::tables::Tables::default());
        refusing.mode.set(StoreMode::Refusing);
        let _second = harness.add_entry(2, &refusing).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        let addresses = get(2, 8009, "/where").await;
        assert!(
            addresses.contains(&format!("{}:8005", address(1))),
            "{addresses}"
        );
        assert!(
            addresses.contains(&format!("{}:8005", address(2))),
            "{addresses}"
        );
    });
}

#[test]
fn a_configuration_with_a_lower_version_is_not_applied() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("receipt")]).await;
        harness.tables.write(Table::Operator, "config", Some("5"));
        wait_until(|| async { harness.entry.entry().config_version() == 5 }).await;
        harness.tables.write(Table::Operator, "config", Some("4"));
        harness.tables.compact(Table::Operator);
        let calls = harness.tables.calls.get();
        wait_until(|| async { calls + 4 < harness.tables.calls.get() }).await;
        assert_eq!(harness.entry.entry().config_version(), 5);
    });
}

#[test]
fn a_draining_entry_is_not_listed_and_finishes_requests_in_flight() {
    run(async {
        let slow_script = one_connection(vec![
            Step::Read,
            Step::Wait(Duration::from_millis(400)),
            ok("whole"),
        ]);
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![slow_script]).await;
        let mut caller = harness.connect().await;
        let keep_alive_request = request("POST", "form").replace("Connection: close\r\n", "");
        caller
            .write_all(keep_alive_request.as_bytes())
            .await
            .unwrap();
        wait_until(|| async { harness.request_count() == 1 }).await;
        let drain = actix_rt::spawn(harness.entry.drain());
        wait_until(|| async { get(1, 8002, "/ready").await.starts_with("HTTP/1.1 503") }).await;
        assert!(get(1, 8009, "/where").await.starts_with("HTTP/1.1 503"));
        let mut response = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut caller, &mut response).await;
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(
            response.ends_with("whole") && response.contains("Connection: close"),
            "{response}"
        );
        assert_eq!(drain.await.unwrap(), 0);
    });
}

/// Guards against bytes after the response to a HEAD request, which its caller takes for the beginning of the
/// next response.
#[rstest]
#[case::success(response("200 OK", "t-seal: s1\r\n", ""))]
#[case::success_with_the_length_of_a_body(Step::Send(
    "HTTP/1.1 200 OK\r\nt-seal: s1\r\nContent-Length: 5\r\n\r\n".to_owned()
))]
#[case::success_in_chunks(Step::Send(
    "HTTP/1.1 200 OK\r\nt-seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()
))]
#[case::failure(response("500 Oops", "t-seal: s1\r\n", ""))]
#[case::no_response(Step::Close)]
fn a_response_to_a_head_request_ends_with_its_head(
    #[case] first: Step,
    #[values(
        RouteKind::Idempotent,
        RouteKind::Once,
        RouteKind::ResumableStream,
        RouteKind::Stream
    )]
    kind: RouteKind,
) {
    run(async {
        let scripts = vec![
            vec![Step::Read, first, Step::Read, ok("next")],
            vec![Step::Read, ok("next")],
        ];
        let config = TestConfig {
            max_attempts: 1,
            ..TestConfig::of(kind)
        };
        let harness = Harness::start(config, vec![scripts]).await;
        let mut caller = harness.connect().await;
        let head_request = request("HEAD", "").replace("Connection: close\r\n", "");
        caller.write_all(head_request.as_bytes()).await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(caller.read_u8().await.unwrap());
        }
        let next = request("GET", "").replace("/r/", "/unknown/");
        caller.write_all(next.as_bytes()).await.unwrap();
        let rest = read_all(&mut caller).await;
        assert!(rest.starts_with("HTTP/1.1 404 "), "{rest}");
    });
}
