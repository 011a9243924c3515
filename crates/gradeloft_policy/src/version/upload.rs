//! Admission of peers' requests for chunks.

use std::collections::VecDeque;

/// Maximum number of requests that wait for each slot; further ones are sent to other peers.
const WAITING_PER_SLOT: usize = 2;

/// Upload slots of one agent, with a bounded queue of requests that wait for one.
///
/// ```
/// use gradeloft_policy::version::upload::{Admission, UploadSlots};
/// let mut slots = UploadSlots::new(1);
/// assert_eq!(slots.request("a"), Admission::Granted);
/// assert_eq!(slots.request("b"), Admission::Queued);
/// assert_eq!(slots.release(), Some("b"));
/// ```
pub struct UploadSlots<T> {
    free: usize,
    /// FIFO queue of at most [`WAITING_PER_SLOT`] requests for each slot.
    waiting: VecDeque<T>,
    max_waiting: usize,
}

/// Outcome of a request for an upload slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The queue is full: the requesting peer has to try another agent.
    Busy,
    /// The request waits; [`UploadSlots::release`] returns it when a slot is free.
    Queued,
    /// The request has a slot.
    Granted,
}

impl<T> UploadSlots<T> {
    /// Creates an empty queue for `slots` slots.
    pub fn new(slots: usize) -> UploadSlots<T> {
        UploadSlots {
            free: slots,
            waiting: VecDeque::new(),
            max_waiting: slots * WAITING_PER_SLOT,
        }
    }

    /// Requests a slot for the upload of a chunk to a peer.
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

    /// Releases a slot, and returns the queued request that takes it over.
    pub fn release(&mut self) -> Option<T> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.free += 1;
        }
        next
    }
}
