//! Requests that a client sends before it has the response to its last one.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
};

use gradeloft_http::{
    intake::Intake,
    message::{self, Request},
    server::{Handler, Limits, Server},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PIPELINED: &[u8] = b"GET /pipelined HTTP/1.1\r\nHost: h\r\n\r\n";
const ORDINARY: &[u8] = b"GET /ordinary HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// Returns all that the server sends until the connection ends in any way.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 1 << 10];
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8(received).expect("the responses are text")
}

/// Guards against a client that pipelines without end and keeps its place, and against requests that are
/// handled after the response that announced the close.
#[test]
fn a_client_that_pipelines_makes_room_for_a_new_one() {
    actix_rt::System::new().block_on(async {
        let handled = Rc::new(Cell::new(0));
        let intake = Rc::new(OnceCell::<Rc<Intake>>::new());
        let (counter, connections) = (Rc::clone(&handled), Rc::clone(&intake));
        let handler: Handler = Rc::new(move |request: Request| {
            let (counter, connections) = (Rc::clone(&counter), Rc::clone(&connections));
            Box::pin(async move {
                if request.path == "/pipelined" {
                    counter.set(counter.get() + 1);
                    while !connections.get().is_some_and(|it| it.is_awaited()) {
                        tokio::task::yield_now().await;
                    }
                }
                message::text(200, &request.path)
            })
        });
        let limits = Limits {
            connections: 1,
            ..Limits::default()
        };
        let server = Server::start("127.0.0.1:0", limits, handler).await;
        let server = server.expect("the server starts");
        intake.get_or_init(|| Rc::clone(server.intake()));
        let mut first = TcpStream::connect(server.address()).await.unwrap();
        first.write_all(&PIPELINED.repeat(5)).await.unwrap();
        let mut second = TcpStream::connect(server.address()).await.unwrap();
        second.write_all(ORDINARY).await.unwrap();
        let (first, second) = tokio::join!(read_to_end(first), read_to_end(second));
        assert!(second.ends_with("/ordinary"), "{second}");
        assert_eq!(first.matches("/pipelined").count(), 1, "{first}");
        assert!(first.contains("connection: close"), "{first}");
        assert_eq!(handled.get(), 1);
    });
}
