//! Fetches, stages and checks the pieces of a version.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gradeloft_daemon::transport::client::Lane;
use gradeloft_policy::{
    rendezvous,
    version::pieces::{Member, Search, Source},
};
use gradeloft_wire::{
    frame::{Absence, Call, Reply, Table},
    id::Digest,
};
use slog::{info, warn};
use tokio::time::timeout;

use super::{Agent, Holding, Version};
use crate::{logs::Topic, metrics::Reason};

/// Pieces looked for at once, most of which wait for their sources to have them; the gate bounds how
/// many come at once.
const AT_ONCE: usize = 48;
/// Time for one answer of a peer: all the pieces asked for at once on its link, several times over.
const PEER_ANSWER: Duration = Duration::from_millis(1_500);
/// Pause before a piece is looked for again.
const POLL: Duration = Duration::from_millis(80);
/// Time after which the whole is looked at again, in milliseconds.
const GIVE_UP_MS: u64 = 15_000;
/// Peers that are asked for a manifest while the origin is out of reach.
const MANIFEST_PEERS: usize = 4;
/// Time for a peer to say what it holds, or for an entry to list replicas.
const QUESTION: Duration = Duration::from_millis(700);
/// Fetches what is missing of a version until all of it is staged; gives the other agents.
pub async fn fill(agent: &Rc<Agent>, version: &Version) -> Result<Vec<u64>, String> {
    let members = members(agent, version).await;
    hold(agent, version, &members).await?;
    check_staged(agent, version).await;
    let fetched = fetch_missing(agent, version, &members).await?;
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "weights staged"; "model" => &version.model, "version" => version.number,
            "fetched" => fetched, "members" => members.len());
    }
    let own = node_hash(agent.replica);
    let others = members.iter().map(|it| it.node).filter(|it| *it != own);
    Ok(others.collect())
}

/// Reads every staged piece of a version back, and fails unless all have their digests.
pub async fn check(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    let spoilt = check_staged(agent, version).await;
    if 0 < spoilt {
        return Err(format!("{spoilt} staged pieces are spoilt"));
    }
    Ok(())
}

/// Learns which pieces of the version that the replica holds lie staged beside it, so that they can
/// be given to others.
pub async fn adopt(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    let members = members(agent, version).await;
    hold(agent, version, &members).await?;
    let before = agent.holding.borrow().staged.clone();
    check_staged(agent, version).await;
    let held = agent
        .holding
        .borrow()
        .staged
        .iter()
        .filter(|it| **it)
        .count();
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "staged pieces adopted"; "version" => version.number, "held" => held,
            "pieces" => before.len());
    }
    agent.arrived.notify_waiters();
    Ok(())
}

/// The other agents that can hold pieces.
async fn members(agent: &Rc<Agent>, version: &Version) -> Vec<Member> {
    learn_replicas(agent).await;
    let settings = agent.node.settings();
    let decoder = &agent.node.platform.decoder;
    let records = agent.node.records(Table::Replicas);
    let listings = records.iter().filter_map(|it| decoder.listing(it).ok());
    let mut seen = HashSet::from([agent.replica]);
    let mut members: Vec<Member> = listings
        .filter(|it| *it.service == *agent.service && seen.insert(it.address))
        .map(|it| Member {
            node: node_hash(it.address),
            address: SocketAddr::new(it.address.ip(), settings.peer_port),
            region: settings.region(&it.zone).to_owned(),
            holds: it.version == Some(version.number),
        })
        .collect();
    members.push(Member {
        node: node_hash(agent.replica),
        address: SocketAddr::new(agent.replica.ip(), settings.peer_port),
        region: settings.region(&settings.zone).to_owned(),
        holds: false,
    });
    members
}

/// Brings the copy of the table of replicas up to date: from an entry, which is free, else from the
/// store.
async fn learn_replicas(agent: &Agent) {
    for entry in agent.entries().into_iter().take(2) {
        let asked = agent.node.ask_records(entry, Table::Replicas);
        if timeout(QUESTION, asked).await == Ok(true) && agent.node.loaded(Table::Replicas) {
            return;
        }
    }
    agent.node.read_snapshot(Table::Replicas).await;
}

/// Hash of an agent's instance.
pub fn node_hash(address: SocketAddr) -> u64 {
    rendezvous::hash(address.ip().to_string().as_bytes())
}

/// A search for what hashes to `key`.
fn search(agent: &Agent, key: u64, members: &[Member]) -> Search {
    let settings = agent.node.settings();
    let region = settings.region(&settings.zone);
    let now = agent.node.clock.now();
    Search::new(key, node_hash(agent.replica), region, members, now)
}

/// Makes a version the one that is held, with the digests of its pieces.
async fn hold(agent: &Rc<Agent>, version: &Version, members: &[Member]) -> Result<(), String> {
    let known = {
        let holding = agent.holding.borrow();
        holding.version.as_ref() == Some(version) && !holding.digests.is_empty()
    };
    if known {
        return Ok(());
    }
    let digests = manifest(agent, version, members).await?;
    let positions = digests.iter().zip(0..).map(|(it, idx)| (*it, idx));
    *agent.holding.borrow_mut() = Holding {
        version: Some(version.clone()),
        positions: positions.collect(),
        staged: vec![false; digests.len()],
        digests,
    };
    agent.arrived.notify_waiters();
    Ok(())
}

/// Digests of a version's pieces. The manifest is small, so the origin gives it to everybody; peers
/// are asked while the origin is out of reach.
async fn manifest(
    agent: &Agent,
    version: &Version,
    members: &[Member],
) -> Result<Vec<Digest>, String> {
    let mut last = match origin_manifest(agent, version).await {
        Ok(digests) if !digests.is_empty() => return Ok(digests),
        Ok(_) => "an empty manifest".to_owned(),
        Err(error) => error,
    };
    let others = members
        .iter()
        .filter(|it| it.address.ip() != agent.replica.ip());
    for member in others.take(MANIFEST_PEERS) {
        match peer_manifest(agent, version, member.address).await {
            Ok(digests) if !digests.is_empty() => return Ok(digests),
            Ok(_) => "an empty manifest".clone_into(&mut last),
            Err(error) => last = error,
        }
    }
    Err(format!("manifest: {last}"))
}

async fn origin_manifest(agent: &Agent, version: &Version) -> Result<Vec<Digest>, String> {
    let address = agent.origin().ok_or("no origin")?;
    let origin = &agent.node.platform.origin;
    let read = origin.manifest(address, &version.model, version.number);
    let read = timeout(QUESTION, read).await;
    read.map_err(|_| "no answer in time")?
        .map_err(|it| it.to_string())
}

async fn peer_manifest(
    agent: &Agent,
    version: &Version,
    address: SocketAddr,
) -> Result<Vec<Digest>, String> {
    let call = Call::Pieces {
        model: version.model.clone(),
        version: version.number,
    };
    let peer = address.to_string();
    let asked = agent.node.peers.ask(&peer, Lane::Live, &call);
    match timeout(QUESTION, asked).await {
        Ok(Ok(Reply::Pieces(digests))) => Ok(digests),
        other => Err(format!("peer {address}: {}", unexpected(&other))),
    }
}

fn unexpected<T, E: std::fmt::Debug, F>(answer: &Result<Result<T, E>, F>) -> String {
    match answer {
        Ok(Ok(_)) => "refused".to_owned(),
        Ok(Err(fault)) => format!("{fault:?}"),
        Err(_) => "no answer in time".to_owned(),
    }
}

/// Reads back what lies staged, and marks the pieces that have their digests; gives how many that
/// were marked before have them no longer.
async fn check_staged(agent: &Agent, version: &Version) -> usize {
    let staged = agent.engine.staged(&version.model).await;
    let staged = match staged {
        Ok(staged) => staged,
        Err(fault) => {
            if let Some(log) = agent.node.logs.line(Topic::Weights) {
                warn!(log, "staged pieces not listed"; "fault" => %fault);
            }
            Vec::new()
        }
    };
    let digests = agent.holding.borrow().digests.clone();
    let mut spoilt = 0;
    for (digest, idx) in digests.iter().zip(0..) {
        let good = staged.contains(&idx) && read_back(agent, version, idx, *digest).await.is_some();
        let mut holding = agent.holding.borrow_mut();
        if let Some(held) = holding.staged.get_mut(idx as usize) {
            spoilt += usize::from(*held && !good);
            *held = good;
        }
    }
    spoilt
}

/// A staged piece, if it has its digest.
pub async fn read_back(
    agent: &Agent,
    version: &Version,
    idx: u32,
    digest: Digest,
) -> Option<Bytes> {
    let content = agent.engine.piece(&version.model, idx).await.ok()?;
    let good = agent.node.platform.origin.digest(&content) == digest;
    good.then_some(content)
}

async fn fetch_missing(
    agent: &Rc<Agent>,
    version: &Version,
    members: &[Member],
) -> Result<usize, String> {
    let (digests, missing) = {
        let holding = agent.holding.borrow();
        let missing = holding.staged.iter().zip(0..).filter(|(held, _)| !**held);
        let missing: Vec<u32> = missing.map(|(_, idx)| idx).collect();
        (holding.digests.clone(), missing)
    };
    let count = missing.len();
    // What this agent is the first for comes first, as others wait for it.
    let mut searches: Vec<(u32, Digest, Search)> = missing
        .into_iter()
        .map(|idx| (idx, digests[idx as usize]))
        .map(|(idx, digest)| (idx, digest, search(agent, digest.short(), members)))
        .collect();
    searches.sort_by_key(|(_, _, search)| search.rank());
    let fetches = searches
        .into_iter()
        .map(|(idx, digest, search)| fetch(agent, version, idx, digest, search));
    let mut fetching = stream::iter(fetches).buffer_unordered(AT_ONCE);
    let mut left = count;
    while let Some(fetched) = fetching.next().await {
        fetched?;
        left -= 1;
        if digests.len() < 2 * left && agent.target().as_ref() != Some(version) {
            return Err("another version was named".to_owned());
        }
    }
    Ok(count)
}

/// Gets one piece and stages it.
async fn fetch(
    agent: &Rc<Agent>,
    version: &Version,
    idx: u32,
    digest: Digest,
    mut search: Search,
) -> Result<(), String> {
    let until = agent.node.clock.now().after_ms(GIVE_UP_MS);
    loop {
        let source = search.next(agent.node.clock.now());
        let failure = match source {
            Some(source) => match ask(agent, version, idx, digest, source).await {
                Ok(content) => return stage(agent, version, idx, content, source).await,
                Err(failure) => Some(failure),
            },
            None => None,
        };
        let now = agent.node.clock.now();
        if let (Some(source), Some(Missing::Failed(reason))) = (source, &failure) {
            search.failed(source, now);
            if let Some(log) = agent.node.logs.line(Topic::Weights) {
                warn!(log, "piece not given"; "piece" => idx, "version" => version.number,
                    "source" => ?source, "reason" => reason);
            }
        }
        if until <= now {
            return Err(format!("piece {idx}: nobody gave it"));
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// Why a source gave no piece.
enum Missing {
    /// It failed, or gave something else.
    Failed(String),
    /// It has not got it, or no slot for it, yet.
    NotYet,
}

async fn ask(
    agent: &Agent,
    version: &Version,
    idx: u32,
    digest: Digest,
    source: Source,
) -> Result<Bytes, Missing> {
    let pass = agent.gate.enter().await;
    let started = agent.node.clock.now();
    let content = match source {
        Source::Origin => origin_piece(agent, version, idx).await,
        Source::Peer(address) => peer_piece(agent, address, digest).await,
    };
    drop(pass);
    let content = content?;
    agent.gate.arrived(agent.node.clock.now().since(started));
    if agent.node.platform.origin.digest(&content) != digest {
        return Err(Missing::Failed("another digest".to_owned()));
    }
    Ok(content)
}

async fn origin_piece(agent: &Agent, version: &Version, idx: u32) -> Result<Bytes, Missing> {
    let address = agent.origin();
    let address = address.ok_or_else(|| Missing::Failed("no origin".to_owned()))?;
    let origin = &agent.node.platform.origin;
    let read = origin.piece(address, &version.model, version.number, idx);
    read.await.map_err(|it| Missing::Failed(it.to_string()))
}

async fn peer_piece(agent: &Agent, address: SocketAddr, digest: Digest) -> Result<Bytes, Missing> {
    let call = Call::Chunk { digest };
    let peer = address.to_string();
    let asked = agent.node.peers.ask(&peer, Lane::Bulk, &call);
    match timeout(PEER_ANSWER, asked).await {
        Ok(Ok(Reply::Chunk(content))) => Ok(Bytes::from(content)),
        Ok(Ok(Reply::Absent(Absence::Pending | Absence::NotHeld | Absence::Busy))) => {
            Err(Missing::NotYet)
        }
        other => Err(Missing::Failed(unexpected(&other))),
    }
}

async fn stage(
    agent: &Rc<Agent>,
    version: &Version,
    idx: u32,
    content: Bytes,
    source: Source,
) -> Result<(), String> {
    let staged = agent.engine.stage(&version.model, idx, content).await;
    staged.map_err(|it| format!("staging piece {idx}: {it}"))?;
    let label = Reason {
        reason: match source {
            Source::Origin => "origin",
            Source::Peer(_) => "peer",
        },
    };
    agent.node.metrics.pieces.get_or_create(&label).inc();
    let mut holding = agent.holding.borrow_mut();
    if holding.version.as_ref() == Some(version)
        && let Some(held) = holding.staged.get_mut(idx as usize)
    {
        *held = true;
    }
    drop(holding);
    agent.arrived.notify_waiters();
    Ok(())
}
