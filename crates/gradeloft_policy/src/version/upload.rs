//! Which peer's request for a chunk is served when.

use std::collections::VecDeque;

/// Requests that wait for each slot before peers are sent elsewhere.
const WAITING_PER_SLOT: usize = 2;

/// Upload slots of one agent: a bounded number of chunks go out at once, a bounded number wait.
///
/// ```
/// use gradeloft_policy::version::upload::{Slots, Turn};
/// let mut slots = Slots::new(1);
/// assert_eq!(slots.ask("a"), Turn::Now);
/// assert_eq!(slots.ask("b"), Turn::Later);
/// assert_eq!(slots.done(), Some("b"));
/// ```
pub struct Slots<T> {
    free: usize,
    /// First come, first served; at most [`WAITING_PER_SLOT`] for each slot.
    waiting: VecDeque<T>,
    most_waiting: usize,
}

/// What becomes of a request for a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Too many wait: ask another peer.
    Busy,
    /// It waits; [`Slots::done`] gives it back when its turn comes.
    Later,
    /// It has a slot.
    Now,
}

impl<T> Slots<T> {
    /// So many slots.
    pub fn new(slots: usize) -> Slots<T> {
        Slots {
            free: slots,
            waiting: VecDeque::new(),
            most_waiting: slots * WAITING_PER_SLOT,
        }
    }

    /// A peer asks for a chunk.
    pub fn ask(&mut self, request: T) -> Turn {
        if 0 < self.free {
            self.free -= 1;
            return Turn::Now;
        }
        if self.most_waiting <= self.waiting.len() {
            return Turn::Busy;
        }
        self.waiting.push_back(request);
        Turn::Later
    }

    /// A slot is free again; gives the request that takes it over.
    pub fn done(&mut self) -> Option<T> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.free += 1;
        }
        next
    }
}
