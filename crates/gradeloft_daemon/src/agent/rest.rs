//! Pauses that the endpoint asks for when it refuses a request.
//!
//! The agent is the only process that connects to its endpoint, so it keeps the pause for all
//! entries: it refuses their requests at once, and announces no capacity.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::clock::Time;
use slog::info;

use super::Agent;

impl Agent {
    /// Returns whether the endpoint takes a request now: outside a pause, and after one if no other
    /// request probes the endpoint.
    pub(super) fn endpoint_takes_requests(&self) -> bool {
        self.rest.borrow().allows(self.node.clock.now())
    }

    /// Keeps the pause that the endpoint asked for with a refusal.
    pub(super) fn pause_endpoint(self: &Rc<Agent>, pause: Duration) {
        let now = self.node.clock.now();
        let began = self.rest.borrow_mut().ask(pause, now);
        if !began {
            return;
        }
        info!(self.node.log, "endpoint rests"; "pause_ms" => pause.as_millis() as u64);
        self.announce_capacity(0);
        let agent = Rc::clone(self);
        self.node.scope.spawn(async move {
            while let Some(end) = agent.pause_end() {
                actix_rt::time::sleep(agent.node.clock.until(end)).await;
            }
            agent.announce_capacity(agent.settings.running as u32);
        });
    }

    /// Records that the endpoint did not refuse a request that was sent at `sent`.
    pub(super) fn endpoint_accepted(&self, sent: Time) {
        self.rest.borrow_mut().accepted(sent);
    }

    fn pause_end(&self) -> Option<Time> {
        self.rest.borrow().ends(self.node.clock.now())
    }

    fn announce_capacity(&self, capacity: u32) {
        self.node.notice.send_modify(|it| it.capacity = capacity);
    }
}
