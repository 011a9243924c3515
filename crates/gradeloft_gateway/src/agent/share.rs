//! Gives pieces to other agents.

use std::{collections::HashSet, rc::Rc, time::Duration};

use gradeloft_daemon::transport::server::{Handler, Outgoing};
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use slog::warn;

use super::{
    Agent, Version,
    fetch::version_digest,
    fill::{adopt, read_back},
};
use crate::logs::Topic;

/// Time over which arrivals are gathered before followers are told.
const GATHER: Duration = Duration::from_millis(20);
/// Longest silence towards a follower.
const FOLLOW_HEARTBEAT: Duration = Duration::from_secs(1);

/// Pieces given to peers at once.
const UPLOADS: usize = 2;

/// Answers the calls of other agents.
pub struct Peers(pub Rc<Agent>);

impl Handler for Peers {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let agent = Rc::clone(&self.0);
        let scope = Rc::clone(&agent.node.scope);
        scope.spawn(async move {
            match call {
                Call::Chunk { digest } => give(&agent, digest, outgoing).await,
                Call::Follow { manifest } => follow(&agent, manifest, outgoing).await,
                Call::Pieces { model, version } => {
                    list(&agent, model, version, outgoing).await;
                }
                other => agent.node.serve_call(other, outgoing).await,
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
        Find::Missing => {
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        }
        Find::Unknown => {
            adopt_target(agent);
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        }
    };
    let Some(_slot) = slot(agent) else {
        outgoing.finish(&Reply::Absent(Absence::Busy)).await;
        return;
    };
    let Some(content) = read_back(agent, &version, idx, digest).await else {
        outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
        return;
    };
    let now = agent.node.clock.now();
    let wait = agent
        .pace_out
        .borrow_mut()
        .reserve(content.len() as u64, now);
    actix_rt::time::sleep(wait).await;
    outgoing.finish(&Reply::Chunk(content.to_vec())).await;
}

/// An upload slot, free again when dropped.
struct Slot(Rc<Agent>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.uploads.set(self.0.uploads.get() - 1);
    }
}

/// A slot, if one is free now. A peer that finds none asks another holder, which is sooner than
/// waiting here, and how long its pieces take then tells of the link and not of a queue.
fn slot(agent: &Rc<Agent>) -> Option<Slot> {
    let used = agent.uploads.get();
    (used < UPLOADS).then(|| {
        agent.uploads.set(used + 1);
        Slot(Rc::clone(agent))
    })
}

/// Tells a peer which pieces of a version are staged, now and as they arrive.
async fn follow(agent: &Rc<Agent>, manifest: Digest, outgoing: Outgoing) {
    let mut told = HashSet::new();
    loop {
        let arrived = agent.arrived.notified();
        adopt_target(agent);
        let staged = staged(agent, manifest);
        let news: Vec<u32> = staged.into_iter().filter(|it| told.insert(*it)).collect();
        if !outgoing.send(&Reply::Have(news)).await {
            return;
        }
        tokio::select! {
            () = arrived => {}
            () = actix_rt::time::sleep(FOLLOW_HEARTBEAT) => {}
            () = outgoing.closed() => return,
        }
        actix_rt::time::sleep(GATHER).await;
    }
}

/// Positions of the staged pieces, if they are of the version that `manifest` names.
fn staged(agent: &Agent, manifest: Digest) -> Vec<u32> {
    let holding = agent.holding.borrow();
    let version = holding.version.as_ref();
    if version.map(version_digest) != Some(manifest) {
        return Vec::new();
    }
    let staged = holding.staged.iter().zip(0..);
    staged.filter(|(it, _)| **it).map(|(_, idx)| idx).collect()
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
    /// This agent is the one to read it from the origin, and is about to.
    Coming,
    /// It comes from another agent.
    Missing,
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
        let fetching = agent.fetching.borrow();
        let owns = fetching.as_ref().is_some_and(|it| it.borrow().owns(digest));
        if owns { Find::Coming } else { Find::Missing }
    }
}
