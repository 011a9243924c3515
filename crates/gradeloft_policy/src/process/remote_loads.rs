//! Requests of others at replicas, by their last reports, and the age of these.
//!
//! Entries of the own region report for themselves, other regions through their speakers. A report that is too large
//! for one datagram comes in parts, each of which replaces the one before it.

use std::{borrow::Borrow, collections::HashMap, hash::Hash, time::Duration};

use crate::clock::Time;

/// Requests at one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Hash of the replica's start.
    pub replica: u32,
    /// Requests.
    pub running: u32,
    /// Of those, requests whose answer has not begun.
    pub waiting: u32,
}

/// One part of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// When it was received.
    pub at: Time,
    /// Number of the part, from 0.
    pub part: u16,
    /// Parts, less one.
    pub further: u16,
    /// Requests that come to the sender, a second.
    pub demand: f64,
    /// Requests by replica.
    pub loads: Vec<Load>,
}

/// The last report of each of several others.
#[derive(Clone, Debug)]
pub struct RemoteLoads<K> {
    reports: HashMap<K, HashMap<u16, Part>>,
}

impl<K> Default for RemoteLoads<K> {
    fn default() -> RemoteLoads<K> {
        RemoteLoads {
            reports: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> RemoteLoads<K> {
    /// Takes in a part of the report of `who`.
    pub fn receive(&mut self, who: K, part: Part) {
        let parts = self.reports.entry(who).or_default();
        parts.retain(|number, it| *number <= part.further && it.further == part.further);
        parts.insert(part.part, part);
    }

    /// Drops the reports of those for whom `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.reports.retain(|who, _| keep(who));
    }

    /// Drops what was received before a time.
    pub fn expire(&mut self, before: Time) {
        for parts in self.reports.values_mut() {
            parts.retain(|_, it| before <= it.at);
        }
        self.reports.retain(|_, parts| !parts.is_empty());
    }

    /// Whether there is a report of `who`.
    pub fn has<Q: Eq + Hash + ?Sized>(&self, who: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.reports.contains_key(who)
    }

    /// How many others have reported.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether nobody has reported.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Mean age of the reports.
    pub fn age(&self, now: Time) -> Duration {
        let ages = self.parts().map(|it| now.since(it.at));
        let sum: Duration = ages.sum();
        sum / self.parts().count().max(1) as u32
    }

    /// Requests that come to one of them, a second.
    pub fn demand_of(&self, who: &K) -> f64 {
        let parts = self.reports.get(who).into_iter().flat_map(|it| it.values());
        parts.max_by_key(|it| it.at).map_or(0.0, |it| it.demand)
    }

    /// Requests that come to all of them, a second.
    pub fn demand(&self) -> f64 {
        self.reports.keys().map(|it| self.demand_of(it)).sum()
    }

    /// Adds what they have at each replica to `sums`.
    pub fn add_to(&self, sums: &mut HashMap<u32, Load>) {
        for load in self.parts().flat_map(|it| &it.loads) {
            add(sums, *load);
        }
    }

    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.reports.values().flat_map(|it| it.values())
    }
}

/// Adds requests at a replica to `sums`.
pub fn add(sums: &mut HashMap<u32, Load>, load: Load) {
    let sum = sums.entry(load.replica).or_insert(Load {
        replica: load.replica,
        ..Load::default()
    });
    sum.running += load.running;
    sum.waiting += load.waiting;
}
