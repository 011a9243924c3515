//! The entry: tells callers which address to use, takes their requests, admits, routes, relays.
//!
//! - [`addresses`]: the answer to "which address should I use".
//! - [`border`]: callers' requests as typed values, and error answers.
//! - [`dispatch`]: attempts at agents, until one answers.
//! - [`generate`]: streamed generate requests.
//! - [`limits`]: teams' rates, borrowed from and lent to other entries.
//! - [`service`]: calls to plain services.

pub mod addresses;
pub mod border;
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
    message::{Answer, Request},
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

use self::border::Failure;
use crate::{
    node::{Node, admin, calls, config, peers},
    transport::{self, server::Outgoing},
};

/// How often a drain looks whether requests are left.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// State of an entry, for the life of the process.
pub struct Entry {
    node: Rc<Node>,
    settings: settings::Entry,
    scheme: Scheme,
    /// Choices made so far by a baseline that counts them.
    turn: Cell<usize>,
    limits: RefCell<limits::Limits>,
    budget: RefCell<Budget>,
    /// For each model and adapter of the bundle.
    pinners: RefCell<HashMap<(String, Option<String>), VersionPinner>>,
    /// Callers' requests that are being answered.
    running: Cell<usize>,
    /// Where callers connect; set once it listens.
    public: Cell<Option<SocketAddr>>,
}

/// A running entry; dropping it ends it at once.
pub struct Handle {
    entry: Rc<Entry>,
    public: server::Server,
    admin: server::Server,
    peer: SocketAddr,
}

/// An entry about to start.
///
/// [`Builder::new`] takes what every entry needs; the rest has defaults.
pub struct Builder {
    node: Node,
    scheme: Scheme,
}

impl Builder {
    /// An entry on a node.
    pub fn new(node: Node) -> Builder {
        Builder {
            node,
            scheme: Scheme::default(),
        }
    }

    /// Chooses replicas in another way, to measure against it.
    pub fn scheme(mut self, scheme: Scheme) -> Builder {
        self.scheme = scheme;
        self
    }

    /// Starts the entry. It is ready once it knows a bundle.
    pub async fn start(self) -> std::io::Result<Handle> {
        let entry = Rc::new(self.entry());
        let node = &entry.node;
        let peer = listen_peers(&entry).await?;
        let report = Rc::clone(&entry) as Rc<dyn admin::Report>;
        let admin = admin::start(Rc::clone(node), report).await?;
        let public = listen_callers(&entry).await?;
        entry.public.set(Some(public.address()));
        config::start(node);
        peers::start(node);
        node.scope.spawn(apply(Rc::clone(&entry)));
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

    fn entry(self) -> Entry {
        let settings = self.node.settings.entry.clone().unwrap_or_default();
        Entry {
            budget: RefCell::new(Budget::new(settings.retry_percent)),
            settings,
            scheme: self.scheme,
            turn: Cell::default(),
            limits: RefCell::default(),
            pinners: RefCell::default(),
            running: Cell::default(),
            public: Cell::default(),
            node: Rc::new(self.node),
        }
    }
}

impl Handle {
    /// Where callers connect.
    pub fn public(&self) -> SocketAddr {
        self.public.address()
    }

    /// Where peers connect.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The admin port.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The node's shared state.
    pub fn node(&self) -> &Rc<Node> {
        &self.entry.node
    }

    /// Shuts down: callers are told of other addresses, and what they still send here until they
    /// ask again is answered if it is sure to be whole by the end; then the listener closes and the last requests end. Gives how many
    /// were cut off, because the bound passed or `forced` fired.
    pub async fn drain(&self, mut forced: watch::Receiver<bool>) -> usize {
        let node = &self.entry.node;
        node.leave();
        info!(node.log, "leaving"; "running" => self.entry.running.get());
        let bound = Duration::from_millis(node.limits.drain_ms);
        node.ends.set(Some(node.clock.now().after(bound)));
        let ended = async {
            let ttl = Duration::from_secs(self.entry.settings.address_ttl_s);
            actix_rt::time::sleep(ttl + peers::HEARTBEAT).await;
            self.public.close();
            while 0 < self.entry.running.get() {
                actix_rt::time::sleep(DRAIN_STEP).await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = actix_rt::time::sleep(bound) => {}
            _ = forced.wait_for(|it| *it) => {}
        }
        let cut = self.entry.running.get();
        info!(node.log, "left"; "cut_off" => cut);
        cut
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.entry.node.scope.end();
    }
}

impl admin::Report for Entry {
    fn ready(&self) -> Result<(), &'static str> {
        if self.node.leaving() {
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

async fn listen_callers(entry: &Rc<Entry>) -> std::io::Result<server::Server> {
    let node = &entry.node;
    let address = node.settings.listen.public.clone().unwrap_or_default();
    let limits = server::Limits {
        header_bytes: node.limits.header_bytes as usize,
        body_bytes: node.limits.body_bytes as usize,
        connections: node.limits.connections as usize,
        idle: node.idle_timeout(),
    };
    let entry = Rc::clone(entry);
    let handler: Handler = Rc::new(move |request| answer(Rc::clone(&entry), request).boxed_local());
    server::Server::start(&address, limits, handler).await
}

async fn answer(entry: Rc<Entry>, request: Request) -> Answer {
    let id = border::request_id(&entry.node, &request);
    let _running = Running::new(&entry);
    let result = route(&entry, request, &id).await;
    result.unwrap_or_else(|failure| border::refuse(&entry, &failure, &id))
}

async fn route(entry: &Rc<Entry>, request: Request, id: &str) -> Result<Answer, Failure> {
    let path = request.path.clone();
    let segments: Vec<&str> = path.split('/').filter(|it| !it.is_empty()).collect();
    match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "addresses"]) => addresses::answer(entry, &request),
        ("POST", ["v1", "teams", team, "models", model, "generate"]) => {
            generate::answer(entry, &request, id, team, model).await
        }
        (_, ["v1", "teams", team, "services", service, rest @ ..]) => {
            service::answer(entry, &request, id, team, service, rest).await
        }
        _ => Err(Failure::because(Kind::NotFound, "no such route")),
    }
}

/// Counts a caller's request as running until it is dropped.
struct Running(Rc<Entry>);

impl Running {
    fn new(entry: &Rc<Entry>) -> Running {
        entry.running.set(entry.running.get() + 1);
        Running(Rc::clone(entry))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

struct PeerCalls(Rc<Entry>);

impl transport::server::Handler for PeerCalls {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let entry = Rc::clone(&self.0);
        let scope = Rc::clone(&entry.node.scope);
        scope.spawn(async move {
            match call {
                Call::Borrow { node, asks } => {
                    let lent = entry.lend(&node, &asks);
                    outgoing.finish(&lent).await;
                }
                other => calls::answer(Rc::clone(&entry.node), other, outgoing).await,
            }
        });
    }

    fn malformed(&self) {
        self.0.node.metrics.malformed.inc();
    }
}

async fn listen_peers(entry: &Rc<Entry>) -> std::io::Result<SocketAddr> {
    let handler = Rc::new(PeerCalls(Rc::clone(entry)));
    calls::listen(&entry.node, handler).await
}

/// Takes over each bundle: rates, shares and versions.
async fn apply(entry: Rc<Entry>) {
    let mut bundle = entry.node.bundle.subscribe();
    let mut members = entry.node.membership_changes.subscribe();
    loop {
        entry.configure();
        tokio::select! {
            it = bundle.changed() => if it.is_err() { return },
            it = members.changed() => if it.is_err() { return },
        }
        bundle.borrow_and_update();
        members.borrow_and_update();
    }
}

impl Entry {
    fn configure(&self) {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return;
        };
        let rate = |requests: u64, tokens: u64| Rate {
            requests: requests as f64,
            tokens: tokens as f64,
        };
        let teams = head.bundle.teams.iter();
        let rates: Vec<(String, Rate)> = teams
            .map(|it| (it.name.clone(), rate(it.requests_per_s, it.tokens_per_s)))
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
