//! How often an entry tells others of itself.

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
    process::{delegates, document::RouteKind, replicas::Listing, roster},
    rendezvous,
};
use gradeloft_standin::{scripted::Step, tables::Mood};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, Load, Loads, MAX_BYTES, Member, Presence, Region, Sender},
    frame::Table,
};
use tokio::net::UdpSocket;

use crate::support::{Harness, TestConfig, address, ok, run, wait_until};

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
            asks: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    }
}

/// Another entry, which says again and again whether the store serves it.
async fn telling_entry(octet: u8, to: u8, store: Rc<Cell<Access>>) {
    let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let told = codec::body(&datagram("z", store.get()));
            socket.send_to(&told, (address(to), 7700)).await.unwrap();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Another entry, which counts the datagrams that come to it.
async fn counting_entry(octet: u8, zone: &str) -> Rc<Cell<u32>> {
    let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
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

/// A datagram that an entry sent, if it is what another region's entries are told.
fn region(datagram: &Datagram) -> Option<&Region> {
    match &datagram.sender {
        Sender::Region {
            relayed: false,
            word,
        } => Some(word),
        _ => None,
    }
}

/// What comes to an instance, as long as it is asked for.
struct Ear {
    socket: UdpSocket,
    zone: &'static str,
}

impl Ear {
    async fn at(octet: u8, zone: &'static str) -> Ear {
        let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
        Ear { socket, zone }
    }

    /// Says that there is an entry here.
    async fn speak(&self, to: u8) {
        let told = codec::body(&datagram(self.zone, Access::Served));
        self.socket
            .send_to(&told, (address(to), 7700))
            .await
            .unwrap();
    }

    /// The next datagram that fits, while it goes on speaking.
    async fn hear<T>(&self, to: u8, fits: impl Fn(&Datagram) -> Option<T>) -> T {
        let mut buffer = [0; MAX_BYTES];
        loop {
            self.speak(to).await;
            let pause = Duration::from_millis(100);
            let received = tokio::time::timeout(pause, self.socket.recv_from(&mut buffer));
            if let Ok(Ok((length, _))) = received.await {
                let datagram: Datagram = codec::parse(&buffer[..length]).unwrap();
                if let Some(fitting) = fits(&datagram) {
                    return fitting;
                }
            }
        }
    }
}

fn one_replica() -> Vec<Vec<Vec<Step>>> {
    vec![vec![vec![Step::Read, ok("receipt")]]]
}

#[test]
fn a_speaker_tells_another_region_of_its_members_and_their_requests() {
    run(async {
        let _world = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let near = Ear::at(3, "z").await;
        near.speak(1).await;
        let far = Ear::at(4, "elsewhere").await;
        let members = far.hear(1, |it| match region(it)? {
            Region::Members(members) if members.len() == 2 => Some(members.clone()),
            _ => None,
        });
        let speaking = async {
            loop {
                near.speak(1).await;
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let members = tokio::select! {
            members = members => members,
            () = speaking => unreachable!("it speaks until the test ends"),
        };
        let mut addresses: Vec<_> = members.iter().map(|it| it.address).collect();
        addresses.sort_unstable();
        assert_eq!(addresses, [address(1), address(3)]);
        far.hear(1, |it| {
            matches!(region(it)?, Region::Loads(_)).then_some(())
        })
        .await;
    });
}

#[test]
fn only_the_speakers_of_a_large_region_tell_others_of_it() {
    run(async {
        let _world = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        // Two of the region's entries come before the world's own in the draw.
        let ours = roster::hash(&address(1));
        let before: Vec<u8> = (10..90)
            .filter(|it| !delegates::is_delegate(address(1), [address(*it); 2].into_iter()))
            .take(2)
            .collect();
        assert!(before.iter().all(|it| roster::hash(&address(*it)) != ours));
        let mut near = Vec::new();
        for octet in before {
            near.push(counting_entry(octet, "z").await);
        }
        wait_until(|| async { near.iter().all(|it| 0 < it.get()) }).await;
        let far = Ear::at(4, "elsewhere").await;
        let world_knows = |it: &Datagram| matches!(it.sender, Sender::Entry { .. }).then_some(());
        far.hear(1, world_knows).await;
        // A word of its own now and then, but nothing on the region.
        let random_words = async {
            for _ in 0..2 {
                let random = |it: &Datagram| match &it.sender {
                    Sender::Region { .. } => panic!("{it:?}"),
                    _ => Some(()),
                };
                far.hear(1, random).await;
            }
        };
        random_words.await;
    });
}

#[test]
fn what_another_region_tells_is_passed_on_to_the_own_region_and_not_further() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let entry = harness.entry.entry();
        let near = Ear::at(3, "z").await;
        near.hear(1, |it| {
            matches!(it.sender, Sender::Entry { .. }).then_some(())
        })
        .await;
        let member = Member {
            address: address(50),
            incarnation: 1,
            presence: Presence::Ready,
            store: Access::Served,
            end: 0,
        };
        let told = |relayed| Datagram {
            sender: Sender::Region {
                relayed,
                word: Region::Members(vec![member]),
            },
            ..datagram("elsewhere", Access::Served)
        };
        let speaker = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let bytes = codec::body(&told(false));
        speaker.send_to(&bytes, (address(1), 7700)).await.unwrap();
        let passed_on = near.hear(1, |it| match &it.sender {
            Sender::Region { relayed, word } => Some((*relayed, it.zone.clone(), word.clone())),
            _ => None,
        });
        let expected = (true, "elsewhere".to_owned(), Region::Members(vec![member]));
        assert_eq!(passed_on.await, expected);
        assert!(
            entry
                .addresses(&Lookup::default())
                .iter()
                .any(|it| it.ip() == address(50))
        );
        // What was passed on once is taken in, and goes no further.
        let bytes = codec::body(&told(true));
        speaker.send_to(&bytes, (address(1), 7700)).await.unwrap();
        let mut further = 0;
        let own = |it: &Datagram| matches!(it.sender, Sender::Entry { .. });
        for _ in 0..8 {
            further += near.hear(1, |it| Some(u32::from(!own(it)))).await;
        }
        assert_eq!(further, 0);
    });
}

#[test]
fn an_entry_that_asks_is_told_of_its_own_region() {
    run(async {
        let _world = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let first = Ear::at(4, "elsewhere").await;
        first.speak(1).await;
        let second = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let mut asking = datagram("elsewhere", Access::Served);
        if let Sender::Entry { asks, .. } = &mut asking.sender {
            *asks = true;
        }
        let mut buffer = [0; MAX_BYTES];
        let named = loop {
            first.speak(1).await;
            let bytes = codec::body(&asking);
            second.send_to(&bytes, (address(1), 7700)).await.unwrap();
            let (length, _) = second.recv_from(&mut buffer).await.unwrap();
            let response: Datagram = codec::parse(&buffer[..length]).unwrap();
            if let Sender::Entry { entries, .. } = response.sender
                && entries.contains(&address(4))
            {
                break entries;
            }
        };
        assert!(!named.contains(&address(1)));
    });
}

/// Entries of a large region send to each other once a second. So a configuration that one of them had read from the store
/// was not known to be there for up to a second.
#[test]
fn an_entry_that_reads_records_from_the_store_says_so_at_once() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let ear = Ear::at(3, "z").await;
        for octet in 10..90 {
            let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
            let known = codec::body(&datagram("z", Access::Served));
            socket.send_to(&known, (address(1), 7700)).await.unwrap();
        }
        let clock = Clock::start();
        let mut longest = Duration::ZERO;
        for version in 2..8 {
            // At any time between two regular datagrams.
            let regular = |it: &Datagram| matches!(it.sender, Sender::Entry { .. }).then_some(());
            ear.hear(1, regular).await;
            harness
                .tables
                .write(Table::Operator, "config", Some(&version.to_string()));
            let written = clock.now();
            let newest = |it: &Datagram| (version <= it.ends[1]).then_some(());
            ear.hear(1, newest).await;
            longest = longest.max(clock.now().since(written));
        }
        assert!(longest < Duration::from_millis(600), "{longest:?}");
    });
}

/// Each of 547 entries wrote its own row to one partition of the store, which takes them one after the other, and refused
/// what would wait over two seconds there.
#[test]
fn the_entries_of_a_region_are_registered_together() {
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
fn the_agent_of_a_replica_that_is_not_listed_gets_an_answer() {
    run(async {
        let _world = Harness::start(TestConfig::of(RouteKind::Once), one_replica()).await;
        let agent = UdpSocket::bind((address(9), 7700)).await.unwrap();
        let report = Datagram {
            sender: Sender::Agent {
                replica: std::net::SocketAddrV4::new(address(9), 8540),
                engine: None,
            },
            ..datagram("elsewhere", Access::Served)
        };
        let sent = codec::body(&report);
        agent.send_to(&sent, (address(1), 7700)).await.unwrap();
        let mut buffer = [0; MAX_BYTES];
        let (length, _) = agent.recv_from(&mut buffer).await.unwrap();
        let response: Datagram = codec::parse(&buffer[..length]).unwrap();
        assert!(matches!(response.sender, Sender::Entry { .. }));
    });
}

#[test]
fn an_entry_that_takes_over_reading_trusts_what_it_reads() {
    run(async {
        let ok_script = || vec![vec![Step::Read, ok("receipt")]];
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![ok_script(), ok_script()],
        )
        .await;
        // The third in order for the table, and the two before it. Which those are depends on the
        // addresses, and so on this process.
        let table = Table::Replicas;
        let nodes: Vec<u64> = (10..90)
            .map(|it| rendezvous::hash(&address(it).octets()))
            .collect();
        let order = rendezvous::order(table as u64, &nodes);
        let octet = |place: usize| 10 + order[place] as u8;
        let added = harness.add_entry(octet(2), &harness.tables).await;
        let entry = added.entry();
        let store = Rc::new(Cell::new(Access::Served));
        for place in 0..2 {
            telling_entry(octet(place), octet(2), Rc::clone(&store)).await;
        }
        wait_until(|| async {
            // Ends the read that waits.
            harness.list_all();
            entry.node.on_standby(table)
        })
        .await;
        store.set(Access::Unserved);
        wait_until(|| async { !entry.node.on_standby(table) }).await;
        harness.tables.write(table, "i-0", None);
        let told = || {
            let records = entry.node.records(table);
            records.iter().all(|it| it.key != "i-0")
        };
        wait_until(|| async { told() }).await;
        assert_eq!(entry.replicas.borrow().len(), 1);
    });
}

#[test]
fn a_word_that_lay_in_the_socket_while_the_process_stood_still_confirms_nothing() {
    run(async {
        let harness = Harness::start_unready(TestConfig::of(RouteKind::Once), Vec::new()).await;
        // Nobody else has a copy that is whole now.
        harness.tables.mood.set(Mood::Refusing);
        harness.tables.cut();
        let added = harness.add_entry(2, &harness.tables).await;
        let node = &added.entry().node;
        // Looks whether it stands still, from here on.
        wait_until(|| async { node.access() == Access::Unserved }).await;
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
        wait_until(|| async { node.behind(Table::Replicas).is_some() }).await;
        assert!(node.confirmed_until(Table::Operator) < still);
        wait_until(|| async {
            tell().await.unwrap();
            still < node.confirmed_until(Table::Operator)
        })
        .await;
    });
}

/// The largest fleet of the design: 410 entries in seven regions before replicas that are all busy. Each word has
/// room in a datagram, and together they say all.
#[test]
fn nothing_that_a_large_fleet_has_to_say_is_left_out() {
    const BUSY: u32 = 400;
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
            for idx in 0..BUSY {
                let key = replicas.apply_listing(busy(idx));
                replicas.get_mut(key).unwrap().own_requests = 8;
            }
        }
        let far = Ear::at(4, "elsewhere").await;
        // Members of another region, in as many words as they need.
        let member = |idx: u32| Member {
            address: Ipv4Addr::new(10, 8, (idx >> 8) as u8, idx as u8),
            incarnation: u64::MAX,
            presence: Presence::Ready,
            store: Access::Served,
            end: u64::MAX,
        };
        let all: Vec<u32> = (0..410).collect();
        for some in all.chunks(50) {
            let word = Region::Members(some.iter().map(|it| member(*it)).collect());
            let told = Datagram {
                sender: Sender::Region {
                    relayed: true,
                    word,
                },
                ..datagram("elsewhere", Access::Served)
            };
            let bytes = codec::body(&told);
            assert!(bytes.len() <= MAX_BYTES);
            far.socket
                .send_to(&bytes, (address(1), 7700))
                .await
                .unwrap();
        }
        let mut told: BTreeMap<u16, Vec<u32>> = BTreeMap::new();
        while told.values().map(Vec::len).sum::<usize>() < BUSY as usize {
            let (part, replicas) = far
                .hear(1, |it| match region(it)? {
                    Region::Loads(loads) if !loads.loads.is_empty() => {
                        let replicas = loads.loads.iter().map(|it| it.replica);
                        Some((loads.part, replicas.collect()))
                    }
                    _ => None,
                })
                .await;
            told.insert(part, replicas);
        }
        let distinct: BTreeSet<u32> = told.into_values().flatten().collect();
        assert_eq!(distinct.len(), BUSY as usize);
        assert_eq!(entry.node.metrics.unsent.get(), 0);
    });
}

/// All entries that are short would send to a region whose words are lost, as nothing tells what it has.
#[test]
fn models_of_a_region_that_is_silent_count_as_full_until_it_tells() {
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
        let told = Datagram {
            sender: Sender::Region {
                relayed: true,
                word: Region::Loads(Loads {
                    loads: vec![Load {
                        replica: hash,
                        running: 3,
                        waiting: 1,
                    }],
                    ..Loads::default()
                }),
            },
            ..datagram("elsewhere", Access::Served)
        };
        let speaker = UdpSocket::bind((address(5), 7700)).await.unwrap();
        let bytes = codec::body(&told);
        speaker.send_to(&bytes, (address(1), 7700)).await.unwrap();
        wait_until(|| async { others() == 3 }).await;
    });
}
