//! Gives pieces to other agents.

use std::{rc::Rc, time::Duration};

use gradeloft_daemon::transport::server::{Handler, Outgoing};
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use slog::warn;
use tokio::time::{Instant, timeout_at};

use super::{
    Agent, Version,
    fill::{adopt, read_back},
};
use crate::logs::Topic;

/// Time for which a call for a piece that is on its way waits: below the time that the caller gives.
const WAIT: Duration = Duration::from_millis(900);

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

/// Gives a piece; one that is on its way is waited for a little.
async fn give(agent: &Rc<Agent>, digest: Digest, outgoing: Outgoing) {
    let until = Instant::now() + WAIT;
    loop {
        let arrived = agent.arrived.notified();
        match find(agent, digest) {
            Find::Held(version, idx) => {
                let content = read_back(agent, &version, idx, digest).await;
                let reply = match content {
                    Some(content) => Reply::Chunk(content.to_vec()),
                    None => Reply::Absent(Absence::NotHeld),
                };
                outgoing.finish(&reply).await;
                return;
            }
            Find::Coming => {}
            Find::Unknown => {
                adopt_target(agent);
                outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
                return;
            }
        }
        if timeout_at(until, arrived).await.is_err() {
            outgoing.finish(&Reply::Absent(Absence::Pending)).await;
            return;
        }
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
