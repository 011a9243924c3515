//! Combinations of two failures.

mod support;

use futures_util::future::join;
use gradeloft_standin::{
    engine::Fault,
    fleet::{Fleet, MODEL, SERVICE, digest, wait_until},
};
use support::{Transcript, describe_call, describe_generate, fleet, golden, shape, version};
use tokio::sync::watch;

async fn charge(fleet: &Fleet, entry: usize, key: &str) -> String {
    let caller = fleet.caller().with_header("idempotency-key", key);
    let path = format!("{SERVICE}/charges");
    describe_call(&caller.call(fleet.entry(entry), "POST", &path, key).await)
}

fn run_count(fleet: &Fleet, key: &str) -> u64 {
    let call = format!("POST /charges {key}");
    fleet
        .services
        .iter()
        .map(|it| it.endpoint.state.executions(&call))
        .sum()
}

#[actix_rt::test]
async fn keyed_call_runs_once_after_a_lost_reply_and_an_agent_kill() {
    let mut fleet = fleet(shape(2, 1, 2)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let mut transcript = Transcript::default();
    for service in &fleet.services {
        service.endpoint.state.lose_replies.set(1);
    }
    transcript.add(format!(
        "the reply is lost: {}",
        charge(&fleet, 0, "k1").await
    ));
    let holder = usize::from(
        fleet.services[1]
            .endpoint
            .state
            .executions("POST /charges k1")
            == 1,
    );
    fleet.services[holder].agent = None;
    for service in &fleet.services {
        service.endpoint.state.lose_replies.set(0);
    }
    let gone = || {
        fleet.entries.iter().flatten().all(|it| {
            let now = it.node().clock.now();
            let membership = it.node().membership.borrow();
            membership
                .iter()
                .filter(|(_, it)| it.accepts_work(now))
                .count()
                == 3
        })
    };
    fleet
        .wait_until("the entries mark the agent unavailable", gone)
        .await;
    transcript.add(format!(
        "again, at the other agent: {}",
        charge(&fleet, 1, "k1").await
    ));
    transcript.add(format!(
        "another key, at the other agent: {}",
        charge(&fleet, 1, "k2").await
    ));
    transcript.add(format!(
        "ran {} and {} times",
        run_count(&fleet, "k1"),
        run_count(&fleet, "k2")
    ));
    golden("lost_reply_and_kill", &transcript.text());
}

#[actix_rt::test]
async fn log_outage_refuses_new_keys_and_replays_known_ones() {
    let fleet = fleet(shape(2, 1, 1)).await;
    fleet.deploy(&version("v1")).await;
    let mut transcript = Transcript::default();
    transcript.add(format!("log up: {}", charge(&fleet, 0, "k1").await));
    fleet.log.state.down.set(true);
    transcript.add(format!(
        "log down, the same key: {}",
        charge(&fleet, 1, "k1").await
    ));
    transcript.add(format!(
        "log down, a new key: {}",
        charge(&fleet, 0, "k2").await
    ));
    transcript.add(format!(
        "log down, the new key again: {}",
        charge(&fleet, 1, "k2").await
    ));
    fleet.log.state.down.set(false);
    transcript.add(format!(
        "log up, the new key: {}",
        charge(&fleet, 1, "k2").await
    ));
    transcript.add(format!(
        "ran {} and {} times",
        run_count(&fleet, "k1"),
        run_count(&fleet, "k2")
    ));
    golden("log_down_and_duplicate", &transcript.text());
}

#[actix_rt::test]
async fn crossed_response_is_retried_past_a_refusing_replica() {
    let fleet = fleet(shape(1, 3, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let mut transcript = Transcript::default();
    fleet.engines[0]
        .endpoint
        .state
        .fault
        .set(Fault::WrongRequestId);
    fleet.engines[1].endpoint.state.slots.set(0);
    for idx in 0..6 {
        let prompt = format!("p{idx}");
        let answer = fleet
            .caller()
            .generate(fleet.entry(0), MODEL, &prompt, 2)
            .await;
        transcript.add(describe_generate(&answer, &v1, &prompt, 2));
    }
    fleet.engines[2]
        .endpoint
        .state
        .fault
        .set(Fault::WrongRequestId);
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    transcript.add(format!(
        "with no good one left: {}",
        describe_generate(&answer, &v1, "p", 2)
    ));
    golden("crossed_and_retry", &transcript.text());
}

#[actix_rt::test]
async fn drain_during_a_rollout_completes_running_requests() {
    let mut fleet = fleet(shape(1, 3, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    for engine in &fleet.engines {
        engine.endpoint.state.token_ms.set(10);
    }
    let v2 = version("v2");
    fleet.upload(&v2);
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let running: Vec<_> = (0..6)
        .map(|idx| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.generate(entry, MODEL, &format!("p{idx}"), 60).await },
            )
        })
        .collect();
    let states: Vec<_> = fleet
        .engines
        .iter()
        .map(|it| std::rc::Rc::clone(&it.endpoint.state))
        .collect();
    wait_until("all requests are running", || {
        states.iter().map(|it| it.running.get()).sum::<u32>() == 6
    })
    .await;
    let second = fleet.bundle(2, Some(digest(&first)), &v2);
    let drained = fleet.engines[0].agent.take().expect("the agent is running");
    let (_force, forced) = watch::channel(false);
    let (published, cut) = join(fleet.publish(&second), drained.drain(forced)).await;
    published.expect("the bundle is accepted");
    assert_eq!(cut, 0);
    drop(drained);
    let mut transcript = Transcript::default();
    for (idx, running) in running.into_iter().enumerate() {
        let answer = running.await.expect("the caller's task ends");
        transcript.add(describe_generate(&answer, &v1, &format!("p{idx}"), 60));
    }
    fleet
        .wait_until("the other replicas serve v2", || fleet.is_routable(&v2))
        .await;
    let answer = caller.generate(entry, MODEL, "p", 2).await;
    transcript.add(format!(
        "afterwards: {}",
        describe_generate(&answer, &v2, "p", 2)
    ));
    golden("drain_and_new_version", &transcript.text());
}

#[actix_rt::test]
async fn restarted_agent_fetches_from_peers_while_origin_and_store_are_down() {
    let mut fleet = fleet(shape(1, 3, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.origin.state.down.set(true);
    fleet.store.state.down.set(true);
    fleet.engines[0].endpoint.state.set_serving(Vec::new());
    fleet.engines[0].endpoint.state.clear_content();
    fleet.restart_agent(0).await.expect("the agent restarts");
    let reloaded = || fleet.engines[0].endpoint.state.serves() == ["bulletin/v1"];
    fleet
        .wait_until("the version is fetched from peers", reloaded)
        .await;
}

#[actix_rt::test]
async fn rollout_completes_after_an_owner_is_killed_and_chunks_are_corrupted() {
    let mut fleet = fleet(shape(1, 4, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    fleet.origin.state.bytes_per_s.set(150 << 10);
    fleet.origin.state.corrupt_every.set(5);
    let before = fleet.origin.state.bytes_read.get();
    let v2 = version("v2");
    fleet.upload(&v2);
    fleet
        .publish(&fleet.bundle(2, Some(digest(&first)), &v2))
        .await
        .expect("the bundle is accepted");
    let in_flight = || before + 2 * 8192 < fleet.origin.state.bytes_read.get();
    fleet.wait_until("v2 is in flight", in_flight).await;
    fleet.engines[1].agent = None;
    fleet.list.state.frozen.set(true);
    fleet
        .wait_until("the remaining replicas serve v2", || fleet.is_routable(&v2))
        .await;
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    let expected = "200 the version's own text, end of 2 tokens by bulletin/v2, no error";
    assert_eq!(describe_generate(&answer, &v2, "p", 2), expected);
}
