//! Selection of a replica by prefix affinity and load.
//!
//! An entry's view of the load is always stale: reports lag, and other entries send requests as
//! well. The agent makes the final decision, so a stale view costs a refusal and a retry but never
//! overloads a replica.

use rand::Rng;

use crate::{clock::Time, rendezvous};

/// Age at which a load report has half of its initial weight, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// A replica is used for its cached prefixes up to this multiple of the mean load.
const LOAD_BOUND: f64 = 1.25;
/// Number of candidates tried in the prefix's rendezvous order before load alone decides.
const AFFINITY_DEPTH: usize = 2;

/// Distance of a replica from the entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// Same availability zone as the entry.
    Zone,
    /// Another availability zone.
    OtherZone,
}

/// A replica that serves the pinned version, accepts requests and is not suspect.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Identifier chosen by the caller of this module.
    pub key: K,
    /// Hash of the instance's name.
    pub node: u64,
    /// Distance from the entry.
    pub locality: Locality,
    /// In-flight requests from this entry.
    pub own: u32,
    /// In-flight requests from other entries, as of the last report.
    pub others: u32,
    /// Time of the last report.
    pub reported: Time,
    /// Number of requests that can run at once.
    pub capacity: u32,
}

impl<K> Candidate<K> {
    /// Returns the share of the capacity in use. Requests from other entries are discounted by the
    /// age of the report.
    pub fn load(&self, now: Time) -> f64 {
        let age_ms = now.since(self.reported).as_millis() as f64;
        let weight = 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        let running = f64::from(self.own) + f64::from(self.others) * weight;
        running / f64::from(self.capacity.max(1))
    }
}

/// Algorithms for selecting a replica. All but [`Scheme::Affinity`] are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scheme {
    /// Prefix affinity with bounded load, then the power of two choices.
    #[default]
    Affinity,
    /// Fewest in-flight requests from this entry.
    LeastInFlight,
    /// Uniformly random.
    Random,
    /// Round robin.
    RoundRobin,
}

/// Selects a replica by a baseline algorithm. `turn` is the number of selections so far.
pub fn baseline<K: Copy>(
    scheme: Scheme,
    candidates: &[Candidate<K>],
    turn: usize,
    rng: &mut impl Rng,
) -> Option<K> {
    if candidates.is_empty() {
        return None;
    }
    let chosen = match scheme {
        Scheme::LeastInFlight => candidates.iter().min_by_key(|it| it.own),
        Scheme::RoundRobin => candidates.get(turn % candidates.len()),
        Scheme::Affinity | Scheme::Random => candidates.get(rng.random_range(0..candidates.len())),
    };
    chosen.map(|it| it.key)
}

/// Selects a replica for a request whose prompt starts with the text that hashes to `prefix`.
/// Prefers the replica with the prefix in its cache. If that replica is much busier than the
/// others, selects the less loaded of two random replicas, and the nearer one if their loads are
/// equal.
pub fn choose<K: Copy>(
    candidates: &[Candidate<K>],
    prefix: Option<u64>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<K> {
    if candidates.is_empty() {
        return None;
    }
    let preferred = prefix.and_then(|it| by_prefix(candidates, it, now));
    preferred
        .or_else(|| two_choices(candidates, now, rng))
        .map(|it| it.key)
}

fn by_prefix<K>(candidates: &[Candidate<K>], prefix: u64, now: Time) -> Option<&Candidate<K>> {
    let total: f64 = candidates.iter().map(|it| it.load(now)).sum();
    let mean = total / candidates.len() as f64;
    let nodes: Vec<u64> = candidates.iter().map(|it| it.node).collect();
    let ranked = rendezvous::order(prefix, &nodes)
        .into_iter()
        .take(AFFINITY_DEPTH);
    ranked.map(|idx| &candidates[idx]).find(|it| {
        let one = 1.0 / f64::from(it.capacity.max(1));
        let load = it.load(now) + one;
        load <= (mean + one) * LOAD_BOUND && load <= 1.0
    })
}

fn two_choices<'a, K>(
    candidates: &'a [Candidate<K>],
    now: Time,
    rng: &mut impl Rng,
) -> Option<&'a Candidate<K>> {
    let first = &candidates[rng.random_range(0..candidates.len())];
    let second = &candidates[rng.random_range(0..candidates.len())];
    let order = first
        .load(now)
        .total_cmp(&second.load(now))
        .then(first.locality.cmp(&second.locality));
    Some(if order.is_le() { first } else { second })
}
