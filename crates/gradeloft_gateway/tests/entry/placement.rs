//! Limits on where requests run: allowed regions, evacuated availability zones and cold replicas.

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{
    clock::Time,
    process::document::{RouteKind, Warmup},
};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;

use crate::support::{Harness, TestConfig, address, get, ok, replica_id, request, run, wait_until};

/// Returns the script of a replica that answers up to 100 requests on one connection.
fn ok_script(body: &str) -> Vec<Vec<Step>> {
    vec![(0..100).flat_map(|_| [Step::Read, ok(body)]).collect()]
}

fn restricted_to(kind: RouteKind, region: &'static str) -> TestConfig {
    TestConfig {
        allowed_region: Some(region),
        ..TestConfig::of(kind)
    }
}

#[rstest]
// The first replica is in the entry's own region, the second in another.
#[case("z", [4, 0])]
#[case("elsewhere", [0, 4])]
fn requests_run_only_in_their_allowed_region(
    #[case] region: &'static str,
    #[case] expected_counts: [usize; 2],
) {
    run(async move {
        let config = restricted_to(RouteKind::Idempotent, region);
        let harness = Harness::start(config, vec![ok_script("near"), ok_script("far")]).await;
        for _ in 0..4 {
            let response = harness.send(&request("POST", "form")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let counts = [0, 1].map(|it: usize| harness.replicas[it].requests().len());
        assert_eq!(counts, expected_counts);
    });
}

#[test]
fn a_failed_request_is_not_repeated_outside_its_allowed_region() {
    run(async {
        let fails = vec![vec![Step::Read, Step::Close]];
        let harness = Harness::start(
            restricted_to(RouteKind::Idempotent, "z"),
            vec![fails, ok_script("far")],
        )
        .await;
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert_eq!(harness.replicas[1].requests().len(), 0);
    });
}

#[test]
fn a_request_without_a_replica_in_its_allowed_region_is_refused_at_once() {
    run(async {
        let harness = Harness::start(
            restricted_to(RouteKind::Once, "south"),
            vec![ok_script("near"), ok_script("far")],
        )
        .await;
        let clock = Clock::start();
        let response = harness.send(&request("POST", "form")).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(clock.now() < Time::ZERO.after_ms(500));
        assert_eq!(harness.request_count(), 0);
    });
}

#[test]
fn lookups_of_a_restricted_host_list_entries_of_its_allowed_region_and_the_callers_region() {
    run(async {
        let harness = Harness::start(
            restricted_to(RouteKind::Once, "z"),
            vec![ok_script("near"), ok_script("far")],
        )
        .await;
        let _other = harness
            .add_entry_in_zone(2, "elsewhere", &harness.tables)
            .await;
        let lists_entries = |region: &'static str, host: &'static str| async move {
            let response = get(1, 8009, &format!("/where?{host},{region}")).await;
            [1, 2].map(|it| response.contains(&format!("{}:8005", address(it))))
        };
        wait_until(|| async { lists_entries("z", "another").await == [true, true] }).await;
        assert_eq!(lists_entries("z", "h").await, [true, false]);
        assert_eq!(lists_entries("elsewhere", "h").await, [true, true]);
    });
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_is_lifted() {
    run(async {
        let config = TestConfig::of(RouteKind::Idempotent);
        let harness = Harness::start(config, vec![ok_script("near"), ok_script("far")]).await;
        harness
            .tables
            .write(Table::Operator, "evacuate/z", Some("{}"));
        wait_until(|| async {
            harness
                .send(&request("POST", "form"))
                .await
                .ends_with("far")
        })
        .await;
        for _ in 0..4 {
            assert!(
                harness
                    .send(&request("POST", "form"))
                    .await
                    .ends_with("far")
            );
        }
        // Also applies to an entry that reads the table later and to a replica that is listed
        // later.
        let harness = harness.restart_entry().await;
        harness.list_all();
        wait_until(|| async {
            harness
                .get(8002, "/ready")
                .await
                .starts_with("HTTP/1.1 200")
        })
        .await;
        let requests_before = harness.replicas[0].requests().len();
        for _ in 0..4 {
            assert!(
                harness
                    .send(&request("POST", "form"))
                    .await
                    .ends_with("far")
            );
        }
        assert_eq!(harness.replicas[0].requests().len(), requests_before);
        harness.tables.write(Table::Operator, "evacuate/z", None);
        wait_until(|| async {
            harness
                .send(&request("POST", "form"))
                .await
                .ends_with("near")
        })
        .await;
    });
}

#[test]
fn requests_are_refused_when_all_zones_are_evacuated() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("near")]).await;
        harness
            .tables
            .write(Table::Operator, "evacuate/z", Some("{}"));
        wait_until(|| async {
            let response = harness.send(&request("POST", "form")).await;
            response.starts_with("HTTP/1.1 503 ")
        })
        .await;
    });
}

#[test]
fn a_cold_replica_gets_requests_only_up_to_its_rate_limit() {
    run(async {
        let warmup = Warmup {
            ms: 5_000,
            per_s: 10.0,
        };
        let config = TestConfig {
            warmup: Some(warmup),
            ..TestConfig::of(RouteKind::Idempotent)
        };
        let harness = Harness::start(config, vec![ok_script("near"), ok_script("far")]).await;
        harness.set_warmup_left(0, 60_000);
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("ready"));
        let entry = harness.entry.entry();
        let is_cold = || {
            let replicas = entry.replicas.borrow();
            let listed = replicas.key(&replica_id(0)).and_then(|it| replicas.get(it));
            listed.is_some_and(|it| it.throttle.cold(entry.node.clock.now()))
        };
        wait_until(|| async { is_cold() }).await;
        let requests_before = harness.replicas[0].requests().len();
        let clock = Clock::start();
        for _ in 0..60 {
            let response = harness.send(&request("POST", "form")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let cold_requests = harness.replicas[0].requests().len() - requests_before;
        let max_requests = 1.0 + clock.now().since(Time::ZERO).as_secs_f64() * warmup.per_s;
        assert!(
            cold_requests as f64 <= max_requests,
            "{cold_requests} of {max_requests}"
        );
        // Once warm, the replica gets all requests, because it is in the entry's zone.
        harness.set_warmup_left(0, 0);
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("ready"));
        wait_until(|| async {
            let mut all_near = true;
            for _ in 0..4 {
                all_near &= harness
                    .send(&request("POST", "form"))
                    .await
                    .ends_with("near");
            }
            all_near
        })
        .await;
    });
}
