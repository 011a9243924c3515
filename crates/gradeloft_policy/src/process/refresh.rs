//! Schedules the reads of the operator's records by an agent.
//!
//! All agents of an availability zone learn of a new configuration at the same time, from the first
//! entry that holds it. If all of them read it at once, that entry would have to serve them all.

use rand::Rng;

use crate::clock::Time;

/// Shortest interval between two reads, in milliseconds. Configurations can follow each other
/// closely, and little of their content concerns an agent.
const REFRESH_MS: u64 = 2_000;
/// Time over which agents spread their reads, in milliseconds. It is the interval between an
/// entry's datagrams to the agents of its region, so each entry of the region announces its copies
/// within this time.
const SPREAD_MS: u64 = 500;

/// Times of the last and the next read of an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refresh {
    last_read_at: Option<Time>,
    /// Time of the next read, drawn at random as soon as there is something new to read.
    due: Option<Time>,
}

impl Refresh {
    /// Returns whether to read from an entry with new records now.
    pub fn due(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let due = *self.due.get_or_insert_with(|| {
            let earliest = self.last_read_at.map_or(now, |it| it.after_ms(REFRESH_MS));
            let spread = rng.random_range(0..=SPREAD_MS);
            earliest.max(now).after_ms(spread)
        });
        due <= now
    }

    /// Records a read.
    pub fn record_read(&mut self, now: Time) {
        self.last_read_at = Some(now);
        self.due = None;
    }
}
