//! The agent: the process beside an endpoint, and the only one that connects to it.
//!
//! - [`chunks`]: in-memory store of chunks for peers and the engine.
//! - [`claims`]: claims in the log for calls that run at most once.
//! - [`deploy`]: reconciliation of the engine with the bundle.
//! - [`fetch`]: fetch of a version's chunks.
//! - [`generate`]: generate requests to the engine.
//! - [`read`]: reads of content from peers, the weight store and the origin.
//! - `rest`: pauses that the endpoint asks for.
//! - [`service`]: calls to a service.
//! - [`share`]: uploads of chunks to peers.
//! - [`turn`]: turns to switch versions, requested in the log.
//! - [`work`]: admission and dispatch of requests.

pub mod chunks;
pub mod claims;
pub mod deploy;
pub mod fetch;
pub mod generate;
pub mod read;
mod rest;
pub mod service;
pub mod share;
pub mod turn;
pub mod work;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use gradeloft_http::{intake::Refusal, server};
use gradeloft_platform::endpoint::{Engine, HttpEngine, HttpService, Service};
use gradeloft_policy::{
    connection::pace::Pacer,
    process::backpressure::Rest,
    rendezvous,
    version::{
        fetch::{Fetch, Scheme},
        upload::UploadSlots,
    },
};
use gradeloft_wire::{
    border::{
        caller::VersionStatus,
        settings::{self, EndpointKind},
    },
    frame::{Call, Pin},
    id::Digest,
    record::{EPOCHS, Record},
};
use slog::{info, warn};
use tokio::sync::{oneshot, watch};

use self::{chunks::Chunks, claims::Claims};
use crate::{
    node::{Node, admin, calls, config, peers},
    transport::{self, server::Outgoing},
};

/// Time limit for an endpoint to begin a response.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a drain checks for running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a drain allows for its notice to reach the entries.
const DRAIN_NOTICE: Duration = Duration::from_millis(200);
/// Delay before an epoch is requested again after a failure of the log.
const EPOCH_RETRY: Duration = Duration::from_millis(500);

/// The endpoint beside the agent.
#[derive(Clone)]
pub enum Endpoint {
    /// A model engine.
    Engine(Rc<dyn Engine>),
    /// A service other than a model engine.
    Service {
        /// Name of the service in bundles.
        name: String,
        /// Client of the service.
        service: Rc<dyn Service>,
    },
}

impl Endpoint {
    /// Creates an HTTP client for the endpoint at the URL of the settings.
    pub fn http(settings: &settings::Endpoint) -> Endpoint {
        match settings.kind {
            EndpointKind::Engine => {
                Endpoint::Engine(Rc::new(HttpEngine::new(&settings.url, ENDPOINT_TIMEOUT)))
            }
            EndpointKind::Service => Endpoint::Service {
                name: settings.service.clone().unwrap_or_default(),
                service: Rc::new(HttpService::new(&settings.url, ENDPOINT_TIMEOUT)),
            },
        }
    }
}

/// State of an agent.
pub struct Agent {
    node: Rc<Node>,
    settings: settings::Agent,
    /// Hash of the instance's name.
    own_hash: u64,
    scheme: Scheme,
    endpoint: Endpoint,
    /// Epoch from the log, or 0 before it is known. Orders carry it, so that the engine refuses
    /// orders of earlier processes of this agent.
    epoch: Cell<u64>,
    /// Number of requests running at the endpoint.
    running: Cell<u32>,
    /// Number of requests running at the endpoint, by the weights that they are pinned to.
    running_by_pin: RefCell<HashMap<Pin, u32>>,
    /// Pause that the endpoint asked for.
    rest: RefCell<Rest>,
    /// Number of running requests in the latest report to watchers.
    reported_running: Cell<u32>,
    chunks: RefCell<Chunks>,
    /// Number of chunks that have arrived; a change wakes the tasks that notify followers.
    arrivals: watch::Sender<u64>,
    uploads: RefCell<UploadSlots<oneshot::Sender<()>>>,
    /// The fetch in progress.
    fetching: RefCell<Option<Rc<RefCell<Fetch>>>>,
    /// Rate limiter for weights sent to peers.
    upload_pacer: RefCell<Pacer>,
    /// Rate limiter for weights received.
    download_pacer: RefCell<Pacer>,
    claims: Claims,
    versions: RefCell<Vec<VersionStatus>>,
    /// Manifest of each version that a bundle named since the process started.
    known_manifests: RefCell<HashMap<Pin, Digest>>,
}

/// A running agent. Dropping it ends the agent at once.
pub struct Handle {
    agent: Rc<Agent>,
    admin: server::Server,
    peer: SocketAddr,
}

/// Configuration of an agent that has not started.
pub struct Builder {
    node: Node,
    settings: settings::Agent,
    endpoint: Endpoint,
    scheme: Scheme,
}

impl Builder {
    /// Configures an agent for an endpoint, with the default scheme.
    pub fn new(node: Node, settings: settings::Agent, endpoint: Endpoint) -> Builder {
        Builder {
            node,
            settings,
            endpoint,
            scheme: Scheme::default(),
        }
    }

    /// Replaces the default scheme of chunk distribution; benchmarks compare schemes this way.
    pub fn scheme(mut self, scheme: Scheme) -> Builder {
        self.scheme = scheme;
        self
    }

    /// Starts the agent. It becomes ready once its endpoint serves a version or a service.
    pub async fn start(self) -> std::io::Result<Handle> {
        let agent = Rc::new(self.agent());
        let node = &agent.node;
        node.notice
            .send_modify(|it| it.capacity = agent.settings.running as u32);
        let peer = calls::listen(node, Rc::new(PeerCalls(Rc::clone(&agent)))).await?;
        let report = Rc::clone(&agent) as Rc<dyn admin::Report>;
        let admin = admin::start(Rc::clone(node), report).await?;
        config::start(node);
        peers::start(node);
        start_endpoint(&agent);
        info!(node.log, "agent started"; "peer" => %peer, "admin" => %admin.address());
        Ok(Handle { agent, admin, peer })
    }

    fn agent(self) -> Agent {
        let Builder {
            node,
            settings,
            endpoint,
            scheme,
        } = self;
        Agent {
            own_hash: rendezvous::hash(node.settings.node.id.as_bytes()),
            scheme,
            endpoint,
            epoch: Cell::default(),
            running: Cell::default(),
            running_by_pin: RefCell::default(),
            rest: RefCell::default(),
            reported_running: Cell::default(),
            chunks: RefCell::new(Chunks::new(settings.chunk_memory_bytes)),
            arrivals: watch::Sender::new(0),
            uploads: RefCell::new(UploadSlots::new(settings.upload_slots as usize)),
            fetching: RefCell::default(),
            upload_pacer: RefCell::new(Pacer::new(settings.link_bytes_per_s)),
            download_pacer: RefCell::new(Pacer::new(settings.link_bytes_per_s)),
            claims: Claims::default(),
            versions: RefCell::default(),
            known_manifests: RefCell::default(),
            settings,
            node: Rc::new(node),
        }
    }
}

fn start_endpoint(agent: &Rc<Agent>) {
    let scope = &agent.node.scope;
    match agent.endpoint.clone() {
        Endpoint::Engine(engine) => {
            scope.spawn(obtain_epoch(Rc::clone(agent)));
            scope.spawn(deploy::run(Rc::clone(agent), engine));
        }
        Endpoint::Service { name, service } => {
            scope.spawn(claims::run(Rc::clone(agent), name.clone()));
            scope.spawn(service::probe(Rc::clone(agent), name, service));
        }
    }
}

/// Obtains an epoch by appending a record to the log, with retries until the log accepts it.
async fn obtain_epoch(agent: Rc<Agent>) {
    let node = &agent.node;
    let nonce = node.with_rng(rand::Rng::random);
    let record = Record::Epoch {
        node: node.settings.node.id.clone(),
        nonce,
    }
    .encode();
    loop {
        // An append whose reply is lost needs no read-back, since the next offset is higher.
        match node
            .platform
            .log
            .append(EPOCHS, std::slice::from_ref(&record))
            .await
        {
            Ok(offset) => {
                agent.epoch.set(offset + 1);
                info!(node.log, "epoch obtained"; "epoch" => offset + 1);
                return;
            }
            Err(fault) => {
                node.count_platform_failure("log");
                warn!(node.log, "no epoch from the log; retrying"; "why" => %fault);
                actix_rt::time::sleep(EPOCH_RETRY).await;
            }
        }
    }
}

impl Handle {
    /// Returns the address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address of the admin port.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the state of the node.
    pub fn node(&self) -> &Rc<Node> {
        &self.agent.node
    }

    /// Returns the status of each version that the bundle assigns to the replica.
    pub fn versions(&self) -> Vec<VersionStatus> {
        self.agent.versions.borrow().clone()
    }

    /// Drains the agent: notifies the entries, refuses new requests and waits for running ones.
    /// The wait ends early at the drain limit of the settings, or when `forced` becomes true.
    /// Returns the number of requests that are still running then.
    pub async fn drain(&self, mut forced: watch::Receiver<bool>) -> u32 {
        let agent = &self.agent;
        agent.node.start_drain();
        info!(agent.node.log, "leaving"; "running" => agent.running.get());
        let limit = Duration::from_millis(agent.node.limits.drain_ms);
        let ended = async {
            actix_rt::time::sleep(DRAIN_NOTICE).await;
            while 0 < agent.running.get() {
                actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = actix_rt::time::sleep(limit) => {}
            _ = forced.wait_for(|it| *it) => {}
        }
        let cut = agent.running.get();
        info!(agent.node.log, "left"; "cut_off" => cut);
        cut
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.agent.node.scope.end();
    }
}

impl admin::Report for Agent {
    fn ready(&self) -> Result<(), &'static str> {
        let notice = self.node.notice.borrow();
        if notice.leaving {
            return Err("leaving");
        }
        if notice.serving.is_empty() && notice.service.is_none() {
            return Err("the endpoint serves nothing yet");
        }
        Ok(())
    }

    fn versions(&self) -> Vec<VersionStatus> {
        self.versions.borrow().clone()
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }
}

struct PeerCalls(Rc<Agent>);

impl transport::server::Handler for PeerCalls {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let agent = Rc::clone(&self.0);
        let scope = Rc::clone(&agent.node.scope);
        scope.spawn(async move {
            match call {
                Call::Work(work) => work::handle(agent, work, outgoing).await,
                Call::Chunk { digest } => share::send_chunk(agent, digest, outgoing).await,
                Call::Follow { manifest } => share::send_holdings(agent, manifest, outgoing).await,
                other => calls::serve(Rc::clone(&agent.node), other, outgoing).await,
            }
        });
    }

    fn refused(&self, refusal: Refusal) {
        self.0.node.record_refusal("peers", refusal);
    }

    fn malformed(&self) {
        self.0.node.metrics.malformed.inc();
    }
}
