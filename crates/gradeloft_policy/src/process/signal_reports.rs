//! Schedules reports of replicas' backpressure to other entries.
//!
//! A replica signals only to the entries that it answers, and an entry without a share of its rate gets
//! no further answers. So the entries that a replica signalled to last report it to the others, and repeat
//! the report, as datagrams get lost. Only replicas with backpressure, or whose backpressure ended
//! a moment ago, are reported.

use std::{collections::HashMap, hash::Hash};

use crate::clock::Time;

/// Interval between two reports of the same replica, in milliseconds.
const REPEAT_MS: u64 = 1_000;
/// Time without a report of others after which an entry reports what it knows from others, in
/// milliseconds: the entry that the replica signalled to may have ended.
const UNHEARD_MS: u64 = 5_000;
/// Time for which the end of backpressure is reported, in milliseconds.
const ENDED_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct Item {
    /// Whether this entry knows the state from the replica, rather than from another entry.
    firsthand: bool,
    /// Whether the other entries may lack the state.
    urgent: bool,
    /// Time of this entry's last report.
    sent: Option<Time>,
    /// Time at which another entry last reported the same state.
    last_report: Time,
    /// Time of the last change.
    changed: Time,
}

impl Item {
    fn is_due(&self, now: Time) -> bool {
        let rested = self.sent.is_none_or(|it| it.after_ms(REPEAT_MS) <= now);
        let repeats = self.firsthand || self.last_report.after_ms(UNHEARD_MS) <= now;
        self.urgent || (rested && repeats)
    }
}

/// Replicas whose backpressure is reported to other entries.
#[derive(Clone, Debug)]
pub struct Reports<K> {
    items: HashMap<K, Item>,
}

impl<K> Default for Reports<K> {
    fn default() -> Reports<K> {
        Reports {
            items: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash + Ord> Reports<K> {
    /// Records that a replica signalled a change to this entry.
    pub fn signalled(&mut self, replica: K, now: Time) {
        let item = self.items.entry(replica).or_default();
        item.firsthand = true;
        item.urgent = true;
        item.changed = now;
    }

    /// Records that a replica repeated to this entry what is known already.
    pub fn confirmed(&mut self, replica: K) {
        if let Some(item) = self.items.get_mut(&replica) {
            item.firsthand = true;
        }
    }

    /// Records that another entry reported a change.
    pub fn learned(&mut self, replica: K, now: Time) {
        let item = self.items.entry(replica).or_default();
        item.firsthand = false;
        item.urgent = false;
        item.changed = now;
        item.last_report = now;
    }

    /// Records that another entry reported what is known already.
    pub fn reported(&mut self, replica: K, now: Time) {
        if let Some(item) = self.items.get_mut(&replica) {
            item.last_report = now;
        }
    }

    /// Records that another entry reported an older state of a replica.
    pub fn outdated(&mut self, replica: K, now: Time) {
        let item = self.items.entry(replica).or_insert(Item {
            firsthand: true,
            ..Item::default()
        });
        item.urgent |= item.firsthand && item.sent.is_none_or(|it| it.after_ms(REPEAT_MS) <= now);
        item.changed = now;
    }

    /// Returns at most `most` replicas to report now: those that others may lack, then those that
    /// were reported longest ago. `restricted` returns whether a replica signals backpressure, or
    /// `None` if it no longer exists.
    pub fn take_due(
        &mut self,
        now: Time,
        most: usize,
        restricted: impl Fn(K) -> Option<bool>,
    ) -> Vec<K> {
        self.items.retain(|replica, it| match restricted(*replica) {
            None => false,
            Some(true) => true,
            Some(false) => now < it.changed.after_ms(ENDED_MS),
        });
        let due = self.items.iter().filter(|(_, it)| it.is_due(now));
        let mut due: Vec<(bool, Option<Time>, K)> = due
            .map(|(replica, it)| (!it.urgent, it.sent, *replica))
            .collect();
        due.sort_unstable();
        due.truncate(most);
        for (_, _, replica) in &due {
            if let Some(item) = self.items.get_mut(replica) {
                item.urgent = false;
                item.sent = Some(now);
            }
        }
        due.into_iter().map(|(_, _, replica)| replica).collect()
    }
}
