//! Datagrams that an entry receives.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::{Rc, Weak},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{
        readers::{self, FirstRead},
        remote_loads::{self, Demand, Load},
        replicas::Report,
        roster::{self, State, Status},
    },
    rendezvous,
    request::contention::Precedence,
};
use gradeloft_wire::{
    datagram::{
        self, Datagram, EngineReport, EngineStatus, Loads, Member, Presence, RegionMessage, Sender,
        StoreAccess,
    },
    frame::Table,
};

use super::Entry;
use crate::{
    node::{Election, tables::Source},
    traffic::{Purpose, Reach},
};

impl Entry {
    /// Receives datagrams without end.
    pub(super) async fn receive_datagrams(self: Rc<Entry>) {
        loop {
            let (from, datagram) = self.node.next_datagram().await;
            self.handle_datagram(from, datagram);
        }
    }

    fn handle_datagram(&self, from: Ipv4Addr, mut datagram: Datagram) {
        self.node.detect_stall();
        let now = self.node.clock.now();

        let relayed_before = match &mut datagram.sender {
            Sender::Region { relayed, .. }
            | Sender::Signals { relayed, .. }
            | Sender::Suspects { relayed, .. } => std::mem::replace(relayed, true),
            _ => false,
        };
        // State that waited in the socket while this process was stalled is outdated, and each
        // sender sends its state again within a second. The ends of peers' table copies, and
        // crashes, remain valid however late they are received.
        let current = self.node.datagrams_are_current();
        match &datagram.sender {
            Sender::Agent { .. }
            | Sender::Entry { .. }
            | Sender::Region { .. }
            | Sender::Signals { .. }
                if !current => {}
            Sender::Agent { replica, engine } => {
                let replica = SocketAddr::V4(*replica);
                if let Some(engine) = engine {
                    self.receive_report(replica, *engine, now);
                }
                // An agent gets no regular datagrams before its replica is listed.
                if self.replicas.borrow().at(replica).is_empty() {
                    self.send_to_agents([from].into_iter());
                }
            }
            Sender::Entry { .. } => self.receive_entry(from, &datagram, now),
            Sender::Region { message, .. } => {
                self.receive_region(&datagram.zone, message, now);
                if !relayed_before {
                    self.relay_datagram(&datagram);
                }
            }
            Sender::Signals { signals, .. } => {
                self.receive_signals(signals, from, now);
                if !relayed_before && !self.node.near(&datagram.zone) {
                    self.relay_datagram(&datagram);
                }
            }
            Sender::Suspects { suspects, .. } => {
                self.receive_suspects(suspects, Source::Peer(from), now);
                if !relayed_before && !self.node.near(&datagram.zone) {
                    self.relay_datagram(&datagram);
                }
            }
        }
        if !relayed_before {
            self.node
                .note_peer_copies(datagram.ends, datagram.unconfirmed_ms);
            self.node
                .catch_up_from(from, &datagram.zone, datagram.ends, datagram.kept);
        }
    }

    /// Relays a message from another region to the entries of this region.
    fn relay_datagram(&self, datagram: &Datagram) {
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .addresses_in(|it| self.node.near(it))
            .collect();
        self.node
            .send(Purpose::Relayed, Reach::Near, datagram, near.into_iter());
    }

    /// Applies the state of another entry.
    fn receive_entry(&self, from: Ipv4Addr, datagram: &Datagram, now: Time) {
        let Sender::Entry {
            presence,
            store,
            wants_state,
            loads,
            entries,
            ..
        } = &datagram.sender
        else {
            return;
        };
        self.first_contact
            .set(self.first_contact.get().or(Some(now)));
        let status = Status {
            incarnation: datagram.incarnation,
            zone: &datagram.zone,
            state: state(*presence),
            served: *store == StoreAccess::Served,
            end: datagram.ends[Table::Operator as usize],
        };
        let has_started = self.roster.borrow().incarnation(from) < status.incarnation;
        self.roster.borrow_mut().receive(from, status, now);
        if has_started {
            self.send_suspects_to(from);
        }
        self.add_to_roster(entries);
        if self.node.near(&datagram.zone) {
            self.near_loads
                .borrow_mut()
                .receive(from, load_report(loads, now));
        }
        if *wants_state {
            self.introduce(from, &datagram.zone);
        }
    }

    /// Applies the state of another region's entries.
    fn receive_region(&self, zone: &str, message: &RegionMessage, now: Time) {
        if self.node.near(zone) {
            return;
        }
        let region = self.node.settings().region(zone).to_owned();
        match message {
            RegionMessage::Engines(engines) => engines
                .iter()
                .for_each(|it| self.receive_relayed_report(it, now)),
            RegionMessage::Loads(loads) => {
                self.far_loads
                    .borrow_mut()
                    .receive(region, load_report(loads, now));
            }
            RegionMessage::Members(members) => members
                .iter()
                .for_each(|it| self.receive_member(zone, it, now)),
        }
    }

    fn receive_member(&self, zone: &str, member: &Member, now: Time) {
        let status = Status {
            incarnation: member.incarnation,
            zone,
            state: state(member.presence),
            served: member.store == StoreAccess::Served,
            end: member.end,
        };
        self.roster
            .borrow_mut()
            .receive_relayed(member.address, status, now);
    }

    fn add_to_roster(&self, entries: &[Ipv4Addr]) {
        let own = self.node.settings().address;
        let mut roster = self.roster.borrow_mut();
        for address in entries.iter().filter(|it| **it != own) {
            roster.learn(*address, None);
        }
    }

    /// Returns the rank of this entry among the known entries of its region for the first read of a
    /// table after a start.
    fn startup_rank(&self, table: Table) -> usize {
        let now = self.node.clock.now();
        let settings = self.node.settings();
        let roster = self.roster.borrow();
        let near = roster.served(|zone| self.node.near(zone), now);
        // Seeds are left out: they are entries of this region, and a running seed replies at once.
        let listed = roster
            .unidentified()
            .filter(|it| !settings.seeds.contains(it));
        let listed = listed.filter(|_| now < Time::ZERO.after(readers::LISTED_ONLY));
        let others = near.chain(listed).map(|it| roster::hash(&it));
        rendezvous::rank(table as u64, roster::hash(&settings.address), others)
    }

    /// Applies a report of an agent, and notes whether the replica closed or reopened.
    fn receive_report(&self, address: SocketAddr, engine: EngineStatus, now: Time) {
        let closing_state = |it: Option<Report>| it.map(|it| (it.loading, it.version));
        let before = closing_state(self.last_report(address));
        self.apply_report(address, report(engine, now));
        if before != closing_state(self.last_report(address)) {
            self.changed_engines.borrow_mut().push(address);
        }
    }

    fn receive_relayed_report(&self, relayed: &EngineReport, now: Time) {
        let at = now.before_ms(u64::from(relayed.age_ms));
        self.apply_report(SocketAddr::V4(relayed.replica), report(relayed.engine, at));
    }

    fn last_report(&self, address: SocketAddr) -> Option<Report> {
        let replicas = self.replicas.borrow();
        let mut at = replicas
            .iter()
            .filter(|(_, it)| it.listing.address == address);
        at.next()?.1.report
    }

    fn apply_report(&self, address: SocketAddr, report: Report) {
        let ended = self.replicas.borrow_mut().apply_report(address, report);
        if !ended.is_empty() {
            self.begin_warmup(address);
        }
        ended.into_iter().for_each(|it| self.replica_restarted(it));
    }

    /// Treats the replica at an address as cold after a restart, until its new record arrives.
    fn begin_warmup(&self, address: SocketAddr) {
        let config = self.config.borrow();
        let mut replicas = self.replicas.borrow_mut();
        for key in replicas.at(address) {
            let Some(replica) = replicas.get_mut(key) else {
                continue;
            };
            let service = config
                .as_ref()
                .and_then(|it| it.service(&replica.listing.service));
            if let Some(warmup) = service.and_then(|it| it.warmup) {
                replica
                    .throttle
                    .set_warmup_left(warmup.ms, self.node.clock.now());
            }
        }
    }
}

fn report(engine: EngineStatus, at: Time) -> Report {
    Report {
        born: engine.born,
        version: engine.version,
        loading: engine.loading,
        congested: engine.congested,
        running: u32::from(engine.running),
        queued: u32::from(engine.queued),
        at,
    }
}

fn load_report(loads: &Loads, at: Time) -> remote_loads::Part {
    let load = |it: &datagram::Load| Load {
        replica: it.replica,
        running: u32::from(it.running),
        waiting: u32::from(it.waiting),
        waiting_tokens: f64::from(it.waiting_tokens) * datagram::Load::TOKENS_UNIT,
    };
    let demand = |it: &datagram::Demand| Demand {
        service: it.service,
        precedence: Precedence {
            team: u32::from(it.team_priority),
            route: u32::from(it.route_priority),
        },
        replicas: f64::from(it.work) / datagram::Demand::WORK_UNITS,
    };
    remote_loads::Part {
        at,
        part: loads.part,
        last_part: loads.last_part,
        demand: f64::from(loads.demand) / 10.0,
        demands: loads.demands.iter().map(demand).collect(),
        loads: loads.loads.iter().map(load).collect(),
    }
}

fn state(presence: Presence) -> State {
    match presence {
        Presence::Leaving => State::Leaving,
        Presence::Ready => State::Ready,
        Presence::Starting => State::Starting,
    }
}

impl Entry {
    /// Returns the other entries that read a table, those of this region first.
    fn other_readers(&self, table: Table) -> Vec<Ipv4Addr> {
        let settings = self.node.settings();
        let own_region = settings.region(&settings.zone);
        let far = self.other_regions();
        let regions = far.len() + 1;
        let roster = self.roster.borrow();
        let now = self.node.clock.now();
        let select = |region: &str| {
            let served = roster.served(|zone| settings.region(zone) == region, now);
            let served: Vec<Ipv4Addr> = served.collect();
            let names: Vec<u64> = served.iter().map(roster::hash).collect();
            let selected = readers::select(table as u64, &names, regions);
            selected.into_iter().map(move |it| served[it])
        };
        let near = select(own_region);
        let far = far.iter().flat_map(|it| select(it));
        near.chain(far).collect()
    }
}

impl Election for Weak<Entry> {
    fn reads(&self, table: Table) -> bool {
        let Some(entry) = self.upgrade() else {
            return false;
        };
        if !entry.node.loaded(table) {
            let settings = entry.node.settings();
            let now = entry.node.clock.now();
            return readers::reads_first(FirstRead {
                since_start: now.since(Time::ZERO),
                since_contact: entry.first_contact.get().map(|it| now.since(it)),
                seed: settings.seeds.contains(&settings.address),
                held_by_peer: entry.node.behind(table).is_some(),
                optional: table == Table::Entries,
                rank: entry.startup_rank(table),
            });
        }
        let regions = entry.other_regions().len() + 1;
        let roster = entry.roster.borrow();
        let near = roster.served(|zone| entry.node.near(zone), entry.node.clock.now());
        let own = entry.node.settings().address;
        let near = near.map(|it| roster::hash(&it));
        readers::reads(table as u64, roster::hash(&own), near, regions)
    }

    fn readers(&self, table: Table) -> Vec<Ipv4Addr> {
        self.upgrade()
            .map_or(Vec::new(), |it| it.other_readers(table))
    }

    fn pause(&self, table: Table, pause: Duration) -> Duration {
        let replicas = self.upgrade().map_or(0, |it| it.replicas.borrow().len());
        match table {
            Table::Replicas => pause.max(PAUSE_PER_REPLICA * replicas as u32),
            Table::Entries | Table::Operator => pause,
        }
    }
}

/// Pause between reads of the replicas' table, per replica: all replicas change during a version
/// switch, and each call to the store is billed. With 120 replicas the pause is 0.36 s, a part of
/// the four seconds within which requests to a draining replica have to stop.
const PAUSE_PER_REPLICA: Duration = Duration::from_millis(3);
