//! Fetch of a version's chunks: I/O for the decisions of `gradeloft_policy::version::fetch`.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{
    StreamExt,
    future::{FutureExt, LocalBoxFuture},
    stream::FuturesUnordered,
};
use gradeloft_platform::endpoint::Engine;
use gradeloft_policy::version::{
    fetch::{ChunkRequest, Failure, Fetch, SourceKey, Tuning, Upstream},
    manifest::Manifest,
    partners::{self, Member},
};
use gradeloft_wire::{
    border::bundle::Objective,
    frame::{Call, Reply},
    id::Digest,
};
use slog::warn;
use tokio::time::timeout;

use super::{Agent, read};
use crate::{
    metrics::{self, Source},
    transport::client::{Incoming, Lane},
};

/// Maximum number of concurrent reads from the store and the origin by one agent.
const ORIGIN_SLOTS: usize = 2;
/// Maximum number of concurrent requests to one peer.
const MAX_PER_SOURCE: u32 = 3;
/// Minimum timeout after which a request counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 1_500;
/// Number of chunks that may be queued ahead of a requested one at a peer; extends the stall
/// timeout.
const QUEUED_CHUNKS: u64 = 24;
/// Wait before an owner that has not reported a chunk is queried, in milliseconds; multiplied by
/// the square of the rank.
const TAKEOVER_MS: u64 = 600;
/// Maximum number of times that an owner may reply that a chunk is pending before another agent
/// reads the chunk, not counting those that fit into the transfer time of the whole version.
const MAX_ANNOUNCEMENTS: u64 = 8;
/// Delay before staging a chunk in the engine is retried.
const STAGE_RETRY: Duration = Duration::from_millis(60);
/// Interval at which stalled requests are checked and new ones started without an event.
const TICK: Duration = Duration::from_millis(20);
/// Time without a message after which a followed peer counts as gone.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Function that returns the current members of a fetch other than this agent.
pub type ListMembers = Rc<dyn Fn() -> Vec<Member>>;

enum Event {
    /// A chunk request completed.
    Fetched {
        request: ChunkRequest,
        result: Result<Bytes, Failure>,
        elapsed: Duration,
    },
    /// A followed peer holds more chunks, or is gone if `incoming` is `None`.
    Holdings {
        key: SourceKey,
        node: u64,
        incoming: Option<Incoming>,
        positions: Vec<u32>,
    },
    /// Staging a chunk in the engine ended; `done` is whether it succeeded.
    Staged { digest: Digest, done: bool },
}

/// Fetches a version until the engine holds all chunks. Returns the manifest.
pub async fn run(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    manifest: Digest,
    objective: Objective,
    list_members: ListMembers,
) -> Result<Rc<Manifest>, String> {
    let manifest = read::manifest(agent, manifest, &list_members).await?;
    agent
        .chunks
        .borrow_mut()
        .insert_manifest(Rc::clone(&manifest));
    let staged: HashSet<Digest> = match engine.staged().await {
        Ok(staged) => staged.into_iter().collect(),
        Err(fault) => return Err(format!("engine: {fault}")),
    };
    let unstaged = |it: Digest| agent.chunks.borrow().holds(it) && !staged.contains(&it);
    let to_stage: Vec<Digest> = manifest
        .distinct_chunks()
        .iter()
        .map(|it| it.digest)
        .filter(|it| unstaged(*it))
        .collect();
    let mut driver = Driver::new(agent, engine, &manifest, objective, list_members, &staged);
    for digest in to_stage {
        driver.stage(digest);
    }
    let _guard = FetchingGuard::new(agent, &driver.fetch);
    driver.run().await;
    Ok(manifest)
}

/// Guard that registers the fetch as in progress, for responses to peers, until it is dropped.
struct FetchingGuard(Rc<Agent>);

impl FetchingGuard {
    fn new(agent: &Rc<Agent>, fetch: &Rc<RefCell<Fetch>>) -> FetchingGuard {
        *agent.fetching.borrow_mut() = Some(Rc::clone(fetch));
        FetchingGuard(Rc::clone(agent))
    }
}

impl Drop for FetchingGuard {
    fn drop(&mut self) {
        *self.0.fetching.borrow_mut() = None;
    }
}

struct Driver<'a> {
    agent: &'a Rc<Agent>,
    engine: &'a Rc<dyn Engine>,
    manifest: &'a Rc<Manifest>,
    list_members: ListMembers,
    members: Vec<Member>,
    fetch: Rc<RefCell<Fetch>>,
    /// Followed peers by the hashes of their names.
    followed: HashMap<u64, SourceKey>,
    events: FuturesUnordered<LocalBoxFuture<'static, Event>>,
    /// Number of chunks being staged in the engine.
    staging: usize,
}

impl<'a> Driver<'a> {
    fn new(
        agent: &'a Rc<Agent>,
        engine: &'a Rc<dyn Engine>,
        manifest: &'a Rc<Manifest>,
        objective: Objective,
        list_members: ListMembers,
        staged: &HashSet<Digest>,
    ) -> Driver<'a> {
        let held = |it: Digest| staged.contains(&it) || agent.chunks.borrow().holds(it);
        let tuning = tuning(agent, manifest, objective);
        let now = agent.node.clock.now();
        let fetch = Fetch::new(agent.own_hash, manifest, held, tuning, now);
        Driver {
            agent,
            engine,
            manifest,
            list_members,
            members: Vec::new(),
            fetch: Rc::new(RefCell::new(fetch)),
            followed: HashMap::new(),
            events: FuturesUnordered::new(),
            staging: 0,
        }
    }

    async fn run(&mut self) {
        let mut changed = self.agent.node.membership_changes.subscribe();
        self.update_members();
        while !(self.fetch.borrow().is_complete() && self.staging == 0) {
            self.start_requests();
            tokio::select! {
                Some(event) = self.events.next() => self.handle(event),
                Ok(()) = changed.changed() => {
                    changed.borrow_and_update();
                    self.update_members();
                }
                () = actix_rt::time::sleep(TICK) => self.handle_stalls(),
            }
            self.report_counts();
        }
    }

    /// Updates the members, and follows the partners among them.
    fn update_members(&mut self) {
        let members = (self.list_members)();
        if members == self.members {
            return;
        }
        let nodes = members
            .iter()
            .map(|it| it.node)
            .chain([self.agent.own_hash])
            .collect();
        self.fetch.borrow_mut().set_members(nodes);
        self.members = members;
        let now = self.agent.node.clock.now();
        let gone: Vec<u64> = self
            .followed
            .keys()
            .copied()
            .filter(|node| !self.members.iter().any(|it| it.node == *node))
            .collect();
        for node in gone {
            if let Some(key) = self.followed.remove(&node) {
                self.fetch.borrow_mut().remove_source(key, now);
            }
        }
        self.follow_partners();
    }

    fn follow_partners(&mut self) {
        let version = self.manifest.digest.prefix_u64();
        let partners = partners::choose(
            self.agent.scheme,
            self.agent.own_hash,
            version,
            &self.members,
        );
        for member in &partners {
            self.follow(member);
        }
    }

    fn follow(&mut self, member: &Member) {
        if self.followed.contains_key(&member.node) {
            return;
        }
        let key = self.fetch.borrow_mut().add_source(member.near);
        self.followed.insert(member.node, key);
        let node = member.node;
        let address = member.address.clone();
        let agent = Rc::clone(self.agent);
        let manifest = self.manifest.digest;
        let opening = async move {
            let call = Call::Follow { manifest };
            // A partner's holdings arrive over the same connection as its chunks.
            let incoming = agent.node.pool.open(&address, Lane::Bulk, &call).await.ok();
            Event::Holdings {
                key,
                node,
                incoming,
                positions: Vec::new(),
            }
        };
        self.events.push(opening.boxed_local());
    }

    /// Starts all chunk requests that are possible now.
    fn start_requests(&mut self) {
        let max_slots = self.agent.settings.fetch_slots as usize;
        loop {
            let now = self.agent.node.clock.now();
            let slots = self
                .agent
                .download_pacer
                .borrow_mut()
                .max_concurrent(max_slots, now);
            self.fetch.borrow_mut().set_peer_slots(slots);
            let next = self
                .agent
                .node
                .with_rng(|rng| self.fetch.borrow_mut().next_request(now, rng));
            let Some(request) = next else {
                return;
            };
            let agent = Rc::clone(self.agent);
            let address = self.address(request.from);
            let response = async move {
                let started = agent.node.clock.now();
                let result = read::chunk(&agent, request, address).await;
                let elapsed = agent.node.clock.now().since(started);
                Event::Fetched {
                    request,
                    result,
                    elapsed,
                }
            };
            self.events.push(response.boxed_local());
        }
    }

    fn address(&self, from: Upstream) -> Option<String> {
        let node = match from {
            Upstream::Owner(node) => node,
            Upstream::Source(key) => *self.followed.iter().find(|(_, it)| **it == key)?.0,
            Upstream::Origin | Upstream::Store => return None,
        };
        let member = self.members.iter().find(|it| it.node == node);
        member.map(|it| it.address.clone())
    }

    /// Fails stalled requests, and follows partners again that were lost.
    fn handle_stalls(&mut self) {
        let now = self.agent.node.clock.now();
        let mut fetch = self.fetch.borrow_mut();
        for (idx, from) in fetch.stalled(now) {
            fetch.failed(idx, from, Failure::Stalled, now);
        }
        drop(fetch);
        self.follow_partners();
    }

    fn handle(&mut self, event: Event) {
        let now = self.agent.node.clock.now();
        match event {
            Event::Fetched {
                request,
                result: Ok(content),
                elapsed,
            } => self.arrived(request, content, elapsed),
            Event::Fetched {
                request,
                result: Err(failure),
                ..
            } => {
                if failure == Failure::Corrupt {
                    self.agent.node.metrics.corrupt_chunks.inc();
                    warn!(self.agent.node.log, "corrupt chunk"; "digest" => %request.chunk.digest,
                        "from" => read::upstream_name(request.from));
                }
                self.fetch
                    .borrow_mut()
                    .failed(request.idx, request.from, failure, now);
            }
            Event::Holdings {
                key,
                node,
                incoming,
                positions,
            } => {
                let positions = positions.into_iter().map(|it| it as usize);
                self.fetch.borrow_mut().add_held(key, positions);
                match incoming {
                    Some(incoming) => self.events.push(next_holdings(key, node, incoming)),
                    None => {
                        self.followed.remove(&node);
                        self.fetch.borrow_mut().remove_source(key, now);
                    }
                }
            }
            Event::Staged { digest, done } => {
                self.staging -= 1;
                if !done {
                    self.stage(digest);
                }
            }
        }
    }

    fn arrived(&mut self, request: ChunkRequest, content: Bytes, elapsed: Duration) {
        let now = self.agent.node.clock.now();
        let label = Source {
            source: read::upstream_name(request.from),
        };
        metrics::observe(&self.agent.node.metrics.chunk_fetch, &label, elapsed);
        let bytes = content.len() as u64;
        self.agent
            .node
            .metrics
            .chunk_bytes
            .get_or_create(&label)
            .inc_by(bytes);
        if !self
            .fetch
            .borrow_mut()
            .arrived(request.idx, request.from, now)
        {
            return;
        }
        self.agent
            .chunks
            .borrow_mut()
            .insert(request.chunk.digest, content);
        self.agent.arrivals.send_modify(|it| *it += 1);
        self.stage(request.chunk.digest);
    }

    /// Stages a chunk in the engine, with retries until the engine accepts it.
    fn stage(&mut self, digest: Digest) {
        let Some(content) = self.agent.chunks.borrow().get(digest) else {
            return;
        };
        self.staging += 1;
        let engine = Rc::clone(self.engine);
        let staging = async move {
            let done = engine.stage(digest, content).await.is_ok();
            if !done {
                actix_rt::time::sleep(STAGE_RETRY).await;
            }
            Event::Staged { digest, done }
        };
        self.events.push(staging.boxed_local());
    }

    fn report_counts(&self) {
        let counts = self.fetch.borrow().counts();
        self.agent.update_status(self.manifest.digest, |it| {
            it.from_origin = counts.origin;
            it.from_store = counts.store;
            it.from_peers = counts.peers;
        });
    }
}

/// Waits for the next message of a followed peer.
fn next_holdings(
    key: SourceKey,
    node: u64,
    mut incoming: Incoming,
) -> LocalBoxFuture<'static, Event> {
    async move {
        match timeout(FOLLOW_TIMEOUT, incoming.next()).await {
            Ok(Ok(Some(Reply::Have(positions)))) => Event::Holdings {
                key,
                node,
                incoming: Some(incoming),
                positions,
            },
            _ => Event::Holdings {
                key,
                node,
                incoming: None,
                positions: Vec::new(),
            },
        }
    }
    .boxed_local()
}

fn tuning(agent: &Agent, manifest: &Manifest, objective: Objective) -> Tuning {
    let largest = manifest
        .chunks
        .iter()
        .map(|it| it.size_bytes)
        .max()
        .unwrap_or_default();
    let chunk_ms = largest * 1000 / agent.settings.link_bytes_per_s.max(1);
    Tuning {
        scheme: agent.scheme,
        peer_slots: agent.settings.fetch_slots as usize,
        origin_slots: ORIGIN_SLOTS,
        per_source: MAX_PER_SOURCE,
        stall_ms: MIN_STALL_MS + QUEUED_CHUNKS * chunk_ms,
        chunk_ms,
        takeover_ms: TAKEOVER_MS,
        max_announcements: MAX_ANNOUNCEMENTS,
        objective,
        origin_copies: agent.rollout().origin_copies,
    }
}
