//! How an entry finds out that a replica ended while it had a request.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_policy::{clock::Time, process::replicas::ReplicaKey};
use gradeloft_wire::id::Fingerprint;
use slog::warn;
use tokio::{net::TcpStream, time::timeout};

use super::Try;
use crate::{
    entry::{Entry, forward::Job},
    logs::Topic,
    metrics::Reason,
    node::tables::Source,
};

/// When a replica that lost a request is asked for a connection, counted from the loss. A process that ends lets
/// go of its connections one after the other, and of its port among them.
const LOOKS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(300)];
/// Time after the loss of a request for which what other requests of the same replica read may have come before its
/// end, in milliseconds.
const STILL_READ_MS: u64 = 15;
/// Longest time to connect: as for requests.
const CONNECT: Duration = Duration::from_millis(350);
/// Time after the loss of a request within which the end of its replica counts as the reason, in milliseconds:
/// the platform takes a replica off its list 3.6 s after its last word, and entries hear of that a second later.
const LOST_MS: u64 = 6_000;

/// What showed that a start of a replica is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::entry) enum Evidence {
    /// The platform no longer lists it.
    Gone,
    /// Nobody listens at its address.
    Refused,
    /// It has started again.
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

/// A start of a replica, as a request found it.
#[derive(Clone, Copy, Debug)]
pub(in crate::entry) struct Start {
    key: ReplicaKey,
    hash: u32,
    address: SocketAddr,
    /// Whether it ends by plan, which is no request's fault.
    draining: bool,
}

/// Requests that were lost at a start of a replica.
pub(super) struct Lost {
    hash: u32,
    since: Time,
    pub(super) requests: Vec<(Fingerprint, Option<Try>)>,
    /// Whether its address is being asked for a connection.
    looking: bool,
}

impl Entry {
    /// The start of a replica that a request is about to be sent to.
    pub(in crate::entry) fn start_of(&self, key: ReplicaKey) -> Option<Start> {
        let replicas = self.replicas.borrow();
        let replica = replicas.get(key)?;
        Some(Start {
            key,
            hash: replica.hash(),
            address: replica.listing.address,
            draining: replica.listing.draining,
        })
    }

    /// A request was lost with its connection to a replica: whether that start of the replica is over will show.
    pub(in crate::entry) fn suspect(self: &Rc<Entry>, job: &mut Job, start: Start) {
        if start.draining {
            return;
        }
        let now = self.node.clock.now();
        let mut all = self.quarantine.lost.borrow_mut();
        let lost = all.entry(start.key).or_insert_with(|| Lost {
            hash: start.hash,
            since: now,
            requests: Vec::new(),
            looking: false,
        });
        lost.since = now;
        lost.requests.push((job.fingerprint(), job.only.take()));
        let looks = !std::mem::replace(&mut lost.looking, true);
        drop(all);
        if self.replicas.borrow().get(start.key).is_none() {
            self.ended(start.key, Evidence::Gone);
        } else if looks {
            let looking = Rc::clone(self).look_for(start, now);
            self.node.scope.spawn(looking);
        }
    }

    /// Looks whether anybody listens where a replica lost a request, unless it turns out to live.
    async fn look_for(self: Rc<Entry>, start: Start, lost_at: Time) {
        for after in LOOKS {
            self.node.timers.sleep_until(lost_at.after(after)).await;
            if self.lives(start.key) {
                // It was the connection.
                let lost = self.quarantine.lost.borrow_mut().remove(&start.key);
                drop(lost);
                return;
            }
            let connected = timeout(CONNECT, TcpStream::connect(start.address)).await;
            let refused = |it: &std::io::Error| it.kind() == ErrorKind::ConnectionRefused;
            if matches!(&connected, Ok(Err(error)) if refused(error)) {
                self.ended(start.key, Evidence::Refused);
                return;
            }
        }
        if let Some(lost) = self.quarantine.lost.borrow_mut().get_mut(&start.key) {
            lost.looking = false;
        }
    }

    /// Whether a replica has sent something since requests were lost there.
    fn lives(&self, key: ReplicaKey) -> bool {
        let lost = self.quarantine.lost.borrow();
        let replicas = self.replicas.borrow();
        let spoke = replicas.get(key).map(|it| it.last_received);
        let lost_at = lost.get(&key).map(|it| it.since);
        lost_at
            .zip(spoke)
            .is_some_and(|(lost, spoke)| lost.after_ms(STILL_READ_MS) < spoke)
    }

    /// Settles what was lost at replicas that are gone by now, and lets go of what can no longer be settled.
    pub(super) fn settle_lost(&self, now: Time) {
        let replicas = self.replicas.borrow();
        let lost = self.quarantine.lost.borrow();
        let gone = lost.keys().filter(|it| replicas.get(**it).is_none());
        let gone: Vec<ReplicaKey> = gone.copied().collect();
        drop((lost, replicas));
        for key in gone {
            self.ended(key, Evidence::Gone);
        }
        let mut all = self.quarantine.lost.borrow_mut();
        let over = all.extract_if(|_, it| it.since.after_ms(LOST_MS) <= now);
        let over: Vec<(ReplicaKey, Lost)> = over.collect();
        drop(all);
        // Their tries end here, which looks at what is known.
        drop(over);
    }

    /// A start of a replica is over: it may be the fault of each request that was lost there.
    pub(in crate::entry) fn ended(&self, key: ReplicaKey, evidence: Evidence) {
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
            let requests = lost.requests.iter().map(|it| it.0.to_string());
            let requests: Vec<String> = requests.collect();
            warn!(log, "replica ended"; "start" => format!("{:08x}", lost.hash),
                "evidence" => evidence.name(), "requests" => requests.join(","),
                "lost_ms" => now.since(lost.since).as_millis() as u64);
        }
        for (request, _) in &lost.requests {
            let news = self
                .quarantine
                .known
                .borrow_mut()
                .record_crash(*request, lost.hash, now);
            if news {
                self.learned(*request, Source::Own, now);
            }
        }
        drop(lost);
        self.send_suspects();
    }
}
