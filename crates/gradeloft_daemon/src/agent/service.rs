//! Calls at a plain service.

use std::{rc::Rc, time::Duration};

use futures_util::StreamExt;
use gradeloft_platform::endpoint::{Service, ServiceRequest, ServiceResponse};
use gradeloft_policy::request::{
    at_most_once::{self, Step},
    response::ResponseChecker,
};
use gradeloft_wire::{
    error::Kind,
    frame::{Job, Repeat, Reply, Work},
    id::{Digest, RequestId},
};
use slog::info;
use tokio::{sync::oneshot, time::timeout};

use super::{Agent, generate::kind};
use crate::transport::server::Outgoing;

/// Time between two probes of the service.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// First probes come faster, so that a new agent is soon ready.
const PROBE_SOON: Duration = Duration::from_millis(50);

/// What a keyed call gave, kept for calls with the same key.
#[derive(Clone, Debug)]
pub struct Outcome {
    status: u16,
    content_type: String,
    body: Rc<[u8]>,
}

/// Tells watchers whether the service answers at all.
pub async fn probe(agent: Rc<Agent>, name: String, service: Rc<dyn Service>) {
    loop {
        let alive = matches!(
            timeout(PROBE_EVERY, service.check_health()).await,
            Ok(Ok(()))
        );
        let told = alive.then(|| name.clone());
        agent.node.notice.send_if_modified(|it| {
            let changed = it.service != told;
            it.service.clone_from(&told);
            changed
        });
        actix_rt::time::sleep(if alive { PROBE_EVERY } else { PROBE_SOON }).await;
    }
}

/// Runs a call to the service and relays its answer.
pub async fn run(
    agent: &Rc<Agent>,
    name: &str,
    service: &Rc<dyn Service>,
    work: &Work,
    outgoing: &Outgoing,
) -> Result<(), Kind> {
    let Job::Service {
        service: wanted,
        method,
        path,
        content_type,
        body,
        repeat,
    } = &work.job
    else {
        return Err(Kind::NotServing);
    };
    if wanted != name {
        return Err(Kind::NotServing);
    }
    agent.live_in(body.len());
    let request = ServiceRequest {
        id: work.request,
        method: method.clone(),
        path: path.clone(),
        content_type: content_type.clone(),
        body: body.clone(),
    };
    let bound = Duration::from_millis(u64::from(work.deadline_ms));
    match repeat {
        Repeat::Allowed | Repeat::Never => {
            let calling = timeout(bound, service.call(request));
            let response = calling.await.map_err(|_| Kind::Deadline)?;
            let response = response.map_err(|it| kind(&it))?;
            relay(agent, work.request, response, outgoing).await
        }
        Repeat::Key(key) => {
            let key = at_most_once::key(name, &work.team, key);
            let outcome = keyed(agent, service, request, key);
            let outcome = timeout(bound, outcome)
                .await
                .map_err(|_| Kind::Deadline)??;
            send(agent, work.request, &outcome, outgoing).await;
            Ok(())
        }
    }
}

fn check_echo(response: &ServiceResponse, request: RequestId) -> Result<(), Kind> {
    // A service that echoes no id is met on a connection of its own, which can't be crossed.
    let own = response.echoed_id.is_none_or(|it| it == request);
    if own { Ok(()) } else { Err(Kind::Mismatch) }
}

async fn relay(
    agent: &Agent,
    request: RequestId,
    mut response: ServiceResponse,
    outgoing: &Outgoing,
) -> Result<(), Kind> {
    check_echo(&response, request)?;
    let content_type = std::mem::take(&mut response.content_type);
    outgoing
        .send(&Reply::Head {
            request,
            status: response.status,
            content_type,
        })
        .await;
    let mut checker = ResponseChecker::new(request, "");
    loop {
        match timeout(agent.node.idle_timeout(), response.body.next()).await {
            Ok(Some(Ok(bytes))) => {
                agent.live_out(bytes.len());
                let (seq, _) = checker.totals();
                checker.accept_piece("", seq, &bytes)?;
                let (version, data) = (String::new(), bytes.to_vec());
                outgoing
                    .send(&Reply::Piece {
                        request,
                        version,
                        seq,
                        data,
                    })
                    .await;
            }
            Ok(None) => {
                let (count, digest) = checker.totals();
                let version = String::new();
                outgoing
                    .send(&Reply::End {
                        request,
                        version,
                        count,
                        digest,
                    })
                    .await;
                return Ok(());
            }
            Ok(Some(Err(_))) | Err(_) => return Err(Kind::Cut),
        }
    }
}

async fn send(agent: &Agent, request: RequestId, outcome: &Outcome, outgoing: &Outgoing) {
    agent.live_out(outcome.body.len());
    let Outcome {
        status,
        content_type,
        body,
    } = outcome;
    let (status, content_type) = (*status, content_type.clone());
    outgoing
        .send(&Reply::Head {
            request,
            status,
            content_type,
        })
        .await;
    let mut checker = ResponseChecker::new(request, "");
    if !body.is_empty() && checker.accept_piece("", 0, body).is_ok() {
        let (version, data) = (String::new(), body.to_vec());
        outgoing
            .send(&Reply::Piece {
                request,
                version,
                seq: 0,
                data,
            })
            .await;
    }
    let (count, digest) = checker.totals();
    outgoing
        .send(&Reply::End {
            request,
            version: String::new(),
            count,
            digest,
        })
        .await;
}

/// Runs a keyed call at most once for its key, or gives the outcome of the call that ran. The run
/// goes on when its caller has gone, so that its outcome is known to the next call with the key.
async fn keyed(
    agent: &Rc<Agent>,
    service: &Rc<dyn Service>,
    request: ServiceRequest,
    key: Digest,
) -> Result<Outcome, Kind> {
    let now = agent.node.clock.now();
    let step = agent
        .claims
        .table
        .borrow_mut()
        .arrive(key, request.id.0, now);
    let claim = match step {
        Step::Claim(claim) => claim,
        Step::Replay(outcome) => return Ok(outcome),
        Step::Refuse(kind) => return Err(kind),
        Step::Run => return Err(Kind::Duplicate),
    };
    let (told, tell) = oneshot::channel();
    let (agent, service) = (Rc::clone(agent), Rc::clone(service));
    let scope = Rc::clone(&agent.node.scope);
    scope.spawn(async move {
        let settled = agent.claims.settled(claim).await;
        let step = agent.claims.settle(key, settled, agent.node.clock.now());
        let result = match step {
            Step::Run => claimed(&agent, &*service, key, request).await,
            Step::Refuse(kind) => Err(kind),
            Step::Claim(_) | Step::Replay(_) => Err(Kind::Duplicate),
        };
        let _ = told.send(result);
    });
    tell.await.unwrap_or(Err(Kind::Duplicate))
}

async fn claimed(
    agent: &Agent,
    service: &dyn Service,
    key: Digest,
    request: ServiceRequest,
) -> Result<Outcome, Kind> {
    let id = request.id;
    let called = service.call(request).await.map_err(|it| kind(&it));
    let result = match called {
        Ok(response) => collect(agent, id, response).await,
        Err(kind) => Err(kind),
    };
    let mut table = agent.claims.table.borrow_mut();
    match &result {
        Ok(outcome) => table.complete(key, outcome.clone()),
        Err(Kind::Unreachable) => table.mark_not_run(key),
        Err(kind) => {
            info!(agent.node.log, "outcome unknown"; "attempt" => %id, "kind" => kind.name());
        }
    }
    result
}

async fn collect(
    agent: &Agent,
    id: RequestId,
    mut response: ServiceResponse,
) -> Result<Outcome, Kind> {
    check_echo(&response, id)?;
    let mut body = Vec::new();
    loop {
        match timeout(agent.node.idle_timeout(), response.body.next()).await {
            Ok(Some(Ok(bytes))) => {
                if (agent.node.limits.body_bytes as usize) < body.len() + bytes.len() {
                    return Err(Kind::Cut);
                }
                body.extend_from_slice(&bytes);
            }
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => return Err(Kind::Cut),
        }
    }
    let content_type = std::mem::take(&mut response.content_type);
    Ok(Outcome {
        status: response.status,
        content_type,
        body: body.into(),
    })
}
