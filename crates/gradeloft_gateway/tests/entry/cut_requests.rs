//! Requests of callers that end at a byte of their head or of their body.

use std::time::Duration;

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;

use crate::support::{Harness, TestConfig, ok, read_all, run};

const GET: &str = "GET /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\n\r\n";
const LENGTH: &str =
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKS: &str = "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\n\
                      Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nx: y\r\n\r\n";
const EXPECTING: &str = "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\n\
                         Expect: 100-continue\r\nContent-Length: 5\r\n\r\nwhole";

/// How a caller ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Guards against a part of a request that runs at a replica.
#[rstest]
fn a_request_that_is_cut_at_any_byte_reaches_no_replica(
    #[values(GET, LENGTH, CHUNKS, EXPECTING)] bytes: &str,
    #[values(RouteKind::Idempotent, RouteKind::Once)] kind: RouteKind,
    #[values(End::Close, End::Reset)] end: End,
) {
    run(async {
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let harness = Harness::start(TestConfig::of(kind), vec![replica]).await;
        for at in 0..bytes.len() {
            let mut caller = harness.connect().await;
            caller.write_all(&bytes.as_bytes()[..at]).await.unwrap();
            match end {
                End::Close => {
                    caller.shutdown().await.unwrap();
                    let response = read_all(&mut caller).await;
                    let cut = &bytes[..at];
                    assert!(!response.contains(" 200 "), "{cut:?} {response}");
                }
                End::Reset => SockRef::from(&caller)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
            }
        }
        // The entry accepts connections in turn, so it has read the cut ones by the response.
        let mut caller = harness.connect().await;
        caller.write_all(bytes.as_bytes()).await.unwrap();
        while harness.request_count() == 0 {
            tokio::task::yield_now().await;
        }
        let requests = harness.replicas[0].requests();
        assert_eq!(requests.len(), 1, "{requests:?}");
        assert!(
            bytes == GET || requests[0].contains("whole"),
            "{requests:?}"
        );
    });
}
