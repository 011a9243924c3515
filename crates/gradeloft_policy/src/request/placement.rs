//! Which replica of a service gets a request.

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
/// Part of the time within which an answer has to begin that a forecast may take. The rest is for the
/// way back to the caller, and for what other entries send to the same replica meanwhile.
const TIMELY: f64 = 0.9;
/// Part of a replica's slots that requests which are late in any case leave free. Fresh requests come
/// to a busy replica every tenth of a second, and need a slot at once.
const SPARE: f64 = 0.125;

/// What an answer to a request can still be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Urgency {
    /// It has begun, and goes on at another replica.
    Resumed,
    /// It is late whenever it begins.
    Late,
    /// It is in time if it begins within so many milliseconds.
    OnTime(f64),
}

impl Urgency {
    /// Of a request that has so much time left to be in time.
    pub fn of(left: Duration) -> Urgency {
        if left.is_zero() {
            Urgency::Late
        } else {
            Urgency::OnTime(left.as_secs_f64() * 1000.0)
        }
    }

    /// What the request can be where no replica makes it that.
    pub fn fallback(self) -> Option<Urgency> {
        matches!(self, Urgency::OnTime(_)).then_some(Urgency::Late)
    }

    /// Rank in a replica's queue, from 0 for the first to 9: streams that go on, then what can be in
    /// time, then what is late; within each by the operator's `priority` of its route.
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

/// What a request asks of its replica.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The entry's availability zone.
    pub zone: &'a str,
    /// Oldest version of weights allowed; `None` for any.
    pub oldest: Option<u64>,
    /// Version that began the answer, where another replica is to go on with it.
    pub same: Option<u64>,
    /// Replicas that this request has been sent to.
    pub tried: &'a [ReplicaKey],
    /// What its answer can still be.
    pub claim: Urgency,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// How fast the service's engines work; `None` for services without a model.
    pub speed: Option<&'a Speed>,
    /// How far what is known of replicas in this entry's region may be off.
    pub near: Uncertainty,
    /// The same for replicas of other regions, of which is heard later.
    pub far: Uncertainty,
}

/// How far what an entry knows of others' requests may be off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Uncertainty {
    /// Part of the requests beyond the entry's own slots that may go where others' slots are free.
    pub chance: f64,
    /// Requests that may have come to each replica since others told what they have there.
    pub unseen: f64,
}

impl Requirements<'_> {
    fn doubt(&self, replica: &Replica) -> Uncertainty {
        if replica.near { self.near } else { self.far }
    }
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

/// Slots that a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Slots {
    /// Those that other entries leave free, too.
    Any,
    /// Those of this entry's part.
    Own,
}

/// A replica that can get the request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ReplicaKey,
    flaws: Flaws,
    near: bool,
    cost: f64,
    /// Whether it has a free slot of this entry's part.
    own: bool,
    /// Slots that are likely free, whoever's part they are.
    spare: f64,
}

/// Picks a replica among those with the fewest flaws; `None` if none takes the request.
///
/// A request to a model goes to the entry's own slots first, near ones before far ones. Where others'
/// slots are seen free, entries draw among them, as all see the same.
pub fn choose<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    wish: Requirements<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Option<ReplicaKey> {
    let candidates = candidates(replicas, wish, now, rng);
    let fewest = candidates.iter().map(|it| it.flaws).min()?;
    let flawless = candidates.into_iter().filter(|it| it.flaws == fewest);
    let candidates: Vec<Candidate> = flawless.collect();
    let is_split = wish.speed.is_some() && wish.claim != Urgency::Resumed;
    if !is_split {
        return least_cost(candidates, rng);
    }
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.near);
    split(near, rng).or_else(|| split(far, rng))
}

/// One with a free slot of this entry's part, else one where others' slots are free.
fn split(candidates: Vec<Candidate>, rng: &mut impl Rng) -> Option<ReplicaKey> {
    let (own, others): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.own);
    least_cost(own, rng).or_else(|| drawn_by_spare(&others, rng))
}

fn candidates<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    wish: Requirements<'_>,
    now: Time,
    rng: &mut impl Rng,
) -> Vec<Candidate> {
    let open: Vec<(ReplicaKey, &Replica)> = replicas
        .filter(|(key, it)| allowed(it, wish, now) && !wish.tried.contains(key))
        .collect();
    let mut draw = |doubt: Uncertainty| match rng.random::<f64>() < doubt.chance {
        true => Slots::Any,
        false => Slots::Own,
    };
    let (near, far) = (draw(wish.near), draw(wish.far));
    let slots = |it: &Replica| if it.near { near } else { far };
    let newest = open.iter().filter_map(|(_, it)| it.version(now)).max();
    open.into_iter()
        .filter(|(_, it)| has_room(it, wish, slots(it), now))
        .map(|(key, it)| Candidate {
            key,
            flaws: flaws(it, wish, now),
            near: it.near,
            cost: cost(it, wish, newest, now) + NOISE * rng.random::<f64>(),
            own: it.has_own_slot(),
            spare: it.spare(wish.doubt(it).unseen),
        })
        .collect()
}

/// The one with the fewest requests for its slots, among a few drawn near and far.
fn least_cost(candidates: Vec<Candidate>, rng: &mut impl Rng) -> Option<ReplicaKey> {
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|it| it.near);
    let compared = near
        .into_iter()
        .choose_multiple(rng, COMPARED)
        .into_iter()
        .chain(far.into_iter().choose_multiple(rng, COMPARED));
    let best = compared.min_by(|a, b| a.cost.total_cmp(&b.cost));
    best.map(|it| it.key)
}

/// One of them, each as likely as it has slots to spare.
fn drawn_by_spare(candidates: &[Candidate], rng: &mut impl Rng) -> Option<ReplicaKey> {
    let drawn = candidates.choose_weighted(rng, |it| it.spare);
    drawn.ok().map(|it| it.key)
}

/// Why replicas can't get a request, by how many.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExclusionCounts {
    /// Leaving, about to load, or without weights.
    pub closed: u32,
    /// With as many requests as they are given, or cold.
    pub full: u32,
    /// With weights that are too old.
    pub old: u32,
    /// Sent this request before.
    pub tried: u32,
    /// In regions in which the request may not be served.
    pub away: u32,
}

impl fmt::Display for ExclusionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ExclusionCounts {
            closed,
            full,
            old,
            tried,
            away,
        } = self;
        write!(
            f,
            "closed:{closed},full:{full},old:{old},tried:{tried},away:{away}"
        )
    }
}

/// Counts why replicas can't get a request; each counts once, by the first reason that holds. `at_home` says whether a
/// replica is in a region in which the request may be served.
pub fn count_exclusions<'a>(
    replicas: impl Iterator<Item = (ReplicaKey, &'a Replica)>,
    at_home: impl Fn(&Replica) -> bool,
    wish: Requirements<'_>,
    now: Time,
) -> ExclusionCounts {
    let mut census = ExclusionCounts::default();
    for (key, replica) in replicas {
        if !at_home(replica) {
            census.away += 1;
        } else if wish.tried.contains(&key) {
            census.tried += 1;
        } else if !replica.open(now) {
            census.closed += 1;
        } else if !allowed(replica, wish, now) {
            census.old += 1;
        } else if !has_room(replica, wish, Slots::Any, now) {
            census.full += 1;
        }
    }
    census
}

/// Whether a replica can take the request. Where all are short of time, those that can be answered in
/// time come before those that can't, as both take the same work.
fn has_room(replica: &Replica, wish: Requirements<'_>, slots: Slots, now: Time) -> bool {
    if !replica.warmup_allows(now) {
        return false;
    }
    let all = replica.listing.slots;
    let takes_more = replica.load() < all + WAITING && replica.waiting() < MAX_UNBEGUN;
    let Some(speed) = wish.speed else {
        return takes_more;
    };
    let borrows = slots == Slots::Any;
    let spare = replica.spare(wish.doubt(replica).unseen);
    match wish.claim {
        Urgency::Resumed => takes_more,
        Urgency::Late => borrows && f64::from(all) * SPARE < spare,
        Urgency::OnTime(within_ms) => {
            (replica.has_own_slot() || (borrows && 0.0 < spare))
                && first_token_ms(replica, speed, wish.prompt_tokens) <= within_ms * TIMELY
        }
    }
}

/// Time until a replica would send the first token of an answer, in milliseconds.
pub fn first_token_ms(replica: &Replica, speed: &Speed, prompt_tokens: f64) -> f64 {
    let published_ms = forecast::first_token_ms(speed, replica.queue(speed), prompt_tokens);
    published_ms * replica.slowness.factor()
}

fn allowed(replica: &Replica, wish: Requirements<'_>, now: Time) -> bool {
    let new_enough = wish.oldest.is_none_or(|oldest| {
        let version = replica.version(now);
        !replica.listing.has_model || version.is_some_and(|it| oldest <= it)
    });
    replica.open(now) && new_enough
}

fn cost(replica: &Replica, wish: Requirements<'_>, newest: Option<u64>, now: Time) -> f64 {
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

fn flaws(replica: &Replica, wish: Requirements<'_>, now: Time) -> Flaws {
    Flaws {
        suspect: replica.suspect(now),
        silent: replica.silent(now),
        congested: replica.congested(now),
        other_version: wish.same.is_some() && wish.same != replica.version(now),
    }
}
