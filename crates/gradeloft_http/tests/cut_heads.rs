//! Requests that end at a byte of their head or of their body.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    rc::Rc,
    time::Duration,
};

use gradeloft_http::{
    message::{self, Request},
    server::{Handler, Limits, Server},
};
use rstest::rstest;
use socket2::SockRef;

const GET: &str = "GET /x?y=1 HTTP/1.1\r\nHost: h\r\nx: y\r\n\r\n";
const LENGTH: &str = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole";
const CHUNKS: &str =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const OLD_VERSION: &str = "POST /x HTTP/1.0\r\nContent-Length: 5\r\n\r\nwhole";
const EXPECTING: &str =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nwhole";

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Starts a server, and returns it with the number of whole requests that its handler got.
async fn start() -> (Server, Rc<Cell<usize>>) {
    let handled = Rc::new(Cell::new(0));
    let counter = Rc::clone(&handled);
    let handler: Handler = Rc::new(move |request: Request| {
        counter.set(counter.get() + usize::from(request.body.is_ok()));
        Box::pin(async move {
            match request.body {
                Ok(body) => message::bytes_of(200, "text/plain", body),
                Err(_) => message::text(400, "cut"),
            }
        })
    });
    let server = Server::start("127.0.0.1:0", Limits::default(), handler).await;
    (server.expect("the server starts"), handled)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Sends bytes and ends the connection; returns once the server has ended it, too.
async fn send_cut(server: &Server, bytes: &str, end: End) {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    let intake = server.intake();
    wait_until(|| 0 < intake.connections()).await;
    match end {
        End::Close => stream.shutdown(Shutdown::Write).unwrap(),
        End::Reset => SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
    }
    if end == End::Reset {
        drop(stream);
        wait_until(|| intake.connections() == 0).await;
        return;
    }
    wait_until(|| intake.connections() == 0).await;
    let mut received = Vec::new();
    // A reset ends the response like a close.
    let _ = stream.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    assert!(!received.contains(" 200 "), "{bytes:?} {received}");
}

/// Guards against a handler that runs a part of a request.
#[rstest]
fn a_request_that_is_cut_at_any_byte_does_not_run(
    #[values(GET, LENGTH, CHUNKS, OLD_VERSION, EXPECTING)] bytes: &str,
    #[values(End::Close, End::Reset)] end: End,
) {
    actix_rt::System::new().block_on(async {
        let (server, handled) = start().await;
        for at in 0..bytes.len() {
            send_cut(&server, &bytes[..at], end).await;
            assert_eq!(handled.get(), 0, "{:?}", &bytes[..at]);
        }
    });
}

/// Guards against cut requests that don't run for another reason than the cut.
#[rstest]
fn a_request_that_is_not_cut_runs(
    #[values(GET, LENGTH, CHUNKS, OLD_VERSION, EXPECTING)] bytes: &str,
) {
    actix_rt::System::new().block_on(async {
        let (server, handled) = start().await;
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        wait_until(|| handled.get() == 1).await;
    });
}
