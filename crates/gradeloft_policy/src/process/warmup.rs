//! How many requests a replica gets while it is cold.
//!
//! A cold replica crashes under requests that it would bear once it is warm, and nobody counts them for all entries. So a
//! few entries share its rate, each by a pause of its own, and the others send it nothing.

use std::time::Duration;

use crate::rendezvous;

/// Part of a cold replica's rate by which the requests of one second may exceed it: each sender may begin a second with
/// a request, so this is the number of senders for each request a second.
const OVERSHOOT: f64 = 0.5;

/// Least time between two requests of the entry `own` to a cold replica that bears `per_s` requests a second; `None` if
/// the entry is not one of its senders. `others` are the other entries that may send to it.
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::process::warmup;
/// let alone = warmup::min_interval(10.0, 1, 2, [].into_iter());
/// assert_eq!(alone, Some(Duration::from_millis(100)));
/// ```
pub fn min_interval(
    per_s: f64,
    replica: u64,
    own: u64,
    others: impl Iterator<Item = u64> + Clone,
) -> Option<Duration> {
    if !per_s.is_finite() || per_s <= 0.0 {
        return None;
    }
    let most = ((per_s * OVERSHOOT) as usize).max(1);
    let senders = most.min(others.clone().count() + 1);
    if senders <= rendezvous::rank(replica, own, others) {
        return None;
    }
    Some(Duration::from_secs_f64(senders as f64 / per_s))
}
