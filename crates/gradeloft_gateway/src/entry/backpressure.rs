//! Backpressure that replicas signal in their responses.

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{Change, Exchange, LimitSignal},
        replicas::{ReplicaKey, SendPermit},
    },
};
use slog::{info, warn};

use super::Entry;
use crate::{
    h1::head::{Fields, Response},
    logs::Topic,
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
        let exchange = Exchange {
            sent: sent.unwrap_or(Time::ZERO),
            received: self.node.clock.now(),
        };
        let limit = self.parse_limit(&head.fields);
        let mut replicas = self.replicas.borrow_mut();
        let Some(replica) = replicas.get_mut(key) else {
            return;
        };
        let change = replica.limit.observe(limit, exchange);
        drop(replicas);
        if let Some(change) = change {
            self.share_restricted_rates(exchange.received);
            self.log_limit(key, change);
        }
    }

    /// Returns the permission of a request to a selected replica, before it is counted as sent.
    pub(super) fn send_permit(&self, key: ReplicaKey) -> Option<SendPermit> {
        let replicas = self.replicas.borrow();
        Some(replicas.get(key)?.send_permit(self.node.clock.now()))
    }

    /// Returns whether a permitted request may still be sent, after the time that its connection
    /// took.
    pub(super) fn still_permits(&self, key: ReplicaKey, permit: Option<SendPermit>) -> bool {
        let replicas = self.replicas.borrow();
        let replica = replicas.get(key).zip(permit);
        replica.is_none_or(|(replica, permit)| replica.still_permits(permit, self.node.clock.now()))
    }

    fn parse_limit(&self, fields: &Fields) -> LimitSignal {
        let name = self.node.platform.headers.limit;
        let value = fields.all(name).next();
        let text = value.map(|it| std::str::from_utf8(it).unwrap_or_default());
        let limit = LimitSignal::parse(text);
        if limit == LimitSignal::Unreadable
            && let Some(log) = self.node.logs.line(Topic::State)
        {
            warn!(log, "replica signal unreadable"; "signal" => "limit", "value" => text);
        }
        limit
    }

    fn log_limit(&self, key: ReplicaKey, change: Change) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(key) else {
            return;
        };
        let now = self.node.clock.now();
        let next = replica.next_send(now);
        if let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "replica limit"; "replica" => &*replica.listing.id,
                "change" => change.name(), "per_s" => replica.limit.per_s(),
                "source" => "own", "running" => replica.own_requests,
                "next_ms" => next.map_or(-1, |it| it.since(now).as_millis() as i64));
        }
    }
}
