//! Crashes that are held against one subject.

use gradeloft_wire::quarantine::{Crash as CrashMessage, MAX_CRASHES, Subject};

use crate::clock::Time;

/// Time within which crashes count as one moment, in milliseconds. A rack or a region that fails crashes many replicas
/// at once, and entries notice and report these crashes a moment apart.
const SIMULTANEOUS_MS: i64 = 150;

/// A crash of a replica while it had a request with the subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// Hash that identifies the start of the replica.
    pub(super) start: u32,
    /// Earliest time at which an entry noticed the crash, in milliseconds since the start of this
    /// process; negative for a crash before it.
    pub(super) at_ms: i64,
    /// Whether the crash no longer counts.
    void: bool,
}

impl Crash {
    fn received(message: &CrashMessage, now: Time) -> Crash {
        Crash {
            start: message.start,
            at_ms: signed_ms(now) - i64::from(message.age_ms),
            void: message.void,
        }
    }
}

/// A subject against which crashes are held.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    subject: Subject,
    /// Crashes sorted by start, each start once.
    crashes: Vec<Crash>,
    /// Number of crashes that count. All suspects are compared by it.
    count: usize,
    /// Time of the latest known crash.
    pub(super) crashed_at: Time,
    /// Attempts at this entry that are running or whose outcome isn't clear yet.
    pub(super) attempts: u32,
}

impl Suspect {
    pub(super) fn of(subject: Subject) -> Suspect {
        Suspect {
            subject,
            crashes: Vec::new(),
            count: 0,
            crashed_at: Time::ZERO,
            attempts: 0,
        }
    }

    /// Iterates over all crashes, including void ones.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Iterates over the crashes that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|it| !it.void)
    }

    /// Returns the number of crashes that count.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Returns whether the crash of a start counts.
    pub(super) fn has(&self, start: u32) -> bool {
        self.counted().any(|it| it.start == start)
    }

    /// Returns the times of the crashes that count, in order, in milliseconds.
    pub(super) fn times_ms(&self) -> Vec<i64> {
        let mut times: Vec<i64> = self.counted().map(|it| it.at_ms).collect();
        times.sort_unstable();
        times
    }

    /// Merges reported crashes; returns whether any was unknown. A crash that was voided stays void.
    pub(super) fn merge(&mut self, reported: &[CrashMessage], now: Time) -> bool {
        let mut changed = false;
        for message in reported {
            let crash = Crash::received(message, now);
            let crashed_at = now.before_ms(u64::from(message.age_ms));
            self.crashed_at = self.crashed_at.max(crashed_at);
            changed |= self.merge_crash(crash);
        }
        self.count = self.counted().count();
        changed
    }

    fn merge_crash(&mut self, crash: Crash) -> bool {
        let known = self
            .crashes
            .binary_search_by_key(&crash.start, |it| it.start);
        match known {
            Ok(idx) => {
                let known = &mut self.crashes[idx];
                known.at_ms = known.at_ms.min(crash.at_ms);
                let voided = crash.void && !known.void;
                known.void |= crash.void;
                voided
            }
            Err(idx) => {
                self.crashes.insert(idx, crash);
                let dropped = self.drop_excess();
                dropped != Some(crash.start)
            }
        }
    }

    /// Drops the least significant crash if there are too many; returns its start.
    fn drop_excess(&mut self) -> Option<u32> {
        if self.crashes.len() <= MAX_CRASHES {
            return None;
        }
        let last = self.crashes.iter().map(|it| it.at_ms).max();
        let mut all = self.crashes.iter().enumerate();
        let dropped = match self.subject {
            // A sound part that many requests share has many void crashes, and its next crashes must
            // count. The latest crash decides when the part is tried again.
            Subject::Part(_) => all
                .filter(|(_, it)| Some(it.at_ms) != last)
                .max_by_key(|(_, it)| (it.void, it.start)),
            Subject::Request(_) => all.next_back(),
        };
        let (idx, _) = dropped?;
        Some(self.crashes.remove(idx).start)
    }

    /// Voids the crashes up to `until`; returns whether any counted.
    pub(super) fn void(&mut self, until: Time) -> bool {
        let counted = self.crashes.iter_mut().filter(|it| !it.void);
        let mut changed = false;
        for crash in counted.filter(|it| it.at_ms <= signed_ms(until)) {
            crash.void = true;
            changed = true;
        }
        self.count = self.counted().count();
        changed
    }

    /// Returns whether a report lacks something that is known here.
    pub(super) fn has_more_than(&self, reported: &[CrashMessage]) -> bool {
        let lacks = |known: &Crash| {
            match reported.iter().find(|it| it.start == known.start) {
                Some(it) => known.void && !it.void,
                // Entries drop different void crashes of a part, of which there are many.
                None => !known.void || matches!(self.subject, Subject::Request(_)),
            }
        };
        // An entry that holds as many crashes as it can may hold others.
        let full = MAX_CRASHES <= reported.len() && matches!(self.subject, Subject::Part(_));
        !full && self.crashes.iter().any(lacks)
    }

    /// Returns the crashes as sent to other entries.
    pub(super) fn snapshot(&self, now: Time) -> Vec<CrashMessage> {
        let message = |it: &Crash| CrashMessage {
            start: it.start,
            void: it.void,
            age_ms: (signed_ms(now) - it.at_ms).clamp(0, i64::from(u32::MAX)) as u32,
        };
        self.crashes.iter().map(message).collect()
    }
}

/// Returns the age of a point in time, in milliseconds.
pub(super) fn age_ms(at: Time, now: Time) -> u32 {
    let age_ms = now.since(at).as_millis();
    age_ms.min(u128::from(u32::MAX)) as u32
}

fn signed_ms(time: Time) -> i64 {
    (time.0 / 1_000) as i64
}

/// Returns the number of moments at which crashes happened, where simultaneous crashes count once.
pub(super) fn count_moments(times_ms: impl IntoIterator<Item = i64>) -> usize {
    let mut times_ms: Vec<i64> = times_ms.into_iter().collect();
    times_ms.sort_unstable();
    let mut moments = 0;
    let mut began_ms: Option<i64> = None;
    for time_ms in times_ms {
        if began_ms.is_none_or(|it| SIMULTANEOUS_MS <= time_ms - it) {
            moments += 1;
            began_ms = Some(time_ms);
        }
    }
    moments
}
