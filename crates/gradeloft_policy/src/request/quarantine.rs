//! Requests that end each replica which begins them: queries of death.
//!
//! Such a request comes again, from a caller that retries or asks the same anew, at any entry. What an entry
//! knows of one attempt ends with its answer, and each attempt alone looks like bad luck with a replica. What
//! lasts here is a request's [`Fingerprint`], and under it the starts of replicas that ended while they had it.
//!
//! A replica that ends takes along all that runs there, so a single crash blames a dozen requests of which one
//! is the cause at most. A request is shut out once it has crashes enough that no other request explains as
//! well, and any success clears it. What several entries saw is joined as sets: words may come late, more than
//! once and in any order.

use std::{collections::HashMap, time::Duration};

use gradeloft_wire::{
    id::Fingerprint,
    quarantine::{Crash, MOST_CRASHES, Suspect as Word},
};

use crate::clock::Time;

/// Crashes that no other request explains as well, from which on a request is shut out. Two happen by chance:
/// of twelve replicas with fifteen innocent requests each, about one innocent for each crash is also at the
/// next one, and one in a hundred at a third (`tests/quarantine.rs`).
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashes from which on an entry has one try of a request under way at most, so that what is still to be
/// found out costs one replica at a time.
const ALONE_AT: usize = 2;
/// Time from the last crash of a request that is shut out until it is tried once more; doubles with each
/// further crash, up to the longest. Each try costs a replica and what runs there, and the request's own caller
/// has got no answer from it yet: minutes cost nobody anything.
const FIRST_PAUSE: Duration = Duration::from_secs(600);
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a request with fewer crashes is remembered: callers that ask the same anew do so within
/// minutes, and it is to be found out all the same while entries and replicas come and go.
const REMEMBERED: Duration = Duration::from_secs(900);
/// When the caller of a request is to come back that is tried already: as long as callers wait for an answer.
const BUSY_BACK: Duration = Duration::from_secs(6);
/// Requests that are remembered, of about a hundred bytes each. A mass failure of 2,300 replicas leaves more
/// behind; those with the fewest crashes, and of these the oldest, go first.
const MOST: usize = 1_024;

/// Whether a request may go to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Admitted,
    /// It may, as long as it is the only one of its kind under way at this entry.
    Exclusive,
    /// One like it is under way; it may in a while.
    Busy(Duration),
    /// It ends replicas; it may not before so much time has passed.
    Quarantined(Duration),
}

/// What a word of another entry brought.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Merged {
    /// Something that was not known here.
    pub changed: bool,
    /// It lacked something that is known here.
    pub incomplete: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// By start, each start once.
    crashes: Vec<Crash>,
    /// When the last of them happened, as far as is known.
    crashed_at: Time,
    /// Tries under way at this entry, and tries of which it is not clear yet how they ended.
    tries: u32,
}

impl Suspect {
    fn open(&self) -> impl Iterator<Item = u32> {
        let open = self.crashes.iter().filter(|it| !it.void);
        open.map(|it| it.start)
    }

    fn count(&self) -> usize {
        self.open().count()
    }

    fn has(&self, start: u32) -> bool {
        self.open().any(|it| it == start)
    }

    /// Joins a crash with those that are known; a crash that is void stays void.
    fn join(&mut self, crash: Crash) {
        match self
            .crashes
            .binary_search_by_key(&crash.start, |it| it.start)
        {
            Ok(idx) => self.crashes[idx].void |= crash.void,
            Err(idx) => self.crashes.insert(idx, crash),
        }
        self.crashes.truncate(MOST_CRASHES);
    }

    /// Whether it knows more than `crashes`.
    fn exceeds(&self, crashes: &[Crash]) -> bool {
        let known = |it: &Crash| crashes.iter().any(|other| other == it);
        !self.crashes.iter().all(known)
    }
}

/// Requests during which replicas ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests of which something is known.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.keys().copied()
    }

    /// Whether anything is known of a request.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// How many are shut out.
    pub fn quarantined(&self) -> usize {
        let all = self.fingerprints();
        all.filter(|it| self.is_quarantined(*it)).count()
    }

    /// Crashes of a request that count.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, Suspect::count)
    }

    /// A replica ended while it had a request; gives whether that is news.
    pub fn record_crash(&mut self, request: Fingerprint, start: u32, now: Time) -> bool {
        let crash = Crash { start, void: false };
        let word = Word {
            request,
            crashes: vec![crash],
            age_ms: 0,
        };
        self.merge(&word, now).changed
    }

    /// A request was answered by a replica that lives: it does not end those that begin it. Gives whether that
    /// is news.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let suspected = 0 < suspect.count();
        suspect.crashes.iter_mut().for_each(|it| it.void = true);
        suspected
    }

    /// Joins what another entry, or an earlier start of this one, knew of a request.
    pub fn merge(&mut self, word: &Word, now: Time) -> Merged {
        self.make_room(word.request);
        let suspect = self.suspects.entry(word.request).or_default();
        let before = suspect.crashes.clone();
        word.crashes.iter().for_each(|it| suspect.join(*it));
        let crashed_at = now.before_ms(u64::from(word.age_ms));
        suspect.crashed_at = suspect.crashed_at.max(crashed_at);
        Merged {
            changed: before != suspect.crashes,
            incomplete: suspect.exceeds(&word.crashes),
        }
    }

    /// What is known of a request, as other entries are told it.
    pub fn snapshot(&self, request: Fingerprint, now: Time) -> Option<Word> {
        let suspect = self.suspects.get(&request)?;
        let age_ms = now.since(suspect.crashed_at).as_millis();
        Some(Word {
            request,
            crashes: suspect.crashes.clone(),
            age_ms: age_ms.min(u128::from(u32::MAX)) as u32,
        })
    }

    /// Whether a request may go to a replica; `home` says whether this entry is the one in the fleet that tries
    /// it again once its pause is over.
    pub fn verdict(&self, request: Fingerprint, home: bool, now: Time) -> Verdict {
        let Some(suspect) = self.suspects.get(&request) else {
            return Verdict::Admitted;
        };
        if suspect.count() < ALONE_AT {
            return Verdict::Admitted;
        }
        if self.is_quarantined(request) {
            let until = suspect.crashed_at.after(pause(suspect.count()));
            if !home || now < until {
                return Verdict::Quarantined(until.since(now).max(FIRST_PAUSE));
            }
        }
        match suspect.tries {
            0 => Verdict::Exclusive,
            _ => Verdict::Busy(BUSY_BACK),
        }
    }

    /// A try of a request is under way.
    pub fn begin_attempt(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.tries += 1;
        }
    }

    /// A try of a request is over, and it is clear how it ended.
    pub fn end_attempt(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.tries = suspect.tries.saturating_sub(1);
        }
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, it| {
            let remembered = match it.count() {
                QUARANTINE_CRASHES.. => 2 * pause(it.count()),
                _ => REMEMBERED,
            };
            0 < it.tries || now < it.crashed_at.after(remembered)
        });
    }

    /// Whether a request has enough crashes that no other request explains as well.
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
            .open()
            .filter(|it| !rivals.iter().any(|rival| rival.has(*it)));
        QUARANTINE_CRASHES <= own.count()
    }

    /// Lets go of the request that matters least, if a further one needs the room.
    fn make_room(&mut self, request: Fingerprint) {
        if self.suspects.len() < MOST || self.suspects.contains_key(&request) {
            return;
        }
        let idle = self.suspects.iter().filter(|(_, it)| it.tries == 0);
        let least = idle.min_by_key(|(_, it)| (it.count(), it.crashed_at));
        if let Some(least) = least.map(|(key, _)| *key) {
            self.suspects.remove(&least);
        }
    }
}

/// Time from the last of so many crashes until a request that is shut out is tried once more.
fn pause(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES).min(16) as u32;
    (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
}
