//! HTTP listeners of an entry for address lookup, readiness and metrics.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use gradeloft_http::{
    message::{HttpResponse, Request, bytes_of, text},
    server::{Handler, Limits, Server},
};
use gradeloft_policy::{connection::intake, process::freshness::Freshness};
use gradeloft_wire::datagram::Presence;

use super::Entry;
use crate::{node::Node, settings::Role, shares::Shares};

/// Time for which callers cache addresses, in seconds: short, so that callers notice the shutdown
/// of an entry within its grace period.
const TTL_S: u64 = 2;
/// Maximum length of a head at the listeners for lookups, readiness and metrics, in bytes.
const HEADER_BYTES: usize = 8 << 10;
/// Maximum length of a body at these listeners, in bytes. No request needs any.
const BODY_BYTES: usize = 1 << 10;
/// Time after which an idle connection is closed, and in which a request has to arrive.
const IDLE: Duration = Duration::from_secs(10);

/// Starts the listeners of an entry, which stop when they are dropped.
pub async fn start(entry: &Rc<Entry>) -> io::Result<Vec<Server>> {
    let settings = entry.node.settings();
    let Role::Entry {
        readiness,
        directory,
        ..
    } = settings.role
    else {
        return Ok(Vec::new());
    };
    let mut servers = vec![serve_metrics(&entry.node).await?];
    let shared = Rc::clone(entry);
    let (node, shares) = (&entry.node, Shares::of(&settings));
    let listener = Listener::new(node, "lookups", directory, shares.lookups);
    servers.push(
        listener
            .start(move |request| lookup(&shared, request))
            .await?,
    );
    let shared = Rc::clone(entry);
    let listener = Listener::new(node, "readiness", readiness, shares.readiness);
    servers.push(
        listener
            .start(move |request| ready(&shared, request))
            .await?,
    );
    Ok(servers)
}

/// Starts the listener for metrics.
pub async fn serve_metrics(node: &Rc<Node>) -> io::Result<Server> {
    let settings = node.settings();
    let address = SocketAddr::new(IpAddr::V4(settings.address), settings.metrics_port);
    let metrics = Rc::clone(&node.metrics);
    let limits = Shares::of(&settings).metrics;
    let listener = Listener::new(node, "metrics", address, limits);
    listener.start(move |_| text(200, &metrics.text())).await
}

/// A listener for small requests.
struct Listener<'a> {
    node: &'a Rc<Node>,
    name: &'static str,
    address: SocketAddr,
    limits: intake::Limits,
}

impl Listener<'_> {
    fn new<'a>(
        node: &'a Rc<Node>,
        name: &'static str,
        address: SocketAddr,
        limits: intake::Limits,
    ) -> Listener<'a> {
        Listener {
            node,
            name,
            address,
            limits,
        }
    }

    async fn start(
        self,
        respond: impl Fn(&Request) -> HttpResponse + 'static,
    ) -> io::Result<Server> {
        let handler: Handler = Rc::new(move |request| {
            let response = respond(&request);
            Box::pin(async move { response })
        });
        let limits = Limits {
            header_bytes: HEADER_BYTES,
            body_bytes: BODY_BYTES,
            connections: self.limits.connections,
            idle: IDLE,
            shared_bytes: self.limits.shared_bytes,
        };
        let observer = self.node.refusal_observer(self.name);
        Server::start_observed(&self.address.to_string(), limits, handler, observer).await
    }
}

fn lookup(entry: &Entry, request: &Request) -> HttpResponse {
    let directory = &entry.node.platform.directory;
    if request.path != directory.lookup_path() {
        return text(404, "not found\n");
    }
    let addresses = entry.addresses(&directory.lookup(&request.query));
    if addresses.is_empty() {
        return text(503, "no entry is ready\n");
    }
    let ttl_s = TTL_S.min(entry.node.settings().max_ttl_s);
    let body = directory.addresses(&addresses, ttl_s);
    bytes_of(200, "application/json", body)
}

fn ready(entry: &Entry, request: &Request) -> HttpResponse {
    if request.path != entry.node.platform.directory.readiness_path() {
        return text(404, "not found\n");
    }
    match entry.presence() {
        Presence::Ready => text(200, "ready\n"),
        Presence::Leaving => text(503, "leaving\n"),
        Presence::Starting if entry.freshness() == Freshness::Stale => text(503, "behind\n"),
        Presence::Starting => text(503, "starting\n"),
    }
}
