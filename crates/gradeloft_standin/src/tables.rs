//! A fake of the tables in the platform's store.

use std::{cell::Cell, cell::RefCell, collections::HashMap, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use gradeloft_platform::{
    CallFuture, Fault,
    fleet::{Put, READ_GRACE, Store, TableRead},
};
use gradeloft_policy::process::mirror::{Record, Update};
use gradeloft_wire::{frame::Table, position::Position};
use tokio::{sync::Notify, time::timeout};

/// Response of the store to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Calls get no response.
    Silent,
    /// Every call is refused.
    Refusing,
    /// Calls are served.
    #[default]
    Healthy,
}

/// Tables with fault settings.
#[derive(Default)]
pub struct Tables {
    records: RefCell<HashMap<Table, Vec<Record>>>,
    /// Offsets below which a table was compacted.
    compacted: RefCell<HashMap<Table, u64>>,
    /// Records of the last backup.
    backup: RefCell<HashMap<Table, Vec<Record>>>,
    /// Number of restores so far.
    era: Cell<u32>,
    /// Response to calls.
    pub mode: Cell<StoreMode>,
    /// Number of calls so far.
    pub calls: Cell<u64>,
    /// Number of write calls so far.
    pub writes: Cell<u64>,
    changed: Notify,
    aborted: Notify,
    stalled: Notify,
    pending_reads: RefCell<HashMap<Table, usize>>,
    snapshot_reads: RefCell<HashMap<Table, usize>>,
}

/// Counts a read that waits for records until drop.
struct PendingRead<'a> {
    tables: &'a Tables,
    table: Table,
}

impl<'a> PendingRead<'a> {
    fn new(tables: &'a Tables, table: Table) -> PendingRead<'a> {
        *tables.pending_reads.borrow_mut().entry(table).or_default() += 1;
        PendingRead { tables, table }
    }
}

impl Drop for PendingRead<'_> {
    fn drop(&mut self) {
        let mut pending = self.tables.pending_reads.borrow_mut();
        pending.entry(self.table).and_modify(|it| *it -= 1);
    }
}

impl Tables {
    /// Fails all pending reads.
    pub fn abort_reads(&self) {
        self.aborted.notify_waiters();
    }

    /// Stalls the connections of all pending reads: those reads get no response, while new calls are
    /// served.
    pub fn stall_reads(&self) {
        self.stalled.notify_waiters();
    }

    /// Returns the number of readers of a table that wait for records.
    pub fn readers(&self, table: Table) -> usize {
        self.pending_reads
            .borrow()
            .get(&table)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of snapshot reads of a table so far.
    pub fn snapshot_reads(&self, table: Table) -> usize {
        self.snapshot_reads
            .borrow()
            .get(&table)
            .copied()
            .unwrap_or(0)
    }

    /// Appends a record; `None` deletes the key.
    pub fn write(&self, table: Table, key: &str, value: Option<&str>) {
        self.append(table, key, value.map(|it| Bytes::from(it.to_owned())));
    }

    fn append(&self, table: Table, key: &str, value: Option<Bytes>) {
        let mut tables = self.records.borrow_mut();
        let records = tables.entry(table).or_default();
        records.push(Record {
            key: key.to_owned(),
            value,
            position: self.position(records.len()),
        });
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Returns the end of a table.
    pub fn end(&self, table: Table) -> Position {
        self.position(self.records_from(table, 0).len())
    }

    /// Returns the keys of a table that are not deleted.
    pub fn keys(&self, table: Table) -> Vec<String> {
        let mut newest = HashMap::new();
        for record in self.records_from(table, 0) {
            newest.insert(record.key, record.value.is_some());
        }
        newest.retain(|_, is_present| *is_present);
        newest.into_keys().collect()
    }

    /// Compacts a table: reads from older offsets get [`TableRead::Truncated`], and snapshots still
    /// have the newest record of each key.
    pub fn compact(&self, table: Table) {
        let end = self.records.borrow().get(&table).map_or(0, Vec::len);
        self.compacted.borrow_mut().insert(table, end as u64);
    }

    /// Copies all tables, for [`Tables::restore_backup`].
    pub fn back_up(&self) {
        self.backup.replace(self.records.borrow().clone());
    }

    /// Replaces all tables by the last backup. Later writes get the offsets of the lost records.
    pub fn restore_backup(&self) {
        self.era.set(self.era.get() + 1);
        let mut records = self.backup.borrow().clone();
        for record in records.values_mut().flatten() {
            record.position.era = self.era.get();
        }
        self.records.replace(records);
        self.changed.notify_waiters();
    }

    /// Returns the position at an offset in the current era.
    fn position(&self, offset: usize) -> Position {
        Position::new(self.era.get(), offset as u64)
    }

    async fn handle_call(&self) -> Result<(), Fault> {
        self.calls.set(self.calls.get() + 1);
        match self.mode.get() {
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Refusing => Err(Fault::Refused("the store refuses calls".to_owned())),
            StoreMode::Healthy => Ok(()),
        }
    }

    fn records_from(&self, table: Table, from: u64) -> Vec<Record> {
        let tables = self.records.borrow();
        let records = tables.get(&table).map_or(&[][..], Vec::as_slice);
        records.iter().skip(from as usize).cloned().collect()
    }
}

impl Store for Tables {
    fn follow(&self, table: Table, from: Position, wait_ms: u64) -> CallFuture<'_, TableRead> {
        async move {
            self.handle_call().await?;
            if from.era != self.era.get() {
                return Ok(TableRead::Restored);
            }
            let first = self.compacted.borrow().get(&table).copied().unwrap_or(0);
            let end = self.records.borrow().get(&table).map_or(0, Vec::len);
            // A backup ends before the position of a reader that has read beyond it.
            if !(first..=end as u64).contains(&from.offset) {
                return Ok(TableRead::Truncated);
            }
            let wait = Duration::from_millis(wait_ms);
            let read_timeout = tokio::time::sleep(wait + READ_GRACE);
            let pending_read = PendingRead::new(self, table);
            let records_ready = timeout(wait, async {
                loop {
                    let changed = self.changed.notified();
                    if !self.records_from(table, from.offset).is_empty() {
                        return;
                    }
                    changed.await;
                }
            });
            tokio::select! {
                // A fault of the connection takes precedence over a write that follows it.
                biased;
                () = self.aborted.notified() => return Err(Fault::Lost),
                () = self.stalled.notified() => {
                    drop(pending_read);
                    read_timeout.await;
                    return Err(Fault::Lost);
                }
                // After the wait, also after a timeout, the response contains the available records.
                _ = records_ready => {}
            }
            if from.era != self.era.get() {
                return Ok(TableRead::Restored);
            }
            let records = self.records_from(table, from.offset);
            let end = self.position(from.offset as usize + records.len());
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
            self.handle_call().await?;
            let all = self.records_from(table, 0);
            let end = self.position(all.len());
            let newest: HashMap<String, Record> =
                all.into_iter().map(|it| (it.key.clone(), it)).collect();
            let mut records: Vec<Record> = newest.into_values().collect();
            records.retain(|it| it.value.is_some());
            records.sort_by_key(|it| it.position);
            Ok(Update {
                snapshot: true,
                records,
                end,
            })
        }
        .boxed_local()
    }

    fn write(&self, rows: Vec<Put>) -> CallFuture<'_, u32> {
        async move {
            self.writes.set(self.writes.get() + 1);
            self.handle_call().await?;
            for Put { key, value } in rows {
                self.append(Table::Entries, &key, value);
            }
            Ok(self.era.get())
        }
        .boxed_local()
    }
}
