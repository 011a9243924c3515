//! Fetches, stages and checks the pieces of a version.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_daemon::transport::client::Lane;
use gradeloft_policy::rendezvous;
use gradeloft_wire::{
    frame::{Call, Reply, Table},
    id::Digest,
};
use rand::Rng;
use slog::{info, warn};
use tokio::time::timeout;

use super::{Agent, Holding, Version, change::Stop, fetch};
use crate::logs::Topic;

/// Peers that are asked for a manifest while the origin is out of reach.
const MANIFEST_PEERS: usize = 4;
/// Entries that are asked for the replicas before the store is.
const REPLICAS_PEERS: u32 = 4;
/// Longest pause before another entry is asked, in milliseconds; doubles each time.
const REPLICAS_PAUSE_MS: u64 = 100;
/// Time for a peer to say what it holds, or for an entry to list replicas.
const QUESTION: Duration = Duration::from_millis(700);
/// Time for which readers are asked for a manifest before the origin is, in milliseconds: several
/// times what a reader needs to learn the members and to read it.
const READERS_MS: u64 = 900;
/// Time for the origin to send a manifest before other readers are asked for it as well: an origin that has nothing else
/// to send does so in a few milliseconds for each reader.
const HEAD_START: Duration = Duration::from_millis(80);
/// Pause before another reader is asked.
const READER_PAUSE: Duration = Duration::from_millis(50);
/// An agent that can hold pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Hash of its instance's name.
    pub node: u64,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
}

/// Fetches what is missing of a version until all of it is staged; gives the other agents.
pub async fn fill(agent: &Rc<Agent>, version: &Version) -> Result<Vec<u64>, Stop> {
    let members = members(agent).await;
    // What a known other version left staged can't be of this one, so only pieces of unknown origin
    // are looked through.
    if hold(agent, version, &members).await? == Staged::Unknown {
        check_staged(agent, version).await;
    }
    let fetched = fetch::run(agent, version, &members).await?;
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "weights staged"; "model" => &version.model, "version" => version.number,
            "fetched" => fetched, "members" => members.len());
    }
    let own = node_hash(agent.replica);
    let others = members.iter().map(|it| it.node).filter(|it| *it != own);
    Ok(others.collect())
}

/// Reads every staged piece of a version back, and fails unless all are there and have their digests.
pub async fn check(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    check_staged(agent, version).await;
    let holding = agent.holding.borrow();
    let bad = holding.staged.iter().filter(|it| !**it).count();
    if 0 < bad || holding.staged.is_empty() || holding.version.as_ref() != Some(version) {
        return Err(format!("{bad} staged pieces are missing or spoilt"));
    }
    Ok(())
}

/// Learns which pieces of the version that the replica holds lie staged beside it, so that they can
/// be given to others.
pub async fn adopt(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    let members = members(agent).await;
    let before = agent.holding.borrow().version.clone();
    let digests = manifest(agent, version, &members).await?;
    // Meanwhile a newer version may have been begun.
    if agent.holding.borrow().version != before || agent.target().as_ref() != Some(version) {
        return Err("another version is being brought".to_owned());
    }
    take_hold(agent, version, digests);
    check_staged(agent, version).await;
    let holding = agent.holding.borrow();
    let held = holding.staged.iter().filter(|it| **it).count();
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "staged pieces adopted"; "version" => version.number, "held" => held,
            "pieces" => holding.staged.len(), "holding" => ?holding.version);
    }
    drop(holding);
    agent.arrived.notify_waiters();
    Ok(())
}

/// The agents of the service, this one included.
async fn members(agent: &Rc<Agent>) -> Vec<Member> {
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
        })
        .collect();
    members.push(Member {
        node: node_hash(agent.replica),
        address: SocketAddr::new(agent.replica.ip(), settings.peer_port),
        region: settings.region(&settings.zone).to_owned(),
    });
    members
}

/// Brings the copy of the table of replicas up to date from an entry. All agents do so when a version is named, and if
/// they all read the store, the table would fill the links to it. So a copy that is there is good enough when no entry
/// gives a newer one, and the store is read only without any.
async fn learn_replicas(agent: &Agent) {
    for attempt in 0..REPLICAS_PEERS {
        let Some(entry) = agent.draw_entry() else {
            break;
        };
        let asked = agent.node.ask_records(entry, Table::Replicas);
        let given = timeout(QUESTION, asked).await == Ok(true);
        if agent.node.loaded(Table::Replicas) && (given || 0 < attempt) {
            return;
        }
        let longest = REPLICAS_PAUSE_MS << attempt;
        let pause = agent.node.with_rng(|it| it.random_range(0..=longest));
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
    if !agent.node.loaded(Table::Replicas) {
        agent.node.read_snapshot(Table::Replicas).await;
    }
}

/// Hash of an agent's instance.
pub fn node_hash(address: SocketAddr) -> u64 {
    rendezvous::hash(address.ip().to_string().as_bytes())
}

/// What lies staged when a version is begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Staged {
    /// Pieces of another version.
    Other,
    /// Pieces of any version, this one included.
    Unknown,
}

/// Makes a version the one that is held, with the digests of its pieces.
async fn hold(agent: &Rc<Agent>, version: &Version, members: &[Member]) -> Result<Staged, String> {
    let known = {
        let holding = agent.holding.borrow();
        holding.version.as_ref() == Some(version) && !holding.digests.is_empty()
    };
    if known {
        return Ok(Staged::Unknown);
    }
    let digests = manifest(agent, version, members).await?;
    Ok(match take_hold(agent, version, digests) {
        Some(_) => Staged::Other,
        None => Staged::Unknown,
    })
}

/// Makes a version the one that is held, none of its pieces known to be staged; gives the one before.
fn take_hold(agent: &Agent, version: &Version, digests: Vec<Digest>) -> Option<Version> {
    let positions = digests.iter().zip(0..).map(|(it, idx)| (*it, idx));
    let before = agent.holding.replace(Holding {
        version: Some(version.clone()),
        positions: positions.collect(),
        staged: vec![false; digests.len()],
        digests,
    });
    agent.arrived.notify_waiters();
    before.version
}

/// Digests of a version's pieces: from the origin for its readers, and from those for all others.
/// Peers are asked too while the origin is out of reach, and the origin while the readers are.
async fn manifest(
    agent: &Agent,
    version: &Version,
    members: &[Member],
) -> Result<Vec<Digest>, String> {
    let nodes: Vec<u64> = members.iter().map(|it| it.node).collect();
    let readers = agent.readers(version, &nodes);
    let reads = readers.contains(&node_hash(agent.replica));
    let readers: Vec<SocketAddr> = members
        .iter()
        .filter(|it| readers.contains(&it.node) && it.address.ip() != agent.replica.ip())
        .map(|it| it.address)
        .collect();
    let told = if reads {
        manifest_for_reader(agent, version, &readers).await
    } else {
        readers_manifest(agent, version, &readers).await
    };
    if let Some(digests) = told {
        return Ok(digests);
    }
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

/// The manifest as the origin has it, or one of the other readers, whichever tells first. A reader that learns of a
/// version a moment late finds the origin's link full of pieces, and its answer comes a second later.
async fn manifest_for_reader(
    agent: &Agent,
    version: &Version,
    others: &[SocketAddr],
) -> Option<Vec<Digest>> {
    let from_others = async {
        actix_rt::time::sleep(HEAD_START).await;
        readers_manifest(agent, version, others).await
    };
    tokio::select! {
        Ok(digests) = origin_manifest(agent, version) => Some(digests).filter(|it| !it.is_empty()),
        Some(digests) = from_others => Some(digests),
        else => None,
    }
}

/// The manifest as a reader of the version has it; `None` if none of them tells in time.
async fn readers_manifest(
    agent: &Agent,
    version: &Version,
    readers: &[SocketAddr],
) -> Option<Vec<Digest>> {
    let until = agent.node.clock.now().after_ms(READERS_MS);
    let first = node_hash(agent.replica) as usize % readers.len().max(1);
    // Each agent begins with another reader, so that no reader is asked by all.
    for address in readers.iter().cycle().skip(first) {
        if until <= agent.node.clock.now() {
            break;
        }
        if let Ok(digests) = peer_manifest(agent, version, *address).await
            && !digests.is_empty()
        {
            return Some(digests);
        }
        actix_rt::time::sleep(READER_PAUSE).await;
    }
    None
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
    let asked = agent.node.peers.call(&peer, Lane::Live, &call);
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

/// Reads back what lies staged, and marks the pieces that have their digests, as long as the version is the one
/// that is held: marks of one version say nothing of another's pieces.
async fn check_staged(agent: &Agent, version: &Version) {
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
    for (digest, idx) in digests.iter().zip(0..) {
        let good = staged.contains(&idx) && read_back(agent, version, idx, *digest).await.is_some();
        let mut holding = agent.holding.borrow_mut();
        if holding.version.as_ref() != Some(version) {
            return;
        }
        if let Some(held) = holding.staged.get_mut(idx as usize) {
            *held = good;
        }
    }
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
