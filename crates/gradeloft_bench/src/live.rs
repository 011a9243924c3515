//! Live requests at a steady rate during a rollout.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use gradeloft_standin::{
    caller::Caller,
    fleet::{MODEL, TEAM, TOKEN},
};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Live requests per second and agent.
const REQUESTS_PER_AGENT_S: f64 = 4.0;
/// Size of a prompt, in bytes.
const PROMPT_BYTES: usize = 16 << 10;
/// Number of tokens of an answer.
const TOKENS: u32 = 8;
/// Time that the engine takes for a prompt, in milliseconds; well below that of real engines.
pub(crate) const PREFILL_MS: u64 = 60;
/// Time that the engine takes for a token, in milliseconds; well below that of real engines.
pub(crate) const TOKEN_MS: u64 = 8;
/// Upper bound of the latency histograms, in microseconds; longer answers are recorded as this.
const MAX_MICROS: u64 = 60_000_000;

/// Latency of answers before and during a rollout.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    before_p95_ms: f64,
    during_p95_ms: f64,
    during_over_before: f64,
    requests: u64,
    failed: u64,
}

/// Generator of live requests at a steady rate.
pub(crate) struct Load {
    entry: SocketAddr,
    agents: usize,
    phase: Cell<usize>,
    running: Cell<bool>,
    /// Latency of complete answers before and during the rollout, in microseconds.
    latencies: [RefCell<Histogram<u64>>; 2],
    failed: Cell<u64>,
}

impl Load {
    pub(crate) fn new(entry: SocketAddr, agents: usize) -> Load {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .expect("valid bounds")
                .into()
        };
        Load {
            entry,
            agents,
            phase: Cell::default(),
            running: Cell::default(),
            latencies: [histogram(), histogram()],
            failed: Cell::default(),
        }
    }

    pub(crate) fn start(self: &Rc<Load>) {
        self.running.set(true);
        let load = Rc::clone(self);
        actix_rt::spawn(async move {
            let interval =
                Duration::from_secs_f64(1.0 / (REQUESTS_PER_AGENT_S * load.agents as f64));
            let mut ticks = tokio::time::interval(interval);
            let mut count = 0_u64;
            while load.running.get() {
                ticks.tick().await;
                count += 1;
                actix_rt::spawn(Rc::clone(&load).request(count));
            }
        });
    }

    async fn request(self: Rc<Load>, count: u64) {
        let phase = self.phase.get();
        let caller = Caller::new(TEAM, TOKEN);
        let prompt = format!("{count:08}{}", "p".repeat(PROMPT_BYTES - 8));
        let started = Instant::now();
        let answer = caller.generate(self.entry, MODEL, &prompt, TOKENS).await;
        let micros = started.elapsed().as_micros() as u64;
        if answer.end.is_none() {
            self.failed.set(self.failed.get() + 1);
            return;
        }
        self.latencies[phase]
            .borrow_mut()
            .saturating_record(micros.max(1));
    }

    pub(crate) fn next_phase(&self) {
        self.phase.set(1);
    }

    pub(crate) fn stop(&self) {
        self.running.set(false);
    }

    pub(crate) fn report(&self) -> Report {
        let p95 =
            |phase: usize| self.latencies[phase].borrow().value_at_quantile(0.95) as f64 / 1000.0;
        let (before, during) = (p95(0), p95(1));
        Report {
            before_p95_ms: before,
            during_p95_ms: during,
            during_over_before: during / before,
            requests: self.latencies.iter().map(|it| it.borrow().len()).sum(),
            failed: self.failed.get(),
        }
    }
}
