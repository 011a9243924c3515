//! Assignment of each chunk to the agent that reads it first.
//!
//! An agent reads only a few chunks at a time. If one agent owned many more chunks than the others,
//! the origin's link would be mostly idle while only that agent is still reading. The number of
//! chunks per agent is therefore bounded: a chunk is assigned to the agent with the highest
//! rendezvous score among those that own less than their share. With unbounded rendezvous hashing,
//! one of 13 agents owns seven of 48 chunks, and the last ten chunks arrive in 0.8 s instead of
//! 0.45 s.

use crate::rendezvous;

/// Maximum number of chunks that an agent owns, as a multiple of the mean. With a factor of 1,
/// nearly every chunk overflows from another agent, and agents whose views differ by one reader
/// agree on few owners.
const MAX_OVER_MEAN: f64 = 1.25;

/// Returns the first owner of each chunk in `keys`, independent of the order of `owners`. `None` if
/// there are no owners.
pub(super) fn assign(keys: &[u64], owners: &[u64]) -> Vec<Option<u64>> {
    let share = (keys.len() as f64 * MAX_OVER_MEAN / owners.len().max(1) as f64).ceil() as usize;
    let mut remaining = vec![share; owners.len()];
    let first = |key: &u64| {
        let open = (0..owners.len()).filter(|it| 0 < remaining[*it]);
        let first = open.max_by_key(|it| (rendezvous::score(*key, owners[*it]), owners[*it]))?;
        remaining[first] -= 1;
        Some(owners[first])
    };
    keys.iter().map(first).collect()
}
