//! Requests of callers to the public port that end at a byte of their head or of their body.

mod support;

use std::time::Duration;

use gradeloft_standin::fleet::{Fleet, SERVICE, TEAM, TOKEN};
use rstest::rstest;
use socket2::SockRef;
use support::{fleet, shape, version};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CHARGE: &str = "POST /charges two seats";

/// Framing of a request's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Chunks,
    Length,
}

/// How a caller ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
}

fn charge(framing: Framing) -> String {
    let head = format!(
        "POST /v1/teams/{TEAM}/services/{SERVICE}/charges HTTP/1.1\r\nHost: h\r\n\
         Authorization: Bearer {TOKEN}\r\nConnection: close\r\n"
    );
    match framing {
        Framing::Chunks => {
            format!("{head}Transfer-Encoding: chunked\r\n\r\n9\r\ntwo seats\r\n0\r\n\r\n")
        }
        Framing::Length => format!("{head}Content-Length: 9\r\n\r\ntwo seats"),
    }
}

fn run_count(fleet: &Fleet) -> u64 {
    let services = fleet.services.iter();
    services
        .map(|it| it.endpoint.state.executions(CHARGE))
        .sum()
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    // A reset ends the response like a close.
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a service that runs a part of a request.
#[rstest]
#[actix_rt::test]
async fn a_request_that_is_cut_at_any_byte_does_not_run(
    #[values(Framing::Chunks, Framing::Length)] framing: Framing,
    #[values(End::Close, End::Reset)] end: End,
) {
    let fleet = fleet(shape(1, 1, 1)).await;
    fleet.deploy(&version("v1")).await;
    let bytes = charge(framing);
    for at in 0..bytes.len() {
        let mut caller = TcpStream::connect(fleet.entry(0)).await.unwrap();
        caller.write_all(&bytes.as_bytes()[..at]).await.unwrap();
        match end {
            End::Close => {
                caller.shutdown().await.unwrap();
                let response = read_all(&mut caller).await;
                assert!(!response.contains(" 200 "), "{at} {response}");
            }
            End::Reset => SockRef::from(&caller)
                .set_linger(Some(Duration::ZERO))
                .unwrap(),
        }
    }
    // The server accepts connections in turn, so it has read the cut ones by the response.
    let mut caller = TcpStream::connect(fleet.entry(0)).await.unwrap();
    caller.write_all(bytes.as_bytes()).await.unwrap();
    let response = read_all(&mut caller).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(run_count(&fleet), 1);
    let counts = fleet.services[0].endpoint.state.execution_counts.borrow();
    assert_eq!(counts.len(), 1, "{counts:?}");
}
