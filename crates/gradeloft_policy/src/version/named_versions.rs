//! Which versions of a model's weights requests may begin on.
//!
//! The operator may name a version before the one before it is everywhere. Each is due at its own
//! time, so the oldest version allowed is the newest of those that are due. A version is preferred
//! some time before it is due: requests go to replicas that hold it if any of them has room, so that
//! few requests wait at a replica that will soon be too old.

use crate::clock::Time;

/// A version that is not due yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Coming {
    version: u64,
    times: VersionTimes,
}

/// From when on a version counts how much.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionTimes {
    /// Requests go to replicas that hold it if one has room.
    pub preferred: Time,
    /// Requests go to no others. Not before `preferred`.
    pub due: Time,
    /// Requests that have not begun at others are taken back. Not before `due`.
    pub expired: Time,
}

/// Versions of one model that the operator named.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NamedVersions {
    /// Versions that are not due yet, lowest first.
    coming: Vec<Coming>,
    /// Newest version that is due; 0 for none.
    due: u64,
}

impl NamedVersions {
    /// A version is named; gives whether it is newer than all before.
    pub fn add(&mut self, version: u64, times: VersionTimes) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.coming.push(Coming { version, times });
        true
    }

    /// Until when a request that was sent to a replica with `held` may wait there to begin; `None` for
    /// any time.
    pub fn start_deadline(&self, held: u64) -> Option<Time> {
        let newer = self.coming.iter().filter(|it| held < it.version);
        newer.map(|it| it.times.expired).min()
    }

    /// Newest version named; 0 for none.
    pub fn newest(&self) -> u64 {
        self.coming.last().map_or(self.due, |it| it.version)
    }

    /// Oldest version on which a request may begin now; `None` for any.
    pub fn oldest_allowed(&self, now: Time) -> Option<u64> {
        self.newest_of(|it| it.times.due <= now)
    }

    /// Oldest version on which a request begins now if a replica with it has room; `None` for any.
    pub fn oldest_preferred(&self, now: Time) -> Option<u64> {
        self.newest_of(|it| it.times.preferred <= now)
    }

    /// Forgets which versions were due before the newest of them.
    pub fn discard_superseded(&mut self, now: Time) {
        self.due = self.oldest_allowed(now).unwrap_or_default();
        let due = self.due;
        self.coming.retain(|it| due < it.version);
    }

    fn newest_of(&self, counts: impl Fn(&Coming) -> bool) -> Option<u64> {
        let counted = self.coming.iter().filter(|it| counts(it));
        let newest = counted.map(|it| it.version).fold(self.due, u64::max);
        (0 < newest).then_some(newest)
    }
}
