//! Restores of the store from a backup that is a few seconds old: the records written since are lost,
//! and their offsets are assigned again.

use crate::support::{Harness, TestConfig, address, get, ok, replica_id, run, wait_until};
use gradeloft_gateway::{
    entry::Entry,
    traffic::{Purpose, Reach},
};
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::{scripted::Step, tables::StoreMode};
use gradeloft_wire::{
    datagram::{Loads, Presence, Sender, StoreAccess},
    frame::Table,
};

/// Starts an entry with two replicas.
async fn start() -> Harness {
    let script = |body| vec![vec![Step::Read, ok(body)]];
    Harness::start(
        TestConfig::of(RouteKind::Once),
        vec![script("a"), script("b")],
    )
    .await
}

/// Makes the store unavailable for a moment, after which it continues from its last backup.
async fn restore_backup(harness: &Harness) {
    let node = &harness.entry.entry().node;
    harness.tables.mode.set(StoreMode::Refusing);
    harness.tables.abort_reads();
    wait_until(|| async { node.access() == StoreAccess::Unserved }).await;
    harness.tables.restore_backup();
    harness.tables.mode.set(StoreMode::Healthy);
}

/// Writes a configuration, and waits until it is in force.
async fn configure(harness: &Harness, version: u64) {
    let value = version.to_string();
    harness
        .tables
        .write(Table::Operator, "config", Some(&value));
    wait_until(|| async { harness.entry.entry().config_version() == version }).await;
}

/// Restores the store, which loses configurations 2 and 3, and waits until the entry has read it.
async fn lose_configurations(harness: &Harness) {
    harness.tables.back_up();
    configure(harness, 2).await;
    configure(harness, 3).await;
    restore_backup(harness).await;
    let node = &harness.entry.entry().node;
    wait_until(|| async { node.era(Table::Operator) == 1 }).await;
}

#[test]
fn a_configuration_is_applied_at_an_offset_that_was_assigned_before_a_restore() {
    run(async {
        let harness = start().await;
        harness.tables.back_up();
        configure(&harness, 2).await;
        configure(&harness, 3).await;
        restore_backup(&harness).await;
        configure(&harness, 4).await;
    });
}

#[test]
fn a_replica_that_leaves_after_a_restore_gets_no_more_requests() {
    run(async {
        let harness = start().await;
        let entry = harness.entry.entry();
        harness.tables.back_up();
        let end = entry.node.end(Table::Replicas).offset;
        for state in ["ready again", "ready once more"] {
            harness
                .tables
                .write(Table::Replicas, &replica_id(1), Some(state));
        }
        wait_until(|| async { entry.node.end(Table::Replicas).offset == end + 2 }).await;
        restore_backup(&harness).await;
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("draining"));
        let is_draining = || {
            let replicas = entry.replicas.borrow();
            replicas.state(&replica_id(0)).is_some_and(|it| it.0)
        };
        wait_until(|| async { is_draining() }).await;
    });
}

/// The record is written at an offset that was assigned to an older record before the restore.
#[test]
fn a_version_named_after_a_restore_is_not_as_old_as_a_lost_record() {
    run(async {
        let harness = start().await;
        let node = &harness.entry.entry().node;
        harness.tables.back_up();
        configure(&harness, 2).await;
        configure(&harness, 3).await;
        let confirmed = node.confirmed_until(Table::Operator);
        wait_until(|| async { confirmed < node.confirmed_until(Table::Operator) }).await;
        let confirmed = node.confirmed_until(Table::Operator).unwrap();
        restore_backup(&harness).await;
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        // Extends the table beyond its end before the restore.
        for version in ["4", "5"] {
            harness
                .tables
                .write(Table::Operator, "config", Some(version));
        }
        let named = || {
            let records = node.records(Table::Operator);
            records.into_iter().find(|it| it.key == "weights/m")
        };
        wait_until(|| async { named().is_some() }).await;
        let written = node.written_at(Table::Operator, &named().unwrap());
        assert!(
            confirmed <= written,
            "written at {written:?}, but the table had no such record at {confirmed:?}"
        );
    });
}

#[test]
fn a_leave_that_a_restore_lost_holds() {
    run(async {
        let harness = start().await;
        let entry = harness.entry.entry();
        harness.tables.back_up();
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("draining"));
        let leaves = |entry: &Entry| {
            let replicas = entry.replicas.borrow();
            replicas.state(&replica_id(0)).is_some_and(|it| it.0)
        };
        wait_until(|| async { leaves(entry) }).await;
        restore_backup(&harness).await;
        wait_until(|| async { entry.node.era(Table::Replicas) == 1 }).await;
        assert!(leaves(entry));
        let later = harness.add_entry(2, &harness.tables).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        wait_until(|| async { leaves(later.entry()) }).await;
        // The replica writes its records again, in another order.
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("ready again"));
        let end = harness.tables.end(Table::Replicas);
        for entry in [entry, later.entry()] {
            wait_until(|| async { entry.node.end(Table::Replicas) == end }).await;
            assert!(leaves(entry));
        }
    });
}

/// The restored store has the leave, and the replica writes its earlier record again.
#[test]
fn a_leave_holds_for_an_entry_that_read_it_from_the_restored_store() {
    run(async {
        let harness = start().await;
        let entry = harness.entry.entry();
        let leaves = |entry: &Entry| {
            let replicas = entry.replicas.borrow();
            replicas.state(&replica_id(0)).is_some_and(|it| it.0)
        };
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("draining"));
        wait_until(|| async { leaves(entry) }).await;
        harness.tables.back_up();
        restore_backup(&harness).await;
        wait_until(|| async { entry.node.era(Table::Replicas) == 1 }).await;
        let later = harness.add_entry(2, &harness.tables).await;
        wait_until(|| async { leaves(later.entry()) }).await;
        harness
            .tables
            .write(Table::Replicas, &replica_id(0), Some("ready again"));
        let end = harness.tables.end(Table::Replicas);
        for entry in [entry, later.entry()] {
            wait_until(|| async { entry.node.end(Table::Replicas) == end }).await;
            assert!(leaves(entry));
        }
    });
}

#[test]
fn an_entry_that_starts_after_a_restore_gets_the_lost_configuration_from_its_peers() {
    run(async {
        let harness = start().await;
        lose_configurations(&harness).await;
        assert_eq!(harness.entry.entry().config_version(), 3);
        let later = harness.add_entry(2, &harness.tables).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        assert_eq!(later.entry().config_version(), 3);
    });
}

/// The entry can reach no peer at first. It leaves callers to other entries for a moment.
#[test]
fn an_entry_that_read_the_restored_store_gets_the_lost_configuration_from_later_peers() {
    run(async {
        let harness = start().await;
        lose_configurations(&harness).await;
        let alone = harness.add_entry_with_seed(2, 99, &harness.tables).await;
        let entry = alone.entry();
        wait_until(|| async { entry.config_version() == 1 }).await;
        wait_until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        assert!(Time::ZERO.after_ms(1_000) <= entry.node.clock.now());
        entry.node.send_state(
            Purpose::Members,
            Reach::Near,
            introduction(),
            [address(1)].into_iter(),
        );
        wait_until(|| async { entry.config_version() == 3 }).await;
    });
}

/// Returns a message by which another entry learns of its sender.
fn introduction() -> Sender {
    Sender::Entry {
        presence: Presence::Ready,
        store: StoreAccess::Served,
        wants_state: true,
        loads: Loads::default(),
        entries: Vec::new(),
        switched: Vec::new(),
    }
}

#[test]
fn a_replica_that_a_restored_store_lacks_is_used_until_it_would_be_back() {
    run(async {
        let harness = start().await;
        let entry = harness.entry.entry();
        harness.tables.write(Table::Replicas, &replica_id(1), None);
        wait_until(|| async { entry.replicas.borrow().len() == 1 }).await;
        harness.tables.back_up();
        harness
            .tables
            .write(Table::Replicas, &replica_id(1), Some("ready"));
        wait_until(|| async { entry.replicas.borrow().len() == 2 }).await;
        restore_backup(&harness).await;
        wait_until(|| async { entry.node.era(Table::Replicas) == 1 }).await;
        assert_eq!(entry.replicas.borrow().len(), 2);
        wait_until(|| async { entry.replicas.borrow().len() == 1 }).await;
    });
}

#[test]
fn the_rows_of_entries_that_a_restore_lost_are_written_again() {
    run(async {
        let harness = start().await;
        harness.tables.back_up();
        let _second = harness.add_entry(2, &harness.tables).await;
        let has_row = |octet| {
            let keys = harness.tables.keys(Table::Entries);
            keys.contains(&address(octet).to_string())
        };
        wait_until(|| async { has_row(1) && has_row(2) }).await;
        restore_backup(&harness).await;
        assert!(!has_row(2));
        wait_until(|| async { has_row(1) && has_row(2) }).await;
    });
}
