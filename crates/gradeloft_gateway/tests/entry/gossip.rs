//! Gossip datagrams that an entry sends and accepts.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
    rc::Rc,
    time::Duration,
};

use gradeloft_daemon::clock::Clock;
use gradeloft_platform::fleet::Lookup;
use gradeloft_policy::{
    process::{delegates, document::RouteKind, replicas::Listing},
    rendezvous,
};
use gradeloft_standin::{scripted::Step, tables::StoreMode};
use gradeloft_wire::{
    codec,
    datagram::{
        Datagram, Load, Loads, MAX_BYTES, Member, Presence, RegionMessage, Sender, StoreAccess,
    },
    frame::Table,
    position::Position,
};
use tokio::net::UdpSocket;

use crate::support::{Harness, TestConfig, address, ok, run, wait_until};

/// Returns a datagram in which another entry announces its state.
fn datagram(zone: &str, store: StoreAccess) -> Datagram {
    Datagram {
        incarnation: 1,
        zone: zone.to_owned(),
        ends: [Position::START; 3],
        kept: 0,
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store,
            wants_state: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    }
}

/// Starts another entry that periodically announces whether the store serves it.
async fn announcing_entry(octet: u8, to: u8, store: Rc<Cell<StoreAccess>>) {
    let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let bytes = codec::encode_body(&datagram("z", store.get()));
            socket.send_to(&bytes, (address(to), 7700)).await.unwrap();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Starts another entry that announces itself to the instance `to` and counts the datagrams that it
/// receives.
async fn counting_entry(octet: u8, to: u8, zone: &str) -> Rc<Cell<u32>> {
    let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
    let bytes = codec::encode_body(&datagram(zone, StoreAccess::Served));
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_BYTES];
        loop {
            socket.send_to(&bytes, (address(to), 7700)).await.unwrap();
            let received =
                tokio::time::timeout(Duration::from_millis(100), socket.recv_from(&mut buffer));
            if let Ok(Ok(_)) = received.await {
                counted.set(counted.get() + 1);
            }
        }
    });
    count
}

/// Returns the region state in a datagram that a delegate sends to another region.
fn unrelayed_region(datagram: &Datagram) -> Option<&RegionMessage> {
    match &datagram.sender {
        Sender::Region {
            relayed: false,
            message,
        } => Some(message),
        _ => None,
    }
}

/// Another entry, which announces itself and receives datagrams only while the test waits for them.
struct UdpPeer {
    socket: UdpSocket,
    zone: &'static str,
}

impl UdpPeer {
    async fn bind(octet: u8, zone: &'static str) -> UdpPeer {
        let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
        UdpPeer { socket, zone }
    }

    /// Announces the entry to the instance `to`.
    async fn announce(&self, to: u8) {
        let bytes = codec::encode_body(&datagram(self.zone, StoreAccess::Served));
        self.socket
            .send_to(&bytes, (address(to), 7700))
            .await
            .unwrap();
    }

    /// Returns the next datagram of the instance `to` that `select` selects. Announces the entry
    /// meanwhile.
    async fn receive<T>(&self, to: u8, select: impl Fn(&Datagram) -> Option<T>) -> T {
        let mut buffer = [0; MAX_BYTES];
        loop {
            self.announce(to).await;
            let pause = Duration::from_millis(100);
            let received = tokio::time::timeout(pause, self.socket.recv_from(&mut buffer));
            if let Ok(Ok((length, from))) = received.await
                && from.ip() == address(to)
            {
                let datagram: Datagram = codec::decode_body(&buffer[..length]).unwrap();
                if let Some(selected) = select(&datagram) {
                    return selected;
                }
            }
        }
    }
}

fn one_replica() -> Vec<Vec<Vec<Step>>> {
    vec![vec![vec![Step::Read, ok("receipt")]]]
}

#[test]
fn a_delegate_sends_members_and_loads_of_its_region_to_another_region() {
    run(async {
        let _harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let near = UdpPeer::bind(3, "z").await;
        near.announce(1).await;
        let far = UdpPeer::bind(4, "elsewhere").await;
        let members = far.receive(1, |it| match unrelayed_region(it)? {
            RegionMessage::Members(members) if members.len() == 2 => Some(members.clone()),
            _ => None,
        });
        let announcing = async {
            loop {
                near.announce(1).await;
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let members = tokio::select! {
            members = members => members,
            () = announcing => unreachable!("announces until the test ends"),
        };
        let mut addresses: Vec<_> = members.iter().map(|it| it.address).collect();
        addresses.sort_unstable();
        assert_eq!(addresses, [address(1), address(3)]);
        far.receive(1, |it| {
            matches!(unrelayed_region(it)?, RegionMessage::Loads(_)).then_some(())
        })
        .await;
    });
}

#[test]
fn only_delegates_of_a_large_region_send_its_state_to_other_regions() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        // The order of delegates depends on the addresses, and so on the process identifier.
        let is_delegate = |octet: &u8| {
            let others = (10..90).filter(|it| it != octet).map(address);
            delegates::is_delegate(address(*octet), others)
        };
        let (delegate_octets, others): (Vec<u8>, Vec<u8>) = (10..90).partition(is_delegate);
        assert_eq!(delegate_octets.len(), delegates::DELEGATES);
        let own = others[0];
        let _added = harness.add_entry(own, &harness.tables).await;
        let mut near = Vec::new();
        for octet in delegate_octets {
            near.push(counting_entry(octet, own, "z").await);
        }
        wait_until(|| async { near.iter().all(|it| 0 < it.get()) }).await;
        let far = UdpPeer::bind(4, "elsewhere").await;
        let from_entry = |it: &Datagram| matches!(it.sender, Sender::Entry { .. }).then_some(());
        far.receive(own, from_entry).await;
        // The entry occasionally announces itself, but never sends region state.
        let own_datagrams = async {
            for _ in 0..2 {
                let own_datagram = |it: &Datagram| match &it.sender {
                    Sender::Region { .. } => panic!("{it:?}"),
                    _ => Some(()),
                };
                far.receive(own, own_datagram).await;
            }
        };
        own_datagrams.await;
    });
}

#[test]
fn state_of_another_region_is_forwarded_once_within_the_own_region() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let entry = harness.entry.entry();
        let near = UdpPeer::bind(3, "z").await;
        near.receive(1, |it| {
            matches!(it.sender, Sender::Entry { .. }).then_some(())
        })
        .await;
        let member = Member {
            address: address(50),
            incarnation: 1,
            presence: Presence::Ready,
            store: StoreAccess::Served,
            end: Position::START,
        };
        let region_datagram = |relayed| Datagram {
            sender: Sender::Region {
                relayed,
                message: RegionMessage::Members(vec![member]),
            },
            ..datagram("elsewhere", StoreAccess::Served)
        };
        let sender_socket = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let bytes = codec::encode_body(&region_datagram(false));
        sender_socket
            .send_to(&bytes, (address(1), 7700))
            .await
            .unwrap();
        let forwarded = near.receive(1, |it| match &it.sender {
            Sender::Region { relayed, message } => {
                Some((*relayed, it.zone.clone(), message.clone()))
            }
            _ => None,
        });
        let expected = (
            true,
            "elsewhere".to_owned(),
            RegionMessage::Members(vec![member]),
        );
        assert_eq!(forwarded.await, expected);
        assert!(
            entry
                .addresses(&Lookup::default())
                .iter()
                .any(|it| it.ip() == address(50))
        );
        // A relayed datagram is applied but not forwarded again.
        let bytes = codec::encode_body(&region_datagram(true));
        sender_socket
            .send_to(&bytes, (address(1), 7700))
            .await
            .unwrap();
        let mut forwarded_again = 0;
        let own = |it: &Datagram| matches!(it.sender, Sender::Entry { .. });
        for _ in 0..8 {
            forwarded_again += near.receive(1, |it| Some(u32::from(!own(it)))).await;
        }
        assert_eq!(forwarded_again, 0);
    });
}

#[test]
fn an_entry_that_requests_state_gets_the_entries_of_its_own_region() {
    run(async {
        let _harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let first = UdpPeer::bind(4, "elsewhere").await;
        first.announce(1).await;
        let second = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let mut asking_datagram = datagram("elsewhere", StoreAccess::Served);
        if let Sender::Entry { wants_state, .. } = &mut asking_datagram.sender {
            *wants_state = true;
        }
        let mut buffer = [0; MAX_BYTES];
        let listed = loop {
            first.announce(1).await;
            let bytes = codec::encode_body(&asking_datagram);
            second.send_to(&bytes, (address(1), 7700)).await.unwrap();
            let (length, _) = second.recv_from(&mut buffer).await.unwrap();
            let response: Datagram = codec::decode_body(&buffer[..length]).unwrap();
            if let Sender::Entry { entries, .. } = response.sender
                && entries.contains(&address(4))
            {
                break entries;
            }
        };
        assert!(!listed.contains(&address(1)));
    });
}

/// Entries of a large region send to each other once a second. Guards against a delay of up to a
/// second before the others learn that one of them has read a configuration from the store.
#[test]
fn an_entry_that_reads_records_from_the_store_announces_them_at_once() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let peer = UdpPeer::bind(3, "z").await;
        for octet in 10..90 {
            let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
            let bytes = codec::encode_body(&datagram("z", StoreAccess::Served));
            socket.send_to(&bytes, (address(1), 7700)).await.unwrap();
        }
        let clock = Clock::start();
        let mut longest = Duration::ZERO;
        for version in 2..8 {
            // At any time between two regular datagrams.
            let from_entry =
                |it: &Datagram| matches!(it.sender, Sender::Entry { .. }).then_some(());
            peer.receive(1, from_entry).await;
            harness
                .tables
                .write(Table::Operator, "config", Some(&version.to_string()));
            let written = clock.now();
            let has_version = |it: &Datagram| (version <= it.ends[1].offset).then_some(());
            peer.receive(1, has_version).await;
            longest = longest.max(clock.now().since(written));
        }
        assert!(longest < Duration::from_millis(600), "{longest:?}");
    });
}

/// Guards against a separate write of each entry: with 547 entries and one partition, the store
/// applied the writes one after another and refused those that would wait for over two seconds.
#[test]
fn entries_of_a_region_share_registration_writes() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let mut others = Vec::new();
        for octet in 2..12 {
            others.push(harness.add_entry(octet, &harness.tables).await);
        }
        wait_until(|| async { harness.tables.keys(Table::Entries).len() == 1 + others.len() })
            .await;
        let writes = harness.tables.writes.get();
        assert!(writes <= 3, "{writes}");
    });
}

#[test]
fn the_agent_of_an_unlisted_replica_gets_a_reply() {
    run(async {
        let _harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let agent = UdpSocket::bind((address(9), 7700)).await.unwrap();
        let report = Datagram {
            sender: Sender::Agent {
                replica: std::net::SocketAddrV4::new(address(9), 8540),
                engine: None,
            },
            ..datagram("elsewhere", StoreAccess::Served)
        };
        let sent = codec::encode_body(&report);
        agent.send_to(&sent, (address(1), 7700)).await.unwrap();
        let mut buffer = [0; MAX_BYTES];
        let (length, _) = agent.recv_from(&mut buffer).await.unwrap();
        let response: Datagram = codec::decode_body(&buffer[..length]).unwrap();
        assert!(matches!(response.sender, Sender::Entry { .. }));
    });
}

#[test]
fn an_entry_that_takes_over_reading_applies_removals_at_once() {
    run(async {
        let ok_script = || vec![vec![Step::Read, ok("receipt")]];
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![ok_script(), ok_script()],
        )
        .await;
        // The entry under test is third in the rendezvous order of the table, after two announcing
        // entries. The order depends on the addresses, and so on the process identifier.
        let table = Table::Replicas;
        let nodes: Vec<u64> = (10..90)
            .map(|it| rendezvous::hash(&address(it).octets()))
            .collect();
        let order = rendezvous::order(table as u64, &nodes);
        let octet = |place: usize| 10 + order[place] as u8;
        let added = harness.add_entry(octet(2), &harness.tables).await;
        let entry = added.entry();
        // Before, the entry has read the table for long enough to trust removals.
        wait_until(|| async { entry.node.vouches(table) }).await;
        let store = Rc::new(Cell::new(StoreAccess::Served));
        for place in 0..2 {
            announcing_entry(octet(place), octet(2), Rc::clone(&store)).await;
        }
        wait_until(|| async {
            // Ends the pending read.
            harness.list_all();
            entry.node.on_standby(table)
        })
        .await;
        store.set(StoreAccess::Unserved);
        wait_until(|| async { !entry.node.on_standby(table) }).await;
        harness.tables.write(table, "i-0", None);
        let removal_received = || {
            let records = entry.node.records(table);
            records.iter().all(|it| it.key != "i-0")
        };
        wait_until(|| async { removal_received() }).await;
        assert_eq!(entry.replicas.borrow().len(), 1);
    });
}

#[test]
fn a_datagram_queued_during_a_process_pause_confirms_no_copy() {
    run(async {
        let harness = Harness::start_unready(TestConfig::of(RouteKind::Once), Vec::new()).await;
        // No other entry has a confirmed copy.
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        let added = harness.add_entry(2, &harness.tables).await;
        let node = &added.entry().node;
        // The entry detects process pauses from here on.
        wait_until(|| async { node.access() == StoreAccess::Unserved }).await;
        let mut announcement = datagram("z", StoreAccess::Served);
        // The sender's copy of the operator's table is complete, and its copy of `Replicas` is
        // newer.
        announcement.unconfirmed_ms = [0; 3];
        announcement.ends = [Position::START, Position::START, Position::new(0, 9)];
        let bytes = codec::encode_body(&announcement);
        let socket = UdpSocket::bind((address(3), 7700)).await.unwrap();
        let announce = || socket.send_to(&bytes, (address(2), 7700));
        announce().await.unwrap();
        let pause_start = Some(node.clock.now());
        std::thread::sleep(Duration::from_millis(1_500));
        wait_until(|| async { node.behind(Table::Replicas).is_some() }).await;
        assert!(node.confirmed_until(Table::Operator) < pause_start);
        wait_until(|| async {
            announce().await.unwrap();
            pause_start < node.confirmed_until(Table::Operator)
        })
        .await;
    });
}

/// The largest supported fleet: 410 entries in seven regions, and all replicas busy. Each message
/// fits into a datagram, and together the messages are complete.
#[test]
fn the_state_of_the_largest_fleet_is_sent_completely() {
    const BUSY_REPLICAS: u32 = 400;
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let entry = harness.entry.entry();
        let busy = |idx: u32| Listing {
            id: format!("busy-{idx}").into(),
            born: Some(1_700_000_000_000 + u64::from(idx)),
            service: "s".into(),
            address: (Ipv4Addr::new(10, 9, (idx >> 8) as u8, idx as u8), 80).into(),
            zone: "z".to_owned(),
            slots: 8,
            draining: false,
            has_model: true,
            version: Some(1_000),
            warmup_left_ms: 0,
        };
        {
            let mut replicas = entry.replicas.borrow_mut();
            for idx in 0..BUSY_REPLICAS {
                let key = replicas.apply_listing(busy(idx));
                replicas.get_mut(key).unwrap().own_requests = 8;
            }
        }
        let far = UdpPeer::bind(4, "elsewhere").await;
        // Members of another region, in several messages.
        let member = |idx: u32| Member {
            address: Ipv4Addr::new(10, 8, (idx >> 8) as u8, idx as u8),
            incarnation: u64::MAX,
            presence: Presence::Ready,
            store: StoreAccess::Served,
            end: Position::new(u32::MAX, u64::MAX),
        };
        let members: Vec<u32> = (0..410).collect();
        for chunk in members.chunks(40) {
            let message = RegionMessage::Members(chunk.iter().map(|it| member(*it)).collect());
            let announcement = Datagram {
                sender: Sender::Region {
                    relayed: true,
                    message,
                },
                ..datagram("elsewhere", StoreAccess::Served)
            };
            let bytes = codec::encode_body(&announcement);
            assert!(bytes.len() <= MAX_BYTES);
            far.socket
                .send_to(&bytes, (address(1), 7700))
                .await
                .unwrap();
        }
        let mut received: BTreeMap<u16, Vec<u32>> = BTreeMap::new();
        while received.values().map(Vec::len).sum::<usize>() < BUSY_REPLICAS as usize {
            let (part, replicas) = far
                .receive(1, |it| match unrelayed_region(it)? {
                    RegionMessage::Loads(loads) if !loads.loads.is_empty() => {
                        let replicas = loads.loads.iter().map(|it| it.replica);
                        Some((loads.part, replicas.collect()))
                    }
                    _ => None,
                })
                .await;
            received.insert(part, replicas);
        }
        let distinct: BTreeSet<u32> = received.into_values().flatten().collect();
        assert_eq!(distinct.len(), BUSY_REPLICAS as usize);
        assert_eq!(entry.node.metrics.unsent.get(), 0);
    });
}

/// Otherwise all entries short of capacity would send requests to a region whose datagrams are
/// lost, as nothing reports its free capacity.
#[test]
fn replicas_of_a_silent_region_count_as_full_until_it_reports() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let entry = harness.entry.entry();
        let far = |born: u64| Listing {
            id: "far".into(),
            born: Some(born),
            service: "s".into(),
            address: (Ipv4Addr::new(10, 9, 0, 1), 80).into(),
            zone: "elsewhere".to_owned(),
            slots: 8,
            draining: false,
            has_model: true,
            version: Some(1),
            warmup_left_ms: 0,
        };
        let key = entry.replicas.borrow_mut().apply_listing(far(5));
        let others = || entry.replicas.borrow().get(key).unwrap().other_requests;
        wait_until(|| async { others() == 8 }).await;
        let hash = entry.replicas.borrow().get(key).unwrap().hash();
        let announcement = Datagram {
            sender: Sender::Region {
                relayed: true,
                message: RegionMessage::Loads(Loads {
                    loads: vec![Load {
                        replica: hash,
                        running: 3,
                        waiting: 1,
                        waiting_tokens: 0,
                    }],
                    ..Loads::default()
                }),
            },
            ..datagram("elsewhere", StoreAccess::Served)
        };
        let sender_socket = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let bytes = codec::encode_body(&announcement);
        sender_socket
            .send_to(&bytes, (address(1), 7700))
            .await
            .unwrap();
        wait_until(|| async { others() == 3 }).await;
    });
}
