//! Requests of other entries at replicas, by the entries' last reports, and the age of the reports.
//!
//! Entries of the own region report for themselves, other regions through their delegates. A report
//! that is too large for one datagram arrives in parts; each part replaces the previous one of the
//! same number.

use std::{borrow::Borrow, collections::HashMap, hash::Hash, time::Duration};

use crate::{clock::Time, request::contention::Precedence};

/// Maximum number of senders, five times the entries of the largest fleet that is designed for.
const MAX_SENDERS: usize = 2_048;
/// Maximum number of rows of all reports: at twice the largest fleet that is designed for, the reports of
/// all other regions have 29,000.
const MAX_ROWS: usize = 65_536;
/// Number of rows that take as much memory as a part without any.
const PART_ROWS: usize = 4;

/// Requests at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Hash of the replica's current start.
    pub replica: u32,
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests in progress whose response has not begun.
    pub waiting: u32,
    /// Prompt tokens of the requests whose response has not begun.
    pub waiting_tokens: f64,
}

/// Demand for a service at one precedence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Hash of the service's name.
    pub service: u32,
    /// Precedence of the requests.
    pub precedence: Precedence,
    /// Replica time that the requests of one second take, in seconds: the number of replicas that
    /// they keep busy.
    pub replicas: f64,
}

/// One part of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Time at which the part was received.
    pub at: Time,
    /// Number of the part, counted from 0.
    pub part: u16,
    /// Number of the last part.
    pub last_part: u16,
    /// Requests a second that the sender receives.
    pub demand: f64,
    /// Demand for services whose requests the operator ranks.
    pub demands: Vec<Demand>,
    /// Requests in progress by replica.
    pub loads: Vec<Load>,
}

impl Part {
    /// Returns the number of rows that the part counts as.
    fn rows(&self) -> usize {
        PART_ROWS + self.demands.len() + self.loads.len()
    }
}

/// The last report of each sender.
#[derive(Clone, Debug)]
pub struct RemoteLoads<K> {
    /// Reports of at most [`MAX_SENDERS`].
    reports: HashMap<K, HashMap<u16, Part>>,
    /// Sum over all parts; at most [`MAX_ROWS`].
    rows: usize,
    /// Number of parts that were not kept for lack of room.
    unkept: u64,
}

impl<K> Default for RemoteLoads<K> {
    fn default() -> RemoteLoads<K> {
        RemoteLoads {
            reports: HashMap::new(),
            rows: 0,
            unkept: 0,
        }
    }
}

impl<K: Eq + Hash> RemoteLoads<K> {
    /// Stores a part of the report of `sender`, unless there is no room for it: anybody can send reports, and
    /// those that are not repeated expire.
    pub fn receive(&mut self, sender: K, part: Part) {
        if !self.reports.contains_key(&sender) && MAX_SENDERS <= self.reports.len() {
            self.unkept += 1;
            return;
        }
        let parts = self.reports.entry(sender).or_default();
        let replaced = |number: u16, it: &Part| {
            number == part.part || part.last_part < number || it.last_part != part.last_part
        };
        let (rows, number) = (part.rows(), part.part);
        let freed: usize = parts
            .extract_if(|number, it| replaced(*number, it))
            .map(|(_, it)| it.rows())
            .sum();
        self.rows -= freed;
        if self.rows + rows <= MAX_ROWS {
            self.rows += rows;
            parts.insert(number, part);
        } else {
            self.unkept += 1;
        }
    }

    /// Returns the number of parts since the last call that were not kept for lack of room.
    pub fn take_unkept(&mut self) -> u64 {
        std::mem::take(&mut self.unkept)
    }

    /// Drops the reports of the senders for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.reports.retain(|sender, _| keep(sender));
        self.count_rows();
    }

    /// Drops the parts that were received before a time.
    pub fn expire(&mut self, before: Time) {
        for parts in self.reports.values_mut() {
            parts.retain(|_, it| before <= it.at);
        }
        self.reports.retain(|_, parts| !parts.is_empty());
        self.count_rows();
    }

    fn count_rows(&mut self) {
        self.rows = self.parts().map(Part::rows).sum();
    }

    /// Returns whether there is a report of `sender`.
    pub fn has<Q: Eq + Hash + ?Sized>(&self, sender: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.reports.contains_key(sender)
    }

    /// Returns the number of senders with a report.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the mean age of all parts of reports.
    pub fn age(&self, now: Time) -> Duration {
        let ages = self.parts().map(|it| now.since(it.at));
        let sum: Duration = ages.sum();
        sum / self.parts().count().max(1) as u32
    }

    /// Returns the requests a second that a sender receives, by its latest part.
    pub fn demand_of(&self, sender: &K) -> f64 {
        let parts = self
            .reports
            .get(sender)
            .into_iter()
            .flat_map(|it| it.values());
        parts.max_by_key(|it| it.at).map_or(0.0, |it| it.demand)
    }

    /// Returns the requests a second that all senders receive together.
    pub fn demand(&self) -> f64 {
        self.reports.keys().map(|it| self.demand_of(it)).sum()
    }

    /// Iterates over the demands that each sender reported last, with the time of the report.
    pub fn demands(&self) -> impl Iterator<Item = (Time, &Demand)> {
        let latest = self.reports.values();
        let latest = latest.filter_map(|it| it.values().max_by_key(|it| it.at));
        latest.flat_map(|it| it.demands.iter().map(|demand| (it.at, demand)))
    }

    /// Adds the reported requests at each replica to `sums`.
    pub fn add_to(&self, sums: &mut HashMap<u32, Load>) {
        for load in self.parts().flat_map(|it| &it.loads) {
            add(sums, *load);
        }
    }

    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.reports.values().flat_map(|it| it.values())
    }
}

/// Adds the requests at one replica to `sums`.
pub fn add(sums: &mut HashMap<u32, Load>, load: Load) {
    let sum = sums.entry(load.replica).or_insert(Load {
        replica: load.replica,
        ..Load::default()
    });
    sum.running += load.running;
    sum.waiting += load.waiting;
    sum.waiting_tokens += load.waiting_tokens;
}
