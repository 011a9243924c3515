//! Requests in flight at replicas.

use std::{cell::Cell, rc::Rc};

use gradeloft_policy::process::{backpressure::SendPermit, replicas::ReplicaKey};
use slog::info;
use tokio_util::sync::CancellationToken;

use super::{Entry, quarantine::Evidence};
use crate::logs::Topic;

impl Entry {
    /// Counts a request and its prompt tokens as in flight at a replica until the guard is dropped.
    pub fn track_in_flight(self: &Rc<Entry>, key: ReplicaKey, prompt_tokens: f64) -> InFlightGuard {
        let now = self.node.clock.now();
        let mut permit = None;
        if let Some(replica) = self.replicas.borrow_mut().get_mut(key) {
            if replica.own_requests == 0 {
                replica.silent_since = now;
            }
            replica.own_requests += 1;
            replica.own_waiting += 1;
            permit = Some(replica.throttle.begin_request(now));
            replica.own_waiting_tokens += prompt_tokens;
        }
        let mut restart_tokens = self.restart_tokens.borrow_mut();
        InFlightGuard {
            waiting: Cell::new(true),
            completed: Cell::new(false),
            entry: Rc::clone(self),
            key,
            prompt_tokens,
            permit,
            replica_restarted: restart_tokens.entry(key).or_default().clone(),
        }
    }

    /// Handles the restart of a replica: requests in flight at its previous start (`replaced`) no
    /// longer get a response.
    pub(super) fn replica_restarted(&self, replaced: ReplicaKey) {
        let token = self.restart_tokens.borrow_mut().remove(&replaced);
        if let Some(log) = self.node.logs.line(Topic::State) {
            info!(log, "replica started again"; "had_requests" => token.is_some());
        }
        if let Some(token) = token {
            token.cancel();
        }
        self.replica_ended(replaced, Evidence::StartedAgain);
    }

    /// Drops the restart signals of replicas that are no longer listed; such a replica finishes its
    /// requests in flight.
    pub(super) fn prune_restart_tokens(&self) {
        let replicas = self.replicas.borrow();
        let mut restart_tokens = self.restart_tokens.borrow_mut();
        restart_tokens.retain(|key, _| replicas.get(*key).is_some());
    }
}

/// Guard that counts a request as in flight at a replica.
pub struct InFlightGuard {
    entry: Rc<Entry>,
    key: ReplicaKey,
    prompt_tokens: f64,
    /// Permission to send the request; `None` if the replica was gone.
    permit: Option<SendPermit>,
    /// Whether the response has not begun.
    waiting: Cell<bool>,
    /// Whether the response is complete.
    completed: Cell<bool>,
    /// Cancelled once the replica has restarted.
    replica_restarted: CancellationToken,
}

impl InFlightGuard {
    /// Waits until the replica has restarted, which loses the request.
    pub async fn wait_for_restart(&self) {
        self.replica_restarted.cancelled().await;
    }

    /// Returns whether the request may still be sent, after the time that its connection took.
    pub fn still_permits(&self) -> bool {
        let replicas = self.entry.replicas.borrow();
        let replica = replicas.get(self.key).zip(self.permit);
        let now = self.entry.node.clock.now();
        replica.is_none_or(|(replica, permit)| replica.throttle.still_permits(permit, now))
    }

    /// Records that the response is complete.
    pub fn response_completed(&self) {
        self.completed.set(true);
    }

    /// Records that the response has begun.
    pub fn response_begun(&self) {
        let mut replicas = self.entry.replicas.borrow_mut();
        if let Some(replica) = replicas.get_mut(self.key)
            && self.waiting.replace(false)
        {
            replica.own_waiting -= 1;
            replica.own_waiting_tokens -= self.prompt_tokens;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let answered = self.completed.get() || !self.waiting.get();
        self.response_begun();
        let mut service = None;
        self.entry.record_freed_slot(self.key);
        if let Some(replica) = self.entry.replicas.borrow_mut().get_mut(self.key) {
            replica.own_requests -= 1;
            service = Some(Rc::clone(&replica.listing.service));
            if let Some(permit) = self.permit {
                replica.throttle.request_ended(permit);
            }
        }
        if let Some(service) = service {
            self.entry.request_ended(&service, answered);
        }
    }
}
