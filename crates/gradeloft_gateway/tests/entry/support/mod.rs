//! An entry before scripted replicas, on addresses of this test's own.

mod answers;
mod machine;

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
    document::{CallerLimits, Document, Route, RouteKind, Service, Speed, Target, Warmup},
    mirror::Record,
    replicas::Listing,
    retry_budget,
};
use gradeloft_standin::{
    scripted::{Scripted, Step},
    tables::Tables,
};
use gradeloft_wire::{frame::Table, id::Digest};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

pub(crate) use self::{
    answers::{answer, last_chunk, ok, stream},
    machine::Machine,
};

/// Names of headers in these tests.
pub(crate) const HEADERS: Headers = Headers {
    attempt_id: "t-request",
    deadline: "t-deadline",
    api_key: "t-key",
    team: "t-team",
    target_replica: "t-replica",
    replica_id: "t-replica-id",
    expected_version: "t-version",
    tokens: "t-tokens",
    priority: "t-priority",
    seal: "t-seal",
    not_executed: "t-not-run",
};

/// A bound on every wait of a test; none comes near it unless something is wrong.
const PATIENCE: Duration = Duration::from_secs(10);

/// Addresses of this test's process: the whole of 127.0.0.0/8 is this machine's, so two tests that
/// run at once use the same ports on addresses of their own.
pub(crate) fn address(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, last)
}

/// Runs a test on a runtime of its own, within the bound.
pub(crate) fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(PATIENCE, test).await.expect("in time");
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

    fn listing(&self, record: &Record) -> Result<Listing, String> {
        let listings = self.listings.borrow();
        listings
            .get(&record.key)
            .cloned()
            .ok_or("unknown".to_owned())
    }
}

struct TestDirectory;

impl Directory for TestDirectory {
    fn lookup_path(&self) -> &str {
        "/where"
    }

    /// The query is a host and a region, with a comma between.
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

    fn piece<'a>(&'a self, _: SocketAddr, _: &'a str, _: u64, _: u32) -> CallFuture<'a, Bytes> {
        Box::pin(async { Err(Fault::Missing) })
    }

    fn digest(&self, content: &[u8]) -> Digest {
        Digest::of(content)
    }
}

/// What the service of a test is like.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    /// What may be repeated.
    pub(crate) kind: RouteKind,
    /// Most replicas for one request.
    pub(crate) max_attempts: u32,
    /// Longest time for a request, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Largest body that callers may send, in bytes.
    pub(crate) body_bytes: usize,
    /// Time within which an answer is in time, in milliseconds.
    pub(crate) goal_ms: u64,
    /// Slots of each replica, if they run a model; else they run none, and eight requests at once.
    pub(crate) model_slots: Option<u32>,
    /// The only region in which requests may be served, if there is such a one.
    pub(crate) homes: Option<&'static str>,
    /// What cold replicas bear.
    pub(crate) warmup: Option<Warmup>,
}

impl Shape {
    /// Two attempts within a long time.
    pub(crate) fn of(kind: RouteKind) -> Shape {
        Shape {
            kind,
            max_attempts: 2,
            timeout_ms: 8_000,
            body_bytes: 1 << 20,
            goal_ms: 100,
            model_slots: None,
            homes: None,
            warmup: None,
        }
    }
}

/// Engines that begin an answer a few milliseconds after its request.
const SPEED: Speed = Speed {
    step_ms: 1.0,
    step_ms_per_request: 0.0,
    steps: 1,
    read_per_ms: 1_000.0,
    usual_prompt: 10.0,
    usual_answer: 1.0,
};

/// An entry before replicas.
pub(crate) struct World {
    /// The platform's tables.
    pub(crate) tables: Rc<Tables>,
    /// The entry.
    pub(crate) entry: Handle,
    /// Replicas, in the order of their scripts.
    pub(crate) replicas: Vec<Scripted>,
    decoder: Rc<TestDecoder>,
}

fn document(shape: Shape) -> Document {
    let route = Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/r/".to_owned(),
        kind: shape.kind,
        targets: vec![Target {
            service: "s".into(),
            weight: 1.0,
        }],
        timeout_ms: shape.timeout_ms,
        goal_ms: shape.goal_ms,
        max_attempts: shape.max_attempts,
        priority: 1,
        public: false,
        allowed_regions: shape.homes.map_or_else(AllowedRegions::default, |it| {
            AllowedRegions::of([it.to_owned()])
        }),
    };
    Document {
        version: 1,
        routes: vec![route],
        services: vec![Service {
            name: "s".into(),
            max_connections: 100,
            layout: None,
            speed: shape.model_slots.map(|_| SPEED),
            models: vec!["m".to_owned()],
            warmup: shape.warmup,
            origin: None,
        }],
        keys: HashMap::from([("secret".to_owned(), Rc::from("rangers"))]),
        allowed_regions: HashMap::new(),
        limits: CallerLimits {
            head_bytes: 4 << 10,
            body_bytes: shape.body_bytes,
            head_ms: 2_000,
            idle_ms: 5_000,
        },
    }
}

fn settings(last: u8) -> Settings {
    let own = address(last);
    let at = |port| SocketAddr::from((own, port));
    Settings {
        instance: format!("entry-{last}"),
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
        role: Role::Entry {
            frontend: at(8005),
            readiness: at(8002),
            directory: at(8009),
        },
    }
}

impl World {
    /// Starts an entry before one replica for each element of `scripts`, and waits until it is
    /// ready.
    pub(crate) async fn start(shape: Shape, scripts: Vec<Vec<Vec<Step>>>) -> World {
        World::unready(shape, scripts).await.readied().await
    }

    /// Fills the tables, and waits until the entry is ready.
    async fn readied(self) -> World {
        self.tables.write(Table::Operator, "config", Some("1"));
        self.list_all();
        until(|| async { self.get(8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        self
    }

    /// As [`World::start`], with empty tables.
    pub(crate) async fn unready(shape: Shape, scripts: Vec<Vec<Vec<Step>>>) -> World {
        World::with_clock(Clock::start(), shape, scripts).await
    }

    /// As [`World::start`]; a machine that the test suspends carries the entry.
    pub(crate) async fn on(machine: &Machine, shape: Shape, scripts: Vec<Vec<Vec<Step>>>) -> World {
        World::on_unready(machine, shape, scripts)
            .await
            .readied()
            .await
    }

    /// As [`World::unready`]; a machine that the test suspends carries the entry.
    pub(crate) async fn on_unready(
        machine: &Machine,
        shape: Shape,
        scripts: Vec<Vec<Vec<Step>>>,
    ) -> World {
        World::with_clock(machine.clock(), shape, scripts).await
    }

    async fn with_clock(clock: Clock, shape: Shape, scripts: Vec<Vec<Vec<Step>>>) -> World {
        let mut replicas = Vec::new();
        let mut listings = HashMap::new();
        for (idx, script) in scripts.into_iter().enumerate() {
            let bind = format!("{}:8540", address(100 + idx as u8));
            let replica = Scripted::start(&bind, script).await.unwrap();
            let mut listing = listing(idx, replica.address);
            if let Some(slots) = shape.model_slots {
                listing.slots = slots;
                listing.has_model = true;
                listing.version = Some(1);
            }
            listings.insert(listing.id.to_string(), listing);
            replicas.push(replica);
        }
        let decoder = Rc::new(TestDecoder {
            document: document(shape),
            listings: RefCell::new(listings),
        });
        let tables = Rc::new(Tables::default());
        let entry = start_entry(clock, settings(1), &tables, &decoder).await;
        World {
            tables,
            entry,
            replicas,
            decoder,
        }
    }

    /// Another entry on the same tables.
    pub(crate) async fn another(&self, last: u8, tables: &Rc<Tables>) -> Handle {
        start_entry(Clock::start(), settings(last), tables, &self.decoder).await
    }

    /// As [`World::another`]; it knows only of the instance `seed`.
    pub(crate) async fn follower(&self, last: u8, seed: u8, tables: &Rc<Tables>) -> Handle {
        let settings = Settings {
            seeds: vec![address(seed)],
            ..settings(last)
        };
        start_entry(Clock::start(), settings, tables, &self.decoder).await
    }

    /// Lists every replica as ready. The one of the first script is in the entry's own zone, and so
    /// gets the first request.
    pub(crate) fn list_all(&self) {
        for idx in 0..self.replicas.len() {
            self.tables.write(Table::Replicas, &id(idx), Some("ready"));
        }
    }

    /// Another entry, in an availability zone.
    pub(crate) async fn in_zone(&self, last: u8, zone: &str, tables: &Rc<Tables>) -> Handle {
        let settings = Settings {
            zone: zone.to_owned(),
            ..settings(last)
        };
        start_entry(Clock::start(), settings, tables, &self.decoder).await
    }

    /// Kills the entry, and starts another on its instance, with the same tables.
    pub(crate) async fn restarted(self) -> World {
        let World {
            tables,
            entry,
            replicas,
            decoder,
        } = self;
        let node = Rc::downgrade(&entry.entry().node);
        entry.entry().node.scope.end();
        drop(entry);
        until(|| async { node.strong_count() == 0 }).await;
        let entry = start_entry(Clock::start(), settings(1), &tables, &decoder).await;
        World {
            tables,
            entry,
            replicas,
            decoder,
        }
    }

    /// Lists a replica that is not one of the scripted ones, or lists it anew.
    pub(crate) fn list(&self, listing: Listing) {
        self.lister()(listing);
    }

    /// As [`World::list`], for a task.
    pub(crate) fn lister(&self) -> impl Fn(Listing) + use<> {
        let tables = Rc::clone(&self.tables);
        let decoder = Rc::clone(&self.decoder);
        move |listing| {
            let id = listing.id.to_string();
            decoder.listings.borrow_mut().insert(id.clone(), listing);
            tables.write(Table::Replicas, &id, Some("ready"));
        }
    }

    /// Whether the table that entries write names anything but entries.
    pub(crate) fn has_request_record(&self) -> bool {
        let keys = self.tables.keys(Table::Entries);
        keys.iter().any(|it| it.parse::<Ipv4Addr>().is_err())
    }

    /// Makes a replica one of a model that holds a version of its weights, once it is listed.
    pub(crate) fn holds(&self, idx: usize, version: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        let listing = listings.get_mut(&id(idx)).unwrap();
        listing.has_model = true;
        listing.version = Some(version);
    }

    /// Makes a replica one that is cold for so many milliseconds, once it is listed again.
    pub(crate) fn cold_for(&self, idx: usize, warmup_left_ms: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&id(idx)).unwrap().warmup_left_ms = warmup_left_ms;
    }

    /// Makes a replica one that started at a time, once it is listed again.
    pub(crate) fn started_at(&self, idx: usize, born: u64) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&id(idx)).unwrap().born = Some(born);
    }

    /// Makes what a replica writes of itself unreadable, once it is written again.
    pub(crate) fn garble(&self, idx: usize) {
        self.decoder.listings.borrow_mut().remove(&id(idx));
    }

    /// Moves a replica to another address, once it is listed again.
    pub(crate) fn listens_at(&self, idx: usize, address: SocketAddr) {
        let mut listings = self.decoder.listings.borrow_mut();
        listings.get_mut(&id(idx)).unwrap().address = address;
    }

    /// Sends a request on a connection of its own, and gives all that comes until its end.
    pub(crate) async fn ask(&self, request: &str) -> String {
        ask(1, request).await
    }

    /// Connects to the entry.
    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect((address(1), 8005)).await.unwrap()
    }

    /// Gets a path at one of the entry's other ports.
    pub(crate) async fn get(&self, port: u16, path: &str) -> String {
        get(1, port, path).await
    }

    /// How many requests reached all replicas together.
    pub(crate) fn arrivals(&self) -> usize {
        self.replicas.iter().map(|it| it.requests().len()).sum()
    }
}

/// Sends a request to an entry on a connection of its own, and gives all that comes until its end.
pub(crate) async fn ask(last: u8, request: &str) -> String {
    let mut stream = TcpStream::connect((address(last), 8005)).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

/// Gets a path at a port of an entry.
pub(crate) async fn get(last: u8, port: u16, path: &str) -> String {
    let mut stream = TcpStream::connect((address(last), port)).await.unwrap();
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

/// Name of a replica.
pub(crate) fn id(idx: usize) -> String {
    format!("i-{idx}")
}

fn listing(idx: usize, address: SocketAddr) -> Listing {
    Listing {
        id: id(idx).into(),
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

async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    // A reset ends what came as well as a close does.
    let _ = stream.read_to_end(&mut all).await;
    String::from_utf8_lossy(&all).into_owned()
}

/// Waits until something holds.
pub(crate) async fn until<F: Future<Output = bool>>(holds: impl Fn() -> F) {
    while !holds().await {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request on a connection that ends after it.
pub(crate) fn request(method: &str, body: &str) -> String {
    format!(
        "{method} /r/x?q=1 HTTP/1.1\r\nHost: h\r\nt-request: abc\r\nt-key: secret\r\n\
         t-deadline: 6000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
