//! Gives pieces to other agents.

use std::rc::Rc;

use gradeloft_daemon::transport::server::{Handler, Outgoing};
use gradeloft_policy::version::upload::Turn;
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use slog::warn;
use tokio::sync::oneshot;

use super::{
    Agent, Version,
    fill::{adopt, read_back},
};
use crate::logs::Topic;

/// Answers the calls of other agents.
pub struct Peers(pub Rc<Agent>);

impl Handler for Peers {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let agent = Rc::clone(&self.0);
        let scope = Rc::clone(&agent.node.scope);
        scope.spawn(async move {
            match call {
                Call::Chunk { digest } => give(&agent, digest, outgoing).await,
                Call::Pieces { model, version } => {
                    list(&agent, model, version, outgoing).await;
                }
                Call::Records { table, from } => {
                    agent.node.give_records(table, from, outgoing).await;
                }
                // Other calls are for other kinds of process; dropping the answer tells the caller.
                _ => {}
            }
        });
    }

    fn malformed(&self) {
        if let Some(log) = self.0.node.logs.line(Topic::State) {
            warn!(log, "peer sent no frame");
        }
    }
}

/// Gives a piece, once a slot is free and the link has room for it beside tokens.
async fn give(agent: &Rc<Agent>, digest: Digest, outgoing: Outgoing) {
    let (version, idx) = match find(agent, digest) {
        Find::Held(version, idx) => (version, idx),
        Find::Coming => {
            outgoing.finish(&Reply::Absent(Absence::Pending)).await;
            return;
        }
        Find::Unknown => {
            adopt_target(agent);
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        }
    };
    let Some(_slot) = slot(agent).await else {
        outgoing.finish(&Reply::Absent(Absence::Busy)).await;
        return;
    };
    let Some(content) = read_back(agent, &version, idx, digest).await else {
        outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
        return;
    };
    let now = agent.node.clock.now();
    let wait = agent.pace_out.borrow_mut().delay(content.len() as u64, now);
    actix_rt::time::sleep(wait).await;
    outgoing.finish(&Reply::Chunk(content.to_vec())).await;
}

/// An upload slot, free again when dropped.
struct Slot(Rc<Agent>);

impl Drop for Slot {
    fn drop(&mut self) {
        // A peer that stopped waiting passes its slot on to the next.
        while let Some(next) = self.0.uploads.borrow_mut().done() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}

async fn slot(agent: &Rc<Agent>) -> Option<Slot> {
    let (tell, told) = oneshot::channel();
    let turn = agent.uploads.borrow_mut().ask(tell);
    match turn {
        Turn::Busy => None,
        Turn::Later => told.await.ok().map(|()| Slot(Rc::clone(agent))),
        Turn::Now => Some(Slot(Rc::clone(agent))),
    }
}

async fn list(agent: &Rc<Agent>, model: String, number: u64, outgoing: Outgoing) {
    let version = Version { model, number };
    adopt_target(agent);
    let digests = {
        let holding = agent.holding.borrow();
        let same = holding.version.as_ref() == Some(&version);
        same.then(|| holding.digests.clone())
    };
    let reply = match digests {
        Some(digests) => Reply::Pieces(digests),
        None => Reply::Absent(Absence::Pending),
    };
    outgoing.finish(&reply).await;
}

/// Begins to learn what is staged of the version that the replica holds, unless that is known. Only
/// then can it be given to replicas that are added later.
pub fn adopt_target(agent: &Rc<Agent>) {
    let Some(target) = agent.target() else {
        return;
    };
    let held = agent.state().and_then(|it| it.version);
    if !agent.unadopted(&target) || held != Some(target.number) || agent.adopting.replace(true) {
        return;
    }
    let adopting = Rc::clone(agent);
    agent.node.scope.spawn(async move {
        if let Err(reason) = adopt(&adopting, &target).await
            && let Some(log) = adopting.node.logs.line(Topic::Weights)
        {
            warn!(log, "staged pieces not adopted"; "reason" => reason);
        }
        adopting.adopting.set(false);
    });
}

enum Find {
    Coming,
    Held(Version, u32),
    Unknown,
}

fn find(agent: &Agent, digest: Digest) -> Find {
    let holding = agent.holding.borrow();
    let (Some(version), Some(&idx)) = (&holding.version, holding.positions.get(&digest)) else {
        return Find::Unknown;
    };
    if holding.staged.get(idx as usize) == Some(&true) {
        Find::Held(version.clone(), idx)
    } else {
        Find::Coming
    }
}
