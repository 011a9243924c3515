//! The entry: the process that receives callers' requests and routes them to replicas.
//!
//! - [`abort`]: reasons for which a request ends without a complete response.
//! - `admission`: the level of admission of services whose requests the operator ranks.
//! - [`attempt`]: one attempt of a request at one replica.
//! - `backpressure`: backpressure that replicas signal in their responses.
//! - [`connection`]: callers' connections.
//! - [`forward`]: the life of one request, from route lookup to the end of its response.
//! - [`gossip`]: datagrams that an entry sends, and their intervals.
//! - `hedge`: an attempt, and a hedge request to a second replica while the first one is silent.
//! - [`in_flight`]: requests in flight at replicas.
//! - `liveness`: confirmation that a replica has not ended.
//! - [`lookup`]: address lookups, readiness and metrics.
//! - [`maintenance`]: periodic recomputation and expiry of state.
//! - [`quarantine`]: quarantine of requests that crash replicas.
//! - `queue`: requests that wait for a replica with room.
//! - [`receive`]: datagrams that an entry receives.
//! - [`refusal`]: error responses of the entry itself.
//! - [`registration`]: rows in the table of entries, by which later entries find their peers.
//! - [`relay`]: relaying of a replica's response to the caller.
//! - `returns`: reservations for callers that were refused and return.
//! - [`selection`]: selection of a replica, and waiting for capacity.
//! - [`table_updates`]: changes of the platform's tables, applied to the entry's state.
//! - `team_shares`: shares of teams in scarce replica time.
//! - [`uncertainty`]: the uncertainty of load information, and retry times for callers.

pub mod abort;
mod admission;
pub mod attempt;
mod backpressure;
pub mod connection;
pub mod forward;
pub mod gossip;
mod hedge;
pub mod in_flight;
mod liveness;
pub mod lookup;
pub mod maintenance;
pub mod quarantine;
mod queue;
pub mod receive;
pub mod refusal;
pub mod registration;
pub mod relay;
mod returns;
pub mod selection;
pub mod table_updates;
mod team_shares;
pub mod uncertainty;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use gradeloft_daemon::transport::server::{
    self as peer_server, Handler as PeerHandler, Outgoing, Server as PeerServer,
};
use gradeloft_http::{
    intake::{Intake, Refusal},
    listener,
    server::Server,
};
use gradeloft_platform::fleet::Lookup;
use gradeloft_policy::{
    clock::Time,
    process::{
        allowed_regions::AllowedRegions,
        document::{Config, Speed},
        drain::Drain,
        freshness::Freshness,
        remote_loads::RemoteLoads,
        replicas::{ReplicaKey, Replicas},
        retry_budget::Budget,
        roster::{Discovery, Roster},
        slot_split::RequestRate,
        team_shares::TeamShares,
    },
    request::{caller_age::TimeBudgets, reservation::Ledger, shortage::Shortage},
    version::named_versions::NamedVersions,
};
use gradeloft_wire::{
    datagram::{Presence, SwitchedReplicas},
    frame::{Call, Table},
    position::Position,
};
use slog::{info, warn};
use tokio::{net::TcpListener, sync::Notify};
use tokio_util::sync::CancellationToken;

use self::{
    admission::ServiceAdmission, attempt::FirstTokenForecast, backpressure::gossip::SignalGossip,
    quarantine::QuarantineState, queue::Queues, uncertainty::ServiceRates,
};
use crate::{
    logs::Topic, metrics::Reason, node::Node, pool::Pool, settings::Role, shares::Shares,
    traffic::Purpose,
};

/// Longest wait of one long poll of the operator's table. The operator's writes have to be in force
/// within two seconds, and a connection to the store that has gone silent for good is detected only
/// when a wait ends: see [`gradeloft_platform::fleet::READ_GRACE`]. While nothing is written, a
/// reader makes 0.84 calls a second with this wait, and 0.25 with a wait of 4 s; each region has
/// two readers.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_300);
/// Longest wait of one long poll of the replicas' table.
const REPLICAS_WAIT: Duration = Duration::from_secs(2);
/// Longest wait of one long poll of the table of entries.
const ENTRIES_WAIT: Duration = Duration::from_secs(8);
/// Pause between reads of the operator's table: well below the two seconds within which its records
/// have to be in force, and long enough to batch several records into a read, as each read is
/// billed.
const OPERATOR_PAUSE: Duration = Duration::from_millis(50);
/// Pause between reads of the replicas' table, limited for the same reasons as [`OPERATOR_PAUSE`].
const REPLICAS_PAUSE: Duration = Duration::from_millis(150);
/// Pause between reads of the table of entries, limited for the same reasons as [`OPERATOR_PAUSE`].
const ENTRIES_PAUSE: Duration = Duration::from_secs(1);
/// Window over which the request rate is measured for splitting slots among entries, in seconds.
/// Each entry computes the split by itself, and the results agree better if the rate varies less at
/// random: 200 requests a second vary by 4 % over this window.
const RATE_WINDOW_S: f64 = 3.0;
/// Share of a replica's connection limit that all entries together use.
const CONNECTIONS_SHARE: f64 = 0.85;
/// Pause between checks whether a draining entry may exit.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a call of a peer, in bytes. Only replies are larger.
const MAX_CALL_BYTES: usize = 16 << 10;
/// Maximum number of concurrent calls on one connection of a peer.
const PEER_STREAMS: u32 = 64;

/// Oldest versions of weights that a request may run on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OldestVersions {
    /// Oldest version while a replica with at least this version has room; `None` for any version.
    pub preferred: Option<u64>,
    /// Oldest version in any case; `None` for any version.
    pub allowed: Option<u64>,
}

/// State of an entry process.
pub struct Entry {
    /// State that entries and agents have in common.
    pub node: Rc<Node>,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Known replicas.
    pub replicas: RefCell<Replicas>,
    /// Connections to replicas.
    pub pool: Pool,
    /// Connections of callers, and the memory that they hold.
    callers: Rc<Intake>,
    /// Notified when the process starts to drain.
    pub drain_started: Notify,
    /// Requests that wait for a replica with room.
    queues: Queues,
    /// Other entries.
    roster: RefCell<Roster>,
    /// Target versions of each model's weights.
    weights: RefCell<HashMap<String, NamedVersions>>,
    /// Retry budgets, by service.
    budgets: RefCell<HashMap<Rc<str>, Budget>>,
    /// Ages of callers' requests, by route.
    caller_ages: RefCell<TimeBudgets>,
    /// Request rates, by service.
    service_rates: RefCell<HashMap<Rc<str>, ServiceRates>>,
    /// Capacity shortages, by service.
    shortages: RefCell<HashMap<Rc<str>, Shortage>>,
    /// Levels of admission, by service.
    admission: RefCell<HashMap<Rc<str>, ServiceAdmission>>,
    /// Reservations for returning callers, for services whose requests are ranked.
    returns: RefCell<HashMap<Rc<str>, Ledger>>,
    /// Demand of teams, for services whose requests are ranked.
    team_shares: RefCell<HashMap<Rc<str>, TeamShares>>,
    /// Request rate of all services that run a model.
    model_request_rate: RefCell<RequestRate>,
    /// Requests that other entries of this region have at replicas.
    near_loads: RefCell<RemoteLoads<Ipv4Addr>>,
    /// Requests that entries of other regions have at replicas, by region.
    far_loads: RefCell<RemoteLoads<String>>,
    /// Replicas of this region whose reported state changed since the last message to other
    /// regions.
    changed_engines: RefCell<Vec<SocketAddr>>,
    /// State sent to agents last: replicas that switched versions, and the end of the operator's
    /// table.
    sent_to_agents: RefCell<(Vec<SwitchedReplicas>, Position)>,
    /// Whether this entry has sent a message to agents.
    greeted_agents: Cell<bool>,
    /// Time of the first datagram from another entry.
    first_contact: Cell<Option<Time>>,
    /// Whether this entry got operator records from the store or another region that other entries
    /// of its region may lack.
    announce_pending: Cell<bool>,
    /// Number of rounds so far in which messages went to other regions.
    sent_to_regions: Cell<usize>,
    /// Whether the last logged freshness was that this entry leaves callers to other entries.
    logged_stale: Cell<bool>,
    /// Tokens that are cancelled when a replica restarts, for replicas that received requests.
    restart_tokens: RefCell<HashMap<ReplicaKey, CancellationToken>>,
    /// Reports of replicas' backpressure to other entries.
    signal_gossip: SignalGossip,
    /// Requests that were running when replicas crashed.
    quarantine: QuarantineState,
    /// Number of callers' connections.
    open_connections: Cell<usize>,
    /// Number of callers' connections that only the caller still has to close.
    closing_connections: Cell<usize>,
    /// Set once the entry drains.
    drain: Cell<Option<Drain>>,
}

/// A running entry.
pub struct Handle {
    entry: Rc<Entry>,
    _servers: Vec<Server>,
    _peers: PeerServer,
}

impl Entry {
    /// Starts an entry.
    pub async fn start(node: Rc<Node>) -> io::Result<Handle> {
        let Role::Entry { frontend, .. } = node.settings().role else {
            return Err(io::Error::other("the settings have no entry role"));
        };
        let clock = node.clock;
        let callers = Intake::new(
            Shares::of(&node.settings()).callers,
            Rc::new(move || clock.now()),
            node.refusal_observer("callers"),
        );
        let entry = Rc::new(Entry {
            pool: Pool::new(node.clock),
            callers,
            node,
            config: RefCell::default(),
            replicas: RefCell::default(),
            drain_started: Notify::new(),
            queues: Queues::default(),
            roster: RefCell::default(),
            weights: RefCell::default(),
            budgets: RefCell::default(),
            caller_ages: RefCell::default(),
            service_rates: RefCell::default(),
            shortages: RefCell::default(),
            admission: RefCell::default(),
            returns: RefCell::default(),
            team_shares: RefCell::default(),
            model_request_rate: RefCell::new(RequestRate::with_window(RATE_WINDOW_S)),
            near_loads: RefCell::default(),
            far_loads: RefCell::default(),
            changed_engines: RefCell::default(),
            sent_to_agents: RefCell::default(),
            greeted_agents: Cell::default(),
            first_contact: Cell::default(),
            announce_pending: Cell::default(),
            sent_to_regions: Cell::default(),
            logged_stale: Cell::default(),
            restart_tokens: RefCell::default(),
            signal_gossip: SignalGossip::default(),
            quarantine: QuarantineState::default(),
            open_connections: Cell::default(),
            closing_connections: Cell::default(),
            drain: Cell::default(),
        });
        entry.add_seeds();
        let observing = Rc::downgrade(&entry);
        entry.node.set_observer(Rc::new(move |table, records| {
            if let Some(entry) = observing.upgrade() {
                entry.apply_changes(table, &records);
            }
        }));
        entry.node.set_election(Rc::new(Rc::downgrade(&entry)));
        let peers = peer_listener(&entry.node, Rc::new(PeerCalls(Rc::clone(&entry.node)))).await?;
        let servers = lookup::start(&entry).await?;
        let listener = listener::listen(frontend, connection::BUFFERS)?;
        entry.spawn_tasks(listener);
        Ok(Handle {
            entry,
            _servers: servers,
            _peers: peers,
        })
    }

    fn spawn_tasks(self: &Rc<Entry>, listener: TcpListener) {
        let node = &self.node;
        node.scope.spawn(Rc::clone(node).detect_stalls());
        let follow = |table, wait, pause| Rc::clone(node).follow(table, wait, pause);
        node.scope
            .spawn(follow(Table::Operator, OPERATOR_WAIT, OPERATOR_PAUSE));
        node.scope
            .spawn(follow(Table::Replicas, REPLICAS_WAIT, REPLICAS_PAUSE));
        node.scope
            .spawn(follow(Table::Entries, ENTRIES_WAIT, ENTRIES_PAUSE));
        node.scope.spawn(accept(Rc::clone(self), listener));
        node.scope.spawn(Rc::clone(self).gossip());
        node.scope.spawn(Rc::clone(self).receive_datagrams());
        node.scope.spawn(Rc::clone(self).register());
    }

    /// Returns whether this entry accepts callers.
    pub fn presence(&self) -> Presence {
        if self.node.draining.get() {
            return Presence::Leaving;
        }
        let known = self.config.borrow().is_some() && !self.replicas.borrow().is_empty();
        let current = self.freshness() != Freshness::Stale && !self.node.awaits_kept_records();
        if known && current {
            Presence::Ready
        } else {
            Presence::Starting
        }
    }

    /// Decides how this entry treats callers, given the operator's records that its peers have and
    /// this entry lacks.
    pub fn freshness(&self) -> Freshness {
        // Keys may have been revoked and routes changed while this process was stalled; other
        // entries have these changes. An entry that never had peers has nobody to leave callers to.
        let has_peers = 1 < self.roster.borrow().peak_size();
        if has_peers && self.node.stale_after_stall() {
            return Freshness::Stale;
        }
        let table = Table::Operator;
        let beyond = || {
            let now = self.node.clock.now();
            self.roster
                .borrow()
                .majority_beyond(self.node.end(table), now)
        };
        let apply = Duration::from_millis(self.node.settings().apply_ms);
        Freshness::of(self.node.behind(table), apply, beyond)
    }

    /// Logs when this entry starts or stops to leave callers to other entries.
    fn log_freshness(&self) {
        let stale = self.freshness() == Freshness::Stale;
        if self.logged_stale.replace(stale) == stale {
            return;
        }
        if let Some(log) = self.node.logs.line(Topic::State) {
            let behind = self.node.behind(Table::Operator);
            info!(log, "freshness changed"; "aside" => stale, "config" => self.config_version(),
                "end" => %self.node.end(Table::Operator),
                "behind_ms" => behind.map_or(-1, |it| it.as_millis() as i64));
        }
    }

    /// Returns entry addresses for a caller, this entry's own first while it accepts callers. For a
    /// host that is bound to some regions, returns entries of these regions and of the caller's
    /// region, unless none of them is ready.
    pub fn addresses(&self, lookup: &Lookup) -> Vec<SocketAddr> {
        let allowed_regions = match self.config.borrow().as_ref() {
            Some(config) => config.allowed_regions_of_host(&lookup.host),
            None => AllowedRegions::default(),
        };
        let bound = self.ready_addresses(|region| {
            allowed_regions.allows(region) || lookup.region.as_deref() == Some(region)
        });
        match bound.is_empty() {
            true => self.ready_addresses(|_| true),
            false => bound,
        }
    }

    /// Returns the addresses of entries that accept callers, in regions that pass the filter.
    fn ready_addresses(&self, fits: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let settings = self.node.settings();
        let Role::Entry { frontend, .. } = settings.role else {
            return Vec::new();
        };
        let now = self.node.clock.now();
        let fits = |zone: &str| fits(settings.region(zone));
        let others = self
            .roster
            .borrow()
            .offered(settings.address, &settings.zone, fits, now);
        let accepts = self.presence() == Presence::Ready && fits(&settings.zone);
        let own = accepts.then_some(settings.address);
        let all = own.into_iter().chain(others);
        all.map(|it| SocketAddr::new(IpAddr::V4(it), frontend.port()))
            .collect()
    }

    /// Records what callers hold, for the metrics.
    fn note_callers(&self) {
        let metrics = &self.node.metrics;
        metrics.callers.set(self.callers.connections() as i64);
        let (now, most) = self.callers.shared_bytes();
        for (reason, bytes) in [("now", now), ("most", most)] {
            let gauge = metrics.caller_bytes.get_or_create(&Reason { reason });
            gauge.set(bytes as i64);
        }
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        let config = self.config.borrow();
        config.as_ref().map_or(0, |it| it.document.version)
    }

    /// Returns a replica's address and id.
    pub fn replica_address(&self, key: ReplicaKey) -> Option<(SocketAddr, Rc<str>)> {
        let replicas = self.replicas.borrow();
        let listing = &replicas.get(key)?.listing;
        Some((listing.address, Rc::clone(&listing.id)))
    }

    /// Counts bytes sent to a replica or received from it.
    pub fn count_to_replica(&self, purpose: Purpose, key: ReplicaKey, bytes: usize) {
        let replicas = self.replicas.borrow();
        if let Some(replica) = replicas.get(key) {
            self.node.count_zone(purpose, &replica.listing.zone, bytes);
        }
    }

    /// Returns the ids of replicas, for logs.
    pub fn replica_ids(&self, keys: &[ReplicaKey]) -> Vec<String> {
        let replicas = self.replicas.borrow();
        let name = |it: &ReplicaKey| replicas.get(*it).map(|it| it.listing.id.to_string());
        let keys = keys.iter();
        keys.map(|it| name(it).unwrap_or_else(|| "gone".to_owned()))
            .collect()
    }

    /// Returns the version of the weights that a replica holds.
    pub fn version_of(&self, key: ReplicaKey) -> Option<u64> {
        let now = self.node.clock.now();
        let replicas = self.replicas.borrow();
        replicas.get(key).and_then(|it| it.version(now))
    }

    /// Notes that a replica sent data.
    pub fn note_activity(&self, key: ReplicaKey) {
        let now = self.node.clock.now();
        self.replicas.borrow_mut().received(key, now);
    }

    /// Returns the time since a caller's first attempt, given the time left to the caller's
    /// deadline.
    pub fn caller_age(&self, route: &Rc<str>, left: Duration) -> Duration {
        let now = self.node.clock.now();
        self.caller_ages.borrow_mut().age(route, left, now)
    }

    /// Returns the speed of a service's engines, if the service runs a model.
    pub fn speed(&self, service: &str) -> Option<Speed> {
        self.config.borrow().as_ref()?.service(service)?.speed
    }

    /// Returns the number of requests that a replica of a service runs at once, if one is known.
    pub fn slots_of(&self, service: &str) -> Option<u32> {
        let replicas = self.replicas.borrow();
        let slots = replicas.of(service).map(|(_, it)| it.listing.slots);
        slots.max()
    }

    /// Records the time that a replica took to begin a response.
    pub fn record_response_start(&self, key: ReplicaKey, expected: FirstTokenForecast) {
        let took = self.node.clock.now().since(expected.sent);
        if let Some(replica) = self.replicas.borrow_mut().get_mut(key) {
            let took_ms = took.as_secs_f64() * 1000.0;
            replica.slowness.observe(expected.after_ms, took_ms);
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Rc<str>) {
        let bounds = self.node.settings().repeats;
        let now = self.node.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Rc::clone(service)).or_default();
        budget.request(bounds, now);
        let mut rates = self.service_rates.borrow_mut();
        let service_rates = rates.entry(Rc::clone(service)).or_default();
        service_rates.all.count(now);
        drop(rates);
        if self.speed(service).is_some() {
            self.model_request_rate.borrow_mut().count(now);
        }
    }

    /// Returns the request rate of all services that run a model, per second.
    pub fn model_request_rate(&self) -> f64 {
        self.model_request_rate.borrow().rate(self.node.clock.now())
    }

    /// Returns the extent to which this entry knows the other entries.
    fn discovery(&self, now: Time) -> Discovery {
        let window_ms = self.node.settings().repeats.window_ms;
        if !self.node.loaded(Table::Entries) {
            Discovery::None
        } else if now < Time::ZERO.after_ms(window_ms) {
            Discovery::Listed
        } else {
            Discovery::Complete
        }
    }

    /// Takes a repeated attempt out of a service's budget; returns `false` if the budget is spent.
    pub fn take_repeat(&self, service: &Rc<str>) -> bool {
        let bounds = self.node.settings().repeats;
        let now = self.node.clock.now();
        let entries = self.roster.borrow().budget_sharers(self.discovery(now));
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Rc::clone(service)).or_default();
        let taken = budget.repeat(bounds, entries, now);
        if taken {
            self.node.metrics.repeats.inc();
        }
        taken
    }

    /// Returns the number of connections that this entry may have to each replica of a service.
    pub fn max_connections_per_replica(&self, service: &str) -> usize {
        let config = self.config.borrow();
        let most = config
            .as_ref()
            .and_then(|it| it.service(service))
            .map_or(u32::MAX, |it| it.max_connections);
        let entries = self.roster.borrow().peak_size();
        (f64::from(most) * CONNECTIONS_SHARE / entries as f64).max(1.0) as usize
    }

    /// Adds the seed addresses of the settings to the roster.
    fn add_seeds(&self) {
        let settings = self.node.settings();
        let mut roster = self.roster.borrow_mut();
        for seed in &settings.seeds {
            if *seed != settings.address {
                roster.learn(*seed, None);
            }
        }
    }
}

/// Starts the listener for peers on the instance's peer port.
pub async fn peer_listener(
    node: &Rc<Node>,
    handler: Rc<dyn PeerHandler>,
) -> io::Result<PeerServer> {
    let settings = node.settings();
    let address = node.peer_address(settings.address);
    let share = Shares::of(&settings).peers;
    let limits = peer_server::Limits {
        frame_bytes: MAX_CALL_BYTES,
        streams: PEER_STREAMS,
        connections: share.connections,
        shared_bytes: share.shared_bytes,
        buffers: peer_server::SMALL_BUFFERS,
    };
    PeerServer::start(&address, limits, Rc::clone(&node.scope), handler).await
}

/// Serves calls of peers.
struct PeerCalls(Rc<Node>);

impl PeerHandler for PeerCalls {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let node = Rc::clone(&self.0);
        let scope = Rc::clone(&node.scope);
        // A call that only agents serve gets no reply, so that it fails at the peer.
        scope.spawn(async move { node.serve_call(call, outgoing).await });
    }

    fn refused(&self, refusal: Refusal) {
        self.0.record_refusal("peers", refusal);
    }

    fn malformed(&self) {
        if let Some(log) = self.0.logs.line(Topic::State) {
            warn!(log, "peer sent no frame");
        }
    }
}

async fn accept(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely: wait until some are closed.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let place = Rc::new(entry.callers.open().await);
        entry.open_connections.set(entry.open_connections.get() + 1);
        entry.note_callers();
        let serving = Rc::clone(&entry);
        entry.node.scope.spawn(async move {
            connection::serve(Rc::clone(&serving), stream, place).await;
            serving
                .open_connections
                .set(serving.open_connections.get() - 1);
        });
    }
}

impl Handle {
    /// Drains the entry: lookups no longer return it, new requests are still answered, and running
    /// requests finish. Returns the number of connections that were cut off.
    pub async fn drain(self) -> usize {
        let entry = &self.entry;
        let node = &entry.node;
        node.draining.set(true);
        let drain = Drain::begin(node.clock.now(), node.settings().grace_ms);
        entry.drain.set(Some(drain));
        info!(node.logs.root, "leaving"; "open" => entry.open_connections.get());
        entry.drain_started.notify_waiters();
        while !drain.finished(entry.open_connections.get(), node.clock.now()) {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let cut = entry.open_connections.get() - entry.closing_connections.get();
        info!(node.logs.root, "left"; "cut_off" => cut);
        node.scope.end();
        cut
    }

    /// Returns the entry's state.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }
}
