//! Cost of the control plane without requests: processor time and traffic of idle fleets.

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
    distribute::{ServingTimes, is_serving, platform_yaml, start_entry, wait_until},
    footprint::Figure,
    worker::{Worker, WorkerConfig},
};

const AGENTS: [usize; 4] = [16, 32, 64, 128];
/// Link speed; too high to be a bottleneck.
const LINK_BYTES_PER_S: u64 = 1 << 30;
/// Time before the measurement, for startup traffic to end.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
const THREADS: usize = 4;

/// Measures idle fleets of one entry and several numbers of agents, with a bundle in force.
pub(crate) fn figures() -> Vec<Figure> {
    let measured: Vec<(f64, f64)> = AGENTS
        .iter()
        .map(|it| actix_rt::System::new().block_on(measure(*it)))
        .collect();
    let idx_of = |agents: usize| AGENTS.iter().position(|it| *it == agents).unwrap_or(0);
    vec![
        Figure::new("idle_cpu", "share of a core", "agent", &AGENTS, |it| {
            measured[idx_of(it)].0
        }),
        Figure::new("idle_bytes", "bytes/s", "agent", &AGENTS, |it| {
            measured[idx_of(it)].1
        }),
    ]
}

/// Returns the share of a core and the bytes per second of all agents and the entry together.
async fn measure(agents: usize) -> (f64, f64) {
    let links = Arc::new(Links::default());
    let config = FleetConfig {
        entries: 0,
        engines: 0,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the platform starts");
    let entry = start_entry(&fleet).await;
    let (events, received) = mpsc::channel();
    let worker_config = WorkerConfig {
        platform: platform_yaml(&fleet),
        links: Arc::clone(&links),
        link_bytes_per_s: LINK_BYTES_PER_S,
        zones: 4,
        scheme: Scheme::Owners,
        prefill_ms: 0,
        token_ms: 0,
    };
    let share = |thread| (0..agents).filter(|it| it % THREADS == thread).collect();
    let workers: Vec<Worker> = (0..THREADS)
        .map(|it| Worker::start(worker_config.clone(), share(it), events.clone()))
        .collect();
    let version = Version::new(MODEL, "v1", 1, 1 << 10);
    fleet.upload(&version);
    let mut bundle = fleet.bundle(1, None, &version);
    bundle.models[0].replicas = agents as u32;
    fleet
        .publish(&bundle)
        .await
        .expect("the bundle is accepted");
    let mut serving = ServingTimes::default();
    wait_until(&fleet, &received, &mut serving, &|it| {
        it.count("v1") == agents
    })
    .await;
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
        serving_peers() == agents
    })
    .await;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let (started, cpu, bytes) = (Instant::now(), cpu_s(), links.bytes_sent());
    actix_rt::time::sleep(MEASURE_TIME).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_share = (cpu_s() - cpu) / elapsed;
    let bytes_per_s = (links.bytes_sent() - bytes) as f64 / elapsed;
    workers.into_iter().for_each(Worker::stop);
    (cpu_share, bytes_per_s)
}

/// Returns the processor time that this process has used, in seconds.
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
