//! Fetches, stages and checks the pieces of a version.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gradeloft_daemon::transport::client::Lane;
use gradeloft_policy::{
    rendezvous,
    version::pieces::{self, Member, Source},
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
/// Time for a peer to get a piece that it has not, in milliseconds; then the next one is asked.
const PEER_WAIT_MS: u64 = 1_500;
/// Pause before a peer that has not a piece is asked again.
const PEER_PAUSE: Duration = Duration::from_millis(60);
/// Time for a peer to say what it holds, or for an entry to list replicas.
const QUESTION: Duration = Duration::from_millis(700);
/// Pause between attempts at the origin.
const ORIGIN_PAUSE: Duration = Duration::from_millis(250);
/// Attempts at the origin before the whole is looked at again.
const ORIGIN_ATTEMPTS: u32 = 3;

/// Fetches what is missing of a version until all of it is staged and every piece has been read
/// back with its digest.
pub async fn fill(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    let members = members(agent, version).await;
    hold(agent, version, &members).await?;
    check_staged(agent, version).await;
    let fetched = fetch_missing(agent, version, &members).await?;
    // Read back right before the order: what lies staged is loaded as it is then.
    let spoilt = check_staged(agent, version).await;
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "weights staged"; "model" => &version.model, "version" => version.number,
            "fetched" => fetched, "spoilt" => spoilt, "members" => members.len());
    }
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

fn node_hash(address: SocketAddr) -> u64 {
    rendezvous::hash(address.ip().to_string().as_bytes())
}

/// Sources for what hashes to `key`, best first.
fn sources(agent: &Agent, key: u64, members: &[Member]) -> Vec<Source> {
    let settings = agent.node.settings();
    let region = settings.region(&settings.zone);
    pieces::sources(key, node_hash(agent.replica), region, members)
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

async fn manifest(
    agent: &Agent,
    version: &Version,
    members: &[Member],
) -> Result<Vec<Digest>, String> {
    let key = rendezvous::hash(format!("{}/{}", version.model, version.number).as_bytes());
    let mut last = "no source".to_owned();
    // It is small, so the origin gives it to everybody; peers are asked while the origin is out of
    // reach.
    let sources = [Source::Origin]
        .into_iter()
        .chain(sources(agent, key, members));
    for source in sources {
        let digests = match source {
            Source::Origin => origin_manifest(agent, version).await,
            Source::Peer(address) => peer_manifest(agent, version, address).await,
        };
        match digests {
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
    let until = agent.node.clock.now().after_ms(PEER_WAIT_MS);
    let peer = address.to_string();
    loop {
        let asked = agent.node.peers.ask(&peer, Lane::Live, &call);
        match timeout(QUESTION, asked).await {
            Ok(Ok(Reply::Pieces(digests))) => return Ok(digests),
            Ok(Ok(Reply::Absent(Absence::Pending | Absence::NotHeld))) => {}
            other => return Err(format!("peer {address}: {}", unexpected(&other))),
        }
        if until <= agent.node.clock.now() {
            return Err(format!("peer {address} has no manifest"));
        }
        actix_rt::time::sleep(PEER_PAUSE).await;
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
    let rank = |idx: &u32| sources(agent, digests[*idx as usize].short(), members).len();
    let mut missing = missing;
    missing.sort_by_cached_key(rank);
    let fetches = missing.into_iter().map(|idx| {
        let digest = digests[idx as usize];
        async move { fetch(agent, version, members, idx, digest).await }
    });
    let mut fetching = stream::iter(fetches).buffer_unordered(AT_ONCE);
    let mut result = Ok(count);
    while let Some(fetched) = fetching.next().await {
        if let Err(error) = fetched {
            result = Err(error);
        }
        if agent.target().as_ref() != Some(version) {
            return Err("another version was named".to_owned());
        }
    }
    result
}

async fn fetch(
    agent: &Rc<Agent>,
    version: &Version,
    members: &[Member],
    idx: u32,
    digest: Digest,
) -> Result<(), String> {
    let mut last = "no source".to_owned();
    for source in sources(agent, digest.short(), members) {
        let content = match source {
            Source::Origin => origin_piece(agent, version, idx, digest).await,
            Source::Peer(address) => peer_piece(agent, address, digest).await,
        };
        match content {
            Ok(content) => return stage(agent, version, idx, content, source).await,
            Err(error) => last = error,
        }
    }
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        warn!(log, "piece not fetched"; "piece" => idx, "version" => version.number,
            "reason" => &last);
    }
    Err(format!("piece {idx}: {last}"))
}

async fn origin_piece(
    agent: &Agent,
    version: &Version,
    idx: u32,
    digest: Digest,
) -> Result<Bytes, String> {
    let address = agent.origin().ok_or("no origin")?;
    let origin = &agent.node.platform.origin;
    let mut last = String::new();
    for _ in 0..ORIGIN_ATTEMPTS {
        let pass = agent.gate.enter().await;
        let read = origin.piece(address, &version.model, version.number, idx);
        let read = read.await;
        drop(pass);
        match read {
            Ok(content) if origin.digest(&content) == digest => return Ok(content),
            Ok(_) => "the origin's piece has another digest".clone_into(&mut last),
            Err(fault) => last = format!("origin: {fault}"),
        }
        actix_rt::time::sleep(ORIGIN_PAUSE).await;
    }
    Err(last)
}

async fn peer_piece(agent: &Agent, address: SocketAddr, digest: Digest) -> Result<Bytes, String> {
    let call = Call::Chunk { digest };
    let until = agent.node.clock.now().after_ms(PEER_WAIT_MS);
    let peer = address.to_string();
    loop {
        let pass = agent.gate.enter().await;
        let started = agent.node.clock.now();
        let asked = agent.node.peers.ask(&peer, Lane::Bulk, &call);
        let answer = timeout(PEER_ANSWER, asked).await;
        drop(pass);
        match answer {
            Ok(Ok(Reply::Chunk(content))) => {
                agent.gate.arrived(agent.node.clock.now().since(started));
                let content = Bytes::from(content);
                if agent.node.platform.origin.digest(&content) == digest {
                    return Ok(content);
                }
                return Err(format!("peer {address}: another digest"));
            }
            Ok(Ok(Reply::Absent(Absence::Pending | Absence::NotHeld | Absence::Busy))) => {}
            other => return Err(format!("peer {address}: {}", unexpected(&other))),
        }
        if until <= agent.node.clock.now() {
            return Err(format!("peer {address} has not the piece"));
        }
        actix_rt::time::sleep(PEER_PAUSE).await;
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
