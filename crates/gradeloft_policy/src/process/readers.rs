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

/// Time after the first contact with a peer from which on an entry that knows of none with a table reads it itself: those that others know
/// from their settings have read it by then, and have said so.
const UNKNOWN: Duration = Duration::from_millis(200);
/// Time after the first contact from which on entries read a table though peers have it, which would have given it by
/// then; and time after a start from which on an entry does without a contact.
const UNGIVEN: Duration = Duration::from_millis(800);
/// Entries of a region that read then, twice as many each further [`UNGIVEN`].
const FIRST_READERS: usize = 2;
/// Most entries of a region that read a table first. All of them share one link to the store.
const MOST_FIRST_READERS: usize = 8;
/// Time after a start within which entries of which only the name is known count as peers: most have not spoken yet.
pub const LISTED_ONLY: Duration = Duration::from_millis(3_200);

/// What an entry knows of a table that it has never had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FirstRead {
    /// How long ago the entry started.
    pub since_start: Duration,
    /// How long ago another entry sent it something first. Only then does it know of others.
    pub since_contact: Option<Duration>,
    /// Whether others know the entry from their settings, and so hear from it first.
    pub seed: bool,
    /// Whether a peer is known to have the table.
    pub held_by_peer: bool,
    /// Whether callers can be served without the table.
    pub optional: bool,
    /// Entries of its region that are to read the table before it, as far as it knows.
    pub rank: usize,
}

/// Whether an entry reads a table from the store that it has never had. After everything was off nobody has it, and to
/// wait for peers all the same would keep callers without service for a second. If all entries of a region read it, they
/// would fill the link to the store, so their number is bounded, whatever the size of the region.
pub fn reads_first(first: FirstRead) -> bool {
    let Some(since_contact) = first.since_contact else {
        return first.seed || UNGIVEN <= first.since_start;
    };
    let unknown = !first.held_by_peer && !first.optional;
    let alone = unknown && UNKNOWN <= since_contact && first.rank == 0;
    first.seed || alone || first.rank < first_readers(since_contact)
}

/// Entries of a region that may read a table first, so long after their first contact.
fn first_readers(since_contact: Duration) -> usize {
    let turns = since_contact.as_millis() / UNGIVEN.as_millis();
    match turns {
        0 => 0,
        turns => (FIRST_READERS << (turns - 1).min(8)).min(MOST_FIRST_READERS),
    }
}

/// Whether the entry whose name hashes to `own` reads the table `table` from the store; `others` are the
/// other entries of its region that are alive and served, and there are so many regions.
pub fn reads(table: u64, own: u64, others: impl Iterator<Item = u64>, regions: usize) -> bool {
    let here = (READERS / regions.max(1)).clamp(1, MOST_OF_REGION);
    rendezvous::rank(table, own, others) < here
}
