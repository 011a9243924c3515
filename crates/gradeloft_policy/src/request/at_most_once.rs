//! Calls that run at most once.
//!
//! An agent runs a keyed call only once its claim is the first one for the key in the platform's
//! log. All agents of the service replay the same stream, so an agent that restarts, resumes after
//! a pause or takes over a key learns of any earlier claim.

use std::collections::{HashMap, VecDeque};

use gradeloft_wire::{error::Kind, id::Digest, record::Claim};

use crate::clock::Time;

/// Most outcomes kept for repeated calls.
const MAX_OUTCOMES: usize = 1024;

/// Next step for a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<O> {
    /// Append this claim and read the stream past it, then call [`ClaimTable::settle`].
    Claim(Claim),
    /// Respond with the outcome of the first call.
    Replay(O),
    /// Respond with this error.
    Refuse(Kind),
    /// Run the call now.
    Run,
}

enum Call<O> {
    /// The claim is being appended to the log or read back.
    Claiming { attempt: u128, requested_at: Time },
    /// The claim was given up before the call ran; it may still be in the log.
    Abandoned { attempt: u128 },
    /// The call is running, or its outcome is no longer known.
    Started,
    /// The call ran with this outcome.
    Done(O),
}

/// Claims of one service, as known to one agent. `O` is the outcome kept for repeated calls.
pub struct ClaimTable<O> {
    /// Attempt and log offset of each key's first claim. Entries are never replaced.
    claimed: HashMap<Digest, (u128, u64)>,
    calls: HashMap<Digest, Call<O>>,
    /// Keys with a stored outcome, oldest first; at most [`MAX_OUTCOMES`].
    outcomes: VecDeque<Digest>,
    /// Offset after the last record applied.
    next: u64,
    /// Time limit from requesting a claim to settling it, in milliseconds. It is far below the
    /// log's retention, so a holder that resumes after a pause can't outlive its claim.
    expiry_ms: u64,
}

impl<O: Clone> ClaimTable<O> {
    /// Creates an empty table.
    pub fn new(expiry_ms: u64) -> ClaimTable<O> {
        ClaimTable {
            claimed: HashMap::new(),
            calls: HashMap::new(),
            outcomes: VecDeque::new(),
            next: 0,
            expiry_ms,
        }
    }

    /// Returns the offset to read the stream from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the claims at `offset`. Offsets that were applied before have no effect.
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

    /// Advances past an offset without claims.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Removes claims below `oldest`, which the log has dropped.
    pub fn drop_below(&mut self, oldest: u64) {
        let ClaimTable { claimed, calls, .. } = self;
        let dropped: Vec<Digest> = claimed
            .iter()
            .filter(|(_, (_, offset))| *offset < oldest)
            .map(|(key, _)| *key)
            .collect();
        for key in dropped {
            claimed.remove(&key);
            calls.remove(&key);
        }
    }

    /// Returns the next step for a keyed call that arrives.
    pub fn arrive(&mut self, key: Digest, attempt: u128, now: Time) -> Step<O> {
        match self.calls.get(&key) {
            Some(Call::Done(outcome)) => return Step::Replay(outcome.clone()),
            Some(Call::Claiming { .. } | Call::Started) => return Step::Refuse(Kind::Duplicate),
            Some(&Call::Abandoned { attempt }) => {
                // The earlier claim belongs to this agent and never ran, so it is reused.
                self.calls.insert(
                    key,
                    Call::Claiming {
                        attempt,
                        requested_at: now,
                    },
                );
                return Step::Claim(Claim { key, attempt });
            }
            None => {}
        }
        if self.claimed.contains_key(&key) {
            return Step::Refuse(Kind::Duplicate);
        }
        self.calls.insert(
            key,
            Call::Claiming {
                attempt,
                requested_at: now,
            },
        );
        Step::Claim(Claim { key, attempt })
    }

    /// Decides whether the call runs, once the stream has been read past its claim. Only the first
    /// claim by offset runs, and only once.
    pub fn settle(&mut self, key: Digest, now: Time) -> Step<O> {
        let Some(&Call::Claiming {
            attempt,
            requested_at,
        }) = self.calls.get(&key)
        else {
            return Step::Refuse(Kind::Duplicate);
        };
        match self.claimed.get(&key) {
            Some((first, _)) if *first == attempt => {}
            Some(_) => {
                self.calls.remove(&key);
                return Step::Refuse(Kind::Duplicate);
            }
            None => {
                self.calls.insert(key, Call::Abandoned { attempt });
                return Step::Refuse(Kind::LogUnavailable);
            }
        }
        if requested_at.after_ms(self.expiry_ms) < now {
            self.calls.insert(key, Call::Abandoned { attempt });
            return Step::Refuse(Kind::LogUnavailable);
        }
        self.calls.insert(key, Call::Started);
        Step::Run
    }

    /// Gives up a claim that can't be appended or read back. Its call has not run.
    pub fn abandon(&mut self, key: Digest) {
        if let Some(&Call::Claiming { attempt, .. }) = self.calls.get(&key) {
            self.calls.insert(key, Call::Abandoned { attempt });
        }
    }

    /// Records that the call that [`Step::Run`] allowed did not reach the endpoint.
    pub fn mark_not_run(&mut self, key: Digest) {
        let first = self.claimed.get(&key).map(|(attempt, _)| *attempt);
        if let (Some(Call::Started), Some(attempt)) = (self.calls.get(&key), first) {
            self.calls.insert(key, Call::Abandoned { attempt });
        }
    }

    /// Records the outcome of a call that ran. If too many outcomes are kept, the oldest is
    /// dropped; repeats of that call are still refused, as its outcome is unknown.
    pub fn complete(&mut self, key: Digest, outcome: O) {
        if self.outcomes.len() == MAX_OUTCOMES
            && let Some(oldest) = self.outcomes.pop_front()
            && let Some(call) = self.calls.get_mut(&oldest)
        {
            *call = Call::Started;
        }
        self.outcomes.push_back(key);
        self.calls.insert(key, Call::Done(outcome));
    }
}

/// Returns the table key of a call. The same caller key gives different table keys for different
/// teams and services.
pub fn key(service: &str, team: &str, caller_key: &str) -> Digest {
    Digest::of_parts(&[service, team, caller_key].map(str::as_bytes))
}
