//! The process beside a replica: brings the weights that the operator named, and reports to
//! entries what the replica holds.
//!
//! - [`ask`]: one question for a piece of weights.
//! - [`change`]: brings the replica to the version that it is to hold.
//! - [`fetch`]: gets the pieces of a version from peers and the origin.
//! - [`fill`]: stages and checks the pieces of a version.
//! - [`receive`]: datagrams that it receives from entries.
//! - [`share`]: gives pieces to other agents.

pub mod ask;
pub mod change;
pub mod fetch;
pub mod fill;
pub mod receive;
pub mod share;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use gradeloft_daemon::transport::server::Server as PeerServer;
use gradeloft_http::server::Server;
use gradeloft_platform::fleet::{Engine as EngineApi, OperatorRecord, State};
use gradeloft_policy::{
    clock::Time,
    connection::pace::Pacer,
    process::{
        document::{Document, Service},
        mirror::Record,
        refresh::Refresh,
    },
    version::{fetch::Fetch, readers, waves::SwitchProgress},
};
use gradeloft_wire::{
    datagram::{Access, Engine, Sender},
    frame::Table,
    id::Digest,
};
use rand::seq::IndexedRandom;
use slog::{info, warn};
use tokio::sync::Notify;

use crate::{
    entry::peer_listener,
    logs::Topic,
    node::Node,
    settings::Role,
    traffic::{Purpose, Reach},
};

/// Pause between questions to the replica. They are free, and an entry's view of the replica is this
/// old at most.
const ASK: Duration = Duration::from_millis(250);
/// Pause between questions while weights are being loaded.
const ASK_LOADING: Duration = Duration::from_millis(60);
/// Silence after which an entry gets no more reports: several of its pauses between datagrams to agents.
const SILENCE_MS: u64 = 4_000;
/// Longest pause between two reports to entries.
const REPORT_MS: u64 = 1_000;
/// Longest wait of one read of the operator's table: half of the eight seconds to load a version in.
const WAIT_ORDERS: Duration = Duration::from_secs(4);
const PAUSE_ORDERS: Duration = Duration::from_millis(50);

/// Part of the link that pieces of weights may use; the rest is for requests and tokens.
const LINK_USED: f64 = 0.85;
/// Connections of one reader to the origin: its pieces, a manifest, and one that is about to end.
const READER_CONNECTIONS: u32 = fetch::ORIGIN_SLOTS as u32 + 2;
/// Bytes of a piece where the configuration does not say.
const PIECE_BYTES: u64 = 49_152;

/// A version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Version {
    /// Model.
    pub model: String,
    /// Number.
    pub number: u64,
}

/// Pieces of the version that is being fetched or was fetched last.
#[derive(Debug, Default)]
pub struct Holding {
    /// The version.
    pub version: Option<Version>,
    /// Digests of its pieces, in order; empty until the manifest is known.
    pub digests: Vec<Digest>,
    /// Positions of each digest.
    pub positions: HashMap<Digest, u32>,
    /// Whether each piece is staged and had its digest.
    pub staged: Vec<bool>,
}

/// What an entry said last.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    at: Time,
    /// Whether the platform's store serves it.
    store: Access,
    /// Whether it is in this agent's region.
    near: bool,
}

/// The process.
pub struct Agent {
    /// What it shares with entries.
    pub node: Rc<Node>,
    /// The replica's engine.
    pub engine: Rc<dyn EngineApi>,
    /// Service that the replica belongs to.
    pub service: String,
    /// Where the replica listens.
    pub replica: SocketAddr,
    /// Pieces held.
    pub holding: RefCell<Holding>,
    /// The fetch that goes on, if one does.
    pub fetching: RefCell<Option<Rc<RefCell<Fetch>>>>,
    /// Notified when a piece has been staged.
    pub arrived: Notify,
    /// Paces the pieces that go out, beside the tokens of the replica.
    pub pace_out: RefCell<Pacer>,
    /// Pieces that go out to peers now.
    pub uploads: Cell<usize>,
    state: Cell<Option<State>>,
    loading: Cell<bool>,
    /// How far each model's change-over is, as an entry said last.
    switched: RefCell<HashMap<u64, SwitchProgress>>,
    /// When the replica answered first.
    begun_at: Cell<Option<Time>>,
    /// Part of the spread of first reads of the store after which this agent reads, from 0 to 1.
    first_read: Cell<Option<f64>>,
    /// When to ask an entry for the operator's records.
    refresh: Cell<Refresh>,
    /// Whether every stream of the service can go on at another replica.
    resumable: Cell<bool>,
    /// Whether the staged pieces are being looked through.
    adopting: Cell<bool>,
    config: RefCell<Option<Document>>,
    /// Newest version of each model, and since when it counts as named.
    named: RefCell<HashMap<String, (u64, Time)>>,
    /// Entries that spoke a moment ago.
    entries: RefCell<HashMap<Ipv4Addr, Sighting>>,
    reported_at: Cell<Time>,
    /// Whether the last report said that the replica is to get no requests.
    reported_closed: Cell<bool>,
    /// Whether pieces come so slowly that the instance's link must be full.
    pub congested: Cell<bool>,
    /// The same, as it was reported last.
    reported_congested: Cell<bool>,
    /// The replica is to get no requests until then.
    closed_until: Cell<Time>,
}

/// A running agent.
pub struct Handle {
    agent: Rc<Agent>,
    _metrics: Server,
    _peers: PeerServer,
}

impl Agent {
    /// Starts an agent.
    pub async fn start(node: Rc<Node>) -> io::Result<Handle> {
        let Role::Agent { replica, service } = node.settings().role.clone() else {
            return Err(io::Error::other("the settings are not an agent's"));
        };
        let engine = node.platform.engine.clone();
        let engine = engine.ok_or_else(|| io::Error::other("no engine"))?;
        let rate = (node.settings().link_bytes_per_s as f64 * LINK_USED).max(1.0) as u64;
        let agent = Rc::new(Agent {
            node,
            engine,
            service,
            replica,
            holding: RefCell::default(),
            fetching: RefCell::default(),
            arrived: Notify::new(),
            pace_out: RefCell::new(Pacer::new(rate)),
            uploads: Cell::default(),
            state: Cell::default(),
            loading: Cell::default(),
            switched: RefCell::default(),
            begun_at: Cell::default(),
            refresh: Cell::default(),
            resumable: Cell::default(),
            adopting: Cell::default(),
            config: RefCell::default(),
            named: RefCell::default(),
            entries: RefCell::default(),
            reported_at: Cell::default(),
            reported_closed: Cell::default(),
            first_read: Cell::default(),
            congested: Cell::default(),
            reported_congested: Cell::default(),
            closed_until: Cell::default(),
        });
        let observing = Rc::downgrade(&agent);
        agent.node.set_observer(Rc::new(move |table, records| {
            if let Some(agent) = observing.upgrade() {
                agent.changed(table, &records);
            }
        }));
        agent.node.set_election(Rc::new(Rc::downgrade(&agent)));
        let handler = Rc::new(share::Peers(Rc::clone(&agent)));
        let peers = peer_listener(&agent.node, handler).await?;
        let metrics = crate::entry::lookup::serve_metrics(&agent.node).await?;
        let scope = &agent.node.scope;
        let orders = Rc::clone(&agent.node).follow(Table::Operator, WAIT_ORDERS, PAUSE_ORDERS);
        scope.spawn(orders);
        scope.spawn(Rc::clone(&agent.node).detect_stalls());
        scope.spawn(Rc::clone(&agent).watch());
        scope.spawn(Rc::clone(&agent).listen());
        scope.spawn(Rc::clone(&agent).update());
        Ok(Handle {
            agent,
            _metrics: metrics,
            _peers: peers,
        })
    }

    /// Whether it is not known which pieces of a version lie staged.
    pub fn unadopted(&self, version: &Version) -> bool {
        self.holding.borrow().version.as_ref() != Some(version)
    }

    /// Bytes of a piece of the weights.
    pub fn piece_bytes(&self) -> u64 {
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.services);
        let mut own = services.filter(|it| *it.name == *self.service);
        let layout = own.find_map(|it| it.layout);
        layout.map_or(PIECE_BYTES, |it| u64::from(it.piece_bytes))
    }

    /// Time of a piece on this instance's link.
    pub fn piece_time(&self) -> Duration {
        let rate = self.node.settings().link_bytes_per_s.max(1);
        Duration::from_secs_f64(self.piece_bytes() as f64 / rate as f64)
    }

    /// Region of this instance.
    pub fn region(&self) -> String {
        let settings = self.node.settings();
        settings.region(&settings.zone).to_owned()
    }

    /// A piece has been staged.
    pub fn staged(&self, version: &Version, idx: u32) {
        let mut holding = self.holding.borrow_mut();
        if holding.version.as_ref() == Some(version)
            && let Some(held) = holding.staged.get_mut(idx as usize)
        {
            *held = true;
        }
        drop(holding);
        self.arrived.notify_waiters();
    }

    /// Where weights come from.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.with_origin(|it| it.origin).flatten()
    }

    /// The agents of `nodes` that read a version from the origin.
    pub fn readers(&self, version: &Version, nodes: &[u64]) -> Vec<u64> {
        let connections = self.with_origin(|it| it.max_connections);
        let key = fetch::version_digest(version).short();
        let connections = connections.unwrap_or(u32::MAX);
        readers::choose(key, nodes, connections, READER_CONNECTIONS)
    }

    fn with_origin<T>(&self, get: impl FnOnce(&Service) -> T) -> Option<T> {
        let config = self.config.borrow();
        let mut services = config.as_ref()?.services.iter();
        services.find(|it| it.origin.is_some()).map(get)
    }

    /// What the replica said of itself last.
    pub fn state(&self) -> Option<State> {
        self.state.get()
    }

    /// Instances of entries that spoke a moment ago.
    pub fn entries(&self) -> Vec<Ipv4Addr> {
        let now = self.node.clock.now();
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, it| now < it.at.after_ms(SILENCE_MS));
        entries.keys().copied().collect()
    }

    /// An entry that spoke a moment ago, of this region if there is one.
    pub(super) fn draw_entry(&self) -> Option<Ipv4Addr> {
        let known = self.entries();
        let entries = self.entries.borrow();
        let near = |it: &Ipv4Addr| entries.get(it).is_some_and(|it| it.near);
        let near: Vec<Ipv4Addr> = known.iter().copied().filter(near).collect();
        let from = if near.is_empty() { known } else { near };
        self.node.with_rng(|it| from.choose(it).copied())
    }

    fn changed(&self, table: Table, records: &[Record]) {
        if table != Table::Operator {
            return;
        }
        for record in records.iter().filter(|it| it.value.is_some()) {
            match self.node.platform.decoder.operator_record(record) {
                Ok(OperatorRecord::Config(document)) => self.configure(*document),
                Ok(OperatorRecord::Weights { model, version }) => {
                    let written = self.node.written_at(table, record);
                    self.name(model, version, written);
                }
                Ok(OperatorRecord::Evacuation { .. } | OperatorRecord::Other) => {}
                Err(error) => {
                    if let Some(log) = self.node.logs.line(Topic::State) {
                        warn!(log, "unreadable record"; "key" => &record.key, "error" => error);
                    }
                }
            }
        }
    }

    fn configure(&self, document: Document) {
        let mut config = self.config.borrow_mut();
        let newer = config
            .as_ref()
            .is_none_or(|it| it.version < document.version);
        if newer {
            self.node.metrics.config.set(document.version as i64);
            self.resumable.set(document.resumes(&self.service));
            // Routes and keys are an entry's matter, and take most of the memory.
            *config = Some(Document {
                routes: Vec::new(),
                keys: HashMap::new(),
                ..document
            });
        }
    }

    /// Asks the replica for its state, and reports it to entries.
    async fn watch(self: Rc<Agent>) {
        loop {
            self.ask().await;
            self.node.log_traffic();
            let pause = if self.loading.get() { ASK_LOADING } else { ASK };
            actix_rt::time::sleep(pause).await;
        }
    }

    async fn ask(&self) {
        let before = self.state.get();
        let state = match self.engine.state().await {
            Ok(state) => Some(state),
            Err(fault) => {
                if before.is_some()
                    && let Some(log) = self.node.logs.line(Topic::Dependency)
                {
                    warn!(log, "replica lost"; "fault" => %fault);
                }
                None
            }
        };
        if state.is_some() && self.begun_at.get().is_none() {
            self.begun_at.set(Some(self.node.clock.now()));
        }
        let born = |it: Option<State>| it.and_then(|it| it.born);
        if born(before).is_some()
            && born(state).is_some()
            && born(before) != born(state)
            && let Some(log) = self.node.logs.line(Topic::Dependency)
        {
            info!(log, "replica started again"; "state" => ?state);
        }
        if before.is_none()
            && state.is_some()
            && let Some(log) = self.node.logs.line(Topic::Dependency)
        {
            info!(log, "replica answers"; "state" => ?state);
        }
        self.state.set(state);
        let version = state.and_then(|it| it.version);
        self.node
            .metrics
            .weights
            .set(version.unwrap_or_default() as i64);
        let reported = |it: Option<State>| it.map(|it| (it.born, it.version, it.busy));
        let closed = self.closed();
        let reopened = self.reported_closed.replace(closed) != closed;
        let congested = self.congested.get();
        // That it is congested matters at once; that it no longer is can wait for the next report, as this may flip
        // several times a second.
        let turned = congested && !self.reported_congested.get();
        let changed = reopened || turned || reported(before) != reported(state);
        let due = self.reported_at.get().after_ms(REPORT_MS) <= self.node.clock.now();
        if changed || due {
            self.report();
        }
    }

    /// Whether the replica is to get no requests now.
    fn closed(&self) -> bool {
        self.loading.get() || self.node.clock.now() < self.closed_until.get()
    }

    /// Sends the replica's state to the entries that are known, or to the seeds while none is.
    fn report(&self) {
        self.reported_at.set(self.node.clock.now());
        self.reported_congested.set(self.congested.get());
        let entries = self.entries();
        if entries.is_empty() {
            let seeds = self.node.settings().seeds.clone();
            self.report_to(seeds.into_iter());
        } else {
            self.report_to(entries.into_iter());
        }
    }

    /// Sends the replica's state to some entries.
    fn report_to(&self, entries: impl Iterator<Item = Ipv4Addr>) {
        let SocketAddr::V4(replica) = self.replica else {
            return;
        };
        let engine = self.state.get().map(|it| Engine {
            born: it.born,
            version: it.version,
            loading: self.closed() || it.busy,
            congested: self.congested.get(),
        });
        let sender = Sender::Agent { replica, engine };
        self.node
            .send_state(Purpose::Reports, Reach::Near, sender, entries);
    }
}

impl Handle {
    /// The agent.
    pub fn agent(&self) -> &Rc<Agent> {
        &self.agent
    }

    /// Ends at once: the replica goes on without its agent.
    pub fn leave(self) {
        info!(self.agent.node.logs.root, "left");
        self.agent.node.scope.end();
    }
}
