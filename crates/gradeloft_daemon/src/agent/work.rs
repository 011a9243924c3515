//! Takes or refuses work. The agent has the last word, whatever the entry believed.

use std::rc::Rc;

use gradeloft_wire::{
    error::Kind,
    frame::{Job, Pin, Reply, Work},
};
use slog::info;

use super::{Agent, Endpoint, generate, service};
use crate::{metrics::Reason, transport::server::Outgoing};

/// Watchers are told at once when the load changes by this share of the capacity.
const TELL_SHARE: u32 = 4;

/// Answers an attempt.
pub async fn answer(agent: Rc<Agent>, work: Work, outgoing: Outgoing) {
    let request = work.request;
    let result = match agent.admit(&work) {
        Ok(running) => {
            let run = run(&agent, &work, &outgoing);
            let result = tokio::select! {
                result = run => result,
                () = outgoing.closed() => {
                    info!(agent.node.log, "cancelled"; "attempt" => %request);
                    return;
                }
            };
            drop(running);
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

/// Counts a request as running until it is dropped.
pub struct Running {
    agent: Rc<Agent>,
    pin: Option<Pin>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let agent = &self.agent;
        agent.running.set(agent.running.get() - 1);
        if let Some(pin) = &self.pin
            && let Some(count) = agent.running_on.borrow_mut().get_mut(pin)
        {
            *count -= 1;
        }
        agent.tell_running();
    }
}

impl Agent {
    fn admit(self: &Rc<Agent>, work: &Work) -> Result<Running, Kind> {
        if self.node.leaving() {
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
        self.running.set(self.running.get() + 1);
        if let Some(pin) = pin {
            *self.running_on.borrow_mut().entry(pin.clone()).or_default() += 1;
        }
        self.tell_running();
        Ok(Running {
            agent: Rc::clone(self),
            pin: pin.cloned(),
        })
    }

    /// Puts the load into the notice. Watchers get it with the next heartbeat, or at once when it
    /// has changed much, so that reports cost little while requests come and go.
    fn tell_running(&self) {
        let running = self.running.get();
        let step = (self.settings.running as u32 / TELL_SHARE).max(1);
        let tell = step <= running.abs_diff(self.told_running.get());
        if tell {
            self.told_running.set(running);
        }
        self.node.notice.send_if_modified(|it| {
            it.running = running;
            tell
        });
    }

    /// Requests that run on a version.
    pub fn running_on(&self, pin: &Pin) -> u32 {
        self.running_on.borrow().get(pin).copied().unwrap_or(0)
    }
}
