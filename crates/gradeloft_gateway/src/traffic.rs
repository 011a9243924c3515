//! What a process sends to others and gets from them, by purpose. Words, requests and records that are given count
//! where they go out; answers, pieces and records of the store where they come in.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use gradeloft_policy::clock::Time;
use prometheus_client::encoding::EncodeLabelSet;
use slog::{Logger, info};

use crate::metrics::{Metrics, Reason};

/// Pause between two log lines, in milliseconds: some ten lines of each process in the time for which an
/// incident is looked at.
const SHOW_MS: u64 = 5_000;

/// What bytes are sent for. A closed list.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// Words to agents.
    Agents,
    /// Answers of replicas.
    Answers,
    /// What agents said of replicas.
    Engines,
    /// Requests at replicas.
    Loads,
    /// Which entries there are.
    Members,
    /// Pieces of weights.
    Pieces,
    /// Records of the platform's tables.
    Records,
    /// Words of other regions, passed on.
    Relayed,
    /// Words of agents.
    Reports,
    /// Requests to replicas.
    Requests,
    /// Records that the platform's store gave.
    Store,
    /// Requests under which replicas ended.
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
            Purpose::Store => "store",
            Purpose::Suspects => "suspects",
        }
    }
}

/// Where bytes go, or come from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// Another region, or an address of which the region is not known.
    Far,
    /// The region of this process.
    Near,
}

impl Reach {
    /// By whether it is the sender's own region.
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

/// Labels of a count of bytes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Sent {
    /// From a closed list.
    pub purpose: &'static str,
    /// `near` or `far`.
    pub reach: &'static str,
}

/// Counts of what a process sends.
#[derive(Default)]
pub struct Traffic {
    bytes: RefCell<BTreeMap<(Purpose, Reach), u64>>,
    shown: Cell<Time>,
}

impl Traffic {
    /// Counts bytes that go out or come in.
    pub fn count(&self, metrics: &Metrics, purpose: Purpose, reach: Reach, bytes: usize) {
        *self.bytes.borrow_mut().entry((purpose, reach)).or_default() += bytes as u64;
        let label = Sent {
            purpose: purpose.name(),
            reach: reach.name(),
        };
        metrics.sent.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Logs the counts now and then.
    pub fn show(&self, log: &Logger, metrics: &Metrics, now: Time) {
        if now < self.shown.get().after_ms(SHOW_MS) {
            return;
        }
        self.shown.set(now);
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
