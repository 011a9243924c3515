//! Connections between processes of the system that end at a byte of a call or of its reply.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_daemon::{
    clock::Clock,
    scope::Scope,
    transport::{
        client::{CallError, Lane, Pool},
        server::{Handler, Limits, Outgoing, SMALL_BUFFERS, Server},
    },
};
use gradeloft_http::intake::Refusal;
use gradeloft_wire::{
    codec,
    frame::{Call, Reply},
};
use h2::Reason;
use rstest::rstest;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};

/// Timeout of each wait. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const LIMITS: Limits = Limits {
    frame_bytes: 1 << 20,
    streams: 8,
    connections: 256,
    shared_bytes: 16 << 20,
    buffers: SMALL_BUFFERS,
};
/// Length of the bytes that a client sends before the first frame of HTTP/2.
const PREFACE_BYTES: usize = 24;
/// Length of a frame's head in HTTP/2, in bytes.
const FRAME_HEAD_BYTES: usize = 9;

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("in time");
    });
}

/// Frames of the reply.
fn frames() -> [Reply; 2] {
    [Reply::Have(vec![1, 2, 3]), Reply::Part(b"rest".to_vec())]
}

/// Handler that counts calls and answers each with [`frames`].
struct Frames {
    scope: Rc<Scope>,
    calls: Rc<Cell<usize>>,
}

impl Handler for Frames {
    fn call(&self, _: Call, outgoing: Outgoing) {
        self.calls.set(self.calls.get() + 1);
        self.scope.spawn(async move {
            let [first, last] = frames();
            outgoing.send(&first).await;
            outgoing.finish(&last).await;
        });
    }

    fn refused(&self, _: Refusal) {}

    fn malformed(&self) {}
}

/// Direction of the bytes that a proxy cuts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToClient,
    ToServer,
}

/// How a proxy ends its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Place at which a proxy ends a connection, on both sides.
#[derive(Clone, Copy, Debug)]
struct Cut {
    direction: Direction,
    /// Number of bytes that are passed on in that direction.
    after: usize,
    end: End,
}

/// Proxy for one connection to a peer.
struct Proxy {
    address: SocketAddr,
    /// Bytes that were passed on to the client and to the server.
    passed: Rc<RefCell<[Vec<u8>; 2]>>,
    /// Whether the connection has ended.
    ended: Rc<Cell<bool>>,
}

impl Proxy {
    async fn start(peer: SocketAddr, cut: Option<Cut>) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            passed: Rc::default(),
            ended: Rc::default(),
        };
        let (passed, ended) = (Rc::clone(&proxy.passed), Rc::clone(&proxy.ended));
        actix_rt::spawn(async move {
            let (client, _) = listener.accept().await.unwrap();
            let server = TcpStream::connect(peer).await.unwrap();
            if cut.is_some_and(|it| it.end == End::Reset) {
                for stream in [&client, &server] {
                    SockRef::from(stream)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                }
            }
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let after = |direction| {
                let cut = cut.filter(|it| it.direction == direction);
                cut.map_or(usize::MAX, |it| it.after)
            };
            let to_client = after(Direction::ToClient);
            let to_server = after(Direction::ToServer);
            // The first to return drops both connections.
            tokio::select! {
                () = pass(server_read, client_write, to_client, &passed, 0) => {}
                () = pass(client_read, server_write, to_server, &passed, 1) => {}
            }
            ended.set(true);
        });
        proxy
    }

    /// Returns the bytes that were passed on in a direction.
    fn passed(&self, direction: Direction) -> Vec<u8> {
        self.passed.borrow()[usize::from(direction == Direction::ToServer)].clone()
    }
}

/// Passes on up to `most` bytes.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    most: usize,
    passed: &RefCell<[Vec<u8>; 2]>,
    side: usize,
) {
    let mut left = most;
    let mut buffer = [0; 4_096];
    while 0 < left {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let bytes = &buffer[..read.min(left)];
        left -= bytes.len();
        passed.borrow_mut()[side].extend_from_slice(bytes);
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}

/// Returns where each frame of HTTP/2 with data ends, and whether it ends its stream.
fn data_ends(bytes: &[u8], start: usize) -> Vec<(usize, bool)> {
    const DATA: u8 = 0;
    const END_STREAM: u8 = 1;
    let mut ends = Vec::new();
    let mut at = start;
    while let Some(&[a, b, c, kind, flags, ..]) = bytes[at..].first_chunk::<FRAME_HEAD_BYTES>() {
        at += FRAME_HEAD_BYTES + u32::from_be_bytes([0, a, b, c]) as usize;
        if kind == DATA {
            ends.push((at, flags & END_STREAM != 0));
        }
    }
    ends
}

/// Reads a reply to its regular end.
async fn read_reply(address: SocketAddr) -> Result<Vec<Reply>, CallError> {
    let pool = Pool::new(Clock::start(), 1 << 20, TEST_TIMEOUT, None);
    let address = address.to_string();
    let mut incoming = pool.open(&address, Lane::Live, &Call::Watch).await?;
    let mut replies = Vec::new();
    while let Some(reply) = incoming.next().await? {
        replies.push(reply);
    }
    Ok(replies)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Starts a server, and returns it with the number of calls that it has handled.
async fn start(scope: &Rc<Scope>) -> (SocketAddr, Rc<Cell<usize>>) {
    let calls = Rc::new(Cell::new(0));
    let handler = Rc::new(Frames {
        scope: Rc::clone(scope),
        calls: Rc::clone(&calls),
    });
    let server = Server::start("127.0.0.1:0", LIMITS, Rc::clone(scope), handler);
    (server.await.unwrap().address(), calls)
}

/// Guards against a cut reply that counts as a whole one, with fewer frames or none.
#[rstest]
fn a_reply_that_is_cut_at_any_byte_is_lost(#[values(End::Close, End::Reset)] end: End) {
    run(async {
        let scope = Rc::new(Scope::default());
        let (server, _) = start(&scope).await;
        let whole = Proxy::start(server, None).await;
        assert_eq!(read_reply(whole.address).await, Ok(frames().to_vec()));
        let sent = whole.passed(Direction::ToClient);
        let ends = data_ends(&sent, 0);
        let (last, _) = ends.into_iter().find(|it| it.1).unwrap();
        for after in 0..last {
            let cut = Cut {
                direction: Direction::ToClient,
                after,
                end,
            };
            let proxy = Proxy::start(server, Some(cut)).await;
            let reply = read_reply(proxy.address).await;
            assert!(reply.is_err(), "{after} of {last}: {reply:?}");
        }
    });
}

/// Guards against a call that runs although its sender has not sent all of it.
#[rstest]
fn a_call_that_is_cut_at_any_byte_does_not_run(#[values(End::Close, End::Reset)] end: End) {
    run(async {
        let scope = Rc::new(Scope::default());
        let (server, calls) = start(&scope).await;
        let whole = Proxy::start(server, None).await;
        assert_eq!(read_reply(whole.address).await, Ok(frames().to_vec()));
        assert_eq!(calls.get(), 1);
        let sent = whole.passed(Direction::ToServer);
        let (last, _) = data_ends(&sent, PREFACE_BYTES)[0];
        for after in 0..last {
            let cut = Cut {
                direction: Direction::ToServer,
                after,
                end,
            };
            let proxy = Proxy::start(server, Some(cut)).await;
            let reply = read_reply(proxy.address).await;
            assert!(reply.is_err(), "{after} of {last}: {reply:?}");
            wait_until(|| proxy.ended.get()).await;
        }
        // A call that arrives after the cut ones, which the server has read by then.
        assert_eq!(read_reply(server).await, Ok(frames().to_vec()));
        assert_eq!(calls.get(), 2);
    });
}

/// End of a stream of HTTP/2 by its server.
#[derive(Clone, Copy, Debug)]
enum StreamEnd {
    /// The stream ends in order.
    Regular,
    /// The stream is reset.
    Reset(Reason),
    /// The server ends the connection in order.
    GoAway(Reason),
    /// The server drops the connection.
    Dropped,
}

/// Starts a server that answers a call with some bytes and ends the stream.
async fn start_raw(status: u16, bytes: Vec<u8>, end: StreamEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(stream).await.unwrap();
        let Some(Ok((_request, mut respond))) = connection.accept().await else {
            return;
        };
        let response = http::Response::builder().status(status).body(()).unwrap();
        let mut stream = respond.send_response(response, false).unwrap();
        let is_regular = matches!(end, StreamEnd::Regular);
        stream.send_data(Bytes::from(bytes), is_regular).unwrap();
        match end {
            StreamEnd::Regular | StreamEnd::Dropped => {}
            StreamEnd::Reset(reason) => stream.send_reset(reason),
            StreamEnd::GoAway(reason) => connection.abrupt_shutdown(reason),
        }
        if matches!(end, StreamEnd::Dropped) {
            // Writes what is queued, and ends without a message of HTTP/2.
            let closing = std::future::poll_fn(|cx| connection.poll_closed(cx));
            let _ = tokio::time::timeout(Duration::from_millis(20), closing).await;
            return;
        }
        while connection.accept().await.is_some() {}
    });
    address
}

/// Guards against a reply that counts as whole because its stream ends, although its last frame is cut or
/// its end was no regular one.
#[rstest]
fn a_stream_that_ends_within_a_reply_is_lost(
    #[values(
        StreamEnd::Regular,
        StreamEnd::Reset(Reason::NO_ERROR),
        StreamEnd::Reset(Reason::CANCEL),
        StreamEnd::Reset(Reason::INTERNAL_ERROR),
        StreamEnd::GoAway(Reason::NO_ERROR),
        StreamEnd::GoAway(Reason::INTERNAL_ERROR),
        StreamEnd::Dropped
    )]
    end: StreamEnd,
) {
    run(async {
        let [first, last] = frames().map(|it| codec::encode_frame(&it));
        let whole = [first, last.clone()].concat();
        let cuts = (whole.len() - last.len() + 1)..whole.len();
        for at in cuts {
            let address = start_raw(200, whole[..at].to_vec(), end).await;
            let reply = read_reply(address).await;
            assert!(reply.is_err(), "{at} of {}: {reply:?}", whole.len());
        }
    });
}

/// Guards against a reply without its regular end that counts as whole.
#[rstest]
fn a_stream_without_a_regular_end_is_lost(
    #[values(
        StreamEnd::Reset(Reason::NO_ERROR),
        StreamEnd::Reset(Reason::CANCEL),
        StreamEnd::GoAway(Reason::NO_ERROR),
        StreamEnd::GoAway(Reason::INTERNAL_ERROR),
        StreamEnd::Dropped
    )]
    end: StreamEnd,
) {
    run(async {
        let bytes = frames().map(|it| codec::encode_frame(&it)).concat();
        let address = start_raw(200, bytes, end).await;
        let reply = read_reply(address).await;
        assert!(reply.is_err(), "{reply:?}");
    });
}

/// Guards against a call whose first frame is taken from a part of it, or from none.
#[rstest]
fn a_call_without_a_whole_frame_is_lost(
    #[values(
        StreamEnd::Regular,
        StreamEnd::GoAway(Reason::NO_ERROR),
        StreamEnd::Dropped
    )]
    end: StreamEnd,
) {
    run(async {
        let [first, _] = frames().map(|it| codec::encode_frame(&it));
        for at in 0..first.len() {
            let address = start_raw(200, first[..at].to_vec(), end).await;
            let pool = Pool::new(Clock::start(), 1 << 20, TEST_TIMEOUT, None);
            let address = address.to_string();
            let reply = pool.call(&address, Lane::Live, &Call::Watch).await;
            assert!(reply.is_err(), "{at} of {}: {reply:?}", first.len());
        }
    });
}

/// Guards against an error of the peer's HTTP server that counts as an empty reply.
#[test]
fn a_response_with_an_error_status_is_lost() {
    run(async {
        let address = start_raw(500, Vec::new(), StreamEnd::Regular).await;
        let reply = read_reply(address).await;
        assert!(reply.is_err(), "{reply:?}");
    });
}
