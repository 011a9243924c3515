//! Quarantine of poison requests ("queries of death"): requests that crash each replica that starts
//! them.
//!
//! A poison request arrives again, at any entry, when its caller retries or sends it anew. The
//! state of an attempt ends with its response, and each attempt alone looks like an unrelated
//! replica failure. This module therefore records, by the request's [`Fingerprint`], the starts of
//! the replicas that crashed while they held the request.
//!
//! A crashing replica loses all its requests, so one crash implicates a dozen requests of which at
//! most one is the cause. A request is quarantined once it has enough crashes that no other request
//! explains equally well, and any success clears it. Observations of several entries merge as sets,
//! so messages may arrive late, repeatedly and in any order.

use std::{collections::HashMap, time::Duration};

use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, MAX_CRASHES, Suspect as SuspectMessage},
};

use crate::clock::Time;

/// Crashes, not equally explained by another request, after which a request is quarantined. Two can
/// be coincidence: with twelve replicas of fifteen innocent requests each, about one innocent
/// request per crash is also at the next crash, and one in a hundred at a third crash
/// (`tests/quarantine.rs`).
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which an entry runs only one attempt of a request at a time, so that the diagnosis
/// costs one replica at a time.
const EXCLUSIVE_CRASHES: usize = 2;
/// Time from the last crash of a quarantined request to its next attempt. It doubles with each
/// further crash, up to [`MAX_PERIOD`]. Each attempt may cost a replica and its requests, while the
/// caller of the quarantined request never had a response, so minutes of delay do no harm.
const FIRST_PERIOD: Duration = Duration::from_secs(600);
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a request with fewer crashes is kept. Callers retry within minutes, and the
/// diagnosis must survive entries and replicas that come and go.
const RETENTION: Duration = Duration::from_secs(900);
/// Delay before a retry if an attempt at the same request is running; equal to the time for which
/// callers wait for a response.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(6);
/// Most requests kept, at about a hundred bytes each. A mass failure of 2,300 replicas involves
/// more requests; those with the fewest crashes are evicted first, and among them those whose
/// latest crash is oldest.
const MAX_SUSPECTS: usize = 1_024;

/// Whether a request may be sent to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request has too few crashes for restrictions.
    Admitted,
    /// The request may run, as the only attempt of this request at this entry.
    Exclusive,
    /// Another attempt of the same request is running; retry after this delay.
    Busy(Duration),
    /// The request is quarantined; retry after this delay.
    Quarantined(Duration),
}

/// Result of merging another entry's observations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MergeOutcome {
    /// The message had observations that were unknown here.
    pub changed: bool,
    /// The message lacked observations that are known here.
    pub incomplete: bool,
}

/// Observations of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes sorted by replica start, each start once.
    crashes: Vec<Crash>,
    /// Time of the latest known crash.
    crashed_at: Time,
    /// Attempts at this entry that are running or whose outcome isn't clear yet.
    attempts: u32,
}

impl Suspect {
    fn counted_starts(&self) -> impl Iterator<Item = u32> {
        let counted = self.crashes.iter().filter(|it| !it.void);
        counted.map(|it| it.start)
    }

    fn count(&self) -> usize {
        self.counted_starts().count()
    }

    fn has(&self, start: u32) -> bool {
        self.counted_starts().any(|it| it == start)
    }

    /// Merges a crash into the known ones. A crash that was voided stays void.
    fn merge_crash(&mut self, crash: Crash) {
        match self
            .crashes
            .binary_search_by_key(&crash.start, |it| it.start)
        {
            Ok(idx) => self.crashes[idx].void |= crash.void,
            Err(idx) => self.crashes.insert(idx, crash),
        }
        self.crashes.truncate(MAX_CRASHES);
    }

    /// Returns whether a known crash is missing from `crashes`.
    fn has_more_than(&self, crashes: &[Crash]) -> bool {
        let known = |it: &Crash| crashes.iter().any(|other| other == it);
        !self.crashes.iter().all(known)
    }
}

/// Requests that were at a replica when it crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns whether there are no suspect requests.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the suspect requests.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.keys().copied()
    }

    /// Returns whether a request is suspect.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        let all = self.fingerprints();
        all.filter(|it| self.is_quarantined(*it)).count()
    }

    /// Returns the number of crashes held against a request.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, Suspect::count)
    }

    /// Records that a replica crashed while it had a request. Returns whether this was unknown
    /// before.
    pub fn record_crash(&mut self, request: Fingerprint, start: u32, now: Time) -> bool {
        let crash = Crash { start, void: false };
        let message = SuspectMessage {
            request,
            crashes: vec![crash],
            age_ms: 0,
        };
        self.merge(&message, now).changed
    }

    /// Clears a request that a live replica answered, as it does not crash replicas. Returns
    /// whether crashes were held against it.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let suspected = 0 < suspect.count();
        suspect.crashes.iter_mut().for_each(|it| it.void = true);
        suspected
    }

    /// Merges observations of another entry, or of an earlier run of this entry.
    pub fn merge(&mut self, message: &SuspectMessage, now: Time) -> MergeOutcome {
        self.evict_for(message.request);
        let suspect = self.suspects.entry(message.request).or_default();
        let before = suspect.crashes.clone();
        message
            .crashes
            .iter()
            .for_each(|it| suspect.merge_crash(*it));
        let crashed_at = now.before_ms(u64::from(message.age_ms));
        suspect.crashed_at = suspect.crashed_at.max(crashed_at);
        MergeOutcome {
            changed: before != suspect.crashes,
            incomplete: suspect.has_more_than(&message.crashes),
        }
    }

    /// Returns the observations of a request, as sent to other entries.
    pub fn snapshot(&self, request: Fingerprint, now: Time) -> Option<SuspectMessage> {
        let suspect = self.suspects.get(&request)?;
        let age_ms = now.since(suspect.crashed_at).as_millis();
        Some(SuspectMessage {
            request,
            crashes: suspect.crashes.clone(),
            age_ms: age_ms.min(u128::from(u32::MAX)) as u32,
        })
    }

    /// Returns whether a request may be sent to a replica. `is_retry_owner` is true if this entry
    /// is the only one in the fleet that retries the request after its quarantine period.
    pub fn verdict(&self, request: Fingerprint, is_retry_owner: bool, now: Time) -> Verdict {
        let Some(suspect) = self.suspects.get(&request) else {
            return Verdict::Admitted;
        };
        if suspect.count() < EXCLUSIVE_CRASHES {
            return Verdict::Admitted;
        }
        if self.is_quarantined(request) {
            let until = suspect.crashed_at.after(quarantine_period(suspect.count()));
            if !is_retry_owner || now < until {
                return Verdict::Quarantined(until.since(now).max(FIRST_PERIOD));
            }
        }
        match suspect.attempts {
            0 => Verdict::Exclusive,
            _ => Verdict::Busy(BUSY_RETRY_AFTER),
        }
    }

    /// Records that an attempt at a request has started.
    pub fn begin_attempt(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.attempts += 1;
        }
    }

    /// Records that an attempt at a request has ended with a known outcome.
    pub fn end_attempt(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.attempts = suspect.attempts.saturating_sub(1);
        }
    }

    /// Removes requests whose retention has expired.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, it| {
            let retention = match it.count() {
                QUARANTINE_CRASHES.. => 2 * quarantine_period(it.count()),
                _ => RETENTION,
            };
            0 < it.attempts || now < it.crashed_at.after(retention)
        });
    }

    /// Returns whether a request has enough crashes that no other request explains equally well.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request) else {
            return false;
        };
        let count = suspect.count();
        if count < QUARANTINE_CRASHES {
            return false;
        }
        let all = self.suspects.iter();
        let rivals: Vec<&Suspect> = all
            .filter(|(key, it)| **key != request && count <= it.count())
            .map(|(_, it)| it)
            .collect();
        let own = suspect
            .counted_starts()
            .filter(|it| !rivals.iter().any(|rival| rival.has(*it)));
        QUARANTINE_CRASHES <= own.count()
    }

    /// Evicts the least significant request without a running attempt if `request` needs its place.
    fn evict_for(&mut self, request: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let idle = self.suspects.iter().filter(|(_, it)| it.attempts == 0);
        let evicted = idle.min_by_key(|(_, it)| (it.count(), it.crashed_at));
        if let Some(evicted) = evicted.map(|(key, _)| *key) {
            self.suspects.remove(&evicted);
        }
    }
}

/// Returns the time from the last of `crashes` to the next attempt at a quarantined request.
fn quarantine_period(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES).min(16) as u32;
    (FIRST_PERIOD * 2_u32.pow(doublings)).min(MAX_PERIOD)
}
