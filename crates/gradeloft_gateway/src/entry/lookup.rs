//! HTTP listeners of an entry for address lookup, readiness and metrics.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use gradeloft_http::{
    message::{HttpResponse, Request, bytes_of, text},
    server::{Handler, Limits, Server},
};
use gradeloft_policy::process::freshness::Freshness;
use gradeloft_wire::datagram::Presence;

use super::Entry;
use crate::{node::Node, settings::Role};

/// Time for which callers cache addresses, in seconds: short, so that callers notice the shutdown
/// of an entry within its grace period.
const TTL_S: u64 = 2;
/// Limits of each listener for lookups, readiness or metrics.
const LIMITS: Limits = Limits {
    header_bytes: 8 << 10,
    body_bytes: 1 << 10,
    connections: 256,
    idle: std::time::Duration::from_secs(10),
};

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
    servers.push(listen(directory, move |request| lookup(&shared, request)).await?);
    let shared = Rc::clone(entry);
    servers.push(listen(readiness, move |request| ready(&shared, request)).await?);
    Ok(servers)
}

/// Starts the listener for metrics.
pub async fn serve_metrics(node: &Rc<Node>) -> io::Result<Server> {
    let settings = node.settings();
    let address = SocketAddr::new(IpAddr::V4(settings.address), settings.metrics_port);
    let metrics = Rc::clone(&node.metrics);
    listen(address, move |_| text(200, &metrics.text())).await
}

async fn listen(
    address: SocketAddr,
    respond: impl Fn(&Request) -> HttpResponse + 'static,
) -> io::Result<Server> {
    let handler: Handler = Rc::new(move |request| {
        let response = respond(&request);
        Box::pin(async move { response })
    });
    Server::start(&address.to_string(), LIMITS, handler).await
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
