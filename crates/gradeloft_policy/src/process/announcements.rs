//! Schedules announcements to other entries and their repetition.
//!
//! Datagrams get lost, and entries can be suspended, cut off or just starting, so an announcement
//! that must reach all entries soon is repeated. An entry that receives outdated information
//! replies with newer information. To avoid replies from all entries at once, each entry delays its
//! reply, and drops it if another entry has sent the same reply in the meantime.

use std::collections::HashMap;

use gradeloft_wire::quarantine::Subject;

use crate::clock::Time;

/// Times at which an announcement is sent, counted from its creation, in milliseconds. On a bad
/// link that loses one datagram in thirty, four announcements in a million are lost every time. The
/// last time is late enough for a process that had just started, or was suspended for a second, to
/// receive again.
const SEND_AT_MS: [u64; 5] = [0, 125, 500, 1_000, 2_000];

#[derive(Clone, Copy, Debug)]
struct Item {
    since: Time,
    /// Number of times that the announcement was sent.
    sent: usize,
    /// Number of times that the announcement is to be sent.
    times: usize,
}

impl Item {
    fn due(&self) -> Option<Time> {
        let after_ms = SEND_AT_MS[..self.times].get(self.sent)?;
        Some(self.since.after_ms(*after_ms))
    }
}

/// Subjects to announce to other entries.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    items: HashMap<Subject, Item>,
}

impl Announcements {
    /// Schedules announcements of new information about a subject, starting now.
    pub fn add(&mut self, subject: Subject, now: Time) {
        let item = Item {
            since: now,
            sent: 0,
            times: SEND_AT_MS.len(),
        };
        self.items.insert(subject, item);
    }

    /// Schedules a single reply to an entry with outdated information at `at`, unless an
    /// announcement of the subject is already scheduled.
    pub fn schedule_reply(&mut self, subject: Subject, at: Time) {
        // One reply is enough, since each further outdated message gets another reply.
        let item = Item {
            since: at,
            sent: 0,
            times: 1,
        };
        self.items.entry(subject).or_insert(item);
    }

    /// Cancels a reply that another entry has already sent.
    pub fn cancel_reply(&mut self, subject: Subject) {
        let is_reply = |it: &Item| it.times == 1;
        if self.items.get(&subject).is_some_and(is_reply) {
            self.items.remove(&subject);
        }
    }

    /// Returns at most `most` subjects to announce now, in descending order of `weight`.
    pub fn take_due(
        &mut self,
        now: Time,
        most: usize,
        weight: impl Fn(Subject) -> usize,
    ) -> Vec<Subject> {
        self.items.retain(|_, it| it.due().is_some());
        let due = self.items.iter();
        let due = due.filter(|(_, it)| it.due().is_some_and(|at| at <= now));
        let mut due: Vec<Subject> = due.map(|(subject, _)| *subject).collect();
        due.sort_by_cached_key(|it| (usize::MAX - weight(*it), *it));
        due.truncate(most);
        for subject in &due {
            if let Some(item) = self.items.get_mut(subject) {
                item.sent += 1;
            }
        }
        due
    }
}
