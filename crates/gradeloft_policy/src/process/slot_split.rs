//! How the slots of replicas are split among entries.
//!
//! An entry learns late what others send. While slots are scarce, all entries would see the same one
//! become free and send to it, and a replica that seems to have room would get several times what it has
//! room for. So each slot is the part of one entry, which fills it without asking. What another entry
//! leaves free may be used while it is seen to be much.

use std::time::Duration;

use crate::clock::Time;

/// Slots of one replica in one entry's part, as far as there are enough. Many small parts differ less in
/// what is free in each than few large ones.
const PART: usize = 2;
/// Requests a second of all entries below which what comes says nothing of where more will come.
const LEAST_DEMAND: f64 = 5.0;
/// Time over which requests are counted, in seconds: some twenty requests of a busy entry.
const MEMORY_S: f64 = 1.0;

/// Slots of each replica that are the part of the entry at position `own` of `entries`, for replicas with
/// these slots. Both lists are in the same order at every entry.
///
/// ```
/// use gradeloft_policy::process::slot_split::parts;
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
        // Where all hold some, whoever comes after those that got one more is the first to get one more next.
        let served = if holders == entries {
            slots % holders
        } else {
            holders
        };
        first = (first + served) % entries;
    }
    parts
}

fn part_of(slots: usize, holders: usize, after: usize) -> usize {
    if holders <= after {
        return 0;
    }
    slots / holders + usize::from(after < slots % holders)
}

/// What a region has to split.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSlots {
    /// Entries that take callers.
    pub entries: usize,
    /// Requests that come to them, a second.
    pub demand: f64,
    /// Slots of each replica that takes requests, in the same order at every entry.
    pub slots: Vec<u32>,
}

/// Slots of each replica of each region that are the part of the entry at position `own` in the region `home`.
///
/// A region's slots are its own entries' as far as they need them, by their part of all demand: a request that
/// is served near costs no bytes between regions, and near entries know each other's requests best. What a
/// region has beyond that is lent, evenly from all its replicas, to the entries of regions that have too few.
///
/// ```
/// use gradeloft_policy::process::slot_split::{RegionSlots, parts_by_region};
/// let area = |demand| RegionSlots { entries: 2, demand, slots: vec![8, 8] };
/// let balanced = [area(10.0), area(10.0)];
/// assert_eq!(parts_by_region(&balanced, 0, 0), [[4, 4], [0, 0]]);
/// // The second region asks for three times as much, and gets half of the first one's slots.
/// let short = [area(10.0), area(30.0)];
/// assert_eq!(parts_by_region(&short, 0, 0), [[2, 2], [0, 0]]);
/// assert_eq!(parts_by_region(&short, 1, 0), [[2, 2], [4, 4]]);
/// ```
pub fn parts_by_region(areas: &[RegionSlots], home: usize, own: usize) -> Vec<Vec<u32>> {
    let lent = lent(areas);
    let kept = |area: &RegionSlots, lent: u32| -> Vec<u32> {
        let lent = spread(&area.slots, lent);
        let slots = area.slots.iter().zip(lent);
        slots.map(|(all, lent)| all - lent).collect()
    };
    let borrowed = borrowed(areas, &lent, home, own);
    let regions = areas.iter().zip(&lent).zip(borrowed).enumerate();
    regions
        .map(|(region, ((area, lent), borrowed))| {
            if region == home {
                parts(own, area.entries, &kept(area, *lent))
            } else {
                borrowed
            }
        })
        .collect()
}

fn total(area: &RegionSlots) -> u32 {
    area.slots.iter().sum()
}

/// Slots that each region needs, by its part of all demand.
fn needs(areas: &[RegionSlots]) -> Vec<f64> {
    let serving = |it: &&RegionSlots| 0 < it.entries;
    let slots: u32 = areas.iter().map(total).sum();
    let demand: f64 = areas.iter().filter(serving).map(|it| it.demand).sum();
    let entries: usize = areas.iter().map(|it| it.entries).sum();
    let part = |area: &RegionSlots| match area.entries {
        0 => 0.0,
        // Nothing comes yet: callers choose among entries.
        entries_here if demand < LEAST_DEMAND => entries_here as f64 / entries.max(1) as f64,
        _ => area.demand / demand,
    };
    areas.iter().map(|it| f64::from(slots) * part(it)).collect()
}

/// Slots that each region lends.
fn lent(areas: &[RegionSlots]) -> Vec<u32> {
    let needs = needs(areas);
    let surplus = areas.iter().zip(&needs);
    surplus
        .map(|(area, need)| (f64::from(total(area)) - need).max(0.0).round() as u32)
        .collect()
}

/// So many slots, spread over replicas with these.
fn spread(slots: &[u32], lent: u32) -> Vec<u32> {
    let all: u32 = slots.iter().sum();
    let mut seen = 0;
    let mut given = 0;
    let mut spread = Vec::with_capacity(slots.len());
    for slots in slots {
        seen += slots;
        let due = (u64::from(seen) * u64::from(lent) / u64::from(all.max(1))) as u32;
        spread.push((due - given).min(*slots));
        given = due;
    }
    spread
}

/// Slots of each replica of each region that are lent to the entry at position `own` of the region `home`. All
/// lent slots follow each other in a row, of which each region gets a stretch by what it lacks; in it they go
/// to its entries by turns.
fn borrowed(areas: &[RegionSlots], lent: &[u32], home: usize, own: usize) -> Vec<Vec<u32>> {
    let needs = needs(areas);
    let lacks: Vec<f64> = areas
        .iter()
        .zip(&needs)
        .map(|(area, need)| (need - f64::from(total(area))).max(0.0))
        .collect();
    let all: u32 = lent.iter().sum();
    let lack: f64 = lacks.iter().sum();
    let before: f64 = lacks[..home].iter().sum();
    let at = |lacked: f64| (lacked / lack.max(f64::MIN_POSITIVE) * f64::from(all)).round() as u32;
    let stretch = at(before)..at(before + lacks[home]);
    // Goes on where the split of the region's own slots ended.
    let turn = own as u32 + areas[home].entries as u32
        - (total(&areas[home]) % areas[home].entries.max(1) as u32);
    let entries = areas[home].entries.max(1) as u32;
    let mut number = 0;
    let mut mine = |slots: u32| {
        let numbers = number..number + slots;
        number += slots;
        let stretch = stretch.clone();
        let mine = numbers
            .filter(|it| stretch.contains(it) && (it - stretch.start) % entries == turn % entries);
        mine.count() as u32
    };
    let regions = areas.iter().zip(lent);
    regions
        .map(|(area, lent)| {
            let spread = spread(&area.slots, *lent).into_iter();
            spread.map(&mut mine).collect()
        })
        .collect()
}

/// Requests of one kind that come to an entry in a second, lately.
#[derive(Clone, Copy, Debug)]
pub struct RequestRate {
    memory_s: f64,
    rate: f64,
    at: Time,
}

impl Default for RequestRate {
    fn default() -> RequestRate {
        RequestRate::with_window(MEMORY_S)
    }
}

impl RequestRate {
    /// Counts over so many seconds.
    pub fn with_window(memory_s: f64) -> RequestRate {
        RequestRate {
            memory_s,
            rate: 0.0,
            at: Time::ZERO,
        }
    }

    /// A request comes.
    pub fn count(&mut self, now: Time) {
        self.rate = self.rate(now) + 1.0 / self.memory_s;
        self.at = now;
    }

    /// Requests a second.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.seconds_since(self.at) / self.memory_s).exp()
    }
}

/// Requests that may have come to a replica since others reported what they have there, `age` ago, where
/// `rate` come to it in a second: their mean, and a standard deviation more. As many may have ended, but
/// of slots that are taken twice one request is late, and of one that is free none.
pub fn unseen_requests(rate: f64, age: Duration) -> f64 {
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
/// use gradeloft_policy::process::slot_split::overflow_probability;
/// let after_ms = |age| overflow_probability(10.0, 8, 25.0, Duration::from_millis(age));
/// assert_eq!(after_ms(0), 1.0);
/// assert!(after_ms(100) < 0.2);
/// ```
pub fn overflow_probability(free: f64, others: usize, rate: f64, age: Duration) -> f64 {
    let sent = others as f64 * rate * age.as_secs_f64();
    if sent <= 0.0 {
        1.0
    } else {
        (-sent / free).exp()
    }
}
