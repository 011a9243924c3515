//! Agents that bring weights to the replicas beside them.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use gradeloft_gateway::settings::Settings;
use gradeloft_policy::rendezvous;
use gradeloft_standin::tables::{Mood, Tables};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, Loads, MAX_BYTES, Presence, Sender, Switched},
    frame::Table,
};
use tokio::net::{TcpListener, UdpSocket};

use support::{
    FakeEngine, FakeOrigin, PATIENCE, PIECES, World, address, content, run, start_agent,
    start_agent_with,
};

#[test]
fn empty_replicas_are_filled_and_the_origin_sends_little_more_than_one_copy() {
    run(async {
        let world = World::start(5, |_, _| {}).await;
        world.all_at(1).await;
        world.name(2);
        world.all_at(2).await;
        let copies = world.origin.pieces.get() as f64 / f64::from(PIECES);
        // Two versions, each read once but for agents that did not hear of each other in time.
        assert!(
            (2.0..4.0).contains(&copies),
            "{copies} copies for 2 versions of 5 replicas"
        );
    });
}

#[test]
fn agents_read_from_the_origin_within_its_connections() {
    run(async {
        let world = World::start(8, |_, _| {}).await;
        world.all_at(1).await;
        let most = world.origin.most_reading.get();
        // Two readers, with two pieces each.
        assert!(most <= 4, "{most} pieces at once");
    });
}

#[test]
fn pieces_that_turn_bad_after_staging_are_never_loaded() {
    run(async {
        let rot = |_: &FakeOrigin, engines: &[Rc<FakeEngine>]| engines[1].rot.set(4);
        let world = World::start(3, rot).await;
        world.all_at(1).await;
    });
}

#[test]
fn a_version_that_is_superseded_while_a_staged_piece_is_bad_is_brought_all_the_same() {
    run(async {
        let world = World::start(3, |_, _| {}).await;
        world.all_at(1).await;
        world.engines[1].rot.set(2);
        world.name(2);
        let staged = |engine: &FakeEngine| {
            let staged = engine.staged.borrow();
            (0..PIECES).all(|it| staged.get(&it) != Some(&content(1, it)))
        };
        world.all(staged).await;
        world.origin.down.set(true);
        world.name(3);
        let ordered = |engine: &FakeEngine| engine.orders.borrow().iter().any(|it| it.0 == 2);
        world.all(ordered).await;
        assert!(world.engines.iter().all(|it| !it.spoilt.get()));
    });
}

#[test]
fn spoilt_pieces_of_the_origin_are_read_again() {
    run(async {
        let world = World::start(2, |origin, _| origin.spoil.set(3)).await;
        world.all_at(1).await;
    });
}

#[test]
fn an_origin_that_was_down_is_read_once_it_is_back() {
    run(async {
        let world = World::start(3, |origin, _| origin.down.set(true)).await;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert!(world.engines.iter().all(|it| it.orders.borrow().is_empty()));
        world.origin.down.set(false);
        world.all_at(1).await;
    });
}

/// An instance on which a process takes connections and answers nothing.
async fn silent_peer(last: u8, connections: Rc<Cell<usize>>) {
    let listener = TcpListener::bind((address(last), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
            connections.set(open.len());
        }
    });
}

#[test]
fn the_manifest_is_read_at_the_origin_before_any_peer_is_waited_for() {
    run(async {
        let tables = Rc::new(Tables::default());
        let origin = Rc::new(FakeOrigin::default());
        let engine = Rc::new(FakeEngine::default());
        silent_peer(2, Rc::clone(&origin.peer_connections)).await;
        tables.write(Table::Replicas, "1", Some("-"));
        tables.write(Table::Replicas, "2", Some("-"));
        tables.write(Table::Operator, "config", Some("-"));
        let _agent = start_agent(1, &tables, &origin, &engine).await;
        while origin.manifests.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(origin.connections_before.get(), 0);
    });
}

/// Tells an agent again and again that an entry is here, and collects what it says of its replica.
async fn hear(last: u8, agent: u8, store: Access, heard: Rc<RefCell<Vec<Sender>>>) {
    let socket = Rc::new(UdpSocket::bind((address(last), 7700)).await.unwrap());
    let telling = Rc::clone(&socket);
    actix_rt::spawn(async move {
        let datagram = Datagram {
            incarnation: 1,
            zone: "elsewhere".to_owned(),
            ends: [9; 3],
            unconfirmed_ms: [u16::MAX; 3],
            sender: Sender::Entry {
                presence: Presence::Ready,
                store,
                asks: false,
                loads: Loads::default(),
                entries: Vec::new(),
                switched: Vec::new(),
            },
        };
        let bytes = codec::body(&datagram);
        loop {
            telling.send_to(&bytes, (address(agent), 7700)).await.ok();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_BYTES];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            let datagram: Datagram = codec::parse(&buffer[..length]).unwrap();
            heard.borrow_mut().push(datagram.sender);
        }
    });
}

/// On a large fleet replicas made tokens of a version with weights of the one before. Their agents had been killed
/// 0.2 s before the version was named: after the start they began to adopt what lay staged, of the version before,
/// and were still waiting for its manifest when they began to bring the new one. The late manifest then took the
/// place of the new one's, by which pieces were fetched and checked before the order (log of one of them: adopted 48
/// of version 1, staged 48 of version 2, ordered 2; and right after, 8 of 48 pieces were of version 2).
#[test]
fn a_manifest_that_comes_late_does_not_replace_that_of_the_version_that_is_brought() {
    run(async {
        let prepare = |origin: &FakeOrigin, engines: &[Rc<FakeEngine>]| {
            origin.withheld.set(Some(1));
            for idx in 0..PIECES {
                engines[0].put(idx, content(1, idx));
            }
            engines[0].version.set(Some(1));
            engines[0].slow_reads.set(true);
        };
        let world = World::start(1, prepare).await;
        // It adopts what lies staged.
        while world.origin.manifests.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        world.name(2);
        while world.origin.manifests.get() < 2 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        let held = || {
            let holding = world.agents[0].agent().holding.borrow();
            holding.version.as_ref().map(|it| it.number)
        };
        while held() != Some(2) {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        world.origin.withheld.set(None);
        let engine = &world.engines[0];
        while engine.version.get() != Some(2) {
            assert_eq!(held(), Some(2));
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        world.all_at(2).await;
        let staged = engine.staged.borrow();
        assert!((0..PIECES).all(|it| staged.get(&it) == Some(&content(2, it))));
    });
}

/// A version that was half in the fleet when a newer one was named is finished. A piece that the replica did not take
/// at that moment was not handed over again, counted as fetched, and the look before the order passed over what had
/// never been there.
#[test]
fn a_superseded_version_that_is_finished_is_ordered_with_every_piece() {
    run(async {
        let world = World::start(1, |_, _| {}).await;
        world.all_at(1).await;
        let engine = &world.engines[0];
        engine.refused.set(Some(5));
        world.name(2);
        let others = || {
            let staged = engine.staged.borrow();
            let of_two = (0..PIECES).filter(|it| staged.get(it) == Some(&content(2, *it)));
            of_two.count() as u32 == PIECES - 1
        };
        while !others() || engine.refusals.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        world.name(3);
        while world.agents[0].agent().target().unwrap().number != 3 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let before = engine.refusals.get();
        let ordered = || engine.orders.borrow().iter().any(|it| it.0 == 2);
        while engine.refusals.get() < before + 3 && !ordered() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        engine.refused.set(None);
        world.all_at(3).await;
        assert!(!engine.spoilt.get());
    });
}

#[test]
fn a_replica_stays_closed_after_an_order_for_a_version_that_is_superseded_already() {
    run(async {
        let world = World::start(1, |_, _| {}).await;
        let heard = Rc::new(RefCell::new(Vec::new()));
        // The agent reads for itself what the operator writes.
        hear(9, 1, Access::Unserved, Rc::clone(&heard)).await;
        world.all_at(1).await;
        let engine = &world.engines[0];
        engine.slow.set(true);
        world.name(2);
        let ordered = |version| engine.orders.borrow().iter().any(|it| it.0 == version);
        while !ordered(2) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        world.name(3);
        let target = || world.agents[0].agent().target().unwrap().number;
        while target() != 3 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        engine.finish();
        while !ordered(3) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let open = |it: &Sender| {
            let Sender::Agent { engine, .. } = it else {
                return false;
            };
            engine.is_some_and(|it| it.version == Some(2) && !it.loading)
        };
        assert!(!heard.borrow().iter().any(open), "{:?}", heard.borrow());
        engine.finish();
        world.all_at(3).await;
    });
}

/// Tells every agent again and again how many engines hold a version, as an entry does that sees them.
async fn tell_progress(last: u8, version: u64, engines: Vec<Rc<FakeEngine>>) {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let done = engines
                .iter()
                .filter(|it| it.version.get() == Some(version));
            let datagram = Datagram {
                incarnation: 1,
                zone: "z".to_owned(),
                ends: [0; 3],
                unconfirmed_ms: [u16::MAX; 3],
                sender: Sender::Entry {
                    presence: Presence::Ready,
                    store: Access::Unserved,
                    asks: false,
                    loads: Loads::default(),
                    entries: Vec::new(),
                    switched: vec![Switched {
                        model: rendezvous::hash(b"w"),
                        version,
                        replicas: done.count() as u16,
                    }],
                },
            };
            let bytes = codec::body(&datagram);
            for agent in 1..=engines.len() as u8 {
                socket.send_to(&bytes, (address(agent), 7700)).await.ok();
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Users saw requests begin on older weights after their time: the last replicas changed over late. Each
/// wave of replicas waits until most of those before it are back, or until a fixed part of the version's
/// time has passed. Every order of the waves after the first fell on just those parts: an agent kept the
/// first count that it heard of a version, which is none, however many entries told later.
#[test]
fn a_wave_goes_on_as_soon_as_entries_say_that_those_before_it_are_back() {
    run(async {
        let world = World::start(8, |_, _| {}).await;
        world.all_at(1).await;
        for agent in &world.agents {
            let node = &agent.agent().node;
            let before = node.settings();
            // So long that no wave begins because its time has come.
            *node.settings.borrow_mut() = Rc::new(Settings {
                version_ms: 10 * PATIENCE.as_millis() as u64,
                ..(*before).clone()
            });
        }
        tell_progress(9, 2, world.engines.clone()).await;
        world.name(2);
        world.all_at(2).await;
    });
}

#[test]
fn versions_only_move_up_and_each_order_has_its_fence() {
    run(async {
        let world = World::start(2, |_, _| {}).await;
        // Both follow the table from here on, so both read the two records in order.
        world.all_at(1).await;
        world.name(3);
        world.name(2);
        world.all_at(3).await;
        for engine in &world.engines {
            let orders = engine.orders.borrow();
            assert!(orders.is_sorted(), "{orders:?}");
            assert!(orders.iter().all(|(version, fence)| version == fence));
        }
    });
}

/// A replica ended each time it loaded a version, and was ordered to again as soon as it was back. Cause: the agent
/// kept no count of what became of its orders. Evidence: an order in each start of the replica, 0.4 s apart.
#[test]
fn a_version_that_ends_its_replica_is_not_ordered_on_and_on() {
    run(async {
        let world = World::start(1, |_, engines| engines[0].born.set(Some(1_000))).await;
        world.all_at(1).await;
        let engine = &world.engines[0];
        engine.fatal.set(Some(2));
        world.name(2);
        let orders = || {
            let orders = engine.orders.borrow();
            orders.iter().filter(|it| it.0 == 2).count()
        };
        world.all(|_| orders() == 3).await;
        // Time for several orders more, and less than the pause before the next.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(orders(), 3);
        world.name(3);
        world.all_at(3).await;
        assert_eq!(orders(), 3, "a newer version is waited for no longer");
    });
}

#[test]
fn an_agent_that_no_entry_answers_reads_the_store_itself() {
    run(async {
        // An entry of another region says that it knows more, and answers no calls.
        hear(9, 1, Access::Served, Rc::default()).await;
        let world = World::start(1, |_, _| {}).await;
        world.all_at(1).await;
    });
}

/// What an entry sends that serves nobody and says nothing else.
fn message(store: Access) -> Vec<u8> {
    codec::body(&Datagram {
        incarnation: 1,
        zone: "z".to_owned(),
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
    })
}

/// Hundreds of entries were heard for the first time, or once more after a loss, and each time the agent reported to all
/// of them: the reports of a fleet's agents grew with the square of its entries and filled the links between regions,
/// over which nothing else came through.
#[test]
fn an_entry_that_speaks_for_the_first_time_gets_a_report_and_the_others_none() {
    run(async {
        let received = Rc::default();
        hear(30, 1, Access::Unserved, Rc::clone(&received)).await;
        let world = World::start(1, |_, _| {}).await;
        world.all_at(1).await;
        let reports = || received.borrow().len();
        while reports() < 2 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let before = reports();
        let newcomers = 20;
        for last in 40..40 + newcomers {
            let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
            let sent = message(Access::Unserved);
            socket.send_to(&sent, (address(1), 7700)).await.unwrap();
            let mut buffer = [0; MAX_BYTES];
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            let report: Datagram = codec::parse(&buffer[..length]).unwrap();
            assert!(matches!(report.sender, Sender::Agent { .. }));
        }
        let further = reports() - before;
        assert!(further < usize::from(newcomers) / 2, "{further} reports");
    });
}

/// At a start no entry knows of the replicas, and so none sends to their agents: these read the store by hundreds.
#[test]
fn an_agent_that_starts_makes_itself_known_to_the_seeds_and_leaves_the_store_to_them() {
    run(async {
        let tables = Rc::new(Tables::default());
        let seed = UdpSocket::bind((address(9), 7700)).await.unwrap();
        let seeds = vec![address(9)];
        let (origin, engine) = (Rc::default(), Rc::default());
        let _agent = start_agent_with(1, seeds, &tables, &origin, &engine).await;
        let mut buffer = [0; MAX_BYTES];
        // It goes on to do so while the seed answers.
        for _ in 0..3 {
            let (length, from) = seed.recv_from(&mut buffer).await.unwrap();
            let report: Datagram = codec::parse(&buffer[..length]).unwrap();
            assert!(matches!(report.sender, Sender::Agent { .. }));
            seed.send_to(&message(Access::Served), from).await.unwrap();
        }
        assert_eq!(tables.snapshots(Table::Operator), 0);
    });
}

/// When a version was named, each agent whose entry did not list the replicas at once read all of them from the store:
/// at hundreds of agents the table filled the links to it for seconds.
#[test]
fn a_copy_of_the_replicas_that_is_there_is_good_enough_when_no_entry_gives_a_newer_one() {
    run(async {
        let world = World::start(3, |_, _| {}).await;
        world.all_at(1).await;
        for (agent, last) in (1..=3).zip(30..) {
            hear(last, agent, Access::Unserved, Rc::default()).await;
        }
        for agent in &world.agents {
            while agent.agent().entries().is_empty() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let before = world.tables.snapshots(Table::Replicas);
        world.name(2);
        world.all_at(2).await;
        assert_eq!(world.tables.snapshots(Table::Replicas), before);
    });
}

#[test]
fn the_time_of_a_version_that_an_agent_reads_late_counts_from_before_the_interruption() {
    run(async {
        let world = World::start(1, |_, _| {}).await;
        world.all_at(1).await;
        let agent = world.agents[0].agent();
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        while agent.node.access() == Access::Served {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let away = agent.node.clock.now();
        world.name(2);
        world.tables.mood.set(Mood::Well);
        world.all_at(2).await;
        let named = agent.named_at(&agent.target().unwrap());
        assert!(named <= away, "{named:?}, away at {away:?}");
    });
}
