//! Tests of agents, which deploy weights to replicas.

mod partial_knowledge;
mod support;
mod verification;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use gradeloft_gateway::{node::Election, settings::Settings};
use gradeloft_policy::rendezvous;
use gradeloft_standin::tables::{StoreMode, Tables};
use gradeloft_wire::{
    codec,
    datagram::{Datagram, Loads, MAX_BYTES, Presence, Sender, StoreAccess, SwitchedReplicas},
    frame::Table,
    position::Position,
};
use tokio::net::{TcpListener, UdpSocket};

use support::{
    CHUNKS, FakeEngine, FakeOrigin, Harness, TEST_TIMEOUT, address, chunk_content, run,
    start_agent, start_agent_with,
};

#[test]
fn empty_replicas_get_weights_with_little_more_than_one_copy_per_version_from_origin() {
    run(async {
        let harness = Harness::start(5, |_, _| {}).await;
        harness.wait_for_version(1).await;
        harness.name_version(2);
        harness.wait_for_version(2).await;
        let copies = harness.origin.chunk_requests.get() as f64 / f64::from(CHUNKS);
        // Each of the two versions is read once, plus chunks read by agents that did not know of
        // each other in time.
        assert!(
            (2.0..4.0).contains(&copies),
            "{copies} copies for 2 versions of 5 replicas"
        );
    });
}

#[test]
fn concurrent_origin_reads_respect_connection_limit() {
    run(async {
        let harness = Harness::start(8, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let max_reads = harness.origin.max_concurrent_reads.get();
        // The limit allows two readers, here with two chunks each.
        assert!(max_reads <= 4, "{max_reads} chunks at once");
    });
}

#[test]
fn chunks_that_become_corrupt_after_staging_are_not_loaded() {
    run(async {
        let prepare = |_: &FakeOrigin, engines: &[Rc<FakeEngine>]| engines[1].corrupt_next.set(4);
        let harness = Harness::start(3, prepare).await;
        harness.wait_for_version(1).await;
    });
}

#[test]
fn version_superseded_while_a_staged_chunk_is_corrupt_is_still_loaded() {
    run(async {
        let harness = Harness::start(3, |_, _| {}).await;
        harness.wait_for_version(1).await;
        harness.engines[1].corrupt_next.set(2);
        harness.name_version(2);
        let staged = |engine: &FakeEngine| {
            let staged = engine.staged.borrow();
            (0..CHUNKS).all(|it| staged.get(&it) != Some(&chunk_content(1, it)))
        };
        harness.wait_for_all(staged).await;
        harness.origin.down.set(true);
        harness.name_version(3);
        let ordered = |engine: &FakeEngine| engine.orders.borrow().iter().any(|it| it.0 == 2);
        harness.wait_for_all(ordered).await;
        assert!(harness.engines.iter().all(|it| !it.loaded_corrupt.get()));
    });
}

#[test]
fn corrupt_chunks_from_origin_are_read_again() {
    run(async {
        let harness = Harness::start(2, |origin, _| origin.corrupt_next.set(3)).await;
        harness.wait_for_version(1).await;
    });
}

#[test]
fn agents_read_from_origin_once_it_is_reachable_again() {
    run(async {
        let harness = Harness::start(3, |origin, _| origin.down.set(true)).await;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert!(
            harness
                .engines
                .iter()
                .all(|it| it.orders.borrow().is_empty())
        );
        harness.origin.down.set(false);
        harness.wait_for_version(1).await;
    });
}

/// Starts a peer that accepts connections and never answers.
async fn unresponsive_peer(last: u8, connections: Rc<Cell<usize>>) {
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
fn manifest_is_read_from_origin_without_waiting_for_peers() {
    run(async {
        let tables = Rc::new(Tables::default());
        let origin = Rc::new(FakeOrigin::default());
        let engine = Rc::new(FakeEngine::default());
        unresponsive_peer(2, Rc::clone(&origin.peer_connections)).await;
        tables.write(Table::Replicas, "1", Some("-"));
        tables.write(Table::Replicas, "2", Some("-"));
        tables.write(Table::Operator, "config", Some("-"));
        let _agent = start_agent(1, &tables, &origin, &engine).await;
        while origin.manifest_requests.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(origin.peer_connections_before.get(), 0);
    });
}

/// Starts an entry that sends datagrams to an agent, and collects the agent's reports.
async fn fake_entry(last: u8, agent: u8, store: StoreAccess, reports: Rc<RefCell<Vec<Sender>>>) {
    let socket = Rc::new(UdpSocket::bind((address(last), 7700)).await.unwrap());
    let sending = Rc::clone(&socket);
    actix_rt::spawn(async move {
        let datagram = Datagram {
            incarnation: 1,
            zone: "elsewhere".to_owned(),
            ends: [Position::new(0, 9); 3],
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
        };
        let bytes = codec::encode_body(&datagram);
        loop {
            sending.send_to(&bytes, (address(agent), 7700)).await.ok();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_BYTES];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            let datagram: Datagram = codec::decode_body(&buffer[..length]).unwrap();
            reports.borrow_mut().push(datagram.sender);
        }
    });
}

/// Guards against replicas that serve weights of the previous version under the number of the new
/// one. An agent that restarts 0.2 s before a version is named determines which chunks of the
/// previous version are staged, and may still wait for its manifest when the deployment of the new
/// version starts. If the late manifest replaces that of the new version, chunks are fetched and
/// verified against the wrong digests: the replica then loads, for example, 8 of 48 chunks of the
/// new version and the rest of the previous one.
#[test]
fn late_manifest_does_not_replace_manifest_of_version_being_deployed() {
    run(async {
        let prepare = |origin: &FakeOrigin, engines: &[Rc<FakeEngine>]| {
            origin.withheld_manifest.set(Some(1));
            for idx in 0..CHUNKS {
                engines[0].put(idx, chunk_content(1, idx));
            }
            engines[0].version.set(Some(1));
            engines[0].slow_reads.set(true);
        };
        let harness = Harness::start(1, prepare).await;
        // Wait until the agent requests the manifest to recover the staged chunks.
        while harness.origin.manifest_requests.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        harness.name_version(2);
        while harness.origin.manifest_requests.get() < 2 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        let staged_version = || {
            let staged_chunks = harness.agents[0].agent().staged_chunks.borrow();
            staged_chunks.version.as_ref().map(|it| it.number)
        };
        while staged_version() != Some(2) {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        harness.origin.withheld_manifest.set(None);
        let engine = &harness.engines[0];
        while engine.version.get() != Some(2) {
            assert_eq!(staged_version(), Some(2));
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        harness.wait_for_version(2).await;
        let staged = engine.staged.borrow();
        assert!((0..CHUNKS).all(|it| staged.get(&it) == Some(&chunk_content(2, it))));
    });
}

/// A version that is half available in the fleet when a newer one is named is finished. Guards
/// against a load without a chunk that the replica refused to stage at that moment: it counts as
/// fetched but must be staged again, and the check before the order must also find chunks that were
/// never staged.
#[test]
fn superseded_version_that_is_finished_is_loaded_with_every_chunk() {
    run(async {
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let engine = &harness.engines[0];
        engine.refused_chunk.set(Some(5));
        harness.name_version(2);
        let others_staged = || {
            let staged = engine.staged.borrow();
            let second_version =
                (0..CHUNKS).filter(|it| staged.get(it) == Some(&chunk_content(2, *it)));
            second_version.count() as u32 == CHUNKS - 1
        };
        while !others_staged() || engine.refusals.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        harness.name_version(3);
        while harness.agents[0].agent().target().unwrap().number != 3 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let before = engine.refusals.get();
        let ordered = || engine.orders.borrow().iter().any(|it| it.0 == 2);
        while engine.refusals.get() < before + 3 && !ordered() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        engine.refused_chunk.set(None);
        harness.wait_for_version(3).await;
        assert!(!engine.loaded_corrupt.get());
    });
}

#[test]
fn replica_stays_closed_after_loading_a_superseded_version() {
    run(async {
        let harness = Harness::start(1, |_, _| {}).await;
        let reports = Rc::new(RefCell::new(Vec::new()));
        // The entry has no access to the store, so the agent reads the store itself.
        fake_entry(9, 1, StoreAccess::Unserved, Rc::clone(&reports)).await;
        harness.wait_for_version(1).await;
        let engine = &harness.engines[0];
        engine.hold_loads.set(true);
        harness.name_version(2);
        let ordered = |version| engine.orders.borrow().iter().any(|it| it.0 == version);
        while !ordered(2) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        harness.name_version(3);
        let target = || harness.agents[0].agent().target().unwrap().number;
        while target() != 3 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        engine.finish_load();
        while !ordered(3) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let open = |it: &Sender| {
            let Sender::Agent { engine, .. } = it else {
                return false;
            };
            engine.is_some_and(|it| it.version == Some(2) && !it.loading)
        };
        assert!(!reports.borrow().iter().any(open), "{:?}", reports.borrow());
        engine.finish_load();
        harness.wait_for_version(3).await;
    });
}

/// Starts an entry that sends every agent the number of engines with a version.
async fn send_progress(last: u8, version: u64, engines: Vec<Rc<FakeEngine>>) {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let switched = engines
                .iter()
                .filter(|it| it.version.get() == Some(version));
            let datagram = Datagram {
                incarnation: 1,
                zone: "z".to_owned(),
                ends: [Position::START; 3],
                kept: 0,
                unconfirmed_ms: [u16::MAX; 3],
                sender: Sender::Entry {
                    presence: Presence::Ready,
                    store: StoreAccess::Unserved,
                    wants_state: false,
                    loads: Loads::default(),
                    entries: Vec::new(),
                    switched: vec![SwitchedReplicas {
                        model: rendezvous::hash(b"w"),
                        version,
                        replicas: switched.count() as u16,
                    }],
                },
            };
            let bytes = codec::encode_body(&datagram);
            for agent in 1..=engines.len() as u8 {
                socket.send_to(&bytes, (address(agent), 7700)).await.ok();
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against the last replicas switching too late, so that requests begin on outdated weights.
/// A wave waits until most replicas of earlier waves serve again, or until a fixed fraction of the
/// version's rollout time has passed. If an agent keeps the first count that is reported for a
/// version, which is 0, every wave waits for its fixed time.
#[test]
fn wave_starts_as_soon_as_entries_report_that_earlier_waves_serve() {
    run(async {
        let harness = Harness::start(8, |_, _| {}).await;
        harness.wait_for_version(1).await;
        for agent in &harness.agents {
            let node = &agent.agent().node;
            let before = node.settings();
            // Long enough that no wave starts because its fixed time has passed.
            *node.settings.borrow_mut() = Rc::new(Settings {
                version_ms: 10 * TEST_TIMEOUT.as_millis() as u64,
                ..(*before).clone()
            });
        }
        send_progress(9, 2, harness.engines.clone()).await;
        harness.name_version(2);
        harness.wait_for_version(2).await;
    });
}

#[test]
fn version_numbers_only_increase_and_each_order_has_its_fence() {
    run(async {
        let harness = Harness::start(2, |_, _| {}).await;
        // Both agents follow the table from here on, so both read the two records in order.
        harness.wait_for_version(1).await;
        harness.name_version(3);
        harness.name_version(2);
        harness.wait_for_version(3).await;
        for engine in &harness.engines {
            let orders = engine.orders.borrow();
            assert!(orders.is_sorted(), "{orders:?}");
            assert!(orders.iter().all(|(version, fence)| version == fence));
        }
    });
}

/// Guards against a crash loop: a replica that exits whenever it loads a version must not be
/// ordered to load it as soon as it is back. An agent that does not count failed orders repeats the
/// order at each restart, every 0.4 s.
#[test]
fn version_that_crashes_its_replica_is_retried_with_backoff() {
    run(async {
        let harness = Harness::start(1, |_, engines| engines[0].born.set(Some(1_000))).await;
        harness.wait_for_version(1).await;
        let engine = &harness.engines[0];
        engine.fatal_version.set(Some(2));
        harness.name_version(2);
        let orders = || {
            let orders = engine.orders.borrow();
            orders.iter().filter(|it| it.0 == 2).count()
        };
        harness.wait_for_all(|_| orders() == 3).await;
        // Enough time for several further orders, but less than the backoff.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(orders(), 3);
        harness.name_version(3);
        harness.wait_for_version(3).await;
        assert_eq!(orders(), 3, "a newer version must end the retries");
    });
}

#[test]
fn agent_reads_the_store_itself_if_no_entry_answers() {
    run(async {
        // An entry of another region reports newer records, and answers no calls.
        fake_entry(9, 1, StoreAccess::Served, Rc::default()).await;
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
    });
}

/// Returns a datagram from an entry without load, with the given access to the store.
fn entry_datagram(store: StoreAccess) -> Vec<u8> {
    started_entry_datagram(1, store)
}

/// Returns a datagram from a start of an entry, like [`entry_datagram`].
fn started_entry_datagram(incarnation: u64, store: StoreAccess) -> Vec<u8> {
    codec::encode_body(&Datagram {
        incarnation,
        zone: "z".to_owned(),
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
    })
}

/// If an agent reports to all entries whenever it gets the first datagram of one, or one again
/// after losses, the reports grow with the square of the number of entries. With hundreds of
/// entries they saturate the links between regions.
#[test]
fn first_datagram_of_an_entry_causes_a_report_to_that_entry_only() {
    run(async {
        let received = Rc::default();
        fake_entry(30, 1, StoreAccess::Unserved, Rc::clone(&received)).await;
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let reports = || received.borrow().len();
        while reports() < 2 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let before = reports();
        let new_entries = 20;
        for last in 40..40 + new_entries {
            let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
            let datagram = entry_datagram(StoreAccess::Unserved);
            socket.send_to(&datagram, (address(1), 7700)).await.unwrap();
            let mut buffer = [0; MAX_BYTES];
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            let report: Datagram = codec::decode_body(&buffer[..length]).unwrap();
            assert!(matches!(report.sender, Sender::Agent { .. }));
        }
        let further = reports() - before;
        assert!(further < usize::from(new_entries) / 2, "{further} reports");
    });
}

/// Guards against an entry that restarts within the seconds for which an agent remembers it, and
/// doesn't get the replica's load before the next regular report.
#[test]
fn first_datagram_of_each_start_of_an_entry_causes_a_report() {
    run(async {
        let received = Rc::default();
        fake_entry(30, 1, StoreAccess::Unserved, Rc::clone(&received)).await;
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let regular_reports = || received.borrow().len();
        let before = regular_reports();
        let starts = 20;
        let socket = UdpSocket::bind((address(40), 7700)).await.unwrap();
        for incarnation in 1..=starts {
            let datagram = started_entry_datagram(incarnation, StoreAccess::Unserved);
            socket.send_to(&datagram, (address(1), 7700)).await.unwrap();
            let mut buffer = [0; MAX_BYTES];
            socket.recv_from(&mut buffer).await.unwrap();
        }
        let regular = regular_reports() - before;
        assert!(regular < starts as usize / 2, "{regular} reports");
    });
}

/// When everything starts, no entry knows any replica, so no entry sends datagrams to agents.
/// Agents that don't report to the seeds then read the store, by the hundreds.
#[test]
fn starting_agent_reports_to_seeds_and_does_not_read_the_store() {
    run(async {
        let tables = Rc::new(Tables::default());
        let seed = UdpSocket::bind((address(9), 7700)).await.unwrap();
        let seeds = vec![address(9)];
        let (origin, engine) = (Rc::default(), Rc::default());
        let _agent = start_agent_with(1, seeds, &tables, &origin, &engine).await;
        let mut buffer = [0; MAX_BYTES];
        // The agent continues to report while the seed answers.
        for _ in 0..3 {
            let (length, from) = seed.recv_from(&mut buffer).await.unwrap();
            let report: Datagram = codec::decode_body(&buffer[..length]).unwrap();
            assert!(matches!(report.sender, Sender::Agent { .. }));
            seed.send_to(&entry_datagram(StoreAccess::Served), from)
                .await
                .unwrap();
        }
        assert_eq!(tables.snapshot_reads(Table::Operator), 0);
    });
}

/// If each agent whose entry does not send the replicas at once reads them from the store when a
/// version is named, then with hundreds of agents the transfers of the table saturate the store's
/// links for seconds.
#[test]
fn existing_copy_of_replicas_is_used_if_no_entry_sends_a_newer_one() {
    run(async {
        let harness = Harness::start(3, |_, _| {}).await;
        harness.wait_for_version(1).await;
        for (agent, last) in (1..=3).zip(30..) {
            fake_entry(last, agent, StoreAccess::Unserved, Rc::default()).await;
        }
        for agent in &harness.agents {
            while agent.agent().entries().is_empty() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let before = harness.tables.snapshot_reads(Table::Replicas);
        harness.name_version(2);
        harness.wait_for_version(2).await;
        assert_eq!(harness.tables.snapshot_reads(Table::Replicas), before);
    });
}

/// After a restore of the store all agents would read the whole configuration from it, which entries
/// abridge for them.
#[test]
fn an_agent_leaves_the_snapshot_of_a_restored_store_to_the_entries_that_it_hears() {
    run(async {
        let harness = Harness::start(2, |_, _| {}).await;
        harness.wait_for_version(1).await;
        fake_entry(30, 1, StoreAccess::Unserved, Rc::default()).await;
        let pause = |idx: usize| {
            let election = Rc::downgrade(harness.agents[idx].agent());
            election.pause_after_restore(Duration::ZERO)
        };
        while harness.agents[0].agent().entries().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(Duration::ZERO < pause(0));
        assert_eq!(pause(1), Duration::ZERO);
    });
}

#[test]
fn version_read_late_counts_as_named_before_the_store_outage() {
    run(async {
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let agent = harness.agents[0].agent();
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        while agent.node.access() == StoreAccess::Served {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let outage_start = agent.node.clock.now();
        harness.name_version(2);
        harness.tables.mode.set(StoreMode::Healthy);
        harness.wait_for_version(2).await;
        let named = agent.named_at(&agent.target().unwrap());
        assert!(
            named <= outage_start,
            "{named:?}, outage at {outage_start:?}"
        );
    });
}
