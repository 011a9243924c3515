//! Attempts at agents, until one answers.

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

use super::{Entry, border::Context};
use crate::{
    metrics::Reason,
    transport::client::{CallError, Incoming, Lane},
};

/// What a request wants of an agent.
#[derive(Clone, Debug)]
pub enum Target {
    /// Weights; the hash is of the prompt's prefix.
    Weights(Pin, u64),
    /// A service; the hash is of the idempotency key, whose calls prefer one agent.
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
            Target::Service(_, home) => *home,
        }
    }
}

/// An answer that has begun, checked frame by frame.
pub struct Stream {
    entry: Rc<Entry>,
    incoming: Incoming,
    checker: ResponseChecker,
    /// The frame that was read to know that the answer has begun.
    first: Option<Reply>,
    deadline: Time,
    /// Instance that answers.
    pub replica: String,
    attempt: Attempt,
}

impl Stream {
    /// The next frame; `None` after the closing frame of a whole answer.
    pub async fn next(&mut self) -> Result<Option<Reply>, Kind> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.checker.is_complete() {
            return Ok(None);
        }
        let read = read(
            &self.entry,
            &mut self.incoming,
            &mut self.checker,
            self.deadline,
        );
        let result = read
            .await
            .map_err(|it| if it == Kind::ReplyLost { Kind::Cut } else { it });
        if let Err(kind) = result {
            self.entry.blame_kind(self.attempt.key, kind);
            self.entry.count_bad(kind);
        }
        result.map(Some)
    }
}

/// Sends a request to one replica after another until one begins to answer.
pub async fn dispatch(
    entry: &Rc<Entry>,
    context: &Context,
    target: &Target,
    job: Job,
    repeat: Repeat,
) -> Result<Stream, Kind> {
    entry.budget.borrow_mut().earn();
    let mut tried = Vec::new();
    let mut last = None;
    loop {
        let now = entry.node.clock.now();
        if context.deadline <= now {
            return Err(last.unwrap_or(Kind::Expired));
        }
        let chosen = entry.choose(context, target, &tried);
        let key = match chosen {
            Ok(key) => key,
            Err(kind) => return Err(last.unwrap_or(kind)),
        };
        tried.push(key);
        let kind = match attempt(entry, context, target, job.clone(), key).await {
            Ok(stream) => return Ok(stream),
            Err(kind) => kind,
        };
        entry.count_bad(kind);
        let failure = retry::Failure {
            kind,
            attempts: tried.len() as u32,
            repeat,
            response_started: false,
        };
        let now = entry.node.clock.now();
        let again = retry::should_retry(
            failure,
            &mut entry.budget.borrow_mut(),
            now,
            context.deadline,
        );
        let worst = worse(last, kind);
        if !again {
            return Err(worst);
        }
        entry.node.metrics.retries.inc();
        info!(entry.node.log, "retry"; "request" => &context.id, "team" => &context.team.name,
            "kind" => kind.name(), "attempt" => tried.len());
        last = Some(worst);
    }
}

/// What to tell the caller of two failed attempts: once an attempt may have run, a later one that
/// did not run must not hide it.
fn worse(last: Option<Kind>, kind: Kind) -> Kind {
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
) -> Result<Stream, Kind> {
    let request = entry.node.request_id();
    let (address, replica) = entry.address(key).ok_or(Kind::Unreachable)?;
    let attempt = Attempt::new(entry, key);
    let call = Call::Work(entry.work(context, request, job));
    let patience = entry.patience(context.deadline);
    let opening = timeout(patience, entry.node.pool.open(&address, Lane::Live, &call));
    let mut incoming = match opening.await {
        Ok(Ok(it)) => it,
        Ok(Err(fault)) => return Err(entry.blame(key, fault)),
        // It waited for a connection or for a stream on one; the call itself goes out at once.
        Err(_) => return Err(entry.blame(key, CallError::Unsent)),
    };
    let mut checker = ResponseChecker::new(request, target.version());
    let waits_for_piece = matches!(target, Target::Weights(..));
    loop {
        let first = read(entry, &mut incoming, &mut checker, context.deadline).await;
        let first = first.inspect_err(|&kind| entry.blame_kind(key, kind))?;
        if waits_for_piece && matches!(first, Reply::Head { .. }) {
            continue;
        }
        return Ok(Stream {
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

async fn read(
    entry: &Entry,
    incoming: &mut Incoming,
    checker: &mut ResponseChecker,
    deadline: Time,
) -> Result<Reply, Kind> {
    let left = entry.node.clock.until(deadline);
    let patience = left.min(entry.node.idle_timeout());
    let reply = match timeout(patience, incoming.next()).await {
        Ok(Ok(Some(reply))) => reply,
        Ok(Err(CallError::Unsent)) => return Err(Kind::Unreachable),
        Ok(Ok(None) | Err(CallError::Lost)) => return Err(Kind::ReplyLost),
        Err(_) if left <= patience => return Err(Kind::Deadline),
        Err(_) => return Err(Kind::ReplyLost),
    };
    checker.accept(&reply)?;
    Ok(reply)
}

/// Counts an attempt as running at its replica until it is dropped.
struct Attempt {
    entry: Rc<Entry>,
    key: PeerKey,
}

impl Attempt {
    fn new(entry: &Rc<Entry>, key: PeerKey) -> Attempt {
        if let Some(peer) = entry.node.membership.borrow_mut().get_mut(key) {
            peer.own_requests += 1;
        }
        Attempt {
            entry: Rc::clone(entry),
            key,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(peer) = self.entry.node.membership.borrow_mut().get_mut(self.key) {
            peer.own_requests -= 1;
        }
    }
}

impl Entry {
    fn choose(
        &self,
        context: &Context,
        target: &Target,
        tried: &[PeerKey],
    ) -> Result<PeerKey, Kind> {
        let now = self.node.clock.now();
        let membership = self.node.membership.borrow();
        let serving: Vec<(PeerKey, &Peer)> = membership
            .of(InstanceRole::Agent)
            .filter(|(_, it)| it.takes_work(now) && target.served_by(it))
            .filter(|(_, it)| context.may_use(&it.instance.zone))
            .collect();
        let running = serving
            .iter()
            .map(|(_, it)| it.own_requests + it.others())
            .sum();
        let slots = serving.iter().map(|(_, it)| it.capacity()).sum();
        if tried.is_empty() && !serving.is_empty() {
            let shed = admission::should_shed(context.class, running, slots);
            if shed {
                return Err(Kind::Shed);
            }
        }
        let fresh = serving.iter().filter(|(key, _)| !tried.contains(key));
        let candidates: Vec<Candidate<PeerKey>> =
            fresh.map(|(key, it)| self.candidate(*key, it)).collect();
        let chosen = self.node.with_rng(|rng| match self.scheme {
            Scheme::Affinity => route::choose(&candidates, target.affinity(), now, rng),
            scheme => {
                let turn = self.turn.replace(self.turn.get().wrapping_add(1));
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

    fn work(&self, context: &Context, request: RequestId, job: Job) -> Work {
        let left: Duration = self.node.clock.until(context.deadline);
        Work {
            request,
            team: context.team.name.clone(),
            class: context.class,
            deadline_ms: left.as_millis().min(u128::from(u32::MAX)) as u32,
            job,
        }
    }

    /// How long a step of a request may take.
    fn patience(&self, deadline: Time) -> Duration {
        self.node
            .clock
            .until(deadline)
            .min(self.node.idle_timeout())
    }

    fn address(&self, key: PeerKey) -> Option<(String, String)> {
        let membership = self.node.membership.borrow();
        let instance = &membership.get(key)?.instance;
        Some((instance.peer.clone(), instance.id.clone()))
    }

    fn blame(&self, key: PeerKey, fault: CallError) -> Kind {
        let kind = match fault {
            CallError::Lost => Kind::ReplyLost,
            CallError::Unsent => Kind::Unreachable,
        };
        self.blame_kind(key, kind);
        kind
    }

    /// Suspects a replica whose connection failed, or whose answers are not their requests' own;
    /// refusals are no reason to.
    fn blame_kind(&self, key: PeerKey, kind: Kind) {
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

    fn count_bad(&self, kind: Kind) {
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
    /// Whether the bundle lets the team be served from an availability zone.
    pub fn may_use(&self, zone: &str) -> bool {
        self.team.zones.is_empty() || self.team.zones.iter().any(|it| it == zone)
    }
}
