//! The listener for peers, and replies sent over its connections.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_http::{
    intake::{Intake, Place, Refusal, Reserve},
    listener::{self, Buffers},
};
use gradeloft_policy::connection::intake::{self, Activity, Content, Shortage};
use gradeloft_wire::{
    codec::{self, Decoder},
    frame::{Call, Reply},
};
use h2::{Reason, RecvStream, SendStream, server::SendResponse};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

use super::{CONNECTION_WINDOW, MAX_H2_FRAME, NOT_SENT_LOWAT, SEND_BUFFER, STREAM_WINDOW};
use crate::{clock::Clock, scope::Scope};

/// Memory that a connection with [`SMALL_BUFFERS`] may take without shared memory, in bytes: the kernel's
/// buffers, the state of its streams, and small calls.
pub const CONNECTION_BYTES: usize = 64 << 10;
/// Buffers of the kernel that suffice for links of a few megabytes a second.
pub const SMALL_BUFFERS: Buffers = Buffers {
    receive: 8 << 10,
    send: Some(16 << 10),
};
/// Buffers of the kernel for fast links. Of what a peer does not read, the kernel keeps 64 KB.
pub const LARGE_BUFFERS: Buffers = Buffers {
    receive: 32 << 10,
    send: None,
};
/// Maximum size of the headers of a call, in bytes. Calls have their content in the body.
const HEADER_BYTES: u32 = 4 << 10;
/// Time for a connection to begin with HTTP/2.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);
/// Time for a call to arrive, which takes a link of 0.2 MB/s for the largest frame by default.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Time after which a reply is cut off whose peer takes nothing of it.
const REPLY_STALL_TIME: Duration = Duration::from_secs(10);
/// Size of a call or a reply that takes no shared memory, in bytes.
const ALLOWANCE_BYTES: usize = 1 << 10;

/// Limits of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a call, in bytes.
    pub frame_bytes: usize,
    /// Maximum number of concurrent streams on one connection.
    pub streams: u32,
    /// Maximum number of open connections. In favour of further ones, those end first that have sent no
    /// call, then idle ones.
    pub connections: usize,
    /// Memory that the calls and replies of all connections take, in bytes.
    pub shared_bytes: usize,
    /// Buffers of the kernel for each connection.
    pub buffers: Buffers,
}

/// Handler of received calls.
pub trait Handler {
    /// Starts to serve a call. Must not block.
    fn call(&self, call: Call, outgoing: Outgoing);
    /// Called when a connection was dropped because the peer sent malformed data.
    fn malformed(&self);
    /// Called when a connection or a call ended in favour of others.
    fn refused(&self, refusal: Refusal);
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
        let listener = listener::listen(listener::parse(address)?, limits.buffers)?;
        let address = listener.local_addr()?;
        let bounds = intake::Limits {
            connections: limits.connections.max(1),
            shared_bytes: limits.shared_bytes,
            reserved_bytes: limits.shared_bytes / 4,
        };
        let clock = Clock::start();
        let observer = Rc::clone(&handler);
        let intake = Intake::new(
            bounds,
            Rc::new(move || clock.now()),
            Rc::new(move |refusal| observer.refused(refusal)),
        );
        let accepting = accept(listener, limits, intake, Rc::clone(&scope), handler);
        scope.spawn(accepting);
        Ok(Server { address })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    intake: Rc<Intake>,
    scope: Rc<Scope>,
    handler: Rc<dyn Handler>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process has no file descriptors left: wait until some are closed.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // Failures are ignored: without these options, connections only have higher latency.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(NOT_SENT_LOWAT);
        let place = intake.open().await;
        place.set_activity(Activity::Receiving);
        let connection = Connection {
            limits,
            scope: Rc::clone(&scope),
            handler: Rc::clone(&handler),
            malformed: Rc::default(),
            calls: Rc::new(Calls {
                place: Rc::new(place),
                running: Cell::default(),
            }),
        };
        scope.spawn(async move { connection.run_in_place(stream).await });
    }
}

/// Calls of one connection.
struct Calls {
    place: Rc<Place>,
    /// Number of calls that are being served.
    running: Cell<usize>,
}

/// Counts a call as being served until this is dropped.
struct RunningCall(Rc<Calls>);

impl RunningCall {
    fn begin(calls: &Rc<Calls>) -> RunningCall {
        calls.running.set(calls.running.get() + 1);
        calls.place.set_activity(Activity::Serving);
        RunningCall(Rc::clone(calls))
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let Calls { place, running } = &*self.0;
        running.set(running.get() - 1);
        if running.get() == 0 {
            place.set_activity(Activity::Idle);
        }
    }
}

struct Connection {
    limits: Limits,
    scope: Rc<Scope>,
    handler: Rc<dyn Handler>,
    /// Notified when a stream of the connection carried a malformed call.
    malformed: Rc<Notify>,
    calls: Rc<Calls>,
}

impl Connection {
    async fn run_in_place(self, stream: TcpStream) {
        let place = Rc::clone(&self.calls.place);
        tokio::select! {
            () = self.run(stream) => {}
            () = place.wait_for(Shortage::Connections) => {}
        }
    }

    async fn run(self, stream: TcpStream) {
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_frame_size(MAX_H2_FRAME)
            .max_send_buffer_size(SEND_BUFFER)
            .max_header_list_size(HEADER_BYTES)
            .max_concurrent_streams(self.limits.streams);
        let handshake = timeout(HANDSHAKE_TIME, builder.handshake::<_, Bytes>(stream));
        let Ok(Ok(mut connection)) = handshake.await else {
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

    fn serve(&self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let handler = Rc::clone(&self.handler);
        let malformed = Rc::clone(&self.malformed);
        let calls = Rc::clone(&self.calls);
        let frame_bytes = self.limits.frame_bytes;
        self.scope.spawn(async move {
            let mut memory = Reserve::new(&calls.place, ALLOWANCE_BYTES);
            let reading = read_call(body, frame_bytes, &mut memory);
            let Ok(read) = timeout(CALL_TIME, reading).await else {
                respond.send_reset(Reason::CANCEL);
                return;
            };
            match read {
                Ok(call) => {
                    let running = RunningCall::begin(&calls);
                    if let Some(outgoing) = Outgoing::start(respond, running, memory) {
                        handler.call(call, outgoing);
                    }
                }
                Err(CallFault::CutOff) => {}
                // The peer may send it to another process.
                Err(CallFault::NoMemory) => respond.send_reset(Reason::REFUSED_STREAM),
                Err(CallFault::Malformed) => malformed.notify_one(),
            }
        });
    }
}

/// Reason why a call can't be read.
enum CallFault {
    /// The stream was cut off before the call was complete.
    CutOff,
    Malformed,
    NoMemory,
}

async fn read_call(
    mut body: RecvStream,
    frame_bytes: usize,
    memory: &mut Reserve,
) -> Result<Call, CallFault> {
    let mut decoder = Decoder::new(frame_bytes);
    let mut received = 0;
    let place = Rc::clone(memory.place());
    loop {
        if let Some(call) = decoder.pop().map_err(|_| CallFault::Malformed)? {
            return Ok(call);
        }
        let data = tokio::select! {
            data = body.data() => data,
            () = place.wait_for(Shortage::Memory) => return Err(CallFault::NoMemory),
        };
        match data {
            Some(Ok(bytes)) => {
                let _ = body.flow_control().release_capacity(bytes.len());
                received += bytes.len();
                // The buffer has twice the size while it grows.
                if !memory.cover(2 * received, Content::Body).await {
                    return Err(CallFault::NoMemory);
                }
                decoder.feed(&bytes);
            }
            Some(Err(_)) | None => return Err(CallFault::CutOff),
        }
    }
}

/// Reply that is being sent. If it is dropped before [`Outgoing::finish`] or [`Outgoing::end`], the
/// peer sees the reply as cut off.
pub struct Outgoing {
    stream: RefCell<SendStream<Bytes>>,
    memory: RefCell<Reserve>,
    _running: RunningCall,
}

impl Outgoing {
    fn start(
        mut respond: SendResponse<Bytes>,
        running: RunningCall,
        memory: Reserve,
    ) -> Option<Outgoing> {
        let stream = respond.send_response(http::Response::new(()), false).ok()?;
        Some(Outgoing {
            stream: RefCell::new(stream),
            memory: RefCell::new(memory),
            _running: running,
        })
    }

    /// Sends a frame as the peer's flow control allows. Returns `false` if the peer has closed the
    /// stream or takes nothing, or there is no memory for the frame.
    pub async fn send(&self, reply: &Reply) -> bool {
        let mut bytes = codec::encode_frame(reply);
        // The number of chunks that are sent at once has a limit of its own.
        let is_counted = !matches!(reply, Reply::Chunk(_));
        if is_counted
            && !self
                .memory
                .borrow_mut()
                .cover_now(bytes.len(), Content::Other)
        {
            return false;
        }
        while !bytes.is_empty() {
            self.stream
                .borrow_mut()
                .reserve_capacity(bytes.len().min(MAX_H2_FRAME as usize));
            let capacity = poll_fn(|cx| self.stream.borrow_mut().poll_capacity(cx));
            let Ok(Some(Ok(capacity))) = timeout(REPLY_STALL_TIME, capacity).await else {
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
