//! A connection and what has been read from it.

use std::{io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{TcpSocket, TcpStream},
};

/// Bytes read at once.
const READ_BYTES: usize = 8 << 10;
/// Bytes kept from a caller that sends ahead of its answers.
const MAX_AHEAD: usize = 64 << 10;
/// Time after which data that a replica's machine does not acknowledge ends a connection to it.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);
/// The same for callers: longer than any request lasts. A caller that stands still does not acknowledge either, and
/// takes its answer once it goes on; whether it still can is told by its request's time.
const UNACKNOWLEDGED_BY_CALLER: Duration = Duration::from_secs(15);

/// A connection and what has been read from it but not used.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    /// Received and not used.
    pub buffer: BytesMut,
}

impl Wire {
    /// Takes a caller's connection over.
    pub fn accepted(stream: TcpStream) -> Wire {
        Wire::new(stream, UNACKNOWLEDGED_BY_CALLER)
    }

    fn new(stream: TcpStream, unacknowledged: Duration) -> Wire {
        // Both only make failures show sooner; a connection without them still works.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged));
        Wire {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Connects.
    pub async fn connect(address: SocketAddr) -> io::Result<Wire> {
        let socket = TcpSocket::new_v4()?;
        let stream = socket.connect(address).await?;
        Ok(Wire::new(stream, UNACKNOWLEDGED))
    }

    /// Reads what comes next into the buffer; 0 at the connection's end.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Sends all of `bytes`.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the connection in order: what was sent arrives, also where the other side sends on. A close over unread bytes is
    /// a reset, with which the kernel drops what has not been delivered. Waits until the other side has ended as well.
    pub async fn finish(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        loop {
            self.buffer.clear();
            if !matches!(self.fill().await, Ok(1..)) {
                return;
            }
        }
    }

    /// Gives the connection up: it ends with a reset, and what was sent and still waits before a full link goes
    /// nowhere. A close in order would deliver it first, after whoever asked has left.
    pub fn abandon(&self) {
        // Without it the other side only learns later.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the other side has gone; what it sends meanwhile is kept.
    pub async fn gone(&mut self) {
        loop {
            if MAX_AHEAD < self.buffer.len() {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether the other side has gone, as far as can be told without waiting. The socket itself is
    /// asked, as the runtime learns of a close only when it next looks for events.
    pub fn has_gone(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether something waits to be read, or the connection has ended, as far as can be told without waiting. The socket
    /// itself is asked, as the runtime learns of it only when it next looks for events.
    pub fn pending(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.map_or_else(|error| error.kind() != io::ErrorKind::WouldBlock, |_| true)
    }

    /// Whether the other side sent something that nobody has read: a close would reset the connection.
    pub fn unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !self.buffer.is_empty() || matches!(peeked, Ok(1..))
    }

    /// Whether nothing came since the last answer and the connection is open, as far as can be told
    /// without waiting.
    pub fn quiet(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        read.is_err_and(|it| it.kind() == io::ErrorKind::WouldBlock)
    }

    /// Makes progress in either direction: sends some of `pending`, or reads some. Gives how many
    /// bytes were sent, or how many were read.
    pub async fn exchange(&mut self, pending: &[u8]) -> io::Result<Moved> {
        let interest = if pending.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        loop {
            if !pending.is_empty() {
                match self.stream.try_write(pending) {
                    Ok(sent) => return Ok(Moved::Sent(sent)),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(read) => return Ok(Moved::Read(read)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            self.stream.ready(interest).await?;
        }
    }
}

/// What [`Wire::exchange`] did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Moved {
    /// Read so many bytes; 0 at the connection's end.
    Read(usize),
    /// Sent so many bytes.
    Sent(usize),
}
