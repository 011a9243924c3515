//! The process's clock.

use std::time::{Duration, Instant};

use gradeloft_policy::clock::Time;

/// Gives decisions their time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO.after(self.started.elapsed())
    }

    /// How long until `time`; zero when it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}
