//! The listener for peers, and the answers that go out.

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

use super::{CONNECTION_WINDOW, MAX_H2_FRAME, SEND_BUFFER, STREAM_WINDOW, UNSENT};
use crate::scope::Scope;

/// Bounds of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest call, in bytes.
    pub frame_bytes: usize,
    /// Streams open at once on one connection.
    pub streams: u32,
    /// Connections open at once; further ones are closed at once.
    pub connections: usize,
}

/// Answers calls.
pub trait Handler {
    /// Takes a call over; returns at once.
    fn call(&self, call: Call, outgoing: Outgoing);
    /// A peer sent something that is no call; its connection has been dropped.
    fn malformed(&self);
}

/// A listener for peers; it ends with the scope that it runs in.
pub struct Server {
    address: SocketAddr,
}

impl Server {
    /// Listens on `address`, ip:port; port 0 takes a free one.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, limits: Limits, scope: Rc<Scope>, handler: Rc<dyn Handler>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely: let some go first.
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if limits.connections <= open.get() {
            continue;
        }
        // Without these it works as well, with more delay.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT);
        let counted = Counted::new(Rc::clone(&open));
        let connection = Connection {
            limits,
            scope: Rc::clone(&scope),
            handler: Rc::clone(&handler),
            poisoned: Rc::default(),
        };
        scope.spawn(async move {
            let _counted = counted;
            connection.run(stream).await;
        });
    }
}

struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: Rc<Cell<usize>>) -> Counted {
        open.set(open.get() + 1);
        Counted(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    limits: Limits,
    scope: Rc<Scope>,
    handler: Rc<dyn Handler>,
    /// Notified when a stream of the connection carried something that is no call.
    poisoned: Rc<Notify>,
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
                    Some(Ok((request, respond))) => self.take(request.into_body(), respond),
                    Some(Err(error)) => {
                        if !error.is_io() && error.reason() != Some(Reason::NO_ERROR) {
                            self.handler.malformed();
                        }
                        return;
                    }
                    None => return,
                },
                () = self.poisoned.notified() => {
                    self.handler.malformed();
                    return;
                }
            }
        }
    }

    fn take(&self, body: RecvStream, respond: SendResponse<Bytes>) {
        let handler = Rc::clone(&self.handler);
        let poisoned = Rc::clone(&self.poisoned);
        let frame_bytes = self.limits.frame_bytes;
        self.scope.spawn(async move {
            match read_call(body, frame_bytes).await {
                Ok(Some(call)) => {
                    if let Some(outgoing) = Outgoing::start(respond) {
                        handler.call(call, outgoing);
                    }
                }
                Ok(None) => {}
                Err(_) => poisoned.notify_one(),
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
            // Cut off: nothing was asked.
            Some(Err(_)) | None => return Ok(None),
        }
    }
}

/// An answer that goes out frame by frame. Dropped before [`Outgoing::finish`], it reaches the
/// peer as broken off.
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

    /// Sends a frame once the peer has room for it. Gives `false` when the peer has gone.
    pub async fn send(&self, reply: &Reply) -> bool {
        let mut bytes = codec::frame(reply);
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

    /// Sends the last frame and ends the answer.
    pub async fn finish(self, reply: &Reply) -> bool {
        self.send(reply).await && self.end()
    }

    /// Ends the answer.
    pub fn end(self) -> bool {
        self.stream
            .borrow_mut()
            .send_data(Bytes::new(), true)
            .is_ok()
    }

    /// Waits until the peer has gone.
    pub async fn closed(&self) {
        let _ = poll_fn(|cx| self.stream.borrow_mut().poll_reset(cx)).await;
    }
}
