//! How many times more a service's replicas may be asked than there are requests for it.
//!
//! All entries together may send a ratio of the requests, and some more, again in any span of the
//! window's length. Each entry spends at most its ratio of the requests that it saw itself and its
//! part of the rest, so the sum holds without talking: also when entries come, go or can't see
//! each other, since the part is of all entries that were ever known at once. What a process spent is
//! forgotten when it ends; the one that starts in its place takes it for all that was allowed.

use std::collections::VecDeque;

use crate::clock::Time;

/// Buckets of a window. One bucket more is kept, so that a span which straddles buckets is covered.
const BUCKETS: u64 = 20;
/// Part of the allowance that is used. The rest is for a process that starts again within the window: the one before it
/// may have spent its part.
const USED: f64 = 0.8;

/// Bounds of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio in one window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// What one entry has sent to one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self, bounds: Bounds, now: Time) {
        self.bucket(bounds, now).requests += 1;
    }

    /// Takes one repeat out of the budget, as one of `entries` entries, at a time since the process started; `false` if none is
    /// left. While it is not
    /// known how many there are, none takes a part of what is beyond the ratio.
    pub fn repeat(&mut self, bounds: Bounds, entries: Option<usize>, now: Time) -> bool {
        self.bucket(bounds, now);
        let requests: u64 = self.buckets.iter().map(|it| it.requests).sum();
        let repeats: u64 = self.buckets.iter().map(|it| it.repeats).sum();
        let part = entries.map_or(0.0, |it| bounds.slack / it.max(1) as f64);
        let begun = Time::ZERO.after_ms(bounds.window_ms) <= now;
        let used = if begun { USED } else { 1.0 - USED };
        let allowed = used * (bounds.ratio * requests as f64 + part);
        if allowed < (repeats + 1) as f64 {
            return false;
        }
        self.bucket(bounds, now).repeats += 1;
        true
    }

    fn bucket(&mut self, bounds: Bounds, now: Time) -> &mut Bucket {
        let length_us = (bounds.window_ms * 1000 / BUCKETS).max(1);
        let number = now.0 / length_us;
        while self
            .buckets
            .front()
            .is_some_and(|it| it.number + BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| it.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
