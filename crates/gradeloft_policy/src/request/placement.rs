//! Which replica of a service gets a request.

use rand::Rng;

use crate::{
    clock::Time,
    process::replicas::{Replica, ReplicaKey},
};

/// What a replica in another availability zone has to be emptier by, as a part of its slots: the way
/// there costs milliseconds and priced bytes.
const FAR: f64 = 0.06;
/// Noise, as a part of a replica's slots, so that entries with the same view do not all pick the
/// same replica.
const NOISE: f64 = 0.06;
/// What a replica that failed a moment ago is behind all others by.
const SUSPECT: f64 = 1_000.0;

/// What a request asks of its replica.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The entry's availability zone.
    pub zone: &'a str,
    /// Oldest version of weights allowed; `None` for any.
    pub version: Option<u64>,
    /// Replicas that this request has been sent to.
    pub tried: &'a [ReplicaKey],
}

/// Picks the replica with the fewest requests for its slots; `None` if none takes work.
pub fn choose<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    wish: Wish<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<ReplicaKey> {
    let allowed = |it: &Replica| {
        let new_enough = wish.version.is_none_or(|oldest| {
            !it.listing.has_model || it.version(now).is_some_and(|it| oldest <= it)
        });
        it.open(now) && new_enough
    };
    replicas
        .filter(|(key, it)| allowed(it) && !wish.tried.contains(key))
        .map(|(key, it)| (cost(it, wish, now) + NOISE * rng.random::<f64>(), key))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}

fn cost(replica: &Replica, wish: Wish<'_>, now: Time) -> f64 {
    let slots = f64::from(replica.listing.slots.max(1));
    let mut cost = f64::from(replica.load()) / slots;
    if replica.listing.zone != wish.zone {
        cost += FAR;
    }
    if replica.suspect(now) {
        cost += SUSPECT;
    }
    cost
}
