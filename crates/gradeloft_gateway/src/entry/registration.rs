//! How entries make themselves known to later ones.
//!
//! All entries write to one partition of the store, which takes one write after the other. So one entry of each region writes
//! the rows of all entries there together, and the others write their own only if nobody has done so.

use std::{collections::HashSet, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_platform::{Fault, fleet::Put};
use gradeloft_policy::{clock::Time, process::roster, rendezvous};
use gradeloft_wire::{datagram::Access, frame::Table};
use rand::Rng;
use slog::warn;

use super::Entry;
use crate::logs::Topic;

/// Pause between looks for entries without a row.
const LOOK: Duration = Duration::from_millis(500);
/// Time after its first contact for which an entry writes nobody's row, in milliseconds: until then it knows a few of its
/// region only, and ranks first among these more often than not.
const SETTLED_MS: u64 = 1_000;
/// Time after which an entry writes its own row, in milliseconds, at the shortest. It doubles with each attempt.
const OWN_ROW_MS: u64 = 4_000;
/// Longest pause between such attempts, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 16_000;

impl Entry {
    /// Keeps this entry in the table of entries, and those of its region while it is the one that registers them.
    pub(super) async fn register(self: Rc<Entry>) {
        let mut pause_ms = OWN_ROW_MS;
        let mut own_due = self.drawn_pause(pause_ms);
        let mut written = HashSet::new();
        loop {
            actix_rt::time::sleep(LOOK).await;
            let registers = self.registers_region();
            if !registers && self.node.clock.now() < own_due {
                continue;
            }
            let own = self.node.settings().address;
            let mut missing = self.without_row(&written);
            missing.retain(|it| registers || it.0 == own);
            if missing.is_empty() {
                continue;
            }
            match self.write_rows(&missing).await {
                Ok(()) => written.extend(missing.into_iter().map(|it| it.0)),
                Err(fault) => {
                    self.node.metrics.store_faults.inc();
                    if let Some(log) = self.node.logs.line(Topic::Dependency) {
                        warn!(log, "not registered"; "rows" => missing.len(), "fault" => %fault);
                    }
                    pause_ms = (2 * pause_ms).min(LONGEST_PAUSE_MS);
                    own_due = self.drawn_pause(pause_ms);
                }
            }
        }
    }

    /// Whether it is this entry that writes the rows of all entries of its region: the first of those that read the table.
    fn registers_region(&self) -> bool {
        let now = self.node.clock.now();
        let settled = |it: Time| it.after_ms(SETTLED_MS) <= now;
        if !self.contact.get().is_some_and(settled) {
            return false;
        }
        let own = roster::hash(&self.node.settings().address);
        let near = |zone: &str| self.node.near(zone);
        let roster = self.roster.borrow();
        let others = roster.served(near, now);
        let others = others.map(|it| roster::hash(&it));
        self.node.access() == Access::Served
            && rendezvous::rank(Table::Entries as u64, own, others) == 0
    }

    /// Entries of this region that are alive and have no row, this one among them, with their availability zones.
    /// Nobody is known to have none until the table has been read.
    fn without_row(&self, written: &HashSet<Ipv4Addr>) -> Vec<(Ipv4Addr, String)> {
        if !self.node.loaded(Table::Entries) {
            return Vec::new();
        }
        let settings = self.node.settings();
        let now = self.node.clock.now();
        let roster = self.roster.borrow();
        let others = roster.statuses(|it| self.node.near(it), now);
        let others = others.map(|(address, it)| (address, it.zone.to_owned()));
        let all = others.chain([(settings.address, settings.zone.clone())]);
        let has_row = |address: &Ipv4Addr| {
            written.contains(address) || self.node.has_key(Table::Entries, &address.to_string())
        };
        all.filter(|it| !has_row(&it.0)).collect()
    }

    async fn write_rows(&self, rows: &[(Ipv4Addr, String)]) -> Result<(), Fault> {
        self.node.count_call(Table::Entries);
        let rows = rows.iter().map(|(address, zone)| Put {
            key: address.to_string(),
            value: Some(Bytes::from(zone.clone())),
        });
        self.node.platform.store.write(rows.collect()).await
    }

    /// A time that is a pause away, drawn so that entries which start together don't write together.
    fn drawn_pause(&self, pause_ms: u64) -> Time {
        let drawn = self
            .node
            .with_rng(|it| it.random_range(pause_ms..=2 * pause_ms));
        self.node.clock.now().after_ms(drawn)
    }
}
