//! Load of chunks that may have been corrupt.
//!
//! An engine does not load a version again that it holds. A replica with a suspect load therefore
//! gets no requests until it holds another version or has restarted.

use crate::process::replica_starts;

/// Load of a version, by one start of a replica, with chunks that may have been corrupt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectLoad {
    /// Start time of the replica in Unix milliseconds, if reported.
    pub born: Option<u64>,
    /// Version.
    pub version: u64,
}

impl SuspectLoad {
    /// Returns whether the replica may still hold the weights of this load. `born`, `version` and
    /// `busy` are its current start, the version that it holds, and whether it is loading.
    ///
    /// ```
    /// use gradeloft_policy::version::suspect_load::SuspectLoad;
    /// let load = SuspectLoad { born: Some(7), version: 2 };
    /// assert!(load.may_be_held(Some(7), Some(1), true));
    /// assert!(load.may_be_held(Some(7), Some(2), false));
    /// assert!(!load.may_be_held(Some(7), Some(3), false));
    /// assert!(!load.may_be_held(Some(8), Some(2), false));
    /// ```
    pub fn may_be_held(self, born: Option<u64>, version: Option<u64>, busy: bool) -> bool {
        !replica_starts::differ(self.born, born) && (busy || version == Some(self.version))
    }
}
