//! Traffic accounting of a process, by purpose. Messages, requests and records for peers are
//! counted by the sender; responses, chunks and records of the store by the receiver.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use gradeloft_policy::clock::Time;
use prometheus_client::encoding::EncodeLabelSet;
use slog::{Logger, info};

use crate::metrics::{Metrics, Reason};

/// Interval between two log lines, in milliseconds: about ten lines per process in the period that
/// an investigation of an incident covers.
const LOG_INTERVAL_MS: u64 = 5_000;

/// Purpose of transferred bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// Messages to agents.
    Agents,
    /// Responses of replicas.
    Answers,
    /// States of replicas, as reported by agents.
    Engines,
    /// Numbers of requests at replicas.
    Loads,
    /// Membership of entries.
    Members,
    /// Chunks of weights.
    Pieces,
    /// Records of the platform's tables.
    Records,
    /// Relayed messages of other regions.
    Relayed,
    /// Reports of agents.
    Reports,
    /// Requests to replicas.
    Requests,
    /// Backpressure of replicas.
    Signals,
    /// Records read from the platform's store.
    Store,
    /// Requests suspected of crashing replicas.
    Suspects,
}

impl Purpose {
    fn name(self) -> &'static str {
        match self {
            Purpose::Agents => "agents",
            Purpose::Answers => "answers",
            Purpose::Engines => "engines",
            Purpose::Loads => "loads",
            Purpose::Members => "members",
            Purpose::Pieces => "pieces",
            Purpose::Records => "records",
            Purpose::Relayed => "relayed",
            Purpose::Reports => "reports",
            Purpose::Requests => "requests",
            Purpose::Signals => "signals",
            Purpose::Store => "store",
            Purpose::Suspects => "suspects",
        }
    }
}

/// Distance to the other end of a transfer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// Another region, or an address whose region is unknown.
    Far,
    /// The region of this process.
    Near,
}

impl Reach {
    /// Returns the reach of a transfer; `near` is whether the other end is in this process's
    /// region.
    pub fn of(near: bool) -> Reach {
        if near { Reach::Near } else { Reach::Far }
    }

    fn name(self) -> &'static str {
        match self {
            Reach::Far => "far",
            Reach::Near => "near",
        }
    }
}

/// Metric labels of a byte count.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TrafficLabels {
    /// Name of a [`Purpose`].
    pub purpose: &'static str,
    /// `near` or `far`.
    pub reach: &'static str,
}

/// Byte counts of a process.
#[derive(Default)]
pub struct Traffic {
    bytes: RefCell<BTreeMap<(Purpose, Reach), u64>>,
    logged_at: Cell<Time>,
}

impl Traffic {
    /// Counts sent or received bytes.
    pub fn count(&self, metrics: &Metrics, purpose: Purpose, reach: Reach, bytes: usize) {
        *self.bytes.borrow_mut().entry((purpose, reach)).or_default() += bytes as u64;
        let label = TrafficLabels {
            purpose: purpose.name(),
            reach: reach.name(),
        };
        metrics.sent.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Logs the counts at most once in `LOG_INTERVAL_MS`.
    pub fn show(&self, log: &Logger, metrics: &Metrics, now: Time) {
        if now < self.logged_at.get().after_ms(LOG_INTERVAL_MS) {
            return;
        }
        self.logged_at.set(now);
        let bytes = self.bytes.borrow();
        let rows = bytes.iter().map(|((purpose, reach), bytes)| {
            format!("{}/{}:{bytes}", purpose.name(), reach.name())
        });
        let rows: Vec<String> = rows.collect();
        let calls = ["entries", "operator", "replicas"].map(|reason| {
            let calls = metrics.store_calls.get_or_create(&Reason { reason });
            format!("{reason}:{}", calls.get())
        });
        info!(log, "traffic"; "sent" => rows.join(","), "store_calls" => calls.join(","));
    }
}
