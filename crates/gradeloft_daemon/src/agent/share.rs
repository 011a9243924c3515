//! Uploads of chunks to peers.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::version::upload::Admission;
use gradeloft_wire::{
    frame::{Absence, Reply},
    id::Digest,
};
use tokio::sync::oneshot;

use super::Agent;
use crate::transport::server::Outgoing;

/// Delay over which arrivals are batched into one message to a follower.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Maximum interval between messages to a follower.
const FOLLOW_HEARTBEAT: Duration = Duration::from_secs(1);

/// Sends a chunk to a peer, once an upload slot is free and live requests leave capacity on the
/// link.
pub async fn send_chunk(agent: Rc<Agent>, digest: Digest, outgoing: Outgoing) {
    let content = match agent.held_content(digest) {
        Ok(content) => content,
        Err(absence) => {
            outgoing.finish(&Reply::Absent(absence)).await;
            return;
        }
    };
    let Some(slot) = acquire_slot(&agent).await else {
        outgoing.finish(&Reply::Absent(Absence::Busy)).await;
        return;
    };
    let bytes = content.len() as u64;
    let now = agent.node.clock.now();
    let wait = agent.upload_pacer.borrow_mut().reserve(bytes, now);
    actix_rt::time::sleep(wait).await;
    if outgoing.finish(&Reply::Chunk(content.to_vec())).await {
        agent.node.metrics.uploaded_bytes.inc_by(bytes);
    }
    drop(slot);
}

/// Sends a peer the positions of a manifest's chunks: first those that this agent holds, then each
/// further one as it arrives.
pub async fn send_holdings(agent: Rc<Agent>, manifest: Digest, outgoing: Outgoing) {
    let mut arrivals = agent.arrivals.subscribe();
    let mut seen = 0;
    loop {
        arrivals.borrow_and_update();
        let positions = agent.chunks.borrow().arrived(manifest, seen).to_vec();
        seen += positions.len();
        if agent.node.is_draining() || !outgoing.send(&Reply::Have(positions)).await {
            return;
        }
        tokio::select! {
            changed = arrivals.changed() => if changed.is_err() { return },
            () = actix_rt::time::sleep(FOLLOW_HEARTBEAT) => {}
            () = outgoing.closed() => return,
        }
        actix_rt::time::sleep(BATCH_DELAY).await;
    }
}

/// An upload slot, which is released when dropped.
struct Slot(Rc<Agent>);

impl Drop for Slot {
    fn drop(&mut self) {
        // A peer that no longer waits is skipped, and the slot passes to the next one.
        while let Some(next) = self.0.uploads.borrow_mut().release() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}

async fn acquire_slot(agent: &Rc<Agent>) -> Option<Slot> {
    let (sender, receiver) = oneshot::channel();
    let admission = agent.uploads.borrow_mut().request(sender);
    match admission {
        Admission::Busy => None,
        Admission::Queued => receiver.await.ok().map(|()| Slot(Rc::clone(agent))),
        Admission::Granted => Some(Slot(Rc::clone(agent))),
    }
}

impl Agent {
    /// Returns content for a peer, or the reason why it can't be sent.
    fn held_content(&self, digest: Digest) -> Result<bytes::Bytes, Absence> {
        if self.node.is_draining() {
            return Err(Absence::Leaving);
        }
        if let Some(content) = self.chunks.borrow().get(digest) {
            return Ok(content);
        }
        let fetching = self.fetching.borrow();
        let owns = fetching.as_ref().is_some_and(|it| it.borrow().owns(digest));
        // This agent may own content of a manifest that has not arrived yet.
        let unlisted = !self.chunks.borrow().is_listed(digest);
        Err(if owns || unlisted {
            Absence::Pending
        } else {
            Absence::NotHeld
        })
    }
}
