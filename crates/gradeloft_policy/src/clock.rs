//! Time, as an input of decisions.

use std::time::Duration;

/// Longest duration that is computed from numbers of others, in milliseconds: far above each timeout, and
/// within the range of [`Time`].
const LONGEST_MS: f64 = 1e12;

/// Returns a duration of a number of milliseconds, from zero to some thirty years; zero for what is no
/// number.
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::clock::duration_ms;
/// assert_eq!(duration_ms(1.5), Duration::from_micros(1_500));
/// assert_eq!(duration_ms(-1.0), Duration::ZERO);
/// assert_eq!(duration_ms(f64::INFINITY), duration_ms(f64::MAX));
/// ```
pub fn duration_ms(ms: f64) -> Duration {
    let ms = if ms.is_nan() { 0.0 } else { ms };
    Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1000.0)
}

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
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
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
