//! Limits the number of repeated requests to the replicas of a service.
//!
//! In any window, all entries together may repeat a fixed ratio of the requests, plus a fixed
//! number. Each entry spends at most that ratio of the requests that it received itself, plus its
//! share of the fixed number, so the limit holds without coordination. It also holds while entries
//! join, leave or can't reach each other, since the share is based on the highest number of entries
//! ever known at once. A process loses its record of past repeats when it ends; its successor
//! assumes that all allowed repeats were used.

use std::collections::VecDeque;

use crate::clock::Time;

/// Number of buckets in a window. One more bucket is kept to cover a window that straddles buckets.
const BUCKETS: u64 = 20;
/// Share of the allowance that is used. The rest is for a process that restarts within the window,
/// since its predecessor may have used its share.
const USED_SHARE: f64 = 0.8;

/// Limits for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats per request.
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

/// Requests and repeats of one entry to one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self, bounds: Bounds, now: Time) {
        self.bucket(bounds, now).requests += 1;
    }

    /// Takes one repeat from the budget of one of `entries` entries; returns `false` if no repeat
    /// is left. `now` counts from the start of the process. While the number of entries is unknown,
    /// only the ratio applies.
    pub fn repeat(&mut self, bounds: Bounds, entries: Option<usize>, now: Time) -> bool {
        self.bucket(bounds, now);
        let requests: u64 = self.buckets.iter().map(|it| it.requests).sum();
        let repeats: u64 = self.buckets.iter().map(|it| it.repeats).sum();
        let part = entries.map_or(0.0, |it| bounds.slack / it.max(1) as f64);
        let begun = Time::ZERO.after_ms(bounds.window_ms) <= now;
        let used = if begun { USED_SHARE } else { 1.0 - USED_SHARE };
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
