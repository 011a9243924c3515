//! TCP listener and connections of the server.

use std::{cell::Cell, convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{ConnectionType, HttpMessage, HttpService, KeepAlive, Payload};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::LocalBoxFuture};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::JoinHandle,
};

use crate::message::{BodyError, Connection, HttpResponse, Request, text};

/// Function that handles requests.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, HttpResponse>>;

/// Resource limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of the path and the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            connections: 4096,
            idle: Duration::from_secs(30),
        }
    }
}

/// A listener; dropping it closes it and its connections.
pub struct Server {
    address: SocketAddr,
    shared: Rc<Shared>,
    accept_task: JoinHandle<()>,
}

struct Shared {
    limits: Limits,
    handler: Handler,
    /// Whether the listener accepts no more connections.
    closing: Cell<bool>,
    open_connections: Cell<usize>,
    connection_closed: Notify,
    /// Set when the server is dropped, which closes all connections.
    dropped: watch::Sender<bool>,
}

impl Server {
    /// Starts to listen on `address`, `IP:PORT`; port 0 selects a free port.
    pub async fn start(address: &str, limits: Limits, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            limits,
            handler,
            closing: Cell::new(false),
            open_connections: Cell::new(0),
            connection_closed: Notify::new(),
            dropped: watch::Sender::new(false),
        });
        let accept_task = actix_rt::spawn(accept(listener, Rc::clone(&shared)));
        Ok(Server {
            address,
            shared,
            accept_task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections; open ones close after the response to their current request.
    pub fn close(&self) {
        self.shared.closing.set(true);
        self.accept_task.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.abort();
        let _ = self.shared.dropped.send(true);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        while shared.limits.connections <= shared.open_connections.get() {
            shared.connection_closed.notified().await;
        }
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely no file descriptors are free; wait until some are.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        shared
            .open_connections
            .set(shared.open_connections.get() + 1);
        actix_rt::spawn(serve(stream, Rc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    let connection = Connection::default();
    let mut dropped = shared.dropped.subscribe();
    tokio::select! {
        () = serve_requests(stream, &shared, &connection) => {}
        () = connection.0.notified() => {}
        _ = dropped.wait_for(|it| *it) => {}
    }
    shared
        .open_connections
        .set(shared.open_connections.get() - 1);
    shared.connection_closed.notify_one();
}

async fn serve_requests(stream: TcpStream, shared: &Rc<Shared>, connection: &Connection) {
    let idle = shared.limits.idle;
    let shared_by_requests = Rc::clone(shared);
    let connection = connection.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(idle)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request| {
            let shared = Rc::clone(&shared_by_requests);
            let connection = connection.clone();
            async move { Ok::<HttpResponse, Infallible>(handle(request, shared, connection).await) }
        }))
        .tcp();
    if let Ok(service) = service.new_service(()).await {
        let _ = service.call(stream).await;
    }
}

async fn handle(
    request: actix_http::Request,
    shared: Rc<Shared>,
    connection: Connection,
) -> HttpResponse {
    let request = read(request, shared.limits, connection).await;
    let mut response = if request.head_fits {
        (shared.handler)(request).await
    } else {
        text(431, "the request's headers are over the limit\n")
    };
    if shared.closing.get() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn read(mut request: actix_http::Request, limits: Limits, connection: Connection) -> Request {
    let body = body(request.take_payload(), limits.body_bytes).await;
    let headers = request.headers().clone();
    let head_bytes: usize = headers
        .iter()
        .map(|(key, it)| key.as_str().len() + it.len())
        .sum();
    let uri = request.uri().clone();
    Request {
        method: request.method().as_str().to_owned(),
        path: uri.path().to_owned(),
        query: uri.query().unwrap_or_default().to_owned(),
        headers,
        body,
        peer: request.peer_addr().map(|it| it.ip()),
        connection,
        head_fits: head_bytes + uri.path().len() <= limits.header_bytes,
    }
}

async fn body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Truncated)?;
        if max_bytes < body.len() + chunk.len() {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
