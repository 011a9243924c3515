//! State of a connection as read from the socket itself.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
};

use gradeloft_gateway::h1::wire::Wire;

/// After a pause of the process, timers fire before the runtime reports data that arrived during
/// the pause, so silence is judged by the socket itself.
#[test]
fn pending_data_is_detected_before_the_runtime_reports_it() {
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
