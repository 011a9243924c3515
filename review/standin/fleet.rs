//! The processes of the project and the stand-ins of a small deployment, on loopback addresses.

use std::{
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    record::Record,
    replica::Replica,
    store::Store,
    weights::{self, BLOCK_BYTES, BLOCKS, MODEL},
};

/// The program that the deploy file builds.
const PROGRAM: &str = "target/release/gradeloft-platform";
/// Port on which every process serves its metrics.
const METRICS: u16 = 9464;
/// Host of all routes.
pub const HOST: &str = "calls.example";
/// Zones, each in a region of its own.
const ZONES: [&str; 3] = ["puntarenas", "heredia", "limon"];

/// A signal that a case sends.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Continue = 18,
    Stop = 19,
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A process of the project, which ends with the case.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A small deployment.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub replicas: Vec<Arc<Replica>>,
    origin: SocketAddr,
    frontends: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    dir: PathBuf,
    net: u8,
    peer_port: u16,
    store_address: SocketAddr,
    seeds: Vec<String>,
    /// The agents in the order of their replicas, then the entries.
    processes: Vec<Process>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        // The folder is a temporary one.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Number and network of the machines of a case.
#[derive(Clone, Copy)]
pub struct Scale {
    pub entries: u8,
    pub replicas: u8,
    /// Third byte of all addresses.
    pub net: u8,
}

impl Fleet {
    /// Starts a deployment; `config` is the operator's first configuration, made from the address
    /// of the service with the weights.
    pub fn start(
        scale: Scale,
        case: &Path,
        config: impl FnOnce(SocketAddr) -> String,
    ) -> io::Result<Fleet> {
        weights::check_digest()?;
        let record = Arc::new(Record::create(&case.join("record.txt"))?);
        let net = scale.net;
        let address = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 83, net, last));
        let entries: Vec<u8> = (1..=scale.entries).collect();
        let sides: Vec<u8> = (0..scale.replicas).map(|it| 101 + it).collect();
        let machines: Vec<IpAddr> = entries.iter().chain(&sides).map(|it| address(*it)).collect();
        for it in &machines {
            drop(TcpListener::bind((*it, METRICS))?);
        }
        let peer_port = free_on_all(&machines)?;
        let listen = |last: u8| TcpListener::bind((address(last), 0));
        let listener = listen(254)?;
        let store_address = listener.local_addr()?;
        let store = Store::start(listener);
        let listener = listen(253)?;
        let origin = listener.local_addr()?;
        weights::start(listener, Arc::clone(&record));
        let first = config(origin);
        record.line(format_args!("operator: writes {first}"));
        store.put("keyed.op", "config", &first);
        let dir = std::env::temp_dir().join(format!("case-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let seeds = entries.iter().take(3).map(|it| format!("{}:{peer_port}", address(*it)));
        let mut fleet = Fleet {
            record,
            store,
            replicas: Vec::new(),
            origin,
            frontends: Vec::new(),
            readiness: Vec::new(),
            dir,
            net,
            peer_port,
            store_address,
            seeds: seeds.collect(),
            processes: Vec::new(),
        };
        for (idx, last) in sides.iter().enumerate() {
            let zone = ZONES[idx % ZONES.len()];
            let listener = listen(*last)?;
            let at = listener.local_addr()?;
            let id = format!("i-{last}");
            let replica = Replica::start(&id, zone, listener, &fleet.record, &fleet.store)?;
            fleet.replicas.push(replica);
            let role = format!("replica: \"{at}\"\nservice: pool\nlink_mbps: 9.4\n");
            fleet.start_process("agent", *last, zone, &role)?;
        }
        for (idx, last) in entries.iter().enumerate() {
            let zone = ZONES[idx % ZONES.len()];
            let ports: Vec<SocketAddr> = (0..3)
                .map(|_| listen(*last)?.local_addr())
                .collect::<io::Result<_>>()?;
            let role = format!(
                "frontend: \"{}\"\nreadiness: \"{}\"\ndirectory: \"{}\"\nlink_mbps: 1000\n",
                ports[0], ports[1], ports[2]
            );
            fleet.frontends.push(ports[0]);
            fleet.readiness.push(ports[1]);
            fleet.start_process("entry", *last, zone, &role)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn start_process(&mut self, role: &str, last: u8, zone: &str, own: &str) -> io::Result<()> {
        let name = format!("{role}-{last}");
        let settings = format!(
            "instance: {name}\naddress: 127.83.{}.{last}\nzone: {zone}\n\
             regions: {{puntarenas: pacifico, heredia: central, limon: caribe}}\n\
             peer_ports: [{}, {}]\nseeds: {:?}\nstore: \"{}\"\n{own}\
             repeat_ratio: 0.2\nrepeat_slack: 102\nrepeat_window_s: 10\napply_ms: 2000\n\
             version_ms: 8000\ngrace_s: 8\nmax_ttl_s: 5\n",
            self.net, self.peer_port, self.peer_port, self.seeds, self.store_address
        );
        let file = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&file, settings)?;
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        command.arg(role).arg("--settings").arg(&file);
        command.stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        // SAFETY: `prctl` with plain numbers may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.record.line(format_args!("starts {name}"));
        self.processes.push(Process(child));
        Ok(())
    }

    /// Waits until every entry says that it is ready.
    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let ready = |it: &SocketAddr| {
            let head = "GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n";
            let answer = http::call(*it, head, b"", Duration::from_secs(1));
            answer.is_ok_and(|it| it.status == 200)
        };
        while !self.readiness.iter().all(ready) {
            for process in &mut self.processes {
                if let Some(status) = process.0.try_wait()? {
                    return Err(io::Error::other(format!("a process ended: {status}")));
                }
            }
            if until < Instant::now() {
                return Err(io::Error::other("the entries aren't ready"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line(format_args!("the entries are ready"));
        Ok(())
    }

    /// Sends a signal to the agent of a replica.
    pub fn signal_agent(&self, replica: usize, signal: Signal) {
        let pid = self.processes[replica].0.id() as i32;
        // SAFETY: `kill` takes plain numbers, and the process is a child that hasn't been waited for.
        unsafe { kill(pid, signal as i32) };
        let id = &self.replicas[replica].id;
        self.record.line(format_args!("signal {signal:?} to the agent of {id}"));
    }

    /// Returns the memory that an entry takes now; `None` once it has ended.
    pub fn entry_memory_mb(&mut self, entry: usize) -> Option<u64> {
        let process = &mut self.processes[self.replicas.len() + entry].0;
        if process.try_wait().ok()?.is_some() {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, entry: usize) {
        let process = &mut self.processes[self.replicas.len() + entry].0;
        // It may have ended by itself.
        let _ = process.kill();
    }

    /// Returns the address of an entry for clients.
    pub fn frontend(&self, number: usize) -> SocketAddr {
        self.frontends[number % self.frontends.len()]
    }

    /// Returns the address of the service with the weights.
    pub fn origin(&self) -> SocketAddr {
        self.origin
    }
}

/// Returns a port that is free at all addresses.
fn free_on_all(machines: &[IpAddr]) -> io::Result<u16> {
    for _ in 0..50 {
        let port = TcpListener::bind((machines[0], 0))?.local_addr()?.port();
        let free = |it: &IpAddr| {
            TcpListener::bind((*it, port)).is_ok() && UdpSocket::bind((*it, port)).is_ok()
        };
        if machines.iter().all(free) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free at all addresses"))
}

/// A client's request.
pub struct Call<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    /// Prompt tokens and most output tokens.
    pub usage: Option<(u64, u64)>,
}

/// Sends a client's request to an entry, and writes down what came back.
pub fn send(record: &Record, to: SocketAddr, call: &Call<'_>) -> io::Result<Answer> {
    let Call {
        path,
        id,
        key,
        deadline_ms,
        usage,
    } = call;
    let mut head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    );
    if let Some(key) = key {
        head += &format!("X-Key: {key}\r\n");
    }
    if let Some((prompt, output)) = usage {
        head += &format!(
            "X-Model-Id: {MODEL}\r\nX-Token-Usage: {prompt},{output}\r\nX-Prefix-Hash: {id}:{prompt}\r\n"
        );
    }
    record.line(format_args!("client: sends {id} with key {}", key.unwrap_or("-")));
    let within = Duration::from_millis(deadline_ms + 1_000);
    let answer = http::call(to, &head, b"hello", within);
    match &answer {
        Ok(it) => record.line(format_args!(
            "client: {id} gets {}, seal {}, whole {}",
            it.status,
            http::field(&it.fields, "x-response-seal").unwrap_or("-"),
            it.whole
        )),
        Err(error) => record.line(format_args!("client: {id} gets no answer: {error}")),
    }
    answer
}

/// Makes a configuration with one service of replicas, a route of resumable streams to it and
/// further `routes`.
pub fn config(version: u64, origin: SocketAddr, routes: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"path-prefix\":\"/stream/\",\"route-kind\":\"streaming\",\"timeout-ms\":6000,\"latency-goal-ms\":400,\"priority\":1,\"service\":\"pool\",\"max-attempts\":2,\"public\":false,\"affinity\":true,\"resumable\":true,\"itl-target-ms\":300}}{routes}],\
         \"services\":[{{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-conns\":194,\"protocol\":\"h1\",\"tls\":false,\"runtime\":{{\"max-batch\":16,\"kv-capacity\":685000,\"kv-bytes\":327680,\"link-mbps\":400000.0,\"stride\":6,\"model-list\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"load-s\":4.0,\"warm-s\":0.3}}],\"size-mb\":297000.0,\"lora-slots\":8,\"loads-per-s\":0.0,\"step_ms\":7.4,\"per_seq_ms\":0.0387,\"context_per_k\":0.0203,\"read_per_s\":31900.0,\"pairs_per_m\":0.733,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_at_once\":8,\"usual\":{{\"prompt\":973,\"answer\":106}},\"layers\":16,\"layer_mb\":4540.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"blocks\":{BLOCKS},\"block-bytes\":{BLOCK_BYTES}}}}},\
         {{\"name\":\"office\",\"upstream\":\"{origin}\",\"zone\":\"limon\",\"link-mbps\":15.0,\"max-conns\":48}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

/// A further route, whose requests run once at most.
pub const ONCE_ROUTE: &str = concat!(
    ",{\"name\":\"r-once\",\"host\":\"calls.example\",\"path-prefix\":\"/book/\",\"route-kind\":\"non_idempotent\",",
    "\"timeout-ms\":1500,\"latency-goal-ms\":150,\"priority\":1,\"service\":\"pool\",\"max-attempts\":2,\"public\":false}"
);
