//! Datagrams that an entry sends, and how often.
//!
//! Entries of one region send each other their state. Other regions get it from the region's speakers ([`speakers`]),
//! each time through one entry, which passes it on to its own region. Each kind of message has a budget, so that what an
//! entry spends on them does not grow with the fleet.

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
    datagram::{self, Access, Loads, Member, Presence, Region, Seen, Sender, Switched},
    frame::Table,
};
use rand::seq::IteratorRandom;

use super::Entry;
use crate::traffic::{Purpose, Reach};

/// Shortest pause between messages of one kind.
const TURN: Duration = Duration::from_millis(125);
/// State to the entries of the own region. Five entries send each eighth of a second, and thirty each 0.6 s; the own
/// part of the slots is filled whatever others have sent.
const NEAR: Budget = Budget {
    bytes_per_s: 6_000,
    shortest: TURN,
    longest: Duration::from_millis(1_000),
};
/// State to the agents of the own region.
const AGENTS: Budget = Budget {
    bytes_per_s: 4_000,
    shortest: Duration::from_millis(500),
    longest: Duration::from_millis(1_000),
};
/// Bytes of the state for entries, as far as budgets go, with ten replicas in use.
const NEAR_BYTES: usize = 130;
/// Bytes of the state for agents.
const AGENT_BYTES: usize = 90;
/// A region's loads, as far as each entry of another region gets them from all regions. At 30 busy
/// replicas in each of five regions they come each 0.5 s from each speaker, at 330 in each of seven each 5 s: by
/// then a region is large enough to need little of others but what they lend.
const FAR_LOADS: Budget = Budget {
    bytes_per_s: 5_000,
    shortest: Duration::from_millis(500),
    longest: Duration::from_millis(5_000),
};
/// The same for its entries. The longest is such that both speakers send before they count as silent.
const FAR_MEMBERS: Budget = Budget {
    bytes_per_s: 3_000,
    shortest: Duration::from_millis(1_000),
    longest: Duration::from_millis(2_500),
};
/// The same for its engines, of which all are sent only as long as that is cheap: those that close or reopen are
/// sent at the next turn, and the rest is in the platform's table.
const FAR_ENGINES: Budget = Budget {
    bytes_per_s: 8_000,
    shortest: Duration::from_millis(1_000),
    longest: Duration::from_millis(1_500),
};
/// Turns between looks for entries of which only the address is known.
const UNIDENTIFIED_TURNS: u32 = 4;
/// Turns after a start in which such entries are asked each time: those that are known from the settings may start later.
const FIRST_TURNS: u32 = 24;
/// Turns between messages to one entry of each other region, drawn anew each time: what is known of a region
/// survives the loss of all its speakers, and of the links between them.
const RANDOM_TURNS: u32 = 16;
/// Turns between messages that name other entries.
const ROSTER_TURNS: u32 = 8;
/// Entries that are named in one message.
const NAMED: usize = 60;
/// Entries of which only the address is known that are asked in one turn who they are.
const UNIDENTIFIED: usize = 8;
/// Loads, engines and members in one datagram, and the most bytes that each takes.
const LOADS: usize = 150;
const LOAD_BYTES: usize = 7;
const ENGINES: usize = 45;
const ENGINE_BYTES: usize = 24;
const MEMBERS: usize = 50;
const MEMBER_BYTES: usize = 22;
/// Age up to which an agent's report is passed on to other regions, in milliseconds.
const ENGINE_MS: u64 = 2_000;

impl Entry {
    pub(super) async fn gossip(self: Rc<Entry>) {
        let mut turn = 0;
        loop {
            self.send_to_entries(turn);
            self.ask_unidentified(turn);
            self.send_to_regions(turn);
            self.send_due_to_agents(turn);
            self.send_suspects();
            self.upkeep();
            tokio::select! {
                () = actix_rt::time::sleep(TURN) => turn += 1,
                // A stop is sent at once.
                () = self.leave_started.notified() => turn = 0,
            }
        }
    }

    fn send_to_entries(&self, turn: u32) {
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .addresses_in(|it| self.node.near(it))
            .collect();
        let announces = self.announces.take();
        if !announces && !is_due(turn, NEAR.pause(near.len(), NEAR_BYTES)) {
            return;
        }
        let entries = match turn.is_multiple_of(ROSTER_TURNS) {
            true => self.some_of(&near),
            false => Vec::new(),
        };
        let mut own = HashMap::new();
        self.add_own(&mut own);
        for loads in parts(own, self.demand()) {
            let sender = self.state(loads, entries.clone(), false);
            self.node
                .send_state(Purpose::Loads, Reach::Near, sender, near.iter().copied());
        }
    }

    /// This entry's state.
    pub(super) fn state(&self, loads: Loads, entries: Vec<Ipv4Addr>, asks: bool) -> Sender {
        Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            asks,
            loads,
            entries,
            switched: Vec::new(),
        }
    }

    fn some_of(&self, entries: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let drawn = |rng: &mut _| entries.iter().copied().choose_multiple(rng, NAMED);
        self.node.with_rng(drawn)
    }

    /// Asks entries of which only the address is known.
    fn ask_unidentified(&self, turn: u32) {
        if FIRST_TURNS < turn && !turn.is_multiple_of(UNIDENTIFIED_TURNS) {
            return;
        }
        let unidentified = |rng: &mut _| {
            self.roster
                .borrow()
                .unidentified()
                .choose_multiple(rng, UNIDENTIFIED)
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

    /// Answers an entry that asked, and names entries of its own region to it.
    pub(super) fn introduce(&self, asker: Ipv4Addr, zone: &str) {
        let settings = self.node.settings();
        let region = settings.region(zone);
        let roster = self.roster.borrow();
        let named: Vec<Ipv4Addr> = roster
            .addresses_in(|it| settings.region(it) == region)
            .collect();
        drop(roster);
        let sender = self.state(Loads::default(), self.some_of(&named), false);
        let to = [asker].into_iter();
        self.node
            .send_state(Purpose::Members, Reach::Far, sender, to);
        self.send_suspects_to(asker);
    }

    /// Sends the state of this region to other regions, if this entry speaks for it.
    fn send_to_regions(&self, turn: u32) {
        let now = self.node.clock.now();
        let changed = self.changed_engines.take();
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .alive_in(|it| self.node.near(it), now)
            .collect();
        let own = self.node.settings().address;
        let messages = match delegates::is_delegate(own, near.into_iter()) {
            true => self.region_messages(turn, &changed, now),
            false => Vec::new(),
        };
        if !messages.is_empty() {
            self.sent_to_regions.set(self.sent_to_regions.get() + 1);
        }
        for (relay, random) in self.relays(self.sent_to_regions.get(), now) {
            for message in &messages {
                let purpose = purpose(message);
                let word = message.clone();
                let sender = Sender::Region {
                    relayed: false,
                    word,
                };
                let to = relay.into_iter();
                self.node.send_state(purpose, Reach::Far, sender, to);
            }
            if turn % RANDOM_TURNS == RANDOM_TURNS - 1 {
                let sender = self.state(Loads::default(), Vec::new(), false);
                let to = random.into_iter();
                self.node
                    .send_state(Purpose::Members, Reach::Far, sender, to);
            }
        }
    }

    /// What there is to send to other regions at a turn.
    fn region_messages(&self, turn: u32, changed: &[SocketAddr], now: Time) -> Vec<Region> {
        // An entry gets what both speakers of every other region send.
        let senders = DELEGATES * self.other_regions().len();
        let mut messages = Vec::new();
        let loads = self.region_loads();
        let rows: usize = loads.iter().map(|it| it.loads.len()).sum();
        if is_due(turn, FAR_LOADS.pause(senders, rows * LOAD_BYTES)) {
            messages.extend(loads.into_iter().map(Region::Loads));
        }
        let members = self.members(now);
        if is_due(
            turn,
            FAR_MEMBERS.pause(senders, members.len() * MEMBER_BYTES),
        ) {
            let parts = members.chunks(MEMBERS);
            messages.extend(parts.map(|it| Region::Members(it.to_vec())));
        }
        let mut engines = self.engines(now);
        let pause = FAR_ENGINES.pause(senders, engines.len() * ENGINE_BYTES);
        if FAR_ENGINES.longest <= pause || !is_due(turn, pause) {
            engines.retain(|it| changed.contains(&SocketAddr::V4(it.replica)));
        }
        let parts = engines.chunks(ENGINES);
        messages.extend(parts.map(|it| Region::Engines(it.to_vec())));
        messages
    }

    /// For each other region, who passes messages on to it at a turn, and any one of its entries.
    pub(super) fn relays(
        &self,
        turn: usize,
        now: Time,
    ) -> Vec<(Option<Ipv4Addr>, Option<Ipv4Addr>)> {
        let settings = self.node.settings();
        let regions = self.other_regions();
        let roster = self.roster.borrow();
        let relays = regions.iter().map(|region| {
            let here = |it: &str| settings.region(it) == region;
            let members: Vec<Ipv4Addr> = roster.alive_in(here, now).collect();
            let random = self
                .node
                .with_rng(|rng| roster.addresses_in(here).choose(rng));
            let relay = delegates::relay_for_turn(&members, turn);
            (relay.or(random), random)
        });
        relays.collect()
    }

    /// The other regions in which there are entries.
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

    fn region_loads(&self) -> Vec<Loads> {
        let mut sums = HashMap::new();
        self.add_own(&mut sums);
        let near = self.near_loads.borrow();
        near.add_to(&mut sums);
        let demand = self.demand() + near.demand();
        drop(near);
        parts(sums, demand)
    }

    /// The entries of this region that are alive.
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

    /// What agents of this region said a moment ago.
    fn engines(&self, now: Time) -> Vec<Seen> {
        let replicas = self.replicas.borrow();
        let near = replicas.iter().filter(|(_, it)| it.near);
        let seen = near.filter_map(|(_, it)| {
            let report = it.report?;
            let age_ms = now.since(report.at).as_millis() as u64;
            let SocketAddr::V4(replica) = it.listing.address else {
                return None;
            };
            (age_ms < ENGINE_MS).then_some(Seen {
                replica,
                engine: datagram::Engine {
                    born: report.born,
                    version: report.version,
                    loading: report.loading,
                    congested: report.congested,
                },
                age_ms: age_ms as u16,
            })
        });
        seen.collect()
    }

    fn send_due_to_agents(&self, turn: u32) {
        let switched = self.switched();
        // Agents wait for each other while a version changes over, and for the operator's records.
        let state = (switched, self.node.end(Table::Operator));
        let news = *self.sent_to_agents.borrow() != state;
        let mut agents = self.agents();
        if !is_due(turn, AGENTS.pause(agents.len(), AGENT_BYTES)) {
            if !news {
                return;
            }
            // Else each change would go to each agent from each entry.
            self.keep_informed(&mut agents);
        }
        self.sent_to_agents.replace(state);
        self.send_to_agents(agents.into_iter());
    }

    /// Keeps the agents to which this entry sends at once what changed.
    fn keep_informed(&self, agents: &mut Vec<Ipv4Addr>) {
        let now = self.node.clock.now();
        let own = roster::hash(&self.node.settings().address);
        let roster = self.roster.borrow();
        let near = roster.alive_in(|it| self.node.near(it), now);
        let near: Vec<u64> = near.map(|it| roster::hash(&it)).collect();
        agents.retain(|it| {
            delegates::sends_changes_at_once(roster::hash(it), own, near.iter().copied())
        });
    }

    /// Sends agents what they need to know of this entry and of the change-over.
    pub(super) fn send_to_agents(&self, agents: impl Iterator<Item = Ipv4Addr>) {
        let sender = Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            asks: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: self.switched(),
        };
        self.node
            .send_state(Purpose::Agents, Reach::Near, sender, agents);
    }

    /// Instances of the agents to which this entry sends: those beside the replicas that hold a model, in its own region,
    /// and a part of those in regions without an entry that is alive.
    fn agents(&self) -> Vec<Ipv4Addr> {
        let settings = self.node.settings();
        let now = self.node.clock.now();
        let roster = self.roster.borrow();
        let alive = || roster.statuses(|_| true, now);
        let served: HashSet<&str> = alive().map(|(_, it)| settings.region(it.zone)).collect();
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
            let unserved = || !served.contains(settings.region(&it.zone));
            let receives = self.node.near(&it.zone) || (unserved() && stands_in(&agent));
            receives.then_some(agent)
        });
        agents.collect()
    }

    /// Adds this entry's own requests at replicas.
    fn add_own(&self, sums: &mut HashMap<u32, Load>) {
        let replicas = self.replicas.borrow();
        for (_, replica) in replicas.iter().filter(|(_, it)| 0 < it.own) {
            let load = Load {
                replica: replica.hash(),
                running: replica.own,
                waiting: replica.own_waiting,
            };
            remote_loads::add(sums, load);
        }
    }

    /// Replicas that take requests with the newest version of each model.
    fn switched(&self) -> Vec<Switched> {
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
                Some(Switched {
                    model: rendezvous::hash(model.as_bytes()),
                    version,
                    replicas: done.count().min(usize::from(u16::MAX)) as u16,
                })
            })
            .collect()
    }
}

/// Whether a turn is one of those with so much time between them.
fn is_due(turn: u32, pause: Duration) -> bool {
    let turns = pause.as_millis().div_ceil(TURN.as_millis()) as u32;
    turn.is_multiple_of(turns.max(1))
}

/// Requests at replicas, in as many parts as they need.
fn parts(sums: HashMap<u32, Load>, demand: f64) -> Vec<Loads> {
    let further = sums.len().saturating_sub(1) / LOADS;
    let count = further as u32 + 1;
    let mut parts: Vec<Loads> = (0..count)
        .map(|number| Loads {
            part: number as u16,
            further: further as u16,
            demand: (demand * 10.0) as u32,
            loads: Vec::new(),
        })
        .collect();
    for load in sums.into_values() {
        let part = &mut parts[(load.replica % count) as usize];
        part.loads.push(datagram::Load {
            replica: load.replica,
            running: load.running.min(u32::from(u16::MAX)) as u16,
            waiting: load.waiting.min(u32::from(u16::MAX)) as u16,
        });
    }
    parts
}

fn purpose(message: &Region) -> Purpose {
    match message {
        Region::Engines(_) => Purpose::Engines,
        Region::Loads(_) => Purpose::Loads,
        Region::Members(_) => Purpose::Members,
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
            true => Access::Served,
            false => Access::Unserved,
        },
        end: status.end,
    }
}
