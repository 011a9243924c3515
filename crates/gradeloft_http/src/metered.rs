//! A connection that is read only as far as its requests are handled.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use actix_rt::net::TcpStream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

/// Bytes that a client may send ahead of the handled part of its body.
const BODY_CREDIT: usize = 32 << 10;
/// Bytes that a client may send behind a request before it was responded to.
const AHEAD_CREDIT: usize = 256;
/// Maximum number of bytes of one read outside of bodies. The parser takes all requests that one read
/// contains, each of which has kilobytes of state.
const HEAD_READ_BYTES: usize = 512;
/// Maximum number of bytes of one read of a body.
const BODY_READ_BYTES: usize = 4 << 10;
/// Bytes that are received for each byte of a body at most: a chunk of one byte takes six.
const RECEIVED_PER_BYTE: usize = 8;

/// Number of bytes that a client may send, and whether it reads.
pub(crate) struct Meter {
    head_credit: usize,
    /// Bytes that were received and not handled. It may be a little too high, never too low.
    outstanding: Cell<usize>,
    phase: Cell<Phase>,
    reader: RefCell<Option<Waker>>,
    /// Whether the parser has not seen the bytes of the last read.
    is_unparsed: Cell<bool>,
    /// Whether anything was received since the last request ended.
    has_received: Cell<bool>,
    /// Whether the client does not take what is sent to it.
    is_blocked: Cell<bool>,
    unblocked: Notify,
    /// Called when all that was sent has left the process.
    on_flush: RefCell<Option<Box<dyn Fn()>>>,
}

/// Part of a request that is being handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Body,
    Head,
    Response,
}

impl Meter {
    /// Creates a meter of a connection on which a head may have `head_credit` bytes.
    pub(crate) fn new(head_credit: usize) -> Rc<Meter> {
        Rc::new(Meter {
            head_credit,
            outstanding: Cell::default(),
            phase: Cell::new(Phase::Head),
            reader: RefCell::default(),
            is_unparsed: Cell::default(),
            has_received: Cell::default(),
            is_blocked: Cell::default(),
            unblocked: Notify::new(),
            on_flush: RefCell::default(),
        })
    }

    /// Returns the number of bytes that the client may send now.
    fn credit(&self) -> usize {
        let limit = match self.phase.get() {
            Phase::Body => BODY_CREDIT,
            Phase::Head => self.head_credit,
            Phase::Response => AHEAD_CREDIT,
        };
        limit.saturating_sub(self.outstanding.get())
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    /// Notes that a head of about `bytes` bytes was received.
    pub(crate) fn begin_request(&self, bytes: usize, has_body: bool) {
        self.outstanding
            .set(self.outstanding.get().saturating_sub(bytes));
        self.set_phase(match has_body {
            true => Phase::Body,
            false => Phase::Response,
        });
    }

    /// Notes that a part of a body was handled.
    pub(crate) fn handle_body(&self, bytes: usize, is_chunked: bool) {
        let received = bytes * if is_chunked { RECEIVED_PER_BYTE } else { 1 };
        self.outstanding
            .set(self.outstanding.get().saturating_sub(received));
        self.set_phase(Phase::Body);
    }

    /// Notes that the body of a request was handled.
    pub(crate) fn end_body(&self) {
        self.set_phase(Phase::Response);
    }

    /// Notes that the current request has ended.
    pub(crate) fn end_request(&self) {
        self.has_received.set(false);
        self.set_phase(Phase::Head);
    }

    /// Waits until the client has taken what was sent to it.
    pub(crate) async fn wait_unblocked(&self) {
        // The responses so far are sent while this one is not ready.
        tokio::task::yield_now().await;
        while self.is_blocked.get() {
            let unblocked = self.unblocked.notified();
            if !self.is_blocked.get() {
                return;
            }
            unblocked.await;
        }
    }

    /// Sets the callback for the end of sending.
    pub(crate) fn on_flush(&self, call: impl Fn() + 'static) {
        *self.on_flush.borrow_mut() = Some(Box::new(call));
    }

    fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.replace(is_blocked) && !is_blocked {
            self.unblocked.notify_waiters();
        }
    }
}

/// A stream with its meter.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<Meter>,
    on_receive: Box<dyn Fn()>,
}

impl MeteredStream {
    /// Wraps a stream; `on_receive` is called for the first bytes of each request.
    pub(crate) fn new(
        stream: TcpStream,
        meter: Rc<Meter>,
        on_receive: impl Fn() + 'static,
    ) -> MeteredStream {
        MeteredStream {
            stream,
            meter,
            on_receive: Box::new(on_receive),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let meter = Rc::clone(&self.meter);
        let credit = meter.credit();
        if credit == 0 && meter.phase.get() == Phase::Head {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if credit == 0 {
            *meter.reader.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let in_body = meter.phase.get() == Phase::Body;
        if meter.is_unparsed.replace(false) && !in_body {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; BODY_READ_BYTES];
        let most = if in_body {
            BODY_READ_BYTES
        } else {
            HEAD_READ_BYTES
        };
        let size = credit.min(most).min(buf.remaining());
        let mut part = ReadBuf::new(&mut bytes[..size]);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.put_slice(part.filled());
        meter.outstanding.set(meter.outstanding.get() + read);
        meter.is_unparsed.set(0 < read);
        if 0 < read && !meter.has_received.replace(true) {
            (self.on_receive)();
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter.set_blocked(polled.is_pending());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.meter.set_blocked(false);
        if let Some(call) = &*self.meter.on_flush.borrow() {
            call();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
