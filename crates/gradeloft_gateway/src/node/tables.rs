//! Copies of the platform's tables: who reads them from the store, and what peers bring.

use std::{fmt, net::Ipv4Addr, rc::Rc, time::Duration};

use gradeloft_platform::{Fault, fleet::Followed};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Record, Update},
        replicas::StoreTrust,
    },
};
use gradeloft_wire::{datagram::Access, frame::Table};
use rand::Rng;
use slog::{info, warn};

use super::Node;
use crate::{
    logs::Topic,
    metrics::Reason,
    traffic::{Purpose, Reach},
};

/// First pause after a failed call to the store, which doubles with each further one.
const FIRST_PAUSE_MS: u64 = 150;
/// Longest pause of entries, which have to follow the operator within seconds.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Shortest wait of a read, in percent of the longest.
const SHORTEST_WAIT_PERCENT: u64 = 75;
/// Pause before a process that leaves reading to others looks again whether it is to read.
const STANDBY: Duration = Duration::from_millis(200);
/// Time after an interruption of reading a table within which the store may still drop records of
/// replicas that live, in milliseconds.
const DOUBT_MS: u64 = 1_500;
/// Time after the interruption by which dropped records of replicas that live are back, in
/// milliseconds: two seconds, and a read. Counted from there and not from the removal, so that a
/// replica which leaves just then is left in time.
pub(super) const BACK_MS: u64 = 2_300;

/// Where records came from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// This process, by what it saw itself.
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

/// How reading a table from the store goes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Reading {
    /// The last read failed.
    Interrupted,
    /// It failed, and has gone well since.
    Resumed(Time),
    /// It has never failed.
    #[default]
    Steady,
    /// It is left to others.
    Standby,
}

impl Node {
    /// Whether this process leaves reading a table from the store to others.
    pub fn on_standby(&self, table: Table) -> bool {
        self.reading.borrow()[index(table)] == Reading::Standby
    }

    /// Whether the store serves this process, as far as it knows. For a moment after an interruption it
    /// counts as unserved, so that others, which saw none, go on reading: what it reads is doubtful.
    pub fn access(&self) -> Access {
        let now = self.clock.now();
        let doubtful = |it: &Reading| match it {
            Reading::Interrupted => true,
            Reading::Resumed(at) => now < at.after_ms(DOUBT_MS),
            Reading::Standby | Reading::Steady => false,
        };
        if self.reading.borrow().iter().any(doubtful) {
            Access::Unserved
        } else {
            Access::Served
        }
    }

    /// Whether the copy of a table has ever been brought up to date.
    pub fn loaded(&self, table: Table) -> bool {
        self.copies.borrow()[index(table)].loaded()
    }

    /// Whether a removal from a table may be an error of the store's.
    pub fn trust(&self, table: Table) -> StoreTrust {
        if self.peer_sound.get() {
            return StoreTrust::Sound;
        }
        let now = self.clock.now();
        match self.reading.borrow()[index(table)] {
            Reading::Interrupted => StoreTrust::Doubtful(now.after_ms(BACK_MS)),
            Reading::Resumed(at) if now < at.after_ms(DOUBT_MS) => {
                StoreTrust::Doubtful(at.after_ms(BACK_MS))
            }
            Reading::Standby if now < self.peer_doubt.get() => {
                StoreTrust::Doubtful(self.peer_doubt.get())
            }
            Reading::Resumed(_) | Reading::Standby | Reading::Steady => StoreTrust::Sound,
        }
    }

    /// Whether what is being taken in is the first of its table. Nothing is known of when it was written, also
    /// not by peers: their words reach back to the start of this process.
    pub fn is_initial_load(&self) -> bool {
        self.beginning.get()
    }

    /// Whether the copy of a table has a record with a key.
    pub fn has_key(&self, table: Table, key: &str) -> bool {
        self.copies.borrow()[index(table)].value(key).is_some()
    }

    /// Newest records of a table.
    pub fn records(&self, table: Table) -> Vec<Record> {
        let copies = self.copies.borrow();
        copies[index(table)].records().cloned().collect()
    }

    /// Offset up to which the copy of a table goes.
    pub fn end(&self, table: Table) -> u64 {
        self.copies.borrow()[index(table)].end()
    }

    fn apply(&self, table: Table, update: Update) {
        self.beginning.set(!self.loaded(table));
        let changed = self.copies.borrow_mut()[index(table)].apply(update);
        self.observed(table, changed);
    }

    /// Tells the observer what changed.
    fn observed(&self, table: Table, changed: Vec<Record>) {
        if changed.is_empty() {
            return;
        }
        let observer = self.observer.borrow().clone();
        if let Some(observer) = observer {
            observer(table, changed);
        }
        self.changed.notify_waiters();
    }

    /// How long the copy of a table has lacked what peers are known to have; `None` if it lacks nothing.
    pub fn behind(&self, table: Table) -> Option<Duration> {
        let lacks_since = self.ages.borrow()[index(table)].known_since(self.end(table));
        lacks_since.map(|it| self.clock.now().since(it))
    }

    /// Takes in what a source brought, and says so where a request may later depend on it.
    pub(super) fn take(&self, table: Table, update: Update, source: Source, asked: Time) {
        let bytes = update.bytes();
        let purpose = match source {
            Source::Store => Purpose::Store,
            Source::Own | Source::Peer(_) => Purpose::Records,
        };
        self.count(purpose, self.reach(source), bytes);
        let update = self.without_foreign(table, update, source);
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
                "bytes" => bytes, "end" => update.end, "before" => self.end(table),
                "behind_ms" => self.behind(table).map_or(-1, |it| it.as_millis() as i64),
                "ms" => self.clock.now().since(asked).as_millis() as u64);
        }
        self.source.set(source);
        self.apply(table, update);
        self.update_behind_metric();
    }

    fn reach(&self, source: Source) -> Reach {
        match source {
            Source::Peer(peer) => Reach::of(self.is_near_peer(peer)),
            Source::Own | Source::Store => Reach::Far,
        }
    }

    /// Whether a peer is known to be in this process's region.
    pub fn is_near_peer(&self, peer: Ipv4Addr) -> bool {
        self.near_peers.borrow().get(&peer) == Some(&true)
    }

    /// Takes in records from beyond the end of the copy, since something large before them is still on its
    /// way. The copy goes no further by that.
    pub(super) fn take_ahead(&self, table: Table, records: Vec<Record>, source: Source) {
        self.beginning.set(!self.loaded(table));
        let changed = self.copies.borrow_mut()[index(table)].apply_ahead(records);
        if table == Table::Operator
            && !changed.is_empty()
            && let Some(log) = self.logs.line(Topic::State)
        {
            info!(log, "records ahead"; "table" => ?table, "source" => %source,
                "rows" => changed.len(), "end" => self.end(table));
        }
        self.source.set(source);
        self.observed(table, changed);
    }

    /// Shows in the metrics for how long the operator's table has lacked something.
    pub fn update_behind_metric(&self) {
        let behind = self.behind(Table::Operator).unwrap_or_default();
        self.metrics.behind.set(behind.as_secs_f64());
    }

    /// Where the records that are being taken in came from.
    pub fn source(&self) -> Source {
        self.source.get()
    }

    /// Keeps the copy of a table up to date from the store, with `pause` between reads that wait `wait` at
    /// most.
    pub async fn follow(self: Rc<Node>, table: Table, wait: Duration, pause: Duration) {
        let mut failures = 0;
        let mut fresh = false;
        loop {
            if self.stands_by(table) {
                // Peers keep the copy up to date, so reading goes on where it ends.
                fresh = self.loaded(table);
                actix_rt::time::sleep(STANDBY).await;
                continue;
            }
            self.count_call(table);
            // After a failure, a read without a wait soon tells whether the store is back.
            let wait = if failures == 0 {
                self.drawn(wait)
            } else {
                Duration::ZERO
            };
            let read = self.read(table, &mut fresh, wait).await;
            match read {
                Ok(()) => {
                    failures = 0;
                    self.store_answered(table);
                    let election = self.election.borrow().clone();
                    let pause = election.map_or(pause, |it| it.pause(table, pause));
                    actix_rt::time::sleep(pause).await;
                }
                Err(fault) => {
                    self.store_fault(table, &fault);
                    let silent = matches!(fault, Fault::Broken | Fault::Lost);
                    if failures == 0 && silent {
                        // Whether it was the connection only, a new one tells at once.
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

    /// The wait of one read. Readers begin to wait together, with the last record: drawn waits spread, so
    /// that one of them soon finds out that connections have gone silent.
    fn drawn(&self, longest: Duration) -> Duration {
        let longest = longest.as_millis() as u64;
        let shortest = longest * SHORTEST_WAIT_PERCENT / 100;
        Duration::from_millis(self.with_rng(|it| it.random_range(shortest..=longest)))
    }

    /// Whether reading a table is left to others now.
    fn stands_by(&self, table: Table) -> bool {
        let election = self.election.borrow().clone();
        let Some(election) = election else {
            return false;
        };
        let reads = election.reads(table);
        let before = self.reading.borrow()[index(table)];
        if reads == (before == Reading::Standby)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "duty"; "table" => ?table, "reads_store" => reads);
        }
        let reading = &mut self.reading.borrow_mut()[index(table)];
        match (reads, *reading) {
            (false, _) => *reading = Reading::Standby,
            // That others are not served says little of the store; whether it is out of reach shows in
            // the first read.
            (true, Reading::Standby) => *reading = Reading::Steady,
            (true, _) => {}
        }
        !reads
    }

    async fn read(&self, table: Table, fresh: &mut bool, wait: Duration) -> Result<(), Fault> {
        let store = &self.platform.store;
        let asked = self.clock.now();
        if !*fresh {
            let update = store.snapshot(table).await?;
            *fresh = true;
            self.note_read(table, &update, asked, Duration::ZERO);
            self.take(table, update, Source::Store, asked);
            self.confirm(table, asked);
            return Ok(());
        }
        let wait_ms = wait.as_millis() as u64;
        match store.follow(table, self.end(table), wait_ms).await? {
            Followed::Dropped => *fresh = false,
            Followed::Part(update) => {
                // It broke off on its way, so nobody has looked since it was asked for.
                self.note_read(table, &update, asked, Duration::ZERO);
                self.take(table, update, Source::Store, asked);
            }
            Followed::Update(update) => {
                let passed = update.records.is_empty();
                self.note_read(table, &update, asked, wait);
                // Before what was read is taken in: records of an interruption are doubtful.
                self.take(table, update, Source::Store, asked);
                // An answer without records was sent when the whole wait had passed.
                let whole_at = if passed { asked.after(wait) } else { asked };
                self.confirm(table, whole_at);
            }
        }
        Ok(())
    }

    /// Reads a table whole from the store, once.
    pub async fn read_snapshot(&self, table: Table) {
        self.count_call(table);
        let asked = self.clock.now();
        match self.platform.store.snapshot(table).await {
            Ok(update) => {
                self.note_read(table, &update, asked, Duration::ZERO);
                self.take(table, update, Source::Store, asked);
                self.confirm(table, asked);
            }
            Err(fault) => self.store_fault(table, &fault),
        }
    }

    fn store_answered(&self, table: Table) {
        let reading = &mut self.reading.borrow_mut()[index(table)];
        if *reading == Reading::Interrupted {
            *reading = Reading::Resumed(self.clock.now());
        }
        if self.store_trouble.take().is_some()
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "store regained");
        }
    }

    fn store_fault(&self, table: Table, fault: &Fault) {
        self.metrics.store_faults.inc();
        self.reading.borrow_mut()[index(table)] = Reading::Interrupted;
        let trouble = match fault {
            Fault::Lost | Fault::Unreachable => "store lost",
            _ => "store fault",
        };
        if self.store_trouble.replace(Some(trouble)) != Some(trouble)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            warn!(log, "{}", trouble; "table" => ?table, "fault" => %fault);
        }
    }

    /// Whether a record that removes something from a table may be an error of the store's. Counts from when
    /// the record is known to be there, and not from before an interruption: doubt would end too soon.
    pub fn trust_in_removal(&self, table: Table, record: &Record) -> StoreTrust {
        let now = self.clock.now();
        let known = self.ages.borrow()[index(table)].known_since(record.offset);
        let written = known.map_or(now, |it| it.min(now));
        self.trust(table).of_written(written, BACK_MS)
    }
}

/// Position of a table in arrays of one value for each.
pub(super) fn index(table: Table) -> usize {
    match table {
        Table::Entries => 0,
        Table::Operator => 1,
        Table::Replicas => 2,
    }
}
