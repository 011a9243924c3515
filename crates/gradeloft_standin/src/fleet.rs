//! A whole deployment in one process: fakes of the platform, of engines and of services, and real
//! entries and agents, each on its own ports.

use std::{net::SocketAddr, time::Duration};

use gradeloft_cli::publish::{self, PublishError};
use gradeloft_daemon::{
    agent::{self, Endpoint},
    entry, logging,
    node::{Node, Platform},
    settings,
};
use gradeloft_platform::log::Http;
use gradeloft_policy::{
    request::route::Scheme,
    version::bundle::{self, Key, Publisher},
};
use gradeloft_wire::{
    border::{
        bundle::{Bundle, Model, Service as ServiceEntry, Team},
        platform::{Instance, InstanceRole, InstanceState},
        settings::Settings,
    },
    id::Digest,
    record::SignedBundle,
};
use slog::Logger;

use crate::{
    caller::Caller,
    engine::Engine,
    list::List,
    log::Log,
    service::Service,
    weights::{Version, Weights},
};

/// Name of the team in the fleet's bundles.
pub const TEAM: &str = "duty";
/// Token of [`TEAM`].
pub const TOKEN: &str = "duty-token";
/// Name of the model in the fleet's bundles.
pub const MODEL: &str = "bulletin";
/// Name of the service in the fleet's bundles.
pub const SERVICE: &str = "booking";
/// Name of the publisher that signs the fleet's bundles.
pub const SIGNER: &str = "ops";

const WAIT_STEP: Duration = Duration::from_millis(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with its own agent.
    pub engines: usize,
    /// Number of service endpoints, each with its own agent.
    pub services: usize,
    /// URL that the agents call instead of their service endpoints.
    pub service_url: Option<String>,
    /// Number of availability zones, assigned round-robin.
    pub zones: usize,
    /// Top-level YAML lines added to the settings of every process.
    pub settings: String,
    /// YAML lines added to the `agent` section of every agent, indented by two spaces.
    pub agent_settings: String,
    /// Load balancing scheme of the entries.
    pub route: Scheme,
    /// Parent logger of all nodes.
    pub log: Logger,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            entries: 2,
            engines: 4,
            services: 1,
            service_url: None,
            zones: 2,
            settings: String::new(),
            agent_settings: String::new(),
            route: Scheme::default(),
            log: logging::none(),
        }
    }
}

/// An endpoint with its agent.
pub struct Replica<E> {
    /// Id of the instance.
    pub id: String,
    /// The endpoint.
    pub endpoint: E,
    /// The agent; `None` while it is stopped.
    pub agent: Option<agent::Handle>,
    zone: String,
    kind: &'static str,
    url: String,
}

/// A running fleet.
pub struct Fleet {
    /// The log.
    pub log: Log,
    /// The list of instances.
    pub list: List,
    /// The weight store.
    pub store: Weights,
    /// The origin.
    pub origin: Weights,
    /// Engines with their agents.
    pub engines: Vec<Replica<Engine>>,
    /// Service endpoints with their agents.
    pub services: Vec<Replica<Service>>,
    /// Entries; `None` for a stopped one.
    pub entries: Vec<Option<entry::Handle>>,
    /// Signing key of the publisher.
    pub key: Key,
    config: FleetConfig,
    starts: u64,
}

impl Fleet {
    /// Starts the platform, the endpoints, the agents and the entries, without publishing a bundle.
    pub async fn start(config: FleetConfig) -> std::io::Result<Fleet> {
        let mut fleet = Fleet {
            log: Log::start().await?,
            list: List::start().await?,
            store: Weights::start().await?,
            origin: Weights::start().await?,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            key: Key::new([7; 32]),
            config: config.clone(),
            starts: 0,
        };
        for idx in 0..config.engines {
            let engine = Engine::start().await?;
            let (id, url) = (format!("engine-{idx}"), engine.url());
            let replica = fleet.start_replica(id, idx, engine, "engine", url).await?;
            fleet.engines.push(replica);
        }
        for idx in 0..config.services {
            let service = Service::start().await?;
            let url = config.service_url.clone().unwrap_or(service.url());
            let id = format!("service-{idx}");
            let replica = fleet
                .start_replica(id, idx, service, "service", url)
                .await?;
            fleet.services.push(replica);
        }
        for idx in 0..config.entries {
            fleet.entries.push(None);
            fleet.start_entry(idx).await?;
        }
        Ok(fleet)
    }

    async fn start_replica<E>(
        &mut self,
        id: String,
        idx: usize,
        endpoint: E,
        kind: &'static str,
        url: String,
    ) -> std::io::Result<Replica<E>> {
        let zone = self.zone(idx);
        let agent = self.start_agent(&id, &zone, kind, &url).await?;
        Ok(Replica {
            id,
            endpoint,
            agent: Some(agent),
            zone,
            kind,
            url,
        })
    }

    /// Restarts the agent of an engine without its state, as a new process.
    pub async fn restart_agent(&mut self, idx: usize) -> std::io::Result<()> {
        self.engines[idx].agent = None;
        let it = &self.engines[idx];
        let (id, zone, kind, url) = (it.id.clone(), it.zone.clone(), it.kind, it.url.clone());
        let agent = self.start_agent(&id, &zone, kind, &url).await?;
        self.engines[idx].agent = Some(agent);
        Ok(())
    }

    /// Restarts the agent of a service without its state, as a new process.
    pub async fn restart_service_agent(&mut self, idx: usize) -> std::io::Result<()> {
        self.services[idx].agent = None;
        let it = &self.services[idx];
        let (id, zone, kind, url) = (it.id.clone(), it.zone.clone(), it.kind, it.url.clone());
        let agent = self.start_agent(&id, &zone, kind, &url).await?;
        self.services[idx].agent = Some(agent);
        Ok(())
    }

    async fn start_agent(
        &mut self,
        id: &str,
        zone: &str,
        kind: &str,
        url: &str,
    ) -> std::io::Result<agent::Handle> {
        let service = if kind == "service" {
            format!(", service: {SERVICE}")
        } else {
            String::new()
        };
        let extra = &self.config.agent_settings;
        let section =
            format!("agent:\n  endpoint: {{kind: {kind}, url: \"{url}\"{service}}}\n{extra}");
        let settings = self.settings("agent", id, zone, "", &section)?;
        let agent = settings
            .agent
            .clone()
            .ok_or_else(|| std::io::Error::other("the settings have no agent section"))?;
        let endpoint = Endpoint::http(&agent.endpoint);
        let node = self.node(settings, id);
        let handle = agent::Builder::new(node, agent, endpoint).start().await?;
        let service = (kind == "service").then(|| SERVICE.to_owned());
        let role = InstanceRole::Agent;
        self.register(id, zone, role, handle.peer(), None, handle.admin(), service);
        Ok(handle)
    }

    /// Starts an entry, or restarts it if it is running.
    pub async fn start_entry(&mut self, idx: usize) -> std::io::Result<()> {
        self.entries[idx] = None;
        let (id, zone) = (format!("entry-{idx}"), self.zone(idx));
        let settings = self.settings("entry", &id, &zone, ", public: \"127.0.0.1:0\"", "")?;
        let node = self.node(settings, &id);
        let handle = entry::Builder::new(node)
            .scheme(self.config.route)
            .start()
            .await?;
        let public = Some(handle.public());
        let role = InstanceRole::Entry;
        self.register(
            &id,
            &zone,
            role,
            handle.peer(),
            public,
            handle.admin(),
            None,
        );
        self.entries[idx] = Some(handle);
        Ok(())
    }

    fn zone(&self, idx: usize) -> String {
        format!("zone-{}", idx % self.config.zones.max(1))
    }

    fn settings(
        &self,
        role: &str,
        id: &str,
        zone: &str,
        public: &str,
        section: &str,
    ) -> std::io::Result<Settings> {
        let (log, list) = (self.log.url(), self.list.url());
        let (store, origin) = (self.store.url(), self.origin.url());
        let (key, extra) = (self.key.public(), &self.config.settings);
        let yaml = format!(
            "role: {role}\nnode: {{id: {id}, zone: {zone}, region: region-0}}\nlisten: {{peer: \
             \"127.0.0.1:0\", admin: \"127.0.0.1:0\"{public}}}\nplatform: {{log: \"{log}\", list: \
             \"{list}\", store: \"{store}\", origin: \"{origin}\"}}\npublishers: [{{name: {SIGNER}, \
             key: {key}}}]\n{extra}\n{section}\n"
        );
        settings::parse(&yaml).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            std::io::Error::other(lines.join("; "))
        })
    }

    fn node(&mut self, settings: Settings, id: &str) -> Node {
        self.starts += 1;
        let platform = Platform::http(&settings);
        let log = self.config.log.new(slog::o!("node" => id.to_owned()));
        Node::new(settings, platform, log, self.starts)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one argument per field of the listed instance"
    )]
    fn register(
        &self,
        id: &str,
        zone: &str,
        role: InstanceRole,
        peer: SocketAddr,
        public: Option<SocketAddr>,
        admin: SocketAddr,
        service: Option<String>,
    ) {
        self.list.state.add(Instance {
            id: id.to_owned(),
            zone: zone.to_owned(),
            region: "region-0".to_owned(),
            role,
            state: InstanceState::Live,
            peer: peer.to_string(),
            public: public.map(|it| it.to_string()),
            admin: Some(admin.to_string()),
            service,
        });
    }

    /// Stores a version in the origin.
    pub fn upload(&self, version: &Version) {
        self.origin.state.put(version);
    }

    /// Creates a bundle with one team, one model with a replica on every engine, and one service.
    pub fn bundle(&self, number: u64, parent: Option<Digest>, version: &Version) -> Bundle {
        Bundle {
            format: 1,
            number,
            parent: parent.map(|it| it.to_string()),
            note: None,
            publishers: vec![gradeloft_wire::border::bundle::Publisher {
                name: SIGNER.to_owned(),
                key: self.key.public(),
            }],
            classes: vec!["critical".to_owned(), "normal".to_owned()],
            teams: vec![team(TEAM, TOKEN)],
            models: vec![Model {
                name: version.model.clone(),
                version: version.version.clone(),
                manifest: version.digest(),
                replicas: self.engines.len() as u32,
                zones: Vec::new(),
                adapters: Vec::new(),
            }],
            services: vec![ServiceEntry {
                name: SERVICE.to_owned(),
                at_most_once: Vec::new(),
            }],
            rollout: None,
        }
    }

    /// Signs and publishes a bundle, and returns the signed bundle.
    pub async fn publish(&self, bundle: &Bundle) -> Result<SignedBundle, PublishError> {
        let signed = self.key.sign(bundle, SIGNER);
        let log = Http::new(&self.log.url(), Duration::from_secs(2));
        let trusted = Publisher::new(SIGNER, &self.key.public());
        publish::publish(&log, trusted.as_slice(), &signed).await?;
        Ok(signed)
    }

    /// Uploads a version, publishes it in the first bundle and waits until every entry can route to
    /// every engine and service.
    pub async fn deploy(&self, version: &Version) -> Bundle {
        self.upload(version);
        let bundle = self.bundle(1, None, version);
        let published = self.publish(&bundle).await;
        assert!(published.is_ok(), "the first bundle was refused");
        self.wait_until("every replica is ready", || {
            self.serving_count(version) == self.engines.len()
        })
        .await;
        self.wait_until("every entry can route to every replica", || {
            self.is_routable(version)
        })
        .await;
        bundle
    }

    /// Returns the number of engine agents that report a version as served.
    pub fn serving_count(&self, version: &Version) -> usize {
        let agents = self.engines.iter().filter_map(|it| it.agent.as_ref());
        let serves = |it: &&agent::Handle| {
            let notice = it.node().notice.borrow().clone();
            notice
                .serving
                .iter()
                .any(|it| it.version == version.version)
        };
        agents.filter(serves).count()
    }

    /// Returns whether every running entry can route requests for a version to every engine whose
    /// agent runs, and requests to every service whose agent runs.
    pub fn is_routable(&self, version: &Version) -> bool {
        let wanted = self.engines.iter().filter(|it| it.agent.is_some()).count();
        let services = self.services.iter().filter(|it| it.agent.is_some()).count();
        self.entries.iter().flatten().all(|entry| {
            let membership = entry.node().membership.borrow();
            let now = entry.node().clock.now();
            let peers = membership
                .of(InstanceRole::Agent)
                .filter(|(_, it)| it.accepts_work(now));
            let notices: Vec<_> = peers.filter_map(|(_, it)| it.notice.as_ref()).collect();
            let serves = |it: &&&gradeloft_wire::frame::Notice| {
                it.serving.iter().any(|it| it.version == version.version)
            };
            notices.iter().filter(serves).count() == wanted
                && notices.iter().filter(|it| it.service.is_some()).count() == services
        })
    }

    /// Returns the public address of an entry.
    pub fn entry(&self, idx: usize) -> SocketAddr {
        self.entries[idx]
            .as_ref()
            .expect("the entry is alive")
            .public()
    }

    /// Creates a caller of [`TEAM`].
    pub fn caller(&self) -> Caller {
        Caller::new(TEAM, TOKEN)
    }

    /// Waits for a condition; panics after a timeout.
    pub async fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        wait_until(what, condition).await;
    }
}

/// Waits for a condition; panics after a timeout.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting: {what}"
        );
        actix_rt::time::sleep(WAIT_STEP).await;
    }
}

/// Creates a team that may call [`MODEL`] and [`SERVICE`].
pub fn team(name: &str, token: &str) -> Team {
    Team {
        name: name.to_owned(),
        token_digest: blake3::hash(token.as_bytes()).to_hex().to_string(),
        class: "critical".to_owned(),
        requests_per_s: 100_000,
        tokens_per_s: 10_000_000,
        models: vec![MODEL.to_owned()],
        services: vec![SERVICE.to_owned()],
        zones: Vec::new(),
    }
}

/// Returns the digest of a bundle, which its successor names as the parent.
pub fn digest(bundle: &Bundle) -> Digest {
    Digest::of(&bundle::canonical(bundle))
}
