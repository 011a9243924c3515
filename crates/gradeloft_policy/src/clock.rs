//! Time, as an input of decisions.

use std::time::Duration;

/// A monotonic point in time of one process, in microseconds since its start.
///
/// ```
/// use gradeloft_policy::clock::Time;
/// assert_eq!(Time::ZERO.after_ms(2).since(Time::ZERO).as_millis(), 2);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(pub u64);

impl Time {
    /// Start of the process.
    pub const ZERO: Time = Time(0);

    /// Returns the time `ms` milliseconds later.
    pub fn after_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms.saturating_mul(1000)))
    }

    /// Returns the time `duration` later.
    pub fn after(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time `ms` milliseconds earlier, at least [`Time::ZERO`].
    pub fn before_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_sub(ms.saturating_mul(1000)))
    }

    /// Returns the time since `earlier`; zero if that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the seconds since `earlier`; zero if that is later.
    pub fn seconds_since(self, earlier: Time) -> f64 {
        self.since(earlier).as_secs_f64()
    }
}
