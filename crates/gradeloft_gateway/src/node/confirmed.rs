//! How far back in time a record can have been written that the store brings: until when each copy is
//! known to have been whole.

use gradeloft_policy::clock::Time;
use gradeloft_wire::frame::Table;

use super::{Node, tables::index};

impl Node {
    /// Until when the copy of a table is known to have been whole, by own reads and by peers' words on
    /// theirs: a record that it lacked then had not been written. While a read is being taken in, the time
    /// before that read. In steady reading this is up to the wait of one read ago, and a round trip.
    pub fn confirmed_until(&self, table: Table) -> Option<Time> {
        self.ages.borrow()[index(table)].complete_until(self.end(table))
    }

    /// Whether the last read of a table that went well came after one that failed: what it brought may
    /// have been written long before.
    pub fn after_interruption(&self, table: Table) -> bool {
        self.after_interruption.get()[index(table)]
    }

    /// Notes that the copy was whole at `at`, by a read of the store.
    pub(super) fn confirm(&self, table: Table, at: Time) {
        let end = self.end(table);
        // An answer that comes before the end of its wait confirms no time to come.
        let at = at.min(self.clock.now());
        self.ages.borrow_mut()[index(table)].confirm(end, at);
    }

    /// Notes whether the read that is about to be taken in came after one that failed.
    pub(super) fn set_after_interruption(&self, table: Table, interrupted: bool) {
        let mut after = self.after_interruption.get();
        after[index(table)] = interrupted;
        self.after_interruption.set(after);
    }
}
