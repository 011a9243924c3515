//! Gets a version's chunks: carries out what `gradeloft_policy::version::fetch` decides.

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

/// Chunks read from the store or the origin at once by one agent.
const ORIGIN_SLOTS: usize = 2;
/// Chunks asked of one peer at once.
const PER_SOURCE: u32 = 3;
/// Shortest time after which an ask counts as stalled, in milliseconds.
const LEAST_STALL_MS: u64 = 1_500;
/// Chunks that may be queued before one's own at a peer, for the stall time.
const QUEUED_CHUNKS: u64 = 24;
/// Time given to an owner, for each rank, in milliseconds.
const TAKEOVER_MS: u64 = 600;
/// How often an owner may say that it is about to read a chunk before it is doubted, beside the time
/// that the whole version takes.
const ANNOUNCED: u64 = 8;
/// Pause before a chunk is handed to the engine again.
const STAGE_RETRY: Duration = Duration::from_millis(60);
/// How often asks are looked at again without an event.
const TICK: Duration = Duration::from_millis(20);
/// Silence after which a followed peer counts as gone.
const FOLLOW_SILENCE: Duration = Duration::from_secs(3);

/// Tells a fetch who its members are now, the own agent left out.
pub type Members = Rc<dyn Fn() -> Vec<Member>>;

enum Event {
    Asked {
        ask: ChunkRequest,
        result: Result<Bytes, Failure>,
        took: Duration,
    },
    Followed {
        key: SourceKey,
        node: u64,
        incoming: Option<Incoming>,
        positions: Vec<u32>,
    },
    Staged {
        digest: Digest,
        done: bool,
    },
}

/// Fetches a version until the engine holds all of it; gives the manifest.
pub async fn run(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    manifest: Digest,
    objective: Objective,
    members: Members,
) -> Result<Rc<Manifest>, String> {
    let manifest = read::manifest(agent, manifest, &members).await?;
    agent.chunks.borrow_mut().learn(Rc::clone(&manifest));
    let staged: HashSet<Digest> = match engine.staged().await {
        Ok(staged) => staged.into_iter().collect(),
        Err(fault) => return Err(format!("engine: {fault}")),
    };
    let missing = |it: Digest| agent.chunks.borrow().holds(it) && !staged.contains(&it);
    let to_stage: Vec<Digest> = manifest
        .distinct_chunks()
        .iter()
        .map(|it| it.digest)
        .filter(|it| missing(*it))
        .collect();
    let mut driver = Driver::new(agent, engine, &manifest, objective, members, &staged);
    for digest in to_stage {
        driver.stage(digest);
    }
    let _fetching = Fetching::new(agent, &driver.fetch);
    driver.run().await;
    Ok(manifest)
}

/// Shows the fetch to peers that ask, until it is dropped.
struct Fetching(Rc<Agent>);

impl Fetching {
    fn new(agent: &Rc<Agent>, fetch: &Rc<RefCell<Fetch>>) -> Fetching {
        *agent.fetching.borrow_mut() = Some(Rc::clone(fetch));
        Fetching(Rc::clone(agent))
    }
}

impl Drop for Fetching {
    fn drop(&mut self) {
        *self.0.fetching.borrow_mut() = None;
    }
}

struct Driver<'a> {
    agent: &'a Rc<Agent>,
    engine: &'a Rc<dyn Engine>,
    manifest: &'a Rc<Manifest>,
    members: Members,
    known: Vec<Member>,
    fetch: Rc<RefCell<Fetch>>,
    followed: HashMap<u64, SourceKey>,
    events: FuturesUnordered<LocalBoxFuture<'static, Event>>,
    /// Chunks that the engine does not hold yet.
    staging: usize,
}

impl<'a> Driver<'a> {
    fn new(
        agent: &'a Rc<Agent>,
        engine: &'a Rc<dyn Engine>,
        manifest: &'a Rc<Manifest>,
        objective: Objective,
        members: Members,
        staged: &HashSet<Digest>,
    ) -> Driver<'a> {
        let held = |it: Digest| staged.contains(&it) || agent.chunks.borrow().holds(it);
        let tuning = tuning(agent, manifest, objective);
        let now = agent.node.clock.now();
        let fetch = Fetch::new(agent.own, manifest, held, tuning, now);
        Driver {
            agent,
            engine,
            manifest,
            members,
            known: Vec::new(),
            fetch: Rc::new(RefCell::new(fetch)),
            followed: HashMap::new(),
            events: FuturesUnordered::new(),
            staging: 0,
        }
    }

    async fn run(&mut self) {
        let mut changed = self.agent.node.membership_changes.subscribe();
        self.meet();
        while !(self.fetch.borrow().is_complete() && self.staging == 0) {
            self.pump();
            tokio::select! {
                Some(event) = self.events.next() => self.handle(event),
                Ok(()) = changed.changed() => {
                    changed.borrow_and_update();
                    self.meet();
                }
                () = actix_rt::time::sleep(TICK) => self.expire(),
            }
            self.report();
        }
    }

    /// Takes over the members, and follows partners among them.
    fn meet(&mut self) {
        let members = (self.members)();
        if members == self.known {
            return;
        }
        let nodes = members
            .iter()
            .map(|it| it.node)
            .chain([self.agent.own])
            .collect();
        self.fetch.borrow_mut().set_members(nodes);
        self.known = members;
        let now = self.agent.node.clock.now();
        let gone: Vec<u64> = self
            .followed
            .keys()
            .copied()
            .filter(|node| !self.known.iter().any(|it| it.node == *node))
            .collect();
        for node in gone {
            if let Some(key) = self.followed.remove(&node) {
                self.fetch.borrow_mut().remove_source(key, now);
            }
        }
        self.follow_partners();
    }

    fn follow_partners(&mut self) {
        let version = self.manifest.digest.short();
        let partners = partners::choose(self.agent.scheme, self.agent.own, version, &self.known);
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
            // What a partner holds goes over the connection that its chunks come on.
            let incoming = agent.node.pool.open(&address, Lane::Bulk, &call).await.ok();
            Event::Followed {
                key,
                node,
                incoming,
                positions: Vec::new(),
            }
        };
        self.events.push(opening.boxed_local());
    }

    /// Makes every ask that can be made now.
    fn pump(&mut self) {
        let most = self.agent.settings.fetch_slots as usize;
        loop {
            let now = self.agent.node.clock.now();
            let slots = self.agent.pace_in.borrow_mut().max_concurrent(most, now);
            self.fetch.borrow_mut().set_peer_slots(slots);
            let next = self
                .agent
                .node
                .with_rng(|rng| self.fetch.borrow_mut().next_request(now, rng));
            let Some(ask) = next else {
                return;
            };
            let agent = Rc::clone(self.agent);
            let address = self.address(ask.from);
            let asking = async move {
                let started = agent.node.clock.now();
                let result = read::chunk(&agent, ask, address).await;
                let took = agent.node.clock.now().since(started);
                Event::Asked { ask, result, took }
            };
            self.events.push(asking.boxed_local());
        }
    }

    fn address(&self, from: Upstream) -> Option<String> {
        let node = match from {
            Upstream::Owner(node) => node,
            Upstream::Source(key) => *self.followed.iter().find(|(_, it)| **it == key)?.0,
            Upstream::Origin | Upstream::Store => return None,
        };
        let member = self.known.iter().find(|it| it.node == node);
        member.map(|it| it.address.clone())
    }

    fn expire(&mut self) {
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
            Event::Asked {
                ask,
                result: Ok(content),
                took,
            } => self.arrived(ask, content, took),
            Event::Asked {
                ask,
                result: Err(failure),
                ..
            } => {
                if failure == Failure::Corrupt {
                    self.agent.node.metrics.corrupt_chunks.inc();
                    warn!(self.agent.node.log, "corrupt chunk"; "digest" => %ask.chunk.digest,
                        "from" => read::source(ask.from));
                }
                self.fetch
                    .borrow_mut()
                    .failed(ask.idx, ask.from, failure, now);
            }
            Event::Followed {
                key,
                node,
                incoming,
                positions,
            } => {
                let positions = positions.into_iter().map(|it| it as usize);
                self.fetch.borrow_mut().add_held(key, positions);
                match incoming {
                    Some(incoming) => self.events.push(followed(key, node, incoming)),
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

    fn arrived(&mut self, ask: ChunkRequest, content: Bytes, took: Duration) {
        let now = self.agent.node.clock.now();
        let label = Source {
            source: read::source(ask.from),
        };
        metrics::observe(&self.agent.node.metrics.chunk_fetch, &label, took);
        let bytes = content.len() as u64;
        self.agent
            .node
            .metrics
            .chunk_bytes
            .get_or_create(&label)
            .inc_by(bytes);
        if !self.fetch.borrow_mut().arrived(ask.idx, ask.from, now) {
            return;
        }
        self.agent
            .chunks
            .borrow_mut()
            .insert(ask.chunk.digest, content);
        self.agent.arrivals.send_modify(|it| *it += 1);
        self.stage(ask.chunk.digest);
    }

    /// Hands a chunk to the engine; tried again until it takes it.
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

    fn report(&self) {
        let tally = self.fetch.borrow().counts();
        self.agent.with_version(self.manifest.digest, |it| {
            it.from_origin = tally.origin;
            it.from_store = tally.store;
            it.from_peers = tally.peers;
        });
    }
}

fn followed(key: SourceKey, node: u64, mut incoming: Incoming) -> LocalBoxFuture<'static, Event> {
    async move {
        match timeout(FOLLOW_SILENCE, incoming.next()).await {
            Ok(Ok(Some(Reply::Have(positions)))) => Event::Followed {
                key,
                node,
                incoming: Some(incoming),
                positions,
            },
            _ => Event::Followed {
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
        per_source: PER_SOURCE,
        stall_ms: LEAST_STALL_MS + QUEUED_CHUNKS * chunk_ms,
        chunk_ms,
        takeover_ms: TAKEOVER_MS,
        max_announcements: ANNOUNCED,
        objective,
        origin_copies: agent.rollout().origin_copies,
    }
}
