//! A connection and its read buffer.

use std::{cell::Cell, io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{TcpSocket, TcpStream},
};

/// Buffer space reserved for each read, in bytes.
pub const READ_CHUNK_BYTES: usize = 8 << 10;
/// Size of the read buffer from which a caller that pipelines requests is no longer read, in bytes.
const MAX_PIPELINED_BYTES: usize = 8 << 10;
/// Sizes of the kernel's buffers of a connection to a replica, in bytes. The kernel keeps up to twice as
/// much, for each caller that does not read its response.
const REPLICA_BUFFER_BYTES: u32 = 16 << 10;
/// Time after which a connection to a replica fails if its instance does not acknowledge sent data.
const REPLICA_ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a connection to a caller fails if the caller does not acknowledge sent data. It
/// is longer than any request lasts: a paused caller does not acknowledge data either, and reads
/// its response when it resumes. The request's deadline bounds that wait.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(15);

/// A connection and its read buffer.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub buffer: BytesMut,
    /// Whether the connection has failed. The kernel reports a failure once, and an orderly end after
    /// it.
    failed: Cell<bool>,
}

impl Wire {
    /// Wraps an accepted connection of a caller.
    pub fn accepted(stream: TcpStream) -> Wire {
        Wire::new(stream, CALLER_ACK_TIMEOUT)
    }

    fn new(stream: TcpStream, ack_timeout: Duration) -> Wire {
        // A connection works without these options, which reduce delays and detect failures
        // earlier.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(ack_timeout));
        Wire {
            stream,
            buffer: BytesMut::new(),
            failed: Cell::new(false),
        }
    }

    /// Connects to a replica.
    pub async fn connect(address: SocketAddr) -> io::Result<Wire> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(REPLICA_BUFFER_BYTES)?;
        socket.set_send_buffer_size(REPLICA_BUFFER_BYTES)?;
        let stream = socket.connect(address).await?;
        Ok(Wire::new(stream, REPLICA_ACK_TIMEOUT))
    }

    /// Reads available bytes into the buffer; returns 0 at the end of the connection. Fails on each
    /// call once the connection has failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.check()?;
        self.buffer.reserve(READ_CHUNK_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.note_failure(read)
    }

    fn check(&self) -> io::Result<()> {
        match self.failed.get() {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }

    /// Records whether the result of a call shows that the connection has failed.
    fn note_failure<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let passes = |kind| matches!(kind, io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted);
        if result.as_ref().is_err_and(|it| !passes(it.kind())) {
            self.failed.set(true);
        }
        result
    }

    /// Looks at the next byte without taking it; returns 0 at the end of the connection.
    fn peek(&self) -> io::Result<usize> {
        self.check()?;
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.note_failure(peeked)
    }

    /// Sends all of `bytes`.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check()?;
        let sent = self.stream.write_all(bytes).await;
        self.note_failure(sent)
    }

    /// Closes the connection gracefully, so that all sent bytes are delivered, and waits until the
    /// peer has closed it too. Up to `max_bytes` received bytes are drained: a close with unread bytes
    /// is a reset, on which the kernel drops undelivered data.
    pub async fn close_gracefully(&mut self, max_bytes: usize) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut drained = 0;
        while drained <= max_bytes {
            self.buffer.clear();
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(read) => drained += read,
            }
        }
    }

    /// Makes the connection end with a reset when it is dropped, which discards sent bytes that
    /// still wait for a congested link. An orderly close would deliver them first, although the
    /// caller has left.
    pub fn abort(&self) {
        // On failure the peer only notices later.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the peer has closed the connection; bytes that it sends in the meantime are
    /// buffered.
    pub async fn closed(&mut self) {
        loop {
            if MAX_PIPELINED_BYTES < self.buffer.len() {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether the peer is known to have closed the connection, without waiting. Peeks at
    /// the socket, as the runtime notices a close only when it next polls for events.
    pub fn is_closed(&self) -> bool {
        match self.peek() {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns whether the connection is known to have failed, without waiting. It may fail after an
    /// orderly close of the peer, too.
    pub fn has_failed(&self) -> bool {
        self.peek()
            .is_err_and(|it| it.kind() != io::ErrorKind::WouldBlock)
    }

    /// Returns whether the socket has data to read or the connection has ended, without waiting.
    /// Peeks at the socket, as the runtime notices data or an end only when it next polls for
    /// events.
    pub fn has_pending_data(&self) -> bool {
        let is_blocked = |it: &io::Error| it.kind() == io::ErrorKind::WouldBlock;
        !self.peek().is_err_and(|it| is_blocked(&it))
    }

    /// Returns whether received bytes have not been consumed, so that a close would reset the
    /// connection.
    pub fn has_unread_data(&self) -> bool {
        !self.buffer.is_empty() || matches!(self.peek(), Ok(1..))
    }

    /// Returns whether the connection is open and nothing was received since the last response,
    /// without waiting.
    pub fn is_idle(&self) -> bool {
        let is_blocked = |it: &io::Error| it.kind() == io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.peek().is_err_and(|it| is_blocked(&it))
    }

    /// Makes progress in either direction: sends part of `pending`, or reads available bytes. Other
    /// tasks run in between, even if the peer sends faster than this process reads.
    pub async fn exchange(&mut self, pending: &[u8]) -> io::Result<Transfer> {
        let interest = if pending.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        // The calls below do not count towards the budget of the task.
        tokio::task::coop::consume_budget().await;
        self.check()?;
        loop {
            if !pending.is_empty() {
                let sent = self.stream.try_write(pending);
                match self.note_failure(sent) {
                    Ok(sent) => return Ok(Transfer::Sent(sent)),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            let read = self.stream.try_read_buf(&mut self.buffer);
            match self.note_failure(read) {
                Ok(read) => return Ok(Transfer::Read(read)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            self.stream.ready(interest).await?;
        }
    }
}

/// Progress made by [`Wire::exchange`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transfer {
    /// Number of bytes read; 0 at the end of the connection.
    Read(usize),
    /// Number of bytes sent.
    Sent(usize),
}
