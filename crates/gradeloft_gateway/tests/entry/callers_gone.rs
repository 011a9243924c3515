//! Callers that leave, at each stage of their request.

use std::time::Duration;

use crate::support::{Shape, World, address, ok, request, run, until};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Requests of a test that depends on which of two events an entry sees first.
const REQUESTS: usize = 24;

fn well() -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok("answer")]; REQUESTS]
}

async fn ends(world: &World, count: usize) {
    let entry = world.entry.entry();
    let expected = format!(r#"service="s",outcome="caller_gone"}} {count}"#);
    until(|| async { entry.node.metrics.text().contains(&expected) }).await;
}

#[test]
fn a_request_whose_caller_left_before_it_was_read_goes_nowhere() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Idempotent), vec![well()]).await;
        for _ in 0..REQUESTS {
            // The end follows the request at once, so the entry finds both when it reads.
            let stream = std::net::TcpStream::connect((address(1), 8005)).unwrap();
            std::io::Write::write_all(&mut &stream, request("GET", "").as_bytes()).unwrap();
        }
        ends(&world, REQUESTS).await;
        assert_eq!(world.arrivals(), 0);
    });
}

#[test]
fn a_caller_that_leaves_while_a_replica_is_connected_to_ends_the_wait_and_every_retry() {
    run(async {
        let scripts = vec![well(), well()];
        let world = World::start(Shape::of(RouteKind::Idempotent), scripts).await;
        // A listener whose queue is full does not answer.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((address(100), 8541).into()).unwrap();
        let listener = socket.listen(0).unwrap();
        let full = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(full)).await
        {
            queued.push(stream);
        }
        world.listens_at(0, full);
        world.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = world.entry.entry();
        let moved = || {
            let replicas = entry.replicas.borrow();
            replicas.iter().any(|(_, it)| it.listing.address == full)
        };
        until(|| async { moved() }).await;
        let mut caller = world.connect().await;
        let asking = request("GET", "");
        caller.write_all(asking.as_bytes()).await.unwrap();
        until(|| async { 0 < entry.node.metrics.connections.get() }).await;
        drop(caller);
        ends(&world, 1).await;
        assert_eq!(world.arrivals(), 0);
    });
}

/// A large request lay before a full link for seconds, and reached its replica after its caller had left: a close
/// in order delivers first what still waits. The replica here reads nothing until the caller is gone.
#[test]
fn what_waits_before_a_full_link_is_not_delivered_after_its_caller_left() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Idempotent), vec![well()]).await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        socket.bind((address(100), 8541).into()).unwrap();
        let listener = socket.listen(8).unwrap();
        let slow = listener.local_addr().unwrap();
        world.listens_at(0, slow);
        world.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = world.entry.entry();
        let moved = || {
            let replicas = entry.replicas.borrow();
            replicas.iter().any(|(_, it)| it.listing.address == slow)
        };
        until(|| async { moved() }).await;
        let mut caller = world.connect().await;
        let asking = request("GET", &"x".repeat(1_000_000));
        caller.write_all(asking.as_bytes()).await.unwrap();
        let (mut replica, _) = listener.accept().await.unwrap();
        let requests = || {
            entry
                .node
                .metrics
                .text()
                .contains(r#"purpose="requests",reach="near""#)
        };
        until(|| async { requests() }).await;
        drop(caller);
        ends(&world, 1).await;
        let mut all = Vec::new();
        let read = replica.read_to_end(&mut all).await;
        assert!(
            read.is_err() && all.len() < 1_000_000,
            "{} bytes",
            all.len()
        );
    });
}
