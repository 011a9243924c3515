//! Gets the pieces of a version: carries out what `gradeloft_policy::version::fetch` decides.

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
    ask::{self, Answered},
    change::Stop,
    fill::{Member, node_hash},
};
use crate::{
    logs::Topic,
    metrics::Reason,
    traffic::{Purpose, Reach},
};

/// Pieces read from the origin at once by one agent. All readers together keep it busy with one each, and one that
/// breaks off is asked for again behind half as many: with two, a second later.
pub const ORIGIN_SLOTS: usize = 1;
/// Pieces asked of one peer at once.
const PER_SOURCE: u32 = 2;
/// Time after which an ask counts as stalled, in milliseconds: all pieces that may wait for a slot
/// at a peer, several times over.
const STALL_MS: u64 = 2_000;
/// Time given to the owner of a piece, for each rank, in milliseconds: a third of the time in which the
/// origin sends one copy.
const TAKEOVER_MS: u64 = 400;
/// How often an owner may say that it is about to read a piece, beside the time that a whole version
/// takes on its link, before the next one reads it. An owner behind a link that carries little would
/// hold up all others, and a piece that is read twice costs little.
const ANNOUNCED: u64 = 0;
/// Copies of a version that all agents together may read from the origin before they slow down. Above
/// one, since agents own unequal numbers of few pieces.
const ORIGIN_COPIES: f64 = 4.0;
/// How often asks are looked at again without an event.
const TICK: Duration = Duration::from_millis(30);
/// Silence after which a followed peer counts as gone.
const FOLLOW_SILENCE: Duration = Duration::from_secs(3);
/// Longest time for peers to say what they hold before the first piece is asked for.
const SETTLE: Duration = Duration::from_millis(120);
/// Time after which pieces are taken from other regions although another agent of the own region is
/// the one to do so, in milliseconds. Bytes between regions are dear.
const FAR_MS: u64 = 2_500;
/// Time without a piece after which the fetch begins again, with the agents that there are then, in
/// milliseconds: longer than an ask may stall.
const STUCK_MS: u64 = 4_000;
/// Pause before a piece is handed to the replica again.
const STAGE_RETRY: Duration = Duration::from_millis(60);

enum Event {
    Asked(Answered),
    Followed {
        key: SourceKey,
        node: u64,
        incoming: Option<Incoming>,
        positions: Vec<u32>,
    },
    /// The replica has taken the piece at a position.
    Staged(u32),
}

/// Names what is asked of peers about a version.
pub fn version_digest(version: &Version) -> Digest {
    Digest::of(format!("{}/{}", version.model, version.number).as_bytes())
}

/// Gets the pieces of `version` that are not staged; gives how many those were.
pub async fn run(agent: &Rc<Agent>, version: &Version, members: &[Member]) -> Result<usize, Stop> {
    let mut driver = Driver::new(agent, version, members);
    let missing = driver.fetch.borrow().missing();
    if missing == 0 {
        return Ok(0);
    }
    let _fetching = Fetching::new(agent, &driver.fetch);
    driver.run().await?;
    Ok(missing)
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
        self.0.congested.set(false);
    }
}

struct Driver<'a> {
    agent: &'a Rc<Agent>,
    version: &'a Version,
    manifest: Manifest,
    members: &'a [Member],
    fetch: Rc<RefCell<Fetch>>,
    window: Window,
    followed: HashMap<u64, SourceKey>,
    /// Peers that said what they hold, or could not be reached.
    answered: HashSet<SourceKey>,
    /// What far peers hold that another agent of the own region is to take.
    withheld: HashMap<SourceKey, HashSet<usize>>,
    events: FuturesUnordered<LocalBoxFuture<'static, Event>>,
    /// Pieces that the replica does not hold yet.
    staging: usize,
    started: Time,
    /// When a piece came last.
    arrived: Time,
}

impl<'a> Driver<'a> {
    fn new(agent: &'a Rc<Agent>, version: &'a Version, members: &'a [Member]) -> Driver<'a> {
        let holding = agent.holding.borrow();
        let size_bytes = agent.piece_bytes();
        let chunks = holding.digests.iter().map(|it| Chunk {
            digest: *it,
            size_bytes,
        });
        let manifest = Manifest {
            digest: version_digest(version),
            chunks: chunks.collect(),
        };
        let held = |it: Digest| {
            let idx = holding.positions.get(&it);
            idx.is_some_and(|it| holding.staged[*it as usize])
        };
        let own = node_hash(agent.replica);
        let started = agent.node.clock.now();
        let piece_time = agent.piece_time();
        let tuning = Tuning {
            scheme: Scheme::Owners,
            peer_slots: 1,
            origin_slots: ORIGIN_SLOTS,
            per_source: PER_SOURCE,
            stall_ms: STALL_MS,
            chunk_ms: piece_time.as_millis() as u64,
            takeover_ms: TAKEOVER_MS,
            max_announcements: ANNOUNCED,
            objective: Objective::Time,
            origin_copies: ORIGIN_COPIES,
        };
        let mut fetch = Fetch::new(own, &manifest, held, tuning, started);
        drop(holding);
        let nodes: Vec<u64> = members.iter().map(|it| it.node).collect();
        fetch.set_readers(agent.readers(version, &nodes));
        Driver {
            agent,
            version,
            manifest,
            members,
            fetch: Rc::new(RefCell::new(fetch)),
            window: Window::new(piece_time),
            followed: HashMap::new(),
            answered: HashSet::new(),
            withheld: HashMap::new(),
            events: FuturesUnordered::new(),
            staging: 0,
            started,
            arrived: started,
        }
    }

    async fn run(&mut self) -> Result<(), Stop> {
        self.follow_partners();
        let settled = self.agent.node.clock.now().after(SETTLE);
        while !(self.fetch.borrow().is_complete() && self.staging == 0) {
            let now = self.agent.node.clock.now();
            if settled <= now || self.all_answered() {
                self.pump();
            }
            tokio::select! {
                Some(event) = self.events.next() => self.handle(event),
                () = actix_rt::time::sleep(TICK) => self.expire(),
            }
            if self.superseded() {
                return Err(Stop::Superseded);
            }
            if self.arrived.after_ms(STUCK_MS) <= self.agent.node.clock.now() {
                return Err("no piece came for long".to_owned().into());
            }
        }
        Ok(())
    }

    /// Whether every peer that is followed has said what it holds.
    fn all_answered(&self) -> bool {
        let mut followed = self.followed.values();
        followed.all(|it| self.answered.contains(it))
    }

    /// Whether a newer version was named before much of this one came into the fleet. One of which half
    /// is somewhere is finished: the newer one may not be had for long, and until it is there nothing
    /// else may serve once this one is due.
    fn superseded(&self) -> bool {
        let half_there = self.fetch.borrow().half_available();
        !half_there && self.agent.target().as_ref() != Some(self.version)
    }

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
        let mut partners =
            partners::choose(Scheme::Owners, own, self.manifest.digest.short(), &others);
        let owners = self.owners_to_follow();
        let chosen: HashSet<u64> = partners.iter().map(|it| it.node).collect();
        let also = |it: &partners::Member| owners.contains(&it.node) && !chosen.contains(&it.node);
        partners.extend(others.into_iter().filter(also));
        partners
    }

    /// Owners of the pieces that this agent is the one of its region to take from elsewhere. From them it has such a
    /// piece at once; its partners there may get it last.
    fn owners_to_follow(&self) -> HashSet<u64> {
        let chunks = self.manifest.distinct_chunks();
        let fetch = self.fetch.borrow();
        let near = self.near();
        let mine = (0..chunks.len()).filter(|it| self.is_first(chunks[*it], &near));
        mine.filter_map(|it| fetch.first_owner(it)).collect()
    }

    /// The agents of this region.
    fn near(&self) -> Vec<u64> {
        let region = self.agent.region();
        let near = self.members.iter().filter(|it| it.region == region);
        near.map(|it| it.node).collect()
    }

    /// Whether this agent is the one of its region to take a piece from elsewhere.
    fn is_first(&self, chunk: Chunk, near: &[u64]) -> bool {
        let own = node_hash(self.agent.replica);
        let others = near.iter().copied().filter(|it| *it != own);
        rendezvous::rank(chunk.digest.short(), own, others) == 0
    }

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
                    Ok(incoming) => followed(key, node, incoming).await,
                    Err(_) => Event::Followed {
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

    /// Makes every ask that can be made now.
    fn pump(&mut self) {
        self.fetch.borrow_mut().set_peer_slots(self.window.size());
        loop {
            let now = self.agent.node.clock.now();
            let next = self
                .agent
                .node
                .with_rng(|rng| self.fetch.borrow_mut().next_request(now, rng));
            let Some(ask) = next else {
                return;
            };
            let asking = ask::piece(
                Rc::clone(self.agent),
                self.version.clone(),
                ask,
                self.address(ask.from),
            );
            self.events.push(asking.map(Event::Asked).boxed_local());
        }
    }

    /// Whether a piece comes from this agent's region; where the origin lies is not told.
    fn is_near(&self, from: Upstream) -> bool {
        let address = self.address(from);
        let member = self.members.iter().find(|it| Some(it.address) == address);
        member.is_some_and(|it| it.region == self.agent.region())
    }

    fn address(&self, from: Upstream) -> Option<SocketAddr> {
        let node = match from {
            Upstream::Owner(node) => node,
            Upstream::Source(key) => *self.followed.iter().find(|(_, it)| **it == key)?.0,
            Upstream::Origin | Upstream::Store => return None,
        };
        let member = self.members.iter().find(|it| it.node == node);
        member.map(|it| it.address)
    }

    fn expire(&mut self) {
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
        if self.started.after_ms(FAR_MS) <= now {
            for (key, positions) in std::mem::take(&mut self.withheld) {
                self.fetch.borrow_mut().add_held(key, positions.into_iter());
            }
        }
        self.follow_partners();
    }

    fn handle(&mut self, event: Event) {
        let now = self.agent.node.clock.now();
        match event {
            Event::Asked(Answered {
                ask,
                result: Ok(content),
                took,
            }) => {
                // A piece from the origin waited there, which says nothing of this agent's link.
                if matches!(ask.from, Upstream::Owner(_) | Upstream::Source(_)) {
                    self.window.record_arrival(took);
                    self.agent.congested.set(self.window.is_congested());
                }
                if self.fetch.borrow_mut().arrived(ask.idx, ask.from, now) {
                    self.arrived(ask, content);
                }
            }
            Event::Asked(Answered {
                ask,
                result: Err(failure),
                ..
            }) => {
                self.warn(ask, failure);
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
                self.answered.insert(key);
                self.learn(key, positions);
                match incoming {
                    Some(incoming) => self.events.push(followed(key, node, incoming)),
                    None => {
                        self.followed.remove(&node);
                        self.withheld.remove(&key);
                        self.fetch.borrow_mut().remove_source(key, now);
                    }
                }
            }
            Event::Staged(idx) => {
                self.staging -= 1;
                self.agent.staged(self.version, idx);
            }
        }
    }

    /// A peer holds pieces. Of what far peers hold, only what this agent is the first of its region
    /// for counts at once.
    fn learn(&mut self, key: SourceKey, positions: Vec<u32>) {
        let positions = positions.into_iter().map(|it| it as usize);
        let positions: HashSet<usize> = positions.collect();
        self.fetch.borrow_mut().mark_seen(positions.iter().copied());
        if !self.withheld.contains_key(&key) {
            self.fetch.borrow_mut().add_held(key, positions.into_iter());
            return;
        }
        let chunks = self.manifest.distinct_chunks();
        let near = self.near();
        let first = |idx: &usize| {
            let chunk = chunks.get(*idx);
            chunk.is_some_and(|it| self.is_first(*it, &near))
        };
        let (mine, others): (HashSet<usize>, HashSet<usize>) =
            positions.into_iter().partition(first);
        self.withheld.entry(key).or_default().extend(others);
        self.fetch.borrow_mut().add_held(key, mine.into_iter());
    }

    fn arrived(&mut self, ask: ChunkRequest, content: Bytes) {
        self.arrived = self.agent.node.clock.now();
        let label = Reason {
            reason: match ask.from {
                Upstream::Origin | Upstream::Store => "origin",
                Upstream::Owner(_) | Upstream::Source(_) => "peer",
            },
        };
        self.agent.node.metrics.pieces.get_or_create(&label).inc();
        let near = self.is_near(ask.from);
        let reach = Reach::of(near);
        self.agent.node.count(Purpose::Pieces, reach, content.len());
        let holding = self.agent.holding.borrow();
        let same = holding.digests.iter().zip(0..);
        let same: Vec<u32> = same
            .filter(|(it, _)| **it == ask.chunk.digest)
            .map(|(_, idx)| idx)
            .collect();
        drop(holding);
        for idx in same {
            self.stage(idx, content.clone());
        }
    }

    /// Hands a piece to the replica, until it takes it or the version is given up. Also while a newer one is
    /// named already: this one may be finished all the same, and then needs every piece.
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
                actix_rt::time::sleep(STAGE_RETRY).await;
            }
        };
        self.events.push(staging.boxed_local());
    }

    fn warn(&self, ask: ChunkRequest, failure: Failure) {
        let expected = matches!(
            failure,
            Failure::Busy | Failure::NotHeld | Failure::Pending | Failure::Limited(_)
        );
        if expected {
            return;
        }
        if let Some(log) = self.agent.node.logs.line(Topic::Weights) {
            warn!(log, "piece not given"; "version" => self.version.number,
                "piece" => ask.idx, "from" => ?ask.from, "failure" => ?failure);
        }
    }
}

fn followed(key: SourceKey, node: u64, mut incoming: Incoming) -> LocalBoxFuture<'static, Event> {
    async move {
        let (incoming, positions) = match timeout(FOLLOW_SILENCE, incoming.next()).await {
            Ok(Ok(Some(Reply::Have(positions)))) => (Some(incoming), positions),
            _ => (None, Vec::new()),
        };
        Event::Followed {
            key,
            node,
            incoming,
            positions,
        }
    }
    .boxed_local()
}
