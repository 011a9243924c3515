//! When an agent asks an entry for the operator's records.
//!
//! All agents of an availability zone hear of a new configuration at once, from the entry that has it
//! first. Would they ask in that moment, all would ask that entry.

use rand::Rng;

use crate::clock::Time;

/// Pause between two questions, in milliseconds. A configuration may follow others closely, and little of
/// it concerns an agent.
const REFRESH_MS: u64 = 2_000;
/// Time over which agents spread their questions, in milliseconds: the pause between an entry's datagrams
/// to the agents of its region, so that each entry of the region speaks within it.
const SPREAD_MS: u64 = 500;

/// When an agent asked last and asks next.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refresh {
    asked: Option<Time>,
    /// Drawn when there is first something to ask for.
    due: Option<Time>,
}

impl Refresh {
    /// Whether to ask an entry now that has something new.
    pub fn due(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let due = *self.due.get_or_insert_with(|| {
            let earliest = self.asked.map_or(now, |it| it.after_ms(REFRESH_MS));
            let spread = rng.random_range(0..=SPREAD_MS);
            earliest.max(now).after_ms(spread)
        });
        due <= now
    }

    /// An entry was asked.
    pub fn asked(&mut self, now: Time) {
        self.asked = Some(now);
        self.due = None;
    }
}
