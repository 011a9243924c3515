//! Requests to a model whose replicas have no free slot.

use std::{cell::RefCell, rc::Rc, time::Duration};

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::process::{
    document::{RouteKind, Speed, Warmup},
    replicas::Listing,
};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;

use tokio::io::AsyncWriteExt;

use crate::support::{Harness, SPEED, TestConfig, ok, read_all, request, run, send, wait_until};

/// Time for which a replica holds a slot.
const HELD: Duration = Duration::from_millis(100);

fn ranked(goal_ms: u64) -> TestConfig {
    TestConfig {
        ranked: true,
        ..config(goal_ms)
    }
}

fn request_to(route: &str) -> String {
    request("POST", "form").replace("/r/", &format!("/{route}/"))
}

/// Time for which a replica holds the slot for which several callers come to wait.
const FIRST_HELD: Duration = Duration::from_millis(800);

/// Returns a script that answers `count` requests one after the other, the first after `first`.
fn slow_answers(first: Duration, count: usize) -> Vec<Step> {
    let holds = (0..count).map(|it| if it == 0 { first } else { HELD });
    holds
        .flat_map(|it| [Step::Read, Step::Wait(it), ok("answer")])
        .collect()
}

/// Waits until `count` requests wait, while the first one holds the slot.
async fn wait_for_waiting(harness: &Harness, count: usize) {
    wait_until(|| async {
        assert_eq!(harness.request_count(), 1, "the slot is held");
        waiting(harness) == count
    })
    .await;
}

fn waiting(harness: &Harness) -> usize {
    let text = harness.entry.entry().node.metrics.text();
    let name = r#"gradeloft_waiting_requests{service="s"} "#;
    let value = text.lines().find_map(|it| it.strip_prefix(name));
    value.map_or(0, |it| it.parse().unwrap())
}

/// Returns the routes of the requests that reached the first replica, in order.
fn served_routes(harness: &Harness) -> Vec<String> {
    let requests = harness.replicas[0].requests();
    let route = |it: &String| it.split('/').nth(1).unwrap().to_owned();
    requests.iter().map(route).collect()
}

fn config(goal_ms: u64) -> TestConfig {
    TestConfig {
        goal_ms,
        model_slots: Some(1),
        ..TestConfig::of(RouteKind::Idempotent)
    }
}

/// Three callers compete for one slot. Guards against refusing the second and third at once,
/// although the slot is free again well before their latency objective.
#[test]
fn a_request_waits_for_a_slot_that_becomes_free_within_its_objective() {
    run(async {
        let delay = Step::Wait(Duration::from_millis(100));
        let responses = [Step::Read, delay, ok("answer")];
        let responses = responses.iter().cycle().take(9).cloned().collect();
        let harness = Harness::start(config(3_000), vec![vec![responses]]).await;
        let request_text = request("POST", "form");
        let (first, second, third) = tokio::join!(
            harness.send(&request_text),
            harness.send(&request_text),
            harness.send(&request_text)
        );
        for response in [first, second, third] {
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
    });
}

/// Guards against a number of prompt tokens that ends the entry, or counts against all later requests.
#[rstest]
#[case::infinite("inf,1")]
#[case::negative_and_infinite("-inf,1")]
#[case::not_a_number("NaN,1")]
#[case::largest("1.7e308,1")]
#[case::beyond_the_largest("1e400,1")]
#[case::smallest("-1.7e308,1")]
#[case::negative("-5,1")]
#[case::of_a_thousand_digits(&"9".repeat(1_000))]
fn a_prompt_of_an_impossible_length_affects_no_other_request(
    #[case] tokens: &str,
    #[values(config(3_000), ranked(3_000))] config: TestConfig,
) {
    run(async {
        let script = slow_answers(HELD, 4);
        let harness = Harness::start(config, vec![vec![script]]).await;
        let ordinary = request("POST", "form");
        let impossible = ordinary.replace("Content-", &format!("t-tokens: {tokens}\r\nContent-"));
        let waiting = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            harness.send(&impossible).await
        };
        let (first, waiting) = tokio::join!(harness.send(&ordinary), waiting);
        assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
        assert!(waiting.starts_with("HTTP/1.1 "), "{waiting}");
        let alone = harness.send(&impossible).await;
        assert!(alone.starts_with("HTTP/1.1 "), "{alone}");
        let after = harness.send(&ordinary).await;
        assert!(after.starts_with("HTTP/1.1 200 "), "{after}");
        let replicas = harness.entry.entry().replicas.borrow();
        assert!(replicas.iter().all(|(_, it)| it.own_waiting_tokens == 0.0));
    });
}

/// Guards against an entry that ends, or stops following the tables, at numbers that nobody can mean.
#[rstest]
#[case::step(Speed { step_ms: f64::MAX, ..SPEED })]
#[case::step_per_request(Speed { step_ms_per_request: f64::MAX, ..SPEED })]
#[case::negative_step_per_request(Speed { step_ms_per_request: -1e300, ..SPEED })]
#[case::steps(Speed { steps: u32::MAX, ..SPEED })]
#[case::slow_prefill(Speed { read_per_ms: f64::MIN_POSITIVE, ..SPEED })]
#[case::fast_prefill(Speed { read_per_ms: f64::MAX, ..SPEED })]
#[case::response(Speed { usual_response: f64::MAX, ..SPEED })]
#[case::negative_response(Speed { usual_response: -1e300, ..SPEED })]
#[case::prompt(Speed { usual_prompt: f64::MAX, ..SPEED })]
fn requests_are_answered_with_a_speed_beyond_any_range(
    #[case] speed: Speed,
    #[values(config(3_000), ranked(3_000))] config: TestConfig,
) {
    run(async {
        let script = slow_answers(HELD, 4);
        let harness = Harness::start(TestConfig { speed, ..config }, vec![vec![script]]).await;
        answers_and_follows(&harness).await;
    });
}

/// Guards against an entry that ends, or stops following the tables, at numbers that nobody can mean.
#[rstest]
#[case::largest(u32::from(u16::MAX), true)]
#[case::beyond_the_largest(u32::from(u16::MAX) + 1, false)]
#[case::half_of_all(u32::MAX / 2, false)]
#[case::all(u32::MAX, false)]
fn requests_are_answered_beside_a_replica_of_any_number_of_slots(
    #[case] slots: u32,
    #[case] is_listed: bool,
    #[values(config(3_000), ranked(3_000))] config: TestConfig,
) {
    run(async {
        let script = || vec![slow_answers(HELD, 4); 2];
        let harness = Harness::start(config, vec![script(), script()]).await;
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 2 }).await;
        let listed = entry
            .replicas
            .borrow()
            .iter()
            .next()
            .unwrap()
            .1
            .listing
            .clone();
        for id in ["odd-1", "odd-2"] {
            let id = id.into();
            harness.list_replica(Listing {
                id,
                slots,
                ..listed.clone()
            });
        }
        let (replicas, unreadable) = if is_listed { (4, 0) } else { (2, 2) };
        wait_until(|| async {
            let text = entry.node.metrics.text();
            let name = r#"unreadable_records_total{reason="replicas"} "#;
            let count = text
                .lines()
                .find_map(|it| it.split_once(name))
                .map_or("0", |it| it.1);
            entry.replicas.borrow().len() == replicas && count == unreadable.to_string()
        })
        .await;
        answers_and_follows(&harness).await;
    });
}

/// Guards against an entry that ends, or stops following the tables, at numbers that nobody can mean.
#[rstest]
#[case::rare(60_000, f64::MIN_POSITIVE)]
#[case::frequent(60_000, f64::MAX)]
#[case::endless(u64::MAX, 1.0)]
fn requests_are_answered_with_a_warm_up_beyond_any_range(#[case] ms: u64, #[case] per_s: f64) {
    run(async {
        let config = TestConfig {
            warmup: Some(Warmup { ms, per_s }),
            ..config(3_000)
        };
        let harness = Harness::start(config, vec![vec![slow_answers(HELD, 4)]]).await;
        harness.set_warmup_left(0, ms);
        harness.list_all();
        let entry = harness.entry.entry();
        let is_cold = || {
            let replicas = entry.replicas.borrow();
            let mut all = replicas.iter();
            all.all(|(_, it)| it.throttle.cold(entry.node.clock.now()))
        };
        wait_until(|| async { is_cold() }).await;
        answers_and_follows(&harness).await;
    });
}

/// Sends requests that compete for a replica, and expects responses, and that the next configuration
/// is applied.
async fn answers_and_follows(harness: &Harness) {
    let request = request("POST", "form");
    let responses = tokio::join!(harness.send(&request), harness.send(&request));
    for response in [responses.0, responses.1, harness.send(&request).await] {
        assert!(response.starts_with("HTTP/1.1 "), "{response}");
    }
    harness.tables.write(Table::Operator, "config", Some("2"));
    let entry = harness.entry.entry();
    wait_until(|| async { entry.config_version() == 2 }).await;
    let response = harness.send(&request).await;
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
}

/// The slot never becomes free: the caller gets a refusal once the latency objective has passed,
/// long before the deadline.
#[test]
fn a_request_without_a_slot_within_its_objective_is_refused_as_not_run() {
    run(async {
        let harness = Harness::start(
            config(200),
            vec![vec![vec![Step::Read, Step::WaitForDisconnect]]],
        )
        .await;
        let request_text = request("POST", "form");
        let first_request = harness.send(&request_text);
        let second_request = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            let clock = Clock::start();
            let sent_at = clock.now();
            (
                harness.send(&request_text).await,
                clock.now().since(sent_at),
            )
        };
        let (response, took) = tokio::select! {
            refused = second_request => refused,
            response = first_request => panic!("{response}"),
        };
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
        assert!(Duration::from_millis(200) <= took, "{took:?}");
        assert_eq!(harness.request_count(), 1);
    });
}

/// Guards against waiters that race for a slot: the latest arrival is the most urgent.
#[test]
fn a_slot_goes_to_waiting_requests_in_the_order_of_their_priorities() {
    run(async {
        let harness = Harness::start(ranked(3_000), vec![vec![slow_answers(FIRST_HELD, 4)]]).await;
        let mut callers = vec![actix_rt::spawn(send_to("r"))];
        wait_until(|| async { harness.request_count() == 1 }).await;
        for (idx, route) in ["l", "r", "u"].into_iter().enumerate() {
            callers.push(actix_rt::spawn(send_to(route)));
            wait_for_waiting(&harness, idx + 1).await;
        }
        for caller in callers {
            let response = caller.await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        assert_eq!(served_routes(&harness), ["r", "u", "r", "l"]);
        assert_eq!(waiting(&harness), 0);
    });
}

/// Guards against waiters that race for a slot where the operator ranks no requests.
#[test]
fn a_slot_goes_to_equal_requests_in_the_order_of_their_arrival() {
    run(async {
        let harness = Harness::start(config(3_000), vec![vec![slow_answers(FIRST_HELD, 5)]]).await;
        let mut callers = vec![actix_rt::spawn(send_body("0"))];
        wait_until(|| async { harness.request_count() == 1 }).await;
        for (idx, body) in ["1", "2", "3", "4"].into_iter().enumerate() {
            callers.push(actix_rt::spawn(send_body(body)));
            wait_for_waiting(&harness, idx + 1).await;
        }
        for caller in callers {
            let response = caller.await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let requests = harness.replicas[0].requests();
        let bodies: Vec<&str> = requests.iter().map(|it| &it[it.len() - 1..]).collect();
        assert_eq!(bodies, ["0", "1", "2", "3", "4"]);
    });
}

/// Guards against a slot that goes from one request of a connection to its next one while callers that wait
/// for their responses are refused.
#[test]
fn a_caller_that_pipelines_makes_way_for_refused_callers() {
    run(async {
        let harness = Harness::start(config(200), vec![vec![slow_answers(FIRST_HELD, 2)]]).await;
        let mut pipelining = harness.connect().await;
        let kept = request("POST", "pipelined").replace("Connection: close\r\n", "");
        let requests = kept.repeat(4);
        pipelining.write_all(requests.as_bytes()).await.unwrap();
        wait_until(|| async { harness.request_count() == 1 }).await;
        let refused = send_body("ordinary").await;
        assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
        let responses = read_all(&mut pipelining).await;
        assert!(responses.starts_with("HTTP/1.1 200 "), "{responses}");
        assert_eq!(responses.matches("HTTP/1.1 503 ").count(), 1, "{responses}");
        assert!(responses.contains(r#""ran":"no""#), "{responses}");
        assert!(responses.contains("Connection: close"), "{responses}");
        let served = send_body("ordinary").await;
        assert!(served.starts_with("HTTP/1.1 200 "), "{served}");
        assert_eq!(harness.request_count(), 2);
    });
}

/// Guards against refusing requests that are sent ahead although nobody else was refused.
#[test]
fn pipelined_requests_are_served_one_after_the_other_in_calm() {
    run(async {
        let harness = Harness::start(config(3_000), vec![vec![slow_answers(HELD, 3)]]).await;
        let mut pipelining = harness.connect().await;
        let kept = request("POST", "pipelined").replace("Connection: close\r\n", "");
        let requests = kept.repeat(2) + &request("POST", "last");
        pipelining.write_all(requests.as_bytes()).await.unwrap();
        let responses = read_all(&mut pipelining).await;
        assert_eq!(responses.matches("HTTP/1.1 200 ").count(), 3, "{responses}");
    });
}

/// Guards against a place that stays taken after its caller has disconnected.
#[test]
fn a_caller_that_leaves_frees_its_place() {
    run(async {
        let harness = Harness::start(ranked(3_000), vec![vec![slow_answers(FIRST_HELD, 2)]]).await;
        let first = actix_rt::spawn(send_to("r"));
        wait_until(|| async { harness.request_count() == 1 }).await;
        let urgent = actix_rt::spawn(send_to("u"));
        wait_for_waiting(&harness, 1).await;
        let last = actix_rt::spawn(send_to("l"));
        wait_for_waiting(&harness, 2).await;
        urgent.abort();
        for caller in [first, last] {
            let response = caller.await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        assert_eq!(served_routes(&harness), ["r", "l"]);
        assert_eq!(waiting(&harness), 0);
    });
}

/// Slots become free every 100 ms, and then none does. Guards against refusing a request only at
/// its objective: of several that wait, the first refused would then be the first that came.
#[test]
fn a_request_that_cannot_be_in_time_behind_others_is_refused_at_once() {
    run(async {
        let mut script = slow_answers(HELD, 3);
        script.extend([Step::Read, Step::WaitForDisconnect]);
        let harness = Harness::start(ranked(1_000), vec![vec![script]]).await;
        let measured = [(); 3].map(|()| actix_rt::spawn(send_to("r")));
        for caller in measured {
            let response = caller.await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let refused = Rc::new(RefCell::new(Vec::new()));
        let mut sent = 0;
        while refused.borrow().is_empty() {
            let (idx, refused) = (sent, Rc::clone(&refused));
            let ended = Rc::clone(&refused);
            actix_rt::spawn(async move {
                let response = send_to("r").await;
                refused.borrow_mut().push((idx, response));
            });
            wait_until(|| async { !ended.borrow().is_empty() || waiting(&harness) == idx }).await;
            sent += 1;
        }
        let (idx, response) = refused.borrow_mut().remove(0);
        assert_eq!(idx, sent - 1, "the last that came");
        assert!(1 < idx, "some wait: {idx}");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains(r#""ran":"no""#), "{response}");
    });
}

async fn send_to(route: &str) -> String {
    send(1, &request_to(route)).await
}

async fn send_body(body: &str) -> String {
    send(1, &request("POST", body)).await
}
