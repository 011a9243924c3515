//! A fake of a service. It counts the executions of each call, so that tests detect repeated ones.

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

/// State and fault settings of the service.
#[derive(Default)]
pub struct State {
    /// Number of executions by method, path and body of the call.
    pub execution_counts: RefCell<HashMap<String, u64>>,
    /// Value of the `Retry-After` header with which all calls are refused; `None` for none.
    pub refuse_for: Cell<Option<&'static str>>,
    /// Number of calls refused with this header.
    pub refused: Cell<u64>,
    /// Number of next calls that are executed but whose replies are lost.
    pub lose_replies: Cell<u32>,
    /// The reply to every n-th call is lost after its execution; 0 loses no replies.
    pub lose_reply_every: Cell<u64>,
    calls: Cell<u64>,
    /// Whether replies echo a wrong request id.
    pub echo_wrong_id: Cell<bool>,
    /// Delay of each call, in milliseconds.
    pub delay_ms: Cell<u64>,
    /// Number of calls in progress.
    pub running: Cell<u32>,
}

/// A listening service.
pub struct Service {
    /// State and fault settings.
    pub state: Rc<State>,
    server: Server,
}

impl Service {
    /// Starts a service that answers every call with its method, path and body.
    pub async fn start() -> std::io::Result<Service> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), handle_request).await?;
        Ok(Service { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Returns the number of executions of a call.
    pub fn executions(&self, call: &str) -> u64 {
        self.execution_counts
            .borrow()
            .get(call)
            .copied()
            .unwrap_or(0)
    }
}

async fn handle_request(state: Rc<State>, request: Request) -> HttpResponse {
    if request.path == "/healthz" {
        return text(200, "ok\n");
    }
    if let Some(seconds) = state.refuse_for.get() {
        state.refused.set(state.refused.get() + 1);
        return with_header(text(503, "the service rests\n"), "retry-after", seconds);
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
    let request_id = if state.echo_wrong_id.get() {
        "0".repeat(32)
    } else {
        request.header(REQUEST_ID).unwrap_or_default().to_owned()
    };
    with_header(
        text(200, &format!("done: {call}\n")),
        REQUEST_ID,
        &request_id,
    )
}
