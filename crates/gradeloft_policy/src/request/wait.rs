//! Time for which a request waits at its entry for a replica with room.
//!
//! A replica typically completes a request every 125 ms, and an entry has slots on twenty replicas.
//! Replicas thus often have room again while the request can still be in time. Callers retry at
//! most once, so a request that finds no room twice isn't served at all. A waiting caller can't do
//! anything else, so the wait is short compared to its remaining time, and requests don't wait if
//! other requests have recently waited in vain.

use std::time::Duration;

use super::placement::{ExclusionCounts, Urgency};
use crate::clock::Time;

/// Interval at which a waiting request looks for room if no notification arrives, in milliseconds.
/// The end of another entry's request causes no notification, but a report every 125 ms includes
/// it.
pub const POLL_INTERVAL_MS: u64 = 40;
/// Longest wait of a stream that resumes, in milliseconds: its caller gives up after 2 s without an
/// event, and a replica needs a third of a second to read the text so far.
const MAX_STREAM_WAIT_MS: u64 = 1_200;
/// Longest wait, as a share of the time from the request's arrival to its deadline.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Returns the time until which a request without room waits, or `None` if it does not wait.
///
/// The request arrived at `received`, is in time if its response begins within `objective` of its
/// arrival, expires at `deadline`, and first found no room at `since`. Waiting is futile unless
/// `exclusions` has a full replica, which accepts the request once it has room, or a limited or
/// resting one that accepts it soon enough. While the entry refuses callers (`refusing`), only resumed streams
/// wait. If other requests waited too while capacity is short for a whole day, long prompts that
/// need an idle replica would wait in vain behind short ones, and the worst-served kind of request
/// would be worth 0.58 instead of 0.69.
pub fn wait_deadline(
    urgency: Urgency,
    exclusions: ExclusionCounts,
    received: Time,
    objective: Duration,
    deadline: Time,
    since: Time,
    refusing: bool,
) -> Option<Time> {
    if refusing && urgency != Urgency::Resumed {
        return None;
    }
    let until = match urgency {
        Urgency::Resumed => deadline.min(since.after_ms(MAX_STREAM_WAIT_MS)),
        Urgency::Late | Urgency::OnTime(_) => {
            let longest = deadline.since(received).mul_f64(MAX_WAIT_SHARE);
            received.after(objective.min(longest))
        }
    };
    let room_in_time = exclusions.room_at.is_some_and(|it| it < until);
    (0 < exclusions.full || room_in_time).then_some(until)
}
