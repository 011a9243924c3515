//! A replica's answer, on its way to the caller.

use std::{rc::Rc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use gradeloft_policy::{clock::Time, request::attempt::Failure};

use super::{
    Entry,
    abort::Ending,
    attempt::{Ended, FirstTokenForecast},
    forward::Job,
    in_flight::Running,
};
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
/// Pause in a stream after which another replica is looked for to go on with it. Callers leave after two seconds.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Pause in a plain answer after which another replica is looked for.
const PLAIN_SILENCE: Duration = Duration::from_secs(2);
/// Shortest time that a stored answer has to go out; it may also use all of its request's.
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
    pub async fn send(&self, entry: &Entry, caller: &mut Wire, job: &Job, close: bool) -> bool {
        let bytes = self.encode(close);
        let least = entry.node.clock.now().after(SEND);
        send(entry, caller, &bytes, job.deadline.max(least)).await
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

/// Drops an answer that is not passed on, and keeps its connection if nothing more comes on it.
pub(super) fn discard(entry: &Entry, mut link: Link, head: &Response, method: &[u8], whole: bool) {
    let Ok(framing) = Framing::of_response(head, method) else {
        return;
    };
    let mut decoder = Decoder::new(framing);
    while let Ok(Piece::Data(_)) = decoder.take(&mut link.wire.buffer) {}
    if whole && head.keeps() && decoder.done() && link.wire.buffer.is_empty() {
        entry.pool.keep(link, head.keep_alive_ms());
    }
}

/// A replica's answer while it is passed on.
pub(super) struct Passage {
    head: Response,
    decoder: Decoder,
    /// Whether the connection can be kept once the answer is whole.
    keep: bool,
    form: Form,
}

/// How an answer is passed on.
enum Form {
    /// Read whole first, so that another replica may give a better one.
    Plain(BytesMut),
    /// As it comes, since it is large: nobody can go on with it.
    Large,
    /// Event by event, so that another replica can go on after the last one.
    Stream(Splitter),
}

/// Where an answer comes from.
pub(super) struct Source<'a> {
    /// The connection.
    pub(super) link: &'a mut Link,
    /// The request's place at the replica.
    pub(super) running: &'a Running,
    /// When the answer is to begin, until it does.
    pub(super) expected: &'a mut Option<FirstTokenForecast>,
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

impl Read {
    /// How an attempt ends with it, unless it brought something.
    fn ended(&self) -> Option<Ended> {
        match self {
            Read::Data(_) | Read::End => None,
            Read::Broken => Some(Ended::Failed(Failure::Broken, None)),
            Read::Gone => Some(Ended::Gone(Ending::CallerLeft)),
            Read::Silent => Some(Ended::Silent),
            Read::TimedOut => Some(Ended::TimedOut),
        }
    }
}

impl Passage {
    /// An answer whose head came; `whole` tells whether all of the request went out.
    pub(super) fn of(job: &Job, head: Response, whole: bool) -> Result<Passage, Ended> {
        let framing = Framing::of_response(&head, &job.received.head.method)
            .map_err(|_| Ended::Failed(Failure::Broken, None))?;
        let streams = job.route.kind.streams() && head.status == 200;
        if job.head_sent && !streams {
            // A resumed stream needs a stream.
            return Err(Ended::Failed(Failure::Failed, None));
        }
        Ok(Passage {
            decoder: Decoder::new(framing),
            keep: whole && head.keeps() && framing != Framing::Close,
            form: match streams {
                true => Form::Stream(Splitter::default()),
                false => Form::Plain(BytesMut::new()),
            },
            head,
        })
    }

    /// Whether the connection can be kept once the answer is whole.
    pub(super) fn keeps(&self) -> bool {
        self.keep && self.decoder.done()
    }

    /// How long the replica keeps the connection, as it said, in milliseconds.
    pub(super) fn keep_alive_ms(&self) -> Option<u64> {
        self.head.keep_alive_ms()
    }

    /// Time without a byte after which another replica is looked for; `None` where none could go on.
    pub(super) fn silence(&self) -> Option<Duration> {
        match self.form {
            Form::Large => None,
            Form::Plain(_) => Some(PLAIN_SILENCE),
            Form::Stream(_) => Some(SILENCE),
        }
    }

    /// Passes the answer on until it is whole, or nothing came for `silence`; goes on when it is called again.
    pub(super) async fn pass(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        source: Source<'_>,
        silence: Option<Duration>,
    ) -> Ended {
        match self.form {
            Form::Stream(_) => self.stream(entry, caller, job, source, silence).await,
            Form::Plain(_) => self.plain(entry, caller, job, source, silence).await,
            Form::Large => self.large(entry, caller, job, source).await,
        }
    }

    /// The next piece of the answer.
    async fn next(
        &mut self,
        entry: &Entry,
        caller: &mut Wire,
        deadline: Time,
        source: &mut Source<'_>,
        silence: Option<Duration>,
    ) -> Read {
        let node = &entry.node;
        let Source { link, running, .. } = source;
        loop {
            if let Some(read) = self.next_here(link) {
                return read;
            }
            let now = node.clock.now();
            let until = silence.map_or(deadline, |it| deadline.min(now.after(it)));
            tokio::select! {
                biased;
                read = link.wire.fill() => match read {
                    Ok(0) if self.decoder.closed() => return Read::End,
                    Ok(0) | Err(_) => return Read::Broken,
                    Ok(_) => {}
                },
                () = caller.gone() => return Read::Gone,
                () = running.ended() => return Read::Broken,
                () = node.timers.sleep_until(until) => {
                    if deadline <= node.clock.now() {
                        return Read::TimedOut;
                    }
                    // After a pause of this process the runtime may know the time before what came meanwhile.
                    if !link.wire.pending() {
                        return Read::Silent;
                    }
                }
            }
        }
    }

    /// The next piece, if it is here already.
    fn next_here(&mut self, link: &mut Link) -> Option<Read> {
        match self.decoder.take(&mut link.wire.buffer) {
            Ok(Piece::Data(data)) => Some(Read::Data(data)),
            Ok(Piece::End) => Some(Read::End),
            Err(_) => Some(Read::Broken),
            Ok(Piece::More) => None,
        }
    }

    async fn plain(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut source: Source<'_>,
        silence: Option<Duration>,
    ) -> Ended {
        loop {
            let read = self
                .next(entry, caller, job.deadline, &mut source, silence)
                .await;
            if let Some(ended) = read.ended() {
                return ended;
            }
            let Form::Plain(body) = &mut self.form else {
                return Ended::Failed(Failure::Broken, None);
            };
            let Read::Data(data) = read else { break };
            count(entry, job, source.link, data.len());
            body.extend_from_slice(&data);
            if MAX_STORED < body.len() {
                return self.begin_large(entry, caller, job, source).await;
            }
        }
        let Form::Plain(body) = &mut self.form else {
            return Ended::Failed(Failure::Broken, None);
        };
        let stored = Stored {
            head: self.head.clone(),
            body: body.split().freeze(),
        };
        if 500 <= stored.status() && job.route.kind.repeatable() {
            return Ended::Failed(Failure::Failed, Some(stored));
        }
        job.first_byte = Some(entry.node.clock.now());
        job.closes = entry.closes(job);
        let status = stored.status();
        if stored.send(entry, caller, job, job.closes).await {
            Ended::Answered(status)
        } else {
            Ended::Gone(Ending::CallerStalled)
        }
    }

    /// Sends what is here of an answer that turns out large.
    async fn begin_large(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        source: Source<'_>,
    ) -> Ended {
        let mut out = chunked_head(entry, job, &self.head);
        if let Form::Plain(body) = &self.form {
            put_chunk(&mut out, body);
        }
        self.form = Form::Large;
        job.first_byte = Some(entry.node.clock.now());
        job.head_sent = true;
        if !send(entry, caller, &out, job.deadline).await {
            return Ended::Gone(Ending::CallerStalled);
        }
        self.large(entry, caller, job, source).await
    }

    async fn large(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut source: Source<'_>,
    ) -> Ended {
        let mut out = BytesMut::new();
        loop {
            let read = self
                .next(entry, caller, job.deadline, &mut source, None)
                .await;
            match read {
                Read::Data(data) => {
                    count(entry, job, source.link, data.len());
                    put_chunk(&mut out, &data);
                }
                Read::End => break,
                Read::Gone => return Ended::Gone(Ending::CallerLeft),
                Read::TimedOut => return Ended::TimedOut,
                // The part that went out can't be taken back, so nobody else can go on.
                Read::Broken | Read::Silent => {
                    return Ended::Gone(Ending::Replica(Failure::Broken));
                }
            }
            if !send(entry, caller, &out, job.deadline).await {
                return Ended::Gone(Ending::CallerStalled);
            }
            out.clear();
        }
        if send(entry, caller, LAST_CHUNK, job.deadline).await {
            Ended::Answered(self.head.status)
        } else {
            Ended::Gone(Ending::CallerStalled)
        }
    }

    async fn stream(
        &mut self,
        entry: &Rc<Entry>,
        caller: &mut Wire,
        job: &mut Job,
        mut source: Source<'_>,
        silence: Option<Duration>,
    ) -> Ended {
        let mut out = BytesMut::new();
        let mut here = None;
        loop {
            let read = match here.take() {
                Some(read) => read,
                None => {
                    self.next(entry, caller, job.deadline, &mut source, silence)
                        .await
                }
            };
            if let Some(ended) = read.ended() {
                return ended;
            }
            let Form::Stream(splitter) = &mut self.form else {
                return Ended::Failed(Failure::Broken, None);
            };
            if let Read::Data(data) = &read {
                heard(entry, job, &mut source, data.len());
                splitter.feed(data);
            }
            let whole = matches!(read, Read::End);
            if job.cursor.pass(splitter, &mut out).is_err() || (whole && splitter.partial()) {
                return Ended::Failed(Failure::Broken, None);
            }
            // Events that are here already go out together.
            here = if whole {
                None
            } else {
                self.next_here(source.link)
            };
            if here.is_some() {
                continue;
            }
            let mut bytes = BytesMut::new();
            if !job.head_sent && (whole || !out.is_empty()) {
                bytes = chunked_head(entry, job, &self.head);
                job.head_sent = true;
                job.first_byte = Some(entry.node.clock.now());
                job.version = entry.version_of(source.link.replica());
            }
            put_chunk(&mut bytes, &out);
            out.clear();
            if whole {
                bytes.put_slice(LAST_CHUNK);
            }
            if !bytes.is_empty() && !send(entry, caller, &bytes, job.deadline).await {
                return Ended::Gone(Ending::CallerStalled);
            }
            if whole {
                return Ended::Answered(self.head.status);
            }
        }
    }
}

/// Counts bytes of an answer.
fn count(entry: &Entry, job: &mut Job, link: &Link, bytes: usize) {
    job.heard = Some(entry.node.clock.now());
    entry.count_to_replica(Purpose::Answers, link.replica(), bytes);
}

/// A stream's bytes came: its replica is at work.
fn heard(entry: &Entry, job: &mut Job, source: &mut Source<'_>, bytes: usize) {
    let replica = source.link.replica();
    count(entry, job, source.link, bytes);
    entry.note_activity(replica);
    source.running.begun();
    if let Some(expected) = source.expected.take() {
        entry.record_response_start(replica, expected);
    }
}

async fn send(entry: &Entry, caller: &mut Wire, bytes: &[u8], deadline: Time) -> bool {
    let timers = &entry.node.timers;
    let sent = timers.timeout_at(deadline, caller.send(bytes)).await;
    matches!(sent, Ok(Ok(())))
}

fn chunked_head(entry: &Entry, job: &mut Job, head: &Response) -> BytesMut {
    job.closes = entry.closes(job);
    let mut out = BytesMut::with_capacity(512);
    put_head(&mut out, head, job.closes);
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
