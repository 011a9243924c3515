//! Counters and histograms of a process, in the OpenMetrics text format.
//!
//! Label values come from the configuration in force and from fixed sets, so callers can't increase
//! their number.

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

use crate::traffic::TrafficLabels;

/// Labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Service; `-` without a route.
    pub service: String,
    /// Outcome, from a fixed set.
    pub outcome: &'static str,
}

/// Label of a team.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Team {
    /// Name; `-` for requests without one.
    pub team: String,
}

/// Label of a service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Service {
    /// Name.
    pub service: String,
}

/// Label with a reason from a fixed set.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Reason {
    /// Reason.
    pub reason: &'static str,
}

/// Labels of connections and requests that ended in favour of others.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// Listener, from a fixed set.
    pub listener: &'static str,
    /// `connections` or `memory`.
    pub shortage: &'static str,
    /// State of the connection.
    pub activity: &'static str,
}

/// Labels of the requests for a service at one precedence.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AdmissionLabels {
    /// Service.
    pub service: String,
    /// Priority of the teams.
    pub team_priority: u32,
    /// Priority of the routes.
    pub priority: u32,
}

/// Histograms of durations in seconds, one for each team.
type Timing = Family<Team, Histogram, fn() -> Histogram>;

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Fraction of the requests that is admitted, by service and precedence.
    pub admitted_fraction: Family<AdmissionLabels, Gauge<f64, AtomicU64>>,
    /// Requests that wait for a replica with room, by service.
    pub waiting: Family<Service, Gauge>,
    /// Requests that were refused while they waited, as more urgent ones arrived, by service.
    pub evictions: Family<Service, Counter>,
    /// Requests without a complete response, by the reason of the abort.
    pub cut: Family<Reason, Counter>,
    /// Connections of callers that were closed with unread bytes.
    pub closed_unread: Counter,
    /// Content of datagrams that was not kept for lack of room, by table.
    pub unkept: Family<Reason, Counter>,
    /// Requests that were refused in favour of callers that do not pipeline.
    pub made_way: Counter,
    /// Connections and requests of clients that ended in favour of others.
    pub refused_clients: Family<RefusalLabels, Counter>,
    /// Open connections of callers.
    pub callers: Gauge,
    /// Bytes that callers hold beyond the allowances of their connections, now and at most.
    pub caller_bytes: Family<Reason, Gauge>,
    /// Seconds until a response begins.
    pub first_byte: Timing,
    /// Seconds until a response is complete.
    pub whole_answer: Timing,
    /// Failed attempts, by failure.
    pub attempts: Family<Reason, Counter>,
    /// Requests that were retried or hedged.
    pub repeats: Counter,
    /// Returns of refused callers, by what became of the reservation.
    pub returns: Family<Reason, Counter>,
    /// Connections opened to replicas.
    pub connections: Counter,
    /// Closes that may end a response without a length, by whether the replica confirmed that it runs.
    pub closes: Family<Reason, Counter>,
    /// Ends of replicas during requests of this entry, by evidence.
    pub replica_ends: Family<Reason, Counter>,
    /// Requests that are quarantined, as they crash replicas.
    pub quarantined: Gauge,
    /// Calls to the platform's store, by table.
    pub store_calls: Family<Reason, Counter>,
    /// Bytes sent to other processes, replicas and callers.
    pub sent: Family<TrafficLabels, Counter>,
    /// Datagrams that were too large to send.
    pub unsent: Counter,
    /// Failed calls to the platform's store.
    pub store_faults: Counter,
    /// Bytes read of the platform's tables, by source.
    pub records: Family<Reason, Counter>,
    /// Failed fetches of records from peers, by reason.
    pub record_fetch_failures: Family<Reason, Counter>,
    /// Times in which no task of this process ran for over a second, although its machine did.
    pub stalls: Counter,
    /// Removals of replicas, by whether they were trusted at once.
    pub removals: Family<Reason, Counter>,
    /// Records of other writers that can't be parsed, by table.
    pub unreadable_records: Family<Reason, Counter>,
    /// Seconds for which the copy of the operator's table has been behind that of peers; 0 if it is
    /// up to date.
    pub behind: Gauge<f64, AtomicU64>,
    /// Version of the configuration in force.
    pub config: Gauge,
    /// Replicas that are cold.
    pub cold: Gauge,
    /// Replicas that limit the request rate.
    pub limited: Gauge,
    /// Replicas that say that they are leaving.
    pub leaving: Gauge,
    /// Replicas that asked this entry for a pause that is not over.
    pub resting: Gauge,
    /// Availability zones that are evacuated.
    pub evacuated: Gauge,
    /// Highest era of the store that a copy of a table has reached.
    pub store_era: Gauge,
    /// Records that are kept although the store lost them in a restore.
    pub kept_records: Gauge,
    /// Version of the weights loaded by the replica beside an agent.
    pub weights: Gauge,
    /// Loads of chunks that may have been corrupt.
    pub suspect_loads: Counter,
    /// Chunks of weights fetched, by source.
    pub fetched_chunks: Family<Reason, Counter>,
}

impl Metrics {
    /// Creates all metrics, at zero.
    pub fn new() -> Rc<Metrics> {
        let mut it = Metrics {
            registry: Registry::with_prefix("gradeloft"),
            requests: Family::default(),
            admitted_fraction: Family::default(),
            waiting: Family::default(),
            evictions: Family::default(),
            cut: Family::default(),
            closed_unread: Counter::default(),
            first_byte: Family::new_with_constructor(seconds as fn() -> Histogram),
            whole_answer: Family::new_with_constructor(seconds as fn() -> Histogram),
            attempts: Family::default(),
            unkept: Family::default(),
            made_way: Counter::default(),
            refused_clients: Family::default(),
            callers: Gauge::default(),
            caller_bytes: Family::default(),
            repeats: Counter::default(),
            returns: Family::default(),
            connections: Counter::default(),
            closes: Family::default(),
            replica_ends: Family::default(),
            quarantined: Gauge::default(),
            store_calls: Family::default(),
            sent: Family::default(),
            unsent: Counter::default(),
            store_faults: Counter::default(),
            records: Family::default(),
            record_fetch_failures: Family::default(),
            stalls: Counter::default(),
            removals: Family::default(),
            unreadable_records: Family::default(),
            behind: Gauge::default(),
            config: Gauge::default(),
            cold: Gauge::default(),
            limited: Gauge::default(),
            leaving: Gauge::default(),
            resting: Gauge::default(),
            evacuated: Gauge::default(),
            store_era: Gauge::default(),
            kept_records: Gauge::default(),
            weights: Gauge::default(),
            suspect_loads: Counter::default(),
            fetched_chunks: Family::default(),
        };
        it.register();
        Rc::new(it)
    }

    /// Encodes the metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Records a duration of a team's request.
    pub fn observe(family: &Timing, team: Option<&str>, time: Duration) {
        let label = Team {
            team: team.unwrap_or("-").to_owned(),
        };
        family.get_or_create(&label).observe(time.as_secs_f64());
    }

    fn register(&mut self) {
        let it = &mut self.registry;
        it.register("requests", "Requests by outcome", self.requests.clone());
        it.register(
            "admitted_fraction",
            "Fraction of requests admitted, by service and precedence",
            self.admitted_fraction.clone(),
        );
        it.register(
            "waiting_requests",
            "Requests that wait for a replica with room, by service",
            self.waiting.clone(),
        );
        it.register(
            "evicted_requests",
            "Waiting requests refused as more urgent ones arrived, by service",
            self.evictions.clone(),
        );
        it.register(
            "cut_requests",
            "Requests without a complete response, by reason",
            self.cut.clone(),
        );
        it.register(
            "connections_closed_unread",
            "Connections of callers that were closed with unread bytes",
            self.closed_unread.clone(),
        );
        it.register(
            "unkept_datagram_content",
            "Content of datagrams that was not kept for lack of room, by table",
            self.unkept.clone(),
        );
        it.register(
            "made_way",
            "Requests refused in favour of callers that do not pipeline",
            self.made_way.clone(),
        );
        it.register(
            "refused_clients",
            "Connections and requests ended in favour of others, by listener, shortage and state",
            self.refused_clients.clone(),
        );
        it.register(
            "open_callers",
            "Open connections of callers",
            self.callers.clone(),
        );
        it.register(
            "caller_bytes",
            "Bytes that callers hold in shared memory, now and at most",
            self.caller_bytes.clone(),
        );
        it.register(
            "first_byte_seconds",
            "Time until a response begins",
            self.first_byte.clone(),
        );
        it.register(
            "whole_answer_seconds",
            "Time until a response is complete",
            self.whole_answer.clone(),
        );
        it.register("failed_attempts", "Failed attempts", self.attempts.clone());
        it.register(
            "repeats",
            "Requests retried or hedged",
            self.repeats.clone(),
        );
        it.register(
            "returns",
            "Refused callers with a reservation for their return, and without one",
            self.returns.clone(),
        );
        it.register(
            "connections",
            "Connections opened to replicas",
            self.connections.clone(),
        );
        it.register(
            "closes",
            "Closes that may end a response without a length, by what the replica said after them",
            self.closes.clone(),
        );
        it.register(
            "replica_ends",
            "Ends of replicas during requests, by evidence",
            self.replica_ends.clone(),
        );
        it.register(
            "quarantined_requests",
            "Requests that are quarantined",
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
            "Datagrams that were too large to send",
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
            "Failed fetches of records from peers, by reason",
            self.record_fetch_failures.clone(),
        );
        it.register(
            "stalls",
            "Times in which no task of this process ran for over a second",
            self.stalls.clone(),
        );
        it.register(
            "removals",
            "Removals of replicas, by trust",
            self.removals.clone(),
        );
        it.register(
            "unreadable_records",
            "Records that can't be parsed, by table",
            self.unreadable_records.clone(),
        );
        it.register(
            "behind_seconds",
            "Time for which the operator's table has been behind that of peers",
            self.behind.clone(),
        );
        it.register(
            "config_version",
            "Version of the configuration in force",
            self.config.clone(),
        );
        it.register("cold_replicas", "Replicas that are cold", self.cold.clone());
        it.register(
            "limited_replicas",
            "Replicas that limit the request rate",
            self.limited.clone(),
        );
        it.register(
            "leaving_replicas",
            "Replicas that say that they are leaving",
            self.leaving.clone(),
        );
        it.register(
            "resting_replicas",
            "Replicas that asked this entry for a pause",
            self.resting.clone(),
        );
        it.register(
            "evacuated_zones",
            "Availability zones whose replicas get no requests",
            self.evacuated.clone(),
        );
        it.register(
            "store_era",
            "Highest era of the store that a table has reached",
            self.store_era.clone(),
        );
        it.register(
            "kept_records",
            "Records kept although the store lost them",
            self.kept_records.clone(),
        );
        it.register(
            "weights_version",
            "Version of the weights loaded by the replica",
            self.weights.clone(),
        );
        it.register(
            "suspect_loads",
            "Loads of chunks that may have been corrupt",
            self.suspect_loads.clone(),
        );
        it.register(
            "pieces",
            "Chunks of weights fetched",
            self.fetched_chunks.clone(),
        );
    }
}

fn seconds() -> Histogram {
    // From two milliseconds to eight seconds, which is beyond all deadlines.
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}
