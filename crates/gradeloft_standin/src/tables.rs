//! A fake of the platform's tables.

use std::{cell::Cell, cell::RefCell, collections::HashMap, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use gradeloft_platform::{
    CallFuture, Fault,
    fleet::{Put, READ_GRACE, Store, TableRead},
};
use gradeloft_policy::process::mirror::{Record, Update};
use gradeloft_wire::frame::Table;
use tokio::{sync::Notify, time::timeout};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// It answers nothing.
    Silent,
    /// It refuses every call.
    Refusing,
    /// It serves.
    #[default]
    Healthy,
}

/// Tables, with knobs.
#[derive(Default)]
pub struct Tables {
    records: RefCell<HashMap<Table, Vec<Record>>>,
    /// Records before these offsets were dropped.
    dropped: RefCell<HashMap<Table, u64>>,
    /// What it does with calls.
    pub mode: Cell<StoreMode>,
    /// Calls so far.
    pub calls: Cell<u64>,
    /// Of these, writes.
    pub writes: Cell<u64>,
    changed: Notify,
    aborted: Notify,
    stalled: Notify,
    pending_reads: RefCell<HashMap<Table, usize>>,
    snapshot_reads: RefCell<HashMap<Table, usize>>,
}

/// A read that waits for records.
struct PendingRead<'a> {
    tables: &'a Tables,
    table: Table,
}

impl<'a> PendingRead<'a> {
    fn begin(tables: &'a Tables, table: Table) -> PendingRead<'a> {
        *tables.pending_reads.borrow_mut().entry(table).or_default() += 1;
        PendingRead { tables, table }
    }
}

impl Drop for PendingRead<'_> {
    fn drop(&mut self) {
        let mut waiting = self.tables.pending_reads.borrow_mut();
        waiting.entry(self.table).and_modify(|it| *it -= 1);
    }
}

impl Tables {
    /// Breaks off the reads that wait now.
    pub fn abort_reads(&self) {
        self.aborted.notify_waiters();
    }

    /// Makes the connections silent on which reads wait now: no answer comes on them any more, while new
    /// calls are served.
    pub fn stall_reads(&self) {
        self.stalled.notify_waiters();
    }

    /// Reads of a table that wait now.
    pub fn pending_reads(&self, table: Table) -> usize {
        self.pending_reads
            .borrow()
            .get(&table)
            .copied()
            .unwrap_or(0)
    }

    /// Whole reads of a table so far.
    pub fn snapshot_reads(&self, table: Table) -> usize {
        self.snapshot_reads
            .borrow()
            .get(&table)
            .copied()
            .unwrap_or(0)
    }

    /// Adds a record.
    pub fn write(&self, table: Table, key: &str, value: Option<&str>) {
        self.add(table, key, value.map(|it| Bytes::from(it.to_owned())));
    }

    fn add(&self, table: Table, key: &str, value: Option<Bytes>) {
        let mut tables = self.records.borrow_mut();
        let records = tables.entry(table).or_default();
        records.push(Record {
            key: key.to_owned(),
            value,
            offset: records.len() as u64,
        });
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Keys of a table that are not deleted.
    pub fn keys(&self, table: Table) -> Vec<String> {
        let mut newest = HashMap::new();
        for record in self.since(table, 0) {
            newest.insert(record.key, record.value.is_some());
        }
        newest.retain(|_, there| *there);
        newest.into_keys().collect()
    }

    /// Drops the history of a table; the newest record of each key stays.
    pub fn compact(&self, table: Table) {
        let end = self.records.borrow().get(&table).map_or(0, Vec::len);
        self.dropped.borrow_mut().insert(table, end as u64);
    }

    async fn called(&self) -> Result<(), Fault> {
        self.calls.set(self.calls.get() + 1);
        match self.mode.get() {
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Refusing => Err(Fault::Refused("out of order".to_owned())),
            StoreMode::Healthy => Ok(()),
        }
    }

    fn since(&self, table: Table, from: u64) -> Vec<Record> {
        let tables = self.records.borrow();
        let records = tables.get(&table).map_or(&[][..], Vec::as_slice);
        records.iter().skip(from as usize).cloned().collect()
    }
}

impl Store for Tables {
    fn follow(&self, table: Table, from: u64, wait_ms: u64) -> CallFuture<'_, TableRead> {
        async move {
            self.called().await?;
            if from < self.dropped.borrow().get(&table).copied().unwrap_or(0) {
                return Ok(TableRead::Truncated);
            }
            let wait = Duration::from_millis(wait_ms);
            let overdue = tokio::time::sleep(wait + READ_GRACE);
            let waiting = PendingRead::begin(self, table);
            let waited = timeout(wait, async {
                loop {
                    let changed = self.changed.notified();
                    if !self.since(table, from).is_empty() {
                        return;
                    }
                    changed.await;
                }
            });
            tokio::select! {
                // What happens to the connection comes before what is written right after.
                biased;
                () = self.aborted.notified() => return Err(Fault::Lost),
                () = self.stalled.notified() => {
                    drop(waiting);
                    overdue.await;
                    return Err(Fault::Lost);
                }
                // Time over or not, what is there is the answer.
                _ = waited => {}
            }
            let records = self.since(table, from);
            let end = from + records.len() as u64;
            Ok(TableRead::Complete(Update {
                snapshot: false,
                records,
                end,
            }))
        }
        .boxed_local()
    }

    fn snapshot(&self, table: Table) -> CallFuture<'_, Update> {
        async move {
            *self.snapshot_reads.borrow_mut().entry(table).or_default() += 1;
            self.called().await?;
            let all = self.since(table, 0);
            let end = all.len() as u64;
            let newest: HashMap<String, Record> =
                all.into_iter().map(|it| (it.key.clone(), it)).collect();
            let mut records: Vec<Record> = newest.into_values().collect();
            records.retain(|it| it.value.is_some());
            records.sort_by_key(|it| it.offset);
            Ok(Update {
                snapshot: true,
                records,
                end,
            })
        }
        .boxed_local()
    }

    fn write(&self, rows: Vec<Put>) -> CallFuture<'_, ()> {
        async move {
            self.writes.set(self.writes.get() + 1);
            self.called().await?;
            for Put { key, value } in rows {
                self.add(Table::Entries, &key, value);
            }
            Ok(())
        }
        .boxed_local()
    }
}
