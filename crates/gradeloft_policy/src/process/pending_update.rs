//! What a peer announced of a table, while large values of it are still under way.
//!
//! Small values come with the announcement. A copy of the table never claims to go further than what it
//! has taken in without gaps, so records behind a missing value are taken in again with it; until then
//! those that set a value can be used ahead of it ([`Mirror::apply_ahead`](super::mirror::Mirror::apply_ahead)).

use std::collections::HashMap;

use bytes::Bytes;

use super::{
    mirror::{Record, Update},
    transfer::{MAX_VALUE, MissingValue},
};

/// A record that was announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Row {
    /// Its value is still to be fetched.
    Missing(MissingValue),
    /// All of it is here.
    Present(Record),
}

impl Row {
    fn offset(&self) -> u64 {
        match self {
            Row::Missing(want) => want.offset,
            Row::Present(record) => record.offset,
        }
    }
}

/// An update whose values are not all here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingUpdate {
    snapshot: bool,
    /// In order of offset.
    rows: Vec<Row>,
    end: u64,
}

impl PendingUpdate {
    /// What a peer announced: records in order of offset, the newest of every key if it is a `snapshot`,
    /// up to `end`.
    pub fn new(snapshot: bool, rows: Vec<Row>, end: u64) -> PendingUpdate {
        PendingUpdate {
            snapshot,
            rows,
            end,
        }
    }

    /// Offset up to which a copy goes that has taken in all of it.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The first value that is missing.
    pub fn missing(&self) -> Option<&MissingValue> {
        self.rows.iter().find_map(|it| match it {
            Row::Missing(want) => Some(want),
            Row::Present(_) => None,
        })
    }

    /// Whether it announces a value that is too large to be taken from peers.
    pub fn oversized(&self) -> bool {
        let too_large = |it: &Row| matches!(it, Row::Missing(want) if MAX_VALUE < want.length);
        self.rows.iter().any(too_large)
    }

    /// Fills in what `held` gives of a missing record.
    pub fn fill(&mut self, held: impl Fn(&MissingValue) -> Option<Bytes>) {
        for row in &mut self.rows {
            if let Row::Missing(want) = row
                && let Some(value) = held(want)
            {
                *row = Row::Present(Record {
                    key: std::mem::take(&mut want.key),
                    value: Some(value),
                    offset: want.offset,
                });
            }
        }
    }

    /// Values that are here, by offset.
    pub fn values(&self) -> HashMap<u64, Bytes> {
        let here = self.rows.iter().filter_map(|it| match it {
            Row::Present(record) => Some((record.offset, record.value.clone()?)),
            Row::Missing(_) => None,
        });
        here.collect()
    }

    /// Whether it brings nothing more to a copy that goes up to `end`.
    pub fn outdated(&self, end: u64) -> bool {
        self.end <= end && self.missing().is_some()
    }

    /// Takes out what a copy that goes up to `end` can take in: the records before the first missing
    /// value, and a snapshot only once it is whole.
    pub fn take_ready(&mut self, end: u64) -> Option<Update> {
        if !self.snapshot {
            self.rows.retain(|it| end <= it.offset());
        }
        let here = self
            .rows
            .iter()
            .take_while(|it| matches!(it, Row::Present(_)));
        let here = here.count();
        let whole = here == self.rows.len();
        if !whole && (self.snapshot || here == 0) {
            return None;
        }
        let end = self.rows.get(here).map_or(self.end, Row::offset);
        let records = self.rows.drain(..here).filter_map(|it| match it {
            Row::Present(record) => Some(record),
            Row::Missing(_) => None,
        });
        Some(Update {
            snapshot: self.snapshot,
            records: records.collect(),
            end,
        })
    }

    /// Values that can be used although something before them is missing: of each key the last record,
    /// unless that deletes it.
    pub fn usable_ahead(&self) -> Vec<Record> {
        let mut last: HashMap<&str, &Record> = HashMap::new();
        for row in &self.rows {
            if let Row::Present(record) = row {
                last.insert(&record.key, record);
            }
        }
        let mut ahead: Vec<Record> = last
            .into_values()
            .filter(|it| it.value.is_some())
            .cloned()
            .collect();
        ahead.sort_by_key(|it| it.offset);
        ahead
    }
}
