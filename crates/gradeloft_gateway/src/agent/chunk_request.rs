//! A single request for a chunk of weights.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_daemon::transport::client::Lane;
use gradeloft_policy::version::fetch::{ChunkRequest, Failure, Upstream};
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use slog::warn;

use super::{Agent, Version};
use crate::logs::Topic;

/// Outcome of a request for a chunk.
#[derive(Debug)]
pub struct ChunkOutcome {
    /// Request that was sent.
    pub request: ChunkRequest,
    /// Content of the chunk, if it arrived and matches its digest.
    pub result: Result<Bytes, Failure>,
    /// Time from the request to its outcome.
    pub elapsed: Duration,
}

/// Requests a chunk from an upstream, and verifies its digest.
pub async fn send(
    agent: Rc<Agent>,
    version: Version,
    request: ChunkRequest,
    address: Option<SocketAddr>,
) -> ChunkOutcome {
    let started = agent.node.clock.now();
    let result = match request.from {
        Upstream::Origin => request_from_origin(&agent, &version, request.chunk.digest).await,
        // The platform has no store of weights other than the origin.
        Upstream::Store => Err(Failure::NotHeld),
        Upstream::Owner(_) | Upstream::Source(_) => match address {
            Some(address) => request_from_peer(&agent, address, request.chunk.digest).await,
            None => Err(Failure::Gone),
        },
    };
    let digest = |it: &Bytes| agent.node.platform.origin.digest(it);
    let result = result.and_then(|content| {
        if digest(&content) == request.chunk.digest {
            Ok(content)
        } else {
            Err(Failure::Corrupt)
        }
    });
    let elapsed = agent.node.clock.now().since(started);
    ChunkOutcome {
        request,
        result,
        elapsed,
    }
}

async fn request_from_origin(
    agent: &Agent,
    version: &Version,
    digest: Digest,
) -> Result<Bytes, Failure> {
    let idx = agent.staged_chunks.borrow().positions.get(&digest).copied();
    let idx = idx.ok_or(Failure::NotHeld)?;
    let address = agent.origin().ok_or(Failure::Gone)?;
    let origin = &agent.node.platform.origin;
    let read = origin.chunk(address, &version.model, version.number, idx);
    read.await.map_err(|fault| {
        if let Some(log) = agent.node.logs.line(Topic::Weights) {
            warn!(log, "chunk request to the origin failed"; "version" => version.number,
                "piece" => idx, "fault" => %fault);
        }
        Failure::Gone
    })
}

async fn request_from_peer(
    agent: &Agent,
    address: SocketAddr,
    digest: Digest,
) -> Result<Bytes, Failure> {
    let peer = address.to_string();
    let call = Call::Chunk { digest };
    let reply = agent.node.peers.call(&peer, Lane::Bulk, &call).await;
    match reply {
        Ok(Reply::Chunk(content)) => Ok(Bytes::from(content)),
        Ok(Reply::Absent(Absence::Busy)) => Err(Failure::Busy),
        Ok(Reply::Absent(Absence::NotHeld)) => Err(Failure::NotHeld),
        Ok(Reply::Absent(Absence::Pending)) => Err(Failure::Pending),
        Ok(_) | Err(_) => Err(Failure::Gone),
    }
}
