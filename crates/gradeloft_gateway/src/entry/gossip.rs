//! Datagrams that an entry sends, and their intervals.
//!
//! Entries of one region send each other their state. A few entries of a region ([`delegates`])
//! send the region's state to other regions: each message goes to one entry of the other region,
//! which relays it there.
//! Each kind of message has a bandwidth budget, so that an entry's traffic does not grow with the
//! fleet.

use std::{
    collections::{HashMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        cadence::Budget,
        delegates::{self, DELEGATES},
        remote_loads::{self, Load},
        roster::{self, State, Status},
    },
    rendezvous,
};
use gradeloft_wire::{
    datagram::{
        self, EngineReport, Loads, Member, Presence, RegionMessage, Sender, StoreAccess,
        SwitchedReplicas,
    },
    frame::Table,
};
use rand::seq::IteratorRandom;

use super::Entry;
use crate::traffic::{Purpose, Reach};

/// Gossip interval, and the shortest pause between messages of one kind.
const ROUND: Duration = Duration::from_millis(125);
/// Budget for state sent to the entries of the same region. Five entries send every eighth of a
/// second, and thirty every 0.6 s. An entry fills its own share of the slots regardless of the
/// state that others have sent.
const NEAR_BUDGET: Budget = Budget {
    bytes_per_s: 6_000,
    shortest: ROUND,
    longest: Duration::from_millis(1_000),
};
/// Budget for state sent to the agents of the same region.
const AGENTS_BUDGET: Budget = Budget {
    bytes_per_s: 4_000,
    shortest: Duration::from_millis(500),
    longest: Duration::from_millis(1_000),
};
/// Assumed size of the state for entries, in bytes, with ten replicas in use.
const NEAR_BYTES: usize = 130;
/// Assumed size of the state for agents, in bytes.
const AGENT_BYTES: usize = 90;
/// Budget for the loads that an entry receives from all other regions. With 30 busy replicas in
/// each of five regions, each delegate sends them every 0.5 s; with 330 in each of seven, every
/// 5 s. A region with 330 replicas needs little capacity of other regions beyond the slots that
/// they lend.
const FAR_LOADS_BUDGET: Budget = Budget {
    bytes_per_s: 5_000,
    shortest: Duration::from_millis(500),
    longest: Duration::from_millis(5_000),
};
/// Budget for the lists of entries that an entry receives from all other regions. The longest pause
/// is short enough for both delegates of a region to send before they count as silent.
const FAR_MEMBERS_BUDGET: Budget = Budget {
    bytes_per_s: 3_000,
    shortest: Duration::from_millis(1_000),
    longest: Duration::from_millis(2_500),
};
/// Budget for the engine states that an entry receives from all other regions. The states of all
/// engines are sent only while this is cheap: engines that close or reopen are sent in the next
/// round anyway, and the other states are in the platform's table.
const FAR_ENGINES_BUDGET: Budget = Budget {
    bytes_per_s: 8_000,
    shortest: Duration::from_millis(1_000),
    longest: Duration::from_millis(1_500),
};
/// Rounds between requests to entries of which only the address is known.
const UNIDENTIFIED_ROUNDS: u32 = 4;
/// Number of rounds after a start in which state is requested in every round from entries of which
/// only the address is known, since seeds from the settings may start later.
const FIRST_ROUNDS: u32 = 24;
/// Rounds between messages to one random entry of each other region. These messages keep regions
/// known to each other if all delegates of a region, or the links between delegates, fail.
const RANDOM_ROUNDS: u32 = 16;
/// Rounds between messages that list other entries.
const ROSTER_ROUNDS: u32 = 8;
/// Most entries that one message lists.
const MAX_LISTED: usize = 60;
/// Maximum number of entries, known only by address, whose state is requested in one round.
const MAX_STATE_REQUESTS: usize = 8;
/// Most loads in one datagram.
const MAX_LOADS: usize = 120;
/// Largest encoding of a load, in bytes.
const LOAD_BYTES: usize = 8;
/// Most engine states in one datagram.
const MAX_ENGINES: usize = 45;
/// Largest encoding of an engine state, in bytes.
const ENGINE_BYTES: usize = 26;
/// Most members in one datagram.
const MAX_MEMBERS: usize = 40;
/// Largest encoding of a member, in bytes, with an era below 251 and an offset below 2^32.
const MEMBER_BYTES: usize = 22;
/// Age up to which an agent's report is forwarded to other regions, in milliseconds.
const ENGINE_MAX_AGE_MS: u64 = 2_000;

impl Entry {
    /// Sends this entry's state and runs its maintenance, every [`ROUND`].
    pub(super) async fn gossip(self: Rc<Entry>) {
        let mut round = 0;
        loop {
            self.send_to_entries(round);
            self.request_unidentified_state(round);
            self.send_to_regions(round);
            self.send_due_to_agents(round);
            self.send_suspects();
            self.send_signals();
            self.maintain();
            tokio::select! {
                () = actix_rt::time::sleep(ROUND) => round += 1,
                // Peers learn of a drain at once.
                () = self.drain_started.notified() => round = 0,
            }
        }
    }

    fn send_to_entries(&self, round: u32) {
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .addresses_in(|it| self.node.near(it))
            .collect();
        let announced = self.announce_pending.take();
        if !announced && !is_due(round, NEAR_BUDGET.pause(near.len(), NEAR_BYTES)) {
            return;
        }
        let entries = match round.is_multiple_of(ROSTER_ROUNDS) {
            true => self.sample(&near),
            false => Vec::new(),
        };
        let mut own = HashMap::new();
        self.add_own_loads(&mut own);
        for loads in split_loads(own, self.model_request_rate(), &self.own_demands()) {
            let sender = self.state(loads, entries.clone(), false);
            self.node
                .send_state(Purpose::Loads, Reach::Near, sender, near.iter().copied());
        }
    }

    /// Returns the message that holds this entry's state.
    pub(super) fn state(&self, loads: Loads, entries: Vec<Ipv4Addr>, wants_state: bool) -> Sender {
        Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            wants_state,
            loads,
            entries,
            switched: Vec::new(),
        }
    }

    /// Draws entries to list in a message.
    fn sample(&self, entries: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let drawn = |rng: &mut _| entries.iter().copied().choose_multiple(rng, MAX_LISTED);
        self.node.with_rng(drawn)
    }

    /// Requests the state of entries of which only the address is known.
    fn request_unidentified_state(&self, round: u32) {
        if FIRST_ROUNDS < round && !round.is_multiple_of(UNIDENTIFIED_ROUNDS) {
            return;
        }
        let unidentified = |rng: &mut _| {
            self.roster
                .borrow()
                .unidentified()
                .choose_multiple(rng, MAX_STATE_REQUESTS)
        };
        let unidentified = self.node.with_rng(unidentified);
        if !unidentified.is_empty() {
            let sender = self.state(Loads::default(), Vec::new(), true);
            self.node.send_state(
                Purpose::Members,
                Reach::Far,
                sender,
                unidentified.into_iter(),
            );
        }
    }

    /// Replies to an entry that requested this entry's state, and lists entries of the requester's
    /// region.
    pub(super) fn introduce(&self, asker: Ipv4Addr, zone: &str) {
        let settings = self.node.settings();
        let region = settings.region(zone);
        let roster = self.roster.borrow();
        let named: Vec<Ipv4Addr> = roster
            .addresses_in(|it| settings.region(it) == region)
            .collect();
        drop(roster);
        let sender = self.state(Loads::default(), self.sample(&named), false);
        let to = [asker].into_iter();
        self.node
            .send_state(Purpose::Members, Reach::Far, sender, to);
        self.send_suspects_to(asker);
        self.send_signals_to(asker);
    }

    /// Sends the state of this region to other regions, if this entry is one of the region's
    /// delegates.
    fn send_to_regions(&self, round: u32) {
        let now = self.node.clock.now();
        let changed = self.changed_engines.take();
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .alive_in(|it| self.node.near(it), now)
            .collect();
        let own = self.node.settings().address;
        let messages = match delegates::is_delegate(own, near.into_iter()) {
            true => self.region_messages(round, &changed, now),
            false => Vec::new(),
        };
        if !messages.is_empty() {
            self.sent_to_regions.set(self.sent_to_regions.get() + 1);
        }
        for (relay, random) in self.relays(self.sent_to_regions.get(), now) {
            for message in &messages {
                let purpose = purpose(message);
                let message = message.clone();
                let sender = Sender::Region {
                    relayed: false,
                    message,
                };
                let to = relay.into_iter();
                self.node.send_state(purpose, Reach::Far, sender, to);
            }
            if round % RANDOM_ROUNDS == RANDOM_ROUNDS - 1 {
                let sender = self.state(Loads::default(), Vec::new(), false);
                let to = random.into_iter();
                self.node
                    .send_state(Purpose::Members, Reach::Far, sender, to);
            }
        }
    }

    /// Returns the messages that are due for other regions in a round.
    fn region_messages(&self, round: u32, changed: &[SocketAddr], now: Time) -> Vec<RegionMessage> {
        // Each entry receives from all delegates of every other region.
        let senders = DELEGATES * self.other_regions().len();
        let mut messages = Vec::new();
        let loads = self.region_loads();
        let rows: usize = loads.iter().map(|it| it.loads.len()).sum();
        if is_due(round, FAR_LOADS_BUDGET.pause(senders, rows * LOAD_BYTES)) {
            messages.extend(loads.into_iter().map(RegionMessage::Loads));
        }
        let members = self.members(now);
        if is_due(
            round,
            FAR_MEMBERS_BUDGET.pause(senders, members.len() * MEMBER_BYTES),
        ) {
            let parts = members.chunks(MAX_MEMBERS);
            messages.extend(parts.map(|it| RegionMessage::Members(it.to_vec())));
        }
        let mut engines = self.engines(now);
        let pause = FAR_ENGINES_BUDGET.pause(senders, engines.len() * ENGINE_BYTES);
        if FAR_ENGINES_BUDGET.longest <= pause || !is_due(round, pause) {
            engines.retain(|it| changed.contains(&SocketAddr::V4(it.replica)));
        }
        let parts = engines.chunks(MAX_ENGINES);
        messages.extend(parts.map(|it| RegionMessage::Engines(it.to_vec())));
        messages
    }

    /// Returns for each other region the entry that relays this region's messages there in a round,
    /// and a random entry of that region.
    pub(super) fn relays(
        &self,
        round: usize,
        now: Time,
    ) -> Vec<(Option<Ipv4Addr>, Option<Ipv4Addr>)> {
        let settings = self.node.settings();
        let regions = self.other_regions();
        let roster = self.roster.borrow();
        let relays = regions.iter().map(|region| {
            let in_region = |it: &str| settings.region(it) == region;
            let members: Vec<Ipv4Addr> = roster.alive_in(in_region, now).collect();
            let random = self
                .node
                .with_rng(|rng| roster.addresses_in(in_region).choose(rng));
            let relay = delegates::relay_for_turn(&members, round);
            (relay.or(random), random)
        });
        relays.collect()
    }

    /// Returns the other regions that have entries.
    pub(super) fn other_regions(&self) -> Vec<String> {
        let settings = self.node.settings();
        let roster = self.roster.borrow();
        let zones = roster.zones().into_iter();
        let far = zones.filter(|it| !self.node.near(it));
        let mut regions: Vec<String> = far.map(|it| settings.region(it).to_owned()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Sums the requests that this region's entries have at replicas.
    fn region_loads(&self) -> Vec<Loads> {
        let mut sums = HashMap::new();
        self.add_own_loads(&mut sums);
        let near = self.near_loads.borrow();
        near.add_to(&mut sums);
        let demand = self.model_request_rate() + near.demand();
        drop(near);
        split_loads(sums, demand, &self.region_demands())
    }

    /// Returns the live entries of this region.
    fn members(&self, now: Time) -> Vec<Member> {
        let roster = self.roster.borrow();
        let statuses = roster.statuses(|it| self.node.near(it), now);
        let others = statuses.map(|(address, it)| member(address, it));
        let own = Member {
            address: self.node.settings().address,
            incarnation: self.node.incarnation(),
            presence: self.presence(),
            store: self.node.access(),
            end: self.node.end(Table::Operator),
        };
        others.chain([own]).collect()
    }

    /// Returns the recent reports of this region's agents.
    fn engines(&self, now: Time) -> Vec<EngineReport> {
        let replicas = self.replicas.borrow();
        let near = replicas.iter().filter(|(_, it)| it.near);
        let seen = near.filter_map(|(_, it)| {
            let report = it.report?;
            let age_ms = now.since(report.at).as_millis() as u64;
            let SocketAddr::V4(replica) = it.listing.address else {
                return None;
            };
            (age_ms < ENGINE_MAX_AGE_MS).then_some(EngineReport {
                replica,
                engine: datagram::EngineStatus {
                    born: report.born,
                    version: report.version,
                    loading: report.loading,
                    congested: report.congested,
                    running: datagram::saturate(report.running),
                    queued: datagram::saturate(report.queued),
                },
                age_ms: age_ms as u16,
            })
        });
        seen.collect()
    }

    fn send_due_to_agents(&self, round: u32) {
        let switched = self.switched();
        // During a version switch, agents wait for each other and for the operator's records.
        let state = (switched, self.node.end(Table::Operator));
        let changed = *self.sent_to_agents.borrow() != state;
        let mut agents = self.agents();
        // Agents report the load of their replicas in response to the first message.
        let is_first = !agents.is_empty() && !self.greeted_agents.replace(true);
        if !is_first && !is_due(round, AGENTS_BUDGET.pause(agents.len(), AGENT_BYTES)) {
            if !changed {
                return;
            }
            // Keeps every entry from sending each change to every agent.
            self.retain_informed(&mut agents);
        }
        self.sent_to_agents.replace(state);
        self.send_to_agents(agents.into_iter());
    }

    /// Retains the agents to which this entry sends changes without delay.
    fn retain_informed(&self, agents: &mut Vec<Ipv4Addr>) {
        let now = self.node.clock.now();
        let own = roster::hash(&self.node.settings().address);
        let roster = self.roster.borrow();
        let near = roster.alive_in(|it| self.node.near(it), now);
        let near: Vec<u64> = near.map(|it| roster::hash(&it)).collect();
        agents.retain(|it| {
            delegates::sends_changes_at_once(roster::hash(it), own, near.iter().copied())
        });
    }

    /// Sends this entry's state and the progress of version switches to agents.
    pub(super) fn send_to_agents(&self, agents: impl Iterator<Item = Ipv4Addr>) {
        let sender = Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            wants_state: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: self.switched(),
        };
        self.node
            .send_state(Purpose::Agents, Reach::Near, sender, agents);
    }

    /// Returns the addresses of the agents to which this entry sends: those of this region's
    /// replicas with a model, and those for which it is the fallback sender because their region
    /// has no live entry.
    fn agents(&self) -> Vec<Ipv4Addr> {
        let settings = self.node.settings();
        let now = self.node.clock.now();
        let roster = self.roster.borrow();
        let alive = || roster.statuses(|_| true, now);
        let regions_served: HashSet<&str> =
            alive().map(|(_, it)| settings.region(it.zone)).collect();
        let others: Vec<u64> = alive().map(|(it, _)| roster::hash(&it)).collect();
        let own = roster::hash(&settings.address);
        let stands_in = |agent: &Ipv4Addr| {
            self.node.loaded(Table::Entries)
                && delegates::is_fallback_sender(roster::hash(agent), own, others.iter().copied())
        };
        let replicas = self.replicas.borrow();
        let listings = replicas.iter().map(|(_, it)| &it.listing);
        let agents = listings.filter(|it| it.has_model).filter_map(|it| {
            let SocketAddr::V4(address) = it.address else {
                return None;
            };
            let agent = *address.ip();
            let unserved = || !regions_served.contains(settings.region(&it.zone));
            let is_receiver = self.node.near(&it.zone) || (unserved() && stands_in(&agent));
            is_receiver.then_some(agent)
        });
        agents.collect()
    }

    /// Adds the requests that this entry has at replicas.
    fn add_own_loads(&self, sums: &mut HashMap<u32, Load>) {
        let replicas = self.replicas.borrow();
        for (_, replica) in replicas.iter().filter(|(_, it)| 0 < it.own_requests) {
            let load = Load {
                replica: replica.hash(),
                running: replica.own_requests,
                waiting: replica.own_waiting,
                waiting_tokens: replica.own_waiting_tokens,
            };
            remote_loads::add(sums, load);
        }
    }

    /// Counts for each model the replicas that serve its newest version.
    fn switched(&self) -> Vec<SwitchedReplicas> {
        let now = self.node.clock.now();
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.document.services);
        let weights = self.weights.borrow();
        let replicas = self.replicas.borrow();
        let models = services.flat_map(|it| it.models.iter().map(move |model| (it, model)));
        models
            .filter_map(|(service, model)| {
                let version = weights.get(model)?.newest();
                let all = replicas.of(&service.name);
                let done = all.filter(|(_, it)| it.serves(now) && it.version(now) == Some(version));
                Some(SwitchedReplicas {
                    model: rendezvous::hash(model.as_bytes()),
                    version,
                    replicas: done.count().min(usize::from(u16::MAX)) as u16,
                })
            })
            .collect()
    }
}

/// Returns whether a message that is sent at intervals of `pause` is due in a round.
fn is_due(round: u32, pause: Duration) -> bool {
    let rounds = pause.as_millis().div_ceil(ROUND.as_millis()) as u32;
    round.is_multiple_of(rounds.max(1))
}

/// Splits the requests at replicas into as many messages as they need.
fn split_loads(sums: HashMap<u32, Load>, demand: f64, demands: &[datagram::Demand]) -> Vec<Loads> {
    let last_part = sums.len().saturating_sub(1) / MAX_LOADS;
    let count = last_part as u32 + 1;
    let mut parts: Vec<Loads> = (0..count)
        .map(|number| Loads {
            part: number as u16,
            last_part: last_part as u16,
            demand: (demand * 10.0) as u32,
            demands: demands.to_vec(),
            loads: Vec::new(),
        })
        .collect();
    for load in sums.into_values() {
        let part = &mut parts[(load.replica % count) as usize];
        part.loads.push(datagram::Load {
            replica: load.replica,
            running: datagram::saturate(load.running),
            waiting: datagram::saturate(load.waiting),
            waiting_tokens: (load.waiting_tokens / datagram::Load::TOKENS_UNIT).round() as u16,
        });
    }
    parts
}

fn purpose(message: &RegionMessage) -> Purpose {
    match message {
        RegionMessage::Engines(_) => Purpose::Engines,
        RegionMessage::Loads(_) => Purpose::Loads,
        RegionMessage::Members(_) => Purpose::Members,
    }
}

fn member(address: Ipv4Addr, status: Status<'_>) -> Member {
    Member {
        address,
        incarnation: status.incarnation,
        presence: match status.state {
            State::Leaving => Presence::Leaving,
            State::Ready => Presence::Ready,
            State::Starting => Presence::Starting,
        },
        store: match status.served {
            true => StoreAccess::Served,
            false => StoreAccess::Unserved,
        },
        end: status.end,
    }
}
