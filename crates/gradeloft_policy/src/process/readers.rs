//! Selects the entries that read the platform's tables from its store.
//!
//! Each call to the store costs money, and each new record costs one call of each process that
//! waits for it. Therefore only a few entries of each region read a table, and the others copy it
//! from them, as processes without access to the store do. The readers are selected by rendezvous
//! hashing from the entries that are alive and have access to the store. A reader that reports a
//! loss of access or falls silent is replaced.

use std::time::Duration;

use crate::rendezvous;

/// Number of readers of a table over all regions. With six, the loss of a few delays nothing, and
/// records that the readers of one region miss arrive from the others.
const READERS: usize = 6;
/// Most readers in one region. With two, the loss of one reader delays nothing in the region.
const MAX_PER_REGION: usize = 2;

/// Time after the first contact with a peer from which an entry reads a table itself if no peer is
/// known to hold it. The seed entries have read the table and announced it by then.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after the first contact from which entries read a table even if peers hold it, since these
/// peers would have sent the table by then. Also the time after its start from which an entry no
/// longer waits for a contact.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of entries of a region that read a table after the first [`PEER_TIMEOUT`]; doubles after
/// each further [`PEER_TIMEOUT`].
const FIRST_READERS: usize = 2;
/// Most entries of a region that read a table for the first time. All of them share one link to the
/// store.
const MAX_FIRST_READERS: usize = 8;
/// Time after a start within which entries that are known only by name count as peers, since most
/// have not sent anything yet.
pub const LISTED_ONLY: Duration = Duration::from_millis(3_200);

/// State of an entry with regard to a table that it has never read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FirstRead {
    /// Time since the start of the entry.
    pub since_start: Duration,
    /// Time since the first message from another entry; before it, the entry knows of no others.
    pub since_contact: Option<Duration>,
    /// Whether the entry is in the settings of others, which therefore contact it first.
    pub seed: bool,
    /// Whether a peer is known to have the table.
    pub held_by_peer: bool,
    /// Whether callers can be served without the table.
    pub optional: bool,
    /// Number of known entries of its region that precede it as readers of the table.
    pub rank: usize,
}

/// Returns whether an entry reads a table for the first time from the store. After an outage of the
/// whole fleet no peer holds the table, and waiting for peers would leave callers without service
/// for a second. If all entries of a region read the table, they would saturate the link to the
/// store, so their number is bounded, whatever the size of the region.
pub fn reads_first(first: FirstRead) -> bool {
    let Some(since_contact) = first.since_contact else {
        return first.seed || PEER_TIMEOUT <= first.since_start;
    };
    let unknown = !first.held_by_peer && !first.optional;
    let alone = unknown && HOLDER_TIMEOUT <= since_contact && first.rank == 0;
    first.seed || alone || first.rank < first_readers(since_contact)
}

/// Returns the number of entries of a region that may read a table for the first time, by the time
/// since their first contact.
fn first_readers(since_contact: Duration) -> usize {
    let turns = since_contact.as_millis() / PEER_TIMEOUT.as_millis();
    match turns {
        0 => 0,
        turns => (FIRST_READERS << (turns - 1).min(8)).min(MAX_FIRST_READERS),
    }
}

/// Returns whether the entry whose name hashes to `own` reads a table from the store. `others` are
/// the other live entries of its region with access to the store, and `regions` is the number of
/// regions.
pub fn reads(table: u64, own: u64, others: impl Iterator<Item = u64>, regions: usize) -> bool {
    rendezvous::rank(table, own, others) < per_region(regions)
}

/// Returns the entries of a region that read a table, by their places in `names`: the hashed names
/// of the region's live entries with access to the store.
pub fn select(table: u64, names: &[u64], regions: usize) -> Vec<usize> {
    let mut order = rendezvous::order(table, names);
    order.truncate(per_region(regions));
    order
}

/// Returns the number of readers in each region.
fn per_region(regions: usize) -> usize {
    (READERS / regions.max(1)).clamp(1, MAX_PER_REGION)
}
