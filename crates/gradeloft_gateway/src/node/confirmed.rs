//! The time up to which each copy is known to have been complete. It is the earliest time at which
//! a record that the store returns can have been written.

use gradeloft_policy::clock::Time;
use gradeloft_wire::frame::Table;

use super::{Node, tables::index};

impl Node {
    /// Returns the time up to which the copy of a table is known to be complete, from reads of this
    /// process and of peers: a record that the copy lacked at that time was written later. While a
    /// read is being applied, returns the time confirmed before the read. While reads succeed, the
    /// time is at most one long poll and one round trip ago.
    pub fn confirmed_until(&self, table: Table) -> Option<Time> {
        self.write_times.borrow()[index(table)].complete_until(self.end(table))
    }

    /// Returns whether the last successful read of a table followed a failed one. Its records may
    /// then have been written long before the read.
    pub fn after_interruption(&self, table: Table) -> bool {
        self.after_interruption.get()[index(table)]
    }

    /// Notes that the copy was complete at `at`, by a read of the store.
    pub(super) fn confirm(&self, table: Table, at: Time) {
        let end = self.end(table);
        // A response that arrives before the end of its wait confirms no time in the future.
        let at = at.min(self.clock.now());
        self.write_times.borrow_mut()[index(table)].confirm(end, at);
    }

    /// Notes whether the read that is about to be applied followed a failed one.
    pub(super) fn set_after_interruption(&self, table: Table, interrupted: bool) {
        let mut after = self.after_interruption.get();
        after[index(table)] = interrupted;
        self.after_interruption.set(after);
    }
}
