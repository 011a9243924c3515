//! Small fakes of the platform and of endpoints, with knobs for faults.
//!
//! - [`caller`]: a caller of the entries.
//! - [`engine`]: a model engine.
//! - [`fleet`]: all of it, with entries and agents between, in one process.
//! - [`crashing_replica`]: a replica that some requests end.
//! - [`link`]: links of a certain speed.
//! - [`list`]: the list of instances.
//! - [`log`]: the append-only log.
//! - [`scripted`]: a replica that plays a script, down to how a connection ends.
//! - [`service`]: a plain service some of whose calls may not be repeated.
//! - [`tables`]: the tables that a platform keeps.
//! - [`weights`]: the weight store and the origin, and weights to put there.
//!
//! Each fake listens on a loopback port of its own and speaks the published interface of the real
//! thing; its knobs are fields that a test sets while it runs. They serve tests, examples and
//! measurements, and no shipped program depends on them.

pub mod caller;
pub mod crashing_replica;
pub mod engine;
pub mod fleet;
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

/// Starts a listener on a free loopback port; `answer` gets its state with each request.
async fn listen<S, F>(state: Rc<S>, answer: fn(Rc<S>, Request) -> F) -> std::io::Result<Server>
where
    S: 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let handler: Handler = Rc::new(move |it| Box::pin(answer(Rc::clone(&state), it)));
    Server::start(LOOPBACK, Limits::default(), handler).await
}

fn url(server: &Server) -> String {
    format!("http://{}", server.address())
}

fn refused(status: u16, reason: &str) -> HttpResponse {
    json(
        status,
        &Refused {
            reason: reason.to_owned(),
            fence: None,
        },
    )
}

async fn pause(ms: u64) {
    if 0 < ms {
        actix_rt::time::sleep(std::time::Duration::from_millis(ms)).await;
    }
}
