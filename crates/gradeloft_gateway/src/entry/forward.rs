//! Forwarding of one request: its route, its attempts at replicas, and its response.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use gradeloft_platform::fleet::Headers;
use gradeloft_policy::{
    clock::Time,
    process::{
        allowed_regions::AllowedRegions,
        document::{Config, Denied, Route, RouteKind},
        freshness::Freshness,
        replicas::ReplicaKey,
    },
    rendezvous,
    request::{
        admission_level::Verdict,
        attempt::{Attempts, Failure, Ran},
        contention::{Contender, Precedence},
        forecast,
        placement::{ExclusionCounts, Urgency},
        prompt,
        quarantine::Subjects,
        reservation::Answer,
    },
};
use gradeloft_wire::{frame::Table, id::Fingerprint, quarantine::Subject};
use rand::Rng;
use slog::info;

use super::{
    Entry,
    abort::{AbortReason, ShutdownGuard},
    attempt::Attempt,
    connection::{ConnectionReuse, ReceivedRequest, refuse},
    hedge,
    quarantine::ExclusiveAttempt,
    queue::{self, Place},
    refusal::Refusal,
    relay::BufferedResponse,
    selection::{self, CapacityWait},
};
use crate::{
    events::Cursor,
    h1::{head::Request, wire::Wire},
    logs::Topic,
    metrics::{self, Metrics, Reason},
};

/// Largest number of prompt tokens that a request may declare; several times the longest contexts of models.
const MAX_PROMPT_TOKENS: f64 = 10_000_000.0;

/// A request that is being forwarded, and its state so far.
pub struct Job {
    /// Request as the caller sent it.
    pub received: ReceivedRequest,
    /// Route by the configuration in force when the request was received.
    pub route: Route,
    /// Service drawn at random from the services of the route.
    pub service: Rc<str>,
    /// Team that sent the request.
    pub team: Option<Rc<str>>,
    /// Precedence of the request among those that compete for the service's replicas.
    pub precedence: Precedence,
    /// Regions in which the request may be served.
    pub allowed_regions: AllowedRegions,
    /// Time by which the response must be complete.
    pub deadline: Time,
    /// Time by which the response must begin to meet the route's latency objective.
    pub goal: Time,
    /// Time since the caller's first try, by its remaining time.
    pub age: Duration,
    /// Whether the caller was refused before and returns. For services whose requests are ranked,
    /// only callers that return at the time of their booking count.
    pub returned: bool,
    /// Number of prompt tokens; 0 without a prompt.
    pub prompt_tokens: f64,
    /// Random number in 0..1 that decides whether the request is within the fraction that is
    /// admitted.
    pub(super) draw: f64,
    /// Last decision of the service's level of admission.
    pub(super) verdict: Verdict,
    /// Urgency when the current replica was selected.
    pub urgency: Urgency,
    /// Time until the first token that was forecast when the current replica was selected, in
    /// milliseconds; 0 without a forecast.
    pub expected_ms: u64,
    /// Attempts so far, and the limits on further ones.
    pub progress: Attempts,
    /// Replicas tried.
    pub tried: Vec<ReplicaKey>,
    /// Whether the response head was sent to the caller before the response was complete.
    pub head_sent: bool,
    /// Position up to which a stream was sent to the caller.
    pub cursor: Cursor,
    /// Version of the weights that began the response.
    pub version: Option<u64>,
    /// Time at which the response began.
    pub first_byte: Option<Time>,
    /// Time at which response data was last received from the current replica.
    pub last_data_at: Option<Time>,
    /// Whether the caller requested to keep its connection open.
    pub keep_alive: bool,
    /// Whether the response head announced that the connection closes after the response.
    pub close_after_response: bool,
    /// Version of the configuration in force when the request was received.
    config_version: u64,
    /// Failures of attempts so far, for the log.
    failures: Vec<Failure>,
    /// Reasons why no replica was available at the last selection.
    pub(super) exclusions: Option<ExclusionCounts>,
    /// Response to the caller about its return, once it is refused for lack of room.
    return_answer: Option<Answer>,
    /// Time since which no replica has been available.
    pub(super) waiting_since: Option<Time>,
    /// Place in the queue of requests that wait for a replica with room.
    pub(super) place: Option<Place>,
    /// Time spent in the queue, without a current wait.
    pub(super) waited: Duration,
    /// Number of requests ahead when this one first joined the queue.
    pub(super) queue_position: Option<usize>,
    fingerprint: OnceCell<Fingerprint>,
    subjects: OnceCell<Subjects>,
    /// How responses of replicas ended, for the log.
    pub(super) response_ends: Vec<String>,
    /// Whether the last response ended with its connection, without a declared length.
    pub(super) ended_with_connection: bool,
    /// Whether the request made way for callers that do not pipeline.
    made_way: bool,
    /// Suspect because of which the request was refused.
    pub(super) blamed: Option<Subject>,
    /// Guard held while this entry must not send another copy of this suspect request.
    pub(super) exclusive_attempt: Option<ExclusiveAttempt>,
}

impl Job {
    /// Returns the fingerprint that identical requests share.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let head = &self.received.head;
            let text = |it| std::str::from_utf8(it).unwrap_or_default();
            let host = head.fields.get("host").unwrap_or_default();
            let place = [host, text(&head.method), text(&head.target)];
            let body = self.received.body.segments();
            Fingerprint::of_segments(self.team.as_deref(), place, body)
        })
    }

    /// Returns what the crash of a replica with this request may be held against.
    pub(super) fn subjects(&self, headers: &Headers) -> &Subjects {
        self.subjects.get_or_init(|| {
            let declared = self.received.head.fields.get(headers.prompt_parts);
            let parts = prompt::shared_parts(declared.unwrap_or_default());
            Subjects {
                request: self.fingerprint(),
                parts: parts.into_iter().map(Fingerprint::of_part).collect(),
            }
        })
    }

    /// Returns whether an attempt may have crashed its replica.
    pub(super) fn may_have_crashed_a_replica(&self) -> bool {
        self.failures.iter().any(|it| it.may_be_crash())
    }
}

/// Returns a request as one that competes for its service's replicas; `None` for services without a
/// model.
pub(super) fn contender(entry: &Entry, job: &Job) -> Option<Contender> {
    let speed = entry.speed(&job.service)?;
    let slots = entry.slots_of(&job.service)?;
    let team = job.team.as_deref();
    Some(Contender {
        precedence: job.precedence,
        team: team.map(|it| rendezvous::hash(it.as_bytes())),
        work_ms: forecast::work_ms(&speed, slots, job.prompt_tokens),
        goal: job.goal,
        deadline: job.deadline,
        returned: job.returned,
    })
}

/// Outcome of a request.
enum Outcome {
    Answered(u16),
    /// The response was cut off after its head was sent.
    Cut(AbortReason),
    Aborted(AbortReason),
    Refused(Refusal),
}

/// Forwards a request to replicas and sends the response to the caller.
pub async fn forward(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    received: ReceivedRequest,
    keep_alive: bool,
) -> ConnectionReuse {
    let keep_alive = keep_alive && received.head.is_http_1_1;
    let job = match prepare(entry, received, keep_alive) {
        Ok(job) => job,
        Err(refused) => {
            let (refusal, received) = *refused;
            let close = !keep_alive || entry.node.draining.get() || refusal.requires_reconnect();
            return send_denial(entry, caller, &received.head, refusal, close).await;
        }
    };
    run_attempts(entry, caller, job).await
}

/// Responds to a request that is refused by its head alone.
pub(super) async fn deny(
    entry: &Entry,
    caller: &mut Wire,
    head: &Request,
    refusal: Refusal,
    keep_alive: bool,
) -> ConnectionReuse {
    let keep_alive = keep_alive && head.is_http_1_1;
    let close = !keep_alive || entry.node.draining.get() || refusal.requires_reconnect();
    send_denial(entry, caller, head, refusal, close).await
}

async fn send_denial(
    entry: &Entry,
    caller: &mut Wire,
    head: &Request,
    refusal: Refusal,
    close: bool,
) -> ConnectionReuse {
    count(entry, "-", refusal.error_response().name);
    log_refusal(entry, head, refusal);
    let sent = refuse(entry, caller, refusal, Some(head), close).await;
    keep_or_close(sent && !close)
}

/// Decides by the head of a request whether the configuration in force allows it.
pub(super) fn check_head(entry: &Entry, head: &Request) -> Result<(), Refusal> {
    let Some(config) = entry.config.borrow().clone() else {
        return Err(Refusal::NoConfig);
    };
    let freshness = entry.freshness();
    if freshness == Freshness::Stale {
        return Err(Refusal::Behind);
    }
    let host = head.fields.get("host").unwrap_or_default();
    let key = head.fields.get(entry.node.platform.headers.api_key);
    let route = config.route(host, head.path());
    let allowed = route.and_then(|it| config.team(it, key));
    allowed.map(|_| ()).map_err(|it| denial(it, freshness))
}

fn denial(denied: Denied, freshness: Freshness) -> Refusal {
    let refusal = match denied {
        Denied::NoRoute => Refusal::NoRoute,
        Denied::NoService => Refusal::NoService,
        Denied::UnknownKey => Refusal::UnknownKey,
    };
    refusal.adjusted_for(freshness)
}

fn prepare(
    entry: &Rc<Entry>,
    received: ReceivedRequest,
    keep_alive: bool,
) -> Result<Job, Box<(Refusal, ReceivedRequest)>> {
    let Some(config) = entry.config.borrow().clone() else {
        return Err(Box::new((Refusal::NoConfig, received)));
    };
    let freshness = entry.freshness();
    if freshness == Freshness::Stale {
        return Err(Box::new((Refusal::Behind, received)));
    }
    match resolve_route(entry, &config, &received) {
        Ok(destination) => {
            let (route, team) = (&destination.route, destination.team.as_deref());
            let allowed_regions = config.allowed_regions(route, team);
            let precedence = config.precedence(route, team);
            let job = Job {
                precedence,
                ..new_job(entry, destination, allowed_regions, received, keep_alive)
            };
            match entry.drain.get() {
                Some(drain) if entry.others_accept_callers() || !drain.accepts(job.deadline) => {
                    Err(Box::new((Refusal::Leaving, job.received)))
                }
                _ => Ok(job),
            }
        }
        Err(denied) => Err(Box::new((denial(denied, freshness), received))),
    }
}

/// Route of a request, with the choices that the configuration leaves to the request.
struct Destination {
    route: Route,
    team: Option<Rc<str>>,
    service: Rc<str>,
}

/// Returns the destination that the configuration in force allows a request.
fn resolve_route(
    entry: &Entry,
    config: &Config,
    received: &ReceivedRequest,
) -> Result<Destination, Denied> {
    let fields = &received.head.fields;
    let host = fields.get("host").unwrap_or_default();
    let route = config.route(host, received.head.path())?;
    let key = fields.get(entry.node.platform.headers.api_key);
    let team = config.team(route, key)?;
    let service = entry.node.with_rng(|it| route.draw(it));
    Ok(Destination {
        route: route.clone(),
        team,
        service: service.ok_or(Denied::NoService)?,
    })
}

fn new_job(
    entry: &Entry,
    destination: Destination,
    allowed_regions: AllowedRegions,
    received: ReceivedRequest,
    keep_alive: bool,
) -> Job {
    let Destination {
        route,
        team,
        service,
    } = destination;
    let name = entry.node.platform.headers.deadline;
    let declared = received
        .head
        .fields
        .get(name)
        .and_then(|it| it.parse().ok());
    let timeout_ms = declared.map_or(route.timeout_ms, |it: u64| it.min(route.timeout_ms));
    let left = Duration::from_millis(declared.unwrap_or(route.timeout_ms));
    let age = entry.caller_age(&route.name, left);
    let goal = Duration::from_millis(route.goal_ms).saturating_sub(age);
    Job {
        deadline: received.at.after_ms(timeout_ms),
        goal: received.at.after(goal),
        age,
        returned: !age.is_zero(),
        precedence: Precedence::default(),
        prompt_tokens: prompt_tokens(entry, &received),
        draw: entry.node.with_rng(Rng::random),
        verdict: Verdict::Unlimited,
        urgency: Urgency::Late,
        expected_ms: 0,
        progress: Attempts::new(route.kind, route.max_attempts),
        service,
        team,
        allowed_regions,
        received,
        route,
        tried: Vec::new(),
        head_sent: false,
        cursor: Cursor::default(),
        version: None,
        first_byte: None,
        last_data_at: None,
        keep_alive,
        close_after_response: false,
        config_version: entry.config_version(),
        failures: Vec::new(),
        exclusions: None,
        return_answer: None,
        waiting_since: None,
        place: None,
        waited: Duration::ZERO,
        queue_position: None,
        fingerprint: OnceCell::new(),
        subjects: OnceCell::new(),
        made_way: false,
        blamed: None,
        response_ends: Vec::new(),
        ended_with_connection: false,
        exclusive_attempt: None,
    }
}

/// Returns the number of prompt tokens that the caller declares, at most [`MAX_PROMPT_TOKENS`]; zero for
/// what is no number of tokens.
fn prompt_tokens(entry: &Entry, received: &ReceivedRequest) -> f64 {
    let declared = received.head.fields.get(entry.node.platform.headers.tokens);
    let prompt = declared.and_then(|it| it.split(',').next());
    let prompt = prompt.and_then(|it| it.trim().parse::<f64>().ok());
    let prompt = prompt.filter(|it| it.is_finite()).unwrap_or_default();
    // Sums of whole numbers of this size are exact, so that a request that ends leaves nothing behind.
    prompt.round().clamp(0.0, MAX_PROMPT_TOKENS)
}

async fn run_attempts(entry: &Rc<Entry>, caller: &mut Wire, mut job: Job) -> ConnectionReuse {
    entry.count_request(&job.service);
    entry.count_arrival(&job);
    entry.count_team_demand(&job);
    entry.receive_return(&mut job);
    let guard = ShutdownGuard::begin(entry, request_id(entry, &job.received), job.received.at);
    let mut replica_error = None;
    let outcome = loop {
        let now = entry.node.clock.now();
        if job.deadline <= now {
            break Outcome::Refused(match job.progress.ran {
                Ran::No => Refusal::Unsent,
                Ran::Unknown => Refusal::TimedOut,
            });
        }
        if let Some(refusal) = entry.admit(&mut job) {
            break Outcome::Refused(match job.progress.ran {
                Ran::No => refusal,
                Ran::Unknown => Refusal::Lost,
            });
        }
        if let Some(left) = entry.makes_way_for(caller, &job, now) {
            job.made_way = true;
            entry.node.metrics.made_way.inc();
            break Outcome::Refused(Refusal::NoReplica(left));
        }
        if queue::join_behind_others(entry, &mut job, now) {
            match selection::wait_for_turn(entry, caller, &mut job, now).await {
                CapacityWait::Retry => continue,
                CapacityWait::GiveUp => break exhausted_outcome(&job),
                CapacityWait::CallerGone => break Outcome::Aborted(AbortReason::CallerLeft),
            }
        }
        let Some(replica) = selection::select_replica(entry, &mut job, now) else {
            match selection::wait_for_capacity(entry, caller, &mut job, now).await {
                CapacityWait::Retry => continue,
                CapacityWait::GiveUp => break exhausted_outcome(&job),
                CapacityWait::CallerGone => break Outcome::Aborted(AbortReason::CallerLeft),
            }
        };
        job.exclusions = None;
        job.waiting_since = None;
        if 0 < job.progress.attempts {
            if !entry.take_repeat(&job.service) {
                break exhausted_outcome(&job);
            }
            entry.count_team_demand(&job);
        }
        queue::leave(entry, &mut job, true, now);
        job.tried.push(replica);
        let ended = match Attempt::begin(entry, caller, &mut job, replica).await {
            Ok(attempt) => hedge::run_attempt(entry, caller, &mut job, attempt).await,
            Err(ended) => hedge::handle_start_failure(entry, &mut job, replica, ended),
        };
        match ended {
            hedge::RunOutcome::Answered(status) => break Outcome::Answered(status),
            hedge::RunOutcome::Aborted(reason) => break Outcome::Aborted(reason),
            hedge::RunOutcome::TimedOut => {
                job.progress.ran = Ran::Unknown;
                break Outcome::Refused(Refusal::TimedOut);
            }
            hedge::RunOutcome::Failed(response) => {
                replica_error = response.or(replica_error);
                if !job.progress.may_retry() || entry.risks_another_crash(&job) {
                    break exhausted_outcome(&job);
                }
            }
        }
    };
    queue::leave(entry, &mut job, false, entry.node.clock.now());
    guard.disarm();
    finish(entry, caller, job, replica_error, outcome).await
}

/// Counts a failed attempt of a request, and records the failure.
pub(super) fn count_failed_attempt(
    entry: &Entry,
    job: &mut Job,
    replica: ReplicaKey,
    failure: Failure,
) {
    job.progress.record_failure(failure);
    record_failure(entry, job, replica, failure);
}

/// Records the failure of an attempt that was already counted as failed.
pub(super) fn record_failure(entry: &Entry, job: &mut Job, replica: ReplicaKey, failure: Failure) {
    job.failures.push(failure);
    let label = Reason {
        reason: failure.name(),
    };
    entry.node.metrics.attempts.get_or_create(&label).inc();
    let now = entry.node.clock.now();
    let mut replicas = entry.replicas.borrow_mut();
    if failure == Failure::Misdirected {
        replicas.remove_replaced(replica);
    } else if failure.implicates_replica() {
        replicas.failed(replica, now);
    }
}

/// Returns the outcome of a request that will not be sent to any further replica.
fn exhausted_outcome(job: &Job) -> Outcome {
    if job.head_sent {
        let abort_reason = job
            .failures
            .last()
            .map_or(AbortReason::Time, |it| AbortReason::Replica(*it));
        return Outcome::Cut(abort_reason);
    }
    Outcome::Refused(match job.progress.ran {
        Ran::No => Refusal::NoReplica(Duration::ZERO),
        Ran::Unknown => Refusal::Lost,
    })
}

async fn finish(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    mut job: Job,
    replica_error: Option<BufferedResponse>,
    outcome: Outcome,
) -> ConnectionReuse {
    let close = entry.closes_after(&job);
    match outcome {
        Outcome::Answered(status) => {
            record_outcome(entry, &job, status, "answered", None);
            // A connection that the response head announced as kept open stays open, as the
            // caller's next request may be in transit.
            keep_or_close(!job.close_after_response)
        }
        Outcome::Cut(abort_reason) => {
            record_outcome(entry, &job, 0, "cut", Some(abort_reason));
            ConnectionReuse::Close
        }
        Outcome::Aborted(reason) => {
            record_outcome(entry, &job, 0, "caller_gone", Some(reason));
            ConnectionReuse::Close
        }
        Outcome::Refused(_) if job.head_sent => {
            record_outcome(entry, &job, 0, "cut", Some(AbortReason::Time));
            ConnectionReuse::Close
        }
        Outcome::Refused(refusal) => {
            // The replica's own error response has more information for the caller than a refusal.
            if let Some(replica_error) = replica_error.filter(|_| job.progress.ran == Ran::Unknown)
            {
                record_outcome(entry, &job, replica_error.status(), "replica_failed", None);
                let sent = replica_error.send(entry, caller, &job, close).await;
                return keep_or_close(sent && !close);
            }
            let pipelines = matches!(refusal, Refusal::NoReplica(_)) && caller.has_unread_data();
            let refusal = match refusal {
                Refusal::NoReplica(left) => {
                    Refusal::NoReplica(answer_return(entry, &mut job, left, pipelines))
                }
                refusal => refusal,
            };
            record_outcome(
                entry,
                &job,
                refusal.error_response().status,
                refusal.error_response().name,
                None,
            );
            // A caller that has sent its next request already can't wait for the time to retry.
            let close = close || pipelines;
            let head = Some(&job.received.head);
            let sent = refuse(entry, caller, refusal, head, close).await;
            keep_or_close(sent && !close)
        }
    }
}

/// Returns when the caller of a request that found no replica should retry: after `left`, if the request
/// made way for others.
fn answer_return(entry: &Entry, job: &mut Job, left: Duration, pipelines: bool) -> Duration {
    let answer = match job.made_way {
        true => Answer {
            retry_after: left,
            booked: false,
        },
        false => entry.retry_after(job),
    };
    if !pipelines {
        entry.record_patient(&job.service);
    }
    job.return_answer = Some(answer);
    answer.retry_after
}

impl Entry {
    /// Returns whether other entries accept callers, as far as this one knows.
    fn others_accept_callers(&self) -> bool {
        let now = self.node.clock.now();
        self.roster.borrow().serving(|_| true, now).next().is_some()
    }

    /// Returns whether a request's connection closes after its response.
    pub(super) fn closes_after(&self, job: &Job) -> bool {
        !job.keep_alive || self.node.draining.get()
    }
}

fn keep_or_close(keep: bool) -> ConnectionReuse {
    if keep {
        ConnectionReuse::Keep
    } else {
        ConnectionReuse::Close
    }
}

fn count(entry: &Entry, service: &str, outcome: &'static str) {
    let label = metrics::RequestLabels {
        service: service.to_owned(),
        outcome,
    };
    entry.node.metrics.requests.get_or_create(&label).inc();
}

/// Counts and logs the outcome of a request.
fn record_outcome(
    entry: &Entry,
    job: &Job,
    status: u16,
    outcome: &'static str,
    abort_reason: Option<AbortReason>,
) {
    let now = entry.node.clock.now();
    let metrics = &entry.node.metrics;
    count(entry, &job.service, outcome);
    if let Some(abort_reason) = abort_reason {
        entry.count_cut_off(abort_reason);
    }
    let team = job.team.as_deref();
    let since = |it: Time| it.since(job.received.at);
    if let Some(first) = job.first_byte {
        Metrics::observe(&metrics.first_byte, team, since(first));
    }
    Metrics::observe(&metrics.whole_answer, team, since(now));
    let topic = if outcome == "answered" {
        Topic::Answered
    } else {
        Topic::Failed
    };
    let Some(log) = entry.node.logs.line(topic) else {
        return;
    };
    let failures: Vec<&str> = job.failures.iter().map(|it| it.name()).collect();
    let tried = entry.replica_ids(&job.tried);
    info!(log, "request";
        "request" => request_id(entry, &job.received), "outcome" => outcome, "status" => status,
        "route" => &*job.route.name, "service" => &*job.service, "team" => team.unwrap_or("-"), "homes" => %job.allowed_regions,
        "replicas" => tried.join(","), "failures" => failures.join(","),
        "first_ms" => job.first_byte.map_or(-1, |it| since(it).as_millis() as i64),
        "ms" => since(now).as_millis() as u64, "claim" => %job.urgency, "expected_ms" => job.expected_ms,
        "admission" => %job.verdict,
        "waited_ms" => job.waited.as_millis() as u64,
        "queue_position" => job.queue_position.map_or(-1, |it| it as i64),
        "ended_by" => abort_reason.map_or("", AbortReason::name),
        "quiet_ms" => job.last_data_at.map_or(-1, |it| now.since(it).as_millis() as i64),
        "leaving_ms" => entry.draining_ms(), "config_before" => job.config_version,
        "config" => entry.config_version(), "behind_ms" => behind_ms(entry),
        "replicas_known" => entry.replicas.borrow().len(), "resumed" => is_resumed(job),
        "fingerprint" => suspect_fingerprint(job, outcome).map_or_else(String::new, |it| it.to_string()),
        "blamed" => job.blamed.map_or_else(String::new, |it| it.to_string()),
        "parts" => suspect_parts(entry, job, outcome), "ended_with_connection" => job.ended_with_connection,
        "response_ends" => job.response_ends.join(","),
        "age_ms" => job.age.as_millis() as u64, "returned" => job.returned,
        "retry_after_ms" => job.return_answer.map_or(-1, |it| it.retry_after.as_millis() as i64),
        "booked" => job.return_answer.is_some_and(|it| it.booked),
        "made_way" => job.made_way,
        "none_free" => job.exclusions.map_or_else(String::new, |it| it.to_string()));
}

/// Returns the fingerprint of a request that may have crashed a replica or is quarantined.
fn suspect_fingerprint(job: &Job, outcome: &str) -> Option<Fingerprint> {
    let crashed = job.may_have_crashed_a_replica();
    let quarantined = outcome == Refusal::Quarantined(Duration::ZERO).error_response().name;
    (crashed || quarantined).then(|| job.fingerprint())
}

/// Returns the ids of the shared prompt parts of a request that may have crashed a replica or is
/// quarantined.
fn suspect_parts(entry: &Entry, job: &Job, outcome: &str) -> String {
    let declared = job
        .received
        .head
        .fields
        .get(entry.node.platform.headers.prompt_parts);
    let declared = declared.filter(|_| suspect_fingerprint(job, outcome).is_some());
    declared.map_or_else(String::new, |it| prompt::shared_parts(it).join(","))
}

/// Returns for how long the configuration has been behind that of peers, in milliseconds; -1 if the
/// configuration is current.
fn behind_ms(entry: &Entry) -> i64 {
    let behind = entry.node.behind(Table::Operator);
    behind.map_or(-1, |it| it.as_millis() as i64)
}

fn is_resumed(job: &Job) -> bool {
    job.route.kind == RouteKind::ResumableStream && job.head_sent && 1 < job.tried.len()
}

/// Logs a request that got no route.
pub(super) fn log_refusal(entry: &Entry, head: &Request, refusal: Refusal) {
    let Some(log) = entry.node.logs.line(Topic::Failed) else {
        return;
    };
    info!(log, "request"; "request" => id_of(entry, head), "outcome" => refusal.error_response().name,
        "status" => refusal.error_response().status, "config" => entry.config_version(),
        "behind_ms" => behind_ms(entry),
        "host" => head.fields.get("host").unwrap_or("-"),
        "path" => head.path());
}

fn request_id<'a>(entry: &Entry, received: &'a ReceivedRequest) -> &'a str {
    id_of(entry, &received.head)
}

fn id_of<'a>(entry: &Entry, head: &'a Request) -> &'a str {
    let name = entry.node.platform.headers.attempt_id;
    head.fields.get(name).unwrap_or("-")
}
