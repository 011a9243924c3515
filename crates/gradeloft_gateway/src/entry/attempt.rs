//! One attempt: a request sent to one replica, from the connection to the last byte of the
//! response.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_policy::{
    clock::Time,
    process::replicas::ReplicaKey,
    request::{attempt::Failure, forecast, late_data::LateData, wait},
};

use super::{
    Entry,
    abort::AbortReason,
    forward::Job,
    in_flight::InFlightGuard,
    liveness::Target,
    quarantine::ReplicaStart,
    relay::{self, BufferedResponse, Relay, Upstream},
};
use crate::{
    h1::{
        body::{Decoder, Framing, Piece},
        head::{self, Response, put_header},
        segments::{Body, FIRST_SEGMENT_BYTES},
        wire::{Transfer, Wire},
    },
    pool::ReplicaConnection,
    traffic::Purpose,
};

/// Time without a response head after which the request is hedged: five times the longest latency
/// objective, and shorter than the time after which callers give up.
const HEAD_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: u32 = 2;
/// Maximum number of informational heads before the head of a response.
const MAX_INFORMATIONAL: u32 = 16;
/// Size of the largest response to an earlier request that is read and skipped, in bytes.
const MAX_STALE_BYTES: usize = 256 << 10;

/// Outcome of an attempt. The attempt can go on only after [`AttemptOutcome::Silent`].
pub enum AttemptOutcome {
    /// The complete response was sent to the caller. Carries the HTTP status.
    Answered(u16),
    /// The attempt failed. Carries the replica's own error response, if there is one.
    Failed(Failure, Option<BufferedResponse>),
    /// The caller no longer receives the response, or a partly sent response can't be continued.
    Aborted(AbortReason),
    /// The replica sent nothing for the silence timeout. The attempt can go on.
    Silent,
    /// The deadline of the request passed.
    TimedOut,
}

/// Forecast of the time at which a replica begins its response.
#[derive(Clone, Copy, Debug)]
pub struct FirstTokenForecast {
    /// Time at which the request was sent.
    pub sent: Time,
    /// Forecast time until the first token by the engine's published speed, in milliseconds.
    pub after_ms: f64,
}

/// A request sent to one replica.
pub struct Attempt {
    /// Replica that gets the request.
    pub replica: ReplicaKey,
    /// Start of the replica that gets the request.
    pub(super) start: Option<ReplicaStart>,
    /// The same start, for probes of whether it runs.
    target: Target,
    /// Whether the replica's silence was counted as a failure.
    pub silence_counted: bool,
    pub(super) connection: ReplicaConnection,
    pub(super) in_flight: InFlightGuard,
    /// Forecast of the time at which the response begins; taken out once it has begun.
    pub(super) forecast: Option<FirstTokenForecast>,
    /// Time at which the request was sent.
    pub(super) sent_at: Time,
    stage: Stage,
}

enum Stage {
    /// The response head has not arrived.
    AwaitingHead(AwaitingHead),
    Relaying(Relay),
    /// The replica reported that it did not execute the request.
    NotExecuted {
        head: Response,
        /// Whether the request was sent completely.
        fully_sent: bool,
    },
}

struct AwaitingHead {
    request: EncodedRequest,
    /// Number of request bytes sent.
    sent: usize,
    /// Number of responses to earlier requests that were skipped.
    stale_responses: u32,
    /// Number of informational heads.
    informational: u32,
    late_data: LateData,
    started_at: Time,
}

impl Attempt {
    /// Connects to a replica, and encodes the request for it.
    pub async fn begin(
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        replica: ReplicaKey,
    ) -> Result<Attempt, AttemptOutcome> {
        let Some(target) = entry.probe_target(replica) else {
            return Err(AttemptOutcome::Failed(Failure::Unsent, None));
        };
        // The caller may have disconnected before its request was read, or during an earlier
        // attempt.
        if caller.is_closed() {
            return Err(AttemptOutcome::Aborted(AbortReason::CallerLeft));
        }
        let start = entry.replica_start(replica);
        let forecast = forecast_first_token(entry, job, replica);
        let in_flight = entry.track_in_flight(replica, job.prompt_tokens);
        let connection = connect(entry, caller, job, replica, target.address).await?;
        let now = entry.node.clock.now();
        // This process may have been paused since the connection was established.
        if job.deadline <= now {
            return Err(AttemptOutcome::Failed(Failure::Unsent, None));
        }
        if caller.is_closed() {
            return Err(AttemptOutcome::Aborted(AbortReason::CallerLeft));
        }
        if !in_flight.still_permits() || entry.is_shut_out(job) {
            entry.pool.release(connection, None);
            return Err(AttemptOutcome::Failed(Failure::Withheld, None));
        }
        let request = encode_request(entry, job, &target.id);
        entry.count_to_replica(Purpose::Requests, replica, request.len());
        Ok(Attempt {
            replica,
            start,
            target,
            silence_counted: false,
            connection,
            in_flight,
            forecast,
            sent_at: now,
            stage: Stage::AwaitingHead(AwaitingHead {
                request,
                sent: 0,
                stale_responses: 0,
                informational: 0,
                late_data: LateData::default(),
                started_at: now,
            }),
        })
    }

    /// Runs the attempt until the response is complete, the attempt ends, or the replica is silent.
    pub async fn drive(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
    ) -> AttemptOutcome {
        if let Err(ended) = self.await_response_head(entry, caller, job).await {
            return ended;
        }
        let silence_timeout = self.silence_timeout(job);
        match &mut self.stage {
            Stage::AwaitingHead(_) | Stage::NotExecuted { .. } => {
                AttemptOutcome::Failed(Failure::Broken, None)
            }
            Stage::Relaying(relay) => {
                let upstream = Upstream {
                    connection: &mut self.connection,
                    in_flight: &self.in_flight,
                    forecast: &mut self.forecast,
                    target: &self.target,
                    sent_at: self.sent_at,
                };
                relay
                    .run(entry, caller, job, upstream, silence_timeout)
                    .await
            }
        }
    }

    /// Sends the request and waits for the head of a response that can be relayed. Can be called
    /// again after [`AttemptOutcome::Silent`].
    pub async fn await_response_head(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &Job,
    ) -> Result<(), AttemptOutcome> {
        if matches!(self.stage, Stage::Relaying(_)) {
            return Ok(());
        }
        let head = self.read_head(entry, caller, job).await?;
        let Stage::AwaitingHead(awaiting) = &self.stage else {
            return Ok(());
        };
        let fully_sent = awaiting.sent == awaiting.request.len();
        if let Some(failure) = not_executed_failure(entry, &head, &self.target.id) {
            self.stage = Stage::NotExecuted { head, fully_sent };
            return Err(AttemptOutcome::Failed(failure, None));
        }
        let seal = entry.node.platform.headers.seal;
        if (200..300).contains(&head.status) && head.fields.get(seal).is_none() {
            return Err(AttemptOutcome::Failed(Failure::Broken, None));
        }
        let relay = Relay::of(job, head, fully_sent)?;
        self.stage = Stage::Relaying(relay);
        Ok(())
    }

    /// Waits for data from the replica, before the head of its response for a whole head; returns
    /// false if the connection ends first, or what it sends is not a head.
    pub async fn wait_for_data(&mut self) -> bool {
        loop {
            let read = tokio::select! {
                read = self.connection.wire.fill() => matches!(read, Ok(1..)),
                () = self.in_flight.wait_for_restart() => false,
            };
            let is_head_expected = matches!(self.stage, Stage::AwaitingHead(_));
            if !read || !is_head_expected {
                return read;
            }
            match head::is_complete(&self.connection.wire.buffer) {
                Ok(false) => {}
                Ok(true) => return true,
                Err(_) => return false,
            }
        }
    }

    /// Finishes a successful attempt: returns the connection to the pool unless it has unexpected
    /// bytes left.
    pub fn finish(self, entry: &Entry) {
        let now = entry.node.clock.now();
        entry.replicas.borrow_mut().succeeded(self.replica, now);
        self.in_flight.response_completed();
        if let Stage::Relaying(relay) = &self.stage
            && relay.connection_reusable()
            && self.connection.wire.buffer.is_empty()
        {
            entry.pool.release(self.connection, relay.keep_alive_ms());
        }
    }

    /// Returns whether the response has been flowing for a while.
    pub(super) fn is_flowing(&self) -> bool {
        matches!(&self.stage, Stage::Relaying(relay) if relay.is_flowing())
    }

    /// Returns whether the response is complete only because its connection ended in order.
    pub(super) fn ended_with_connection(&self) -> bool {
        matches!(&self.stage, Stage::Relaying(relay) if relay.ended_with_connection())
    }

    /// Returns how reading the response ended: its framing, the end, and the last event that was
    /// relayed. `None` if no response began, or reading did not end.
    pub(super) fn response_end(&self, job: &Job) -> Option<String> {
        let Stage::Relaying(relay) = &self.stage else {
            return None;
        };
        let (framing, end) = relay.end()?;
        let event = job.cursor.last().map(|it| format!("@{it}"));
        Some(format!(
            "{framing}:{}{}",
            end.name(),
            event.unwrap_or_default()
        ))
    }

    /// Aborts the connection, so that the replica stops at once.
    pub fn abort(self) {
        self.connection.wire.abort();
    }

    /// Ends the attempt after a failure or an abort; a request without a response head is cancelled
    /// at the replica.
    pub fn close(self, entry: &Entry, job: &Job) {
        match &self.stage {
            Stage::AwaitingHead(_) => self.abort(),
            Stage::Relaying(_) => {}
            Stage::NotExecuted { head, fully_sent } => {
                let method = &job.received.head.method;
                relay::discard(entry, self.connection, head, method, *fully_sent);
            }
        }
    }

    /// Returns the time without data after which the request is hedged; `None` if the attempt must
    /// go on despite silence, as no other replica could continue the response.
    fn silence_timeout(&self, job: &Job) -> Option<Duration> {
        let used = job.progress.attempts + u32::from(!self.silence_counted);
        let may_retry = job.route.kind.repeatable() && used < job.progress.max_attempts;
        let first = match &self.stage {
            Stage::AwaitingHead(_) | Stage::NotExecuted { .. } => HEAD_SILENCE_TIMEOUT,
            Stage::Relaying(relay) => relay.silence_timeout()?,
        };
        let timeout = match self.silence_counted {
            true => Duration::from_millis(wait::POLL_INTERVAL_MS),
            false => first,
        };
        may_retry.then_some(timeout)
    }

    async fn read_head(
        &mut self,
        entry: &Entry,
        caller: &mut Wire,
        job: &Job,
    ) -> Result<Response, AttemptOutcome> {
        let timeout = self.silence_timeout(job);
        let Stage::AwaitingHead(awaiting) = &mut self.stage else {
            return Err(AttemptOutcome::Failed(Failure::Broken, None));
        };
        let connection = &mut self.connection;
        let now = entry.node.clock.now();
        // After a first silence, each further call waits only for a short time.
        let since = if self.silence_counted {
            now
        } else {
            awaiting.started_at
        };
        let silent_at = timeout.map_or(job.deadline, |it| job.deadline.min(since.after(it)));
        let expiry = begin_by(entry, job, self.replica);
        let timers = &entry.node.timers;
        let timer = timers.sleep_until(expiry.map_or(silent_at, |it| it.min(silent_at)));
        tokio::pin!(timer);
        loop {
            if awaiting
                .late_data
                .is_over(job.deadline, entry.node.clock.now())
            {
                return Err(AttemptOutcome::TimedOut);
            }
            if let Some(head) = head::response(&mut connection.wire.buffer)
                .map_err(|_| AttemptOutcome::Failed(Failure::Broken, None))?
            {
                let is_final = !(100..200).contains(&head.status);
                let belongs = belongs_to_request(entry, job, &head);
                entry.observe_backpressure(
                    self.replica,
                    &head,
                    (is_final && belongs).then_some(awaiting.started_at),
                );
                if !is_final {
                    awaiting.informational += 1;
                    if MAX_INFORMATIONAL < awaiting.informational {
                        return Err(AttemptOutcome::Failed(Failure::Broken, None));
                    }
                    continue;
                }
                if belongs {
                    return Ok(head);
                }
                awaiting.stale_responses += 1;
                if MAX_STALE_RESPONSES < awaiting.stale_responses
                    || !skip_body(entry, caller, connection, &head, job.deadline).await
                {
                    return Err(AttemptOutcome::Failed(Failure::Broken, None));
                }
                continue;
            }
            tokio::select! {
                biased;
                () = caller.closed() => return Err(AttemptOutcome::Aborted(AbortReason::CallerLeft)),
                transfer = connection.wire.exchange(awaiting.request.part_at(awaiting.sent)) => match transfer {
                    Ok(Transfer::Sent(count)) => awaiting.sent += count,
                    Ok(Transfer::Read(0)) | Err(_) =>
                        return Err(connection_failure(connection, awaiting.sent)),
                    Ok(Transfer::Read(_)) => {}
                },
                () = self.in_flight.wait_for_restart() =>
                    return Err(connection_failure(connection, awaiting.sent)),
                () = &mut timer => {
                    let now = entry.node.clock.now();
                    if job.deadline <= now {
                        return Err(AttemptOutcome::TimedOut);
                    }
                    // After a pause of this process, timers may fire before data that has arrived
                    // is read.
                    if silent_at <= now && !connection.wire.has_pending_data() {
                        return Err(AttemptOutcome::Silent);
                    }
                    if begin_by(entry, job, self.replica).is_some_and(|it| it <= now) {
                        return Err(AttemptOutcome::Failed(Failure::Outdated, None));
                    }
                    // The replica has newer weights by now, or data from it is about to be read.
                    timer.set(timers.sleep_until(silent_at.max(now.after_ms(wait::POLL_INTERVAL_MS))));
                }
            }
        }
    }
}

/// Takes a pooled connection to a replica or opens a new one, unless the caller disconnects or the
/// deadline passes first.
async fn connect(
    entry: &Entry,
    caller: &mut Wire,
    job: &Job,
    replica: ReplicaKey,
    address: SocketAddr,
) -> Result<ReplicaConnection, AttemptOutcome> {
    if let Some(connection) = entry.pool.take_idle(replica) {
        return Ok(connection);
    }
    entry.node.metrics.connections.inc();
    tokio::select! {
        biased;
        () = caller.closed() => Err(AttemptOutcome::Aborted(AbortReason::CallerLeft)),
        () = entry.node.timers.sleep_until(job.deadline) =>
            Err(AttemptOutcome::Failed(Failure::Unsent, None)),
        connection = entry.pool.connect(replica, address) => {
            connection.map_err(|_| AttemptOutcome::Failed(Failure::Unsent, None))
        }
    }
}

/// Forecasts when a replica begins its response, for services that run a model.
fn forecast_first_token(
    entry: &Entry,
    job: &mut Job,
    replica: ReplicaKey,
) -> Option<FirstTokenForecast> {
    let replicas = entry.replicas.borrow();
    let speed = entry.speed(&job.service)?;
    let replica = replicas.get(replica)?;
    let after_ms = forecast::first_token_ms(&speed, replica.queue(&speed), job.prompt_tokens);
    job.expected_ms = (after_ms * replica.slowness.factor()) as u64;
    Some(FirstTokenForecast {
        sent: entry.node.clock.now(),
        after_ms,
    })
}

/// Returns the failure for a response in which the replica reports that it did not execute the
/// request.
fn not_executed_failure(entry: &Entry, head: &Response, id: &str) -> Option<Failure> {
    let headers = &entry.node.platform.headers;
    if head.status == 421 {
        let other = head.fields.get(headers.replica_id);
        let replaced = other.is_some_and(|it| it != id);
        return Some(if replaced {
            Failure::Misdirected
        } else {
            Failure::Refused
        });
    }
    let marked = head.fields.get(headers.not_executed).is_some();
    marked.then_some(Failure::Refused)
}

/// Returns the failure for a connection that ended before the response head.
fn connection_failure(connection: &ReplicaConnection, sent: usize) -> AttemptOutcome {
    let failure = if !connection.wire.buffer.is_empty() {
        Failure::Broken
    } else if sent == 0 {
        Failure::Unsent
    } else {
        Failure::Lost
    };
    AttemptOutcome::Failed(failure, None)
}

/// Returns the time by which a waiting request is cancelled because the weights of its replica
/// expire; `None` for no limit.
fn begin_by(entry: &Entry, job: &Job, replica: ReplicaKey) -> Option<Time> {
    let time = entry.start_deadline(&job.service, replica);
    time.filter(|_| job.route.kind.repeatable())
}

/// Returns whether a response belongs to this request. A response without a request id is assumed
/// to belong to it.
fn belongs_to_request(entry: &Entry, job: &Job, head: &Response) -> bool {
    let name = entry.node.platform.headers.attempt_id;
    let echoed = head.fields.get(name);
    echoed.is_none() || echoed == job.received.head.fields.get(name)
}

/// Reads and discards the body of a response to another request; returns whether the connection is
/// still usable.
async fn skip_body(
    entry: &Entry,
    caller: &mut Wire,
    connection: &mut ReplicaConnection,
    head: &Response,
    deadline: Time,
) -> bool {
    let framing = match Framing::of_response(head, b"") {
        Ok(Framing::Close) | Err(_) => return false,
        Ok(framing) => framing,
    };
    let mut decoder = Decoder::new(framing);
    let mut skipped = 0;
    loop {
        match decoder.take(&mut connection.wire.buffer) {
            Ok(Piece::Data(data)) => {
                skipped += data.len();
                if MAX_STALE_BYTES < skipped {
                    return false;
                }
            }
            Ok(Piece::End) => return true,
            Err(_) => return false,
            Ok(Piece::More) => tokio::select! {
                read = connection.wire.fill() => if !matches!(read, Ok(1..)) { return false },
                () = caller.closed() => return false,
                () = entry.node.timers.sleep_until(deadline) => return false,
            },
        }
    }
}

/// A request as it is sent to a replica. Its body is shared with other attempts.
struct EncodedRequest {
    head: Bytes,
    body: Body,
}

impl EncodedRequest {
    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns bytes from `offset` on; empty at the end of the request.
    fn part_at(&self, offset: usize) -> &[u8] {
        match offset.checked_sub(self.head.len()) {
            None => &self.head[offset..],
            Some(offset) => self.body.part_at(offset),
        }
    }
}

/// Encodes the request for a replica.
fn encode_request(entry: &Entry, job: &Job, id: &str) -> EncodedRequest {
    let headers = &entry.node.platform.headers;
    let received = &job.received;
    // A small body is sent together with the head.
    let is_small = received.body.len() <= FIRST_SEGMENT_BYTES;
    let joined = if is_small { received.body.len() } else { 0 };
    let mut out = BytesMut::with_capacity(512 + joined);
    out.put_slice(&received.head.method);
    out.put_slice(b" ");
    out.put_slice(&received.head.target);
    out.put_slice(b" HTTP/1.1\r\n");
    let mut drop = vec![
        headers.api_key,
        headers.team,
        headers.deadline,
        headers.target_replica,
        headers.expected_version,
        headers.priority,
        "content-length",
        "expect",
    ];
    if job.cursor.last().is_some() {
        drop.push("last-event-id");
    }
    for header in received.head.fields.forwarded(&drop) {
        put_header(&mut out, &header.name, &header.value);
    }
    let left = job.deadline.since(entry.node.clock.now());
    let mut set = |name: &str, value: &str| put_header(&mut out, name.as_bytes(), value.as_bytes());
    set(headers.deadline, &left.as_millis().max(1).to_string());
    set(headers.target_replica, id);
    let config = entry.config.borrow();
    let priority = config.as_ref().map_or(job.route.priority, |it| {
        it.queue_priority(&job.service, job.precedence)
    });
    let rank = job.urgency.rank(priority);
    set(headers.priority, &rank.to_string());
    if let Some(team) = &job.team {
        set(headers.team, team);
    }
    if let Some(event) = job.cursor.last() {
        set("Last-Event-Id", &event.to_string());
    }
    if received.has_body {
        set("Content-Length", &received.body.len().to_string());
    }
    out.put_slice(b"\r\n");
    if is_small {
        received.body.segments().for_each(|it| out.put_slice(it));
    }
    EncodedRequest {
        head: out.freeze(),
        body: match is_small {
            true => Body::default(),
            false => received.body.clone(),
        },
    }
}
