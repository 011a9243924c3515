//! Rate-limited logging.
//!
//! Lines of a topic beyond its limit per second are dropped and counted; the count is logged before
//! the first line of a later second. Lines are written by a separate thread behind a bounded queue,
//! so a blocked reader of the log never blocks a request.

use std::{cell::RefCell, collections::HashMap};

use gradeloft_daemon::clock::Clock;
use slog::{Logger, info};

/// Topic of a log line. Each topic has its own rate limit, so that a flood of one does not displace
/// others.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Requests that were answered.
    Answered,
    /// Clients that were refused in favour of others.
    Clients,
    /// A dependency was lost or is back.
    Dependency,
    /// Requests that failed.
    Failed,
    /// State of replicas, peers and the configuration, as seen by the process.
    State,
    /// Distribution of weights.
    Weights,
}

impl Topic {
    /// Returns the limit in lines per second; for requests, about twice the rate of one entry in a
    /// fully loaded fleet.
    fn per_second(self) -> u32 {
        match self {
            Topic::Answered | Topic::Failed => 60,
            Topic::Clients | Topic::Dependency => 20,
            Topic::State | Topic::Weights => 40,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Topic::Answered => "answered",
            Topic::Clients => "clients",
            Topic::Dependency => "dependency",
            Topic::Failed => "failed",
            Topic::State => "state",
            Topic::Weights => "weights",
        }
    }
}

#[derive(Default)]
struct Second {
    number: u64,
    lines: u32,
    left_out: u32,
}

/// Rate-limited log of a process.
pub struct Logs {
    /// Underlying logger without a rate limit.
    pub root: Logger,
    clock: Clock,
    seconds: RefCell<HashMap<Topic, Second>>,
}

impl Logs {
    /// Creates a log that writes to `root`.
    pub fn new(root: Logger, clock: Clock) -> Logs {
        Logs {
            root,
            clock,
            seconds: RefCell::default(),
        }
    }

    /// Returns the logger for one line of a topic; `None` if the line must be dropped.
    pub fn line(&self, topic: Topic) -> Option<&Logger> {
        let number = self.clock.now().0 / 1_000_000;
        let mut seconds = self.seconds.borrow_mut();
        let second = seconds.entry(topic).or_default();
        if second.number != number {
            if 0 < second.left_out {
                info!(self.root, "lines left out"; "topic" => topic.name(), "count" => second.left_out);
            }
            *second = Second {
                number,
                ..Second::default()
            };
        }
        if topic.per_second() <= second.lines {
            second.left_out += 1;
            return None;
        }
        second.lines += 1;
        Some(&self.root)
    }
}
