//! Connections of HTTP clients.
//!
//! The HTTP library ends a body with its connection, also before the announced length or the last
//! chunk, and a killed process closes its connections like a server that has finished. On these
//! connections the close is an error, so a body ends only where its framing says.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{self, ConnectError, ConnectInfo, Connection};
use awc::{Connector, http::Uri};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Creates the connector of an HTTP client.
pub fn connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Stream>, Error = ConnectError>
    + Clone
    + 'static,
> {
    let connecting = connect::Connector::default().service();
    let connecting = connecting.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, Stream(stream))
    });
    Connector::new().connector(connecting)
}

/// A TCP stream that fails when the peer closes it.
#[derive(Debug)]
pub struct Stream(TcpStream);

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        let closed = 0 < before && buf.remaining() == before;
        Poll::Ready(if closed {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        })
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
