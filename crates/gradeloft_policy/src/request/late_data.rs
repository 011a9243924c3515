//! Limits how long data of a response is read after the deadline of its request.
//!
//! A process that was suspended past a deadline finds data that arrived before it, and a response
//! that is ready is delivered. A replica that never ceases to send does not extend the deadline.

use crate::clock::Time;

/// Time for which data is read after a process has noticed that a deadline passed, in milliseconds:
/// data that had arrived by then is read in a fraction of it.
const GRACE_MS: u64 = 200;

/// Time at which a process noticed that a deadline had passed.
///
/// ```
/// use gradeloft_policy::{clock::Time, request::late_data::LateData};
/// let at = |ms| Time::ZERO.after_ms(ms);
/// let mut late = LateData::default();
/// assert!(!late.is_over(at(1_000), at(999)));
/// // The process was suspended meanwhile.
/// assert!(!late.is_over(at(1_000), at(5_000)));
/// assert!(late.is_over(at(1_000), at(5_200)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LateData {
    noticed: Option<Time>,
}

impl LateData {
    /// Returns whether no more data is read for a request with this deadline.
    pub fn is_over(&mut self, deadline: Time, now: Time) -> bool {
        if now < deadline {
            return false;
        }
        let noticed = *self.noticed.get_or_insert(now);
        noticed.after_ms(GRACE_MS) <= now
    }
}
