//! A connection as its runtime sees it, and as it is.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
};

use gradeloft_gateway::h1::wire::Wire;

/// A process that stood still knows that a time is over before its runtime tells what came meanwhile, so silence is
/// judged by the socket itself.
#[test]
fn what_the_runtime_has_not_told_yet_is_pending() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let wire = Wire::accepted(tokio::net::TcpStream::from_std(stream).unwrap());
        assert!(!wire.has_pending_data() && !wire.is_closed());
        other.write_all(b"x").unwrap();
        assert!(wire.has_pending_data() && wire.has_unread_data() && !wire.is_closed());
        drop(other);
        assert!(wire.has_pending_data());
    });
}
