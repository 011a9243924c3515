//! Time as decisions see it.

use std::time::Duration;

/// A point in time of one process: microseconds since its start, monotonic.
///
/// ```
/// use gradeloft_policy::clock::Time;
/// assert_eq!(Time::ZERO.after_ms(2).since(Time::ZERO).as_millis(), 2);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(pub u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// This time and `ms` milliseconds.
    pub fn after_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms.saturating_mul(1000)))
    }

    /// This time and `duration`.
    pub fn after(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// This time less `ms` milliseconds; the start of the process if that is later.
    pub fn before_ms(self, ms: u64) -> Time {
        Time(self.0.saturating_sub(ms.saturating_mul(1000)))
    }

    /// Time since `earlier`; zero when that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Seconds since `earlier`.
    pub fn seconds_since(self, earlier: Time) -> f64 {
        self.since(earlier).as_secs_f64()
    }
}
