//! Fetch of a version's chunks, as decided by `gradeloft_policy::version::fetch`.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{
    StreamExt,
    future::{FutureExt, LocalBoxFuture},
    stream::FuturesUnordered,
};
use gradeloft_daemon::transport::client::{Incoming, Lane};
use gradeloft_policy::{
    clock::Time,
    connection::window::Window,
    rendezvous,
    version::{
        fetch::{ChunkRequest, Failure, Fetch, Scheme, SourceKey, Tuning, Upstream},
        manifest::{Chunk, Manifest},
        partners,
    },
};
use gradeloft_wire::{
    border::bundle::Objective,
    frame::{Call, Reply},
    id::Digest,
};
use slog::warn;
use tokio::time::timeout;

use super::{
    Agent, Version,
    chunk_request::{self, ChunkOutcome},
    deploy::DeployError,
    staging::{Member, node_hash},
};
use crate::{
    logs::Topic,
    metrics::Reason,
    traffic::{Purpose, Reach},
};

/// Number of concurrent chunk requests of one agent to the origin. All readers together saturate
/// the origin with one request each. With two, the retry of a broken request would queue behind
/// twice as many others, and be delayed by a second.
pub const ORIGIN_SLOTS: usize = 1;
/// Maximum number of concurrent chunk requests to one peer.
const REQUESTS_PER_PEER: u32 = 2;
/// Time after which a request counts as stalled, in milliseconds: several times the transfer time
/// of all chunks that may wait for a slot at a peer.
const STALL_MS: u64 = 2_000;
/// Time per rank after which the next owner of a chunk takes over, in milliseconds: a third of the
/// time in which the origin sends one copy of a version.
const TAKEOVER_MS: u64 = 400;
/// Maximum number of announcements by an owner that it is about to read a chunk, after which the
/// next owner reads the chunk. Announcements within the transfer time of a whole version on the
/// owner's link do not count. An owner on a slow link would delay all other agents, whereas a chunk
/// that is read twice costs little.
const MAX_ANNOUNCEMENTS: u64 = 0;
/// Number of copies of a version that all agents together may read from the origin before they slow
/// down. The number is above one, as a version has few chunks and agents own unequal numbers of
/// them.
const ORIGIN_COPIES: f64 = 4.0;
/// Interval between checks for stalled requests if there is no event.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Silence after which a followed peer counts as unreachable.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum wait for peers to report which chunks they hold before the first chunk is requested.
const REPORT_WAIT: Duration = Duration::from_millis(120);
/// Time after which an agent fetches chunks from other regions although another agent of its own
/// region is responsible for that, in milliseconds. Traffic between regions is expensive.
const FAR_FETCH_DELAY_MS: u64 = 2_500;
/// Time without an arrival after which the fetch is restarted with the agents known by then, in
/// milliseconds: longer than `STALL_MS`.
const FETCH_TIMEOUT_MS: u64 = 4_000;
/// Pause before a failed attempt to stage a chunk is retried.
const STAGE_RETRY_PAUSE: Duration = Duration::from_millis(60);

enum Event {
    /// A chunk request has ended.
    ChunkRequestEnded(ChunkOutcome),
    /// A followed peer has reported the chunks that it holds; `incoming` is `None` if it is
    /// unreachable.
    PeerReport {
        key: SourceKey,
        node: u64,
        incoming: Option<Incoming>,
        positions: Vec<u32>,
    },
    /// The chunk at a position is staged at the replica.
    Staged(u32),
}

/// Returns the digest that identifies a version in calls to peers.
pub fn version_digest(version: &Version) -> Digest {
    Digest::of(format!("{}/{}", version.model, version.number).as_bytes())
}

/// Fetches and stages the missing chunks of `version`, and returns the number of them.
pub async fn run(
    agent: &Rc<Agent>,
    version: &Version,
    members: &[Member],
) -> Result<usize, DeployError> {
    let mut fetcher = Fetcher::new(agent, version, members);
    let missing = fetcher.fetch.borrow().missing();
    if missing == 0 {
        return Ok(0);
    }
    let _guard = FetchGuard::new(agent, &fetcher.fetch);
    fetcher.run().await?;
    Ok(missing)
}

/// Keeps the fetch registered with the agent, for calls of peers, until dropped.
struct FetchGuard(Rc<Agent>);

impl FetchGuard {
    fn new(agent: &Rc<Agent>, fetch: &Rc<RefCell<Fetch>>) -> FetchGuard {
        *agent.fetching.borrow_mut() = Some(Rc::clone(fetch));
        FetchGuard(Rc::clone(agent))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        *self.0.fetching.borrow_mut() = None;
        self.0.congested.set(false);
    }
}

struct Fetcher<'a> {
    agent: &'a Rc<Agent>,
    version: &'a Version,
    manifest: Manifest,
    members: &'a [Member],
    fetch: Rc<RefCell<Fetch>>,
    window: Window,
    followed: HashMap<u64, SourceKey>,
    /// Peers that have reported the chunks that they hold, or were unreachable.
    reported: HashSet<SourceKey>,
    /// Positions of the withheld chunks that each far peer holds. Another agent of this region is
    /// responsible for fetching these chunks.
    withheld: HashMap<SourceKey, HashSet<usize>>,
    events: FuturesUnordered<LocalBoxFuture<'static, Event>>,
    /// Number of chunks that are being staged.
    staging: usize,
    started: Time,
    /// Time of the last arrival of a chunk.
    last_arrival: Time,
}

impl<'a> Fetcher<'a> {
    fn new(agent: &'a Rc<Agent>, version: &'a Version, members: &'a [Member]) -> Fetcher<'a> {
        let staged_chunks = agent.staged_chunks.borrow();
        let size_bytes = agent.chunk_bytes();
        let chunks = staged_chunks.digests.iter().map(|it| Chunk {
            digest: *it,
            size_bytes,
        });
        let manifest = Manifest {
            digest: version_digest(version),
            chunks: chunks.collect(),
        };
        let held = |it: Digest| {
            let idx = staged_chunks.positions.get(&it);
            idx.is_some_and(|it| staged_chunks.staged[*it as usize])
        };
        let own = node_hash(agent.replica);
        let started = agent.node.clock.now();
        let chunk_time = agent.chunk_time();
        let tuning = Tuning {
            scheme: Scheme::Owners,
            peer_slots: 1,
            origin_slots: ORIGIN_SLOTS,
            per_source: REQUESTS_PER_PEER,
            stall_ms: STALL_MS,
            chunk_ms: chunk_time.as_millis() as u64,
            takeover_ms: TAKEOVER_MS,
            max_announcements: MAX_ANNOUNCEMENTS,
            objective: Objective::Time,
            origin_copies: ORIGIN_COPIES,
        };
        let mut fetch = Fetch::new(own, &manifest, held, tuning, started);
        drop(staged_chunks);
        let nodes: Vec<u64> = members.iter().map(|it| it.node).collect();
        fetch.set_readers(agent.readers(version, &nodes));
        Fetcher {
            agent,
            version,
            manifest,
            members,
            fetch: Rc::new(RefCell::new(fetch)),
            window: Window::new(chunk_time),
            followed: HashMap::new(),
            reported: HashSet::new(),
            withheld: HashMap::new(),
            events: FuturesUnordered::new(),
            staging: 0,
            started,
            last_arrival: started,
        }
    }

    async fn run(&mut self) -> Result<(), DeployError> {
        self.follow_partners();
        let start = self.agent.node.clock.now().after(REPORT_WAIT);
        while !(self.fetch.borrow().is_complete() && self.staging == 0) {
            let now = self.agent.node.clock.now();
            if start <= now || self.all_reported() {
                self.send_requests();
            }
            tokio::select! {
                Some(event) = self.events.next() => self.handle_event(event),
                () = actix_rt::time::sleep(CHECK_INTERVAL) => self.handle_timeouts(),
            }
            if self.superseded() {
                return Err(DeployError::Superseded);
            }
            if self.last_arrival.after_ms(FETCH_TIMEOUT_MS) <= self.agent.node.clock.now() {
                return Err("no chunk arrived for too long".to_owned().into());
            }
        }
        Ok(())
    }

    /// Returns whether every followed peer has reported which chunks it holds.
    fn all_reported(&self) -> bool {
        let mut followed = self.followed.values();
        followed.all(|it| self.reported.contains(it))
    }

    /// Returns whether a newer version was named before half of this one was available in the
    /// fleet. A version that is half available is finished: fetching the newer version may take
    /// long, and once the older version is due, replicas that have loaded neither must not serve.
    fn superseded(&self) -> bool {
        let half_available = self.fetch.borrow().half_available();
        !half_available && self.agent.target().as_ref() != Some(self.version)
    }

    /// Returns the peers to follow.
    fn partners(&self) -> Vec<partners::Member> {
        let own = node_hash(self.agent.replica);
        let region = self.agent.region();
        let others = self.members.iter().filter(|it| it.node != own);
        let others: Vec<partners::Member> = others
            .map(|it| partners::Member {
                node: it.node,
                address: it.address.to_string(),
                near: it.region == region,
            })
            .collect();
        let mut partners = partners::choose(
            Scheme::Owners,
            own,
            self.manifest.digest.prefix_u64(),
            &others,
        );
        let owners = self.owners_to_follow();
        let chosen: HashSet<u64> = partners.iter().map(|it| it.node).collect();
        let is_new_owner =
            |it: &partners::Member| owners.contains(&it.node) && !chosen.contains(&it.node);
        partners.extend(others.into_iter().filter(is_new_owner));
        partners
    }

    /// Returns the owners of the chunks that this agent fetches from other regions on behalf of its
    /// own region. The owners get a chunk first; this agent's partners in other regions may get it
    /// last.
    fn owners_to_follow(&self) -> HashSet<u64> {
        let chunks = self.manifest.distinct_chunks();
        let fetch = self.fetch.borrow();
        let near = self.near_agents();
        let responsible = (0..chunks.len()).filter(|it| self.is_far_fetcher(chunks[*it], &near));
        responsible.filter_map(|it| fetch.first_owner(it)).collect()
    }

    /// Returns the agents of this region.
    fn near_agents(&self) -> Vec<u64> {
        let region = self.agent.region();
        let near = self.members.iter().filter(|it| it.region == region);
        near.map(|it| it.node).collect()
    }

    /// Returns whether this agent is the one of its region that fetches a chunk from other regions.
    fn is_far_fetcher(&self, chunk: Chunk, near: &[u64]) -> bool {
        let own = node_hash(self.agent.replica);
        let others = near.iter().copied().filter(|it| *it != own);
        rendezvous::rank(chunk.digest.prefix_u64(), own, others) == 0
    }

    /// Follows the partners that are not followed yet.
    fn follow_partners(&mut self) {
        for partner in self.partners() {
            if self.followed.contains_key(&partner.node) {
                continue;
            }
            let key = self.fetch.borrow_mut().add_source(partner.near);
            self.followed.insert(partner.node, key);
            if !partner.near {
                self.withheld.entry(key).or_default();
            }
            let agent = Rc::clone(self.agent);
            let manifest = self.manifest.digest;
            let node = partner.node;
            let opening = async move {
                let call = Call::Follow { manifest };
                let opened = agent.node.peers.open(&partner.address, Lane::Bulk, &call);
                match opened.await {
                    Ok(incoming) => next_report(key, node, incoming).await,
                    Err(_) => Event::PeerReport {
                        key,
                        node,
                        incoming: None,
                        positions: Vec::new(),
                    },
                }
            };
            self.events.push(opening.boxed_local());
        }
    }

    /// Sends every request that may be sent now.
    fn send_requests(&mut self) {
        self.fetch.borrow_mut().set_peer_slots(self.window.size());
        loop {
            let now = self.agent.node.clock.now();
            let next = self
                .agent
                .node
                .with_rng(|rng| self.fetch.borrow_mut().next_request(now, rng));
            let Some(request) = next else {
                return;
            };
            let sending = chunk_request::send(
                Rc::clone(self.agent),
                self.version.clone(),
                request,
                self.address(request.from),
            );
            self.events
                .push(sending.map(Event::ChunkRequestEnded).boxed_local());
        }
    }

    /// Returns whether an upstream is in this agent's region; `false` for the origin, whose region
    /// is unknown.
    fn is_near(&self, from: Upstream) -> bool {
        let address = self.address(from);
        let member = self.members.iter().find(|it| Some(it.address) == address);
        member.is_some_and(|it| it.region == self.agent.region())
    }

    /// Returns the address of an upstream, if it is a known peer.
    fn address(&self, from: Upstream) -> Option<SocketAddr> {
        let node = match from {
            Upstream::Owner(node) => node,
            Upstream::Source(key) => *self.followed.iter().find(|(_, it)| **it == key)?.0,
            Upstream::Origin | Upstream::Store => return None,
        };
        let member = self.members.iter().find(|it| it.node == node);
        member.map(|it| it.address)
    }

    /// Handles stalled requests, and releases the withheld chunks after a delay.
    fn handle_timeouts(&mut self) {
        let now = self.agent.node.clock.now();
        let stalled = self.fetch.borrow().stalled(now);
        if !stalled.is_empty() {
            self.agent.congested.set(true);
        }
        for (idx, from) in stalled {
            self.fetch
                .borrow_mut()
                .failed(idx, from, Failure::Stalled, now);
        }
        if self.started.after_ms(FAR_FETCH_DELAY_MS) <= now {
            for (key, positions) in std::mem::take(&mut self.withheld) {
                self.fetch.borrow_mut().add_held(key, positions.into_iter());
            }
        }
        self.follow_partners();
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.agent.node.clock.now();
        match event {
            Event::ChunkRequestEnded(ChunkOutcome {
                request,
                result: Ok(content),
                elapsed,
            }) => {
                // The origin queues its chunks, so their transfer time does not show the state of
                // this agent's link.
                if matches!(request.from, Upstream::Owner(_) | Upstream::Source(_)) {
                    self.window.record_arrival(elapsed);
                    self.agent.congested.set(self.window.is_congested());
                }
                if self
                    .fetch
                    .borrow_mut()
                    .arrived(request.idx, request.from, now)
                {
                    self.accept_chunk(request, content);
                }
            }
            Event::ChunkRequestEnded(ChunkOutcome {
                request,
                result: Err(failure),
                ..
            }) => {
                self.log_failure(request, failure);
                self.fetch
                    .borrow_mut()
                    .failed(request.idx, request.from, failure, now);
            }
            Event::PeerReport {
                key,
                node,
                incoming,
                positions,
            } => {
                self.reported.insert(key);
                self.add_held(key, positions);
                match incoming {
                    Some(incoming) => self.events.push(next_report(key, node, incoming)),
                    None => {
                        self.followed.remove(&node);
                        self.withheld.remove(&key);
                        self.fetch.borrow_mut().remove_source(key, now);
                    }
                }
            }
            Event::Staged(idx) => {
                self.staging -= 1;
                self.agent.mark_staged(self.version, idx);
            }
        }
    }

    /// Records the chunks that a peer holds. Chunks of far peers are withheld for a while, except
    /// those that this agent fetches for its region.
    fn add_held(&mut self, key: SourceKey, positions: Vec<u32>) {
        let positions = positions.into_iter().map(|it| it as usize);
        let positions: HashSet<usize> = positions.collect();
        self.fetch.borrow_mut().mark_seen(positions.iter().copied());
        if !self.withheld.contains_key(&key) {
            self.fetch.borrow_mut().add_held(key, positions.into_iter());
            return;
        }
        let chunks = self.manifest.distinct_chunks();
        let near = self.near_agents();
        let is_responsible = |idx: &usize| {
            let chunk = chunks.get(*idx);
            chunk.is_some_and(|it| self.is_far_fetcher(*it, &near))
        };
        let (responsible, others): (HashSet<usize>, HashSet<usize>) =
            positions.into_iter().partition(is_responsible);
        self.withheld.entry(key).or_default().extend(others);
        self.fetch
            .borrow_mut()
            .add_held(key, responsible.into_iter());
    }

    /// Counts an arrived chunk, and stages it at all positions with its digest.
    fn accept_chunk(&mut self, request: ChunkRequest, content: Bytes) {
        self.last_arrival = self.agent.node.clock.now();
        let label = Reason {
            reason: match request.from {
                Upstream::Origin | Upstream::Store => "origin",
                Upstream::Owner(_) | Upstream::Source(_) => "peer",
            },
        };
        self.agent
            .node
            .metrics
            .fetched_chunks
            .get_or_create(&label)
            .inc();
        let near = self.is_near(request.from);
        let reach = Reach::of(near);
        self.agent.node.count(Purpose::Pieces, reach, content.len());
        let staged_chunks = self.agent.staged_chunks.borrow();
        let same = staged_chunks.digests.iter().zip(0..);
        let positions: Vec<u32> = same
            .filter(|(it, _)| **it == request.chunk.digest)
            .map(|(_, idx)| idx)
            .collect();
        drop(staged_chunks);
        for idx in positions {
            self.stage(idx, content.clone());
        }
    }

    /// Stages a chunk at the replica, with retries until it succeeds or the fetch is dropped.
    /// Retries continue when a newer version is named, as this version may still be finished and
    /// then needs every chunk.
    fn stage(&mut self, idx: u32, content: Bytes) {
        self.staging += 1;
        let agent = Rc::clone(self.agent);
        let version = self.version.clone();
        let staging = async move {
            loop {
                let staged = agent.engine.stage(&version.model, idx, content.clone());
                if staged.await.is_ok() {
                    return Event::Staged(idx);
                }
                actix_rt::time::sleep(STAGE_RETRY_PAUSE).await;
            }
        };
        self.events.push(staging.boxed_local());
    }

    fn log_failure(&self, request: ChunkRequest, failure: Failure) {
        let expected = matches!(
            failure,
            Failure::Busy | Failure::NotHeld | Failure::Pending | Failure::Limited(_)
        );
        if expected {
            return;
        }
        if let Some(log) = self.agent.node.logs.line(Topic::Weights) {
            warn!(log, "chunk request failed"; "version" => self.version.number,
                "piece" => request.idx, "from" => ?request.from, "failure" => ?failure);
        }
    }
}

/// Waits for the next report of a followed peer.
fn next_report(
    key: SourceKey,
    node: u64,
    mut incoming: Incoming,
) -> LocalBoxFuture<'static, Event> {
    async move {
        let (incoming, positions) = match timeout(FOLLOW_TIMEOUT, incoming.next()).await {
            Ok(Ok(Some(Reply::Have(positions)))) => (Some(incoming), positions),
            _ => (None, Vec::new()),
        };
        Event::PeerReport {
            key,
            node,
            incoming,
            positions,
        }
    }
    .boxed_local()
}
