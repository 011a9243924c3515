//! Datagrams from entries, and the decision when to request records from an entry or the store.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    rc::{Rc, Weak},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time, process::roster::MAX_ENTRIES, rendezvous, version::waves::SwitchProgress,
};
use gradeloft_wire::{
    datagram::{Sender, StoreAccess, SwitchedReplicas},
    frame::Table,
    position::Position,
};
use rand::Rng;

use super::{Agent, KnownEntry, Version};
use crate::node::Election;

/// Silence of all entries with access to the store after which an agent reads the operator's table
/// from the store itself, in milliseconds: three intervals between datagrams of an entry.
const SERVED_ENTRY_TIMEOUT_MS: u64 = 1_600;
/// Time after a replica's first response within which an entry may send the agent its first
/// datagram, in milliseconds. Until a datagram arrives the agent has nothing to do, so a longer
/// time would leave an added replica empty.
const FIRST_DATAGRAM_MS: u64 = 250;
/// Time after its start at which an agent reads the store itself even if its replica does not
/// respond, in milliseconds.
const LATEST_FIRST_READ_MS: u64 = 3_000;
/// Time over which agents that start together and know no entry spread their first store reads, in
/// milliseconds.
const FIRST_READ_SPREAD_MS: f64 = 1_000.0;
/// Spread of first reads if known entries send no records, as the entries may have none yet, in
/// milliseconds.
const FIRST_READ_SPREAD_WITH_ENTRIES_MS: f64 = 8_000.0;
/// Maximum backoff after failed reads of the store: hundreds of agents read it at once if no entry
/// is reachable.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Forgets the entry that has been silent for longest if there is no room for another one; returns
/// whether it did.
fn make_room(entries: &mut HashMap<Ipv4Addr, KnownEntry>) -> bool {
    if entries.len() < MAX_ENTRIES {
        return false;
    }
    let silent = entries
        .iter()
        .min_by_key(|(address, it)| (it.received_at, **address))
        .map(|(address, _)| *address);
    silent.is_some_and(|it| entries.remove(&it).is_some())
}

impl Agent {
    /// Returns whether to request records now from an entry whose copy of the operator's table ends
    /// at `end`: if this agent has no copy or does not know a version that the entry reports, or if
    /// the entry's copy is newer and a refresh is due.
    fn needs_records(&self, switched: &[SwitchedReplicas], end: Position, now: Time) -> bool {
        let target = self.target();
        let newer = |it: &SwitchedReplicas| {
            target.as_ref().is_none_or(|own| {
                rendezvous::hash(own.model.as_bytes()) == it.model && own.number < it.version
            })
        };
        let empty = !self.node.loaded(Table::Operator);
        if empty || switched.iter().any(newer) {
            return true;
        }
        let mut refresh = self.refresh.get();
        let due =
            self.node.end(Table::Operator) < end && self.node.with_rng(|it| refresh.due(now, it));
        self.refresh.set(refresh);
        due
    }

    /// Returns whether this agent's service runs the model with a hash.
    fn serves_model(&self, hash: u64) -> bool {
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.services);
        let mut models = services
            .filter(|it| *it.name == *self.service)
            .flat_map(|it| &it.models);
        models.any(|it| rendezvous::hash(it.as_bytes()) == hash)
    }

    fn update_progress(&self, models: &[SwitchedReplicas]) {
        let mut switch_progress = self.switch_progress.borrow_mut();
        for model in models.iter().filter(|it| self.serves_model(it.model)) {
            let progress = SwitchProgress {
                version: model.version,
                replicas: usize::from(model.replicas),
            };
            switch_progress
                .entry(model.model)
                .or_default()
                .update(progress);
        }
    }

    /// Returns the number of replicas that accept requests with a version, as last reported by an
    /// entry.
    pub fn switched_replicas(&self, version: &Version) -> usize {
        let model = rendezvous::hash(version.model.as_bytes());
        let switch_progress = self.switch_progress.borrow();
        switch_progress
            .get(&model)
            .map_or(0, |it| it.replicas_with(version.number))
    }

    /// Returns whether to read the operator's table from the store although no entry has sent it
    /// yet. `served` is whether an entry with access to the store is known.
    fn first_read_due(&self, served: bool, now: Time) -> bool {
        let fraction = self.first_read_fraction.get();
        let fraction = fraction.unwrap_or_else(|| self.node.with_rng(Rng::random));
        self.first_read_fraction.set(Some(fraction));
        if served {
            let spread_ms = (fraction * FIRST_READ_SPREAD_WITH_ENTRIES_MS) as u64;
            return Time::ZERO.after_ms(LATEST_FIRST_READ_MS + spread_ms) <= now;
        }
        let spread_ms = (fraction * FIRST_READ_SPREAD_MS) as u64;
        let first_response = self.first_response_at.get();
        let replica_waited =
            first_response.is_some_and(|it| it.after_ms(FIRST_DATAGRAM_MS + spread_ms) <= now);
        replica_waited || Time::ZERO.after_ms(LATEST_FIRST_READ_MS + spread_ms) <= now
    }

    pub(super) async fn receive_datagrams(self: Rc<Agent>) {
        loop {
            let (from, datagram) = self.node.next_datagram().await;
            self.node.detect_stall();
            if let Sender::Entry {
                store, switched, ..
            } = datagram.sender
            {
                let received_at = self.node.clock.now();
                self.node
                    .note_peer_copies(datagram.ends, datagram.unconfirmed_ms);
                // Datagrams that were queued in the socket while this process was paused are
                // outdated.
                let current = self.node.datagrams_are_current();
                let mut is_new = false;
                if current {
                    self.update_progress(&switched);
                    let near = self.node.near(&datagram.zone);
                    let mut entries = self.entries.borrow_mut();
                    let known = entries.get(&from);
                    let known = known.filter(|it| it.incarnation == datagram.incarnation);
                    is_new = known.is_none();
                    let entry = KnownEntry {
                        incarnation: datagram.incarnation,
                        first_received_at: known.map_or(received_at, |it| it.first_received_at),
                        received_at,
                        store,
                        near,
                    };
                    if is_new && make_room(&mut entries) {
                        self.node.count_unkept("entries", 1);
                    }
                    entries.insert(from, entry);
                }
                let end = datagram.ends[Table::Operator as usize];
                let (ends, kept) = (datagram.ends, datagram.kept);
                let needs_records = self.needs_records(&switched, end, received_at)
                    || self.node.lacks_kept(Table::Operator, ends, kept);
                if needs_records && self.node.catch_up_from(from, &datagram.zone, ends, kept) {
                    let mut refresh = self.refresh.get();
                    refresh.record_read(received_at);
                    self.refresh.set(refresh);
                }
                if is_new {
                    self.report_to([from].into_iter());
                }
            }
        }
    }
}

impl Election for Weak<Agent> {
    /// Returns whether the agent reads a table from the store: only while no entry sends the table.
    /// A starting agent waits for entries first. If all processes start at once, the store would
    /// otherwise send the configuration to each agent over the links that requests and weights
    /// need.
    fn reads(&self, table: Table) -> bool {
        let Some(agent) = self.upgrade() else {
            return false;
        };
        let now = agent.node.clock.now();
        let serves = |it: &KnownEntry| {
            it.store == StoreAccess::Served
                && now < it.received_at.after_ms(SERVED_ENTRY_TIMEOUT_MS)
        };
        let served = agent.entries.borrow().values().any(serves);
        if agent.node.loaded(table) {
            !served
        } else {
            agent.first_read_due(served, now)
        }
    }

    /// Leaves the snapshot to entries, which abridge it. They count as unserved by the store for a
    /// moment after its outage, and so all agents read it then.
    fn pause_after_restore(&self, pause: Duration) -> Duration {
        let Some(agent) = self.upgrade() else {
            return pause;
        };
        let now = agent.node.clock.now();
        let is_heard = |it: &KnownEntry| now < it.received_at.after_ms(SERVED_ENTRY_TIMEOUT_MS);
        if !agent.entries.borrow().values().any(is_heard) {
            return pause;
        }
        let longest_ms = FIRST_READ_SPREAD_WITH_ENTRIES_MS as u64;
        let shortest_ms = SERVED_ENTRY_TIMEOUT_MS;
        let pause_ms = agent
            .node
            .with_rng(|it| it.random_range(shortest_ms..=longest_ms));
        Duration::from_millis(pause_ms)
    }

    fn longest_pause(&self) -> Duration {
        MAX_BACKOFF
    }
}
