//! Reasons why a request ends without a complete response, for logs and metrics.

use std::rc::Rc;

use gradeloft_policy::{clock::Time, process::drain::Drain, request::attempt::Failure};
use slog::info;

use super::Entry;
use crate::{logs::Topic, metrics::Reason};

/// Reason why a request ended before its response was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbortReason {
    /// The caller closed the connection.
    CallerLeft,
    /// The caller's connection failed or accepted too little data while a response was sent.
    CallerStalled,
    /// The replica failed, and no other could continue the response.
    Replica(Failure),
    /// This process shut down.
    Shutdown,
    /// The deadline of the request passed.
    Time,
}

impl AbortReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AbortReason::CallerLeft => "caller_left",
            AbortReason::CallerStalled => "caller_stalled",
            AbortReason::Replica(failure) => failure.name(),
            AbortReason::Shutdown => "shutdown",
            AbortReason::Time => "time",
        }
    }
}

/// Guard that logs and counts a request as cut off if the process ends before the request does.
pub(super) struct ShutdownGuard {
    entry: Rc<Entry>,
    request: String,
    received: Time,
}

impl ShutdownGuard {
    /// Guards a request until [`ShutdownGuard::disarm`].
    pub(super) fn begin(entry: &Rc<Entry>, request: &str, received: Time) -> ShutdownGuard {
        ShutdownGuard {
            entry: Rc::clone(entry),
            request: request.to_owned(),
            received,
        }
    }

    /// Disarms the guard after the request has ended and its log line is written.
    pub(super) fn disarm(mut self) {
        self.request.clear();
    }
}

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        if self.request.is_empty() {
            return;
        }
        self.entry.count_cut_off(AbortReason::Shutdown);
        if let Some(log) = self.entry.node.logs.line(Topic::Failed) {
            let age = self.entry.node.clock.now().since(self.received);
            info!(log, "request"; "request" => &self.request, "outcome" => "cut",
                "ended_by" => AbortReason::Shutdown.name(), "ms" => age.as_millis() as u64,
                "leaving_ms" => self.entry.draining_ms());
        }
    }
}

impl Entry {
    /// Counts a request that ended without a complete response.
    pub(super) fn count_cut_off(&self, abort_reason: AbortReason) {
        let label = Reason {
            reason: abort_reason.name(),
        };
        self.node.metrics.cut.get_or_create(&label).inc();
    }

    /// Returns the time for which this process has been draining, in milliseconds; -1 if it is not.
    pub(super) fn draining_ms(&self) -> i64 {
        let since = |it: Drain| self.node.clock.now().since(it.since).as_millis() as i64;
        self.drain.get().map_or(-1, since)
    }
}
