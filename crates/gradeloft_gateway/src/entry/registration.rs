//! Registration of entries in the table of entries, where entries that start later find their
//! peers.
//!
//! All entries write to one partition of the store, which applies writes one at a time. So one
//! entry of each region writes the rows of all entries there in one batch, and the others write
//! their own row only if it stays missing.

use std::{collections::HashMap, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_platform::{Fault, fleet::Put};
use gradeloft_policy::{clock::Time, process::roster, rendezvous};
use gradeloft_wire::{datagram::StoreAccess, frame::Table};
use rand::Rng;
use slog::warn;

use super::Entry;
use crate::logs::Topic;

/// Pause between checks for entries without a row.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Time after its first contact during which an entry writes no rows of other entries, in
/// milliseconds: until then it knows only a few entries of its region, and often ranks first among
/// them.
const SETTLE_MS: u64 = 1_000;
/// Shortest time after which an entry writes its own row, in milliseconds. The time doubles with
/// each failed write.
const FIRST_PAUSE_MS: u64 = 4_000;
/// Longest time after which an entry writes its own row, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 16_000;

impl Entry {
    /// Keeps this entry in the table of entries, and all entries of its region while it is the
    /// region's writer.
    pub(super) async fn register(self: Rc<Entry>) {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut own_due = self.jittered_deadline(pause_ms);
        // Eras of the store in which this entry wrote rows.
        let mut written = HashMap::new();
        let mut era = self.node.era(Table::Entries);
        loop {
            actix_rt::time::sleep(CHECK_PAUSE).await;
            let current_era = self.node.era(Table::Entries);
            if std::mem::replace(&mut era, current_era) != current_era {
                // The rows that a restore of the store lost are written by the regions' writers first.
                own_due = self.jittered_deadline(FIRST_PAUSE_MS);
            }
            let is_writer = self.is_region_writer();
            if !is_writer && self.node.clock.now() < own_due {
                continue;
            }
            let own = self.node.settings().address;
            let mut missing = self.without_row(&written);
            missing.retain(|it| is_writer || it.0 == own);
            if missing.is_empty() {
                continue;
            }
            match self.write_rows(&missing).await {
                Ok(era) => written.extend(missing.into_iter().map(|it| (it.0, era))),
                Err(fault) => {
                    self.node.metrics.store_faults.inc();
                    if let Some(log) = self.node.logs.line(Topic::Dependency) {
                        warn!(log, "registration failed"; "rows" => missing.len(), "fault" => %fault);
                    }
                    pause_ms = (2 * pause_ms).min(LONGEST_PAUSE_MS);
                    own_due = self.jittered_deadline(pause_ms);
                }
            }
        }
    }

    /// Returns whether this entry writes the rows of its whole region: it does if it ranks
    /// first among the region's entries that the store serves.
    pub(super) fn is_region_writer(&self) -> bool {
        let now = self.node.clock.now();
        let settled = |it: Time| it.after_ms(SETTLE_MS) <= now;
        if !self.first_contact.get().is_some_and(settled) {
            return false;
        }
        let own = roster::hash(&self.node.settings().address);
        let near = |zone: &str| self.node.near(zone);
        let roster = self.roster.borrow();
        let others = roster.served(near, now);
        let others = others.map(|it| roster::hash(&it));
        self.node.access() == StoreAccess::Served
            && rendezvous::rank(Table::Entries as u64, own, others) == 0
    }

    /// Returns the live entries of this region without a row, including this one, with their
    /// availability zones; none before the table has been read.
    fn without_row(&self, written: &HashMap<Ipv4Addr, u32>) -> Vec<(Ipv4Addr, String)> {
        if !self.node.loaded(Table::Entries) {
            return Vec::new();
        }
        let settings = self.node.settings();
        let now = self.node.clock.now();
        let era = self.node.era(Table::Entries);
        let roster = self.roster.borrow();
        let others = roster.statuses(|it| self.node.near(it), now);
        let others = others.map(|(address, it)| (address, it.zone.to_owned()));
        let all = others.chain([(settings.address, settings.zone.clone())]);
        let has_row = |address: &Ipv4Addr| {
            // A restore of the store loses the rows that were written in the era before.
            let written = written.get(address);
            written.is_some_and(|it| era <= *it)
                || self.node.has_key(Table::Entries, &address.to_string())
        };
        all.filter(|it| !has_row(&it.0)).collect()
    }

    async fn write_rows(&self, rows: &[(Ipv4Addr, String)]) -> Result<u32, Fault> {
        self.node.count_store_call(Table::Entries);
        let rows = rows.iter().map(|(address, zone)| Put {
            key: address.to_string(),
            value: Some(Bytes::from(zone.clone())),
        });
        self.node.platform.store.write(rows.collect()).await
    }

    /// Returns a random time one to two pauses from now, so that entries which start together write
    /// at different times.
    fn jittered_deadline(&self, pause_ms: u64) -> Time {
        let jittered = self
            .node
            .with_rng(|it| it.random_range(pause_ms..=2 * pause_ms));
        self.node.clock.now().after_ms(jittered)
    }
}
