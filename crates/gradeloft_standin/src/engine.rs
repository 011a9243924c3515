//! A fake of a model engine.
//!
//! Its tokens are a function of the prompt and of the bytes of the weights that it serves, so a
//! test can tell which weights answered, and whether they were whole.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gradeloft_http::{
    message::{HttpResponse, Request, json, stream as streamed, text},
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

use crate::{listen, pause, refused, url};

/// Bytes of a prompt that are cached as its prefix.
pub const PREFIX_BYTES: usize = 256;

/// A fault of the answers to generate requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Carries the id of another request.
    WrongRequestId,
    /// Breaks off after two tokens.
    Truncated,
    /// Has tokens of another version in the middle.
    MixedVersions,
    /// None.
    #[default]
    None,
    /// Has a token twice.
    DuplicateToken,
    /// Stalls after two tokens.
    Stalled,
}

/// State and knobs of an engine.
pub struct State {
    content: RefCell<BTreeMap<Digest, Bytes>>,
    serving: RefCell<Vec<Weights>>,
    fence: RefCell<Fence>,
    /// Versions that it can hold.
    pub capacity: Cell<u32>,
    /// Requests that it runs at once; it refuses more.
    pub slots: Cell<u32>,
    /// Requests running.
    pub running: Cell<u32>,
    /// Requests that ran to their end.
    pub finished: Cell<u64>,
    /// Requests that were cancelled before their end.
    pub cancelled: Rc<Cell<u64>>,
    /// Time for each token, in milliseconds.
    pub token_ms: Cell<u64>,
    /// Time to take in a prompt whose prefix is not cached, in milliseconds; one at a time.
    pub prefill_ms: Cell<u64>,
    /// Time to take in a prompt whose prefix is cached, in milliseconds.
    pub cached_ms: Cell<u64>,
    /// Prefixes that it caches.
    pub cache_size: Cell<usize>,
    /// Prompts whose prefix was cached.
    pub hits: Cell<u64>,
    /// Prompts whose prefix was not.
    pub misses: Cell<u64>,
    cache: RefCell<VecDeque<u64>>,
    prefill_free: Cell<Option<Instant>>,
    /// Fault of its answers.
    pub fault: Cell<Fault>,
    /// Whether it obeys orders whatever their fence.
    pub ignores_fence: Cell<bool>,
    /// So many next orders take effect, and their replies are lost.
    pub lose_replies: Cell<u32>,
    /// So many next orders are answered well and do nothing.
    pub ignore_orders: Cell<u32>,
    /// Refuses to load anything while set, as for weights that are no good.
    pub refuse_loads: Cell<bool>,
    /// Delay of orders, in milliseconds.
    pub order_ms: Cell<u64>,
    /// Orders received.
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
            prefill_free: Cell::default(),
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

/// An engine that listens.
pub struct Engine {
    /// State and knobs.
    pub state: Rc<State>,
    server: Server,
}

impl Engine {
    /// Starts an engine that holds nothing.
    pub async fn start() -> std::io::Result<Engine> {
        let state = Rc::new(State::default());
        let server = listen(Rc::clone(&state), answer).await?;
        Ok(Engine { state, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

/// The text that an engine with these weights answers, token by token.
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
    /// Versions that it serves, as `model/version`.
    pub fn serves(&self) -> Vec<String> {
        let serving = self.serving.borrow();
        serving
            .iter()
            .map(|it| format!("{}/{}", it.model, it.version))
            .collect()
    }

    /// Puts weights into service without an order, as a restarted engine or a rival would.
    pub fn set_serving(&self, weights: Vec<Weights>) {
        *self.serving.borrow_mut() = weights;
    }

    /// Drops all staged content, as a replaced engine has none.
    pub fn clear_content(&self) {
        self.content.borrow_mut().clear();
    }

    /// When the prompt has been taken in, and whether its prefix was cached.
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
        let start = self.prefill_free.get().unwrap_or(now).max(now);
        let end = start + Duration::from_millis(cost);
        self.prefill_free.set(Some(end));
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

    /// Drops content that no version in service needs.
    fn collect(&self) {
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

async fn answer(state: Rc<State>, request: Request) -> HttpResponse {
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
        ("PUT", ["v1", "content", digest]) => stage(&state, digest, body),
        ("POST", ["v1", "orders"]) => order(&state, &body, &request).await,
        ("POST", ["v1", "generate"]) => match serde_json::from_slice(&body) {
            Ok(it) => generate(&state, it),
            Err(_) => refused(400, "no generate request"),
        },
        _ => refused(404, "no such call"),
    }
}

fn stage(state: &State, digest: &str, content: Bytes) -> HttpResponse {
    let Ok(digest) = digest.parse() else {
        return refused(400, "no digest");
    };
    state.content.borrow_mut().insert(digest, content);
    text(200, "")
}

async fn order(state: &State, body: &[u8], request: &Request) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return refused(400, "no order");
    };
    state.orders.set(state.orders.get() + 1);
    pause(state.order_ms.get()).await;
    if 0 < state.ignore_orders.get() {
        state.ignore_orders.set(state.ignore_orders.get() - 1);
        return text(200, "");
    }
    let fence = state.fence.borrow().clone();
    let stale = (order.fence.epoch, order.fence.bundle) < (fence.epoch, fence.bundle);
    if stale && !state.ignores_fence.get() {
        return refused(409, "the order's fence is stale");
    }
    if !stale {
        *state.fence.borrow_mut() = order.fence.clone();
    }
    let res = obey(state, &order);
    if 0 < state.lose_replies.get() {
        state.lose_replies.set(state.lose_replies.get() - 1);
        return request.connection.abort().await;
    }
    res
}

fn obey(state: &State, order: &Order) -> HttpResponse {
    match order.action {
        Action::Load if state.refuse_loads.get() => {
            return refused(409, "the weights are no good");
        }
        Action::Load => {
            if state.weights_digest(&order.weights).is_none() {
                return refused(409, "content is missing");
            }
            let mut serving = state.serving.borrow_mut();
            if serving.contains(&order.weights) {
                return text(200, "");
            }
            if state.capacity.get() as usize <= serving.len() {
                return refused(409, "no memory for another version");
            }
            serving.push(order.weights.clone());
        }
        Action::Unload => {
            state.serving.borrow_mut().retain(|it| *it != order.weights);
            state.collect();
        }
    }
    text(200, "")
}

/// Counts a request as running, and as finished or cancelled when dropped.
struct Run {
    state: Rc<State>,
    whole: Cell<bool>,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.state.running.set(self.state.running.get() - 1);
        let count = if self.whole.get() {
            &self.state.finished
        } else {
            &*self.state.cancelled
        };
        count.set(count.get() + 1);
    }
}

fn generate(state: &Rc<State>, request: EngineRequest) -> HttpResponse {
    let wanted = |it: &&Weights| it.model == request.model && it.version == request.version;
    let weights = state.serving.borrow().iter().find(wanted).cloned();
    let Some(digest) = weights.and_then(|it| state.weights_digest(&it)) else {
        return refused(409, "it does not serve that version");
    };
    if state.slots.get() <= state.running.get() {
        return refused(503, "every slot is taken");
    }
    state.running.set(state.running.get() + 1);
    let run = Rc::new(Run {
        state: Rc::clone(state),
        whole: Cell::new(false),
    });
    let ready = state.prefill(&request.prompt);
    let events = events(&request, digest, state.fault.get());
    let last = events.len().saturating_sub(1);
    let body = stream::iter(events.into_iter().enumerate()).then(move |(idx, event)| {
        let run = Rc::clone(&run);
        async move {
            if idx == 0 {
                tokio::time::sleep_until(ready).await;
            }
            pause(run.state.token_ms.get()).await;
            if event == STALL {
                std::future::pending::<()>().await;
            }
            run.whole.set(idx == last);
            Ok(Bytes::from(event))
        }
    });
    streamed(200, "text/event-stream", body)
}

/// Stands in an answer's events where it stalls.
const STALL: &str = "stall";

fn events(request: &EngineRequest, weights: Digest, fault: Fault) -> Vec<String> {
    let tokens = tokens(weights, &request.prompt, request.max_tokens);
    let request_id = match fault {
        Fault::WrongRequestId => {
            Digest::of(request.request_id.as_bytes()).to_string()[..32].to_owned()
        }
        _ => request.request_id.clone(),
    };
    let mut events: Vec<String> = Vec::new();
    for (idx, text) in tokens.iter().enumerate() {
        let mixed = fault == Fault::MixedVersions && idx == 2;
        let version = if mixed { "another" } else { &request.version };
        let token = EngineToken {
            request_id: request_id.clone(),
            version: version.to_owned(),
            seq: idx as u64,
            text: text.clone(),
        };
        events.push(event("token", &token));
        if idx == 1 && fault == Fault::DuplicateToken {
            events.push(event("token", &token));
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
    events.push(event(
        "end",
        &EngineEnd {
            request_id,
            version,
            count,
        },
    ));
    events
}

fn event(name: &str, data: &impl Serialize) -> String {
    format!(
        "event: {name}\ndata: {}\n\n",
        serde_json::to_string(data).unwrap_or_default()
    )
}
