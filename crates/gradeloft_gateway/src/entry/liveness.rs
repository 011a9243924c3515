//! Confirmation that a replica has not ended.
//!
//! A response without a length or chunks ends with its connection. The kernel of a process that was
//! killed closes its connections like a server that has finished, so the close alone does not show
//! that such a response is complete. An answer that the same start of the replica gives after the close
//! does. No answer, an answer of somebody else, and a replica that is unreachable don't.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::BytesMut;
use gradeloft_policy::{
    clock::Time,
    process::{
        replica_starts::{Answerer, Identity},
        replicas::ReplicaKey,
    },
};

use super::Entry;
use crate::{
    h1::{
        body::{Decoder, Framing, Piece},
        head,
    },
    metrics::Reason,
    pool::ReplicaConnection,
};

/// Time within which a replica has to confirm that it runs. Callers of a stream, which have all of its
/// events, give up after two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a replica is asked again after its connection failed, as at its limit of connections.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum size of a replica's state, in bytes.
const MAX_STATE_BYTES: usize = 64 << 10;

/// One start of a replica, which can be asked whether it runs also when it is no longer listed.
#[derive(Clone, Debug)]
pub(super) struct Start {
    key: ReplicaKey,
    /// Address at which the replica is listed.
    pub(super) address: SocketAddr,
    /// Id under which the replica is listed.
    pub(super) id: Rc<str>,
    /// Start time, if starts of replicas have times.
    born: Option<u64>,
    /// Paths at which the replica says who it is, in the order in which it is asked.
    paths: Vec<Path>,
}

/// A path at which a replica says who it is.
#[derive(Clone, Debug)]
enum Path {
    /// Health checks, which need a free slot and name the replica.
    Health(Rc<str>),
    /// The replica's state, which may name the time of its start.
    State(String),
}

impl Path {
    fn text(&self) -> &str {
        match self {
            Path::Health(path) => path,
            Path::State(path) => path,
        }
    }
}

/// Whether a start of a replica runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// It has answered.
    Confirmed,
    /// Nobody listens at its address.
    Refused,
    /// Another start, or another replica, has its address.
    Replaced,
    /// Nobody has answered in time, or the answer does not tell who gave it.
    Unconfirmed,
}

impl Liveness {
    /// Returns the name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Liveness::Confirmed => "confirmed",
            Liveness::Refused => "refused",
            Liveness::Replaced => "replaced",
            Liveness::Unconfirmed => "unconfirmed",
        }
    }
}

/// An answer at a replica's address.
#[derive(Clone, Copy, Debug)]
struct Answer {
    answerer: Answerer,
    /// Whether it has the time of the start that gives it.
    names_start: bool,
    /// Whether the connection can carry another request.
    reusable: bool,
    /// Keep-alive timeout that the answer declares, in milliseconds.
    keep_alive_ms: Option<u64>,
}

impl Entry {
    /// Returns the current start of a replica; `None` if the replica is not listed.
    pub(super) fn start_of(&self, key: ReplicaKey) -> Option<Start> {
        let replicas = self.replicas.borrow();
        let replica = replicas.get(key)?;
        let listing = &replica.listing;
        let config = self.config.borrow();
        let service = config.as_ref().and_then(|it| it.service(&listing.service));
        let state_path = self.node.platform.decoder.state_path();
        let state_path = state_path.filter(|_| listing.has_model || replica.born().is_some());
        let health_path = service.and_then(|it| it.health_path.clone());
        let paths = state_path.map(|it| Path::State(it.to_owned())).into_iter();
        Some(Start {
            key,
            address: listing.address,
            id: Rc::clone(&listing.id),
            born: replica.born(),
            paths: paths.chain(health_path.map(Path::Health)).collect(),
        })
    }

    /// Asks a start of a replica whether it runs; `sent_at` is the time at which a request was sent
    /// that it has answered.
    pub(super) async fn confirm_liveness(&self, start: &Start, sent_at: Time) -> Liveness {
        let timers = &self.node.timers;
        let until = self.node.clock.now().after(CONFIRM_TIMEOUT);
        let asking = async {
            loop {
                if let Some(liveness) = self.ask_start(start, sent_at).await {
                    return liveness;
                }
                let again_at = self.node.clock.now().after(RETRY_PAUSE);
                timers.sleep_until(again_at).await;
            }
        };
        let liveness = timers.timeout_at(until, asking).await;
        let liveness = liveness.unwrap_or(Liveness::Unconfirmed);
        let label = Reason {
            reason: liveness.name(),
        };
        let metrics = &self.node.metrics;
        metrics.closes.get_or_create(&label).inc();
        liveness
    }

    /// Asks once; `None` if a connection failed, which does not tell.
    async fn ask_start(&self, start: &Start, sent_at: Time) -> Option<Liveness> {
        let Some(first) = start.paths.first() else {
            return Some(Liveness::Unconfirmed);
        };
        // Whoever answers on a connection from before the request is the process that had it.
        while let Some(mut connection) = self.pool.take_older(start.key, sent_at) {
            if let Some(answer) = self.ask(&mut connection, start, first).await {
                self.release(connection, &answer);
                return Some(Liveness::Confirmed);
            }
        }
        let mut paths = start.paths.iter();
        let mut connection: Option<ReplicaConnection> = None;
        loop {
            let Some(path) = paths.next() else {
                return Some(Liveness::Unconfirmed);
            };
            let mut current = match connection.take() {
                Some(connection) => connection,
                None => match self.connect_to(start).await {
                    Ok(connection) => connection,
                    Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                        return Some(Liveness::Refused);
                    }
                    Err(_) => return None,
                },
            };
            let answer = self.ask(&mut current, start, path).await?;
            match answer.answerer {
                Answerer::Same => {
                    self.release(current, &answer);
                    return Some(Liveness::Confirmed);
                }
                Answerer::Other => return Some(Liveness::Replaced),
                // Starts have times, and that of the known one has not been learned.
                Answerer::Unknown if answer.names_start => return Some(Liveness::Unconfirmed),
                Answerer::Unknown => connection = answer.reusable.then_some(current),
            }
        }
    }

    async fn connect_to(&self, start: &Start) -> io::Result<ReplicaConnection> {
        self.node.metrics.connections.inc();
        self.pool.connect(start.key, start.address).await
    }

    fn release(&self, connection: ReplicaConnection, answer: &Answer) {
        if answer.reusable {
            self.pool.release(connection, answer.keep_alive_ms);
        }
    }

    /// Sends a request for a replica's state or health, and returns who has answered; `None` if
    /// the connection failed.
    async fn ask(
        &self,
        connection: &mut ReplicaConnection,
        start: &Start,
        path: &Path,
    ) -> Option<Answer> {
        let headers = &self.node.platform.headers;
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n",
            path.text(),
            start.address,
            headers.target_replica,
            start.id
        );
        let wire = &mut connection.wire;
        wire.send(request.as_bytes()).await.ok()?;
        let head = loop {
            match head::response(&mut wire.buffer).ok()? {
                Some(head) if 200 <= head.status => break head,
                Some(_) => {}
                None if wire.fill().await.ok()? == 0 => return None,
                None => {}
            }
        };
        let framing = Framing::of_response(&head, b"GET").ok()?;
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.take(&mut wire.buffer).ok()? {
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::End => break,
                Piece::More if MAX_STATE_BYTES < body.len() => return None,
                Piece::More if wire.fill().await.ok()? == 0 => {
                    if !decoder.finish_at_eof() {
                        return None;
                    }
                }
                Piece::More => {}
            }
        }
        let is_state = matches!(path, Path::State(_)) && head.status == 200;
        let known = Identity {
            id: Some(&start.id),
            born: start.born,
        };
        let said = Identity {
            id: head.fields.get(headers.replica_id),
            born: is_state
                .then(|| self.node.platform.decoder.born(&body))
                .flatten(),
        };
        // A replica that is not the one which a request names responds with this status.
        let answerer = match head.status {
            421 => Answerer::Other,
            _ => known.compare(said),
        };
        let is_reusable = head.keeps_connection() && framing != Framing::Close;
        Some(Answer {
            answerer,
            names_start: said.born.is_some(),
            reusable: is_reusable && wire.buffer.is_empty(),
            keep_alive_ms: head.keep_alive_ms(),
        })
    }
}
