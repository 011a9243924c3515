//! Limits the requests to a cold replica.
//!
//! A cold replica crashes under a load that it tolerates once warm, and no process counts the
//! requests of all entries. Therefore a few entries share the rate of the replica, each with an
//! interval of its own, and the other entries send it no requests.

use std::time::Duration;

use crate::rendezvous;

/// Largest excess of requests in one second over the rate of a cold replica, as a fraction of the
/// rate. Each sender may start a second with a request, so this is also the number of senders per
/// request a second.
const OVERSHOOT: f64 = 0.5;

/// Returns the shortest interval between two requests of the entry `own` to a cold replica that
/// tolerates `per_s` requests a second, or `None` if the entry is not one of its senders. `others`
/// are the other entries that may send to the replica.
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
