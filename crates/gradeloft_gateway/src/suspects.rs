//! Operator's access to the stored requests that are suspected of crashing replicas.

use bytes::Bytes;
use gradeloft_platform::{
    Fault,
    fleet::{Put, Store},
};
use gradeloft_policy::process::mirror::Record;
use gradeloft_wire::{
    codec,
    frame::Table,
    id::Fingerprint,
    quarantine::{self, Crash, SuspectRecord},
};

/// A suspect request with its record in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSuspect {
    /// Fingerprint of the request, as in log lines.
    pub request: Fingerprint,
    /// Stored record.
    pub record: SuspectRecord,
}

impl StoredSuspect {
    fn of(record: &Record) -> Option<StoredSuspect> {
        let request = quarantine::parse_key(&record.key)?;
        let record = codec::decode_body(record.value.as_deref()?).ok()?;
        Some(StoredSuspect { request, record })
    }

    /// Returns the number of crashes that count against the request.
    pub fn crashes(&self) -> usize {
        self.record.crashes.iter().filter(|it| !it.void).count()
    }
}

/// Lists all suspects in the store, those with the most crashes first.
pub async fn list(store: &dyn Store) -> Result<Vec<StoredSuspect>, Fault> {
    let table = store.snapshot(Table::Entries).await?;
    let mut suspects: Vec<StoredSuspect> =
        table.records.iter().filter_map(StoredSuspect::of).collect();
    suspects.sort_by_key(|it| (std::cmp::Reverse(it.crashes()), it.request));
    Ok(suspects)
}

/// Lifts the quarantine of a request at all entries by voiding its crashes so far. Returns `false`
/// if the store has no record of it.
pub async fn lift(store: &dyn Store, request: Fingerprint) -> Result<bool, Fault> {
    let suspects = list(store).await?;
    let Some(suspect) = suspects.into_iter().find(|it| it.request == request) else {
        return Ok(false);
    };
    let void = |it: Crash| Crash { void: true, ..it };
    let record = SuspectRecord {
        crashes: suspect.record.crashes.into_iter().map(void).collect(),
        ..suspect.record
    };
    let put = Put {
        key: quarantine::key(request),
        value: Some(Bytes::from(codec::encode_body(&record))),
    };
    store.write(vec![put]).await?;
    Ok(true)
}
