//! Metrics of a process, in the OpenMetrics text format.
//!
//! Label values come only from the bundle in force and from closed lists, so that invalid input
//! can't increase the number of time series.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
        histogram::exponential_buckets,
    },
    registry::Registry,
};

/// Histograms of durations in seconds by label.
pub type DurationHistograms<L> = Family<L, Histogram, fn() -> Histogram>;

/// Team and class of a request, both from the bundle.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Caller {
    /// Team.
    pub team: String,
    /// Class.
    pub class: String,
}

/// Team, class and outcome of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestOutcome {
    /// Team; `-` if it was not authenticated.
    pub team: String,
    /// Class; `-` if the team was not authenticated.
    pub class: String,
    /// `ok` or the name of an error kind.
    pub outcome: &'static str,
}

/// Source of a chunk.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Source {
    /// `peer`, `store` or `origin`.
    pub source: &'static str,
}

/// Reason or cause, from a closed list.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Reason {
    /// The reason.
    pub reason: &'static str,
}

/// Connections and requests that ended in favour of others.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// `public`, `peers` or `admin`.
    pub listener: &'static str,
    /// `connections` or `memory`.
    pub shortage: &'static str,
    /// State of the connection.
    pub activity: &'static str,
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<RequestOutcome, Counter>,
    /// Seconds until the first token.
    pub first_token: DurationHistograms<Caller>,
    /// Seconds between tokens.
    pub between_tokens: DurationHistograms<Caller>,
    /// Seconds until the end of a response.
    pub whole_answer: DurationHistograms<Caller>,
    /// Attempts after the first.
    pub retries: Counter,
    /// Replies that were incomplete or did not match their request, by error kind.
    pub bad_answers: Family<Reason, Counter>,
    /// Seconds to fetch a chunk.
    pub chunk_fetch: DurationHistograms<Source>,
    /// Bytes of weights fetched.
    pub chunk_bytes: Family<Source, Counter>,
    /// Chunks whose content did not match their digest.
    pub corrupt_chunks: Counter,
    /// Bytes of weights uploaded to peers.
    pub uploaded_bytes: Counter,
    /// Connections dropped because of malformed frames.
    pub malformed: Counter,
    /// Number of the bundle in force.
    pub bundle: Gauge,
    /// Bundles refused.
    pub bundles_refused: Counter,
    /// Failed calls to the platform.
    pub platform_faults: Family<Reason, Counter>,
    /// Connections and requests of clients that ended in favour of others.
    pub refused: Family<RefusalLabels, Counter>,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("gradeloft"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            between_tokens: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            whole_answer: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            retries: Counter::default(),
            bad_answers: Family::default(),
            chunk_fetch: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            chunk_bytes: Family::default(),
            corrupt_chunks: Counter::default(),
            uploaded_bytes: Counter::default(),
            malformed: Counter::default(),
            bundle: Gauge::default(),
            bundles_refused: Counter::default(),
            platform_faults: Family::default(),
            refused: Family::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&mut self) {
        let it = &mut self.registry;
        it.register(
            "refused_clients",
            "Connections and requests ended in favour of others, by listener, shortage and state",
            self.refused.clone(),
        );
        it.register("requests", "Requests by outcome", self.requests.clone());
        it.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        let between = self.between_tokens.clone();
        it.register("between_tokens_seconds", "Time between tokens", between);
        it.register(
            "whole_answer_seconds",
            "Time to the end of the response",
            self.whole_answer.clone(),
        );
        it.register("retries", "Attempts after the first", self.retries.clone());
        let bad = self.bad_answers.clone();
        it.register(
            "bad_answers",
            "Replies that were incomplete or did not match their request",
            bad,
        );
        it.register(
            "chunk_fetch_seconds",
            "Time to fetch a chunk",
            self.chunk_fetch.clone(),
        );
        it.register(
            "chunk_bytes",
            "Bytes of weights fetched",
            self.chunk_bytes.clone(),
        );
        let corrupt = self.corrupt_chunks.clone();
        it.register(
            "corrupt_chunks",
            "Chunks that did not match their digest",
            corrupt,
        );
        let uploaded = self.uploaded_bytes.clone();
        it.register(
            "uploaded_bytes",
            "Bytes of weights uploaded to peers",
            uploaded,
        );
        it.register(
            "malformed_connections",
            "Connections dropped because of malformed frames",
            self.malformed.clone(),
        );
        it.register(
            "bundle_number",
            "Number of the bundle in force",
            self.bundle.clone(),
        );
        it.register(
            "bundles_refused",
            "Bundles refused",
            self.bundles_refused.clone(),
        );
        let faults = self.platform_faults.clone();
        it.register("platform_faults", "Failed calls to the platform", faults);
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Records a duration in the histogram of a label.
pub fn observe<L>(family: &DurationHistograms<L>, label: &L, time: Duration)
where
    L: Clone + std::hash::Hash + Eq,
{
    family.get_or_create(label).observe(time.as_secs_f64());
}

fn duration_histogram() -> Histogram {
    // Buckets from 0.5 ms to 65 s.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}
