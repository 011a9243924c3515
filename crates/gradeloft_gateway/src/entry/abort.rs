//! What ended a request that got no whole answer, as logs and metrics tell it.

use std::rc::Rc;

use gradeloft_policy::{clock::Time, process::drain::Drain, request::attempt::Failure};
use slog::info;

use super::Entry;
use crate::{logs::Topic, metrics::Reason};

/// What ended a request before its answer was whole. A closed list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's connection failed, or took too little, while an answer went out to it.
    CallerStalled,
    /// The replica, and no other could go on.
    Replica(Failure),
    /// This process ended.
    Shutdown,
    /// The time that the request had.
    Time,
}

impl Ending {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ending::CallerLeft => "caller_left",
            Ending::CallerStalled => "caller_stalled",
            Ending::Replica(failure) => failure.name(),
            Ending::Shutdown => "shutdown",
            Ending::Time => "time",
        }
    }
}

/// Tells of a request whose process ends before it does.
pub(super) struct Watched {
    entry: Rc<Entry>,
    request: String,
    received: Time,
}

impl Watched {
    /// Watches a request until [`Watched::concluded`].
    pub(super) fn begin(entry: &Rc<Entry>, request: &str, received: Time) -> Watched {
        Watched {
            entry: Rc::clone(entry),
            request: request.to_owned(),
            received,
        }
    }

    /// The request has ended, and its line is written.
    pub(super) fn concluded(mut self) {
        self.request.clear();
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if self.request.is_empty() {
            return;
        }
        self.entry.count_cut(Ending::Shutdown);
        if let Some(log) = self.entry.node.logs.line(Topic::Failed) {
            let age = self.entry.node.clock.now().since(self.received);
            info!(log, "request"; "request" => &self.request, "outcome" => "cut",
                "ended_by" => Ending::Shutdown.name(), "ms" => age.as_millis() as u64,
                "leaving_ms" => self.entry.leaving_ms());
        }
    }
}

impl Entry {
    /// Counts a request that ended without a whole answer.
    pub(super) fn count_cut(&self, ending: Ending) {
        let label = Reason {
            reason: ending.name(),
        };
        self.node.metrics.cut.get_or_create(&label).inc();
    }

    /// For how long this process has been leaving, in milliseconds; -1 if it is not.
    pub(super) fn leaving_ms(&self) -> i64 {
        let since = |it: Drain| self.node.clock.now().since(it.since).as_millis() as i64;
        self.leave.get().map_or(-1, since)
    }
}
