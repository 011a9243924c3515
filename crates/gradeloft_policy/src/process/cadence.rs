//! Derives the interval between messages to other processes from a byte budget.
//!
//! The cost of control messages to a process must not grow with the fleet, since they share the
//! links of its instance and the links between regions with requests. Each kind of message
//! therefore has a budget in bytes a second. The interval is computed from the budget, the number
//! of receivers and the size of the message.

use std::time::Duration;

/// Size of the headers of a datagram on the wire, in bytes.
const HEADERS: usize = 28;

/// Budget of one kind of message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Bytes a second that a process sends.
    pub bytes_per_s: u64,
    /// Shortest interval; more frequent messages don't improve any receiver's decisions.
    pub shortest: Duration,
    /// Longest interval; with a longer one, receivers would consider the sender dead.
    pub longest: Duration,
}

impl Budget {
    /// Returns the interval between two messages of `bytes` bytes to each of `receivers` processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradeloft_policy::process::cadence::Budget;
    /// let ms = Duration::from_millis;
    /// let budget = Budget { bytes_per_s: 6_000, shortest: ms(125), longest: ms(1_000) };
    /// assert_eq!(budget.pause(5, 72), ms(125));
    /// assert_eq!(budget.pause(30, 92), ms(600));
    /// assert_eq!(budget.pause(300, 92), ms(1_000));
    /// ```
    pub fn pause(self, receivers: usize, bytes: usize) -> Duration {
        let all = receivers * (bytes + HEADERS);
        let pause_ms = all as u64 * 1_000 / self.bytes_per_s.max(1);
        Duration::from_millis(pause_ms).clamp(self.shortest, self.longest)
    }
}
