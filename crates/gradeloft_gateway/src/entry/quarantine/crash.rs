//! Detection of replica crashes during requests.

use std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::replicas::{Replica, ReplicaKey},
    request::quarantine::{self, Blame, Subjects},
};
use gradeloft_wire::quarantine::Subject;
use slog::warn;
use tokio::{net::TcpStream, time::timeout};

use super::ExclusiveAttempt;
use crate::{
    entry::{Entry, attempt::Attempt, forward::Job},
    logs::Topic,
    metrics::Reason,
    node::tables::Source,
};

/// Delays from the loss of a request to each probe of the replica's port. A process that ends
/// closes its sockets one after the other, including the listening socket, so a single early probe
/// can still find the port open.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(300)];
/// Time after the loss of a request, in milliseconds, during which other requests may still read
/// data that the replica sent before it crashed.
const READ_GRACE_MS: u64 = 15;
/// Connect timeout of a probe, the same as for requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after the loss of a request, in milliseconds, within which the end of its replica is blamed
/// on the request: the platform delists a replica 3.6 s after its last heartbeat, and entries learn
/// of the delisting a second later.
const LOSS_WINDOW_MS: u64 = 6_000;

/// Time within which replicas that fail together lose their requests at this entry, in milliseconds.
const AT_ONCE_MS: u64 = 25;

/// Evidence that a start of a replica has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::entry) enum Evidence {
    /// The platform no longer lists the replica.
    Gone,
    /// The replica's address refuses connections.
    Refused,
    /// The replica has restarted.
    StartedAgain,
}

impl Evidence {
    fn name(self) -> &'static str {
        match self {
            Evidence::Gone => "gone",
            Evidence::Refused => "refused",
            Evidence::StartedAgain => "started again",
        }
    }
}

/// One start of a replica, as of the time when a request is sent to it.
#[derive(Clone, Copy, Debug)]
pub(in crate::entry) struct ReplicaStart {
    key: ReplicaKey,
    hash: u32,
    address: SocketAddr,
    /// Whether the replica is draining; its planned stop is not blamed on a request.
    draining: bool,
}

/// A request whose connection to a replica ended.
pub(super) struct LostRequest {
    subjects: Subjects,
    /// Whether the response had been flowing for a while.
    was_flowing: bool,
    /// Held until it is certain whether the replica crashed.
    _exclusive: Option<ExclusiveAttempt>,
}

/// Requests that were lost at one start of a replica.
pub(super) struct LostRequests {
    hash: u32,
    since: Time,
    pub(super) requests: Vec<LostRequest>,
    /// Whether a probe of the replica's address is in progress.
    probing: bool,
}

impl Entry {
    /// Returns the current start of a replica, before a request is sent to it.
    pub(in crate::entry) fn replica_start(&self, key: ReplicaKey) -> Option<ReplicaStart> {
        let replicas = self.replicas.borrow();
        let replica = replicas.get(key)?;
        Some(ReplicaStart {
            key,
            hash: replica.hash(),
            address: replica.listing.address,
            draining: replica.listing.draining,
        })
    }

    /// Records that a replica answered a request, which shows that the request does not crash replicas.
    pub(in crate::entry) fn record_answer(&self, job: &Job, attempt: &Attempt, status: u16) {
        let is_success = (200..300).contains(&status);
        let is_cleared = |it| is_success || matches!(it, Subject::Request(_));
        self.clear(job, attempt.sent_at, is_cleared);
    }

    /// Records a request that was lost with its connection, unless the replica's end is planned, and probes
    /// whether the replica has crashed.
    pub(in crate::entry) fn record_lost_request(
        self: &Rc<Entry>,
        job: &mut Job,
        attempt: &Attempt,
    ) {
        let Some(start) = attempt.start else {
            return;
        };
        let leaving = |it: &Replica| it.throttle.leaving.value();
        if start.draining || self.replicas.borrow().get(start.key).is_some_and(leaving) {
            return;
        }
        let now = self.node.clock.now();
        self.note_loss(start.key, now);
        let mut all = self.quarantine.lost.borrow_mut();
        let lost = all.entry(start.key).or_insert_with(|| LostRequests {
            hash: start.hash,
            since: now,
            requests: Vec::new(),
            probing: false,
        });
        lost.since = now;
        lost.requests.push(LostRequest {
            subjects: job.subjects(&self.node.platform.headers).clone(),
            was_flowing: attempt.is_flowing(),
            _exclusive: job.exclusive_attempt.take(),
        });
        let probe = !std::mem::replace(&mut lost.probing, true);
        drop(all);
        if self.replicas.borrow().get(start.key).is_none() {
            self.replica_ended(start.key, Evidence::Gone);
        } else if probe {
            let probing = Rc::clone(self).probe_replica(start, now);
            self.node.scope.spawn(probing);
        }
    }

    fn note_loss(&self, key: ReplicaKey, now: Time) {
        let mut losses = self.quarantine.recent_losses.borrow_mut();
        while losses
            .front()
            .is_some_and(|it| it.1.after_ms(LOSS_WINDOW_MS) < now)
        {
            losses.pop_front();
        }
        losses.push_back((key, now));
    }

    /// Returns whether many replicas lost requests of this entry at `at`.
    fn is_mass_failure(&self, at: Time) -> bool {
        let losses = self.quarantine.recent_losses.borrow();
        let (from, to) = (at.before_ms(AT_ONCE_MS), at.after_ms(AT_ONCE_MS));
        let at_once = losses.iter().filter(|it| from <= it.1 && it.1 <= to);
        let crashed = at_once
            .map(|it| it.0)
            .collect::<HashSet<ReplicaKey>>()
            .len();
        let replicas = self.replicas.borrow();
        let in_use = replicas
            .iter()
            .filter(|(_, it)| 0 < it.own_requests)
            .count();
        quarantine::is_mass_failure(crashed, crashed + in_use)
    }

    /// Probes whether a replica that lost a request still accepts connections, unless it proves to
    /// be alive first.
    async fn probe_replica(self: Rc<Entry>, start: ReplicaStart, lost_at: Time) {
        for after in PROBE_DELAYS {
            self.node.timers.sleep_until(lost_at.after(after)).await;
            if self.is_alive(start.key) {
                self.replica_lives(start.key);
                return;
            }
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(start.address)).await;
            let refused = |it: &std::io::Error| it.kind() == ErrorKind::ConnectionRefused;
            if matches!(&connected, Ok(Err(error)) if refused(error)) {
                self.replica_ended(start.key, Evidence::Refused);
                return;
            }
        }
        if let Some(lost) = self.quarantine.lost.borrow_mut().get_mut(&start.key) {
            lost.probing = false;
        }
    }

    /// Forgets the requests that were lost at a replica which proves to be alive: only connections
    /// failed.
    fn replica_lives(&self, key: ReplicaKey) {
        let lost = self.quarantine.lost.borrow_mut().remove(&key);
        drop(lost);
    }

    /// Returns whether a replica has sent data since it lost requests.
    fn is_alive(&self, key: ReplicaKey) -> bool {
        let lost = self.quarantine.lost.borrow();
        let replicas = self.replicas.borrow();
        let last_received = replicas.get(key).map(|it| it.last_received);
        let lost_at = lost.get(&key).map(|it| it.since);
        lost_at
            .zip(last_received)
            .is_some_and(|(lost, last_received)| lost.after_ms(READ_GRACE_MS) < last_received)
    }

    /// Blames requests that were lost at replicas which are gone by now, and drops requests whose
    /// loss is too long ago.
    pub(super) fn settle_lost_requests(&self, now: Time) {
        let replicas = self.replicas.borrow();
        let lost = self.quarantine.lost.borrow();
        let gone = lost.keys().filter(|it| replicas.get(**it).is_none());
        let gone: Vec<ReplicaKey> = gone.copied().collect();
        drop((lost, replicas));
        for key in gone {
            self.replica_ended(key, Evidence::Gone);
        }
        let mut all = self.quarantine.lost.borrow_mut();
        let over = all.extract_if(|_, it| it.since.after_ms(LOSS_WINDOW_MS) <= now);
        let over: Vec<(ReplicaKey, LostRequests)> = over.collect();
        drop(all);
        // Dropping the guards of exclusive attempts borrows `known`, so `over` is dropped after the
        // other borrows have ended.
        drop(over);
    }

    /// Handles the end of a replica's start: each request that was lost there becomes a suspect.
    pub(in crate::entry) fn replica_ended(&self, key: ReplicaKey, evidence: Evidence) {
        let lost = self.quarantine.lost.borrow_mut().remove(&key);
        let Some(lost) = lost else {
            return;
        };
        let now = self.node.clock.now();
        let label = Reason {
            reason: evidence.name(),
        };
        self.node.metrics.replica_ends.get_or_create(&label).inc();
        if let Some(log) = self.node.logs.line(Topic::State) {
            let requests = lost
                .requests
                .iter()
                .map(|it| it.subjects.request.to_string());
            let requests: Vec<String> = requests.collect();
            warn!(log, "replica ended"; "start" => format!("{:08x}", lost.hash),
                "evidence" => evidence.name(), "mass_failure" => self.is_mass_failure(lost.since), "requests" => requests.join(","),
                "lost_ms" => now.since(lost.since).as_millis() as u64);
        }
        let is_mass_failure = self.is_mass_failure(lost.since);
        for request in &lost.requests {
            let blame = match request.was_flowing || is_mass_failure {
                true => Blame::RequestOnly,
                false => Blame::WithParts,
            };
            let mut known = self.quarantine.known.borrow_mut();
            let changed = known.record_loss(&request.subjects, blame, lost.hash, lost.since, now);
            drop(known);
            for subject in changed {
                self.suspect_changed(subject, Source::Own, now);
            }
        }
        drop(lost);
        self.send_suspects();
    }
}
