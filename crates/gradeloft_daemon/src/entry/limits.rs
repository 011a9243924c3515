//! Rate limits of teams at this entry: leases that it holds, and leases that it grants as a home.

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
    frame::{Call, MilliRates, Reply, TeamLeaseRequest},
};
use tokio::time::timeout;

use super::Entry;
use crate::transport::client::Lane;

/// Least demand for which an entry requests leases, in requests per second.
const MIN_DEMAND: f64 = 0.01;
/// Number of entries that add one renewal interval to the interval between lease requests.
const ENTRIES_PER_INTERVAL: usize = 40;
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// State of one team at this entry. The first value of each pair is for requests, the second for
/// tokens.
#[derive(Default)]
struct TeamState {
    allowed: [f64; 2],
    demand: [Demand; 2],
    borrowers: [Borrower; 2],
}

/// Rate limits of all teams of the bundle.
#[derive(Default)]
pub struct Limits {
    limiter: TeamLimiter,
    teams: HashMap<String, TeamState>,
    /// Lenders by team, for each team for which an entry has requested leases here.
    lenders: HashMap<String, [Lender; 2]>,
    /// Time of the first lease request since the last reply.
    unanswered_since: Option<Time>,
}

impl Limits {
    /// Applies the teams and rates of a bundle, in a fleet of `entries` entries.
    pub fn configure(&mut self, rates: &[(String, Rate)], entries: usize, now: Time) {
        let in_bundle = |team: &str| rates.iter().any(|(it, _)| it == team);
        self.limiter.retain(in_bundle);
        self.teams.retain(|it, _| in_bundle(it));
        self.lenders.retain(|it, _| in_bundle(it));
        for (name, rate) in rates {
            let team = self.teams.entry(name.clone()).or_default();
            team.allowed = [rate.requests, rate.tokens];
        }
        self.apply(entries, now);
    }

    /// Admits a request with a prompt of `tokens`, or returns the reason for its refusal.
    pub fn admit(&mut self, team: &str, tokens: f64, now: Time) -> Result<(), Kind> {
        if let Some(team) = self.teams.get_mut(team) {
            team.demand[0].add(1.0, now);
            team.demand[1].add(tokens, now);
        }
        self.limiter.admit(team, tokens, now)
    }

    /// Charges a team for the tokens of a response.
    pub fn charge(&mut self, team: &str, tokens: f64, now: Time) {
        if let Some(team) = self.teams.get_mut(team) {
            team.demand[1].add(tokens, now);
        }
        self.limiter.charge(team, tokens, now);
    }

    /// Sets the limiter to the rates that the leases currently allow.
    fn apply(&mut self, entries: usize, now: Time) {
        let cut_off = self
            .unanswered_since
            .is_some_and(|it| it.after_ms(CUT_OFF_MS) <= now);
        let reach = if cut_off {
            HomeReach::CutOff
        } else {
            HomeReach::Home
        };
        for (name, team) in &self.teams {
            let allowed = team.allowed;
            let rate = |idx: usize| team.borrowers[idx].rate(allowed[idx], entries, reach, now);
            self.limiter.set_rate(
                name,
                Rate {
                    requests: rate(0),
                    tokens: rate(1),
                },
                now,
            );
        }
    }

    /// Returns a lease request for each team with demand.
    fn lease_requests(&mut self, now: Time) -> Vec<TeamLeaseRequest> {
        let mut lease_requests = Vec::new();
        for (name, team) in &mut self.teams {
            let [requests, tokens] = &mut team.demand;
            let demand = [requests.rate(now), tokens.rate(now)];
            let remaining = self.limiter.remaining(name, now);
            let need = [
                rate_leases::need(demand[0], remaining[0]),
                rate_leases::need(demand[1], remaining[1]),
            ];
            let held = team.borrowers.map(|it| it.held(now));
            if MIN_DEMAND < demand[0] {
                let (demand, held) = (to_milli_rates(need), to_milli_rates(held));
                lease_requests.push(TeamLeaseRequest {
                    team: name.clone(),
                    demand,
                    held,
                });
            }
        }
        lease_requests
    }

    /// Grants leases to another entry, as the home of the requested teams.
    fn grant(
        &mut self,
        entry: u64,
        lease_requests: &[TeamLeaseRequest],
        counts: EntryCounts,
        now: Time,
    ) -> Vec<MilliRates> {
        lease_requests
            .iter()
            .map(|it| self.grant_one(entry, it, counts, now))
            .collect()
    }

    fn grant_one(
        &mut self,
        entry: u64,
        lease_request: &TeamLeaseRequest,
        counts: EntryCounts,
        now: Time,
    ) -> MilliRates {
        let Some(team) = self.teams.get(&lease_request.team) else {
            return MilliRates::default();
        };
        let lenders = self.lenders.entry(lease_request.team.clone());
        let lenders = lenders.or_insert_with(|| [Lender::new(now), Lender::new(now)]);
        let (demand, held) = (to_rates(lease_request.demand), to_rates(lease_request.held));
        let mut granted = [0.0; 2];
        for idx in 0..2 {
            let lease_request = LeaseRequest {
                entry,
                demand: demand[idx],
                held: held[idx],
            };
            let EntryCounts { entries, connected } = counts;
            let fleet = FleetView {
                allowed: team.allowed[idx],
                entries,
                connected,
            };
            granted[idx] = lenders[idx].grant(lease_request, fleet, now);
        }
        to_milli_rates(granted)
    }

    fn record_request(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    fn record_reply(&mut self) {
        self.unanswered_since = None;
    }

    fn record_grant(&mut self, team: &str, granted: MilliRates, requested_at: Time) {
        if let Some(team) = self.teams.get_mut(team) {
            for (borrower, rate) in team.borrowers.iter_mut().zip(to_rates(granted)) {
                borrower.granted(rate, requested_at);
            }
        }
    }
}

/// Numbers of listed and of connected entries as seen from this entry. Both include this entry.
#[derive(Clone, Copy)]
struct EntryCounts {
    entries: usize,
    connected: usize,
}

impl EntryCounts {
    fn has_majority(self) -> bool {
        self.entries < self.connected * 2
    }
}

/// Requests leases from the homes of all teams periodically.
pub async fn run(entry: Rc<Entry>) {
    loop {
        let entries = entry.entry_counts().entries;
        let interval_ms = rate_leases::RENEW_MS * (1 + entries / ENTRIES_PER_INTERVAL) as u64;
        actix_rt::time::sleep(Duration::from_millis(interval_ms.min(LEASE_MS / 2))).await;
        let now = entry.node.clock.now();
        let lease_requests = entry.limits.borrow_mut().lease_requests(now);
        for (home, lease_requests) in entry.group_by_home(lease_requests) {
            let entry = Rc::clone(&entry);
            let scope = Rc::clone(&entry.node.scope);
            scope.spawn(async move { entry.request_leases(home, lease_requests).await });
        }
        entry.limits.borrow_mut().apply(entries, now);
    }
}

impl Entry {
    /// Replies to the lease requests of another entry.
    pub(super) fn grant(&self, node: &str, lease_requests: &[TeamLeaseRequest]) -> Reply {
        let now = self.node.clock.now();
        let entry = rendezvous::hash(node.as_bytes());
        Reply::Leased(self.limits.borrow_mut().grant(
            entry,
            lease_requests,
            self.entry_counts(),
            now,
        ))
    }

    pub(super) fn listed_entries(&self) -> usize {
        self.entry_counts().entries
    }

    fn entry_counts(&self) -> EntryCounts {
        let membership = self.node.membership.borrow();
        let listed = membership
            .of(InstanceRole::Entry)
            .filter(|(_, it)| it.listed);
        let (mut entries, mut connected) = (1, 1);
        for (_, peer) in listed {
            entries += 1;
            connected += usize::from(peer.connected);
        }
        EntryCounts { entries, connected }
    }

    /// Groups lease requests by the address of their home; `None` is this entry.
    fn group_by_home(
        &self,
        lease_requests: Vec<TeamLeaseRequest>,
    ) -> HashMap<Option<String>, Vec<TeamLeaseRequest>> {
        let own = rendezvous::hash(self.node.settings.node.id.as_bytes());
        let membership = self.node.membership.borrow();
        let connected: Vec<(u64, &str)> = membership
            .of(InstanceRole::Entry)
            .filter(|(_, it)| it.listed && it.connected)
            .map(|(_, it)| (it.node, it.instance.peer.as_str()))
            .collect();
        let mut homes: HashMap<Option<String>, Vec<TeamLeaseRequest>> = HashMap::new();
        for lease_request in lease_requests {
            let nodes = connected.iter().map(|it| it.0).chain([own]);
            let home = rate_leases::home(&lease_request.team, nodes);
            let address = connected.iter().find(|it| Some(it.0) == home);
            homes
                .entry(address.map(|it| it.1.to_owned()))
                .or_default()
                .push(lease_request);
        }
        homes
    }

    async fn request_leases(&self, home: Option<String>, lease_requests: Vec<TeamLeaseRequest>) {
        let requested_at = self.node.clock.now();
        let own = self.node.settings.node.id.clone();
        self.limits.borrow_mut().record_request(requested_at);
        let reply = match &home {
            // Without a majority, this entry can't act as a home, and its own reply would not show
            // that other homes are reachable.
            None if !self.entry_counts().has_majority() => return,
            None => self.grant(&own, &lease_requests),
            Some(address) => {
                let call = Call::Lease {
                    node: own,
                    requests: lease_requests.clone(),
                };
                let calling = self.node.pool.call(address, Lane::Live, &call);
                match timeout(Duration::from_millis(LEASE_MS), calling).await {
                    Ok(Ok(reply)) => reply,
                    _ => return,
                }
            }
        };
        let Reply::Leased(granted) = reply else {
            return;
        };
        let entries = self.entry_counts().entries;
        let mut limits = self.limits.borrow_mut();
        limits.record_reply();
        for (lease_request, granted) in lease_requests.iter().zip(granted) {
            limits.record_grant(&lease_request.team, granted, requested_at);
        }
        limits.apply(entries, self.node.clock.now());
    }
}

fn to_milli_rates([requests, tokens]: [f64; 2]) -> MilliRates {
    let thousandths = |it: f64| (it * THOUSANDTHS_PER_UNIT) as u64;
    MilliRates {
        requests: thousandths(requests),
        tokens: thousandths(tokens),
    }
}

fn to_rates(milli_rates: MilliRates) -> [f64; 2] {
    [
        milli_rates.requests as f64 / THOUSANDTHS_PER_UNIT,
        milli_rates.tokens as f64 / THOUSANDTHS_PER_UNIT,
    ]
}
