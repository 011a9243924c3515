//! Heads of requests that hold a line which is no field.

use std::{cell::Cell, rc::Rc};

use gradeloft_http::{
    message::{self, Request},
    server::{Handler, Limits, Server},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Guards against a request that is handled with a body that is not its sender's.
#[rstest]
#[case::blank_in_a_name("na me: v\r\n")]
#[case::blank_after_a_name("name : v\r\n")]
#[case::blank_before_a_name(" name: v\r\n")]
#[case::control_byte_in_a_name("na\u{1}me: v\r\n")]
#[case::nul_in_a_name("na\0me: v\r\n")]
#[case::delete_in_a_name("na\u{7f}me: v\r\n")]
#[case::letter_beyond_ascii_in_a_name("na\u{e4}me: v\r\n")]
#[case::carriage_return_before_a_name("\rname: v\r\n")]
#[case::line_feed_before_a_name("\nname: v\r\n")]
#[case::line_feed_in_a_name("na\nme: v\r\n")]
#[case::without_a_colon("name\r\n")]
fn a_request_with_a_malformed_head_is_not_handled(
    #[case] line: &str,
    #[values(true, false)] length_first: bool,
) {
    actix_rt::System::new().block_on(async {
        let handled = Rc::new(Cell::new(0));
        let counter = Rc::clone(&handled);
        let handler: Handler = Rc::new(move |_: Request| {
            counter.set(counter.get() + 1);
            Box::pin(async { message::text(200, "handled") })
        });
        let server = Server::start("127.0.0.1:0", Limits::default(), handler).await;
        let server = server.expect("the server starts");
        let length = "Content-Length: 4\r\n";
        let lines = match length_first {
            true => [length, line],
            false => [line, length],
        };
        let request = format!(
            "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{}\r\nform",
            lines.concat()
        );
        let mut client = TcpStream::connect(server.address()).await.unwrap();
        client.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        client.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
        assert_eq!(handled.get(), 0);
    });
}
