//! Changes of the platform's tables, applied to an entry's state.

use std::{collections::HashSet, rc::Rc};

use gradeloft_platform::fleet::OperatorRecord;
use gradeloft_policy::{
    clock::Time,
    process::{
        document::{Config, Document},
        mirror::Record,
        replicas::ReplicaKey,
    },
    version::named_versions::{NamedVersions, VersionTimes},
};
use gradeloft_wire::{frame::Table, quarantine};
use slog::{info, warn};

use super::{Entry, OldestVersions};
use crate::{logs::Topic, metrics::Reason, node::tables::Source};

/// Time before the deadline for new weights at which requests begin to prefer replicas with the new
/// weights, if one has capacity, in milliseconds. The last replicas switch by this time.
const VERSION_PREFERRED_MS: u64 = 1_600;
/// Time before the deadline for new weights at which requests begin to require the new weights, in
/// milliseconds. A request is sent to a replica where it begins within its objective of 0.4 s, and
/// all entries learn of a new version within 0.3 s. A value of 1,600 leaves replicas with older
/// weights idle for 0.8 s while requests are refused.
const VERSION_REQUIRED_MS: u64 = 800;
/// Time before the deadline for new weights at which requests that wait at a replica with older
/// weights are withdrawn, in milliseconds. The withdrawal takes 0.1 s, even over a slow link, and
/// this entry may learn of the version 0.3 s late.
const VERSION_WITHDRAWN_MS: u64 = 500;

impl Entry {
    /// Returns the oldest versions of weights on which a request to a service may start now.
    pub fn oldest_versions(&self, service: &str) -> OldestVersions {
        let now = self.node.clock.now();
        let oldest = |named: &NamedVersions| OldestVersions {
            preferred: named.oldest_preferred(now),
            allowed: named.oldest_allowed(now),
        };
        self.with_target_versions(service, oldest)
            .unwrap_or_default()
    }

    /// Returns the time by which a request that waits at a replica has to begin there; `None` for
    /// no limit.
    pub fn start_deadline(&self, service: &str, replica: ReplicaKey) -> Option<Time> {
        let held = self.version_of(replica)?;
        self.with_target_versions(service, |it| it.start_deadline(held))
            .flatten()
    }

    /// Reads the target versions of a service's model, if there are any.
    fn with_target_versions<T>(
        &self,
        service: &str,
        get: impl FnOnce(&NamedVersions) -> T,
    ) -> Option<T> {
        let config = self.config.borrow();
        let service = config.as_ref()?.service(service)?;
        let weights = self.weights.borrow();
        let named = service.models.iter().find_map(|it| weights.get(it));
        named.map(get)
    }

    /// Applies changed records of a table.
    pub(super) fn apply_changes(&self, table: Table, records: &[Record]) {
        match table {
            Table::Entries => self.apply_entries(records),
            Table::Operator => {
                // An entry that gets records from outside the region announces them at once, as
                // entries of a large region send regular datagrams only once a second.
                let brought = match self.node.source() {
                    Source::Store => true,
                    Source::Peer(peer) => !self.node.is_near_peer(peer),
                    Source::Own => false,
                };
                self.announce_pending
                    .set(brought || self.announce_pending.get());
                records.iter().for_each(|it| self.apply_order(it));
            }
            Table::Replicas => {
                records.iter().for_each(|it| self.apply_listing(it));
                if self.node.is_initial_load() {
                    self.await_counts();
                }
            }
        }
    }

    /// Treats the requests at all replicas as unknown, as other entries sent requests before this one
    /// started, and takes this entry's share of the slots.
    fn await_counts(&self) {
        let now = self.node.clock.now();
        self.replicas.borrow_mut().await_counts(now);
        self.split_slots(now);
    }

    fn apply_entries(&self, records: &[Record]) {
        let is_request = |it: &&Record| quarantine::parse_key(&it.key).is_some();
        self.apply_suspect_records(records.iter().filter(is_request));
        let own = self.node.settings().address;
        let mut roster = self.roster.borrow_mut();
        for record in records.iter().filter(|it| it.value.is_some()) {
            let zone = record.value.as_deref();
            let zone = zone.and_then(|it| std::str::from_utf8(it).ok());
            let address = record.key.parse().ok().filter(|it| *it != own);
            if let Some(address) = address {
                roster.learn(address, zone);
            }
        }
    }

    fn apply_order(&self, record: &Record) {
        match self.node.platform.decoder.operator_record(record) {
            Ok(OperatorRecord::Config(document)) => {
                let written = self.node.written_at(Table::Operator, record);
                self.configure(*document, written);
            }
            Ok(OperatorRecord::Weights { model, version }) => {
                let written = self.node.written_at(Table::Operator, record);
                self.set_target_version(model, version, written);
            }
            Ok(OperatorRecord::Evacuation { zone, active }) => self.evacuate(&zone, active),
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                if let Some(log) = self.node.logs.line(Topic::State) {
                    warn!(log, "unreadable record"; "key" => &record.key, "error" => error);
                }
            }
        }
    }

    fn evacuate(&self, zone: &str, active: bool) {
        let changed = self.replicas.borrow_mut().evacuate(zone, active);
        if changed && let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "evacuation changed"; "zone" => zone, "active" => active,
                "source" => %self.node.source());
        }
        let zones = self.replicas.borrow().evacuated().count();
        self.node.metrics.evacuated.set(zones as i64);
    }

    fn configure(&self, document: Document, written: Time) {
        let version = document.version;
        if version <= self.config_version() {
            return;
        }
        if let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "configuration applied"; "version" => version,
                "before" => self.config_version(), "routes" => document.routes.len(),
                "keys" => %document.keys, "source" => %self.node.source(),
                "learned_ms" => self.node.clock.now().since(written).as_millis() as u64);
        }
        let accepts_none = |it: &Rc<Config>| it.document.keys.accept_none();
        if document.keys.accept_none()
            && !self.config.borrow().as_ref().is_some_and(accepts_none)
            && let Some(log) = self.node.logs.line(Topic::State)
        {
            warn!(log, "no API key is left"; "version" => version);
        }
        let routes: HashSet<Rc<str>> = document
            .routes
            .iter()
            .map(|it| Rc::clone(&it.name))
            .collect();
        self.caller_ages
            .borrow_mut()
            .retain(|it| routes.contains(it));
        *self.config.borrow_mut() = Some(Rc::new(Config::new(document)));
        self.node.metrics.config.set(version as i64);
    }

    fn set_target_version(&self, model: String, version: u64, written: Time) {
        let now = self.node.clock.now();
        // A version that was set before this process started may be due already.
        let set_before_start = self.node.is_initial_load() || self.config.borrow().is_none();
        let version_ms = self.node.settings().version_ms;
        let before_end = |ms: u64| match set_before_start {
            true => now,
            false => written.after_ms(version_ms.saturating_sub(ms)),
        };
        let times = VersionTimes {
            preferred: before_end(VERSION_PREFERRED_MS),
            due: before_end(VERSION_REQUIRED_MS),
            expired: before_end(VERSION_WITHDRAWN_MS),
        };
        let mut weights = self.weights.borrow_mut();
        let named = weights.entry(model.clone()).or_default();
        named.discard_superseded(now);
        if !named.add(version, times) {
            return;
        }
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            info!(log, "weights named"; "model" => model, "version" => version,
                "source" => %self.node.source(),
                "learned_ms" => now.since(written).as_millis() as u64,
                "due_ms" => times.due.since(now).as_millis() as u64);
        }
    }

    fn apply_listing(&self, record: &Record) {
        let mut replicas = self.replicas.borrow_mut();
        if record.value.is_none() {
            let trust = self.node.trust_in_removal(Table::Replicas, record);
            replicas.unlist(&record.key, trust);
            let reason = trust.name();
            let removals = &self.node.metrics.removals;
            removals.get_or_create(&Reason { reason }).inc();
            if let Some(log) = self.node.logs.line(Topic::State) {
                info!(log, "replica unlisted"; "replica" => &record.key, "trust" => ?trust,
                    "position" => %record.position, "source" => %self.node.source(),
                    "read_state" => ?self.node.read_state(Table::Replicas));
            }
            return;
        }
        match self.node.platform.decoder.listing(record) {
            Ok(listing) => {
                let key_before = replicas.key(&listing.id);
                let before = replicas.state(&listing.id);
                let after = (listing.draining, listing.version);
                if before != Some(after)
                    && let Some(log) = self.node.logs.line(Topic::State)
                {
                    info!(log, "replica listed"; "replica" => &*listing.id,
                        "service" => &*listing.service, "address" => %listing.address,
                        "draining" => listing.draining, "version" => ?listing.version,
                        "position" => %record.position);
                }
                let near = self.node.near(&listing.zone);
                let warmup_left_ms = listing.warmup_left_ms;
                let key = replicas.apply_written(listing, record.position.era);
                if let Some(replica) = replicas.get_mut(key) {
                    replica.near = near;
                    replica
                        .throttle
                        .set_warmup_left(warmup_left_ms, self.node.clock.now());
                }
                drop(replicas);
                if let Some(ended) = key_before.filter(|it| *it != key) {
                    self.replica_restarted(ended);
                }
            }
            Err(error) => {
                if let Some(log) = self.node.logs.line(Topic::State) {
                    warn!(log, "unreadable record"; "key" => &record.key, "error" => error);
                }
            }
        }
    }
}
