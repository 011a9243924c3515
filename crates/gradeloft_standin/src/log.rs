//! A fake of the append-only log.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use gradeloft_http::{
    message::{HttpResponse, Request, json},
    server::Server,
};
use gradeloft_wire::border::platform::{Append, Appended, Page, Record};
use tokio::sync::Notify;

use crate::{refusal, sleep_ms, start_server, url};

const PAGE: usize = 1000;

#[derive(Default)]
struct Stream {
    records: Vec<Record>,
    /// Offset of the first record kept.
    oldest: u64,
}

/// State and knobs of the log.
#[derive(Default)]
pub struct State {
    streams: RefCell<HashMap<String, Stream>>,
    appended: Notify,
    /// Refuses every call while set.
    pub down: Cell<bool>,
    /// So many next appends take effect, and their replies are lost.
    pub lose_replies: Cell<u32>,
    /// Delay of every call, in milliseconds.
    pub delay_ms: Cell<u64>,
    /// Appends taken so far.
    pub appends: Cell<u64>,
}

/// A log that listens.
pub struct Log {
    /// State and knobs.
    pub state: Rc<State>,
    server: Server,
}

impl Log {
    /// Starts an empty log.
    pub async fn start() -> std::io::Result<Log> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), answer).await?;
        Ok(Log { state, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Appends records directly, as another writer would.
    pub fn append(&self, stream: &str, data: &[Vec<u8>]) -> u64 {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.oldest + stream.records.len() as u64;
        for (idx, data) in data.iter().enumerate() {
            let data = STANDARD.encode(data);
            let offset = first + idx as u64;
            stream.records.push(Record {
                offset,
                time_ms: now_ms(),
                data,
            });
        }
        self.appended.notify_waiters();
        first
    }

    /// Drops the records below an offset, as retention does.
    pub fn truncate_before(&self, stream: &str, oldest: u64) {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.retain(|it| oldest <= it.offset);
        stream.oldest = stream.oldest.max(oldest);
    }

    /// How many records a stream holds.
    pub fn len(&self, stream: &str) -> usize {
        self.streams
            .borrow()
            .get(stream)
            .map_or(0, |it| it.records.len())
    }

    fn page(&self, stream: &str, from: u64) -> Page {
        let streams = self.streams.borrow();
        let Some(stream) = streams.get(stream) else {
            return Page {
                records: Vec::new(),
                oldest: 0,
                next: 0,
            };
        };
        let skipped = from.saturating_sub(stream.oldest) as usize;
        let records = stream
            .records
            .iter()
            .skip(skipped)
            .take(PAGE)
            .cloned()
            .collect();
        let next = stream.oldest + stream.records.len() as u64;
        Page {
            records,
            oldest: stream.oldest,
            next,
        }
    }
}

async fn answer(state: Rc<State>, request: Request) -> HttpResponse {
    sleep_ms(state.delay_ms.get()).await;
    if state.down.get() {
        return refusal(503, "the log is down");
    }
    let segments = request.segments();
    match (request.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "streams", stream, "records"]) => append(&state, stream, &request).await,
        ("GET", ["v1", "streams", stream, "records"]) => read(&state, stream, &request).await,
        _ => refusal(404, "no such call"),
    }
}

async fn append(state: &State, stream: &str, request: &Request) -> HttpResponse {
    let body = request.body.as_ref().ok();
    let Some(body) = body.and_then(|it| serde_json::from_slice::<Append>(it).ok()) else {
        return refusal(400, "no append");
    };
    let data: Result<Vec<Vec<u8>>, _> = body.records.iter().map(|it| STANDARD.decode(it)).collect();
    let Ok(data) = data else {
        return refusal(400, "no base64");
    };
    let first_offset = state.append(stream, &data);
    state.appends.set(state.appends.get() + 1);
    if 0 < state.lose_replies.get() {
        state.lose_replies.set(state.lose_replies.get() - 1);
        return request.connection.abort().await;
    }
    json(200, &Appended { first_offset })
}

async fn read(state: &State, stream: &str, request: &Request) -> HttpResponse {
    let number = |name| {
        request
            .query_param(name)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    };
    let from: u64 = number("from");
    let wait = Duration::from_millis(number("wait_ms"));
    let appended = state.appended.notified();
    let page = state.page(stream, from);
    if !page.records.is_empty() || wait.is_zero() {
        return json(200, &page);
    }
    let _ = actix_rt::time::timeout(wait, appended).await;
    if state.down.get() {
        return refusal(503, "the log is down");
    }
    json(200, &state.page(stream, from))
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}
