//! Backpressure that replicas signal in their responses.

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::scripted::Step;

use crate::support::{Harness, TestConfig, address, get, request, response, run, send, wait_until};

/// Returns the script of a replica that names a limit in each response.
fn limited_script(per_s: &str) -> Vec<Vec<Step>> {
    let headers = format!("t-seal: s\r\nt-limit: {per_s}\r\n");
    let answer = || [Step::Read, response("200 OK", &headers, "limited")];
    vec![(0..100).flat_map(|_| answer()).collect()]
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
