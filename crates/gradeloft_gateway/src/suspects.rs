//! Operator's access to the stored requests and parts of prompts that are suspected of crashing replicas.

use bytes::Bytes;
use gradeloft_platform::{
    Fault,
    fleet::{Put, Store},
};
use gradeloft_policy::process::mirror::Record;
use gradeloft_wire::{
    codec,
    frame::Table,
    quarantine::{self, Crash, Subject, SuspectRecord},
};

/// A suspect with its record in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSuspect {
    /// The request or part, as in log lines.
    pub subject: Subject,
    /// Stored record.
    pub record: SuspectRecord,
}

impl StoredSuspect {
    fn of(record: &Record) -> Option<StoredSuspect> {
        let subject = quarantine::parse_key(&record.key)?;
        let record = codec::decode_body(record.value.as_deref()?).ok()?;
        Some(StoredSuspect { subject, record })
    }

    /// Returns the time of the last crash, in Unix milliseconds.
    pub fn last_unix_ms(&self) -> u64 {
        let ages = self.record.crashes.iter().map(|it| u64::from(it.age_ms));
        self.record
            .written_ms
            .saturating_sub(ages.min().unwrap_or(0))
    }

    /// Returns the number of crashes that count against the subject.
    pub fn crashes(&self) -> usize {
        self.record.crashes.iter().filter(|it| !it.void).count()
    }
}

/// Lists all suspects in the store, those with the most crashes first.
pub async fn list(store: &dyn Store) -> Result<Vec<StoredSuspect>, Fault> {
    let table = store.snapshot(Table::Entries).await?;
    let mut suspects: Vec<StoredSuspect> =
        table.records.iter().filter_map(StoredSuspect::of).collect();
    suspects.sort_by_key(|it| (std::cmp::Reverse(it.crashes()), it.subject));
    Ok(suspects)
}

/// Lifts the quarantine of a subject at all entries by voiding its crashes so far. Returns `false`
/// if the store has no record of it.
pub async fn lift(store: &dyn Store, subject: Subject) -> Result<bool, Fault> {
    let suspects = list(store).await?;
    let Some(suspect) = suspects.into_iter().find(|it| it.subject == subject) else {
        return Ok(false);
    };
    let void = |it: Crash| Crash { void: true, ..it };
    let record = SuspectRecord {
        crashes: suspect.record.crashes.into_iter().map(void).collect(),
        ..suspect.record
    };
    let put = Put {
        key: quarantine::key(subject),
        value: Some(Bytes::from(codec::encode_body(&record))),
    };
    store.write(vec![put]).await?;
    Ok(true)
}
