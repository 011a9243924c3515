//! Staging and verification of a version's chunks.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_daemon::transport::client::Lane;
use gradeloft_platform::Fault;
use gradeloft_policy::{rendezvous, version::verification::Verification};
use gradeloft_wire::{
    frame::{Call, Reply, Table},
    id::Digest,
};
use rand::Rng;
use slog::{info, warn};
use tokio::time::timeout;

use super::{Agent, StagedChunks, Version, deploy::DeployError, fetch};
use crate::logs::Topic;

/// Number of peers from which a manifest is requested if the origin is unreachable.
const MANIFEST_PEERS: usize = 4;
/// Number of entries from which the list of replicas is requested before the store is read.
const REPLICAS_ATTEMPTS: u32 = 4;
/// Maximum pause before the request to another entry, in milliseconds; doubles with each attempt.
const REPLICAS_BACKOFF_MS: u64 = 100;
/// Timeout of requests for a manifest or for the list of replicas.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a manifest is requested from readers only, before the origin, in milliseconds:
/// several times what a reader needs to get the list of members and to read the manifest.
const READERS_TIMEOUT_MS: u64 = 900;
/// Time for the origin to send a manifest before it is requested from other readers as well: an
/// idle origin needs a few milliseconds per reader.
const ORIGIN_HEAD_START: Duration = Duration::from_millis(80);
/// Pause before the request to another reader.
const READER_PAUSE: Duration = Duration::from_millis(50);

/// An agent of the service, which can hold chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Hash of the address of the agent's instance.
    pub node: u64,
    /// Address at which the agent serves peers.
    pub address: SocketAddr,
    /// Region of the agent's instance.
    pub region: String,
}

/// Fetches missing chunks until the whole version is staged, and returns the other agents of the
/// service.
pub async fn stage(agent: &Rc<Agent>, version: &Version) -> Result<Vec<u64>, DeployError> {
    let members = members(agent).await;
    // Staged chunks that are known to be of another version are not read; only chunks of unknown
    // version are verified.
    if select_version(agent, version, &members).await? == StagedVersion::Unknown {
        let listed = list_staged(agent, version).await?;
        verify_chunks(agent, version, &listed).await;
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

/// Reads back every staged chunk of a version, and fails unless all are present and match their
/// digests.
pub async fn verify(agent: &Agent, version: &Version) -> Result<Verification, String> {
    let started = agent.node.clock.now();
    // The last poll may have failed, or may be older than the replica's last restart.
    agent.update_state().await;
    let state = agent.state().ok_or("the replica does not respond")?;
    let listed = list_staged(agent, version).await?;
    verify_chunks(agent, version, &listed).await;
    let chunks = agent.staged_chunks.borrow();
    let bad = chunks.staged.iter().filter(|it| !**it).count();
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        let elapsed = agent.node.clock.now().since(started);
        info!(log, "staged chunks verified"; "model" => &version.model,
            "version" => version.number, "bad" => bad, "ms" => elapsed.as_millis() as u64);
    }
    if 0 < bad || chunks.staged.is_empty() || chunks.version.as_ref() != Some(version) {
        return Err(format!("{bad} staged chunks are missing or corrupt"));
    }
    Ok(Verification::new(started, state.born))
}

/// Determines which chunks of the version that the replica serves are still staged, so that they
/// can be uploaded to other agents.
pub async fn recover(agent: &Rc<Agent>, version: &Version) -> Result<(), String> {
    let members = members(agent).await;
    let before = agent.staged_chunks.borrow().version.clone();
    let digests = match before.as_ref() == Some(version) {
        true => None,
        false => Some(manifest(agent, version, &members).await?),
    };
    let listed = list_staged(agent, version).await?;
    // The deployment of a newer version may have started in the meantime.
    if agent.staged_chunks.borrow().version != before || agent.target().as_ref() != Some(version) {
        return Err("another version is being deployed".to_owned());
    }
    if let Some(digests) = digests {
        reset_chunks(agent, version, digests);
        verify_chunks(agent, version, &listed).await;
    } else {
        let unread = agent.staged_chunks.borrow().unread.clone();
        verify_positions(agent, version, &listed, unread).await;
    }
    let chunks = agent.staged_chunks.borrow();
    let held = chunks.staged.iter().filter(|it| **it).count();
    if let Some(log) = agent.node.logs.line(Topic::Weights) {
        info!(log, "staged chunks recovered"; "version" => version.number, "held" => held,
            "pieces" => chunks.staged.len(), "holding" => ?chunks.version);
    }
    let unread = chunks.unread.len();
    drop(chunks);
    agent.chunk_staged.notify_waiters();
    match unread {
        0 => Ok(()),
        _ => Err(format!("{unread} staged chunks could not be read back")),
    }
}

/// Returns the agents of the service, including this one.
async fn members(agent: &Rc<Agent>) -> Vec<Member> {
    update_replicas(agent).await;
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

/// Updates the copy of the table of replicas from an entry. All agents update their copies when a
/// version is named, and if all agents read the store, the transfers of the table would saturate
/// the store's links. So an existing copy is used if no entry sends a newer one, and the store is
/// read only if there is no copy.
async fn update_replicas(agent: &Agent) {
    for attempt in 0..REPLICAS_ATTEMPTS {
        let Some(entry) = agent.random_entry() else {
            break;
        };
        let records = agent.node.fetch_records(entry, Table::Replicas);
        let received = timeout(REQUEST_TIMEOUT, records).await == Ok(true);
        if agent.node.loaded(Table::Replicas) && (received || 0 < attempt) {
            return;
        }
        let max_pause_ms = REPLICAS_BACKOFF_MS << attempt;
        let pause = agent.node.with_rng(|it| it.random_range(0..=max_pause_ms));
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
    if !agent.node.loaded(Table::Replicas) {
        agent.node.read_snapshot(Table::Replicas).await;
    }
}

/// Returns the hash of the address of an agent's instance.
pub fn node_hash(address: SocketAddr) -> u64 {
    rendezvous::hash(address.ip().to_string().as_bytes())
}

/// Version of the chunks that are staged when the staging of a version starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StagedVersion {
    /// Another version.
    Other,
    /// Any version, including the one to stage.
    Unknown,
}

/// Makes a version the one to be staged, with the digests of its chunks.
async fn select_version(
    agent: &Rc<Agent>,
    version: &Version,
    members: &[Member],
) -> Result<StagedVersion, String> {
    let known = {
        let chunks = agent.staged_chunks.borrow();
        chunks.version.as_ref() == Some(version) && !chunks.digests.is_empty()
    };
    if known {
        return Ok(StagedVersion::Unknown);
    }
    let digests = manifest(agent, version, members).await?;
    Ok(match reset_chunks(agent, version, digests) {
        Some(_) => StagedVersion::Other,
        None => StagedVersion::Unknown,
    })
}

/// Makes a version the one to be staged, with no chunk marked as staged, and returns the previous
/// version.
fn reset_chunks(agent: &Agent, version: &Version, digests: Vec<Digest>) -> Option<Version> {
    let positions = digests.iter().zip(0..).map(|(it, idx)| (*it, idx));
    let before = agent.staged_chunks.replace(StagedChunks {
        version: Some(version.clone()),
        positions: positions.collect(),
        staged: vec![false; digests.len()],
        digests,
        unread: BTreeSet::new(),
    });
    agent.chunk_staged.notify_waiters();
    before.version
}

/// Returns the digests of a version's chunks. Readers request them from the origin and other
/// readers, all other agents from the readers. If these requests fail, any agent requests the
/// digests from the origin, then from other peers.
async fn manifest(
    agent: &Agent,
    version: &Version,
    members: &[Member],
) -> Result<Vec<Digest>, String> {
    let nodes: Vec<u64> = members.iter().map(|it| it.node).collect();
    let readers = agent.readers(version, &nodes);
    let is_reader = readers.contains(&node_hash(agent.replica));
    let readers: Vec<SocketAddr> = members
        .iter()
        .filter(|it| readers.contains(&it.node) && it.address.ip() != agent.replica.ip())
        .map(|it| it.address)
        .collect();
    let received = if is_reader {
        manifest_for_reader(agent, version, &readers).await
    } else {
        manifest_from_readers(agent, version, &readers).await
    };
    if let Some(digests) = received {
        return Ok(digests);
    }
    let mut last_error = match manifest_from_origin(agent, version).await {
        Ok(digests) => return Ok(digests),
        Err(error) => error,
    };
    let others = members
        .iter()
        .filter(|it| it.address.ip() != agent.replica.ip());
    for member in others.take(MANIFEST_PEERS) {
        match manifest_from_peer(agent, version, member.address).await {
            Ok(digests) => return Ok(digests),
            Err(error) => last_error = error,
        }
    }
    Err(format!("failed to get the manifest: {last_error}"))
}

/// Returns the manifest from the origin or another reader, whichever responds first. If a reader
/// learns of a version slightly late, chunks already saturate the origin's link, which delays the
/// origin's response by a second.
async fn manifest_for_reader(
    agent: &Agent,
    version: &Version,
    others: &[SocketAddr],
) -> Option<Vec<Digest>> {
    let from_others = async {
        actix_rt::time::sleep(ORIGIN_HEAD_START).await;
        manifest_from_readers(agent, version, others).await
    };
    tokio::select! {
        Ok(digests) = manifest_from_origin(agent, version) => Some(digests),
        Some(digests) = from_others => Some(digests),
        else => None,
    }
}

/// Returns the manifest from a reader of the version; `None` if no reader sends it in time.
async fn manifest_from_readers(
    agent: &Agent,
    version: &Version,
    readers: &[SocketAddr],
) -> Option<Vec<Digest>> {
    let until = agent.node.clock.now().after_ms(READERS_TIMEOUT_MS);
    let first = node_hash(agent.replica) as usize % readers.len().max(1);
    // Agents start with different readers, to spread the load over them.
    for address in readers.iter().cycle().skip(first) {
        if until <= agent.node.clock.now() {
            break;
        }
        if let Ok(digests) = manifest_from_peer(agent, version, *address).await {
            return Some(digests);
        }
        actix_rt::time::sleep(READER_PAUSE).await;
    }
    None
}

async fn manifest_from_origin(agent: &Agent, version: &Version) -> Result<Vec<Digest>, String> {
    let address = agent.origin().ok_or("the configuration has no origin")?;
    let origin = &agent.node.platform.origin;
    let read = origin.manifest(address, &version.model, version.number);
    let read = timeout(REQUEST_TIMEOUT, read).await;
    let digests = read
        .map_err(|_| "the origin did not respond in time")?
        .map_err(|it| it.to_string())?;
    check_length(agent, digests)
}

/// Fails for a manifest that lacks digests: a version without their chunks would count as whole.
fn check_length(agent: &Agent, digests: Vec<Digest>) -> Result<Vec<Digest>, String> {
    let expected = agent.layout().map_or(1, |it| (it.chunks as usize).max(1));
    if digests.len() < expected {
        return Err(format!(
            "the manifest has {} of {expected} digests",
            digests.len()
        ));
    }
    Ok(digests)
}

async fn manifest_from_peer(
    agent: &Agent,
    version: &Version,
    address: SocketAddr,
) -> Result<Vec<Digest>, String> {
    let call = Call::Pieces {
        model: version.model.clone(),
        version: version.number,
    };
    let peer = address.to_string();
    let calling = agent.node.peers.call(&peer, Lane::Live, &call);
    match timeout(REQUEST_TIMEOUT, calling).await {
        Ok(Ok(Reply::Pieces(digests))) => check_length(agent, digests),
        other => Err(format!("peer {address}: {}", describe_failure(&other))),
    }
}

fn describe_failure<T, E: std::fmt::Debug, F>(reply: &Result<Result<T, E>, F>) -> String {
    match reply {
        Ok(Ok(_)) => "the manifest is not available".to_owned(),
        Ok(Err(fault)) => format!("{fault:?}"),
        Err(_) => "no reply in time".to_owned(),
    }
}

/// Returns the positions of the chunks that are staged at the replica, whatever their content.
async fn list_staged(agent: &Agent, version: &Version) -> Result<Vec<u32>, String> {
    let staged = agent.engine.staged(&version.model).await;
    staged.map_err(|fault| {
        if let Some(log) = agent.node.logs.line(Topic::Weights) {
            warn!(log, "failed to list staged chunks"; "fault" => %fault);
        }
        format!("failed to list staged chunks: {fault}")
    })
}

/// Reads back all staged chunks, and marks those that match their digests. Stops if another version
/// is selected in the meantime, as the marks do not apply to its chunks.
async fn verify_chunks(agent: &Agent, version: &Version, listed: &[u32]) {
    let count = agent.staged_chunks.borrow().digests.len() as u32;
    verify_positions(agent, version, listed, 0..count).await;
}

/// Reads back the staged chunks at some positions, as [`verify_chunks`] does.
async fn verify_positions(
    agent: &Agent,
    version: &Version,
    listed: &[u32],
    positions: impl IntoIterator<Item = u32>,
) {
    let digests = agent.staged_chunks.borrow().digests.clone();
    for idx in positions {
        let Some(digest) = digests.get(idx as usize) else {
            return;
        };
        let read = match listed.contains(&idx) {
            true => read_back(agent, version, idx, *digest).await,
            false => Ok(None),
        };
        let mut chunks = agent.staged_chunks.borrow_mut();
        if chunks.version.as_ref() != Some(version) {
            return;
        }
        if let Some(is_staged) = chunks.staged.get_mut(idx as usize) {
            *is_staged = matches!(read, Ok(Some(_)));
        }
        match read {
            Ok(_) => chunks.unread.remove(&idx),
            Err(_) => chunks.unread.insert(idx),
        };
    }
}

/// Returns the content of a staged chunk; `None` if it is not staged or does not match its digest.
/// Fails if the engine does not tell.
pub async fn read_back(
    agent: &Agent,
    version: &Version,
    idx: u32,
    digest: Digest,
) -> Result<Option<Bytes>, Fault> {
    match agent.engine.chunk(&version.model, idx).await {
        Ok(content) => {
            let good = agent.node.platform.origin.digest(&content) == digest;
            Ok(good.then_some(content))
        }
        Err(Fault::Malformed | Fault::Missing | Fault::Status(_) | Fault::TooLarge) => Ok(None),
        Err(fault) => Err(fault),
    }
}
