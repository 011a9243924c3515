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
        remote_loads::{self, Load},
        replicas::Report,
        roster::{self, State, Status},
    },
    rendezvous,
};
use gradeloft_wire::{
    datagram::{Access, Datagram, Engine, Loads, Member, Presence, Region, Seen, Sender},
    frame::Table,
};

use super::Entry;
use crate::{
    node::{Election, tables::Source},
    traffic::{Purpose, Reach},
};

impl Entry {
    pub(super) async fn listen(self: Rc<Entry>) {
        loop {
            let (from, datagram) = self.node.next_datagram().await;
            self.receive(from, datagram);
        }
    }

    fn receive(&self, from: Ipv4Addr, mut datagram: Datagram) {
        self.node.detect_stall();
        let now = self.node.clock.now();

        let passed_on = match &mut datagram.sender {
            Sender::Region { relayed, .. } | Sender::Suspects { relayed, .. } => {
                std::mem::replace(relayed, true)
            }
            _ => false,
        };
        // What lay in the socket while this process stood still is outdated, and each sender sends again within a second.
        // How far copies go, and crashes, hold whenever they are received.
        let current = self.node.receives_current();
        match &datagram.sender {
            Sender::Agent { .. } | Sender::Entry { .. } | Sender::Region { .. } if !current => {}
            Sender::Agent { replica, engine } => {
                let replica = SocketAddr::V4(*replica);
                if let Some(engine) = engine {
                    self.receive_report(replica, *engine, now);
                }
                // Nobody sends to the agent of a replica that is not listed yet.
                if self.replicas.borrow().at(replica).is_empty() {
                    self.send_to_agents([from].into_iter());
                }
            }
            Sender::Entry { .. } => self.receive_entry(from, &datagram, now),
            Sender::Region { word, .. } => {
                self.receive_region(&datagram.zone, word, now);
                if !passed_on {
                    self.pass_on(&datagram);
                }
            }
            Sender::Suspects { suspects, .. } => {
                self.receive_suspects(suspects, Source::Peer(from), now);
                if !passed_on && !self.node.near(&datagram.zone) {
                    self.pass_on(&datagram);
                }
            }
        }
        if !passed_on {
            self.node
                .receive_ages(datagram.ends, datagram.unconfirmed_ms);
            self.node.receive_ends(from, &datagram.zone, datagram.ends);
        }
    }

    /// Passes a message of another region on to the entries of this one.
    fn pass_on(&self, datagram: &Datagram) {
        let near: Vec<Ipv4Addr> = self
            .roster
            .borrow()
            .addresses_in(|it| self.node.near(it))
            .collect();
        self.node
            .send(Purpose::Relayed, Reach::Near, datagram, near.into_iter());
    }

    fn receive_entry(&self, from: Ipv4Addr, datagram: &Datagram, now: Time) {
        let Sender::Entry {
            presence,
            store,
            asks,
            loads,
            entries,
            ..
        } = &datagram.sender
        else {
            return;
        };
        self.contact.set(self.contact.get().or(Some(now)));
        let status = Status {
            incarnation: datagram.incarnation,
            zone: &datagram.zone,
            state: state(*presence),
            served: *store == Access::Served,
            end: datagram.ends[Table::Operator as usize],
        };
        self.roster.borrow_mut().receive(from, status, now);
        self.learn(entries);
        if self.node.near(&datagram.zone) {
            self.near_loads
                .borrow_mut()
                .receive(from, load_report(loads, now));
        }
        if *asks {
            self.introduce(from, &datagram.zone);
        }
    }

    /// Takes in the state of another region's entries.
    fn receive_region(&self, zone: &str, message: &Region, now: Time) {
        if self.node.near(zone) {
            return;
        }
        let region = self.node.settings().region(zone).to_owned();
        match message {
            Region::Engines(engines) => engines.iter().for_each(|it| self.engine_seen(it, now)),
            Region::Loads(loads) => {
                self.far_loads
                    .borrow_mut()
                    .receive(region, load_report(loads, now));
            }
            Region::Members(members) => members.iter().for_each(|it| self.member(zone, it, now)),
        }
    }

    fn member(&self, zone: &str, member: &Member, now: Time) {
        let status = Status {
            incarnation: member.incarnation,
            zone,
            state: state(member.presence),
            served: member.store == Access::Served,
            end: member.end,
        };
        self.roster
            .borrow_mut()
            .receive_relayed(member.address, status, now);
    }

    fn learn(&self, entries: &[Ipv4Addr]) {
        let own = self.node.settings().address;
        let mut roster = self.roster.borrow_mut();
        for address in entries.iter().filter(|it| **it != own) {
            roster.learn(*address, None);
        }
    }

    /// How many other entries of this region, as far as this one knows, read a table first after a start.
    fn first_rank(&self, table: Table) -> usize {
        let now = self.node.clock.now();
        let settings = self.node.settings();
        let roster = self.roster.borrow();
        let near = roster.served(|zone| self.node.near(zone), now);
        // Seeds name entries of this region, which answer a moment later.
        let named = roster
            .unidentified()
            .filter(|it| !settings.seeds.contains(it));
        let named = named.filter(|_| now < Time::ZERO.after(readers::LISTED_ONLY));
        let others = near.chain(named).map(|it| roster::hash(&it));
        rendezvous::rank(table as u64, roster::hash(&settings.address), others)
    }

    fn receive_report(&self, address: SocketAddr, engine: Engine, now: Time) {
        let closed = |it: Option<Report>| it.map(|it| (it.loading, it.version));
        let before = closed(self.report_of(address));
        self.reported(address, report(engine, now));
        if before != closed(self.report_of(address)) {
            self.changed_engines.borrow_mut().push(address);
        }
    }

    fn engine_seen(&self, seen: &Seen, now: Time) {
        let at = now.before_ms(u64::from(seen.age_ms));
        self.reported(SocketAddr::V4(seen.replica), report(seen.engine, at));
    }

    fn report_of(&self, address: SocketAddr) -> Option<Report> {
        let replicas = self.replicas.borrow();
        let mut at = replicas
            .iter()
            .filter(|(_, it)| it.listing.address == address);
        at.next()?.1.report
    }

    fn reported(&self, address: SocketAddr, report: Report) {
        let ended = self.replicas.borrow_mut().report_at(address, report);
        if !ended.is_empty() {
            self.begin_warmup(address);
        }
        ended.into_iter().for_each(|it| self.replica_restarted(it));
    }

    /// Counts the replica at an address as cold, as it has just started: its own record comes later.
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
                replica.set_warmup_left(warmup.ms, self.node.clock.now());
            }
        }
    }
}

fn report(engine: Engine, at: Time) -> Report {
    Report {
        born: engine.born,
        version: engine.version,
        loading: engine.loading,
        congested: engine.congested,
        at,
    }
}

fn load_report(loads: &Loads, at: Time) -> remote_loads::Part {
    let load = |it: &gradeloft_wire::datagram::Load| Load {
        replica: it.replica,
        running: u32::from(it.running),
        waiting: u32::from(it.waiting),
    };
    remote_loads::Part {
        at,
        part: loads.part,
        further: loads.further,
        demand: f64::from(loads.demand) / 10.0,
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
                since_contact: entry.contact.get().map(|it| now.since(it)),
                seed: settings.seeds.contains(&settings.address),
                held_by_peer: entry.node.behind(table).is_some(),
                optional: table == Table::Entries,
                rank: entry.first_rank(table),
            });
        }
        let regions = entry.other_regions().len() + 1;
        let roster = entry.roster.borrow();
        let near = roster.served(|zone| entry.node.near(zone), entry.node.clock.now());
        let own = entry.node.settings().address;
        let near = near.map(|it| roster::hash(&it));
        readers::reads(table as u64, roster::hash(&own), near, regions)
    }

    fn pause(&self, table: Table, pause: Duration) -> Duration {
        let replicas = self.upgrade().map_or(0, |it| it.replicas.borrow().len());
        match table {
            Table::Replicas => pause.max(PAUSE_PER_REPLICA * replicas as u32),
            Table::Entries | Table::Operator => pause,
        }
    }
}

/// Pause between two reads of the replicas' table, for each replica: all of them change while a version
/// changes over, and each call to the store is paid for. With 120 of them 0.36 s, of the four seconds in which
/// nothing is to be sent to one that leaves.
const PAUSE_PER_REPLICA: Duration = Duration::from_millis(3);
