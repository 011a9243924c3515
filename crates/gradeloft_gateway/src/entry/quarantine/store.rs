//! Records of suspect requests in the platform's store.

use std::{rc::Rc, time::SystemTime};

use bytes::Bytes;
use gradeloft_platform::fleet::Put;
use gradeloft_policy::{
    clock::Time, process::mirror::Record, request::quarantine::QUARANTINE_CRASHES,
};
use gradeloft_wire::{
    codec,
    frame::Table,
    quarantine::{self, Crash, Subject, Suspect, SuspectRecord},
};
use rand::Rng;
use slog::warn;

use crate::{entry::Entry, logs::Topic, node::tables::Source};

/// Number of crashes from which a request is stored. The requests blamed for a single crash are
/// mostly innocent, and each write to the store is billed.
pub(super) const STORE_AT_CRASHES: usize = 2;
/// Delay before an entry writes a part that it has blamed, in milliseconds.
pub(super) const PART_WRITE_DELAY_MS: u64 = 1_000;
/// Bounds of the random delay, in milliseconds, before an entry writes a suspect that other entries
/// reported and that is still missing in the store. The entry that observed the crash writes the
/// suspect at once.
pub(super) const LEARNED_WRITE_DELAY_MS: (u64, u64) = (2_000, 4_000);
/// Bounds of the random delay, in milliseconds, after which an entry writes suspects that a restore of
/// the store may have lost, although it is not the writer of its region.
const LOST_WRITE_DELAY_MS: (u64, u64) = (5_000, 20_000);
/// Delay before a failed write is retried, in milliseconds.
const WRITE_RETRY_MS: u64 = 700;
/// Bounds of the random delay, in milliseconds, before an entry deletes an expired record. They are
/// far apart, so that most entries find the record deleted already.
const DELETE_DELAY_MS: (u64, u64) = (1_000, 120_000);
/// Interval between counts of the quarantined subjects, each of which takes a look at all pairs of subjects,
/// in milliseconds.
const COUNT_INTERVAL_MS: u64 = 1_000;
/// Maximum number of records per write.
const MAX_RECORDS_PER_WRITE: usize = 32;

impl Entry {
    /// Expires old suspects, and schedules the deletion of their records.
    pub(super) fn expire_suspects(&self, now: Time) {
        let mut known = self.quarantine.known.borrow_mut();
        if known.is_empty() {
            return;
        }
        known.expire(now);
        if self.quarantine.count_at.get() <= now || known.is_empty() {
            self.quarantine
                .count_at
                .set(now.after_ms(COUNT_INTERVAL_MS));
            let quarantined = known.quarantined();
            self.node.metrics.quarantined.set(quarantined as i64);
        }
        let stored = self.quarantine.stored.borrow();
        let mut pending_writes = self.quarantine.pending_writes.borrow_mut();
        for subject in stored.keys().filter(|it| !known.contains(**it)) {
            let (from, to) = DELETE_DELAY_MS;
            let wait = || now.after_ms(self.node.with_rng(|it| it.random_range(from..to)));
            pending_writes.entry(*subject).or_insert_with(wait);
        }
    }

    /// Applies changed records of the store.
    pub(in crate::entry) fn apply_suspect_records<'a>(
        &self,
        records: impl Iterator<Item = &'a Record>,
    ) {
        let now = self.node.clock.now();
        for record in records {
            let Some(subject) = quarantine::parse_key(&record.key) else {
                continue;
            };
            let value = record.value.as_deref();
            let Some(stored) = value.and_then(|it| codec::decode_body::<SuspectRecord>(it).ok())
            else {
                self.quarantine.stored.borrow_mut().remove(&subject);
                continue;
            };
            let written_ago_ms = unix_ms().saturating_sub(stored.written_ms);
            let written_ago_ms = written_ago_ms.min(u64::from(u32::MAX)) as u32;
            let aged = |it: &Crash| Crash {
                age_ms: it.age_ms.saturating_add(written_ago_ms),
                ..*it
            };
            let suspect = Suspect {
                subject,
                crashes: stored.crashes.iter().map(aged).collect(),
            };
            self.quarantine
                .stored
                .borrow_mut()
                .insert(subject, stored.crashes);
            self.receive_suspects(&[suspect], Source::Store, now);
        }
    }

    /// Schedules the writes of suspects after a restore of the store, which loses their latest
    /// records. The writers of the regions write first, so that the others find the records written.
    pub(super) fn rewrite_lost_suspects(&self, now: Time) {
        let quarantine = &self.quarantine;
        let era = self.node.era(Table::Entries);
        if quarantine.era.replace(era) != era {
            let (from, to) = LOST_WRITE_DELAY_MS;
            let delay_ms = self.node.with_rng(|it| it.random_range(from..to));
            quarantine.rewrite_at.set(Some(now.after_ms(delay_ms)));
        }
        let Some(rewrite_at) = quarantine.rewrite_at.get() else {
            return;
        };
        if now < rewrite_at && !self.is_region_writer() {
            return;
        }
        quarantine.rewrite_at.set(None);
        let known = quarantine.known.borrow();
        let mut pending_writes = quarantine.pending_writes.borrow_mut();
        for subject in known.subjects() {
            pending_writes.entry(subject).or_insert(now);
        }
    }

    /// Writes records that are due and missing in the store.
    pub(super) fn write_due_suspects(self: &Rc<Entry>, now: Time) {
        let quarantine = &self.quarantine;
        if quarantine.write_in_progress.get() || quarantine.pending_writes.borrow().is_empty() {
            return;
        }
        let pending_writes = quarantine.pending_writes.borrow();
        let due = pending_writes.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Subject> = due.map(|it| *it.0).take(MAX_RECORDS_PER_WRITE).collect();
        drop(pending_writes);
        let records = due.iter().filter_map(|it| self.missing_record(*it, now));
        let records: Vec<Put> = records.collect();
        quarantine
            .pending_writes
            .borrow_mut()
            .retain(|it, _| !due.contains(it));
        if records.is_empty() {
            return;
        }
        quarantine.write_in_progress.set(true);
        let writing = Rc::clone(self).write_suspects(due, records);
        self.node.scope.spawn(writing);
    }

    /// Returns the write that brings the store's record of a request up to date, if one is needed.
    fn missing_record(&self, subject: Subject, now: Time) -> Option<Put> {
        let known = self.quarantine.known.borrow();
        let stored = self.quarantine.stored.borrow();
        let stored = stored.get(&subject);
        let key = quarantine::key(subject);
        let Some(suspect) = known.snapshot(subject, now) else {
            // A stored suspect that has expired here is deleted.
            return stored.map(|_| Put { key, value: None });
        };
        let store_at_crashes = match subject {
            Subject::Part(_) => QUARANTINE_CRASHES,
            Subject::Request(_) => STORE_AT_CRASHES,
        };
        let worth_storing = store_at_crashes <= known.crashes(subject) || stored.is_some();
        let has = |stored: &Vec<Crash>, crash: &Crash| {
            let same = |it: &&Crash| (it.start, it.void) == (crash.start, crash.void);
            stored.iter().any(|it| same(&it))
        };
        let mut crashes = suspect.crashes.iter();
        let missing = crashes.any(|crash| !stored.is_some_and(|it| has(it, crash)));
        if !worth_storing || !missing {
            return None;
        }
        let value = codec::encode_body(&SuspectRecord {
            written_ms: unix_ms(),
            crashes: suspect.crashes,
        });
        Some(Put {
            key,
            value: Some(Bytes::from(value)),
        })
    }

    async fn write_suspects(self: Rc<Entry>, subjects: Vec<Subject>, records: Vec<Put>) {
        self.node.count_store_call(Table::Entries);
        let written = self.node.platform.store.write(records).await;
        self.quarantine.write_in_progress.set(false);
        let Err(fault) = written else {
            return;
        };
        self.node.metrics.store_faults.inc();
        if let Some(log) = self.node.logs.line(Topic::Dependency) {
            warn!(log, "suspects not kept"; "count" => subjects.len(), "fault" => %fault);
        }
        let again = self.node.clock.now().after_ms(WRITE_RETRY_MS);
        let mut pending_writes = self.quarantine.pending_writes.borrow_mut();
        for subject in subjects {
            pending_writes.entry(subject).or_insert(again);
        }
    }
}

/// Returns the wall-clock time in Unix milliseconds, by which entries that start later compute the
/// age of a crash.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
