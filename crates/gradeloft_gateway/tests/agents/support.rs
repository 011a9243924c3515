//! Agents beside engines in memory, before an origin and a platform in memory.

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
    CallFuture, Fault,
    fleet::{
        Decoder, Directory, Engine, Headers, Load, LoadOutcome, OperatorRecord, Origin, State,
    },
};
use gradeloft_policy::process::{
    document::{CallerLimits, Document, Layout, Service},
    mirror::Record,
    replicas::Listing,
    retry_budget,
};
use gradeloft_standin::tables::Tables;
use gradeloft_wire::{frame::Table, id::Digest};

pub(crate) const PIECES: u32 = 12;
pub(crate) const PIECE_BYTES: usize = 4_096;
/// Enough for two readers.
pub(crate) const ORIGIN_CONNECTIONS: u32 = 8;
/// A bound on every wait of a test; none comes near it unless something is wrong.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) fn address(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, last)
}

pub(crate) fn replica(last: u8) -> SocketAddr {
    SocketAddr::from((address(last), 8001))
}

pub(crate) fn content(version: u64, idx: u32) -> Bytes {
    Bytes::from(vec![(version * 31 + u64::from(idx)) as u8; PIECE_BYTES])
}

/// An engine in memory, which checks what it loads as a real one would not.
#[derive(Default)]
pub(crate) struct FakeEngine {
    pub(crate) staged: RefCell<BTreeMap<u32, Bytes>>,
    pub(crate) version: Cell<Option<u64>>,
    pub(crate) orders: RefCell<Vec<(u64, u64)>>,
    /// Set once it has loaded anything but whole, unmixed weights.
    pub(crate) spoilt: Cell<bool>,
    /// So many next pieces turn bad after they were staged.
    pub(crate) rot: Cell<u32>,
    /// Whether loading goes on until [`FakeEngine::finish`].
    pub(crate) slow: Cell<bool>,
    /// Whether it takes time to read a piece back.
    pub(crate) slow_reads: Cell<bool>,
    /// Refuses to stage this piece, and counts how often.
    pub(crate) refused: Cell<Option<u32>>,
    pub(crate) refusals: Cell<u32>,
    /// When this start of it began.
    pub(crate) born: Cell<Option<u64>>,
    /// Version whose weights end it when it is to load them.
    pub(crate) fatal: Cell<Option<u64>>,
}

impl FakeEngine {
    pub(crate) fn put(&self, idx: u32, mut content: Bytes) {
        if 0 < self.rot.get() {
            self.rot.set(self.rot.get() - 1);
            content = Bytes::from_static(b"rotten");
        }
        self.staged.borrow_mut().insert(idx, content);
    }

    /// Ends the loading that was ordered last.
    pub(crate) fn finish(&self) {
        let ordered = self.orders.borrow().last().map(|it| it.0);
        self.version.set(ordered);
    }
}

impl Engine for FakeEngine {
    fn state(&self) -> CallFuture<'_, State> {
        let state = State {
            born: self.born.get(),
            version: self.version.get(),
            busy: false,
            active: 0,
            queued: 0,
        };
        Box::pin(async move { Ok(state) })
    }

    fn staged<'a>(&'a self, _: &'a str) -> CallFuture<'a, Vec<u32>> {
        let staged = self.staged.borrow().keys().copied().collect();
        Box::pin(async move { Ok(staged) })
    }

    fn piece<'a>(&'a self, _: &'a str, idx: u32) -> CallFuture<'a, Bytes> {
        Box::pin(async move {
            if self.slow_reads.get() {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            let piece = self.staged.borrow().get(&idx).cloned();
            piece.ok_or(Fault::Missing)
        })
    }

    fn stage<'a>(&'a self, _: &'a str, idx: u32, content: Bytes) -> CallFuture<'a, ()> {
        if self.refused.get() == Some(idx) {
            self.refusals.set(self.refusals.get() + 1);
            return Box::pin(async { Err(Fault::Unreachable) });
        }
        self.put(idx, content);
        Box::pin(async { Ok(()) })
    }

    fn load<'a>(&'a self, load: Load<'a>) -> CallFuture<'a, LoadOutcome> {
        self.orders.borrow_mut().push((load.version, load.fence));
        let whole =
            (0..PIECES).all(|it| self.staged.borrow().get(&it) == Some(&content(load.version, it)));
        self.spoilt.set(self.spoilt.get() || !whole);
        if self.fatal.get() == Some(load.version) {
            self.born.set(self.born.get().map(|it| it + 1));
            self.version.set(None);
        } else if !self.slow.get() {
            self.finish();
        }
        Box::pin(async { Ok(LoadOutcome::Started) })
    }
}

#[derive(Default)]
pub(crate) struct FakeOrigin {
    pub(crate) pieces: Cell<u64>,
    pub(crate) manifests: Cell<u64>,
    /// Connections that a silent peer had when the first manifest was asked for.
    pub(crate) peer_connections: Rc<Cell<usize>>,
    pub(crate) connections_before: Cell<usize>,
    /// Pieces that are being read now, and most that were at once.
    pub(crate) reading: Cell<u32>,
    pub(crate) most_reading: Cell<u32>,
    /// Answers nothing while set.
    pub(crate) down: Cell<bool>,
    /// Withholds the manifest of this version.
    pub(crate) withheld: Cell<Option<u64>>,
    /// So many next pieces are spoilt.
    pub(crate) spoil: Cell<u32>,
}

impl Origin for FakeOrigin {
    fn manifest<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a str,
        version: u64,
    ) -> CallFuture<'a, Vec<Digest>> {
        Box::pin(async move {
            if self.manifests.replace(self.manifests.get() + 1) == 0 {
                self.connections_before.set(self.peer_connections.get());
            }
            if self.down.get() {
                return Err(Fault::Unreachable);
            }
            while self.withheld.get() == Some(version) {
                actix_rt::time::sleep(Duration::from_millis(3)).await;
            }
            Ok((0..PIECES)
                .map(|it| Digest::of(&content(version, it)))
                .collect())
        })
    }

    fn piece<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a str,
        version: u64,
        idx: u32,
    ) -> CallFuture<'a, Bytes> {
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

pub(crate) struct FakeDecoder;

impl Decoder for FakeDecoder {
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String> {
        if record.key == "config" {
            return Ok(OperatorRecord::Config(Box::new(document())));
        }
        let value = record.value.as_deref().unwrap_or_default();
        let version = std::str::from_utf8(value).map_err(|it| it.to_string())?;
        Ok(OperatorRecord::Weights {
            model: "w".to_owned(),
            version: version.parse().map_err(|_| "no version".to_owned())?,
        })
    }

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        let last: u8 = record.key.parse().map_err(|_| "no id".to_owned())?;
        Ok(Listing {
            id: record.key.as_str().into(),
            born: None,
            service: "m".into(),
            address: replica(last),
            zone: "z".to_owned(),
            slots: 16,
            draining: false,
            has_model: true,
            version: None,
            warmup_left_ms: 0,
        })
    }
}

pub(crate) struct NoDirectory;

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

pub(crate) fn document() -> Document {
    let service = |name: &str, origin: Option<SocketAddr>| Service {
        name: name.into(),
        max_connections: if origin.is_none() {
            100
        } else {
            ORIGIN_CONNECTIONS
        },
        speed: None,
        warmup: None,
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
        allowed_regions: HashMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_ms: 1,
            idle_ms: 1,
        },
    }
}

pub(crate) const HEADERS: Headers = Headers {
    attempt_id: "a",
    deadline: "b",
    api_key: "c",
    team: "d",
    target_replica: "e",
    replica_id: "f",
    expected_version: "g",
    tokens: "h",
    priority: "h",
    seal: "i",
    not_executed: "j",
};

pub(crate) struct World {
    pub(crate) tables: Rc<Tables>,
    pub(crate) origin: Rc<FakeOrigin>,
    pub(crate) engines: Vec<Rc<FakeEngine>>,
    pub(crate) agents: Vec<Handle>,
}

impl World {
    /// Agents beside `count` empty replicas, of which each knows all.
    pub(crate) async fn start(
        count: u8,
        prepare: impl Fn(&FakeOrigin, &[Rc<FakeEngine>]),
    ) -> World {
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

    pub(crate) fn name(&self, version: u64) {
        self.tables
            .write(Table::Operator, "version/w", Some(&version.to_string()));
    }

    pub(crate) async fn all(&self, holds: impl Fn(&FakeEngine) -> bool) {
        while !self.engines.iter().all(|it| holds(it)) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub(crate) async fn all_at(&self, version: u64) {
        self.all(|it| it.version.get() == Some(version)).await;
        assert!(self.engines.iter().all(|it| !it.spoilt.get()));
    }
}

pub(crate) async fn start_agent(
    last: u8,
    tables: &Rc<Tables>,
    origin: &Rc<FakeOrigin>,
    engine: &Rc<FakeEngine>,
) -> Handle {
    start_agent_with(last, Vec::new(), tables, origin, engine).await
}

/// As [`start_agent`], with entries that are known from the settings.
pub(crate) async fn start_agent_with(
    last: u8,
    seeds: Vec<Ipv4Addr>,
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
        seeds,
        repeats: retry_budget::Bounds {
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

pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(PATIENCE, test).await.expect("in time");
    });
}
