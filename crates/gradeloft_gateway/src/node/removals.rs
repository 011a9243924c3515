//! Trust in removals of replicas' records, which an outage of the store may have caused.
//!
//! A removal that this process can't judge by its own reads is doubtful. Until the doubt is over,
//! the process asks readers of the table whose reads succeeded all the time.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::Record,
        replicas::StoreTrust,
        store_reads::{self, RESTORED_MS, ReadPeriod, Removal},
    },
};
use gradeloft_wire::{frame::Table, position::Position};
use slog::info;

use super::{
    Node,
    tables::{ReadState, index},
};
use crate::logs::Topic;

/// Pause between two calls to the same reader, and before the first one to a reader of another
/// region.
const VERIFY_PAUSE: Duration = Duration::from_millis(200);
/// Pause before each call to the other readers about their periods. After the first one, a process that
/// has just started knows some peers.
const JOIN_PAUSE: Duration = Duration::from_millis(400);

impl Node {
    /// Returns whether a removal may be an error of the store. A doubtful one is confirmed later if
    /// a peer's reads show that the store was available.
    pub fn trust_in_removal(self: &Rc<Node>, table: Table, record: &Record) -> StoreTrust {
        if self.removal_confirmed.get() {
            return StoreTrust::Sound;
        }
        let now = self.clock.now();
        let removal = self.removal(table, record);
        if self.entering_era.get() {
            // Replicas that a restored store lacks write their records again.
            let doubtful = StoreTrust::Doubtful(now.after_ms(RESTORED_MS));
            return doubtful.of_written(removal.written, RESTORED_MS);
        }
        let trust = removal.trust(self.read_state(table).since(), self.peer_reads(table), now);
        if let StoreTrust::Doubtful(until) = trust
            && now < until
        {
            let mut doubts = self.doubtful_removals.borrow_mut();
            doubts.note(record.clone(), removal, until);
            drop(doubts);
            self.verify_removals(table);
        }
        trust
    }

    fn removal(&self, table: Table, record: &Record) -> Removal {
        let now = self.clock.now();
        let known = self.write_times.borrow()[index(table)].known_since(record.position);
        Removal {
            // The removals that a snapshot shows are at its end.
            end: record.position.next().min(self.end(table)),
            written: known.map_or(now, |it| it.min(now)),
        }
    }

    /// Returns whether this process vouches for its copy of a table, as its own reads have succeeded
    /// for long.
    pub fn vouches(&self, table: Table) -> bool {
        store_reads::vouches(self.read_state(table).since(), self.clock.now())
    }

    fn peer_reads(&self, table: Table) -> Option<ReadPeriod> {
        self.peer_reads.borrow()[index(table)]
    }

    /// Notes that a peer vouched for its copy of a table, in reply to a call made at
    /// `requested_at`.
    pub(super) fn note_vouched(&self, table: Table, end: Position, requested_at: Time) {
        let period = ReadPeriod::vouched(requested_at, self.clock.now(), end);
        self.extend_peer_reads(table, period);
        let own_since = match self.read_state(table) {
            ReadState::Reading(own_since) => own_since,
            _ => return,
        };
        if let Some(since) = self.peer_reads(table).and_then(|it| it.joined(own_since)) {
            self.set_read_state(table, ReadState::Reading(since));
        }
    }

    /// Asks the other readers of a table until the period of this process's reads continues theirs, or
    /// is long enough by itself.
    pub(super) fn join_reads(self: &Rc<Node>, table: Table) {
        if table != Table::Replicas {
            return;
        }
        let node = Rc::clone(self);
        self.scope.spawn(async move {
            while !node.vouches(table) && node.read_state(table).since().is_some() {
                actix_rt::time::sleep(JOIN_PAUSE).await;
                for peer in node.other_readers(table) {
                    node.fetch_records(peer, table).await;
                    if node.vouches(table) {
                        return;
                    }
                }
            }
        });
    }

    fn other_readers(&self, table: Table) -> Vec<Ipv4Addr> {
        let election = self.election.borrow().clone();
        election.map_or(Vec::new(), |it| it.readers(table))
    }

    /// Keeps the period of this process's own reads, before it leaves reading a table to others.
    pub(super) fn keep_own_reads(&self, table: Table) {
        let Some(since) = self.read_state(table).since() else {
            return;
        };
        let read_at = self.write_times.borrow()[index(table)].read_at();
        let own = ReadPeriod {
            since,
            until: read_at.unwrap_or_default(),
            end: self.end(table),
        };
        self.extend_peer_reads(table, own);
    }

    fn extend_peer_reads(&self, table: Table, newer: ReadPeriod) {
        let known = &mut self.peer_reads.borrow_mut()[index(table)];
        *known = Some(known.map_or(newer, |it| it.extended(newer)));
    }

    /// Updates the state of reading a table when a read has succeeded, before it is applied: after a
    /// stall, this process does not know whether the store was available, and a process that begins
    /// to read continues the reads of others.
    pub(super) fn continue_reads(&self, table: Table, stalled: bool) {
        if stalled && self.read_state(table).since().is_some() {
            self.set_read_state(table, ReadState::Starting);
        }
        if self.read_state(table) != ReadState::Starting {
            return;
        }
        let confirmed = self.confirmed_until(table);
        let now = self.clock.now();
        let since = store_reads::continued_since(self.peer_reads(table), confirmed, now);
        if let Some(since) = since {
            self.set_read_state(table, ReadState::Reading(since));
        }
    }

    /// Asks the readers of a table about the doubtful removals.
    fn verify_removals(self: &Rc<Node>, table: Table) {
        if self.verifiers.get() != 0 {
            return;
        }
        for peer in self.other_readers(table) {
            self.verifiers.set(self.verifiers.get() + 1);
            let node = Rc::clone(self);
            self.scope.spawn(async move {
                node.verify_with(peer, table).await;
                node.verifiers.set(node.verifiers.get() - 1);
            });
        }
    }

    /// Fetches records from a reader of a table until no removal is doubtful.
    async fn verify_with(self: &Rc<Node>, peer: Ipv4Addr, table: Table) {
        if !self.is_near_peer(peer) {
            actix_rt::time::sleep(VERIFY_PAUSE).await;
        }
        while self.doubtful_removals.borrow().any(self.clock.now()) {
            self.fetch_records(peer, table).await;
            actix_rt::time::sleep(VERIFY_PAUSE).await;
        }
    }

    /// Applies the doubtful removals that are sound by now.
    pub(super) fn confirm_removals(&self, table: Table) {
        if table != Table::Replicas {
            return;
        }
        let now = self.clock.now();
        let own_since = self.read_state(table).since();
        let is_listed = |key: &str| self.has_key(table, key);
        let mut doubts = self.doubtful_removals.borrow_mut();
        let confirmed = doubts.take_confirmed(own_since, self.peer_reads(table), is_listed, now);
        drop(doubts);
        for record in &confirmed {
            if let Some(log) = self.logs.line(Topic::State) {
                info!(log, "removal confirmed"; "replica" => &record.key,
                    "position" => %record.position);
            }
        }
        self.removal_confirmed.set(true);
        self.notify_observer(table, confirmed);
        self.removal_confirmed.set(false);
    }
}
