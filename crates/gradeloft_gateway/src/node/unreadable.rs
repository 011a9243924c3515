//! Records of other writers in the tables that can't be decoded.
//!
//! The copy of a table holds a removal of the key in place of such a record, so that the copy
//! advances past the record and the value takes no memory, here or at peers.

use gradeloft_policy::process::mirror::{Record, Update};
use gradeloft_wire::{
    codec,
    frame::Table,
    quarantine::{self, SuspectRecord},
};
use slog::warn;

use super::{Node, tables::Source};
use crate::{logs::Topic, metrics::Reason};

/// Longest name of an availability zone in the table of entries, in bytes.
const MAX_ZONE_BYTES: usize = 256;
/// Largest number of requests that a replica runs at once: datagrams count them in 16 bits.
const MAX_SLOTS: u32 = u16::MAX as u32;
/// Most characters of a key in a log line: replicas' ids and addresses are shorter.
const MAX_LOGGED_KEY: usize = 64;

impl Node {
    /// Replaces unreadable records by removals, and logs them.
    pub(super) fn replace_unreadable(
        &self,
        table: Table,
        update: Update,
        source: Source,
    ) -> Update {
        let records = update.records.into_iter();
        let records = records.map(|it| match self.unreadable_reason(table, &it) {
            Some(reason) => self.replace_by_removal(table, it, &reason, source),
            None => it,
        });
        Update {
            records: records.collect(),
            ..update
        }
    }

    /// Returns the reason why a record is unreadable, if it is. The operator's table has no other
    /// writers.
    fn unreadable_reason(&self, table: Table, record: &Record) -> Option<String> {
        let value = record.value.as_ref()?;
        match table {
            Table::Entries if quarantine::parse_key(&record.key).is_some() => {
                let kept = codec::decode_body::<SuspectRecord>(value);
                kept.err().map(|it| format!("{it:?}"))
            }
            Table::Entries if record.key.parse::<std::net::Ipv4Addr>().is_err() => {
                Some("the key is neither an address nor a suspect".to_owned())
            }
            Table::Entries if MAX_ZONE_BYTES < value.len() => {
                Some("the value is too long".to_owned())
            }
            Table::Entries => std::str::from_utf8(value).err().map(|it| it.to_string()),
            Table::Operator => None,
            Table::Replicas => match self.platform.decoder.listing(record) {
                Ok(listing) if MAX_SLOTS < listing.slots => {
                    Some("more requests at once than entries can count".to_owned())
                }
                listing => listing.err(),
            },
        }
    }

    /// Logs an unreadable record, and returns the removal that replaces it.
    fn replace_by_removal(
        &self,
        table: Table,
        record: Record,
        reason: &str,
        source: Source,
    ) -> Record {
        let label = Reason {
            reason: table_name(table),
        };
        self.metrics.unreadable_records.get_or_create(&label).inc();
        if let Some(log) = self.logs.line(Topic::State) {
            let key: String = record.key.chars().take(MAX_LOGGED_KEY).collect();
            warn!(log, "unreadable record"; "table" => ?table, "key" => key,
                "position" => %record.position, "source" => %source, "error" => reason);
        }
        Record {
            value: None,
            ..record
        }
    }
}

/// Returns a table's name in metric labels.
pub(super) fn table_name(table: Table) -> &'static str {
    match table {
        Table::Entries => "entries",
        Table::Operator => "operator",
        Table::Replicas => "replicas",
    }
}
