//! Fingerprints of a table's recent records, by which a copy recognizes the records that a store
//! still has after a restore.

use std::{
    collections::{VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use super::mirror::Record;

/// Number of records that are remembered: more than 2,300 replicas write when all restart at once,
/// three records each.
const MAX_RECORDS: usize = 8_192;

/// Fingerprints of the records before the end of a copy, in the order of their offsets.
///
/// ```
/// use gradeloft_policy::process::{lineage::Lineage, mirror::Record};
/// use gradeloft_wire::position::Position;
/// let record = |key: &str, offset| Record {
///     key: key.to_owned(),
///     value: None,
///     position: Position::new(0, offset),
/// };
/// let mut lineage = Lineage::default();
/// lineage.push(&record("a", 2));
/// assert!(lineage.has(&record("a", 2)));
/// assert!(!lineage.has(&record("b", 2)));
/// assert!(!lineage.has(&record("a", 1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lineage {
    /// Fingerprints up to `end`; `None` for records that the copy has not seen.
    fingerprints: VecDeque<Option<u64>>,
    /// Offset that follows the last fingerprint.
    end: u64,
}

impl Lineage {
    /// Adds the record at its offset, which is not before the end.
    pub fn push(&mut self, record: &Record) {
        self.skip_to(record.position.offset);
        self.fingerprints.push_back(Some(fingerprint(record)));
        self.end += 1;
        self.evict();
    }

    /// Adds the records at and after the end, ascending by position.
    pub fn extend(&mut self, records: &[Record]) {
        let new = records.iter().filter(|it| self.end <= it.position.offset);
        let new: Vec<&Record> = new.collect();
        new.into_iter().for_each(|it| self.push(it));
    }

    /// Moves the end to an offset, past records that the copy has not seen.
    pub fn skip_to(&mut self, offset: u64) {
        let skipped = offset.saturating_sub(self.end);
        let kept = skipped.min(MAX_RECORDS as u64) as usize;
        self.fingerprints.extend(std::iter::repeat_n(None, kept));
        self.end += skipped;
        self.evict();
    }

    /// Removes the fingerprints from an offset on.
    pub fn truncate(&mut self, offset: u64) {
        let removed = self.end.saturating_sub(offset);
        let rest = (self.fingerprints.len() as u64).saturating_sub(removed);
        self.fingerprints.truncate(rest as usize);
        self.end -= removed;
    }

    /// Returns whether the copy has seen this record at its offset.
    pub fn has(&self, record: &Record) -> bool {
        let first = self.end - self.fingerprints.len() as u64;
        let idx = record.position.offset.checked_sub(first);
        let known = idx.and_then(|it| self.fingerprints.get(it as usize));
        known.is_some_and(|it| *it == Some(fingerprint(record)))
    }

    fn evict(&mut self) {
        let excess = self.fingerprints.len().saturating_sub(MAX_RECORDS);
        self.fingerprints.drain(..excess);
    }
}

/// Returns a hash of a record's key and value, which is not stable across processes.
fn fingerprint(record: &Record) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.key.hash(&mut hasher);
    record.value.hash(&mut hasher);
    hasher.finish()
}
