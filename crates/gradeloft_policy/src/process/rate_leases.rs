//! Splits the rate limit of a team among entries by leases that follow demand.
//!
//! Each team has a home entry, selected by rendezvous hashing, which leases shares of the team's
//! rate to the other entries. The sum of the leased rate and the rate that entries may use without
//! a lease is at most the limit, so outdated views only reduce the usable rate:
//!
//! - An entry without demand has no lease, and may use a small share at once when demand appears.
//! - An entry that is cut off lets its lease expire. Once the home is sure to have noticed, the
//!   entry uses a larger, fixed fraction of an equal share, which the home reserves for it.
//! - A home leases only while it is connected to a majority of the listed entries, so an entry that
//!   is cut off can't be its own home.
//! - A new home leases no entry more than the entry already holds, until the leases of the previous
//!   home have expired.
//!
//! Leased rates, the fallback while cut off and the return of unused rates follow the manual of the
//! Varnish Enterprise ratelimit module. Unlike in that module, a home grants the leases, because
//! optimistic leases exceed the limit while entries disagree (`docs/design/0004-limits.md`).

use std::collections::HashMap;

use crate::{clock::Time, rendezvous};

/// Duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 2_000;
/// Interval between lease requests of an entry, in milliseconds.
pub const RENEW_MS: u64 = 100;
/// Fraction of an equal share of the rate that an entry without a lease may use at once.
pub const IDLE_FRACTION: f64 = 0.05;
/// Fraction of an equal share of the rate that an entry may use while it is cut off.
pub const CUT_OFF_FRACTION: f64 = 0.3;
/// Time without a reply from any home after which an entry counts as cut off, in milliseconds. By
/// then its lease has expired and the homes have missed its heartbeats.
pub const CUT_OFF_MS: u64 = 5_000;
/// Least ratio of a granted rate to the need while the total rate is not exhausted. The margin lets
/// demand grow between two lease requests.
const MARGIN: f64 = 1.15;
/// Time over which steady demand is averaged, in seconds.
const STEADY_WINDOW_S: f64 = 1.0;
/// Time over which demand is averaged to detect a change, in seconds.
const CHANGE_WINDOW_S: f64 = 0.1;
/// Deviation beyond which demand counts as changed, in standard deviations of random arrivals.
const CHANGE_SIGMAS: f64 = 3.5;

/// Reserve for random arrivals that an entry keeps in its bucket, in seconds of its demand.
const RESERVE_S: f64 = 0.1;
/// Time over which an entry spends the content of its bucket beyond the reserve, in seconds.
const SPEND_S: f64 = 0.5;

/// Returns the rate that an entry needs to borrow: its demand, less what its bucket has saved.
pub fn need(demand: f64, saved: f64) -> f64 {
    let spare = (saved - demand * RESERVE_S).max(0.0);
    (demand - spare / SPEND_S).max(0.0)
}

/// Returns the home of a team among entries, given by the hashes of their names.
pub fn home(team: &str, entries: impl Iterator<Item = u64>) -> Option<u64> {
    let key = rendezvous::hash(team.as_bytes());
    entries.max_by_key(|it| (rendezvous::score(key, *it), *it))
}

/// The right to use a rate for a limited time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lease {
    /// Units per second.
    pub rate: f64,
    /// Time at which the lease expires.
    pub until: Time,
}

/// Demand of one team at one entry.
///
/// The average covers a long time, since otherwise each fluctuation would move leases and leave
/// part of the rate unused in the meantime. A change beyond random fluctuation shows in a short
/// average and is adopted at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    steady: f64,
    recent: f64,
    /// Largest number of units recently added at once; a larger number increases random
    /// fluctuation.
    unit: f64,
    at: Time,
}

impl Demand {
    /// Adds requested units, whether or not they were admitted.
    pub fn add(&mut self, units: f64, now: Time) {
        self.decay(now);
        self.steady += units / STEADY_WINDOW_S;
        self.recent += units / CHANGE_WINDOW_S;
        self.unit = self.unit.max(units);
    }

    /// Returns the demand in units per second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        let larger = self.steady.max(self.recent);
        let deviation = (larger * self.unit / (2.0 * CHANGE_WINDOW_S)).sqrt();
        if CHANGE_SIGMAS * deviation < (self.steady - self.recent).abs() {
            self.steady = self.recent;
        }
        self.steady
    }

    fn decay(&mut self, now: Time) {
        let passed = now.seconds_since(self.at);
        self.steady *= (-passed / STEADY_WINDOW_S).exp();
        self.recent *= (-passed / CHANGE_WINDOW_S).exp();
        self.unit *= (-passed / STEADY_WINDOW_S).exp();
        self.at = self.at.max(now);
    }
}

/// State of one team's rate at an entry that borrows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Borrower {
    lease: Lease,
}

impl Borrower {
    /// Applies a rate that the home granted in reply to a request made at `requested_at`. The lease
    /// begins at that time, so it never outlasts the home's record of the lease.
    pub fn granted(&mut self, rate: f64, requested_at: Time) {
        self.lease = Lease {
            rate,
            until: requested_at.after_ms(LEASE_MS),
        };
    }

    /// Returns the rate that may be used now, with a limit of `allowed` over all `entries` entries.
    pub fn rate(&self, allowed: f64, entries: usize, reach: HomeReach, now: Time) -> f64 {
        if now < self.lease.until {
            return self.lease.rate;
        }
        match reach {
            HomeReach::CutOff => part(allowed, entries, CUT_OFF_FRACTION),
            HomeReach::Home => part(allowed, entries, IDLE_FRACTION),
        }
    }

    /// Returns the rate that the entry holds by lease.
    pub fn held(&self, now: Time) -> f64 {
        if now < self.lease.until {
            self.lease.rate
        } else {
            0.0
        }
    }
}

/// Whether an entry reaches the homes of its teams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HomeReach {
    /// No home has replied for [`CUT_OFF_MS`].
    CutOff,
    /// The homes reply, or have received no request.
    Home,
}

/// Returns a fraction of an equal share of the rate.
fn part(allowed: f64, entries: usize, fraction: f64) -> f64 {
    allowed * fraction / entries.max(1) as f64
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    lease: Lease,
    /// Demand, at least the rate that is allowed without a lease.
    demand: f64,
}

/// State of one team's rate at its home.
#[derive(Clone, Debug)]
pub struct Lender {
    /// Entries that requested a lease within the duration of a lease.
    holders: HashMap<u64, Holder>,
    /// Time at which this entry became home.
    since: Time,
}

/// Request for a lease, sent to the home of a team.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    /// Hash of the name of the entry that sends the request.
    pub entry: u64,
    /// Demand of its callers, in units per second.
    pub demand: f64,
    /// Rate that the entry holds by lease from this home or the previous one.
    pub held: f64,
}

/// The fleet as a home sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Rate limit of the team over all entries.
    pub allowed: f64,
    /// Number of entries that the platform lists, including this one.
    pub entries: usize,
    /// Number of listed entries that this one is connected to, including itself.
    pub connected: usize,
}

impl Lender {
    /// Creates the state of an entry that becomes home at `now`.
    pub fn new(now: Time) -> Lender {
        Lender {
            holders: HashMap::new(),
            since: now,
        }
    }

    /// Grants a rate for the duration of a lease and returns it.
    pub fn grant(&mut self, request: LeaseRequest, fleet: FleetView, now: Time) -> f64 {
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
            .get(&request.entry)
            .map_or(request.held, |it| it.lease.rate);
        let lease = Lease {
            rate: known,
            until: now.after_ms(LEASE_MS),
        };
        self.holders.insert(
            request.entry,
            Holder {
                lease,
                demand: request.demand.max(least),
            },
        );
        let lendable = allowed - self.reserved(fleet);
        let others = self.holders.iter().filter(|(it, _)| **it != request.entry);
        let lent: f64 = others.map(|(_, it)| it.lease.rate).sum();
        let mut rate = self.target(request.entry, lendable).min(lendable - lent);
        if 1 < entries && now < self.since.after_ms(LEASE_MS) {
            rate = rate.min(known);
        }
        let rate = rate.max(least);
        if let Some(holder) = self.holders.get_mut(&request.entry) {
            holder.lease.rate = rate;
        }
        rate
    }

    /// Returns the rate that entries without a lease may use.
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

    /// Returns the fair rate of an entry. If all demands fit with the margin, this is the entry's
    /// demand with the margin, plus an equal part of the rest. If they fit only with a smaller
    /// margin, the margin shrinks. Otherwise each demand is met up to a common level.
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

    /// Returns the rate up to which each demand is met when `lendable` does not cover all demands.
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
