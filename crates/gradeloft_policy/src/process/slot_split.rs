//! Splits the slots of replicas among entries.
//!
//! An entry learns of the requests of others with a delay. While slots are scarce, all entries
//! would see the same slot become free, and a replica with seemingly free slots would get several
//! times as many requests as it can run. Therefore each slot is assigned to one entry, which fills
//! it without coordination. Free slots of other entries may be used while many slots seem to be
//! free.

use std::time::Duration;

use crate::clock::Time;

/// Smallest number of slots that an entry is assigned at a replica, as far as there are enough
/// slots for all entries. Entries with many small shares differ less in their free slots than
/// entries with a few large shares.
const SLOTS_PER_ENTRY: usize = 2;
/// Requests a second over all entries below which current demand doesn't show where further
/// requests will arrive.
const MIN_DEMAND: f64 = 5.0;
/// Time over which requests are counted, in seconds: about twenty requests of a busy entry.
const WINDOW_S: f64 = 1.0;

/// Returns the number of slots of each replica that are assigned to one entry. `own` is the
/// position of the entry in the list of all `entries` entries, and `slots` is the number of slots
/// of each replica. All entries must use the same order of entries and of replicas.
///
/// ```
/// use gradeloft_policy::process::slot_split::parts;
/// let of = |own| parts(own, 4, &[16, 16]);
/// assert_eq!(of(0), [4, 4]);
/// // Every slot is assigned to an entry.
/// assert_eq!((0..4).map(|it| of(it)[0]).sum::<u32>(), 16);
/// ```
pub fn parts(own: usize, entries: usize, slots: &[u32]) -> Vec<u32> {
    let entries = entries.max(1);
    // Number of entries that must share each replica for every entry to be assigned slots.
    let needed = entries.div_ceil(slots.len().max(1));
    let mut first = 0;
    let mut parts = Vec::with_capacity(slots.len());
    for slots in slots.iter().map(|it| *it as usize) {
        let holders = (slots / SLOTS_PER_ENTRY).max(needed).clamp(1, slots.max(1));
        let holders = holders.min(entries);
        // The holders are consecutive in the circle of entries.
        let after = (own + entries - first) % entries;
        parts.push(part_of(slots, holders, after) as u32);
        // If all entries hold slots of this replica, the extra slots of the next replica go to the
        // entries after those that got an extra slot here.
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

/// Entries, demand and slots of a region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSlots {
    /// Entries that accept callers.
    pub entries: usize,
    /// Requests a second that these entries receive.
    pub demand: f64,
    /// Slots of each replica that accepts requests, in the same order at each entry.
    pub slots: Vec<u32>,
}

/// Returns the number of slots of each replica of each region that are assigned to the entry at
/// position `own` in the region `home`.
///
/// The entries of a region keep the slots of the region that they need by their share of the total
/// demand: a request that is served in its own region costs no bytes between regions, and entries
/// of one region know each other's requests best. The surplus is lent, evenly from all replicas of
/// the region, to the entries of regions with a shortage.
///
/// ```
/// use gradeloft_policy::process::slot_split::{RegionSlots, parts_by_region};
/// let area = |demand| RegionSlots { entries: 2, demand, slots: vec![8, 8] };
/// let balanced = [area(10.0), area(10.0)];
/// assert_eq!(parts_by_region(&balanced, 0, 0), [[4, 4], [0, 0]]);
/// // The second region has three times the demand, and gets half of the first region's slots.
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

/// Returns the number of slots that each region needs, by its share of the total demand.
fn needs(areas: &[RegionSlots]) -> Vec<f64> {
    let serving = |it: &&RegionSlots| 0 < it.entries;
    let slots: u32 = areas.iter().map(total).sum();
    let demand: f64 = areas.iter().filter(serving).map(|it| it.demand).sum();
    let entries: usize = areas.iter().map(|it| it.entries).sum();
    let part = |area: &RegionSlots| match area.entries {
        0 => 0.0,
        // With few requests, the number of entries predicts demand, since callers choose among
        // them.
        entries_here if demand < MIN_DEMAND => entries_here as f64 / entries.max(1) as f64,
        _ => area.demand / demand,
    };
    areas.iter().map(|it| f64::from(slots) * part(it)).collect()
}

/// Returns the number of slots that each region lends.
fn lent(areas: &[RegionSlots]) -> Vec<u32> {
    let needs = needs(areas);
    let surplus = areas.iter().zip(&needs);
    surplus
        .map(|(area, need)| (f64::from(total(area)) - need).max(0.0).round() as u32)
        .collect()
}

/// Spreads a number of lent slots over replicas.
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

/// Returns the number of slots of each replica of each region that are lent to the entry at
/// position `own` of the region `home`. All lent slots form one sequence. Each region gets a range
/// of the sequence in proportion to its shortage, and the slots of the range alternate between the
/// region's entries.
fn borrowed(areas: &[RegionSlots], lent: &[u32], home: usize, own: usize) -> Vec<Vec<u32>> {
    let needs = needs(areas);
    let shortages: Vec<f64> = areas
        .iter()
        .zip(&needs)
        .map(|(area, need)| (need - f64::from(total(area))).max(0.0))
        .collect();
    let all: u32 = lent.iter().sum();
    let shortage: f64 = shortages.iter().sum();
    let before: f64 = shortages[..home].iter().sum();
    let at = |up_to: f64| (up_to / shortage.max(f64::MIN_POSITIVE) * f64::from(all)).round() as u32;
    let range = at(before)..at(before + shortages[home]);
    // The assignment to entries continues where the split of the region's own slots ended.
    let turn = own as u32 + areas[home].entries as u32
        - (total(&areas[home]) % areas[home].entries.max(1) as u32);
    let entries = areas[home].entries.max(1) as u32;
    let mut number = 0;
    let mut own_slots = |slots: u32| {
        let numbers = number..number + slots;
        number += slots;
        let range = range.clone();
        let own_slots = numbers
            .filter(|it| range.contains(it) && (it - range.start) % entries == turn % entries);
        own_slots.count() as u32
    };
    let regions = areas.iter().zip(lent);
    regions
        .map(|(area, lent)| {
            let spread = spread(&area.slots, *lent).into_iter();
            spread.map(&mut own_slots).collect()
        })
        .collect()
}

/// Recent rate of requests of one kind at an entry.
#[derive(Clone, Copy, Debug)]
pub struct RequestRate {
    window_s: f64,
    rate: f64,
    at: Time,
}

impl Default for RequestRate {
    fn default() -> RequestRate {
        RequestRate::with_window(WINDOW_S)
    }
}

impl RequestRate {
    /// Creates a rate that is averaged over `window_s` seconds.
    pub fn with_window(window_s: f64) -> RequestRate {
        RequestRate {
            window_s,
            rate: 0.0,
            at: Time::ZERO,
        }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Time) {
        self.add(1.0, now);
    }

    /// Adds an amount, of which the rate per second is measured.
    pub fn add(&mut self, amount: f64, now: Time) {
        self.rate = self.rate(now) + amount / self.window_s;
        self.at = now;
    }

    /// Returns the requests per second.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.seconds_since(self.at) / self.window_s).exp()
    }
}

/// Returns the number of requests that a replica may have received since the other entries reported
/// their requests `age` ago, at `rate` requests a second: the mean plus one standard deviation. As
/// many requests may have ended in the meantime. They are not subtracted, since a slot that is used
/// twice delays one request, while an unused slot delays none.
pub fn unseen_requests(rate: f64, age: Duration) -> f64 {
    let mean = rate * age.as_secs_f64();
    mean + mean.sqrt()
}

/// Returns the probability with which an entry sends a request beyond its own slots to a free slot
/// of other entries.
///
/// `free` is the total number of such slots as reported by the `others` other entries, and `age`
/// the mean age of these reports. Each other entry is assumed to have the same rate of such
/// requests as this one, `rate` per second, and the same probability. The probability falls with
/// the number of requests that the others may have sent since their reports, so that all entries
/// together send no more requests than there are slots before the next reports.
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
