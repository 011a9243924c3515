//! Agent beside a replica: deploys the weights that the operator named, and reports the replica's
//! state to entries.
//!
//! - [`acceptance`]: loads for which it is uncertain when the replica accepted the order.
//! - [`chunk_request`]: a single request for a chunk of weights.
//! - [`deploy`]: deployment of the target version to the replica.
//! - [`fetch`]: fetch of a version's chunks from peers and the origin.
//! - [`receive`]: datagrams from entries.
//! - [`staging`]: staging and verification of a version's chunks.
//! - [`upload`]: uploads of chunks to other agents.

pub mod acceptance;
pub mod chunk_request;
pub mod deploy;
pub mod fetch;
pub mod receive;
pub mod staging;
pub mod upload;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
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
        api_keys::ApiKeys,
        document::{Document, Layout, Service},
        mirror::Record,
        refresh::Refresh,
        replica_starts,
    },
    version::{fetch::Fetch, readers, suspect_load::SuspectLoad, waves::SwitchProgress},
};
use gradeloft_wire::{
    datagram::{self, EngineStatus, Sender, StoreAccess},
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

/// Interval between polls of the replica. Polls are cheap, and the interval bounds the age of an
/// entry's view of the replica.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between polls of the replica while weights are being loaded.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Silence after which an entry gets no more reports, in milliseconds: several of its intervals
/// between datagrams to agents.
const ENTRY_TIMEOUT_MS: u64 = 4_000;
/// Maximum interval between two reports to entries, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time since the first datagram of an entry's start during which the entry gets a report after each
/// poll, in milliseconds: about as long as replicas take to complete the requests that were running
/// before that start. Reports cost an agent 400 bytes a second for each such entry.
const STARTED_ENTRY_MS: u64 = 3_000;
/// Maximum wait of one read of the operator's table: half of the eight seconds within which a
/// version is to be loaded.
const OPERATOR_READ_WAIT: Duration = Duration::from_secs(4);
const OPERATOR_READ_PAUSE: Duration = Duration::from_millis(50);

/// Fraction of the link that chunk uploads may use; the rest is for requests and tokens.
const UPLOAD_LINK_FRACTION: f64 = 0.85;
/// Number of connections of one reader to the origin: those of its chunk requests, one for a
/// manifest request, and one that is about to close.
const READER_CONNECTIONS: u32 = fetch::ORIGIN_SLOTS as u32 + 2;
/// Size of a chunk if the configuration does not specify it, in bytes.
const DEFAULT_CHUNK_BYTES: u64 = 49_152;

/// A version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Version {
    /// Name of the model.
    pub model: String,
    /// Version number.
    pub number: u64,
}

/// Chunks of the version that is being fetched or was fetched last.
#[derive(Debug, Default)]
pub struct StagedChunks {
    /// Version of the weights.
    pub version: Option<Version>,
    /// Digests of the version's chunks, in order; empty until the manifest is known.
    pub digests: Vec<Digest>,
    /// Position of each digest.
    pub positions: HashMap<Digest, u32>,
    /// Whether each chunk is staged and matched its digest when last checked.
    pub staged: Vec<bool>,
    /// Positions of chunks that could not be read back when last checked.
    pub unread: BTreeSet<u32>,
}

/// State of an entry according to its newest datagram.
#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    /// Number of the entry's current start.
    incarnation: u64,
    /// Time of the first datagram since that start.
    first_received_at: Time,
    received_at: Time,
    /// Whether the platform's store serves the entry.
    store: StoreAccess,
    /// Whether the entry is in this agent's region.
    near: bool,
}

/// Agent of one replica.
pub struct Agent {
    /// State and connections that agents and entries have in common.
    pub node: Rc<Node>,
    /// Engine of the replica.
    pub engine: Rc<dyn EngineApi>,
    /// Service that the replica belongs to.
    pub service: String,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Chunks staged at the replica.
    pub staged_chunks: RefCell<StagedChunks>,
    /// Current fetch, if there is one.
    pub fetching: RefCell<Option<Rc<RefCell<Fetch>>>>,
    /// Notified when a chunk has been staged.
    pub chunk_staged: Notify,
    /// Paces uploads, so that they leave room for the replica's tokens on the link.
    pub upload_pacer: RefCell<Pacer>,
    /// Number of current uploads to peers.
    pub uploads: Cell<usize>,
    /// State of the replica at the last poll; `None` if it did not respond.
    state: Cell<Option<State>>,
    /// Whether the replica is being ordered to load a version, or is loading it.
    loading: Cell<bool>,
    /// Load for which the replica gets no requests, as its chunks may have been corrupt.
    suspect_load: Cell<Option<SuspectLoad>>,
    /// Progress of the switch to a new version by hash of the model, as last reported by an entry.
    switch_progress: RefCell<HashMap<u64, SwitchProgress>>,
    /// Time of the replica's first response.
    first_response_at: Cell<Option<Time>>,
    /// Position of this agent's first store read in the spread of first reads, from 0 to 1.
    first_read_fraction: Cell<Option<f64>>,
    /// Schedule of requests to entries for the operator's records.
    refresh: Cell<Refresh>,
    /// Whether every stream of the service can be resumed at another replica.
    resumable: Cell<bool>,
    /// Whether a recovery of the staged chunks is running.
    recovering: Cell<bool>,
    config: RefCell<Option<Document>>,
    /// Newest version that the operator named for each model, and the time at which its record
    /// counts as written.
    named_versions: RefCell<HashMap<String, (u64, Time)>>,
    /// Entries from which a datagram was received recently.
    entries: RefCell<HashMap<Ipv4Addr, KnownEntry>>,
    reported_at: Cell<Time>,
    /// Whether the last report excluded the replica from requests.
    reported_closed: Cell<bool>,
    /// Whether chunks arrive so slowly that the instance's link must be saturated.
    pub congested: Cell<bool>,
    /// Value of `congested` in the last report.
    reported_congested: Cell<bool>,
    /// Time until which the replica gets no requests.
    closed_until: Cell<Time>,
}

/// Handle of a running agent.
pub struct Handle {
    agent: Rc<Agent>,
    _metrics: Server,
    _peers: PeerServer,
}

impl Agent {
    /// Starts an agent.
    pub async fn start(node: Rc<Node>) -> io::Result<Handle> {
        let Role::Agent { replica, service } = node.settings().role.clone() else {
            return Err(io::Error::other(
                "the settings do not have the role of an agent",
            ));
        };
        let engine = node.platform.engine.clone();
        let engine =
            engine.ok_or_else(|| io::Error::other("the platform has no engine for this agent"))?;
        let rate = (node.settings().link_bytes_per_s as f64 * UPLOAD_LINK_FRACTION).max(1.0) as u64;
        let agent = Rc::new(Agent {
            node,
            engine,
            service,
            replica,
            staged_chunks: RefCell::default(),
            fetching: RefCell::default(),
            chunk_staged: Notify::new(),
            upload_pacer: RefCell::new(Pacer::new(rate)),
            uploads: Cell::default(),
            state: Cell::default(),
            loading: Cell::default(),
            suspect_load: Cell::default(),
            switch_progress: RefCell::default(),
            first_response_at: Cell::default(),
            refresh: Cell::default(),
            resumable: Cell::default(),
            recovering: Cell::default(),
            config: RefCell::default(),
            named_versions: RefCell::default(),
            entries: RefCell::default(),
            reported_at: Cell::default(),
            reported_closed: Cell::default(),
            first_read_fraction: Cell::default(),
            congested: Cell::default(),
            reported_congested: Cell::default(),
            closed_until: Cell::default(),
        });
        let weak_agent = Rc::downgrade(&agent);
        agent.node.set_observer(Rc::new(move |table, records| {
            if let Some(agent) = weak_agent.upgrade() {
                agent.apply_records(table, &records);
            }
        }));
        agent.node.set_election(Rc::new(Rc::downgrade(&agent)));
        let handler = Rc::new(upload::PeerHandler(Rc::clone(&agent)));
        let peers = peer_listener(&agent.node, handler).await?;
        let metrics = crate::entry::lookup::serve_metrics(&agent.node).await?;
        let scope = &agent.node.scope;
        let follow =
            Rc::clone(&agent.node).follow(Table::Operator, OPERATOR_READ_WAIT, OPERATOR_READ_PAUSE);
        scope.spawn(follow);
        scope.spawn(Rc::clone(&agent.node).detect_stalls());
        scope.spawn(Rc::clone(&agent).poll_replica());
        scope.spawn(Rc::clone(&agent).receive_datagrams());
        scope.spawn(Rc::clone(&agent).deploy_versions());
        Ok(Handle {
            agent,
            _metrics: metrics,
            _peers: peers,
        })
    }

    /// Returns whether it is unknown which chunks of a version are staged.
    pub fn needs_recovery(&self, version: &Version) -> bool {
        let chunks = self.staged_chunks.borrow();
        chunks.version.as_ref() != Some(version) || !chunks.unread.is_empty()
    }

    /// Returns the division of the service's weights into chunks, if it is configured.
    pub fn layout(&self) -> Option<Layout> {
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.services);
        let mut own_service = services.filter(|it| *it.name == *self.service);
        own_service.find_map(|it| it.layout)
    }

    /// Returns the size of a chunk, in bytes.
    pub fn chunk_bytes(&self) -> u64 {
        let layout = self.layout();
        layout.map_or(DEFAULT_CHUNK_BYTES, |it| u64::from(it.chunk_bytes))
    }

    /// Returns the transfer time of a chunk on this instance's link.
    pub fn chunk_time(&self) -> Duration {
        let rate = self.node.settings().link_bytes_per_s.max(1);
        Duration::from_secs_f64(self.chunk_bytes() as f64 / rate as f64)
    }

    /// Returns the region of this instance.
    pub fn region(&self) -> String {
        let settings = self.node.settings();
        settings.region(&settings.zone).to_owned()
    }

    /// Marks a chunk as staged.
    pub fn mark_staged(&self, version: &Version, idx: u32) {
        let mut chunks = self.staged_chunks.borrow_mut();
        if chunks.version.as_ref() == Some(version)
            && let Some(staged) = chunks.staged.get_mut(idx as usize)
        {
            *staged = true;
            chunks.unread.remove(&idx);
        }
        drop(chunks);
        self.chunk_staged.notify_waiters();
    }

    /// Returns the address of the origin of weights.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.with_origin(|it| it.origin).flatten()
    }

    /// Returns the agents among `nodes` that read a version from the origin.
    pub fn readers(&self, version: &Version, nodes: &[u64]) -> Vec<u64> {
        let connections = self.with_origin(|it| it.max_connections);
        let key = fetch::version_digest(version).prefix_u64();
        let connections = connections.unwrap_or(u32::MAX);
        readers::choose(key, nodes, connections, READER_CONNECTIONS)
    }

    fn with_origin<T>(&self, get: impl FnOnce(&Service) -> T) -> Option<T> {
        let config = self.config.borrow();
        let mut services = config.as_ref()?.services.iter();
        services.find(|it| it.origin.is_some()).map(get)
    }

    /// Returns the state of the replica at the last poll; `None` if it did not respond.
    pub fn state(&self) -> Option<State> {
        self.state.get()
    }

    /// Returns the addresses of entries from which a datagram was received recently.
    pub fn entries(&self) -> Vec<Ipv4Addr> {
        let now = self.node.clock.now();
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, it| now < it.received_at.after_ms(ENTRY_TIMEOUT_MS));
        entries.keys().copied().collect()
    }

    /// Returns a random entry from which a datagram was received recently, in this region if there
    /// is one.
    pub(super) fn random_entry(&self) -> Option<Ipv4Addr> {
        let known = self.entries();
        let entries = self.entries.borrow();
        let near = |it: &Ipv4Addr| entries.get(it).is_some_and(|it| it.near);
        let near: Vec<Ipv4Addr> = known.iter().copied().filter(near).collect();
        let candidates = if near.is_empty() { known } else { near };
        self.node.with_rng(|it| candidates.choose(it).copied())
    }

    fn apply_records(&self, table: Table, records: &[Record]) {
        if table != Table::Operator {
            return;
        }
        for record in records.iter().filter(|it| it.value.is_some()) {
            match self.node.platform.decoder.operator_record(record) {
                Ok(OperatorRecord::Config(document)) => self.apply_config(*document),
                Ok(OperatorRecord::Weights { model, version }) => {
                    let written = self.node.written_at(table, record);
                    self.add_named_version(model, version, written);
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

    fn apply_config(&self, document: Document) {
        let mut config = self.config.borrow_mut();
        let newer = config
            .as_ref()
            .is_none_or(|it| it.version < document.version);
        if newer {
            self.node.metrics.config.set(document.version as i64);
            self.resumable.set(document.resumes(&self.service));
            // Only entries need routes and keys, which use most of the memory.
            *config = Some(Document {
                routes: Vec::new(),
                keys: ApiKeys::NotRequired,
                ..document
            });
        }
    }

    /// Polls the replica's state continuously, and reports it to entries.
    async fn poll_replica(self: Rc<Agent>) {
        loop {
            self.update_state().await;
            self.node.log_traffic();
            let pause = if self.loading.get() {
                LOADING_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Queries the replica's state once, and reports it to entries if it changed or a report is
    /// due.
    async fn update_state(&self) {
        let before = self.state.get();
        let state = match self.engine.state().await {
            Ok(state) => Some(state),
            Err(fault) => {
                if before.is_some()
                    && let Some(log) = self.node.logs.line(Topic::Dependency)
                {
                    warn!(log, "replica stopped responding"; "fault" => %fault);
                }
                None
            }
        };
        if state.is_some() && self.first_response_at.get().is_none() {
            self.first_response_at.set(Some(self.node.clock.now()));
        }
        let born = |it: Option<State>| it.and_then(|it| it.born);
        if replica_starts::differ(born(before), born(state))
            && let Some(log) = self.node.logs.line(Topic::Dependency)
        {
            info!(log, "replica started again"; "state" => ?state);
        }
        if before.is_none()
            && state.is_some()
            && let Some(log) = self.node.logs.line(Topic::Dependency)
        {
            info!(log, "replica responds"; "state" => ?state);
        }
        self.state.set(state);
        self.update_suspect_load();
        let version = state.and_then(|it| it.version);
        self.node
            .metrics
            .weights
            .set(version.unwrap_or_default() as i64);
        let reported_part = |it: Option<State>| it.map(|it| (it.born, it.version, it.busy));
        let closed = self.closed();
        let closed_changed = self.reported_closed.replace(closed) != closed;
        let congested = self.congested.get();
        // Entries need to learn of congestion at once. Its end can wait for the next report, as
        // congestion may start and end several times a second.
        let newly_congested = congested && !self.reported_congested.get();
        let changed =
            closed_changed || newly_congested || reported_part(before) != reported_part(state);
        let due = self.reported_at.get().after_ms(REPORT_INTERVAL_MS) <= self.node.clock.now();
        if changed || due {
            self.report();
        } else {
            self.report_to(self.started_entries().into_iter());
        }
    }

    /// Returns the entries that started recently, and rely on the replica's count of its requests.
    fn started_entries(&self) -> Vec<Ipv4Addr> {
        let now = self.node.clock.now();
        let entries = self.entries.borrow();
        let started = |it: &KnownEntry| now < it.first_received_at.after_ms(STARTED_ENTRY_MS);
        let started = entries.iter().filter(|(_, it)| started(it));
        started.map(|(address, _)| *address).collect()
    }

    /// Returns whether the replica must get no requests now.
    fn closed(&self) -> bool {
        self.loading.get()
            || self.suspect_load.get().is_some()
            || self.node.clock.now() < self.closed_until.get()
    }

    /// Sends the replica's state to all known entries, or to the seeds if none is known.
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

    /// Sends the replica's state to the given entries.
    fn report_to(&self, entries: impl Iterator<Item = Ipv4Addr>) {
        let SocketAddr::V4(replica) = self.replica else {
            return;
        };
        let engine = self.state.get().map(|it| EngineStatus {
            born: it.born,
            version: it.version,
            loading: self.closed() || it.busy,
            congested: self.congested.get(),
            running: datagram::saturate(it.active),
            queued: datagram::saturate(it.queued),
        });
        let sender = Sender::Agent { replica, engine };
        self.node
            .send_state(Purpose::Reports, Reach::Near, sender, entries);
    }
}

impl Handle {
    /// Returns the agent.
    pub fn agent(&self) -> &Rc<Agent> {
        &self.agent
    }

    /// Stops the agent at once; the replica continues without it.
    pub fn stop(self) {
        info!(self.agent.node.logs.root, "left");
        self.agent.node.scope.end();
    }
}
