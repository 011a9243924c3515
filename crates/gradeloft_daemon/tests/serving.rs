//! Requests during failures: responses are correct and complete, and calls run at most once.

mod support;

use std::time::Duration;

use futures_util::{StreamExt, future::join};
use gradeloft_standin::{
    engine::Fault,
    fleet::{Fleet, MODEL, SERVICE, wait_until},
};
use rstest::rstest;
use support::{describe_call, describe_generate, fleet, shape, version};
use tokio::{io::AsyncWriteExt, sync::watch};

const CHARGE: &str = "POST /charges two seats";

async fn charge(
    fleet: &Fleet,
    entry: usize,
    key: &str,
) -> gradeloft_standin::caller::ServiceResponse {
    let caller = match key {
        "" => fleet.caller(),
        key => fleet.caller().with_header("idempotency-key", key),
    };
    caller
        .call(
            fleet.entry(entry),
            "POST",
            &format!("{SERVICE}/charges"),
            "two seats",
        )
        .await
}

fn run_count(fleet: &Fleet) -> u64 {
    fleet
        .services
        .iter()
        .map(|it| it.endpoint.state.executions(CHARGE))
        .sum()
}

/// A bad reply of an engine never reaches the caller as a complete response. If no token was sent
/// yet, another replica responds; otherwise the caller gets an error.
#[rstest]
#[case::crossed(
    Fault::WrongRequestId,
    "200 the version's own text, end of 4 tokens by bulletin/v1, no error"
)]
#[case::mixed(
    Fault::MixedVersions,
    "200 not the whole text, no end, mismatch ran unknown retryable false"
)]
#[case::repeated(
    Fault::DuplicateToken,
    "200 not the whole text, no end, mismatch ran unknown retryable false"
)]
#[case::cut(
    Fault::Truncated,
    "200 not the whole text, no end, cut ran yes retryable false"
)]
#[case::stalled(
    Fault::Stalled,
    "200 not the whole text, no end, cut ran yes retryable false"
)]
#[actix_rt::test]
async fn bad_engine_reply_is_never_reported_as_complete(
    #[case] fault: Fault,
    #[case] expected: &str,
) {
    let mut shape = shape(1, 2, 0);
    if fault == Fault::Stalled {
        shape.settings = "limits: {idle_ms: 2000}".to_owned();
    }
    let fleet = fleet(shape).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    // The prompt's prefix determines the replica that is tried first: break that one.
    let probe = fleet.caller().generate(fleet.entry(0), MODEL, "p", 4).await;
    assert_eq!(probe.tokens, 4);
    let first = usize::from(fleet.engines[1].endpoint.state.finished.get() == 1);
    fleet.engines[first].endpoint.state.fault.set(fault);
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 4).await;
    assert_eq!(describe_generate(&answer, &v1, "p", 4), expected);
}

#[actix_rt::test]
async fn killed_agent_fails_no_repeatable_request() {
    let mut fleet = fleet(shape(2, 3, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.engines[0].agent = None;
    for idx in 0..30 {
        let prompt = format!("p{idx}");
        let answer = fleet
            .caller()
            .generate(fleet.entry(idx % 2), MODEL, &prompt, 2)
            .await;
        let expected = "200 the version's own text, end of 2 tokens by bulletin/v1, no error";
        assert_eq!(describe_generate(&answer, &v1, &prompt, 2), expected);
    }
}

#[actix_rt::test]
async fn lost_reply_is_reported_as_unknown_and_not_retried() {
    let fleet = fleet(shape(1, 1, 2)).await;
    fleet.deploy(&version("v1")).await;
    for service in &fleet.services {
        service.endpoint.state.lose_replies.set(1);
    }
    let answer = charge(&fleet, 0, "").await;
    assert_eq!(
        describe_call(&answer),
        "502 reply_lost ran unknown retryable false"
    );
    assert_eq!(run_count(&fleet), 1);
}

#[actix_rt::test]
async fn lost_reply_of_a_repeatable_call_is_retried_elsewhere() {
    let fleet = fleet(shape(1, 1, 2)).await;
    fleet.deploy(&version("v1")).await;
    fleet.services[0].endpoint.state.lose_replies.set(1);
    for _ in 0..4 {
        let path = format!("{SERVICE}/rooms");
        let answer = fleet.caller().call(fleet.entry(0), "GET", &path, "").await;
        assert_eq!(describe_call(&answer), "200 done: GET /rooms");
    }
}

#[actix_rt::test]
async fn same_key_returns_the_first_outcome_at_any_entry() {
    let fleet = fleet(shape(2, 1, 2)).await;
    fleet.deploy(&version("v1")).await;
    let first = charge(&fleet, 0, "k").await;
    let second = charge(&fleet, 1, "k").await;
    assert_eq!(describe_call(&first), format!("200 done: {CHARGE}"));
    assert_eq!(describe_call(&second), describe_call(&first));
    assert_eq!(run_count(&fleet), 1);
}

#[actix_rt::test]
async fn concurrent_calls_with_the_same_key_run_once() {
    let fleet = fleet(shape(2, 1, 2)).await;
    fleet.deploy(&version("v1")).await;
    for service in &fleet.services {
        service.endpoint.state.delay_ms.set(50);
    }
    let (first, second) = join(charge(&fleet, 0, "k"), charge(&fleet, 1, "k")).await;
    let mut both = [describe_call(&first), describe_call(&second)];
    both.sort();
    assert_eq!(
        both,
        [
            format!("200 done: {CHARGE}"),
            "409 duplicate ran unknown retryable false".to_owned()
        ]
    );
    assert_eq!(run_count(&fleet), 1);
}

#[actix_rt::test]
async fn restarted_agent_does_not_rerun_a_claimed_call() {
    let mut fleet = fleet(shape(1, 1, 1)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.services[0].endpoint.state.lose_replies.set(1);
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        "502 reply_lost ran unknown retryable false"
    );
    fleet.restart_service_agent(0).await.unwrap();
    fleet
        .wait_until("the restarted agent is known", || fleet.is_routable(&v1))
        .await;
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        "409 duplicate ran unknown retryable false"
    );
    assert_eq!(run_count(&fleet), 1);
}

#[actix_rt::test]
async fn keyed_call_is_refused_unrun_while_the_log_is_down() {
    let fleet = fleet(shape(1, 1, 1)).await;
    fleet.deploy(&version("v1")).await;
    fleet.log.state.down.set(true);
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        "503 log_unavailable ran no retryable true"
    );
    assert_eq!(run_count(&fleet), 0);
    let unkeyed = charge(&fleet, 0, "").await;
    assert_eq!(
        describe_call(&unkeyed),
        format!("200 done: {CHARGE}"),
        "calls without a key need no log"
    );
    fleet.log.state.down.set(false);
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        format!("200 done: {CHARGE}")
    );
    assert_eq!(run_count(&fleet), 2);
}

#[actix_rt::test]
async fn claimed_call_runs_once_if_the_reply_to_the_append_is_lost() {
    let fleet = fleet(shape(1, 1, 1)).await;
    fleet.deploy(&version("v1")).await;
    fleet.log.state.lose_replies.set(1);
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        format!("200 done: {CHARGE}")
    );
    assert_eq!(
        describe_call(&charge(&fleet, 0, "k").await),
        format!("200 done: {CHARGE}")
    );
    assert_eq!(run_count(&fleet), 1);
}

#[actix_rt::test]
async fn mismatched_service_response_is_an_error() {
    let fleet = fleet(shape(1, 1, 1)).await;
    fleet.deploy(&version("v1")).await;
    fleet.services[0].endpoint.state.echo_wrong_id.set(true);
    assert_eq!(
        describe_call(&charge(&fleet, 0, "").await),
        "502 mismatch ran unknown retryable false"
    );
}

#[actix_rt::test]
async fn client_disconnect_cancels_the_request_at_the_engine() {
    let fleet = fleet(shape(1, 1, 0)).await;
    fleet.deploy(&version("v1")).await;
    let engine = &fleet.engines[0].endpoint.state;
    engine.token_ms.set(5);
    let stream = fleet
        .caller()
        .generate_stream(fleet.entry(0), MODEL, 100_000)
        .await;
    let mut stream = stream.expect("an answer");
    stream.next().await.expect("a first token").unwrap();
    assert_eq!(engine.running.get(), 1);
    drop(stream);
    wait_until("the engine's request is cancelled", || {
        engine.cancelled.get() == 1
    })
    .await;
    assert_eq!(engine.running.get(), 0);
}

#[actix_rt::test]
async fn draining_agent_finishes_requests_and_gets_no_new_ones() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    for engine in &fleet.engines {
        engine.endpoint.state.token_ms.set(10);
    }
    let caller = fleet.caller();
    let prompts: Vec<String> = (0..8).map(|it| format!("p{it}")).collect();
    let running = prompts
        .iter()
        .map(|it| caller.generate(fleet.entry(0), MODEL, it, 60));
    let running = futures_util::future::join_all(running);
    let drained = async {
        let busy = || 0 < fleet.engines[0].endpoint.state.running.get();
        wait_until("the agent is busy", busy).await;
        let (_force, forced) = watch::channel(false);
        let cut = fleet.engines[0].agent.as_ref().unwrap().drain(forced).await;
        let before = fleet.engines[0].endpoint.state.finished.get();
        for idx in 0..10 {
            let prompt = format!("later {idx}");
            let answer = caller.generate(fleet.entry(0), MODEL, &prompt, 1).await;
            assert_eq!(answer.tokens, 1);
        }
        (cut, before, fleet.engines[0].endpoint.state.finished.get())
    };
    let (answers, (cut, before, after)) = join(running, drained).await;
    let expected = "200 the version's own text, end of 60 tokens by bulletin/v1, no error";
    for (answer, prompt) in answers.iter().zip(&prompts) {
        assert_eq!(describe_generate(answer, &v1, prompt, 60), expected);
    }
    assert_eq!((cut, before), (0, after));
}

#[actix_rt::test]
async fn draining_entry_finishes_requests_unless_forced_to_end() {
    let mut shape = shape(2, 1, 0);
    shape.settings = "limits: {drain_ms: 4500}".to_owned();
    let fleet = fleet(shape).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.engines[0].endpoint.state.token_ms.set(20);
    let caller = fleet.caller();
    let short = caller.generate(fleet.entry(0), MODEL, "short", 100);
    let drain = async {
        let busy = || 0 < fleet.engines[0].endpoint.state.running.get();
        wait_until("a request runs", busy).await;
        let (_force, forced) = watch::channel(false);
        fleet.entries[0].as_ref().unwrap().drain(forced).await
    };
    let (answer, cut) = join(short, drain).await;
    let expected = "200 the version's own text, end of 100 tokens by bulletin/v1, no error";
    assert_eq!(describe_generate(&answer, &v1, "short", 100), expected);
    assert_eq!(cut, 0);

    let long_stream = caller.generate_stream(fleet.entry(1), MODEL, 100_000).await;
    let mut long_stream = long_stream.expect("an answer");
    long_stream.next().await.expect("a first token").unwrap();
    let (force, forced) = watch::channel(false);
    let drain = fleet.entries[1].as_ref().unwrap().drain(forced);
    let (cut, ()) = join(drain, async { force.send(true).unwrap() }).await;
    assert!(
        0 < cut,
        "a second signal ends the drain, and cut off requests are counted"
    );
}

/// Callers use an entry until the TTL of its address expires. A request whose response might not be
/// complete before the process ends must be rejected unrun, so that the caller uses another entry;
/// otherwise its response is cut off.
#[actix_rt::test]
async fn draining_entry_rejects_requests_that_may_outlast_it() {
    let mut shape = shape(1, 1, 0);
    shape.settings = "limits: {drain_ms: 4500}".to_owned();
    let fleet = fleet(shape).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let (force, forced) = watch::channel(false);
    let entry = fleet.entries[0].as_ref().unwrap();
    let requests = async {
        wait_until("the entry is draining", || entry.node().is_draining()).await;
        let deadline = |ms| fleet.caller().with_header("x-deadline-ms", ms);
        let (short_deadline, long_deadline) = (deadline("1000"), deadline("60000"));
        let short = short_deadline.generate(fleet.entry(0), MODEL, "p", 3).await;
        let expected = "200 the version's own text, end of 3 tokens by bulletin/v1, no error";
        assert_eq!(describe_generate(&short, &v1, "p", 3), expected);
        let before = fleet.engines[0].endpoint.state.finished.get();
        let long = long_deadline.generate(fleet.entry(0), MODEL, "p", 3).await;
        let error = long.error.expect("an error");
        assert_eq!((long.status, error.kind.as_str()), (503, "leaving"));
        assert_eq!(fleet.engines[0].endpoint.state.finished.get(), before);
        force.send(true).unwrap();
    };
    join(entry.drain(forced), requests).await;
}

#[actix_rt::test]
async fn malformed_frame_closes_only_its_connection() {
    let fleet = fleet(shape(1, 1, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let agent = fleet.engines[0].agent.as_ref().unwrap();
    let malformed = || agent.node().metrics.malformed.get();
    let mut socket = tokio::net::TcpStream::connect(agent.peer()).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    wait_until("data that is not HTTP/2 is counted", || malformed() == 1).await;

    let socket = tokio::net::TcpStream::connect(agent.peer()).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    let connection = actix_rt::spawn(connection);
    let request = http::Request::post("http://peer/").body(()).unwrap();
    let (_response, mut body) = sender
        .ready()
        .await
        .unwrap()
        .send_request(request, false)
        .unwrap();
    body.send_data(bytes::Bytes::from_static(&[0, 0, 0, 2, 0xff, 0xff]), true)
        .unwrap();
    wait_until("a malformed frame is counted", || malformed() == 2).await;
    let _ = tokio::time::timeout(Duration::from_secs(5), connection)
        .await
        .expect("the connection is closed");

    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    let expected = "200 the version's own text, end of 2 tokens by bulletin/v1, no error";
    assert_eq!(describe_generate(&answer, &v1, "p", 2), expected);
}

#[actix_rt::test]
async fn engine_refusal_is_retried_at_another_replica() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.engines[0].endpoint.state.slots.set(0);
    for idx in 0..8 {
        let prompt = format!("p{idx}");
        let answer = fleet
            .caller()
            .generate(fleet.entry(0), MODEL, &prompt, 1)
            .await;
        let expected = "200 the version's own text, end of 1 tokens by bulletin/v1, no error";
        assert_eq!(describe_generate(&answer, &v1, &prompt, 1), expected);
    }
    fleet.engines[1].endpoint.state.slots.set(0);
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 1).await;
    let error = answer.error.expect("an error");
    assert_eq!(
        (answer.status, error.kind.as_str()),
        (503, "endpoint_refused")
    );
    assert_eq!(error.retry_after_s, Some(1));
}

#[actix_rt::test]
async fn request_without_a_free_stream_fails_at_its_deadline() {
    let mut shape = shape(1, 1, 0);
    // One stream for the notices and one for a request.
    shape.settings = "limits: {streams_per_connection: 2}".to_owned();
    let fleet = fleet(shape).await;
    fleet.deploy(&version("v1")).await;
    let engine = &fleet.engines[0].endpoint.state;
    engine.token_ms.set(5);
    let first = fleet
        .caller()
        .generate_stream(fleet.entry(0), MODEL, 100_000)
        .await;
    let mut first = first.expect("an answer");
    first.next().await.expect("a first token").unwrap();
    let short_deadline = fleet.caller().with_header("x-deadline-ms", "300");
    let answer = short_deadline.generate(fleet.entry(0), MODEL, "p", 1).await;
    let error = answer.error.expect("an error");
    // The transport queues the call, so the entry can't know that it was never sent.
    assert_eq!(
        (error.kind.as_str(), error.ran.to_string().as_str()),
        ("deadline", "unknown")
    );
    assert_eq!((engine.running.get(), engine.finished.get()), (1, 0));
}

#[actix_rt::test]
async fn an_engine_that_asks_for_a_pause_gets_no_request_before_its_end() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.upload(&v1);
    let bundle = fleet.bundle(1, None, &v1);
    fleet.publish(&bundle).await.expect("it is accepted");
    fleet
        .wait_until("ready", || {
            fleet.is_routable(&v1) && fleet.serving_count(&v1) == 2
        })
        .await;
    let resting = &fleet.engines[0].endpoint.state;
    resting.refuse_for.set(Some("60"));
    for _ in 0..12 {
        let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
        assert_eq!(answer.status, 200);
    }
    assert!(resting.refused.get() <= 1, "{}", resting.refused.get());
}

#[actix_rt::test]
async fn a_service_that_asks_for_a_pause_gets_no_call_before_its_end() {
    let fleet = fleet(shape(1, 1, 1)).await;
    let v1 = version("v1");
    fleet.upload(&v1);
    let bundle = fleet.bundle(1, None, &v1);
    fleet.publish(&bundle).await.expect("it is accepted");
    fleet.wait_until("ready", || fleet.is_routable(&v1)).await;
    let resting = &fleet.services[0].endpoint.state;
    assert_eq!(charge(&fleet, 0, "").await.status, 200);
    resting.refuse_for.set(Some("60"));
    for _ in 0..6 {
        assert_eq!(charge(&fleet, 0, "").await.status, 503);
    }
    assert_eq!(resting.refused.get(), 1);
}
