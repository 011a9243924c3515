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
                self.tail.clear();
            }
            self.end = record.offset + 1;
            self.tail.push_back(record.clone());
            if TAIL < self.tail.len() {
                self.tail.pop_front();
            }
            changed.extend(self.set(record));
        }
        changed
    }

    fn replace(&mut self, update: &Update) -> Vec<Record> {
        // A snapshot older than this copy tells nothing new.
        if update.end < self.end {
            return Vec::new();
        }
        let named: HashSet<&str> = update.records.iter().map(|it| it.key.as_str()).collect();
        let gone: Vec<String> = self
            .newest
            .keys()
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
            self.tail.clear();
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
