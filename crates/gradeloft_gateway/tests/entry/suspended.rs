//! Entries on machines that are suspended: their timers stop, while time advances for everyone
//! else.

use gradeloft_gateway::entry::Entry;
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::{scripted::Step, tables::StoreMode};
use gradeloft_wire::frame::Table;

use crate::support::{Harness, Machine, TestConfig, get, ok, request, run, wait_until};

/// Waits until an entry reports that it is ready.
async fn wait_until_ready(octet: u8) {
    wait_until(|| async { get(octet, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

#[test]
fn a_request_that_expires_during_suspension_gets_its_final_response_after_resume() {
    run(async {
        let machine = Machine::new();
        let silent = vec![vec![Step::Read, Step::WaitForDisconnect]];
        let config = TestConfig::of(RouteKind::Once);
        let harness = Harness::start_on(&machine, config, vec![silent]).await;
        let request_text = request("POST", "b");
        let mut response = Box::pin(harness.send(&request_text));
        let request_arrived = wait_until(|| async { harness.request_count() == 1 });
        tokio::select! {
            early = &mut response => panic!("response before the suspension: {early}"),
            () = request_arrived => {}
        }
        let started_ms = machine.elapsed_ms();
        // The request's deadline is 6 s.
        machine.suspend_ms(6_500);
        let response = response.await;
        assert_eq!(status(&response), "504", "{response}");
        // The timers alone would expire only after 6 s.
        assert!(machine.elapsed_ms() < started_ms + 3_000);
    });
}

#[test]
fn weights_that_become_mandatory_during_suspension_are_required_after_resume() {
    run(async {
        let machine = Machine::new();
        let replica = || vec![vec![Step::Read, ok("receipt")]; 4];
        let harness = Harness::start_unready_on(
            &machine,
            TestConfig::of(RouteKind::Once),
            vec![replica(), replica()],
        );
        let harness = harness.await;
        harness.set_weights_version(0, 1);
        harness.set_weights_version(1, 2);
        harness.tables.write(Table::Operator, "config", Some("1"));
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("1"));
        harness.list_all();
        wait_until_ready(1).await;
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 2 }).await;
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        wait_until(|| async { has_second_version(entry) }).await;
        let first = harness.send(&request("POST", "a")).await;
        assert_eq!(status(&first), "200", "{first}");
        assert_eq!(
            harness.replicas[0].requests().len(),
            1,
            "expected the replica in the entry's zone, with older weights"
        );
        machine.suspend_ms(8_000);
        wait_until_ready(1).await;
        let second = harness.send(&request("POST", "b")).await;
        assert_eq!(status(&second), "200", "{second}");
        assert_eq!(harness.replicas[0].requests().len(), 1);
        assert_eq!(harness.replicas[1].requests().len(), 1);
    });
}

/// Whether the entry's copy has the second version.
fn has_second_version(entry: &Entry) -> bool {
    let records = entry.node.records(Table::Operator);
    records.iter().any(|it| it.value.as_deref() == Some(b"2"))
}

#[test]
fn a_resumed_entry_refuses_requests_until_it_has_heard_from_its_peers() {
    run(async {
        let machine = Machine::new();
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let harness =
            Harness::start_on(&machine, TestConfig::of(RouteKind::Once), vec![replica]).await;
        let _other = harness.add_entry(2, &harness.tables).await;
        wait_until_ready(2).await;
        machine.suspend_ms(5_000);
        // Keys and routes may have changed during the suspension, and no peer has been heard since.
        let early = harness.send(&request("POST", "b")).await;
        assert!(
            early.starts_with("HTTP/1.1 503") && early.contains("behind"),
            "{early}"
        );
        assert_eq!(harness.request_count(), 0);
        wait_until_ready(1).await;
        let response = harness.send(&request("POST", "b")).await;
        assert_eq!(status(&response), "200", "{response}");
    });
}

#[test]
fn a_resumed_entry_without_peers_or_store_serves_from_its_copy() {
    run(async {
        let machine = Machine::new();
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let harness =
            Harness::start_on(&machine, TestConfig::of(RouteKind::Once), vec![replica]).await;
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        machine.suspend_ms(5_000);
        wait_until_ready(1).await;
        let response = harness.send(&request("POST", "b")).await;
        assert_eq!(status(&response), "200", "{response}");
    });
}

/// Guards against refusing callers whom no other entry can serve.
#[test]
fn an_entry_that_never_had_peers_serves_right_after_a_stall() {
    run(async {
        let machine = Machine::new();
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let harness =
            Harness::start_on(&machine, TestConfig::of(RouteKind::Once), vec![replica]).await;
        machine.suspend_ms(1_500);
        let response = harness.send(&request("POST", "b")).await;
        assert_eq!(status(&response), "200", "{response}");
    });
}
