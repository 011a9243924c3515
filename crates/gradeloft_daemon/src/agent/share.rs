//! Gives chunks to peers.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::version::upload::Admission;
use gradeloft_wire::{
    frame::{Absence, Reply},
    id::Digest,
};
use tokio::sync::oneshot;

use super::Agent;
use crate::transport::server::Outgoing;

/// Time over which arrivals are gathered before followers are told.
const GATHER: Duration = Duration::from_millis(40);
/// Longest silence towards a follower.
const FOLLOW_HEARTBEAT: Duration = Duration::from_secs(1);

/// Gives a chunk, once a slot is free and the link has room beside live requests.
pub async fn give(agent: Rc<Agent>, digest: Digest, outgoing: Outgoing) {
    let content = match agent.offer(digest) {
        Ok(content) => content,
        Err(absence) => {
            outgoing.finish(&Reply::Absent(absence)).await;
            return;
        }
    };
    let Some(slot) = slot(&agent).await else {
        outgoing.finish(&Reply::Absent(Absence::Busy)).await;
        return;
    };
    let bytes = content.len() as u64;
    let now = agent.node.clock.now();
    let wait = agent.pace_out.borrow_mut().reserve(bytes, now);
    actix_rt::time::sleep(wait).await;
    if outgoing.finish(&Reply::Chunk(content.to_vec())).await {
        agent.node.metrics.uploaded_bytes.inc_by(bytes);
    }
    drop(slot);
}

/// Tells a peer which chunks of a manifest are held, now and as they arrive.
pub async fn follow(agent: Rc<Agent>, manifest: Digest, outgoing: Outgoing) {
    let mut arrivals = agent.arrivals.subscribe();
    let mut seen = 0;
    loop {
        arrivals.borrow_and_update();
        let news = agent.chunks.borrow().arrived(manifest, seen).to_vec();
        seen += news.len();
        if agent.node.leaving() || !outgoing.send(&Reply::Have(news)).await {
            return;
        }
        tokio::select! {
            changed = arrivals.changed() => if changed.is_err() { return },
            () = actix_rt::time::sleep(FOLLOW_HEARTBEAT) => {}
            () = outgoing.closed() => return,
        }
        actix_rt::time::sleep(GATHER).await;
    }
}

/// An upload slot, free again when dropped.
struct Slot(Rc<Agent>);

impl Drop for Slot {
    fn drop(&mut self) {
        // A peer that stopped waiting passes its slot on to the next.
        while let Some(next) = self.0.uploads.borrow_mut().release() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}

async fn slot(agent: &Rc<Agent>) -> Option<Slot> {
    let (tell, told) = oneshot::channel();
    let turn = agent.uploads.borrow_mut().request(tell);
    match turn {
        Admission::Busy => None,
        Admission::Queued => told.await.ok().map(|()| Slot(Rc::clone(agent))),
        Admission::Granted => Some(Slot(Rc::clone(agent))),
    }
}

impl Agent {
    fn offer(&self, digest: Digest) -> Result<bytes::Bytes, Absence> {
        if self.node.leaving() {
            return Err(Absence::Leaving);
        }
        if let Some(content) = self.chunks.borrow().get(digest) {
            return Ok(content);
        }
        let fetching = self.fetching.borrow();
        let owns = fetching.as_ref().is_some_and(|it| it.borrow().owns(digest));
        // Content of a manifest that has not come yet may well be this agent's to read.
        let unheard = !self.chunks.borrow().knows(digest);
        Err(if owns || unheard {
            Absence::Pending
        } else {
            Absence::NotHeld
        })
    }
}
