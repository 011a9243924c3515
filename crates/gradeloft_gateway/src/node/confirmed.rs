//! How far back in time a record can have been written that the store brings: until when each copy is
//! known to have been whole.

use gradeloft_policy::clock::Time;
use gradeloft_wire::frame::Table;

use super::{
    Node,
    tables::{Reading, index},
};

impl Node {
    /// Until when the copy of a table is known to have been whole, as read from the store: a record that
    /// it lacked then had not been written. While a read is being taken in, the time before that read.
    pub fn confirmed(&self, table: Table) -> Option<Time> {
        self.confirmed.get()[index(table)]
    }

    /// Whether the last read of a table that went well came after one that failed: what it brought may
    /// have been written long before.
    pub fn after_interruption(&self, table: Table) -> bool {
        self.after_interruption.get()[index(table)]
    }

    /// Notes that the copy was whole at `at`.
    pub(super) fn confirm(&self, table: Table, at: Time) {
        let mut confirmed = self.confirmed.get();
        confirmed[index(table)] = confirmed[index(table)].max(Some(at));
        self.confirmed.set(confirmed);
    }

    /// Notes what the read that is about to be taken in came after.
    pub(super) fn note_interruption(&self, table: Table) {
        let mut after = self.after_interruption.get();
        after[index(table)] = self.reading.borrow()[index(table)] == Reading::Interrupted;
        self.after_interruption.set(after);
    }
}
