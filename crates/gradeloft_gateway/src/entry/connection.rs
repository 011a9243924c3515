//! Connections of callers.

use std::{rc::Rc, time::Duration};

use gradeloft_http::{
    intake::{Place, Reserve},
    listener::Buffers,
};
use gradeloft_policy::{
    clock::Time,
    connection::intake::{Activity, Content, Shortage},
    process::document::CallerLimits,
};
use tokio::net::TcpStream;

use super::{Entry, forward, refusal::Refusal};
use crate::h1::{
    body::{Decoder, Framing, Piece},
    head::{self, Request, ends_with_head},
    segments::{Body, Buffer, FIRST_SEGMENT_BYTES},
    wire::{READ_CHUNK_BYTES, Wire},
};

/// Buffers of the kernel for each connection of a caller. At a round trip of 6 ms, a body of 4 MB arrives in
/// 0.4 s, half of the shortest timeout of a route.
pub const BUFFERS: Buffers = Buffers {
    receive: 64 << 10,
    send: Some(8 << 10),
};
/// Memory that a connection may take without shared memory, in bytes: the kernel's buffers of the caller's
/// connection and of two replicas', the state of a request, its head and an ordinary body.
pub const CONNECTION_BYTES: usize = 160 << 10;

/// Limits that apply until a configuration is known.
const UNCONFIGURED: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_ms: 5_000,
    idle_ms: 10_000,
};
/// Time limit for receiving a request body: the longest time that callers wait for a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Part of a body that is read before a refusal by its head is sent, so that the connection can be reused, in
/// bytes.
const DISCARDED_BYTES: usize = 64 << 10;
/// Bytes around the chunks of a body that are allowed beside [`OVERHEAD_PER_BYTE`].
const OVERHEAD_BYTES: usize = 64 << 10;
/// Bytes around the chunks of a body that are allowed for each of its bytes; chunks of one byte have five.
const OVERHEAD_PER_BYTE: usize = 8;
/// Number of pieces of a body that are decoded before other tasks run. A piece costs the same time whatever its
/// length, so a connection with tiny chunks would otherwise take far more of it than one with a whole body.
const TURN_PIECES: usize = 64;
/// Response to a caller that waits with its body until it is accepted.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Bounds on what is read before a connection closes.
const DRAIN: Drain = Drain {
    bytes: 64 << 10,
    time: Duration::from_secs(1),
};
/// Time for which a connection that ends in favour of others stays open to refuse a request.
const EVICTION_TIME: Duration = Duration::from_millis(100);
/// Time for which the rest of a refused body is read, so that its caller reads the refusal.
const BODY_DRAIN_TIME: Duration = Duration::from_secs(2);
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

/// Bounds on what is read from a caller before its connection closes. A close with unread bytes is a reset,
/// on which the kernel drops the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Drain {
    bytes: usize,
    time: Duration,
}

impl Drain {
    /// Returns the bounds after a refused body.
    fn of_body(limits: CallerLimits) -> Drain {
        Drain {
            bytes: limits.body_bytes + DRAIN.bytes,
            time: BODY_DRAIN_TIME,
        }
    }
}

/// A completely received request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Body,
    /// Whether the head announced a body, possibly an empty one.
    pub has_body: bool,
    /// Time at which the head was complete.
    pub at: Time,
    /// Place of the connection.
    pub place: Rc<Place>,
    /// Memory of the head and the body.
    _memory: Reserve,
}

/// Serves a connection until it closes.
pub async fn serve(entry: Rc<Entry>, stream: TcpStream, place: Rc<Place>) {
    let mut wire = Wire::accepted(stream);
    let drain = tokio::select! {
        biased;
        () = place.wait_for(Shortage::Connections) => {
            let ending = refuse_incomplete(&entry, &mut wire, &place);
            // A caller that takes longer does not read the refusal.
            let _ = entry.node.timers.timeout(EVICTION_TIME, ending).await;
            return;
        }
        drain = serve_requests(&entry, &mut wire, &place) => drain,
    };
    place.set_activity(Activity::Closing);
    // A caller that has not closed its side in time has read the response or has disconnected.
    entry
        .closing_connections
        .set(entry.closing_connections.get() + 1);
    let closing = wire.close_gracefully(drain.bytes);
    tokio::select! {
        _ = entry.node.timers.timeout(drain.time, closing) => {}
        () = place.wait_for(Shortage::Connections) => {}
    }
    entry
        .closing_connections
        .set(entry.closing_connections.get() - 1);
    if wire.has_unread_data() {
        entry.node.metrics.closed_unread.inc();
    }
}

/// Refuses a request that was not read, or not completely, before its connection ends in favour of others.
async fn refuse_incomplete(entry: &Entry, wire: &mut Wire, place: &Place) {
    let is_begun = place.activity() == Activity::Receiving || !wire.buffer.is_empty();
    // Data to read may be the end of the connection.
    if is_begun || (wire.has_unread_data() && matches!(wire.fill().await, Ok(1..))) {
        refuse(entry, wire, Refusal::Overloaded, None, true).await;
        wire.close_gracefully(DRAIN.bytes).await;
    }
}

/// Serves the requests of a connection, one after the other. Returns what is read before it closes.
async fn serve_requests(entry: &Rc<Entry>, wire: &mut Wire, place: &Rc<Place>) -> Drain {
    loop {
        place.set_activity(Activity::Idle);
        let mut memory = Reserve::new(place, READ_CHUNK_BYTES + FIRST_SEGMENT_BYTES);
        let head = match read_head(entry, wire, &mut memory).await {
            Ok(Some(head)) => head,
            Ok(None) => return DRAIN,
            Err(refusal) => {
                let refusal = refusal.adjusted_for(entry.freshness());
                refuse(entry, wire, refusal, None, true).await;
                return DRAIN;
            }
        };
        place.set_activity(Activity::Receiving);
        entry.node.detect_stall();
        let at = entry.node.clock.now();
        let keep_alive = head.keeps_connection();
        let limits = caller_limits(entry);
        if let Err(refusal) = forward::check_head(entry, &head) {
            let reading = discard_body(wire, &head, place);
            let read = entry.node.timers.timeout(BODY_TIMEOUT, reading).await;
            let keep = keep_alive && matches!(read, Ok(true));
            let reuse = forward::deny(entry, wire, &head, refusal, keep).await;
            if reuse == ConnectionReuse::Close || !keep {
                return Drain::of_body(limits);
            }
            continue;
        }
        let reading = read_body(wire, &head, limits.body_bytes, &mut memory);
        let body = entry.node.timers.timeout(BODY_TIMEOUT, reading).await;
        let (body, has_body) = match body.unwrap_or(Err(BodyFault::Refused(Refusal::BodyTimedOut)))
        {
            Ok(body) => body,
            Err(BodyFault::Refused(refusal)) => {
                // The rest of the body is read without being kept.
                drop(memory);
                let refusal = refusal.adjusted_for(entry.freshness());
                forward::deny(entry, wire, &head, refusal, false).await;
                return Drain::of_body(limits);
            }
            Err(BodyFault::CallerLeft) => return DRAIN,
        };
        place.set_activity(Activity::Serving);
        let received = ReceivedRequest {
            head,
            body,
            has_body,
            at,
            place: Rc::clone(place),
            _memory: memory,
        };
        let reuse = forward::forward(entry, wire, received, keep_alive).await;
        if reuse == ConnectionReuse::Close || !keep_alive || place.must_yield() {
            return DRAIN;
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
    let has_body = !head.is_some_and(|it| ends_with_head(&it.method));
    let bytes = refusal.encode(id.map(|it| (name, it)), close, has_body);
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
async fn read_head(
    entry: &Entry,
    wire: &mut Wire,
    memory: &mut Reserve,
) -> Result<Option<Request>, Refusal> {
    let place = Rc::clone(memory.place());
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
            if begun.is_none() {
                begun = Some(entry.node.clock.now());
                place.set_activity(Activity::Receiving);
            }
            if !memory.cover(wire.buffer.capacity(), Content::Other).await {
                return Err(Refusal::Overloaded);
            }
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
            () = place.wait_for(Shortage::Memory) => return Err(Refusal::Overloaded),
        }
    }
}

/// Reason why a body can't be read.
enum BodyFault {
    /// The caller disconnected in the middle of the body.
    CallerLeft,
    Refused(Refusal),
}

impl From<Refusal> for BodyFault {
    fn from(refusal: Refusal) -> BodyFault {
        BodyFault::Refused(refusal)
    }
}

/// Reads a request body. Returns it, and whether the head announced any.
async fn read_body(
    wire: &mut Wire,
    head: &Request,
    max_bytes: usize,
    memory: &mut Reserve,
) -> Result<(Body, bool), BodyFault> {
    let framing = Framing::of_request(head).map_err(|_| Refusal::Malformed)?;
    let announced = match framing {
        Framing::Length(length) if (max_bytes as u64) < length => {
            return Err(Refusal::BodyTooLarge.into());
        }
        Framing::Length(length) => Some(length as usize),
        Framing::Chunked | Framing::Close => None,
    };
    let has_body = head.fields.get("content-length").is_some() || framing == Framing::Chunked;
    let awaits_approval = has_body && head.fields.has_token("expect", "100-continue");
    if awaits_approval && wire.buffer.is_empty() {
        let sent = wire.send(CONTINUE).await;
        sent.map_err(|_| BodyFault::CallerLeft)?;
    }
    let mut decoder = Decoder::new(framing);
    let mut body = Buffer::new(announced);
    let mut pieces = 0;
    loop {
        match decoder
            .take(&mut wire.buffer)
            .map_err(|_| Refusal::Malformed)?
        {
            Piece::Data(data) => {
                if max_bytes < body.len() + data.len() {
                    return Err(Refusal::BodyTooLarge.into());
                }
                append(&mut body, &data, memory).await?;
                end_turn(&mut pieces, memory.place()).await?;
            }
            Piece::End => return Ok((body.finish(), has_body)),
            Piece::More => receive(wire, memory.place()).await?,
        }
        if OVERHEAD_BYTES + OVERHEAD_PER_BYTE * body.len() < decoder.overhead() {
            return Err(Refusal::Malformed.into());
        }
    }
}

/// Appends to a body as far as there is memory.
async fn append(body: &mut Buffer, mut data: &[u8], memory: &mut Reserve) -> Result<(), Refusal> {
    loop {
        data = body.fill(data);
        if data.is_empty() {
            return Ok(());
        }
        let needed = READ_CHUNK_BYTES + body.allocated() + body.next_segment();
        if !memory.cover(needed, Content::Body).await {
            return Err(Refusal::Overloaded);
        }
        body.add_segment();
    }
}

/// Lets other tasks run after every [`TURN_PIECES`] pieces, unless the request ends in favour of others.
async fn end_turn(pieces: &mut usize, place: &Place) -> Result<(), Refusal> {
    *pieces += 1;
    if !pieces.is_multiple_of(TURN_PIECES) {
        return Ok(());
    }
    tokio::select! {
        biased;
        () = place.wait_for(Shortage::Memory) => Err(Refusal::Overloaded),
        () = tokio::task::yield_now() => Ok(()),
    }
}

/// Waits for more bytes, unless the request ends in favour of others.
async fn receive(wire: &mut Wire, place: &Place) -> Result<(), BodyFault> {
    tokio::select! {
        read = wire.fill() => match read {
            Ok(0) | Err(_) => Err(BodyFault::CallerLeft),
            Ok(_) => Ok(()),
        },
        () = place.wait_for(Shortage::Memory) => Err(Refusal::Overloaded.into()),
    }
}

/// Reads a small body and discards it; returns whether it is complete.
async fn discard_body(wire: &mut Wire, head: &Request, place: &Place) -> bool {
    let framing = match Framing::of_request(head) {
        Ok(Framing::Length(length)) if DISCARDED_BYTES as u64 <= length => return false,
        Ok(framing) => framing,
        Err(_) => return false,
    };
    let mut decoder = Decoder::new(framing);
    let mut discarded = 0;
    let mut pieces = 0;
    while discarded + decoder.overhead() <= DISCARDED_BYTES {
        match decoder.take(&mut wire.buffer) {
            Ok(Piece::Data(data)) => {
                discarded += data.len();
                if end_turn(&mut pieces, place).await.is_err() {
                    return false;
                }
            }
            Ok(Piece::End) => return true,
            Ok(Piece::More) if receive(wire, place).await.is_err() => return false,
            Ok(Piece::More) => {}
            Err(_) => return false,
        }
    }
    false
}
