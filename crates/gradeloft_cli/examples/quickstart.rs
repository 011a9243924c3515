//! Runs all roles on loopback: publishes a signed bundle, waits until the agents have loaded the
//! version into the engines, then looks up addresses and sends requests as a caller.
//!
//! Run with `cargo run --release --example quickstart`.

use std::{process::ExitCode, time::Instant};

use gradeloft_standin::{
    engine,
    fleet::{Fleet, FleetConfig, MODEL, SERVICE},
    weights::Version,
};

const CHUNKS: usize = 24;
const CHUNK_BYTES: usize = 64 << 10;
const PROMPT: &str = "Two stations saw the P wave at 03:12.";
const TOKENS: u32 = 12;

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run()) {
        Ok(()) => {
            println!("quickstart: ok");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("quickstart: failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let started = Instant::now();
    let log_step = |text: String| println!("[{:>6.3} s] {text}", started.elapsed().as_secs_f64());
    let fleet = Fleet::start(FleetConfig::default())
        .await
        .map_err(|it| it.to_string())?;
    log_step("platform, 4 engines, 1 service, their agents and 2 entries are up".to_owned());

    let version = Version::new(MODEL, "v1", CHUNKS, CHUNK_BYTES);
    fleet.upload(&version);
    let bundle = fleet.bundle(1, None, &version);
    let signed = fleet.publish(&bundle).await.map_err(|it| it.to_string())?;
    log_step(format!(
        "bundle 1 accepted, {}, signed by {}",
        signed.digest(),
        signed.signer
    ));

    let in_force_everywhere = || {
        let agents = fleet
            .engines
            .iter()
            .filter_map(|it| it.agent.as_ref())
            .map(gradeloft_daemon::agent::Handle::node);
        let services = fleet.services.iter().filter_map(|it| it.agent.as_ref());
        let entries = fleet
            .entries
            .iter()
            .flatten()
            .map(gradeloft_daemon::entry::Handle::node);
        let mut nodes = agents
            .chain(services.map(gradeloft_daemon::agent::Handle::node))
            .chain(entries);
        nodes.all(|it| *it.bundle_number.borrow() == 1)
    };
    fleet
        .wait_until("the bundle is in force everywhere", in_force_everywhere)
        .await;
    log_step("bundle 1 in force on 7 nodes".to_owned());

    fleet
        .wait_until("replicas are ready", || fleet.is_routable(&version))
        .await;
    for replica in &fleet.engines {
        let Some(agent) = &replica.agent else {
            continue;
        };
        for it in agent.versions() {
            log_step(format!(
                "{} {} {}/{}: {} chunks from the origin, {} from the store, {} from peers",
                replica.id,
                it.phase,
                it.model,
                it.version,
                it.from_origin,
                it.from_store,
                it.from_peers
            ));
        }
    }
    let copies = fleet.origin.state.bytes_read.get() as f64 / version.size_bytes() as f64;
    log_step(format!(
        "read from the origin: {copies:.2} copies for 4 replicas"
    ));
    call(&fleet, &version, log_step).await
}

async fn call(fleet: &Fleet, version: &Version, log_step: impl Fn(String)) -> Result<(), String> {
    let caller = fleet.caller();
    let answer = caller.addresses(fleet.entry(0), "zone-1").await;
    let addresses = answer.ok_or("no answer to the address query")?;
    for it in &addresses.addresses {
        log_step(format!(
            "address {} in {}, weight {}",
            it.address, it.zone, it.weight
        ));
    }
    let first = addresses.addresses.first().ok_or("no address")?;
    let entry = first
        .address
        .parse()
        .map_err(|_| "the address is not ip:port")?;

    let generated = caller.generate(entry, MODEL, PROMPT, TOKENS).await;
    let expected = engine::expected_tokens(&version.chunks, PROMPT, TOKENS).concat();
    let end = generated
        .end
        .ok_or_else(|| format!("incomplete answer: {:?}", generated.error))?;
    if generated.text != expected {
        return Err(format!(
            "the answer is not from the expected weights: {}",
            generated.text
        ));
    }
    log_step(format!(
        "{} tokens by {}/{}: {}",
        end.count, end.model, end.version, generated.text
    ));

    let path = format!("{SERVICE}/charges");
    let once = caller.with_header("idempotency-key", "booking-1");
    let called = once.call(entry, "POST", &path, "two seats").await;
    let again = once.call(entry, "POST", &path, "two seats").await;
    if called.status != 200 || again.body != called.body {
        return Err(format!("service: {called:?}, again: {again:?}"));
    }
    let ran = fleet.services[0]
        .endpoint
        .state
        .executions("POST /charges two seats");
    if ran != 1 {
        return Err(format!("a call that must run at most once ran {ran} times"));
    }
    log_step(format!(
        "service, sent twice, ran once: {}",
        called.body.trim_end()
    ));
    Ok(())
}
