//! Rates of teams and the shedding of classes.

use std::collections::HashMap;

use gradeloft_wire::error::Kind;

use crate::clock::Time;

/// Seconds of its rate that a bucket holds when full.
const BURST_S: f64 = 2.0;
/// Share of the fleet's slots that each class below the first leaves free for those above it.
const HEADROOM: f64 = 0.1;

/// A token bucket, filled at a rate and drained by what is admitted.
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
    /// At most [`BURST_S`] seconds of `rate`, and at least one; below zero after a debt.
    level: f64,
    filled: Time,
}

impl TokenBucket {
    /// A full bucket of `rate` units a second.
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket {
            rate,
            level: capacity(rate),
            filled: now,
        }
    }

    /// Changes the rate; what is in stays, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(capacity(rate));
    }

    /// Takes `amount`, if it is there.
    pub fn try_take(&mut self, amount: f64, now: Time) -> bool {
        self.fill(now);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes `amount` whether or not it is there: for costs that are known only afterwards.
    pub fn charge(&mut self, amount: f64, now: Time) {
        self.fill(now);
        self.level -= amount;
    }

    /// What is left; below zero after a debt.
    pub fn level(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.level
    }

    /// Whether nothing is left.
    pub fn is_empty(&mut self, now: Time) -> bool {
        self.fill(now);
        self.level <= 0.0
    }

    fn fill(&mut self, now: Time) {
        let added = self.rate * now.seconds_since(self.filled);
        self.level = (self.level + added).min(capacity(self.rate));
        self.filled = self.filled.max(now);
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Rate of one team, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second, of prompts and answers.
    pub tokens: f64,
}

struct Account {
    requests: TokenBucket,
    tokens: TokenBucket,
}

/// Buckets of all teams at one entry, each filled at the entry's present share of the team's rate.
///
/// A request is charged its prompt when it is admitted and its answer when it is done, so a team
/// may overdraw its tokens by what runs and then waits.
#[derive(Default)]
pub struct TeamLimiter {
    /// Only teams of the bundle in force.
    accounts: HashMap<String, Account>,
}

impl TeamLimiter {
    /// Forgets the teams that are not among these.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.accounts.retain(|team, _| kept(team));
    }

    /// Sets the rate that this entry may grant a team. A new team begins with a full bucket.
    pub fn set_rate(&mut self, team: &str, rate: Rate, now: Time) {
        match self.accounts.get_mut(team) {
            Some(account) => {
                account.requests.set_rate(rate.requests, now);
                account.tokens.set_rate(rate.tokens, now);
            }
            None => {
                let requests = TokenBucket::new(rate.requests, now);
                let tokens = TokenBucket::new(rate.tokens, now);
                self.accounts
                    .insert(team.to_owned(), Account { requests, tokens });
            }
        }
    }

    /// Requests and tokens that a team has left.
    pub fn remaining(&mut self, team: &str, now: Time) -> [f64; 2] {
        let account = self.accounts.get_mut(team);
        account.map_or([0.0; 2], |it| {
            [it.requests.level(now), it.tokens.level(now)]
        })
    }

    /// Admits a request with a prompt of `tokens`, or says why not.
    pub fn admit(&mut self, team: &str, tokens: f64, now: Time) -> Result<(), Kind> {
        let account = self.accounts.get_mut(team).ok_or(Kind::NotFound)?;
        if account.tokens.is_empty(now) || !account.requests.try_take(1.0, now) {
            return Err(Kind::RateLimited);
        }
        account.tokens.charge(tokens, now);
        Ok(())
    }

    /// Charges the tokens of an answer.
    pub fn charge(&mut self, team: &str, tokens: f64, now: Time) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.tokens.charge(tokens, now);
        }
    }
}

/// Whether a request of a class (0 is the most important) is shed while `running` of `slots` are
/// taken: each class leaves a share of the slots to those above it, so the lowest goes first.
pub fn should_shed(class: u8, running: u32, slots: u32) -> bool {
    let usable = 1.0 - HEADROOM * f64::from(class);
    let bound = (f64::from(slots) * usable.max(HEADROOM)).max(1.0);
    bound <= f64::from(running)
}
