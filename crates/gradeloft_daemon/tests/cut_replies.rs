//! Replies of peers that end early.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use gradeloft_daemon::{
    clock::Clock,
    transport::client::{CallError, Incoming, Lane, Pool},
};
use gradeloft_wire::{
    codec,
    frame::{Absence, Call, Reply},
    id::Digest,
};
use h2::Reason;
use rstest::rstest;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Timeout of a test. Passing tests take much less time.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// End of a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The kernel of a killed process closes the connection.
    Close,
    /// The stream ends in order.
    Regular,
    GoAway(Reason),
    ResetConnection,
    ResetStream(Reason),
}

/// A peer that sends bytes in reply to one call, and ends the reply after `received` was notified.
async fn start_peer(bytes: Bytes, end: End, received: &Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Rc::clone(received);
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        // The client may be gone before the end of the connection.
        let _ = reply(stream, bytes, end, &received).await;
    });
    address
}

async fn reply(stream: TcpStream, bytes: Bytes, end: End, received: &Notify) -> io::Result<()> {
    if end == End::ResetConnection {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    let handshake = h2::server::handshake(stream).await;
    let mut connection = handshake.map_err(io::Error::other)?;
    let call = connection.accept().await.expect("a call");
    let (_request, mut respond) = call.map_err(io::Error::other)?;
    let sending = respond.send_response(http::Response::new(()), false);
    let mut sending = sending.map_err(io::Error::other)?;
    let sent = sending.send_data(bytes, end == End::Regular);
    sent.map_err(io::Error::other)?;
    tokio::select! {
        _ = connection.accept() => {}
        () = received.notified() => {}
    }
    match end {
        End::Close | End::ResetConnection => return Ok(()),
        End::Regular => {}
        End::GoAway(reason) => connection.abrupt_shutdown(reason),
        End::ResetStream(reason) => sending.send_reset(reason),
    }
    while let Some(Ok(_)) = connection.accept().await {}
    Ok(())
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the reply ends");
    });
}

/// Opens a reply of one whole frame and `rest`, and reads the frame.
async fn open(rest: &[u8], end: End) -> Incoming {
    let first = Reply::Absent(Absence::Pending);
    let mut bytes = BytesMut::from(&codec::encode_frame(&first)[..]);
    bytes.extend_from_slice(rest);
    let received = Rc::new(Notify::new());
    let address = start_peer(bytes.freeze(), end, &received).await;
    let pool = Pool::new(Clock::start(), 1 << 20, TEST_TIMEOUT, None);
    let call = Call::Chunk {
        digest: Digest::of(b"any"),
    };
    let opened = pool.open(&address.to_string(), Lane::Live, &call).await;
    let mut incoming = opened.expect("the call is sent");
    assert_eq!(incoming.next().await, Ok(Some(first)));
    received.notify_one();
    incoming
}

/// Returns the first bytes of a frame.
fn part_of_frame(length: usize) -> Vec<u8> {
    codec::encode_frame(&Reply::Chunk(vec![7; 64]))[..length].to_vec()
}

/// Guards against a list, a generation or a response of a service that ends as whole.
#[rstest]
fn a_reply_whose_peer_does_not_end_it_is_lost(
    #[values(
        End::Close,
        End::ResetConnection,
        End::GoAway(Reason::NO_ERROR),
        End::GoAway(Reason::INTERNAL_ERROR),
        End::ResetStream(Reason::NO_ERROR),
        End::ResetStream(Reason::CANCEL),
        End::ResetStream(Reason::INTERNAL_ERROR)
    )]
    end: End,
    #[values(0, 2, 20)] length: usize,
) {
    run(async {
        let mut incoming = open(&part_of_frame(length), end).await;
        assert_eq!(incoming.next().await, Err(CallError::Lost));
    });
}

/// Guards against a frame that is dropped because the stream ends inside it.
#[rstest]
#[case::inside_the_length(2)]
#[case::after_the_length(4)]
#[case::inside_the_body(20)]
fn a_reply_that_ends_inside_a_frame_is_lost(#[case] length: usize) {
    run(async {
        let mut incoming = open(&part_of_frame(length), End::Regular).await;
        assert_eq!(incoming.next().await, Err(CallError::Lost));
    });
}

#[test]
fn a_reply_that_ends_after_a_frame_is_whole() {
    run(async {
        let mut incoming = open(&[], End::Regular).await;
        assert_eq!(incoming.next().await, Ok(None));
    });
}
