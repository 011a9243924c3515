//! How often an entry tells others of itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use gradeloft_policy::process::document::Kind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, MAX_BYTES, Presence, Sender},
};
use tokio::net::UdpSocket;

use crate::support::{Shape, World, address, ok, run, until};

/// Another entry, which counts the datagrams that come to it.
async fn counting_entry(last: u8, zone: &str) -> Rc<Cell<u32>> {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    let datagram = Datagram {
        incarnation: 1,
        zone: zone.to_owned(),
        ends: [0; 3],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store: Access::Served,
            loads: Vec::new(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    };
    let told = codec::body(&datagram);
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_BYTES];
        loop {
            socket.send_to(&told, (address(1), 7700)).await.unwrap();
            let received =
                tokio::time::timeout(Duration::from_millis(100), socket.recv_from(&mut buffer));
            if let Ok(Ok(_)) = received.await {
                counted.set(counted.get() + 1);
            }
        }
    });
    count
}

#[test]
fn entries_of_other_regions_are_told_less_often() {
    run(async {
        let scripts = vec![vec![vec![Step::Read, ok("receipt")]]];
        let _world = World::start(Shape::of(Kind::Once), scripts).await;
        let near = counting_entry(3, "z").await;
        let far = counting_entry(4, "elsewhere").await;
        until(|| async { 0 < near.get() && 0 < far.get() }).await;
        let before = (near.get(), far.get());
        until(|| async { 24 <= near.get() - before.0 }).await;
        let far = far.get() - before.1;
        assert!((4..=8).contains(&far), "{far} of 24");
    });
}
