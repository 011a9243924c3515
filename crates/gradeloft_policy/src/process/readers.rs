//! Which entries read the platform's tables from its store.
//!
//! Each call to the store is paid for, and a record that is written costs one call of every process that
//! waits for it. So a few entries of each region read a table, and the others take it from them, as
//! processes do that the store does not serve. The readers are drawn by rendezvous hashing from the
//! entries that are alive and served; one that is not is replaced as soon as it says so or is silent.

use crate::rendezvous;

/// Entries of each region that read a table: with two, the loss of one delays nothing, and what both
/// miss comes from other regions.
const READERS: usize = 2;

/// Whether the entry whose name hashes to `own` reads the table `table` from the store; `others` are the
/// other entries of its region that are alive and served.
pub fn reads(table: u64, own: u64, others: impl Iterator<Item = u64>) -> bool {
    rendezvous::rank(table, own, others) < READERS
}
