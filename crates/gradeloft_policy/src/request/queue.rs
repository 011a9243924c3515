//! Queue of the requests that wait at one entry for a replica of one service.
//!
//! Resumed streams come first, as their responses have begun. Then the operator's precedence
//! decides, then returned callers come before newcomers, then the earliest goal, then arrival.
//! Services whose requests the operator does not rank are served by arrival.
//!
//! Waiters look for room in rounds, one after the other in the queue's order. A waiter that finds
//! no room stays in its place, and the next one looks, so a long prompt doesn't block shorter ones
//! behind it. A waiter that smaller requests have passed with as much replica time as it takes
//! itself holds back those behind it for [`HOLD_MS`], so that it doesn't starve.

use std::{collections::BTreeMap, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::contention::{Contender, Precedence};
use crate::clock::{Time, duration_ms};

/// Time for which a waiter that was passed too often holds back those behind it, in milliseconds:
/// a busy replica completes a request every 125 ms, so each replica has room once in this time.
pub const HOLD_MS: u64 = 125;
/// Share of a waiter's replica time below which a request counts as smaller. Among requests of
/// similar size, room that one can't use is not kept free by holding back the others.
const SMALLER_SHARE: f64 = 0.5;
/// Shortest time between rounds that newcomers and timers begin, in milliseconds: well below any
/// latency objective, so that the work of a round doesn't grow with the request rate.
const ROUND_INTERVAL_MS: u64 = 5;
/// Weight of one interval in the mean interval between ends of requests. The mean covers about
/// eight ends, which is a second at an entry that completes a few requests in each objective.
const SMOOTHING: f64 = 0.125;
/// Least share of the slots that counts as left to a precedence, so that its requests are tried
/// again once the more urgent ones become fewer.
const MIN_SHARE_LEFT: f64 = 0.05;
/// Age from which the mean interval is unknown, in milliseconds. Requests that compete for
/// replicas last a few seconds, so an older interval belongs to another load.
const INTERVAL_MAX_AGE_MS: u64 = 10_000;

new_key_type! {
    /// Key of a waiting request.
    pub struct WaiterKey;
}

/// Order of a service's waiting requests, behind resumed streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// By arrival.
    Arrival,
    /// By precedence, return, goal and arrival. Requests have to be in time given those ahead.
    Precedence,
}

/// A request that asks for a place in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entrant {
    /// The request as a contender for replicas.
    pub contender: Contender,
    /// Whether the response has begun and resumes at another replica.
    pub resumed: bool,
    /// Forecast time from the start at a replica with one free slot to the first token.
    pub first_token: Duration,
}

/// Place in the order; the lowest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    begins: bool,
    precedence: Precedence,
    newcomer: bool,
    goal: Time,
    arrival: u64,
}

impl Rank {
    fn of(order: Order, entrant: &Entrant, arrival: u64) -> Rank {
        let by_arrival = Rank {
            begins: !entrant.resumed,
            precedence: Precedence::default(),
            newcomer: false,
            goal: Time::ZERO,
            arrival,
        };
        match order {
            Order::Arrival => by_arrival,
            Order::Precedence => Rank {
                precedence: entrant.contender.precedence,
                newcomer: !entrant.contender.returned,
                goal: entrant.contender.goal,
                ..by_arrival
            },
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    entrant: Entrant,
    order: Order,
    rank: Rank,
    /// Whether the request waits for room, rather than for its first turn.
    admitted: bool,
    /// Last round in which the request looked for room; `None` before its first turn.
    round: Option<u64>,
    /// Replica time of the smaller requests that passed since the last hold, in milliseconds.
    passed_ms: f64,
    /// End of the last hold.
    held_until: Time,
}

impl Waiter {
    /// Returns whether the request can still be in time.
    fn timely(&self, now: Time) -> bool {
        now.after(self.entrant.first_token) <= self.entrant.contender.goal
    }

    fn holds(&self, now: Time) -> bool {
        now < self.held_until && self.timely(now)
    }
}

/// Mean interval between the ends of an entry's requests while others wait.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    mean_ms: Option<f64>,
    /// Time of the last end, or since which requests wait; `None` while none wait.
    since: Option<Time>,
    observed_at: Time,
}

impl Drain {
    fn observe(&mut self, now: Time) {
        if let Some(since) = self.since {
            self.since = Some(now);
            self.mean_ms = Some(self.updated(since, now));
            self.observed_at = now;
        }
    }

    fn updated(&self, since: Time, now: Time) -> f64 {
        let gap_ms = now.seconds_since(since) * 1000.0;
        let mean_ms = self.fresh(now).unwrap_or(gap_ms);
        mean_ms + SMOOTHING * (gap_ms - mean_ms)
    }

    fn fresh(&self, now: Time) -> Option<f64> {
        let expires = self.observed_at.after_ms(INTERVAL_MAX_AGE_MS);
        self.mean_ms.filter(|_| now < expires)
    }

    /// Returns the mean interval, in milliseconds. A current gap that is longer counts as if it
    /// ended now.
    fn interval_ms(&self, now: Time) -> Option<f64> {
        let mean_ms = self.fresh(now)?;
        let with_gap = self.since.map_or(mean_ms, |it| self.updated(it, now));
        Some(mean_ms.max(with_gap))
    }
}

/// Shares of the slots that requests of each precedence took recently.
///
/// Those more urgent go on arriving while a request waits, so only the rest of the slots that become
/// free is left to it.
#[derive(Clone, Debug, Default)]
struct Shares(BTreeMap<Precedence, f64>);

impl Shares {
    fn count(&mut self, precedence: Precedence) {
        for share in self.0.values_mut() {
            *share -= SMOOTHING * *share;
        }
        *self.0.entry(precedence).or_default() += SMOOTHING;
    }

    /// Returns the share of the slots that requests which are more urgent than `precedence` leave.
    fn left_to(&self, precedence: Precedence) -> f64 {
        let total: f64 = self.0.values().sum();
        let more_urgent: f64 = self.0.range(..precedence).map(|it| it.1).sum();
        if total <= 0.0 {
            return 1.0;
        }
        (1.0 - more_urgent / total).max(MIN_SHARE_LEFT)
    }
}

/// Requests that wait at one entry for a replica of one service.
#[derive(Default)]
pub struct Queue {
    waiters: SlotMap<WaiterKey, Waiter>,
    /// Keys of all waiters, by rank.
    order: Vec<WaiterKey>,
    arrivals: u64,
    /// Number of the current round.
    round: u64,
    round_began: Time,
    /// Waiter that looks for room now.
    turn: Option<WaiterKey>,
    drain: Drain,
    shares: Shares,
}

impl Queue {
    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns whether a request has to wait for its turn, as others are ahead of it.
    pub fn precedes(&self, order: Order, entrant: &Entrant) -> bool {
        let rank = Rank::of(order, entrant, self.arrivals);
        let first = self.order.first().map(|it| self.waiters[*it].rank);
        first.is_some_and(|it| it < rank)
    }

    /// Adds a request. It has to be admitted by [`Queue::admit`] if it finds no room. A request
    /// that has just looked for room (`looked`) gets its next turn in the next round.
    pub fn join(&mut self, order: Order, entrant: Entrant, looked: bool, now: Time) -> WaiterKey {
        let rank = Rank::of(order, &entrant, self.arrivals);
        self.arrivals += 1;
        if self.order.is_empty() {
            self.drain.since = Some(now);
        }
        if !looked {
            self.look(now);
        }
        let idx = self
            .order
            .partition_point(|it| self.waiters[*it].rank < rank);
        let key = self.waiters.insert(Waiter {
            entrant,
            order,
            rank,
            admitted: false,
            round: looked.then_some(self.round),
            passed_ms: 0.0,
            held_until: Time::ZERO,
        });
        self.order.insert(idx, key);
        key
    }

    /// Returns the number of admitted requests ahead of a request.
    pub fn position(&self, key: WaiterKey) -> usize {
        let ahead = self.order.iter().take_while(|it| **it != key);
        ahead.filter(|it| self.waiters[**it].admitted).count()
    }

    /// Decides whether a request without room may wait, and returns the requests behind it that can
    /// no longer be in time; `None` if the request itself can't be in time.
    pub fn admit(&mut self, key: WaiterKey, now: Time) -> Option<Vec<WaiterKey>> {
        if self.waiters.get(key)?.admitted {
            return Some(Vec::new());
        }
        if !self.in_time(key, self.position(key), now) {
            return None;
        }
        self.waiters[key].admitted = true;
        Some(self.late_behind(key, now))
    }

    fn late_behind(&self, key: WaiterKey, now: Time) -> Vec<WaiterKey> {
        let mut late = Vec::new();
        let mut position = self.position(key);
        let behind = self.order.iter().skip_while(|it| **it != key).skip(1);
        for key in behind.filter(|it| self.waiters[**it].admitted) {
            if self.in_time(*key, position + 1, now) {
                position += 1;
            } else {
                late.push(*key);
            }
        }
        late
    }

    /// Returns whether a request behind `position` others is served in time, as far as known.
    fn in_time(&self, key: WaiterKey, position: usize, now: Time) -> bool {
        let waiter = &self.waiters[key];
        if waiter.entrant.resumed || waiter.order == Order::Arrival {
            return true;
        }
        let Some(interval_ms) = self.drain.interval_ms(now) else {
            return true;
        };
        let left = self.shares.left_to(waiter.entrant.contender.precedence);
        let wait_ms = (position + 1) as f64 * interval_ms / left;
        waiter.timely(now.after(duration_ms(wait_ms)))
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, key: WaiterKey) {
        if self.waiters.remove(key).is_none() {
            return;
        }
        self.order.retain(|it| *it != key);
        if self.turn == Some(key) {
            self.turn = None;
        }
        if self.order.is_empty() {
            self.drain.since = None;
        }
    }

    /// Removes a request that found room.
    pub fn place(&mut self, key: WaiterKey, now: Time) {
        let Some(placed) = self.waiters.get(key) else {
            return;
        };
        let work_ms = placed.entrant.contender.work_ms;
        let precedence = placed.entrant.contender.precedence;
        for ahead in self.order.iter().take_while(|it| **it != key) {
            let waiter = &mut self.waiters[*ahead];
            let own_ms = waiter.entrant.contender.work_ms;
            if waiter.order == Order::Arrival || own_ms * SMALLER_SHARE <= work_ms {
                continue;
            }
            waiter.passed_ms += work_ms;
            if own_ms <= waiter.passed_ms {
                waiter.passed_ms = 0.0;
                waiter.held_until = now.after_ms(HOLD_MS);
            }
        }
        self.found_room(precedence);
        self.leave(key);
    }

    /// Records that a request found room without a wait.
    pub fn found_room(&mut self, precedence: Precedence) {
        self.shares.count(precedence);
    }

    /// Records that a request of this entry has ended, which frees a slot.
    pub fn request_ended(&mut self, now: Time) {
        self.drain.observe(now);
        self.room_changed(now);
    }

    /// Begins a round, as there may be room that no waiter has looked for.
    pub fn room_changed(&mut self, now: Time) {
        self.round += 1;
        self.round_began = now;
    }

    /// Begins a round unless one began a moment ago.
    pub fn look(&mut self, now: Time) {
        if self.round_began.after_ms(ROUND_INTERVAL_MS) <= now {
            self.room_changed(now);
        }
    }

    /// Returns the next request to look for room in this round, which has the turn until it is
    /// placed, leaves, or [`Queue::found_no_room`] is called. `None` if another has the turn or the
    /// round is over.
    pub fn next_turn(&mut self, now: Time) -> Option<WaiterKey> {
        if self.turn.is_some() {
            return None;
        }
        for key in &self.order {
            let waiter = &mut self.waiters[*key];
            if waiter.round < Some(self.round) {
                waiter.round = Some(self.round);
                self.turn = Some(*key);
                break;
            }
            if waiter.holds(now) {
                break;
            }
        }
        self.turn
    }

    /// Returns whether a request ahead holds this one back.
    pub fn is_held(&self, key: WaiterKey, now: Time) -> bool {
        let mut ahead = self.order.iter().take_while(|it| **it != key);
        ahead.any(|it| self.waiters[*it].holds(now))
    }

    /// Ends the turn of a request that found no room.
    pub fn found_no_room(&mut self, key: WaiterKey) {
        if self.turn == Some(key) {
            self.turn = None;
        }
    }
}
