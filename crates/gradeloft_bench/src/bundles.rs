//! Time from publishing a bundle until it is in force on all nodes, and agreement of the nodes after
//! concurrent publishes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use gradeloft_daemon::node::Node;
use gradeloft_platform::log::{Http, Log};
use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL, SIGNER, digest},
    weights::Version,
};
use gradeloft_wire::{
    border::bundle::Bundle,
    id::Digest,
    record::{CONFIG, Record},
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const POLL_INTERVAL: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_MICROS: u64 = 60_000_000;
/// Agents that restart in each round of mode `Restarts`, in percent.
const RESTART_PERCENT: usize = 5;

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of entries.
    #[arg(long, default_value_t = 7)]
    entries: usize,
    /// Number of agents.
    #[arg(long, default_value_t = 100)]
    agents: usize,
    /// Bundles published in each mode.
    #[arg(long, default_value_t = 10)]
    rounds: u64,
    /// Number of concurrent publishers.
    #[arg(long, default_value_t = 20)]
    racers: usize,
    /// Print one JSON line for each mode.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    /// The log becomes unavailable as soon as the first node has read the bundle.
    LogLost,
    /// No faults.
    LogUp,
    /// Some agents restart while the bundle propagates.
    Restarts,
}

#[derive(Debug, Serialize)]
struct Report {
    mode: Mode,
    nodes: usize,
    bundles: u64,
    p50_s: f64,
    p95_s: f64,
    max_s: f64,
    everywhere_max_s: f64,
    reverts: u64,
    disagreements: u64,
}

/// Runs the measurement and prints its report.
pub(crate) fn run(args: &Args) {
    for mode in [Mode::LogUp, Mode::LogLost, Mode::Restarts] {
        let report = actix_rt::System::new().block_on(measure(args, mode));
        if args.json {
            println!("{}", serde_json::to_string(&report).expect("plain numbers"));
        } else {
            println!(
                "{mode:?}: p50 {:.3} s, p95 {:.3} s, max {:.3} s; reverts {}, disagreements {}",
                report.p50_s, report.p95_s, report.max_s, report.reverts, report.disagreements
            );
        }
    }
}

async fn measure(args: &Args, mode: Mode) -> Report {
    let config = FleetConfig {
        entries: args.entries,
        engines: args.agents,
        services: 0,
        zones: 4,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config).await.expect("the fleet starts");
    let version = Version::new(MODEL, "v1", 1, 1 << 10);
    let mut head = fleet.deploy(&version).await;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut latencies = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds");
    let (mut reverts, mut everywhere) = (0, Duration::ZERO);
    for _ in 0..args.rounds {
        let mut next = fleet.bundle(head.number + 1, Some(digest(&head)), &version);
        next.note = Some(format!("round {}", head.number));
        // A random delay starts the rounds at different phases of the nodes' gossip interval of 1 s.
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
        append(&fleet, &[next.clone()]).await;
        let propagation = Propagation {
            number: next.number,
            started: Instant::now(),
        };
        if mode == Mode::Restarts {
            for _ in 0..args.agents * RESTART_PERCENT / 100 {
                let idx = rng.random_range(0..args.agents);
                fleet.restart_agent(idx).await.expect("the agent restarts");
            }
        }
        let (elapsed, round_reverts) = propagation.observe(&fleet, mode, &mut latencies).await;
        reverts += round_reverts;
        everywhere = everywhere.max(elapsed);
        fleet.log.state.down.set(false);
        head = next;
    }
    let disagreements = race_publishers(&fleet, &head, &version, args.racers).await;
    let quantile_s = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e6;
    Report {
        mode,
        nodes: nodes(&fleet).len(),
        bundles: args.rounds,
        p50_s: quantile_s(0.5),
        p95_s: quantile_s(0.95),
        max_s: latencies.max() as f64 / 1e6,
        everywhere_max_s: everywhere.as_secs_f64(),
        reverts,
        disagreements,
    }
}

fn nodes(fleet: &Fleet) -> Vec<Rc<Node>> {
    let agents = fleet
        .engines
        .iter()
        .filter_map(|it| it.agent.as_ref())
        .map(gradeloft_daemon::agent::Handle::node);
    agents
        .chain(
            fleet
                .entries
                .iter()
                .flatten()
                .map(gradeloft_daemon::entry::Handle::node),
        )
        .map(Rc::clone)
        .collect()
}

fn bundle_number(node: &Node) -> u64 {
    node.chain.borrow().number()
}

fn head_digest(node: &Node) -> Option<Digest> {
    node.chain.borrow().head().map(|it| it.digest)
}

/// Appends bundles in one call, as if they were published concurrently.
async fn append(fleet: &Fleet, bundles: &[Bundle]) {
    let log = Http::new(&fleet.log.url(), Duration::from_secs(2));
    let sign = |it: &Bundle| Record::Bundle(fleet.key.sign(it, SIGNER)).encode();
    let records: Vec<Vec<u8>> = bundles.iter().map(sign).collect();
    log.append(CONFIG, &records)
        .await
        .expect("the log accepts the records");
}

struct Propagation {
    number: u64,
    started: Instant,
}

impl Propagation {
    /// Polls the nodes until the bundle is in force on all of them; returns the elapsed time and how
    /// often a node reverted to an older bundle.
    async fn observe(
        &self,
        fleet: &Fleet,
        mode: Mode,
        latencies: &mut Histogram<u64>,
    ) -> (Duration, u64) {
        let nodes = nodes(fleet);
        let mut seen: Vec<u64> = nodes.iter().map(|_| 0).collect();
        let mut reverts = 0;
        loop {
            for (node, seen) in nodes.iter().zip(&mut seen) {
                let current = bundle_number(node);
                reverts += u64::from(current < *seen);
                if *seen < self.number && self.number <= current {
                    let micros = self.started.elapsed().as_micros() as u64;
                    latencies.saturating_record(micros.max(1));
                }
                *seen = current;
            }
            if mode == Mode::LogLost && seen.contains(&self.number) {
                fleet.log.state.down.set(true);
            }
            if seen.iter().all(|it| self.number <= *it) || TIMEOUT < self.started.elapsed() {
                return (self.started.elapsed(), reverts);
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Publishes several bundles with the same number concurrently; returns the number of nodes whose
/// head then differs from that of the first node.
async fn race_publishers(fleet: &Fleet, head: &Bundle, version: &Version, racers: usize) -> u64 {
    let racer = |idx: usize| {
        let mut bundle = fleet.bundle(head.number + 1, Some(digest(head)), version);
        bundle.note = Some(format!("racer {idx}"));
        bundle
    };
    let racers: Vec<Bundle> = (0..racers).map(racer).collect();
    append(fleet, &racers).await;
    let nodes = nodes(fleet);
    let all = || nodes.iter().all(|it| head.number < bundle_number(it));
    gradeloft_standin::fleet::wait_until("the race is decided everywhere", all).await;
    let first = nodes.first().and_then(|it| head_digest(it));
    nodes.iter().filter(|it| head_digest(it) != first).count() as u64
}
