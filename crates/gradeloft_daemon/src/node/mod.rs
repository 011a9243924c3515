//! What both roles share: the bundle in force, the peers, the admin port.
//!
//! - [`admin`]: health, metrics and status.
//! - [`calls`]: the calls that every node answers alike.
//! - [`config`]: how a node learns which bundle is in force.
//! - [`peers`]: the list, the connections to peers, the notices over them.

pub mod admin;
pub mod calls;
pub mod config;
pub mod peers;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use gradeloft_platform::{list, log, weights};
use gradeloft_policy::{clock::Time, process::membership::Membership, version::chain::Chain};
use gradeloft_wire::{
    border::settings::{Limits, Settings},
    frame::Notice,
    id::RequestId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::watch;

use crate::{
    clock::Clock,
    metrics::{Metrics, Reason},
    scope::Scope,
    transport::{self, client::Pool},
};

/// Time for a platform service to begin its answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the weight store or the origin to begin an answer; their links are shared by many.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);
/// Time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's services.
pub struct Platform {
    /// Append-only log.
    pub log: Rc<dyn log::Log>,
    /// List of instances.
    pub list: Rc<dyn list::InstanceList>,
    /// Weight store.
    pub store: Rc<dyn weights::WeightSource>,
    /// Origin of weights.
    pub origin: Rc<dyn weights::WeightSource>,
}

impl Platform {
    /// The services over HTTP, at the addresses of the settings.
    pub fn http(settings: &Settings) -> Platform {
        let urls = &settings.platform;
        let source = settings
            .listen
            .source
            .as_ref()
            .and_then(|it| it.parse().ok());
        Platform {
            log: Rc::new(log::Http::new(&urls.log, PLATFORM_TIMEOUT)),
            list: Rc::new(list::Http::new(&urls.list, PLATFORM_TIMEOUT)),
            store: Rc::new(weights::Http::new(&urls.store, WEIGHTS_TIMEOUT, source)),
            origin: Rc::new(weights::Http::new(&urls.origin, WEIGHTS_TIMEOUT, source)),
        }
    }
}

/// How the node learned the bundle in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BundleSource {
    /// From the platform's log.
    Log,
    /// Not at all yet.
    #[default]
    None,
    /// From a peer.
    Peer,
}

impl BundleSource {
    /// Name in logs and status.
    pub fn name(self) -> &'static str {
        match self {
            BundleSource::Log => "log",
            BundleSource::None => "none",
            BundleSource::Peer => "peer",
        }
    }
}

/// State that both roles have, for the life of the process.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Bounds of the settings.
    pub limits: Limits,
    /// Clock.
    pub clock: Clock,
    /// Logger; every line names the node.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// The platform's services.
    pub platform: Platform,
    /// Connections to peers.
    pub pool: Pool,
    /// Tasks of the process.
    pub scope: Rc<Scope>,
    /// The bundle in force.
    pub chain: RefCell<Chain>,
    /// How it was learned.
    pub bundle_source: Cell<BundleSource>,
    /// When the log took the last record that holds the bundle in force, in milliseconds since 1970.
    pub last_record_ms: Cell<Option<u64>>,
    /// Number of the bundle in force; tells whoever waits for a change.
    pub bundle_number: watch::Sender<u64>,
    /// Peers.
    pub membership: RefCell<Membership>,
    /// Counts changes of membership; tells whoever waits for one.
    pub membership_changes: watch::Sender<u64>,
    /// When the process ends at the latest, once it leaves.
    pub shutdown_deadline: Cell<Option<Time>>,
    /// The node's own state, as it is pushed to those who watch it.
    pub notice: watch::Sender<Notice>,
    rng: RefCell<ChaCha8Rng>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: Settings, platform: Platform, log: Logger, seed: u64) -> Node {
        let limits = settings.limits.clone().unwrap_or_default();
        let source = settings
            .listen
            .source
            .as_ref()
            .and_then(|it| it.parse().ok());
        let notice = Notice {
            node: settings.node.id.clone(),
            zone: settings.node.zone.clone(),
            ..Notice::default()
        };
        let clock = Clock::start();
        Node {
            pool: Pool::new(
                clock,
                transport::max_frame(&limits),
                CONNECT_TIMEOUT,
                source,
            ),
            limits,
            clock,
            log,
            metrics: Metrics::new(),
            platform,
            scope: Rc::default(),
            chain: RefCell::new(Chain::new(crate::settings::publishers(&settings))),
            bundle_source: Cell::default(),
            last_record_ms: Cell::default(),
            bundle_number: watch::Sender::new(0),
            membership: RefCell::new(Membership::new(&settings.node.id)),
            membership_changes: watch::Sender::new(0),
            shutdown_deadline: Cell::default(),
            notice: watch::Sender::new(notice),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            settings,
        }
    }

    /// Whether the process takes no new work.
    pub fn leaving(&self) -> bool {
        self.notice.borrow().leaving
    }

    /// Tells all watchers that the process leaves.
    pub fn leave(&self) {
        self.notice.send_modify(|it| it.leaving = true);
    }

    /// A fresh id for an attempt.
    pub fn request_id(&self) -> RequestId {
        self.with_rng(|it| RequestId(it.random()))
    }

    /// Lends the random generator.
    pub fn with_rng<T>(&self, use_it: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        use_it(&mut self.rng.borrow_mut())
    }

    /// Counts a failed call to the platform.
    pub fn count_platform_failure(&self, service: &'static str) {
        self.metrics
            .platform_faults
            .get_or_create(&Reason { reason: service })
            .inc();
    }

    /// Longest silence of a peer or an endpoint.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.idle_ms)
    }
}
