//! A machine that a test suspends.

use std::sync::atomic::{AtomicU64, Ordering};

use gradeloft_daemon::clock::Clock;

/// A machine that a test suspends: its clock goes on meanwhile, its timers do not.
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

    /// The clock of a process that starts on it now.
    pub(crate) fn clock(&self) -> Clock {
        Clock::with_simulated_suspension(self.suspended_ms)
    }

    /// Suspends it, and wakes it again.
    pub(crate) fn suspend_ms(&self, ms: u64) {
        self.suspended_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Milliseconds for which the test itself has run.
    pub(crate) fn running_ms(&self) -> u64 {
        self.started.now().0 / 1_000
    }
}
