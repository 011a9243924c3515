//! Reads content from peers, the weight store and the origin.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_platform::{Fault, weights::WeightSource};
use gradeloft_policy::{
    rendezvous,
    version::{
        fetch::{ChunkRequest, Failure, Upstream},
        manifest::Manifest,
        partners::{self, Member},
    },
};
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use rand::seq::SliceRandom;
use slog::{debug, warn};
use tokio::time::timeout;

use super::{Agent, fetch::ListMembers};
use crate::transport::client::{CallError, Lane};

/// Delay before the manifest is requested again.
const MANIFEST_RETRY: Duration = Duration::from_millis(60);
/// Number of owners of a manifest among the peers that may be queried for it.
const MANIFEST_OWNERS: usize = 3;
/// Maximum size of a manifest, in bytes.
const MAX_MANIFEST: usize = 8 << 20;

/// Returns the name of an upstream in logs and metrics.
pub fn upstream_name(from: Upstream) -> &'static str {
    match from {
        Upstream::Origin => "origin",
        Upstream::Owner(_) | Upstream::Source(_) => "peer",
        Upstream::Store => "store",
    }
}

/// Reads a chunk, limited to the bandwidth that live requests don't use, and verifies its digest.
pub async fn chunk(
    agent: &Agent,
    request: ChunkRequest,
    address: Option<String>,
) -> Result<Bytes, Failure> {
    let size = request.chunk.size_bytes;
    let wait = agent
        .download_pacer
        .borrow_mut()
        .reserve(size, agent.node.clock.now());
    actix_rt::time::sleep(wait).await;
    let content = match request.from {
        Upstream::Origin => {
            external(&*agent.node.platform.origin, request.chunk.digest, size).await?
        }
        Upstream::Store => {
            external(&*agent.node.platform.store, request.chunk.digest, size).await?
        }
        Upstream::Owner(_) | Upstream::Source(_) => {
            let address = address.ok_or(Failure::Gone)?;
            peer(agent, &address, request.chunk.digest).await?
        }
    };
    if Digest::of(&content) != request.chunk.digest {
        return Err(Failure::Corrupt);
    }
    Ok(content)
}

async fn external(from: &dyn WeightSource, digest: Digest, size: u64) -> Result<Bytes, Failure> {
    from.content(digest, size as usize)
        .await
        .map_err(|it| match it {
            Fault::Limited { retry_after_ms } => Failure::Limited(retry_after_ms),
            Fault::Malformed | Fault::TooLarge => Failure::Corrupt,
            Fault::Missing => Failure::NotHeld,
            Fault::Broken
            | Fault::Lost
            | Fault::Refused(_)
            | Fault::Status(_)
            | Fault::Unreachable => Failure::Gone,
        })
}

async fn peer(agent: &Agent, address: &str, digest: Digest) -> Result<Bytes, Failure> {
    let call = Call::Chunk { digest };
    match agent.node.pool.call(address, Lane::Bulk, &call).await {
        Ok(Reply::Chunk(content)) => Ok(Bytes::from(content)),
        Ok(Reply::Absent(Absence::Busy)) => Err(Failure::Busy),
        Ok(Reply::Absent(Absence::NotHeld)) => Err(Failure::NotHeld),
        Ok(Reply::Absent(Absence::Pending)) => Err(Failure::Pending),
        Ok(Reply::Absent(Absence::Leaving)) => Err(Failure::Gone),
        Ok(_) | Err(CallError::Lost | CallError::Unsent) => Err(Failure::Gone),
    }
}

/// Reads a manifest, with retries until an attempt succeeds. Its first owner reads it from the
/// store or the origin. Other agents query owners and partners first, so that the manifest spreads
/// from partner to partner and the owners are not overloaded.
pub async fn manifest(
    agent: &Rc<Agent>,
    digest: Digest,
    list_members: &ListMembers,
) -> Result<Rc<Manifest>, String> {
    if let Some(manifest) = agent.chunks.borrow().manifest(digest) {
        return Ok(manifest);
    }
    let mut attempts = 0;
    let content = loop {
        if let Some(content) = agent.chunks.borrow().get(digest) {
            break content;
        }
        let content = try_manifest(agent, digest, &list_members(), attempts).await;
        match content {
            Some(content) if Digest::of(&content) == digest => break content,
            Some(_) => warn!(agent.node.log, "corrupt manifest"; "digest" => %digest),
            None => debug!(agent.node.log, "manifest not available; retrying"; "digest" => %digest),
        }
        attempts += 1;
        actix_rt::time::sleep(MANIFEST_RETRY).await;
    };
    let manifest = Manifest::parse(&content, agent.node.limits.chunk_bytes);
    let manifest = manifest.map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        format!("manifest: {}", lines.join("; "))
    })?;
    agent.chunks.borrow_mut().insert(digest, content);
    Ok(Rc::new(manifest))
}

async fn try_manifest(
    agent: &Agent,
    digest: Digest,
    members: &[Member],
    attempts: usize,
) -> Option<Bytes> {
    let nodes: Vec<u64> = members.iter().map(|it| it.node).collect();
    let key = digest.prefix_u64();
    let rank = rendezvous::rank(key, agent.own_hash, nodes.iter().copied());
    if rank == 0 || MANIFEST_OWNERS * 4 * rank < attempts {
        let store = agent
            .node
            .platform
            .store
            .content(digest, MAX_MANIFEST)
            .await;
        if let Ok(content) = store {
            return Some(content);
        }
        return agent
            .node
            .platform
            .origin
            .content(digest, MAX_MANIFEST)
            .await
            .ok();
    }
    let owners = rendezvous::order(key, &nodes)
        .into_iter()
        .take(MANIFEST_OWNERS);
    let mut candidates: Vec<Member> = owners.map(|idx| members[idx].clone()).collect();
    // Connections to the partners are needed for the chunks anyway.
    candidates.extend(partners::choose(agent.scheme, agent.own_hash, key, members));
    agent.node.with_rng(|rng| candidates.shuffle(rng));
    for member in candidates.into_iter().take(2) {
        let response = peer(agent, &member.address, digest);
        if let Ok(Ok(content)) = timeout(Duration::from_secs(1), response).await {
            return Some(content);
        }
    }
    None
}
