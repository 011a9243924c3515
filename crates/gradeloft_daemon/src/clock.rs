//! Clock of the process, and timers that follow it.
//!
//! The runtime's timers use the monotonic clock, which stops while the machine is suspended. For
//! other machines the time has passed: keys are revoked, versions are due, and peers have changed
//! state. Decisions therefore use a clock that counts suspensions, and timers that are due by it
//! are woken once the process detects a suspension.

use std::{
    cell::Cell,
    fmt,
    future::poll_fn,
    pin::pin,
    sync::atomic::{AtomicU64, Ordering},
    task::Poll,
    time::{Duration, Instant},
};

use gradeloft_policy::clock::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Shortest suspension that is detected. Smaller differences can arise because the two clocks are
/// not read at the same instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Clock that counts the time while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time between the boot of the machine and the start of the clock, including suspensions.
    started: Duration,
    /// Simulated suspensions in total, in milliseconds; for tests.
    suspended_ms: Option<&'static AtomicU64>,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            started: time_since_boot(),
            suspended_ms: None,
        }
    }

    /// Starts a clock for a test that simulates suspensions by adding milliseconds to
    /// `suspended_ms`. The clock counts them, and the runtime's timers don't.
    pub fn with_simulated_suspension(suspended_ms: &'static AtomicU64) -> Clock {
        Clock {
            suspended_ms: Some(suspended_ms),
            ..Clock::start()
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Time {
        let suspended_ms = self.suspended_ms.map_or(0, |it| it.load(Ordering::Relaxed));
        let elapsed = time_since_boot().saturating_sub(self.started);
        Time::ZERO.after(elapsed).after_ms(suspended_ms)
    }

    /// Returns the duration until `time`; zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

/// Returns the time since the machine booted, including suspensions. All supported kernels have
/// this clock. If it can't be read, the time stands still and the tests fail.
fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Reads the monotonic clock, which the runtime's timers use.
#[expect(clippy::disallowed_methods, reason = "needed to detect suspensions")]
fn monotonic_now() -> Instant {
    Instant::now()
}

/// Error of a timeout: the time passed before the future completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the timeout has elapsed")
    }
}

/// Timers that follow a clock.
pub struct Timers {
    clock: Clock,
    /// Notified after a suspension, so that timers read the clock again.
    resumed: Notify,
    /// Both clocks at the last check for a suspension.
    last_check: Cell<(Time, Instant)>,
}

impl Timers {
    /// Creates timers that follow `clock`.
    pub fn new(clock: Clock) -> Timers {
        Timers {
            clock,
            resumed: Notify::new(),
            last_check: Cell::new((clock.now(), monotonic_now())),
        }
    }

    /// Waits until a time. If the machine is suspended in the meantime, the wait ends at the first
    /// check after it resumes, at the latest.
    pub async fn sleep_until(&self, time: Time) {
        loop {
            let resumed = self.resumed.notified();
            let remaining = self.clock.until(time);
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
                () = resumed => {}
            }
        }
    }

    /// Runs a future until a time at most, even if the future always makes progress without
    /// completing.
    pub async fn timeout_at<T>(
        &self,
        time: Time,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut future = pin!(future);
        let mut sleep = pin!(self.sleep_until(time));
        poll_fn(|context| {
            if let Poll::Ready(done) = future.as_mut().poll(context) {
                return Poll::Ready(Ok(done));
            }
            // A future that used up the budget of its task leaves none for the timer.
            if self.clock.until(time).is_zero() {
                return Poll::Ready(Err(Elapsed));
            }
            sleep.as_mut().poll(context).map(|()| Err(Elapsed))
        })
        .await
    }

    /// Runs a future for a duration at most.
    pub async fn timeout<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        self.timeout_at(self.clock.now().after(duration), future)
            .await
    }

    /// Detects whether the machine was suspended since the last check, wakes timers that are due,
    /// and returns the duration of the suspension.
    pub fn check_suspension(&self) -> Duration {
        let now = (self.clock.now(), monotonic_now());
        let previous = self.last_check.replace(now);
        let elapsed = now.0.since(previous.0);
        let monotonic_elapsed = now.1.saturating_duration_since(previous.1);
        let suspended = elapsed.saturating_sub(monotonic_elapsed);
        if suspended < MIN_SUSPENSION {
            return Duration::ZERO;
        }
        self.resumed.notify_waiters();
        suspended
    }
}
