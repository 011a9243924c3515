//! A fake of a plain service some of whose calls may not be repeated.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use gradeloft_http::{
    message::{HttpResponse, Request, text, with_header},
    server::Server,
};

use crate::{sleep_ms, start_server, url};

const REQUEST_ID: &str = "x-request-id";

/// State and knobs of the service.
#[derive(Default)]
pub struct State {
    /// How often each call ran, by method, path and body.
    pub execution_counts: RefCell<HashMap<String, u64>>,
    /// So many next calls run, and their replies are lost.
    pub lose_replies: Cell<u32>,
    /// One of so many calls runs, and its reply is lost; 0 for none.
    pub lose_reply_every: Cell<u64>,
    calls: Cell<u64>,
    /// Echoes a wrong request id while set.
    pub wrong_echo: Cell<bool>,
    /// Delay of every call, in milliseconds.
    pub delay_ms: Cell<u64>,
    /// Calls running.
    pub running: Cell<u32>,
}

/// A service that listens.
pub struct Service {
    /// State and knobs.
    pub state: Rc<State>,
    server: Server,
}

impl Service {
    /// Starts one; any call to it answers with a receipt of what it got.
    pub async fn start() -> std::io::Result<Service> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), answer).await?;
        Ok(Service { state, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// How often a call ran.
    pub fn executions(&self, call: &str) -> u64 {
        self.execution_counts
            .borrow()
            .get(call)
            .copied()
            .unwrap_or(0)
    }
}

async fn answer(state: Rc<State>, request: Request) -> HttpResponse {
    if request.path == "/healthz" {
        return text(200, "ok\n");
    }
    let body = request.body.clone().unwrap_or_default();
    let call = format!(
        "{} {} {}",
        request.method,
        request.path,
        String::from_utf8_lossy(&body)
    );
    state.running.set(state.running.get() + 1);
    sleep_ms(state.delay_ms.get()).await;
    state.running.set(state.running.get() - 1);
    *state
        .execution_counts
        .borrow_mut()
        .entry(call.clone())
        .or_default() += 1;
    let calls = state.calls.get() + 1;
    state.calls.set(calls);
    let every = state.lose_reply_every.get();
    if 0 < every && calls.is_multiple_of(every) {
        return request.connection.abort().await;
    }
    if 0 < state.lose_replies.get() {
        state.lose_replies.set(state.lose_replies.get() - 1);
        return request.connection.abort().await;
    }
    let echo = if state.wrong_echo.get() {
        "0".repeat(32)
    } else {
        request.header(REQUEST_ID).unwrap_or_default().to_owned()
    };
    with_header(text(200, &format!("done: {call}\n")), REQUEST_ID, &echo)
}
