//! State and tasks of both roles: the bundle in force, the peers and the admin port.
//!
//! - [`admin`]: health, metrics and status.
//! - [`calls`]: calls of peers that both roles serve in the same way.
//! - [`config`]: synchronization of the bundle in force.
//! - [`peers`]: the list of instances, connections to peers, and notices.
//! - [`shares`]: shares of the listeners in the memory that clients take.

pub mod admin;
pub mod calls;
pub mod config;
pub mod peers;
pub mod shares;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use gradeloft_http::intake::{Observer, Refusal};
use gradeloft_platform::{list, log, weights};
use gradeloft_policy::{clock::Time, process::membership::Membership, version::chain::Chain};
use gradeloft_wire::{
    border::settings::{Limits, Settings},
    frame::Notice,
    id::RequestId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    metrics::{Metrics, Reason, RefusalLabels},
    scope::Scope,
    transport::{self, client::Pool},
};

/// Timeout until a platform service begins its response.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout until the weight store or the origin begins its response; their links are shared by
/// many nodes.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout to connect to a peer.
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
    /// Creates HTTP clients of the services at the addresses in the settings.
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

/// Source from which a node got the bundle in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BundleSource {
    /// The platform's log.
    Log,
    /// No bundle yet.
    #[default]
    None,
    /// A peer.
    Peer,
}

impl BundleSource {
    /// Returns the name in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            BundleSource::Log => "log",
            BundleSource::None => "none",
            BundleSource::Peer => "peer",
        }
    }
}

/// State that entries and agents have in common.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Limits of the settings.
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
    /// Accepted bundles; the head is in force.
    pub chain: RefCell<Chain>,
    /// Source of the bundle in force.
    pub bundle_source: Cell<BundleSource>,
    /// Time at which the log accepted the latest record of the bundle in force, in milliseconds
    /// since 1970.
    pub last_record_ms: Cell<Option<u64>>,
    /// Number of the bundle in force, for tasks that wait for a change.
    pub bundle_number: watch::Sender<u64>,
    /// Peers.
    pub membership: RefCell<Membership>,
    /// Number of changes of the membership, for tasks that wait for one.
    pub membership_changes: watch::Sender<u64>,
    /// Time at which the process ends at the latest; set once it drains.
    pub shutdown_deadline: Cell<Option<Time>>,
    /// State of this node, as sent to the peers that watch it.
    pub notice: watch::Sender<Notice>,
    rng: RefCell<ChaCha8Rng>,
}

impl Node {
    /// Creates a node without peers or a bundle.
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

    /// Returns whether the process is draining and accepts no new work.
    pub fn is_draining(&self) -> bool {
        self.notice.borrow().leaving
    }

    /// Marks the process as draining, and notifies the peers that watch it.
    pub fn start_drain(&self) {
        self.notice.send_modify(|it| it.leaving = true);
    }

    /// Returns a new random id for an attempt.
    pub fn request_id(&self) -> RequestId {
        self.with_rng(|it| RequestId(it.random()))
    }

    /// Calls a closure with the random number generator.
    pub fn with_rng<T>(&self, use_rng: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        use_rng(&mut self.rng.borrow_mut())
    }

    /// Counts and logs a connection or request of a listener that ended in favour of others.
    pub fn record_refusal(&self, listener: &'static str, refusal: Refusal) {
        let labels = RefusalLabels {
            listener,
            shortage: refusal.shortage.name(),
            activity: refusal.activity.name(),
        };
        let count = self.metrics.refused.get_or_create(&labels).inc();
        // Under a crowd there are thousands a second; each power of two is logged.
        if (count + 1).is_power_of_two() {
            info!(self.log, "client refused"; "listener" => listener,
                "shortage" => refusal.shortage.name(), "activity" => refusal.activity.name(),
                "bytes" => refusal.bytes, "so_far" => count + 1);
        }
    }

    /// Returns an observer that records the refusals of a listener.
    pub fn refusal_observer(self: &Rc<Node>, listener: &'static str) -> Observer {
        let node = Rc::downgrade(self);
        Rc::new(move |refusal| {
            if let Some(node) = node.upgrade() {
                node.record_refusal(listener, refusal);
            }
        })
    }

    /// Counts a failed call to the platform.
    pub fn count_platform_failure(&self, service: &'static str) {
        self.metrics
            .platform_faults
            .get_or_create(&Reason { reason: service })
            .inc();
    }

    /// Returns the longest time without data from a peer or an endpoint.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.idle_ms)
    }
}
