//! A replica's answer, on its way to the caller.

use std::{rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_daemon::clock::Timers;
use gradeloft_policy::{clock::Time, request::attempt::Failure};

use super::{Entry, attempt::Ended, ending::Ending, forward::Job, running::Running};
use crate::{
    events::Splitter,
    h1::{
        body::{Decoder, Framing, LAST_CHUNK, Piece, put_chunk},
        head::{Response, put},
        wire::Wire,
    },
    pool::Link,
    traffic::Purpose,
};

/// Largest plain answer that is read whole before it goes out, in bytes. A larger one goes out as it
/// comes.
const MAX_STORED: usize = 512 << 10;
/// Pause in a stream after which it is resumed at another replica. Callers leave after two seconds.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Longest time for a stored answer to go out.
const SEND: Duration = Duration::from_secs(2);

/// A whole answer that is held, in case no other replica gives a better one.
pub struct Stored {
    head: Response,
    body: Bytes,
}

impl Stored {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Sends it to the caller; gives whether it went out.
    pub async fn send(&self, timers: &Timers, caller: &mut Wire, close: bool) -> bool {
        let bytes = self.encode(close);
        matches!(timers.timeout(SEND, caller.send(&bytes)).await, Ok(Ok(())))
    }

    fn encode(&self, close: bool) -> Bytes {
        let mut out = BytesMut::with_capacity(512 + self.body.len());
        put_head(&mut out, &self.head, close);
        if !matches!(self.head.status, 204 | 304) {
            let length = self.body.len().to_string();
            put(&mut out, b"Content-Length", length.as_bytes());
        }
        out.put_slice(b"\r\n");
        out.put_slice(&self.body);
        out.freeze()
    }
}

/// Passes an answer on; `whole` tells whether all of the request went out.
pub async fn relay(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    running: &Running,
    link: Link,
    head: Response,
    whole: bool,
) -> Ended {
    let Ok(framing) = Framing::of_response(&head, &job.received.head.method) else {
        return Ended::Failed(Failure::Broken, None);
    };
    let source = Source {
        entry,
        decoder: Decoder::new(framing),
        keep: whole && head.keeps() && framing != Framing::Close,
        keep_alive_ms: head.keep_alive_ms(),
        link,
        running,
    };
    if job.route.kind.streams() && head.status == 200 {
        stream(entry, caller, job, source, &head).await
    } else if job.head_sent {
        // A resumed stream needs a stream.
        Ended::Failed(Failure::Failed, None)
    } else {
        plain(entry, caller, job, source, head).await
    }
}

/// Drops an answer that is not passed on, and keeps its connection if nothing more comes on it.
pub fn discard(entry: &Entry, mut link: Link, head: &Response, method: &[u8], whole: bool) {
    let Ok(framing) = Framing::of_response(head, method) else {
        return;
    };
    let mut decoder = Decoder::new(framing);
    while let Ok(Piece::Data(_)) = decoder.take(&mut link.wire.buffer) {}
    if whole && head.keeps() && decoder.done() && link.wire.buffer.is_empty() {
        entry.pool.keep(link, head.keep_alive_ms());
    }
}

/// A replica's connection while its answer is read.
struct Source<'a> {
    entry: &'a Entry,
    link: Link,
    running: &'a Running,
    decoder: Decoder,
    /// Whether the connection can be kept once the answer is whole.
    keep: bool,
    keep_alive_ms: Option<u64>,
}

/// What reading on gave.
enum Read {
    /// The connection ended or was reset before the answer was whole.
    Broken,
    Data(Bytes),
    End,
    Gone,
    /// Nothing came for too long.
    Silent,
    TimedOut,
}

impl Source<'_> {
    /// The next piece of the answer.
    async fn next(&mut self, caller: &mut Wire, deadline: Time, silence: Duration) -> Read {
        let node = &self.entry.node;
        loop {
            if let Some(read) = self.next_here() {
                return read;
            }
            let until = deadline.min(node.clock.now().after(silence));
            tokio::select! {
                biased;
                read = self.link.wire.fill() => match read {
                    Ok(0) if self.decoder.closed() => return Read::End,
                    Ok(0) | Err(_) => return Read::Broken,
                    Ok(_) => {}
                },
                () = caller.gone() => return Read::Gone,
                () = self.running.ended() => return Read::Broken,
                () = node.timers.sleep_until(until) => {
                    return if deadline <= node.clock.now() { Read::TimedOut } else { Read::Silent };
                }
            }
        }
    }

    /// The next piece, if it is here already.
    fn next_here(&mut self) -> Option<Read> {
        match self.decoder.take(&mut self.link.wire.buffer) {
            Ok(Piece::Data(data)) => Some(Read::Data(data)),
            Ok(Piece::End) => Some(Read::End),
            Err(_) => Some(Read::Broken),
            Ok(Piece::More) => None,
        }
    }

    /// Counts bytes of the answer.
    fn count(&self, job: &mut Job, bytes: usize) {
        job.heard = Some(self.entry.node.clock.now());
        let replica = self.link.replica();
        self.entry
            .count_to_replica(Purpose::Answers, replica, bytes);
    }

    /// The answer is whole: keeps the connection unless there are bytes that belong to nothing.
    fn finish(self, entry: &Entry) {
        let replica = self.link.replica();
        let now = entry.node.clock.now();
        entry.replicas.borrow_mut().succeeded(replica, now);
        if self.keep && self.link.wire.buffer.is_empty() {
            entry.pool.keep(self.link, self.keep_alive_ms);
        }
    }
}

async fn plain(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    mut source: Source<'_>,
    head: Response,
) -> Ended {
    let deadline = job.deadline;
    let mut body = BytesMut::new();
    loop {
        match source.next(caller, deadline, SILENCE.max(SEND)).await {
            Read::Data(data) => {
                source.count(job, data.len());
                body.extend_from_slice(&data);
                if MAX_STORED < body.len() {
                    return pass_through(entry, caller, job, source, &head, body).await;
                }
            }
            Read::End => break,
            Read::Gone => return Ended::Gone(Ending::CallerLeft),
            Read::TimedOut => return Ended::TimedOut,
            Read::Broken => return Ended::Failed(Failure::Broken, None),
            Read::Silent => return Ended::Failed(Failure::Silent, None),
        }
    }
    source.finish(entry);
    let stored = Stored {
        head,
        body: body.freeze(),
    };
    if 500 <= stored.status() && job.route.kind.repeatable() {
        return Ended::Failed(Failure::Failed, Some(stored));
    }
    job.first_byte = Some(entry.node.clock.now());
    let close = !job.keeps || entry.node.leaving.get();
    let status = stored.status();
    if stored.send(&entry.node.timers, caller, close).await {
        Ended::Answered(status)
    } else {
        Ended::Gone(Ending::CallerStalled)
    }
}

/// Passes a large answer on as it comes.
async fn pass_through(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    mut source: Source<'_>,
    head: &Response,
    first: BytesMut,
) -> Ended {
    let deadline = job.deadline;
    let mut out = chunked_head(entry, job, head);
    put_chunk(&mut out, &first);
    job.first_byte = Some(entry.node.clock.now());
    job.head_sent = true;
    loop {
        if !send(entry, caller, &out, deadline).await {
            return Ended::Gone(Ending::CallerStalled);
        }
        out.clear();
        match source.next(caller, deadline, SEND).await {
            Read::Data(data) => {
                source.count(job, data.len());
                put_chunk(&mut out, &data);
            }
            Read::End => break,
            Read::Gone => return Ended::Gone(Ending::CallerLeft),
            Read::TimedOut => return Ended::TimedOut,
            // The part that went out can't be taken back, so nobody else can go on.
            Read::Broken => return Ended::Gone(Ending::Replica(Failure::Broken)),
            Read::Silent => return Ended::Gone(Ending::Replica(Failure::Silent)),
        }
    }
    source.finish(entry);
    if send(entry, caller, LAST_CHUNK, deadline).await {
        Ended::Answered(head.status)
    } else {
        Ended::Gone(Ending::CallerStalled)
    }
}

/// Passes a stream on event by event, so that another replica can go on after the last one.
async fn stream(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    mut source: Source<'_>,
    head: &Response,
) -> Ended {
    let deadline = job.deadline;
    let mut splitter = Splitter::default();
    let mut out = BytesMut::new();
    let mut here = None;
    loop {
        let read = match here.take() {
            Some(read) => read,
            None => source.next(caller, deadline, SILENCE).await,
        };
        let ended = match read {
            Read::Data(data) => {
                source.count(job, data.len());
                entry.heard_replica(source.link.replica());
                source.running.begun();
                if let Some(expected) = job.expected.take() {
                    entry.began(source.link.replica(), expected);
                }
                splitter.feed(&data);
                false
            }
            Read::End => true,
            Read::Gone => return Ended::Gone(Ending::CallerLeft),
            Read::TimedOut => return Ended::TimedOut,
            Read::Broken => return Ended::Failed(Failure::Broken, None),
            Read::Silent => return Ended::Failed(Failure::Silent, None),
        };
        if job.cursor.pass(&mut splitter, &mut out).is_err() {
            return Ended::Failed(Failure::Broken, None);
        }
        if ended && splitter.partial() {
            return Ended::Failed(Failure::Broken, None);
        }
        // Events that are here already go out together.
        here = if ended { None } else { source.next_here() };
        if here.is_some() {
            continue;
        }
        let mut bytes = BytesMut::new();
        if !job.head_sent && (ended || !out.is_empty()) {
            bytes = chunked_head(entry, job, head);
            job.head_sent = true;
            job.first_byte = Some(entry.node.clock.now());
            job.version = entry.version_of(source.link.replica());
        }
        put_chunk(&mut bytes, &out);
        out.clear();
        if ended {
            bytes.put_slice(LAST_CHUNK);
        }
        if !bytes.is_empty() && !send(entry, caller, &bytes, deadline).await {
            return Ended::Gone(Ending::CallerStalled);
        }
        if ended {
            source.finish(entry);
            return Ended::Answered(head.status);
        }
    }
}

async fn send(entry: &Entry, caller: &mut Wire, bytes: &[u8], deadline: Time) -> bool {
    let timers = &entry.node.timers;
    let sent = timers.timeout_at(deadline, caller.send(bytes)).await;
    matches!(sent, Ok(Ok(())))
}

fn chunked_head(entry: &Entry, job: &Job, head: &Response) -> BytesMut {
    let mut out = BytesMut::with_capacity(512);
    put_head(&mut out, head, !job.keeps || entry.node.leaving.get());
    put(&mut out, b"Transfer-Encoding", b"chunked");
    out.put_slice(b"\r\n");
    out
}

fn put_head(out: &mut BytesMut, head: &Response, close: bool) {
    out.put_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    out.put_slice(&head.reason);
    out.put_slice(b"\r\n");
    for header in head.fields.forwarded(&["content-length"]) {
        put(out, &header.name, &header.value);
    }
    if close {
        put(out, b"Connection", b"close");
    }
}
