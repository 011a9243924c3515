//! Shares of teams in the replica time of services whose requests are ranked.

use std::rc::Rc;

use gradeloft_policy::clock::Time;

use super::{
    Entry,
    forward::{self, Job},
};

impl Entry {
    /// Counts a try of a request, as received or repeated by this entry, towards the demand of its
    /// team.
    pub(super) fn count_team_demand(&self, job: &Job) {
        if !self.ranks_requests_for(&job.service) {
            return;
        }
        let Some(contender) = forward::contender(self, job) else {
            return;
        };
        let now = self.node.clock.now();
        let mut team_shares = self.team_shares.borrow_mut();
        let shares = team_shares.entry(Rc::clone(&job.service)).or_default();
        let (precedence, team) = (contender.precedence, contender.team);
        shares.count(precedence, team, contender.work_ms, now);
    }

    /// Returns the fraction of the demand of a request's team that is admitted, while the fraction
    /// `admitted` of all demand of its precedence is admitted. Both are equal for services whose
    /// requests are not ranked.
    pub fn team_fraction(&self, job: &Job, admitted: f64) -> f64 {
        let now = self.node.clock.now();
        let contender = forward::contender(self, job);
        let team_shares = self.team_shares.borrow();
        let shares = team_shares.get(&job.service);
        shares.zip(contender).map_or(admitted, |(shares, it)| {
            shares.fraction(it.precedence, it.team, admitted, now)
        })
    }

    /// Drops the demand of teams that stopped, and of services whose requests are no longer
    /// ranked.
    pub(super) fn expire_team_shares(&self, now: Time) {
        self.team_shares.borrow_mut().retain(|service, shares| {
            shares.expire(now);
            !shares.is_empty() && self.ranks_requests_for(service)
        });
    }
}
