//! Daemons as separate processes that are killed, frozen or terminated.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

use gradeloft_cli::publish;
use gradeloft_standin::{
    engine::Engine,
    fleet::{Fleet, FleetConfig, MODEL, SERVICE, SIGNER, wait_until},
    service::Service,
};
use gradeloft_wire::border::platform::{Instance, InstanceRole, InstanceState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use support::{describe_call, describe_generate, version};

/// Idle timeout of the daemons, in milliseconds. It is long, so that a delay on a busy machine does
/// not count as silence.
const IDLE_MS: u64 = 30_000;
/// Idle timeout for tests with a frozen process, in milliseconds. It is short, so that the frozen
/// process is soon detected.
const FREEZE_IDLE_MS: u64 = 4_000;

/// A daemon in a separate process, which is killed when dropped.
struct Process {
    child: Child,
    peer: SocketAddr,
    admin: SocketAddr,
    public: Option<SocketAddr>,
}

impl Process {
    fn start(id: &str, role: &str, settings: &str) -> Process {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-{id}.yaml", std::process::id()));
        std::fs::write(&path, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradeloftd"))
            .args([role, "--settings"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("stderr is piped");
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if line.contains("started") {
                    let _ = sender.send(line);
                }
            }
        });
        let line = receiver
            .recv_timeout(Duration::from_secs(20))
            .expect("the daemon logs that it started");
        let address = |key: &str| {
            let value = line.split(' ').find_map(|it| it.strip_prefix(key));
            value.and_then(|it| it.trim_matches('"').parse().ok())
        };
        Process {
            child,
            peer: address("peer=").expect("a peer address"),
            admin: address("admin=").expect("an admin address"),
            public: address("public="),
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the process is signalled");
    }

    /// Waits for the process to exit, and returns its exit code.
    async fn wait_for_exit(&mut self) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is waited for") {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet whose platform and endpoints run in this process, and its daemons in separate ones.
struct DaemonFleet {
    fleet: Fleet,
    idle_ms: u64,
    engines: Vec<Engine>,
    service: Service,
    agents: Vec<Process>,
    entries: Vec<Process>,
}

impl DaemonFleet {
    /// Starts daemons that time out on a silent peer or endpoint after `idle_ms`.
    async fn start(engines: usize, entries: usize, idle_ms: u64) -> DaemonFleet {
        let shape = FleetConfig {
            entries: 0,
            engines: 0,
            services: 0,
            ..FleetConfig::default()
        };
        let fleet = Fleet::start(shape).await.expect("the platform starts");
        let service = Service::start().await.expect("the service starts");
        let mut daemons = DaemonFleet {
            fleet,
            idle_ms,
            engines: Vec::new(),
            service,
            agents: Vec::new(),
            entries: Vec::new(),
        };
        for idx in 0..engines {
            let engine = Engine::start().await.expect("the engine starts");
            daemons.add_agent(&format!("engine-{idx}"), "engine", &engine.url());
            daemons.engines.push(engine);
        }
        let url = daemons.service.url();
        daemons.add_agent("service-0", "service", &url);
        for idx in 0..entries {
            daemons.add_entry(&format!("entry-{idx}"));
        }
        daemons
    }

    fn settings(&self, id: &str, role: &str, public: &str, part: &str) -> String {
        let fleet = &self.fleet;
        format!(
            "role: {role}\nnode: {{id: {id}, zone: zone-0, region: region-0}}\nlisten: {{peer: \
             \"127.0.0.1:0\", admin: \"127.0.0.1:0\"{public}}}\nplatform: {{log: \"{}\", list: \
             \"{}\", store: \"{}\", origin: \"{}\"}}\npublishers: [{{name: {SIGNER}, key: {}}}]\n\
             limits: {{idle_ms: {}}}\n{part}\n",
            fleet.log.url(),
            fleet.list.url(),
            fleet.store.url(),
            fleet.origin.url(),
            fleet.key.public(),
            self.idle_ms
        )
    }

    fn add_agent(&mut self, id: &str, kind: &str, url: &str) {
        let service = if kind == "service" {
            format!(", service: {SERVICE}")
        } else {
            String::new()
        };
        let part = format!("agent: {{endpoint: {{kind: {kind}, url: \"{url}\"{service}}}}}");
        let process = Process::start(id, "agent", &self.settings(id, "agent", "", &part));
        let service = (kind == "service").then(|| SERVICE.to_owned());
        self.list(id, InstanceRole::Agent, &process, service);
        self.agents.push(process);
    }

    fn add_entry(&mut self, id: &str) {
        let settings = self.settings(id, "entry", ", public: \"127.0.0.1:0\"", "");
        let process = Process::start(id, "entry", &settings);
        self.list(id, InstanceRole::Entry, &process, None);
        self.entries.push(process);
    }

    fn list(&self, id: &str, role: InstanceRole, process: &Process, service: Option<String>) {
        self.fleet.list.state.add(Instance {
            id: id.to_owned(),
            zone: "zone-0".to_owned(),
            region: "region-0".to_owned(),
            role,
            state: InstanceState::Live,
            peer: process.peer.to_string(),
            public: process.public.map(|it| it.to_string()),
            admin: Some(process.admin.to_string()),
            service,
        });
    }

    fn entry(&self, idx: usize) -> SocketAddr {
        self.entries[idx]
            .public
            .expect("entries have a public address")
    }

    /// Publishes the first bundle and waits until requests succeed at every entry.
    async fn deploy(&self, version: &gradeloft_standin::weights::Version) {
        self.fleet.upload(version);
        let mut bundle = self.fleet.bundle(1, None, version);
        bundle.models[0].replicas = self.engines.len() as u32;
        self.fleet
            .publish(&bundle)
            .await
            .expect("the bundle is accepted");
        let list: std::rc::Rc<dyn gradeloft_platform::list::InstanceList> = std::rc::Rc::new(
            gradeloft_platform::list::Http::new(&self.fleet.list.url(), Duration::from_secs(2)),
        );
        let progress = publish::wait_until_in_force(&list, 1, Duration::from_secs(20), |_| {})
            .await
            .unwrap();
        assert_eq!(progress.lagging, Vec::<String>::new());
        wait_until("every engine serves", || {
            self.engines.iter().all(|it| it.state.serves().len() == 1)
        })
        .await;
        for idx in 0..self.entries.len() {
            // Each entry learns of the served version from the agents' notices.
            while self
                .fleet
                .caller()
                .generate(self.entry(idx), MODEL, "p", 1)
                .await
                .status
                != 200
            {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn assert_generates(&self, version: &gradeloft_standin::weights::Version, prompt: &str) {
        let answer = self
            .fleet
            .caller()
            .generate(self.entry(0), MODEL, prompt, 2)
            .await;
        let expected = "200 the version's own text, end of 2 tokens by bulletin/v1, no error";
        assert_eq!(describe_generate(&answer, version, prompt, 2), expected);
    }
}

#[actix_rt::test]
async fn requests_succeed_while_agents_are_killed_and_frozen() {
    let mut daemons = DaemonFleet::start(3, 2, FREEZE_IDLE_MS).await;
    let v1 = version("v1");
    daemons.deploy(&v1).await;
    let path = format!("{SERVICE}/charges");
    let keyed = daemons.fleet.caller().with_header("idempotency-key", "k");
    for idx in [0, 1] {
        let answer = keyed
            .call(daemons.entry(idx), "POST", &path, "two seats")
            .await;
        assert_eq!(describe_call(&answer), "200 done: POST /charges two seats");
    }
    assert_eq!(
        daemons.service.state.executions("POST /charges two seats"),
        1
    );

    daemons.agents[0].signal(Signal::SIGKILL);
    for idx in 0..6 {
        daemons
            .assert_generates(&v1, &format!("after the kill {idx}"))
            .await;
    }
    daemons.agents[1].signal(Signal::SIGSTOP);
    for idx in 0..6 {
        daemons
            .assert_generates(&v1, &format!("during the freeze {idx}"))
            .await;
    }
    daemons.agents[1].signal(Signal::SIGCONT);
    daemons.agents[2].signal(Signal::SIGKILL);
    let thawed = async {
        loop {
            let answer = daemons
                .fleet
                .caller()
                .generate(daemons.entry(0), MODEL, "p", 1)
                .await;
            if answer.status == 200 {
                return answer.tokens;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let tokens = tokio::time::timeout(Duration::from_secs(20), thawed).await;
    assert_eq!(tokens, Ok(1), "the thawed agent serves again");
    daemons.agents.clear();
}

#[actix_rt::test]
async fn terminated_daemons_finish_running_requests_and_exit_with_0() {
    let mut daemons = DaemonFleet::start(2, 2, IDLE_MS).await;
    let v1 = version("v1");
    daemons.deploy(&v1).await;
    for engine in &daemons.engines {
        engine.state.token_ms.set(20);
    }
    let caller = daemons.fleet.caller();
    let entry = daemons.entry(0);
    let running: Vec<_> = (0..6)
        .map(|idx| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.generate(entry, MODEL, &format!("p{idx}"), 80).await },
            )
        })
        .collect();
    let busy = || 0 < daemons.engines[0].state.running.get();
    wait_until("the first agent is busy", busy).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    daemons.entries[0].signal(Signal::SIGTERM);
    assert_eq!(daemons.agents[0].wait_for_exit().await, Some(0));
    assert_eq!(daemons.entries[0].wait_for_exit().await, Some(0));
    for (idx, running) in running.into_iter().enumerate() {
        let answer = running.await.expect("the caller's task ends");
        let expected = "200 the version's own text, end of 80 tokens by bulletin/v1, no error";
        assert_eq!(
            describe_generate(&answer, &v1, &format!("p{idx}"), 80),
            expected
        );
    }
    let cancelled: u64 = daemons
        .engines
        .iter()
        .map(|it| it.state.cancelled.get())
        .sum();
    assert_eq!(cancelled, 0);
}

#[actix_rt::test]
async fn second_signal_ends_a_draining_daemon() {
    let mut daemons = DaemonFleet::start(1, 1, IDLE_MS).await;
    daemons.deploy(&version("v1")).await;
    daemons.engines[0].state.token_ms.set(20);
    let caller = daemons.fleet.caller();
    let stream = caller
        .generate_stream(daemons.entry(0), MODEL, 100_000)
        .await;
    let _stream = stream.expect("an answer");
    let engine = std::rc::Rc::clone(&daemons.engines[0].state);
    wait_until("the request is running", || engine.running.get() == 1).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    wait_until_not_ready(&daemons.agents[0]).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    assert_eq!(
        daemons.agents[0].wait_for_exit().await,
        Some(3),
        "the exit code reports cut-off requests"
    );
}

/// Waits until a daemon reports that it is not ready.
async fn wait_until_not_ready(process: &Process) {
    let url = format!("http://{}/readyz", process.admin);
    let client = awc::Client::default();
    loop {
        let response = client.get(&url).send().await;
        if response.is_ok_and(|it| it.status() == 503) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}
