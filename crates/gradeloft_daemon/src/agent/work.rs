//! Admission and dispatch of requests. The agent decides, since the view of an entry may be stale.

use std::rc::Rc;

use gradeloft_wire::{
    error::Kind,
    frame::{Job, Pin, Reply, Work},
};
use slog::info;

use super::{Agent, Endpoint, generate, service};
use crate::{metrics::Reason, transport::server::Outgoing};

/// A change of the load by the capacity divided by this number is reported to watchers at once.
const REPORT_DIVISOR: u32 = 4;

/// Runs an attempt and sends its response or error.
pub async fn handle(agent: Rc<Agent>, work: Work, outgoing: Outgoing) {
    let request = work.request;
    let result = match agent.admit(&work) {
        Ok(guard) => {
            let run = run(&agent, &work, &outgoing);
            let result = tokio::select! {
                result = run => result,
                () = outgoing.closed() => {
                    info!(agent.node.log, "cancelled"; "attempt" => %request);
                    return;
                }
            };
            drop(guard);
            result
        }
        Err(kind) => Err(kind),
    };
    if let Err(kind) = result {
        info!(agent.node.log, "attempt failed"; "attempt" => %request, "team" => &work.team,
            "kind" => kind.name(), "ran" => kind.ran().name());
        if matches!(kind, Kind::Cut | Kind::Mismatch) {
            let label = Reason {
                reason: kind.name(),
            };
            agent.node.metrics.bad_answers.get_or_create(&label).inc();
        }
        outgoing.finish(&Reply::Refused { request, kind }).await;
        return;
    }
    outgoing.end();
}

async fn run(agent: &Rc<Agent>, work: &Work, outgoing: &Outgoing) -> Result<(), Kind> {
    match (&work.job, &agent.endpoint) {
        (Job::Generate { .. }, Endpoint::Engine(engine)) => {
            generate::run(agent, &**engine, work, outgoing).await
        }
        (Job::Service { .. }, Endpoint::Service { name, service }) => {
            service::run(agent, name, service, work, outgoing).await
        }
        _ => Err(Kind::NotServing),
    }
}

/// Guard that counts a request as running until it is dropped.
pub struct RunningGuard {
    agent: Rc<Agent>,
    pin: Option<Pin>,
    /// Whether the request is the first one after a pause of the endpoint.
    probes: bool,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let agent = &self.agent;
        agent.running.set(agent.running.get() - 1);
        if self.probes {
            agent.rest.borrow_mut().probe_ended();
        }
        if let Some(pin) = &self.pin
            && let Some(count) = agent.running_by_pin.borrow_mut().get_mut(pin)
        {
            *count -= 1;
        }
        agent.report_running();
    }
}

impl Agent {
    fn admit(self: &Rc<Agent>, work: &Work) -> Result<RunningGuard, Kind> {
        if self.node.is_draining() {
            return Err(Kind::Leaving);
        }
        if work.deadline_ms == 0 {
            return Err(Kind::Expired);
        }
        let pin = match &work.job {
            Job::Generate { pin, .. } => Some(pin),
            Job::Service { .. } => None,
        };
        if pin.is_some_and(|it| !self.node.notice.borrow().serving.contains(it)) {
            return Err(Kind::NotServing);
        }
        if self.settings.running <= u64::from(self.running.get()) {
            return Err(Kind::Busy);
        }
        if !self.endpoint_takes_requests() {
            return Err(Kind::Busy);
        }
        let now = self.node.clock.now();
        let probes = self.rest.borrow_mut().begin_request(now);
        self.running.set(self.running.get() + 1);
        if let Some(pin) = pin {
            *self
                .running_by_pin
                .borrow_mut()
                .entry(pin.clone())
                .or_default() += 1;
        }
        self.report_running();
        Ok(RunningGuard {
            agent: Rc::clone(self),
            pin: pin.cloned(),
            probes,
        })
    }

    /// Updates the load in the notice. Watchers get it with the next heartbeat, or at once after a
    /// large change, so that frequent small changes cause few messages.
    fn report_running(&self) {
        let running = self.running.get();
        let threshold = (self.settings.running as u32 / REPORT_DIVISOR).max(1);
        let report = threshold <= running.abs_diff(self.reported_running.get());
        if report {
            self.reported_running.set(running);
        }
        self.node.notice.send_if_modified(|it| {
            it.running = running;
            report
        });
    }

    /// Returns the number of requests running on a version.
    pub fn running_on(&self, pin: &Pin) -> u32 {
        self.running_by_pin.borrow().get(pin).copied().unwrap_or(0)
    }
}
