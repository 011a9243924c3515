//! Simulated suspension of a machine.

use std::sync::atomic::{AtomicU64, Ordering};

use gradeloft_daemon::clock::Clock;

/// A machine that a test suspends: its clock advances meanwhile, its timers don't.
pub(crate) struct Machine {
    suspended_ms: &'static AtomicU64,
    started: Clock,
}

impl Machine {
    pub(crate) fn new() -> Machine {
        Machine {
            suspended_ms: Box::leak(Box::default()),
            started: Clock::start(),
        }
    }

    /// Returns the clock of a process that starts on the machine now.
    pub(crate) fn clock(&self) -> Clock {
        Clock::with_simulated_suspension(self.suspended_ms)
    }

    /// Suspends the machine for `ms` milliseconds and wakes it.
    pub(crate) fn suspend_ms(&self, ms: u64) {
        self.suspended_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Returns the milliseconds since the test started, without simulated suspension.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.started.now().0 / 1_000
    }
}
