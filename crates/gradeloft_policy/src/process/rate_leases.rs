//! Shares of a team's rate between entries, as leases that follow demand.
//!
//! One entry is the home of each team, by rendezvous; it lends the team's rate to the others in
//! leases. What it has lent and what entries may use without a lease never add up to more than the
//! rate, so views that lag cost use, not the limit:
//!
//! - an entry that callers want nothing of has no lease, and may use a small part at once when that
//!   changes;
//! - an entry that is cut off lets its lease end and, once the home must have noticed, uses a larger
//!   stated fraction of an equal part, which the home keeps back for it;
//! - a home that is connected to no majority of the listed entries lends nothing, so an entry that
//!   is cut off is no home of its own;
//! - one that has just become home lends nobody more than they hold, until leases of the home before
//!   it have ended.
//!
//! Leased rates, the fallback when cut off and giving back what is unused are taken from the manual
//! of the Varnish Enterprise ratelimit module; unlike there, a home grants them, because
//! optimistic leases overshoot while entries disagree (`docs/design/0004-limits.md`).

use std::collections::HashMap;

use crate::{clock::Time, rendezvous};

/// How long a lease stands, in milliseconds.
pub const LEASE_MS: u64 = 2_000;
/// How often an entry asks for a new lease, in milliseconds.
pub const RENEW_MS: u64 = 100;
/// Share of an equal part of the rate that a silent entry may use at once.
pub const IDLE_FRACTION: f64 = 0.05;
/// Share of an equal part of the rate that an entry uses while it is cut off.
pub const CUT_OFF_FRACTION: f64 = 0.3;
/// An entry that no home has answered for so long counts itself as cut off, in milliseconds. By
/// then its lease has ended and the homes have missed its heartbeats.
pub const CUT_OFF_MS: u64 = 5_000;
/// While the rate is not used up, an entry is lent at least this much more than it needs, so that
/// demand can grow between two asks.
const MARGIN: f64 = 1.15;
/// Time over which steady demand is averaged, in seconds.
const STEADY_S: f64 = 1.0;
/// Time over which a change of demand is looked for, in seconds.
const CHANGE_S: f64 = 0.1;
/// Standard deviations of chance arrivals beyond which demand counts as changed.
const CHANGE_SIGMAS: f64 = 3.5;

/// Units in a bucket that an entry keeps for chance, in seconds of its demand.
const KEPT_S: f64 = 0.1;
/// Time over which an entry uses what its bucket holds beyond that, in seconds.
const SPENT_S: f64 = 0.5;

/// What an entry needs to borrow: its demand, less what its bucket has saved up.
pub fn need(demand: f64, saved: f64) -> f64 {
    let spare = (saved - demand * KEPT_S).max(0.0);
    (demand - spare / SPENT_S).max(0.0)
}

/// The home of a team among entries, by the hashes of their names.
pub fn home(team: &str, entries: impl Iterator<Item = u64>) -> Option<u64> {
    let key = rendezvous::hash(team.as_bytes());
    entries.max_by_key(|it| (rendezvous::score(key, *it), *it))
}

/// A right to use a rate for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lease {
    /// Units a second.
    pub rate: f64,
    /// When it ends.
    pub until: Time,
}

/// Demand of one team at one entry.
///
/// It is averaged over a long time, because every wiggle moves leases and leaves a part of the rate
/// unlent on the way; but a change larger than chance shows in a short average and is taken over
/// at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    steady: f64,
    recent: f64,
    /// Largest number of units that came at once lately; chance is larger for larger units.
    unit: f64,
    at: Time,
}

impl Demand {
    /// Units were asked for, whether or not they were admitted.
    pub fn add(&mut self, units: f64, now: Time) {
        self.decay(now);
        self.steady += units / STEADY_S;
        self.recent += units / CHANGE_S;
        self.unit = self.unit.max(units);
    }

    /// Units a second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        let larger = self.steady.max(self.recent);
        let chance = (larger * self.unit / (2.0 * CHANGE_S)).sqrt();
        if CHANGE_SIGMAS * chance < (self.steady - self.recent).abs() {
            self.steady = self.recent;
        }
        self.steady
    }

    fn decay(&mut self, now: Time) {
        let passed = now.seconds_since(self.at);
        self.steady *= (-passed / STEADY_S).exp();
        self.recent *= (-passed / CHANGE_S).exp();
        self.unit *= (-passed / STEADY_S).exp();
        self.at = self.at.max(now);
    }
}

/// One team's rate at an entry that borrows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Borrower {
    lease: Lease,
}

impl Borrower {
    /// The home granted a rate, in answer to an ask made at `asked`. The lease counts from there, so
    /// it never outlasts what the home thinks.
    pub fn granted(&mut self, rate: f64, asked: Time) {
        self.lease = Lease {
            rate,
            until: asked.after_ms(LEASE_MS),
        };
    }

    /// The rate that may be used now, of `allowed` over `entries` entries.
    pub fn rate(&self, allowed: f64, entries: usize, reach: HomeReach, now: Time) -> f64 {
        if now < self.lease.until {
            return self.lease.rate;
        }
        match reach {
            HomeReach::CutOff => part(allowed, entries, CUT_OFF_FRACTION),
            HomeReach::Home => part(allowed, entries, IDLE_FRACTION),
        }
    }

    /// What it holds by lease.
    pub fn held(&self, now: Time) -> f64 {
        if now < self.lease.until {
            self.lease.rate
        } else {
            0.0
        }
    }
}

/// Whether an entry can reach the homes of its teams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HomeReach {
    /// No home has answered for [`CUT_OFF_MS`].
    CutOff,
    /// They answer, or have not been asked.
    Home,
}

/// A fraction of an equal part of the rate.
fn part(allowed: f64, entries: usize, fraction: f64) -> f64 {
    allowed * fraction / entries.max(1) as f64
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    lease: Lease,
    /// At least what it may use anyway.
    demand: f64,
}

/// One team's rate at its home.
#[derive(Clone, Debug)]
pub struct Lender {
    /// Entries that asked within a lease's time.
    holders: HashMap<u64, Holder>,
    /// When this entry became home.
    since: Time,
}

/// What an entry asks its team's home for.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    /// Hash of the entry's name.
    pub entry: u64,
    /// What callers want of it, in units a second.
    pub demand: f64,
    /// What it holds by lease, from this home or the one before.
    pub held: f64,
}

/// What a home knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// The team's rate, over all entries.
    pub allowed: f64,
    /// Entries that the platform lists, this one included.
    pub entries: usize,
    /// Of those, the ones that this one is connected to, itself included.
    pub connected: usize,
}

impl Lender {
    /// A home from now on.
    pub fn new(now: Time) -> Lender {
        Lender {
            holders: HashMap::new(),
            since: now,
        }
    }

    /// Answers an ask with the rate that is granted for a lease's time.
    pub fn grant(&mut self, ask: LeaseRequest, fleet: FleetView, now: Time) -> f64 {
        let FleetView {
            allowed,
            entries,
            connected,
        } = fleet;
        let least = part(allowed, entries, IDLE_FRACTION);
        if connected * 2 <= entries && 1 < entries {
            return least;
        }
        self.holders.retain(|_, it| now < it.lease.until);
        let known = self
            .holders
            .get(&ask.entry)
            .map_or(ask.held, |it| it.lease.rate);
        let lease = Lease {
            rate: known,
            until: now.after_ms(LEASE_MS),
        };
        self.holders.insert(
            ask.entry,
            Holder {
                lease,
                demand: ask.demand.max(least),
            },
        );
        let lendable = allowed - self.reserved(fleet);
        let others = self.holders.iter().filter(|(it, _)| **it != ask.entry);
        let lent: f64 = others.map(|(_, it)| it.lease.rate).sum();
        let mut rate = self.target(ask.entry, lendable).min(lendable - lent);
        if 1 < entries && now < self.since.after_ms(LEASE_MS) {
            rate = rate.min(known);
        }
        let rate = rate.max(least);
        if let Some(holder) = self.holders.get_mut(&ask.entry) {
            holder.lease.rate = rate;
        }
        rate
    }

    /// What entries without a lease may use.
    fn reserved(&self, fleet: FleetView) -> f64 {
        let FleetView {
            allowed,
            entries,
            connected,
        } = fleet;
        let cut_off = entries.saturating_sub(connected.max(self.holders.len()));
        let silent = connected.saturating_sub(self.holders.len());
        cut_off as f64 * part(allowed, entries, CUT_OFF_FRACTION)
            + silent as f64 * part(allowed, entries, IDLE_FRACTION)
    }

    /// The fair rate of an entry: what it demands with a margin if all of that fits, with the spare
    /// split evenly; else demands are filled evenly until the rate is used up.
    fn target(&self, entry: u64, lendable: f64) -> f64 {
        let demand = self.holders.get(&entry).map_or(0.0, |it| it.demand);
        let count = self.holders.len().max(1) as f64;
        let total: f64 = self.holders.values().map(|it| it.demand).sum();
        if total * MARGIN <= lendable {
            return demand * MARGIN + (lendable - total * MARGIN) / count;
        }
        if total <= lendable {
            return demand * lendable / total;
        }
        demand.min(self.level(lendable))
    }

    /// The level up to which demands are filled.
    fn level(&self, lendable: f64) -> f64 {
        let mut demands: Vec<f64> = self.holders.values().map(|it| it.demand).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = lendable;
        for (idx, demand) in demands.iter().enumerate() {
            let level = left / (demands.len() - idx) as f64;
            if level <= *demand {
                return level;
            }
            left -= demand;
        }
        lendable
    }
}
