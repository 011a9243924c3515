//! Replicas that restart under the same identifier, and records of unknown writers.

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;

use crate::support::{
    Harness, TestConfig, last_chunk, ok, replica_id, request, run, stream, wait_until,
};

#[test]
fn a_request_to_a_replica_that_restarts_is_retried_at_once() {
    run(async {
        let silent = vec![Step::Read, Step::WaitForDisconnect];
        let replica = vec![silent, vec![Step::Read, ok("receipt")]];
        let harness =
            Harness::start_unready(TestConfig::of(RouteKind::Idempotent), vec![replica]).await;
        harness.set_start_time(0, 1_000);
        harness.tables.write(Table::Operator, "config", Some("1"));
        harness.list_all();
        wait_until(|| async { harness.entry.entry().replicas.borrow().len() == 1 }).await;
        let request_text = request("GET", "");
        let mut response = Box::pin(harness.send(&request_text));
        let request_arrived = wait_until(|| async { harness.replicas[0].requests().len() == 1 });
        tokio::select! {
            early = &mut response => panic!("response before the restart: {early}"),
            () = request_arrived => {}
        }
        let clock = Clock::start();
        harness.set_start_time(0, 2_000);
        harness.list_all();
        let response = response.await;
        assert!(response.contains("receipt"), "{response}");
        // Before the timeout of a silent replica expires.
        assert!(clock.now() < Time::ZERO.after_ms(1_000));
    });
}

#[test]
fn a_stream_resumes_after_its_replica_restarts() {
    run(async {
        let silent = vec![
            Step::Read,
            stream("s1", "id: 1\n\n"),
            Step::WaitForDisconnect,
        ];
        let resumed = vec![Step::Read, stream("s2", "id: 2\n\n"), last_chunk()];
        let replica = vec![silent, resumed];
        let harness =
            Harness::start_unready(TestConfig::of(RouteKind::ResumableStream), vec![replica]).await;
        harness.set_start_time(0, 1_000);
        harness.tables.write(Table::Operator, "config", Some("1"));
        harness.list_all();
        wait_until(|| async { harness.entry.entry().replicas.borrow().len() == 1 }).await;
        let request_text = request("POST", "");
        let mut response = Box::pin(harness.send(&request_text));
        let request_arrived = wait_until(|| async { harness.replicas[0].requests().len() == 1 });
        tokio::select! {
            early = &mut response => panic!("ended before the restart: {early}"),
            () = request_arrived => {}
        }
        harness.set_start_time(0, 2_000);
        harness.list_all();
        let response = response.await;
        assert!(
            response.contains("id: 1") && response.contains("id: 2"),
            "{response}"
        );
    });
}

#[test]
fn a_record_of_an_unknown_writer_adds_no_replica_and_is_not_kept_in_memory() {
    run(async {
        let scripts = vec![vec![vec![Step::Read, ok("receipt")]; 2]];
        let harness = Harness::start(TestConfig::of(RouteKind::Once), scripts).await;
        let node = &harness.entry.entry().node;
        let oversized = "x".repeat(200_000);
        harness
            .tables
            .write(Table::Replicas, "somebody", Some(&oversized));
        harness
            .tables
            .write(Table::Entries, "no address", Some(&oversized));
        harness
            .tables
            .write(Table::Replicas, "somebody else", Some("[]"));
        harness.list_all();
        wait_until(|| async {
            node.metrics
                .text()
                .contains("unreadable_records_total{reason=\"entries\"} 1")
        })
        .await;
        wait_until(|| async {
            node.metrics
                .text()
                .contains("unreadable_records_total{reason=\"replicas\"} 2")
        })
        .await;
        let held = node.records(Table::Replicas);
        assert!(held.iter().all(|it| it.key == replica_id(0)), "{held:?}");
        assert!(
            node.records(Table::Entries)
                .iter()
                .all(|it| it.key != "no address")
        );
        let response = harness.send(&request("POST", "b")).await;
        assert!(response.contains("receipt"), "{response}");
    });
}

#[test]
fn a_replica_whose_record_is_overwritten_gets_no_requests() {
    run(async {
        let replica = || vec![vec![Step::Read, ok("receipt")]];
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![replica(), replica()]).await;
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 2 }).await;
        harness.make_unreadable(0);
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("what?"));
        wait_until(|| async { entry.replicas.borrow().len() == 1 }).await;
        let response = harness.send(&request("POST", "b")).await;
        assert!(response.contains("receipt"), "{response}");
        assert_eq!(harness.replicas[0].requests().len(), 0);
    });
}
