//! Selection of a replica for a request, and waiting for capacity if none has room.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        document::Speed,
        replicas::{Replica, ReplicaKey},
    },
    request::{
        admission_level::Verdict,
        placement::{self, ExclusionCounts, Requirements, Urgency},
        wait,
    },
};

use super::{
    Entry,
    forward::Job,
    queue::{self, Event, Place},
};
use crate::{h1::wire::Wire, settings::Settings};

/// Outcome of a wait for a replica with capacity.
pub(super) enum CapacityWait {
    /// A replica may have capacity now.
    Retry,
    /// The request must not wait any longer.
    GiveUp,
    /// The caller has disconnected.
    CallerGone,
}

/// Waits until a replica may have capacity for a request, after none had capacity.
pub(super) async fn wait_for_capacity(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    now: Time,
) -> CapacityWait {
    // Allows identical requests to be sent while this one waits.
    job.exclusive_attempt = None;
    let Some(until) = wait_until(entry, job, now).filter(|it| now < *it) else {
        return CapacityWait::GiveUp;
    };
    match queue::join_without_room(entry, job, now) {
        Some(place) if place.admit() => wait_in(place, entry, caller, until).await,
        _ => CapacityWait::GiveUp,
    }
}

/// Returns the time until which a request without room waits, or `None` if it does not wait.
fn wait_until(entry: &Entry, job: &mut Job, now: Time) -> Option<Time> {
    let exclusions = count_exclusions(entry, job, now);
    job.exclusions = Some(exclusions);
    if job.verdict.refuses() {
        return None;
    }
    let since = *job.waiting_since.get_or_insert(now);
    // The queue decides by itself who waits while capacity is short.
    let refusing = !entry.bounds_queue(&job.service) && entry.recently_refused(&job.service, now);
    let until = wait::wait_deadline(
        job.urgency,
        exclusions,
        job.received.at,
        Duration::from_millis(job.route.goal_ms),
        job.deadline,
        since,
        refusing,
    )?;
    let latest_start = queue::latest_start(entry, job);
    Some(latest_start.map_or(until, |it| it.min(until)))
}

/// Waits until it is the turn of a request that has not looked for room, as others are ahead of it.
pub(super) async fn wait_for_turn(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    now: Time,
) -> CapacityWait {
    job.exclusive_attempt = None;
    let latest_start = queue::latest_start(entry, job).unwrap_or(job.deadline);
    let Some(place) = &job.place else {
        return CapacityWait::Retry;
    };
    // Unless it is held back, the request has its turn in the round that its arrival began.
    if place.is_held() && (latest_start <= now || !place.admit()) {
        job.exclusions = Some(count_exclusions(entry, job, now));
        return CapacityWait::GiveUp;
    }
    let until = latest_start.max(now.after_ms(wait::POLL_INTERVAL_MS));
    wait_in(place, entry, caller, until).await
}

/// Waits in the queue for a turn to look for room.
async fn wait_in(place: &Place, entry: &Entry, caller: &mut Wire, until: Time) -> CapacityWait {
    loop {
        let now = entry.node.clock.now();
        if until <= now {
            return CapacityWait::GiveUp;
        }
        let look_at = until.min(now.after_ms(wait::POLL_INTERVAL_MS));
        tokio::select! {
            biased;
            () = caller.closed() => return CapacityWait::CallerGone,
            event = place.event() => return match event {
                Event::Turn => CapacityWait::Retry,
                Event::Evicted => CapacityWait::GiveUp,
            },
            () = entry.node.timers.sleep_until(look_at) => place.look(),
        }
    }
}

/// Selects a replica for a request, preferring one that can meet its latency objective.
pub(super) fn select_replica(entry: &Entry, job: &mut Job, now: Time) -> Option<ReplicaKey> {
    job.verdict = entry.decide_admission(job, now);
    let chosen = match job.verdict {
        Verdict::Unlimited => select_alternative(entry, job, now),
        Verdict::InTime(within_ms) => {
            job.urgency = Urgency::OnTime(within_ms);
            select_by_version(entry, job, now)
        }
        Verdict::Late | Verdict::Reserved | Verdict::Shed => None,
    };
    // A waiting request was counted at its first selection.
    if job.waiting_since.is_none() {
        entry.count_placement(&job.service, chosen);
    }
    chosen
}

/// Selects a replica like [`select_replica`], for a request that is already at another replica. The
/// result is not counted towards the service's shortage.
pub(super) fn select_alternative(entry: &Entry, job: &mut Job, now: Time) -> Option<ReplicaKey> {
    job.urgency = urgency(job, now);
    let mut chosen = select_by_version(entry, job, now);
    if let Some(fallback) = job.urgency.fallback().filter(|_| chosen.is_none()) {
        job.urgency = fallback;
        chosen = select_by_version(entry, job, now);
    }
    chosen
}

/// Returns the latency that is still achievable for a request.
pub(super) fn urgency(job: &Job, now: Time) -> Urgency {
    match job.head_sent {
        true => Urgency::Resumed,
        false => Urgency::of(job.goal.since(now)),
    }
}

fn select_by_version(entry: &Entry, job: &Job, now: Time) -> Option<ReplicaKey> {
    // Read again for each attempt, as a version may have become due in the meantime.
    let oldest = entry.oldest_versions(&job.service);
    let preferred = select_from(entry, job, oldest.preferred, now);
    if preferred.is_some() || oldest.preferred == oldest.allowed {
        return preferred;
    }
    select_from(entry, job, oldest.allowed, now)
}

/// Counts the reasons why none of a service's replicas can get a request now.
fn count_exclusions(entry: &Entry, job: &Job, now: Time) -> ExclusionCounts {
    let settings = entry.node.settings();
    let speed = entry.speed(&job.service);
    let requirements = Requirements {
        min_version: entry.oldest_versions(&job.service).allowed,
        ..requirements(entry, job, &settings.zone, speed.as_ref(), now)
    };
    let replicas = entry.replicas.borrow();
    let allowed = |it: &Replica| in_allowed_region(&settings, job, it);
    placement::count_exclusions(replicas.of(&job.service), allowed, requirements, now)
}

fn select_from(
    entry: &Entry,
    job: &Job,
    min_version: Option<u64>,
    now: Time,
) -> Option<ReplicaKey> {
    let settings = entry.node.settings();
    let speed = entry.speed(&job.service);
    let requirements = Requirements {
        min_version,
        ..requirements(entry, job, &settings.zone, speed.as_ref(), now)
    };
    let replicas = entry.replicas.borrow();
    let max_connections = entry.max_connections_per_replica(&job.service);
    let candidates = replicas.of(&job.service).filter(|(key, it)| {
        in_allowed_region(&settings, job, it) && entry.pool.connection_count(*key) < max_connections
    });
    entry
        .node
        .with_rng(|rng| placement::choose(candidates, requirements, now, rng))
}

/// Returns whether a replica is in a region in which the request may be served.
fn in_allowed_region(settings: &Settings, job: &Job, replica: &Replica) -> bool {
    job.allowed_regions.is_unrestricted()
        || job
            .allowed_regions
            .allows(settings.region(&replica.listing.zone))
}

fn requirements<'a>(
    entry: &Entry,
    job: &'a Job,
    zone: &'a str,
    speed: Option<&'a Speed>,
    now: Time,
) -> Requirements<'a> {
    let view = entry.load_uncertainty(&job.service, now);
    Requirements {
        zone,
        min_version: None,
        resumed_version: job.version,
        tried: &job.tried,
        urgency: job.urgency,
        prompt_tokens: job.prompt_tokens,
        speed,
        near: view.near,
        far: view.far,
    }
}
