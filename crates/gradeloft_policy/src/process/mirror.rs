//! A copy of one keyed table of the platform's store.
//!
//! The store numbers the records of a table without gaps. A copy is updated with the records that
//! follow its end, or with a snapshot if the store has dropped records that the copy lacks or was
//! restored since. Another
//! process can update its copy from this one in the same two ways, so processes without access to
//! the store copy the table from processes with access.
//!
//! A restore of the store loses its latest records, which were in force already. A copy keeps such a
//! record until its key is written in the new era, and passes it on to copies that lack it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use bytes::Bytes;
use gradeloft_wire::position::Position;

use super::lineage::Lineage;
use crate::rendezvous;

/// Number of recent records kept for peers; a peer that is further behind gets a snapshot.
const TAIL_RECORDS: usize = 512;
/// Limit for the size of the recent records kept for peers, in bytes; the latest record is always
/// kept. The limit allows four configurations of 0.9 MB on an instance with 128 MB of memory.
const TAIL_BYTES: usize = 4 << 20;
/// Number of deletions that are remembered, for the case that a restore of the store undoes them.
const MAX_DELETIONS: usize = 1_024;

/// What a copy does with records that a restore of the store lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LostRecords {
    /// The copy drops them and follows the store.
    #[default]
    Drop,
    /// The copy keeps them.
    Keep,
    /// The copy keeps those of keys that have an older record in the store. Other keys are removed.
    KeepOverOlder,
}

/// A record of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// Position in the table.
    pub position: Position,
}

/// Part of a table that updates a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// Whether `records` holds the latest record of each key, rather than all records from some
    /// position on.
    pub snapshot: bool,
    /// Records, ascending by position, then the records of earlier eras that a peer keeps.
    pub records: Vec<Record>,
    /// Position that follows the last record.
    pub end: Position,
}

impl Update {
    /// Returns the size of all keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        bytes(self.records.iter())
    }
}

/// A copy of a table.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Latest record of each key, without deleted keys.
    newest: HashMap<String, Record>,
    /// Consecutive records up to `end`.
    tail: VecDeque<Record>,
    /// Size of the tail, in bytes.
    tail_bytes: usize,
    end: Position,
    loaded: bool,
    /// Treatment of records that a restore of the store loses.
    lost_records: LostRecords,
    /// Records before `end`.
    lineage: Lineage,
    /// Positions of recent deletions of keys that are not in `newest`.
    deleted: HashMap<String, Position>,
    /// Positions of the kept records and deletions of earlier eras, which the store has lost.
    kept: BTreeMap<String, Position>,
    /// End of the copy in the era before; [`Position::START`] if the copy was not up to date then.
    previous_end: Position,
}

impl Mirror {
    /// Creates an empty copy.
    pub fn new(lost_records: LostRecords) -> Mirror {
        Mirror {
            lost_records,
            ..Mirror::default()
        }
    }

    /// Returns the position of the first record that the copy lacks.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Returns whether the copy was ever updated.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether the copy was up to date in the era before.
    pub fn has_previous_era(&self) -> bool {
        self.previous_end != Position::START
    }

    /// Returns the latest value of a key.
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key)?.value.as_ref()
    }

    /// Iterates over the latest record of each key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.newest.values()
    }

    /// Returns the record at a position, if it is the latest of its key or in the tail.
    pub fn at(&self, position: Position) -> Option<&Record> {
        let recent = self.tail.iter().find(|it| it.position == position);
        recent.or_else(|| self.newest.values().find(|it| it.position == position))
    }

    /// Returns whether a record of a key at a position would be newer than the known record of this
    /// key.
    pub fn lacks(&self, key: &str, position: Position) -> bool {
        let known = self.newest.get(key);
        self.end <= position && known.is_none_or(|it| it.position < position)
    }

    /// Applies records beyond the end of the copy before the records in between have arrived, and
    /// returns those that changed something. The end of the copy does not move, since the record at
    /// the end is still missing. Later, the same records are applied again after the missing ones,
    /// and change nothing. Deletions are not applied early: a deleted key leaves no trace here that
    /// would identify an older value as outdated.
    pub fn apply_ahead(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut changed = Vec::new();
        for record in records {
            if record.value.is_some() && self.lacks(&record.key, record.position) {
                changed.extend(self.set(record));
            }
        }
        changed
    }

    /// Returns a digest of the records that this copy keeps although the store has lost them; 0 if
    /// there are none.
    pub fn kept_digest(&self) -> u32 {
        let kept = self.kept.iter().flat_map(|(key, position)| {
            let position = [u64::from(position.era), position.offset];
            let position = position.into_iter().flat_map(u64::to_be_bytes);
            key.bytes().chain(position)
        });
        match self.kept.is_empty() {
            true => 0,
            false => (rendezvous::hash(&kept.collect::<Vec<u8>>()) as u32).max(1),
        }
    }

    /// Returns the number of records that this copy keeps although the store has lost them.
    pub fn kept_len(&self) -> usize {
        self.kept.len()
    }

    /// Applies an update and returns the records that changed something, including deletions. After a
    /// restore of the store, a copy continues with a snapshot. `current` is whether the copy was up
    /// to date until a moment ago: otherwise, a key that the store lacks may have been deleted long
    /// after the restore.
    pub fn apply(&mut self, update: Update, current: bool) -> Vec<Record> {
        let continues = update.snapshot || update.end.era == self.end.era;
        if update.end.era < self.end.era || !continues {
            return Vec::new();
        }
        let known = !update.records.is_empty() || update.snapshot;
        self.loaded |= known;
        let Update {
            snapshot,
            records,
            end,
        } = update;
        let (kept, records): (Vec<Record>, _) = records
            .into_iter()
            .partition(|it| it.position.era < end.era);
        let update = Update {
            snapshot,
            records,
            end,
        };
        let mut changed = if self.end.era < end.era {
            self.enter_era(&update, &kept, current)
        } else if snapshot {
            self.replace(&update, &kept)
        } else {
            self.follow(update.records)
        };
        if self.end < end && (snapshot || self.tail.is_empty()) {
            self.end = end;
            self.lineage.skip_to(end.offset);
        }
        changed.extend(self.adopt(kept, end));
        changed
    }

    /// Returns an update for a copy that ends at `from`: the records from there on, or a snapshot
    /// if the tail starts later or the snapshot is smaller, such as after many versions of one
    /// large record. The records that this copy keeps follow.
    pub fn since(&self, from: Position) -> Update {
        let mut update = self.stored_since(from);
        if from.era <= self.end.era {
            update.records.extend(self.kept_records());
        }
        update
    }

    /// Returns the records that this copy keeps although the store has lost them.
    fn kept_records(&self) -> impl Iterator<Item = Record> {
        self.kept.iter().map(|(key, position)| Record {
            key: key.clone(),
            value: self.value(key).cloned(),
            position: *position,
        })
    }

    /// Returns the part of an update that the store has, too.
    fn stored_since(&self, from: Position) -> Update {
        if self.end <= from {
            return Update {
                snapshot: false,
                records: Vec::new(),
                end: self.end,
            };
        }
        let stored = || {
            let newest = self.newest.values();
            newest.filter(|it| !self.kept.contains_key(&it.key))
        };
        let first = self.end.offset - self.tail.len() as u64;
        if from.era == self.end.era && first <= from.offset {
            let skip = (from.offset - first) as usize;
            let missed = || self.tail.iter().skip(skip);
            if bytes(missed()) <= bytes(stored()) {
                return Update {
                    snapshot: false,
                    records: missed().cloned().collect(),
                    end: self.end,
                };
            }
        }
        let mut records: Vec<Record> = stored().cloned().collect();
        records.sort_by_key(|it| it.position);
        Update {
            snapshot: true,
            records,
            end: self.end,
        }
    }

    fn follow(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut changed = Vec::new();
        for record in records {
            if record.position < self.end {
                continue;
            }
            if self.end < record.position {
                self.clear_tail();
            }
            self.end = record.position.next();
            self.lineage.push(&record);
            self.push_tail(record.clone());
            changed.extend(self.set(record));
        }
        changed
    }

    /// Adds a record to the tail and drops the oldest ones beyond the limits.
    fn push_tail(&mut self, record: Record) {
        self.tail_bytes += bytes([&record].into_iter());
        self.tail.push_back(record);
        while TAIL_RECORDS < self.tail.len()
            || (TAIL_BYTES < self.tail_bytes && 1 < self.tail.len())
        {
            let dropped = self.tail.pop_front();
            self.tail_bytes -= bytes(dropped.iter());
        }
    }

    fn clear_tail(&mut self) {
        self.tail.clear();
        self.tail_bytes = 0;
    }

    /// Applies a snapshot of the copy's era. `kept` are the records that a peer keeps, which the
    /// snapshot lacks.
    fn replace(&mut self, update: &Update, kept: &[Record]) -> Vec<Record> {
        // A snapshot older than this copy contains nothing new.
        if update.end < self.end {
            return Vec::new();
        }
        let gone = self.missing_keys(update, kept);
        let keeps_missing = self.lost_records == LostRecords::Keep;
        let gone = gone.filter(|it| !(keeps_missing && self.kept.contains_key(*it)));
        let gone: Vec<String> = gone.cloned().collect();
        let mut changed = self.remove_all(gone, update.end);
        for record in &update.records {
            // The copy has seen the records before its end, and kept another one over them.
            let seen = record.position < self.end;
            if !(seen && self.kept.contains_key(&record.key)) {
                changed.extend(self.set(record.clone()));
            }
        }
        if self.end < update.end {
            self.clear_tail();
            self.lineage.extend(&update.records);
        }
        changed
    }

    /// Applies the first snapshot after a restore of the store. The store still has the records up
    /// to some offset; the others are new, and records that the copy has from there on are lost.
    fn enter_era(&mut self, update: &Update, kept: &[Record], current: bool) -> Vec<Record> {
        let known = update.records.iter().filter(|it| self.lineage.has(it));
        let restored_end = known.map(|it| it.position.offset + 1).max().unwrap_or(0);
        let is_lost = |key: &String| {
            let position = self.position_of(key);
            position.is_some_and(|it| it.era < self.end.era || restored_end <= it.offset)
        };
        let drops_missing = self.lost_records != LostRecords::Keep || !current;
        let gone = self.missing_keys(update, kept);
        let gone = gone.filter(|it| drops_missing || !is_lost(it));
        let gone: Vec<String> = gone.cloned().collect();
        let is_superseded = |record: &&Record| {
            let older = record.position.offset < restored_end;
            let same = || {
                let known = self.position_of(&record.key);
                known
                    .is_some_and(|it| it.era == self.end.era && it.offset <= record.position.offset)
            };
            let is_known = self.position_of(&record.key).is_some();
            self.lost_records != LostRecords::Drop && older && is_known && !same()
        };
        let (superseded, applied): (Vec<&Record>, Vec<&Record>) =
            update.records.iter().partition(is_superseded);
        let superseded: HashSet<&str> = superseded.iter().map(|it| it.key.as_str()).collect();
        let mut changed = self.remove_all(gone, update.end);
        for record in applied {
            changed.extend(self.set(record.clone()));
        }
        self.previous_end = match current {
            true => self.end,
            false => Position::START,
        };
        self.clear_tail();
        self.lineage.truncate(restored_end);
        self.lineage.extend(&update.records);
        self.end = update.end;
        self.lineage.skip_to(update.end.offset);
        let earlier = self
            .newest
            .values()
            .filter(|it| it.position.era < update.end.era);
        let earlier = earlier.map(|it| (it.key.clone(), it.position));
        let undone = self
            .deleted
            .iter()
            .filter(|it| superseded.contains(it.0.as_str()));
        let undone = undone.map(|(key, position)| (key.clone(), *position));
        self.kept = earlier.chain(undone).collect();
        let kept = &self.kept;
        self.deleted.retain(|key, _| kept.contains_key(key));
        changed
    }

    /// Applies the records that a peer keeps. `seen_end` is the end of the peer's copy: the peer
    /// kept them over all records before it.
    fn adopt(&mut self, kept: Vec<Record>, seen_end: Position) -> Vec<Record> {
        let mut changed = Vec::new();
        if self.lost_records == LostRecords::Drop {
            return changed;
        }
        for record in kept {
            let position = record.position;
            // This copy had the record, and has seen what replaced it since.
            let resolved = position.era == self.previous_end.era
                && position < self.previous_end
                && !self.kept.contains_key(&record.key);
            let outdated = match self.position_of(&record.key) {
                None => false,
                Some(known) if known.era < self.end.era => position <= known,
                Some(known) => seen_end <= known || self.deleted.contains_key(&record.key),
            };
            if resolved || outdated || self.end.era <= position.era {
                continue;
            }
            let value = record.value.clone();
            let before = self.remove(&record.key);
            self.kept.insert(record.key.clone(), position);
            match &value {
                Some(_) => {
                    self.deleted.remove(&record.key);
                    self.newest.insert(record.key.clone(), record.clone());
                }
                None => self.note_deletion(&record.key, position),
            }
            if before.and_then(|it| it.value) != value {
                changed.push(record);
            }
        }
        changed
    }

    /// Returns the position of the latest known record or deletion of a key.
    fn position_of(&self, key: &str) -> Option<Position> {
        let newest = self.newest.get(key).map(|it| it.position);
        newest.or_else(|| self.deleted.get(key).copied())
    }

    /// Iterates over the keys of this copy that a snapshot lacks.
    fn missing_keys(&self, update: &Update, kept: &[Record]) -> impl Iterator<Item = &String> {
        let named = update.records.iter().chain(kept);
        let named: HashSet<String> = named.map(|it| it.key.clone()).collect();
        // Records that were applied ahead may be newer than the snapshot.
        let end = update.end;
        let older = self.newest.values().filter(move |it| it.position < end);
        older
            .map(|it| &it.key)
            .filter(move |it| !named.contains(*it))
    }

    /// Removes keys, and returns their deletions at a position.
    fn remove_all(&mut self, keys: Vec<String>, position: Position) -> Vec<Record> {
        for key in &keys {
            self.remove(key);
            self.note_deletion(key, position);
        }
        let deletion = |key| Record {
            key,
            value: None,
            position,
        };
        keys.into_iter().map(deletion).collect()
    }

    fn remove(&mut self, key: &str) -> Option<Record> {
        self.kept.remove(key);
        self.newest.remove(key)
    }

    fn note_deletion(&mut self, key: &str, position: Position) {
        if self.lost_records == LostRecords::Drop {
            return;
        }
        self.deleted.insert(key.to_owned(), position);
        if MAX_DELETIONS < self.deleted.len() {
            let oldest = self.deleted.iter().min_by_key(|it| it.1);
            let oldest = oldest.map(|it| it.0.clone());
            oldest.map(|it| self.deleted.remove(&it));
        }
    }

    /// Applies a record unless a newer one of its key is known. Returns the record if it changed
    /// something: a record that is known from before a restore of the store gets another position.
    fn set(&mut self, record: Record) -> Option<Record> {
        if let Some(known) = self.newest.get_mut(&record.key) {
            if record.position <= known.position {
                return None;
            }
            if record.position.era != known.position.era && record.value == known.value {
                known.position = record.position;
                self.kept.remove(&record.key);
                return None;
            }
        }
        if record.value.is_some() {
            self.kept.remove(&record.key);
            self.deleted.remove(&record.key);
            self.newest.insert(record.key.clone(), record.clone());
        } else {
            let before = self.remove(&record.key);
            self.note_deletion(&record.key, record.position);
            before?;
        }
        Some(record)
    }
}

fn bytes<'a>(records: impl Iterator<Item = &'a Record>) -> usize {
    let value = |it: &Record| it.value.as_ref().map_or(0, Bytes::len);
    records.map(|it| it.key.len() + value(it)).sum()
}
