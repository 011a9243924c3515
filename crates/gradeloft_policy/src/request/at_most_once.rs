//! Calls that run at most once.
//!
//! An agent runs a keyed call only after its claim stands on the platform's log as the first one
//! for the key. Every agent of the service folds the same stream, so an agent that restarts, that
//! wakes from a pause or that was not the key's home learns of a claim that came first.

use std::collections::{HashMap, VecDeque};

use gradeloft_wire::{error::Kind, id::Digest, record::Claim};

use crate::clock::Time;

/// Outcomes kept for repeated calls.
const MAX_OUTCOMES: usize = 1024;

/// What to do with a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<O> {
    /// Append this claim and read the stream up to it, then ask [`ClaimTable::settle`].
    Claim(Claim),
    /// Answer with the outcome of the first call.
    Replay(O),
    /// Answer with this kind.
    Refuse(Kind),
    /// Run it, now.
    Run,
}

enum Own<O> {
    /// The claim is on its way to the log or is being read back.
    Claiming { attempt: u128, asked: Time },
    /// Given up before it ran; the claim may stand on the log all the same.
    Abandoned { attempt: u128 },
    /// It runs, or its outcome was lost.
    Started,
    /// It ran, with this outcome.
    Done(O),
}

/// Claims of one service as one agent knows them; `O` is the outcome kept for repeated calls.
pub struct ClaimTable<O> {
    /// First claim of each key by offset, from the log. Never replaced.
    claimed: HashMap<Digest, (u128, u64)>,
    own: HashMap<Digest, Own<O>>,
    /// Keys whose outcomes are kept, oldest first; at most [`MAX_OUTCOMES`].
    outcomes: VecDeque<Digest>,
    /// Offset after the last record folded.
    next: u64,
    /// A claim must be settled within this after it was asked for, in milliseconds; far below the
    /// log's retention, so that a holder that wakes from a pause can't outlive its claim.
    expiry_ms: u64,
}

impl<O: Clone> ClaimTable<O> {
    /// An empty table.
    pub fn new(expiry_ms: u64) -> ClaimTable<O> {
        ClaimTable {
            claimed: HashMap::new(),
            own: HashMap::new(),
            outcomes: VecDeque::new(),
            next: 0,
            expiry_ms,
        }
    }

    /// Offset to read the stream from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Folds the claims at `offset`. Records at offsets already folded change nothing.
    pub fn fold(&mut self, offset: u64, claims: &[Claim]) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        for claim in claims {
            self.claimed
                .entry(claim.key)
                .or_insert((claim.attempt, offset));
        }
    }

    /// Passes over an offset that holds nothing to fold.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Forgets claims that the log has dropped: those below `oldest`.
    pub fn drop_below(&mut self, oldest: u64) {
        let ClaimTable { claimed, own, .. } = self;
        let dropped: Vec<Digest> = claimed
            .iter()
            .filter(|(_, (_, offset))| *offset < oldest)
            .map(|(key, _)| *key)
            .collect();
        for key in dropped {
            claimed.remove(&key);
            own.remove(&key);
        }
    }

    /// A keyed call arrives.
    pub fn arrive(&mut self, key: Digest, attempt: u128, now: Time) -> Step<O> {
        match self.own.get(&key) {
            Some(Own::Done(outcome)) => return Step::Replay(outcome.clone()),
            Some(Own::Claiming { .. } | Own::Started) => return Step::Refuse(Kind::Duplicate),
            Some(&Own::Abandoned { attempt }) => {
                // The earlier claim is this agent's own and never ran: take it up again.
                self.own.insert(
                    key,
                    Own::Claiming {
                        attempt,
                        asked: now,
                    },
                );
                return Step::Claim(Claim { key, attempt });
            }
            None => {}
        }
        if self.claimed.contains_key(&key) {
            return Step::Refuse(Kind::Duplicate);
        }
        self.own.insert(
            key,
            Own::Claiming {
                attempt,
                asked: now,
            },
        );
        Step::Claim(Claim { key, attempt })
    }

    /// The stream has been read past the claim: whether the call runs. Only the first claim by
    /// offset runs, and only once.
    pub fn settle(&mut self, key: Digest, now: Time) -> Step<O> {
        let Some(&Own::Claiming { attempt, asked }) = self.own.get(&key) else {
            return Step::Refuse(Kind::Duplicate);
        };
        match self.claimed.get(&key) {
            Some((first, _)) if *first == attempt => {}
            Some(_) => {
                self.own.remove(&key);
                return Step::Refuse(Kind::Duplicate);
            }
            None => {
                self.own.insert(key, Own::Abandoned { attempt });
                return Step::Refuse(Kind::LogUnavailable);
            }
        }
        if asked.after_ms(self.expiry_ms) < now {
            self.own.insert(key, Own::Abandoned { attempt });
            return Step::Refuse(Kind::LogUnavailable);
        }
        self.own.insert(key, Own::Started);
        Step::Run
    }

    /// The claim can't be appended or read back: the call has not run.
    pub fn abandon(&mut self, key: Digest) {
        if let Some(&Own::Claiming { attempt, .. }) = self.own.get(&key) {
            self.own.insert(key, Own::Abandoned { attempt });
        }
    }

    /// The call that [`Step::Run`] allowed did not reach the endpoint after all.
    pub fn mark_not_run(&mut self, key: Digest) {
        let first = self.claimed.get(&key).map(|(attempt, _)| *attempt);
        if let (Some(Own::Started), Some(attempt)) = (self.own.get(&key), first) {
            self.own.insert(key, Own::Abandoned { attempt });
        }
    }

    /// The call ran with this outcome. The oldest outcome is forgotten when too many are kept: a
    /// repeat of that call is still refused, as one whose outcome is unknown.
    pub fn complete(&mut self, key: Digest, outcome: O) {
        if self.outcomes.len() == MAX_OUTCOMES
            && let Some(oldest) = self.outcomes.pop_front()
            && let Some(own) = self.own.get_mut(&oldest)
        {
            *own = Own::Started;
        }
        self.outcomes.push_back(key);
        self.own.insert(key, Own::Done(outcome));
    }
}

/// Key of a call in the table: the same caller's key of another team or service is another key.
pub fn key(service: &str, team: &str, caller_key: &str) -> Digest {
    Digest::of_parts(&[service, team, caller_key].map(str::as_bytes))
}
