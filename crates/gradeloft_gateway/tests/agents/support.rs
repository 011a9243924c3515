//! Agents with in-memory engines, an in-memory origin and an in-memory platform.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
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
    api_keys::ApiKeys,
    document::{CallerLimits, Document, Layout, Service},
    mirror::Record,
    replicas::Listing,
    retry_budget,
};
use gradeloft_standin::tables::Tables;
use gradeloft_wire::{frame::Table, id::Digest};

pub(crate) const CHUNKS: u32 = 12;
pub(crate) const CHUNK_BYTES: usize = 4_096;
/// Number of connections that the origin accepts: enough for two readers.
pub(crate) const ORIGIN_CONNECTIONS: u32 = 8;
/// Timeout of a test. Passing tests take much less time.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn address(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, last)
}

pub(crate) fn replica(last: u8) -> SocketAddr {
    SocketAddr::from((address(last), 8001))
}

pub(crate) fn chunk_content(version: u64, idx: u32) -> Bytes {
    Bytes::from(vec![(version * 31 + u64::from(idx)) as u8; CHUNK_BYTES])
}

/// Returns the digests of the first `count` chunks of a version.
pub(crate) fn digests(version: u64, count: u32) -> Vec<Digest> {
    (0..count)
        .map(|it| Digest::of(&chunk_content(version, it)))
        .collect()
}

/// A pause of an agent's instance, during which a chunk may become corrupt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    /// Event after which the instance is paused.
    pub(crate) after: PausePoint,
    /// Position of the chunk that becomes corrupt.
    pub(crate) corrupt: Option<u32>,
    /// Whether the engine restarts, and loses its staged chunks.
    pub(crate) restarts: bool,
    /// Duration, in milliseconds.
    pub(crate) ms: u64,
}

/// Event after which an instance is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PausePoint {
    /// The engine has sent the content of the staged chunk at this position.
    ChunkRead(u32),
    /// The agent has decided to order a load, and the engine has not received the order.
    OrderDecided,
}

/// An in-memory engine that, unlike a real one, verifies the chunks that it loads.
#[derive(Default)]
pub(crate) struct FakeEngine {
    pub(crate) staged: RefCell<BTreeMap<u32, Bytes>>,
    pub(crate) version: Cell<Option<u64>>,
    /// Versions and fences of the accepted orders.
    pub(crate) orders: RefCell<Vec<(u64, u64)>>,
    /// Set once the engine loads anything but the complete chunks of one version.
    pub(crate) loaded_corrupt: Cell<bool>,
    /// Number of next chunks that become corrupt after they were staged.
    pub(crate) corrupt_next: Cell<u32>,
    /// Whether a load continues until [`FakeEngine::finish_load`] is called.
    pub(crate) hold_loads: Cell<bool>,
    /// Number of next requests for the staged chunks that fail.
    pub(crate) failing_listings: Cell<u32>,
    /// Number of next requests for the content of staged chunks that fail.
    pub(crate) failing_reads: Cell<u32>,
    /// Whether reading back a chunk takes time.
    pub(crate) slow_reads: Cell<bool>,
    /// Position of a chunk that the engine refuses to stage.
    pub(crate) refused_chunk: Cell<Option<u32>>,
    /// Number of refusals to stage that chunk.
    pub(crate) refusals: Cell<u32>,
    /// Time at which the current process of the engine started.
    pub(crate) born: Cell<Option<u64>>,
    /// Version that makes the engine exit and restart when it is ordered to load it.
    pub(crate) fatal_version: Cell<Option<u64>>,
    /// Whether the engine stops responding once it receives the next order.
    pub(crate) unresponsive_to_order: Cell<bool>,
    /// Whether requests for the engine's state fail.
    pub(crate) state_fails: Cell<bool>,
    /// Number of requests for the engine's state.
    pub(crate) state_requests: Cell<u32>,
    /// Whether the engine does not respond.
    pub(crate) unresponsive: Cell<bool>,
    /// Version and fence of an order that the engine accepts once it responds again.
    delayed_order: Cell<Option<(u64, u64)>>,
    /// Next pause of the agent's instance.
    pub(crate) pause: Cell<Option<Pause>>,
    /// Duration of all pauses of the agent's instance, in milliseconds.
    pub(crate) paused_ms: Cell<Option<&'static AtomicU64>>,
}

impl FakeEngine {
    pub(crate) fn put(&self, idx: u32, mut content: Bytes) {
        if 0 < self.corrupt_next.get() {
            self.corrupt_next.set(self.corrupt_next.get() - 1);
            content = Bytes::from_static(b"rotten");
        }
        self.staged.borrow_mut().insert(idx, content);
    }

    /// Pauses the agent's instance if it is to be paused at this point.
    fn pause_at(&self, point: PausePoint) {
        let Some(pause) = self.pause.get().filter(|it| it.after == point) else {
            return;
        };
        self.pause.set(None);
        if let Some(idx) = pause.corrupt {
            self.corrupt(idx);
        }
        if pause.restarts {
            self.born.set(self.born.get().map(|it| it + 1));
            self.version.set(None);
            self.staged.borrow_mut().clear();
            self.state_fails.set(false);
        }
        self.pass_time(pause.ms);
    }

    /// Lets a staged chunk become corrupt.
    pub(crate) fn corrupt(&self, idx: u32) {
        let content = Bytes::from_static(b"rotten");
        self.staged.borrow_mut().insert(idx, content);
    }

    /// Advances the clock of the agent, in milliseconds.
    pub(crate) fn pass_time(&self, ms: u64) {
        let paused_ms = self.paused_ms.get().expect("the agent was started");
        paused_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Makes the engine responsive again; it then accepts the order that it received last.
    pub(crate) fn resume(&self) {
        if let Some((version, fence)) = self.delayed_order.take() {
            self.accept(version, fence);
        }
        self.unresponsive.set(false);
    }

    /// Accepts an order, and loads the staged chunks as they are.
    fn accept(&self, version: u64, fence: u64) {
        self.orders.borrow_mut().push((version, fence));
        let complete = (0..CHUNKS)
            .all(|it| self.staged.borrow().get(&it) == Some(&chunk_content(version, it)));
        self.loaded_corrupt
            .set(self.loaded_corrupt.get() || !complete);
        if self.fatal_version.get() == Some(version) {
            self.born.set(self.born.get().map(|it| it + 1));
            self.version.set(None);
        } else if !self.hold_loads.get() {
            self.finish_load();
        }
    }

    /// Finishes the load that was ordered last.
    pub(crate) fn finish_load(&self) {
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
        self.state_requests.set(self.state_requests.get() + 1);
        if self.unresponsive.get() || self.state_fails.get() {
            return Box::pin(async { Err(Fault::Lost) });
        }
        Box::pin(async move { Ok(state) })
    }

    fn staged<'a>(&'a self, _: &'a str) -> CallFuture<'a, Vec<u32>> {
        let staged = self.staged.borrow().keys().copied().collect();
        if 0 < self.failing_listings.get() {
            self.failing_listings.set(self.failing_listings.get() - 1);
            return Box::pin(async { Err(Fault::Lost) });
        }
        Box::pin(async move { Ok(staged) })
    }

    fn chunk<'a>(&'a self, _: &'a str, idx: u32) -> CallFuture<'a, Bytes> {
        Box::pin(async move {
            if self.slow_reads.get() {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            if self.unresponsive.get() {
                return Err(Fault::Lost);
            }
            if 0 < self.failing_reads.get() {
                self.failing_reads.set(self.failing_reads.get() - 1);
                return Err(Fault::Lost);
            }
            let chunk = self.staged.borrow().get(&idx).cloned();
            self.pause_at(PausePoint::ChunkRead(idx));
            chunk.ok_or(Fault::Missing)
        })
    }

    fn stage<'a>(&'a self, _: &'a str, idx: u32, content: Bytes) -> CallFuture<'a, ()> {
        if self.refused_chunk.get() == Some(idx) {
            self.refusals.set(self.refusals.get() + 1);
            return Box::pin(async { Err(Fault::Unreachable) });
        }
        self.put(idx, content);
        Box::pin(async { Ok(()) })
    }

    fn load<'a>(&'a self, load: Load<'a>) -> CallFuture<'a, LoadOutcome> {
        self.pause_at(PausePoint::OrderDecided);
        if self.unresponsive_to_order.take() {
            self.unresponsive.set(true);
            self.delayed_order.set(Some((load.version, load.fence)));
            return Box::pin(async { Err(Fault::Lost) });
        }
        self.accept(load.version, load.fence);
        Box::pin(async { Ok(LoadOutcome::Started) })
    }
}

#[derive(Default)]
pub(crate) struct FakeOrigin {
    /// Number of requests for chunks.
    pub(crate) chunk_requests: Cell<u64>,
    /// Number of requests for manifest_requests.
    pub(crate) manifest_requests: Cell<u64>,
    /// Number of connections to an unresponsive peer.
    pub(crate) peer_connections: Rc<Cell<usize>>,
    /// Number of connections to that peer at the first request for a manifest.
    pub(crate) peer_connections_before: Cell<usize>,
    /// Number of chunks that are being read.
    pub(crate) concurrent_reads: Cell<u32>,
    /// Maximum number of chunks that were read at once.
    pub(crate) max_concurrent_reads: Cell<u32>,
    /// Whether the origin is unreachable.
    pub(crate) down: Cell<bool>,
    /// Version whose manifest is not sent.
    pub(crate) withheld_manifest: Cell<Option<u64>>,
    /// Number of next chunks that are sent corrupt.
    pub(crate) corrupt_next: Cell<u32>,
    /// Number of next manifests that are sent without their last digest.
    pub(crate) short_manifests: Cell<u32>,
}

impl Origin for FakeOrigin {
    fn manifest<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a str,
        version: u64,
    ) -> CallFuture<'a, Vec<Digest>> {
        Box::pin(async move {
            if self
                .manifest_requests
                .replace(self.manifest_requests.get() + 1)
                == 0
            {
                self.peer_connections_before
                    .set(self.peer_connections.get());
            }
            if self.down.get() {
                return Err(Fault::Unreachable);
            }
            while self.withheld_manifest.get() == Some(version) {
                actix_rt::time::sleep(Duration::from_millis(3)).await;
            }
            let is_short = 0 < self.short_manifests.get();
            if is_short {
                self.short_manifests.set(self.short_manifests.get() - 1);
            }
            Ok(digests(version, CHUNKS - u32::from(is_short)))
        })
    }

    fn chunk<'a>(
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
            self.chunk_requests.set(self.chunk_requests.get() + 1);
            self.concurrent_reads.set(self.concurrent_reads.get() + 1);
            self.max_concurrent_reads.set(
                self.max_concurrent_reads
                    .get()
                    .max(self.concurrent_reads.get()),
            );
            actix_rt::time::sleep(Duration::from_millis(3)).await;
            self.concurrent_reads.set(self.concurrent_reads.get() - 1);
            if 0 < self.corrupt_next.get() {
                self.corrupt_next.set(self.corrupt_next.get() - 1);
                return Ok(Bytes::from_static(b"spoilt"));
            }
            Ok(chunk_content(version, idx))
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
            chunks: CHUNKS,
            chunk_bytes: CHUNK_BYTES as u32,
        }),
        health_path: None,
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
        keys: ApiKeys::NotRequired,
        allowed_regions: HashMap::new(),
        team_priorities: HashMap::new(),
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
    prompt_parts: "m",
    priority: "h",
    seal: "i",
    not_executed: "j",
    limit: "k",
    leaving: "l",
};

pub(crate) struct Harness {
    pub(crate) tables: Rc<Tables>,
    pub(crate) origin: Rc<FakeOrigin>,
    pub(crate) engines: Vec<Rc<FakeEngine>>,
    pub(crate) agents: Vec<Handle>,
}

impl Harness {
    /// Starts agents of `count` empty replicas, all of which are in the table of replicas.
    pub(crate) async fn start(
        count: u8,
        prepare: impl Fn(&FakeOrigin, &[Rc<FakeEngine>]),
    ) -> Harness {
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
        Harness {
            tables,
            origin,
            engines,
            agents,
        }
    }

    /// Names a version as the operator does.
    pub(crate) fn name_version(&self, version: u64) {
        self.tables
            .write(Table::Operator, "version/w", Some(&version.to_string()));
    }

    /// Waits until all engines meet a condition.
    pub(crate) async fn wait_for_all(&self, condition: impl Fn(&FakeEngine) -> bool) {
        while !self.engines.iter().all(|it| condition(it)) {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until all engines serve a version, and checks that none has loaded corrupt chunks.
    pub(crate) async fn wait_for_version(&self, version: u64) {
        self.wait_for_all(|it| it.version.get() == Some(version))
            .await;
        assert!(self.engines.iter().all(|it| !it.loaded_corrupt.get()));
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

/// Starts an agent like [`start_agent`], with seeds in its settings.
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
        memory_bytes: 128 << 20,
        max_descriptors: 2_048,
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
    let paused_ms: &'static AtomicU64 = Box::leak(Box::default());
    engine.paused_ms.set(Some(paused_ms));
    let clock = Clock::with_simulated_suspension(paused_ms);
    let logs = Logs::new(logging::none(), clock);
    let node = Node::new(settings, platform, logs, clock).await.unwrap();
    Agent::start(node).await.unwrap()
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("in time");
    });
}
