//! Distribution of a new version to many agents: time, and bytes read from the origin.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    path::PathBuf,
    rc::Rc,
    sync::{Arc, atomic::Ordering, mpsc},
    time::{Duration, Instant},
};

use clap::ValueEnum;
use gradeloft_daemon::{
    entry, logging,
    node::{Node, Platform},
    settings,
};
use gradeloft_policy::version::fetch::Scheme;
use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL, SIGNER, digest},
    link::Links,
    weights::Version,
};
use gradeloft_wire::border::{
    bundle::{Bundle, Objective, Rollout},
    platform::{Instance, InstanceRole, InstanceState},
};
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    live,
    plot::{self, Curve},
    worker::{Worker, WorkerCommand, WorkerConfig, WorkerEvent},
};

/// Speed of the origin's link, as a multiple of an agent's link: the origin sends four copies in the
/// time in which an agent's link carries two.
const ORIGIN_LINKS: u64 = 2;
const ZONES: usize = 4;
const ORIGIN: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 2, 0, 1));
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 3, 0, 1));
/// Timeout of each wait; the report counts the agents that serve the version by then.
const TIMEOUT: Duration = Duration::from_secs(400);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for live requests before the rollout, as the baseline.
const LIVE_BASELINE: Duration = Duration::from_secs(5);

/// Scheme to distribute chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum SchemeArg {
    /// All schemes in turn.
    All,
    /// The policy of gradeloft.
    Gradeloft,
    /// All chunks from the origin.
    Origin,
    /// Chunks from random peers.
    Random,
    /// A static tree of fan-out 2.
    Tree,
}

/// Objective of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum ObjectiveArg {
    /// Both objectives in turn.
    Both,
    /// Shortest time.
    Time,
    /// Fewest bytes from the origin.
    OriginBytes,
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Numbers of agents, with a run for each.
    #[arg(long, default_value = "64", value_delimiter = ',')]
    agents: Vec<usize>,
    /// Scheme to distribute chunks.
    #[arg(long, value_enum, default_value = "gradeloft")]
    scheme: SchemeArg,
    /// Objective of the bundle; the baselines have none.
    #[arg(long, value_enum, default_value = "both")]
    objective: ObjectiveArg,
    /// Number of chunks of the version.
    #[arg(long, default_value_t = 256)]
    chunks: usize,
    /// Size of a chunk in bytes.
    #[arg(long, default_value_t = 16 << 10)]
    chunk_bytes: usize,
    /// Speed of each agent's link, in bytes per second.
    #[arg(long, default_value_t = 1 << 20)]
    link: u64,
    /// Agents killed during the rollout, in percent.
    #[arg(long, default_value_t = 0)]
    kill_percent: usize,
    /// Chunks corrupted in transit, in percent.
    #[arg(long, default_value_t = 0)]
    corrupt_percent: u64,
    /// Send live requests before and during the rollout.
    #[arg(long)]
    live: bool,
    /// Print one JSON line for each run.
    #[arg(long)]
    json: bool,
    /// SVG file for a chart of ready replicas over time.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Threads that run agents.
    #[arg(long, default_value_t = 6)]
    threads: usize,
}

#[derive(Debug, Serialize)]
struct Report {
    scheme: &'static str,
    objective: &'static str,
    agents: usize,
    killed: usize,
    size_bytes: u64,
    t50_s: f64,
    t95_s: f64,
    t100_s: f64,
    floor_s: f64,
    t95_over_floor: f64,
    t100_over_floor: f64,
    origin_copies: f64,
    ready: usize,
    corrupt_chunks: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    live: Option<live::Report>,
}

/// Runs the measurement and prints its report.
pub(crate) fn run(args: &Args) {
    let mut curves = Vec::new();
    for &agents in &args.agents {
        for (scheme, objective) in runs(args) {
            let run = Run {
                args,
                agents,
                scheme,
                objective,
            };
            let (report, curve) = actix_rt::System::new().block_on(run.measure());
            print(args, &report);
            curves.push(curve);
        }
    }
    if let Some(path) = &args.plot {
        let axes = (
            "seconds since the bundle was published",
            "replicas that serve it",
        );
        if let Err(error) = plot::draw(path, "Replicas ready over time", axes, &curves) {
            eprintln!("{}: {error}", path.display());
        }
    }
}

fn runs(args: &Args) -> Vec<(Scheme, Objective)> {
    let objectives = match args.objective {
        ObjectiveArg::Both => vec![Objective::Time, Objective::OriginBytes],
        ObjectiveArg::Time => vec![Objective::Time],
        ObjectiveArg::OriginBytes => vec![Objective::OriginBytes],
    };
    let gradeloft = objectives.into_iter().map(|it| (Scheme::Owners, it));
    let baseline = |it: Scheme| vec![(it, Objective::Time)];
    match args.scheme {
        SchemeArg::All => {
            let baselines = [Scheme::Origin, Scheme::Tree, Scheme::Random];
            baselines
                .into_iter()
                .flat_map(baseline)
                .chain(gradeloft)
                .collect()
        }
        SchemeArg::Gradeloft => gradeloft.collect(),
        SchemeArg::Origin => baseline(Scheme::Origin),
        SchemeArg::Random => baseline(Scheme::Random),
        SchemeArg::Tree => baseline(Scheme::Tree),
    }
}

fn print(args: &Args, report: &Report) {
    if args.json {
        println!("{}", serde_json::to_string(report).expect("plain numbers"));
        return;
    }
    println!(
        "{}/{} {} agents: t50 {:.2} s, t95 {:.2} s, t100 {:.2} s, floor {:.2} s, t95/floor {:.2}, \
         origin copies {:.3}",
        report.scheme,
        report.objective,
        report.agents,
        report.t50_s,
        report.t95_s,
        report.t100_s,
        report.floor_s,
        report.t95_over_floor,
        report.origin_copies
    );
}

struct Run<'a> {
    args: &'a Args,
    agents: usize,
    scheme: Scheme,
    objective: Objective,
}

impl Run<'_> {
    async fn measure(&self) -> (Report, Curve) {
        let links = Arc::new(Links::default());
        links.set(ORIGIN, self.args.link * ORIGIN_LINKS);
        let config = FleetConfig {
            entries: 0,
            engines: 0,
            services: 0,
            ..FleetConfig::default()
        };
        let fleet = Fleet::start(config).await.expect("the platform starts");
        let entry = start_entry(&fleet).await;
        let (events, received) = mpsc::channel();
        let workers = self.start_workers(&fleet, &links, &events);
        let mut serving = ServingTimes::default();

        let small = Version::new(MODEL, "v0", 1, 1 << 10);
        fleet.upload(&small);
        let first = self.bundle(&fleet, 1, None, &small);
        fleet
            .publish(&first)
            .await
            .expect("the first bundle is accepted");
        let all_serving = |serving: &ServingTimes| serving.count("v0") == self.agents;
        wait_until(&fleet, &received, &mut serving, &all_serving).await;
        let serving_peers = || {
            entry
                .node()
                .membership
                .borrow()
                .iter()
                .filter(|(_, it)| is_serving(it))
                .count()
        };
        gradeloft_standin::fleet::wait_until("the entry knows all agents", || {
            serving_peers() == self.agents
        })
        .await;

        let live = Rc::new(live::Load::new(entry.public(), self.agents));
        if self.args.live {
            live.start();
            actix_rt::time::sleep(LIVE_BASELINE).await;
            live.next_phase();
        }
        let version = Version::new(MODEL, "v1", self.args.chunks, self.args.chunk_bytes);
        fleet.upload(&version);
        *fleet.origin.state.links.borrow_mut() = Some((Arc::clone(&links), ORIGIN));
        fleet.origin.state.bytes_read.set(0);
        // One in this many slices of 4 KiB is corrupted, so that the given percentage of chunks is.
        let slices = (self.args.chunk_bytes as u64).div_ceil(4 << 10).max(1);
        let corrupt_every = (slices * 100).checked_div(self.args.corrupt_percent);
        links
            .corrupt_every
            .store(corrupt_every.unwrap_or(0), Ordering::Relaxed);
        let started = Instant::now();
        let second = self.bundle(&fleet, 2, Some(digest(&first)), &version);
        fleet
            .publish(&second)
            .await
            .expect("the second bundle is accepted");
        let killed = self
            .kill_some(&fleet, &workers, &received, &mut serving, started)
            .await;
        let survivors = self.agents - killed.len();
        let done = |serving: &ServingTimes| serving.count_without("v1", &killed) == survivors;
        wait_until(&fleet, &received, &mut serving, &done).await;
        let times = serving.times("v1", &killed, started);
        let report = self.report(&fleet, &version, &times, killed.len(), &live);
        live.stop();
        let corrupt_chunks = links.corrupted.load(Ordering::Relaxed);
        let report = Report {
            corrupt_chunks,
            ..report
        };
        workers.into_iter().for_each(Worker::stop);
        let points = times
            .iter()
            .enumerate()
            .map(|(idx, it)| (*it, (idx + 1) as f64))
            .collect();
        let name = format!("{}/{} {}", report.scheme, report.objective, self.agents);
        (report, Curve { name, points })
    }

    fn start_workers(
        &self,
        fleet: &Fleet,
        links: &Arc<Links>,
        events: &mpsc::Sender<WorkerEvent>,
    ) -> Vec<Worker> {
        let config = WorkerConfig {
            platform: platform_yaml(fleet),
            links: Arc::clone(links),
            link_bytes_per_s: self.args.link,
            zones: ZONES,
            scheme: self.scheme,
            prefill_ms: live::PREFILL_MS,
            token_ms: live::TOKEN_MS,
        };
        let threads = self.args.threads.max(1);
        let share = |thread| {
            (0..self.agents)
                .filter(|it| it % threads == thread)
                .collect()
        };
        (0..threads)
            .map(|it| Worker::start(config.clone(), share(it), events.clone()))
            .collect()
    }

    fn bundle(
        &self,
        fleet: &Fleet,
        number: u64,
        parent: Option<gradeloft_wire::id::Digest>,
        version: &Version,
    ) -> Bundle {
        let mut bundle = fleet.bundle(number, parent, version);
        bundle.models[0].replicas = self.agents as u32;
        bundle.rollout = Some(Rollout {
            max_unavailable: 1,
            objective: Some(self.objective),
            origin_copies: 4.0,
            ready_required: 1,
            zone_order: Vec::new(),
        });
        bundle
    }

    /// Kills some agents after a third of the minimum time; returns their indices.
    async fn kill_some(
        &self,
        fleet: &Fleet,
        workers: &[Worker],
        received: &mpsc::Receiver<WorkerEvent>,
        serving: &mut ServingTimes,
        started: Instant,
    ) -> Vec<usize> {
        let count = self.agents * self.args.kill_percent / 100;
        if count == 0 {
            return Vec::new();
        }
        let third = Duration::from_secs_f64(self.floor_s() / 3.0);
        let is_due = |_: &ServingTimes| third <= started.elapsed();
        wait_until(fleet, received, serving, &is_due).await;
        let mut agents: Vec<usize> = (0..self.agents).collect();
        agents.shuffle(&mut ChaCha8Rng::seed_from_u64(self.agents as u64));
        agents.truncate(count);
        for idx in &agents {
            for worker in workers.iter().filter(|it| it.agents.contains(idx)) {
                worker.send(WorkerCommand::Kill(*idx));
            }
        }
        agents
    }

    /// Returns a lower bound for the time of any scheme, in seconds: the version over one agent's
    /// link, plus one chunk over as many hops as it takes to reach all agents by doubling.
    fn floor_s(&self) -> f64 {
        let link = self.args.link as f64;
        let chunk_s = self.args.chunk_bytes as f64 / link;
        let hops = (self.agents as f64).log2().ceil();
        self.args.chunks as f64 * chunk_s + hops * chunk_s
    }

    fn report(
        &self,
        fleet: &Fleet,
        version: &Version,
        times: &[f64],
        killed: usize,
        live: &live::Load,
    ) -> Report {
        let survivors = self.agents - killed;
        let quantile_s = |share: f64| {
            let needed = ((survivors as f64 * share).ceil() as usize).max(1);
            times.get(needed - 1).copied().unwrap_or(f64::INFINITY)
        };
        let floor_s = self.floor_s();
        let is_gradeloft = self.scheme == Scheme::Owners;
        Report {
            scheme: match self.scheme {
                Scheme::Origin => "origin",
                Scheme::Owners => "gradeloft",
                Scheme::Random => "random",
                Scheme::Tree => "tree",
            },
            objective: match self.objective {
                _ if !is_gradeloft => "none",
                Objective::OriginBytes => "origin_bytes",
                Objective::Time => "time",
            },
            agents: self.agents,
            killed,
            size_bytes: version.size_bytes(),
            t50_s: quantile_s(0.5),
            t95_s: quantile_s(0.95),
            t100_s: quantile_s(1.0),
            floor_s,
            t95_over_floor: quantile_s(0.95) / floor_s,
            t100_over_floor: quantile_s(1.0) / floor_s,
            origin_copies: fleet.origin.state.bytes_read.get() as f64 / version.size_bytes() as f64,
            ready: times.len(),
            corrupt_chunks: 0,
            live: self.args.live.then(|| live.report()),
        }
    }
}

/// Time at which each agent started to serve each version.
#[derive(Default)]
pub(crate) struct ServingTimes(BTreeMap<(String, usize), Instant>);

impl ServingTimes {
    /// Returns the number of agents that serve a version.
    pub(crate) fn count(&self, version: &str) -> usize {
        self.count_without(version, &[])
    }

    fn count_without(&self, version: &str, killed: &[usize]) -> usize {
        self.0
            .keys()
            .filter(|(it, agent)| it == version && !killed.contains(agent))
            .count()
    }

    /// Returns the sorted times at which agents started to serve a version, in seconds since
    /// `started`.
    fn times(&self, version: &str, killed: &[usize], started: Instant) -> Vec<f64> {
        let survivors = self
            .0
            .iter()
            .filter(|((it, agent), _)| it == version && !killed.contains(agent));
        let mut times: Vec<f64> = survivors
            .map(|(_, at)| at.duration_since(started).as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }
}

/// Processes events of the workers until a condition holds or the timeout expires.
pub(crate) async fn wait_until(
    fleet: &Fleet,
    received: &mpsc::Receiver<WorkerEvent>,
    serving: &mut ServingTimes,
    done: &dyn Fn(&ServingTimes) -> bool,
) {
    let started = Instant::now();
    while !done(serving) && started.elapsed() < TIMEOUT {
        for event in received.try_iter() {
            match event {
                WorkerEvent::Started(instance) => fleet.list.state.add(*instance),
                WorkerEvent::Serves { agent, version, at } => {
                    serving.0.entry((version, agent)).or_insert(at);
                }
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a peer's newest notice lists any served version.
pub(crate) fn is_serving(peer: &gradeloft_policy::process::membership::Peer) -> bool {
    peer.notice
        .as_ref()
        .is_some_and(|it| !it.serving.is_empty())
}

/// Returns the settings of the platform and the publisher, in YAML.
pub(crate) fn platform_yaml(fleet: &Fleet) -> String {
    format!(
        "platform: {{log: \"{}\", list: \"{}\", store: \"{}\", origin: \"{}\"}}\npublishers: [{{name: \
         {SIGNER}, key: {}}}]",
        fleet.log.url(),
        fleet.list.url(),
        fleet.store.url(),
        fleet.origin.url(),
        fleet.key.public()
    )
}

/// Starts an entry on a separate loopback address, whose link is not limited.
pub(crate) async fn start_entry(fleet: &Fleet) -> entry::Handle {
    let yaml = format!(
        "role: entry\nnode: {{id: entry-0, zone: zone-0, region: r}}\nlisten: {{peer: \"{ENTRY}:0\", \
         admin: \"{ENTRY}:0\", public: \"{ENTRY}:0\", source: \"{ENTRY}\"}}\n{}\n",
        platform_yaml(fleet)
    );
    let settings = settings::parse(&yaml).expect("valid settings");
    let platform = Platform::http(&settings);
    let node = Node::new(settings, platform, logging::none(), 1 << 40);
    let entry = entry::Builder::new(node)
        .start()
        .await
        .expect("the entry starts");
    fleet.list.state.add(Instance {
        id: "entry-0".to_owned(),
        zone: "zone-0".to_owned(),
        region: "r".to_owned(),
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        peer: entry.peer().to_string(),
        public: Some(entry.public().to_string()),
        admin: Some(entry.admin().to_string()),
        service: None,
    });
    entry
}
