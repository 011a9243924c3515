//! Which replica of a service gets a request.

use std::fmt;

use rand::{Rng, seq::IteratorRandom};

use crate::{
    clock::Time,
    process::replicas::{Replica, ReplicaKey},
};

/// What a replica in another availability zone has to be emptier by, as a part of its slots: the way
/// there costs milliseconds and priced bytes.
const FAR: f64 = 0.8;
/// What each request that has not begun adds, as a part of a replica's slots. Prompts are read one
/// after the other, so a request is late behind a few of them even where slots are free.
const WAITS: f64 = 0.15;
/// Noise, as a part of a replica's slots, so that entries with the same view do not all pick the
/// same replica.
const NOISE: f64 = 0.06;
/// What a replica with an older version than others is behind them by, as a part of its slots, so
/// that it runs empty before it changes over.
const OLD: f64 = 0.6;
/// Replicas that are compared, in the entry's availability zone and elsewhere. Entries learn of each
/// other's requests an eighth of a second late, so if each compared all replicas, all entries of a large
/// fleet would send what comes meanwhile to the same few.
const COMPARED: usize = 3;
/// Requests beyond a replica's slots that it is given. A request that waits for a slot is late, and
/// makes those behind it late.
const WAITING: u32 = 2;

/// Requests that have not begun which a replica is given at most. Behind so many prompts the first
/// token is late by today's objectives, and should the replica stop, all of them are held up.
const MAX_UNBEGUN: u32 = 8;

/// What a request asks of its replica.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The entry's availability zone.
    pub zone: &'a str,
    /// Oldest version of weights allowed; `None` for any.
    pub oldest: Option<u64>,
    /// Version that began the answer, where another replica is to go on with it.
    pub same: Option<u64>,
    /// Replicas that this request has been sent to.
    pub tried: &'a [ReplicaKey],
}

/// What speaks against a replica before its load does. The first field that differs decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Flaws {
    /// It failed a moment ago.
    suspect: bool,
    /// It sends nothing although it has requests.
    silent: bool,
    /// Its instance's link is full.
    congested: bool,
    /// It has another version than the one that began the answer: whole answers come from one
    /// version wherever a replica of it has room.
    other_version: bool,
}

/// A replica that can get the request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ReplicaKey,
    flaws: Flaws,
    near: bool,
    cost: f64,
}

/// Picks the replica with the fewest requests for its slots, among a few drawn from those with the
/// fewest flaws; `None` if none takes work.
pub fn choose<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    wish: Wish<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<ReplicaKey> {
    let open: Vec<(ReplicaKey, &Replica)> = replicas
        .filter(|(key, it)| allowed(it, wish, now) && !wish.tried.contains(key))
        .collect();
    let newest = open.iter().filter_map(|(_, it)| it.version(now)).max();
    let candidates: Vec<Candidate> = open
        .into_iter()
        .filter(|(_, it)| has_room(it))
        .map(|(key, it)| Candidate {
            key,
            flaws: flaws(it, wish, now),
            near: it.listing.zone == wish.zone,
            cost: cost(it, wish, newest, now) + NOISE * rng.random::<f64>(),
        })
        .collect();
    let fewest = candidates.iter().map(|it| it.flaws).min()?;
    let candidates = candidates.iter().filter(|it| it.flaws == fewest);
    let (near, far): (Vec<&Candidate>, Vec<&Candidate>) = candidates.partition(|it| it.near);
    let compared = near
        .into_iter()
        .choose_multiple(rng, COMPARED)
        .into_iter()
        .chain(far.into_iter().choose_multiple(rng, COMPARED));
    let best = compared.min_by(|a, b| a.cost.total_cmp(&b.cost));
    best.map(|it| it.key)
}

/// Why replicas can't get a request, by how many.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Leaving, about to load, or without weights.
    pub closed: u32,
    /// With as many requests as they are given.
    pub full: u32,
    /// With weights that are too old.
    pub old: u32,
    /// Sent this request before.
    pub tried: u32,
}

impl fmt::Display for Census {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Census {
            closed,
            full,
            old,
            tried,
        } = self;
        write!(f, "closed:{closed},full:{full},old:{old},tried:{tried}")
    }
}

/// Counts why replicas can't get a request; each counts once, by the first reason that holds.
pub fn census<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    wish: Wish<'_>,
    now: Time,
) -> Census {
    let mut census = Census::default();
    for (key, replica) in replicas {
        if wish.tried.contains(&key) {
            census.tried += 1;
        } else if !replica.open(now) {
            census.closed += 1;
        } else if !allowed(replica, wish, now) {
            census.old += 1;
        } else if !has_room(replica) {
            census.full += 1;
        }
    }
    census
}

fn has_room(replica: &Replica) -> bool {
    let slots = replica.load() < replica.listing.slots + WAITING;
    slots && replica.waiting() < MAX_UNBEGUN
}

fn allowed(replica: &Replica, wish: Wish<'_>, now: Time) -> bool {
    let new_enough = wish.oldest.is_none_or(|oldest| {
        let version = replica.version(now);
        !replica.listing.has_model || version.is_some_and(|it| oldest <= it)
    });
    replica.open(now) && new_enough
}

fn cost(replica: &Replica, wish: Wish<'_>, newest: Option<u64>, now: Time) -> f64 {
    let slots = f64::from(replica.listing.slots.max(1));
    let version = replica.version(now);
    let mut cost = f64::from(replica.load()) / slots;
    if replica.listing.has_model {
        cost += WAITS * f64::from(replica.waiting());
    }
    if replica.listing.zone != wish.zone {
        cost += FAR;
    }
    if wish.same.is_none() && version < newest {
        cost += OLD;
    }
    cost
}

fn flaws(replica: &Replica, wish: Wish<'_>, now: Time) -> Flaws {
    Flaws {
        suspect: replica.suspect(now),
        silent: replica.silent(now),
        congested: replica.congested(now),
        other_version: wish.same.is_some() && wish.same != replica.version(now),
    }
}
