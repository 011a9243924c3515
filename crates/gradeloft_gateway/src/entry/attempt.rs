//! One attempt: a request at one replica, from its connection to the last byte of its answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_policy::{
    clock::Time,
    process::replicas::ReplicaKey,
    request::{attempt::Failure, forecast, wait},
};

use super::{
    Entry,
    abort::Ending,
    forward::Job,
    in_flight::Running,
    quarantine::ReplicaStart,
    relay::{self, Passage, Source, Stored},
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

/// Time without the head of an answer after which another replica is looked for. Five times the longest objective of
/// today, and short of the time after which callers give up.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Answers to earlier requests that are passed over on one connection.
const MAX_CROSSED: u32 = 2;
/// Largest answer to an earlier request that is read to pass over it, in bytes.
const MAX_SKIPPED: usize = 256 << 10;

/// How an attempt ended, or paused.
pub enum Ended {
    /// The whole answer went out to the caller.
    Answered(u16),
    /// No answer that can be passed on as it is; a replica's own failure is kept.
    Failed(Failure, Option<Stored>),
    /// Nobody takes an answer any more, or nobody can go on with the one that went out in part.
    Gone(Ending),
    /// Nothing came from the replica for some time. The attempt can go on.
    Silent,
    /// The request's time is over.
    TimedOut,
}

/// When a replica is to begin an answer.
#[derive(Clone, Copy, Debug)]
pub struct FirstTokenForecast {
    /// When the request was sent.
    pub sent: Time,
    /// Time until the first token by the published speed, in milliseconds.
    pub after_ms: f64,
}

/// A request at a replica.
pub struct Attempt {
    /// The replica.
    pub replica: ReplicaKey,
    /// The start of the replica that has the request.
    pub(super) start: Option<ReplicaStart>,
    /// Whether its silence was counted as a failure.
    pub counted: bool,
    pub(super) link: Link,
    pub(super) running: Running,
    /// When it is to begin its answer, until it does.
    pub(super) expected: Option<FirstTokenForecast>,
    stage: Stage,
}

enum Stage {
    /// The head of the answer is not here.
    Asking(Asking),
    Answering(Passage),
    /// The replica said that it ran nothing.
    Unrun {
        head: Response,
        /// Whether all of the request went out.
        whole: bool,
    },
}

struct Asking {
    /// Id under which the replica was listed.
    id: Rc<str>,
    request: Bytes,
    /// Bytes of the request that went out.
    sent: usize,
    /// Answers to earlier requests that were passed over.
    crossed: u32,
    begun: Time,
}

impl Attempt {
    /// Connects to a replica, and makes the request ready for it.
    pub async fn begin(
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        replica: ReplicaKey,
    ) -> Result<Attempt, Ended> {
        let Some((address, id)) = entry.replica_address(replica) else {
            return Err(Ended::Failed(Failure::Unsent, None));
        };
        // A caller may have left while its request waited to be read, or during an earlier attempt.
        if caller.has_gone() {
            return Err(Ended::Gone(Ending::CallerLeft));
        }
        let start = entry.replica_start(replica);
        let expected = expect(entry, job, replica);
        let running = entry.running(replica, job.prompt_tokens);
        let link = connected(entry, caller, job, replica, address).await?;
        let now = entry.node.clock.now();
        // The processor may have been away since the connection was there.
        if job.deadline <= now {
            return Err(Ended::Failed(Failure::Unsent, None));
        }
        if caller.has_gone() {
            return Err(Ended::Gone(Ending::CallerLeft));
        }
        let request = encode(entry, job, &id);
        entry.count_to_replica(Purpose::Requests, replica, request.len());
        Ok(Attempt {
            replica,
            start,
            counted: false,
            link,
            running,
            expected,
            stage: Stage::Asking(Asking {
                id,
                request,
                sent: 0,
                crossed: 0,
                begun: now,
            }),
        })
    }

    /// Goes on until the answer is whole, or something else ends or delays it.
    pub async fn drive(&mut self, entry: &Rc<Entry>, caller: &mut Wire, job: &mut Job) -> Ended {
        if let Err(ended) = self.ask(entry, caller, job).await {
            return ended;
        }
        let quiet = self.silence(job);
        match &mut self.stage {
            Stage::Asking(_) | Stage::Unrun { .. } => Ended::Failed(Failure::Broken, None),
            Stage::Answering(passage) => {
                let source = Source {
                    link: &mut self.link,
                    running: &self.running,
                    expected: &mut self.expected,
                };
                passage.pass(entry, caller, job, source, quiet).await
            }
        }
    }

    /// Sends the request and waits for the head of an answer that can be passed on; after a silence it goes on when it is
    /// called again.
    pub async fn ask(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &Job,
    ) -> Result<(), Ended> {
        if matches!(self.stage, Stage::Answering(_)) {
            return Ok(());
        }
        let head = self.head(entry, caller, job).await?;
        let Stage::Asking(asking) = &self.stage else {
            return Ok(());
        };
        let whole = asking.sent == asking.request.len();
        if let Some(failure) = not_run(entry, &head, &asking.id) {
            self.stage = Stage::Unrun { head, whole };
            return Err(Ended::Failed(failure, None));
        }
        let seal = entry.node.platform.headers.seal;
        if (200..300).contains(&head.status) && head.fields.get(seal).is_none() {
            return Err(Ended::Failed(Failure::Broken, None));
        }
        let passage = Passage::of(job, head, whole)?;
        self.stage = Stage::Answering(passage);
        Ok(())
    }

    /// Waits until the replica sends something; gives whether it did before its connection ended.
    pub async fn speaks(&mut self) -> bool {
        tokio::select! {
            read = self.link.wire.fill() => matches!(read, Ok(1..)),
            () = self.running.ended() => false,
        }
    }

    /// The answer is whole: keeps the connection unless there are bytes that belong to nothing.
    pub fn finish(self, entry: &Entry) {
        let now = entry.node.clock.now();
        entry.replicas.borrow_mut().succeeded(self.replica, now);
        if let Stage::Answering(passage) = &self.stage
            && passage.keeps()
            && self.link.wire.buffer.is_empty()
        {
            entry.pool.keep(self.link, passage.keep_alive_ms());
        }
    }

    /// Ends the attempt: the replica is to stop at once.
    pub fn abandon(self) {
        self.link.wire.abandon();
    }

    /// Ends the attempt after a failure, or with its caller: what was asked for and has not begun is taken back.
    pub fn close(self, entry: &Entry, job: &Job) {
        match &self.stage {
            Stage::Asking(_) => self.abandon(),
            Stage::Answering(_) => {}
            Stage::Unrun { head, whole } => {
                let method = &job.received.head.method;
                relay::discard(entry, self.link, head, method, *whole);
            }
        }
    }

    /// Time without a byte after which another replica is looked for; `None` where nobody else could go on, so that
    /// the end of a silence is no reason to end the answer.
    fn silence(&self, job: &Job) -> Option<Duration> {
        let used = job.progress.attempts + u32::from(!self.counted);
        let spare = job.route.kind.repeatable() && used < job.progress.max_attempts;
        let first = match &self.stage {
            Stage::Asking(_) | Stage::Unrun { .. } => PATIENCE,
            Stage::Answering(passage) => passage.silence()?,
        };
        let silence = match self.counted {
            true => Duration::from_millis(wait::LOOK_MS),
            false => first,
        };
        spare.then_some(silence)
    }

    async fn head(
        &mut self,
        entry: &Entry,
        caller: &mut Wire,
        job: &Job,
    ) -> Result<Response, Ended> {
        let silence = self.silence(job);
        let Stage::Asking(asking) = &mut self.stage else {
            return Err(Ended::Failed(Failure::Broken, None));
        };
        let link = &mut self.link;
        let now = entry.node.clock.now();
        // One that was silent already is listened to for a moment more.
        let since = if self.counted { now } else { asking.begun };
        let patience = silence.map_or(job.deadline, |it| job.deadline.min(since.after(it)));
        let expiry = begin_by(entry, job, self.replica);
        let timers = &entry.node.timers;
        let patient = timers.sleep_until(expiry.map_or(patience, |it| it.min(patience)));
        tokio::pin!(patient);
        loop {
            if let Some(head) = head::response(&mut link.wire.buffer)
                .map_err(|_| Ended::Failed(Failure::Broken, None))?
            {
                if (100..200).contains(&head.status) {
                    continue;
                }
                if is_own(entry, job, &head) {
                    return Ok(head);
                }
                asking.crossed += 1;
                if MAX_CROSSED < asking.crossed
                    || !skip(entry, caller, link, &head, job.deadline).await
                {
                    return Err(Ended::Failed(Failure::Broken, None));
                }
                continue;
            }
            tokio::select! {
                biased;
                () = caller.gone() => return Err(Ended::Gone(Ending::CallerLeft)),
                moved = link.wire.exchange(&asking.request[asking.sent..]) => match moved {
                    Ok(Moved::Sent(count)) => asking.sent += count,
                    Ok(Moved::Read(0)) | Err(_) => return Err(ended(link, asking.sent)),
                    Ok(Moved::Read(_)) => {}
                },
                () = self.running.ended() => return Err(ended(link, asking.sent)),
                () = &mut patient => {
                    let now = entry.node.clock.now();
                    if job.deadline <= now {
                        return Err(Ended::TimedOut);
                    }
                    // After a pause of this process the runtime may know the time before what came meanwhile.
                    if patience <= now && !link.wire.pending() {
                        return Err(Ended::Silent);
                    }
                    if begin_by(entry, job, self.replica).is_some_and(|it| it <= now) {
                        return Err(Ended::Failed(Failure::Outdated, None));
                    }
                    // The replica has newer weights by now, or its answer is about to be read.
                    patient.set(timers.sleep_until(patience.max(now.after_ms(wait::LOOK_MS))));
                }
            }
        }
    }
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

/// When a replica is to begin the answer, for services that run a model.
fn expect(entry: &Entry, job: &mut Job, replica: ReplicaKey) -> Option<FirstTokenForecast> {
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
