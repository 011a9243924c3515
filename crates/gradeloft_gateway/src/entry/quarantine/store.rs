//! What is kept in the platform's store of requests under which replicas ended.

use std::{rc::Rc, time::SystemTime};

use bytes::Bytes;
use gradeloft_platform::fleet::Put;
use gradeloft_policy::{clock::Time, process::mirror::Record};
use gradeloft_wire::{
    codec,
    frame::Table,
    id::Fingerprint,
    quarantine::{self, Kept, Suspect},
};
use rand::Rng;
use slog::warn;

use crate::{entry::Entry, logs::Topic, node::tables::Source};

/// Crashes from which on a request is kept in the store: what a single end blames are mostly innocents, and each
/// write is paid for.
pub(super) const KEPT_AT: usize = 2;
/// Time after which an entry writes what it heard of and the store still lacks, in milliseconds, drawn between
/// the two: who saw it itself writes at once.
pub(super) const KEEP_HEARD_MS: (u64, u64) = (2_000, 4_000);
/// Pause after a write that failed, in milliseconds.
const KEEP_AGAIN_MS: u64 = 700;
/// Time within which one of the entries deletes a record that is too old to matter, in milliseconds: long, so
/// that most of them find it gone.
const DELETE_MS: (u64, u64) = (1_000, 120_000);
/// Records in one write.
const KEPT_AT_ONCE: usize = 32;
impl Entry {
    pub(super) fn forget_suspects(&self, now: Time) {
        let mut known = self.quarantine.known.borrow_mut();
        if known.is_empty() {
            return;
        }
        known.expire(now);
        self.node
            .metrics
            .quarantined
            .set(known.quarantined() as i64);
        let kept = self.quarantine.kept.borrow();
        let mut unkept = self.quarantine.unkept.borrow_mut();
        for request in kept.keys().filter(|it| !known.contains(**it)) {
            let (from, to) = DELETE_MS;
            let wait = || now.after_ms(self.node.with_rng(|it| it.random_range(from..to)));
            unkept.entry(*request).or_insert_with(wait);
        }
    }

    /// The store's records of requests changed.
    pub(in crate::entry) fn apply_suspect_records<'a>(
        &self,
        records: impl Iterator<Item = &'a Record>,
    ) {
        let now = self.node.clock.now();
        for record in records {
            let Some(request) = quarantine::request(&record.key) else {
                continue;
            };
            let value = record.value.as_deref();
            let Some(kept) = value.and_then(|it| codec::parse::<Kept>(it).ok()) else {
                self.quarantine.kept.borrow_mut().remove(&request);
                continue;
            };
            let age_ms = unix_ms().saturating_sub(kept.crashed_ms);
            let suspect = Suspect {
                request,
                crashes: kept.crashes.clone(),
                age_ms: age_ms.min(u64::from(u32::MAX)) as u32,
            };
            self.quarantine
                .kept
                .borrow_mut()
                .insert(request, kept.crashes);
            self.receive_suspects(&[suspect], Source::Store, now);
        }
    }

    /// Writes what is due and the store lacks.
    pub(super) fn keep_suspects(self: &Rc<Entry>, now: Time) {
        let quarantine = &self.quarantine;
        if quarantine.writing.get() || quarantine.unkept.borrow().is_empty() {
            return;
        }
        let unkept = quarantine.unkept.borrow();
        let due = unkept.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Fingerprint> = due.map(|it| *it.0).take(KEPT_AT_ONCE).collect();
        drop(unkept);
        let rows = due.iter().filter_map(|it| self.row(*it, now));
        let rows: Vec<Put> = rows.collect();
        quarantine
            .unkept
            .borrow_mut()
            .retain(|it, _| !due.contains(it));
        if rows.is_empty() {
            return;
        }
        quarantine.writing.set(true);
        let writing = Rc::clone(self).write_suspects(due, rows);
        self.node.scope.spawn(writing);
    }

    /// The record that the store lacks of a request, if it lacks one.
    fn row(&self, request: Fingerprint, now: Time) -> Option<Put> {
        let known = self.quarantine.known.borrow();
        let kept = self.quarantine.kept.borrow();
        let kept = kept.get(&request);
        let key = quarantine::key(request);
        let Some(word) = known.snapshot(request, now) else {
            // What is kept and known to nobody any more is too old to matter.
            return kept.map(|_| Put { key, value: None });
        };
        let worth = KEPT_AT <= known.crashes(request) || kept.is_some();
        let lacking = word
            .crashes
            .iter()
            .any(|it| !kept.is_some_and(|kept| kept.contains(it)));
        if !worth || !lacking {
            return None;
        }
        let value = codec::body(&Kept {
            crashed_ms: unix_ms().saturating_sub(u64::from(word.age_ms)),
            crashes: word.crashes,
        });
        Some(Put {
            key,
            value: Some(Bytes::from(value)),
        })
    }

    async fn write_suspects(self: Rc<Entry>, requests: Vec<Fingerprint>, rows: Vec<Put>) {
        self.node.count_call(Table::Entries);
        let written = self.node.platform.store.write(rows).await;
        self.quarantine.writing.set(false);
        let Err(fault) = written else {
            return;
        };
        self.node.metrics.store_faults.inc();
        if let Some(log) = self.node.logs.line(Topic::Dependency) {
            warn!(log, "suspects not kept"; "count" => requests.len(), "fault" => %fault);
        }
        let again = self.node.clock.now().after_ms(KEEP_AGAIN_MS);
        let mut unkept = self.quarantine.unkept.borrow_mut();
        for request in requests {
            unkept.entry(request).or_insert(again);
        }
    }
}

/// The time of day, in Unix milliseconds: how old a crash is has to be told to entries that start later.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
