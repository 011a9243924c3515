//! A fake of a model engine.
//!
//! Tokens are a function of the prompt and of the served weights, so a test can check which weights
//! generated a response and whether they were complete.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gradeloft_http::{
    message::{HttpResponse, Request, json, stream as stream_response, text, with_header},
    server::Server,
};
use gradeloft_wire::{
    border::{
        manifest::Manifest,
        platform::{
            Action, EngineEnd, EngineRequest, EngineState, EngineToken, Fence, Order, Weights,
        },
    },
    id::Digest,
};
use serde::Serialize;
use tokio::time::Instant;

use crate::{refusal, sleep_ms, start_server, url};

/// Length of the prompt prefix that identifies a cache entry, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// A fault in the responses to generate requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Events carry the id of another request.
    WrongRequestId,
    /// The response ends after two tokens, without an `end` event.
    Truncated,
    /// The third token is labelled with another version.
    MixedVersions,
    /// No fault.
    #[default]
    None,
    /// The second token is sent twice.
    DuplicateToken,
    /// The response stalls after two tokens.
    Stalled,
}

/// State and fault settings of an engine.
pub struct State {
    content: RefCell<BTreeMap<Digest, Bytes>>,
    serving: RefCell<Vec<Weights>>,
    fence: RefCell<Fence>,
    /// Number of versions that fit in memory.
    pub capacity: Cell<u32>,
    /// Value of the `Retry-After` header with which all requests are refused; `None` for none.
    pub refuse_for: Cell<Option<&'static str>>,
    /// Number of requests refused with this header.
    pub refused: Cell<u64>,
    /// Maximum number of concurrent requests; further ones are refused.
    pub slots: Cell<u32>,
    /// Number of requests in progress.
    pub running: Cell<u32>,
    /// Number of requests that have completed.
    pub finished: Cell<u64>,
    /// Number of requests that were cancelled before completion.
    pub cancelled: Rc<Cell<u64>>,
    /// Time per token, in milliseconds.
    pub token_ms: Cell<u64>,
    /// Prefill time of a prompt whose prefix is not cached, in milliseconds. Prefills run one at a
    /// time.
    pub prefill_ms: Cell<u64>,
    /// Prefill time of a prompt whose prefix is cached, in milliseconds.
    pub cached_ms: Cell<u64>,
    /// Maximum number of cached prefixes.
    pub cache_size: Cell<usize>,
    /// Number of prompts whose prefix was cached.
    pub hits: Cell<u64>,
    /// Number of prompts whose prefix was not cached.
    pub misses: Cell<u64>,
    cache: RefCell<VecDeque<u64>>,
    prefill_idle_at: Cell<Option<Instant>>,
    /// Fault in the responses.
    pub fault: Cell<Fault>,
    /// Whether orders with a stale fence are accepted.
    pub ignores_fence: Cell<bool>,
    /// Number of next orders that take effect but whose replies are lost.
    pub lose_replies: Cell<u32>,
    /// Number of next orders that are acknowledged but have no effect.
    pub ignore_orders: Cell<u32>,
    /// Whether load orders are refused, as for invalid weights.
    pub refuse_loads: Cell<bool>,
    /// Delay of each order, in milliseconds.
    pub order_ms: Cell<u64>,
    /// Number of orders received.
    pub orders: Cell<u64>,
}

impl Default for State {
    fn default() -> State {
        State {
            content: RefCell::default(),
            serving: RefCell::default(),
            fence: RefCell::new(Fence {
                bundle: 0,
                epoch: 0,
            }),
            capacity: Cell::new(2),
            refuse_for: Cell::default(),
            refused: Cell::default(),
            slots: Cell::new(64),
            running: Cell::default(),
            finished: Cell::default(),
            cancelled: Rc::default(),
            token_ms: Cell::default(),
            prefill_ms: Cell::default(),
            cached_ms: Cell::default(),
            cache_size: Cell::default(),
            hits: Cell::default(),
            misses: Cell::default(),
            cache: RefCell::default(),
            prefill_idle_at: Cell::default(),
            fault: Cell::default(),
            ignores_fence: Cell::default(),
            lose_replies: Cell::default(),
            ignore_orders: Cell::default(),
            refuse_loads: Cell::default(),
            order_ms: Cell::default(),
            orders: Cell::default(),
        }
    }
}

/// A listening engine.
pub struct Engine {
    /// State and fault settings.
    pub state: Rc<State>,
    server: Server,
}

impl Engine {
    /// Starts an engine without weights.
    pub async fn start() -> std::io::Result<Engine> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), handle_request).await?;
        Ok(Engine { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

/// Returns the tokens that an engine generates with the given weights, in order.
pub fn expected_tokens(weights: &[Bytes], prompt: &str, max_tokens: u32) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for chunk in weights {
        hasher.update(chunk);
    }
    tokens(Digest(hasher.finalize().into()), prompt, max_tokens)
}

fn tokens(weights: Digest, prompt: &str, max_tokens: u32) -> Vec<String> {
    let token = |idx: u32| {
        let text = format!("{weights}/{prompt}/{idx}");
        format!("{} ", &Digest::of(text.as_bytes()).to_string()[..6])
    };
    (0..max_tokens).map(token).collect()
}

impl State {
    /// Returns the versions in service as `model/version`.
    pub fn serves(&self) -> Vec<String> {
        let serving = self.serving.borrow();
        serving
            .iter()
            .map(|it| format!("{}/{}", it.model, it.version))
            .collect()
    }

    /// Replaces the weights in service without an order, as a restart or a competing controller
    /// does.
    pub fn set_serving(&self, weights: Vec<Weights>) {
        *self.serving.borrow_mut() = weights;
    }

    /// Deletes all staged content, as after an engine replacement.
    pub fn clear_content(&self) {
        self.content.borrow_mut().clear();
    }

    /// Schedules the prefill of a prompt, updates the prefix cache and returns the completion time.
    fn prefill(&self, prompt: &str) -> Instant {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let prefix = Digest::of(prefix).prefix_u64();
        let mut cache = self.cache.borrow_mut();
        let found = cache.iter().position(|it| *it == prefix);
        let cost = match found {
            Some(idx) => {
                cache.remove(idx);
                self.hits.set(self.hits.get() + 1);
                self.cached_ms.get()
            }
            None => {
                self.misses.set(self.misses.get() + 1);
                self.prefill_ms.get()
            }
        };
        cache.push_front(prefix);
        cache.truncate(self.cache_size.get());
        let now = Instant::now();
        let start = self.prefill_idle_at.get().unwrap_or(now).max(now);
        let end = start + Duration::from_millis(cost);
        self.prefill_idle_at.set(Some(end));
        end
    }

    fn state(&self) -> EngineState {
        EngineState {
            serving: self.serving.borrow().clone(),
            capacity: self.capacity.get(),
            fence: self.fence.borrow().clone(),
            running: self.running.get(),
            waiting: 0,
        }
    }

    fn manifest(&self, digest: &str) -> Option<Manifest> {
        let content = self.content.borrow();
        serde_json::from_slice(content.get(&digest.parse().ok()?)?).ok()
    }

    fn weights_digest(&self, weights: &Weights) -> Option<Digest> {
        let manifest = self.manifest(&weights.manifest)?;
        let content = self.content.borrow();
        let mut hasher = blake3::Hasher::new();
        for chunk in &manifest.chunks {
            hasher.update(content.get(&chunk.digest.parse().ok()?)?);
        }
        Some(Digest(hasher.finalize().into()))
    }

    /// Deletes content that no version in service needs.
    fn delete_unused_content(&self) {
        let serving = self.serving.borrow().clone();
        let mut needed = Vec::new();
        for weights in serving {
            needed.extend(weights.manifest.parse::<Digest>());
            let chunks = self
                .manifest(&weights.manifest)
                .map(|it| it.chunks)
                .unwrap_or_default();
            needed.extend(
                chunks
                    .iter()
                    .filter_map(|it| it.digest.parse::<Digest>().ok()),
            );
        }
        self.content
            .borrow_mut()
            .retain(|it, _| needed.contains(it));
    }
}

async fn handle_request(state: Rc<State>, request: Request) -> HttpResponse {
    let segments = request.segments();
    let body = request.body.clone().unwrap_or_default();
    match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "state"]) => json(200, &state.state()),
        ("GET", ["v1", "content"]) => {
            let content = state.content.borrow();
            json(
                200,
                &content.keys().map(ToString::to_string).collect::<Vec<_>>(),
            )
        }
        ("PUT", ["v1", "content", digest]) => stage_content(&state, digest, body),
        ("POST", ["v1", "orders"]) => handle_order(&state, &body, &request).await,
        ("POST", ["v1", "generate"]) => match serde_json::from_slice(&body) {
            Ok(it) => generate(&state, it),
            Err(_) => refusal(400, "malformed generate request"),
        },
        _ => refusal(404, "no such call"),
    }
}

fn stage_content(state: &State, digest: &str, content: Bytes) -> HttpResponse {
    let Ok(digest) = digest.parse() else {
        return refusal(400, "malformed digest");
    };
    state.content.borrow_mut().insert(digest, content);
    text(200, "")
}

async fn handle_order(state: &State, body: &[u8], request: &Request) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return refusal(400, "malformed order");
    };
    state.orders.set(state.orders.get() + 1);
    sleep_ms(state.order_ms.get()).await;
    if 0 < state.ignore_orders.get() {
        state.ignore_orders.set(state.ignore_orders.get() - 1);
        return text(200, "");
    }
    let fence = state.fence.borrow().clone();
    let stale = (order.fence.epoch, order.fence.bundle) < (fence.epoch, fence.bundle);
    if stale && !state.ignores_fence.get() {
        return refusal(409, "the order's fence is stale");
    }
    if !stale {
        *state.fence.borrow_mut() = order.fence.clone();
    }
    let res = apply_order(state, &order);
    if 0 < state.lose_replies.get() {
        state.lose_replies.set(state.lose_replies.get() - 1);
        return request.connection.abort().await;
    }
    res
}

fn apply_order(state: &State, order: &Order) -> HttpResponse {
    match order.action {
        Action::Load if state.refuse_loads.get() => {
            return refusal(409, "the weights are invalid");
        }
        Action::Load => {
            if state.weights_digest(&order.weights).is_none() {
                return refusal(409, "content is missing");
            }
            let mut serving = state.serving.borrow_mut();
            if serving.contains(&order.weights) {
                return text(200, "");
            }
            if state.capacity.get() as usize <= serving.len() {
                return refusal(409, "no memory for another version");
            }
            serving.push(order.weights.clone());
        }
        Action::Unload => {
            state.serving.borrow_mut().retain(|it| *it != order.weights);
            state.delete_unused_content();
        }
    }
    text(200, "")
}

/// Counts a request as running, and as finished or cancelled on drop.
struct RunningRequest {
    state: Rc<State>,
    is_complete: Cell<bool>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.running.set(self.state.running.get() - 1);
        let count = if self.is_complete.get() {
            &self.state.finished
        } else {
            &*self.state.cancelled
        };
        count.set(count.get() + 1);
    }
}

fn generate(state: &Rc<State>, request: EngineRequest) -> HttpResponse {
    let is_requested = |it: &&Weights| it.model == request.model && it.version == request.version;
    let weights = state.serving.borrow().iter().find(is_requested).cloned();
    let Some(digest) = weights.and_then(|it| state.weights_digest(&it)) else {
        return refusal(409, "the engine does not serve the version");
    };
    if let Some(seconds) = state.refuse_for.get() {
        state.refused.set(state.refused.get() + 1);
        return with_header(refusal(503, "the engine rests"), "retry-after", seconds);
    }
    if state.slots.get() <= state.running.get() {
        return refusal(503, "all slots are in use");
    }
    state.running.set(state.running.get() + 1);
    let running = Rc::new(RunningRequest {
        state: Rc::clone(state),
        is_complete: Cell::new(false),
    });
    let ready = state.prefill(&request.prompt);
    let events = response_events(&request, digest, state.fault.get());
    let last = events.len().saturating_sub(1);
    let body = stream::iter(events.into_iter().enumerate()).then(move |(idx, event)| {
        let running = Rc::clone(&running);
        async move {
            if idx == 0 {
                tokio::time::sleep_until(ready).await;
            }
            sleep_ms(running.state.token_ms.get()).await;
            if event == STALL {
                std::future::pending::<()>().await;
            }
            running.is_complete.set(idx == last);
            Ok(Bytes::from(event))
        }
    });
    stream_response(200, "text/event-stream", body)
}

/// Placeholder event at which a response stalls.
const STALL: &str = "stall";

fn response_events(request: &EngineRequest, weights: Digest, fault: Fault) -> Vec<String> {
    let tokens = tokens(weights, &request.prompt, request.max_tokens);
    let request_id = match fault {
        Fault::WrongRequestId => {
            Digest::of(request.request_id.as_bytes()).to_string()[..32].to_owned()
        }
        _ => request.request_id.clone(),
    };
    let mut events: Vec<String> = Vec::new();
    for (idx, text) in tokens.iter().enumerate() {
        let wrong_version = fault == Fault::MixedVersions && idx == 2;
        let version = if wrong_version {
            "another"
        } else {
            &request.version
        };
        let token = EngineToken {
            request_id: request_id.clone(),
            version: version.to_owned(),
            seq: idx as u64,
            text: text.clone(),
        };
        events.push(encode_event("token", &token));
        if idx == 1 && fault == Fault::DuplicateToken {
            events.push(encode_event("token", &token));
        }
        if idx == 1 && fault == Fault::Truncated {
            return events;
        }
        if idx == 1 && fault == Fault::Stalled {
            events.push(STALL.to_owned());
        }
    }
    let count = tokens.len() as u64;
    let version = request.version.clone();
    events.push(encode_event(
        "end",
        &EngineEnd {
            request_id,
            version,
            count,
        },
    ));
    events
}

fn encode_event(name: &str, data: &impl Serialize) -> String {
    format!(
        "event: {name}\ndata: {}\n\n",
        serde_json::to_string(data).unwrap_or_default()
    )
}
