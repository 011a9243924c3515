//! Fakes of the platform and of endpoints, with settings that inject faults.
//!
//! - [`caller`]: a client of the entries.
//! - [`engine`]: a model engine.
//! - [`crowd`]: clients that do not behave.
//! - [`fleet`]: a whole deployment with entries and agents in one process.
//! - [`crashing_replica`]: a replica that marked requests crash.
//! - [`footprint`]: memory and descriptors of a process.
//! - [`link`]: network links with limited bandwidth.
//! - [`list`]: the list of instances.
//! - [`log`]: the append-only log.
//! - [`scripted`]: a server that plays a script on each connection.
//! - [`service`]: a service that counts the executions of each call.
//! - [`tables`]: the tables of the platform's store.
//! - [`weights`]: the weight store and the origin, and generated weights.
//!
//! A fake server listens on its own loopback port and implements the published interface of the
//! real component; tests set the fields of its state while it runs. Tests, examples and benchmarks
//! use the fakes; no shipped program depends on them.

pub mod caller;
pub mod crashing_replica;
pub mod crowd;
pub mod engine;
pub mod fleet;
pub mod footprint;
pub mod link;
pub mod list;
pub mod log;
pub mod scripted;
pub mod service;
pub mod tables;
pub mod weights;

use std::rc::Rc;

use gradeloft_http::{
    message::{HttpResponse, Request, json},
    server::{Handler, Limits, Server},
};
use gradeloft_wire::border::platform::Refused;

const LOOPBACK: &str = "127.0.0.1:0";

/// Starts a server on a free loopback port; `handler` receives `state` with each request.
async fn start_server<S, F>(
    state: Rc<S>,
    handler: fn(Rc<S>, Request) -> F,
) -> std::io::Result<Server>
where
    S: 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let handler: Handler = Rc::new(move |it| Box::pin(handler(Rc::clone(&state), it)));
    Server::start(LOOPBACK, Limits::default(), handler).await
}

fn url(server: &Server) -> String {
    format!("http://{}", server.address())
}

fn refusal(status: u16, reason: &str) -> HttpResponse {
    json(
        status,
        &Refused {
            reason: reason.to_owned(),
            fence: None,
        },
    )
}

async fn sleep_ms(ms: u64) {
    if 0 < ms {
        actix_rt::time::sleep(std::time::Duration::from_millis(ms)).await;
    }
}
