//! Which versions of a model's weights requests may begin on.
//!
//! The operator may name a version before the one before it is everywhere. Each is due at its own
//! time, so the oldest version allowed is the newest of those that are due.

use crate::clock::Time;

/// Versions of one model that the operator named.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Named {
    /// Versions that are not due yet, lowest first, with the time when each is.
    coming: Vec<(u64, Time)>,
    /// Newest version that is due; 0 for none.
    due: u64,
}

impl Named {
    /// A version is named, and due at `due`; gives whether it is newer than all before.
    pub fn name(&mut self, version: u64, due: Time) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.coming.push((version, due));
        true
    }

    /// Newest version named; 0 for none.
    pub fn newest(&self) -> u64 {
        self.coming.last().map_or(self.due, |it| it.0)
    }

    /// Oldest version on which a request may begin now; `None` for any.
    pub fn oldest_allowed(&self, now: Time) -> Option<u64> {
        let due = self.coming.iter().filter(|it| it.1 <= now);
        let oldest = due.map(|it| it.0).fold(self.due, u64::max);
        (0 < oldest).then_some(oldest)
    }

    /// Forgets which versions were due before the newest of them.
    pub fn settle(&mut self, now: Time) {
        self.due = self.oldest_allowed(now).unwrap_or_default();
        let due = self.due;
        self.coming.retain(|it| due < it.0);
    }
}
