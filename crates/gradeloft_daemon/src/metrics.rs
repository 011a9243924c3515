//! Metrics of a process, in the OpenMetrics text format.
//!
//! Labels take their values from the bundle in force and from closed lists only, so that bad input
//! can't grow them.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
        histogram::exponential_buckets,
    },
    registry::Registry,
};

/// Histograms of durations, one for each label.
pub type Timing<L> = Family<L, Histogram, fn() -> Histogram>;

/// A team of the bundle and a class of it.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Caller {
    /// Team.
    pub team: String,
    /// Class.
    pub class: String,
}

/// A team, a class and how a request ended: `ok` or the name of an error kind.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestOutcome {
    /// Team; `-` while it is not proved.
    pub team: String,
    /// Class; `-` while the team is not proved.
    pub class: String,
    /// How it ended.
    pub outcome: &'static str,
}

/// Where a chunk came from.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Source {
    /// `peer`, `store` or `origin`.
    pub source: &'static str,
}

/// Why something happened, from a closed list.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Reason {
    /// The reason.
    pub reason: &'static str,
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<RequestOutcome, Counter>,
    /// Seconds until the first token or the head of an answer.
    pub first_token: Timing<Caller>,
    /// Seconds between tokens.
    pub between_tokens: Timing<Caller>,
    /// Seconds until the end of an answer.
    pub whole_answer: Timing<Caller>,
    /// Attempts after the first.
    pub retries: Counter,
    /// Answers that were not whole or not their request's own, by error kind.
    pub bad_answers: Family<Reason, Counter>,
    /// Seconds to fetch a chunk.
    pub chunk_fetch: Timing<Source>,
    /// Bytes of weights fetched.
    pub chunk_bytes: Family<Source, Counter>,
    /// Chunks whose content did not have its digest.
    pub corrupt_chunks: Counter,
    /// Bytes of weights given to peers.
    pub uploaded_bytes: Counter,
    /// Connections dropped because they carried no valid frames.
    pub malformed: Counter,
    /// Number of the bundle in force.
    pub bundle: Gauge,
    /// Bundles refused.
    pub bundles_refused: Counter,
    /// Calls to the platform that failed.
    pub platform_faults: Family<Reason, Counter>,
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("gradeloft"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(seconds as fn() -> Histogram),
            between_tokens: Family::new_with_constructor(seconds as fn() -> Histogram),
            whole_answer: Family::new_with_constructor(seconds as fn() -> Histogram),
            retries: Counter::default(),
            bad_answers: Family::default(),
            chunk_fetch: Family::new_with_constructor(seconds as fn() -> Histogram),
            chunk_bytes: Family::default(),
            corrupt_chunks: Counter::default(),
            uploaded_bytes: Counter::default(),
            malformed: Counter::default(),
            bundle: Gauge::default(),
            bundles_refused: Counter::default(),
            platform_faults: Family::default(),
        };
        metrics.register();
        metrics
    }

    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&mut self) {
        let it = &mut self.registry;
        it.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        it.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        let between = self.between_tokens.clone();
        it.register("between_tokens_seconds", "Time between tokens", between);
        it.register(
            "whole_answer_seconds",
            "Time to the whole answer",
            self.whole_answer.clone(),
        );
        it.register("retries", "Attempts after the first", self.retries.clone());
        let bad = self.bad_answers.clone();
        it.register(
            "bad_answers",
            "Answers cut, crossed, mixed or repeated",
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
        it.register("corrupt_chunks", "Chunks with a wrong digest", corrupt);
        let uploaded = self.uploaded_bytes.clone();
        it.register(
            "uploaded_bytes",
            "Bytes of weights given to peers",
            uploaded,
        );
        it.register(
            "malformed_connections",
            "Connections dropped",
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

/// Observes a duration, in seconds.
pub fn observe<L>(family: &Timing<L>, label: &L, time: Duration)
where
    L: Clone + std::hash::Hash + Eq,
{
    family.get_or_create(label).observe(time.as_secs_f64());
}

fn seconds() -> Histogram {
    // From half a millisecond to a minute.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}
