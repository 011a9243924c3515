//! State of a connection as read from the socket itself.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    time::Duration,
};

use gradeloft_gateway::h1::wire::Wire;
use rstest::rstest;

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

/// How a reset connection is looked at before it is read.
#[derive(Clone, Copy, Debug)]
enum Look {
    HasPendingData,
    HasUnreadData,
    IsClosed,
    Read,
}

/// Guards against taking a reset for an orderly close, which may be the end of a response.
#[rstest]
fn a_reset_reads_as_a_failure_however_often_it_is_looked_at(
    #[values(Look::HasPendingData, Look::HasUnreadData, Look::IsClosed, Look::Read)] look: Look,
) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut wire = Wire::accepted(tokio::net::TcpStream::from_std(stream).unwrap());
        let socket = socket2::Socket::from(other);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        drop(socket);
        match look {
            Look::HasPendingData => assert!(wire.has_pending_data()),
            Look::HasUnreadData => assert!(!wire.has_unread_data()),
            Look::IsClosed => assert!(wire.is_closed()),
            Look::Read => assert!(wire.fill().await.is_err()),
        }
        assert!(wire.fill().await.is_err());
        assert!(wire.exchange(b"").await.is_err());
    });
}
