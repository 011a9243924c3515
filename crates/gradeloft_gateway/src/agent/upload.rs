//! Uploads of chunks to other agents.

use std::{collections::HashSet, rc::Rc, time::Duration};

use gradeloft_daemon::transport::server::{Handler, Outgoing};
use gradeloft_http::intake::Refusal;
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use slog::warn;

use super::{
    Agent, Version,
    fetch::version_digest,
    staging::{read_back, recover},
};
use crate::logs::Topic;

/// Time over which newly staged chunks are batched before they are reported to followers.
const REPORT_BATCH_TIME: Duration = Duration::from_millis(20);
/// Maximum interval between reports to a follower.
const FOLLOW_HEARTBEAT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent uploads to peers.
const MAX_UPLOADS: usize = 2;

/// Handler of calls from other agents.
pub struct PeerHandler(pub Rc<Agent>);

impl Handler for PeerHandler {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let agent = Rc::clone(&self.0);
        let scope = Rc::clone(&agent.node.scope);
        scope.spawn(async move {
            match call {
                Call::Chunk { digest } => upload(&agent, digest, outgoing).await,
                Call::Follow { manifest } => report_staged(&agent, manifest, outgoing).await,
                Call::Pieces { model, version } => {
                    send_manifest(&agent, model, version, outgoing).await;
                }
                other => agent.node.serve_call(other, outgoing).await,
            }
        });
    }

    fn refused(&self, refusal: Refusal) {
        self.0.node.record_refusal("peers", refusal);
    }

    fn malformed(&self) {
        if let Some(log) = self.0.node.logs.line(Topic::State) {
            warn!(log, "peer sent no frame");
        }
    }
}

/// Sends a chunk as soon as the link has capacity that tokens do not need; refuses if no upload
/// slot is free.
async fn upload(agent: &Rc<Agent>, digest: Digest, outgoing: Outgoing) {
    let (version, idx) = match locate(agent, digest) {
        Location::Staged(version, idx) => (version, idx),
        Location::Pending => {
            outgoing.finish(&Reply::Absent(Absence::Pending)).await;
            return;
        }
        Location::Missing => {
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        }
        Location::Unknown => {
            recover_target(agent);
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        }
    };
    let Some(_slot) = acquire_slot(agent) else {
        outgoing.finish(&Reply::Absent(Absence::Busy)).await;
        return;
    };
    let Ok(Some(content)) = read_back(agent, &version, idx, digest).await else {
        outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
        return;
    };
    let now = agent.node.clock.now();
    let wait = agent
        .upload_pacer
        .borrow_mut()
        .reserve(content.len() as u64, now);
    actix_rt::time::sleep(wait).await;
    outgoing.finish(&Reply::Chunk(content.to_vec())).await;
}

/// An upload slot, released when dropped.
struct UploadSlot(Rc<Agent>);

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.0.uploads.set(self.0.uploads.get() - 1);
    }
}

/// Acquires an upload slot, if one is free now. A refused peer tries another holder, which is
/// faster than queueing here, and the transfer times that it observes then reflect the link and not
/// a queue.
fn acquire_slot(agent: &Rc<Agent>) -> Option<UploadSlot> {
    let used = agent.uploads.get();
    (used < MAX_UPLOADS).then(|| {
        agent.uploads.set(used + 1);
        UploadSlot(Rc::clone(agent))
    })
}

/// Reports to a peer which chunks of a version are staged, at once and after further ones are.
async fn report_staged(agent: &Rc<Agent>, manifest: Digest, outgoing: Outgoing) {
    let mut reported = HashSet::new();
    loop {
        let chunk_staged = agent.chunk_staged.notified();
        recover_target(agent);
        let staged = staged_positions(agent, manifest);
        let new: Vec<u32> = staged
            .into_iter()
            .filter(|it| reported.insert(*it))
            .collect();
        if !outgoing.send(&Reply::Have(new)).await {
            return;
        }
        tokio::select! {
            () = chunk_staged => {}
            () = actix_rt::time::sleep(FOLLOW_HEARTBEAT) => {}
            () = outgoing.closed() => return,
        }
        actix_rt::time::sleep(REPORT_BATCH_TIME).await;
    }
}

/// Returns the positions of the staged chunks, if they are of the version that `manifest`
/// identifies.
fn staged_positions(agent: &Agent, manifest: Digest) -> Vec<u32> {
    let chunks = agent.staged_chunks.borrow();
    let version = chunks.version.as_ref();
    if version.map(version_digest) != Some(manifest) {
        return Vec::new();
    }
    let staged = chunks.staged.iter().zip(0..);
    staged.filter(|(it, _)| **it).map(|(_, idx)| idx).collect()
}

/// Sends the digests of a version's chunks.
async fn send_manifest(agent: &Rc<Agent>, model: String, number: u64, outgoing: Outgoing) {
    let version = Version { model, number };
    recover_target(agent);
    let digests = {
        let chunks = agent.staged_chunks.borrow();
        let same = chunks.version.as_ref() == Some(&version);
        same.then(|| chunks.digests.clone())
    };
    let reply = match digests {
        Some(digests) => Reply::Pieces(digests),
        None => Reply::Absent(Absence::Pending),
    };
    outgoing.finish(&reply).await;
}

/// Starts to determine which chunks of the served version are staged, unless this is known. Only
/// chunks known to be staged can be uploaded to replicas that are added later.
pub fn recover_target(agent: &Rc<Agent>) {
    let Some(target) = agent.target() else {
        return;
    };
    let served = agent.state().and_then(|it| it.version);
    if !agent.needs_recovery(&target)
        || served != Some(target.number)
        || agent.recovering.replace(true)
    {
        return;
    }
    let owned = Rc::clone(agent);
    agent.node.scope.spawn(async move {
        if let Err(reason) = recover(&owned, &target).await
            && let Some(log) = owned.node.logs.line(Topic::Weights)
        {
            warn!(log, "failed to recover staged chunks"; "reason" => reason);
        }
        owned.recovering.set(false);
    });
}

/// Location of a chunk that a peer requested.
enum Location {
    /// This agent owns the chunk, and is about to read it from the origin.
    Pending,
    /// This agent gets the chunk from another one.
    Missing,
    /// The chunk is staged at a position of a version.
    Staged(Version, u32),
    /// The chunk is in no known manifest.
    Unknown,
}

fn locate(agent: &Agent, digest: Digest) -> Location {
    let chunks = agent.staged_chunks.borrow();
    let (Some(version), Some(&idx)) = (&chunks.version, chunks.positions.get(&digest)) else {
        return Location::Unknown;
    };
    if chunks.staged.get(idx as usize) == Some(&true) {
        Location::Staged(version.clone(), idx)
    } else {
        let fetching = agent.fetching.borrow();
        let owns = fetching.as_ref().is_some_and(|it| it.borrow().owns(digest));
        if owns {
            Location::Pending
        } else {
            Location::Missing
        }
    }
}
