//! The process that callers talk to.
//!
//! - [`answer`]: answers that an entry gives by itself.
//! - [`attempt`]: one request sent to one replica.
//! - [`choice`]: which replica gets a request, and how it waits where none has room.
//! - `course`: an attempt, and another beside it while its replica is silent.
//! - [`ending`]: what ended a request that got no whole answer.
//! - [`forward`]: one request, from its route to its end.
//! - [`front`]: connections of callers.
//! - [`gossip`]: datagrams that it sends, and how often.
//! - [`learn`]: what an entry learns from the platform's tables.
//! - [`lookup`]: addresses, readiness, metrics.
//! - [`quarantine`]: requests under which replicas ended.
//! - [`receive`]: datagrams that it receives.
//! - [`register`]: how it makes itself known to later ones.
//! - [`relay`]: a replica's answer on its way to the caller.
//! - [`running`]: requests that run at replicas.
//! - [`upkeep`]: what it works out anew several times a second.
//! - [`view`]: what it knows of other entries' requests, and when callers come back.

pub mod answer;
pub mod attempt;
pub mod choice;
mod course;
pub mod ending;
pub mod forward;
pub mod front;
pub mod gossip;
pub mod learn;
pub mod lookup;
pub mod quarantine;
pub mod receive;
pub mod register;
pub mod relay;
pub mod running;
pub mod upkeep;
pub mod view;

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
        document::{Config, Speed},
        elsewhere::Elsewhere,
        homes::Homes,
        leave::Leave,
        repeats::Budget,
        replicas::{ReplicaKey, Replicas},
        roster::{Acquaintance, Roster},
        split::Demand,
        standing::Standing,
    },
    request::{caller_age::TimeBudgets, shortage::Shortage},
    version::named::Named,
};
use gradeloft_wire::{
    datagram::{Presence, Switched},
    frame::{Call, Table},
};
use slog::{info, warn};
use tokio::{net::TcpListener, sync::Notify};
use tokio_util::sync::CancellationToken;

use self::{attempt::Expected, quarantine::Suspicion, view::Demands};
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
pub struct Oldest {
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
    pub left: Notify,
    /// Notified when a replica may have room for one more request.
    pub room: Notify,
    roster: RefCell<Roster>,
    /// Versions of each model's weights that replicas are to serve.
    weights: RefCell<HashMap<String, Named>>,
    budgets: RefCell<HashMap<Rc<str>, Budget>>,
    patience: RefCell<TimeBudgets>,
    /// Requests that come for each service.
    demands: RefCell<HashMap<Rc<str>, Demands>>,
    /// Want of room, by service.
    shortages: RefCell<HashMap<Rc<str>, Shortage>>,
    /// Requests that come for services which run a model.
    model_demand: RefCell<Demand>,
    /// Requests of the other entries of this region at replicas.
    near_loads: RefCell<Elsewhere<Ipv4Addr>>,
    /// Requests of other regions' entries at replicas, by region.
    far_loads: RefCell<Elsewhere<String>>,
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
    suspicion: Suspicion,
    /// Connections of callers.
    open: Cell<usize>,
    /// Of these, those that have ended but for the callers' side.
    closing: Cell<usize>,
    /// Set once it leaves.
    leave: Cell<Option<Leave>>,
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
            left: Notify::new(),
            room: Notify::new(),
            roster: RefCell::default(),
            weights: RefCell::default(),
            budgets: RefCell::default(),
            patience: RefCell::default(),
            demands: RefCell::default(),
            shortages: RefCell::default(),
            model_demand: RefCell::new(Demand::over(DEMAND_S)),
            near_loads: RefCell::default(),
            far_loads: RefCell::default(),
            changed_engines: RefCell::default(),
            sent_to_agents: RefCell::default(),
            contact: Cell::default(),
            announces: Cell::default(),
            sent_to_regions: Cell::default(),
            logged_aside: Cell::default(),
            starts: RefCell::default(),
            suspicion: Suspicion::default(),
            open: Cell::default(),
            closing: Cell::default(),
            leave: Cell::default(),
        });
        entry.meet_seeds();
        let observing = Rc::downgrade(&entry);
        entry.node.observe(Rc::new(move |table, records| {
            if let Some(entry) = observing.upgrade() {
                entry.changed(table, &records);
            }
        }));
        entry.node.elect(Rc::new(Rc::downgrade(&entry)));
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
        node.scope.spawn(Rc::clone(node).tick());
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
        if known && self.standing() != Standing::Aside {
            Presence::Ready
        } else {
            Presence::Starting
        }
    }

    /// What it makes of the operator's records that peers have and it lacks.
    pub fn standing(&self) -> Standing {
        // Keys may be gone and routes moved while it stood still; others know.
        if self.node.unaware() {
            return Standing::Aside;
        }
        let table = Table::Operator;
        let beyond = || {
            let now = self.node.clock.now();
            self.roster.borrow().most_beyond(self.node.end(table), now)
        };
        let apply = Duration::from_millis(self.node.settings().apply_ms);
        Standing::of(self.node.behind(table), apply, beyond)
    }

    /// Logs when it begins to leave callers to others, and when it takes them again.
    fn show_standing(&self) {
        let aside = self.standing() == Standing::Aside;
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
            Some(config) => config.homes_of_host(&lookup.host),
            None => Homes::default(),
        };
        let bound = self.ready_addresses(|region| {
            homes.allow(region) || lookup.region.as_deref() == Some(region)
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
    pub fn names(&self, keys: &[ReplicaKey]) -> Vec<String> {
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
        self.replicas.borrow_mut().heard(key, now);
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
    pub fn began(&self, key: ReplicaKey, expected: Expected) {
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
    fn acquaintance(&self, now: Time) -> Acquaintance {
        let window_ms = self.node.settings().repeats.window_ms;
        if !self.node.loaded(Table::Entries) {
            Acquaintance::None
        } else if now < Time::ZERO.after_ms(window_ms) {
            Acquaintance::Listed
        } else {
            Acquaintance::Met
        }
    }

    /// Takes a repeat out of a service's budget.
    pub fn take_repeat(&self, service: &Rc<str>) -> bool {
        let bounds = self.node.settings().repeats;
        let now = self.node.clock.now();
        let entries = self.roster.borrow().sharers(self.acquaintance(now));
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Rc::clone(service)).or_default();
        let taken = budget.repeat(bounds, entries, now);
        if taken {
            self.node.metrics.repeats.inc();
        }
        taken
    }

    /// Connections that this entry may have to each replica of a service.
    pub fn connections_each(&self, service: &str) -> usize {
        let config = self.config.borrow();
        let most = config
            .as_ref()
            .and_then(|it| it.service(service))
            .map_or(u32::MAX, |it| it.max_connections);
        let entries = self.roster.borrow().most();
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
        entry.open.set(entry.open.get() + 1);
        let serving = Rc::clone(&entry);
        entry.node.scope.spawn(async move {
            front::serve(Rc::clone(&serving), stream).await;
            serving.open.set(serving.open.get() - 1);
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
        let leave = Leave::begin(node.clock.now(), node.settings().grace_ms);
        entry.leave.set(Some(leave));
        info!(node.logs.root, "leaving"; "open" => entry.open.get());
        entry.left.notify_waiters();
        while !leave.over(entry.open.get(), node.clock.now()) {
            actix_rt::time::sleep(LOOK).await;
        }
        let cut = entry.open.get() - entry.closing.get();
        info!(node.logs.root, "left"; "cut_off" => cut);
        node.scope.end();
        cut
    }

    /// The entry.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }
}
