//! A pool of connections to peers, and replies received over them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_policy::clock::Time;
use gradeloft_wire::{
    codec::{self, Decoder},
    frame::{Call, Reply},
};
use h2::{Reason, RecvStream, SendStream, client::SendRequest};
use http::StatusCode;
use socket2::SockRef;
use tokio::{
    net::TcpSocket,
    time::{error::Elapsed, timeout},
};

use crate::clock::Clock;

use super::{CONNECTION_WINDOW, MAX_H2_FRAME, STREAM_WINDOW};

/// Class of traffic. Weights have connections of their own, so that a request never waits behind a
/// chunk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Lane {
    /// Chunks of weights.
    Bulk,
    /// Requests and control traffic.
    Live,
}

/// Reason why a call got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The connection broke after the call was sent, or the reply is malformed.
    Lost,
    /// The call was not sent, or the peer refused its stream unprocessed.
    Unsent,
}

/// Time after which a connection is closed if sent data is not acknowledged. This is the only sign
/// of a peer behind a network partition.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the pool drops a connection that no call has used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

struct Connection {
    sender: SendRequest<Bytes>,
    last_used: Time,
    /// Time at which data was last received, or the connection was opened.
    last_received: Rc<Cell<Time>>,
}

/// Pool of connections to peers, with one connection for each address and lane. Connections are
/// opened on demand and dropped when idle. A reply in progress keeps its connection open.
pub struct Pool {
    clock: Clock,
    connections: RefCell<HashMap<(String, Lane), Connection>>,
    max_frame: usize,
    connect_timeout: Duration,
    /// Local address to connect from.
    source: Option<IpAddr>,
}

impl Pool {
    /// Creates a pool that accepts frames of at most `max_frame` bytes and connects from the local
    /// address `source`, if it is given.
    pub fn new(
        clock: Clock,
        max_frame: usize,
        connect_timeout: Duration,
        source: Option<IpAddr>,
    ) -> Pool {
        Pool {
            clock,
            source,
            connections: RefCell::default(),
            max_frame,
            connect_timeout,
        }
    }

    /// Sends a call and returns its reply as a stream. Dropping the stream cancels the call.
    pub async fn open(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
    ) -> Result<Incoming, CallError> {
        let (sender, last_received) = self.connection(address, lane).await?;
        let result = send(sender, call).await;
        if result.is_err() {
            self.drop_connection(address, lane);
        }
        let (response, sending) = result?;
        Ok(Incoming {
            head: Some(response),
            body: None,
            decoder: Decoder::new(self.max_frame),
            last_received,
            clock: self.clock,
            _sending: sending,
        })
    }

    /// Sends a call and returns the first frame of its reply.
    pub async fn call(&self, address: &str, lane: Lane, call: &Call) -> Result<Reply, CallError> {
        self.open(address, lane, call)
            .await?
            .next()
            .await?
            .ok_or(CallError::Lost)
    }

    /// Sends a call as [`Pool::call`] does, and fails if no data arrives for `idle_timeout`; the
    /// connection is then dropped as by [`Pool::drop_silent`]. The whole reply may take longer,
    /// since its duration depends on its size and on the link rather than on the peer.
    pub async fn call_within(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
        idle_timeout: Duration,
    ) -> Result<Result<Reply, CallError>, Elapsed> {
        let sent_at = self.clock.now();
        let reply = self.reply_within(address, lane, call, idle_timeout).await;
        if reply.is_err() {
            self.drop_silent(address, lane, sent_at);
        }
        reply
    }

    async fn reply_within(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
        idle_timeout: Duration,
    ) -> Result<Result<Reply, CallError>, Elapsed> {
        let mut incoming = match timeout(idle_timeout, self.open(address, lane, call)).await? {
            Ok(incoming) => incoming,
            Err(error) => return Ok(Err(error)),
        };
        let reply = incoming.next_within(idle_timeout).await?;
        Ok(reply.and_then(|it| it.ok_or(CallError::Lost)))
    }

    async fn connection(&self, address: &str, lane: Lane) -> Result<Sender, CallError> {
        let key = (address.to_owned(), lane);
        let cached = self.cached(&key);
        if let Some((cached, last_received)) = cached
            && let Ok(ready) = cached.ready().await
        {
            return Ok((ready, last_received));
        }
        let connecting = timeout(self.connect_timeout, connect(address, self.source));
        let fresh = connecting
            .await
            .map_err(|_| CallError::Unsent)?
            .map_err(|_| CallError::Unsent)?;
        let last_received = Rc::new(Cell::new(self.clock.now()));
        let connection = Connection {
            sender: fresh.clone(),
            last_used: self.clock.now(),
            last_received: Rc::clone(&last_received),
        };
        self.connections.borrow_mut().insert(key, connection);
        let ready = fresh.ready().await.map_err(|_| CallError::Unsent)?;
        Ok((ready, last_received))
    }

    fn cached(&self, key: &(String, Lane)) -> Option<Sender> {
        let mut connections = self.connections.borrow_mut();
        let now = self.clock.now();
        connections
            .retain(|it, connection| it == key || now < connection.last_used.after(IDLE_TIMEOUT));
        let connection = connections.get_mut(key)?;
        connection.last_used = now;
        Some((
            connection.sender.clone(),
            Rc::clone(&connection.last_received),
        ))
    }

    /// Drops a connection on which a call sent at `sent_at` got no reply, and all other connections
    /// on which no data has been received since then. Connections often go silent together, and
    /// each call on a silent one costs its whole timeout, while a new connection costs one round
    /// trip.
    pub fn drop_silent(&self, address: &str, lane: Lane, sent_at: Time) {
        self.drop_connection(address, lane);
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, it| sent_at <= it.last_received.get());
    }

    fn drop_connection(&self, address: &str, lane: Lane) {
        self.connections
            .borrow_mut()
            .remove(&(address.to_owned(), lane));
    }
}

async fn connect(address: &str, source: Option<IpAddr>) -> io::Result<SendRequest<Bytes>> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(MAX_H2_FRAME)
        .enable_push(false);
    let (sender, connection) = builder.handshake(stream).await.map_err(io::Error::other)?;
    // Ends once the pool and all replies have dropped the connection.
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Connection, and the time at which data was last received on it.
type Sender = (SendRequest<Bytes>, Rc<Cell<Time>>);

type Sent = (h2::client::ResponseFuture, SendStream<Bytes>);

async fn send(mut sender: SendRequest<Bytes>, call: &Call) -> Result<Sent, CallError> {
    let request = http::Request::post("http://peer/")
        .body(())
        .map_err(|_| CallError::Unsent)?;
    let (response, mut sending) = sender
        .send_request(request, false)
        .map_err(|_| CallError::Unsent)?;
    sending
        .send_data(codec::encode_frame(call), true)
        .map_err(|_| CallError::Unsent)?;
    Ok((response, sending))
}

/// Reply that is being received.
pub struct Incoming {
    head: Option<h2::client::ResponseFuture>,
    body: Option<RecvStream>,
    decoder: Decoder,
    last_received: Rc<Cell<Time>>,
    clock: Clock,
    _sending: SendStream<Bytes>,
}

impl Incoming {
    /// Returns the next frame, or `None` at the regular end of the reply.
    pub async fn next(&mut self) -> Result<Option<Reply>, CallError> {
        loop {
            if let Some(reply) = self.next_decoded()? {
                return Ok(Some(reply));
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// Returns the next frame as [`Incoming::next`] does, or fails if no data arrives for
    /// `idle_timeout`.
    async fn next_within(
        &mut self,
        idle_timeout: Duration,
    ) -> Result<Result<Option<Reply>, CallError>, Elapsed> {
        loop {
            match self.next_decoded() {
                Ok(None) => {}
                decoded => return Ok(decoded),
            }
            match timeout(idle_timeout, self.read_more()).await? {
                Ok(true) => {}
                Ok(false) => return Ok(Ok(None)),
                Err(error) => return Ok(Err(error)),
            }
        }
    }

    fn next_decoded(&mut self) -> Result<Option<Reply>, CallError> {
        self.decoder.pop().map_err(|_| CallError::Lost)
    }

    /// Waits for more data. Returns `false` at the end of the reply, which is not within a frame.
    async fn read_more(&mut self) -> Result<bool, CallError> {
        if let Some(head) = &mut self.head {
            let response = head.await.map_err(|it| call_error(&it))?;
            self.last_received.set(self.clock.now());
            if response.status() != StatusCode::OK {
                return Err(CallError::Lost);
            }
            self.head = None;
            self.body = Some(response.into_body());
        }
        let Some(body) = &mut self.body else {
            return Ok(false);
        };
        match body.data().await {
            Some(Ok(bytes)) => {
                self.last_received.set(self.clock.now());
                let _ = body.flow_control().release_capacity(bytes.len());
                self.decoder.feed(&bytes);
                Ok(true)
            }
            None if self.decoder.is_empty() => Ok(false),
            Some(Err(_)) | None => Err(CallError::Lost),
        }
    }
}

fn call_error(error: &h2::Error) -> CallError {
    // By the HTTP/2 standard, a refused stream was not processed at all.
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        CallError::Unsent
    } else {
        CallError::Lost
    }
}
