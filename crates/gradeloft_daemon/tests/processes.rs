//! Daemons as separate processes that are killed, frozen or terminated.

mod support;

use std::time::Duration;

use gradeloft_standin::fleet::{MODEL, SERVICE, wait_until};
use nix::sys::signal::Signal;
use support::{
    daemons::{DaemonFleet, Process},
    describe_call, describe_generate, version,
};

/// Idle timeout of the daemons, in milliseconds. It is long, so that a delay on a busy machine does
/// not count as silence.
const IDLE_MS: u64 = 30_000;
/// Idle timeout for tests with a frozen process, in milliseconds. It is short, so that the frozen
/// process is soon detected.
const FREEZE_IDLE_MS: u64 = 4_000;

#[actix_rt::test]
async fn requests_succeed_while_agents_are_killed_and_frozen() {
    let mut daemons = DaemonFleet::start(3, 2, FREEZE_IDLE_MS).await;
    let v1 = version("v1");
    daemons.deploy(&v1).await;
    let path = format!("{SERVICE}/charges");
    let keyed = daemons.fleet.caller().with_header("idempotency-key", "k");
    for idx in [0, 1] {
        let answer = keyed
            .call(daemons.entry(idx), "POST", &path, "two seats")
            .await;
        assert_eq!(describe_call(&answer), "200 done: POST /charges two seats");
    }
    assert_eq!(
        daemons.service.state.executions("POST /charges two seats"),
        1
    );

    daemons.agents[0].signal(Signal::SIGKILL);
    for idx in 0..6 {
        daemons
            .assert_generates(&v1, &format!("after the kill {idx}"))
            .await;
    }
    daemons.agents[1].signal(Signal::SIGSTOP);
    for idx in 0..6 {
        daemons
            .assert_generates(&v1, &format!("during the freeze {idx}"))
            .await;
    }
    daemons.agents[1].signal(Signal::SIGCONT);
    daemons.agents[2].signal(Signal::SIGKILL);
    let thawed = async {
        loop {
            let answer = daemons
                .fleet
                .caller()
                .generate(daemons.entry(0), MODEL, "p", 1)
                .await;
            if answer.status == 200 {
                return answer.tokens;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let tokens = tokio::time::timeout(Duration::from_secs(20), thawed).await;
    assert_eq!(tokens, Ok(1), "the thawed agent serves again");
    daemons.agents.clear();
}

#[actix_rt::test]
async fn terminated_daemons_finish_running_requests_and_exit_with_0() {
    let mut daemons = DaemonFleet::start(2, 2, IDLE_MS).await;
    let v1 = version("v1");
    daemons.deploy(&v1).await;
    for engine in &daemons.engines {
        engine.state.token_ms.set(20);
    }
    let caller = daemons.fleet.caller();
    let entry = daemons.entry(0);
    let running: Vec<_> = (0..6)
        .map(|idx| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.generate(entry, MODEL, &format!("p{idx}"), 80).await },
            )
        })
        .collect();
    let busy = || 0 < daemons.engines[0].state.running.get();
    wait_until("the first agent is busy", busy).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    daemons.entries[0].signal(Signal::SIGTERM);
    assert_eq!(daemons.agents[0].wait_for_exit().await, Some(0));
    assert_eq!(daemons.entries[0].wait_for_exit().await, Some(0));
    for (idx, running) in running.into_iter().enumerate() {
        let answer = running.await.expect("the caller's task ends");
        let expected = "200 the version's own text, end of 80 tokens by bulletin/v1, no error";
        assert_eq!(
            describe_generate(&answer, &v1, &format!("p{idx}"), 80),
            expected
        );
    }
    let cancelled: u64 = daemons
        .engines
        .iter()
        .map(|it| it.state.cancelled.get())
        .sum();
    assert_eq!(cancelled, 0);
}

#[actix_rt::test]
async fn second_signal_ends_a_draining_daemon() {
    let mut daemons = DaemonFleet::start(1, 1, IDLE_MS).await;
    daemons.deploy(&version("v1")).await;
    daemons.engines[0].state.token_ms.set(20);
    let caller = daemons.fleet.caller();
    let stream = caller
        .generate_stream(daemons.entry(0), MODEL, 100_000)
        .await;
    let _stream = stream.expect("an answer");
    let engine = std::rc::Rc::clone(&daemons.engines[0].state);
    wait_until("the request is running", || engine.running.get() == 1).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    wait_until_not_ready(&daemons.agents[0]).await;
    daemons.agents[0].signal(Signal::SIGTERM);
    assert_eq!(
        daemons.agents[0].wait_for_exit().await,
        Some(3),
        "the exit code reports cut-off requests"
    );
}

/// Waits until a daemon reports that it is not ready.
async fn wait_until_not_ready(process: &Process) {
    let url = format!("http://{}/readyz", process.admin);
    let client = awc::Client::default();
    loop {
        let response = client.get(&url).send().await;
        if response.is_ok_and(|it| it.status() == 503) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}
