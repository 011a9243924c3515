//! One attempt: a request sent to one replica, up to the head of its answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_policy::{
    clock::Time,
    process::replicas::ReplicaKey,
    request::{attempt::Failure, forecast},
};

use super::{
    Entry,
    ending::Ending,
    forward::{Expected, Job},
    relay::{self, Stored},
    running::Running,
};
use crate::{
    h1::{
        body::{Decoder, Framing, Piece},
        head::{self, Response, put},
        wire::{Moved, Wire},
    },
    pool::Link,
    traffic::Purpose,
};

/// Time without an answer after which a request that may be repeated goes to another replica. Five
/// times the longest objective of today, and short of the time after which callers give up.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Answers to earlier requests that are passed over on one connection.
const MAX_CROSSED: u32 = 2;
/// Largest answer to an earlier request that is read to pass over it, in bytes.
const MAX_SKIPPED: usize = 256 << 10;

/// How an attempt ended.
pub enum Ended {
    /// The whole answer went out to the caller.
    Answered(u16),
    /// No answer that can be passed on as it is; a replica's own failure is kept.
    Failed(Failure, Option<Stored>),
    /// Nobody takes an answer any more, or nobody can go on with the one that went out in part.
    Gone(Ending),
    /// The request's time is over.
    TimedOut,
}

/// Sends a request to a replica and its answer to the caller.
pub async fn run(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    replica: ReplicaKey,
) -> Ended {
    let Some((address, id)) = entry.replica_address(replica) else {
        return Ended::Failed(Failure::Unsent, None);
    };
    // A caller may have left while its request waited to be read, or during an earlier attempt.
    if caller.has_gone() {
        return Ended::Gone(Ending::CallerLeft);
    }
    expect(entry, job, replica);
    let running = entry.running(replica, job.prompt_tokens);
    let mut link = match connected(entry, caller, job, replica, address).await {
        Ok(link) => link,
        Err(ended) => return ended,
    };
    // The processor may have been away since the connection was there.
    if job.deadline <= entry.node.clock.now() {
        return Ended::Failed(Failure::Unsent, None);
    }
    if caller.has_gone() {
        return Ended::Gone(Ending::CallerLeft);
    }
    let bytes = encode(entry, job, &id);
    entry.count_to_replica(Purpose::Requests, replica, bytes.len());
    let (head, whole) = match ask(entry, caller, job, &running, &mut link, &bytes).await {
        Ok(answered) => answered,
        Err(ended) => {
            link.wire.abandon();
            return ended;
        }
    };
    let headers = &entry.node.platform.headers;
    if let Some(failure) = not_run(entry, &head, &id) {
        relay::discard(entry, link, &head, &job.received.head.method, whole);
        return Ended::Failed(failure, None);
    }
    if (200..300).contains(&head.status) && head.fields.get(headers.seal).is_none() {
        return Ended::Failed(Failure::Broken, None);
    }
    relay::relay(entry, caller, job, &running, link, head, whole).await
}

/// A connection to a replica, unless the caller leaves or its time is over before there is one.
async fn connected(
    entry: &Entry,
    caller: &mut Wire,
    job: &Job,
    replica: ReplicaKey,
    address: SocketAddr,
) -> Result<Link, Ended> {
    if let Some(link) = entry.pool.take(replica) {
        return Ok(link);
    }
    entry.node.metrics.connections.inc();
    tokio::select! {
        biased;
        () = caller.gone() => Err(Ended::Gone(Ending::CallerLeft)),
        () = entry.node.timers.sleep_until(job.deadline) => Err(Ended::Failed(Failure::Unsent, None)),
        link = entry.pool.connect(replica, address) => {
            link.map_err(|_| Ended::Failed(Failure::Unsent, None))
        }
    }
}

/// Notes when a replica is to begin the answer, for services that run a model.
fn expect(entry: &Entry, job: &mut Job, replica: ReplicaKey) {
    let replicas = entry.replicas.borrow();
    let Some((speed, replica)) = entry.speed(&job.service).zip(replicas.get(replica)) else {
        return;
    };
    let after_ms = forecast::first_token_ms(&speed, replica.queue(&speed), job.prompt_tokens);
    job.expected_ms = (after_ms * replica.slowness.factor()) as u64;
    job.expected = Some(Expected {
        sent: entry.node.clock.now(),
        after_ms,
    });
}

/// The failure behind an answer by which the replica says that it ran nothing.
fn not_run(entry: &Entry, head: &Response, id: &str) -> Option<Failure> {
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
    let marked = head.fields.get(headers.not_run).is_some();
    marked.then_some(Failure::Refused)
}

/// Sends the request and waits for the head of its answer; also gives whether all of the request
/// went out.
async fn ask(
    entry: &Entry,
    caller: &mut Wire,
    job: &Job,
    running: &Running,
    link: &mut Link,
    bytes: &[u8],
) -> Result<(Response, bool), Ended> {
    let deadline = job.deadline;
    let patience = patience(job, entry.node.clock.now());
    let replica = link.replica();
    let expiry = begin_by(entry, job, replica);
    let timers = &entry.node.timers;
    let patient = timers.sleep_until(expiry.map_or(patience, |it| it.min(patience)));
    tokio::pin!(patient);
    let mut sent = 0;
    let mut crossed = 0;
    loop {
        if let Some(head) = head::response(&mut link.wire.buffer)
            .map_err(|_| Ended::Failed(Failure::Broken, None))?
        {
            if (100..200).contains(&head.status) {
                continue;
            }
            if is_own(entry, job, &head) {
                return Ok((head, sent == bytes.len()));
            }
            crossed += 1;
            if MAX_CROSSED < crossed || !skip(entry, caller, link, &head, deadline).await {
                return Err(Ended::Failed(Failure::Broken, None));
            }
            continue;
        }
        tokio::select! {
            biased;
            () = caller.gone() => return Err(Ended::Gone(Ending::CallerLeft)),
            moved = link.wire.exchange(&bytes[sent..]) => match moved {
                Ok(Moved::Sent(count)) => sent += count,
                Ok(Moved::Read(0)) | Err(_) => return Err(ended(link, sent)),
                Ok(Moved::Read(_)) => {}
            },
            () = running.ended() => return Err(ended(link, sent)),
            () = &mut patient => {
                let now = entry.node.clock.now();
                if deadline <= now {
                    return Err(Ended::TimedOut);
                }
                if patience <= now {
                    return Err(Ended::Failed(Failure::Silent, None));
                }
                let begin_by = begin_by(entry, job, replica);
                if begin_by.is_some_and(|it| it <= now) {
                    return Err(Ended::Failed(Failure::Outdated, None));
                }
                // The replica has newer weights by now.
                patient.set(timers.sleep_until(patience));
            }
        }
    }
}

/// The connection ended before an answer.
fn ended(link: &Link, sent: usize) -> Ended {
    let failure = if !link.wire.buffer.is_empty() {
        Failure::Broken
    } else if sent == 0 {
        Failure::Unsent
    } else {
        Failure::Lost
    };
    Ended::Failed(failure, None)
}

/// Until when the head is waited for: with no other replica to go to, until the end.
fn patience(job: &Job, now: Time) -> Time {
    let last = job.progress.max_attempts <= job.progress.attempts + 1;
    if last || !job.route.kind.repeatable() {
        return job.deadline;
    }
    job.deadline.min(now.after(PATIENCE))
}

/// Until when the request may wait at a replica before it is taken back, as the weights there expire.
fn begin_by(entry: &Entry, job: &Job, replica: ReplicaKey) -> Option<Time> {
    let time = entry.begin_by(&job.service, replica);
    time.filter(|_| job.route.kind.repeatable())
}

/// Whether an answer is to this request. Answers without an id are taken for it.
fn is_own(entry: &Entry, job: &Job, head: &Response) -> bool {
    let name = entry.node.platform.headers.request;
    let echoed = head.fields.get(name);
    echoed.is_none() || echoed == job.received.head.fields.get(name)
}

/// Reads over the body of an answer to another request.
async fn skip(
    entry: &Entry,
    caller: &mut Wire,
    link: &mut Link,
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
        match decoder.take(&mut link.wire.buffer) {
            Ok(Piece::Data(data)) => {
                skipped += data.len();
                if MAX_SKIPPED < skipped {
                    return false;
                }
            }
            Ok(Piece::End) => return true,
            Err(_) => return false,
            Ok(Piece::More) => tokio::select! {
                read = link.wire.fill() => if !matches!(read, Ok(1..)) { return false },
                () = caller.gone() => return false,
                () = entry.node.timers.sleep_until(deadline) => return false,
            },
        }
    }
}

/// The request as the replica gets it.
fn encode(entry: &Entry, job: &Job, id: &str) -> Bytes {
    let headers = &entry.node.platform.headers;
    let received = &job.received;
    let mut out = BytesMut::with_capacity(512 + received.body.len());
    out.put_slice(&received.head.method);
    out.put_slice(b" ");
    out.put_slice(&received.head.target);
    out.put_slice(b" HTTP/1.1\r\n");
    let mut drop = vec![
        headers.key,
        headers.team,
        headers.deadline,
        headers.replica,
        headers.version,
        headers.priority,
        "content-length",
        "expect",
    ];
    if job.cursor.last().is_some() {
        drop.push("last-event-id");
    }
    for header in received.head.fields.forwarded(&drop) {
        put(&mut out, &header.name, &header.value);
    }
    let left = job.deadline.since(entry.node.clock.now());
    let mut set = |name: &str, value: &str| put(&mut out, name.as_bytes(), value.as_bytes());
    set(headers.deadline, &left.as_millis().max(1).to_string());
    set(headers.replica, id);
    let rank = job.claim.rank(job.route.priority);
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
    out.put_slice(&received.body);
    out.freeze()
}
