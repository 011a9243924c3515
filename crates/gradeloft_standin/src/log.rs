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

/// Maximum number of records in a page.
const PAGE_RECORDS: usize = 1000;

#[derive(Default)]
struct Stream {
    records: Vec<Record>,
    /// Offset of the oldest retained record.
    oldest: u64,
}

/// State and fault settings of the log.
#[derive(Default)]
pub struct State {
    streams: RefCell<HashMap<String, Stream>>,
    appended: Notify,
    /// Whether every call is refused.
    pub down: Cell<bool>,
    /// Number of next appends that take effect but whose replies are lost.
    pub lose_replies: Cell<u32>,
    /// Delay of each call, in milliseconds.
    pub delay_ms: Cell<u64>,
    /// Number of append calls that took effect.
    pub appends: Cell<u64>,
}

/// A listening log.
pub struct Log {
    /// State and fault settings.
    pub state: Rc<State>,
    server: Server,
}

impl Log {
    /// Starts an empty log.
    pub async fn start() -> std::io::Result<Log> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), handle_request).await?;
        Ok(Log { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Appends records without a call, as another writer does, and returns the offset of the first.
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

    /// Deletes the records below an offset, as retention does.
    pub fn truncate_before(&self, stream: &str, oldest: u64) {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.retain(|it| oldest <= it.offset);
        stream.oldest = stream.oldest.max(oldest);
    }

    /// Returns the number of retained records of a stream.
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
            .take(PAGE_RECORDS)
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

async fn handle_request(state: Rc<State>, request: Request) -> HttpResponse {
    sleep_ms(state.delay_ms.get()).await;
    if state.down.get() {
        return refusal(503, "the log is down");
    }
    let segments = request.segments();
    match (request.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "streams", stream, "records"]) => {
            handle_append(&state, stream, &request).await
        }
        ("GET", ["v1", "streams", stream, "records"]) => {
            handle_read(&state, stream, &request).await
        }
        _ => refusal(404, "no such call"),
    }
}

async fn handle_append(state: &State, stream: &str, request: &Request) -> HttpResponse {
    let body = request.body.as_ref().ok();
    let Some(body) = body.and_then(|it| serde_json::from_slice::<Append>(it).ok()) else {
        return refusal(400, "malformed append");
    };
    let data: Result<Vec<Vec<u8>>, _> = body.records.iter().map(|it| STANDARD.decode(it)).collect();
    let Ok(data) = data else {
        return refusal(400, "records are not base64");
    };
    let first_offset = state.append(stream, &data);
    state.appends.set(state.appends.get() + 1);
    if 0 < state.lose_replies.get() {
        state.lose_replies.set(state.lose_replies.get() - 1);
        return request.connection.abort().await;
    }
    json(200, &Appended { first_offset })
}

async fn handle_read(state: &State, stream: &str, request: &Request) -> HttpResponse {
    let integer_param = |name| {
        request
            .query_param(name)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    };
    let from: u64 = integer_param("from");
    let wait = Duration::from_millis(integer_param("wait_ms"));
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
