//! Splits the slots of replicas among entries.
//!
//! An entry learns of the requests of others with a delay. While slots are scarce, all entries
//! would see the same slot become free, and a replica with seemingly free slots would get several
//! times as many requests as it can run. Therefore each slot is assigned to one entry, which fills
//! it without coordination. Free slots of other entries may be used while many slots seem to be
//! free.

use std::time::Duration;

use crate::{clock::Time, rendezvous};

/// Smallest number of slots that an entry is assigned at a replica, as far as there are enough
/// slots for all entries. Entries with many small shares differ less in their free slots than
/// entries with a few large shares.
const SLOTS_PER_ENTRY: u32 = 2;
/// Mean number of entries that are ranked for each holder of a replica's slots. With fewer, many slots
/// find all ranked entries served; with more, large fleets take longer to split.
const RANKED_PER_HOLDER: usize = 4;
/// Requests a second over all entries below which current demand doesn't show where further
/// requests will arrive.
const MIN_DEMAND: f64 = 5.0;
/// Time over which requests are counted, in seconds: about twenty requests of a busy entry.
const WINDOW_S: f64 = 1.0;

/// Slots of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaSlots {
    /// Hash of the replica's id.
    pub key: u64,
    /// Number of slots.
    pub slots: u32,
}

/// Returns the number of slots of each replica that are assigned to one entry. `entries` are the
/// hashes of all entries, and `own` is the position of the entry among them. The numbers of slots
/// of entries differ by at most one.
///
/// ```
/// use gradeloft_policy::process::slot_split::{ReplicaSlots, parts};
/// let replicas = [1, 2].map(|key| ReplicaSlots { key, slots: 16 });
/// let of = |own| parts(own, &[10, 11, 12, 13], &replicas);
/// assert_eq!(of(0), [4, 4]);
/// // Every slot is assigned to an entry.
/// assert_eq!((0..4).map(|it| of(it)[0]).sum::<u32>(), 16);
/// ```
pub fn parts(own: usize, entries: &[u64], replicas: &[ReplicaSlots]) -> Vec<u32> {
    let slots = total(replicas);
    matched(own, &equal_claims(entries, slots, 0), replicas)
}

/// Returns for each entry the number of slots of each replica that are assigned to it, like
/// [`parts`].
pub fn all_parts(entries: &[u64], replicas: &[ReplicaSlots]) -> Vec<Vec<u32>> {
    let slots = total(replicas);
    let mut parts = vec![vec![0; replicas.len()]; entries.len()];
    let claims = equal_claims(entries, slots, 0);
    match_slots(&claims, replicas, |it| {
        parts[it.claim][it.replica] += it.slots;
    });
    parts
}

/// Number of slots that an entry is to be assigned in total.
#[derive(Clone, Copy, Debug)]
struct Claim {
    /// Hash of the entry.
    entry: u64,
    slots: u32,
}

/// Splits `slots` evenly among entries. The remainder goes to entries in the order of their hashes,
/// from position `first` on.
fn equal_claims(entries: &[u64], slots: u32, first: u32) -> Vec<Claim> {
    let count = entries.len().max(1) as u32;
    let claim = |entry: &u64| {
        let position = entries.iter().filter(|it| *it < entry).count() as u32;
        let after = (position + count - first % count) % count;
        Claim {
            entry: *entry,
            slots: slots / count + u32::from(after < slots % count),
        }
    };
    entries.iter().map(claim).collect()
}

/// Slots of a replica that go to a claim, by their positions.
#[derive(Clone, Copy, Debug)]
struct Match {
    replica: usize,
    claim: usize,
    slots: u32,
}

/// Returns the number of slots of each replica that go to the claim at position `own`.
fn matched(own: usize, claims: &[Claim], replicas: &[ReplicaSlots]) -> Vec<u32> {
    let mut parts = vec![0; replicas.len()];
    match_slots(claims, replicas, |it| {
        if it.claim == own {
            parts[it.replica] += it.slots;
        }
    });
    parts
}

/// Matches the slots of replicas with the claims on them, which add up to no more slots.
///
/// Pairs of replica and entry are served in the order of their scores, up to the replica's share
/// for one holder. A change of one replica or claim then only affects pairs of lower score that
/// compete for the same slots or claims.
fn match_slots(claims: &[Claim], replicas: &[ReplicaSlots], mut give: impl FnMut(Match)) {
    // Number of entries that must share each replica for every entry to be assigned slots.
    let needed = claims.len().div_ceil(replicas.len().max(1)).max(1);
    let share = |slots: u32| {
        let least = (slots / needed as u32).clamp(1, SLOTS_PER_ENTRY);
        slots.div_ceil(claims.len().max(1) as u32).max(least)
    };
    let mut free = replicas.to_vec();
    let mut unmet = claims.to_vec();
    let mut serve = |ranked: &dyn Fn(u32) -> usize, share: &dyn Fn(u32) -> u32| {
        for (_, replica, claim) in pairs(&unmet, &free, ranked) {
            let (replica, claim) = (replica as usize, claim as usize);
            let slots = share(replicas[replica].slots);
            let slots = slots.min(free[replica].slots).min(unmet[claim].slots);
            free[replica].slots -= slots;
            unmet[claim].slots -= slots;
            give(Match {
                replica,
                claim,
                slots,
            });
        }
    };
    serve(
        &|slots| RANKED_PER_HOLDER * slots.div_ceil(share(slots)) as usize,
        &share,
    );
    // Claims are left whose entries hold shares of all replicas with free slots, or rank low there.
    serve(&|_| claims.len(), &|slots| slots);
}

/// Returns the positions of replicas and claims with slots, in descending order of the pairs'
/// scores. `ranked` returns the number of claims, of the highest scores, to include for a replica
/// with some slots, which is met on average.
fn pairs(
    claims: &[Claim],
    replicas: &[ReplicaSlots],
    ranked: impl Fn(u32) -> usize,
) -> Vec<(u64, u32, u32)> {
    let claims = (0_u32..).zip(claims).filter(|(_, it)| 0 < it.slots);
    let claims: Vec<(u32, u64)> = claims.map(|(claim, it)| (claim, it.entry)).collect();
    let replicas = (0_u32..).zip(replicas).filter(|(_, it)| 0 < it.slots);
    let mut pairs = Vec::new();
    for (position, replica) in replicas {
        let ranked = ranked(replica.slots).min(claims.len());
        let least = u64::MAX - u64::MAX / claims.len().max(1) as u64 * ranked as u64;
        let least = if ranked < claims.len() { least } else { 0 };
        for (claim, entry) in &claims {
            let score = rendezvous::pair_score(replica.key, *entry);
            if least <= score {
                pairs.push((score, position, *claim));
            }
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    pairs
}

/// Entries, demand and slots of a region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSlots {
    /// Hashes of the entries that accept callers.
    pub entries: Vec<u64>,
    /// Requests a second that these entries receive.
    pub demand: f64,
    /// Replicas that accept requests.
    pub replicas: Vec<ReplicaSlots>,
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
/// use gradeloft_policy::process::slot_split::{RegionSlots, ReplicaSlots, parts_by_region};
/// let area = |first, demand| RegionSlots {
///     entries: vec![first, first + 1],
///     demand,
///     replicas: vec![
///         ReplicaSlots { key: first, slots: 8 },
///         ReplicaSlots { key: first + 1, slots: 8 },
///     ],
/// };
/// let balanced = [area(10, 10.0), area(20, 10.0)];
/// assert_eq!(parts_by_region(&balanced, 0, 0), [[4, 4], [0, 0]]);
/// // The second region has three times the demand, and gets half of the first region's slots.
/// let short = [area(10, 10.0), area(20, 30.0)];
/// assert_eq!(parts_by_region(&short, 0, 0), [[2, 2], [0, 0]]);
/// assert_eq!(parts_by_region(&short, 1, 0), [[2, 2], [4, 4]]);
/// ```
pub fn parts_by_region(areas: &[RegionSlots], home: usize, own: usize) -> Vec<Vec<u32>> {
    let lent: Vec<Vec<ReplicaSlots>> = areas
        .iter()
        .zip(lent(areas))
        .map(|(area, lent)| spread(&area.replicas, lent))
        .collect();
    let kept: Vec<ReplicaSlots> = areas[home]
        .replicas
        .iter()
        .zip(&lent[home])
        .map(|(all, lent)| ReplicaSlots {
            slots: all.slots - lent.slots,
            ..*all
        })
        .collect();
    let mut parts_by_region = borrowed(areas, &lent, home, own);
    parts_by_region[home] = parts(own, &areas[home].entries, &kept);
    parts_by_region
}

/// Returns the number of slots of replicas, at most the largest number there is.
fn total(replicas: &[ReplicaSlots]) -> u32 {
    let slots = replicas.iter().map(|it| it.slots);
    slots.fold(0, u32::saturating_add)
}

/// Returns the number of slots that each region needs, by its share of the total demand.
fn needs(areas: &[RegionSlots]) -> Vec<f64> {
    let serving = |it: &&RegionSlots| !it.entries.is_empty();
    let slots: f64 = areas.iter().map(|it| f64::from(total(&it.replicas))).sum();
    let demand: f64 = areas.iter().filter(serving).map(|it| it.demand).sum();
    let entries: usize = areas.iter().map(|it| it.entries.len()).sum();
    let part = |area: &RegionSlots| match area.entries.len() {
        0 => 0.0,
        // With few requests, the number of entries predicts demand, since callers choose among
        // them.
        entries_here if demand < MIN_DEMAND => entries_here as f64 / entries.max(1) as f64,
        _ => area.demand / demand,
    };
    areas.iter().map(|it| slots * part(it)).collect()
}

/// Returns the number of slots that each region lends.
fn lent(areas: &[RegionSlots]) -> Vec<u32> {
    let needs = needs(areas);
    let surplus = areas.iter().zip(&needs);
    surplus
        .map(|(area, need)| (f64::from(total(&area.replicas)) - need).max(0.0).round() as u32)
        .collect()
}

/// Spreads a number of lent slots evenly over replicas. A change of the number by one changes one
/// replica.
fn spread(replicas: &[ReplicaSlots], lent: u32) -> Vec<ReplicaSlots> {
    let all = total(replicas);
    let part = |it: &ReplicaSlots| u64::from(it.slots) * u64::from(lent) / u64::from(all.max(1));
    let mut spread: Vec<ReplicaSlots> = replicas
        .iter()
        .map(|it| ReplicaSlots {
            slots: part(it) as u32,
            ..*it
        })
        .collect();
    let left = lent.saturating_sub(total(&spread));
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_unstable_by_key(|it| (replicas[*it].key, *it));
    let has_more = |it: &usize| spread[*it].slots < replicas[*it].slots;
    order.retain(has_more);
    for position in order.into_iter().take(left as usize) {
        spread[position].slots += 1;
    }
    spread
}

/// Returns the number of slots of each replica of each region that are lent to the entry at
/// position `own` of the region `home`. Each region gets lent slots in proportion to its shortage,
/// in equal parts for its entries.
fn borrowed(
    areas: &[RegionSlots],
    lent: &[Vec<ReplicaSlots>],
    home: usize,
    own: usize,
) -> Vec<Vec<u32>> {
    let needs = needs(areas);
    let shortages = areas
        .iter()
        .zip(&needs)
        .map(|(area, need)| (need - f64::from(total(&area.replicas))).max(0.0));
    let shortages: Vec<f64> = shortages.collect();
    let shortage: f64 = shortages.iter().sum();
    let replicas: Vec<ReplicaSlots> = lent.iter().flatten().copied().collect();
    let all = total(&replicas);
    let at = |up_to: f64| (up_to / shortage.max(f64::MIN_POSITIVE) * f64::from(all)).round() as u32;
    let mut before = 0.0;
    let claims = (0_u64..).zip(&shortages).map(|(region, short)| {
        let slots = at(before + short) - at(before);
        before += short;
        Claim {
            entry: rendezvous::hash(&region.to_le_bytes()),
            slots,
        }
    });
    let claims: Vec<Claim> = claims.collect();
    let of_region = matched(home, &claims, &replicas).into_iter();
    let of_region: Vec<ReplicaSlots> = of_region
        .zip(&replicas)
        .map(|(slots, it)| ReplicaSlots { slots, ..*it })
        .collect();
    // The remainder goes to the entries after those that got an additional slot of the region's own.
    let entries = &areas[home].entries;
    let claims = equal_claims(entries, claims[home].slots, total(&areas[home].replicas));
    let mut parts = matched(own, &claims, &of_region).into_iter();
    let regions = areas.iter();
    regions
        .map(|it| parts.by_ref().take(it.replicas.len()).collect())
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
