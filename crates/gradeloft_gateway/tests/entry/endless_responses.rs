//! Responses of faulty replicas that do not end, in the head or in the body, sent as fast as possible
//! or in small pieces.

use std::{net::SocketAddr, time::Duration};

use crate::support::{
    EndlessReplica, EndlessResponse, Harness, TestConfig, address, ok, request, run, wait_until,
};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use rstest::rstest;

/// Timeout of the route, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Time after the timeout within which a request has to be answered.
const LATE: Duration = Duration::from_millis(500);
/// No pause, for floods.
const NONE: Duration = Duration::ZERO;
const PAUSE: Duration = Duration::from_millis(2);

const HEAD: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nx-note: ";
const BODY: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const EVENT: &str = "a\r\ndata: xx\n\n\r\n";
const COMMENT: &str = "3\r\n: \n\r\n";

const STATUS: &str = "HTTP/1.1 200 ";
const FIELDS: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 18446744073709551615\r\n\r\n";
const EXTENSION: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=";
const EXTENSIONS: &str = "1;a=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n";
const REPEATED: &str = "b\r\nid: 1\ndata\n\n\r\n";
const STALE: &str =
    "HTTP/1.1 200 OK\r\nt-request: other\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const STALE_HEAD: &str = "HTTP/1.1 200 OK\r\nt-request: other\r\nContent-Length: 0\r\n\r\n";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nt-not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Oops\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const TAIL: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 1\r\n\r\nx";

fn endless(start: &'static str, piece: &'static str, pause: Duration) -> EndlessResponse {
    EndlessResponse {
        start,
        piece,
        pause,
    }
}

/// Starts an entry that sends its first request to a replica with an endless response, and further
/// ones to a sound replica with the script.
async fn start(
    kind: RouteKind,
    timeout_ms: u64,
    response: EndlessResponse,
    script: Vec<Step>,
) -> (Harness, EndlessReplica) {
    let replica = EndlessReplica::start(SocketAddr::from((address(90), 8540)), response);
    let config = TestConfig {
        timeout_ms,
        ..TestConfig::of(kind)
    };
    let scripts = vec![Vec::new(), vec![script]];
    let harness = Harness::start_unready(config, scripts).await;
    harness.set_address(0, replica.address);
    (harness.make_ready().await, replica)
}

/// Guards against requests that are unanswered after the timeout of their route, and against an entry
/// that answers nobody else meanwhile.
#[rstest]
#[case::flooded_head(RouteKind::Once, endless(HEAD, "a", NONE))]
#[case::dripped_head(RouteKind::Once, endless(HEAD, "a", PAUSE))]
#[case::flooded_informational_heads(RouteKind::Once, endless("", CONTINUE, NONE))]
#[case::dripped_informational_heads(RouteKind::Once, endless("", CONTINUE, PAUSE))]
#[case::flooded_body(RouteKind::Once, endless(BODY, "a", NONE))]
#[case::dripped_body(RouteKind::Once, endless(BODY, "a", PAUSE))]
#[case::flooded_chunks(RouteKind::Once, endless(CHUNKS, "1\r\na\r\n", NONE))]
#[case::dripped_chunks(RouteKind::Once, endless(CHUNKS, "1\r\na\r\n", PAUSE))]
#[case::flooded_trailers(RouteKind::Once, endless(TRAILERS, "a: b\r\n", NONE))]
#[case::dripped_trailers(RouteKind::Once, endless(TRAILERS, "a: b\r\n", PAUSE))]
#[case::flooded_events(RouteKind::Stream, endless(CHUNKS, EVENT, NONE))]
#[case::dripped_events(RouteKind::Stream, endless(CHUNKS, EVENT, PAUSE))]
#[case::flooded_comment(RouteKind::Stream, endless(CHUNKS, COMMENT, NONE))]
#[case::dripped_comment(RouteKind::Stream, endless(CHUNKS, COMMENT, PAUSE))]
#[case::flooded_status_line(RouteKind::Once, endless(STATUS, "a", NONE))]
#[case::dripped_status_line(RouteKind::Once, endless(STATUS, "a", PAUSE))]
#[case::flooded_fields(RouteKind::Once, endless(FIELDS, "a: b\r\n", NONE))]
#[case::dripped_fields(RouteKind::Once, endless(FIELDS, "a: b\r\n", PAUSE))]
#[case::flooded_body_of_a_huge_length(RouteKind::Once, endless(LENGTH, "a", NONE))]
#[case::dripped_body_of_a_huge_length(RouteKind::Once, endless(LENGTH, "a", PAUSE))]
#[case::flooded_chunk_extension(RouteKind::Once, endless(EXTENSION, "a", NONE))]
#[case::dripped_chunk_extension(RouteKind::Once, endless(EXTENSION, "a", PAUSE))]
#[case::flooded_chunks_with_extensions(RouteKind::Once, endless(CHUNKS, EXTENSIONS, NONE))]
#[case::dripped_chunks_with_extensions(RouteKind::Once, endless(CHUNKS, EXTENSIONS, PAUSE))]
#[case::flooded_repeated_events(RouteKind::ResumableStream, endless(CHUNKS, REPEATED, NONE))]
#[case::dripped_repeated_events(RouteKind::ResumableStream, endless(CHUNKS, REPEATED, PAUSE))]
#[case::flooded_body_to_another_request(RouteKind::Once, endless(STALE, "1\r\na\r\n", NONE))]
#[case::dripped_body_to_another_request(RouteKind::Once, endless(STALE, "1\r\na\r\n", PAUSE))]
#[case::flooded_heads_to_other_requests(RouteKind::Once, endless("", STALE_HEAD, NONE))]
#[case::dripped_heads_to_other_requests(RouteKind::Once, endless("", STALE_HEAD, PAUSE))]
#[case::flooded_body_of_a_refusal(RouteKind::Once, endless(REFUSED, "1\r\na\r\n", NONE))]
#[case::dripped_body_of_a_refusal(RouteKind::Once, endless(REFUSED, "1\r\na\r\n", PAUSE))]
#[case::flooded_body_of_a_failure(RouteKind::Idempotent, endless(FAILED, "1\r\na\r\n", NONE))]
#[case::dripped_body_of_a_failure(RouteKind::Idempotent, endless(FAILED, "1\r\na\r\n", PAUSE))]
#[case::flooded_bytes_after_a_response(RouteKind::Once, endless(TAIL, "a", NONE))]
#[case::dripped_bytes_after_a_response(RouteKind::Once, endless(TAIL, "a", PAUSE))]
fn a_request_ends_in_time_although_its_response_does_not(
    #[case] kind: RouteKind,
    #[case] response: EndlessResponse,
) {
    run(async {
        let (harness, replica) = start(kind, TIMEOUT_MS, response, vec![Step::Read, ok("b")]).await;
        let text = request("POST", "form");
        let first = async {
            let limit = Duration::from_millis(TIMEOUT_MS) + LATE;
            tokio::time::timeout(limit, harness.send(&text)).await
        };
        let others = async {
            wait_until(|| async { replica.begun() == 1 }).await;
            let ready = tokio::time::timeout(LATE, harness.get(8002, "/ready"));
            ready.await.is_ok()
        };
        let (first, others) = tokio::join!(first, others);
        assert!(first.is_ok(), "the request is unanswered");
        assert!(others, "the entry answered nobody else");
        wait_until(|| async { replica.ended() == 1 }).await;
    });
}

/// Guards against requests that a sound replica could have served, as a faulty one was taken to have
/// resumed its response.
#[rstest]
#[case::flooded_head(endless(HEAD, "a", NONE))]
#[case::dripped_head(endless(HEAD, "a", PAUSE))]
#[case::flooded_informational_heads(endless("", CONTINUE, NONE))]
#[case::dripped_informational_heads(endless("", CONTINUE, PAUSE))]
fn a_request_that_may_be_repeated_is_served_by_another_replica(#[case] response: EndlessResponse) {
    run(async {
        let work = Duration::from_millis(100);
        let script = vec![Step::Read, Step::Wait(work), ok("from the sound replica")];
        let (harness, _replica) = start(RouteKind::Idempotent, 4_000, response, script).await;
        let response = harness.send(&request("GET", "")).await;
        assert!(response.ends_with("from the sound replica"), "{response}");
    });
}
