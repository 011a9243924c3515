//! Which entries read the platform's tables from its store.
//!
//! Each call to the store is paid for, and a record that is written costs one call of every process that
//! waits for it. So a few entries of each region read a table, and the others take it from them, as
//! processes do that the store does not serve. The readers are drawn by rendezvous hashing from the
//! entries that are alive and served; one that is not is replaced as soon as it says so or is silent.

use std::time::Duration;

use crate::rendezvous;

/// Entries of all regions together that read a table. With six of them, the loss of a few delays nothing, and
/// what the readers of one region miss comes from the others.
const READERS: usize = 6;
/// Most of one region: with two, the loss of one delays nothing there.
const MOST_OF_REGION: usize = 2;

/// Time after a start from which on an entry that no peer told of a table reads it itself: two pauses between the
/// words of near entries, and the time in which those that others know from their settings have read it.
const UNTOLD: Duration = Duration::from_millis(200);
/// Time after a start from which on an entry reads a table itself though peers have it: by then they would have
/// given it. Else each of 149 entries that start together makes four calls to the store.
const UNGIVEN: Duration = Duration::from_millis(800);

/// What an entry knows of a table that it has never had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct First {
    /// How long ago the entry started.
    pub since_start: Duration,
    /// Whether others know the entry from their settings, and so hear from it first.
    pub seed: bool,
    /// Whether a peer has said that it has the table.
    pub told: bool,
    /// Whether callers can be served without the table.
    pub spare: bool,
}

/// Whether an entry reads a table from the store that it has never had. After everything was off nobody has it, and
/// to wait for peers all the same would keep callers without service for a second.
pub fn reads_first(first: First) -> bool {
    let untold = !first.told && !first.spare;
    first.seed || UNGIVEN <= first.since_start || (untold && UNTOLD <= first.since_start)
}

/// Whether the entry whose name hashes to `own` reads the table `table` from the store; `others` are the
/// other entries of its region that are alive and served, and there are so many regions.
pub fn reads(table: u64, own: u64, others: impl Iterator<Item = u64>, regions: usize) -> bool {
    let here = (READERS / regions.max(1)).clamp(1, MOST_OF_REGION);
    rendezvous::rank(table, own, others) < here
}
