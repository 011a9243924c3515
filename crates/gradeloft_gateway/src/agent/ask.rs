//! One question for a piece of weights.

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

/// What became of a question.
#[derive(Debug)]
pub struct Answered {
    /// The question.
    pub ask: ChunkRequest,
    /// The piece, if it came and has its digest.
    pub result: Result<Bytes, Failure>,
    /// How long it took.
    pub took: Duration,
}

/// Asks a source for a piece, and checks what comes.
pub async fn piece(
    agent: Rc<Agent>,
    version: Version,
    ask: ChunkRequest,
    address: Option<SocketAddr>,
) -> Answered {
    let started = agent.node.clock.now();
    let result = match ask.from {
        Upstream::Origin => origin_piece(&agent, &version, ask.chunk.digest).await,
        // This platform has no store of weights beside the origin.
        Upstream::Store => Err(Failure::NotHeld),
        Upstream::Owner(_) | Upstream::Source(_) => match address {
            Some(address) => peer_piece(&agent, address, ask.chunk.digest).await,
            None => Err(Failure::Gone),
        },
    };
    let digest = |it: &Bytes| agent.node.platform.origin.digest(it);
    let result = result.and_then(|content| {
        if digest(&content) == ask.chunk.digest {
            Ok(content)
        } else {
            Err(Failure::Corrupt)
        }
    });
    let took = agent.node.clock.now().since(started);
    Answered { ask, result, took }
}

async fn origin_piece(agent: &Agent, version: &Version, digest: Digest) -> Result<Bytes, Failure> {
    let idx = agent.holding.borrow().positions.get(&digest).copied();
    let idx = idx.ok_or(Failure::NotHeld)?;
    let address = agent.origin().ok_or(Failure::Gone)?;
    let origin = &agent.node.platform.origin;
    let read = origin.piece(address, &version.model, version.number, idx);
    read.await.map_err(|fault| {
        if let Some(log) = agent.node.logs.line(Topic::Weights) {
            warn!(log, "origin did not give a piece"; "version" => version.number, "piece" => idx,
                "fault" => %fault);
        }
        Failure::Gone
    })
}

async fn peer_piece(agent: &Agent, address: SocketAddr, digest: Digest) -> Result<Bytes, Failure> {
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
