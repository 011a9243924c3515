//! Callers that disconnect, at each stage of their request.

use std::time::Duration;

use crate::support::{Harness, TestConfig, address, ok, request, run, wait_until};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Number of requests in a test that races a request against the end of its connection.
const REQUESTS: usize = 24;

fn ok_script() -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok("answer")]; REQUESTS]
}

async fn wait_for_caller_gone(harness: &Harness, count: usize) {
    let entry = harness.entry.entry();
    let expected = format!(r#"service="s",outcome="caller_gone"}} {count}"#);
    wait_until(|| async { entry.node.metrics.text().contains(&expected) }).await;
}

#[test]
fn a_request_whose_caller_disconnects_before_it_is_read_reaches_no_replica() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Idempotent), vec![ok_script()]).await;
        for _ in 0..REQUESTS {
            // The connection closes right after the request, so the entry sees both when it reads.
            let stream = std::net::TcpStream::connect((address(1), 8005)).unwrap();
            std::io::Write::write_all(&mut &stream, request("GET", "").as_bytes()).unwrap();
        }
        wait_for_caller_gone(&harness, REQUESTS).await;
        assert_eq!(harness.request_count(), 0);
    });
}

/// Guards against a request that runs with a part of its body. The caller still reads, as it would the
/// response to a whole request.
#[rstest]
#[case::length("Content-Length: 9\r\n\r\nhalf")]
#[case::no_body("Content-Length: 9\r\n\r\n")]
#[case::inside_a_chunk("Transfer-Encoding: chunked\r\n\r\n9\r\nhalf")]
#[case::no_chunk("Transfer-Encoding: chunked\r\n\r\n")]
#[case::no_last_chunk("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[case::part_of_the_last_chunk("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n")]
fn a_request_whose_body_is_cut_reaches_no_replica(#[case] rest: &str) {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Idempotent), vec![ok_script()]).await;
        let whole = request("POST", "half");
        let (head, _) = whole.split_once("Content-Length").expect("a length");
        let mut caller = harness.connect().await;
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(rest.as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        let mut received = Vec::new();
        // The entry may reset the connection.
        let _ = caller.read_to_end(&mut received).await;
        assert!(
            !received.starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&received)
        );
        assert_eq!(harness.request_count(), 0);
    });
}

#[test]
fn a_disconnect_during_the_connect_to_a_replica_ends_the_wait_and_all_retries() {
    run(async {
        let scripts = vec![ok_script(), ok_script()];
        let harness = Harness::start(TestConfig::of(RouteKind::Idempotent), scripts).await;
        // A listener with a full accept queue doesn't complete the handshake.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((address(100), 8541).into()).unwrap();
        let listener = socket.listen(0).unwrap();
        let full = listener.local_addr().unwrap();
        let mut queued_connections = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(full)).await
        {
            queued_connections.push(stream);
        }
        harness.set_address(0, full);
        harness.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = harness.entry.entry();
        let moved = || {
            let replicas = entry.replicas.borrow();
            replicas.iter().any(|(_, it)| it.listing.address == full)
        };
        wait_until(|| async { moved() }).await;
        let mut caller = harness.connect().await;
        let request_text = request("GET", "");
        caller.write_all(request_text.as_bytes()).await.unwrap();
        wait_until(|| async { 0 < entry.node.metrics.connections.get() }).await;
        drop(caller);
        wait_for_caller_gone(&harness, 1).await;
        assert_eq!(harness.request_count(), 0);
    });
}

/// Guards against a large request that waits in the send buffer of a congested link and reaches its
/// replica seconds after the caller has disconnected: an orderly close still delivers buffered
/// bytes. The replica here reads nothing until the caller is gone.
#[test]
fn buffered_request_bytes_are_discarded_when_the_caller_disconnects() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Idempotent), vec![ok_script()]).await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        socket.bind((address(100), 8541).into()).unwrap();
        let listener = socket.listen(8).unwrap();
        let slow = listener.local_addr().unwrap();
        harness.set_address(0, slow);
        harness.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = harness.entry.entry();
        let moved = || {
            let replicas = entry.replicas.borrow();
            replicas.iter().any(|(_, it)| it.listing.address == slow)
        };
        wait_until(|| async { moved() }).await;
        let mut caller = harness.connect().await;
        let request_text = request("GET", &"x".repeat(1_000_000));
        caller.write_all(request_text.as_bytes()).await.unwrap();
        let (mut replica, _) = listener.accept().await.unwrap();
        let bytes_sent_to_replica = || {
            entry
                .node
                .metrics
                .text()
                .contains(r#"purpose="requests",reach="near""#)
        };
        wait_until(|| async { bytes_sent_to_replica() }).await;
        drop(caller);
        wait_for_caller_gone(&harness, 1).await;
        let mut all = Vec::new();
        let read = replica.read_to_end(&mut all).await;
        assert!(
            read.is_err() && all.len() < 1_000_000,
            "{} bytes",
            all.len()
        );
    });
}
