//! Relaying of a replica's response to the caller.

use std::{rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_http::intake::Reserve;
use gradeloft_policy::{
    clock::Time,
    connection::intake::Content,
    request::{attempt::Failure, late_data::LateData},
};

use super::{
    Entry,
    abort::AbortReason,
    attempt::{AttemptOutcome, FirstTokenForecast},
    forward::Job,
    in_flight::InFlightGuard,
    liveness::{Liveness, Target},
};
use crate::{
    events::Splitter,
    h1::{
        body::{Decoder, Framing, LAST_CHUNK, Piece, put_chunk},
        head::{Response, ends_with_head, put_header},
        wire::Wire,
    },
    pool::ReplicaConnection,
    traffic::Purpose,
};

/// Maximum size of a response that is buffered completely before it is sent, in bytes. A larger one
/// is sent as it arrives.
const MAX_BUFFERED: usize = 512 << 10;
/// Maximum size of a response body that takes no shared memory and is copied behind its head, in bytes.
const JOINED_BYTES: usize = 8 << 10;
/// Pause in a stream after which another replica is selected to continue it. Callers give up after
/// two seconds.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause in a buffered response after which the request is hedged.
const BUFFERED_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time allowed for sending a buffered response, even if the deadline of its request is
/// earlier.
const MIN_SEND_TIME: Duration = Duration::from_secs(2);

/// A complete response, kept in memory in case no other replica gives a better one.
pub struct BufferedResponse {
    head: Response,
    body: Bytes,
    _memory: Reserve,
}

impl BufferedResponse {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Sends the response to the caller; returns whether that succeeded.
    pub async fn send(&self, entry: &Entry, caller: &mut Wire, job: &Job, close: bool) -> bool {
        let min_deadline = entry.node.clock.now().after(MIN_SEND_TIME);
        let deadline = job.deadline.max(min_deadline);
        let mut head = self.encode_head(close);
        // A small body is sent together with the head, a large one is not copied.
        if self.body.len() <= JOINED_BYTES {
            head.put_slice(&self.body);
            return send(entry, caller, &head, deadline).await;
        }
        send(entry, caller, &head, deadline).await
            && send(entry, caller, &self.body, deadline).await
    }

    fn encode_head(&self, close: bool) -> BytesMut {
        let mut out = BytesMut::with_capacity(512 + self.body.len().min(JOINED_BYTES));
        put_head(&mut out, &self.head, close);
        if !matches!(self.head.status, 204 | 304) {
            let length = self.body.len().to_string();
            put_header(&mut out, b"Content-Length", length.as_bytes());
        }
        out.put_slice(b"\r\n");
        out
    }
}

/// Discards a response that is not relayed, and returns its connection to the pool if the response
/// is complete.
pub(super) fn discard(
    entry: &Entry,
    mut connection: ReplicaConnection,
    head: &Response,
    method: &[u8],
    fully_sent: bool,
) {
    let Ok(framing) = Framing::of_response(head, method) else {
        return;
    };
    let mut decoder = Decoder::new(framing);
    while let Ok(Piece::Data(_)) = decoder.take(&mut connection.wire.buffer) {}
    if fully_sent
        && head.keeps_connection()
        && decoder.is_done()
        && connection.wire.buffer.is_empty()
    {
        entry.pool.release(connection, head.keep_alive_ms());
    }
}

/// How reading a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseEnd {
    /// The connection closed in order; only a response without a length or chunks may end so, and only
    /// if its replica runs.
    Closed(Liveness),
    /// The length or the last chunk was received.
    Framed,
    /// What was received is not a body.
    Malformed,
    /// Reading failed, as the connection was reset.
    Reset,
    /// The replica has restarted.
    Restarted,
    /// The connection closed in order before the length or the last chunk.
    Truncated,
}

impl ResponseEnd {
    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            ResponseEnd::Closed(liveness) => liveness.name(),
            ResponseEnd::Framed => "framed",
            ResponseEnd::Malformed => "malformed",
            ResponseEnd::Reset => "reset",
            ResponseEnd::Restarted => "restarted",
            ResponseEnd::Truncated => "truncated",
        }
    }
}

/// A replica's response while it is relayed.
pub(super) struct Relay {
    head: Response,
    framing: Framing,
    decoder: Decoder,
    /// How reading ended, if it has.
    end: Option<ResponseEnd>,
    flow: Flow,
    late_data: LateData,
    /// Whether the connection can be reused once the response is complete.
    reusable: bool,
    mode: RelayMode,
    /// Memory of the buffered part.
    memory: Reserve,
}

/// Time for which data of a response is received before it counts as flowing. A request that crashes
/// its replica does so as its response begins.
const STEADY_AFTER: Duration = Duration::from_millis(300);

/// Data of a stream so far.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    began: Option<Time>,
    /// Whether data has been received for [`STEADY_AFTER`].
    is_steady: bool,
}

impl Flow {
    /// Records that data was received; returns whether the stream has just become steady.
    fn note_data(&mut self, now: Time) -> bool {
        let began = *self.began.get_or_insert(now);
        let is_steady = STEADY_AFTER <= now.since(began);
        is_steady && !std::mem::replace(&mut self.is_steady, is_steady)
    }
}

/// Mode in which a response is relayed.
enum RelayMode {
    /// The response is read completely first, so that another replica may give a better one.
    Buffered(BytesMut),
    /// A large response is sent as it arrives; no other replica can continue it.
    Unbuffered,
    /// A stream is sent event by event, so that another replica can continue after the last event.
    Stream(Splitter),
}

/// Source of a relayed response.
pub(super) struct Upstream<'a> {
    /// Connection to the replica.
    pub(super) connection: &'a mut ReplicaConnection,
    /// Guard that counts the request as in flight at the replica.
    pub(super) in_flight: &'a InFlightGuard,
    /// Forecast of the time at which the response begins; taken out once it has begun.
    pub(super) forecast: &'a mut Option<FirstTokenForecast>,
    /// Start of the replica that has the request.
    pub(super) target: &'a Target,
    /// Time at which the request was sent.
    pub(super) sent_at: Time,
}

/// Outcome of reading the next piece of a response.
enum ReadOutcome {
    /// The connection ended or was reset before the response was complete.
    Broken,
    Data(Bytes),
    End,
    CallerGone,
    /// No data arrived within the silence timeout.
    Silent,
    TimedOut,
}

impl ReadOutcome {
    /// Returns the attempt's outcome, unless data or the end of the response was read.
    fn attempt_outcome(&self) -> Option<AttemptOutcome> {
        match self {
            ReadOutcome::Data(_) | ReadOutcome::End => None,
            ReadOutcome::Broken => Some(AttemptOutcome::Failed(Failure::Broken, None)),
            ReadOutcome::CallerGone => Some(AttemptOutcome::Aborted(AbortReason::CallerLeft)),
            ReadOutcome::Silent => Some(AttemptOutcome::Silent),
            ReadOutcome::TimedOut => Some(AttemptOutcome::TimedOut),
        }
    }
}

impl Relay {
    /// Begins to relay a response after its head; `fully_sent` is whether the request was sent
    /// completely.
    pub(super) fn of(job: &Job, head: Response, fully_sent: bool) -> Result<Relay, AttemptOutcome> {
        let framing = Framing::of_response(&head, &job.received.head.method)
            .map_err(|_| AttemptOutcome::Failed(Failure::Broken, None))?;
        let has_body = !ends_with_head(&job.received.head.method);
        let is_stream = job.route.kind.streams() && head.status == 200 && has_body;
        if job.head_sent && !is_stream {
            // Only another stream can continue a stream.
            return Err(AttemptOutcome::Failed(Failure::Failed, None));
        }
        Ok(Relay {
            framing,
            decoder: Decoder::new(framing),
            end: None,
            flow: Flow::default(),
            late_data: LateData::default(),
            reusable: fully_sent && head.keeps_connection() && framing != Framing::Close,
            mode: match is_stream {
                true => RelayMode::Stream(Splitter::default()),
                false => RelayMode::Buffered(BytesMut::new()),
            },
            memory: Reserve::new(&job.received.place, JOINED_BYTES),
            head,
        })
    }

    /// Returns whether the response is complete and the connection can be reused.
    pub(super) fn connection_reusable(&self) -> bool {
        self.reusable && self.decoder.is_done()
    }

    /// Returns whether the response is complete only because its connection ended in order.
    pub(super) fn ended_with_connection(&self) -> bool {
        self.framing == Framing::Close && self.decoder.is_done()
    }

    /// Returns how reading the response ended, for the log: its framing and the end.
    pub(super) fn end(&self) -> Option<(&'static str, ResponseEnd)> {
        Some((self.framing.name(), self.end?))
    }

    /// Returns whether the response has been flowing for a while.
    pub(super) fn is_flowing(&self) -> bool {
        self.flow.is_steady
    }

    /// Returns the keep-alive timeout that the replica declared, in milliseconds.
    pub(super) fn keep_alive_ms(&self) -> Option<u64> {
        self.head.keep_alive_ms()
    }

    /// Returns the time without data after which another replica is selected; `None` if no other
    /// replica could continue the response.
    pub(super) fn silence_timeout(&self) -> Option<Duration> {
        match self.mode {
            RelayMode::Unbuffered => None,
            RelayMode::Buffered(_) => Some(BUFFERED_SILENCE_TIMEOUT),
            RelayMode::Stream(_) => Some(STREAM_SILENCE_TIMEOUT),
        }
    }

    /// Relays the response until it is complete or no data arrived for `silence`. Can be called
    /// again after a silence.
    pub(super) async fn run(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        upstream: Upstream<'_>,
        silence: Option<Duration>,
    ) -> AttemptOutcome {
        match self.mode {
            RelayMode::Stream(_) => {
                self.relay_stream(entry, caller, job, upstream, silence)
                    .await
            }
            RelayMode::Buffered(_) => {
                self.relay_buffered(entry, caller, job, upstream, silence)
                    .await
            }
            RelayMode::Unbuffered => self.relay_unbuffered(entry, caller, job, upstream).await,
        }
    }

    /// Reads the next piece of the response.
    async fn next_piece(
        &mut self,
        entry: &Entry,
        caller: &mut Wire,
        deadline: Time,
        upstream: &mut Upstream<'_>,
        silence: Option<Duration>,
    ) -> ReadOutcome {
        let node = &entry.node;
        let Upstream {
            connection,
            in_flight,
            target,
            sent_at,
            ..
        } = upstream;
        loop {
            let now = node.clock.now();
            if self.late_data.is_over(deadline, now) {
                return ReadOutcome::TimedOut;
            }
            if let Some(read) = self.buffered_piece(connection) {
                return read;
            }
            let until = silence.map_or(deadline, |it| deadline.min(now.after(it)));
            tokio::select! {
                biased;
                read = connection.wire.fill() => match read {
                    Ok(0) if self.decoder.may_end_at_eof() => {
                        let confirming = entry.confirm_liveness(target, *sent_at);
                        let liveness = tokio::select! {
                            biased;
                            () = caller.closed() => return ReadOutcome::CallerGone,
                            () = in_flight.wait_for_restart() =>
                                return self.broken(ResponseEnd::Restarted),
                            () = node.timers.sleep_until(deadline) => return ReadOutcome::TimedOut,
                            liveness = confirming => liveness,
                        };
                        if connection.wire.has_failed() {
                            return self.broken(ResponseEnd::Reset);
                        }
                        self.end = Some(ResponseEnd::Closed(liveness));
                        return match liveness {
                            Liveness::Confirmed => {
                                self.decoder.finish_at_eof();
                                ReadOutcome::End
                            }
                            _ => ReadOutcome::Broken,
                        };
                    }
                    Ok(0) => return self.broken(ResponseEnd::Truncated),
                    Err(_) => return self.broken(ResponseEnd::Reset),
                    Ok(_) => {}
                },
                () = caller.closed() => return ReadOutcome::CallerGone,
                () = in_flight.wait_for_restart() => return self.broken(ResponseEnd::Restarted),
                () = node.timers.sleep_until(until) => {
                    if deadline <= node.clock.now() {
                        return ReadOutcome::TimedOut;
                    }
                    // After a pause of this process, timers may fire before data that has arrived
                    // is read.
                    if !connection.wire.has_pending_data() {
                        return ReadOutcome::Silent;
                    }
                }
            }
        }
    }

    /// Returns the next piece, if it has been received already.
    fn buffered_piece(&mut self, connection: &mut ReplicaConnection) -> Option<ReadOutcome> {
        match self.decoder.take(&mut connection.wire.buffer) {
            Ok(Piece::Data(data)) => Some(ReadOutcome::Data(data)),
            Ok(Piece::End) => {
                self.end.get_or_insert(ResponseEnd::Framed);
                Some(ReadOutcome::End)
            }
            Err(_) => Some(self.broken(ResponseEnd::Malformed)),
            Ok(Piece::More) => None,
        }
    }

    /// Records how the response ended, which is not complete.
    fn broken(&mut self, end: ResponseEnd) -> ReadOutcome {
        self.end = Some(end);
        ReadOutcome::Broken
    }

    async fn relay_buffered(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut upstream: Upstream<'_>,
        silence: Option<Duration>,
    ) -> AttemptOutcome {
        loop {
            let read = self
                .next_piece(entry, caller, job.deadline, &mut upstream, silence)
                .await;
            if let Some(ended) = read.attempt_outcome() {
                return ended;
            }
            let RelayMode::Buffered(body) = &mut self.mode else {
                return AttemptOutcome::Failed(Failure::Broken, None);
            };
            let ReadOutcome::Data(data) = read else { break };
            count_response_bytes(entry, job, upstream.connection, data.len());
            body.extend_from_slice(&data);
            // The buffer has up to twice the size of its content.
            let has_memory = self.memory.cover_now(2 * body.len(), Content::Other);
            if MAX_BUFFERED < body.len() || !has_memory {
                return self
                    .switch_to_unbuffered(entry, caller, job, upstream)
                    .await;
            }
        }
        let ends_at_close = self.framing == Framing::Close;
        let RelayMode::Buffered(body) = &mut self.mode else {
            return AttemptOutcome::Failed(Failure::Broken, None);
        };
        // A replica that runs may close the connection of a response that it has lost.
        if ends_at_close && body.is_empty() {
            return AttemptOutcome::Failed(Failure::Broken, None);
        }
        let no_memory = Reserve::new(&job.received.place, JOINED_BYTES);
        let response = BufferedResponse {
            head: self.head.clone(),
            body: body.split().freeze(),
            _memory: std::mem::replace(&mut self.memory, no_memory),
        };
        if 500 <= response.status() && job.route.kind.repeatable() {
            return AttemptOutcome::Failed(Failure::Failed, Some(response));
        }
        job.first_byte = Some(entry.node.clock.now());
        job.close_after_response = entry.closes_after(job);
        let status = response.status();
        if response
            .send(entry, caller, job, job.close_after_response)
            .await
        {
            AttemptOutcome::Answered(status)
        } else {
            AttemptOutcome::Aborted(AbortReason::CallerStalled)
        }
    }

    /// Sends the buffered part of a response that exceeds [`MAX_BUFFERED`], and relays the rest
    /// unbuffered.
    async fn switch_to_unbuffered(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        upstream: Upstream<'_>,
    ) -> AttemptOutcome {
        let mut out = chunked_head(entry, job, &self.head);
        if let RelayMode::Buffered(body) = &self.mode {
            put_chunk(&mut out, body);
        }
        self.mode = RelayMode::Unbuffered;
        job.first_byte = Some(entry.node.clock.now());
        job.head_sent = true;
        if !send(entry, caller, &out, job.deadline).await {
            return AttemptOutcome::Aborted(AbortReason::CallerStalled);
        }
        self.relay_unbuffered(entry, caller, job, upstream).await
    }

    async fn relay_unbuffered(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut upstream: Upstream<'_>,
    ) -> AttemptOutcome {
        let mut out = BytesMut::new();
        loop {
            let read = self
                .next_piece(entry, caller, job.deadline, &mut upstream, None)
                .await;
            match read {
                ReadOutcome::Data(data) => {
                    count_response_bytes(entry, job, upstream.connection, data.len());
                    put_chunk(&mut out, &data);
                }
                ReadOutcome::End => break,
                ReadOutcome::CallerGone => return AttemptOutcome::Aborted(AbortReason::CallerLeft),
                ReadOutcome::TimedOut => return AttemptOutcome::TimedOut,
                // A part has been sent already, so no other replica can continue.
                ReadOutcome::Broken | ReadOutcome::Silent => {
                    return AttemptOutcome::Aborted(AbortReason::Replica(Failure::Broken));
                }
            }
            if !send(entry, caller, &out, job.deadline).await {
                return AttemptOutcome::Aborted(AbortReason::CallerStalled);
            }
            out.clear();
        }
        if send(entry, caller, LAST_CHUNK, job.deadline).await {
            AttemptOutcome::Answered(self.head.status)
        } else {
            AttemptOutcome::Aborted(AbortReason::CallerStalled)
        }
    }

    async fn relay_stream(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut upstream: Upstream<'_>,
        silence: Option<Duration>,
    ) -> AttemptOutcome {
        let mut out = BytesMut::new();
        let mut buffered = None;
        loop {
            let read = match buffered.take() {
                Some(read) => read,
                None => {
                    self.next_piece(entry, caller, job.deadline, &mut upstream, silence)
                        .await
                }
            };
            let RelayMode::Stream(splitter) = &mut self.mode else {
                return AttemptOutcome::Failed(Failure::Broken, None);
            };
            if let ReadOutcome::Data(data) = &read {
                record_stream_data(entry, job, &mut upstream, data.len());
                splitter.feed(data);
                if self.flow.note_data(entry.node.clock.now()) {
                    entry.clear_parts(job, upstream.sent_at);
                }
            }
            let at_end = matches!(read, ReadOutcome::End);
            // A replica that runs may close the connection of a response that it has lost.
            let is_empty_at_close = self.framing == Framing::Close && self.flow.began.is_none();
            let is_broken = job.cursor.relay_events(splitter, &mut out).is_err()
                || (at_end && (splitter.has_partial_event() || is_empty_at_close));
            let ended = match is_broken {
                true => Some(AttemptOutcome::Failed(Failure::Broken, None)),
                false => read.attempt_outcome(),
            };
            let complete = at_end && ended.is_none();
            // Events that have been received already are sent together, and none is left unsent at the
            // end: another replica continues after the last one.
            if !at_end && ended.is_none() {
                buffered = self.buffered_piece(upstream.connection);
                if buffered.is_some() {
                    continue;
                }
            }
            let mut bytes = BytesMut::new();
            if !job.head_sent && (complete || !out.is_empty()) {
                bytes = chunked_head(entry, job, &self.head);
                job.head_sent = true;
                job.first_byte = Some(entry.node.clock.now());
                job.version = entry.version_of(upstream.connection.replica());
            }
            put_chunk(&mut bytes, &out);
            out.clear();
            if complete {
                bytes.put_slice(LAST_CHUNK);
            }
            if !bytes.is_empty() && !send(entry, caller, &bytes, job.deadline).await {
                return AttemptOutcome::Aborted(AbortReason::CallerStalled);
            }
            if let Some(ended) = ended {
                return ended;
            }
            if complete {
                return AttemptOutcome::Answered(self.head.status);
            }
        }
    }
}

/// Counts received bytes of a response.
fn count_response_bytes(
    entry: &Entry,
    job: &mut Job,
    connection: &ReplicaConnection,
    bytes: usize,
) {
    job.last_data_at = Some(entry.node.clock.now());
    entry.count_to_replica(Purpose::Answers, connection.replica(), bytes);
}

/// Records that a stream's replica has sent data.
fn record_stream_data(entry: &Entry, job: &mut Job, upstream: &mut Upstream<'_>, bytes: usize) {
    let replica = upstream.connection.replica();
    count_response_bytes(entry, job, upstream.connection, bytes);
    entry.note_activity(replica);
    upstream.in_flight.response_begun();
    if let Some(forecast) = upstream.forecast.take() {
        entry.record_response_start(replica, forecast);
    }
}

async fn send(entry: &Entry, caller: &mut Wire, bytes: &[u8], deadline: Time) -> bool {
    let timers = &entry.node.timers;
    let sent = timers.timeout_at(deadline, caller.send(bytes)).await;
    matches!(sent, Ok(Ok(())))
}

fn chunked_head(entry: &Entry, job: &mut Job, head: &Response) -> BytesMut {
    job.close_after_response = entry.closes_after(job);
    let mut out = BytesMut::with_capacity(512);
    put_head(&mut out, head, job.close_after_response);
    put_header(&mut out, b"Transfer-Encoding", b"chunked");
    out.put_slice(b"\r\n");
    out
}

fn put_head(out: &mut BytesMut, head: &Response, close: bool) {
    out.put_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    out.put_slice(&head.reason);
    out.put_slice(b"\r\n");
    for header in head.fields.forwarded(&["content-length"]) {
        put_header(out, &header.name, &header.value);
    }
    if close {
        put_header(out, b"Connection", b"close");
    }
}
