//! Calls to a service.

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

use super::{Agent, generate::error_kind};
use crate::transport::server::Outgoing;

/// Interval between probes of a service that responds, and time limit of each probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between probes of a service that does not respond. It is short, so that a new agent is
/// soon ready.
const UNAVAILABLE_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Response to a keyed call, kept for later calls with the same key.
#[derive(Clone, Debug)]
pub struct Outcome {
    status: u16,
    content_type: String,
    body: Rc<[u8]>,
}

/// Probes the service while the agent runs, and notifies watchers whether it responds.
pub async fn probe(agent: Rc<Agent>, name: String, service: Rc<dyn Service>) {
    loop {
        let alive = matches!(
            timeout(PROBE_INTERVAL, service.check_health()).await,
            Ok(Ok(()))
        );
        let available = alive.then(|| name.clone());
        agent.node.notice.send_if_modified(|it| {
            let changed = it.service != available;
            it.service.clone_from(&available);
            changed
        });
        actix_rt::time::sleep(if alive {
            PROBE_INTERVAL
        } else {
            UNAVAILABLE_PROBE_INTERVAL
        })
        .await;
    }
}

/// Runs a call to the service and relays the response.
pub async fn run(
    agent: &Rc<Agent>,
    name: &str,
    service: &Rc<dyn Service>,
    work: &Work,
    outgoing: &Outgoing,
) -> Result<(), Kind> {
    let Job::Service {
        service: requested,
        method,
        path,
        content_type,
        body,
        repeat,
    } = &work.job
    else {
        return Err(Kind::NotServing);
    };
    if requested != name {
        return Err(Kind::NotServing);
    }
    agent.record_live_in(body.len());
    let request = ServiceRequest {
        id: work.request,
        method: method.clone(),
        path: path.clone(),
        content_type: content_type.clone(),
        body: body.clone(),
    };
    let limit = Duration::from_millis(u64::from(work.deadline_ms));
    match repeat {
        Repeat::Allowed | Repeat::Never => {
            let calling = timeout(limit, call(agent, &**service, request));
            let response = calling.await.map_err(|_| Kind::Deadline)??;
            relay(agent, work.request, response, outgoing).await
        }
        Repeat::Key(key) => {
            let key = at_most_once::key(name, &work.team, key);
            let outcome = call_once(agent, service, request, key);
            let outcome = timeout(limit, outcome)
                .await
                .map_err(|_| Kind::Deadline)??;
            send_outcome(agent, work.request, &outcome, outgoing).await;
            Ok(())
        }
    }
}

/// Sends a request to the service, and keeps the pause that the service asks for.
async fn call(
    agent: &Rc<Agent>,
    service: &dyn Service,
    request: ServiceRequest,
) -> Result<ServiceResponse, Kind> {
    let sent = agent.node.clock.now();
    let response = service.call(request).await;
    let response = response.map_err(|it| error_kind(&it))?;
    match response.pause {
        Some(pause) => agent.pause_endpoint(pause),
        None => agent.endpoint_accepted(sent),
    }
    Ok(response)
}

fn check_echo(response: &ServiceResponse, request: RequestId) -> Result<(), Kind> {
    // A service that echoes no id is called over a separate connection for each request, where
    // responses can't be mixed up.
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
                agent.record_live_out(bytes.len());
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

async fn send_outcome(agent: &Agent, request: RequestId, outcome: &Outcome, outgoing: &Outgoing) {
    agent.record_live_out(outcome.body.len());
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

/// Runs a keyed call at most once for its key, or returns the outcome of the call that ran. The
/// call continues if its caller disconnects, so that the next call with the key gets the outcome.
async fn call_once(
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
    let (sender, receiver) = oneshot::channel();
    let (agent, service) = (Rc::clone(agent), Rc::clone(service));
    let scope = Rc::clone(&agent.node.scope);
    scope.spawn(async move {
        let appended = agent.claims.append(claim).await;
        let step = agent.claims.settle(key, appended, agent.node.clock.now());
        let result = match step {
            Step::Run => run_claimed(&agent, &*service, key, request).await,
            Step::Refuse(kind) => Err(kind),
            Step::Claim(_) | Step::Replay(_) => Err(Kind::Duplicate),
        };
        let _ = sender.send(result);
    });
    receiver.await.unwrap_or(Err(Kind::Duplicate))
}

/// Runs a call whose claim is settled, and records its outcome.
async fn run_claimed(
    agent: &Rc<Agent>,
    service: &dyn Service,
    key: Digest,
    request: ServiceRequest,
) -> Result<Outcome, Kind> {
    let id = request.id;
    let result = match call(agent, service, request).await {
        Ok(response) => collect_outcome(agent, id, response).await,
        Err(kind) => Err(kind),
    };
    let mut table = agent.claims.table.borrow_mut();
    match &result {
        Ok(outcome) => table.complete(key, outcome.clone()),
        Err(Kind::Unreachable) => table.mark_not_run(key),
        Err(kind) => {
            info!(agent.node.log, "outcome of a keyed call unknown"; "attempt" => %id,
                "kind" => kind.name());
        }
    }
    result
}

async fn collect_outcome(
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
