//! What entries and agents tell each other, and what an entry lets go of as it becomes old.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    rc::{Rc, Weak},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        readers,
        replicas::{Replica, ReplicaKey, Report},
        roster::{State, Word},
        split,
    },
    rendezvous,
};
use gradeloft_wire::{
    datagram::{Access, Datagram, Engine, Load, Presence, Sender, Switched},
    frame::Table,
};
use slog::info;

use super::{Entry, view::Told};
use crate::{logs::Topic, node::Election};

/// Pause between datagrams to the entries of the own region.
const TELL: Duration = Duration::from_millis(125);
/// Of these datagrams, those that go to the agents of the own region; and at least so many of them go
/// to the entries of other regions.
const WIDE_TURNS: u32 = 4;
/// Entries for each turn between datagrams to other regions: what an entry sends there stays bounded in
/// a large fleet, and a small one, whose requests often go to another region, knows more exactly.
const ENTRIES_PER_TURN: usize = 10;
/// Of these datagrams, those that go to the agents of other regions as well, whom the entries of their
/// own region tell more often.
const WIDEST_TURNS: u32 = 8;
/// Of these datagrams, those that say which entries there are.
const ROSTER_TURNS: u32 = 8;

impl Entry {
    pub(super) async fn tell(self: Rc<Entry>) {
        let mut turn = 0;
        loop {
            self.tell_entries(turn);
            self.tell_agents(turn);
            self.upkeep();
            tokio::select! {
                () = actix_rt::time::sleep(TELL) => turn += 1,
                // Everybody is told of a stop at once.
                () = self.left.notified() => turn = 0,
            }
        }
    }

    fn tell_entries(&self, turn: u32) {
        let settings = self.node.settings();
        let roster = self.roster.borrow();
        let everyone = roster.addresses();
        let sender = Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            loads: self.loads(),
            entries: match turn % ROSTER_TURNS {
                0 => everyone.collect(),
                _ => Vec::new(),
            },
            switched: Vec::new(),
        };
        let own = settings.region(&settings.zone);
        let wide_turns = roster.most().div_ceil(ENTRIES_PER_TURN) as u32;
        let wide = turn.is_multiple_of(wide_turns.min(WIDE_TURNS));
        let to = roster.addresses_in(|zone| wide || settings.region(zone) == own);
        self.node.tell(sender, to);
    }

    fn tell_agents(&self, turn: u32) {
        let settings = self.node.settings();
        let switched = self.switched();
        // Agents wait for each other while a version changes over, and for the operator's word.
        let tell = (switched, self.node.end(Table::Operator));
        let news = *self.told_agents.borrow() != tell;
        self.told_agents.replace(tell.clone());
        let (switched, _) = tell;
        if !news && !turn.is_multiple_of(WIDE_TURNS) {
            return;
        }
        let sender = Sender::Entry {
            presence: self.presence(),
            store: self.node.access(),
            loads: Vec::new(),
            entries: Vec::new(),
            switched,
        };
        let own = settings.region(&settings.zone);
        let widest = turn.is_multiple_of(WIDEST_TURNS);
        let to = self.agents(|zone| widest || settings.region(zone) == own);
        self.node.tell(sender, to.into_iter());
    }

    /// Instances on which agents run, in availability zones that fit: those of the replicas that hold
    /// a model.
    fn agents(&self, fits: impl Fn(&str) -> bool) -> Vec<Ipv4Addr> {
        let replicas = self.replicas.borrow();
        let listings = replicas.iter().map(|(_, it)| &it.listing);
        listings
            .filter(|it| it.has_model && fits(&it.zone))
            .filter_map(|it| match it.address {
                SocketAddr::V4(address) => Some(*address.ip()),
                SocketAddr::V6(_) => None,
            })
            .collect()
    }

    fn loads(&self) -> Vec<Load> {
        let replicas = self.replicas.borrow();
        let busy = replicas.iter().filter(|(_, it)| 0 < it.own);
        busy.map(|(_, it)| Load {
            replica: rendezvous::hash(it.listing.id.as_bytes()),
            running: it.own.min(u32::from(u16::MAX)) as u16,
            waiting: it.own_waiting.min(u32::from(u16::MAX)) as u16,
        })
        .collect()
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
                let done = all.filter(|(_, it)| it.open(now) && it.version(now) == Some(version));
                Some(Switched {
                    model: rendezvous::hash(model.as_bytes()),
                    version,
                    replicas: done.count().min(usize::from(u16::MAX)) as u16,
                })
            })
            .collect()
    }

    /// Lets go of what has become old.
    fn upkeep(&self) {
        let now = self.node.clock.now();
        self.node.show_behind();
        self.show_standing();
        for id in self.replicas.borrow_mut().expire(now) {
            if let Some(log) = self.node.logs.line(Topic::State) {
                info!(log, "replica gone"; "replica" => &*id);
            }
        }
        let replicas = self.replicas.borrow();
        self.pool.expire(|it| replicas.get(it).is_some());
        drop(replicas);
        let seeds = self.node.settings().seeds.clone();
        self.roster
            .borrow_mut()
            .forget(|it| seeds.contains(&it), now);
        self.sum_elsewhere(now);
        self.split_slots(now);
    }

    /// Splits the slots of each model's replicas that take requests among the entries that take callers.
    fn split_slots(&self, now: Time) {
        let own = self.node.settings().address;
        let mut entries: Vec<Ipv4Addr> = self.roster.borrow().serving(now).collect();
        entries.push(own);
        entries.sort_unstable();
        let position = entries.iter().take_while(|it| **it != own).count();
        let config = self.config.borrow();
        let services = config.iter().flat_map(|it| &it.document.services);
        let mut replicas = self.replicas.borrow_mut();
        for service in services.filter(|it| it.speed.is_some()) {
            let oldest = self.oldest_versions(&service.name).allowed;
            let takes = |it: &Replica| it.open(now) && oldest <= it.version(now);
            let open = replicas.of(&service.name).filter(|(_, it)| takes(it));
            let mut open: Vec<(Rc<str>, ReplicaKey, u32)> = open
                .map(|(key, it)| (Rc::clone(&it.listing.id), key, it.listing.slots))
                .collect();
            open.sort_unstable();
            let slots: Vec<u32> = open.iter().map(|it| it.2).collect();
            let parts = split::parts(position, entries.len(), &slots);
            for ((_, key, _), part) in open.iter().zip(parts) {
                if let Some(replica) = replicas.get_mut(*key) {
                    replica.part = part;
                }
            }
        }
    }

    /// Sums the requests that other entries have at each replica.
    fn sum_elsewhere(&self, now: Time) {
        let mut elsewhere = self.elsewhere.borrow_mut();
        let roster = self.roster.borrow();
        elsewhere.retain(|address, _| roster.alive(*address, now));
        let mut sums: HashMap<u64, (u32, u32)> = HashMap::new();
        for load in elsewhere.values().flat_map(|it| it.loads.values()) {
            let sum = sums.entry(load.replica).or_default();
            sum.0 += u32::from(load.running);
            sum.1 += u32::from(load.waiting);
        }
        self.replicas.borrow_mut().set_others(|id| {
            let hash = rendezvous::hash(id.as_bytes());
            sums.get(&hash).copied().unwrap_or_default()
        });
    }

    pub(super) async fn listen(self: Rc<Entry>) {
        loop {
            let (from, datagram) = self.node.heard().await;
            self.heard(from, datagram);
        }
    }

    fn heard(&self, from: Ipv4Addr, datagram: Datagram) {
        let now = self.node.clock.now();
        match datagram.sender {
            Sender::Agent { replica, engine } => {
                self.agent_told(SocketAddr::V4(replica), engine, now);
            }
            Sender::Entry {
                presence,
                store,
                loads,
                entries,
                ..
            } => {
                let word = Word {
                    incarnation: datagram.incarnation,
                    zone: &datagram.zone,
                    state: state(presence),
                    served: store == Access::Served,
                    end: datagram.ends[Table::Operator as usize],
                };
                self.roster.borrow_mut().heard(from, word, now);
                self.learn(&entries);
                let loads = loads.into_iter().map(|it| (it.replica, it));
                let told = Told {
                    at: now,
                    loads: loads.collect(),
                };
                self.elsewhere.borrow_mut().insert(from, told);
            }
        }
        self.node.heard_ages(datagram.ends, datagram.unconfirmed_ms);
        self.node.heard_ends(from, &datagram.zone, datagram.ends);
    }

    fn learn(&self, entries: &[Ipv4Addr]) {
        let own = self.node.settings().address;
        let mut roster = self.roster.borrow_mut();
        for address in entries.iter().filter(|it| **it != own) {
            roster.learn(*address);
        }
    }

    fn agent_told(&self, address: SocketAddr, engine: Option<Engine>, now: Time) {
        let Some(engine) = engine else {
            return;
        };
        let report = Report {
            version: engine.version,
            loading: engine.loading,
            congested: engine.congested,
            at: now,
        };
        self.replicas.borrow_mut().report_at(address, report);
    }
}

fn state(presence: Presence) -> State {
    match presence {
        Presence::Leaving => State::Leaving,
        Presence::Ready => State::Ready,
        Presence::Starting => State::Starting,
    }
}

impl Election for Weak<Entry> {
    fn reads(&self, table: Table) -> bool {
        let Some(entry) = self.upgrade() else {
            return false;
        };
        // What was never read is read in any case.
        if !entry.node.loaded(table) {
            return true;
        }
        let settings = entry.node.settings();
        let own = settings.region(&settings.zone);
        let roster = entry.roster.borrow();
        let near = roster.served(|zone| settings.region(zone) == own, entry.node.clock.now());
        readers::reads(
            table as u64,
            address_hash(settings.address),
            near.map(address_hash),
        )
    }
}

fn address_hash(address: Ipv4Addr) -> u64 {
    rendezvous::hash(&address.octets())
}
