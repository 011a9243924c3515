//! What an entry tells others at once, and again until they have most likely heard it.
//!
//! Datagrams get lost, and entries are frozen, cut off or just starting, so what must be known everywhere soon is
//! told several times. Whoever hears a word that lacks something answers with what it knows; that all who know it
//! answer at once is avoided by waiting for a while, and by keeping quiet once another has said the same.

use std::collections::HashMap;

use gradeloft_wire::id::Fingerprint;

use crate::clock::Time;

/// When something is told after it came up, in milliseconds. Of a word that is lost once in thirty times on a
/// bad link, four in a million are lost each time; and the last comes after a process that had just started, or
/// was away for a second, listens again.
const SEND_AT_MS: [u64; 5] = [0, 125, 500, 1_000, 2_000];

#[derive(Clone, Copy, Debug)]
struct Item {
    since: Time,
    /// How often it was told.
    sent: usize,
    /// How often it is told in all.
    times: usize,
}

impl Item {
    fn due(&self) -> Option<Time> {
        let after_ms = SEND_AT_MS[..self.times].get(self.sent)?;
        Some(self.since.after_ms(*after_ms))
    }
}

/// Requests of which others are told.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    items: HashMap<Fingerprint, Item>,
}

impl Announcements {
    /// Something came up that others do not know: they are told from now on.
    pub fn add(&mut self, request: Fingerprint, now: Time) {
        let item = Item {
            since: now,
            sent: 0,
            times: SEND_AT_MS.len(),
        };
        self.items.insert(request, item);
    }

    /// Another entry lacks something: it is told at `at`, unless it will be told sooner in any case.
    pub fn schedule_answer(&mut self, request: Fingerprint, at: Time) {
        // Once is enough: whoever still lacks it is answered again.
        let item = Item {
            since: at,
            sent: 0,
            times: 1,
        };
        self.items.entry(request).or_insert(item);
    }

    /// Another entry said what this one would have said.
    pub fn cancel_answer(&mut self, request: Fingerprint) {
        let answer = |it: &Item| it.times == 1;
        if self.items.get(&request).is_some_and(answer) {
            self.items.remove(&request);
        }
    }

    /// What is to be told now, `most` requests at the most: those of the highest `weight` first.
    pub fn take_due(
        &mut self,
        now: Time,
        most: usize,
        weight: impl Fn(Fingerprint) -> usize,
    ) -> Vec<Fingerprint> {
        self.items.retain(|_, it| it.due().is_some());
        let due = self.items.iter();
        let due = due.filter(|(_, it)| it.due().is_some_and(|at| at <= now));
        let mut due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.sort_by_cached_key(|it| (usize::MAX - weight(*it), *it));
        due.truncate(most);
        for request in &due {
            if let Some(item) = self.items.get_mut(request) {
                item.sent += 1;
            }
        }
        due
    }
}
