//! Attempts at agents until one responds.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::membership::{Peer, PeerKey},
    request::{
        admission,
        response::ResponseChecker,
        retry::{self, Repeat},
        route::{self, Candidate, Locality, Scheme},
    },
};
use gradeloft_wire::{
    border::platform::InstanceRole,
    error::{Kind, Ran},
    frame::{Call, Job, Pin, Reply, Work},
    id::RequestId,
};
use slog::info;
use tokio::time::timeout;

use super::{Entry, api::Context};
use crate::{
    metrics::Reason,
    transport::client::{CallError, Incoming, Lane},
};

/// Weights or service that an agent must serve to receive a request.
#[derive(Clone, Debug)]
pub enum Target {
    /// Weights, and the hash of the prompt's prefix.
    Weights(Pin, u64),
    /// A service, and the hash of the idempotency key. Calls with the same key prefer the same
    /// agent.
    Service(String, Option<u64>),
}

impl Target {
    fn served_by(&self, peer: &Peer) -> bool {
        let Some(notice) = &peer.notice else {
            return false;
        };
        match self {
            Target::Weights(pin, _) => notice.serving.contains(pin),
            Target::Service(service, _) => notice.service.as_ref() == Some(service),
        }
    }

    fn version(&self) -> &str {
        match self {
            Target::Weights(pin, _) => &pin.version,
            Target::Service(..) => "",
        }
    }

    fn affinity(&self) -> Option<u64> {
        match self {
            Target::Weights(_, prefix) => Some(*prefix),
            Target::Service(_, key_hash) => *key_hash,
        }
    }
}

/// A reply that has begun. Every frame is validated before it is returned.
pub struct ReplyStream {
    entry: Rc<Entry>,
    incoming: Incoming,
    checker: ResponseChecker,
    /// Frame that was read to detect that the reply has begun.
    first: Option<Reply>,
    deadline: Time,
    /// Id of the instance that sends the reply.
    pub replica: String,
    attempt: AttemptGuard,
}

impl ReplyStream {
    /// Returns the next frame, or `None` after the closing frame of a complete reply.
    pub async fn next(&mut self) -> Result<Option<Reply>, Kind> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.checker.is_complete() {
            return Ok(None);
        }
        let reading = next_reply(
            &self.entry,
            &mut self.incoming,
            &mut self.checker,
            self.deadline,
        );
        let result = reading
            .await
            .map_err(|it| if it == Kind::ReplyLost { Kind::Cut } else { it });
        if let Err(kind) = result {
            self.entry.record_failure(self.attempt.key, kind);
            self.entry.count_bad_reply(kind);
        }
        result.map(Some)
    }
}

/// Sends a request to one replica after another until one begins its reply.
pub async fn dispatch(
    entry: &Rc<Entry>,
    context: &Context,
    target: &Target,
    job: Job,
    repeat: Repeat,
) -> Result<ReplyStream, Kind> {
    entry.retry_budget.borrow_mut().earn();
    let mut tried = Vec::new();
    let mut last = None;
    loop {
        let now = entry.node.clock.now();
        if context.deadline <= now {
            return Err(last.unwrap_or(Kind::Expired));
        }
        let chosen = entry.select_replica(context, target, &tried);
        let key = match chosen {
            Ok(key) => key,
            Err(kind) => return Err(last.unwrap_or(kind)),
        };
        tried.push(key);
        let kind = match attempt(entry, context, target, job.clone(), key).await {
            Ok(stream) => return Ok(stream),
            Err(kind) => kind,
        };
        entry.count_bad_reply(kind);
        let failure = retry::Failure {
            kind,
            attempts: tried.len() as u32,
            repeat,
            response_started: false,
        };
        let now = entry.node.clock.now();
        let retry_allowed = retry::should_retry(
            failure,
            &mut entry.retry_budget.borrow_mut(),
            now,
            context.deadline,
        );
        let reported_kind = failure_to_report(last, kind);
        if !retry_allowed {
            return Err(reported_kind);
        }
        entry.node.metrics.retries.inc();
        info!(entry.node.log, "retry"; "request" => &context.id, "team" => &context.team.name,
            "kind" => kind.name(), "attempt" => tried.len());
        last = Some(reported_kind);
    }
}

/// Returns which of two failures to report to the caller. The failure of a later attempt that did
/// not run must not hide that an earlier attempt may have run.
fn failure_to_report(last: Option<Kind>, kind: Kind) -> Kind {
    match last {
        Some(last) if last.ran() != Ran::No => last,
        _ => kind,
    }
}

async fn attempt(
    entry: &Rc<Entry>,
    context: &Context,
    target: &Target,
    job: Job,
    key: PeerKey,
) -> Result<ReplyStream, Kind> {
    let request = entry.node.request_id();
    let (address, replica) = entry.replica_address(key).ok_or(Kind::Unreachable)?;
    let attempt = AttemptGuard::new(entry, key);
    let call = Call::Work(entry.work_message(context, request, job));
    let step_timeout = entry.step_timeout(context.deadline);
    let opening = timeout(
        step_timeout,
        entry.node.pool.open(&address, Lane::Live, &call),
    );
    let mut incoming = match opening.await {
        Ok(Ok(it)) => it,
        Ok(Err(error)) => return Err(entry.record_call_error(key, error)),
        // The timeout passed while waiting for a connection or stream, before the call was sent.
        Err(_) => return Err(entry.record_call_error(key, CallError::Unsent)),
    };
    let mut checker = ResponseChecker::new(request, target.version());
    let skip_head = matches!(target, Target::Weights(..));
    loop {
        let first = next_reply(entry, &mut incoming, &mut checker, context.deadline).await;
        let first = first.inspect_err(|&kind| entry.record_failure(key, kind))?;
        if skip_head && matches!(first, Reply::Head { .. }) {
            continue;
        }
        return Ok(ReplyStream {
            entry: Rc::clone(entry),
            incoming,
            checker,
            first: Some(first),
            deadline: context.deadline,
            replica,
            attempt,
        });
    }
}

async fn next_reply(
    entry: &Entry,
    incoming: &mut Incoming,
    checker: &mut ResponseChecker,
    deadline: Time,
) -> Result<Reply, Kind> {
    let remaining = entry.node.clock.until(deadline);
    let step_timeout = remaining.min(entry.node.idle_timeout());
    let reply = match timeout(step_timeout, incoming.next()).await {
        Ok(Ok(Some(reply))) => reply,
        Ok(Err(CallError::Unsent)) => return Err(Kind::Unreachable),
        Ok(Ok(None) | Err(CallError::Lost)) => return Err(Kind::ReplyLost),
        Err(_) if remaining <= step_timeout => return Err(Kind::Deadline),
        Err(_) => return Err(Kind::ReplyLost),
    };
    checker.accept(&reply)?;
    Ok(reply)
}

/// Counts an attempt as a request in flight at its replica until dropped.
struct AttemptGuard {
    entry: Rc<Entry>,
    key: PeerKey,
}

impl AttemptGuard {
    fn new(entry: &Rc<Entry>, key: PeerKey) -> AttemptGuard {
        if let Some(peer) = entry.node.membership.borrow_mut().get_mut(key) {
            peer.own_requests += 1;
        }
        AttemptGuard {
            entry: Rc::clone(entry),
            key,
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(peer) = self.entry.node.membership.borrow_mut().get_mut(self.key) {
            peer.own_requests -= 1;
        }
    }
}

impl Entry {
    fn select_replica(
        &self,
        context: &Context,
        target: &Target,
        tried: &[PeerKey],
    ) -> Result<PeerKey, Kind> {
        let now = self.node.clock.now();
        let membership = self.node.membership.borrow();
        let serving: Vec<(PeerKey, &Peer)> = membership
            .of(InstanceRole::Agent)
            .filter(|(_, it)| it.accepts_work(now) && target.served_by(it))
            // An agent whose endpoint rests announces no capacity.
            .filter(|(_, it)| 0 < it.capacity())
            .filter(|(_, it)| context.may_use_zone(&it.instance.zone))
            .collect();
        let in_flight = serving
            .iter()
            .map(|(_, it)| it.own_requests + it.others())
            .sum();
        let slots = serving.iter().map(|(_, it)| it.capacity()).sum();
        if tried.is_empty() && !serving.is_empty() {
            let shed = admission::should_shed(context.class, in_flight, slots);
            if shed {
                return Err(Kind::Shed);
            }
        }
        let untried = serving.iter().filter(|(key, _)| !tried.contains(key));
        let candidates: Vec<Candidate<PeerKey>> =
            untried.map(|(key, it)| self.candidate(*key, it)).collect();
        let chosen = self.node.with_rng(|rng| match self.scheme {
            Scheme::Affinity => route::choose(&candidates, target.affinity(), now, rng),
            scheme => {
                let turn = self
                    .baseline_turn
                    .replace(self.baseline_turn.get().wrapping_add(1));
                route::baseline(scheme, &candidates, turn, rng)
            }
        });
        chosen.ok_or(Kind::NoReplica)
    }

    fn candidate(&self, key: PeerKey, peer: &Peer) -> Candidate<PeerKey> {
        let locality = if peer.instance.zone == self.node.settings.node.zone {
            Locality::Zone
        } else {
            Locality::OtherZone
        };
        Candidate {
            key,
            node: peer.node,
            locality,
            own: peer.own_requests,
            others: peer.others(),
            reported: peer.noticed_at,
            capacity: peer.capacity(),
        }
    }

    fn work_message(&self, context: &Context, request: RequestId, job: Job) -> Work {
        let remaining: Duration = self.node.clock.until(context.deadline);
        Work {
            request,
            team: context.team.name.clone(),
            class: context.class,
            deadline_ms: remaining.as_millis().min(u128::from(u32::MAX)) as u32,
            job,
        }
    }

    /// Returns the timeout of one step: the idle timeout, at most the time left until the deadline.
    fn step_timeout(&self, deadline: Time) -> Duration {
        self.node
            .clock
            .until(deadline)
            .min(self.node.idle_timeout())
    }

    fn replica_address(&self, key: PeerKey) -> Option<(String, String)> {
        let membership = self.node.membership.borrow();
        let instance = &membership.get(key)?.instance;
        Some((instance.peer.clone(), instance.id.clone()))
    }

    fn record_call_error(&self, key: PeerKey, error: CallError) -> Kind {
        let kind = match error {
            CallError::Lost => Kind::ReplyLost,
            CallError::Unsent => Kind::Unreachable,
        };
        self.record_failure(key, kind);
        kind
    }

    /// Marks a replica as suspect if its connection failed, or its reply was cut or did not match
    /// the request. Refusals don't make it suspect.
    fn record_failure(&self, key: PeerKey, kind: Kind) {
        let suspect = matches!(
            kind,
            Kind::Cut | Kind::Mismatch | Kind::ReplyLost | Kind::Unreachable
        );
        let now = self.node.clock.now();
        if let Some(peer) = self.node.membership.borrow_mut().get_mut(key)
            && suspect
        {
            peer.health.record_failure(now);
        }
    }

    fn count_bad_reply(&self, kind: Kind) {
        if matches!(kind, Kind::Cut | Kind::Mismatch) {
            self.node
                .metrics
                .bad_answers
                .get_or_create(&Reason {
                    reason: kind.name(),
                })
                .inc();
        }
    }
}

impl Context {
    /// Returns whether the bundle allows the team to be served from an availability zone.
    pub fn may_use_zone(&self, zone: &str) -> bool {
        self.team.zones.is_empty() || self.team.zones.iter().any(|it| it == zone)
    }
}
