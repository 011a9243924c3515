//! Responses without a length or chunks, which end with their connections.

use std::{net::SocketAddr, time::Duration};

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;

use crate::support::{
    ClosingReplica, ClosingResponse, Harness, Successor, TestConfig, address, closing_replica,
    healthy, ok, request, response, run, wait_until,
};

const EVENTS: &str = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\nConnection: close\r\n\r\n\
                      id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const BODY: &str =
    "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\nConnection: close\r\n\r\nfirst half, ";

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns the script of a replica that sends the rest of the stream.
fn rest_of_stream() -> Vec<Vec<Step>> {
    let events = "id: 3\ndata: c\n\n";
    let head = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s2\r\nContent-Length:";
    let rest = Step::Send(format!("{head} {}\r\n\r\n{events}", events.len()));
    vec![vec![Step::Read, rest]]
}

/// Starts an entry that sends its first request to the replica, and further ones to one with the script.
/// `is_distinct` is whether each start of a replica has an id of its own.
async fn start(
    kind: RouteKind,
    replica: &ClosingReplica,
    is_distinct: bool,
    script: Vec<Vec<Step>>,
) -> Harness {
    let harness = Harness::start_unready(TestConfig::of(kind), vec![Vec::new(), script]).await;
    harness.set_address(0, replica.address);
    if !is_distinct {
        harness.set_start_time(0, closing_replica::BORN);
    }
    harness.make_ready().await
}

fn closing(bytes: &'static str, successor: Successor) -> ClosingReplica {
    let response = ClosingResponse {
        bytes,
        resets: false,
        successor,
    };
    ClosingReplica::start(replica_address(), response)
}

fn replica_address() -> SocketAddr {
    SocketAddr::from((address(90), 8540))
}

#[rstest]
fn a_stream_whose_replica_ended_is_continued_by_another(
    #[values(
        Successor::Stopped,
        Successor::Nobody,
        Successor::NobodySoon,
        Successor::NoMachine,
        Successor::OtherId,
        Successor::SameId,
        Successor::OtherService,
        Successor::OtherProtocol
    )]
    successor: Successor,
) {
    run(async {
        let replica = closing(EVENTS, successor);
        let is_distinct = successor != Successor::SameId;
        let kind = RouteKind::ResumableStream;
        let harness = start(kind, &replica, is_distinct, rest_of_stream()).await;
        let response = harness.send(&request("POST", "form")).await;
        for event in ["data: a\n\n", "data: b\n\n", "data: c\n\n"] {
            assert_eq!(response.matches(event).count(), 1, "{response}");
        }
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        let continued = harness.replicas[1].requests().remove(0);
        assert!(continued.contains("Last-Event-Id: 2\r\n"), "{continued}");
    });
}

#[rstest]
fn a_stream_that_nobody_continues_does_not_look_complete_once_its_replica_ended(
    #[values(
        Successor::Stopped,
        Successor::Nobody,
        Successor::NobodySoon,
        Successor::NoMachine,
        Successor::OtherId,
        Successor::SameId,
        Successor::OtherService,
        Successor::OtherProtocol
    )]
    successor: Successor,
) {
    run(async {
        let replica = closing(EVENTS, successor);
        let is_distinct = successor != Successor::SameId;
        let harness = start(RouteKind::Stream, &replica, is_distinct, rest_of_stream()).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

#[rstest]
fn a_cut_body_is_not_passed_on_as_whole(
    #[values(
        Successor::Stopped,
        Successor::Nobody,
        Successor::NobodySoon,
        Successor::NoMachine,
        Successor::OtherId,
        Successor::SameId,
        Successor::OtherService,
        Successor::OtherProtocol
    )]
    successor: Successor,
    #[values((RouteKind::Idempotent, "200", "whole"), (RouteKind::Once, "502", ""))] expected: (
        RouteKind,
        &str,
        &str,
    ),
) {
    run(async {
        let replica = closing(BODY, successor);
        let is_distinct = successor != Successor::SameId;
        let (kind, status, body) = expected;
        let script = vec![vec![Step::Read, ok("whole")]];
        let harness = start(kind, &replica, is_distinct, script).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(!response.contains("first half"), "{response}");
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(response.ends_with(body), "{response}");
    });
}

/// Guards against an id that confirms a later start: the entry has read the record of the replica, and no
/// report with the time of its start yet.
#[test]
fn an_id_does_not_confirm_a_start_whose_time_is_not_known_yet() {
    run(async {
        let replica = closing(EVENTS, Successor::SameId);
        let harness = Harness::start_unready(
            TestConfig::of(RouteKind::Stream),
            vec![Vec::new(), Vec::new()],
        )
        .await;
        harness.set_address(0, replica.address);
        harness.set_weights_version(0, 1);
        let harness = harness.make_ready().await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Guards against mistaking the end of a whole response for a failure.
#[rstest]
fn a_response_whose_replica_runs_is_complete_at_the_close(
    #[values(RouteKind::ResumableStream, RouteKind::Stream)] kind: RouteKind,
    #[values(true, false)] is_distinct: bool,
) {
    run(async {
        let replica = closing(EVENTS, Successor::Itself);
        let harness = start(kind, &replica, is_distinct, rest_of_stream()).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        assert_eq!(harness.request_count(), 0);
    });
}

#[rstest]
fn a_body_whose_replica_runs_is_whole_at_the_close(
    #[values(RouteKind::Idempotent, RouteKind::Once)] kind: RouteKind,
    #[values(true, false)] is_distinct: bool,
) {
    run(async {
        let replica = closing(BODY, Successor::Itself);
        let harness = start(kind, &replica, is_distinct, rest_of_stream()).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("first half, "), "{response}");
        assert_eq!(harness.request_count(), 0);
    });
}

/// Guards against a second replica that runs, and loses all of its response.
#[test]
fn a_continued_stream_without_further_events_is_not_complete_at_a_close() {
    run(async {
        let replica = closing(EVENTS, Successor::Nobody);
        let head = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s2\r\n\r\n";
        let healthy = "HTTP/1.1 200 OK\r\nt-replica-id: i-1\r\nContent-Length: 0\r\n\r\n";
        let script = vec![
            vec![Step::Read, Step::Send(head.to_owned()), Step::Close],
            vec![Step::Read, Step::Send(healthy.to_owned())],
        ];
        let harness = start(RouteKind::ResumableStream, &replica, true, script).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

#[test]
fn a_continued_stream_without_further_events_is_complete_at_its_length() {
    run(async {
        let replica = closing(EVENTS, Successor::Nobody);
        let script = vec![vec![Step::Read, response("200 OK", "t-seal: s2\r\n", "")]];
        let harness = start(RouteKind::ResumableStream, &replica, true, script).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Plays a stream whose replica is removed from the table before the response ends, and which no other
/// replica may continue.
async fn play_unlisted(successor: Successor) -> String {
    let response = ClosingResponse {
        bytes: EVENTS,
        resets: false,
        successor,
    };
    let replica = ClosingReplica::start_held(replica_address(), response);
    let harness = start(RouteKind::Stream, &replica, true, rest_of_stream()).await;
    let text = request("POST", "form");
    let removed = async {
        wait_until(|| async { replica.has_begun() }).await;
        let (tables, entry) = (&harness.tables, harness.entry.entry());
        tables.write(Table::Replicas, closing_replica::ID, None);
        let is_listed = || entry.replicas.borrow().key(closing_replica::ID).is_some();
        wait_until(|| async { !is_listed() }).await;
        replica.end_response();
    };
    let (response, ()) = tokio::join!(harness.send(&text), removed);
    assert!(response.contains("data: b\n\n"), "{response}");
    response
}

#[rstest]
#[case::nobody(Successor::Nobody)]
#[case::no_machine(Successor::NoMachine)]
#[case::other_service(Successor::OtherService)]
fn a_stream_does_not_look_complete_once_its_unlisted_replica_ended(#[case] successor: Successor) {
    run(async {
        let response = play_unlisted(successor).await;
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

#[test]
fn a_stream_whose_replica_runs_on_unlisted_is_complete_at_the_close() {
    run(async {
        let response = play_unlisted(Successor::Itself).await;
        assert!(response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Guards against a second read of a connection that was reset, which looks like an orderly close.
#[test]
fn a_reset_while_a_hedge_waits_does_not_look_like_the_end_of_a_stream() {
    run(async {
        let response_start = ClosingResponse {
            bytes: EVENTS,
            resets: true,
            successor: Successor::Itself,
        };
        let replica = ClosingReplica::start_held(replica_address(), response_start);
        // The hedge fails after the reset, so that the first attempt goes on.
        let full = response("503 Full", "t-not-run: 1\r\n", "");
        let script = vec![vec![
            Step::Read,
            Step::Wait(Duration::from_millis(300)),
            full,
        ]];
        let harness = start(RouteKind::ResumableStream, &replica, true, script).await;
        let text = request("POST", "form");
        let hedged = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            replica.end_response();
        };
        let (response, ()) = tokio::join!(harness.send(&text), hedged);
        assert!(response.contains("data: b\n\n"), "{response}");
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Guards against whole responses that count as losses, which hide whether one replica or many crashed.
#[test]
fn a_response_that_ended_with_its_connection_is_no_lost_request() {
    run(async {
        let replica = closing(BODY, Successor::Itself);
        let harness = start(RouteKind::Idempotent, &replica, true, rest_of_stream()).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.ends_with("first half, "), "{response}");
        assert_eq!(harness.entry.entry().unsettled(), 0);
    });
}

/// Guards against a lost response of a replica that runs, which callers take for an empty one.
#[rstest]
#[case::idempotent(RouteKind::Idempotent, "200", "whole")]
#[case::once(RouteKind::Once, "502", "}")]
fn a_close_behind_a_head_is_not_an_empty_response(
    #[case] kind: RouteKind,
    #[case] status: &str,
    #[case] body: &str,
) {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\n\r\n";
        let replica = closing(head, Successor::Itself);
        let script = vec![vec![Step::Read, ok("whole")]];
        let harness = start(kind, &replica, true, script).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(response.ends_with(body), "{response}");
    });
}

/// Guards against cutting whole responses of replicas whose records have the time of their start, and that
/// do not serve their state.
#[test]
fn a_replica_that_serves_health_only_confirms_the_end_of_a_response() {
    run(async {
        let unknown = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![
            vec![Step::Read, Step::Send(BODY.to_owned()), Step::Close],
            vec![
                Step::Read,
                Step::Send(unknown.to_owned()),
                Step::Read,
                healthy(),
            ],
        ];
        let config = TestConfig::of(RouteKind::Once);
        let harness = Harness::start_unready(config, vec![scripts]).await;
        harness.set_start_time(0, closing_replica::BORN);
        let harness = harness.make_ready().await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("first half, "), "{response}");
    });
}

/// Plays a stream that ends with its connection while an older connection to its replica is idle, on which
/// the next bytes are `answer`. Further connections are reset.
async fn play_older_connection(answer: &str) -> String {
    let whole = || ok("id: 1\ndata: x\n\n");
    let older = vec![
        Step::Read,
        whole(),
        Step::Read,
        Step::Send(answer.to_owned()),
    ];
    let newer = vec![
        Step::Read,
        Step::Wait(Duration::from_millis(100)),
        whole(),
        Step::Read,
        Step::Send(EVENTS.to_owned()),
        Step::Close,
    ];
    let config = TestConfig::of(RouteKind::Stream);
    let harness = Harness::start(config, vec![vec![older, newer, vec![Step::Reset]]]).await;
    let text = request("POST", "form");
    tokio::join!(harness.send(&text), harness.send(&text));
    let response = harness.send(&text).await;
    assert!(response.contains("data: b\n\n"), "{response}");
    response
}

#[test]
fn a_replica_confirms_the_end_of_a_stream_on_an_older_connection() {
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nt-replica-id: i-0\r\nContent-Length: 0\r\n\r\n";
        let response = play_older_connection(answer).await;
        assert!(response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Guards against bytes that the replica sent before it ended, and that are read after that.
#[rstest]
#[case::late_response(
    "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-replica-id: i-0\r\nContent-Length: 0\r\n\r\n"
)]
#[case::idle_timeout("HTTP/1.1 408 Idle\r\nContent-Length: 0\r\n\r\n")]
fn bytes_that_answer_no_probe_do_not_confirm_the_end_of_a_stream(#[case] bytes: &str) {
    run(async {
        let response = play_older_connection(bytes).await;
        assert!(!response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Guards against cutting whole responses of replicas that are full.
#[test]
fn a_replica_that_refuses_a_probe_is_probed_again() {
    run(async {
        let full = "HTTP/1.1 503 Full\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![
            vec![Step::Read, Step::Send(EVENTS.to_owned()), Step::Close],
            vec![Step::Read, Step::Send(full.to_owned())],
            vec![Step::Read, healthy()],
        ];
        let config = TestConfig::of(RouteKind::Stream);
        let harness = Harness::start(config, vec![scripts]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.ends_with(LAST_CHUNK), "{response}");
    });
}

/// Returns the bytes of a chunked stream: chunks with these contents, and then `end`.
fn chunked_stream(chunks: &[&str], end: &str) -> Step {
    let head =
        "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = chunks
        .iter()
        .map(|it| format!("{:x}\r\n{it}\r\n", it.len()));
    Step::Send(format!("{head}{}{end}", chunks.collect::<String>()))
}

/// Guards against events that are counted as relayed and never sent: they arrive together with the end of
/// a response that is not complete.
#[rstest]
#[case::part_of_an_event(&["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda"], LAST_CHUNK)]
#[case::part_of_an_event_in_a_chunk_of_its_own(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\nda"], LAST_CHUNK)]
#[case::no_chunk(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "nonsense\r\n")]
#[case::no_line_end(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "3\r\nid:id")]
#[case::close(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "")]
fn a_broken_stream_is_continued_after_the_last_event_that_was_sent(
    #[case] chunks: &[&str],
    #[case] end: &str,
) {
    run(async {
        let first = vec![Step::Read, chunked_stream(chunks, end), Step::Close];
        let scripts = vec![vec![first], rest_of_stream()];
        let config = TestConfig::of(RouteKind::ResumableStream);
        let harness = Harness::start(config, scripts).await;
        let response = harness.send(&request("POST", "form")).await;
        for event in ["data: a\n\n", "data: b\n\n", "data: c\n\n"] {
            assert_eq!(response.matches(event).count(), 1, "{response}");
        }
        assert!(response.ends_with(LAST_CHUNK), "{response}");
        let continued = harness.replicas[1].requests().remove(0);
        assert!(continued.contains("Last-Event-Id: 2\r\n"), "{continued}");
    });
}
