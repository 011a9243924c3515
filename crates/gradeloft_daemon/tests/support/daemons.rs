//! Daemons as separate processes, beside a platform and endpoints in the process of the test.

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
    weights::Version,
};
use gradeloft_wire::border::platform::{Instance, InstanceRole, InstanceState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use super::describe_generate;

/// A daemon in a separate process, which is killed when dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) public: Option<SocketAddr>,
}

impl Process {
    pub(crate) fn start(id: &str, role: &str, settings: &str) -> Process {
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

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the process is signalled");
    }

    /// Waits for the process to exit, and returns its exit code.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
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
pub(crate) struct DaemonFleet {
    pub(crate) fleet: Fleet,
    /// Address of all daemons.
    pub(crate) address: String,
    /// Limits in the settings of the daemons.
    pub(crate) limits: String,
    pub(crate) engines: Vec<Engine>,
    pub(crate) service: Service,
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
}

impl DaemonFleet {
    /// Starts daemons that time out on a silent peer or endpoint after `idle_ms`.
    pub(crate) async fn start(engines: usize, entries: usize, idle_ms: u64) -> DaemonFleet {
        let limits = format!("idle_ms: {idle_ms}");
        DaemonFleet::start_with(engines, entries, "127.0.0.1", &limits).await
    }

    /// Starts daemons at an address, with limits as in the settings file.
    pub(crate) async fn start_with(
        engines: usize,
        entries: usize,
        address: &str,
        limits: &str,
    ) -> DaemonFleet {
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
            address: address.to_owned(),
            limits: limits.to_owned(),
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
        let (fleet, address) = (&self.fleet, &self.address);
        format!(
            "role: {role}\nnode: {{id: {id}, zone: zone-0, region: region-0}}\nlisten: {{peer: \
             \"{address}:0\", admin: \"{address}:0\"{public}}}\nplatform: {{log: \"{}\", list: \
             \"{}\", store: \"{}\", origin: \"{}\"}}\npublishers: [{{name: {SIGNER}, key: {}}}]\n\
             limits: {{{}}}\n{part}\n",
            fleet.log.url(),
            fleet.list.url(),
            fleet.store.url(),
            fleet.origin.url(),
            fleet.key.public(),
            self.limits
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
        let public = format!(", public: \"{}:0\"", self.address);
        let settings = self.settings(id, "entry", &public, "");
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

    pub(crate) fn entry(&self, idx: usize) -> SocketAddr {
        self.entries[idx]
            .public
            .expect("entries have a public address")
    }

    /// Publishes the first bundle and waits until requests succeed at every entry.
    pub(crate) async fn deploy(&self, version: &Version) {
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

    pub(crate) async fn assert_generates(&self, version: &Version, prompt: &str) {
        let answer = self
            .fleet
            .caller()
            .generate(self.entry(0), MODEL, prompt, 2)
            .await;
        let expected = "200 the version's own text, end of 2 tokens by bulletin/v1, no error";
        assert_eq!(describe_generate(&answer, version, prompt, 2), expected);
    }
}
