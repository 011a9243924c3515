//! Responses of replicas that stop at a byte of their head or of the first framing after it.

use std::time::Duration;

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use rstest::rstest;

use crate::support::{Harness, TestConfig, last_chunk, ok, request, run, stream};

/// Delay of a response whose request is hedged.
const HEDGED: Duration = Duration::from_millis(1_700);
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Part of each response that the first replica begins.
const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
/// The whole stream, as the second replica sends it.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const CHUNKS: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                      f\r\nid: 1\ndata: a\n\n\r\n0\r\nx: y\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nt-seal: s\r\n\r\nid: 1\ndata: a\n\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nt-seal: s\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Oops\r\nt-seal: s\r\nContent-Length: 4\r\n\r\noops";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Other\r\nt-replica-id: x\r\nContent-Length: 0\r\n\r\n";
const INFORMATIONAL: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n\
                             HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 0\r\n\r\n";

const CLOSE: &str = "HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\nid: 1\ndata: a\n\n";
const OLD_VERSION: &str = "HTTP/1.0 200 OK\r\nt-seal: s\r\n\r\nid: 1\ndata: a\n\n";
const STALE: &str =
    "HTTP/1.1 200 OK\r\nt-request: other\r\nt-seal: s\r\nContent-Length: 4\r\n\r\nlate";
const STALE_CHUNKS: &str = "HTTP/1.1 200 OK\r\nt-request: other\r\nTransfer-Encoding: chunked\r\n\r\n\
                            1\r\na\r\n0\r\n\r\n";

/// Returns the script of a replica that sends the first bytes of a response and ends the connection. On
/// further connections it says that it is another replica.
fn cut(bytes: &str, at: usize, end: Step) -> Vec<Vec<Step>> {
    vec![
        vec![Step::Read, Step::Send(bytes[..at].to_owned()), end],
        vec![Step::Read, Step::Send(MISDIRECTED.to_owned())],
    ]
}

/// Returns the script of a replica that sends a whole response to each request.
fn whole(kind: RouteKind) -> Vec<Vec<Step>> {
    vec![match kind.streams() {
        true => vec![Step::Read, stream("s2", EVENTS), last_chunk()],
        false => vec![Step::Read, ok("second")],
    }]
}

/// Checks what a caller gets if the first replica has sent `sent`, which is not a whole response.
async fn check(kind: RouteKind, sent: &str, first: Vec<Vec<Step>>) {
    let harness = Harness::start(TestConfig::of(kind), vec![first, whole(kind)]).await;
    let response = harness.send(&request("POST", "form")).await;
    let note = format!("{sent:?} {response:?}");
    let is_first = |it: &str| response.starts_with(&format!("HTTP/1.1 {it} "));
    let repeats = harness.replicas[1].requests().len();
    assert_eq!(repeats, usize::from(kind.repeatable()), "{note}");
    match kind {
        RouteKind::Idempotent => {
            assert!(is_first("200"), "{note}");
            assert!(response.ends_with("\r\n\r\nsecond"), "{note}");
        }
        RouteKind::ResumableStream => {
            assert!(is_first("200"), "{note}");
            assert_eq!(response.matches("data: a\n\n").count(), 1, "{note}");
            assert_eq!(response.matches("data: b\n\n").count(), 1, "{note}");
            assert!(response.ends_with(LAST_CHUNK), "{note}");
        }
        RouteKind::Stream if sent.contains(FIRST_EVENT) => {
            assert!(is_first("200"), "{note}");
            assert!(response.contains("data: a\n\n"), "{note}");
            assert!(!response.ends_with(LAST_CHUNK), "{note}");
        }
        RouteKind::Once | RouteKind::Stream => {
            assert!(is_first("502"), "{note}");
            assert!(response.contains(r#""ran":"unknown""#), "{note}");
        }
    }
}

/// Guards against a cut response that callers take for a whole one, and against a cut refusal that counts
/// as one.
#[rstest]
fn a_response_that_is_cut_at_any_byte_is_not_whole(
    #[values(
        CHUNKS,
        LENGTH,
        NO_CONTENT,
        FAILED,
        REFUSED,
        MISDIRECTED,
        INFORMATIONAL
    )]
    bytes: &str,
    #[values(
        RouteKind::Idempotent,
        RouteKind::Once,
        RouteKind::ResumableStream,
        RouteKind::Stream
    )]
    kind: RouteKind,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for at in 0..bytes.len() {
        run(check(kind, &bytes[..at], cut(bytes, at, end.clone())));
    }
}

/// Guards against taking the end of a connection for the end of a response if its replica has ended, and
/// against taking a response to another request for one to this request.
#[rstest]
fn a_response_that_does_not_show_its_end_is_not_whole(
    #[values(CLOSE, OLD_VERSION, STALE, STALE_CHUNKS)] bytes: &str,
    #[values(
        RouteKind::Idempotent,
        RouteKind::Once,
        RouteKind::ResumableStream,
        RouteKind::Stream
    )]
    kind: RouteKind,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for at in 0..=bytes.len() {
        run(check(kind, &bytes[..at], cut(bytes, at, end.clone())));
    }
}

/// Guards against tests of cut responses that fail for another reason than the cut.
#[rstest]
#[case(CHUNKS, "200", "data: a\n\n")]
#[case(LENGTH, "200", "data: a\n\n")]
#[case(NO_CONTENT, "204", "")]
#[case(FAILED, "500", "oops")]
#[case(REFUSED, "200", "second")]
#[case(MISDIRECTED, "200", "second")]
#[case(INFORMATIONAL, "200", "\r\n\r\n")]
fn a_response_that_is_not_cut_is_whole(
    #[case] bytes: &str,
    #[case] status: &str,
    #[case] body: &str,
) {
    run(async {
        let kind = RouteKind::Once;
        let first = cut(bytes, bytes.len(), Step::Close);
        let harness = Harness::start(TestConfig::of(kind), vec![first, whole(kind)]).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(response.ends_with(body), "{response}");
    });
}

/// Guards against a stream that looks complete because the replica that continues it is cut.
#[rstest]
fn a_stream_whose_continuation_is_cut_at_any_byte_does_not_look_complete(
    #[values(
        CHUNKS,
        LENGTH,
        NO_CONTENT,
        FAILED,
        REFUSED,
        MISDIRECTED,
        INFORMATIONAL,
        CLOSE,
        OLD_VERSION,
        STALE,
        STALE_CHUNKS
    )]
    bytes: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for at in 0..bytes.len() {
        run(async {
            let begun = vec![vec![Step::Read, stream("s1", FIRST_EVENT), Step::Close]];
            let config = TestConfig::of(RouteKind::ResumableStream);
            let scripts = vec![begun, cut(bytes, at, end.clone())];
            let harness = Harness::start(config, scripts).await;
            let response = harness.send(&request("POST", "form")).await;
            let note = format!("{:?} {response:?}", &bytes[..at]);
            assert_eq!(response.matches("data: a\n\n").count(), 1, "{note}");
            assert!(!response.ends_with(LAST_CHUNK), "{note}");
            assert!(!harness.replicas[1].requests().is_empty(), "{note}");
        });
    }
}

/// Returns what a caller gets whose request is hedged, if the hedge is cut after `at` bytes.
async fn send_hedged(at: usize, end: Step) -> String {
    let late = vec![vec![Step::Read, Step::Wait(HEDGED), ok("first")]];
    let config = TestConfig::of(RouteKind::Idempotent);
    let harness = Harness::start(config, vec![late, cut(LENGTH, at, end)]).await;
    let response = harness.send(&request("POST", "form")).await;
    assert_eq!(harness.replicas[1].requests().len(), 1);
    response
}

/// Guards against a hedge that replaces the first attempt with the head of a response that is cut.
#[rstest]
fn a_hedge_whose_head_is_cut_leaves_the_first_response_whole(
    #[values(0, 1, 8, 9, 11, 13, 15, 16, 17, 25, 31, 33, 36, 46, 47, 48, 49)] at: usize,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let response = send_hedged(at, end).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(response.ends_with("\r\n\r\nfirst"), "{response}");
    });
}

/// Guards against a hedge that counts as answered because its body is cut.
#[rstest]
fn a_hedge_whose_body_is_cut_is_not_whole(
    #[values(LENGTH.len() - 15, LENGTH.len() - 1)] at: usize,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let response = send_hedged(at, end).await;
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert!(response.contains(r#""ran":"unknown""#), "{response}");
    });
}

/// Guards against a cut answer of a replica that counts as its word that it runs.
#[rstest]
#[case::with_a_length("HTTP/1.1 200 OK\r\nt-replica-id: i-0\r\nContent-Length: 2\r\n\r\nok")]
#[case::in_chunks(
    "HTTP/1.1 200 OK\r\nt-replica-id: i-0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)]
fn an_answer_that_is_cut_at_any_byte_does_not_confirm_that_a_replica_runs(
    #[case] answer: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for at in 0..answer.len() {
        run(async {
            let mut scripts = cut(CLOSE, CLOSE.len(), Step::Close);
            let said = Step::Send(answer[..at].to_owned());
            scripts.insert(1, vec![Step::Read, said, end.clone()]);
            check(RouteKind::Once, &answer[..at], scripts).await;
        });
    }
}

/// Guards against a cut response on a kept connection that reaches the caller of a later request.
#[rstest]
fn a_response_that_is_cut_on_a_kept_connection_does_not_spoil_the_next_request(
    #[values(CHUNKS, LENGTH, NO_CONTENT, REFUSED, INFORMATIONAL, STALE)] bytes: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for at in 0..bytes.len() {
        run(async {
            let half = Step::Send(bytes[..at].to_owned());
            let scripts = vec![
                vec![Step::Read, ok("one"), Step::Read, half, end.clone()],
                vec![Step::Read, ok("three")],
            ];
            let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![scripts]).await;
            let note = format!("{:?}", &bytes[..at]);
            let text = request("POST", "form");
            let first = harness.send(&text).await;
            assert!(first.ends_with("\r\n\r\none"), "{note} {first}");
            let second = harness.send(&text).await;
            assert!(second.starts_with("HTTP/1.1 502 "), "{note} {second}");
            assert!(second.contains(r#""ran":"unknown""#), "{note} {second}");
            let third = harness.send(&text).await;
            assert!(third.ends_with("\r\n\r\nthree"), "{note} {third}");
            let requests = harness.replicas[0].requests();
            let sent = requests.iter().filter(|it| it.starts_with("POST "));
            assert_eq!(sent.count(), 3, "{note}");
        });
    }
}
