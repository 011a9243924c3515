//! A copy of one keyed table of the platform's store.
//!
//! The store numbers the records of a table without gaps. A copy is brought up to date by the
//! records that follow its end, or by a snapshot after records that it has not seen were dropped.
//! It can be read from another process in the same two ways, so processes that the store does not
//! serve follow those that it does.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::Bytes;

/// Records kept for peers that follow; a peer further behind gets a snapshot.
const TAIL: usize = 512;
/// Bytes of these records, of which the last one is kept in any case: four configurations of the largest
/// size seen, 0.9 MB, on an instance with 128 MB of memory.
const TAIL_BYTES: usize = 4 << 20;

/// A record of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// Position in the table.
    pub offset: u64,
}

/// Part of a table, by which a copy is brought up to date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// Whether `records` are the newest of every key, in place of the records since some offset.
    pub snapshot: bool,
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset of the record that comes next.
    pub end: u64,
}

impl Update {
    /// Bytes of its keys and values.
    pub fn bytes(&self) -> usize {
        bytes(self.records.iter())
    }
}

/// A copy of a table.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Newest record of each key. Deleted keys are absent.
    newest: HashMap<String, Record>,
    /// The records before `end`, without gaps.
    tail: VecDeque<Record>,
    /// Bytes of the tail.
    tail_bytes: usize,
    end: u64,
    loaded: bool,
}

impl Mirror {
    /// Offset of the first record not seen yet.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Whether it has ever been brought up to date.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Newest value of a key.
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key)?.value.as_ref()
    }

    /// Newest record of every key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.newest.values()
    }

    /// The record at an offset, if it is the newest of its key or one of the last.
    pub fn at(&self, offset: u64) -> Option<&Record> {
        let recent = self.tail.iter().find(|it| it.offset == offset);
        recent.or_else(|| self.newest.values().find(|it| it.offset == offset))
    }

    /// Whether a record at an offset would bring something newer than what is known of its key.
    pub fn lacks(&self, key: &str, offset: u64) -> bool {
        let known = self.newest.get(key);
        self.end <= offset && known.is_none_or(|it| it.offset < offset)
    }

    /// Takes in values from beyond the end, with records missing before them; gives those that changed
    /// something. The end stays, since the copy lacks something there, and what is taken in is taken in
    /// again with the records before it, which then changes nothing. Deletions have to wait for that: a
    /// deleted key leaves no trace here by which an older value of it could be told.
    pub fn apply_ahead(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut changed = Vec::new();
        for record in records {
            if record.value.is_some() && self.lacks(&record.key, record.offset) {
                changed.extend(self.set(record));
            }
        }
        changed
    }

    /// Takes an update in; gives the records that changed something, deletions included.
    pub fn apply(&mut self, update: Update) -> Vec<Record> {
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

    /// What brings a copy that ends at `from` up to date: the records since, or the newest of every key
    /// if those are fewer bytes, as after many versions of one large record.
    pub fn since(&self, from: u64) -> Update {
        let first = self.end - self.tail.len() as u64;
        if first <= from {
            let skip = (from - first) as usize;
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
        records.sort_by_key(|it| it.offset);
        Update {
            snapshot: true,
            records,
            end: self.end,
        }
    }

    fn follow(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut changed = Vec::new();
        for record in records {
            if record.offset < self.end {
                continue;
            }
            if self.end < record.offset {
                self.clear_tail();
            }
            self.end = record.offset + 1;
            self.keep(record.clone());
            changed.extend(self.set(record));
        }
        changed
    }

    /// Adds a record to the tail, which lets go of the oldest ones.
    fn keep(&mut self, record: Record) {
        self.tail_bytes += bytes([&record].into_iter());
        self.tail.push_back(record);
        while TAIL < self.tail.len() || (TAIL_BYTES < self.tail_bytes && 1 < self.tail.len()) {
            let dropped = self.tail.pop_front();
            self.tail_bytes -= bytes(dropped.iter());
        }
    }

    fn clear_tail(&mut self) {
        self.tail.clear();
        self.tail_bytes = 0;
    }

    fn replace(&mut self, update: &Update) -> Vec<Record> {
        // A snapshot older than this copy tells nothing new.
        if update.end < self.end {
            return Vec::new();
        }
        let named: HashSet<&str> = update.records.iter().map(|it| it.key.as_str()).collect();
        // What was taken in ahead may be newer than the snapshot.
        let older = self.newest.values().filter(|it| it.offset < update.end);
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
                offset: update.end,
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

    /// Takes a record in unless a newer one of its key is known.
    fn set(&mut self, record: Record) -> Option<Record> {
        let newer = self.newest.get(&record.key);
        if newer.is_some_and(|it| record.offset <= it.offset) {
            return None;
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
