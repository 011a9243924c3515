//! Which replica gets a request.
//!
//! The view of an entry is always late: loads are reported with a lag, and other entries send
//! work too. The agent has the last word, so a stale view costs a refusal and a retry, never an
//! overload.

use rand::Rng;

use crate::{clock::Time, rendezvous};

/// Time after which a load report counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 500.0;
/// A replica keeps its prefixes up to this many times the mean load.
const BOUND: f64 = 1.25;
/// Candidates tried in the order of the prefix before load alone decides.
const AFFINITY_DEPTH: usize = 2;

/// How near a replica is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// In the entry's availability zone.
    Zone,
    /// In another one.
    OtherZone,
}

/// A replica that serves the pinned version, takes work and is not suspect.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// The caller's key for it.
    pub key: K,
    /// Hash of its instance's name.
    pub node: u64,
    /// Where it is.
    pub locality: Locality,
    /// Requests of this entry that run there.
    pub own: u32,
    /// Requests of others that ran there when it last reported.
    pub others: u32,
    /// When it last reported.
    pub reported: Time,
    /// Requests that it can run at once.
    pub capacity: u32,
}

impl<K> Candidate<K> {
    /// Share of its capacity that is taken: what this entry knows, and what it was told,
    /// discounted by age.
    pub fn load(&self, now: Time) -> f64 {
        let age_ms = now.since(self.reported).as_millis() as f64;
        let trust = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        let running = f64::from(self.own) + f64::from(self.others) * trust;
        running / f64::from(self.capacity.max(1))
    }
}

/// How replicas are chosen. All but [`Scheme::Affinity`] are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scheme {
    /// By prefix with bounded load, then by two choices.
    #[default]
    Affinity,
    /// The one with the fewest requests of this entry.
    LeastInFlight,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
}

/// Chooses by a baseline; `turn` counts choices.
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

/// Chooses a replica for a request whose prompt begins with what hashes to `prefix`: the replica
/// that has its prefix cached while it is not much busier than the rest, else the less busy of two
/// drawn at random, the nearer on a tie.
pub fn choose<K: Copy>(
    candidates: &[Candidate<K>],
    prefix: Option<u64>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<K> {
    if candidates.is_empty() {
        return None;
    }
    let kept = prefix.and_then(|it| cached(candidates, it, now));
    kept.or_else(|| two_choices(candidates, now, rng))
        .map(|it| it.key)
}

fn cached<K>(candidates: &[Candidate<K>], prefix: u64, now: Time) -> Option<&Candidate<K>> {
    let total: f64 = candidates.iter().map(|it| it.load(now)).sum();
    let mean = total / candidates.len() as f64;
    let nodes: Vec<u64> = candidates.iter().map(|it| it.node).collect();
    let ranked = rendezvous::order(prefix, &nodes)
        .into_iter()
        .take(AFFINITY_DEPTH);
    ranked.map(|idx| &candidates[idx]).find(|it| {
        let one = 1.0 / f64::from(it.capacity.max(1));
        let load = it.load(now) + one;
        load <= (mean + one) * BOUND && load <= 1.0
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
