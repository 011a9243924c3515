//! Quarantine of requests, and of parts of prompts, that crash replicas: detection, gossip between entries, and storage.
//!
//! A broken connection does not prove that the replica behind it crashed, so a request that was
//! lost with its connection is held here until it is certain that this start of the replica has
//! ended. Suspects are sent to other entries at once, and each entry merges them with its own
//! observations ([`Quarantine`]). State that must survive the loss of all entries is stored in the
//! table that the entries write.
//!
//! - `crash`: detection of replica crashes.
//! - `store`: records of suspects in the platform's store.

mod crash;
mod store;

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
    rc::{Rc, Weak},
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    process::{announcements::Announcements, cadence::Budget, replicas::ReplicaKey, roster},
    rendezvous,
    request::quarantine::{QUARANTINE_CRASHES, Quarantine, Verdict},
};
use gradeloft_wire::{
    codec,
    datagram::Sender,
    quarantine::{Crash, MAX_PER_DATAGRAM, Subject, Suspect},
};
use rand::Rng;
use slog::info;

use super::{Entry, forward::Job, refusal::Refusal};
use crate::{
    logs::Topic,
    node::tables::Source,
    traffic::{Purpose, Reach},
};

pub(super) use self::crash::{Evidence, ReplicaStart};
use self::{
    crash::LostRequests,
    store::{LEARNED_WRITE_DELAY_MS, PART_WRITE_DELAY_MS, STORE_AT_CRASHES},
};

/// Maximum number of datagrams with suspects sent per gossip turn of an eighth of a second. After a
/// mass failure there are more suspects than fit; the suspects with the most crashes are sent
/// first.
const MAX_DATAGRAMS_PER_TURN: usize = 4;
/// Bandwidth that an entry spends on gossip about suspects, beyond the first message of a turn.
const GOSSIP_BUDGET: Budget = Budget {
    bytes_per_s: 20_000,
    shortest: Duration::ZERO,
    longest: Duration::from_millis(1_000),
};
/// Upper bound of the random delay before a reply to a peer with incomplete knowledge of a suspect,
/// in milliseconds. Many entries could reply, but one reply is enough.
const MAX_REPLY_DELAY_MS: u64 = 500;

/// Guard of an exclusive attempt: while it exists, this entry sends no other copy of the suspect
/// request.
///
/// The guard is held until the outcome of the attempt is certain.
pub(super) struct ExclusiveAttempt {
    entry: Weak<Entry>,
    subject: Subject,
}

impl Drop for ExclusiveAttempt {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.upgrade() {
            entry
                .quarantine
                .known
                .borrow_mut()
                .end_attempt(self.subject);
        }
    }
}

/// Suspect requests known to an entry.
#[derive(Default)]
pub(super) struct QuarantineState {
    known: RefCell<Quarantine>,
    /// Lost requests for which it is still uncertain whether their replica crashed.
    lost: RefCell<HashMap<ReplicaKey, LostRequests>>,
    announcements: RefCell<Announcements>,
    /// Earliest time of the next gossip within the bandwidth budget.
    next_gossip_at: Cell<Time>,
    /// Number of gossip rounds so far, which rotates the relays in other regions.
    gossip_rounds: Cell<usize>,
    /// Times of the latest losses of requests, which show whether many replicas crash at once.
    recent_losses: RefCell<VecDeque<(ReplicaKey, Time)>>,
    /// Crashes recorded in the store, according to this entry's copy of the table.
    stored: RefCell<HashMap<Subject, Vec<Crash>>>,
    /// Times at which crashes that are missing in the store are due to be written.
    pending_writes: RefCell<HashMap<Subject, Time>>,
    write_in_progress: Cell<bool>,
    /// Time of the next count of quarantined subjects, for the metric.
    count_at: Cell<Time>,
    /// Era of the store for which the writes of lost records were scheduled last.
    era: Cell<u32>,
    /// Time at which this entry writes the records that a restore of the store may have lost; `None`
    /// once it has done so.
    rewrite_at: Cell<Option<Time>>,
}

impl Entry {
    /// Returns each suspect with the number of crashes held against it, for tests and
    /// operators.
    pub fn suspects(&self) -> Vec<(Subject, usize)> {
        let known = self.quarantine.known.borrow();
        let all = known.subjects();
        all.map(|it| (it, known.crashes(it))).collect()
    }

    /// Returns the number of lost requests for which it is still uncertain whether their replica
    /// crashed.
    pub fn unsettled(&self) -> usize {
        let lost = self.quarantine.lost.borrow();
        lost.values().map(|it| it.requests.len()).sum()
    }

    /// Checks whether a request may be sent to a replica; returns the refusal for its caller if
    /// not.
    pub(super) fn admit(self: &Rc<Entry>, job: &mut Job) -> Option<Refusal> {
        job.exclusive_attempt = None;
        match self.verdict(job) {
            Verdict::Admitted => None,
            Verdict::Exclusive(subject) => {
                self.quarantine.known.borrow_mut().begin_attempt(subject);
                job.exclusive_attempt = Some(ExclusiveAttempt {
                    entry: Rc::downgrade(self),
                    subject,
                });
                None
            }
            Verdict::Busy(subject, back) | Verdict::Quarantined(subject, back) => {
                job.blamed = Some(subject);
                Some(Refusal::Quarantined(back))
            }
        }
    }

    /// Returns whether a request was quarantined after it was admitted.
    pub(super) fn is_shut_out(&self, job: &Job) -> bool {
        let admitted_alone = job.exclusive_attempt.is_some();
        !admitted_alone && matches!(self.verdict(job), Verdict::Quarantined(..))
    }

    /// Returns whether a request that may have crashed a replica is likely to crash another one.
    pub(super) fn risks_another_crash(&self, job: &Job) -> bool {
        let known = self.quarantine.known.borrow();
        !known.is_empty()
            && job.may_have_crashed_a_replica()
            && known.suspects_all_parts(job.subjects(&self.node.platform.headers))
    }

    fn verdict(&self, job: &Job) -> Verdict {
        let known = self.quarantine.known.borrow();
        if known.is_empty() {
            return Verdict::Admitted;
        }
        let subjects = job.subjects(&self.node.platform.headers);
        let is_retry_owner = |it| self.is_retry_owner(it);
        known.verdict(subjects, is_retry_owner, self.node.clock.now())
    }

    /// Returns whether this entry is the one that retries a quarantined subject. Only one entry in
    /// the fleet does so, as long as all entries have the same view of the membership.
    fn is_retry_owner(&self, subject: Subject) -> bool {
        let own = roster::hash(&self.node.settings().address);
        let now = self.node.clock.now();
        let roster = self.roster.borrow();
        let others = roster.serving(|_| true, now).map(|it| roster::hash(&it));
        rendezvous::rank(subject.fingerprint().prefix_u64(), own, others) == 0
    }

    /// Returns whether a request, or all parts of its prompt, are suspected of crashing replicas.
    pub(super) fn suspects_request(&self, job: &Job) -> bool {
        let known = self.quarantine.known.borrow();
        if known.is_empty() {
            return false;
        }
        let subjects = job.subjects(&self.node.platform.headers);
        known.contains(Subject::Request(subjects.request)) || known.suspects_all_parts(subjects)
    }

    /// Clears the parts of a prompt whose response flows: a part that crashes replicas prevents that.
    pub(super) fn clear_parts(&self, job: &Job, sent_at: Time) {
        self.clear(job, sent_at, |it| matches!(it, Subject::Part(_)));
    }

    /// Clears the subjects selected by `is_cleared` of crashes before `sent_at`, when a request with
    /// them was sent that a live replica has answered.
    fn clear(&self, job: &Job, sent_at: Time, is_cleared: impl Fn(Subject) -> bool) {
        if self.quarantine.known.borrow().is_empty() {
            return;
        }
        let subjects = job.subjects(&self.node.platform.headers).clone();
        self.clear_subjects(subjects.iter().filter(|it| is_cleared(*it)), sent_at);
    }

    fn clear_subjects(&self, subjects: impl Iterator<Item = Subject>, sent_at: Time) {
        let mut any = false;
        for subject in subjects {
            let changed = self.quarantine.known.borrow_mut().clear(subject, sent_at);
            if changed {
                self.suspect_changed(subject, Source::Own, self.node.clock.now());
                any = true;
            }
        }
        if any {
            self.send_suspects();
        }
    }

    /// Merges suspects that another entry or the store reported.
    pub(super) fn receive_suspects(&self, suspects: &[Suspect], source: Source, now: Time) {
        for suspect in suspects {
            let merged = self.quarantine.known.borrow_mut().merge(suspect, now);
            if merged.changed {
                self.suspect_changed(suspect.subject, source, now);
            }
            if source == Source::Store {
                continue;
            }
            let mut announcements = self.quarantine.announcements.borrow_mut();
            if merged.incomplete {
                let wait = self
                    .node
                    .with_rng(|it| it.random_range(0..MAX_REPLY_DELAY_MS));
                announcements.schedule_reply(suspect.subject, now.after_ms(wait));
            } else if !merged.changed {
                announcements.cancel_reply(suspect.subject);
            }
        }
    }

    /// Logs a change of what is known of a suspect, and schedules its gossip and its write to the
    /// store.
    fn suspect_changed(&self, subject: Subject, source: Source, now: Time) {
        let known = self.quarantine.known.borrow();
        let crashes = known.crashes(subject);
        if (QUARANTINE_CRASHES <= crashes || source == Source::Own)
            && let Some(log) = self.node.logs.line(Topic::State)
        {
            let suspect = known.snapshot(subject, now);
            let starts = suspect.iter().flat_map(|it| &it.crashes);
            let starts = starts.map(|it| match it.void {
                true => format!("({:08x})", it.start),
                false => format!("{:08x}", it.start),
            });
            let starts: Vec<String> = starts.collect();
            let ages = suspect
                .iter()
                .flat_map(|it| &it.crashes)
                .map(|it| it.age_ms);
            let age_ms = ages.min();
            info!(log, "suspect"; "fingerprint" => %subject, "crashes" => crashes,
                "shut_out" => known.is_quarantined(subject), "starts" => starts.join(","),
                "source" => %source, "age_ms" => age_ms.unwrap_or(0));
        }
        drop(known);
        if source == Source::Own {
            self.quarantine.announcements.borrow_mut().add(subject, now);
        }
        let wait = match (source, subject) {
            // By then, most parts of sound requests are cleared.
            (Source::Own, Subject::Part(_)) => PART_WRITE_DELAY_MS,
            (Source::Own, Subject::Request(_)) => 0,
            (Source::Peer(_) | Source::Store, _) => {
                let (from, to) = LEARNED_WRITE_DELAY_MS;
                self.node.with_rng(|it| it.random_range(from..to))
            }
        };
        let mut pending_writes = self.quarantine.pending_writes.borrow_mut();
        pending_writes.insert(subject, now.after_ms(wait));
    }

    /// Settles lost requests, expires old suspects, and writes missing records to the store.
    pub(super) fn maintain_quarantine(self: &Rc<Entry>, now: Time) {
        self.settle_lost_requests(now);
        self.forget_evicted_suspects();
        self.expire_suspects(now);
        self.rewrite_lost_suspects(now);
        self.write_due_suspects(now);
    }

    /// Drops the writes of suspects that others have displaced.
    fn forget_evicted_suspects(&self) {
        let known = self.quarantine.known.borrow();
        let stored = self.quarantine.stored.borrow();
        let mut pending_writes = self.quarantine.pending_writes.borrow_mut();
        pending_writes.retain(|it, _| known.contains(*it) || stored.contains_key(it));
    }

    /// Sends the suspects that are due to other entries.
    pub(super) fn send_suspects(&self) {
        let now = self.node.clock.now();
        if now < self.quarantine.next_gossip_at.get() {
            return;
        }
        let known = self.quarantine.known.borrow();
        let weight = |it| known.crashes(it);
        let mut announcements = self.quarantine.announcements.borrow_mut();
        let due = announcements.take_due(now, MAX_PER_DATAGRAM * MAX_DATAGRAMS_PER_TURN, weight);
        drop(announcements);
        let suspects: Vec<Suspect> = due
            .into_iter()
            .filter_map(|it| known.snapshot(it, now))
            .collect();
        drop(known);
        if suspects.is_empty() {
            return;
        }
        let round = self.quarantine.gossip_rounds.get();
        self.quarantine.gossip_rounds.set(round + 1);
        let near = |it: &str| self.node.near(it);
        let near: Vec<Ipv4Addr> = self.roster.borrow().addresses_in(near).collect();
        let far: Vec<Ipv4Addr> = self
            .relays(round, now)
            .into_iter()
            .filter_map(|(relay, _)| relay)
            .collect();
        for suspects in suspects.chunks(MAX_PER_DATAGRAM) {
            let sender = Sender::Suspects {
                relayed: false,
                suspects: suspects.to_vec(),
            };
            let purpose = Purpose::Suspects;
            self.node
                .send_state(purpose, Reach::Near, sender.clone(), near.iter().copied());
            self.node
                .send_state(purpose, Reach::Far, sender, far.iter().copied());
        }
        let bytes = codec::encode_body(&suspects).len();
        let pause = GOSSIP_BUDGET.pause(near.len() + far.len(), bytes);
        self.quarantine.next_gossip_at.set(now.after(pause));
    }

    /// Sends the suspects with the most crashes to an entry that has just started, since the store,
    /// which holds these suspects too, may be unavailable.
    pub(super) fn send_suspects_to(&self, newcomer: Ipv4Addr) {
        let now = self.node.clock.now();
        let known = self.quarantine.known.borrow();
        let all = known
            .subjects()
            .filter(|it| STORE_AT_CRASHES <= known.crashes(*it));
        let mut worst: Vec<Subject> = all.collect();
        worst.sort_unstable_by_key(|it| (Reverse(known.crashes(*it)), *it));
        let worst_first = worst.into_iter().take(MAX_PER_DATAGRAM);
        let suspects: Vec<Suspect> = worst_first
            .filter_map(|it| known.snapshot(it, now))
            .collect();
        drop(known);
        if suspects.is_empty() {
            return;
        }
        let sender = Sender::Suspects {
            // Keeps the receiver from relaying the message to other entries.
            relayed: true,
            suspects,
        };
        let to = [newcomer].into_iter();
        self.node
            .send_state(Purpose::Suspects, Reach::Far, sender, to);
    }
}
