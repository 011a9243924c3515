//! Datagrams that an agent receives from entries, and when it asks one of them for records.

use std::{
    rc::{Rc, Weak},
    time::Duration,
};

use gradeloft_policy::{clock::Time, rendezvous, version::waves::SwitchProgress};
use gradeloft_wire::{
    datagram::{Access, Sender, Switched},
    frame::Table,
};
use rand::Rng;

use super::{Agent, Sighting, Version};
use crate::node::Election;

/// Silence of all entries that the store serves after which an agent reads what the operator writes
/// itself, in milliseconds: three of their pauses.
const SILENCE_MS: u64 = 1_600;
/// Time after a replica's first answer for an entry to send its agent something, in milliseconds. Until then the
/// agent has nothing to do; longer would keep an added replica empty.
const FIRST_MESSAGE_MS: u64 = 250;
/// Time after a start at which an agent reads for itself even if its replica does not answer, in
/// milliseconds.
const LATEST_START_MS: u64 = 3_000;
/// Time over which agents that start together and find no entry spread their first reads, in milliseconds.
const FIRST_READS_MS: f64 = 1_000.0;
/// The same where entries are there and give nothing, as they may not have it themselves yet.
const UNGIVEN_READS_MS: f64 = 8_000.0;
/// Longest pause after reads that failed: hundreds of agents ask at once when no entry can be reached.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

impl Agent {
    /// Whether to ask an entry, whose copy of the operator's table goes up to `end`, for its records now:
    /// a version was named that this agent does not know, or it has not asked for a while.
    fn wants(&self, switched: &[Switched], end: u64, now: Time) -> bool {
        let target = self.target();
        let newer = |it: &Switched| {
            target.as_ref().is_none_or(|own| {
                rendezvous::hash(own.model.as_bytes()) == it.model && own.number < it.version
            })
        };
        let unknown = !self.node.loaded(Table::Operator);
        if unknown || switched.iter().any(newer) {
            return true;
        }
        let mut refresh = self.refresh.get();
        let due =
            self.node.end(Table::Operator) < end && self.node.with_rng(|it| refresh.due(now, it));
        self.refresh.set(refresh);
        due
    }

    fn receive_progress(&self, models: &[Switched]) {
        let mut switched = self.switched.borrow_mut();
        for model in models {
            let progress = SwitchProgress {
                version: model.version,
                replicas: usize::from(model.replicas),
            };
            switched.entry(model.model).or_default().update(progress);
        }
    }

    /// Replicas that take requests with a version, as an entry said last.
    pub fn switched(&self, version: &Version) -> usize {
        let model = rendezvous::hash(version.model.as_bytes());
        let switched = self.switched.borrow();
        switched
            .get(&model)
            .map_or(0, |it| it.replicas_with(version.number))
    }

    /// Whether it is time to read what the operator writes although no entry has ever given it.
    fn reads_first(&self, served: bool, now: Time) -> bool {
        let drawn = self.first_read.get();
        let drawn = drawn.unwrap_or_else(|| self.node.with_rng(Rng::random));
        self.first_read.set(Some(drawn));
        if served {
            let spread_ms = (drawn * UNGIVEN_READS_MS) as u64;
            return Time::ZERO.after_ms(LATEST_START_MS + spread_ms) <= now;
        }
        let spread_ms = (drawn * FIRST_READS_MS) as u64;
        let begun = self.begun_at.get();
        let begun = begun.is_some_and(|it| it.after_ms(FIRST_MESSAGE_MS + spread_ms) <= now);
        begun || Time::ZERO.after_ms(LATEST_START_MS + spread_ms) <= now
    }

    pub(super) async fn listen(self: Rc<Agent>) {
        loop {
            let (from, datagram) = self.node.next_datagram().await;
            self.node.detect_stall();
            if let Sender::Entry {
                store, switched, ..
            } = datagram.sender
            {
                let at = self.node.clock.now();
                self.node
                    .note_peer_copies(datagram.ends, datagram.unconfirmed_ms);
                // What lay in the socket while this process stood still is outdated.
                let current = self.node.datagrams_are_current();
                let mut new = false;
                if current {
                    self.receive_progress(&switched);
                    let near = self.node.near(&datagram.zone);
                    let sighting = Sighting { at, store, near };
                    new = self.entries.borrow_mut().insert(from, sighting).is_none();
                }
                let end = datagram.ends[Table::Operator as usize];
                if self.wants(&switched, end, at)
                    && self.node.catch_up_from(from, &datagram.zone, datagram.ends)
                {
                    let mut refresh = self.refresh.get();
                    refresh.asked(at);
                    self.refresh.set(refresh);
                }
                if new {
                    self.report_to([from].into_iter());
                }
            }
        }
    }
}

impl Election for Weak<Agent> {
    /// An agent reads what the operator writes only while no entry sends it. After a start it gives the
    /// entries time to: when everything starts at once, the configuration would else go to each agent
    /// over the links that requests and weights need.
    fn reads(&self, table: Table) -> bool {
        let Some(agent) = self.upgrade() else {
            return false;
        };
        let now = agent.node.clock.now();
        let serves = |it: &Sighting| it.store == Access::Served && now < it.at.after_ms(SILENCE_MS);
        let served = agent.entries.borrow().values().any(serves);
        if agent.node.loaded(table) {
            !served
        } else {
            agent.reads_first(served, now)
        }
    }

    fn longest_pause(&self) -> Duration {
        LONGEST_PAUSE
    }
}
