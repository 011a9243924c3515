//! An entry that starts while replicas still run requests of entries that are gone.

use std::{cell::Cell, net::SocketAddrV4, rc::Rc};

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::{
    codec,
    datagram::{Datagram, EngineStatus, Sender},
    position::Position,
};
use tokio::net::UdpSocket;

use crate::support::{Harness, TestConfig, address, ok, replica_id, request, run, wait_until};

const SLOTS: u16 = 2;

/// Agent of the first replica, which reports when the entry sends to it.
async fn run_agent(running: Rc<Cell<u16>>) {
    let own = address(100);
    let socket = UdpSocket::bind((own, 7700)).await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let (_, from) = socket.recv_from(&mut buffer).await.unwrap();
        let engine = EngineStatus {
            born: None,
            version: Some(1),
            loading: false,
            congested: false,
            running: running.get(),
            queued: 0,
        };
        let datagram = Datagram {
            incarnation: 1,
            zone: "z".to_owned(),
            ends: [Position::START; 3],
            kept: 0,
            unconfirmed_ms: [u16::MAX; 3],
            sender: Sender::Agent {
                replica: SocketAddrV4::new(own, 8540),
                engine: Some(engine),
            },
        };
        let bytes = codec::encode_body(&datagram);
        socket.send_to(&bytes, from).await.unwrap();
    }
}

/// All slots of the only replica run requests of callers who have left, and the entry has none of
/// its own there. Guards against sending requests to a replica that rejects them, and against
/// leaving it out once it has room.
#[test]
fn an_entry_that_has_just_started_sends_nothing_to_a_replica_that_reports_itself_full() {
    run(async {
        let running = Rc::new(Cell::new(SLOTS));
        actix_rt::spawn(run_agent(Rc::clone(&running)));
        let config = TestConfig {
            goal_ms: 200,
            model_slots: Some(u32::from(SLOTS)),
            ..TestConfig::of(RouteKind::Idempotent)
        };
        let harness = Harness::start(config, vec![vec![vec![Step::Read, ok("answer")]]]).await;
        let entry = harness.entry.entry();
        let reported = || {
            let replicas = entry.replicas.borrow();
            let replica = replicas.key(&replica_id(0)).and_then(|it| replicas.get(it));
            replica.and_then(|it| it.report).map(|it| it.running)
        };
        wait_until(|| async { reported() == Some(u32::from(SLOTS)) }).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
        assert_eq!(harness.request_count(), 0);

        running.set(0);
        wait_until(|| async { reported() == Some(0) }).await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    });
}
