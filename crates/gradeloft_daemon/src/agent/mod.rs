//! The agent: the one process beside an endpoint, and the only one that talks to it.
//!
//! - [`chunks`]: content held for peers and for the engine.
//! - [`claims`]: calls that run at most once, claimed on the log.
//! - [`deploy`]: brings the endpoint to what the bundle wants of it.
//! - [`fetch`]: gets a version's chunks.
//! - [`generate`]: generate requests at the engine.
//! - [`read`]: reads of content, from wherever it is.
//! - [`service`]: calls at a plain service.
//! - [`share`]: gives chunks to peers.
//! - [`turn`]: turns to switch versions.
//! - [`work`]: takes or refuses work.

pub mod chunks;
pub mod claims;
pub mod deploy;
pub mod fetch;
pub mod generate;
pub mod read;
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

use gradeloft_http::server;
use gradeloft_platform::endpoint::{Engine, HttpEngine, HttpService, Service};
use gradeloft_policy::{
    connection::pace::Pacer,
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

/// Time for an endpoint to begin an answer.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a drain looks whether requests are left.
const DRAIN_STEP: Duration = Duration::from_millis(10);
/// Time for the entries to hear that the agent leaves, before it may be gone.
const DRAIN_NOTICE: Duration = Duration::from_millis(200);
/// Pause after the log refused an epoch.
const EPOCH_RETRY: Duration = Duration::from_millis(500);

/// The endpoint beside the agent.
#[derive(Clone)]
pub enum Endpoint {
    /// A model engine.
    Engine(Rc<dyn Engine>),
    /// A plain service.
    Service {
        /// Its name in bundles.
        name: String,
        /// The service.
        service: Rc<dyn Service>,
    },
}

impl Endpoint {
    /// The endpoint over HTTP, at the address of the settings.
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

/// State of an agent, for the life of the process.
pub struct Agent {
    node: Rc<Node>,
    settings: settings::Agent,
    /// Hash of the instance's name.
    own: u64,
    scheme: Scheme,
    endpoint: Endpoint,
    /// From the log; 0 until it is known. Orders carry it, so that those of an earlier process
    /// of this agent lose.
    epoch: Cell<u64>,
    /// Requests running at the endpoint.
    running: Cell<u32>,
    /// Of those, by the weights that they are pinned to.
    running_on: RefCell<HashMap<Pin, u32>>,
    /// Requests running when watchers were last told.
    told_running: Cell<u32>,
    chunks: RefCell<Chunks>,
    /// Counts chunks that arrived; tells whoever follows.
    arrivals: watch::Sender<u64>,
    uploads: RefCell<UploadSlots<oneshot::Sender<()>>>,
    /// The fetch that runs now.
    fetching: RefCell<Option<Rc<RefCell<Fetch>>>>,
    /// Weights going out.
    pace_out: RefCell<Pacer>,
    /// Weights coming in.
    pace_in: RefCell<Pacer>,
    claims: Claims,
    versions: RefCell<Vec<VersionStatus>>,
    /// Manifest of each version that a bundle named in this process's life.
    known: RefCell<HashMap<Pin, Digest>>,
}

/// A running agent; dropping it ends it at once.
pub struct Handle {
    agent: Rc<Agent>,
    admin: server::Server,
    peer: SocketAddr,
}

/// An agent about to start.
///
/// [`Builder::new`] takes what every agent needs; the rest has defaults.
pub struct Builder {
    node: Node,
    settings: settings::Agent,
    endpoint: Endpoint,
    scheme: Scheme,
}

impl Builder {
    /// An agent beside an endpoint.
    pub fn new(node: Node, settings: settings::Agent, endpoint: Endpoint) -> Builder {
        Builder {
            node,
            settings,
            endpoint,
            scheme: Scheme::default(),
        }
    }

    /// Spreads chunks in another way, to measure against it.
    pub fn scheme(mut self, scheme: Scheme) -> Builder {
        self.scheme = scheme;
        self
    }

    /// Starts the agent. It is ready once its endpoint serves something.
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
            own: rendezvous::hash(node.settings.node.id.as_bytes()),
            scheme,
            endpoint,
            epoch: Cell::default(),
            running: Cell::default(),
            running_on: RefCell::default(),
            told_running: Cell::default(),
            chunks: RefCell::new(Chunks::new(settings.chunk_memory_bytes)),
            arrivals: watch::Sender::new(0),
            uploads: RefCell::new(UploadSlots::new(settings.upload_slots as usize)),
            fetching: RefCell::default(),
            pace_out: RefCell::new(Pacer::new(settings.link_bytes_per_s)),
            pace_in: RefCell::new(Pacer::new(settings.link_bytes_per_s)),
            claims: Claims::default(),
            versions: RefCell::default(),
            known: RefCell::default(),
            settings,
            node: Rc::new(node),
        }
    }
}

fn start_endpoint(agent: &Rc<Agent>) {
    let scope = &agent.node.scope;
    match agent.endpoint.clone() {
        Endpoint::Engine(engine) => {
            scope.spawn(learn_epoch(Rc::clone(agent)));
            scope.spawn(deploy::run(Rc::clone(agent), engine));
        }
        Endpoint::Service { name, service } => {
            scope.spawn(claims::run(Rc::clone(agent), name.clone()));
            scope.spawn(service::probe(Rc::clone(agent), name, service));
        }
    }
}

/// Draws an epoch from the log; repeated until the log takes it.
async fn learn_epoch(agent: Rc<Agent>) {
    let node = &agent.node;
    let nonce = node.with_rng(rand::Rng::random);
    let record = Record::Epoch {
        node: node.settings.node.id.clone(),
        nonce,
    }
    .encode();
    loop {
        // When a reply is lost, the next epoch is higher still, so nothing has to be read back.
        match node
            .platform
            .log
            .append(EPOCHS, std::slice::from_ref(&record))
            .await
        {
            Ok(offset) => {
                agent.epoch.set(offset + 1);
                info!(node.log, "epoch"; "epoch" => offset + 1);
                return;
            }
            Err(fault) => {
                node.count_platform_failure("log");
                warn!(node.log, "no epoch yet"; "why" => %fault);
                actix_rt::time::sleep(EPOCH_RETRY).await;
            }
        }
    }
}

impl Handle {
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
        &self.agent.node
    }

    /// Versions on the replica.
    pub fn versions(&self) -> Vec<VersionStatus> {
        self.agent.versions.borrow().clone()
    }

    /// Shuts down: tells the entries, refuses new work, lets what runs end. Gives how many
    /// requests were cut off, because the bound passed or `forced` fired.
    pub async fn drain(&self, mut forced: watch::Receiver<bool>) -> u32 {
        let agent = &self.agent;
        agent.node.leave();
        info!(agent.node.log, "leaving"; "running" => agent.running.get());
        let bound = Duration::from_millis(agent.node.limits.drain_ms);
        let ended = async {
            actix_rt::time::sleep(DRAIN_NOTICE).await;
            while 0 < agent.running.get() {
                actix_rt::time::sleep(DRAIN_STEP).await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = actix_rt::time::sleep(bound) => {}
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
                Call::Work(work) => work::answer(agent, work, outgoing).await,
                Call::Chunk { digest } => share::give(agent, digest, outgoing).await,
                Call::Follow { manifest } => share::follow(agent, manifest, outgoing).await,
                other => calls::answer(Rc::clone(&agent.node), other, outgoing).await,
            }
        });
    }

    fn malformed(&self) {
        self.0.node.metrics.malformed.inc();
    }
}
