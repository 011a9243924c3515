//! The process's clock, and timers that keep to it.
//!
//! While a machine is suspended its steady clock stands still, on which the runtime's timers run. To everybody
//! else the time has passed: keys are gone, versions are due, peers have told other things. So decisions get
//! their time from a clock that counts it, and a timer that fires late by it is woken once the process looks.

use std::{
    cell::Cell,
    fmt,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use gradeloft_policy::clock::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Shortest suspension that counts: the two clocks are not read at the same instant.
const SHORTEST: Duration = Duration::from_millis(50);

/// Gives decisions their time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since the machine started, suspended or not, when the process did.
    started: Duration,
    /// Milliseconds for which a test has the machine suspended.
    suspended_ms: Option<&'static AtomicU64>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started: since_boot(),
            suspended_ms: None,
        }
    }

    /// A clock that starts now, on a machine that a test suspends by adding milliseconds: the clock counts them,
    /// and the runtime's timers do not.
    pub fn with_simulated_suspension(suspended_ms: &'static AtomicU64) -> Clock {
        Clock {
            suspended_ms: Some(suspended_ms),
            ..Clock::start()
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        let suspended_ms = self.suspended_ms.map_or(0, |it| it.load(Ordering::Relaxed));
        let passed = since_boot().saturating_sub(self.started);
        Time::ZERO.after(passed).after_ms(suspended_ms)
    }

    /// How long until `time`; zero when it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

/// Time since the machine started, counting what it was suspended for. Every kernel that this program runs on has
/// this clock; where it could not be read the time would stand still, which no test passes.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// The steady clock, on which the runtime's timers run.
#[expect(
    clippy::disallowed_methods,
    reason = "compared with the clock, it tells of a suspension"
)]
fn steady() -> Instant {
    Instant::now()
}

/// A wait was over before what it waited for came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("time is over")
    }
}

/// Timers that keep to a clock.
pub struct Timers {
    clock: Clock,
    /// Told when the machine was suspended: timers look at the clock again.
    woken: Notify,
    /// Both clocks when this was looked at last.
    looked: Cell<(Time, Instant)>,
}

impl Timers {
    /// Timers of a clock.
    pub fn new(clock: Clock) -> Timers {
        Timers {
            clock,
            woken: Notify::new(),
            looked: Cell::new((clock.now(), steady())),
        }
    }

    /// Waits until a time. If the machine is suspended meanwhile, until the next look after it woke at the latest.
    pub async fn sleep_until(&self, time: Time) {
        loop {
            let woken = self.woken.notified();
            let left = self.clock.until(time);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = woken => {}
            }
        }
    }

    /// Waits for something until a time.
    pub async fn timeout_at<T>(
        &self,
        time: Time,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        tokio::select! {
            biased;
            done = future => Ok(done),
            () = self.sleep_until(time) => Err(Elapsed),
        }
    }

    /// Waits for something for so long.
    pub async fn timeout<T>(
        &self,
        bound: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        self.timeout_at(self.clock.now().after(bound), future).await
    }

    /// Looks whether the machine was suspended since the last look, and wakes timers that are due by now; gives
    /// for how long it was.
    pub fn check_suspension(&self) -> Duration {
        let now = (self.clock.now(), steady());
        let before = self.looked.replace(now);
        let passed = now.0.since(before.0);
        let ran = now.1.saturating_duration_since(before.1);
        let suspended = passed.saturating_sub(ran);
        if suspended < SHORTEST {
            return Duration::ZERO;
        }
        self.woken.notify_waiters();
        suspended
    }
}
