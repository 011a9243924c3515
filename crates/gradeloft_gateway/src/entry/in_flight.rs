//! Requests that run at replicas, counted for as long as they do.

use std::{cell::Cell, rc::Rc};

use gradeloft_policy::process::replicas::ReplicaKey;
use slog::info;
use tokio_util::sync::CancellationToken;

use super::{Entry, quarantine::Evidence};
use crate::logs::Topic;

impl Entry {
    /// Counts a request with a prompt as running at a replica until the guard is dropped.
    pub fn running(self: &Rc<Entry>, key: ReplicaKey, prompt_tokens: f64) -> Running {
        let now = self.node.clock.now();
        if let Some(replica) = self.replicas.borrow_mut().get_mut(key) {
            if replica.own_requests == 0 {
                replica.silent_since = now;
            }
            replica.own_requests += 1;
            replica.own_waiting += 1;
            replica.note_sent(self.node.clock.now());
            replica.own_waiting_tokens += prompt_tokens;
        }
        let mut starts = self.restart_tokens.borrow_mut();
        Running {
            waiting: Cell::new(true),
            entry: Rc::clone(self),
            key,
            prompt_tokens,
            ended: starts.entry(key).or_default().clone(),
        }
    }

    /// The start of a replica that `ended` names is over: what was under way there gets no answer any more.
    pub(super) fn replica_restarted(&self, ended: ReplicaKey) {
        let token = self.restart_tokens.borrow_mut().remove(&ended);
        if let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "replica started again"; "had_requests" => token.is_some());
        }
        if let Some(token) = token {
            token.cancel();
        }
        self.ended(ended, Evidence::StartedAgain);
    }

    /// Forgets the starts of replicas that are gone, which finish what runs there.
    pub(super) fn forget_starts(&self) {
        let replicas = self.replicas.borrow();
        let mut starts = self.restart_tokens.borrow_mut();
        starts.retain(|key, _| replicas.get(*key).is_some());
    }
}

/// A request that runs at a replica.
pub struct Running {
    entry: Rc<Entry>,
    key: ReplicaKey,
    prompt_tokens: f64,
    /// Whether its answer has not begun.
    waiting: Cell<bool>,
    /// Cancelled once the replica has started again.
    ended: CancellationToken,
}

impl Running {
    /// Waits until the replica has started again: it knows nothing of the request any more.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

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
            replica.own_requests -= 1;
        }
        self.entry.room_freed.notify_waiters();
    }
}
