//! Time at which each replica loads a new version, so that the fleet continues to serve.
//!
//! Replicas that already serve switch in waves; a wave starts once most replicas of earlier waves
//! serve again. The replicas of all waves but the last cut off their streams, which resume on the
//! same version at replicas of later waves. A replica is thus unavailable only while it loads, and
//! at most one wave is unavailable at once. The replicas of the last wave finish their streams,
//! because no replica with the old version is left to resume them. The waves are assigned by
//! rendezvous hashing, so every agent computes the wave of its replica without communication.

use std::time::Duration;

use crate::{clock::Time, rendezvous};

/// Maximum number of waves. With two, half of a fleet at full load is unavailable at once, and a
/// third of the requests are late during the switch.
const MAX_WAVES: usize = 4;
/// Fraction of the replicas in earlier waves that must serve again before a wave starts.
const SWITCHED_FRACTION: f64 = 0.75;
/// Fraction of a version's rollout time after which the second wave starts in any case.
const LATEST_SECOND_START: f64 = 0.5;
/// Fraction of a version's rollout time after which the last wave starts in any case.
const LATEST_LAST_START: f64 = 0.65;

/// Fraction of a version's rollout time by which the last replica starts to load it, if all have
/// fetched it in time. This leaves time for a load, and two seconds for the last replicas to finish
/// their streams, before requests need the version.
const LAST_LOAD_START: f64 = 0.75;
/// Maximum time over which the replicas of a fleet start to load a version that they all have. A
/// load takes half a second including its preparation, so a tenth of the replicas is closed at
/// once.
const MAX_SPREAD: Duration = Duration::from_secs(5);
/// Fraction of a version's rollout time over which the replicas of a fleet load a superseded
/// version, one after the other. A replica stages the newer version once it has started to load the
/// superseded one, and fetching the newer chunks takes a third of the newer version's rollout time.
/// If the replicas loaded in four waves, with each replica closed for another 0.7 s, up to three
/// quarters of a fleet would be closed at once. With loads spread over 1.6 s of 9.7 s, up to two
/// fifths of a fleet are closed at once.
const SUPERSEDED_FRACTION: f64 = 0.3;
/// Number of further replicas that must be ordered to load before a replica that was ordered to
/// load is open again.
const FOLLOWERS: u64 = 3;
/// Time for which the last replicas get no requests after an order for a superseded version, in
/// milliseconds. If the instance of the replica ordered last stopped at that moment, the requests
/// that the replica holds would begin on the superseded version after the newer one is due.
const LAST_CLOSED_MS: u64 = 700;

/// Handling of the requests that run on a replica when it is ordered to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunningRequests {
    /// The requests are cut off, and resume at other replicas.
    Cut,
    /// The requests are finished before the load.
    Finished,
}

/// Progress of the switch to a version, as reported by entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SwitchProgress {
    /// Newest reported version.
    pub version: u64,
    /// Number of replicas that accept requests with this version.
    pub replicas: usize,
}

impl SwitchProgress {
    /// Applies the report of an entry. Of two reports on the same version, the later one replaces
    /// the earlier one even if its number is lower, as replicas also become unavailable again.
    pub fn update(&mut self, report: SwitchProgress) {
        if self.version <= report.version {
            *self = report;
        }
    }

    /// Returns the number of replicas that accept requests with a version; 0 for all but the newest
    /// one.
    pub fn replicas_with(self, version: u64) -> usize {
        if self.version == version {
            self.replicas
        } else {
            0
        }
    }
}

/// Returns the time over which `all` replicas load a superseded version, in milliseconds. The time
/// is shorter for few replicas, because each replica must still be closed when the next one is
/// ordered to load.
fn superseded_ms(version_ms: u64, all: usize) -> u64 {
    let over_ms = (version_ms as f64 * SUPERSEDED_FRACTION) as u64;
    over_ms.min(LAST_CLOSED_MS * all as u64)
}

/// Wave in which one replica switches to a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Index of the wave, from 0.
    number: usize,
    /// Number of waves, at least 1.
    waves: usize,
    /// Number of replicas in earlier waves.
    before: usize,
    /// Position of the replica among all replicas.
    rank: usize,
    /// Number of replicas.
    all: usize,
}

impl Wave {
    /// Returns the wave of the replica `own` for a version; `others` are all other replicas of the
    /// service.
    pub fn new(version: u64, own: u64, others: &[u64]) -> Wave {
        Wave::with_first(version, own, others, &[])
    }

    /// Like [`Wave::new`], but ranks the replicas in `first` before all others.
    pub fn with_first(version: u64, own: u64, others: &[u64], first: &[u64]) -> Wave {
        let all = others.len() + 1;
        let waves = MAX_WAVES.min(all);
        let is_first = |it: &u64| first.contains(it);
        let (ahead, peers): (Vec<u64>, Vec<u64>) =
            others.iter().partition(|it| is_first(it) != is_first(&own));
        let ahead = if is_first(&own) { 0 } else { ahead.len() };
        let rank = ahead + rendezvous::rank(version, own, peers.into_iter());
        let number = rank * waves / all;
        Wave {
            number,
            waves,
            before: (number * all).div_ceil(waves),
            rank,
            all,
        }
    }

    /// Returns whether the wave of the replica has started. `switched` replicas serve the
    /// version, which was named at `named` and has a rollout time of `version_ms` milliseconds.
    pub fn may_load(self, switched: usize, named: Time, version_ms: u64, now: Time) -> bool {
        let switched_enough = self.before as f64 * SWITCHED_FRACTION <= switched as f64;
        switched_enough || named.after_ms((version_ms as f64 * self.latest_start()) as u64) <= now
    }

    /// Returns whether it is the replica's turn to load a version that the fleet has fetched at
    /// `ready`. The replicas load one after the other until the version is needed, because a fleet
    /// near full load can spare few replicas at once.
    pub fn has_turn(self, ready: Time, named: Time, version_ms: u64, now: Time) -> bool {
        let last = named.after_ms((version_ms as f64 * LAST_LOAD_START) as u64);
        let over = last.since(ready).min(MAX_SPREAD);
        ready.after(over * self.rank as u32 / self.all as u32) <= now
    }

    /// Like [`Wave::may_load`], for a version that is known to be superseded since `since`. The
    /// replicas load one after the other without waiting for earlier ones to serve again, because
    /// the newer version is already pending.
    pub fn may_load_superseded(self, since: Time, version_ms: u64, now: Time) -> bool {
        let over_ms = superseded_ms(version_ms, self.all);
        since.after_ms(over_ms * self.rank as u64 / self.all as u64) <= now
    }

    /// Returns the time for which the replica gets no requests after an order for a superseded
    /// version, in milliseconds: until some other replicas have been ordered to load it.
    pub fn closed_ms(self, version_ms: u64) -> u64 {
        if self.all < self.rank + 1 + FOLLOWERS as usize {
            return LAST_CLOSED_MS;
        }
        (superseded_ms(version_ms, self.all) * FOLLOWERS / self.all as u64).min(LAST_CLOSED_MS)
    }

    /// Returns the handling of the running requests. They are cut off only if all streams are
    /// resumable.
    pub fn running_requests(self, resumable: bool) -> RunningRequests {
        let last = self.number + 1 == self.waves;
        if resumable && !last {
            RunningRequests::Cut
        } else {
            RunningRequests::Finished
        }
    }

    /// Returns the fraction of the version's rollout time after which the wave starts in any case.
    fn latest_start(self) -> f64 {
        let between = self.waves.saturating_sub(2).max(1) as f64;
        let step = (LATEST_LAST_START - LATEST_SECOND_START) / between;
        LATEST_SECOND_START + step * self.number.saturating_sub(1) as f64
    }
}
