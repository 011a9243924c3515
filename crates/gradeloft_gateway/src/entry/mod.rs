//! The process that callers talk to.
//!
//! - [`abort`]: reasons why a request ends without a complete response.
//! - [`attempt`]: one request sent to one replica.
//! - [`connection`]: connections of callers.
//! - [`forward`]: one request, from its route to its end.
//! - [`gossip`]: datagrams that it sends, and how often.
//! - `hedge`: an attempt, and a second one beside it while its replica is silent.
//! - [`in_flight`]: requests in flight at replicas.
//! - [`lookup`]: addresses, readiness, metrics.
//! - [`maintenance`]: what it works out anew several times a second.
//! - [`quarantine`]: quarantine of requests that crash replicas.
//! - [`receive`]: datagrams that it receives.
//! - [`refusal`]: error responses of the entry itself.
//! - [`registration`]: how it makes itself known to later ones.
//! - [`relay`]: relaying of a replica's response to the caller.
//! - [`selection`]: selection of a replica, and waiting for capacity.
//! - [`staleness`]: what it knows of other entries' requests, and when callers come back.
//! - [`table_updates`]: what an entry learns from the platform's tables.

pub mod abort;
pub mod attempt;
pub mod connection;
pub mod forward;
pub mod gossip;
mod hedge;
pub mod in_flight;
pub mod lookup;
pub mod maintenance;
pub mod quarantine;
pub mod receive;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod selection;
pub mod staleness;
pub mod table_updates;

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
use gradeloft_http::server::Server;
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
    },
    request::{caller_age::TimeBudgets, shortage::Shortage},
    version::named_versions::NamedVersions,
};
use gradeloft_wire::{
    datagram::{Presence, Switched},
    frame::{Call, Table},
};
use slog::{info, warn};
use tokio::{net::TcpListener, sync::Notify};
use tokio_util::sync::CancellationToken;

use self::{attempt::FirstTokenForecast, quarantine::QuarantineState, staleness::Demands};
use crate::{
    logs::Topic,
    node::{MAX_FRAME, Node},
    pool::Pool,
    settings::Role,
    traffic::Purpose,
};

/// Longest wait of one read of a table for something new. Connections to the store may go silent for good,
/// which only the end of a wait shows, and what the operator writes is to be in force in two seconds: see
/// [`gradeloft_platform::fleet::OVERDUE`]. While nothing is written a reader makes 0.84 calls a second with
/// this wait, and 0.25 with one of 4 s (worked out); there are two readers in each region.
const WAIT_ORDERS: Duration = Duration::from_millis(1_300);
const WAIT_REPLICAS: Duration = Duration::from_secs(2);
const WAIT_ENTRIES: Duration = Duration::from_secs(8);
/// Pause between reads of a table: well below the bound on following it, two seconds, and long
/// enough to read several records at once, as each read is paid for.
const PAUSE_ORDERS: Duration = Duration::from_millis(50);
const PAUSE_REPLICAS: Duration = Duration::from_millis(150);
const PAUSE_ENTRIES: Duration = Duration::from_secs(1);
/// Time over which the demand is counted by which slots are split, in seconds. Entries work the split out
/// apart, and agree the better the less chance moves it: 200 requests a second vary by 4 % over this time.
const DEMAND_S: f64 = 3.0;
/// Part of a replica's connections that all entries together use.
const CONNECTIONS_USED: f64 = 0.85;
/// Pause between two looks whether an entry that leaves may end.
const LOOK: Duration = Duration::from_millis(50);
/// Bounds of the listener for peers.
const PEERS: peer_server::Limits = peer_server::Limits {
    frame_bytes: MAX_FRAME,
    streams: 64,
    connections: 512,
};

/// Oldest versions of weights on which a request may begin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OldestVersions {
    /// Where a replica with it has room; `None` for any.
    pub preferred: Option<u64>,
    /// At all; `None` for any.
    pub allowed: Option<u64>,
}

/// The process.
pub struct Entry {
    /// What it shares with agents.
    pub node: Rc<Node>,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Replicas.
    pub replicas: RefCell<Replicas>,
    /// Connections to replicas.
    pub pool: Pool,
    /// Notified when the process begins to leave.
    pub leave_started: Notify,
    /// Notified when a replica may have room for one more request.
    pub room_freed: Notify,
    roster: RefCell<Roster>,
    /// Versions of each model's weights that replicas are to serve.
    weights: RefCell<HashMap<String, NamedVersions>>,
    budgets: RefCell<HashMap<Rc<str>, Budget>>,
    patience: RefCell<TimeBudgets>,
    /// Requests that come for each service.
    demands: RefCell<HashMap<Rc<str>, Demands>>,
    /// Want of room, by service.
    shortages: RefCell<HashMap<Rc<str>, Shortage>>,
    /// Requests that come for services which run a model.
    model_demand: RefCell<RequestRate>,
    /// Requests of the other entries of this region at replicas.
    near_loads: RefCell<RemoteLoads<Ipv4Addr>>,
    /// Requests of other regions' entries at replicas, by region.
    far_loads: RefCell<RemoteLoads<String>>,
    /// Replicas near whose agents reported something new since the last message to other regions.
    changed_engines: RefCell<Vec<SocketAddr>>,
    /// What was sent to agents last: replicas that changed over, and how far the operator's table goes.
    sent_to_agents: RefCell<(Vec<Switched>, u64)>,
    /// When another entry sent it something first.
    contact: Cell<Option<Time>>,
    /// Whether it brought records of the operator's into its region that the other entries there don't know of yet.
    announces: Cell<bool>,
    /// Messages to other regions so far.
    sent_to_regions: Cell<usize>,
    /// Whether it left callers to others when it last looked.
    logged_aside: Cell<bool>,
    /// What signals to requests that the start of their replica is over, for replicas that got any.
    starts: RefCell<HashMap<ReplicaKey, CancellationToken>>,
    /// Requests under which replicas ended.
    quarantine: QuarantineState,
    /// Connections of callers.
    open_connections: Cell<usize>,
    /// Of these, those that have ended but for the callers' side.
    closing_connections: Cell<usize>,
    /// Set once it leaves.
    leave: Cell<Option<Drain>>,
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
            return Err(io::Error::other("the settings are not an entry's"));
        };
        let entry = Rc::new(Entry {
            pool: Pool::new(node.clock),
            node,
            config: RefCell::default(),
            replicas: RefCell::default(),
            leave_started: Notify::new(),
            room_freed: Notify::new(),
            roster: RefCell::default(),
            weights: RefCell::default(),
            budgets: RefCell::default(),
            patience: RefCell::default(),
            demands: RefCell::default(),
            shortages: RefCell::default(),
            model_demand: RefCell::new(RequestRate::with_window(DEMAND_S)),
            near_loads: RefCell::default(),
            far_loads: RefCell::default(),
            changed_engines: RefCell::default(),
            sent_to_agents: RefCell::default(),
            contact: Cell::default(),
            announces: Cell::default(),
            sent_to_regions: Cell::default(),
            logged_aside: Cell::default(),
            starts: RefCell::default(),
            quarantine: QuarantineState::default(),
            open_connections: Cell::default(),
            closing_connections: Cell::default(),
            leave: Cell::default(),
        });
        entry.meet_seeds();
        let observing = Rc::downgrade(&entry);
        entry.node.set_observer(Rc::new(move |table, records| {
            if let Some(entry) = observing.upgrade() {
                entry.changed(table, &records);
            }
        }));
        entry.node.set_election(Rc::new(Rc::downgrade(&entry)));
        let peers = peer_listener(&entry.node, Rc::new(Peers(Rc::clone(&entry.node)))).await?;
        let servers = lookup::start(&entry).await?;
        let listener = TcpListener::bind(frontend).await?;
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
            .spawn(follow(Table::Operator, WAIT_ORDERS, PAUSE_ORDERS));
        node.scope
            .spawn(follow(Table::Replicas, WAIT_REPLICAS, PAUSE_REPLICAS));
        node.scope
            .spawn(follow(Table::Entries, WAIT_ENTRIES, PAUSE_ENTRIES));
        node.scope.spawn(accept(Rc::clone(self), listener));
        node.scope.spawn(Rc::clone(self).gossip());
        node.scope.spawn(Rc::clone(self).listen());
        node.scope.spawn(Rc::clone(self).register());
    }

    /// Whether it takes callers.
    pub fn presence(&self) -> Presence {
        if self.node.leaving.get() {
            return Presence::Leaving;
        }
        let known = self.config.borrow().is_some() && !self.replicas.borrow().is_empty();
        if known && self.standing() != Freshness::Stale {
            Presence::Ready
        } else {
            Presence::Starting
        }
    }

    /// What it makes of the operator's records that peers have and it lacks.
    pub fn standing(&self) -> Freshness {
        // Keys may be gone and routes moved while it stood still; others know.
        if self.node.stale_after_stall() {
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

    /// Logs when it begins to leave callers to others, and when it takes them again.
    fn show_standing(&self) {
        let aside = self.standing() == Freshness::Stale;
        if self.logged_aside.replace(aside) == aside {
            return;
        }
        if let Some(log) = self.node.logs.line(Topic::State) {
            let behind = self.node.behind(Table::Operator);
            info!(log, "standing"; "aside" => aside, "config" => self.config_version(),
                "end" => self.node.end(Table::Operator),
                "behind_ms" => behind.map_or(-1, |it| it.as_millis() as i64));
        }
    }

    /// Addresses for a caller, the own one first while it takes any. Where the host is bound to some regions, entries of
    /// these and of the caller's region only, unless none of them is ready.
    pub fn addresses(&self, lookup: &Lookup) -> Vec<SocketAddr> {
        let homes = match self.config.borrow().as_ref() {
            Some(config) => config.allowed_regions_of_host(&lookup.host),
            None => AllowedRegions::default(),
        };
        let bound = self.ready_addresses(|region| {
            homes.allows(region) || lookup.region.as_deref() == Some(region)
        });
        match bound.is_empty() {
            true => self.ready_addresses(|_| true),
            false => bound,
        }
    }

    /// Addresses of entries that take callers, in regions that fit.
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
            .ready(settings.address, &settings.zone, fits, now);
        let takes = self.presence() == Presence::Ready && fits(&settings.zone);
        let own = takes.then_some(settings.address);
        let all = own.into_iter().chain(others);
        all.map(|it| SocketAddr::new(IpAddr::V4(it), frontend.port()))
            .collect()
    }

    /// Version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        let config = self.config.borrow();
        config.as_ref().map_or(0, |it| it.document.version)
    }

    /// Where a replica listens, and its id.
    pub fn replica_address(&self, key: ReplicaKey) -> Option<(SocketAddr, Rc<str>)> {
        let replicas = self.replicas.borrow();
        let listing = &replicas.get(key)?.listing;
        Some((listing.address, Rc::clone(&listing.id)))
    }

    /// Counts bytes that go to a replica or come from it.
    pub fn count_to_replica(&self, purpose: Purpose, key: ReplicaKey, bytes: usize) {
        let replicas = self.replicas.borrow();
        if let Some(replica) = replicas.get(key) {
            self.node.count_zone(purpose, &replica.listing.zone, bytes);
        }
    }

    /// Ids of replicas, for logs.
    pub fn replica_ids(&self, keys: &[ReplicaKey]) -> Vec<String> {
        let replicas = self.replicas.borrow();
        let name = |it: &ReplicaKey| replicas.get(*it).map(|it| it.listing.id.to_string());
        let keys = keys.iter();
        keys.map(|it| name(it).unwrap_or_else(|| "gone".to_owned()))
            .collect()
    }

    /// Version of the weights that a replica holds.
    pub fn version_of(&self, key: ReplicaKey) -> Option<u64> {
        let now = self.node.clock.now();
        let replicas = self.replicas.borrow();
        replicas.get(key).and_then(|it| it.version(now))
    }

    /// A replica sent something.
    pub fn note_activity(&self, key: ReplicaKey) {
        let now = self.node.clock.now();
        self.replicas.borrow_mut().received(key, now);
    }

    /// How long a caller that still has `left` has waited since it first asked.
    pub fn age(&self, route: &Rc<str>, left: Duration) -> Duration {
        let now = self.node.clock.now();
        self.patience.borrow_mut().age(route, left, now)
    }

    /// How fast the engines of a service work, if it runs a model.
    pub fn speed(&self, service: &str) -> Option<Speed> {
        self.config.borrow().as_ref()?.service(service)?.speed
    }

    /// A replica began an answer.
    pub fn record_answer_start(&self, key: ReplicaKey, expected: FirstTokenForecast) {
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
        let mut demands = self.demands.borrow_mut();
        let demand = demands.entry(Rc::clone(service)).or_default();
        demand.all.count(now);
        drop(demands);
        if self.speed(service).is_some() {
            self.model_demand.borrow_mut().count(now);
        }
    }

    /// Requests that come for services which run a model, a second.
    pub fn demand(&self) -> f64 {
        self.model_demand.borrow().rate(self.node.clock.now())
    }

    /// How well it knows which other entries there are.
    fn acquaintance(&self, now: Time) -> Discovery {
        let window_ms = self.node.settings().repeats.window_ms;
        if !self.node.loaded(Table::Entries) {
            Discovery::None
        } else if now < Time::ZERO.after_ms(window_ms) {
            Discovery::Listed
        } else {
            Discovery::Complete
        }
    }

    /// Takes a repeat out of a service's budget.
    pub fn take_repeat(&self, service: &Rc<str>) -> bool {
        let bounds = self.node.settings().repeats;
        let now = self.node.clock.now();
        let entries = self.roster.borrow().budget_sharers(self.acquaintance(now));
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Rc::clone(service)).or_default();
        let taken = budget.repeat(bounds, entries, now);
        if taken {
            self.node.metrics.repeats.inc();
        }
        taken
    }

    /// Connections that this entry may have to each replica of a service.
    pub fn max_connections_per_replica(&self, service: &str) -> usize {
        let config = self.config.borrow();
        let most = config
            .as_ref()
            .and_then(|it| it.service(service))
            .map_or(u32::MAX, |it| it.max_connections);
        let entries = self.roster.borrow().peak_size();
        (f64::from(most) * CONNECTIONS_USED / entries as f64).max(1.0) as usize
    }

    fn meet_seeds(&self) {
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
    let address = node.peer_address(node.settings().address);
    PeerServer::start(&address, PEERS, Rc::clone(&node.scope), handler).await
}

struct Peers(Rc<Node>);

impl PeerHandler for Peers {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let node = Rc::clone(&self.0);
        let scope = Rc::clone(&node.scope);
        // Calls that are for agents get no answer, by which the caller knows.
        scope.spawn(async move { node.answer(call, outgoing).await });
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
            // Out of file descriptors, most likely: let some go first.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        entry.open_connections.set(entry.open_connections.get() + 1);
        let serving = Rc::clone(&entry);
        entry.node.scope.spawn(async move {
            connection::serve(Rc::clone(&serving), stream).await;
            serving
                .open_connections
                .set(serving.open_connections.get() - 1);
        });
    }
}

impl Handle {
    /// Is named to callers no more, answers those that still come, and finishes what runs; gives how many
    /// connections were cut off.
    pub async fn leave(self) -> usize {
        let entry = &self.entry;
        let node = &entry.node;
        node.leaving.set(true);
        let leave = Drain::begin(node.clock.now(), node.settings().grace_ms);
        entry.leave.set(Some(leave));
        info!(node.logs.root, "leaving"; "open" => entry.open_connections.get());
        entry.leave_started.notify_waiters();
        while !leave.finished(entry.open_connections.get(), node.clock.now()) {
            actix_rt::time::sleep(LOOK).await;
        }
        let cut = entry.open_connections.get() - entry.closing_connections.get();
        info!(node.logs.root, "left"; "cut_off" => cut);
        node.scope.end();
        cut
    }

    /// The entry.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }
}
