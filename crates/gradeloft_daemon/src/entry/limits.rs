//! Teams' rates at this entry: what it borrows, and what it lends to others as a home.

use std::{collections::HashMap, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::rate_leases::{
        self, Borrower, CUT_OFF_MS, Demand, FleetView, HomeReach, LEASE_MS, LeaseRequest, Lender,
    },
    rendezvous,
    request::admission::{Rate, TeamLimiter},
};
use gradeloft_wire::{
    border::platform::InstanceRole,
    error::Kind,
    frame::{Borrow, Call, Reply, Units},
};
use tokio::time::timeout;

use super::Entry;
use crate::transport::client::Lane;

/// Demand below which a team counts as silent, in requests a second.
const SILENT: f64 = 0.01;
/// Entries for which asks are spaced by one renewal time; with more of them, asks are rarer.
const ENTRIES_PER_RENEWAL: usize = 40;
const THOUSAND: f64 = 1000.0;

/// One team at this entry, in requests (first) and tokens (second).
#[derive(Default)]
struct Team {
    allowed: [f64; 2],
    demand: [Demand; 2],
    borrowed: [Borrower; 2],
}

/// Rates of all teams of the bundle.
#[derive(Default)]
pub struct Limits {
    ledger: TeamLimiter,
    teams: HashMap<String, Team>,
    /// Teams whose home this entry has been asked to be.
    lenders: HashMap<String, [Lender; 2]>,
    /// Since when asks have stayed unanswered.
    unanswered: Option<Time>,
}

impl Limits {
    /// Takes over the teams and rates of a bundle, for one of so many entries.
    pub fn configure(&mut self, rates: &[(String, Rate)], entries: usize, now: Time) {
        let kept = |team: &str| rates.iter().any(|(it, _)| it == team);
        self.ledger.retain(kept);
        self.teams.retain(|it, _| kept(it));
        self.lenders.retain(|it, _| kept(it));
        for (name, rate) in rates {
            let team = self.teams.entry(name.clone()).or_default();
            team.allowed = [rate.requests, rate.tokens];
        }
        self.apply(entries, now);
    }

    /// Admits a request with a prompt of `tokens`, or says why not.
    pub fn admit(&mut self, team: &str, tokens: f64, now: Time) -> Result<(), Kind> {
        if let Some(team) = self.teams.get_mut(team) {
            team.demand[0].add(1.0, now);
            team.demand[1].add(tokens, now);
        }
        self.ledger.admit(team, tokens, now)
    }

    /// Charges the tokens of an answer.
    pub fn charge(&mut self, team: &str, tokens: f64, now: Time) {
        if let Some(team) = self.teams.get_mut(team) {
            team.demand[1].add(tokens, now);
        }
        self.ledger.charge(team, tokens, now);
    }

    /// Puts the rates that leases allow now into force.
    fn apply(&mut self, entries: usize, now: Time) {
        let cut_off = self
            .unanswered
            .is_some_and(|it| it.after_ms(CUT_OFF_MS) <= now);
        let reach = if cut_off {
            HomeReach::CutOff
        } else {
            HomeReach::Home
        };
        for (name, team) in &self.teams {
            let allowed = team.allowed;
            let rate = |idx: usize| team.borrowed[idx].rate(allowed[idx], entries, reach, now);
            self.ledger.set_rate(
                name,
                Rate {
                    requests: rate(0),
                    tokens: rate(1),
                },
                now,
            );
        }
    }

    /// What to ask for each team that callers want something of.
    fn asks(&mut self, now: Time) -> Vec<Borrow> {
        let mut asks = Vec::new();
        for (name, team) in &mut self.teams {
            let [requests, tokens] = &mut team.demand;
            let demand = [requests.rate(now), tokens.rate(now)];
            let saved = self.ledger.remaining(name, now);
            let need = [
                rate_leases::need(demand[0], saved[0]),
                rate_leases::need(demand[1], saved[1]),
            ];
            let held = team.borrowed.map(|it| it.held(now));
            if SILENT < demand[0] {
                let (demand, held) = (units(need), units(held));
                asks.push(Borrow {
                    team: name.clone(),
                    demand,
                    held,
                });
            }
        }
        asks
    }

    /// Answers another entry's asks, as home of their teams.
    fn lend(&mut self, entry: u64, asks: &[Borrow], view: View, now: Time) -> Vec<Units> {
        asks.iter()
            .map(|it| self.lend_one(entry, it, view, now))
            .collect()
    }

    fn lend_one(&mut self, entry: u64, ask: &Borrow, view: View, now: Time) -> Units {
        let Some(team) = self.teams.get(&ask.team) else {
            return Units::default();
        };
        let lenders = self.lenders.entry(ask.team.clone());
        let lenders = lenders.or_insert_with(|| [Lender::new(now), Lender::new(now)]);
        let (demand, held) = (rates(ask.demand), rates(ask.held));
        let mut lent = [0.0; 2];
        for idx in 0..2 {
            let ask = LeaseRequest {
                entry,
                demand: demand[idx],
                held: held[idx],
            };
            let View { entries, connected } = view;
            let fleet = FleetView {
                allowed: team.allowed[idx],
                entries,
                connected,
            };
            lent[idx] = lenders[idx].grant(ask, fleet, now);
        }
        units(lent)
    }

    fn asked(&mut self, now: Time) {
        self.unanswered.get_or_insert(now);
    }

    fn answered(&mut self) {
        self.unanswered = None;
    }

    fn granted(&mut self, team: &str, lent: Units, asked: Time) {
        if let Some(team) = self.teams.get_mut(team) {
            for (borrowed, rate) in team.borrowed.iter_mut().zip(rates(lent)) {
                borrowed.granted(rate, asked);
            }
        }
    }
}

/// Entries as this one sees them.
#[derive(Clone, Copy)]
struct View {
    entries: usize,
    connected: usize,
}

impl View {
    fn majority(self) -> bool {
        self.entries < self.connected * 2
    }
}

/// Asks the homes again and again, as long as the entry runs.
pub async fn run(entry: Rc<Entry>) {
    loop {
        let entries = entry.view().entries;
        let spaced = rate_leases::RENEW_MS * (1 + entries / ENTRIES_PER_RENEWAL) as u64;
        actix_rt::time::sleep(Duration::from_millis(spaced.min(LEASE_MS / 2))).await;
        let now = entry.node.clock.now();
        let asks = entry.limits.borrow_mut().asks(now);
        for (home, asks) in entry.by_home(asks) {
            let entry = Rc::clone(&entry);
            let scope = Rc::clone(&entry.node.scope);
            scope.spawn(async move { entry.borrow_from(home, asks).await });
        }
        entry.limits.borrow_mut().apply(entries, now);
    }
}

impl Entry {
    /// Answers another entry's call for shares.
    pub(super) fn lend(&self, node: &str, asks: &[Borrow]) -> Reply {
        let now = self.node.clock.now();
        let entry = rendezvous::hash(node.as_bytes());
        Reply::Lent(self.limits.borrow_mut().lend(entry, asks, self.view(), now))
    }

    pub(super) fn listed_entries(&self) -> usize {
        self.view().entries
    }

    fn view(&self) -> View {
        let membership = self.node.membership.borrow();
        let listed = membership
            .of(InstanceRole::Entry)
            .filter(|(_, it)| it.listed);
        let (mut entries, mut connected) = (1, 1);
        for (_, peer) in listed {
            entries += 1;
            connected += usize::from(peer.connected);
        }
        View { entries, connected }
    }

    /// Asks by the address of their home; `None` for this entry itself.
    fn by_home(&self, asks: Vec<Borrow>) -> HashMap<Option<String>, Vec<Borrow>> {
        let own = rendezvous::hash(self.node.settings.node.id.as_bytes());
        let membership = self.node.membership.borrow();
        let connected: Vec<(u64, &str)> = membership
            .of(InstanceRole::Entry)
            .filter(|(_, it)| it.listed && it.connected)
            .map(|(_, it)| (it.node, it.instance.peer.as_str()))
            .collect();
        let mut homes: HashMap<Option<String>, Vec<Borrow>> = HashMap::new();
        for ask in asks {
            let nodes = connected.iter().map(|it| it.0).chain([own]);
            let home = rate_leases::home(&ask.team, nodes);
            let address = connected.iter().find(|it| Some(it.0) == home);
            homes
                .entry(address.map(|it| it.1.to_owned()))
                .or_default()
                .push(ask);
        }
        homes
    }

    async fn borrow_from(&self, home: Option<String>, asks: Vec<Borrow>) {
        let asked = self.node.clock.now();
        let own = self.node.settings.node.id.clone();
        self.limits.borrow_mut().asked(asked);
        let reply = match &home {
            // Without a majority this is no home, and an own answer proves nothing.
            None if !self.view().majority() => return,
            None => self.lend(&own, &asks),
            Some(address) => {
                let call = Call::Borrow {
                    node: own,
                    asks: asks.clone(),
                };
                let asking = self.node.pool.call(address, Lane::Live, &call);
                match timeout(Duration::from_millis(LEASE_MS), asking).await {
                    Ok(Ok(reply)) => reply,
                    _ => return,
                }
            }
        };
        let Reply::Lent(lent) = reply else {
            return;
        };
        let entries = self.view().entries;
        let mut limits = self.limits.borrow_mut();
        limits.answered();
        for (ask, lent) in asks.iter().zip(lent) {
            limits.granted(&ask.team, lent, asked);
        }
        limits.apply(entries, self.node.clock.now());
    }
}

fn units([requests, tokens]: [f64; 2]) -> Units {
    let thousandths = |it: f64| (it * THOUSAND) as u64;
    Units {
        requests: thousandths(requests),
        tokens: thousandths(tokens),
    }
}

fn rates(units: Units) -> [f64; 2] {
    [
        units.requests as f64 / THOUSAND,
        units.tokens as f64 / THOUSAND,
    ]
}
