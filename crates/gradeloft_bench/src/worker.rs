//! Threads that run agents with their engines and links.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use gradeloft_daemon::{
    agent::{self, Endpoint},
    logging,
    node::{Node, Platform},
    settings,
};
use gradeloft_policy::version::fetch::Scheme;
use gradeloft_standin::{
    engine::Engine,
    link::{Links, Relay},
};
use gradeloft_wire::border::platform::{Instance, InstanceRole, InstanceState};
use tokio::sync::mpsc as queue;

/// Interval at which a worker polls the versions that its agents serve.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration shared by all agents.
#[derive(Clone)]
pub(crate) struct WorkerConfig {
    /// Platform section of the settings, in YAML.
    pub(crate) platform: String,
    /// Emulated links.
    pub(crate) links: Arc<Links>,
    /// Speed of each agent's link, in bytes per second.
    pub(crate) link_bytes_per_s: u64,
    /// Number of availability zones.
    pub(crate) zones: usize,
    /// Scheme by which agents fetch chunks.
    pub(crate) scheme: Scheme,
    /// Time that an engine takes for a prompt, in milliseconds.
    pub(crate) prefill_ms: u64,
    /// Time that an engine takes for a token, in milliseconds.
    pub(crate) token_ms: u64,
}

/// Command to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkerCommand {
    /// Drops the agent with this index.
    Kill(usize),
    /// Ends the thread with all its agents.
    Stop,
}

/// Event reported by a worker.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// An agent has started.
    Started(Box<Instance>),
    /// An agent started to serve a version.
    Serves {
        agent: usize,
        version: String,
        at: Instant,
    },
}

/// A thread that runs some of the agents.
pub(crate) struct Worker {
    /// Indices of the agents.
    pub(crate) agents: Vec<usize>,
    commands: queue::UnboundedSender<WorkerCommand>,
    thread: thread::JoinHandle<()>,
}

impl Worker {
    /// Starts a thread that runs agents.
    pub(crate) fn start(
        config: WorkerConfig,
        agents: Vec<usize>,
        events: mpsc::Sender<WorkerEvent>,
    ) -> Worker {
        let (commands, received) = queue::unbounded_channel();
        let indices = agents.clone();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(run(config, indices, received, events));
        });
        Worker {
            agents,
            commands,
            thread,
        }
    }

    /// Sends a command to the thread.
    pub(crate) fn send(&self, command: WorkerCommand) {
        // The channel is closed if the thread has ended already.
        let _ = self.commands.send(command);
    }

    /// Stops the thread and waits for its end.
    pub(crate) fn stop(self) {
        self.send(WorkerCommand::Stop);
        let _ = self.thread.join();
    }
}

struct RunningAgent {
    idx: usize,
    agent: agent::Handle,
    _relay: Relay,
    _engine: Engine,
    /// Versions that were reported as served.
    reported: Vec<String>,
}

/// Returns the loopback address of an agent's instance.
pub(crate) fn address(idx: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        127,
        1,
        (idx / 200) as u8,
        (idx % 200 + 1) as u8,
    ))
}

async fn run(
    config: WorkerConfig,
    agents: Vec<usize>,
    mut commands: queue::UnboundedReceiver<WorkerCommand>,
    events: mpsc::Sender<WorkerEvent>,
) {
    let mut running = Vec::new();
    for idx in agents {
        let (started, instance) = start(&config, idx).await.expect("an agent starts");
        running.push(started);
        let _ = events.send(WorkerEvent::Started(Box::new(instance)));
    }
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(WorkerCommand::Kill(idx)) => running.retain(|it| it.idx != idx),
                Some(WorkerCommand::Stop) | None => return,
            },
            () = actix_rt::time::sleep(POLL_INTERVAL) => {
                running.iter_mut().for_each(|it| report_serving(it, &events));
            }
        }
    }
}

async fn start(config: &WorkerConfig, idx: usize) -> std::io::Result<(RunningAgent, Instance)> {
    let engine = Engine::start().await?;
    engine.state.prefill_ms.set(config.prefill_ms);
    engine.state.token_ms.set(config.token_ms);
    let ip = address(idx);
    config.links.set(ip, config.link_bytes_per_s);
    let (id, zone) = (
        format!("agent-{idx:03}"),
        format!("zone-{}", idx % config.zones),
    );
    let yaml = format!(
        "role: agent\nnode: {{id: {id}, zone: {zone}, region: r}}\nlisten: {{peer: \"{ip}:0\", admin: \
         \"{ip}:0\", source: \"{ip}\"}}\n{}\nagent: {{endpoint: {{kind: engine, url: \"{}\"}}, \
         link_bytes_per_s: {}}}\n",
        config.platform,
        engine.url(),
        config.link_bytes_per_s
    );
    let settings = settings::parse(&yaml).expect("valid settings");
    let agent_settings = settings.agent.clone().expect("an agent section");
    let endpoint = Endpoint::http(&agent_settings.endpoint);
    let platform = Platform::http(&settings);
    let node = Node::new(settings, platform, logging::none(), idx as u64);
    let agent = agent::Builder::new(node, agent_settings, endpoint)
        .scheme(config.scheme)
        .start()
        .await?;
    let relay = Relay::start(Arc::clone(&config.links), ip, agent.peer()).await?;
    let instance = Instance {
        id,
        zone,
        region: "r".to_owned(),
        role: InstanceRole::Agent,
        state: InstanceState::Live,
        peer: relay.address().to_string(),
        public: None,
        admin: Some(agent.admin().to_string()),
        service: None,
    };
    Ok((
        RunningAgent {
            idx,
            agent,
            _relay: relay,
            _engine: engine,
            reported: Vec::new(),
        },
        instance,
    ))
}

fn report_serving(running: &mut RunningAgent, events: &mpsc::Sender<WorkerEvent>) {
    let notice = running.agent.node().notice.borrow();
    for pin in notice
        .serving
        .iter()
        .filter(|it| !running.reported.contains(&it.version))
    {
        let (version, at) = (pin.version.clone(), Instant::now());
        let _ = events.send(WorkerEvent::Serves {
            agent: running.idx,
            version,
            at,
        });
    }
    let versions: Vec<String> = notice.serving.iter().map(|it| it.version.clone()).collect();
    drop(notice);
    running.reported.extend(versions);
    running.reported.dedup();
}
