//! When each replica takes a new version, so that the fleet goes on serving.
//!
//! Replicas that already serve change over in waves, each once most of those before are back. All but
//! the last cut their streams off, which go on at replicas of later waves, still on the same version:
//! so they are back within the time of one load, and no more than a wave is away at once. For the
//! streams of the last wave no replica with their version is left, so it finishes them. The waves are
//! drawn by rendezvous hashing, so every agent knows its own without asking.

use std::time::Duration;

use crate::{clock::Time, rendezvous};

/// Waves, where there are as many replicas. With two, half of a fleet at full load was away at once,
/// and a third of the requests were late while a version changed over.
const WAVES: usize = 4;
/// Part of the earlier waves that has to be back before one begins.
const BACK: f64 = 0.75;
/// Part of the time for a version after which the first wave after the first, and the last, begin in
/// any case.
const LATEST_FIRST: f64 = 0.5;
const LATEST_LAST: f64 = 0.65;

/// Part of the time for a version by which the last replica begins to load it, where all have it in time: a load, and
/// two seconds for the last ones to finish their streams, before requests need it.
const LAST_TURN: f64 = 0.75;
/// Longest time over which the replicas of a fleet begin to load a version that they all have: a load takes half a
/// second with what leads up to it, so a tenth of them is closed at once.
const SPREAD: Duration = Duration::from_secs(5);
/// Part of the time for a version over which the replicas of a fleet load one that is superseded, one after the
/// other: each stages the newer version once it has begun to load this one, and its pieces need a third of its time to
/// come. In waves of a quarter each, and closed for 0.7 s more, up to three quarters of a fleet were closed at once; over
/// 1.6 s of 9.7 up to two fifths.
const SUPERSEDED_PART: f64 = 0.3;
/// Replicas that are ordered to load after one before it is open again, while they go on.
const FOLLOWERS: u64 = 3;
/// Time for which the last ones get no requests after an order for a superseded version, in milliseconds. Should
/// the instance of the one that was ordered last stop right then, requests that it holds would begin on that
/// version when the newer one is due.
const LAST_CLOSED_MS: u64 = 700;

/// What a replica does with the requests that it has when it is ordered to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunningRequests {
    /// They are cut off, to go on elsewhere.
    Cut,
    /// They are finished first.
    Finished,
}

/// How far a change-over is, as entries say.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SwitchProgress {
    /// Newest version that was heard of.
    pub version: u64,
    /// Replicas that take requests with it.
    pub replicas: usize,
}

impl SwitchProgress {
    /// Takes in what an entry says now. Of two words on one version the later counts, also if it is lower:
    /// replicas come back one by one, and go again.
    pub fn update(&mut self, word: SwitchProgress) {
        if self.version <= word.version {
            *self = word;
        }
    }

    /// Replicas that take requests with a version; none are known for any but the newest.
    pub fn replicas_with(self, version: u64) -> usize {
        if self.version == version {
            self.replicas
        } else {
            0
        }
    }
}

/// Time over which `all` replicas load a superseded version, in milliseconds. Few do so faster, as the one that was
/// ordered last has to be closed until the next one is.
fn superseded_ms(version_ms: u64, all: usize) -> u64 {
    let over_ms = (version_ms as f64 * SUPERSEDED_PART) as u64;
    over_ms.min(LAST_CLOSED_MS * all as u64)
}

/// The wave of one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wave {
    /// From 0.
    number: usize,
    /// Waves in all, at least 1.
    waves: usize,
    /// Replicas in earlier waves.
    before: usize,
    /// Position among all replicas, and how many there are.
    rank: usize,
    all: usize,
}

impl Wave {
    /// The wave of the replica `own` for a version; `others` are all other replicas of the service.
    pub fn new(version: u64, own: u64, others: &[u64]) -> Wave {
        Wave::with_first(version, own, others, &[])
    }

    /// As [`Wave::new`], with `first` before all others.
    pub fn with_first(version: u64, own: u64, others: &[u64], first: &[u64]) -> Wave {
        let all = others.len() + 1;
        let waves = WAVES.min(all);
        let is_first = |it: &u64| first.contains(it);
        let (ahead, alike): (Vec<u64>, Vec<u64>) =
            others.iter().partition(|it| is_first(it) != is_first(&own));
        let ahead = if is_first(&own) { 0 } else { ahead.len() };
        let rank = ahead + rendezvous::rank(version, own, alike.into_iter());
        let number = rank * waves / all;
        Wave {
            number,
            waves,
            before: (number * all).div_ceil(waves),
            rank,
            all,
        }
    }

    /// Whether the replica may load now: `switched` replicas are back with the version, which was
    /// named at `named` and is due within `version_ms`.
    pub fn may_load(self, switched: usize, named: Time, version_ms: u64, now: Time) -> bool {
        let back = self.before as f64 * BACK <= switched as f64;
        back || named.after_ms((version_ms as f64 * self.latest()) as u64) <= now
    }

    /// Whether it is the replica's turn, of a fleet that has a version ready since `ready`: one after the other, for as
    /// long as the version is not needed. A fleet that is nearly full has as little to spare at each moment as it can.
    pub fn has_turn(self, ready: Time, named: Time, version_ms: u64, now: Time) -> bool {
        let last = named.after_ms((version_ms as f64 * LAST_TURN) as u64);
        let over = last.since(ready).min(SPREAD);
        ready.after(over * self.rank as u32 / self.all as u32) <= now
    }

    /// As [`Wave::may_load`], for a version that is known to be superseded since `since`: one replica after
    /// the other without waiting for any, as the newer version is waited for already.
    pub fn may_load_superseded(self, since: Time, version_ms: u64, now: Time) -> bool {
        let over_ms = superseded_ms(version_ms, self.all);
        since.after_ms(over_ms * self.rank as u64 / self.all as u64) <= now
    }

    /// Time for which the replica gets no requests after an order for a superseded version, in milliseconds:
    /// until some others have been ordered to.
    pub fn closed_ms(self, version_ms: u64) -> u64 {
        if self.all < self.rank + 1 + FOLLOWERS as usize {
            return LAST_CLOSED_MS;
        }
        (superseded_ms(version_ms, self.all) * FOLLOWERS / self.all as u64).min(LAST_CLOSED_MS)
    }

    /// What becomes of the requests that run. Cutting needs streams that can all go on elsewhere.
    pub fn running_requests(self, resumable: bool) -> RunningRequests {
        let last = self.number + 1 == self.waves;
        if resumable && !last {
            RunningRequests::Cut
        } else {
            RunningRequests::Finished
        }
    }

    /// Part of the time for a version after which the wave begins in any case.
    fn latest(self) -> f64 {
        let between = self.waves.saturating_sub(2).max(1) as f64;
        let step = (LATEST_LAST - LATEST_FIRST) / between;
        LATEST_FIRST + step * self.number.saturating_sub(1) as f64
    }
}
