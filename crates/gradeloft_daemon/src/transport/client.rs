//! A pool of connections to peers, and the answers that come over them.

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
use socket2::SockRef;
use tokio::{
    net::TcpSocket,
    time::{error::Elapsed, timeout},
};

use crate::clock::Clock;

use super::{CONNECTION_WINDOW, MAX_H2_FRAME, STREAM_WINDOW};

/// Keeps weights and everything else on connections of their own, so that a request never waits
/// behind a chunk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Lane {
    /// Chunks.
    Bulk,
    /// Requests and control.
    Live,
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The connection broke after the call was sent, or the answer can't be read.
    Lost,
    /// The call was not sent, or the peer's transport refused it unread.
    Unsent,
}

/// Time after which data that the peer does not acknowledge ends a connection: a peer behind a
/// partition gives no other sign.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Time after which a connection that nothing was sent on is let go.
const IDLE: Duration = Duration::from_secs(60);

struct Connection {
    sender: SendRequest<Bytes>,
    used: Time,
    /// When something came on it last, or it was made.
    heard: Rc<Cell<Time>>,
}

/// Connections to peers, one for each address and lane, made when they are needed and let go when
/// they have not been used for a while; answers that still come keep theirs.
pub struct Pool {
    clock: Clock,
    connections: RefCell<HashMap<(String, Lane), Connection>>,
    max_frame: usize,
    connect_timeout: Duration,
    /// Address of this instance that connections come from.
    source: Option<IpAddr>,
}

impl Pool {
    /// A pool whose answers have frames of at most `max_frame` bytes, with connections that come
    /// from `source` if it is given.
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

    /// Sends a call and gives its answer, as it comes. Dropping the answer cancels the call.
    pub async fn open(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
    ) -> Result<Incoming, CallError> {
        let (sender, heard) = self.sender(address, lane).await?;
        let result = send(sender, call).await;
        if result.is_err() {
            self.drop_one(address, lane);
        }
        let (response, sending) = result?;
        Ok(Incoming {
            head: Some(response),
            body: None,
            decoder: Decoder::new(self.max_frame),
            heard,
            clock: self.clock,
            _sending: sending,
        })
    }

    /// As [`Pool::open`], for calls that are answered with one frame.
    pub async fn call(&self, address: &str, lane: Lane, call: &Call) -> Result<Reply, CallError> {
        self.open(address, lane, call)
            .await?
            .next()
            .await?
            .ok_or(CallError::Lost)
    }

    /// As [`Pool::call`], unless for as long as `silence` no byte comes: then it is dropped as by
    /// [`Pool::drop_silent`]. An answer may take longer as a whole: how long depends on its size and on the
    /// link, and says nothing of the peer.
    pub async fn call_within(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
        silence: Duration,
    ) -> Result<Result<Reply, CallError>, Elapsed> {
        let asked = self.clock.now();
        let reply = self.reply_within(address, lane, call, silence).await;
        if reply.is_err() {
            self.drop_silent(address, lane, asked);
        }
        reply
    }

    async fn reply_within(
        &self,
        address: &str,
        lane: Lane,
        call: &Call,
        silence: Duration,
    ) -> Result<Result<Reply, CallError>, Elapsed> {
        let mut incoming = match timeout(silence, self.open(address, lane, call)).await? {
            Ok(incoming) => incoming,
            Err(fault) => return Ok(Err(fault)),
        };
        let reply = incoming.next_within(silence).await?;
        Ok(reply.and_then(|it| it.ok_or(CallError::Lost)))
    }

    async fn sender(&self, address: &str, lane: Lane) -> Result<Sender, CallError> {
        let key = (address.to_owned(), lane);
        let kept = self.kept(&key);
        if let Some((kept, heard)) = kept
            && let Ok(ready) = kept.ready().await
        {
            return Ok((ready, heard));
        }
        let connecting = timeout(self.connect_timeout, connect(address, self.source));
        let fresh = connecting
            .await
            .map_err(|_| CallError::Unsent)?
            .map_err(|_| CallError::Unsent)?;
        let heard = Rc::new(Cell::new(self.clock.now()));
        let connection = Connection {
            sender: fresh.clone(),
            used: self.clock.now(),
            heard: Rc::clone(&heard),
        };
        self.connections.borrow_mut().insert(key, connection);
        let ready = fresh.ready().await.map_err(|_| CallError::Unsent)?;
        Ok((ready, heard))
    }

    fn kept(&self, key: &(String, Lane)) -> Option<Sender> {
        let mut connections = self.connections.borrow_mut();
        let now = self.clock.now();
        connections.retain(|it, kept| it == key || now < kept.used.after(IDLE));
        let kept = connections.get_mut(key)?;
        kept.used = now;
        Some((kept.sender.clone(), Rc::clone(&kept.heard)))
    }

    /// Drops a connection on which a call of the time `asked` got no answer, and those to other peers on
    /// which nothing has come since then: connections go silent together, and each that is used all the
    /// same costs a call its whole time. A connection anew costs a round trip.
    pub fn drop_silent(&self, address: &str, lane: Lane, asked: Time) {
        self.drop_one(address, lane);
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, it| asked <= it.heard.get());
    }

    fn drop_one(&self, address: &str, lane: Lane) {
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
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(MAX_H2_FRAME)
        .enable_push(false);
    let (sender, connection) = builder.handshake(stream).await.map_err(io::Error::other)?;
    // Ends by itself once the pool and every answer have let go of the connection.
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// A connection, and when something came on it last.
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
        .send_data(codec::frame(call), true)
        .map_err(|_| CallError::Unsent)?;
    Ok((response, sending))
}

/// An answer as it comes.
pub struct Incoming {
    head: Option<h2::client::ResponseFuture>,
    body: Option<RecvStream>,
    decoder: Decoder,
    heard: Rc<Cell<Time>>,
    clock: Clock,
    _sending: SendStream<Bytes>,
}

impl Incoming {
    /// The next frame; `None` at the regular end.
    pub async fn next(&mut self) -> Result<Option<Reply>, CallError> {
        loop {
            if let Some(reply) = self.decoded()? {
                return Ok(Some(reply));
            }
            if !self.more().await? {
                return Ok(None);
            }
        }
    }

    /// As [`Incoming::next`], unless for as long as `silence` no byte comes.
    async fn next_within(
        &mut self,
        silence: Duration,
    ) -> Result<Result<Option<Reply>, CallError>, Elapsed> {
        loop {
            match self.decoded() {
                Ok(None) => {}
                known => return Ok(known),
            }
            match timeout(silence, self.more()).await? {
                Ok(true) => {}
                Ok(false) => return Ok(Ok(None)),
                Err(fault) => return Ok(Err(fault)),
            }
        }
    }

    fn decoded(&mut self) -> Result<Option<Reply>, CallError> {
        self.decoder.pop().map_err(|_| CallError::Lost)
    }

    /// Waits for further bytes; gives `false` at the end.
    async fn more(&mut self) -> Result<bool, CallError> {
        if let Some(head) = &mut self.head {
            let response = head.await.map_err(|it| fault(&it))?;
            self.heard.set(self.clock.now());
            self.head = None;
            self.body = Some(response.into_body());
        }
        let Some(body) = &mut self.body else {
            return Ok(false);
        };
        match body.data().await {
            Some(Ok(bytes)) => {
                self.heard.set(self.clock.now());
                let _ = body.flow_control().release_capacity(bytes.len());
                self.decoder.feed(&bytes);
                Ok(true)
            }
            Some(Err(_)) => Err(CallError::Lost),
            None => Ok(false),
        }
    }
}

fn fault(error: &h2::Error) -> CallError {
    // By the h2 standard a refused stream was not processed at all.
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        CallError::Unsent
    } else {
        CallError::Lost
    }
}
