//! How soon a replica is ordered again to load a version.
//!
//! An order that has no effect is given again at once, as most reasons pass. A replica that ends each time it loads
//! a version is ended by the version, and there is nothing that its next start would do better.

use std::time::Duration;

/// Ends in a row, each during an order, from which on they count as the version's fault: one or two happen while
/// replicas crash for other reasons.
const AT_FAULT: u32 = 3;
/// First pause from then on; doubles with each further end. A start of a replica takes some seconds, so this
/// halves at least how often it ends for nothing.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause: an operator who has mended what was wrong waits no longer.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);

/// Ends of a replica while it was to load one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderBackoff {
    ends: u32,
}

impl OrderBackoff {
    /// The replica ended before it had loaded what it was ordered to; gives the pause before the next order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradeloft_policy::version::order_backoff::OrderBackoff;
    /// let mut backoff = OrderBackoff::default();
    /// assert_eq!(backoff.order_failed(), Duration::ZERO);
    /// assert_eq!(backoff.order_failed(), Duration::ZERO);
    /// assert_eq!(backoff.order_failed(), Duration::from_secs(10));
    /// assert_eq!(backoff.order_failed(), Duration::from_secs(20));
    /// ```
    pub fn order_failed(&mut self) -> Duration {
        self.ends = self.ends.saturating_add(1);
        if self.ends < AT_FAULT {
            return Duration::ZERO;
        }
        let doublings = (self.ends - AT_FAULT).min(8);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }
}
