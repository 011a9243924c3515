//! Live requests under skewed load and faults: latency, correctness and completeness of answers, and
//! at-most-once execution.

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
/// Skew of prefixes: the n-th prefix has the weight 1 / n^SKEW.
const SKEW: f64 = 0.9;
const PREFILL_MS: u64 = 24;
const CACHED_MS: u64 = 4;
const CACHE_SIZE: usize = 16;
const TOKENS: u32 = 4;
const SLOW_MS: u64 = 400;
/// Under fault `LostReply`, one call in this many loses its reply.
const LOSE_REPLY_EVERY: usize = 3;
const WARM_UP: Duration = Duration::from_secs(2);
const MAX_MICROS: u64 = 60_000_000;

/// Scheme to choose replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum SchemeArg {
    /// All schemes in turn.
    All,
    /// The policy of gradeloft.
    Gradeloft,
    /// The replica with the fewest in-flight requests of the entry.
    LeastInFlight,
    /// A random replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
}

/// Fault injected in the middle of the run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    /// Answers of one engine carry the id of another request.
    Crossed,
    /// The agents of one engine and one service are killed.
    Kill,
    /// Services run calls but lose some replies.
    LostReply,
    /// No fault.
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
    /// Scheme to choose replicas.
    #[arg(long, value_enum, default_value = "gradeloft")]
    scheme: SchemeArg,
    /// Fault injected in the middle of the run, together with the drain of an agent.
    #[arg(long, value_enum, default_value = "none")]
    fault: Fault,
    /// Generate requests per second.
    #[arg(long, default_value_t = 420.0)]
    rate: f64,
    /// Non-idempotent calls per second.
    #[arg(long, default_value_t = 40.0)]
    calls: f64,
    /// Duration of the measured load in seconds.
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

/// Runs the measurement and prints its report.
pub(crate) fn run(args: &Args) {
    let schemes = match args.scheme {
        SchemeArg::All => {
            vec![
                Scheme::Random,
                Scheme::RoundRobin,
                Scheme::LeastInFlight,
                Scheme::Affinity,
            ]
        }
        SchemeArg::Gradeloft => vec![Scheme::Affinity],
        SchemeArg::LeastInFlight => vec![Scheme::LeastInFlight],
        SchemeArg::Random => vec![Scheme::Random],
        SchemeArg::RoundRobin => vec![Scheme::RoundRobin],
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
    let config = FleetConfig {
        entries: ENTRIES,
        engines: ENGINES,
        services: SERVICES,
        zones: ZONES,
        settings: "limits: {idle_ms: 2000}".to_owned(),
        route: scheme,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config).await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine.endpoint.state.prefill_ms.set(PREFILL_MS);
        engine.endpoint.state.cached_ms.set(CACHED_MS);
        engine.endpoint.state.cache_size.set(CACHE_SIZE);
    }
    let version = Version::new(MODEL, "v1", 4, 1 << 10);
    fleet.deploy(&version).await;
    let load = Rc::new(Load::new(&fleet, &version, args));
    Rc::clone(&load).start(args);
    actix_rt::time::sleep(WARM_UP).await;
    load.measuring.set(true);
    let before = counters(&fleet);
    let half = Duration::from_secs_f64(args.seconds / 2.0);
    actix_rt::time::sleep(half).await;
    let cut_by_drain = inject_fault(&mut fleet, args.fault).await;
    actix_rt::time::sleep(half).await;
    load.measuring.set(false);
    load.running.set(false);
    let after = counters(&fleet);
    gradeloft_standin::fleet::wait_until("all answers are in", || load.in_flight.get() == 0).await;
    load.report(&fleet, args, scheme, before, after, cut_by_drain)
}

/// Cumulative counts of prefix hits, prompts and retries.
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

/// Injects the fault and drains one agent; returns the number of requests that the drain cut off.
async fn inject_fault(fleet: &mut Fleet, fault: Fault) -> u64 {
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
                    .set(LOSE_REPLY_EVERY as u64);
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

/// A non-idempotent call and whether it ran, as reported to its caller.
struct Call {
    body: String,
    ran: String,
}

struct Load {
    entries: Vec<SocketAddr>,
    version: Version,
    weights: Vec<f64>,
    running: Cell<bool>,
    measuring: Cell<bool>,
    in_flight: Cell<u64>,
    latencies: RefCell<Histogram<u64>>,
    requests: Cell<u64>,
    succeeded: Cell<u64>,
    refused: Cell<u64>,
    wrong: Cell<u64>,
    failures: RefCell<BTreeMap<String, u64>>,
    calls: RefCell<Vec<Call>>,
    rng: RefCell<ChaCha8Rng>,
    caller: Caller,
}

fn increment(counter: &Cell<u64>) {
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
            measuring: Cell::new(false),
            in_flight: Cell::new(0),
            latencies: Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .expect("valid bounds")
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

    /// Sends requests and calls at random intervals with constant means, until stopped.
    fn start(self: Rc<Load>, args: &Args) {
        let (requests, calls) = (Rc::clone(&self), self);
        let (rate, call_rate) = (args.rate, args.calls);
        actix_rt::spawn(async move {
            let mut next = tokio::time::Instant::now();
            for count in 0.. {
                next += requests.next_interval(rate);
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
                next += calls.next_interval(call_rate);
                tokio::time::sleep_until(next).await;
                if !calls.running.get() {
                    return;
                }
                actix_rt::spawn(Rc::clone(&calls).call(count));
            }
        });
    }

    fn next_interval(&self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.borrow_mut().random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    fn random_entry(&self) -> SocketAddr {
        self.entries[self.rng.borrow_mut().random_range(0..self.entries.len())]
    }

    fn random_prompt(&self, count: u64) -> String {
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
        let measured = self.measuring.get();
        let prompt = self.random_prompt(count);
        let entry = self.random_entry();
        increment(&self.in_flight);
        let started = Instant::now();
        let answer = self.caller.generate(entry, MODEL, &prompt, TOKENS).await;
        self.in_flight.set(self.in_flight.get() - 1);
        let micros = started.elapsed().as_micros() as u64;
        let expected = engine::expected_tokens(&self.version.chunks, &prompt, TOKENS).concat();
        if answer.end.is_some() && answer.text != expected {
            increment(&self.wrong);
        }
        if !measured {
            return;
        }
        increment(&self.requests);
        if answer.end.is_some() {
            increment(&self.succeeded);
            self.latencies.borrow_mut().saturating_record(micros.max(1));
            return;
        }
        let error = answer.error;
        if error.as_ref().is_some_and(|it| it.retryable) {
            increment(&self.refused);
        }
        let kind = error.map_or_else(|| "connection".to_owned(), |it| it.kind);
        *self.failures.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Sends a call. Half of the calls have an idempotency key and are sent twice, as by a caller
    /// that repeats a call with an unknown outcome.
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
        increment(&self.in_flight);
        let mut ran = "no".to_owned();
        for _ in 0..if keyed { 2 } else { 1 } {
            let answer = caller.call(self.random_entry(), "POST", &path, &body).await;
            let reported = match (&answer.error, answer.status) {
                (Some(error), _) => error.ran.to_string(),
                (None, 0) => "unknown".to_owned(),
                (None, _) => "yes".to_owned(),
            };
            // A "no" after a "yes" or "unknown" refers to the later attempt only, so the first value
            // other than "no" is kept.
            if ran == "no" {
                ran = reported;
            }
        }
        self.in_flight.set(self.in_flight.get() - 1);
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
        let latencies = self.latencies.borrow();
        let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
        let calls = self.calls.borrow();
        let executions = |call: &Call| -> u64 {
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
            p50_ms: quantile_ms(0.5),
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            prefix_hit_share: (after.hits - before.hits) as f64
                / (after.prompts - before.prompts).max(1) as f64,
            refused: self.refused.get(),
            retries_per_request: (after.retries - before.retries) as f64 / requests.max(1) as f64,
            calls: calls.len() as u64,
            calls_unknown: calls.iter().filter(|it| it.ran == "unknown").count() as u64,
            wrong_answers: self.wrong.get(),
            ran_twice: calls.iter().filter(|it| 1 < executions(it)).count() as u64,
            false_not_run: calls
                .iter()
                .filter(|it| it.ran == "no" && 0 < executions(it))
                .count() as u64,
            cut_by_drain,
            failures: self.failures.borrow().clone(),
        }
    }
}
