//! Forecasts when a replica sends the first token of a response.
//!
//! An engine works in passes. In each pass it reads the waiting prompts one after the other, and
//! generates a few tokens for every request whose response has begun. A request therefore waits for
//! a slot, the rest of the current pass, the prompts ahead of it, its own prompt, and the pass that
//! generates its first token. The operator publishes how long each step takes; observed responses
//! correct the forecast for each replica.

use crate::process::document::Speed;

/// Bounds of the correction. A replica over four times slower than published misses any latency
/// objective; one that seems over twice as fast was merely idle.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of one response in the moving average, which covers about ten responses, or one second of
/// a replica's work.
const SMOOTHING: f64 = 0.1;

/// Load that a request finds at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queue {
    /// Requests that can run at once.
    pub slots: u32,
    /// Requests whose response has begun.
    pub begun: u32,
    /// Requests whose response has not begun.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_tokens: f64,
}

/// Returns the time until the first token of a response to a prompt of `prompt_tokens`, in
/// milliseconds.
///
/// ```
/// use gradeloft_policy::{process::document::Speed, request::forecast::{Queue, first_token_ms}};
/// let speed = Speed {
///     step_ms: 7.0,
///     step_ms_per_request: 0.0,
///     steps: 6,
///     read_per_ms: 30.0,
///     usual_prompt: 900.0,
///     usual_response: 120.0,
/// };
/// let idle = Queue { slots: 16, begun: 0, waiting: 0, waiting_tokens: 0.0 };
/// // Prefill of the prompt (30 ms), and one pass (42 ms).
/// assert_eq!(first_token_ms(&speed, idle, 900.0), 72.0);
/// ```
pub fn first_token_ms(speed: &Speed, queue: Queue, prompt_tokens: f64) -> f64 {
    let decoding = f64::from(queue.begun.min(queue.slots));
    let step_ms = speed.step_ms + speed.step_ms_per_request * decoding;
    let pass_ms = step_ms * f64::from(speed.steps);
    // On average, half of the current pass is over when a request arrives.
    let current_pass_ms = if queue.begun == 0 { 0.0 } else { pass_ms / 2.0 };
    let prefill_ms = (queue.waiting_tokens + prompt_tokens) / speed.read_per_ms;
    slot_wait_ms(speed, queue, step_ms) + current_pass_ms + prefill_ms + pass_ms
}

/// Returns the time until a slot is free, in milliseconds, assuming that the requests that hold the
/// slots end evenly spread.
fn slot_wait_ms(speed: &Speed, queue: Queue, step_ms: f64) -> f64 {
    let taken = queue.begun + queue.waiting;
    if taken < queue.slots {
        return 0.0;
    }
    let ahead = f64::from(taken - queue.slots + 1);
    let response_ms = speed.usual_response * step_ms;
    ahead * response_ms / f64::from(queue.slots.max(1))
}

/// Returns the replica time that a request takes while all slots are in use, in milliseconds: the
/// prefill of its prompt, for which all other requests wait, and its share of the decoding steps.
pub fn work_ms(speed: &Speed, slots: u32, prompt_tokens: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let step_ms = speed.step_ms + speed.step_ms_per_request * slots;
    prompt_tokens / speed.read_per_ms + speed.usual_response * step_ms / slots
}

/// Returns the time from the first to the last step of a request while all slots are in use, in
/// milliseconds.
pub fn response_ms(speed: &Speed, slots: u32, prompt_tokens: f64) -> f64 {
    let step_ms = speed.step_ms + speed.step_ms_per_request * f64::from(slots);
    prompt_tokens / speed.read_per_ms + speed.usual_response * step_ms
}

/// Ratio of observed to forecast time to first token of a replica; 1 means as published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness(1.0)
    }
}

impl Slowness {
    /// Returns the ratio.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Records a response that began after `took_ms`, where the published speed predicts
    /// `expected_ms`.
    pub fn observe(&mut self, expected_ms: f64, took_ms: f64) {
        if expected_ms <= 0.0 {
            return;
        }
        let observed = (took_ms / expected_ms).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        self.0 += SMOOTHING * (observed - self.0);
    }
}
