//! Parameters of a run.

use gradeloft_policy::process::document::Speed;
use serde::Serialize;

/// Scheme by which entries choose replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Scheme {
    /// Baseline: the replica with the fewest requests among those known to have room, with queues in
    /// order of arrival.
    FewestRequests,
    /// The policy of gradeloft.
    Gradeloft,
    /// Baseline: each replica in turn.
    RoundRobin,
    /// Baseline: the less loaded of two replicas drawn at random.
    TwoChoices,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Fraction of all requests.
    pub fraction: f64,
    /// Mean number of tokens of a prompt.
    pub prompt_tokens: f64,
    /// Mean number of tokens of an answer.
    pub answer_tokens: f64,
    /// Target time to the first token, in milliseconds.
    pub first_token_goal_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
}

/// Temporary outage of some replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Start, in milliseconds from the start of the run.
    pub start_ms: u64,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Number of replicas that are unavailable.
    pub replicas: usize,
}

/// Temporary change of the rate of new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start, in milliseconds from the start of the run.
    pub start_ms: u64,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Factor by which the rate changes.
    pub factor: f64,
}

impl Surge {
    fn includes(self, at_ms: u64) -> bool {
        (self.start_ms..self.start_ms + self.duration_ms).contains(&at_ms)
    }
}

/// A fleet and the load on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Scheme by which entries choose replicas.
    pub scheme: Scheme,
    /// Number of entries.
    pub entries: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Requests that a replica processes concurrently.
    pub slots: u32,
    /// Speed of the replicas.
    pub speed: Speed,
    /// Kinds of requests; their fractions add up to 1.
    pub kinds: Vec<RequestKind>,
    /// New requests per second.
    pub rate: f64,
    /// Time during which new requests arrive, in milliseconds.
    pub arrivals_ms: u64,
    /// Time that a caller waits in total, in milliseconds.
    pub caller_timeout_ms: u64,
    /// Interval at which entries exchange their views, in milliseconds.
    pub exchange_interval_ms: u64,
    /// Temporary outages of replicas.
    pub outages: Vec<Outage>,
    /// Times in which responses of some replicas do not end, so that requests there end at their
    /// deadlines.
    pub endless: Vec<Outage>,
    /// Temporary changes of the rate.
    pub surges: Vec<Surge>,
    /// Time from which the reports of entries no longer reach the others, in milliseconds.
    pub silent_from_ms: Option<u64>,
}

impl Load {
    /// Returns a load on twelve replicas of a large model behind nine entries; `utilization` is the
    /// rate as a fraction of the replicas' capacity.
    pub fn at_utilization(utilization: f64) -> Load {
        let kind = |fraction, prompt_tokens, answer_tokens, first_token_goal_ms| RequestKind {
            fraction,
            prompt_tokens,
            answer_tokens,
            first_token_goal_ms,
            priority: 1,
        };
        let load = Load {
            scheme: Scheme::Gradeloft,
            entries: 9,
            replicas: 12,
            slots: 16,
            speed: Speed {
                step_ms: 7.0,
                step_ms_per_request: 0.02,
                steps: 6,
                read_per_ms: 30.0,
                usual_prompt: 950.0,
                usual_response: 120.0,
            },
            kinds: vec![
                kind(0.4, 1_300.0, 144.0, 400),
                kind(0.3, 800.0, 144.0, 400),
                kind(0.3, 600.0, 72.0, 300),
            ],
            rate: 0.0,
            arrivals_ms: 20_000,
            caller_timeout_ms: 6_000,
            exchange_interval_ms: 125,
            outages: Vec::new(),
            endless: Vec::new(),
            surges: Vec::new(),
            silent_from_ms: None,
        };
        Load {
            rate: utilization * load.capacity(),
            ..load
        }
    }

    /// Returns the load with three kinds of requests of different priorities, of which the least
    /// urgent has the longest objective. `rate` and all other parameters stay the same.
    pub fn with_priorities(self) -> Load {
        let kind = |priority, fraction, prompt_tokens, first_token_goal_ms| RequestKind {
            fraction,
            prompt_tokens,
            answer_tokens: 120.0,
            first_token_goal_ms,
            priority,
        };
        Load {
            kinds: vec![
                kind(0, 0.4, 950.0, 400),
                kind(1, 0.3, 950.0, 500),
                kind(2, 0.3, 950.0, 1_000),
            ],
            ..self
        }
    }

    /// Returns whether the kinds of requests differ in priority.
    pub fn ranks_requests(&self) -> bool {
        self.kinds
            .windows(2)
            .any(|it| it[0].priority != it[1].priority)
    }

    /// Returns the new requests per second at a time.
    pub fn rate_at(&self, at_ms: u64) -> f64 {
        let factors = self.surges.iter().filter(|it| it.includes(at_ms));
        factors.fold(self.rate, |rate, it| rate * it.factor)
    }

    /// Returns the requests per second that all replicas together answer with every slot in use:
    /// each request takes the time to process its prompt and its share of the decoding steps.
    pub fn capacity(&self) -> f64 {
        let mean = |value: fn(&RequestKind) -> f64| -> f64 {
            self.kinds.iter().map(|it| it.fraction * value(it)).sum()
        };
        let step_ms = self.speed.step_ms + self.speed.step_ms_per_request * f64::from(self.slots);
        let decoding_ms = mean(|it| it.answer_tokens) * step_ms / f64::from(self.slots);
        let prefill_ms = mean(|it| it.prompt_tokens) / self.speed.read_per_ms;
        self.replicas as f64 * 1_000.0 / (decoding_ms + prefill_ms)
    }
}
