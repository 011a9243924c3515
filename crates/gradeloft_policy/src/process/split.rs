//! How the slots of replicas are split among entries.
//!
//! An entry learns late what others send. While slots are scarce, all entries would see the same one
//! become free and send to it, and a replica that seems to have room would get several times what it has
//! room for. So each slot is the part of one entry, which fills it without asking. What another entry
//! leaves free may be used while it is seen to be much.

use std::time::Duration;

use crate::clock::Time;

/// Slots of one replica in one entry's part, as far as there are enough. Many small parts differ less in
/// what is free in each than few large ones: in time, at a third more than the fleet can answer, 0.703 with
/// two, 0.693 with four, 0.683 with six (emulated, 20 seeds).
const PART: usize = 2;
/// Time over which requests are counted, in seconds: some twenty requests of a busy entry.
const MEMORY_S: f64 = 1.0;

/// Slots of each replica that are the part of the entry at position `own` of `entries`, for replicas with
/// these slots. Both lists are in the same order at every entry.
///
/// ```
/// use gradeloft_policy::process::split::parts;
/// let of = |own| parts(own, 4, &[16, 16]);
/// assert_eq!(of(0), [4, 4]);
/// // Every slot is somebody's.
/// assert_eq!((0..4).map(|it| of(it)[0]).sum::<u32>(), 16);
/// ```
pub fn parts(own: usize, entries: usize, slots: &[u32]) -> Vec<u32> {
    let entries = entries.max(1);
    // For every entry to hold some of a replica.
    let needed = entries.div_ceil(slots.len().max(1));
    let mut first = 0;
    let mut parts = Vec::with_capacity(slots.len());
    for slots in slots.iter().map(|it| *it as usize) {
        let holders = (slots / PART).max(needed).clamp(1, slots.max(1));
        let holders = holders.min(entries);
        // The holders follow each other around the circle of entries.
        let after = (own + entries - first) % entries;
        parts.push(part_of(slots, holders, after) as u32);
        first = (first + holders) % entries;
    }
    parts
}

fn part_of(slots: usize, holders: usize, after: usize) -> usize {
    if holders <= after {
        return 0;
    }
    slots / holders + usize::from(after < slots % holders)
}

/// Requests of one kind that come to an entry in a second, lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Time,
}

impl Demand {
    /// A request comes.
    pub fn count(&mut self, now: Time) {
        self.rate = self.rate(now) + 1.0 / MEMORY_S;
        self.at = now;
    }

    /// Requests a second.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.seconds_since(self.at) / MEMORY_S).exp()
    }
}

/// Requests that may have come to a replica since others told what they have there, `age` ago, where
/// `rate` come to it in a second: their mean, and a standard deviation more. As many may have ended, but
/// of slots that are taken twice one request is late, and of one that is free none. Without it 0.699 in
/// place of 0.709 are in time at a third more than the fleet can answer (emulated, 20 seeds).
pub fn unseen(rate: f64, age: Duration) -> f64 {
    let mean = rate * age.as_secs_f64();
    mean + mean.sqrt()
}

/// Part of its requests beyond its own slots that an entry may send where it sees others' slots free.
///
/// `free` slots are seen in all, by what the `others` said `age` ago on average. They do the same with as
/// many requests as this entry has, `rate` a second. The part falls with what they will have sent by now,
/// so that together they send no more than there are slots before they tell again.
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::process::split::chance;
/// let after_ms = |age| chance(10.0, 8, 25.0, Duration::from_millis(age));
/// assert_eq!(after_ms(0), 1.0);
/// assert!(after_ms(100) < 0.2);
/// ```
pub fn chance(free: f64, others: usize, rate: f64, age: Duration) -> f64 {
    let sent = others as f64 * rate * age.as_secs_f64();
    if sent <= 0.0 {
        1.0
    } else {
        (-sent / free).exp()
    }
}
