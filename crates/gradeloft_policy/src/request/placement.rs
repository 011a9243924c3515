//! Selection of a replica of a service for a forwarded request.

use std::{fmt, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{
    clock::Time,
    process::{
        document::Speed,
        replicas::{Replica, ReplicaKey},
    },
    request::forecast,
};

/// Cost of a replica in another availability zone, as a share of its slots: the distance adds
/// milliseconds and billed traffic.
const REMOTE_COST: f64 = 0.8;
/// Cost of each request whose response has not begun, as a share of the replica's slots. Prompts
/// are read one after the other, so a request behind a few of them is late even if slots are free.
const UNSTARTED_COST: f64 = 0.15;
/// Range of a random cost, as a share of the replica's slots, so that entries with the same view
/// don't all choose the same replica.
const COST_JITTER: f64 = 0.06;
/// Cost of a replica whose version is older than the newest one, as a share of its slots, so that
/// the replica drains before it changes version.
const STALE_VERSION_COST: f64 = 0.6;
/// Number of near replicas, and of far ones, to compare. Entries learn of each other's requests
/// 125 ms late, so if each compared all replicas, all entries of a large fleet would send their
/// requests to the same few replicas.
const COMPARED_CANDIDATES: usize = 3;
/// Requests that a replica is given beyond its slots. A request that waits for a slot is late and
/// delays those behind it.
const MAX_QUEUED: u32 = 2;

/// Maximum number of requests at a replica whose response has not begun. Behind more prompts, the
/// first token misses typical latency objectives, and a replica that stops delays all these
/// requests.
const MAX_UNSTARTED: u32 = 8;
/// Share of the remaining time to the first token that the forecast may take. The rest covers the
/// way back to the caller and requests that other entries send to the replica meanwhile.
const FORECAST_SHARE: f64 = 0.9;
/// Share of a replica's slots that late requests may not use. A busy replica receives a new request
/// every 100 ms, and that request needs a slot at once.
const LATE_HEADROOM: f64 = 0.125;

/// Latency that is still achievable for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Urgency {
    /// The response has begun and resumes at another replica.
    Resumed,
    /// The response is late whenever it begins.
    Late,
    /// The response is in time if it begins within this many milliseconds.
    OnTime(f64),
}

impl Urgency {
    /// Returns the urgency of a request that is late once `left` has passed.
    pub fn of(left: Duration) -> Urgency {
        if left.is_zero() {
            Urgency::Late
        } else {
            Urgency::OnTime(left.as_secs_f64() * 1000.0)
        }
    }

    /// Returns the urgency to fall back to if no replica can meet this one.
    pub fn fallback(self) -> Option<Urgency> {
        matches!(self, Urgency::OnTime(_)).then_some(Urgency::Late)
    }

    /// Returns the rank in a replica's queue, from 0 (first) to 9: resumed streams, then requests
    /// that can be in time, then late ones. The operator's `priority` of the route ranks the
    /// requests within the last two groups.
    pub fn rank(self, priority: u32) -> u32 {
        match self {
            Urgency::Resumed => 0,
            Urgency::OnTime(_) => 1 + priority.min(3),
            Urgency::Late => 5 + priority.min(4),
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Urgency::Resumed => f.write_str("begun"),
            Urgency::Late => f.write_str("late"),
            Urgency::OnTime(within_ms) => write!(f, "timely:{within_ms:.0}"),
        }
    }
}

/// Requirements of a request on its replica.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Oldest weights version allowed; `None` for any.
    pub min_version: Option<u64>,
    /// Version that began the response, if another replica is to resume it.
    pub resumed_version: Option<u64>,
    /// Replicas that this request was sent to before.
    pub tried: &'a [ReplicaKey],
    /// Latency that is still achievable.
    pub urgency: Urgency,
    /// Number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// Published speed of the service's engines; `None` for services without a model.
    pub speed: Option<&'a Speed>,
    /// Uncertainty about the load of replicas in the entry's region.
    pub near: Uncertainty,
    /// Uncertainty about the load of replicas in other regions, whose reports arrive later.
    pub far: Uncertainty,
}

/// Uncertainty about requests of other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Uncertainty {
    /// Probability that a request beyond the entry's own slots may use free slots of other entries.
    pub overflow_probability: f64,
    /// Estimated requests that each replica received from other entries since their last reports.
    pub unseen_requests: f64,
}

impl Requirements<'_> {
    fn uncertainty(&self, replica: &Replica) -> Uncertainty {
        if replica.near { self.near } else { self.far }
    }
}

/// Drawbacks of a replica that outweigh its load. The first field that differs decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Penalties {
    /// The replica failed recently.
    suspect: bool,
    /// The replica has requests but sends nothing.
    silent: bool,
    /// The link of the replica's instance is saturated.
    congested: bool,
    /// The replica's version differs from the one that began the response. A response comes from a
    /// single version if any replica of that version has room.
    other_version: bool,
}

/// Slots that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotScope {
    /// Slots of this entry and free slots of other entries.
    Any,
    /// Slots of this entry only.
    Own,
}

/// A replica that can accept the request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ReplicaKey,
    penalties: Penalties,
    near: bool,
    cost: f64,
    /// Whether one of this entry's own slots is free.
    own: bool,
    /// Estimated number of free slots, including those of other entries.
    spare: f64,
}

/// Selects a replica among those with the fewest drawbacks; `None` if no replica accepts the
/// request.
///
/// A request to a model uses the entry's own slots first, then free slots of other entries; nearby
/// replicas come before far ones. The choice among other entries' slots is random, as all entries
/// see the same free slots.
pub fn choose<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    requirements: Requirements<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<ReplicaKey> {
    let candidates = candidates(replicas, requirements, now, rng);
    let fewest = candidates.iter().map(|it| it.penalties).min()?;
    let best = candidates.into_iter().filter(|it| it.penalties == fewest);
    let candidates: Vec<Candidate> = best.collect();
    let is_split = requirements.speed.is_some() && requirements.urgency != Urgency::Resumed;
    if !is_split {
        return least_cost(candidates, rng);
    }
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.near);
    choose_split(near, rng).or_else(|| choose_split(far, rng))
}

/// Selects a replica with a free slot of this entry, else one with free slots of other entries.
fn choose_split(candidates: Vec<Candidate>, rng: &mut impl Rng) -> Option<ReplicaKey> {
    let (own, others): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.own);
    least_cost(own, rng).or_else(|| sample_by_spare(&others, rng))
}

fn candidates<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    requirements: Requirements<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Vec<Candidate> {
    let open: Vec<(ReplicaKey, &Replica)> = replicas
        .filter(|(key, it)| allowed(it, requirements, now) && !requirements.tried.contains(key))
        .collect();
    let mut draw =
        |uncertainty: Uncertainty| match rng.random::<f64>() < uncertainty.overflow_probability {
            true => SlotScope::Any,
            false => SlotScope::Own,
        };
    let (near, far) = (draw(requirements.near), draw(requirements.far));
    let slots = |it: &Replica| if it.near { near } else { far };
    let newest = open.iter().filter_map(|(_, it)| it.version(now)).max();
    open.into_iter()
        .filter(|(_, it)| has_room(it, requirements, slots(it), now))
        .map(|(key, it)| Candidate {
            key,
            penalties: penalties(it, requirements, now),
            near: it.near,
            cost: cost(it, requirements, newest, now) + COST_JITTER * rng.random::<f64>(),
            own: it.has_free_own_slot(),
            spare: it.spare(requirements.uncertainty(it).unseen_requests),
        })
        .collect()
}

/// Selects the replica of lowest cost from random samples of the near and the far candidates.
fn least_cost(candidates: Vec<Candidate>, rng: &mut impl Rng) -> Option<ReplicaKey> {
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.near);
    let compared = near
        .into_iter()
        .choose_multiple(rng, COMPARED_CANDIDATES)
        .into_iter()
        .chain(far.into_iter().choose_multiple(rng, COMPARED_CANDIDATES));
    let best = compared.min_by(|a, b| a.cost.total_cmp(&b.cost));
    best.map(|it| it.key)
}

/// Selects a random replica, weighted by its free slots.
fn sample_by_spare(candidates: &[Candidate], rng: &mut impl Rng) -> Option<ReplicaKey> {
    let drawn = candidates.choose_weighted(rng, |it| it.spare);
    drawn.ok().map(|it| it.key)
}

/// Number of replicas that can't accept a request, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExclusionCounts {
    /// Replicas that are listed as draining, about to load, without weights or in an evacuated zone.
    pub closed: u32,
    /// Replicas that say in their responses that they are leaving.
    pub leaving: u32,
    /// Replicas that are full.
    pub full: u32,
    /// Replicas that accept no request of this entry now, as they are cold or limit the request
    /// rate.
    pub limited: u32,
    /// Replicas that asked this entry for a pause.
    pub resting: u32,
    /// Replicas whose weights are too old.
    pub old: u32,
    /// Replicas that this request was sent to before.
    pub tried: u32,
    /// Replicas in regions where the request may not be served.
    pub away: u32,
    /// Earliest time at which a limited or resting replica accepts a request of this entry.
    pub room_at: Option<Time>,
}

impl ExclusionCounts {
    fn note_room(&mut self, room_at: Option<Time>) {
        self.room_at = self.room_at.into_iter().chain(room_at).min();
    }
}

impl fmt::Display for ExclusionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ExclusionCounts {
            closed,
            leaving,
            full,
            limited,
            resting,
            old,
            tried,
            away,
            room_at: _,
        } = self;
        write!(
            f,
            "closed:{closed},leaving:{leaving},full:{full},limited:{limited},resting:{resting},old:{old},tried:{tried},away:{away}"
        )
    }
}

/// Counts replicas that can't accept a request, each by the first reason that applies.
/// `in_allowed_region` returns whether the request may be served in a replica's region.
pub fn count_exclusions<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    in_allowed_region: impl Fn(&Replica) -> bool,
    requirements: Requirements<'_>,
    now: Time,
) -> ExclusionCounts {
    let mut counts = ExclusionCounts::default();
    for (key, replica) in replicas {
        if !in_allowed_region(replica) {
            counts.away += 1;
        } else if requirements.tried.contains(&key) {
            counts.tried += 1;
        } else if replica.throttle.leaving.value() {
            counts.leaving += 1;
        } else if !replica.open(now) {
            counts.closed += 1;
        } else if !allowed(replica, requirements, now) {
            counts.old += 1;
        } else if !replica.throttle.rest.allows(now) {
            counts.resting += 1;
            counts.note_room(replica.throttle.rest.ends(now));
        } else if !replica.throttle.rate_allows(now) {
            counts.limited += 1;
            counts.note_room(replica.throttle.next_send(now));
        } else if !has_room(replica, requirements, SlotScope::Any, now) {
            counts.full += 1;
        }
    }
    counts
}

/// Returns whether a replica can accept the request. When capacity is short, requests that can be
/// in time take precedence over late ones, as a late response costs as much work as a timely one.
fn has_room(
    replica: &Replica,
    requirements: Requirements<'_>,
    slots: SlotScope,
    now: Time,
) -> bool {
    if !replica.throttle.rate_allows(now) || !replica.throttle.rest.allows(now) {
        return false;
    }
    let all = replica.listing.slots;
    let takes_more = replica.load() < all + MAX_QUEUED && replica.waiting() < MAX_UNSTARTED;
    let Some(speed) = requirements.speed else {
        return takes_more;
    };
    let borrows = slots == SlotScope::Any;
    let spare = replica.spare(requirements.uncertainty(replica).unseen_requests);
    match requirements.urgency {
        Urgency::Resumed => takes_more,
        Urgency::Late => borrows && f64::from(all) * LATE_HEADROOM < spare,
        Urgency::OnTime(within_ms) => {
            (replica.has_free_own_slot() || (borrows && 0.0 < spare))
                && first_token_ms(replica, speed, requirements.prompt_tokens)
                    <= within_ms * FORECAST_SHARE
        }
    }
}

/// Returns the forecast time until a replica sends the first token of a response, in milliseconds.
pub fn first_token_ms(replica: &Replica, speed: &Speed, prompt_tokens: f64) -> f64 {
    let published_ms = forecast::first_token_ms(speed, replica.queue(speed), prompt_tokens);
    published_ms * replica.slowness.factor()
}

fn allowed(replica: &Replica, requirements: Requirements<'_>, now: Time) -> bool {
    let new_enough = requirements.min_version.is_none_or(|oldest| {
        let version = replica.version(now);
        !replica.listing.has_model || version.is_some_and(|it| oldest <= it)
    });
    replica.open(now) && new_enough
}

fn cost(replica: &Replica, requirements: Requirements<'_>, newest: Option<u64>, now: Time) -> f64 {
    let slots = f64::from(replica.listing.slots.max(1));
    let version = replica.version(now);
    let mut cost = f64::from(replica.load()) / slots;
    if replica.listing.has_model {
        cost += UNSTARTED_COST * f64::from(replica.waiting());
    }
    if replica.listing.zone != requirements.zone {
        cost += REMOTE_COST;
    }
    if requirements.resumed_version.is_none() && version < newest {
        cost += STALE_VERSION_COST;
    }
    cost
}

fn penalties(replica: &Replica, requirements: Requirements<'_>, now: Time) -> Penalties {
    Penalties {
        suspect: replica.suspect(now),
        silent: replica.silent(now),
        congested: replica.congested(now),
        other_version: requirements.resumed_version.is_some()
            && requirements.resumed_version != replica.version(now),
    }
}
