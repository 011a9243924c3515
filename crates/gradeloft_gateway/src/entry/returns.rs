//! Reservations for callers that were refused and return, for services whose requests are ranked.

use std::{cell::RefMut, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::{Time, duration_ms},
    process::replicas::ReplicaKey,
    request::{
        forecast,
        reservation::{Answer, Ledger, Refused},
    },
};

use super::{Entry, forward::Job};
use crate::metrics::Reason;

impl Entry {
    /// Returns the ledger of a service; `None` unless its requests are ranked and run a model.
    fn ledger(&self, service: &Rc<str>) -> Option<RefMut<'_, Ledger>> {
        if !self.ranks_requests_for(service) || self.speed(service).is_none() {
            return None;
        }
        let ledgers = self.returns.borrow_mut();
        Some(RefMut::map(ledgers, |it| {
            it.entry(Rc::clone(service)).or_default()
        }))
    }

    /// Records a received request, and uses up a booking if its caller returns at the booked time.
    pub(super) fn receive_return(&self, job: &mut Job) {
        let now = self.node.clock.now();
        let Some(mut ledger) = self.ledger(&job.service) else {
            return;
        };
        let left = job.deadline.since(now);
        job.returned = ledger.receive(job.precedence, job.age, left, now);
    }

    /// Records that a request no longer takes a slot at a replica.
    pub(super) fn record_freed_slot(&self, key: ReplicaKey) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(key) else {
            return;
        };
        if let Some(mut ledger) = self.ledger(&replica.listing.service) {
            ledger.record_freed(self.node.clock.now());
        }
    }

    /// Books the return of a refused caller; `None` for services whose requests are not ranked.
    pub(super) fn book_return(&self, job: &Job, room_in: Duration) -> Option<Answer> {
        let now = self.node.clock.now();
        let speed = self.speed(&job.service)?;
        let slots = self.slots_of(&job.service)?;
        let response_ms = forecast::response_ms(&speed, slots, job.prompt_tokens);
        let refused = Refused {
            precedence: job.precedence,
            age: job.age,
            left: job.deadline.since(now),
            response: duration_ms(response_ms),
            room_in,
        };
        let mut ledger = self.ledger(&job.service)?;
        Some(self.node.with_rng(|rng| ledger.refuse(refused, now, rng)))
    }

    /// Lets bookings expire and counts them, and drops ledgers of services whose requests are no
    /// longer ranked.
    pub(super) fn expire_returns(&self, now: Time) {
        self.returns.borrow_mut().retain(|service, ledger| {
            let counts = ledger.take_counts(now);
            for (reason, count) in [
                ("booked", counts.booked),
                ("kept", counts.kept),
                ("expired", counts.expired),
                ("unbooked", counts.unbooked),
            ] {
                let returns = &self.node.metrics.returns;
                returns.get_or_create(&Reason { reason }).inc_by(count);
            }
            self.ranks_requests_for(service)
        });
    }
}
