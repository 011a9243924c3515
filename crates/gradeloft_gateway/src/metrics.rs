//! Counters and histograms of a process, in the OpenMetrics text format.
//!
//! Labels take their values from the configuration in force and from closed lists, so that what
//! callers send can't grow them.

use std::{rc::Rc, sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::traffic::Sent;

/// How a request of a team ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Ending {
    /// Service; `-` without a route.
    pub service: String,
    /// From a closed list.
    pub outcome: &'static str,
}

/// A team.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Team {
    /// Name; `-` for requests without one.
    pub team: String,
}

/// Why something happened, from a closed list.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Reason {
    /// The reason.
    pub reason: &'static str,
}

/// Histograms of seconds, one for each team.
type Timing = Family<Team, Histogram, fn() -> Histogram>;

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<Ending, Counter>,
    /// Requests without a whole answer, by what ended them.
    pub cut: Family<Reason, Counter>,
    /// Connections of callers that ended while bytes of theirs were unread.
    pub closed_unread: Counter,
    /// Seconds until an answer begins.
    pub first_byte: Timing,
    /// Seconds until an answer is whole.
    pub whole_answer: Timing,
    /// Failed attempts, by failure.
    pub attempts: Family<Reason, Counter>,
    /// Requests that were sent again.
    pub repeats: Counter,
    /// Connections made to replicas.
    pub connections: Counter,
    /// Ends of replicas during requests of this entry, by what showed them.
    pub replica_ends: Family<Reason, Counter>,
    /// Requests that are shut out, as replicas end under them.
    pub quarantined: Gauge,
    /// Calls to the platform's store, by table.
    pub store_calls: Family<Reason, Counter>,
    /// Bytes sent to other processes, replicas and callers.
    pub sent: Family<Sent, Counter>,
    /// Datagrams that were too large to be sent.
    pub unsent: Counter,
    /// Calls to the platform's store that failed.
    pub store_faults: Counter,
    /// Bytes of the platform's tables that were read, by source.
    pub records: Family<Reason, Counter>,
    /// Asks for records that a peer did not answer with them, by reason.
    pub record_fetch_failures: Family<Reason, Counter>,
    /// Records of other writers that nothing can be made of, by table.
    pub unreadable_records: Family<Reason, Counter>,
    /// Seconds for which the operator's table has lacked what peers have; 0 if it lacks nothing.
    pub behind: Gauge<f64, AtomicU64>,
    /// Version of the configuration in force.
    pub config: Gauge,
    /// Replicas that are cold.
    pub cold: Gauge,
    /// Availability zones that are evacuated.
    pub evacuated: Gauge,
    /// Version of the weights that the replica beside an agent holds.
    pub weights: Gauge,
    /// Pieces of weights fetched, by source.
    pub pieces: Family<Reason, Counter>,
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Rc<Metrics> {
        let mut it = Metrics {
            registry: Registry::with_prefix("gradeloft"),
            requests: Family::default(),
            cut: Family::default(),
            closed_unread: Counter::default(),
            first_byte: Family::new_with_constructor(seconds as fn() -> Histogram),
            whole_answer: Family::new_with_constructor(seconds as fn() -> Histogram),
            attempts: Family::default(),
            repeats: Counter::default(),
            connections: Counter::default(),
            replica_ends: Family::default(),
            quarantined: Gauge::default(),
            store_calls: Family::default(),
            sent: Family::default(),
            unsent: Counter::default(),
            store_faults: Counter::default(),
            records: Family::default(),
            record_fetch_failures: Family::default(),
            unreadable_records: Family::default(),
            behind: Gauge::default(),
            config: Gauge::default(),
            cold: Gauge::default(),
            evacuated: Gauge::default(),
            weights: Gauge::default(),
            pieces: Family::default(),
        };
        it.register();
        Rc::new(it)
    }

    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Observes a time of a team's request.
    pub fn observe(family: &Timing, team: Option<&str>, time: Duration) {
        let label = Team {
            team: team.unwrap_or("-").to_owned(),
        };
        family.get_or_create(&label).observe(time.as_secs_f64());
    }

    fn register(&mut self) {
        let it = &mut self.registry;
        it.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        it.register(
            "cut_requests",
            "Requests without a whole answer, by what ended them",
            self.cut.clone(),
        );
        it.register(
            "connections_closed_unread",
            "Connections of callers that ended while bytes of theirs were unread",
            self.closed_unread.clone(),
        );
        it.register(
            "first_byte_seconds",
            "Time until an answer begins",
            self.first_byte.clone(),
        );
        it.register(
            "whole_answer_seconds",
            "Time until an answer is whole",
            self.whole_answer.clone(),
        );
        it.register("failed_attempts", "Failed attempts", self.attempts.clone());
        it.register("repeats", "Requests sent again", self.repeats.clone());
        it.register(
            "connections",
            "Connections made to replicas",
            self.connections.clone(),
        );
        it.register(
            "replica_ends",
            "Ends of replicas during requests, by evidence",
            self.replica_ends.clone(),
        );
        it.register(
            "quarantined_requests",
            "Requests that are shut out",
            self.quarantined.clone(),
        );
        it.register(
            "store_calls",
            "Calls to the store, by table",
            self.store_calls.clone(),
        );
        it.register("sent_bytes", "Bytes sent, by purpose", self.sent.clone());
        it.register(
            "unsent_datagrams",
            "Datagrams that were too large to be sent",
            self.unsent.clone(),
        );
        it.register(
            "store_faults",
            "Failed calls to the store",
            self.store_faults.clone(),
        );
        it.register(
            "records_bytes",
            "Bytes of the platform's tables read, by source",
            self.records.clone(),
        );
        it.register(
            "record_fetch_failures",
            "Asks for records that a peer did not answer with them",
            self.record_fetch_failures.clone(),
        );
        it.register(
            "unreadable_records",
            "Records that nothing can be made of, by table",
            self.unreadable_records.clone(),
        );
        it.register(
            "behind_seconds",
            "Time for which the operator's table has lacked what peers have",
            self.behind.clone(),
        );
        it.register(
            "config_version",
            "Configuration in force",
            self.config.clone(),
        );
        it.register("cold_replicas", "Replicas that are cold", self.cold.clone());
        it.register(
            "evacuated_zones",
            "Availability zones whose replicas get no requests",
            self.evacuated.clone(),
        );
        it.register(
            "weights_version",
            "Weights held by the replica",
            self.weights.clone(),
        );
        it.register("pieces", "Pieces of weights fetched", self.pieces.clone());
    }
}

fn seconds() -> Histogram {
    // From two milliseconds to eight seconds, beyond every deadline of today.
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}
