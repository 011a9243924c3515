//! Which replica gets a request, and how it waits where none has room.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    process::{
        document::Speed,
        replicas::{Replica, ReplicaKey},
    },
    request::{
        placement::{self, ExclusionCounts, Requirements, Urgency},
        wait,
    },
};

use super::{Entry, forward::Job};
use crate::{h1::wire::Wire, settings::Settings};

/// What came of a wait for a replica with room.
pub(super) enum Room {
    /// A replica may have some by now.
    MayBe,
    /// None is waited for any longer.
    None,
    /// The caller has gone.
    CallerGone,
}

/// Waits until a replica may have room for a request that found none.
pub(super) async fn room(entry: &Entry, caller: &mut Wire, job: &mut Job, now: Time) -> Room {
    // Others like it may go first.
    job.only = None;
    let census = census(entry, job, now);
    job.census = Some(census);
    let since = *job.waits_since.get_or_insert(now);
    let objective = Duration::from_millis(job.route.goal_ms);
    let until = wait::wait_deadline(
        job.claim,
        census,
        job.received.at,
        objective,
        job.deadline,
        since,
        entry.recently_refused(&job.service, now),
    );
    let Some(until) = until.filter(|it| now < *it && entry.speed(&job.service).is_some()) else {
        return Room::None;
    };
    let look = until.min(now.after_ms(wait::POLL_INTERVAL_MS));
    tokio::select! {
        biased;
        () = caller.gone() => Room::CallerGone,
        () = entry.room_freed.notified() => Room::MayBe,
        () = entry.node.timers.sleep_until(look) => Room::MayBe,
    }
}

/// The replica that gets a request: first of all one by which it can be in time.
pub(super) fn choose(entry: &Entry, job: &mut Job, now: Time) -> Option<ReplicaKey> {
    let chosen = another(entry, job, now);
    // One that waits was counted when it came.
    if job.waits_since.is_none() {
        entry.count_placement(&job.service, chosen);
    }
    chosen
}

/// As [`choose`], for a request that a replica has: whether one is found says nothing of a want of room.
pub(super) fn another(entry: &Entry, job: &mut Job, now: Time) -> Option<ReplicaKey> {
    job.claim = match job.head_sent {
        true => Urgency::Resumed,
        false => Urgency::of(job.goal.since(now)),
    };
    let mut chosen = choose_by_version(entry, job, now);
    if let Some(weaker) = job.claim.fallback().filter(|_| chosen.is_none()) {
        job.claim = weaker;
        chosen = choose_by_version(entry, job, now);
    }
    chosen
}

fn choose_by_version(entry: &Entry, job: &Job, now: Time) -> Option<ReplicaKey> {
    // Asked again for each attempt: a version may have become due meanwhile.
    let oldest = entry.oldest_versions(&job.service);
    let preferred = choose_from(entry, job, oldest.preferred, now);
    if preferred.is_some() || oldest.preferred == oldest.allowed {
        return preferred;
    }
    choose_from(entry, job, oldest.allowed, now)
}

/// Why none of a service's replicas can get a request now.
fn census(entry: &Entry, job: &Job, now: Time) -> ExclusionCounts {
    let settings = entry.node.settings();
    let speed = entry.speed(&job.service);
    let wish = Requirements {
        min_version: entry.oldest_versions(&job.service).allowed,
        ..wish(entry, job, &settings.zone, speed.as_ref(), now)
    };
    let replicas = entry.replicas.borrow();
    let here = |it: &Replica| at_home(&settings, job, it);
    placement::count_exclusions(replicas.of(&job.service), here, wish, now)
}

fn choose_from(
    entry: &Entry,
    job: &Job,
    min_version: Option<u64>,
    now: Time,
) -> Option<ReplicaKey> {
    let settings = entry.node.settings();
    let speed = entry.speed(&job.service);
    let wish = Requirements {
        min_version,
        ..wish(entry, job, &settings.zone, speed.as_ref(), now)
    };
    let replicas = entry.replicas.borrow();
    let most = entry.max_connections_per_replica(&job.service);
    let open = replicas
        .of(&job.service)
        .filter(|(key, it)| at_home(&settings, job, it) && entry.pool.used(*key) < most);
    entry
        .node
        .with_rng(|rng| placement::choose(open, wish, now, rng))
}

/// Whether a replica is in a region in which the request may be served.
fn at_home(settings: &Settings, job: &Job, replica: &Replica) -> bool {
    job.homes.is_unrestricted() || job.homes.allows(settings.region(&replica.listing.zone))
}

fn wish<'a>(
    entry: &Entry,
    job: &'a Job,
    zone: &'a str,
    speed: Option<&'a Speed>,
    now: Time,
) -> Requirements<'a> {
    let view = entry.staleness(&job.service, now);
    Requirements {
        zone,
        min_version: None,
        resumed_version: job.version,
        tried: &job.tried,
        urgency: job.claim,
        prompt_tokens: job.prompt_tokens,
        speed,
        near: view.near,
        far: view.far,
    }
}
