//! Time for which a verification of staged chunks is valid.
//!
//! A replica loads the staged chunks without checks, as they are when it accepts an order. Chunks
//! can become corrupt at any time, and the process or the machine of an agent can be paused between
//! any two steps. The validity of a verification is therefore bounded by time and not by the steps
//! that follow it. A restarted replica may have lost its staged chunks, so a verification is also
//! bound to one start of the replica.

use std::time::Duration;

use crate::{clock::Time, process::replica_starts};

/// Maximum age of a verification when the replica accepts the order. Requests may be served with a
/// chunk that became corrupt up to 3 s before the load; half a second of this is margin.
const MAX_AGE_AT_LOAD: Duration = Duration::from_millis(2_500);
/// Maximum age of a verification when the order is sent. The waits between the two take up to 1.1 s
/// unless something stalls, and the rest of [`MAX_AGE_AT_LOAD`] is left for the replica's response.
const MAX_AGE_AT_ORDER: Duration = Duration::from_millis(1_500);

/// Successful verification of the staged chunks of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verification {
    /// Time before the first chunk was read. Each chunk may have become corrupt from then on.
    started: Time,
    /// Start of the replica whose chunks were read, in Unix milliseconds, if reported.
    born: Option<u64>,
}

impl Verification {
    /// Creates the result of a verification that was started at a time; `born` is the start of the
    /// replica.
    pub fn new(started: Time, born: Option<u64>) -> Verification {
        Verification { started, born }
    }

    /// Returns whether the chunks of another start of the replica were verified.
    pub fn is_of_other_start(self, born: Option<u64>) -> bool {
        replica_starts::differ(self.born, born)
    }

    /// Returns the age, from the start of the verification.
    pub fn age(self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns whether a load of the chunks may be ordered without another verification.
    pub fn permits_order(self, now: Time) -> bool {
        self.age(now) <= MAX_AGE_AT_ORDER
    }

    /// Returns whether the chunks were intact in a load whose order was accepted by `accepted`.
    pub fn covers_load(self, accepted: Time) -> bool {
        self.age(accepted) <= MAX_AGE_AT_LOAD
    }
}
