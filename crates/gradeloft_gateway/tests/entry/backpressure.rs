//! Backpressure that replicas signal in their responses.

use std::time::Duration;

use gradeloft_daemon::clock::Clock;
use gradeloft_gateway::entry::Handle;
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;

use crate::support::{
    Harness, TestConfig, address, get, last_chunk, ok, replica_id, request, response, run, send,
    wait_until,
};

/// Returns the script of a replica that names a limit in each response.
fn limited_script(per_s: &str) -> Vec<Vec<Step>> {
    let headers = format!("t-seal: s\r\nt-limit: {per_s}\r\n");
    let answer = || [Step::Read, response("200 OK", &headers, "limited")];
    vec![(0..100).flat_map(|_| answer()).collect()]
}

/// Returns the script of a replica without backpressure.
fn ok_script(body: &str) -> Vec<Vec<Step>> {
    vec![(0..100).flat_map(|_| [Step::Read, ok(body)]).collect()]
}

/// Waits until the entries 1 and 2 offer each other to callers.
async fn wait_until_introduced() {
    wait_until(|| async {
        let mut introduced = true;
        for octet in [1, 2] {
            let response = get(octet, 8009, "/where").await;
            introduced &= [1, 2]
                .iter()
                .all(|it| response.contains(&address(*it).to_string()));
        }
        introduced
    })
    .await;
}

#[test]
fn the_limit_of_a_replica_holds_for_all_entries_together() {
    run(async {
        const PER_S: f64 = 5.0;
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![limited_script("5.0")],
        )
        .await;
        let _other = harness.add_entry(2, &harness.tables).await;
        wait_until_introduced().await;
        for octet in [1, 2] {
            send(octet, &request("POST", "form")).await;
        }
        let requests_before = harness.request_count();
        let clock = Clock::start();
        for _ in 0..30 {
            for octet in [1, 2] {
                send(octet, &request("POST", "form")).await;
            }
        }
        let requests = harness.request_count() - requests_before;
        let elapsed_s = clock.now().seconds_since(Time::ZERO);
        // Each entry may send its first request at once.
        let max_requests = 2.0 + elapsed_s * PER_S;
        assert!(
            requests as f64 <= max_requests,
            "{requests} of {max_requests}"
        );
    });
}

/// Lists a start of the first replica, and waits until the entry knows of it.
async fn list_start(harness: &Harness, born: u64) {
    harness.set_start_time(0, born);
    harness.list_all();
    let replicas = || harness.entry.entry().replicas.borrow();
    let listed = || replicas().iter().find_map(|(_, it)| it.listing.born);
    wait_until(|| async { listed() == Some(born) }).await;
}

/// Returns the limit of the first replica as an entry knows it.
fn known_limit(entry: &Handle) -> Option<f64> {
    let replicas = entry.entry().replicas.borrow();
    let replica = replicas.get(replicas.key(&replica_id(0))?)?;
    replica.throttle.limit.value()
}

#[rstest]
#[case::same_region("z")]
#[case::other_region("far")]
fn entries_that_a_replica_has_not_told_learn_its_limit_from_others(#[case] zone: &'static str) {
    run(async move {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![limited_script("5.0")],
        )
        .await;
        let other = harness.add_entry_in_zone(2, zone, &harness.tables).await;
        wait_until_introduced().await;
        harness.send(&request("POST", "form")).await;
        wait_until(|| async { known_limit(&other) == Some(5.0) }).await;
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn an_entry_without_a_share_learns_that_a_limit_has_ended() {
    run(async {
        let limited = response("200 OK", "t-seal: s\r\nt-limit: 5\r\n", "limited");
        let mut script = vec![Step::Read, limited];
        script.extend((0..100).flat_map(|_| [Step::Read, ok("free")]));
        let harness =
            Harness::start(TestConfig::of(RouteKind::Idempotent), vec![vec![script]]).await;
        let other = harness.add_entry(2, &harness.tables).await;
        wait_until_introduced().await;
        harness.send(&request("POST", "form")).await;
        wait_until(|| async { known_limit(&other) == Some(5.0) }).await;
        // One of the two entries has the share of the only sender.
        wait_until(|| async {
            for octet in [1, 2] {
                send(octet, &request("POST", "form")).await;
            }
            known_limit(&harness.entry).is_none() && known_limit(&other).is_none()
        })
        .await;
    });
}

#[test]
fn a_restarted_replica_has_no_limit_of_its_previous_start() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![limited_script("0.5")],
        )
        .await;
        list_start(&harness, 1).await;
        harness.send(&request("POST", "form")).await;
        assert_eq!(known_limit(&harness.entry), Some(0.5));
        list_start(&harness, 2).await;
        wait_until(|| async { known_limit(&harness.entry).is_none() }).await;
    });
}

/// Returns the time after which a refused caller returns, in seconds.
fn retry_after_s(refusal: &str) -> f64 {
    let lines = refusal.lines();
    let value = lines
        .filter_map(|it| it.strip_prefix("Retry-After: "))
        .next();
    value.unwrap().parse().unwrap()
}

#[test]
fn a_caller_without_a_replica_that_accepts_its_request_learns_when_one_will() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![limited_script("0.8")],
        )
        .await;
        harness.send(&request("POST", "form")).await;
        let clock = Clock::start();
        let refusal = harness.send(&request("POST", "form")).await;
        assert!(clock.now() < Time::ZERO.after_ms(500));
        assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
        let retry_after_s = retry_after_s(&refusal);
        // The next request is accepted 1.25 s after the first one.
        assert!((0.75..=1.6).contains(&retry_after_s), "{retry_after_s}");
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn an_unreadable_limit_leaves_the_known_one_in_force() {
    run(async {
        let answers = ["0.5", "many"].map(|it| format!("t-seal: s\r\nt-limit: {it}\r\n"));
        let answer = |it: &String| [Step::Read, response("200 OK", it, "limited")];
        let script = answers.iter().flat_map(answer).collect();
        let config = TestConfig::of(RouteKind::Idempotent);
        let harness = Harness::start(config, vec![vec![script]]).await;
        wait_until(|| async {
            harness.send(&request("POST", "form")).await;
            harness.request_count() == 2
        })
        .await;
        assert_eq!(known_limit(&harness.entry), Some(0.5));
    });
}

/// Returns the script of a replica that says in each response that it is leaving.
fn leaving_script() -> Vec<Vec<Step>> {
    let headers = "t-seal: s\r\nt-leaving: 1\r\n";
    let answer = || [Step::Read, response("200 OK", headers, "leaving")];
    vec![(0..100).flat_map(|_| answer()).collect()]
}

#[test]
fn a_replica_that_says_it_leaves_gets_no_further_request_though_the_store_lists_it_as_ready() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![leaving_script(), ok_script("stays")],
        )
        .await;
        let first = harness.send(&request("POST", "form")).await;
        assert!(first.ends_with("leaving"), "{first}");
        // The store repeats that the replica is ready.
        harness.list_all();
        for _ in 0..6 {
            let response = harness.send(&request("POST", "form")).await;
            assert!(response.ends_with("stays"), "{response}");
        }
        assert_eq!(harness.replicas[0].requests().len(), 1);
    });
}

/// Returns whether an entry knows that the first replica leaves.
fn knows_leaving(entry: &Handle) -> bool {
    let replicas = entry.entry().replicas.borrow();
    let replica = replicas.key(&replica_id(0)).and_then(|it| replicas.get(it));
    replica.is_some_and(|it| it.throttle.leaving.value())
}

#[test]
fn an_entry_learns_from_others_that_a_replica_leaves() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![leaving_script(), ok_script("stays")],
        )
        .await;
        let other = harness.add_entry(2, &harness.tables).await;
        wait_until_introduced().await;
        harness.send(&request("POST", "form")).await;
        wait_until(|| async { knows_leaving(&other) }).await;
        let response = send(2, &request("POST", "form")).await;
        assert!(response.ends_with("stays"), "{response}");
        assert_eq!(harness.replicas[0].requests().len(), 1);
    });
}

#[test]
fn a_stream_of_a_replica_that_leaves_ends_whole() {
    run(async {
        let head = Step::Send(
            "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s\r\nt-leaving: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: \n\n\r\n"
                .to_owned(),
        );
        let event = Step::Send("e\r\nid: 2\ndata: \n\n\r\n".to_owned());
        let pause = Step::Wait(Duration::from_millis(300));
        let script = vec![Step::Read, head, pause, event, last_chunk()];
        let harness = Harness::start(
            TestConfig::of(RouteKind::ResumableStream),
            vec![vec![script], vec![vec![]]],
        )
        .await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.contains("id: 2"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn a_replica_that_left_is_used_again_after_a_restart() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![leaving_script()],
        )
        .await;
        list_start(&harness, 1).await;
        harness.send(&request("POST", "form")).await;
        assert!(knows_leaving(&harness.entry));
        list_start(&harness, 2).await;
        assert!(!knows_leaving(&harness.entry));
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.ends_with("leaving"), "{response}");
    });
}

/// Returns the script of a replica that refuses each request and asks for a pause.
fn resting_script(retry_after: &str) -> Vec<Vec<Step>> {
    let headers = format!("t-not-run: 1\r\nRetry-After: {retry_after}\r\n");
    let refusal = || [Step::Read, response("503 Busy", &headers, "full")];
    vec![(0..100).flat_map(|_| refusal()).collect()]
}

#[test]
fn a_replica_that_asks_for_a_pause_gets_no_request_before_its_end() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![resting_script("60"), ok_script("free")],
        )
        .await;
        for _ in 0..6 {
            let response = harness.send(&request("POST", "form")).await;
            assert!(response.ends_with("free"), "{response}");
        }
        assert_eq!(harness.replicas[0].requests().len(), 1);
    });
}

/// Returns whether the pause that the first replica asked for is over.
fn pause_is_over(entry: &Handle) -> bool {
    let replicas = entry.entry().replicas.borrow();
    let replica = replicas.key(&replica_id(0)).and_then(|it| replicas.get(it));
    let now = entry.entry().node.clock.now();
    replica.is_some_and(|it| it.throttle.rest.ends(now).is_none())
}

#[test]
fn after_a_pause_one_request_goes_first() {
    run(async {
        let refusal = response("503 Busy", "t-not-run: 1\r\nRetry-After: 0.2\r\n", "full");
        let script = vec![Step::Read, refusal, Step::Read, Step::WaitForDisconnect];
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![vec![script], ok_script("free")],
        )
        .await;
        harness.send(&request("POST", "form")).await;
        wait_until(|| async { pause_is_over(&harness.entry) }).await;
        let probe = actix_rt::spawn(async { send(1, &request("POST", "form")).await });
        wait_until(|| async { harness.replicas[0].requests().len() == 2 }).await;
        for _ in 0..4 {
            let response = harness.send(&request("POST", "form")).await;
            assert!(response.ends_with("free"), "{response}");
        }
        assert_eq!(harness.replicas[0].requests().len(), 2);
        probe.abort();
    });
}

#[test]
fn a_pause_concerns_only_the_entry_that_was_refused() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![resting_script("60"), ok_script("free")],
        )
        .await;
        let _other = harness.add_entry(2, &harness.tables).await;
        wait_until_introduced().await;
        harness.send(&request("POST", "form")).await;
        harness.send(&request("POST", "form")).await;
        assert_eq!(harness.replicas[0].requests().len(), 1);
        send(2, &request("POST", "form")).await;
        assert_eq!(harness.replicas[0].requests().len(), 2);
    });
}

#[test]
fn while_all_replicas_rest_callers_are_refused_at_once_until_the_first_pause_ends() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![resting_script("1.2"), resting_script("60")],
        )
        .await;
        harness.send(&request("POST", "form")).await;
        assert_eq!(harness.request_count(), 2);
        let clock = Clock::start();
        let refusal = harness.send(&request("POST", "form")).await;
        assert!(clock.now() < Time::ZERO.after_ms(500));
        assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
        let retry_after_s = retry_after_s(&refusal);
        assert!((0.7..=1.5).contains(&retry_after_s), "{retry_after_s}");
        assert_eq!(harness.request_count(), 2);
    });
}

#[test]
fn the_exit_of_a_replica_that_said_it_leaves_is_not_blamed_on_its_requests() {
    run(async {
        let begun = Step::Send(
            "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s\r\nt-leaving: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
        );
        let script = vec![Step::Read, begun, Step::Close];
        let config = TestConfig::of(RouteKind::Stream);
        let harness = Harness::start(config, vec![vec![script]]).await;
        harness.send(&request("POST", "form")).await;
        let entry = harness.entry.entry();
        harness.tables.write(Table::Replicas, &replica_id(0), None);
        wait_until(|| async { entry.replicas.borrow().is_empty() && entry.unsettled() == 0 }).await;
        assert_eq!(entry.suspects(), []);
    });
}

#[test]
fn an_entry_that_starts_learns_of_backpressure_from_others() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Idempotent),
            vec![leaving_script(), ok_script("stays")],
        )
        .await;
        harness.send(&request("POST", "form")).await;
        let other = harness.add_entry(2, &harness.tables).await;
        wait_until(|| async { knows_leaving(&other) }).await;
    });
}
