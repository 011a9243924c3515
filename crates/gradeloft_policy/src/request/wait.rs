//! How long a request waits at its entry for a replica with room.
//!
//! A replica of today ends a request each eighth of a second, and an entry has slots at twenty of them. So room that is
//! gone is often back while the request could still be in time, and its caller, which asks twice at most, is
//! not served at all if it finds none twice. A caller that waits in vain can't do anything else meanwhile, so the wait is
//! short beside the time that it has, and there is none while others have waited in vain.

use std::time::Duration;

use super::placement::{ExclusionCounts, Urgency};
use crate::clock::Time;

/// Pause after which a request that waits looks for room again without having been woken, in milliseconds: other
/// entries' requests end without a word, and are told of each eighth of a second.
pub const POLL_INTERVAL_MS: u64 = 40;
/// Longest wait of a stream that is to go on, in milliseconds: its caller leaves after two seconds without an event, and
/// a replica needs a third of one to read what it has so far.
const BEGUN_MS: u64 = 1_200;
/// Part of the time that a caller has which its request waits at most.
const PART: f64 = 0.25;

/// Until when a request waits that found no room, or `None` if it is not to wait.
///
/// It came at `received`, is in time within `objective` of that, and ends at `deadline`; `since` is when it found no room
/// first. Where no replica takes requests of its kind at all, which the `census` of them tells, a wait is in vain. While
/// callers are `refused`, only streams wait: on days that are short from end to end the worst-served kind of request
/// was worth 0.58 in place of 0.69, as the long prompts that need a quiet replica waited in vain behind short ones.
pub fn wait_deadline(
    claim: Urgency,
    census: ExclusionCounts,
    received: Time,
    objective: Duration,
    deadline: Time,
    since: Time,
    refused: bool,
) -> Option<Time> {
    if census.full == 0 || (refused && claim != Urgency::Resumed) {
        return None;
    }
    Some(match claim {
        Urgency::Resumed => deadline.min(since.after_ms(BEGUN_MS)),
        Urgency::Late | Urgency::OnTime(_) => {
            let most = deadline.since(received).mul_f64(PART);
            received.after(objective.min(most))
        }
    })
}
