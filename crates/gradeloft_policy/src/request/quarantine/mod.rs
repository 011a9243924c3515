//! Quarantine of requests ("queries of death") and of parts of prompts that crash each replica which
//! starts them.
//!
//! A poison request arrives again, at any entry, when its caller retries or sends it anew; a poison
//! part of a prompt arrives in requests of which no two are alike. The state of an attempt ends with
//! its response, and each attempt alone looks like an unrelated replica failure. This module therefore
//! records, for each [`Subject`], the crashes of replicas that held a request with it.
//!
//! A crashing replica loses all its requests, so one crash implicates a dozen requests of which at
//! most one is the cause, and all their parts. Sound requests share most parts with poison ones. What
//! distinguishes a sound part is that requests with it are still answered, so a response voids the
//! crashes before it was requested. A request is refused if it has enough crashes against itself or
//! against one of its parts that nothing outside the request explains equally well.
//!
//! Observations of several entries merge as sets, so messages may arrive late, repeatedly and in any
//! order.

mod suspect;

use std::{collections::HashMap, rc::Rc, time::Duration};

use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, Subject, Suspect as SuspectMessage},
};

use self::suspect::Suspect;
use crate::clock::Time;

/// Crashes, not equally explained by something else, after which a subject is quarantined. Two can be
/// coincidence: with twelve replicas of fifteen innocent requests each, about one innocent request per
/// crash is also at the next crash, and one in a hundred at a third crash (`tests/quarantine.rs`).
pub const QUARANTINE_CRASHES: usize = 3;
/// Moments of crashes after which a part is quarantined, if nothing else explains
/// [`QUARANTINE_CRASHES`] of them equally well. A rare part of a sound prompt can be lost twice with one
/// request and its retry, and once more by coincidence.
const PART_MOMENTS: usize = 4;
/// Moments of crashes after which a part is quarantined even if most crashes meanwhile have other causes.
const CERTAIN_PART_MOMENTS: usize = 5;
/// Crashes after which an entry runs only one attempt of a request at a time, so that the diagnosis
/// costs one replica at a time. Parts are not restricted before their quarantine, as most suspect parts
/// are sound ones that many requests share.
const EXCLUSIVE_CRASHES: usize = 2;
/// Time from the last crash of a quarantined request to its next attempt. It doubles with each
/// further crash, up to [`MAX_PERIOD`]. Each attempt may cost a replica and its requests, while the
/// caller of the quarantined request never had a response, so minutes of delay do no harm.
const FIRST_PERIOD: Duration = Duration::from_secs(600);
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);
/// Time from the last of the crashes that quarantined a part to a first attempt. A rare part that was
/// blamed for the crashes of others is released by it, while a poison one costs one more replica.
const FIRST_PART_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a subject with fewer crashes is kept. Callers retry within minutes, and the
/// diagnosis must survive entries and replicas that come and go.
const RETENTION: Duration = Duration::from_secs(900);
/// Time for which a part without crashes that count is kept, so that late messages do not hold its void
/// crashes against it again.
const CLEARED_PART_RETENTION: Duration = Duration::from_secs(60);
/// Delay before a retry if an attempt at the same request is running; equal to the time for which
/// callers wait for a response.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(6);
/// Most subjects kept, at about a hundred bytes each. A mass failure of 2,300 replicas involves
/// more requests; those with the fewest crashes are evicted first, and among them those whose
/// latest crash is oldest.
const MAX_SUSPECTS: usize = 1_024;

/// What crashes can be held against when a replica loses a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subjects {
    /// The whole request.
    pub request: Fingerprint,
    /// Parts of its prompt, other than the last one, which no other request shares.
    pub parts: Rc<[Fingerprint]>,
}

impl Subjects {
    /// Iterates over the request and its parts.
    pub fn iter(&self) -> impl Iterator<Item = Subject> {
        let parts = self.parts.iter().map(|it| Subject::Part(*it));
        [Subject::Request(self.request)].into_iter().chain(parts)
    }

    fn contains(&self, subject: Subject) -> bool {
        self.iter().any(|it| it == subject)
    }
}

/// Whether a request may be sent to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request has too few crashes for restrictions.
    Admitted,
    /// The request may run, as the only attempt with this subject at this entry.
    Exclusive(Subject),
    /// Another attempt with the same subject is running; retry after this delay.
    Busy(Subject, Duration),
    /// The subject is quarantined; retry after this delay.
    Quarantined(Subject, Duration),
}

/// What the crash of a replica is held against, of a request that was lost there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Blame {
    /// The request as a whole. Its response had been flowing for a while, which a part that crashes
    /// replicas prevents, or many replicas crashed at once, which no part of a prompt does.
    RequestOnly,
    /// The request and the parts of its prompt.
    WithParts,
}

/// Share of the replicas with requests of an entry, and their least number, that crash at the same
/// moment in a mass failure.
const MASS_FAILURE_SHARE: f64 = 0.25;
const MASS_FAILURE_REPLICAS: usize = 3;

/// Returns whether the crash of `crashed` replicas at the same moment is a mass failure, which no
/// request caused; `used` is the number of replicas that had requests of this entry until then.
pub fn is_mass_failure(crashed: usize, used: usize) -> bool {
    MASS_FAILURE_REPLICAS <= crashed && MASS_FAILURE_SHARE * used as f64 <= crashed as f64
}

/// Result of merging another entry's observations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeOutcome {
    /// The message had observations that were unknown here.
    pub changed: bool,
    /// The message lacked observations that are known here.
    pub incomplete: bool,
}

/// Requests, and parts of prompts, that were at a replica when it crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Subject, Suspect>,
}

impl Quarantine {
    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the suspects.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        self.suspects.keys().copied()
    }

    /// Returns whether a request or a part is suspect.
    pub fn contains(&self, subject: Subject) -> bool {
        self.suspects.contains_key(&subject)
    }

    /// Returns the number of quarantined requests and parts.
    pub fn quarantined(&self) -> usize {
        let all = self.subjects();
        all.filter(|it| self.is_quarantined(*it)).count()
    }

    /// Returns the number of crashes held against a subject.
    pub fn crashes(&self, subject: Subject) -> usize {
        self.suspects.get(&subject).map_or(0, Suspect::count)
    }

    /// Records that a replica crashed at `at` while it had a request with a subject. Returns whether
    /// this was unknown before.
    pub fn record_crash(&mut self, subject: Subject, start: u32, at: Time, now: Time) -> bool {
        let crash = Crash {
            start,
            void: false,
            age_ms: suspect::age_ms(at, now),
        };
        let message = SuspectMessage {
            subject,
            crashes: vec![crash],
        };
        self.merge(&message, now).changed
    }

    /// Records that a replica crashed at `at` while it had a request. Returns the subjects against which
    /// this was not held before.
    pub fn record_loss(
        &mut self,
        subjects: &Subjects,
        blame: Blame,
        start: u32,
        at: Time,
        now: Time,
    ) -> Vec<Subject> {
        let mut blamed: Vec<Subject> = subjects.iter().collect();
        blamed.retain(|it| blame == Blame::WithParts || matches!(it, Subject::Request(_)));
        blamed.retain(|it| self.record_crash(*it, start, at, now));
        blamed
    }

    /// Records that a live replica answered a request with a subject completely, which was sent to it
    /// at `sent`: the subject is not the cause of earlier crashes. Returns whether any was held against
    /// it.
    pub fn clear(&mut self, subject: Subject, sent: Time) -> bool {
        let suspect = self.suspects.get_mut(&subject);
        suspect.is_some_and(|it| it.void(sent))
    }

    /// Merges observations of another entry, or of an earlier run of this entry.
    pub fn merge(&mut self, message: &SuspectMessage, now: Time) -> MergeOutcome {
        let subject = message.subject;
        self.evict_for(subject);
        let suspects = &mut self.suspects;
        let suspect = suspects
            .entry(subject)
            .or_insert_with(|| Suspect::of(subject));
        MergeOutcome {
            changed: suspect.merge(&message.crashes, now),
            incomplete: suspect.has_more_than(&message.crashes),
        }
    }

    /// Returns the observations of a subject, as sent to other entries.
    pub fn snapshot(&self, subject: Subject, now: Time) -> Option<SuspectMessage> {
        let suspect = self.suspects.get(&subject)?;
        Some(SuspectMessage {
            subject,
            crashes: suspect.snapshot(now),
        })
    }

    /// Returns whether a request may be sent to a replica. `is_retry_owner` returns whether this entry
    /// is the only one in the fleet that retries a subject after its quarantine period.
    pub fn verdict(
        &self,
        subjects: &Subjects,
        is_retry_owner: impl Fn(Subject) -> bool,
        now: Time,
    ) -> Verdict {
        let restricted = subjects.iter().filter_map(|subject| {
            let suspect = self.suspects.get(&subject)?;
            let verdict = self.verdict_on(subject, suspect, subjects, &is_retry_owner, now);
            (verdict != Verdict::Admitted).then_some(verdict)
        });
        restricted
            .max_by_key(Verdict::severity)
            .unwrap_or(Verdict::Admitted)
    }

    /// Returns whether each shared part of a request is suspect, so that another attempt after a loss is
    /// likely to crash another replica.
    pub fn suspects_all_parts(&self, subjects: &Subjects) -> bool {
        let is_suspect = |it: &Fingerprint| EXCLUSIVE_CRASHES <= self.crashes(Subject::Part(*it));
        !subjects.parts.is_empty() && subjects.parts.iter().all(is_suspect)
    }

    fn verdict_on(
        &self,
        subject: Subject,
        suspect: &Suspect,
        subjects: &Subjects,
        is_retry_owner: impl Fn(Subject) -> bool,
        now: Time,
    ) -> Verdict {
        let period = match subject {
            Subject::Request(_) => request_period(suspect.count()),
            Subject::Part(_) => part_period(suspect),
        };
        let shut_out = self.is_blamed(subject, suspect, |it| subjects.contains(it));
        if shut_out {
            let until = suspect.crashed_at.after(period);
            if now < until || !is_retry_owner(subject) {
                let first = match subject {
                    Subject::Request(_) => FIRST_PERIOD,
                    Subject::Part(_) => FIRST_PART_PERIOD,
                };
                return Verdict::Quarantined(subject, until.since(now).max(first));
            }
        }
        let is_request = matches!(subject, Subject::Request(_));
        let exclusive = shut_out || (is_request && EXCLUSIVE_CRASHES <= suspect.count());
        match suspect.attempts {
            _ if !exclusive => Verdict::Admitted,
            0 => Verdict::Exclusive(subject),
            _ => Verdict::Busy(subject, BUSY_RETRY_AFTER),
        }
    }

    /// Records that an attempt with a subject has started.
    pub fn begin_attempt(&mut self, subject: Subject) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.attempts += 1;
        }
    }

    /// Records that an attempt with a subject has ended with a known outcome.
    pub fn end_attempt(&mut self, subject: Subject) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.attempts = suspect.attempts.saturating_sub(1);
        }
    }

    /// Removes subjects whose retention has expired.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|subject, it| {
            let retention = match (subject, it.count()) {
                (Subject::Request(_), count @ QUARANTINE_CRASHES..) => 2 * request_period(count),
                (Subject::Part(_), QUARANTINE_CRASHES..) => 2 * MAX_PERIOD,
                (Subject::Part(_), 0) => CLEARED_PART_RETENTION,
                _ => RETENTION,
            };
            0 < it.attempts || now < it.crashed_at.after(retention)
        });
    }

    /// Returns whether a subject alone, without others in the same request, is quarantined.
    pub fn is_quarantined(&self, subject: Subject) -> bool {
        let suspect = self.suspects.get(&subject);
        suspect.is_some_and(|it| self.is_blamed(subject, it, |other| other == subject))
    }

    /// Returns whether a subject has enough crashes that nothing outside the same request explains
    /// equally well. `is_inside` returns whether another subject belongs to the request.
    fn is_blamed(
        &self,
        subject: Subject,
        suspect: &Suspect,
        is_inside: impl Fn(Subject) -> bool,
    ) -> bool {
        let count = suspect.count();
        if count < QUARANTINE_CRASHES {
            return false;
        }
        let is_rival = |other: Subject, it: &Suspect| match (subject, other) {
            // A part that many requests share is more likely the cause than each of them, but only if
            // it crashed more replicas than the request itself.
            (Subject::Request(_), Subject::Part(_)) => count < it.count(),
            _ => !is_inside(other) && count <= it.count(),
        };
        let all = self.suspects.iter();
        let rivals: Vec<&Suspect> = all
            .filter(|(other, it)| **other != subject && is_rival(**other, it))
            .map(|(_, it)| it)
            .collect();
        let own = suspect
            .counted()
            .filter(|crash| !rivals.iter().any(|it| it.has(crash.start)));
        match subject {
            Subject::Request(_) => QUARANTINE_CRASHES <= own.count(),
            Subject::Part(_) => {
                let unexplained = suspect::count_moments(own.map(|it| it.at_ms));
                QUARANTINE_CRASHES <= unexplained && self.has_most_crashes(suspect)
            }
        }
    }

    /// Returns whether a part has enough of the crashes between its first and its last one. Of a series
    /// of unrelated crashes, few happen to lose requests with the same rare part.
    fn has_most_crashes(&self, part: &Suspect) -> bool {
        let times = part.times_ms();
        let [first, .., last] = &times[..] else {
            return false;
        };
        let all = self.suspects.values().flat_map(Suspect::crashes);
        let meanwhile = all
            .map(|it| it.at_ms)
            .filter(|it| first <= it && it <= last);
        let all = suspect::count_moments(meanwhile);
        let own = suspect::count_moments(times.iter().copied());
        let is_likely = PART_MOMENTS <= own && all <= 2 * own;
        is_likely || (CERTAIN_PART_MOMENTS <= own && all <= 5 * own)
    }

    /// Evicts the least significant subject without a running attempt if `subject` needs its place.
    fn evict_for(&mut self, subject: Subject) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&subject) {
            return;
        }
        let idle = self.suspects.iter().filter(|(_, it)| it.attempts == 0);
        let evicted = idle.min_by_key(|(_, it)| (it.count(), it.crashed_at));
        if let Some(evicted) = evicted.map(|(key, _)| *key) {
            self.suspects.remove(&evicted);
        }
    }
}

impl Verdict {
    fn severity(&self) -> (u8, Duration) {
        match self {
            Verdict::Admitted => (0, Duration::ZERO),
            Verdict::Exclusive(_) => (1, Duration::ZERO),
            Verdict::Busy(_, delay) => (2, *delay),
            Verdict::Quarantined(_, delay) => (3, *delay),
        }
    }
}

/// Returns the time from the last of `crashes` to the next attempt at a quarantined request.
fn request_period(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES).min(16) as u32;
    (FIRST_PERIOD * 2_u32.pow(doublings)).min(MAX_PERIOD)
}

/// Returns the time from the last crash of a quarantined part to its next attempt.
fn part_period(suspect: &Suspect) -> Duration {
    let times = suspect.times_ms();
    let mut pauses_ms = times.windows(2).map(|it| it[1] - it[0]);
    // After a pause without a success, the part crashed a replica again.
    match pauses_ms.any(|it| FIRST_PART_PERIOD.as_millis() as i64 <= it) {
        true => MAX_PERIOD,
        false => FIRST_PART_PERIOD,
    }
}
