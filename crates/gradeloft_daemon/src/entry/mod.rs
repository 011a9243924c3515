//! The entry: responds to address queries, and admits, routes and relays callers' requests.
//!
//! - [`addresses`]: responses to address queries.
//! - [`api`]: parsing of callers' requests, and error responses.
//! - [`dispatch`]: attempts at agents until one responds.
//! - [`generate`]: streamed generate requests.
//! - [`limits`]: rate limits of teams, shared with other entries through leases.
//! - [`service`]: calls to services.

pub mod addresses;
pub mod api;
pub mod dispatch;
pub mod generate;
pub mod limits;
pub mod service;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::FutureExt;
use gradeloft_http::{
    intake::Refusal,
    message::{HttpResponse, Request},
    server::{self, Handler},
};
use gradeloft_policy::{
    request::{admission::Rate, retry::Budget, route::Scheme},
    version::{bundle, rollout::VersionPinner},
};
use gradeloft_wire::{
    border::{caller::VersionStatus, settings},
    error::Kind,
    frame::Call,
};
use slog::info;
use tokio::sync::watch;

use self::api::Failure;
use crate::{
    node::{Node, admin, calls, config, peers, shares},
    transport::{self, server::Outgoing},
};

/// Interval at which a drain checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of an entry.
pub struct Entry {
    node: Rc<Node>,
    settings: settings::Entry,
    scheme: Scheme,
    /// Number of replicas selected by baseline schemes, for round robin.
    baseline_turn: Cell<usize>,
    limits: RefCell<limits::Limits>,
    retry_budget: RefCell<Budget>,
    /// Version pinners by model and adapter, for those in the bundle.
    pinners: RefCell<HashMap<(String, Option<String>), VersionPinner>>,
    /// Number of callers' requests in flight.
    in_flight: Cell<usize>,
    /// Address of the public listener; set once it listens.
    public: Cell<Option<SocketAddr>>,
}

/// A running entry. Dropping it ends all of its tasks at once.
pub struct Handle {
    entry: Rc<Entry>,
    public: server::Server,
    admin: server::Server,
    peer: SocketAddr,
}

/// Configures and starts an entry.
pub struct Builder {
    node: Node,
    scheme: Scheme,
}

impl Builder {
    /// Creates a builder with the default routing scheme.
    pub fn new(node: Node) -> Builder {
        Builder {
            node,
            scheme: Scheme::default(),
        }
    }

    /// Sets the routing scheme, to compare it with the default.
    pub fn scheme(mut self, scheme: Scheme) -> Builder {
        self.scheme = scheme;
        self
    }

    /// Starts the entry. It becomes ready once it has accepted a bundle.
    pub async fn start(self) -> std::io::Result<Handle> {
        let entry = Rc::new(self.build());
        let node = &entry.node;
        let peer = listen_peers(&entry).await?;
        let report = Rc::clone(&entry) as Rc<dyn admin::Report>;
        let admin = admin::start(Rc::clone(node), report).await?;
        let public = listen_public(&entry).await?;
        entry.public.set(Some(public.address()));
        config::start(node);
        peers::start(node);
        node.scope.spawn(follow_bundles(Rc::clone(&entry)));
        node.scope.spawn(limits::run(Rc::clone(&entry)));
        info!(node.log, "entry started"; "public" => %public.address(), "peer" => %peer,
            "admin" => %admin.address());
        Ok(Handle {
            entry,
            public,
            admin,
            peer,
        })
    }

    fn build(self) -> Entry {
        let settings = self.node.settings.entry.clone().unwrap_or_default();
        Entry {
            retry_budget: RefCell::new(Budget::new(settings.retry_percent)),
            settings,
            scheme: self.scheme,
            baseline_turn: Cell::default(),
            limits: RefCell::default(),
            pinners: RefCell::default(),
            in_flight: Cell::default(),
            public: Cell::default(),
            node: Rc::new(self.node),
        }
    }
}

impl Handle {
    /// Returns the address of the listener for callers.
    pub fn public(&self) -> SocketAddr {
        self.public.address()
    }

    /// Returns the address of the listener for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address of the admin listener.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the state that entries and agents have in common.
    pub fn node(&self) -> &Rc<Node> {
        &self.entry.node
    }

    /// Shuts down gracefully. Address queries return other entries only. Until callers have queried
    /// again, requests are accepted if their deadline is before the end of the drain. Then the
    /// listener closes and the requests in flight finish. Returns the number of requests cut off
    /// because the drain timeout passed or `forced` became true.
    pub async fn drain(&self, mut forced: watch::Receiver<bool>) -> usize {
        let node = &self.entry.node;
        node.start_drain();
        info!(node.log, "leaving"; "running" => self.entry.in_flight.get());
        let drain_timeout = Duration::from_millis(node.limits.drain_ms);
        node.shutdown_deadline
            .set(Some(node.clock.now().after(drain_timeout)));
        let drained = async {
            let ttl = Duration::from_secs(self.entry.settings.address_ttl_s);
            actix_rt::time::sleep(ttl + peers::HEARTBEAT_INTERVAL).await;
            self.public.close();
            while 0 < self.entry.in_flight.get() {
                actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = drained => {}
            () = actix_rt::time::sleep(drain_timeout) => {}
            _ = forced.wait_for(|it| *it) => {}
        }
        let cut_count = self.entry.in_flight.get();
        info!(node.log, "left"; "cut_off" => cut_count);
        cut_count
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.entry.node.scope.end();
    }
}

impl admin::Report for Entry {
    fn ready(&self) -> Result<(), &'static str> {
        if self.node.is_draining() {
            return Err("leaving");
        }
        match self.node.chain.borrow().head() {
            Some(_) => Ok(()),
            None => Err("no bundle yet"),
        }
    }

    fn versions(&self) -> Vec<VersionStatus> {
        Vec::new()
    }

    fn epoch(&self) -> u64 {
        0
    }
}

async fn listen_public(entry: &Rc<Entry>) -> std::io::Result<server::Server> {
    let node = &entry.node;
    let address = node.settings.listen.public.clone().unwrap_or_default();
    let share = shares::public(&node.settings);
    let body_bytes = node.limits.body_bytes as usize;
    let limits = server::Limits {
        header_bytes: node.limits.header_bytes as usize,
        body_bytes,
        connections: share.connections(server::CONNECTION_BYTES),
        idle: node.idle_timeout(),
        shared_bytes: share.shared_bytes(body_bytes * server::BODY_COPIES),
    };
    let observer = node.refusal_observer("public");
    let entry = Rc::clone(entry);
    let handler: Handler = Rc::new(move |request| handle(Rc::clone(&entry), request).boxed_local());
    server::Server::start_observed(&address, limits, handler, observer).await
}

async fn handle(entry: Rc<Entry>, request: Request) -> HttpResponse {
    let id = api::request_id(&entry.node, &request);
    let _guard = InFlightGuard::new(&entry);
    let result = route(&entry, request, &id).await;
    result.unwrap_or_else(|failure| api::error_response(&entry, &failure, &id))
}

async fn route(entry: &Rc<Entry>, request: Request, id: &str) -> Result<HttpResponse, Failure> {
    let path = request.path.clone();
    let segments: Vec<&str> = path.split('/').filter(|it| !it.is_empty()).collect();
    match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "addresses"]) => addresses::respond(entry, &request),
        ("POST", ["v1", "teams", team, "models", model, "generate"]) => {
            generate::respond(entry, &request, id, team, model).await
        }
        (_, ["v1", "teams", team, "services", service, rest @ ..]) => {
            service::respond(entry, &request, id, team, service, rest).await
        }
        _ => Err(Failure::with_detail(Kind::NotFound, "no such route")),
    }
}

/// Counts a caller's request as in flight until dropped.
struct InFlightGuard(Rc<Entry>);

impl InFlightGuard {
    fn new(entry: &Rc<Entry>) -> InFlightGuard {
        entry.in_flight.set(entry.in_flight.get() + 1);
        InFlightGuard(Rc::clone(entry))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

struct PeerHandler(Rc<Entry>);

impl transport::server::Handler for PeerHandler {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let entry = Rc::clone(&self.0);
        let scope = Rc::clone(&entry.node.scope);
        scope.spawn(async move {
            match call {
                Call::Lease { node, requests } => {
                    let granted = entry.grant(&node, &requests);
                    outgoing.finish(&granted).await;
                }
                other => calls::serve(Rc::clone(&entry.node), other, outgoing).await,
            }
        });
    }

    fn malformed(&self) {
        self.0.node.metrics.malformed.inc();
    }

    fn refused(&self, refusal: Refusal) {
        self.0.node.record_refusal("peers", refusal);
    }
}

async fn listen_peers(entry: &Rc<Entry>) -> std::io::Result<SocketAddr> {
    let handler = Rc::new(PeerHandler(Rc::clone(entry)));
    calls::listen(&entry.node, handler).await
}

/// Applies rate limits and version pins whenever the bundle or the membership changes.
async fn follow_bundles(entry: Rc<Entry>) {
    let mut bundle = entry.node.bundle_number.subscribe();
    let mut membership = entry.node.membership_changes.subscribe();
    loop {
        entry.configure();
        tokio::select! {
            it = bundle.changed() => if it.is_err() { return },
            it = membership.changed() => if it.is_err() { return },
        }
        bundle.borrow_and_update();
        membership.borrow_and_update();
    }
}

impl Entry {
    fn configure(&self) {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return;
        };
        let to_rate = |requests: u64, tokens: u64| Rate {
            requests: requests as f64,
            tokens: tokens as f64,
        };
        let teams = head.bundle.teams.iter();
        let rates: Vec<(String, Rate)> = teams
            .map(|it| (it.name.clone(), to_rate(it.requests_per_s, it.tokens_per_s)))
            .collect();
        let now = self.node.clock.now();
        self.limits
            .borrow_mut()
            .configure(&rates, self.listed_entries(), now);
        let mut pinners = self.pinners.borrow_mut();
        let wanted: Vec<_> = bundle::weights(&head.bundle)
            .into_iter()
            .map(|it| ((it.pin.model, it.pin.adapter), it.pin.version))
            .collect();
        pinners.retain(|key, _| wanted.iter().any(|(it, _)| it == key));
        for (key, version) in wanted {
            pinners.entry(key).or_default().retarget(&version);
        }
    }
}
