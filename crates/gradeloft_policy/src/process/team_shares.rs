//! Splits the replica time for requests of one precedence among teams when not all of them can be
//! admitted.
//!
//! The split is max-min fair: a team that asks for less than the equal share gets all that it asks
//! for, and the others share what is left equally. A team that sends more tries thus takes no room
//! from teams that send fewer.
//!
//! Callers choose entries at random, so the requests that arrive at one entry are a sample of each
//! team's demand, and no entry needs the counts of others. The sample of a small team is noisy: at
//! 3 requests a second over 410 entries, one entry receives a request every 137 s. Therefore a
//! team's claim on the split is the lower confidence bound of its measured demand, and teams of
//! which an entry receives less than a request in half a minute have equal claims.

use std::collections::{BTreeMap, HashMap};

use crate::{clock::Time, request::contention::Precedence};

/// Window of the moving average that follows demand, in seconds. A team that starts to send more
/// is held to its share before a burst of a few seconds is over.
const FAST_WINDOW_S: f64 = 2.0;
/// Window of the moving average that measures teams with few requests, in seconds. One of 24 equal
/// teams that together send 1,000 requests a second to 410 entries counts as three requests here.
const SLOW_WINDOW_S: f64 = 32.0;
/// Standard deviations between the measured demand of a team and its confidence bounds. A Poisson
/// sample exceeds its mean by more in one of 15 windows; with wider bounds, the claims of teams
/// with few requests at an entry become equal, and the split no longer follows their demand.
const CONFIDENCE: f64 = 1.5;
/// Requests in the slow average below which a team is no longer counted; a team is dropped three
/// slow windows after its last lone request.
const MIN_REQUESTS: f64 = 0.05;

/// Sums over requests, in which a request's weight decays exponentially with its age.
#[derive(Clone, Copy, Debug)]
struct Sample {
    window_s: f64,
    requests: f64,
    work_ms: f64,
    at: Time,
}

impl Sample {
    fn new(window_s: f64, now: Time) -> Sample {
        Sample {
            window_s,
            requests: 0.0,
            work_ms: 0.0,
            at: now,
        }
    }

    fn add(&mut self, work_ms: f64, now: Time) {
        let decayed = self.decayed(now);
        *self = Sample {
            requests: decayed.requests + 1.0,
            work_ms: decayed.work_ms + work_ms,
            ..decayed
        };
    }

    fn decayed(self, now: Time) -> Sample {
        let weight = (-now.seconds_since(self.at) / self.window_s).exp();
        Sample {
            requests: self.requests * weight,
            work_ms: self.work_ms * weight,
            at: now,
            ..self
        }
    }

    /// Returns the replica time that arrives, in milliseconds per second.
    fn demand(self) -> f64 {
        self.work_ms / self.window_s
    }

    /// Returns the lower confidence bound of [`Sample::demand`].
    fn least_likely(self) -> f64 {
        self.demand() * (1.0 - self.deviation()).max(0.0)
    }

    /// Returns the upper confidence bound of [`Sample::demand`].
    fn most_likely(self) -> f64 {
        self.demand() * (1.0 + self.deviation())
    }

    /// Returns the distance of the confidence bounds from the demand, relative to the demand.
    fn deviation(self) -> f64 {
        CONFIDENCE / self.requests.sqrt()
    }

    /// Returns the demand of a team with one request of average work in the window.
    fn lone_request(self) -> f64 {
        self.demand() / self.requests
    }
}

/// Requests of one team.
#[derive(Clone, Copy, Debug)]
struct TeamDemand {
    fast: Sample,
    slow: Sample,
}

/// Demand and claim of a team, in milliseconds of replica time per second.
#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: f64,
    /// Demand by which the team is ranked in the split. Above 0.
    claim: f64,
}

impl TeamDemand {
    fn new(now: Time) -> TeamDemand {
        TeamDemand {
            fast: Sample::new(FAST_WINDOW_S, now),
            slow: Sample::new(SLOW_WINDOW_S, now),
        }
    }

    /// Returns the demand by the slow average, or by the fast one once that differs for certain.
    fn claim(self, now: Time) -> Claim {
        let (fast, slow) = (self.fast.decayed(now), self.slow.decayed(now));
        let (least, most) = (fast.least_likely(), fast.most_likely());
        let lone_request = slow.lone_request();
        Claim {
            demand: slow.demand().min(most.max(lone_request)).max(least),
            claim: slow.least_likely().min(most).max(least).max(lone_request),
        }
    }

    fn is_counted(self, now: Time) -> bool {
        MIN_REQUESTS <= self.slow.decayed(now).requests
    }
}

/// Demand for one service by precedence and team, as received by one entry.
///
/// ```
/// use gradeloft_policy::{
///     clock::Time, process::team_shares::TeamShares, request::contention::Precedence,
/// };
/// let (precedence, now) = (Precedence::default(), Time::ZERO);
/// let mut shares = TeamShares::default();
/// for _ in 0..90 {
///     shares.count(precedence, Some(1), 100.0, now);
/// }
/// for _ in 0..10 {
///     shares.count(precedence, Some(2), 100.0, now);
/// }
/// // Half of the demand is admitted: all of the second team, and less than half of the first.
/// assert_eq!(shares.fraction(precedence, Some(2), 0.5, now), 1.0);
/// assert!(shares.fraction(precedence, Some(1), 0.5, now) < 0.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    /// Teams with requests in the last windows, by the hash of their names; `None` is the demand
    /// without a team. The teams are those of the operator's configuration, which bounds them.
    teams: BTreeMap<Precedence, HashMap<Option<u64>, TeamDemand>>,
}

impl TeamShares {
    /// Counts a try of a team that takes `work_ms` milliseconds of replica time. Each try counts,
    /// whether it is admitted or not.
    pub fn count(&mut self, precedence: Precedence, team: Option<u64>, work_ms: f64, now: Time) {
        if !work_ms.is_finite() || work_ms <= 0.0 {
            return;
        }
        let teams = self.teams.entry(precedence).or_default();
        let demand = teams.entry(team).or_insert_with(|| TeamDemand::new(now));
        demand.fast.add(work_ms, now);
        demand.slow.add(work_ms, now);
    }

    /// Returns the fraction of a team's demand that is admitted while the fraction `admitted` of
    /// the demand of all teams of this precedence is admitted. With a single team, both are equal.
    pub fn fraction(
        &self,
        precedence: Precedence,
        team: Option<u64>,
        admitted: f64,
        now: Time,
    ) -> f64 {
        let admitted = admitted.clamp(0.0, 1.0);
        let teams = self.teams.get(&precedence);
        let own = teams.and_then(|it| it.get(&team));
        let Some((teams, own)) = teams.zip(own.filter(|it| it.is_counted(now))) else {
            return admitted;
        };
        let counted = teams.values().filter(|it| it.is_counted(now));
        let claims = counted.map(|it| it.claim(now)).collect();
        match fair_level(claims, admitted) {
            Some(level) => (level / own.claim(now).claim).min(1.0),
            None => admitted,
        }
    }

    /// Drops teams that no longer send requests.
    pub fn expire(&mut self, now: Time) {
        self.teams.retain(|_, teams| {
            teams.retain(|_, it| it.is_counted(now));
            !teams.is_empty()
        });
    }

    /// Returns the number of teams that are counted, over all precedences.
    pub fn len(&self) -> usize {
        self.teams.values().map(HashMap::len).sum()
    }

    /// Returns whether no team is counted.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }
}

/// Returns the level of replica time up to which claims are admitted, so that the fraction
/// `admitted` of all demand is admitted; `None` if the teams are too few to be split.
///
/// A claim above the level is admitted by the ratio of level to claim. The admitted demand is the
/// sum of `demand * min(1, level / claim)`, which grows linearly between consecutive claims.
fn fair_level(mut claims: Vec<Claim>, admitted: f64) -> Option<f64> {
    if claims.len() < 2 || 1.0 <= admitted {
        return None;
    }
    claims.sort_by(|one, other| one.claim.total_cmp(&other.claim));
    let mut room = admitted * claims.iter().map(|it| it.demand).sum::<f64>();
    let mut slope: f64 = claims.iter().map(|it| it.demand / it.claim).sum();
    for claim in claims {
        if room <= slope * claim.claim {
            return (0.0 < slope).then(|| room / slope);
        }
        room -= claim.demand;
        slope -= claim.demand / claim.claim;
    }
    None
}
