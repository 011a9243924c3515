//! Requests whose bodies end early.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_http::{
    message::{self, BodyError, Request},
    server::{Handler, Limits, Server},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Timeout of a test. Passing tests take much less time.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends bytes, closes one direction of the connection, and returns the bodies that were handled.
async fn handled_bodies(request: &str) -> Vec<Result<Bytes, BodyError>> {
    let bodies = Rc::new(RefCell::new(Vec::new()));
    let recorded = Rc::clone(&bodies);
    let handler: Handler = Rc::new(move |request: Request| {
        recorded.borrow_mut().push(request.body.clone());
        Box::pin(async { message::text(200, "done") })
    });
    let server = Server::start("127.0.0.1:0", Limits::default(), handler).await;
    let server = server.expect("the server starts");
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut buffer = [0; 1 << 10];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
    bodies.take()
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the server closes the connection");
    });
}

/// Guards against a request that runs with a part of its body.
#[rstest]
#[case::length("Content-Length: 9\r\n\r\nhalf")]
#[case::no_body("Content-Length: 9\r\n\r\n")]
#[case::inside_a_chunk("Transfer-Encoding: chunked\r\n\r\n9\r\nhalf")]
#[case::no_chunk("Transfer-Encoding: chunked\r\n\r\n")]
#[case::no_last_chunk("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[case::part_of_the_last_chunk("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n")]
fn a_cut_body_is_truncated(#[case] rest: &str) {
    run(async {
        let bodies = handled_bodies(&format!("POST / HTTP/1.1\r\nHost: h\r\n{rest}")).await;
        let truncated = |it: &Result<Bytes, BodyError>| *it == Err(BodyError::Truncated);
        assert!(bodies.iter().all(truncated), "{bodies:?}");
    });
}

/// Guards against whole requests that are refused since their client sends no more.
#[rstest]
#[case::length("Content-Length: 4\r\n\r\nhalf")]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n")]
fn a_whole_body_is_whole_after_a_close(#[case] rest: &str) {
    run(async {
        let bodies = handled_bodies(&format!("POST / HTTP/1.1\r\nHost: h\r\n{rest}")).await;
        assert_eq!(bodies, [Ok(Bytes::from_static(b"half"))]);
    });
}
