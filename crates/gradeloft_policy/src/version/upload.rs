//! Which peer's request for a chunk is served when.

use std::collections::VecDeque;

/// Requests that wait for each slot before peers are sent elsewhere.
const WAITING_PER_SLOT: usize = 2;

/// Upload slots of one agent: a bounded number of chunks go out at once, a bounded number wait.
///
/// ```
/// use gradeloft_policy::version::upload::{UploadSlots, Admission};
/// let mut slots = UploadSlots::new(1);
/// assert_eq!(slots.request("a"), Admission::Granted);
/// assert_eq!(slots.request("b"), Admission::Queued);
/// assert_eq!(slots.release(), Some("b"));
/// ```
pub struct UploadSlots<T> {
    free: usize,
    /// First come, first served; at most [`WAITING_PER_SLOT`] for each slot.
    waiting: VecDeque<T>,
    max_waiting: usize,
}

/// What becomes of a request for a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Too many wait: ask another peer.
    Busy,
    /// It waits; [`UploadSlots::release`] gives it back when its turn comes.
    Queued,
    /// It has a slot.
    Granted,
}

impl<T> UploadSlots<T> {
    /// So many slots.
    pub fn new(slots: usize) -> UploadSlots<T> {
        UploadSlots {
            free: slots,
            waiting: VecDeque::new(),
            max_waiting: slots * WAITING_PER_SLOT,
        }
    }

    /// A peer asks for a chunk.
    pub fn request(&mut self, request: T) -> Admission {
        if 0 < self.free {
            self.free -= 1;
            return Admission::Granted;
        }
        if self.max_waiting <= self.waiting.len() {
            return Admission::Busy;
        }
        self.waiting.push_back(request);
        Admission::Queued
    }

    /// A slot is free again; gives the request that takes it over.
    pub fn release(&mut self) -> Option<T> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.free += 1;
        }
        next
    }
}
