//! Pause between orders to a replica to load a version.
//!
//! An order that has no effect is repeated at once, because most causes are transient. A replica
//! that exits each time it loads a version is crashed by the version, and a further start would not
//! help.

use std::time::Duration;

/// Number of consecutive exits during orders after which the version is considered the cause: one
/// or two exits also happen while replicas crash for other reasons.
const VERSION_FAULT_EXITS: u32 = 3;
/// First pause after [`VERSION_FAULT_EXITS`] exits; the pause doubles with each further exit. A
/// replica takes some seconds to start, so the pause at least halves the rate of futile starts.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause, which bounds the wait of an operator who has fixed the cause.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);

/// Exits of a replica during orders to load one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderBackoff {
    exits: u32,
}

impl OrderBackoff {
    /// Records that the replica exited before it had loaded the version, and returns the pause
    /// before the next order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradeloft_policy::version::order_backoff::OrderBackoff;
    /// let mut backoff = OrderBackoff::default();
    /// assert_eq!(backoff.record_exit(), Duration::ZERO);
    /// assert_eq!(backoff.record_exit(), Duration::ZERO);
    /// assert_eq!(backoff.record_exit(), Duration::from_secs(10));
    /// assert_eq!(backoff.record_exit(), Duration::from_secs(20));
    /// ```
    pub fn record_exit(&mut self) -> Duration {
        self.exits = self.exits.saturating_add(1);
        if self.exits < VERSION_FAULT_EXITS {
            return Duration::ZERO;
        }
        let doublings = (self.exits - VERSION_FAULT_EXITS).min(8);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }
}
