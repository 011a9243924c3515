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

/// Limits that apply until a configuration is known.
const UNCONFIGURED: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_ms: 5_000,
    idle_ms: 10_000,
};
/// Time limit for receiving a request body: the longest time that callers wait for a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for a caller to close its side of a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for sending a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Decides whether a connection may carry another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// The connection closes.
    Close,
    /// The connection stays open.
    Keep,
}

/// A completely received request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// Whether the head announced a body, possibly an empty one.
    pub has_body: bool,
    /// Time at which the head was complete.
    pub at: Time,
}

/// Serves a connection until it closes.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    let mut wire = Wire::accepted(stream);
    serve_requests(&entry, &mut wire).await;
    // A caller that has not closed its side within `CLOSE_TIMEOUT` has read the response or has
    // disconnected.
    entry
        .closing_connections
        .set(entry.closing_connections.get() + 1);
    let _ = entry
        .node
        .timers
        .timeout(CLOSE_TIMEOUT, wire.close_gracefully())
        .await;
    entry
        .closing_connections
        .set(entry.closing_connections.get() - 1);
    if wire.has_unread_data() {
        entry.node.metrics.closed_unread.inc();
    }
}

/// Serves the requests of a connection, one after the other.
async fn serve_requests(entry: &Rc<Entry>, wire: &mut Wire) {
    loop {
        let head = match read_head(entry, wire).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(refusal) => {
                let refusal = refusal.adjusted_for(entry.freshness());
                refuse(entry, wire, refusal, None, true).await;
                return;
            }
        };
        entry.node.detect_stall();
        let at = entry.node.clock.now();
        let keep_alive = head.keeps_connection();
        let limits = caller_limits(entry);
        let reading = read_body(wire, &head, limits.body_bytes);
        let body = entry.node.timers.timeout(BODY_TIMEOUT, reading).await;
        let (body, has_body) = match body {
            Ok(Ok(body)) => body,
            Ok(Err(Some(refusal))) => {
                let refusal = refusal.adjusted_for(entry.freshness());
                refuse(entry, wire, refusal, Some(&head), true).await;
                return;
            }
            // The caller disconnected or stalled in the middle of the body.
            Ok(Err(None)) | Err(_) => return,
        };
        let received = ReceivedRequest {
            head,
            body,
            has_body,
            at,
        };
        let reuse = forward::forward(entry, wire, received, keep_alive).await;
        if reuse == ConnectionReuse::Close || !keep_alive {
            return;
        }
    }
}

/// Sends a refusal; returns whether it was sent completely.
pub async fn refuse(
    entry: &Entry,
    wire: &mut Wire,
    refusal: Refusal,
    head: Option<&Request>,
    close: bool,
) -> bool {
    let name = entry.node.platform.headers.attempt_id;
    let id = head.and_then(|it| it.fields.get(name));
    let bytes = refusal.encode(id.map(|it| (name, it)), close);
    let sent = entry
        .node
        .timers
        .timeout(REFUSAL_TIMEOUT, wire.send(&bytes))
        .await;
    matches!(sent, Ok(Ok(())))
}

fn caller_limits(entry: &Entry) -> CallerLimits {
    let config = entry.config.borrow();
    config
        .as_ref()
        .map_or(UNCONFIGURED, |it| it.document.limits)
}

/// Returns the time until which a connection may stay idle.
fn idle_deadline(entry: &Entry, since: Time, limits: CallerLimits) -> Time {
    let until = since.after_ms(limits.idle_ms);
    let drain = entry.drain.get();
    drain.map_or(until, |it| until.min(it.idle_until(since)))
}

/// Reads the next request head; returns `None` if the connection closes instead.
async fn read_head(entry: &Entry, wire: &mut Wire) -> Result<Option<Request>, Refusal> {
    let idle_since = entry.node.clock.now();
    let mut begun = None;
    loop {
        let limits = caller_limits(entry);
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
            None => idle_deadline(entry, idle_since, limits),
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
            () = entry.drain_started.notified(), if begun.is_none() => {}
        }
    }
}

/// Reads a request body; returns `Err(None)` if the caller disconnects in the middle of it.
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
