//! What control costs while no request comes: processor time and bytes of idle fleets.

use std::{
    fs,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use gradeloft_policy::version::fetch::Scheme;
use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL},
    link::Links,
    weights::Version,
};

use crate::{
    distribute::{Seen, platform, serves, start_entry, wait},
    footprint::Figure,
    worker::{Common, Worker},
};

const AGENTS: [usize; 4] = [16, 32, 64, 128];
/// A link that limits nothing here.
const LINK: u64 = 1 << 30;
/// Time for a fleet to calm down.
const SETTLE: Duration = Duration::from_secs(2);
/// Time over which it is watched.
const WATCH: Duration = Duration::from_secs(8);
const TICKS_PER_S: f64 = 100.0;
const THREADS: usize = 4;

/// Figures of fleets of one entry and several numbers of agents, bundle in force, no requests.
pub(crate) fn figures() -> Vec<Figure> {
    let measured: Vec<(f64, f64)> = AGENTS
        .iter()
        .map(|it| actix_rt::System::new().block_on(watch(*it)))
        .collect();
    let at = |agents: usize| AGENTS.iter().position(|it| *it == agents).unwrap_or(0);
    vec![
        Figure::new("idle_cpu", "share of a core", "agent", &AGENTS, |it| {
            measured[at(it)].0
        }),
        Figure::new("idle_bytes", "bytes/s", "agent", &AGENTS, |it| {
            measured[at(it)].1
        }),
    ]
}

/// Share of a core and bytes a second, of all agents and the entry together.
async fn watch(agents: usize) -> (f64, f64) {
    let links = Arc::new(Links::default());
    let shape = FleetConfig {
        entries: 0,
        engines: 0,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(shape).await.expect("the platform starts");
    let entry = start_entry(&fleet).await;
    let (news, received) = mpsc::channel();
    let common = Common {
        platform: platform(&fleet),
        links: Arc::clone(&links),
        link_bytes_per_s: LINK,
        zones: 4,
        scheme: Scheme::Owners,
        prefill_ms: 0,
        token_ms: 0,
    };
    let share = |thread| (0..agents).filter(|it| it % THREADS == thread).collect();
    let workers: Vec<Worker> = (0..THREADS)
        .map(|it| Worker::start(common.clone(), share(it), news.clone()))
        .collect();
    let version = Version::new(MODEL, "v1", 1, 1 << 10);
    fleet.upload(&version);
    let mut bundle = fleet.bundle(1, None, &version);
    bundle.models[0].replicas = agents as u32;
    fleet
        .publish(&bundle)
        .await
        .expect("the bundle is accepted");
    let mut seen = Seen::default();
    wait(&fleet, &received, &mut seen, &|it| it.count("v1") == agents).await;
    let known = || {
        entry
            .node()
            .membership
            .borrow()
            .iter()
            .filter(|(_, it)| serves(it))
            .count()
    };
    gradeloft_standin::fleet::wait_until("the entry knows all agents", || known() == agents).await;
    actix_rt::time::sleep(SETTLE).await;
    let (started, cpu, bytes) = (Instant::now(), cpu_s(), links.bytes_sent());
    actix_rt::time::sleep(WATCH).await;
    let passed = started.elapsed().as_secs_f64();
    let used = (cpu_s() - cpu) / passed;
    let crossed = (links.bytes_sent() - bytes) as f64 / passed;
    workers.into_iter().for_each(Worker::stop);
    (used, crossed)
}

/// Processor time of this process so far, in seconds.
pub(crate) fn cpu_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|it| it.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}
