//! Log lines with a bounded rate.
//!
//! Lines of one topic beyond a number a second are left out and counted; the count goes out with
//! the next second's first line. Writing happens on a thread of its own behind a bounded queue, so
//! a blocked reader of the log never blocks a request.

use std::{cell::RefCell, collections::HashMap};

use gradeloft_daemon::clock::Clock;
use slog::{Logger, info};

/// What a line is about; each topic has a rate of its own, so that a flood of one hides no other.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Requests that ended well.
    Answered,
    /// A dependency was lost or is back.
    Dependency,
    /// Requests that ended otherwise.
    Failed,
    /// What the process believes of replicas, peers, configuration.
    State,
    /// Weights.
    Weights,
}

impl Topic {
    /// Lines a second. Requests: about twice what one entry gets at the full rate of today's fleets.
    fn per_second(self) -> u32 {
        match self {
            Topic::Answered | Topic::Failed => 60,
            Topic::Dependency => 20,
            Topic::State | Topic::Weights => 40,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Topic::Answered => "answered",
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

/// The process's log.
pub struct Logs {
    /// Where lines go.
    pub root: Logger,
    clock: Clock,
    seconds: RefCell<HashMap<Topic, Second>>,
}

impl Logs {
    /// A log that writes to `root`.
    pub fn new(root: Logger, clock: Clock) -> Logs {
        Logs {
            root,
            clock,
            seconds: RefCell::default(),
        }
    }

    /// The logger for one line of a topic; `None` if the line has to be left out.
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
