//! What is played.

use gradeloft_policy::process::document::Speed;
use serde::Serialize;

/// How entries decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Scheme {
    /// The replica with the fewest requests that is known to have room, in the order of arrival; a
    /// baseline.
    FewestRequests,
    /// What gradeloft does.
    Gradeloft,
    /// One replica after the other; a baseline.
    RoundRobin,
    /// The less busy of two drawn at random; a baseline.
    TwoChoices,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Part of all requests.
    pub part: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
    /// Time within which the first token is to come, in milliseconds.
    pub goal_ms: u64,
}

/// Replicas that are away for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loss {
    /// When they leave, in milliseconds.
    pub at_ms: u64,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// How many.
    pub replicas: usize,
}

/// A load on a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// How entries decide.
    pub scheme: Scheme,
    /// Entries.
    pub entries: usize,
    /// Replicas.
    pub replicas: usize,
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// How fast replicas work.
    pub speed: Speed,
    /// Kinds of requests; their parts sum up to 1.
    pub kinds: Vec<Kind>,
    /// Requests a second.
    pub rate: f64,
    /// How long requests come, in milliseconds.
    pub length_ms: u64,
    /// How long a caller waits in all, in milliseconds.
    pub patience_ms: u64,
    /// Pause between what entries tell each other, in milliseconds.
    pub view_ms: u64,
    /// Replicas that are away for a while.
    pub losses: Vec<Loss>,
}

impl Load {
    /// Twelve replicas of a large model behind nine entries, at a rate that is this part of what the
    /// replicas can answer.
    pub fn at(part: f64) -> Load {
        let kind = |part, prompt, answer, goal_ms| Kind {
            part,
            prompt,
            answer,
            goal_ms,
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
                usual_answer: 120.0,
            },
            kinds: vec![
                kind(0.4, 1_300.0, 144.0, 400),
                kind(0.3, 800.0, 144.0, 400),
                kind(0.3, 600.0, 72.0, 300),
            ],
            rate: 0.0,
            length_ms: 20_000,
            patience_ms: 6_000,
            view_ms: 125,
            losses: Vec::new(),
        };
        Load {
            rate: part * load.capacity(),
            ..load
        }
    }

    /// Requests a second that all replicas together answer with every slot taken: the slots' tokens in the
    /// time that reading prompts leaves.
    pub fn capacity(&self) -> f64 {
        let mean =
            |of: fn(&Kind) -> f64| -> f64 { self.kinds.iter().map(|it| it.part * of(it)).sum() };
        let step_ms = self.speed.step_ms + self.speed.step_ms_per_request * f64::from(self.slots);
        let writing_ms = mean(|it| it.answer) * step_ms / f64::from(self.slots);
        let reading_ms = mean(|it| it.prompt) / self.speed.read_per_ms;
        self.replicas as f64 * 1_000.0 / (writing_ms + reading_ms)
    }
}
