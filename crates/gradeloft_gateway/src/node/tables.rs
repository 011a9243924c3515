//! Copies of the platform's tables, which some processes read from the store and the others from
//! peers.

use std::{fmt, net::Ipv4Addr, rc::Rc, time::Duration};

use gradeloft_platform::{Fault, fleet::TableRead};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Record, Update},
        store_reads::{DOUBT_MS, Since},
    },
};
use gradeloft_wire::{datagram::StoreAccess, frame::Table, position::Position};
use rand::Rng;
use slog::{info, warn};

use super::Node;
use crate::{
    logs::Topic,
    metrics::Reason,
    traffic::{Purpose, Reach},
};

/// First pause after a failed call to the store, in milliseconds, which doubles with each further
/// failure.
const FIRST_PAUSE_MS: u64 = 150;
/// Longest pause of entries after failed calls: entries have to apply the operator's records within
/// seconds.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Shortest wait of a long poll, in percent of the longest.
const SHORTEST_WAIT_PERCENT: u64 = 75;
/// Pause between checks whether a process on standby has to read the store.
const STANDBY_PAUSE: Duration = Duration::from_millis(200);

/// Source of records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// This process, by its own observation.
    Own,
    /// Another process.
    Peer(Ipv4Addr),
    /// The platform's store.
    #[default]
    Store,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Peer(_) => "peer",
            Source::Store => "store",
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Own => f.write_str("own"),
            Source::Peer(address) => write!(f, "{address}"),
            Source::Store => f.write_str("store"),
        }
    }
}

/// State of reading a table from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadState {
    /// The last read failed.
    Interrupted,
    /// Reads have succeeded since this time.
    Reading(Since),
    /// A read failed, and reads have succeeded since this time.
    Resumed(Time),
    /// Other processes read the table.
    Standby,
    /// No read has succeeded since this process began to read the table, or since it was stalled.
    #[default]
    Starting,
}

impl ReadState {
    /// Returns the time since which this process's own reads have succeeded.
    pub(super) fn since(self) -> Option<Since> {
        match self {
            ReadState::Reading(since) => Some(since),
            ReadState::Resumed(at) => Some(at.into()),
            ReadState::Interrupted | ReadState::Standby | ReadState::Starting => None,
        }
    }
}

/// Result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The records were applied, or the next read is one of a snapshot.
    Applied,
    /// The store was restored, so the next read is one of a snapshot.
    Restored,
}

impl Node {
    /// Returns whether this process leaves reading a table from the store to others.
    pub fn on_standby(&self, table: Table) -> bool {
        self.read_states.borrow()[index(table)] == ReadState::Standby
    }

    /// Returns the state of reading a table from the store.
    pub fn read_state(&self, table: Table) -> ReadState {
        self.read_states.borrow()[index(table)]
    }

    pub(super) fn set_read_state(&self, table: Table, state: ReadState) {
        self.read_states.borrow_mut()[index(table)] = state;
    }

    /// Returns whether the store serves this process, as far as the process can tell. For a moment
    /// after an interruption the process counts as unserved, as its reads are doubtful: processes
    /// without an interruption keep reading.
    pub fn access(&self) -> StoreAccess {
        let now = self.clock.now();
        let doubtful = |it: &ReadState| match it {
            ReadState::Interrupted => true,
            ReadState::Resumed(at) => now < at.after_ms(DOUBT_MS),
            ReadState::Reading(_) | ReadState::Standby | ReadState::Starting => false,
        };
        if self.read_states.borrow().iter().any(doubtful) {
            StoreAccess::Unserved
        } else {
            StoreAccess::Served
        }
    }

    /// Returns whether the copy of a table has ever been loaded.
    pub fn loaded(&self, table: Table) -> bool {
        self.copies.borrow()[index(table)].loaded()
    }

    /// Returns whether the records that are being applied are the first of their table. The times
    /// at which they were written are unknown, as peers' datagrams cover only the time since this
    /// process started.
    pub fn is_initial_load(&self) -> bool {
        self.initial_load.get()
    }

    /// Returns whether the copy of a table has a record with a key.
    pub fn has_key(&self, table: Table, key: &str) -> bool {
        self.copies.borrow()[index(table)].value(key).is_some()
    }

    /// Returns the newest records of a table.
    pub fn records(&self, table: Table) -> Vec<Record> {
        let copies = self.copies.borrow();
        copies[index(table)].records().cloned().collect()
    }

    /// Returns the position up to which the copy of a table goes.
    pub fn end(&self, table: Table) -> Position {
        self.copies.borrow()[index(table)].end()
    }

    /// Applies an update to the copy of a table.
    pub(super) fn apply_to_copy(&self, table: Table, update: Update) {
        self.initial_load.set(!self.loaded(table));
        let current = self.is_current(table);
        let changed = self.copies.borrow_mut()[index(table)].apply(update, current);
        self.notify_observer(table, changed);
    }

    /// Passes changed records to the observer.
    pub(super) fn notify_observer(&self, table: Table, changed: Vec<Record>) {
        if changed.is_empty() {
            return;
        }
        let observer = self.observer.borrow().clone();
        if let Some(observer) = observer {
            observer(table, changed);
        }
        self.changed.notify_waiters();
    }

    /// Returns for how long the copy of a table has lacked records that peers are known to have;
    /// `None` if it lacks none.
    pub fn behind(&self, table: Table) -> Option<Duration> {
        let lacks_since = self.write_times.borrow()[index(table)].known_since(self.end(table));
        lacks_since.map(|it| self.clock.now().since(it))
    }

    /// Applies an update, and logs it if it may affect requests.
    pub(super) fn apply_update(
        &self,
        table: Table,
        update: Update,
        source: Source,
        requested_at: Time,
    ) {
        let bytes = update.bytes();
        let purpose = match source {
            Source::Store => Purpose::Store,
            Source::Own | Source::Peer(_) => Purpose::Records,
        };
        self.count(purpose, self.reach(source), bytes);
        let update = self.replace_unreadable(table, update, source);
        let label = Reason {
            reason: source.name(),
        };
        self.metrics
            .records
            .get_or_create(&label)
            .inc_by(bytes as u64);
        if table == Table::Operator
            && (update.snapshot || !update.records.is_empty())
            && let Some(log) = self.logs.line(Topic::State)
        {
            info!(log, "records"; "table" => ?table, "source" => %source,
                "snapshot" => update.snapshot, "rows" => update.records.len(),
                "bytes" => bytes, "end" => %update.end, "before" => %self.end(table),
                "behind_ms" => self.behind(table).map_or(-1, |it| it.as_millis() as i64),
                "ms" => self.clock.now().since(requested_at).as_millis() as u64);
        }
        self.source.set(source);
        match self.enters_era(table, &update) {
            true => self.enter_era(table, update),
            false => self.apply_to_copy(table, update),
        }
        self.update_behind_metric();
        self.update_restore_metrics();
    }

    /// Returns the reach of the bytes of an update.
    fn reach(&self, source: Source) -> Reach {
        match source {
            Source::Peer(peer) => Reach::of(self.is_near_peer(peer)),
            Source::Own | Source::Store => Reach::Far,
        }
    }

    /// Returns whether a peer is known to be in this process's region.
    pub fn is_near_peer(&self, peer: Ipv4Addr) -> bool {
        self.near_peers.borrow().is_near(peer) == Some(true)
    }

    /// Applies records beyond the end of the copy while a large record before them is still being
    /// fetched. The end of the copy does not move.
    pub(super) fn apply_ahead(&self, table: Table, records: Vec<Record>, source: Source) {
        self.initial_load.set(!self.loaded(table));
        let changed = self.copies.borrow_mut()[index(table)].apply_ahead(records);
        if table == Table::Operator
            && !changed.is_empty()
            && let Some(log) = self.logs.line(Topic::State)
        {
            info!(log, "records ahead"; "table" => ?table, "source" => %source,
                "rows" => changed.len(), "end" => %self.end(table));
        }
        self.source.set(source);
        self.notify_observer(table, changed);
    }

    /// Sets the metric of the time for which the copy of the operator's table has lacked records.
    pub fn update_behind_metric(&self) {
        let behind = self.behind(Table::Operator).unwrap_or_default();
        self.metrics.behind.set(behind.as_secs_f64());
    }

    /// Returns the source of the records that are being applied.
    pub fn source(&self) -> Source {
        self.source.get()
    }

    /// Keeps the copy of a table up to date from the store, by long polls of at most `wait` with
    /// `pause` between them.
    pub async fn follow(self: Rc<Node>, table: Table, wait: Duration, pause: Duration) {
        let mut failures = 0;
        let mut fresh = false;
        loop {
            if self.update_standby(table) {
                // Peers keep the copy up to date, so later reads continue at the copy's end.
                fresh = self.loaded(table);
                actix_rt::time::sleep(STANDBY_PAUSE).await;
                continue;
            }
            self.count_store_call(table);
            // After a failure, a read without a wait soon shows whether the store is back.
            let wait = if failures == 0 {
                self.jittered_wait(wait)
            } else {
                Duration::ZERO
            };
            let read = self.read(table, &mut fresh, wait).await;
            match read {
                Ok(progress) => {
                    failures = 0;
                    let begins = self.read_state(table) == ReadState::Starting;
                    self.note_store_success(table);
                    if begins {
                        self.join_reads(table);
                    }
                    let election = self.election.borrow().clone();
                    let pause = election.map_or(pause, |it| match progress {
                        Progress::Applied => it.pause(table, pause),
                        Progress::Restored => it.pause_after_restore(pause),
                    });
                    actix_rt::time::sleep(pause).await;
                }
                Err(fault) => {
                    self.note_store_fault(table, &fault);
                    let silent = matches!(fault, Fault::Broken | Fault::Lost);
                    if failures == 0 && silent {
                        // A retry on a new connection shows at once whether only the old one
                        // failed.
                        failures = 1;
                        continue;
                    }
                    let election = self.election.borrow().clone();
                    let longest = election.map_or(LONGEST_PAUSE, |it| it.longest_pause());
                    let longest = (FIRST_PAUSE_MS << failures).min(longest.as_millis() as u64);
                    failures = (failures + 1).min(6);
                    let pause = self.with_rng(|it| it.random_range(longest / 2..=longest));
                    actix_rt::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Returns the wait of one read, with jitter. All readers start to wait at the same time, after
    /// the last record. If their waits differ, one reader soon detects that connections have gone
    /// silent.
    fn jittered_wait(&self, longest: Duration) -> Duration {
        let longest = longest.as_millis() as u64;
        let shortest = longest * SHORTEST_WAIT_PERCENT / 100;
        Duration::from_millis(self.with_rng(|it| it.random_range(shortest..=longest)))
    }

    /// Updates and returns whether reading a table is left to others.
    fn update_standby(&self, table: Table) -> bool {
        let election = self.election.borrow().clone();
        let Some(election) = election else {
            return false;
        };
        let reads = election.reads(table);
        let before = self.read_states.borrow()[index(table)];
        if reads == (before == ReadState::Standby)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "store reader changed"; "table" => ?table, "reads_store" => reads);
        }
        match (reads, before) {
            (false, _) => {
                self.keep_own_reads(table);
                self.set_read_state(table, ReadState::Standby);
            }
            // The store may be reachable although other readers have no access; the first read
            // shows whether it is.
            (true, ReadState::Standby) => self.set_read_state(table, ReadState::Starting),
            (true, _) => {}
        }
        !reads
    }

    /// Reads a table once: a snapshot first, then changes.
    async fn read(
        &self,
        table: Table,
        fresh: &mut bool,
        wait: Duration,
    ) -> Result<Progress, Fault> {
        let store = &self.platform.store;
        let requested_at = self.clock.now();
        if !*fresh {
            let update = store.snapshot(table).await?;
            *fresh = true;
            self.note_read(table, &update, requested_at, Duration::ZERO);
            self.apply_update(table, update, Source::Store, requested_at);
            self.confirm(table, requested_at);
            return Ok(Progress::Applied);
        }
        let wait_ms = wait.as_millis() as u64;
        match store.follow(table, self.end(table), wait_ms).await? {
            TableRead::Restored => {
                *fresh = false;
                return Ok(Progress::Restored);
            }
            TableRead::Truncated => *fresh = false,
            TableRead::Partial(update) => {
                // The response broke off, so it confirms nothing about the time after the request.
                self.note_read(table, &update, requested_at, Duration::ZERO);
                self.apply_update(table, update, Source::Store, requested_at);
            }
            TableRead::Complete(update) => {
                let waited_in_full = update.records.is_empty();
                self.note_read(table, &update, requested_at, wait);
                // Applied before the copy is confirmed: records of an interruption are doubtful.
                self.apply_update(table, update, Source::Store, requested_at);
                // A response without records was sent after the whole wait.
                let complete_at = if waited_in_full {
                    requested_at.after(wait)
                } else {
                    requested_at
                };
                self.confirm(table, complete_at);
            }
        }
        Ok(Progress::Applied)
    }

    /// Reads a snapshot of a table from the store, once.
    pub async fn read_snapshot(&self, table: Table) {
        self.count_store_call(table);
        let requested_at = self.clock.now();
        match self.platform.store.snapshot(table).await {
            Ok(update) => {
                self.note_read(table, &update, requested_at, Duration::ZERO);
                self.apply_update(table, update, Source::Store, requested_at);
                self.confirm(table, requested_at);
            }
            Err(fault) => self.note_store_fault(table, &fault),
        }
    }

    /// Notes a successful call to the store.
    fn note_store_success(&self, table: Table) {
        let now = self.clock.now();
        match self.read_state(table) {
            ReadState::Interrupted => self.set_read_state(table, ReadState::Resumed(now)),
            ReadState::Starting => self.set_read_state(table, ReadState::Reading(now.into())),
            ReadState::Reading(_) | ReadState::Resumed(_) | ReadState::Standby => {}
        }
        if self.logged_store_fault.take().is_some()
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "store regained");
        }
    }

    /// Notes a failed call to the store.
    fn note_store_fault(&self, table: Table, fault: &Fault) {
        self.metrics.store_faults.inc();
        self.set_read_state(table, ReadState::Interrupted);
        let event = match fault {
            Fault::Lost | Fault::Unreachable => "store lost",
            _ => "store fault",
        };
        if self.logged_store_fault.replace(Some(event)) != Some(event)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            warn!(log, "{}", event; "table" => ?table, "fault" => %fault);
        }
    }
}

/// Returns the position of a table in arrays with one value per table.
pub(super) fn index(table: Table) -> usize {
    match table {
        Table::Entries => 0,
        Table::Operator => 1,
        Table::Replicas => 2,
    }
}
