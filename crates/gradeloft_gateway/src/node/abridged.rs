//! The operator's records without what only entries need.
//!
//! A configuration of thousands of routes is several hundred kilobytes, and an agent needs of it which
//! services there are. Agents of an availability zone share the links of its entries with requests, so an
//! entry abridges a large record once and gives agents that.

use std::collections::HashMap;

use bytes::Bytes;
use gradeloft_policy::process::mirror::{Record, Update};
use gradeloft_wire::frame::Table;
use slog::warn;

use super::{Node, tables::index};
use crate::{logs::Topic, settings::Role};

/// Records up to this size go as they are, in bytes: they take 4 ms of an agent's link of 9.4 Mbit/s.
const SMALL: usize = 4 << 10;

/// Abridged records, on both sides.
#[derive(Debug, Default)]
pub(super) struct Brief {
    /// What agents get of the newest large record of each key, and the record's offset.
    given: HashMap<String, (u64, Bytes)>,
    /// Records before this offset may have come abridged.
    whole_from: u64,
}

impl Node {
    /// Whether this process asks for abridged records.
    pub(super) fn takes_brief(&self) -> bool {
        matches!(self.settings.borrow().role, Role::Agent { .. })
    }

    /// What a peer gets that has seen a table up to `from`; `None` for one that needs whole records while
    /// this process has only abridged ones.
    pub(super) fn given(&self, table: Table, from: u64, brief: bool) -> Option<Update> {
        let mut update = self.copies.borrow()[index(table)].since(from);
        if table != Table::Operator {
            return Some(update);
        }
        if brief {
            for record in &mut update.records {
                self.abridge(record);
            }
            return Some(update);
        }
        let whole_from = self.brief.borrow().whole_from;
        let whole = update.records.iter().all(|it| whole_from <= it.offset);
        whole.then_some(update)
    }

    /// Requests wait while an entry parses a large record, 3.6 ms of a whole core for 0.99 MB (release
    /// build, five runs), so it does so for the first agent only.
    fn abridge(&self, record: &mut Record) {
        let Some(value) = &record.value else {
            return;
        };
        if value.len() <= SMALL {
            return;
        }
        let mut brief = self.brief.borrow_mut();
        if let Some((offset, value)) = brief.given.get(&record.key)
            && *offset == record.offset
        {
            record.value = Some(value.clone());
            return;
        }
        let abridged = self.platform.decoder.abridge(record);
        let value = match abridged {
            Ok(abridged) => abridged.unwrap_or_else(|| value.clone()),
            Err(error) => {
                if let Some(log) = self.logs.line(Topic::State) {
                    warn!(log, "record not abridged"; "key" => &record.key, "error" => error);
                }
                value.clone()
            }
        };
        let kept = (record.offset, value.clone());
        brief.given.insert(record.key.clone(), kept);
        record.value = Some(value);
    }

    /// A peer brought what the copy of a table holds now, up to its end or, ahead of that, to `seen`: to
    /// this process it may have given it abridged.
    pub(super) fn took_from_peer(&self, table: Table, seen: Option<u64>) {
        if table == Table::Operator && self.takes_brief() {
            let end = self.end(table).max(seen.unwrap_or(0));
            let mut brief = self.brief.borrow_mut();
            brief.whole_from = brief.whole_from.max(end);
        }
    }

    /// How far peers are told that the copy of a table goes: an agent that read nothing from the store
    /// since an entry gave it abridged records has nothing for those that need whole ones.
    pub(super) fn offered(&self, table: Table) -> u64 {
        let end = self.end(table);
        let abridged = table == Table::Operator && end <= self.brief.borrow().whole_from;
        if abridged { 0 } else { end }
    }
}
