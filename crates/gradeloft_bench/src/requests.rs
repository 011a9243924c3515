//! Live requests: how soon they are answered, and whether they are right, whole and run at most
//! once, under skewed load and under faults.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clap::ValueEnum;
use gradeloft_policy::request::route::Scheme;
use gradeloft_standin::{
    caller::Caller,
    engine::{self, Fault as EngineFault, PREFIX_BYTES},
    fleet::{Fleet, FleetConfig, MODEL, SERVICE, TEAM, TOKEN},
    weights::Version,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::sync::watch;

const ENTRIES: usize = 3;
const ENGINES: usize = 12;
const SERVICES: usize = 3;
const ZONES: usize = 3;
const PREFIXES: usize = 120;
/// Skew of prefixes: the weight of the n-th is 1 / n to this power.
const SKEW: f64 = 0.9;
const PREFILL_MS: u64 = 24;
const CACHED_MS: u64 = 4;
const CACHE: usize = 16;
const TOKENS: u32 = 4;
const SLOW_MS: u64 = 400;
/// One call in so many loses its reply under that fault.
const LOST_ONE_IN: usize = 3;
const WARM_UP: Duration = Duration::from_secs(2);
const MOST_MICROS: u64 = 60_000_000;

/// A way to choose replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Way {
    /// All of these one after the other.
    All,
    /// What gradeloft does.
    Gradeloft,
    /// The one with the fewest requests of the entry.
    LeastInFlight,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
}

/// A fault in the middle of the run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    /// One engine's answers carry another request's id.
    Crossed,
    /// One agent of an engine and one of a service are killed.
    Kill,
    /// Services run calls and lose some replies.
    LostReply,
    /// None.
    #[default]
    None,
    /// One engine is much slower.
    Slow,
    /// All agents of an availability zone are killed at once.
    Zone,
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Way to choose replicas.
    #[arg(long, value_enum, default_value = "gradeloft")]
    scheme: Way,
    /// Fault in the middle of the run; an agent is drained as well.
    #[arg(long, value_enum, default_value = "none")]
    fault: Fault,
    /// Generate requests a second.
    #[arg(long, default_value_t = 420.0)]
    rate: f64,
    /// Calls a second that may not be repeated.
    #[arg(long, default_value_t = 40.0)]
    calls: f64,
    /// Seconds of load that count.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON line for each run.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    scheme: &'static str,
    fault: Fault,
    requests: u64,
    succeeded_share: f64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    prefix_hit_share: f64,
    refused: u64,
    retries_per_request: f64,
    calls: u64,
    calls_unknown: u64,
    wrong_answers: u64,
    ran_twice: u64,
    false_not_run: u64,
    cut_by_drain: u64,
    failures: BTreeMap<String, u64>,
}

/// Runs the measurement and prints what it gives.
pub(crate) fn run(args: &Args) {
    let schemes = match args.scheme {
        Way::All => {
            vec![
                Scheme::Random,
                Scheme::RoundRobin,
                Scheme::LeastInFlight,
                Scheme::Affinity,
            ]
        }
        Way::Gradeloft => vec![Scheme::Affinity],
        Way::LeastInFlight => vec![Scheme::LeastInFlight],
        Way::Random => vec![Scheme::Random],
        Way::RoundRobin => vec![Scheme::RoundRobin],
    };
    for scheme in schemes {
        let report = actix_rt::System::new().block_on(measure(args, scheme));
        let line = serde_json::to_string(&report).expect("plain numbers");
        if args.json {
            println!("{line}");
        } else {
            println!(
                "{}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, prefix hits {:.2}, succeeded {:.4}",
                report.scheme,
                report.p50_ms,
                report.p95_ms,
                report.p99_ms,
                report.prefix_hit_share,
                report.succeeded_share
            );
        }
    }
}

async fn measure(args: &Args, scheme: Scheme) -> Report {
    let shape = FleetConfig {
        entries: ENTRIES,
        engines: ENGINES,
        services: SERVICES,
        zones: ZONES,
        settings: "limits: {idle_ms: 2000}".to_owned(),
        route: scheme,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(shape).await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine.endpoint.state.prefill_ms.set(PREFILL_MS);
        engine.endpoint.state.cached_ms.set(CACHED_MS);
        engine.endpoint.state.cache_size.set(CACHE);
    }
    let version = Version::new(MODEL, "v1", 4, 1 << 10);
    fleet.deploy(&version).await;
    let load = Rc::new(Load::new(&fleet, &version, args));
    Rc::clone(&load).start(args);
    actix_rt::time::sleep(WARM_UP).await;
    load.counting.set(true);
    let before = counters(&fleet);
    let half = Duration::from_secs_f64(args.seconds / 2.0);
    actix_rt::time::sleep(half).await;
    let cut_by_drain = disturb(&mut fleet, args.fault).await;
    actix_rt::time::sleep(half).await;
    load.counting.set(false);
    load.running.set(false);
    let after = counters(&fleet);
    gradeloft_standin::fleet::wait_until("all answers are in", || load.open.get() == 0).await;
    load.report(&fleet, args, scheme, before, after, cut_by_drain)
}

/// Prefix hits, prompts and retries so far.
#[derive(Clone, Copy)]
struct Counters {
    hits: u64,
    prompts: u64,
    retries: u64,
}

fn counters(fleet: &Fleet) -> Counters {
    let engines = || fleet.engines.iter().map(|it| &it.endpoint.state);
    let hits: u64 = engines().map(|it| it.hits.get()).sum();
    let misses: u64 = engines().map(|it| it.misses.get()).sum();
    let entries = fleet.entries.iter().flatten();
    let retries = entries.map(|it| it.node().metrics.retries.get()).sum();
    Counters {
        hits,
        prompts: hits + misses,
        retries,
    }
}

/// Brings the fault about and drains one agent; gives what the drain cut off.
async fn disturb(fleet: &mut Fleet, fault: Fault) -> u64 {
    match fault {
        Fault::Crossed => fleet.engines[0]
            .endpoint
            .state
            .fault
            .set(EngineFault::WrongRequestId),
        Fault::Kill => {
            fleet.engines[0].agent = None;
            fleet.services[0].agent = None;
        }
        Fault::LostReply => {
            for service in &fleet.services {
                service
                    .endpoint
                    .state
                    .lose_reply_every
                    .set(LOST_ONE_IN as u64);
            }
        }
        Fault::None => return 0,
        Fault::Slow => {
            fleet.engines[0].endpoint.state.prefill_ms.set(SLOW_MS);
            fleet.engines[0].endpoint.state.cached_ms.set(SLOW_MS);
        }
        Fault::Zone => {
            fleet
                .engines
                .iter_mut()
                .step_by(ZONES)
                .for_each(|it| it.agent = None);
            fleet
                .services
                .iter_mut()
                .step_by(ZONES)
                .for_each(|it| it.agent = None);
        }
    }
    let (_force, forced) = watch::channel(false);
    let drained = fleet.engines[1].agent.take();
    let Some(drained) = drained else {
        return 0;
    };
    u64::from(drained.drain(forced).await)
}

/// One call that may not be repeated, and what its caller was told.
struct Call {
    body: String,
    ran: String,
}

struct Load {
    entries: Vec<SocketAddr>,
    version: Version,
    weights: Vec<f64>,
    running: Cell<bool>,
    counting: Cell<bool>,
    open: Cell<u64>,
    times: RefCell<Histogram<u64>>,
    requests: Cell<u64>,
    succeeded: Cell<u64>,
    refused: Cell<u64>,
    wrong: Cell<u64>,
    failures: RefCell<BTreeMap<String, u64>>,
    calls: RefCell<Vec<Call>>,
    rng: RefCell<ChaCha8Rng>,
    caller: Caller,
}

fn bump(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Load {
    fn new(fleet: &Fleet, version: &Version, args: &Args) -> Load {
        Load {
            entries: (0..ENTRIES).map(|it| fleet.entry(it)).collect(),
            version: version.clone(),
            weights: (1..=PREFIXES)
                .map(|it| 1.0 / (it as f64).powf(SKEW))
                .collect(),
            running: Cell::new(true),
            counting: Cell::new(false),
            open: Cell::new(0),
            times: Histogram::new_with_bounds(1, MOST_MICROS, 3)
                .expect("sound bounds")
                .into(),
            requests: Cell::new(0),
            succeeded: Cell::new(0),
            refused: Cell::new(0),
            wrong: Cell::new(0),
            failures: RefCell::default(),
            calls: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(args.seed)),
            caller: Caller::new(TEAM, TOKEN),
        }
    }

    /// Sends requests and calls at random times with steady means, until stopped.
    fn start(self: Rc<Load>, args: &Args) {
        let (requests, calls) = (Rc::clone(&self), self);
        let (rate, call_rate) = (args.rate, args.calls);
        actix_rt::spawn(async move {
            let mut next = tokio::time::Instant::now();
            for count in 0.. {
                next += requests.gap(rate);
                tokio::time::sleep_until(next).await;
                if !requests.running.get() {
                    return;
                }
                actix_rt::spawn(Rc::clone(&requests).generate(count));
            }
        });
        actix_rt::spawn(async move {
            let mut next = tokio::time::Instant::now();
            for count in 0.. {
                next += calls.gap(call_rate);
                tokio::time::sleep_until(next).await;
                if !calls.running.get() {
                    return;
                }
                actix_rt::spawn(Rc::clone(&calls).call(count));
            }
        });
    }

    fn gap(&self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.borrow_mut().random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    fn entry(&self) -> SocketAddr {
        self.entries[self.rng.borrow_mut().random_range(0..self.entries.len())]
    }

    fn prompt(&self, count: u64) -> String {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.rng.borrow_mut().random_range(0.0..total);
        let picked = self.weights.iter().position(|it| {
            left -= it;
            left <= 0.0
        });
        let prefix = picked.unwrap_or(0);
        format!("{prefix:0PREFIX_BYTES$}{count}")
    }

    async fn generate(self: Rc<Load>, count: u64) {
        let counted = self.counting.get();
        let prompt = self.prompt(count);
        let entry = self.entry();
        bump(&self.open);
        let started = Instant::now();
        let answer = self.caller.generate(entry, MODEL, &prompt, TOKENS).await;
        self.open.set(self.open.get() - 1);
        let micros = started.elapsed().as_micros() as u64;
        let expected = engine::expected_tokens(&self.version.chunks, &prompt, TOKENS).concat();
        if answer.end.is_some() && answer.text != expected {
            bump(&self.wrong);
        }
        if !counted {
            return;
        }
        bump(&self.requests);
        if answer.end.is_some() {
            bump(&self.succeeded);
            self.times.borrow_mut().saturating_record(micros.max(1));
            return;
        }
        let error = answer.error;
        if error.as_ref().is_some_and(|it| it.retryable) {
            bump(&self.refused);
        }
        let kind = error.map_or_else(|| "connection".to_owned(), |it| it.kind);
        *self.failures.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Half of the calls have an idempotency key and are sent again when their outcome is unknown,
    /// as a careful caller would.
    async fn call(self: Rc<Load>, count: u64) {
        let body = format!("seat {count}");
        let path = format!("{SERVICE}/charges");
        let keyed = count.is_multiple_of(2);
        let caller = if keyed {
            self.caller
                .with_header("idempotency-key", &format!("k{count}"))
        } else {
            self.caller.clone()
        };
        bump(&self.open);
        let mut ran = "no".to_owned();
        for _ in 0..if keyed { 2 } else { 1 } {
            let answer = caller.call(self.entry(), "POST", &path, &body).await;
            let told = match (&answer.error, answer.status) {
                (Some(error), _) => error.ran.to_string(),
                (None, 0) => "unknown".to_owned(),
                (None, _) => "yes".to_owned(),
            };
            // A later "not run" is of a later attempt; the first word that is no "no" counts.
            if ran == "no" {
                ran = told;
            }
        }
        self.open.set(self.open.get() - 1);
        self.calls.borrow_mut().push(Call { body, ran });
    }

    fn report(
        &self,
        fleet: &Fleet,
        args: &Args,
        scheme: Scheme,
        before: Counters,
        after: Counters,
        cut_by_drain: u64,
    ) -> Report {
        let times = self.times.borrow();
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
        let calls = self.calls.borrow();
        let ran = |call: &Call| -> u64 {
            let name = format!("POST /charges {}", call.body);
            fleet
                .services
                .iter()
                .map(|it| it.endpoint.state.executions(&name))
                .sum()
        };
        let requests = self.requests.get();
        Report {
            scheme: match scheme {
                Scheme::Affinity => "gradeloft",
                Scheme::LeastInFlight => "least_in_flight",
                Scheme::Random => "random",
                Scheme::RoundRobin => "round_robin",
            },
            fault: args.fault,
            requests,
            succeeded_share: self.succeeded.get() as f64 / requests.max(1) as f64,
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            prefix_hit_share: (after.hits - before.hits) as f64
                / (after.prompts - before.prompts).max(1) as f64,
            refused: self.refused.get(),
            retries_per_request: (after.retries - before.retries) as f64 / requests.max(1) as f64,
            calls: calls.len() as u64,
            calls_unknown: calls.iter().filter(|it| it.ran == "unknown").count() as u64,
            wrong_answers: self.wrong.get(),
            ran_twice: calls.iter().filter(|it| 1 < ran(it)).count() as u64,
            false_not_run: calls
                .iter()
                .filter(|it| it.ran == "no" && 0 < ran(it))
                .count() as u64,
            cut_by_drain,
            failures: self.failures.borrow().clone(),
        }
    }
}
