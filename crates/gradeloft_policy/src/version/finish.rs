//! Decides how long an agent goes on fetching a version while no chunk arrives.
//!
//! A version of which half is in the fleet when a newer one is named needs few more chunks, while
//! the newer one needs all of them. While the origin doesn't respond, neither gets any, so silence
//! is no reason to give the older one up: once the origin is back, the older version is complete
//! first, and replicas that load it serve until the newer one is due.

use crate::clock::Time;

/// Time without an arrival after which a fetch is restarted with the agents known by then, in
/// milliseconds: longer than the stall of a single request.
const SILENCE_MS: u64 = 4_000;
/// Share of a version's rollout time after which an agent no longer waits for chunks of the version
/// before it. While the origin doesn't respond, the wait costs nothing; if the missing chunks are
/// lost for another reason, a quarter of the rollout time is left for the newer version.
const FINISH_SHARE: f64 = 0.75;

/// Returns the time at which the fetch of a version ends unless a chunk arrives. The last one
/// arrived at `last_arrival`. If a single newer version superseded it, `newer_named` is the time at
/// which that one was named; replicas have to serve the newer one `version_ms` milliseconds later.
/// The origin no longer has versions before these two.
///
/// ```
/// use gradeloft_policy::{clock::Time, version::finish::silence_ends};
/// let at = |ms| Time::ZERO.after_ms(ms);
/// assert_eq!(silence_ends(at(1_000), None, 9_000), at(5_000));
/// assert_eq!(silence_ends(at(1_000), Some(at(900)), 9_000), at(7_650));
/// ```
pub fn silence_ends(last_arrival: Time, newer_named: Option<Time>, version_ms: u64) -> Time {
    let restart = last_arrival.after_ms(SILENCE_MS);
    let finish_ms = (version_ms as f64 * FINISH_SHARE) as u64;
    let finished_by = newer_named.map(|it| it.after_ms(finish_ms));
    finished_by.map_or(restart, |it| it.max(restart))
}
