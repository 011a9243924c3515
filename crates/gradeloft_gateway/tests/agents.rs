//! Agents that bring weights to the replicas beside them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_daemon::{clock::Clock, logging};
use gradeloft_gateway::{
    agent::{Agent, Handle},
    logs::Logs,
    node::{Node, Platform},
    settings::{Role, Settings},
};
use gradeloft_platform::{
    Answer, Fault,
    fleet::{Decoder, Directory, Engine, Headers, Load, Order, Origin, State, Taken},
};
use gradeloft_policy::{
    process::{
        document::{CallerLimits, Document, Layout, Service},
        mirror::Record,
        repeats,
        replicas::Listing,
    },
    rendezvous,
};
use gradeloft_standin::tables::{Mood, Tables};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, MAX_BYTES, Presence, Sender, Switched},
    frame::Table,
    id::Digest,
};
use tokio::net::{TcpListener, UdpSocket};

const PIECES: u32 = 12;
const PIECE_BYTES: usize = 4_096;
/// Enough for two readers.
const ORIGIN_CONNECTIONS: u32 = 8;
/// A bound on every wait of a test; none comes near it unless something is wrong.
const PATIENCE: Duration = Duration::from_secs(20);

fn address(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, last)
}

fn replica(last: u8) -> SocketAddr {
    SocketAddr::from((address(last), 8001))
}

fn content(version: u64, idx: u32) -> Bytes {
    Bytes::from(vec![(version * 31 + u64::from(idx)) as u8; PIECE_BYTES])
}

/// An engine in memory, which checks what it loads as a real one would not.
#[derive(Default)]
struct FakeEngine {
    staged: RefCell<BTreeMap<u32, Bytes>>,
    version: Cell<Option<u64>>,
    orders: RefCell<Vec<(u64, u64)>>,
    /// Set once it has loaded anything but whole, unmixed weights.
    spoilt: Cell<bool>,
    /// So many next pieces turn bad after they were staged.
    rot: Cell<u32>,
    /// Whether loading goes on until [`FakeEngine::finish`].
    slow: Cell<bool>,
}

impl FakeEngine {
    fn put(&self, idx: u32, mut content: Bytes) {
        if 0 < self.rot.get() {
            self.rot.set(self.rot.get() - 1);
            content = Bytes::from_static(b"rotten");
        }
        self.staged.borrow_mut().insert(idx, content);
    }

    /// Ends the loading that was ordered last.
    fn finish(&self) {
        let ordered = self.orders.borrow().last().map(|it| it.0);
        self.version.set(ordered);
    }
}

impl Engine for FakeEngine {
    fn state(&self) -> Answer<'_, State> {
        let state = State {
            version: self.version.get(),
            busy: false,
            active: 0,
            queued: 0,
        };
        Box::pin(async move { Ok(state) })
    }

    fn staged<'a>(&'a self, _: &'a str) -> Answer<'a, Vec<u32>> {
        let staged = self.staged.borrow().keys().copied().collect();
        Box::pin(async move { Ok(staged) })
    }

    fn piece<'a>(&'a self, _: &'a str, idx: u32) -> Answer<'a, Bytes> {
        let piece = self.staged.borrow().get(&idx).cloned();
        Box::pin(async move { piece.ok_or(Fault::Missing) })
    }

    fn stage<'a>(&'a self, _: &'a str, idx: u32, content: Bytes) -> Answer<'a, ()> {
        self.put(idx, content);
        Box::pin(async { Ok(()) })
    }

    fn load<'a>(&'a self, load: Load<'a>) -> Answer<'a, Taken> {
        self.orders.borrow_mut().push((load.version, load.fence));
        let whole =
            (0..PIECES).all(|it| self.staged.borrow().get(&it) == Some(&content(load.version, it)));
        self.spoilt.set(self.spoilt.get() || !whole);
        if !self.slow.get() {
            self.finish();
        }
        Box::pin(async { Ok(Taken::Started) })
    }
}

#[derive(Default)]
struct FakeOrigin {
    pieces: Cell<u64>,
    manifests: Cell<u64>,
    /// Connections that a silent peer had when the first manifest was asked for.
    peer_connections: Rc<Cell<usize>>,
    connections_before: Cell<usize>,
    /// Pieces that are being read now, and most that were at once.
    reading: Cell<u32>,
    most_reading: Cell<u32>,
    /// Answers nothing while set.
    down: Cell<bool>,
    /// So many next pieces are spoilt.
    spoil: Cell<u32>,
}

impl Origin for FakeOrigin {
    fn manifest<'a>(&'a self, _: SocketAddr, _: &'a str, version: u64) -> Answer<'a, Vec<Digest>> {
        Box::pin(async move {
            if self.manifests.replace(self.manifests.get() + 1) == 0 {
                self.connections_before.set(self.peer_connections.get());
            }
            if self.down.get() {
                return Err(Fault::Unreachable);
            }
            Ok((0..PIECES)
                .map(|it| Digest::of(&content(version, it)))
                .collect())
        })
    }

    fn piece<'a>(&'a self, _: SocketAddr, _: &'a str, version: u64, idx: u32) -> Answer<'a, Bytes> {
        Box::pin(async move {
            if self.down.get() {
                return Err(Fault::Unreachable);
            }
            self.pieces.set(self.pieces.get() + 1);
            self.reading.set(self.reading.get() + 1);
            self.most_reading
                .set(self.most_reading.get().max(self.reading.get()));
            actix_rt::time::sleep(Duration::from_millis(3)).await;
            self.reading.set(self.reading.get() - 1);
            if 0 < self.spoil.get() {
                self.spoil.set(self.spoil.get() - 1);
                return Ok(Bytes::from_static(b"spoilt"));
            }
            Ok(content(version, idx))
        })
    }

    fn digest(&self, content: &[u8]) -> Digest {
        Digest::of(content)
    }
}

struct FakeDecoder;

impl Decoder for FakeDecoder {
    fn order(&self, record: &Record) -> Result<Order, String> {
        if record.key == "config" {
            return Ok(Order::Config(Box::new(document())));
        }
        let value = record.value.as_deref().unwrap_or_default();
        let version = std::str::from_utf8(value).map_err(|it| it.to_string())?;
        Ok(Order::Weights {
            model: "w".to_owned(),
            version: version.parse().map_err(|_| "no version".to_owned())?,
        })
    }

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        let last: u8 = record.key.parse().map_err(|_| "no id".to_owned())?;
        Ok(Listing {
            id: record.key.as_str().into(),
            service: "m".into(),
            address: replica(last),
            zone: "z".to_owned(),
            slots: 16,
            draining: false,
            has_model: true,
            version: None,
        })
    }
}

struct NoDirectory;

impl Directory for NoDirectory {
    fn lookup_path(&self) -> &str {
        "/"
    }

    fn readiness_path(&self) -> &str {
        "/"
    }

    fn addresses(&self, _: &[SocketAddr], _: u64) -> Vec<u8> {
        Vec::new()
    }
}

fn document() -> Document {
    let service = |name: &str, origin: Option<SocketAddr>| Service {
        name: name.into(),
        max_connections: if origin.is_none() {
            100
        } else {
            ORIGIN_CONNECTIONS
        },
        speed: None,
        layout: Some(Layout {
            layers: 4,
            pieces: PIECES,
            piece_bytes: PIECE_BYTES as u32,
        }),
        models: if origin.is_none() {
            vec!["w".to_owned()]
        } else {
            Vec::new()
        },
        origin,
    };
    Document {
        version: 1,
        routes: Vec::new(),
        services: vec![service("m", None), service("o", Some(replica(1)))],
        keys: HashMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_ms: 1,
            idle_ms: 1,
        },
    }
}

const HEADERS: Headers = Headers {
    request: "a",
    deadline: "b",
    key: "c",
    team: "d",
    replica: "e",
    replica_id: "f",
    version: "g",
    tokens: "h",
    priority: "h",
    seal: "i",
    not_run: "j",
};

struct World {
    tables: Rc<Tables>,
    origin: Rc<FakeOrigin>,
    engines: Vec<Rc<FakeEngine>>,
    agents: Vec<Handle>,
}

impl World {
    /// Agents beside `count` empty replicas, of which each knows all.
    async fn start(count: u8, prepare: impl Fn(&FakeOrigin, &[Rc<FakeEngine>])) -> World {
        let tables = Rc::new(Tables::default());
        let origin = Rc::new(FakeOrigin::default());
        let engines: Vec<Rc<FakeEngine>> = (0..count).map(|_| Rc::default()).collect();
        prepare(&origin, &engines);
        for last in 1..=count {
            tables.write(Table::Replicas, &last.to_string(), Some("-"));
        }
        tables.write(Table::Operator, "config", Some("-"));
        let mut agents = Vec::new();
        for (engine, last) in engines.iter().zip(1..) {
            agents.push(start_agent(last, &tables, &origin, engine).await);
        }
        World {
            tables,
            origin,
            engines,
            agents,
        }
    }

    fn name(&self, version: u64) {
        self.tables
            .write(Table::Operator, "version/w", Some(&version.to_string()));
    }

    async fn all(&self, holds: impl Fn(&FakeEngine) -> bool) {
        while !self.engines.iter().all(|it| holds(it)) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn all_at(&self, version: u64) {
        self.all(|it| it.version.get() == Some(version)).await;
        assert!(self.engines.iter().all(|it| !it.spoilt.get()));
    }
}

async fn start_agent(
    last: u8,
    tables: &Rc<Tables>,
    origin: &Rc<FakeOrigin>,
    engine: &Rc<FakeEngine>,
) -> Handle {
    let settings = Settings {
        instance: format!("agent-{last}"),
        address: address(last),
        zone: "z".to_owned(),
        regions: BTreeMap::new(),
        peer_port: 7700,
        metrics_port: 9464,
        seeds: Vec::new(),
        repeats: repeats::Bounds {
            ratio: 0.2,
            slack: 100.0,
            window_ms: 10_000,
        },
        apply_ms: 2_000,
        version_ms: 1_000,
        grace_ms: 1_000,
        max_ttl_s: 5,
        link_bytes_per_s: 10_000_000,
        role: Role::Agent {
            replica: replica(last),
            service: "m".to_owned(),
        },
    };
    let platform = Platform {
        store: Rc::clone(tables) as _,
        decoder: Rc::new(FakeDecoder),
        directory: Rc::new(NoDirectory),
        origin: Rc::clone(origin) as _,
        engine: Some(Rc::clone(engine) as _),
        headers: HEADERS,
    };
    let clock = Clock::start();
    let logs = Logs::new(logging::none(), clock);
    let node = Node::new(settings, platform, logs, clock).await.unwrap();
    Agent::start(node).await.unwrap()
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(PATIENCE, test).await.expect("in time");
    });
}

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
                loads: Vec::new(),
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
                    loads: Vec::new(),
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

#[test]
fn an_agent_that_no_entry_answers_reads_the_store_itself() {
    run(async {
        // An entry of another region says that it knows more, and answers no calls.
        hear(9, 1, Access::Served, Rc::default()).await;
        let world = World::start(1, |_, _| {}).await;
        world.all_at(1).await;
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
