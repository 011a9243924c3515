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

mod restore;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use bytes::Bytes;
use gradeloft_wire::position::Position;

use super::lineage::Lineage;

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
