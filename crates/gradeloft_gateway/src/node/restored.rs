//! Restores of the store from a backup, which lose the records of the last seconds.
//!
//! What was in force stays in force: copies keep the lost records until their keys are written again
//! ([`mirror`](gradeloft_policy::process::mirror)), and processes that start later get them from
//! peers.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::mirror::{LostRecords, Mirror, Update},
    rendezvous,
};
use gradeloft_wire::{frame::Table, position::Position};
use slog::warn;

use super::{Node, tables::index};
use crate::logs::Topic;

/// Time since a copy was last complete within which a key that a restored store lacks counts as
/// lost rather than deleted. The outage of the store before the restore is part of it.
const CURRENT: Duration = Duration::from_secs(30);
/// Longest time for which a started entry waits for the records that its peers keep, in
/// milliseconds.
const WAIT_MS: u64 = 2_000;
/// Time after its start for which an entry waits for a peer if the store was ever restored, in
/// milliseconds. Peers respond within a round trip; without any, the store's records are the only
/// ones.
const FIRST_PEER_MS: u64 = 1_000;
/// Number of digests of peers' kept records that are remembered.
const MAX_DIGESTS: usize = 64;

/// Records that peers keep although the store has lost them.
#[derive(Default)]
pub(super) struct PeerKept {
    /// Tables and digests of kept records that were fetched.
    fetched: HashSet<(Table, u32)>,
    /// Time at which this process learned that a peer keeps records that were not fetched yet.
    missing_since: Option<Time>,
}

/// Returns what the copy of a table does with records that the store has lost.
pub(super) fn lost_records(table: Table) -> LostRecords {
    match table {
        // The entries write their records again.
        Table::Entries => LostRecords::Drop,
        Table::Operator => LostRecords::Keep,
        // A replica that the store lacks is gone, unless it writes its record again.
        Table::Replicas => LostRecords::KeepOverOlder,
    }
}

impl Node {
    /// Returns the era of the store in which the copy of a table was last updated.
    pub fn era(&self, table: Table) -> u32 {
        self.end(table).era
    }

    /// Returns a digest of the records that this process keeps although the store has lost them; 0
    /// for none.
    pub(super) fn kept_digest(&self) -> u32 {
        let copies = self.copies.borrow();
        let digests = copies.each_ref().map(Mirror::kept_digest);
        if digests == [0; 3] {
            return 0;
        }
        let bytes: Vec<u8> = digests.into_iter().flat_map(u32::to_be_bytes).collect();
        (rendezvous::hash(&bytes) as u32).max(1)
    }

    /// Returns whether a peer, whose copies end at `ends`, keeps records of a table that were not
    /// fetched from it or from a peer that keeps the same ones. `kept` is the peer's digest.
    pub fn lacks_kept(&self, table: Table, ends: [Position; 3], kept: u32) -> bool {
        kept != 0
            && lost_records(table) != LostRecords::Drop
            && ends[index(table)].era == self.era(table)
            && self.loaded(table)
            && !self.peer_kept.borrow().fetched.contains(&(table, kept))
            && kept != self.kept_digest()
    }

    /// Notes that records are being fetched that a peer keeps.
    pub(super) fn note_kept_missing(&self) {
        let mut peer_kept = self.peer_kept.borrow_mut();
        let since = peer_kept.missing_since;
        peer_kept.missing_since = since.or(Some(self.clock.now()));
    }

    /// Notes that the records of a table were fetched that peers with this digest keep.
    pub(super) fn note_kept_fetched(&self, table: Table, kept: u32) {
        let mut peer_kept = self.peer_kept.borrow_mut();
        if MAX_DIGESTS <= peer_kept.fetched.len() {
            peer_kept.fetched.clear();
        }
        peer_kept.fetched.insert((table, kept));
        if table == Table::Operator {
            peer_kept.missing_since = None;
        }
    }

    /// Returns whether this process started after a restore of the store, and does not have the
    /// records yet that its peers keep.
    pub fn awaits_kept_records(&self) -> bool {
        let copies = self.copies.borrow();
        if copies[index(Table::Operator)].has_previous_era() {
            return false;
        }
        let now = self.clock.now();
        let alone = self.near_peers.borrow().is_empty();
        if alone && 0 < self.era(Table::Operator) {
            return now < Time::ZERO.after_ms(FIRST_PEER_MS);
        }
        let missing_since = self.peer_kept.borrow().missing_since;
        missing_since.is_some_and(|it| now < it.after_ms(WAIT_MS))
    }

    /// Returns whether an update is the first one after a restore of the store.
    pub(super) fn enters_era(&self, table: Table, update: &Update) -> bool {
        self.loaded(table) && self.era(table) < update.end.era
    }

    /// Returns whether the copy of a table was complete until a moment ago.
    pub(super) fn is_current(&self, table: Table) -> bool {
        let confirmed = self.confirmed_until(table);
        confirmed.is_some_and(|it| self.clock.now() < it.after(CURRENT))
    }

    /// Applies the first update of a copy after a restore of the store.
    pub(super) fn enter_era(&self, table: Table, update: Update) {
        let before = self.end(table);
        let end = update.end;
        let written: HashMap<String, (Position, Time)> = match table {
            Table::Operator => {
                let records = self.records(table).into_iter();
                let written = records.map(|it| {
                    let at = self.written_at(table, &it);
                    (it.key, (it.position, at))
                });
                written.collect()
            }
            Table::Entries | Table::Replicas => HashMap::new(),
        };
        self.entering_era.set(true);
        self.apply_to_copy(table, update);
        self.entering_era.set(false);
        let restored = self.records(table).into_iter().filter_map(|it| {
            let (position, at) = written.get(&it.key)?;
            let same = position.offset == it.position.offset && position.era < it.position.era;
            same.then_some((it.position, *at))
        });
        let restored = restored.collect();
        self.write_times.borrow_mut()[index(table)].set_restored(restored);
        let kept = self.copies.borrow()[index(table)].kept_len();
        if let Some(log) = self.logs.line(Topic::State) {
            warn!(log, "store restored"; "table" => ?table, "era" => end.era,
                "before" => %before, "end" => %end, "kept" => kept, "source" => %self.source());
        }
    }

    /// Sets the metrics of the store's era and of the records that are kept.
    pub fn update_restore_metrics(&self) {
        let copies = self.copies.borrow();
        let era = copies.iter().map(|it| it.end().era).max();
        self.metrics
            .store_era
            .set(i64::from(era.unwrap_or_default()));
        let kept: usize = copies.iter().map(Mirror::kept_len).sum();
        self.metrics.kept_records.set(kept as i64);
    }
}
