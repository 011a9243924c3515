//! A table update from a peer whose large values are still being fetched.
//!
//! Small values are part of the announcement. The end of a copy never covers a gap, so records that
//! follow a missing value are applied again after it arrives. Until then, following records that
//! set a value can be applied ahead of it
//! ([`Mirror::apply_ahead`](super::mirror::Mirror::apply_ahead)).

use std::collections::HashMap;

use bytes::Bytes;
use gradeloft_wire::position::Position;

use super::{
    mirror::{Record, Update},
    transfer::{MAX_VALUE, MissingValue},
};

/// An announced record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Row {
    /// The value is still to be fetched.
    Missing(MissingValue),
    /// The record is complete.
    Present(Record),
}

impl Row {
    fn position(&self) -> Position {
        match self {
            Row::Missing(missing) => missing.position,
            Row::Present(record) => record.position,
        }
    }
}

/// An update with values that may be missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingUpdate {
    snapshot: bool,
    /// Records, ascending by position, then those of earlier eras that the peer keeps although the
    /// store has lost them.
    rows: Vec<Row>,
    end: Position,
}

impl PendingUpdate {
    /// Creates an update from the records that a peer announced, in the order of an
    /// [`Update`] and up to `end`. With `snapshot`, these are the latest records of all keys.
    pub fn new(snapshot: bool, rows: Vec<Row>, end: Position) -> PendingUpdate {
        PendingUpdate {
            snapshot,
            rows,
            end,
        }
    }

    /// Returns the end of a copy to which all of the update was applied.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Returns the first missing value.
    pub fn missing(&self) -> Option<&MissingValue> {
        self.rows.iter().find_map(|it| match it {
            Row::Missing(missing) => Some(missing),
            Row::Present(_) => None,
        })
    }

    /// Returns whether the update announces a value that is too large to be fetched from peers.
    pub fn oversized(&self) -> bool {
        let too_large =
            |it: &Row| matches!(it, Row::Missing(missing) if MAX_VALUE < missing.length);
        self.rows.iter().any(too_large)
    }

    /// Fills in the missing values that `held` returns.
    pub fn fill(&mut self, held: impl Fn(&MissingValue) -> Option<Bytes>) {
        for row in &mut self.rows {
            if let Row::Missing(missing) = row
                && let Some(value) = held(missing)
            {
                *row = Row::Present(Record {
                    key: std::mem::take(&mut missing.key),
                    value: Some(value),
                    position: missing.position,
                });
            }
        }
    }

    /// Returns the present values by position.
    pub fn values(&self) -> HashMap<Position, Bytes> {
        let present = self.rows.iter().filter_map(|it| match it {
            Row::Present(record) => Some((record.position, record.value.clone()?)),
            Row::Missing(_) => None,
        });
        present.collect()
    }

    /// Returns whether the update is incomplete and contains nothing new for a copy that ends at
    /// `end`.
    pub fn outdated(&self, end: Position) -> bool {
        let is_stored = |it: &MissingValue| it.position.era == self.end.era;
        self.end <= end && self.missing().is_some_and(is_stored)
    }

    /// Removes and returns the part that can be applied to a copy that ends at `end`: the records
    /// before the first missing value, or a whole snapshot.
    pub fn take_ready(&mut self, end: Position) -> Option<Update> {
        if !self.snapshot {
            let era = self.end.era;
            self.rows
                .retain(|it| end <= it.position() || it.position().era < era);
        }
        let present = self
            .rows
            .iter()
            .take_while(|it| matches!(it, Row::Present(_)));
        let present = present.count();
        let whole = present == self.rows.len();
        if !whole && (self.snapshot || present == 0) {
            return None;
        }
        let missing = self.rows.get(present).map(Row::position);
        let missing = missing.filter(|it| it.era == self.end.era);
        let end = missing.unwrap_or(self.end);
        let records = self.rows.drain(..present).filter_map(|it| match it {
            Row::Present(record) => Some(record),
            Row::Missing(_) => None,
        });
        Some(Update {
            snapshot: self.snapshot,
            records: records.collect(),
            end,
        })
    }

    /// Returns the records that can be applied although values before them are missing: the last
    /// present record of each key, unless it is a deletion.
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
        ahead.sort_by_key(|it| it.position);
        ahead
    }
}
