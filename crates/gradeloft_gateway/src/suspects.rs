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
    quarantine::{self, Crash, Kept},
};

/// A suspect request with its record in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSuspect {
    /// Fingerprint of the request, as in log lines.
    pub request: Fingerprint,
    /// Stored record.
    pub kept: Kept,
}

impl StoredSuspect {
    fn of(record: &Record) -> Option<StoredSuspect> {
        let request = quarantine::request(&record.key)?;
        let kept = codec::decode_body(record.value.as_deref()?).ok()?;
        Some(StoredSuspect { request, kept })
    }

    /// Returns the number of crashes that count against the request.
    pub fn crashes(&self) -> usize {
        self.kept.crashes.iter().filter(|it| !it.void).count()
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
    let kept = Kept {
        crashes: suspect.kept.crashes.into_iter().map(void).collect(),
        ..suspect.kept
    };
    let put = Put {
        key: quarantine::key(request),
        value: Some(Bytes::from(codec::encode_body(&kept))),
    };
    store.write(vec![put]).await?;
    Ok(true)
}
