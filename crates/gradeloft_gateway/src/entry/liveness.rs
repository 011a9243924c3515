//! Confirmation that a replica has not ended.
//!
//! A response without a length or chunks ends with its connection. The kernel of a process that was
//! killed closes its connections like a server that has finished, so the close alone does not show
//! that such a response is complete. An answer that the same start of the replica gives after the close
//! does. No answer, an answer of somebody else, and a replica that is unreachable don't.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

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
/// Pause before a replica is probed again after a connection failed, as at its limit of connections, or
/// after it refused the probe.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum size of the body of a response to a probe, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// One start of a replica, which can be probed also when it is no longer listed.
#[derive(Clone, Debug)]
pub(super) struct Target {
    key: ReplicaKey,
    /// Address at which the replica is listed.
    pub(super) address: SocketAddr,
    /// Id under which the replica is listed.
    pub(super) id: Rc<str>,
    /// Start time, if starts of replicas have times.
    born: Option<u64>,
    /// Whether the replica runs a model.
    has_model: bool,
    /// Paths of probes, in the order in which they are sent.
    paths: Vec<Path>,
}

/// Path of a probe.
#[derive(Clone, Debug)]
enum Path {
    /// Health checks, which need a free slot and name the replica.
    Health(Rc<str>),
    /// The replica's state, which may have the time of its start.
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

/// A response to a probe.
#[derive(Clone, Copy, Debug)]
struct ProbeResponse {
    answerer: Answerer,
    /// Whether the replica refused the probe, as it is full.
    refused: bool,
    /// Whether the response has what the probe asks for.
    served: bool,
    /// Whether the response has the time of a start.
    has_start_time: bool,
    /// Whether the connection can carry another request.
    reusable: bool,
    /// Keep-alive timeout that the response declares, in milliseconds.
    keep_alive_ms: Option<u64>,
}

impl Entry {
    /// Returns the current start of a replica; `None` if the replica is not listed.
    pub(super) fn probe_target(&self, key: ReplicaKey) -> Option<Target> {
        let replicas = self.replicas.borrow();
        let replica = replicas.get(key)?;
        let listing = &replica.listing;
        let config = self.config.borrow();
        let service = config.as_ref().and_then(|it| it.service(&listing.service));
        let state_path = self.node.platform.decoder.state_path();
        let state_path = state_path.filter(|_| listing.has_model || replica.born().is_some());
        let health_path = service.and_then(|it| it.health_path.clone());
        let paths = state_path.map(|it| Path::State(it.to_owned())).into_iter();
        Some(Target {
            key,
            address: listing.address,
            id: Rc::clone(&listing.id),
            born: replica.born(),
            has_model: listing.has_model,
            paths: paths.chain(health_path.map(Path::Health)).collect(),
        })
    }

    /// Probes whether a start of a replica runs; `sent_at` is the time at which a request was sent
    /// that it has answered.
    pub(super) async fn confirm_liveness(&self, target: &Target, sent_at: Time) -> Liveness {
        let timers = &self.node.timers;
        let until = self.node.clock.now().after(CONFIRM_TIMEOUT);
        let probing = async {
            loop {
                if let Some(liveness) = self.probe_once(target, sent_at).await {
                    return liveness;
                }
                let again_at = self.node.clock.now().after(RETRY_PAUSE);
                timers.sleep_until(again_at).await;
            }
        };
        let liveness = timers.timeout_at(until, probing).await;
        let liveness = liveness.unwrap_or(Liveness::Unconfirmed);
        let label = Reason {
            reason: liveness.name(),
        };
        let metrics = &self.node.metrics;
        metrics.closes.get_or_create(&label).inc();
        liveness
    }

    /// Probes once; `None` if a connection failed or the replica refused the probe, so that another
    /// probe may tell.
    async fn probe_once(&self, target: &Target, sent_at: Time) -> Option<Liveness> {
        let Some(first) = target.paths.first() else {
            return Some(Liveness::Unconfirmed);
        };
        // The process at the other end of a connection from before the request is the one that had it.
        while let Some(mut connection) = self.pool.take_older(target.key, sent_at) {
            let response = self.probe(&mut connection, target, first).await;
            if response.is_some_and(|it| it.served && it.answerer != Answerer::Other) {
                return Some(Liveness::Confirmed);
            }
        }
        self.node.metrics.connections.inc();
        let mut connection = match self.pool.connect(target.key, target.address).await {
            Ok(connection) => connection,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return Some(Liveness::Refused);
            }
            Err(_) => return None,
        };
        for path in &target.paths {
            let response = self.probe(&mut connection, target, path).await?;
            match response.answerer {
                Answerer::Same => {
                    if response.reusable {
                        self.pool.release(connection, response.keep_alive_ms);
                    }
                    return Some(Liveness::Confirmed);
                }
                Answerer::Other => return Some(Liveness::Replaced),
                Answerer::Unknown if response.refused => return None,
                // Starts have times, and that of the known one has not been learned.
                Answerer::Unknown if response.has_start_time => break,
                // The state of a model's replica tells whether starts have times.
                Answerer::Unknown if !response.served && target.has_model => break,
                Answerer::Unknown if !response.reusable => break,
                Answerer::Unknown => {}
            }
        }
        Some(Liveness::Unconfirmed)
    }

    /// Sends a probe and returns its response; `None` if the connection failed, or the response is
    /// not one to the probe.
    async fn probe(
        &self,
        connection: &mut ReplicaConnection,
        target: &Target,
        path: &Path,
    ) -> Option<ProbeResponse> {
        let headers = &self.node.platform.headers;
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n",
            path.text(),
            target.address,
            headers.target_replica,
            target.id
        );
        let wire = &mut connection.wire;
        wire.send(request.as_bytes()).await.ok()?;
        let head = loop {
            match head::response(&mut wire.buffer).ok()? {
                Some(head) if 200 <= head.status => break head,
                Some(_) => continue,
                None => {}
            }
            if wire.fill().await.ok()? == 0 {
                return None;
            }
        };
        // A late response to a request has the id of that request.
        if head.fields.get(headers.attempt_id).is_some() {
            return None;
        }
        let framing = Framing::of_response(&head, b"GET").ok()?;
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.take(&mut wire.buffer).ok()? {
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::End => break,
                Piece::More if MAX_BODY_BYTES < body.len() => return None,
                Piece::More => {
                    if wire.fill().await.ok()? == 0 && !decoder.finish_at_eof() {
                        return None;
                    }
                }
            }
        }
        let decode_born = |body: &[u8]| self.node.platform.decoder.born(body);
        let id = head.fields.get(headers.replica_id);
        let served = match path {
            Path::Health(_) => id.is_some(),
            Path::State(_) => head.status == 200,
        };
        let born = match path {
            Path::State(_) if served => decode_born(&body),
            _ => None,
        };
        // Replicas without a model may not serve their state. Their health has no time to compare.
        let compares_times = target.has_model || matches!(path, Path::State(_));
        let known = Identity {
            id: Some(&target.id),
            born: target.born.filter(|_| compares_times),
        };
        // A replica that is not the one which a request names responds with this status.
        let answerer = match head.status {
            421 => Answerer::Other,
            _ => known.compare(Identity { id, born }),
        };
        let is_reusable = head.keeps_connection() && framing != Framing::Close;
        Some(ProbeResponse {
            answerer,
            refused: matches!(head.status, 429 | 503),
            served,
            has_start_time: born.is_some(),
            reusable: is_reusable && wire.buffer.is_empty(),
            keep_alive_ms: head.keep_alive_ms(),
        })
    }
}
