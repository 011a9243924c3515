//! Outages of the store or of a peer, and weights versions that become mandatory during a request.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::support::{Harness, TestConfig, address, get, ok, request, run, wait_until};
use gradeloft_gateway::{node::Node, settings::Settings};
use gradeloft_policy::process::{document::RouteKind, mirror::Record};
use gradeloft_standin::{
    scripted::Step,
    tables::{StoreMode, Tables},
};
use gradeloft_wire::{datagram::StoreAccess, frame::Table};
use tokio::net::TcpListener;

fn ok_script(body: &str) -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok(body)]]
}

#[test]
fn an_entry_without_the_store_applies_a_removal_from_a_stable_peer_at_once() {
    run(async {
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![ok_script("a"), ok_script("b")],
        )
        .await;
        let refusing = Rc::new(Tables::default());
        refusing.mode.set(StoreMode::Refusing);
        let second = harness.add_entry(2, &refusing).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        // The peer counts as stable once it has read the table for long.
        let peer = &harness.entry.entry().node;
        wait_until(|| async { peer.vouches(Table::Replicas) }).await;
        harness.tables.write(Table::Replicas, "i-0", None);
        let entry = second.entry();
        let removal_received = || {
            let records = entry.node.records(Table::Replicas);
            records.iter().all(|it| it.key != "i-0")
        };
        wait_until(|| async { removal_received() }).await;
        // At once, without the delay that applies to doubtful removals.
        assert_eq!(entry.replicas.borrow().len(), 1);
    });
}

#[test]
fn a_connection_on_which_a_peer_did_not_respond_is_not_reused() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let silent = TcpListener::bind((address(9), 7700)).await.unwrap();
        let connections = Rc::new(Cell::new(0));
        let counted = Rc::clone(&connections);
        actix_rt::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = silent.accept().await {
                open.push(stream);
                counted.set(open.len());
            }
        });
        let node = &harness.entry.entry().node;
        for attempt in 1..=2 {
            assert!(!node.fetch_records(address(9), Table::Replicas).await);
            assert_eq!(connections.get(), attempt);
        }
    });
}

#[test]
fn a_second_attempt_requires_the_version_that_became_mandatory_during_the_first() {
    run(async {
        let silent = vec![vec![Step::Read, Step::WaitForDisconnect]];
        let scripts = vec![silent, ok_script("from weights that are too old")];
        let harness = Harness::start_unready(TestConfig::of(RouteKind::Idempotent), scripts).await;
        (0..2).for_each(|it| harness.set_weights_version(it, 1));
        harness.tables.write(Table::Operator, "config", Some("1"));
        harness.list_all();
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 2 }).await;
        wait_until(|| async { entry.config_version() == 1 }).await;
        let previous = entry.node.settings();
        *entry.node.settings.borrow_mut() = Rc::new(Settings {
            version_ms: 200,
            ..(*previous).clone()
        });
        let request_text = request("GET", "");
        let exchange = harness.send(&request_text);
        let publish_version = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            harness
                .tables
                .write(Table::Operator, "weights/m", Some("2"));
            wait_until(|| async { entry.oldest_versions("s").allowed == Some(2) }).await;
            assert_eq!(
                harness.request_count(),
                1,
                "the first attempt is still in flight"
            );
        };
        let (response, ()) = tokio::join!(exchange, publish_version);
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert_eq!(harness.request_count(), 1);
    });
}

#[test]
fn a_table_compacted_during_an_outage_is_read_completely_afterwards() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let entry = harness.entry.entry();
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        wait_until(|| async { entry.node.access() == StoreAccess::Unserved }).await;
        harness.tables.write(Table::Operator, "config", Some("7"));
        harness.tables.write(Table::Operator, "config", Some("8"));
        harness.tables.compact(Table::Operator);
        harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async { entry.config_version() == 8 }).await;
    });
}

/// Guards against responses by a configuration that was replaced five seconds before. All entries
/// that read the operator's table wait in a long poll from the same offset; their connections go
/// silent without a reset, while new connections work; then a configuration is confirmed. Cause: a
/// poll lasts four seconds, and on a silent connection it looks like a poll without news until it
/// is overdue. Evidence: when all connections went silent right before a change, all entries
/// applied it together, 1.5 to 2.3 s late, although the store worked; usually that takes 0.05 s.
#[test]
fn a_configuration_applies_within_two_seconds_although_pending_polls_are_silent() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let entry = harness.entry.entry();
        let wait_for_reader =
            async || wait_until(|| async { harness.tables.readers(Table::Operator) == 1 }).await;
        wait_for_reader().await;
        harness.tables.write(Table::Operator, "config", Some("2"));
        wait_until(|| async { entry.config_version() == 2 }).await;
        wait_for_reader().await;
        harness.tables.stall_reads();
        harness.tables.write(Table::Operator, "config", Some("3"));
        let applied = tokio::time::timeout(
            Duration::from_secs(2),
            wait_until(|| async { entry.config_version() == 3 }),
        );
        let applied = applied.await;
        assert!(applied.is_ok(), "still version {}", entry.config_version());
    });
}

#[test]
fn a_copy_is_confirmed_up_to_the_last_read_before_an_outage() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let node = &harness.entry.entry().node;
        let table = Table::Operator;
        wait_until(|| async { node.confirmed_until(table).is_some() }).await;
        assert!(!node.after_interruption(table));
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        wait_until(|| async { node.access() == StoreAccess::Unserved }).await;
        let confirmed_before = node.confirmed_until(table);
        let outage_start = node.clock.now();
        harness.tables.write(table, "config", Some("7"));
        assert!(confirmed_before < Some(outage_start));
        harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async {
            node.end(table).offset == 2 && confirmed_before < node.confirmed_until(table)
        })
        .await;
        assert!(node.after_interruption(table));
        assert!(Some(outage_start) < node.confirmed_until(table));
    });
}

#[test]
fn a_request_queued_at_a_replica_whose_weights_expire_is_withdrawn_and_retried() {
    run(async {
        let silent = vec![vec![Step::Read, Step::WaitForDisconnect]];
        let scripts = vec![silent, ok_script("from new weights")];
        let harness = Harness::start_unready(TestConfig::of(RouteKind::Idempotent), scripts).await;
        harness.set_weights_version(0, 1);
        harness.set_weights_version(1, 2);
        harness.tables.write(Table::Operator, "config", Some("1"));
        harness.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 1 && entry.config_version() == 1 })
            .await;
        let previous = entry.node.settings();
        *entry.node.settings.borrow_mut() = Rc::new(Settings {
            version_ms: 1_000,
            ..(*previous).clone()
        });
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        let old = entry.replicas.borrow().iter().next().unwrap().0;
        wait_until(|| async { entry.start_deadline("s", old).is_some() }).await;
        let request_text = request("GET", "");
        let exchange = harness.send(&request_text);
        let list_new_replica = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            harness.tables.write(Table::Replicas, "i-1", Some("ready"));
        };
        let (response, ()) = tokio::join!(exchange, list_new_replica);
        assert!(response.ends_with("from new weights"), "{response}");
        let metrics = entry.node.metrics.text();
        assert!(
            metrics.contains(r#"reason="outdated"} 1"#),
            "expected a withdrawn attempt, not a failed one: {metrics}"
        );
    });
}

/// Returns the record of the weights version in the node's copy.
fn weights_record(node: &Node) -> Option<Record> {
    let records = node.records(Table::Operator);
    records.into_iter().find(|it| it.key == "weights/m")
}

/// Guards against requests that start on older weights more than eight seconds after a newer
/// version was confirmed. An entry's reads of the store fail; a version is published; the store
/// recovers and the entry reads it. Cause: the version's age counted from that read, as if the
/// record had just been written. Evidence: the age counted from after the outage, although the
/// entry's copy was last confirmed before it.
#[test]
fn a_version_read_after_an_outage_ages_from_before_the_outage() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let node = &harness.entry.entry().node;
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        wait_until(|| async { node.access() == StoreAccess::Unserved }).await;
        let outage_start = node.clock.now();
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async { weights_record(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &weights_record(node).unwrap());
        assert!(
            written <= outage_start,
            "age counts from {written:?}, but the copy was confirmed before {outage_start:?}"
        );
    });
}

/// Like the test above, one hop further: the entry that read the version late forwards it, and the
/// receiver must not grant older weights their full time again. Cause: records between peers
/// carried no age.
#[test]
fn a_version_forwarded_by_a_peer_that_read_it_late_keeps_its_age() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let refusing = Rc::new(Tables::default());
        refusing.mode.set(StoreMode::Refusing);
        let second = harness.add_entry(2, &refusing).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        let node = &second.entry().node;
        let first = &harness.entry.entry().node;
        harness.tables.mode.set(StoreMode::Refusing);
        harness.tables.abort_reads();
        wait_until(|| async { first.access() == StoreAccess::Unserved }).await;
        let outage_start = node.clock.now();
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async { weights_record(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &weights_record(node).unwrap());
        assert!(
            written <= outage_start,
            "age counts from {written:?}, but the peer's copy was confirmed before {outage_start:?}"
        );
    });
}

#[test]
fn a_version_received_during_a_process_pause_ages_from_before_the_pause() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        let node = &harness.entry.entry().node;
        harness.tables.write(Table::Operator, "config", Some("2"));
        wait_until(|| async { node.end(Table::Operator).offset == 2 }).await;
        // The next poll is pending at the store.
        let calls = harness.tables.calls.get();
        wait_until(|| async { calls < harness.tables.calls.get() }).await;
        let pause_start = node.clock.now();
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        // Blocks the whole process, including the poll that returns the version.
        std::thread::sleep(Duration::from_millis(1_500));
        wait_until(|| async { weights_record(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &weights_record(node).unwrap());
        assert!(
            written <= pause_start,
            "age counts from {written:?}, but the pause started at {pause_start:?}"
        );
    });
}

/// Guards against a new entry that sends requests to replicas with weights that were replaced long
/// before. The entry read the configuration and a later version record in one response, and the
/// version, which may have been mandatory before the process started, counted as just published
/// with its full grace. With the configuration written after the version, it counted as mandatory.
#[test]
fn a_version_published_before_the_start_is_mandatory() {
    run(async {
        let harness = Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("a")]).await;
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        // The first entry has both records.
        let first = harness.entry.entry();
        wait_until(|| async { first.node.end(Table::Operator).offset == 2 }).await;
        let later = harness.add_entry(2, &harness.tables).await;
        let entry = later.entry();
        wait_until(|| async { entry.config_version() == 1 }).await;
        let has_preferred = || entry.oldest_versions("s").preferred.is_some();
        let allowed = || entry.oldest_versions("s").allowed;
        wait_until(|| async { has_preferred() || allowed().is_some() }).await;
        assert_eq!(allowed(), Some(2));
    });
}
