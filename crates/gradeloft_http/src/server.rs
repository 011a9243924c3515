//! The listener.

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

/// Answers requests.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, HttpResponse>>;

/// Bounds of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Connections open at once; further ones wait to be accepted.
    pub connections: usize,
    /// A silent connection ends after this.
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

/// A listener; dropping it ends it and the connections that it took.
pub struct Server {
    address: SocketAddr,
    shared: Rc<Shared>,
    accepting: JoinHandle<()>,
}

struct Shared {
    limits: Limits,
    handler: Handler,
    /// Set when the listener takes no more connections.
    closing: Cell<bool>,
    open: Cell<usize>,
    freed: Notify,
    /// Set when the listener is dropped: connections end.
    ended: watch::Sender<bool>,
}

impl Server {
    /// Listens on `address`, ip:port; port 0 takes a free one.
    pub async fn start(address: &str, limits: Limits, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            limits,
            handler,
            closing: Cell::new(false),
            open: Cell::new(0),
            freed: Notify::new(),
            ended: watch::Sender::new(false),
        });
        let accepting = actix_rt::spawn(accept(listener, Rc::clone(&shared)));
        Ok(Server {
            address,
            shared,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections; those that are open end with their present request.
    pub fn close(&self) {
        self.shared.closing.set(true);
        self.accepting.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        let _ = self.shared.ended.send(true);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        while shared.limits.connections <= shared.open.get() {
            shared.freed.notified().await;
        }
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely: let some go first.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        shared.open.set(shared.open.get() + 1);
        actix_rt::spawn(serve(stream, Rc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    let connection = Connection::default();
    let mut ended = shared.ended.subscribe();
    tokio::select! {
        () = exchange(stream, &shared, &connection) => {}
        () = connection.0.notified() => {}
        _ = ended.wait_for(|it| *it) => {}
    }
    shared.open.set(shared.open.get() - 1);
    shared.freed.notify_one();
}

async fn exchange(stream: TcpStream, shared: &Rc<Shared>, connection: &Connection) {
    let idle = shared.limits.idle;
    let handling = Rc::clone(shared);
    let connection = connection.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(idle)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request| {
            let shared = Rc::clone(&handling);
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
    let mut answer = if request.head_fits {
        (shared.handler)(request).await
    } else {
        text(431, "the request's headers are over the limit\n")
    };
    if shared.closing.get() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
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
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| BodyError::Truncated)?;
        if max_bytes < body.len() + piece.len() {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
