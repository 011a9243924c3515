//! Reservations of room for callers that were refused and return.
//!
//! A refused caller is booked into the first time slice ahead that has room, and is asked to
//! return then. A caller that returns then goes before newcomers of its precedence, and newcomers leave
//! the slots free that are needed for expected returns.
//!
//! Callers return to entries at random, not to the entry that refused them. Every entry books
//! alike, so the bookings that are due here are an estimate of the returns here. Returns exceed
//! them at random, so a ledger accepts more than were booked here, up to a bound, and makes up for
//! that by its bookings that nobody claims. The bookings of an entry that ends are lost; the
//! callers are then among these additional returns of other entries.
//!
//! No message identifies a booking. The age of a caller shows whether it waited: bookings are at
//! least one slice earlier than the bound at which callers without a booking are asked to return,
//! and the ledger knows the shortest wait among the bookings that were due of late. A caller that
//! returns earlier is treated like a newcomer.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::Rng;

use super::contention::Precedence;
use crate::{clock::Time, process::slot_split::RequestRate};

/// Length of a slice, in milliseconds: about the time in which a busy entry frees a slot, and a
/// quarter of a typical latency objective, so that a return can be in time.
const SLICE_MS: u64 = 100;
/// Shortest delay before a return, in milliseconds: about the time until a busy replica frees a
/// slot.
const MIN_DELAY_MS: u64 = 60;
/// Longest delay before a return, as a share of the caller's remaining time. Callers ignore longer
/// delays.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;
/// Slices after its own in which a booking can be claimed: callers connect anew and pass a network
/// on their return.
const GRACE_SLICES: u64 = 2;
/// Most slices ahead, for deadlines of up to 30 s.
const MAX_SLICES: u64 = 100;
/// Part of the freed slots that is booked at most. Returned callers are mostly late, while each
/// newcomer can still be in time; with all slots booked, no answer would be in time once a shortage
/// lasts longer than the latency objective.
const BOOKED_SHARE: f64 = 0.5;
/// Window of moving averages, in seconds: a shortage that begins is seen after half a second, and
/// 25 freed slots a second vary by 14 % at random.
const WINDOW_S: f64 = 2.0;
/// Standard deviations by which returns at one entry may exceed its bookings.
const EXCESS_DEVIATIONS: f64 = 2.0;
/// Time for which a returned caller waits for a slot ahead of newcomers, in milliseconds: half of a
/// typical latency objective.
pub const CLAIM_WAIT_MS: u64 = 200;
/// Allowance for the accuracy of a caller's age, in milliseconds: 1 % of a timeout of 5 s.
const AGE_TOLERANCE_MS: u64 = 50;

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Precedence of the request.
    pub precedence: Precedence,
    /// Time since the first try.
    pub age: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Time from the return to the end of the response.
    pub response: Duration,
    /// Time during which no replica will have room; zero if unknown.
    pub room_in: Duration,
}

/// Response to a refused caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Delay before the return.
    pub retry_after: Duration,
    /// Whether room is reserved for the return.
    pub booked: bool,
}

/// Numbers of events since the last [`Ledger::take_counts`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Refused callers with a booking.
    pub booked: u64,
    /// Returned callers that were accepted as booked.
    pub kept: u64,
    /// Bookings that nobody claimed.
    pub expired: u64,
    /// Refused callers without a booking.
    pub unbooked: u64,
}

/// Bookings that are due in the same slice.
#[derive(Clone, Debug, Default)]
struct Slice {
    /// Precedences of the callers that have not returned.
    unclaimed: Vec<Precedence>,
    /// Shortest delay of a booking.
    least_delay: Option<Duration>,
}

impl Slice {
    fn book(&mut self, precedence: Precedence, delay: Duration) {
        self.unclaimed.push(precedence);
        self.least_delay = Some(self.least_delay.map_or(delay, |it| it.min(delay)));
    }
}

/// Bookings of one service at one entry.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Number of the first slice in `slices`; slices are counted since the start of the process.
    first: u64,
    /// Slices from the oldest that can be claimed; at most [`MAX_SLICES`] ahead.
    slices: VecDeque<Slice>,
    /// Shortest delays of bookings in slices that passed within [`WINDOW_S`], by slice number.
    passed_delays: VecDeque<(u64, Duration)>,
    /// Slots that became free.
    freed: RequestRate,
    /// First tries, by precedence. Entries are bounded by the configuration.
    newcomers: BTreeMap<Precedence, RequestRate>,
    /// Bookings that were claimed or expired.
    due: RequestRate,
    /// Returned callers that were accepted.
    kept: RequestRate,
    /// Returns that were accepted beyond the bookings here, less the bookings that expired since.
    excess: f64,
    counts: Counts,
}

impl Default for Ledger {
    fn default() -> Ledger {
        let rate = RequestRate::with_window(WINDOW_S);
        Ledger {
            first: 0,
            slices: VecDeque::new(),
            passed_delays: VecDeque::new(),
            freed: rate,
            newcomers: BTreeMap::new(),
            due: rate,
            kept: rate,
            excess: 0.0,
            counts: Counts::default(),
        }
    }
}

impl Ledger {
    /// Records that a slot at a replica became free.
    pub fn record_freed(&mut self, now: Time) {
        self.freed.count(now);
    }

    /// Books the return of a refused caller if there will be room, and otherwise asks it to return
    /// at the bound. Each caller is booked once: a caller that returned and is refused again is
    /// asked to return when there will be room, which is not reserved.
    pub fn refuse(&mut self, refused: Refused, now: Time, rng: &mut impl Rng) -> Answer {
        self.advance(now);
        let bound = refused.left.mul_f64(MAX_DELAY_SHARE);
        let Some(number) = self.first_with_room(refused, bound, now) else {
            self.counts.unbooked += 1;
            return Answer {
                retry_after: bound,
                booked: false,
            };
        };
        let within = (SLICE_MS as f64 * rng.random::<f64>()) as u64;
        let due = slice_start(number).after_ms(within);
        let answer = Answer {
            retry_after: due.since(now).max(Duration::from_millis(MIN_DELAY_MS)),
            booked: is_first_try(refused.age),
        };
        if answer.booked {
            self.slice_mut(number)
                .book(refused.precedence, answer.retry_after);
            self.counts.booked += 1;
        } else {
            self.counts.unbooked += 1;
        }
        answer
    }

    /// Records a received request, and returns whether its caller returns as booked; it goes before
    /// newcomers of its precedence. `age` is the time since the caller's first try, and `left` the
    /// time until its deadline. Uses up a booking.
    pub fn receive(
        &mut self,
        precedence: Precedence,
        age: Duration,
        left: Duration,
        now: Time,
    ) -> bool {
        self.advance(now);
        if is_first_try(age) {
            let rate = self.newcomers.entry(precedence);
            rate.or_insert_with(|| RequestRate::with_window(WINDOW_S))
                .count(now);
            return false;
        }
        let bound = (age + left).mul_f64(MAX_DELAY_SHARE);
        let tolerance = Duration::from_millis(AGE_TOLERANCE_MS);
        let least_delay = self.least_delay(now);
        let waited = least_delay.is_some_and(|it| it <= age + tolerance && age < bound);
        let kept = waited && (self.claim_due(precedence, now) || self.claim_excess(now));
        if kept {
            self.kept.count(now);
            self.counts.kept += 1;
        }
        kept
    }

    /// Returns the number of slots that newcomers of a precedence leave to the callers that are due
    /// in this slice: those that won't become free within [`CLAIM_WAIT_MS`] of a return. A free
    /// slot that is kept for a later return serves nobody until then.
    pub fn reserved(&self, precedence: Precedence, now: Time) -> f64 {
        let unclaimed = self.slice(slice_number(now)).map(|it| &it.unclaimed);
        let due = unclaimed.into_iter().flatten();
        let expected = due.filter(|it| **it <= precedence).count() as f64 * self.return_share(now);
        let freed = self.freed.rate(now) * CLAIM_WAIT_MS as f64 / 1000.0;
        (expected - freed).max(0.0)
    }

    /// Lets bookings expire, and returns the numbers of events since the last call.
    pub fn take_counts(&mut self, now: Time) -> Counts {
        self.advance(now);
        std::mem::take(&mut self.counts)
    }

    /// Returns the share of booked callers that return, by those of late.
    fn return_share(&self, now: Time) -> f64 {
        let (due, kept) = (self.due.rate(now), self.kept.rate(now));
        // Less than one booking in the window shows nothing.
        if due * WINDOW_S < 1.0 {
            return 1.0;
        }
        (kept / due).min(1.0)
    }

    /// Returns the first slice in which one more return can be served before its deadline, without
    /// more bookings than room up to any slice. Room is counted from now on, as unused slots don't
    /// last; over several slices, it also adds up at an entry with less than one slot per slice.
    fn first_with_room(&self, refused: Refused, bound: Duration, now: Time) -> Option<u64> {
        let current = slice_number(now);
        let earliest = now.after(refused.room_in.max(Duration::from_millis(MIN_DELAY_MS)));
        // The next slice may begin sooner than the earliest return.
        let earliest = slice_number(earliest).max(current) + 1;
        let by_bound = now.after(bound).before_ms(SLICE_MS);
        let by_deadline = now.after(refused.left.saturating_sub(refused.response));
        let end = slice_number(by_bound.min(by_deadline)).min(current + MAX_SLICES);
        let per_slice = self.room_per_s(refused.precedence, now) * SLICE_MS as f64 / 1000.0;
        let mut booked = 0;
        let mut found = None;
        for number in current + 1..end {
            booked += self.slice(number).map_or(0, |it| it.unclaimed.len());
            let room = per_slice * (number - current) as f64;
            if room < (booked + 1) as f64 {
                found = None;
            } else if earliest <= number {
                found = found.or(Some(number));
            }
        }
        found
    }

    /// Returns the slots a second that can be booked for a precedence: at most the booked share,
    /// and what newcomers of higher precedence leave.
    fn room_per_s(&self, precedence: Precedence, now: Time) -> f64 {
        let freed = self.freed.rate(now);
        let higher = self.newcomers.range(..precedence);
        let taken: f64 = higher.map(|(_, it)| it.rate(now)).sum();
        (freed * BOOKED_SHARE).min(freed - taken)
    }

    fn claim_due(&mut self, precedence: Precedence, now: Time) -> bool {
        let due = self.due_count(now);
        for slice in self.slices.iter_mut().take(due) {
            let mut unclaimed = slice.unclaimed.iter();
            if let Some(idx) = unclaimed.position(|it| *it == precedence) {
                slice.unclaimed.swap_remove(idx);
                self.due.count(now);
                return true;
            }
        }
        false
    }

    fn claim_excess(&mut self, now: Time) -> bool {
        let in_window = self.due.rate(now) * WINDOW_S;
        let most = 1.0 + EXCESS_DEVIATIONS * in_window.sqrt();
        let accepted = self.excess + 1.0 <= most;
        if accepted {
            self.excess += 1.0;
        }
        accepted
    }

    /// Lets the bookings of slices expire whose grace is over.
    fn advance(&mut self, now: Time) {
        let oldest = slice_number(now).saturating_sub(GRACE_SLICES);
        while self.first < oldest {
            let Some(slice) = self.slices.pop_front() else {
                self.first = oldest;
                break;
            };
            if let Some(delay) = slice.least_delay {
                self.passed_delays.push_back((self.first, delay));
            }
            self.expire(slice.unclaimed.len(), now);
            self.first += 1;
        }
        let window = (WINDOW_S * 1000.0) as u64 / SLICE_MS;
        self.passed_delays.retain(|it| oldest <= it.0 + window);
    }

    fn expire(&mut self, unclaimed: usize, now: Time) {
        self.counts.expired += unclaimed as u64;
        for _ in 0..unclaimed {
            self.due.count(now);
        }
        self.excess = (self.excess - unclaimed as f64).max(0.0);
    }

    /// Returns the shortest delay of the bookings that are due or were due of late.
    fn least_delay(&self, now: Time) -> Option<Duration> {
        let due = self.due_slices(now).filter_map(|it| it.least_delay);
        let passed = self.passed_delays.iter().map(|it| it.1);
        due.chain(passed).min()
    }

    /// Returns the slices that can be claimed now.
    fn due_slices(&self, now: Time) -> impl Iterator<Item = &Slice> {
        self.slices.iter().take(self.due_count(now))
    }

    fn due_count(&self, now: Time) -> usize {
        (slice_number(now) + 1).saturating_sub(self.first) as usize
    }

    fn slice(&self, number: u64) -> Option<&Slice> {
        self.slices.get(number.checked_sub(self.first)? as usize)
    }

    fn slice_mut(&mut self, number: u64) -> &mut Slice {
        let idx = number.saturating_sub(self.first) as usize;
        if self.slices.len() <= idx {
            self.slices.resize_with(idx + 1, Slice::default);
        }
        &mut self.slices[idx]
    }
}

/// Returns whether a caller is a newcomer by its age: none is asked to return so soon.
fn is_first_try(age: Duration) -> bool {
    age < Duration::from_millis(MIN_DELAY_MS)
}

fn slice_number(at: Time) -> u64 {
    at.0 / (SLICE_MS * 1000)
}

fn slice_start(number: u64) -> Time {
    Time::ZERO.after_ms(number * SLICE_MS)
}
