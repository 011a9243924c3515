//! Backpressure that replicas signal in their responses.
//!
//! - [`gossip`]: reports of backpressure between entries.

pub(super) mod gossip;

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{
            Change, Exchange, Throttle,
            signal::{self, Unreadable},
        },
        replicas::ReplicaKey,
    },
};
use slog::{info, warn};

use super::Entry;
use crate::{
    h1::head::{Fields, Response},
    logs::Topic,
    node::tables::Source,
};

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
        self.record_told(key, change, now);
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
        let service = Rc::clone(&replica.listing.service);
        drop(replicas);
        self.room_changed(&service);
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
        let service = Rc::clone(&replica.listing.service);
        drop(replicas);
        self.room_changed(&service);
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
}
