//! Listening sockets whose connections have small kernel buffers.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Number of connections that wait to be accepted. Each may have bytes in its buffers already.
const BACKLOG: u32 = 256;

/// Sizes of the kernel's buffers of each connection, in bytes. The kernel keeps up to twice as much. Without
/// them it would keep megabytes for a client that does not read, or whose bytes the process does not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Buffers {
    /// Received bytes that were not read.
    pub receive: u32,
    /// Bytes that the client has not acknowledged; `None` for as many as the link needs.
    pub send: Option<u32>,
}

/// Listens on `address`; accepted connections have buffers of the given sizes.
pub fn listen(address: SocketAddr, buffers: Buffers) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(buffers.receive)?;
    if let Some(bytes) = buffers.send {
        socket.set_send_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Parses an address of the form `IP:PORT`.
pub fn parse(address: &str) -> io::Result<SocketAddr> {
    let invalid = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("{address}: not IP:PORT"),
        )
    };
    address.parse().map_err(|_| invalid())
}
