//! Callers whose connections end in favour of others.

use gradeloft_gateway::shares::Shares;
use gradeloft_policy::process::document::RouteKind;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{Harness, TestConfig, run};

/// Descriptors of a process that has room for ten callers.
const DESCRIPTORS: usize = 64;

/// Head of a request without the length of its body.
const HEAD: &str = "POST /r/x HTTP/1.1\r\nHost: h\r\nt-request: abc\r\nt-key: secret\r\n";

/// Starts an entry, and opens as many connections as it has places, each of which sends `bytes`.
async fn full_entry(bytes: &str) -> (Harness, Vec<TcpStream>) {
    let config = TestConfig {
        max_descriptors: DESCRIPTORS,
        ..TestConfig::of(RouteKind::Once)
    };
    let harness = Harness::start(config, vec![Vec::new()]).await;
    let places = Shares::of(&harness.entry.entry().node.settings())
        .callers
        .connections;
    let mut callers = Vec::new();
    for _ in 0..places {
        let mut caller = harness.connect().await;
        caller.write_all(bytes.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    (harness, callers)
}

/// Guards against callers that wait for a response to a request of which the entry has read a part.
#[rstest]
#[case::in_the_request_line("POST /r/x HT".to_owned())]
#[case::in_a_header(format!("{HEAD}t-deadline: 60"))]
#[case::before_the_body(format!("{HEAD}Content-Length: 4\r\n\r\n"))]
#[case::in_the_body(format!("{HEAD}Content-Length: 4\r\n\r\nfo"))]
#[case::in_a_chunk(format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nfo"))]
#[case::between_chunks(format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nfo\r\n"))]
fn an_incomplete_request_that_ends_in_favour_of_newcomers_is_refused(#[case] bytes: String) {
    run(async {
        let (harness, callers) = full_entry(&bytes).await;
        let mut newcomers = Vec::new();
        for _ in 0..2 * callers.len() {
            newcomers.push(harness.connect().await);
        }
        for mut caller in callers {
            let mut response = Vec::new();
            let closed = caller.read_to_end(&mut response).await;
            let response = String::from_utf8_lossy(&response);
            assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
            assert!(response.contains(r#""ran":"no""#), "{response}");
            closed.expect("the connection closes in order");
        }
        assert_eq!(harness.request_count(), 0);
    });
}
