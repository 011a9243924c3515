//! Overhead that an entry and an agent add to a request, compared with calling the engine directly.

use std::time::{Duration, Instant};

use futures_util::{StreamExt, future::join_all};
use gradeloft_platform::endpoint::{Engine, HttpEngine};
use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL},
    weights::Version,
};
use gradeloft_wire::border::platform::EngineRequest;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::idle::cpu_s;

const MAX_MICROS: u64 = 60_000_000;
const WARM_UP_REQUESTS: u64 = 200;

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Sequential requests, each through the entry and directly.
    #[arg(long, default_value_t = 2_000)]
    requests: u64,
    /// Concurrent requests while processor time is measured.
    #[arg(long, default_value_t = 16)]
    concurrency: usize,
    /// Number of tokens of an answer.
    #[arg(long, default_value_t = 16)]
    tokens: u32,
    /// Print the report as a JSON line.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    tokens: u32,
    straight_p50_us: u64,
    relayed_p50_us: u64,
    added_p50_us: u64,
    straight_cpu_us: f64,
    relayed_cpu_us: f64,
    relay_requests_per_core_s: f64,
}

/// Runs the measurement and prints its report.
pub(crate) fn run(args: &Args) {
    let report = actix_rt::System::new().block_on(measure(args));
    if args.json {
        println!("{}", serde_json::to_string(&report).expect("plain numbers"));
    } else {
        println!(
            "added p50 {} µs ({} relayed, {} straight), {:.0} requests per core-second",
            report.added_p50_us,
            report.relayed_p50_us,
            report.straight_p50_us,
            report.relay_requests_per_core_s
        );
    }
}

async fn measure(args: &Args) -> Report {
    let config = FleetConfig {
        entries: 1,
        engines: 1,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    fleet.deploy(&Version::new(MODEL, "v1", 4, 1 << 10)).await;
    let url = fleet.engines[0].endpoint.url();
    let engine = HttpEngine::new(&url, Duration::from_secs(10));
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let direct = async |idx: u64| generate_directly(&engine, idx, args.tokens).await;
    let relayed = async |idx: u64| {
        let answer = caller
            .generate(entry, MODEL, &idx.to_string(), args.tokens)
            .await;
        assert!(answer.end.is_some(), "{:?}", answer.error);
    };
    let straight_p50_us = p50(args.requests, &direct).await;
    let relayed_p50_us = p50(args.requests, &relayed).await;
    let straight_cpu_us = cpu_us(args, &direct).await;
    let relayed_cpu_us = cpu_us(args, &relayed).await;
    Report {
        tokens: args.tokens,
        straight_p50_us,
        relayed_p50_us,
        added_p50_us: relayed_p50_us.saturating_sub(straight_p50_us),
        straight_cpu_us,
        relayed_cpu_us,
        relay_requests_per_core_s: 1e6 / (relayed_cpu_us - straight_cpu_us),
    }
}

async fn generate_directly(engine: &HttpEngine, idx: u64, tokens: u32) {
    let request = EngineRequest {
        request_id: format!("{idx:032x}"),
        model: MODEL.to_owned(),
        adapter: None,
        version: "v1".to_owned(),
        prompt: idx.to_string(),
        max_tokens: tokens,
        priority: 0,
    };
    let mut generation = engine
        .generate(&request)
        .await
        .expect("the engine generates");
    let mut events = 0;
    while let Some(event) = generation.next().await {
        event.expect("a complete answer");
        events += 1;
    }
    assert_eq!(events, tokens + 1);
}

/// Returns the median latency of sequential calls, in microseconds.
async fn p50(requests: u64, call: &impl AsyncFn(u64)) -> u64 {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds");
    for idx in 0..requests + WARM_UP_REQUESTS {
        let started = Instant::now();
        call(idx).await;
        if WARM_UP_REQUESTS <= idx {
            latencies.saturating_record((started.elapsed().as_micros() as u64).max(1));
        }
    }
    latencies.value_at_quantile(0.5)
}

/// Returns the processor time per call with concurrent calls, in microseconds, including callers and
/// engine.
async fn cpu_us(args: &Args, call: &impl AsyncFn(u64)) -> f64 {
    let calls_per_lane = args.requests * 2 / args.concurrency as u64;
    let before = cpu_s();
    let lane = async |lane: u64| {
        for idx in 0..calls_per_lane {
            call(lane * calls_per_lane + idx).await;
        }
    };
    join_all((0..args.concurrency as u64).map(lane)).await;
    (cpu_s() - before) * 1e6 / (calls_per_lane * args.concurrency as u64) as f64
}
