//! The listener for peers, and replies sent over its connections.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use gradeloft_wire::{
    codec::{self, Decoder},
    frame::{Call, Reply},
};
use h2::{Reason, RecvStream, SendStream, server::SendResponse};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{CONNECTION_WINDOW, MAX_H2_FRAME, NOT_SENT_LOWAT, SEND_BUFFER, STREAM_WINDOW};
use crate::scope::Scope;

/// Limits of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a call, in bytes.
    pub frame_bytes: usize,
    /// Maximum number of concurrent streams on one connection.
    pub streams: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
}

/// Handler of received calls.
pub trait Handler {
    /// Starts to serve a call. Must not block.
    fn call(&self, call: Call, outgoing: Outgoing);
    /// Called when a connection was dropped because the peer sent malformed data.
    fn malformed(&self);
}

/// Listener for peers. It runs until its scope ends.
pub struct Server {
    address: SocketAddr,
}

impl Server {
    /// Listens on `address`, given as ip:port. Port 0 selects a free port.
    pub async fn start(
        address: &str,
        limits: Limits,
        scope: Rc<Scope>,
        handler: Rc<dyn Handler>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accepting = accept(listener, limits, Rc::clone(&scope), handler);
        scope.spawn(accepting);
        Ok(Server { address })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, limits: Limits, scope: Rc<Scope>, handler: Rc<dyn Handler>) {
    let open_count = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process has no file descriptors left: wait until some are closed.
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if limits.connections <= open_count.get() {
            continue;
        }
        // Failures are ignored: without these options, connections only have higher latency.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(NOT_SENT_LOWAT);
        let guard = ConnectionGuard::new(Rc::clone(&open_count));
        let connection = Connection {
            limits,
            scope: Rc::clone(&scope),
            handler: Rc::clone(&handler),
            malformed: Rc::default(),
        };
        scope.spawn(async move {
            let _guard = guard;
            connection.run(stream).await;
        });
    }
}

struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(open_count: Rc<Cell<usize>>) -> ConnectionGuard {
        open_count.set(open_count.get() + 1);
        ConnectionGuard(open_count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    limits: Limits,
    scope: Rc<Scope>,
    handler: Rc<dyn Handler>,
    /// Notified when a stream of the connection carried a malformed call.
    malformed: Rc<Notify>,
}

impl Connection {
    async fn run(self, stream: TcpStream) {
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_frame_size(MAX_H2_FRAME)
            .max_send_buffer_size(SEND_BUFFER)
            .max_concurrent_streams(self.limits.streams);
        let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
            self.handler.malformed();
            return;
        };
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => self.serve(request.into_body(), respond),
                    Some(Err(error)) => {
                        if !error.is_io() && error.reason() != Some(Reason::NO_ERROR) {
                            self.handler.malformed();
                        }
                        return;
                    }
                    None => return,
                },
                () = self.malformed.notified() => {
                    self.handler.malformed();
                    return;
                }
            }
        }
    }

    fn serve(&self, body: RecvStream, respond: SendResponse<Bytes>) {
        let handler = Rc::clone(&self.handler);
        let malformed = Rc::clone(&self.malformed);
        let frame_bytes = self.limits.frame_bytes;
        self.scope.spawn(async move {
            match read_call(body, frame_bytes).await {
                Ok(Some(call)) => {
                    if let Some(outgoing) = Outgoing::start(respond) {
                        handler.call(call, outgoing);
                    }
                }
                Ok(None) => {}
                Err(_) => malformed.notify_one(),
            }
        });
    }
}

async fn read_call(
    mut body: RecvStream,
    frame_bytes: usize,
) -> Result<Option<Call>, codec::Malformed> {
    let mut decoder = Decoder::new(frame_bytes);
    loop {
        if let Some(call) = decoder.pop()? {
            return Ok(Some(call));
        }
        match body.data().await {
            Some(Ok(bytes)) => {
                let _ = body.flow_control().release_capacity(bytes.len());
                decoder.feed(&bytes);
            }
            // The stream was cut off before the call was complete.
            Some(Err(_)) | None => return Ok(None),
        }
    }
}

/// Reply that is being sent. If it is dropped before [`Outgoing::finish`] or [`Outgoing::end`], the
/// peer sees the reply as cut off.
pub struct Outgoing {
    stream: RefCell<SendStream<Bytes>>,
}

impl Outgoing {
    fn start(mut respond: SendResponse<Bytes>) -> Option<Outgoing> {
        let stream = respond.send_response(http::Response::new(()), false).ok()?;
        Some(Outgoing {
            stream: RefCell::new(stream),
        })
    }

    /// Sends a frame as the peer's flow control allows. Returns `false` if the peer has closed the
    /// stream.
    pub async fn send(&self, reply: &Reply) -> bool {
        let mut bytes = codec::encode_frame(reply);
        while !bytes.is_empty() {
            self.stream
                .borrow_mut()
                .reserve_capacity(bytes.len().min(MAX_H2_FRAME as usize));
            let capacity = poll_fn(|cx| self.stream.borrow_mut().poll_capacity(cx)).await;
            let Some(Ok(capacity)) = capacity else {
                return false;
            };
            let piece = bytes.split_to(capacity.min(bytes.len()));
            if self.stream.borrow_mut().send_data(piece, false).is_err() {
                return false;
            }
        }
        true
    }

    /// Sends the last frame and ends the reply. Returns `false` if the peer has closed the stream.
    pub async fn finish(self, reply: &Reply) -> bool {
        self.send(reply).await && self.end()
    }

    /// Ends the reply. Returns `false` if the peer has closed the stream.
    pub fn end(self) -> bool {
        self.stream
            .borrow_mut()
            .send_data(Bytes::new(), true)
            .is_ok()
    }

    /// Waits until the peer has closed the stream.
    pub async fn closed(&self) {
        let _ = poll_fn(|cx| self.stream.borrow_mut().poll_reset(cx)).await;
    }
}
