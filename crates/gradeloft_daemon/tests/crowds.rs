//! Crowds of clients that do not behave, at each port of the daemon. The processes have to live within
//! their memory, and to answer ordinary callers.
//!
//! A test checks nothing that depends on the speed of the machine.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use gradeloft_daemon::{
    clock::Clock,
    transport::client::{Lane, Pool},
};
use gradeloft_standin::{
    crowd::{Crowd, Script},
    fleet::{MODEL, SERVICE},
    footprint::Sampler,
};
use gradeloft_wire::frame::Call;
use rstest::rstest;
use support::{daemons::DaemonFleet, describe_call, version};
use tokio::time::{sleep, timeout};

/// Time after which an answer no longer counts as coming; no test depends on when it comes before.
const HANGS_AFTER: Duration = Duration::from_secs(25);
/// Pause of a caller between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Largest body of the settings, in bytes.
const LARGEST_BODY: usize = 1_000_000;
/// Memory of a daemon without settings for it, in megabytes: 64 for control and 128 for callers.
const MEMORY_MB: u64 = 192;
/// Descriptors of a daemon whose ports have at most 64 connections each: these, and as many again for
/// connections to peers, endpoints and the platform.
const DESCRIPTORS: usize = 400;
/// Limits of the settings.
const LIMITS: &str = "body_bytes: 1000000, idle_ms: 60000";
/// Limits of the settings with few connections.
const FEW_CONNECTIONS: &str = "body_bytes: 1000000, idle_ms: 60000, connections: 64";
/// Number of clients whose largest bodies exceed the memory of a daemon.
const CLIENTS: usize = 300;
/// Number of clients at a port that has room for fewer.
const MANY_CLIENTS: usize = 150;

/// Port of the daemon.
#[derive(Clone, Copy, Debug)]
enum Port {
    Admin,
    AgentAdmin,
    AgentPeers,
    Peers,
    Public,
}

impl Port {
    fn address(self, daemons: &DaemonFleet) -> SocketAddr {
        match self {
            Port::Admin => daemons.entries[0].admin,
            Port::AgentAdmin => daemons.agents[0].admin,
            Port::AgentPeers => daemons.agents[0].peer,
            Port::Peers => daemons.entries[0].peer,
            Port::Public => daemons.entry(0),
        }
    }

    fn is_of_agent(self) -> bool {
        matches!(self, Port::AgentAdmin | Port::AgentPeers)
    }
}

/// Repeats `attempt` until it succeeds.
async fn until(what: &str, mut attempt: impl AsyncFnMut() -> Option<()>) {
    let repeated = async {
        while attempt().await.is_none() {
            sleep(RETRY_PAUSE).await;
        }
    };
    assert!(
        timeout(HANGS_AFTER, repeated).await.is_ok(),
        "{what}: not so"
    );
}

async fn call_peer(address: SocketAddr) -> Option<()> {
    let pool = Pool::new(Clock::start(), 1 << 20, Duration::from_secs(1), None);
    let address = address.to_string();
    let calling = pool.call(&address, Lane::Live, &Call::Sync { number: 0 });
    timeout(Duration::from_secs(2), calling)
        .await
        .ok()?
        .ok()
        .map(|_| ())
}

async fn get_health(address: SocketAddr) -> Option<()> {
    let client = awc::Client::default();
    let response = client.get(format!("http://{address}/healthz")).send();
    let response = timeout(Duration::from_secs(2), response).await.ok()?.ok()?;
    (response.status() == 200).then_some(())
}

async fn call_service(daemons: &DaemonFleet, body: &str) -> Option<()> {
    let path = format!("{SERVICE}/charges");
    let caller = daemons.fleet.caller();
    let calling = caller.call(daemons.entry(0), "POST", &path, body);
    let response = timeout(Duration::from_secs(5), calling).await.ok()?;
    (describe_call(&response) == format!("200 done: POST /charges {body}")).then_some(())
}

async fn answers_everywhere(daemons: &DaemonFleet) {
    until("a call is answered", async || {
        call_service(daemons, "two seats").await
    })
    .await;
    until("a request is answered", async || {
        let answer = daemons
            .fleet
            .caller()
            .generate(daemons.entry(0), MODEL, "p", 1)
            .await;
        (answer.status == 200).then_some(())
    })
    .await;
    for process in daemons.entries.iter().chain(&daemons.agents) {
        until("a peer is answered", async || call_peer(process.peer).await).await;
        until("health is answered", async || {
            get_health(process.admin).await
        })
        .await;
    }
}

async fn play(limits: &str, port: Port, script: Script, clients: usize) {
    let pid = std::process::id();
    let address = Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, 1);
    let mut daemons = DaemonFleet::start_with(1, 1, &address.to_string(), limits).await;
    daemons.deploy(&version("v1")).await;
    let largest = "x".repeat(LARGEST_BODY);
    until("the largest body is served", async || {
        call_service(&daemons, &largest).await
    })
    .await;
    let process = match port.is_of_agent() {
        true => &daemons.agents[0],
        false => &daemons.entries[0],
    };
    let sampler = Sampler::start(process.child.id(), address);
    let crowd = Crowd::start(port.address(&daemons), &script, clients);
    crowd.settle().await;
    answers_everywhere(&daemons).await;
    drop(crowd);
    answers_everywhere(&daemons).await;
    until("the largest body is served", async || {
        call_service(&daemons, &largest).await
    })
    .await;
    let footprint = sampler.finish();
    for process in daemons.entries.iter_mut().chain(&mut daemons.agents) {
        let ended = process.child.try_wait().expect("the process is waited for");
        assert!(ended.is_none(), "a process has ended: {ended:?}");
    }
    let memory_mb = footprint.memory_bytes >> 20;
    println!(
        "most memory {memory_mb} MB, most descriptors {}",
        footprint.descriptors
    );
    assert!(memory_mb <= MEMORY_MB, "memory: {memory_mb} MB");
    if limits == FEW_CONNECTIONS {
        assert!(
            footprint.descriptors <= DESCRIPTORS,
            "descriptors: {}",
            footprint.descriptors
        );
    }
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

const HEAD: &str = "POST /v1/teams/team-0/services/none/x HTTP/1.1\r\nHost: h\r\n";

fn silent() -> Script {
    Script::silent()
}

fn head_without_end() -> Script {
    Script::raw(format!("GET /{} HTTP/1.1\r\nHost: h\r", "a".repeat(4_000)))
}

fn body_without_end() -> Script {
    Script::body(HEAD, 900, 1)
}

fn few_large_frames() -> Script {
    Script::h2_frames(8, 900_000).deaf()
}

fn many_small_frames() -> Script {
    Script::h2_frames(64, 100_000).deaf()
}

fn headers_without_end() -> Script {
    Script::h2_headers(8_000_000)
}

fn resets() -> Script {
    Script::h2_resets(20_000)
}

/// Guards against a daemon that keeps all that its callers send.
#[rstest]
#[case::whole(Script::body(HEAD, LARGEST_BODY, 0))]
#[case::one_byte_short(Script::body(HEAD, LARGEST_BODY, 1))]
#[case::piece_by_piece(Script::body(HEAD, LARGEST_BODY, 1).with_pause(Duration::from_millis(2)))]
#[case::large_chunks(Script::chunks(HEAD, 50_000, 20))]
#[case::tiny_chunks(Script::chunks(HEAD, 16, LARGEST_BODY / 16))]
#[case::chunks_of_one_byte(Script::chunks(HEAD, 1, LARGEST_BODY / 8))]
#[case::far_over_the_limit_announced(Script::body(HEAD, 8 * LARGEST_BODY, 0))]
#[case::far_over_the_limit_sent(Script::chunks(HEAD, 50_000, 160))]
#[case::without_reading(Script::body(HEAD, LARGEST_BODY, 0).deaf())]
#[case::pipelined(Script::repeated("GET /v1/addresses HTTP/1.1\r\nHost: h\r\n\r\n", 4_000).deaf())]
fn a_daemon_outlives_many_bodies(#[case] script: Script) {
    run(play(LIMITS, Port::Public, script, CLIENTS));
}

/// Guards against a daemon that answers nobody else while a crowd holds all connections of a port.
#[rstest]
#[case::public(Port::Public)]
#[case::admin(Port::Admin)]
#[case::agent_admin(Port::AgentAdmin)]
#[case::peers(Port::Peers)]
#[case::agent_peers(Port::AgentPeers)]
fn a_daemon_outlives_connections(
    #[case] port: Port,
    #[values(silent(), head_without_end(), body_without_end())] script: Script,
) {
    run(play(FEW_CONNECTIONS, port, script, MANY_CLIENTS));
}

/// Guards against metrics that nobody reads.
#[rstest]
#[case::entry(Port::Admin)]
#[case::agent(Port::AgentAdmin)]
fn a_daemon_outlives_metrics_that_nobody_reads(#[case] port: Port) {
    let script = Script::repeated("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2_000).deaf();
    run(play(LIMITS, port, script, CLIENTS));
}

/// Guards against frames that never end at the port for peers.
#[rstest]
#[case::entry(Port::Peers)]
#[case::agent(Port::AgentPeers)]
fn a_daemon_outlives_frames_that_do_not_end(
    #[case] port: Port,
    #[values(
        few_large_frames(),
        many_small_frames(),
        headers_without_end(),
        resets()
    )]
    script: Script,
) {
    run(play(LIMITS, port, script, 40));
}
