//! Connections of callers.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use gradeloft_policy::{clock::Time, process::document::CallerLimits};
use tokio::net::TcpStream;

use super::{Entry, forward, refusal::Refusal};
use crate::h1::{
    body::{Decoder, Framing, Piece},
    head::{self, Request},
    wire::Wire,
};

/// Bounds while no configuration is known.
const UNCONFIGURED: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_ms: 5_000,
    idle_ms: 10_000,
};
/// Longest time for a body to arrive: the longest that callers wait for answers today.
const BODY: Duration = Duration::from_secs(6);
/// Longest time for a caller to end its side of a connection that ends.
const CLOSING: Duration = Duration::from_secs(1);
/// Longest time for an answer of our own to go out.
const ANSWER: Duration = Duration::from_secs(2);

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum After {
    /// It ends.
    Close,
    /// It is kept.
    Keep,
}

/// A request that has been read whole.
#[derive(Debug)]
pub struct Received {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// Whether the caller delimited a body at all.
    pub has_body: bool,
    /// When the head was whole.
    pub at: Time,
}

/// Serves a connection until it ends.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    let mut wire = Wire::accepted(stream);
    requests(&entry, &mut wire).await;
    // Who is slower than that has what it needs, or has gone.
    entry
        .closing_connections
        .set(entry.closing_connections.get() + 1);
    let _ = entry.node.timers.timeout(CLOSING, wire.finish()).await;
    entry
        .closing_connections
        .set(entry.closing_connections.get() - 1);
    if wire.unread() {
        entry.node.metrics.closed_unread.inc();
    }
}

/// Answers the requests of a connection, one after the other.
async fn requests(entry: &Rc<Entry>, wire: &mut Wire) {
    loop {
        let head = match read_head(entry, wire).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(refusal) => {
                let refusal = refusal.by(entry.freshness());
                refuse(entry, wire, refusal, None, true).await;
                return;
            }
        };
        entry.node.detect_stall();
        let at = entry.node.clock.now();
        let keeps = head.keeps();
        let limits = limits(entry);
        let reading = read_body(wire, &head, limits.body_bytes);
        let body = entry.node.timers.timeout(BODY, reading).await;
        let (body, has_body) = match body {
            Ok(Ok(body)) => body,
            Ok(Err(Some(refusal))) => {
                let refusal = refusal.by(entry.freshness());
                refuse(entry, wire, refusal, Some(&head), true).await;
                return;
            }
            // The caller left, or stopped in the middle of its body.
            Ok(Err(None)) | Err(_) => return,
        };
        let received = Received {
            head,
            body,
            has_body,
            at,
        };
        let after = forward::forward(entry, wire, received, keeps).await;
        if after == After::Close || !keeps {
            return;
        }
    }
}

/// Sends an answer of our own; gives whether it went out.
pub async fn refuse(
    entry: &Entry,
    wire: &mut Wire,
    refusal: Refusal,
    head: Option<&Request>,
    close: bool,
) -> bool {
    let name = entry.node.platform.headers.request;
    let id = head.and_then(|it| it.fields.get(name));
    let bytes = refusal.encode(id.map(|it| (name, it)), close);
    let sent = entry.node.timers.timeout(ANSWER, wire.send(&bytes)).await;
    matches!(sent, Ok(Ok(())))
}

fn limits(entry: &Entry) -> CallerLimits {
    let config = entry.config.borrow();
    config
        .as_ref()
        .map_or(UNCONFIGURED, |it| it.document.limits)
}

/// Until when a connection may rest without a request.
fn rests_until(entry: &Entry, since: Time, limits: CallerLimits) -> Time {
    let until = since.after_ms(limits.idle_ms);
    let leave = entry.leave.get();
    leave.map_or(until, |it| until.min(it.idle_until(since)))
}

/// Reads the next head; `None` when the connection ends instead.
async fn read_head(entry: &Entry, wire: &mut Wire) -> Result<Option<Request>, Refusal> {
    let idle_since = entry.node.clock.now();
    let mut begun = None;
    loop {
        let limits = limits(entry);
        if !wire.buffer.is_empty() {
            let head = head::request(&mut wire.buffer).map_err(|_| Refusal::Malformed)?;
            if let Some(head) = head {
                return Ok(Some(head));
            }
            if limits.head_bytes < wire.buffer.len() {
                return Err(Refusal::HeadTooLarge);
            }
            begun = begun.or(Some(entry.node.clock.now()));
        }
        let until = match begun {
            Some(at) => at.after_ms(limits.head_ms),
            None => rests_until(entry, idle_since, limits),
        };
        if entry.node.clock.until(until).is_zero() {
            return Ok(None);
        }
        tokio::select! {
            read = wire.fill() => match read {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            },
            () = entry.node.timers.sleep_until(until) => {}
            () = entry.leave_started.notified(), if begun.is_none() => {}
        }
    }
}

/// Reads a body; `Err(None)` when the caller left in the middle of it.
async fn read_body(
    wire: &mut Wire,
    head: &Request,
    max_bytes: usize,
) -> Result<(Bytes, bool), Option<Refusal>> {
    let framing = Framing::of_request(head).map_err(|_| Some(Refusal::Malformed))?;
    let has_body = head.fields.get("content-length").is_some() || framing == Framing::Chunked;
    let mut decoder = Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        let piece = decoder.take(&mut wire.buffer);
        match piece.map_err(|_| Some(Refusal::Malformed))? {
            Piece::Data(data) => {
                if max_bytes < body.len() + data.len() {
                    return Err(Some(Refusal::BodyTooLarge));
                }
                body.extend_from_slice(&data);
            }
            Piece::End => return Ok((body.freeze(), has_body)),
            Piece::More => match wire.fill().await {
                Ok(0) | Err(_) => return Err(None),
                Ok(_) => {}
            },
        }
    }
}
