//! What an entry and an agent add to a request, against calling the engine straight.

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

const MOST_MICROS: u64 = 60_000_000;
const WARM_UP: u64 = 200;

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Requests one after the other, each way.
    #[arg(long, default_value_t = 2_000)]
    requests: u64,
    /// Requests at once while processor time is taken.
    #[arg(long, default_value_t = 16)]
    concurrency: usize,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 16)]
    tokens: u32,
    /// Print a JSON line.
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

/// Runs the measurement and prints what it gives.
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
    let shape = FleetConfig {
        entries: 1,
        engines: 1,
        services: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(shape).await.expect("the fleet starts");
    fleet.deploy(&Version::new(MODEL, "v1", 4, 1 << 10)).await;
    let url = fleet.engines[0].endpoint.url();
    let engine = HttpEngine::new(&url, Duration::from_secs(10));
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let straight = async |idx: u64| straight(&engine, idx, args.tokens).await;
    let relayed = async |idx: u64| {
        let answer = caller
            .generate(entry, MODEL, &idx.to_string(), args.tokens)
            .await;
        assert!(answer.end.is_some(), "{:?}", answer.error);
    };
    let straight_p50_us = p50(args.requests, &straight).await;
    let relayed_p50_us = p50(args.requests, &relayed).await;
    let straight_cpu_us = cpu_us(args, &straight).await;
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

async fn straight(engine: &HttpEngine, idx: u64, tokens: u32) {
    let request = EngineRequest {
        request_id: format!("{idx:032x}"),
        model: MODEL.to_owned(),
        adapter: None,
        version: "v1".to_owned(),
        prompt: idx.to_string(),
        max_tokens: tokens,
        priority: 0,
    };
    let mut generation = engine.generate(&request).await.expect("it generates");
    let mut events = 0;
    while let Some(event) = generation.next().await {
        event.expect("a whole answer");
        events += 1;
    }
    assert_eq!(events, tokens + 1);
}

/// Median of so many calls one after the other, in microseconds.
async fn p50(requests: u64, call: &impl AsyncFn(u64)) -> u64 {
    let mut times = Histogram::<u64>::new_with_bounds(1, MOST_MICROS, 3).expect("sound bounds");
    for idx in 0..requests + WARM_UP {
        let started = Instant::now();
        call(idx).await;
        if WARM_UP <= idx {
            times.saturating_record((started.elapsed().as_micros() as u64).max(1));
        }
    }
    times.value_at_quantile(0.5)
}

/// Processor time of a call with several at once, in microseconds, callers and engine included.
async fn cpu_us(args: &Args, call: &impl AsyncFn(u64)) -> f64 {
    let each = args.requests * 2 / args.concurrency as u64;
    let before = cpu_s();
    let lane = async |lane: u64| {
        for idx in 0..each {
            call(lane * each + idx).await;
        }
    };
    join_all((0..args.concurrency as u64).map(lane)).await;
    (cpu_s() - before) * 1e6 / (each * args.concurrency as u64) as f64
}
