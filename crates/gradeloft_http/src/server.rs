//! TCP listener and connections of the server.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    error::Error,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Payload,
    body::{BodySize, BoxBody, MessageBody},
    header,
};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::LocalBoxFuture};
use gradeloft_policy::{
    clock::Time,
    connection::intake::{self, Activity, Content, Shortage},
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    intake::{Intake, Observer, Place, Reserve},
    listener::{self, Buffers},
    message::{BodyError, Connection, HttpResponse, Request, text, with_header},
    metered::{Meter, MeteredStream},
};

/// Buffers of the kernel for each connection.
const BUFFERS: Buffers = Buffers {
    receive: 16 << 10,
    send: Some(16 << 10),
};
/// Memory that a connection may take without shared memory, in bytes: the kernel's buffers, those of the
/// HTTP parser, some pipelined requests, and an ordinary body.
pub const CONNECTION_BYTES: usize = 192 << 10;
/// Length of a body or a response that takes no shared memory, in bytes.
const ALLOWANCE_BYTES: usize = 8 << 10;
/// Copies of a body that exist at once: its buffer and the larger one into which it grows, or the body, its
/// encoding for another process and the buffer of that connection.
pub const BODY_COPIES: usize = 4;
/// Time for which the rest of a body is read after it was refused, so that its client reads the refusal.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Delay after which a client may try again if there was no memory, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Function that handles requests.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, HttpResponse>>;

/// Resource limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of the path and the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections. In favour of further ones, those end first that wait for their
    /// clients.
    pub connections: usize,
    /// Time after which an idle connection is closed, and in which a request has to arrive.
    pub idle: Duration,
    /// Memory that the large bodies and responses of all connections take, in bytes.
    pub shared_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            connections: 4096,
            idle: Duration::from_secs(30),
            shared_bytes: 512 << 20,
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
    intake: Rc<Intake>,
    /// Whether the listener accepts no more connections.
    closing: Cell<bool>,
    /// Set when the server is dropped, which closes all connections.
    dropped: watch::Sender<bool>,
}

impl Server {
    /// Starts to listen on `address`, `IP:PORT`; port 0 selects a free port.
    pub async fn start(address: &str, limits: Limits, handler: Handler) -> io::Result<Server> {
        Server::start_observed(address, limits, handler, Rc::new(|_| {})).await
    }

    /// Starts as [`Server::start`] does, and reports what is refused for lack of room.
    pub async fn start_observed(
        address: &str,
        limits: Limits,
        handler: Handler,
        observer: Observer,
    ) -> io::Result<Server> {
        let listener = listener::listen(listener::parse(address)?, BUFFERS)?;
        let address = listener.local_addr()?;
        let started = Instant::now();
        let now = Rc::new(move || Time::ZERO.after(started.elapsed()));
        let bounds = intake::Limits {
            connections: limits.connections.max(1),
            shared_bytes: limits.shared_bytes,
            reserved_bytes: limits.shared_bytes / 4,
        };
        let shared = Rc::new(Shared {
            limits,
            handler,
            intake: Intake::new(bounds, now, observer),
            closing: Cell::new(false),
            dropped: watch::Sender::new(false),
        });
        let accept_task = actix_rt::spawn(accept(listener, Rc::clone(&shared)));
        Ok(Server {
            address,
            shared,
            accept_task,
        })
    }

    /// Returns the connections of the listener.
    pub fn intake(&self) -> &Rc<Intake> {
        &self.shared.intake
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
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely no file descriptors are free; wait until some are.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let place = shared.intake.open().await;
        let connection = Rc::new(OpenConnection::new(place, shared.limits));
        actix_rt::spawn(serve(stream, Rc::clone(&shared), connection));
    }
}

/// State of a connection that its stream and its requests share.
struct OpenConnection {
    place: Rc<Place>,
    meter: Rc<Meter>,
    handle: Connection,
    is_serving: Cell<bool>,
    /// Whether a response has announced that the connection closes.
    is_closing: Cell<bool>,
    /// Memory of the last response, until it was sent.
    response: RefCell<Option<Reserve>>,
}

impl OpenConnection {
    fn new(place: Place, limits: Limits) -> OpenConnection {
        OpenConnection {
            place: Rc::new(place),
            meter: Meter::new(2 * limits.header_bytes + ALLOWANCE_BYTES),
            handle: Connection::default(),
            is_serving: Cell::default(),
            is_closing: Cell::default(),
            response: RefCell::default(),
        }
    }

    fn begin_receiving(&self) {
        if !self.is_serving.get() {
            self.place.set_activity(Activity::Receiving);
        }
    }

    fn begin_serving(&self) {
        self.is_serving.set(true);
        self.place.set_activity(Activity::Serving);
    }

    fn end_serving(&self) {
        self.is_serving.set(false);
        self.place.set_activity(Activity::Idle);
        self.meter.end_request();
    }

    fn flushed(&self) {
        if !self.is_serving.get() {
            self.response.take();
        }
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>, connection: Rc<OpenConnection>) {
    let mut dropped = shared.dropped.subscribe();
    tokio::select! {
        biased;
        () = connection.place.wait_for(Shortage::Connections) => {}
        () = serve_requests(stream, &shared, &connection) => {}
        () = connection.handle.0.notified() => {}
        _ = dropped.wait_for(|it| *it) => {}
    }
}

async fn serve_requests(stream: TcpStream, shared: &Rc<Shared>, connection: &Rc<OpenConnection>) {
    let peer = stream.peer_addr().ok();
    let receiving = Rc::downgrade(connection);
    let flushed = Rc::downgrade(connection);
    let upgrade = |it: &Weak<OpenConnection>, call: fn(&OpenConnection)| {
        it.upgrade().iter().for_each(|it| call(it));
    };
    let meter = &connection.meter;
    meter.on_flush(move || upgrade(&flushed, OpenConnection::flushed));
    let stream = MeteredStream::new(stream, Rc::clone(meter), move || {
        upgrade(&receiving, OpenConnection::begin_receiving);
    });
    let idle = shared.limits.idle;
    let shared = Rc::clone(shared);
    let connection = Rc::clone(connection);
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(idle)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request| {
            let (shared, connection) = (Rc::clone(&shared), Rc::clone(&connection));
            async move {
                Ok::<HttpResponse, Infallible>(handle(request, &shared, &connection, peer).await)
            }
        }));
    if let Ok(service) = service.new_service(()).await {
        // The client has left, or sent something else than requests.
        let _ = service.call((stream, peer)).await;
    }
}

async fn handle(
    request: actix_http::Request,
    shared: &Shared,
    connection: &Rc<OpenConnection>,
    peer: Option<SocketAddr>,
) -> HttpResponse {
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let has_body = is_chunked || request.headers().contains_key(header::CONTENT_LENGTH);
    connection
        .meter
        .begin_request(head_bytes(&request), has_body);
    connection.meter.wait_unblocked().await;
    if connection.is_closing.get() {
        // The parser had taken this request before the response that announced the close.
        return connection.handle.abort().await;
    }
    let request = read(request, shared.limits, connection, peer.map(|it| it.ip())).await;
    connection.meter.end_body();
    connection.begin_serving();
    let mut response = if request.head_fits {
        (shared.handler)(request).await
    } else {
        text(431, "the request's headers are over the limit\n")
    };
    if !hold_response(connection, &response) {
        response = with_header(
            text(503, "no memory at present\n"),
            "retry-after",
            RETRY_AFTER_S,
        );
    }
    // What follows a body in chunks can't be told from it before it is parsed.
    let closes = shared.closing.get() || connection.place.shortage().is_some() || is_chunked;
    if closes || connection.place.must_yield() {
        connection.is_closing.set(true);
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let connection = Rc::clone(connection);
    response.map_body(|_, body| BoxBody::new(TrackedBody { body, connection }))
}

/// Takes memory for a response with a length; returns whether it is granted.
fn hold_response(connection: &OpenConnection, response: &HttpResponse) -> bool {
    let BodySize::Sized(length) = response.body().size() else {
        return true;
    };
    // That of the previous response, which has been sent.
    connection.response.take();
    let mut memory = Reserve::new(&connection.place, ALLOWANCE_BYTES);
    let granted = memory.cover_now(length as usize, Content::Other);
    *connection.response.borrow_mut() = Some(memory);
    granted
}

/// Body of a response; its connection is served until this is dropped.
struct TrackedBody {
    body: BoxBody,
    connection: Rc<OpenConnection>,
}

impl MessageBody for TrackedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.end_serving();
    }
}

/// Returns the least size of a request's head as it was received, in bytes.
fn head_bytes(request: &actix_http::Request) -> usize {
    /// Blanks, version and line ends beside the method, the target and the headers.
    const AROUND: usize = 14;
    /// Colon, blank and line end of a header.
    const AROUND_HEADER: usize = 4;
    let headers = request.headers().iter();
    let headers = headers.map(|(key, it)| key.as_str().len() + it.len() + AROUND_HEADER);
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |it| it.as_str().len());
    request.method().as_str().len() + target + AROUND + headers.sum::<usize>()
}

async fn read(
    mut request: actix_http::Request,
    limits: Limits,
    connection: &OpenConnection,
    peer: Option<IpAddr>,
) -> Request {
    let headers = request.headers().clone();
    let announced = headers.get(header::CONTENT_LENGTH);
    let announced = announced.and_then(|it| it.to_str().ok()?.parse().ok());
    let is_chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let mut payload = request.take_payload();
    let read = match announced {
        Some(length) if limits.body_bytes < length => Err(BodyError::TooLarge),
        _ => body(&mut payload, limits, connection, is_chunked).await,
    };
    if read.is_err() {
        let draining = drain(&mut payload, limits.body_bytes, connection, is_chunked);
        // A client that takes longer does not read the refusal.
        let _ = actix_rt::time::timeout(DRAIN_TIME, draining).await;
    }
    let (body, memory) = match read {
        Ok((body, memory)) => (Ok(body), Some(memory)),
        Err(error) => (Err(error), None),
    };
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
        peer,
        connection: connection.handle.clone(),
        head_fits: head_bytes + uri.path().len() <= limits.header_bytes,
        _memory: memory,
    }
}

/// Reads a body, with shared memory for its copies.
async fn body(
    payload: &mut Payload,
    limits: Limits,
    connection: &OpenConnection,
    is_chunked: bool,
) -> Result<(Bytes, Reserve), BodyError> {
    let mut body = BytesMut::new();
    let mut memory = Reserve::new(&connection.place, ALLOWANCE_BYTES);
    let late = actix_rt::time::sleep(limits.idle);
    tokio::pin!(late);
    loop {
        let chunk = tokio::select! {
            chunk = payload.next() => chunk,
            () = connection.place.wait_for(Shortage::Memory) => return Err(BodyError::NoMemory),
            () = &mut late => return Err(BodyError::TimedOut),
        };
        let Some(chunk) = chunk else {
            return Ok((body.freeze(), memory));
        };
        let chunk = chunk.map_err(|_| BodyError::Truncated)?;
        connection.meter.handle_body(chunk.len(), is_chunked);
        if limits.body_bytes < body.len() + chunk.len() {
            return Err(BodyError::TooLarge);
        }
        let copies = (body.len() + chunk.len()) * BODY_COPIES;
        if !memory.cover(copies, Content::Body).await {
            return Err(BodyError::NoMemory);
        }
        body.extend_from_slice(&chunk);
    }
}

/// Reads and discards a refused body, up to a number of bytes.
async fn drain(
    payload: &mut Payload,
    max_bytes: usize,
    connection: &OpenConnection,
    is_chunked: bool,
) {
    let mut drained = 0;
    while let Some(Ok(chunk)) = payload.next().await {
        connection.meter.handle_body(chunk.len(), is_chunked);
        drained += chunk.len();
        if max_bytes < drained {
            return;
        }
    }
}
