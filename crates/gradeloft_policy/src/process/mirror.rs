//! A copy of one keyed table of the platform's store.
//!
//! The store numbers the records of a table without gaps. A copy is updated with the records that
//! follow its end, or with a snapshot if the store has dropped records that the copy lacks or was
//! restored since. Another
//! process can update its copy from this one in the same two ways, so processes without access to
//! the store copy the table from processes with access.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::Bytes;
use gradeloft_wire::position::Position;

/// Number of recent records kept for peers; a peer that is further behind gets a snapshot.
const TAIL_RECORDS: usize = 512;
/// Limit for the size of the recent records kept for peers, in bytes; the latest record is always
/// kept. The limit allows four configurations of 0.9 MB on an instance with 128 MB of memory.
const TAIL_BYTES: usize = 4 << 20;

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
    /// Records, ascending by position.
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
}

impl Mirror {
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
    /// restore of the store, a copy continues with a snapshot.
    pub fn apply(&mut self, update: Update) -> Vec<Record> {
        let continues = update.snapshot || update.end.era == self.end.era;
        if update.end.era < self.end.era || !continues {
            return Vec::new();
        }
        let known = !update.records.is_empty() || update.snapshot;
        self.loaded |= known;
        let changed = if update.snapshot {
            self.replace(&update)
        } else {
            self.follow(update.records)
        };
        if self.end < update.end && (update.snapshot || self.tail.is_empty()) {
            self.end = update.end;
        }
        changed
    }

    /// Returns an update for a copy that ends at `from`: the records from there on, or a snapshot
    /// if the tail starts later or the snapshot is smaller, such as after many versions of one
    /// large record.
    pub fn since(&self, from: Position) -> Update {
        if self.end <= from {
            return Update {
                snapshot: false,
                records: Vec::new(),
                end: self.end,
            };
        }
        let first = self.end.offset - self.tail.len() as u64;
        if from.era == self.end.era && first <= from.offset {
            let skip = (from.offset - first) as usize;
            let missed = || self.tail.iter().skip(skip);
            if bytes(missed()) <= bytes(self.newest.values()) {
                return Update {
                    snapshot: false,
                    records: missed().cloned().collect(),
                    end: self.end,
                };
            }
        }
        let mut records: Vec<Record> = self.newest.values().cloned().collect();
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
            self.keep(record.clone());
            changed.extend(self.set(record));
        }
        changed
    }

    /// Adds a record to the tail and drops the oldest ones beyond the limits.
    fn keep(&mut self, record: Record) {
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

    fn replace(&mut self, update: &Update) -> Vec<Record> {
        // A snapshot older than this copy contains nothing new.
        if update.end < self.end {
            return Vec::new();
        }
        let named: HashSet<&str> = update.records.iter().map(|it| it.key.as_str()).collect();
        // Records that were applied ahead may be newer than the snapshot.
        let older = self.newest.values().filter(|it| it.position < update.end);
        let gone: Vec<String> = older
            .map(|it| &it.key)
            .filter(|it| !named.contains(it.as_str()))
            .cloned()
            .collect();
        let mut changed = Vec::new();
        for key in gone {
            self.newest.remove(&key);
            changed.push(Record {
                key,
                value: None,
                position: update.end,
            });
        }
        for record in &update.records {
            changed.extend(self.set(record.clone()));
        }
        if self.end < update.end {
            self.clear_tail();
        }
        changed
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
                return None;
            }
        }
        if record.value.is_some() {
            self.newest.insert(record.key.clone(), record.clone());
        } else {
            self.newest.remove(&record.key)?;
        }
        Some(record)
    }
}

fn bytes<'a>(records: impl Iterator<Item = &'a Record>) -> usize {
    let value = |it: &Record| it.value.as_ref().map_or(0, Bytes::len);
    records.map(|it| it.key.len() + value(it)).sum()
}
