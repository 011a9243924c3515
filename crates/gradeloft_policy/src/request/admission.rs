//! Rate limits of teams and load shedding by class.

use std::collections::HashMap;

use gradeloft_wire::error::Kind;

use crate::clock::Time;

/// Seconds of refill that a full bucket holds.
const BURST_S: f64 = 2.0;
/// Share of the fleet's slots that is reserved for higher classes, per class above the request's
/// own.
const CLASS_HEADROOM: f64 = 0.1;

/// A token bucket.
///
/// ```
/// use gradeloft_policy::{clock::Time, request::admission::TokenBucket};
/// let mut bucket = TokenBucket::new(1.0, Time::ZERO);
/// assert!(bucket.try_take(2.0, Time::ZERO));
/// assert!(!bucket.try_take(1.0, Time::ZERO));
/// assert!(bucket.try_take(1.0, Time::ZERO.after_ms(1000)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    /// At most [`BURST_S`] seconds of `rate`, or 1 if that is more; negative when overdrawn.
    level: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` units per second.
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket {
            rate,
            level: capacity(rate),
            refilled_at: now,
        }
    }

    /// Changes the rate. The current level stays, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(capacity(rate));
    }

    /// Removes `amount` if the bucket holds that much.
    pub fn try_take(&mut self, amount: f64, now: Time) -> bool {
        self.refill(now);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Removes `amount` even if that overdraws the bucket, for costs known only afterwards.
    pub fn charge(&mut self, amount: f64, now: Time) {
        self.refill(now);
        self.level -= amount;
    }

    /// Returns the current level; negative when overdrawn.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns whether the bucket is empty or overdrawn.
    pub fn is_empty(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level <= 0.0
    }

    fn refill(&mut self, now: Time) {
        let added = self.rate * now.seconds_since(self.refilled_at);
        self.level = (self.level + added).min(capacity(self.rate));
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Rate limit of one team across all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second, in prompts and responses.
    pub tokens: f64,
}

struct TeamBuckets {
    requests: TokenBucket,
    tokens: TokenBucket,
}

/// Rate limiter of one entry: buckets of all teams, each refilled at the entry's current share of
/// the team's rate.
///
/// A request is charged for its prompt on admission and for its response on completion, so the
/// requests in flight can overdraw a team's tokens; the team then waits until they are refilled.
#[derive(Default)]
pub struct TeamLimiter {
    /// Holds only teams of the current bundle.
    teams: HashMap<String, TeamBuckets>,
}

impl TeamLimiter {
    /// Removes the teams that `kept` rejects.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.teams.retain(|team, _| kept(team));
    }

    /// Sets the rate that this entry may grant a team. A new team starts with full buckets.
    pub fn set_rate(&mut self, team: &str, rate: Rate, now: Time) {
        match self.teams.get_mut(team) {
            Some(buckets) => {
                buckets.requests.set_rate(rate.requests, now);
                buckets.tokens.set_rate(rate.tokens, now);
            }
            None => {
                let requests = TokenBucket::new(rate.requests, now);
                let tokens = TokenBucket::new(rate.tokens, now);
                self.teams
                    .insert(team.to_owned(), TeamBuckets { requests, tokens });
            }
        }
    }

    /// Returns the requests and tokens that a team has left.
    pub fn remaining(&mut self, team: &str, now: Time) -> [f64; 2] {
        let buckets = self.teams.get_mut(team);
        buckets.map_or([0.0; 2], |it| {
            [it.requests.level(now), it.tokens.level(now)]
        })
    }

    /// Admits a request with a prompt of `tokens`, or returns the reason for its refusal.
    pub fn admit(&mut self, team: &str, tokens: f64, now: Time) -> Result<(), Kind> {
        let buckets = self.teams.get_mut(team).ok_or(Kind::NotFound)?;
        if buckets.tokens.is_empty(now) || !buckets.requests.try_take(1.0, now) {
            return Err(Kind::RateLimited);
        }
        buckets.tokens.charge(tokens, now);
        Ok(())
    }

    /// Charges a team for the tokens of a response.
    pub fn charge(&mut self, team: &str, tokens: f64, now: Time) {
        if let Some(buckets) = self.teams.get_mut(team) {
            buckets.tokens.charge(tokens, now);
        }
    }
}

/// Returns whether to shed a request of a class (0 is the highest) while `running` of `slots` are
/// in use. Each class may use fewer slots than the class above it, so the lowest class is shed
/// first.
pub fn should_shed(class: u8, running: u32, slots: u32) -> bool {
    let usable = 1.0 - CLASS_HEADROOM * f64::from(class);
    let bound = (f64::from(slots) * usable.max(CLASS_HEADROOM)).max(1.0);
    bound <= f64::from(running)
}
