//! Versions of a model's weights on which requests may begin.
//!
//! The operator may name a version while its predecessor is still being rolled out. Each version is
//! due at its own time, so the oldest allowed version is the newest one that is due. A version is
//! preferred for some time before it is due: requests go to replicas that hold the version if any
//! of these replicas has capacity, so that few requests wait at a replica whose version will soon
//! be too old.

use crate::clock::Time;

/// A version that is not due yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct UpcomingVersion {
    version: u64,
    times: VersionTimes,
}

/// Times at which a version becomes preferred and then required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionTimes {
    /// Time from which requests go to replicas that hold the version, if any of them has capacity.
    pub preferred: Time,
    /// Time from which requests go only to replicas that hold the version or a newer one. Not
    /// before `preferred`.
    pub due: Time,
    /// Time at which requests that have not begun at other replicas are withdrawn. Not before
    /// `due`.
    pub expired: Time,
}

/// Versions of one model that the operator has named.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NamedVersions {
    /// Versions that are not due yet, in ascending order.
    upcoming: Vec<UpcomingVersion>,
    /// Newest version that is due; 0 if there is none.
    due: u64,
}

impl NamedVersions {
    /// Adds a version if it is newer than all others, and returns whether it was added.
    pub fn add(&mut self, version: u64, times: VersionTimes) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.upcoming.push(UpcomingVersion { version, times });
        true
    }

    /// Returns the time by which a request sent to a replica that holds the version `held` must
    /// begin there; `None` if there is no limit.
    pub fn start_deadline(&self, held: u64) -> Option<Time> {
        let newer = self.upcoming.iter().filter(|it| held < it.version);
        newer.map(|it| it.times.expired).min()
    }

    /// Returns the newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.upcoming.last().map_or(self.due, |it| it.version)
    }

    /// Returns the oldest version on which a request may begin now; `None` if any version is
    /// allowed.
    pub fn oldest_allowed(&self, now: Time) -> Option<u64> {
        self.newest_of(|it| it.times.due <= now)
    }

    /// Returns the oldest version on which a request should begin now while a replica that holds
    /// such a version has capacity; `None` if no version is preferred.
    pub fn oldest_preferred(&self, now: Time) -> Option<u64> {
        self.newest_of(|it| it.times.preferred <= now)
    }

    /// Discards versions that are due and superseded by a newer one that is due.
    pub fn discard_superseded(&mut self, now: Time) {
        self.due = self.oldest_allowed(now).unwrap_or_default();
        let due = self.due;
        self.upcoming.retain(|it| due < it.version);
    }

    fn newest_of(&self, applies: impl Fn(&UpcomingVersion) -> bool) -> Option<u64> {
        let applicable = self.upcoming.iter().filter(|it| applies(it));
        let newest = applicable.map(|it| it.version).fold(self.due, u64::max);
        (0 < newest).then_some(newest)
    }
}
