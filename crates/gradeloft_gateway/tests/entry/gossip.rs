//! How often an entry tells others of itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use gradeloft_policy::{process::document::Kind, rendezvous};
use gradeloft_standin::{scripted::Step, tables::Mood};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, MAX_BYTES, Presence, Sender},
    frame::Table,
};
use tokio::net::UdpSocket;

use crate::support::{Shape, World, address, ok, run, until};

/// What another entry says of itself.
fn datagram(zone: &str, store: Access) -> Datagram {
    Datagram {
        incarnation: 1,
        zone: zone.to_owned(),
        ends: [0; 3],
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store,
            loads: Vec::new(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    }
}

/// Another entry, which says again and again whether the store serves it.
async fn telling_entry(last: u8, to: u8, store: Rc<Cell<Access>>) {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let told = codec::body(&datagram("z", store.get()));
            socket.send_to(&told, (address(to), 7700)).await.unwrap();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Another entry, which counts the datagrams that come to it.
async fn counting_entry(last: u8, zone: &str) -> Rc<Cell<u32>> {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    let told = codec::body(&datagram(zone, Access::Served));
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
fn entries_of_other_regions_are_told_less_often_by_a_large_fleet() {
    run(async {
        let scripts = vec![vec![vec![Step::Read, ok("receipt")]]];
        let _world = World::start(Shape::of(Kind::Once), scripts).await;
        let near = counting_entry(3, "z").await;
        let far = counting_entry(4, "elsewhere").await;
        until(|| async { 0 < near.get() && 0 < far.get() }).await;
        let told_far = async || {
            let before = (near.get(), far.get());
            until(|| async { 24 <= near.get() - before.0 }).await;
            far.get() - before.1
        };
        let small = told_far().await;
        assert!(18 <= small, "{small} of 24 in a fleet of three");
        let mut others = Vec::new();
        for last in 10..40 {
            others.push(counting_entry(last, "elsewhere").await);
        }
        until(|| async { others.iter().all(|it| 0 < it.get()) }).await;
        let large = told_far().await;
        assert!((4..=9).contains(&large), "{large} of 24 in a large fleet");
    });
}

#[test]
fn an_entry_that_takes_over_reading_trusts_what_it_reads() {
    run(async {
        let well = || vec![vec![Step::Read, ok("receipt")]];
        let world = World::start(Shape::of(Kind::Once), vec![well(), well()]).await;
        // The third in order for the table, and the two before it. Which those are depends on the
        // addresses, and so on this process.
        let table = Table::Replicas;
        let nodes: Vec<u64> = (10..90)
            .map(|it| rendezvous::hash(&address(it).octets()))
            .collect();
        let order = rendezvous::order(table as u64, &nodes);
        let last = |place: usize| 10 + order[place] as u8;
        let another = world.another(last(2), &world.tables).await;
        let entry = another.entry();
        let store = Rc::new(Cell::new(Access::Served));
        for place in 0..2 {
            telling_entry(last(place), last(2), Rc::clone(&store)).await;
        }
        until(|| async {
            // Ends the read that waits.
            world.list_all();
            entry.node.on_standby(table)
        })
        .await;
        store.set(Access::Unserved);
        until(|| async { !entry.node.on_standby(table) }).await;
        world.tables.write(table, "i-0", None);
        let told = || {
            let records = entry.node.records(table);
            records.iter().all(|it| it.key != "i-0")
        };
        until(|| async { told() }).await;
        assert_eq!(entry.replicas.borrow().len(), 1);
    });
}

#[test]
fn a_word_that_lay_in_the_socket_while_the_process_stood_still_confirms_nothing() {
    run(async {
        let world = World::unready(Shape::of(Kind::Once), Vec::new()).await;
        // Nobody else has a copy that is whole now.
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        let another = world.another(2, &world.tables).await;
        let node = &another.entry().node;
        // Looks whether it stands still, from here on.
        until(|| async { node.access() == Access::Unserved }).await;
        let mut told = datagram("z", Access::Served);
        // Its copy of the operator's table is whole; of another it has more.
        told.unconfirmed_ms = [0; 3];
        told.ends = [0, 0, 9];
        let told = codec::body(&told);
        let socket = UdpSocket::bind((address(3), 7700)).await.unwrap();
        let tell = || socket.send_to(&told, (address(2), 7700));
        tell().await.unwrap();
        let still = Some(node.clock.now());
        std::thread::sleep(Duration::from_millis(1_500));
        until(|| async { node.behind(Table::Replicas).is_some() }).await;
        assert!(node.confirmed(Table::Operator) < still);
        until(|| async {
            tell().await.unwrap();
            still < node.confirmed(Table::Operator)
        })
        .await;
    });
}
