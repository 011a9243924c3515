//! Reports of backpressure between entries, since a replica signals only to the entries that it answers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::Ipv4Addr,
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{Change, Merge, signal},
        cadence::Budget,
        replicas::{Replica, ReplicaKey},
        signal_reports::Reports,
    },
};
use gradeloft_wire::{
    codec,
    datagram::{MAX_SIGNALS, ReplicaSignal, Sender},
};

use crate::{
    entry::Entry,
    node::tables::Source,
    traffic::{Purpose, Reach},
};

/// Bandwidth that an entry's reports of backpressure take at all receivers of its region together,
/// and again at those of other regions, beyond the first report after a pause. Entries that use a
/// replica receive its signals directly, so reports may be late while many replicas signal.
const GOSSIP_BUDGET: Budget = Budget {
    bytes_per_s: 1_500,
    shortest: Duration::ZERO,
    longest: Duration::from_secs(60),
};

/// Reports of backpressure to the entries of this region, or to those of other regions.
#[derive(Default)]
struct Channel {
    reports: RefCell<Reports<ReplicaKey>>,
    /// Earliest time of the next reports within the bandwidth budget.
    next_at: Cell<Time>,
}

/// State of the reports of backpressure to other entries.
#[derive(Default)]
pub(in crate::entry) struct SignalGossip {
    near: Channel,
    far: Channel,
    /// Number of rounds so far, which rotates the relays in other regions.
    rounds: Cell<usize>,
}

impl SignalGossip {
    /// Records an event of a replica for both kinds of receivers.
    fn record(&self, event: impl Fn(&mut Reports<ReplicaKey>)) {
        for channel in [&self.near, &self.far] {
            event(&mut channel.reports.borrow_mut());
        }
    }
}

impl Entry {
    /// Schedules reports of what a replica signalled to this entry.
    pub(super) fn record_told(&self, key: ReplicaKey, change: Option<Change>, now: Time) {
        self.signal_gossip.record(|reports| match change {
            Some(_) => reports.signalled(key, now),
            None => reports.confirmed(key),
        });
    }

    /// Merges the backpressure that another entry reported.
    pub(in crate::entry) fn receive_signals(
        &self,
        signals: &[ReplicaSignal],
        from: Ipv4Addr,
        now: Time,
    ) {
        let reported: HashMap<u32, &ReplicaSignal> =
            signals.iter().map(|it| (it.replica, it)).collect();
        let replicas = self.replicas.borrow();
        let known = replicas.iter().filter_map(|(key, it)| {
            let signal = *reported.get(&it.hash())?;
            Some((key, *signal))
        });
        let known: Vec<(ReplicaKey, ReplicaSignal)> = known.collect();
        drop(replicas);
        for (key, signal) in known {
            self.receive_signal(key, signal, from, now);
        }
    }

    fn receive_signal(&self, key: ReplicaKey, reported: ReplicaSignal, from: Ipv4Addr, now: Time) {
        let mut replicas = self.replicas.borrow_mut();
        let Some(replica) = replicas.get_mut(key) else {
            return;
        };
        let since = |age_ms: u32| now.before_ms(u64::from(age_ms));
        let limit = reported.limit.map(signal::from_thousandths);
        let limit = replica
            .throttle
            .limit
            .merge(limit, since(reported.limit_age_ms));
        let leaving = replica
            .throttle
            .leaving
            .merge(reported.leaving, since(reported.leaving_age_ms));
        drop(replicas);
        let source = Source::Peer(from);
        if let Merge::Applied(change) = limit {
            self.limit_changed(key, change, source, now);
        }
        if let Merge::Applied(change) = leaving {
            self.leaving_changed(key, change, source, now);
        }
        let merged = [limit, leaving];
        self.signal_gossip.record(|reports| {
            if merged.contains(&Merge::Outdated) {
                reports.outdated(key, now);
            } else if merged.iter().any(|it| matches!(it, Merge::Applied(_))) {
                reports.learned(key, now);
            } else {
                reports.reported(key, now);
            }
        });
    }

    /// Reports the backpressure that is due to other entries.
    pub(in crate::entry) fn send_signals(&self) {
        self.send_signals_near();
        self.send_signals_far();
    }

    fn send_signals_near(&self) {
        let Some(sender) = self.due_signals(&self.signal_gossip.near, |it| self.node.near(it))
        else {
            return;
        };
        let roster = self.roster.borrow();
        let near = roster.addresses_in(|it| self.node.near(it));
        self.node
            .send_state(Purpose::Signals, Reach::Near, sender, near);
    }

    /// Reports to one entry of each other region, which passes the report on.
    fn send_signals_far(&self) {
        let gossip = &self.signal_gossip;
        let Some(sender) = self.due_signals(&gossip.far, |it| !self.node.near(it)) else {
            return;
        };
        let round = gossip.rounds.replace(gossip.rounds.get() + 1);
        let relays = self.relays(round, self.node.clock.now()).into_iter();
        let far = relays.filter_map(|(relay, _)| relay);
        self.node
            .send_state(Purpose::Signals, Reach::Far, sender, far);
    }

    /// Returns the reports that are due to the entries of some availability zones, within the
    /// budget.
    fn due_signals(&self, channel: &Channel, receives: impl Fn(&str) -> bool) -> Option<Sender> {
        let now = self.node.clock.now();
        if now < channel.next_at.get() {
            return None;
        }
        let replicas = self.replicas.borrow();
        let restricted = |key| Some(replicas.get(key)?.throttle.has_backpressure());
        let mut reports = channel.reports.borrow_mut();
        let due = reports.take_due(now, MAX_SIGNALS, restricted).into_iter();
        let due = due.filter_map(|it| replicas.get(it));
        let signals: Vec<ReplicaSignal> = due.map(|it| report(it, now)).collect();
        if signals.is_empty() {
            return None;
        }
        let receivers = self.roster.borrow().addresses_in(receives).count();
        let bytes = codec::encode_body(&signals).len();
        let pause = GOSSIP_BUDGET.pause(receivers, bytes);
        channel.next_at.set(now.after(pause));
        Some(Sender::Signals {
            relayed: false,
            signals,
        })
    }

    /// Reports replicas with backpressure to an entry that has just started.
    pub(in crate::entry) fn send_signals_to(&self, newcomer: Ipv4Addr) {
        let now = self.node.clock.now();
        let replicas = self.replicas.borrow();
        let restricted = replicas
            .iter()
            .filter(|(_, it)| it.throttle.has_backpressure());
        let signals: Vec<ReplicaSignal> = restricted
            .take(MAX_SIGNALS)
            .map(|(_, it)| report(it, now))
            .collect();
        drop(replicas);
        if signals.is_empty() {
            return;
        }
        let sender = Sender::Signals {
            // Keeps the receiver from relaying the message to other entries.
            relayed: true,
            signals,
        };
        let to = [newcomer].into_iter();
        self.node
            .send_state(Purpose::Signals, Reach::Far, sender, to);
    }
}

/// Returns the report of a replica's backpressure.
fn report(replica: &Replica, now: Time) -> ReplicaSignal {
    let in_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    // What was never stated is older than any statement.
    let age_ms = |age: Option<Duration>| age.map_or(u32::MAX, in_ms);
    ReplicaSignal {
        replica: replica.hash(),
        limit: replica.throttle.limit.value().map(signal::thousandths),
        limit_age_ms: age_ms(replica.throttle.limit.age(now)),
        leaving: replica.throttle.leaving.value(),
        leaving_age_ms: age_ms(replica.throttle.leaving.age(now)),
    }
}
