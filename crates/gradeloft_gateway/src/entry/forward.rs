//! One request: its route, its replicas, its answer.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        allowed_regions::AllowedRegions,
        document::{Config, Denied, Route, RouteKind},
        freshness::Freshness,
        replicas::ReplicaKey,
    },
    request::{
        attempt::{Attempts, Failure, Ran},
        placement::{ExclusionCounts, Urgency},
    },
};
use gradeloft_wire::{frame::Table, id::Fingerprint};
use slog::info;

use super::{
    Entry,
    abort::{Ending, Watched},
    attempt::Attempt,
    connection::{After, Received, refuse},
    hedge,
    quarantine::Try,
    refusal::Refusal,
    relay::Stored,
    selection::{self, Room},
};
use crate::{
    events::Cursor,
    h1::wire::Wire,
    logs::Topic,
    metrics::{self, Metrics, Reason},
};

/// A request on its way, and what happened to it so far.
pub struct Job {
    /// As the caller sent it.
    pub received: Received,
    /// Its route, by the configuration in force when it came.
    pub route: Route,
    /// Service that was drawn for it.
    pub service: Rc<str>,
    /// Team that sent it.
    pub team: Option<Rc<str>>,
    /// Regions in which it may be served.
    pub homes: AllowedRegions,
    /// When it gets its final answer at the latest.
    pub deadline: Time,
    /// When its answer is to have begun to be in time.
    pub goal: Time,
    /// Tokens of its prompt; 0 where it has none.
    pub prompt_tokens: f64,
    /// What its answer could still be when the present replica was chosen.
    pub claim: Urgency,
    /// Time until the first token that was forecast when the present replica was chosen, in milliseconds;
    /// 0 where none was.
    pub expected_ms: u64,
    /// Attempts.
    pub progress: Attempts,
    /// Replicas tried.
    pub tried: Vec<ReplicaKey>,
    /// Whether the head of a stream went out to the caller.
    pub head_sent: bool,
    /// How far a stream went out to the caller.
    pub cursor: Cursor,
    /// Version of the weights that began the answer.
    pub version: Option<u64>,
    /// When the answer began.
    pub first_byte: Option<Time>,
    /// When the present replica sent the last of its answer so far.
    pub heard: Option<Time>,
    /// Whether the caller wants to keep its connection.
    pub keeps: bool,
    /// Whether the head of the answer says that the connection ends after it.
    pub closes: bool,
    /// Version of the configuration in force when it came.
    config: u64,
    /// Failures so far, for the log.
    trail: Vec<Failure>,
    /// Why no replica was found when one was looked for last.
    pub(super) census: Option<ExclusionCounts>,
    /// Since when none is found.
    pub(super) waits_since: Option<Time>,
    fingerprint: OnceCell<Fingerprint>,
    /// Held while no request like it may be under way at this entry.
    pub(super) only: Option<Try>,
}

impl Job {
    /// Names all requests that are like it.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let head = &self.received.head;
            let text = |it| std::str::from_utf8(it).unwrap_or_default();
            let host = head.fields.get("host").unwrap_or_default();
            let place = [host, text(&head.method), text(&head.target)];
            Fingerprint::of(self.team.as_deref(), place, &self.received.body)
        })
    }
}

/// How a request ended.
enum Outcome {
    Answered(u16),
    /// A stream that broke after its head went out.
    Cut(Ending),
    Gone(Ending),
    Refused(Refusal),
}

/// Answers a request, from its route to its last byte.
pub async fn forward(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    received: Received,
    keeps: bool,
) -> After {
    let keeps = keeps && received.head.modern;
    let job = match prepare(entry, received, keeps) {
        Ok(job) => job,
        Err(refused) => {
            let (refusal, received) = *refused;
            let close = !keeps || entry.node.leaving.get() || refusal.sends_away();
            count(entry, "-", refusal.row().name);
            log_refusal(entry, &received, refusal);
            let sent = refuse(entry, caller, refusal, Some(&received.head), close).await;
            return after(sent && !close);
        }
    };
    run(entry, caller, job).await
}

fn prepare(
    entry: &Rc<Entry>,
    received: Received,
    keeps: bool,
) -> Result<Job, Box<(Refusal, Received)>> {
    let Some(config) = entry.config.borrow().clone() else {
        return Err(Box::new((Refusal::NoConfig, received)));
    };
    let standing = entry.freshness();
    if standing == Freshness::Stale {
        return Err(Box::new((Refusal::Behind, received)));
    }
    match find(entry, &config, &received) {
        Ok((route, team)) => {
            let homes = config.allowed_regions(&route, team.as_deref());
            let job = job(entry, route, team, homes, received, keeps);
            match entry.leave.get() {
                Some(leave) if entry.others_take() || !leave.accepts(job.deadline) => {
                    Err(Box::new((Refusal::Leaving, job.received)))
                }
                _ => Ok(job),
            }
        }
        Err(Denied::NoRoute) => Err(Box::new((Refusal::NoRoute.by(standing), received))),
        Err(Denied::UnknownKey) => Err(Box::new((Refusal::UnknownKey.by(standing), received))),
    }
}

fn find(
    entry: &Entry,
    config: &Config,
    received: &Received,
) -> Result<(Route, Option<Rc<str>>), Denied> {
    let fields = &received.head.fields;
    let host = fields.get("host").unwrap_or_default();
    let route = config.route(host, received.head.path())?;
    let key = fields.get(entry.node.platform.headers.key);
    let team = config.team(route, key)?;
    Ok((route.clone(), team))
}

fn job(
    entry: &Entry,
    route: Route,
    team: Option<Rc<str>>,
    homes: AllowedRegions,
    received: Received,
    keeps: bool,
) -> Job {
    let name = entry.node.platform.headers.deadline;
    let told = received
        .head
        .fields
        .get(name)
        .and_then(|it| it.parse().ok());
    let patience_ms = told.map_or(route.timeout_ms, |it: u64| it.min(route.timeout_ms));
    let left = Duration::from_millis(told.unwrap_or(route.timeout_ms));
    let age = entry.caller_age(&route.name, left);
    let goal = Duration::from_millis(route.goal_ms).saturating_sub(age);
    let service = entry.node.with_rng(|it| route.draw(it));
    Job {
        deadline: received.at.after_ms(patience_ms),
        goal: received.at.after(goal),
        prompt_tokens: prompt_tokens(entry, &received),
        claim: Urgency::Late,
        expected_ms: 0,
        progress: Attempts::new(route.kind, route.max_attempts),
        service,
        team,
        homes,
        received,
        route,
        tried: Vec::new(),
        head_sent: false,
        cursor: Cursor::default(),
        version: None,
        first_byte: None,
        heard: None,
        keeps,
        closes: false,
        config: entry.config_version(),
        trail: Vec::new(),
        census: None,
        waits_since: None,
        fingerprint: OnceCell::new(),
        only: None,
    }
}

/// Tokens of a request's prompt, as its caller counts them.
fn prompt_tokens(entry: &Entry, received: &Received) -> f64 {
    let told = received.head.fields.get(entry.node.platform.headers.tokens);
    let prompt = told.and_then(|it| it.split(',').next());
    prompt
        .and_then(|it| it.trim().parse().ok())
        .unwrap_or_default()
}

async fn run(entry: &Rc<Entry>, caller: &mut Wire, mut job: Job) -> After {
    entry.count_request(&job.service);
    let watched = Watched::begin(entry, id(entry, &job.received), job.received.at);
    let mut stored = None;
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
        let Some(replica) = selection::choose(entry, &mut job, now) else {
            match selection::room(entry, caller, &mut job, now).await {
                Room::MayBe => continue,
                Room::None => break exhausted(&job),
                Room::CallerGone => break Outcome::Gone(Ending::CallerLeft),
            }
        };
        job.census = None;
        job.waits_since = None;
        if 0 < job.progress.attempts && !entry.take_repeat(&job.service) {
            break exhausted(&job);
        }
        job.tried.push(replica);
        let ended = match Attempt::begin(entry, caller, &mut job, replica).await {
            Ok(attempt) => hedge::follow(entry, caller, &mut job, attempt).await,
            Err(ended) => hedge::unbegun(entry, &mut job, replica, ended),
        };
        match ended {
            hedge::End::Answered(status) => {
                entry.clear(&job);
                break Outcome::Answered(status);
            }
            hedge::End::Gone(ending) => break Outcome::Gone(ending),
            hedge::End::TimedOut => {
                job.progress.ran = Ran::Unknown;
                break Outcome::Refused(Refusal::TimedOut);
            }
            hedge::End::Failed(answer) => {
                stored = answer.or(stored);
                if !job.progress.may_retry() {
                    break exhausted(&job);
                }
            }
        }
    };
    watched.concluded();
    finish(entry, caller, job, stored, outcome).await
}

/// Notes a failure of a replica with a request.
pub(super) fn failed(entry: &Entry, job: &mut Job, replica: ReplicaKey, failure: Failure) {
    job.progress.record_failure(failure);
    note(entry, job, replica, failure);
}

/// Notes a failure of a replica that counts as one already.
pub(super) fn note(entry: &Entry, job: &mut Job, replica: ReplicaKey, failure: Failure) {
    job.trail.push(failure);
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

/// What is left when no further replica gets the request.
fn exhausted(job: &Job) -> Outcome {
    if job.head_sent {
        let ending = job
            .trail
            .last()
            .map_or(Ending::Time, |it| Ending::Replica(*it));
        return Outcome::Cut(ending);
    }
    Outcome::Refused(match job.progress.ran {
        Ran::No => Refusal::NoReplica(Duration::ZERO),
        Ran::Unknown => Refusal::Lost,
    })
}

async fn finish(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: Job,
    stored: Option<Stored>,
    outcome: Outcome,
) -> After {
    let close = entry.closes(&job);
    match outcome {
        Outcome::Answered(status) => {
            conclude(entry, &job, status, "answered", None);
            // What was promised to be kept is kept: a request may be on its way there.
            after(!job.closes)
        }
        Outcome::Cut(ending) => {
            conclude(entry, &job, 0, "cut", Some(ending));
            After::Close
        }
        Outcome::Gone(ending) => {
            conclude(entry, &job, 0, "caller_gone", Some(ending));
            After::Close
        }
        Outcome::Refused(_) if job.head_sent => {
            conclude(entry, &job, 0, "cut", Some(Ending::Time));
            After::Close
        }
        Outcome::Refused(refusal) => {
            // A replica's own failure says more than ours would.
            if let Some(stored) = stored.filter(|_| job.progress.ran == Ran::Unknown) {
                conclude(entry, &job, stored.status(), "replica_failed", None);
                let sent = stored.send(entry, caller, &job, close).await;
                return after(sent && !close);
            }
            conclude(entry, &job, refusal.row().status, refusal.row().name, None);
            let head = Some(&job.received.head);
            let refusal = match refusal {
                Refusal::NoReplica(_) => Refusal::NoReplica(entry.retry_after(&job)),
                refusal => refusal,
            };
            let sent = refuse(entry, caller, refusal, head, close).await;
            after(sent && !close)
        }
    }
}

impl Entry {
    /// Whether other entries take callers, as far as this one knows.
    fn others_take(&self) -> bool {
        let now = self.node.clock.now();
        self.roster.borrow().serving(|_| true, now).next().is_some()
    }

    /// Whether a request's connection is to end after its answer.
    pub(super) fn closes(&self, job: &Job) -> bool {
        !job.keeps || self.node.leaving.get()
    }
}

fn after(keep: bool) -> After {
    if keep { After::Keep } else { After::Close }
}

fn count(entry: &Entry, service: &str, outcome: &'static str) {
    let label = metrics::Ending {
        service: service.to_owned(),
        outcome,
    };
    entry.node.metrics.requests.get_or_create(&label).inc();
}

/// Counts and logs the end of a request.
fn conclude(entry: &Entry, job: &Job, status: u16, outcome: &'static str, ending: Option<Ending>) {
    let now = entry.node.clock.now();
    let metrics = &entry.node.metrics;
    count(entry, &job.service, outcome);
    if let Some(ending) = ending {
        entry.count_cut(ending);
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
    let trail: Vec<&str> = job.trail.iter().map(|it| it.name()).collect();
    let tried = entry.replica_ids(&job.tried);
    info!(log, "request";
        "request" => id(entry, &job.received), "outcome" => outcome, "status" => status,
        "route" => &*job.route.name, "service" => &*job.service, "team" => team.unwrap_or("-"), "homes" => %job.homes,
        "replicas" => tried.join(","), "failures" => trail.join(","),
        "first_ms" => job.first_byte.map_or(-1, |it| since(it).as_millis() as i64),
        "ms" => since(now).as_millis() as u64, "claim" => %job.claim, "expected_ms" => job.expected_ms,
        "ended_by" => ending.map_or("", Ending::name),
        "quiet_ms" => job.heard.map_or(-1, |it| now.since(it).as_millis() as i64),
        "leaving_ms" => entry.leaving_ms(), "config_before" => job.config,
        "config" => entry.config_version(), "behind_ms" => behind_ms(entry),
        "replicas_known" => entry.replicas.borrow().len(), "resumed" => resumed(job),
        "fingerprint" => suspected(job, outcome).map_or_else(String::new, |it| it.to_string()),
        "none_free" => job.census.map_or_else(String::new, |it| it.to_string()));
}

/// Names all requests like one whose replica may have ended while it had it, or that is kept from replicas for that.
fn suspected(job: &Job, outcome: &str) -> Option<Fingerprint> {
    let crashed = job.trail.iter().any(|it| it.may_be_crash());
    let kept_away = outcome == Refusal::Quarantined(Duration::ZERO).row().name;
    (crashed || kept_away).then(|| job.fingerprint())
}

/// For how long the configuration has lacked what peers have, in milliseconds; -1 if it lacks nothing.
fn behind_ms(entry: &Entry) -> i64 {
    let behind = entry.node.behind(Table::Operator);
    behind.map_or(-1, |it| it.as_millis() as i64)
}

fn resumed(job: &Job) -> bool {
    job.route.kind == RouteKind::ResumableStream && job.head_sent && 1 < job.tried.len()
}

fn log_refusal(entry: &Entry, received: &Received, refusal: Refusal) {
    let Some(log) = entry.node.logs.line(Topic::Failed) else {
        return;
    };
    info!(log, "request"; "request" => id(entry, received), "outcome" => refusal.row().name,
        "status" => refusal.row().status, "config" => entry.config_version(),
        "behind_ms" => behind_ms(entry),
        "host" => received.head.fields.get("host").unwrap_or("-"),
        "path" => received.head.path());
}

fn id<'a>(entry: &Entry, received: &'a Received) -> &'a str {
    let name = entry.node.platform.headers.request;
    received.head.fields.get(name).unwrap_or("-")
}
