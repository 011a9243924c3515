//! The daemon as separate processes, under kills, freezes and signals.

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
    fleet::{Fleet, MODEL, SERVICE, SIGNER, Shape, until},
    service::Service,
};
use gradeloft_wire::border::platform::{Instance, InstanceRole, InstanceState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use support::{called, generated, version};

/// Long enough that a busy machine does not look like a silent one.
const IDLE_MS: u64 = 30_000;
/// Short, since a frozen process is to be given up on.
const FREEZE_IDLE_MS: u64 = 4_000;

/// A daemon that runs as a process of its own; killed when dropped.
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
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if line.contains("started") {
                    let _ = tell.send(line);
                }
            }
        });
        let line = told
            .recv_timeout(Duration::from_secs(20))
            .expect("it says that it started");
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

    /// Waits for the end and gives the exit code.
    async fn ended(&mut self) -> Option<i32> {
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

/// The platform and endpoints in this process, and daemons outside.
struct Outside {
    fleet: Fleet,
    idle_ms: u64,
    engines: Vec<Engine>,
    service: Service,
    agents: Vec<Process>,
    entries: Vec<Process>,
}

impl Outside {
    /// Starts daemons that give up on a silent peer or endpoint after `idle_ms`.
    async fn start(engines: usize, entries: usize, idle_ms: u64) -> Outside {
        let shape = Shape {
            entries: 0,
            engines: 0,
            services: 0,
            ..Shape::default()
        };
        let fleet = Fleet::start(shape).await.expect("the platform starts");
        let service = Service::start().await.expect("the service starts");
        let mut outside = Outside {
            fleet,
            idle_ms,
            engines: Vec::new(),
            service,
            agents: Vec::new(),
            entries: Vec::new(),
        };
        for idx in 0..engines {
            let engine = Engine::start().await.expect("the engine starts");
            outside.add_agent(&format!("engine-{idx}"), "engine", &engine.url());
            outside.engines.push(engine);
        }
        let url = outside.service.url();
        outside.add_agent("service-0", "service", &url);
        for idx in 0..entries {
            outside.add_entry(&format!("entry-{idx}"));
        }
        outside
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

    /// Publishes the first bundle and waits until every engine serves and the entries know it.
    async fn deploy(&self, version: &gradeloft_standin::weights::Version) {
        self.fleet.upload(version);
        let mut bundle = self.fleet.bundle(1, None, version);
        bundle.models[0].replicas = self.engines.len() as u32;
        self.fleet.publish(&bundle).await.expect("it is accepted");
        let list: std::rc::Rc<dyn gradeloft_platform::list::InstanceList> = std::rc::Rc::new(
            gradeloft_platform::list::Http::new(&self.fleet.list.url(), Duration::from_secs(2)),
        );
        let progress = publish::in_force(&list, 1, Duration::from_secs(20), |_| {})
            .await
            .unwrap();
        assert_eq!(progress.lagging, Vec::<String>::new());
        until("every engine serves", || {
            self.engines.iter().all(|it| it.state.serves().len() == 1)
        })
        .await;
        for idx in 0..self.entries.len() {
            // The entries hear of it within their next notices.
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

    async fn answers(&self, version: &gradeloft_standin::weights::Version, prompt: &str) {
        let answer = self
            .fleet
            .caller()
            .generate(self.entry(0), MODEL, prompt, 2)
            .await;
        let expected = "200 the version's own text, end of 2 tokens by bulletin/v1, no error";
        assert_eq!(generated(&answer, version, prompt, 2), expected);
    }
}

#[actix_rt::test]
async fn the_whole_path_survives_a_kill_and_a_freeze_of_agents() {
    let mut outside = Outside::start(3, 2, FREEZE_IDLE_MS).await;
    let v1 = version("v1");
    outside.deploy(&v1).await;
    let path = format!("{SERVICE}/charges");
    let keyed = outside.fleet.caller().with("idempotency-key", "k");
    for idx in [0, 1] {
        let answer = keyed
            .call(outside.entry(idx), "POST", &path, "two seats")
            .await;
        assert_eq!(called(&answer), "200 done: POST /charges two seats");
    }
    assert_eq!(outside.service.state.count("POST /charges two seats"), 1);

    outside.agents[0].signal(Signal::SIGKILL);
    for idx in 0..6 {
        outside.answers(&v1, &format!("after the kill {idx}")).await;
    }
    outside.agents[1].signal(Signal::SIGSTOP);
    for idx in 0..6 {
        outside
            .answers(&v1, &format!("during the freeze {idx}"))
            .await;
    }
    outside.agents[1].signal(Signal::SIGCONT);
    outside.agents[2].signal(Signal::SIGKILL);
    let thawed = async {
        loop {
            let answer = outside
                .fleet
                .caller()
                .generate(outside.entry(0), MODEL, "p", 1)
                .await;
            if answer.status == 200 {
                return answer.tokens;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let tokens = tokio::time::timeout(Duration::from_secs(20), thawed).await;
    assert_eq!(tokens, Ok(1), "the thawed agent serves again");
    outside.agents.clear();
}

#[actix_rt::test]
async fn terminated_daemons_finish_what_runs_and_exit_cleanly() {
    let mut outside = Outside::start(2, 2, IDLE_MS).await;
    let v1 = version("v1");
    outside.deploy(&v1).await;
    for engine in &outside.engines {
        engine.state.token_ms.set(20);
    }
    let caller = outside.fleet.caller();
    let entry = outside.entry(0);
    let running: Vec<_> = (0..6)
        .map(|idx| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.generate(entry, MODEL, &format!("p{idx}"), 80).await },
            )
        })
        .collect();
    let busy = || 0 < outside.engines[0].state.running.get();
    until("the first agent is busy", busy).await;
    outside.agents[0].signal(Signal::SIGTERM);
    outside.entries[0].signal(Signal::SIGTERM);
    assert_eq!(outside.agents[0].ended().await, Some(0));
    assert_eq!(outside.entries[0].ended().await, Some(0));
    for (idx, running) in running.into_iter().enumerate() {
        let answer = running.await.expect("the caller's task ends");
        let expected = "200 the version's own text, end of 80 tokens by bulletin/v1, no error";
        assert_eq!(generated(&answer, &v1, &format!("p{idx}"), 80), expected);
    }
    let cancelled: u64 = outside
        .engines
        .iter()
        .map(|it| it.state.cancelled.get())
        .sum();
    assert_eq!(cancelled, 0);
}

#[actix_rt::test]
async fn a_second_signal_ends_a_daemon_that_still_drains() {
    let mut outside = Outside::start(1, 1, IDLE_MS).await;
    outside.deploy(&version("v1")).await;
    outside.engines[0].state.token_ms.set(20);
    let caller = outside.fleet.caller();
    let stream = caller
        .generate_stream(outside.entry(0), MODEL, 100_000)
        .await;
    let _stream = stream.expect("an answer");
    let engine = std::rc::Rc::clone(&outside.engines[0].state);
    until("the request runs", || engine.running.get() == 1).await;
    outside.agents[0].signal(Signal::SIGTERM);
    until_not_ready(&outside.agents[0]).await;
    outside.agents[0].signal(Signal::SIGTERM);
    assert_eq!(
        outside.agents[0].ended().await,
        Some(3),
        "the exit code tells that it cut off"
    );
}

/// Waits until a daemon says that it is leaving.
async fn until_not_ready(process: &Process) {
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
