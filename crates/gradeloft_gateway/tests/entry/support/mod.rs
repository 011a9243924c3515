//! Test harness: an entry with scripted replicas, on addresses private to the test process.

pub(crate) mod closing_replica;
pub(crate) mod crashing_fleet;
mod endless_replica;
mod machine;
mod responses;

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_daemon::{clock::Clock, logging};
use gradeloft_gateway::{
    entry::{Entry, Handle},
    logs::Logs,
    node::{Node, Platform},
    settings::{Role, Settings},
};
use gradeloft_platform::{
    CallFuture, Fault,
    fleet::{Decoder, Directory, Headers, Lookup, OperatorRecord, Origin},
};
use gradeloft_policy::process::{
    allowed_regions::AllowedRegions,
    api_keys::ApiKeys,
    document::{CallerLimits, Document, Route, RouteKind, Service, Speed, Target, Warmup},
    mirror::Record,
    replicas::Listing,
    retry_budget,
};
use gradeloft_standin::{
    scripted::{ScriptedServer, Step},
    tables::Tables,
};
use gradeloft_wire::{frame::Table, id::Digest};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

pub(crate) use self::{
    closing_replica::{ClosingReplica, ClosingResponse, Successor},
    endless_replica::{EndlessReplica, EndlessResponse},
    machine::Machine,
    responses::{healthy, last_chunk, ok, response, stream},
};

/// Header names of these tests.
pub(crate) const HEADERS: Headers = Headers {
    attempt_id: "t-request",
    deadline: "t-deadline",
    api_key: "t-key",
    team: "t-team",
    target_replica: "t-replica",
    replica_id: "t-replica-id",
    expected_version: "t-version",
    tokens: "t-tokens",
    prompt_parts: "t-parts",
    priority: "t-priority",
    seal: "t-seal",
    not_executed: "t-not-run",
    limit: "t-limit",
    leaving: "t-leaving",
};

/// Longest duration of a test. A passing test stays well below it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the loopback address of this test process with the given last octet. All of 127.0.0.0/8
/// is local, so concurrent tests use the same ports on different addresses.
pub(crate) fn address(octet: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, octet)
}

/// Runs a test on its own runtime, for at most [`TEST_TIMEOUT`].
pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("in time");
    });
}

struct TestDecoder {
    document: Document,
    listings: RefCell<HashMap<String, Listing>>,
}

impl Decoder for TestDecoder {
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String> {
        if let Some(zone) = record.key.strip_prefix("evacuate/") {
            return Ok(OperatorRecord::Evacuation {
                zone: zone.to_owned(),
                active: record.value.is_some(),
            });
        }
        let Some(value) = record.value.as_deref() else {
            return Ok(OperatorRecord::Other);
        };
        let version = std::str::from_utf8(value).map_err(|it| it.to_string())?;
        if let Some(model) = record.key.strip_prefix("weights/") {
            return Ok(OperatorRecord::Weights {
                model: model.to_owned(),
                version: version.parse().map_err(|_| "no version".to_owned())?,
            });
        }
        Ok(OperatorRecord::Config(Box::new(Document {
            version: version.parse().map_err(|_| "no version".to_owned())?,
            ..self.document.clone()
        })))
    }

    fn state_path(&self) -> Option<&str> {
        Some(closing_replica::STATE_PATH)
    }

    fn born(&self, state: &[u8]) -> Option<u64> {
        std::str::from_utf8(state).ok()?.parse().ok()
    }

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        let listings = self.listings.borrow();
        let listing = listings.get(&record.key).cloned();
        let mut listing = listing.ok_or("unknown".to_owned())?;
        listing.draining |= record.value.as_deref() == Some(b"draining");
        Ok(listing)
    }
}

struct TestDirectory;

impl Directory for TestDirectory {
    fn lookup_path(&self) -> &str {
        "/where"
    }

    /// Parses a query of the form `host,region`.
    fn lookup(&self, query: &str) -> Lookup {
        let Some((host, region)) = query.split_once(',') else {
            return Lookup::default();
        };
        Lookup {
            host: host.to_owned(),
            region: Some(region.to_owned()),
        }
    }

    fn readiness_path(&self) -> &str {
        "/ready"
    }

    fn addresses(&self, addresses: &[SocketAddr], ttl_s: u64) -> Vec<u8> {
        format!("{addresses:?} {ttl_s}").into_bytes()
    }
}

struct NoOrigin;

impl Origin for NoOrigin {
    fn manifest<'a>(&'a self, _: SocketAddr, _: &'a str, _: u64) -> CallFuture<'a, Vec<Digest>> {
        Box::pin(async { Err(Fault::Missing) })
    }

    fn chunk<'a>(&'a self, _: SocketAddr, _: &'a str, _: u64, _: u32) -> CallFuture<'a, Bytes> {
        Box::pin(async { Err(Fault::Missing) })
    }

    fn digest(&self, content: &[u8]) -> Digest {
        Digest::of(content)
    }
}

/// Configuration of a test's route, service and replicas.
#[derive(Clone, Copy)]
pub(crate) struct TestConfig {
    /// Route kind, which determines whether requests may be repeated.
    pub(crate) kind: RouteKind,
    /// File descriptors that the entry's process may have.
    pub(crate) max_descriptors: usize,
    /// Highest number of attempts of a request.
    pub(crate) max_attempts: u32,
    /// Timeout of a request, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Largest request body, in bytes.
    pub(crate) body_bytes: usize,
    /// Latency objective, in milliseconds.
    pub(crate) goal_ms: u64,
    /// Slots of each replica if the replicas run a model. Otherwise each runs up to eight requests
    /// at once.
    pub(crate) model_slots: Option<u32>,
    /// Speed of replicas that run a model.
    pub(crate) speed: Speed,
    /// Whether the service has a route `/u/` of higher priority and a route `/l/` of lower priority
    /// beside `/r/`, and another team has a lower priority.
    pub(crate) ranked: bool,
    /// The only region in which requests may run; without one, any region.
    pub(crate) allowed_region: Option<&'static str>,
    /// Request rate limit of cold replicas.
    pub(crate) warmup: Option<Warmup>,
}

impl TestConfig {
    /// Returns the defaults for a route kind: two attempts and a timeout of 8 s.
    pub(crate) fn of(kind: RouteKind) -> TestConfig {
        TestConfig {
            kind,
            max_descriptors: 4_200,
            max_attempts: 2,
            timeout_ms: 8_000,
            body_bytes: 1 << 20,
            goal_ms: 100,
            model_slots: None,
            speed: SPEED,
            ranked: false,
            allowed_region: None,
            warmup: None,
        }
    }
}

/// Speed of an engine that starts its response a few milliseconds after the request.
pub(crate) const SPEED: Speed = Speed {
    step_ms: 1.0,
    step_ms_per_request: 0.0,
    steps: 1,
    read_per_ms: 1_000.0,
    usual_prompt: 10.0,
    usual_response: 1.0,
};

/// An entry with its scripted replicas and the tables of its store.
pub(crate) struct Harness {
    /// Tables of the store.
    pub(crate) tables: Rc<Tables>,
    /// The entry under test.
    pub(crate) entry: Handle,
    /// ScriptedServer replicas, in the order of their scripts.
    pub(crate) replicas: Vec<ScriptedServer>,
    decoder: Rc<TestDecoder>,
}

fn document(config: TestConfig) -> Document {
    let route = Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/r/".to_owned(),
        kind: config.kind,
        targets: vec![Target {
            service: "s".into(),
            weight: 1.0,
        }],
        timeout_ms: config.timeout_ms,
        goal_ms: config.goal_ms,
        max_attempts: config.max_attempts,
        priority: 1,
        public: false,
        allowed_regions: config
            .allowed_region
            .map_or_else(AllowedRegions::default, |it| {
                AllowedRegions::of([it.to_owned()])
            }),
    };
    let mut routes = vec![route.clone()];
    if config.ranked {
        routes.extend([("u", 0), ("l", 2)].map(|(name, priority)| Route {
            name: name.into(),
            prefix: format!("/{name}/"),
            priority,
            ..route.clone()
        }));
    }
    Document {
        version: 1,
        routes,
        services: vec![Service {
            name: "s".into(),
            max_connections: 100,
            layout: None,
            speed: config.model_slots.map(|_| config.speed),
            health_path: Some(closing_replica::HEALTH_PATH.into()),
            models: vec!["m".to_owned()],
            warmup: config.warmup,
            origin: None,
        }],
        keys: ApiKeys::of([
            ("secret".to_owned(), Rc::from("rangers")),
            ("other".to_owned(), Rc::from("visitors")),
        ]),
        allowed_regions: HashMap::new(),
        team_priorities: HashMap::from([(Rc::from("visitors"), u32::from(config.ranked))]),
        limits: CallerLimits {
            head_bytes: 4 << 10,
            body_bytes: config.body_bytes,
            head_ms: 2_000,
            idle_ms: 5_000,
        },
    }
}

fn settings(octet: u8) -> Settings {
    let own = address(octet);
    let at = |port| SocketAddr::from((own, port));
    Settings {
        instance: format!("entry-{octet}"),
        address: own,
        zone: "z".to_owned(),
        regions: BTreeMap::new(),
        peer_port: 7700,
        metrics_port: 9464,
        seeds: vec![address(1)],
        repeats: retry_budget::Bounds {
            ratio: 0.2,
            slack: 100.0,
            window_ms: 10_000,
        },
        apply_ms: 2_000,
        version_ms: 8_000,
        grace_ms: 2_000,
        max_ttl_s: 5,
        link_bytes_per_s: 1_000_000,
        memory_bytes: 260 << 20,
        max_descriptors: 4_200,
        role: Role::Entry {
            frontend: at(8005),
            readiness: at(8002),
            directory: at(8009),
        },
    }
}

impl Harness {
    /// Starts an entry and a replica for each element of `scripts`, and waits until the entry is
    /// ready.
    pub(crate) async fn start(config: TestConfig, scripts: Vec<Vec<Vec<Step>>>) -> Harness {
        Harness::start_unready(config, scripts)
            .await
            .make_ready()
            .await
    }

    /// Writes the configuration and all replicas to the tables, and waits until the entry is ready.
    pub(crate) async fn make_ready(self) -> Harness {
        self.tables.write(Table::Operator, "config", Some("1"));
        self.list_all();
        wait_until(|| async { self.get(8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        self
    }

    /// Starts an entry and its replicas with empty tables, without waiting until the entry is
    /// ready.
    pub(crate) async fn start_unready(config: TestConfig, scripts: Vec<Vec<Vec<Step>>>) -> Harness {
        Harness::with_clock(Clock::start(), config, scripts).await
    }

    /// Like [`Harness::start`], with the entry on a machine that the test suspends.
    pub(crate) async fn start_on(
        machine: &Machine,
        config: TestConfig,
        scripts: Vec<Vec<Vec<Step>>>,
    ) -> Harness {
        Harness::start_unready_on(machine, config, scripts)
            .await
            .make_ready()
            .await
    }

    /// Like [`Harness::start_unready`], with the entry on a machine that the test suspends.
    pub(crate) async fn start_unready_on(
        machine: &Machine,
        config: TestConfig,
        scripts: Vec<Vec<Vec<Step>>>,
    ) -> Harness {
        Harness::with_clock(machine.clock(), config, scripts).await
    }

    async fn with_clock(clock: Clock, config: TestConfig, scripts: Vec<Vec<Vec<Step>>>) -> Harness {
        let mut replicas = Vec::new();
        let mut listings = HashMap::new();
        for (idx, script) in scripts.into_iter().enumerate() {
            let bind = format!("{}:8540", address(100 + idx as u8));
            let replica = ScriptedServer::start(&bind, script).await.unwrap();
            let mut listing = listing(idx, replica.address);
            if let Some(slots) = config.model_slots {
                listing.slots = slots;
                listing.has_model = true;
                listing.version = Some(1);
            }
            listings.insert(listing.id.to_string(), listing);
            replicas.push(replica);
        }
        let decoder = Rc::new(TestDecoder {
            document: document(config),
            listings: RefCell::new(listings),
        });
        let tables = Rc::new(Tables::default());
        let settings = Settings {
            max_descriptors: config.max_descriptors,
            ..settings(1)
        };
        let entry = start_entry(clock, settings, &tables, &decoder).await;
        Harness {
            tables,
            entry,
            replicas,
            decoder,
        }
    }

    /// Starts another entry on `tables`.
    pub(crate) async fn add_entry(&self, octet: u8, tables: &Rc<Tables>) -> Handle {
        start_entry(Clock::start(), settings(octet), tables, &self.decoder).await
    }

    /// Starts another entry whose only seed is the instance with the last octet `seed`.
    pub(crate) async fn add_entry_with_seed(
        &self,
        octet: u8,
        seed: u8,
        tables: &Rc<Tables>,
    ) -> Handle {
        let settings = Settings {
            seeds: vec![address(seed)],
            ..settings(octet)
        };
        start_entry(Clock::start(), settings, tables, &self.decoder).await
    }

    /// Lists every replica as ready. The replica of the first script is in the entry's own
    /// availability zone, so it gets the first request.
    pub(crate) fn list_all(&self) {
        for idx in 0..self.replicas.len() {
            self.tables
                .write(Table::Replicas, &replica_id(idx), Some("ready"));
        }
    }

    /// Starts another entry in the given availability zone.
    pub(crate) async fn add_entry_in_zone(
        &self,
        octet: u8,
        zone: &str,
        tables: &Rc<Tables>,
    ) -> Handle {
        let settings = Settings {
            zone: zone.to_owned(),
            ..settings(octet)
        };
        start_entry(Clock::start(), settings, tables, &self.decoder).await
    }

    /// Kills the entry and starts a new one on the same instance and tables.
    pub(crate) async fn restart_entry(self) -> Harness {
        let Harness {
            tables,
            entry,
            replicas,
            decoder,
        } = self;
        let node = Rc::downgrade(&entry.entry().node);
        entry.entry().node.scope.end();
        drop(entry);
        wait_until(|| async { node.strong_count() == 0 }).await;
        let entry = start_entry(Clock::start(), settings(1), &tables, &decoder).await;
        Harness {
            tables,
            entry,
            replicas,
            decoder,
        }
    }

    /// Adds or replaces the listing of a replica that isn't scripted.
    pub(crate) fn list_replica(&self, listing: Listing) {
        self.replica_lister()(listing);
    }

    /// Returns [`Harness::list_replica`] as a closure that a task can own.
    pub(crate) fn replica_lister(&self) -> impl Fn(Listing) + use<> {
        let tables = Rc::clone(&self.tables);
        let decoder = Rc::clone(&self.decoder);
        move |listing| {
            let id = listing.id.to_string();
            decoder.listings.borrow_mut().insert(id.clone(), listing);
            tables.write(Table::Replicas, &id, Some("ready"));
        }
    }

    /// Whether the table `Entries` has a key other than the address of an entry.
    pub(crate) fn has_request_record(&self) -> bool {
        let keys = self.tables.keys(Table::Entries);
        keys.iter().any(|it| it.parse::<Ipv4Addr>().is_err())
    }

    /// Makes a replica one of a model with the given weights version. Takes effect when the replica
    /// is listed again.
    pub(crate) fn set_weights_version(&self, idx: usize, version: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        let listing = listings.get_mut(&replica_id(idx)).unwrap();
        listing.has_model = true;
        listing.version = Some(version);
    }

    /// Sets how long a replica stays cold. Takes effect when the replica is listed again.
    pub(crate) fn set_warmup_left(&self, idx: usize, warmup_left_ms: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&replica_id(idx)).unwrap().warmup_left_ms = warmup_left_ms;
    }

    /// Sets the start time of a replica. Takes effect when the replica is listed again.
    pub(crate) fn set_start_time(&self, idx: usize, born: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&replica_id(idx)).unwrap().born = Some(born);
    }

    /// Makes the record of a replica unreadable. Takes effect when the record is written again.
    pub(crate) fn make_unreadable(&self, idx: usize) {
        self.decoder.listings.borrow_mut().remove(&replica_id(idx));
    }

    /// Sets the address of a replica. Takes effect when the replica is listed again.
    pub(crate) fn set_address(&self, idx: usize, address: SocketAddr) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&replica_id(idx)).unwrap().address = address;
    }

    /// Sends a request on a new connection and returns all bytes until the connection ends.
    pub(crate) async fn send(&self, request: &str) -> String {
        send(1, request).await
    }

    /// Connects to the entry's public port.
    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect((address(1), 8005)).await.unwrap()
    }

    /// Sends a GET request to another port of the entry.
    pub(crate) async fn get(&self, port: u16, path: &str) -> String {
        get(1, port, path).await
    }

    /// Returns the number of requests that have reached all replicas together.
    pub(crate) fn request_count(&self) -> usize {
        self.replicas.iter().map(|it| it.requests().len()).sum()
    }
}

/// Sends a request to an entry on a new connection and returns all bytes until the connection ends.
pub(crate) async fn send(octet: u8, request: &str) -> String {
    let mut stream = TcpStream::connect((address(octet), 8005)).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

/// Sends a GET request to a port of an entry.
pub(crate) async fn get(octet: u8, port: u16, path: &str) -> String {
    let mut stream = TcpStream::connect((address(octet), port)).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

async fn start_entry(
    clock: Clock,
    settings: Settings,
    tables: &Rc<Tables>,
    decoder: &Rc<TestDecoder>,
) -> Handle {
    let platform = Platform {
        store: Rc::clone(tables) as _,
        decoder: Rc::clone(decoder) as _,
        directory: Rc::new(TestDirectory),
        origin: Rc::new(NoOrigin),
        engine: None,
        headers: HEADERS,
    };
    let logs = Logs::new(logging::none(), clock);
    let node = Node::new(settings, platform, logs, clock);
    Entry::start(node.await.unwrap()).await.unwrap()
}

/// Returns the identifier of a replica.
pub(crate) fn replica_id(idx: usize) -> String {
    format!("i-{idx}")
}

fn listing(idx: usize, address: SocketAddr) -> Listing {
    Listing {
        id: replica_id(idx).into(),
        born: None,
        service: "s".into(),
        address,
        zone: if idx == 0 { "z" } else { "elsewhere" }.to_owned(),
        slots: 8,
        draining: false,
        has_model: false,
        version: None,
        warmup_left_ms: 0,
    }
}

/// Returns all bytes until the connection ends.
pub(crate) async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    // A reset ends the response like a close: the bytes before it are returned.
    let _ = stream.read_to_end(&mut all).await;
    String::from_utf8_lossy(&all).into_owned()
}

/// Polls until the condition is true.
pub(crate) async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    while !condition().await {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a request that asks the entry to close the connection after the response.
pub(crate) fn request(method: &str, body: &str) -> String {
    format!(
        "{method} /r/x?q=1 HTTP/1.1\r\nHost: h\r\nt-request: abc\r\nt-key: secret\r\n\
         t-deadline: 6000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
