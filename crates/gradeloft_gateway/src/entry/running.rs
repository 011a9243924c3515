//! Requests that run at replicas, counted for as long as they do.

use std::{cell::Cell, rc::Rc};

use gradeloft_policy::process::replicas::ReplicaKey;

use super::Entry;

impl Entry {
    /// Counts a request with a prompt as running at a replica until the guard is dropped.
    pub fn running(self: &Rc<Entry>, key: ReplicaKey, prompt_tokens: f64) -> Running {
        let now = self.node.clock.now();
        if let Some(replica) = self.replicas.borrow_mut().get_mut(key) {
            if replica.own == 0 {
                replica.heard = now;
            }
            replica.own += 1;
            replica.own_waiting += 1;
            replica.own_waiting_tokens += prompt_tokens;
        }
        Running {
            waiting: Cell::new(true),
            entry: Rc::clone(self),
            key,
            prompt_tokens,
        }
    }
}

/// A request that runs at a replica.
pub struct Running {
    entry: Rc<Entry>,
    key: ReplicaKey,
    prompt_tokens: f64,
    /// Whether its answer has not begun.
    waiting: Cell<bool>,
}

impl Running {
    /// Its answer has begun.
    pub fn begun(&self) {
        let mut replicas = self.entry.replicas.borrow_mut();
        if let Some(replica) = replicas.get_mut(self.key)
            && self.waiting.replace(false)
        {
            replica.own_waiting -= 1;
            replica.own_waiting_tokens -= self.prompt_tokens;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.begun();
        if let Some(replica) = self.entry.replicas.borrow_mut().get_mut(self.key) {
            replica.own -= 1;
        }
    }
}
