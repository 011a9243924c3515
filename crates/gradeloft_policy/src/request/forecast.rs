//! When a replica would begin an answer.
//!
//! An engine works in passes. In each it reads the prompts that wait, one after the other, and writes a
//! few tokens for every request whose answer has begun. So a request waits for a slot, for the pass that
//! goes on, for the prompts before its own, for its own, and for the pass that writes its first token.
//! The operator publishes how long each takes; what answers show corrects it for each replica.

use crate::process::document::Speed;

/// Least and most by which answers may correct a forecast. A replica that is slower than four times what
/// the operator publishes is too slow for any objective of today; one that seems twice as fast had
/// nothing else to do.
const LEAST_SLOWNESS: f64 = 0.5;
const MOST_SLOWNESS: f64 = 4.0;
/// Part that one answer has in the correction: some ten answers, about a second of a replica's work.
const WEIGHT: f64 = 0.1;

/// What a request finds at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queue {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests whose answer has begun.
    pub begun: u32,
    /// Requests whose answer has not begun.
    pub waiting: u32,
    /// Prompt tokens of those that wait.
    pub waiting_tokens: f64,
}

/// Time until the first token of an answer to a prompt of `prompt_tokens`, in milliseconds.
///
/// ```
/// use gradeloft_policy::{process::document::Speed, request::forecast::{Queue, first_token_ms}};
/// let speed = Speed {
///     step_ms: 7.0,
///     step_ms_per_request: 0.0,
///     steps: 6,
///     read_per_ms: 30.0,
///     usual_prompt: 900.0,
///     usual_answer: 120.0,
/// };
/// let idle = Queue { slots: 16, begun: 0, waiting: 0, waiting_tokens: 0.0 };
/// // Its own prompt, and one pass.
/// assert_eq!(first_token_ms(&speed, idle, 900.0), 72.0);
/// ```
pub fn first_token_ms(speed: &Speed, queue: Queue, prompt_tokens: f64) -> f64 {
    let writers = f64::from(queue.begun.min(queue.slots));
    let step_ms = speed.step_ms + speed.step_ms_per_request * writers;
    let pass_ms = step_ms * f64::from(speed.steps);
    // On average half of a pass is over when a request comes.
    let going_on_ms = if queue.begun == 0 { 0.0 } else { pass_ms / 2.0 };
    let reading_ms = (queue.waiting_tokens + prompt_tokens) / speed.read_per_ms;
    slot_ms(speed, queue, step_ms) + going_on_ms + reading_ms + pass_ms
}

/// Time until a slot is free, in milliseconds: the requests that hold one end evenly spread.
fn slot_ms(speed: &Speed, queue: Queue, step_ms: f64) -> f64 {
    let taken = queue.begun + queue.waiting;
    if taken < queue.slots {
        return 0.0;
    }
    let ahead = f64::from(taken - queue.slots + 1);
    let writing_ms = speed.usual_answer * step_ms;
    ahead * writing_ms / f64::from(queue.slots.max(1))
}

/// How much later than forecast a replica's answers begin, as a factor: 1 as published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness(1.0)
    }
}

impl Slowness {
    /// The factor.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Takes in that an answer began after `took_ms`, where the published speed let expect
    /// `expected_ms`.
    pub fn observe(&mut self, expected_ms: f64, took_ms: f64) {
        if expected_ms <= 0.0 {
            return;
        }
        let seen = (took_ms / expected_ms).clamp(LEAST_SLOWNESS, MOST_SLOWNESS);
        self.0 += WEIGHT * (seen - self.0);
    }
}
