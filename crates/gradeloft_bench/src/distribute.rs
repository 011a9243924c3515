//! A new version reaches many agents: how soon, and with how many bytes of the origin.

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
    worker::{Common, News, Order, Worker},
};

/// The origin's link, in links of one agent: four copies in the time in which an agent's link
/// carries two.
const ORIGIN_LINKS: u64 = 2;
const ZONES: usize = 4;
const ORIGIN: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 2, 0, 1));
const ENTRY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 3, 0, 1));
/// A run that has not ended by then counts what has.
const GIVE_UP: Duration = Duration::from_secs(400);
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// How long live requests run before the rollout, to compare with.
const LIVE_BEFORE: Duration = Duration::from_secs(5);

/// A way to spread chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Way {
    /// All of these one after the other.
    All,
    /// What gradeloft does.
    Gradeloft,
    /// Everything from the origin.
    Origin,
    /// From random peers.
    Random,
    /// A static tree of fan-out 2.
    Tree,
}

/// What a rollout spends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Goal {
    /// Both, one after the other.
    Both,
    /// Be early.
    Time,
    /// Spare the origin.
    OriginBytes,
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Agents, or several numbers of them.
    #[arg(long, default_value = "64", value_delimiter = ',')]
    agents: Vec<usize>,
    /// Way to spread chunks.
    #[arg(long, value_enum, default_value = "gradeloft")]
    scheme: Way,
    /// Objective of the bundle; the baselines have none.
    #[arg(long, value_enum, default_value = "both")]
    objective: Goal,
    /// Chunks of the version.
    #[arg(long, default_value_t = 256)]
    chunks: usize,
    /// Bytes of a chunk.
    #[arg(long, default_value_t = 16 << 10)]
    chunk_bytes: usize,
    /// Speed of each agent's link, in bytes a second.
    #[arg(long, default_value_t = 1 << 20)]
    link: u64,
    /// Agents killed on the way, in percent.
    #[arg(long, default_value_t = 0)]
    kill_percent: usize,
    /// Chunks corrupted on the way, in percent.
    #[arg(long, default_value_t = 0)]
    corrupt_percent: u64,
    /// Send live requests before and during the rollout.
    #[arg(long)]
    live: bool,
    /// Print one JSON line for each run.
    #[arg(long)]
    json: bool,
    /// Draw replicas ready over time into this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Threads that carry agents.
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

/// Runs the measurement and prints what it gives.
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
        if let Err(why) = plot::draw(path, "Replicas ready over time", axes, &curves) {
            eprintln!("{}: {why}", path.display());
        }
    }
}

fn runs(args: &Args) -> Vec<(Scheme, Objective)> {
    let goals = match args.objective {
        Goal::Both => vec![Objective::Time, Objective::OriginBytes],
        Goal::Time => vec![Objective::Time],
        Goal::OriginBytes => vec![Objective::OriginBytes],
    };
    let ours = goals.into_iter().map(|it| (Scheme::Owners, it));
    let baseline = |it: Scheme| vec![(it, Objective::Time)];
    match args.scheme {
        Way::All => {
            let baselines = [Scheme::Origin, Scheme::Tree, Scheme::Random];
            baselines
                .into_iter()
                .flat_map(baseline)
                .chain(ours)
                .collect()
        }
        Way::Gradeloft => ours.collect(),
        Way::Origin => baseline(Scheme::Origin),
        Way::Random => baseline(Scheme::Random),
        Way::Tree => baseline(Scheme::Tree),
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
        let shape = FleetConfig {
            entries: 0,
            engines: 0,
            services: 0,
            ..FleetConfig::default()
        };
        let fleet = Fleet::start(shape).await.expect("the platform starts");
        let entry = start_entry(&fleet).await;
        let (news, received) = mpsc::channel();
        let workers = self.start_workers(&fleet, &links, &news);
        let mut seen = Seen::default();

        let small = Version::new(MODEL, "v0", 1, 1 << 10);
        fleet.upload(&small);
        let first = self.bundle(&fleet, 1, None, &small);
        fleet
            .publish(&first)
            .await
            .expect("the first bundle is accepted");
        let all = |seen: &Seen| seen.count("v0") == self.agents;
        wait(&fleet, &received, &mut seen, &all).await;
        let known = || {
            entry
                .node()
                .membership
                .borrow()
                .iter()
                .filter(|(_, it)| serves(it))
                .count()
        };
        gradeloft_standin::fleet::wait_until("the entry knows all agents", || {
            known() == self.agents
        })
        .await;

        let live = Rc::new(live::Load::new(entry.public(), self.agents));
        if self.args.live {
            live.start();
            actix_rt::time::sleep(LIVE_BEFORE).await;
            live.next_phase();
        }
        let version = Version::new(MODEL, "v1", self.args.chunks, self.args.chunk_bytes);
        fleet.upload(&version);
        *fleet.origin.state.links.borrow_mut() = Some((Arc::clone(&links), ORIGIN));
        fleet.origin.state.bytes_read.set(0);
        // One slice of 4 KiB of so many, so that this percentage of chunks is hit.
        let slices = (self.args.chunk_bytes as u64).div_ceil(4 << 10).max(1);
        let every = (slices * 100).checked_div(self.args.corrupt_percent);
        links
            .corrupt_every
            .store(every.unwrap_or(0), Ordering::Relaxed);
        let started = Instant::now();
        let second = self.bundle(&fleet, 2, Some(digest(&first)), &version);
        fleet
            .publish(&second)
            .await
            .expect("the second bundle is accepted");
        let killed = self
            .kill_some(&fleet, &workers, &received, &mut seen, started)
            .await;
        let survivors = self.agents - killed.len();
        let done = |seen: &Seen| seen.without("v1", &killed) == survivors;
        wait(&fleet, &received, &mut seen, &done).await;
        let times = seen.times("v1", &killed, started);
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
        news: &mpsc::Sender<News>,
    ) -> Vec<Worker> {
        let common = Common {
            platform: platform(fleet),
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
            .map(|it| Worker::start(common.clone(), share(it), news.clone()))
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

    /// Kills some agents a third of the way; gives which.
    async fn kill_some(
        &self,
        fleet: &Fleet,
        workers: &[Worker],
        received: &mpsc::Receiver<News>,
        seen: &mut Seen,
        started: Instant,
    ) -> Vec<usize> {
        let count = self.agents * self.args.kill_percent / 100;
        if count == 0 {
            return Vec::new();
        }
        let third = Duration::from_secs_f64(self.floor_s() / 3.0);
        let due = |_: &Seen| third <= started.elapsed();
        wait(fleet, received, seen, &due).await;
        let mut agents: Vec<usize> = (0..self.agents).collect();
        agents.shuffle(&mut ChaCha8Rng::seed_from_u64(self.agents as u64));
        agents.truncate(count);
        for idx in &agents {
            for worker in workers.iter().filter(|it| it.agents.contains(idx)) {
                worker.order(Order::Kill(*idx));
            }
        }
        agents
    }

    /// No way can be faster: the version over an agent's link, and one chunk over as many links as
    /// it takes to reach all agents by doubling.
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
        let at = |share: f64| {
            let needed = ((survivors as f64 * share).ceil() as usize).max(1);
            times.get(needed - 1).copied().unwrap_or(f64::INFINITY)
        };
        let floor_s = self.floor_s();
        let ours = self.scheme == Scheme::Owners;
        Report {
            scheme: match self.scheme {
                Scheme::Origin => "origin",
                Scheme::Owners => "gradeloft",
                Scheme::Random => "random",
                Scheme::Tree => "tree",
            },
            objective: match self.objective {
                _ if !ours => "none",
                Objective::OriginBytes => "origin_bytes",
                Objective::Time => "time",
            },
            agents: self.agents,
            killed,
            size_bytes: version.size_bytes(),
            t50_s: at(0.5),
            t95_s: at(0.95),
            t100_s: at(1.0),
            floor_s,
            t95_over_floor: at(0.95) / floor_s,
            t100_over_floor: at(1.0) / floor_s,
            origin_copies: fleet.origin.state.bytes_read.get() as f64 / version.size_bytes() as f64,
            ready: times.len(),
            corrupt_chunks: 0,
            live: self.args.live.then(|| live.report()),
        }
    }
}

/// When each agent served each version.
#[derive(Default)]
pub(crate) struct Seen(BTreeMap<(String, usize), Instant>);

impl Seen {
    /// How many agents serve a version.
    pub(crate) fn count(&self, version: &str) -> usize {
        self.without(version, &[])
    }

    fn without(&self, version: &str, killed: &[usize]) -> usize {
        self.0
            .keys()
            .filter(|(it, agent)| it == version && !killed.contains(agent))
            .count()
    }

    /// Seconds since `started`, sorted.
    fn times(&self, version: &str, killed: &[usize], started: Instant) -> Vec<f64> {
        let alive = self
            .0
            .iter()
            .filter(|((it, agent), _)| it == version && !killed.contains(agent));
        let mut times: Vec<f64> = alive
            .map(|(_, at)| at.duration_since(started).as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }
}

/// Takes in news until a condition holds or it takes too long.
pub(crate) async fn wait(
    fleet: &Fleet,
    received: &mpsc::Receiver<News>,
    seen: &mut Seen,
    done: &dyn Fn(&Seen) -> bool,
) {
    let started = Instant::now();
    while !done(seen) && started.elapsed() < GIVE_UP {
        for news in received.try_iter() {
            match news {
                News::Started(instance) => fleet.list.state.add(*instance),
                News::Serves { agent, version, at } => {
                    seen.0.entry((version, agent)).or_insert(at);
                }
            }
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}

/// Whether an entry sees a peer serve anything.
pub(crate) fn serves(peer: &gradeloft_policy::process::membership::Peer) -> bool {
    peer.notice
        .as_ref()
        .is_some_and(|it| !it.serving.is_empty())
}

/// What all settings say of the platform, in YAML.
pub(crate) fn platform(fleet: &Fleet) -> String {
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

/// Starts an entry on an address of its own, whose link is not limited.
pub(crate) async fn start_entry(fleet: &Fleet) -> entry::Handle {
    let yaml = format!(
        "role: entry\nnode: {{id: entry-0, zone: zone-0, region: r}}\nlisten: {{peer: \"{ENTRY}:0\", \
         admin: \"{ENTRY}:0\", public: \"{ENTRY}:0\", source: \"{ENTRY}\"}}\n{}\n",
        platform(fleet)
    );
    let settings = settings::parse(&yaml).expect("sound settings");
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
