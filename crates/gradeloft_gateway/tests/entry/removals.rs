//! Removals of replicas after an outage of the store, or after a cut of one entry's path to it.

use std::{
    net::Ipv4Addr,
    rc::{Rc, Weak},
    time::Duration,
};

use crate::support::{Harness, Machine, TestConfig, address, get, ok, run, wait_until};
use gradeloft_gateway::{
    entry::{Entry, Handle},
    node::{Election, tables::ReadState},
};
use gradeloft_policy::{
    clock::Time,
    process::{document::RouteKind, store_reads::RESTORED_MS},
};
use gradeloft_standin::{
    scripted::Step,
    tables::{StoreMode, Tables},
};
use gradeloft_wire::frame::{Table, VOUCHED_MS};

const TABLE: Table = Table::Replicas;
/// Time within which requests to a removed replica have to stop.
const DRAIN: Duration = Duration::from_secs(2);
/// Outage of the store in which records of live replicas lapse.
const OUTAGE: Duration = Duration::from_millis(2_400);

/// Assigns the reads of the tables, whatever the rank of the entry.
struct Assigned {
    entry: Weak<Entry>,
    reads: bool,
}

impl Election for Assigned {
    fn reads(&self, _table: Table) -> bool {
        self.reads
    }

    fn readers(&self, table: Table) -> Vec<Ipv4Addr> {
        self.entry.readers(table)
    }
}

fn assign(handle: &Handle, reads: bool) {
    let entry = Rc::downgrade(handle.entry());
    let assigned = Assigned { entry, reads };
    handle.entry().node.set_election(Rc::new(assigned));
}

fn scripts() -> Vec<Vec<Vec<Step>>> {
    let script = |body| vec![vec![Step::Read, ok(body)]];
    vec![script("a"), script("b")]
}

/// Starts an entry that reads the store, with two replicas.
async fn start_reader() -> Harness {
    let harness = Harness::start(TestConfig::of(RouteKind::Once), scripts()).await;
    assign(&harness.entry, true);
    harness
}

/// Adds an entry that gets the tables from peers.
async fn add_standby(harness: &Harness, octet: u8) -> Handle {
    let standby = harness.add_entry(octet, &harness.tables).await;
    wait_until(|| async { get(octet, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
    assign(&standby, false);
    // Ends the pending read.
    harness.list_all();
    wait_until(|| async { standby.entry().node.on_standby(TABLE) }).await;
    standby
}

fn replica_count(handle: &Handle) -> usize {
    handle.entry().replicas.borrow().len()
}

fn lacks(handle: &Handle, key: &str) -> bool {
    !handle.entry().node.has_key(TABLE, key)
}

async fn lose_store(handle: &Handle, tables: &Tables) {
    tables.mode.set(StoreMode::Refusing);
    tables.abort_reads();
    let node = &handle.entry().node;
    wait_until(|| async { node.read_state(TABLE) == ReadState::Interrupted }).await;
}

/// Guards against requests to a removed replica because a peer that was cut off from the store doubts
/// the removal.
#[test]
fn a_peer_that_was_cut_off_from_the_store_does_not_delay_a_removal() {
    run(async {
        let harness = start_reader().await;
        let standby = add_standby(&harness, 2).await;
        // The entry that is cut off has a path of its own to the same store.
        let path = Rc::new(Tables::default());
        for offset in 0..harness.tables.end(TABLE).offset {
            path.write(TABLE, &format!("i-{}", offset % 2), Some("ready"));
        }
        let cut_off = harness.add_entry(3, &path).await;
        assign(&cut_off, true);
        let end = harness.tables.end(TABLE);
        for it in [&harness.entry, &cut_off, &standby] {
            wait_until(|| async { it.entry().node.end(TABLE) == end }).await;
        }
        let reader = &harness.entry.entry().node;
        wait_until(|| async { reader.vouches(TABLE) }).await;
        lose_store(&cut_off, &path).await;
        path.mode.set(StoreMode::Healthy);
        // The peer that was cut off is the first to have the removal.
        path.write(TABLE, "i-0", None);
        wait_until(|| async { lacks(&standby, "i-0") }).await;
        harness.tables.write(TABLE, "i-0", None);
        let removed =
            tokio::time::timeout(DRAIN, wait_until(|| async { replica_count(&standby) == 1 }));
        assert!(removed.await.is_ok(), "the replica is still in use");
    });
}

/// Guards against the loss of live replicas whose records lapsed while the store was away.
#[test]
fn a_replica_whose_record_lapsed_in_an_outage_stays_in_use() {
    run(async {
        let harness = start_reader().await;
        let standby = add_standby(&harness, 2).await;
        let reader = &harness.entry.entry().node;
        wait_until(|| async { reader.vouches(TABLE) }).await;
        lose_store(&harness.entry, &harness.tables).await;
        harness.tables.write(TABLE, "i-0", None);
        harness.tables.mode.set(StoreMode::Healthy);
        let entries = [&harness.entry, &standby];
        wait_until(|| async { entries.iter().all(|it| lacks(it, "i-0")) }).await;
        assert_eq!(entries.map(replica_count), [2, 2]);
        harness.tables.write(TABLE, "i-0", Some("ready"));
        wait_until(|| async { !entries.iter().any(|it| lacks(it, "i-0")) }).await;
        assert_eq!(entries.map(replica_count), [2, 2]);
    });
}

/// Guards against the loss of live replicas through an entry that begins to read as the store
/// returns.
#[test]
fn a_reader_that_takes_over_in_an_outage_keeps_replicas_whose_records_lapsed() {
    run(async {
        let harness = start_reader().await;
        let standby = add_standby(&harness, 2).await;
        let node = &standby.entry().node;
        lose_store(&harness.entry, &harness.tables).await;
        let read_until = node.confirmed_until(TABLE).unwrap();
        wait_until(|| async { read_until.after(OUTAGE) <= node.clock.now() }).await;
        harness.tables.write(TABLE, "i-0", None);
        harness.tables.mode.set(StoreMode::Healthy);
        assign(&standby, true);
        wait_until(|| async { lacks(&standby, "i-0") }).await;
        assert_eq!(replica_count(&standby), 2);
    });
}

/// Guards against the loss of live replicas through an entry that was suspended while the store was
/// away, and so saw no read fail.
#[test]
fn a_reader_that_was_suspended_in_an_outage_keeps_replicas_whose_records_lapsed() {
    run(async {
        let machine = Machine::new();
        let harness = Harness::start_on(&machine, TestConfig::of(RouteKind::Once), scripts()).await;
        assign(&harness.entry, true);
        let node = &harness.entry.entry().node;
        wait_until(|| async { node.vouches(TABLE) }).await;
        machine.suspend_ms(OUTAGE.as_millis() as u64);
        harness.tables.write(TABLE, "i-0", None);
        wait_until(|| async { lacks(&harness.entry, "i-0") }).await;
        assert_eq!(replica_count(&harness.entry), 2);
    });
}

/// Guards against doubtful removals while entries restart in turn.
#[test]
fn a_reader_that_has_just_started_continues_the_reads_of_others() {
    run(async {
        let harness = start_reader().await;
        let first = &harness.entry.entry().node;
        wait_until(|| async { first.vouches(TABLE) }).await;
        let own_row = address(1).to_string();
        harness.tables.write(Table::Entries, &own_row, Some("z"));
        // A seed reads the table before it hears of others.
        let started = harness.add_entry_with_seed(2, 2, &harness.tables).await;
        let node = &started.entry().node;
        wait_until(|| async { node.vouches(TABLE) }).await;
        // Its own reads alone last too short a time.
        assert!(node.clock.now() < Time::ZERO.after_ms(VOUCHED_MS));
    });
}

/// Guards against replicas that stay in use for good after a doubtful removal.
#[test]
fn a_removal_that_no_peer_confirms_holds_after_the_doubt() {
    run(async {
        let harness = start_reader().await;
        lose_store(&harness.entry, &harness.tables).await;
        harness.tables.write(TABLE, "i-0", None);
        harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async { lacks(&harness.entry, "i-0") }).await;
        assert_eq!(replica_count(&harness.entry), 2);
        let doubt = Duration::from_millis(2 * RESTORED_MS);
        let removed = tokio::time::timeout(
            doubt,
            wait_until(|| async { replica_count(&harness.entry) == 1 }),
        );
        assert!(removed.await.is_ok());
    });
}
