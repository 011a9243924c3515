//! Backpressure that replicas signal in their responses.

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{Change, Exchange, LimitSignal},
        replicas::ReplicaKey,
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
            self.log_limit(key, change);
        }
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
        if let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "replica limit"; "replica" => &*replica.listing.id,
                "change" => change.name(), "per_s" => replica.limit.per_s(),
                "source" => "own", "running" => replica.own_requests);
        }
    }

    /// Counts the replicas that limit the request rate.
    pub(super) fn count_limited_replicas(&self) {
        let replicas = self.replicas.borrow();
        let limited = replicas.iter().filter(|(_, it)| it.limit.per_s().is_some());
        self.node.metrics.limited.set(limited.count() as i64);
    }
}
