//! Requests under which replicas ended: how an entry finds out, whom it tells, and what it keeps in the store.
//!
//! A connection that breaks says nothing of the replica behind it, so a request that was lost with one waits here
//! until it is clear that this start of the replica is over. Words to other entries go out at once, and each entry
//! joins them with what it saw itself ([`Quarantine`]). What has to outlive all entries stands in the table that
//! they write themselves.
//!
//! - `crash`: how it is found out that a replica ended.
//! - `store`: records of suspects in the platform's store.

mod crash;
mod store;

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::HashMap,
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
    id::Fingerprint,
    quarantine::{Crash, IN_DATAGRAM, Suspect},
};
use rand::Rng;
use slog::info;

use super::{Entry, forward::Job, refusal::Refusal};
use crate::{
    logs::Topic,
    node::tables::Source,
    traffic::{Purpose, Reach},
};

pub(super) use self::crash::{Evidence, Start};
use self::{
    crash::Lost,
    store::{KEEP_HEARD_MS, KEPT_AT},
};

/// Datagrams with requests that are sent at one turn, an eighth of a second. After a mass failure more are to be
/// told; those with the most crashes go first.
const WORDS: usize = 4;
/// Words on requests, beyond the first of a turn: bytes a second that an entry spends on them.
const TELLING: Budget = Budget {
    bytes_per_s: 20_000,
    shortest: Duration::ZERO,
    longest: Duration::from_millis(1_000),
};
/// Longest wait with an answer to a word that lacks something, in milliseconds: so many entries know more that
/// one is enough.
const ANSWER_MS: u64 = 500;

/// A try of a request, beside which there is no other at this entry until it is clear how it ended.
pub(super) struct Try {
    entry: Weak<Entry>,
    request: Fingerprint,
}

impl Drop for Try {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.upgrade() {
            entry
                .quarantine
                .known
                .borrow_mut()
                .end_attempt(self.request);
        }
    }
}

/// What an entry knows of requests under which replicas ended.
#[derive(Default)]
pub(super) struct QuarantineState {
    known: RefCell<Quarantine>,
    /// Requests of which it is not clear whether their replica ended.
    lost: RefCell<HashMap<ReplicaKey, Lost>>,
    news: RefCell<Announcements>,
    /// Words before this time are beyond the budget.
    quiet_until: Cell<Time>,
    /// Rounds of words to other regions.
    rounds: Cell<usize>,
    /// What the store keeps, by this entry's copy of its table.
    kept: RefCell<HashMap<Fingerprint, Vec<Crash>>>,
    /// When to write what the store lacks.
    unkept: RefCell<HashMap<Fingerprint, Time>>,
    writing: Cell<bool>,
}

impl Entry {
    /// Requests of which something is known, with their crashes that count, for tests and operators.
    pub fn suspects(&self) -> Vec<(Fingerprint, usize)> {
        let known = self.quarantine.known.borrow();
        let all = known.fingerprints();
        all.map(|it| (it, known.crashes(it))).collect()
    }

    /// Requests that were lost with a replica of which it is not clear yet whether it ended.
    pub fn unsettled(&self) -> usize {
        let lost = self.quarantine.lost.borrow();
        lost.values().map(|it| it.requests.len()).sum()
    }

    /// Whether a request may go to a replica; gives what to tell its caller if not.
    pub(super) fn admit(self: &Rc<Entry>, job: &mut Job) -> Option<Refusal> {
        job.only = None;
        let known = self.quarantine.known.borrow();
        if known.is_empty() || !known.contains(job.fingerprint()) {
            return None;
        }
        let request = job.fingerprint();
        let now = self.node.clock.now();
        let verdict = known.verdict(request, self.is_home(request), now);
        drop(known);
        match verdict {
            Verdict::Admitted => None,
            Verdict::Exclusive => {
                self.quarantine.known.borrow_mut().begin_attempt(request);
                job.only = Some(Try {
                    entry: Rc::downgrade(self),
                    request,
                });
                None
            }
            Verdict::Busy(back) | Verdict::Quarantined(back) => Some(Refusal::Quarantined(back)),
        }
    }

    /// Whether this entry is the one that tries a request again which is shut out: one in the fleet, as long as
    /// all see the same entries.
    fn is_home(&self, request: Fingerprint) -> bool {
        let own = roster::hash(&self.node.settings().address);
        let now = self.node.clock.now();
        let roster = self.roster.borrow();
        let others = roster.serving(|_| true, now).map(|it| roster::hash(&it));
        rendezvous::rank(request.short(), own, others) == 0
    }

    /// Whether replicas ended under a request.
    pub(super) fn suspects_request(&self, job: &Job) -> bool {
        let known = self.quarantine.known.borrow();
        !known.is_empty() && known.contains(job.fingerprint())
    }

    /// A request was answered: it does not end replicas.
    pub(super) fn clear(&self, job: &Job) {
        let quarantine = &self.quarantine;
        if quarantine.known.borrow().is_empty() {
            return;
        }
        let request = job.fingerprint();
        let news = quarantine.known.borrow_mut().clear(request);
        if news {
            self.learned(request, Source::Own, self.node.clock.now());
            self.send_suspects();
        }
    }

    /// Another entry told of requests, or the store brought them.
    pub(super) fn receive_suspects(&self, suspects: &[Suspect], source: Source, now: Time) {
        for suspect in suspects {
            let merged = self.quarantine.known.borrow_mut().merge(suspect, now);
            if merged.changed {
                self.learned(suspect.request, source, now);
            }
            if source == Source::Store {
                continue;
            }
            let mut news = self.quarantine.news.borrow_mut();
            if merged.incomplete {
                let wait = self.node.with_rng(|it| it.random_range(0..ANSWER_MS));
                news.schedule_answer(suspect.request, now.after_ms(wait));
            } else if !merged.changed {
                news.cancel_answer(suspect.request);
            }
        }
    }

    /// Something is known now of a request that was not before.
    fn learned(&self, request: Fingerprint, source: Source, now: Time) {
        let known = self.quarantine.known.borrow();
        let crashes = known.crashes(request);
        self.node
            .metrics
            .quarantined
            .set(known.quarantined() as i64);
        if (QUARANTINE_CRASHES <= crashes || source == Source::Own)
            && let Some(log) = self.node.logs.line(Topic::State)
        {
            let word = known.snapshot(request, now);
            let starts = word.iter().flat_map(|it| &it.crashes);
            let starts = starts.map(|it| match it.void {
                true => format!("({:08x})", it.start),
                false => format!("{:08x}", it.start),
            });
            let starts: Vec<String> = starts.collect();
            info!(log, "suspect"; "fingerprint" => %request, "crashes" => crashes,
                "shut_out" => known.is_quarantined(request), "starts" => starts.join(","),
                "source" => %source, "age_ms" => word.map_or(0, |it| it.age_ms));
        }
        drop(known);
        if source == Source::Own {
            self.quarantine.news.borrow_mut().add(request, now);
        }
        let wait = match source {
            Source::Own => 0,
            Source::Peer(_) | Source::Store => {
                let (from, to) = KEEP_HEARD_MS;
                self.node.with_rng(|it| it.random_range(from..to))
            }
        };
        let mut unkept = self.quarantine.unkept.borrow_mut();
        unkept.insert(request, now.after_ms(wait));
    }

    /// Settles what can be settled, forgets what is too old, and writes what the store lacks.
    pub(super) fn maintain_quarantine(self: &Rc<Entry>, now: Time) {
        self.settle_lost(now);
        self.forget_suspects(now);
        self.keep_suspects(now);
    }

    /// Tells others what is due.
    pub(super) fn send_suspects(&self) {
        let now = self.node.clock.now();
        if now < self.quarantine.quiet_until.get() {
            return;
        }
        let known = self.quarantine.known.borrow();
        let weight = |it| known.crashes(it);
        let mut news = self.quarantine.news.borrow_mut();
        let due = news.take_due(now, IN_DATAGRAM * WORDS, weight);
        drop(news);
        let suspects: Vec<Suspect> = due
            .into_iter()
            .filter_map(|it| known.snapshot(it, now))
            .collect();
        drop(known);
        if suspects.is_empty() {
            return;
        }
        let round = self.quarantine.rounds.get();
        self.quarantine.rounds.set(round + 1);
        let near = |it: &str| self.node.near(it);
        let near: Vec<Ipv4Addr> = self.roster.borrow().addresses_in(near).collect();
        let far: Vec<Ipv4Addr> = self
            .relays(round, now)
            .into_iter()
            .filter_map(|(relay, _)| relay)
            .collect();
        for suspects in suspects.chunks(IN_DATAGRAM) {
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
        let bytes = codec::body(&suspects).len();
        let pause = TELLING.pause(near.len() + far.len(), bytes);
        self.quarantine.quiet_until.set(now.after(pause));
    }

    /// Tells an entry that has just started of the requests that have the most crashes: the store, which keeps
    /// them, may be away.
    pub(super) fn send_suspects_to(&self, newcomer: Ipv4Addr) {
        let now = self.node.clock.now();
        let known = self.quarantine.known.borrow();
        let all = known
            .fingerprints()
            .filter(|it| KEPT_AT <= known.crashes(*it));
        let mut worst: Vec<Fingerprint> = all.collect();
        worst.sort_unstable_by_key(|it| (Reverse(known.crashes(*it)), *it));
        let words = worst.into_iter().take(IN_DATAGRAM);
        let suspects: Vec<Suspect> = words.filter_map(|it| known.snapshot(it, now)).collect();
        drop(known);
        if suspects.is_empty() {
            return;
        }
        let sender = Sender::Suspects {
            // It is for this entry only.
            relayed: true,
            suspects,
        };
        let to = [newcomer].into_iter();
        self.node
            .send_state(Purpose::Suspects, Reach::Far, sender, to);
    }
}
