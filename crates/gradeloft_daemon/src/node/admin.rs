//! The admin port: health, metrics and status.

use std::rc::Rc;

use futures_util::FutureExt;
use gradeloft_http::{
    message::{HttpResponse, Request, bytes_of, json, text},
    server::{self, Handler, Limits, Server},
};
use gradeloft_wire::border::{
    caller::{BundleStatus, Status, VersionStatus},
    settings::Role,
};

use super::{Node, shares};

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Status of a role, as the admin port reports it.
pub trait Report {
    /// Returns `Ok` if the process accepts work, else the reason why not.
    fn ready(&self) -> Result<(), &'static str>;
    /// Returns the versions that the process holds.
    fn versions(&self) -> Vec<VersionStatus>;
    /// Returns the epoch of the process; 0 if it has none.
    fn epoch(&self) -> u64;
}

/// Starts the listener of the admin port.
pub async fn start(node: Rc<Node>, report: Rc<dyn Report>) -> std::io::Result<Server> {
    let address = node.settings.listen.admin.clone();
    let share = shares::admin(&node.settings);
    let limits = Limits {
        header_bytes: node.limits.header_bytes as usize,
        body_bytes: 0,
        connections: share.connections(server::CONNECTION_BYTES),
        idle: node.idle_timeout(),
        shared_bytes: share.shared_bytes(0),
    };
    let observer = node.refusal_observer("admin");
    let handler: Handler = Rc::new(move |request| {
        let res = respond(&node, &*report, &request);
        async { res }.boxed_local()
    });
    Server::start_observed(&address, limits, handler, observer).await
}

fn respond(node: &Node, report: &dyn Report, request: &Request) -> HttpResponse {
    if request.method != "GET" {
        return text(405, "only GET\n");
    }
    match request.path.as_str() {
        "/healthz" => text(200, "ok\n"),
        "/readyz" => match report.ready() {
            Ok(()) => text(
                200,
                &format!("ready, bundle from {}\n", node.bundle_source.get().name()),
            ),
            Err(why) => text(503, &format!("{why}\n")),
        },
        "/metrics" => bytes_of(200, METRICS_TYPE, node.metrics.text()),
        "/v1/status" => json(200, &status(node, report)),
        _ => text(404, "try /healthz, /readyz, /metrics or /v1/status\n"),
    }
}

fn status(node: &Node, report: &dyn Report) -> Status {
    let settings = &node.settings.node;
    let chain = node.chain.borrow();
    let bundle = chain.head().map(|it| BundleStatus {
        number: it.bundle.number,
        digest: it.digest.to_string(),
        signer: it.signed.signer.clone(),
    });
    let peers = node
        .membership
        .borrow()
        .iter()
        .filter(|(_, it)| it.connected)
        .count();
    Status {
        node: settings.id.clone(),
        role: match node.settings.role {
            Role::Agent => "agent".to_owned(),
            Role::Entry => "entry".to_owned(),
        },
        zone: settings.zone.clone(),
        ready: report.ready().is_ok(),
        leaving: node.is_draining(),
        bundle,
        source: node.bundle_source.get().name().to_owned(),
        versions: report.versions(),
        peers: peers as u64,
        epoch: report.epoch(),
    }
}
