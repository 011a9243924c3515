//! Backpressure that replicas signal in their responses: its effect on this entry, and gossip about
//! it between entries.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::Ipv4Addr,
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{
            Change, Exchange, Merge, Throttle,
            signal::{self, Unreadable},
        },
        cadence::Budget,
        replicas::{Replica, ReplicaKey},
        signal_reports::Reports,
    },
};
use gradeloft_wire::{
    codec,
    datagram::{MAX_SIGNALS, ReplicaSignal, Sender},
};
use slog::{info, warn};

use super::Entry;
use crate::{
    h1::head::{Fields, Response},
    logs::Topic,
    node::tables::Source,
    traffic::{Purpose, Reach},
};

/// Bandwidth that an entry's reports of backpressure take at all receivers of its region together,
/// and again at those of other regions, beyond the first report after a pause. Entries that use a
/// replica hear from it directly, so reports may be late while many replicas signal.
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
pub(super) struct SignalGossip {
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
    /// Applies the backpressure in the head of a replica's response. `sent` is the time at which
    /// the request was sent; `None` for an interim response or one to an unknown request.
    pub(super) fn observe_backpressure(
        &self,
        key: ReplicaKey,
        head: &Response,
        sent: Option<Time>,
    ) {
        let now = self.node.clock.now();
        let exchange = Exchange {
            sent: sent.unwrap_or(Time::ZERO),
            received: now,
        };
        let headers = &self.node.platform.headers;
        if let Some(limit) = self.parse_signal(headers.limit, &head.fields, signal::limit)
            && let Some(change) =
                self.observe_statement(key, now, |it| it.limit.observe(limit, exchange))
        {
            self.limit_changed(key, change, Source::Own, now);
        }
        if let Some(leaving) = self.parse_signal(headers.leaving, &head.fields, signal::leaving)
            && let Some(change) =
                self.observe_statement(key, now, |it| it.leaving.observe(leaving, exchange))
        {
            self.leaving_changed(key, change, Source::Own, now);
        }
        self.observe_rest(key, head, exchange);
    }

    /// Applies a statement of a replica, and schedules reports of it.
    fn observe_statement(
        &self,
        key: ReplicaKey,
        now: Time,
        observe: impl FnOnce(&mut Throttle) -> Option<Change>,
    ) -> Option<Change> {
        let change = observe(&mut self.replicas.borrow_mut().get_mut(key)?.throttle);
        self.signal_gossip.record(|reports| match change {
            Some(_) => reports.told(key, now),
            None => reports.confirmed(key),
        });
        change
    }

    /// Applies the pause that a replica asks for when it refuses a request, or the end of one.
    fn observe_rest(&self, key: ReplicaKey, head: &Response, exchange: Exchange) {
        let mut replicas = self.replicas.borrow_mut();
        let Some(replica) = replicas.get_mut(key) else {
            return;
        };
        let change = match self.requested_pause(head) {
            Some(pause) => {
                let began = replica.throttle.rest.ask(pause, exchange.received);
                began.then_some(Change::Began)
            }
            None => {
                let ended = replica.throttle.rest.accepted(exchange.sent);
                ended.then_some(Change::Ended)
            }
        };
        let Some(change) = change else {
            return;
        };
        if let Some(log) = self.node.logs.line(Topic::State) {
            let ends = replica.throttle.rest.ends(exchange.received);
            let left = ends.map_or(Duration::ZERO, |it| it.since(exchange.received));
            info!(log, "replica rests"; "replica" => &*replica.listing.id,
                "change" => change.name(), "pause_ms" => left.as_millis() as u64,
                "running" => replica.own_requests);
        }
        drop(replicas);
        self.room_freed.notify_waiters();
    }

    /// Returns the pause that a replica asks for with a refusal.
    fn requested_pause(&self, head: &Response) -> Option<Duration> {
        if !matches!(head.status, 429 | 503) {
            return None;
        }
        let date = head.fields.get("date");
        let parse = |it: Option<&str>| signal::rest(it, date);
        self.parse_signal("retry-after", &head.fields, parse)?
    }

    /// Parses the first header of a name; `None` if it can't be parsed.
    fn parse_signal<T>(
        &self,
        name: &'static str,
        fields: &Fields,
        parse: impl Fn(Option<&str>) -> Result<T, Unreadable>,
    ) -> Option<T> {
        let value = fields.all(name).next();
        let text = value.map(|it| std::str::from_utf8(it).unwrap_or_default());
        let parsed = parse(text);
        if parsed.is_err()
            && let Some(log) = self.node.logs.line(Topic::State)
        {
            warn!(log, "replica signal unreadable"; "header" => name, "value" => text);
        }
        parsed.ok()
    }

    /// Merges the backpressure that another entry reported.
    pub(super) fn receive_signals(&self, signals: &[ReplicaSignal], from: Ipv4Addr, now: Time) {
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

    fn receive_signal(&self, key: ReplicaKey, told: ReplicaSignal, from: Ipv4Addr, now: Time) {
        let mut replicas = self.replicas.borrow_mut();
        let Some(replica) = replicas.get_mut(key) else {
            return;
        };
        let since = |age_ms: u32| now.before_ms(u64::from(age_ms));
        let limit = told.limit.map(signal::from_thousandths);
        let limit = replica
            .throttle
            .limit
            .merge(limit, since(told.limit_age_ms));
        let leaving = replica
            .throttle
            .leaving
            .merge(told.leaving, since(told.leaving_age_ms));
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
                reports.heard(key, now);
            }
        });
    }

    /// Applies and logs a change of a replica's limit.
    fn limit_changed(&self, key: ReplicaKey, change: Change, source: Source, now: Time) {
        self.share_restricted_rates(now);
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(key) else {
            return;
        };
        if let Some(log) = self.node.logs.line(Topic::State) {
            let next = replica.throttle.next_send(now);
            let age = replica.throttle.limit.age(now).unwrap_or_default();
            info!(log, "replica limit"; "replica" => &*replica.listing.id,
                "change" => change.name(), "per_s" => replica.throttle.limit.value(),
                "source" => %source, "age_ms" => age.as_millis() as u64,
                "next_ms" => next.map_or(-1, |it| it.since(now).as_millis() as i64),
                "running" => replica.own_requests);
        }
        drop(replicas);
        self.room_freed.notify_waiters();
    }

    /// Applies and logs that a replica began or ceased to say that it is leaving.
    fn leaving_changed(&self, key: ReplicaKey, change: Change, source: Source, now: Time) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(key) else {
            return;
        };
        if let Some(log) = self.node.logs.line(Topic::State) {
            let age = replica.throttle.leaving.age(now).unwrap_or_default();
            info!(log, "replica leaving"; "replica" => &*replica.listing.id,
                "change" => change.name(), "source" => %source,
                "age_ms" => age.as_millis() as u64, "running" => replica.own_requests);
        }
    }

    /// Reports the backpressure that is due to other entries.
    pub(super) fn send_signals(&self) {
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
    pub(super) fn send_signals_to(&self, newcomer: Ipv4Addr) {
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
