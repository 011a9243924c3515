//! Records that other writers left in the tables, and that nothing can be made of.
//!
//! Such a record names nothing to use. In the copy of its table it stands as the removal of its key, so the
//! copy goes on past it, and what was written takes no memory, here or at peers.

use gradeloft_policy::process::mirror::{Record, Update};
use gradeloft_wire::{
    codec,
    frame::Table,
    quarantine::{self, Kept},
};
use slog::warn;

use super::{Node, tables::Source};
use crate::{logs::Topic, metrics::Reason};

/// Longest value in the table of entries, in bytes: the name of an availability zone.
const ZONE_BYTES: usize = 256;
/// Characters of a key that a log line shows: replicas' ids and addresses are shorter.
const KEY_SHOWN: usize = 64;

impl Node {
    /// Replaces what can't be read by removals, and says so.
    pub(super) fn without_foreign(&self, table: Table, update: Update, source: Source) -> Update {
        let records = update.records.into_iter();
        let records = records.map(|it| match self.unreadable(table, &it) {
            Some(reason) => self.dropped(table, it, &reason, source),
            None => it,
        });
        Update {
            records: records.collect(),
            ..update
        }
    }

    /// Why a record names nothing to use, if it does not. The operator's records are its own: nobody else may
    /// write them.
    fn unreadable(&self, table: Table, record: &Record) -> Option<String> {
        let value = record.value.as_ref()?;
        match table {
            Table::Entries if quarantine::request(&record.key).is_some() => {
                let kept = codec::parse::<Kept>(value);
                kept.err().map(|it| format!("{it:?}"))
            }
            Table::Entries if record.key.parse::<std::net::Ipv4Addr>().is_err() => {
                Some("the key is neither an address nor a request".to_owned())
            }
            Table::Entries if ZONE_BYTES < value.len() => Some("the value is too long".to_owned()),
            Table::Entries => std::str::from_utf8(value).err().map(|it| it.to_string()),
            Table::Operator => None,
            Table::Replicas => self.platform.decoder.listing(record).err(),
        }
    }

    fn dropped(&self, table: Table, record: Record, reason: &str, source: Source) -> Record {
        let label = Reason {
            reason: table_name(table),
        };
        self.metrics.unreadable_records.get_or_create(&label).inc();
        if let Some(log) = self.logs.line(Topic::State) {
            let key: String = record.key.chars().take(KEY_SHOWN).collect();
            warn!(log, "unreadable record"; "table" => ?table, "key" => key,
                "offset" => record.offset, "source" => %source, "error" => reason);
        }
        Record {
            value: None,
            ..record
        }
    }
}

/// A table's name in labels.
pub(super) fn table_name(table: Table) -> &'static str {
    match table {
        Table::Entries => "entries",
        Table::Operator => "operator",
        Table::Replicas => "replicas",
    }
}
