//! Removal of a replica's record, as the entries of a fleet learn it, with a cut of one entry's path to
//! the store or an outage of the store before it.
//!
//! Entries run the decisions of `gradeloft_policy`: selection of readers, and trust in removals.

use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::Record,
        readers,
        replicas::StoreTrust,
        store_reads::{self, DOUBT_MS, DoubtfulRemovals, RESTORED_MS, ReadPeriod, Removal, Since},
    },
};
use gradeloft_wire::position::Position;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Resolution of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// Time of the disruption, in milliseconds; until then all readers have read for long.
const DISRUPTED_MS: u64 = 10_000;
/// Duration of a run after the end of the disruption, in milliseconds.
const LENGTH_MS: u64 = 8_000;
/// Longest time until a reader notices that its reads fail, in milliseconds.
const DETECTION_MS: u64 = 2_400;
/// Longest time until a failed reader reads again, in milliseconds.
const BACKOFF_MS: u64 = 1_000;
/// Interval between two reads of the replicas' table, per replica, in milliseconds.
const PAUSE_MS_PER_REPLICA: f64 = 3.0;
/// Interval between two messages of an entry to a peer, in milliseconds.
const GOSSIP_MS: u64 = 250;
/// Interval between two calls to a reader, in milliseconds.
const VERIFY_MS: u64 = 200;
/// Time in which the record of a live replica that lapsed is written again, in milliseconds.
const RELISTED_MS: u64 = 2_000;

/// Disruption before the removal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disruption {
    /// The path of one reader to the store is cut; the replica really leaves after it has healed.
    Cut,
    /// The store is away; the record of a live replica lapses, and is written again.
    Outage,
}

/// Content of the reports about a removal between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Passing {
    /// Doubts, by which the receiver sets a deadline of its own.
    Doubts,
    /// Reads that succeeded, as `gradeloft_policy` decides.
    Reads,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Number of entries.
    pub entries: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Disruption.
    pub disruption: Disruption,
    /// Duration of the disruption, in milliseconds.
    pub for_ms: u64,
    /// Time from the end of the disruption to the removal, in milliseconds.
    pub removed_after_ms: u64,
    /// Content of the reports between entries.
    pub passing: Passing,
    /// Seed.
    pub seed: u64,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Longest time from the removal until an entry that was not cut off ceased to use the replica, in
    /// milliseconds.
    pub last_ms: u64,
    /// Number of entries that ceased to use the replica before its record was written again.
    pub dropped: usize,
    /// Number of calls to readers about the removal.
    pub calls: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    region: usize,
    name: u64,
    /// Time since which its own reads have succeeded; `None` for entries that don't read.
    own_since: Option<Since>,
    /// Time at which its next read succeeds, if it reads.
    next_read: Option<Time>,
    cut_off: bool,
    peers: Option<ReadPeriod>,
    doubts: DoubtfulRemovals,
    has_removal: bool,
    has_listing: bool,
    /// Time from which the replica is not used.
    gone_at: Option<Time>,
    next_call: Option<Time>,
    /// Time since which the removal is doubtful.
    doubted_at: Time,
    next_gossip: Time,
}

struct Fleet {
    run: Run,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    /// Readers of each region that are not cut off.
    served_readers: Vec<Vec<usize>>,
    removal: Removal,
    outcome: Outcome,
}

/// Position of the removal.
const REMOVAL: Position = Position::new(0, 7);

fn ms(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// Simulates a removal.
pub fn simulate(run: Run) -> Outcome {
    let mut fleet = Fleet::new(run);
    let healed_ms = DISRUPTED_MS + run.for_ms;
    let removed_ms = healed_ms + run.removed_after_ms;
    fleet.removal.written = ms(removed_ms);
    let relisted_ms = removed_ms + fleet.rng.random_range(0..RELISTED_MS);
    let mut now_ms = DISRUPTED_MS;
    while now_ms < removed_ms + LENGTH_MS {
        let now = ms(now_ms);
        if removed_ms <= now_ms {
            let relisted = run.disruption == Disruption::Outage && relisted_ms <= now_ms;
            fleet.read_store(now, relisted);
            fleet.gossip(now);
            fleet.verify(now);
        }
        now_ms += TICK_MS;
    }
    fleet.outcome(now_ms)
}

impl Fleet {
    fn new(run: Run) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
        let entry = |idx: usize, rng: &mut ChaCha8Rng| Entry {
            region: idx % run.regions,
            name: rng.random(),
            own_since: None,
            next_read: None,
            cut_off: false,
            peers: None,
            doubts: DoubtfulRemovals::default(),
            has_removal: false,
            has_listing: false,
            gone_at: None,
            next_call: None,
            doubted_at: Time::ZERO,
            next_gossip: ms(DISRUPTED_MS + rng.random_range(0..GOSSIP_MS)),
        };
        let entries = (0..run.entries).map(|it| entry(it, &mut rng)).collect();
        let mut fleet = Fleet {
            run,
            rng,
            entries,
            served_readers: Vec::new(),
            removal: Removal {
                end: REMOVAL.next(),
                written: Time::ZERO,
            },
            outcome: Outcome::default(),
        };
        fleet.disrupt();
        let cut = fleet.entries.iter().position(|it| it.cut_off);
        let regions = 0..run.regions;
        fleet.served_readers = regions.map(|it| fleet.readers(it, cut)).collect();
        fleet
    }

    /// Returns the entries of a region that read the store, without one.
    fn readers(&self, region: usize, without: Option<usize>) -> Vec<usize> {
        let members = (region..self.entries.len()).step_by(self.run.regions);
        let members: Vec<usize> = members.filter(|it| Some(*it) != without).collect();
        let names: Vec<u64> = members.iter().map(|it| self.entries[*it].name).collect();
        let selected = readers::select(0, &names, self.run.regions);
        selected.into_iter().map(|it| members[it]).collect()
    }

    /// Sets the states of reading that the disruption leaves at its end.
    fn disrupt(&mut self) {
        let healed = ms(DISRUPTED_MS + self.run.for_ms);
        let before = ReadPeriod {
            since: Time::ZERO.into(),
            until: ms(DISRUPTED_MS),
            end: REMOVAL,
        };
        for region in 0..self.run.regions {
            for reader in self.readers(region, None) {
                self.entries[reader].own_since = Some(Time::ZERO.into());
            }
        }
        let noticed = DETECTION_MS <= self.run.for_ms;
        for idx in 0..self.entries.len() {
            self.entries[idx].peers = Some(before);
            let resumed = healed.after_ms(self.rng.random_range(0..BACKOFF_MS));
            let entry = &mut self.entries[idx];
            match self.run.disruption {
                // Without reads that succeed, all entries begin to read.
                Disruption::Outage => {
                    if entry.own_since.is_some() || noticed {
                        entry.own_since = Some(resumed.into());
                    }
                }
                Disruption::Cut => {}
            }
        }
        if self.run.disruption == Disruption::Cut {
            self.cut_reader(healed, noticed);
        }
        for idx in 0..self.entries.len() {
            let pause_ms = self.read_pause_ms();
            let entry = &mut self.entries[idx];
            entry.next_read = entry
                .own_since
                .map(|it| it.after_ms(0).max(ms(DISRUPTED_MS)));
            entry.next_read = entry.next_read.map(|it| it.after_ms(pause_ms));
        }
    }

    /// Cuts off one reader; another entry of its region reads in its place.
    fn cut_reader(&mut self, healed: Time, noticed: bool) {
        let region = self.rng.random_range(0..self.run.regions);
        let before = self.readers(region, None);
        let Some(cut) = before.choose(&mut self.rng).copied() else {
            return;
        };
        let resumed = healed.after_ms(self.rng.random_range(0..BACKOFF_MS));
        self.entries[cut].cut_off = true;
        self.entries[cut].own_since = Some(resumed.into());
        for reader in self.readers(region, Some(cut)) {
            if self.entries[reader].own_since.is_none() && noticed {
                let took_over = ms(DISRUPTED_MS + DETECTION_MS);
                // Readers of this region or of others report their reads.
                let has_others = 1 < before.len() || 1 < self.run.regions;
                let confirmed = has_others.then_some(took_over);
                let peers = self.entries[reader].peers;
                let since = store_reads::continued_since(peers, confirmed, took_over);
                self.entries[reader].own_since = since.or(Some(took_over.into()));
            }
        }
    }

    fn read_pause_ms(&mut self) -> u64 {
        let longest = (PAUSE_MS_PER_REPLICA * self.run.replicas as f64) as u64;
        self.rng.random_range(5..longest.max(20))
    }

    /// Lets readers whose read is due read the removal, or the record that was written again.
    fn read_store(&mut self, now: Time, relisted: bool) {
        for idx in 0..self.entries.len() {
            if self.entries[idx].next_read.is_none_or(|it| now < it) {
                continue;
            }
            let pause_ms = self.read_pause_ms();
            self.entries[idx].next_read = Some(now.after_ms(pause_ms));
            if relisted {
                self.relist(idx, now);
            } else {
                self.remove(idx, now, true);
            }
        }
    }

    /// Applies the record that was written again, which cancels a removal that is not in effect.
    fn relist(&mut self, idx: usize, now: Time) {
        let entry = &mut self.entries[idx];
        entry.has_listing = true;
        entry.has_removal = true;
        entry.gone_at.take_if(|it| now < *it);
    }

    /// Applies the removal at an entry. `vouched` is whether its source vouches for its copy.
    fn remove(&mut self, idx: usize, now: Time, vouched: bool) {
        let (removal, passing) = (self.removal, self.run.passing);
        let entry = &mut self.entries[idx];
        if std::mem::replace(&mut entry.has_removal, true) {
            return;
        }
        let trust = match passing {
            Passing::Reads => removal.trust(entry.own_since, entry.peers, now),
            Passing::Doubts => match entry.own_since {
                Some(since) if now < since.after_ms(DOUBT_MS) => {
                    StoreTrust::Doubtful(since.after_ms(RESTORED_MS))
                }
                None if !vouched => StoreTrust::Doubtful(now.after_ms(RESTORED_MS)),
                Some(_) | None => StoreTrust::Sound,
            },
        };
        match trust {
            StoreTrust::Sound => entry.gone_at = Some(now),
            StoreTrust::Doubtful(until) => {
                entry.gone_at = Some(until);
                if passing == Passing::Reads {
                    let record = Record {
                        key: "replica".to_owned(),
                        value: None,
                        position: REMOVAL,
                    };
                    entry.doubts.note(record, removal, until);
                    entry.next_call = Some(now);
                    entry.doubted_at = now;
                }
            }
        }
    }

    /// Lets entries without the newest records get them from a random peer of their region.
    fn gossip(&mut self, now: Time) {
        for idx in 0..self.entries.len() {
            if now < self.entries[idx].next_gossip {
                continue;
            }
            self.entries[idx].next_gossip = now.after_ms(self.rng.random_range(20..GOSSIP_MS));
            let region = self.entries[idx].region;
            let holds = |it: &usize| {
                let peer = &self.entries[*it];
                let newer = peer.has_listing && !self.entries[idx].has_listing
                    || peer.has_removal && !self.entries[idx].has_removal;
                *it != idx && newer
            };
            let members = (region..self.entries.len()).step_by(self.run.regions);
            let holders: Vec<usize> = members.filter(holds).collect();
            let Some(peer) = holders.choose(&mut self.rng).copied() else {
                continue;
            };
            if self.entries[peer].has_listing {
                self.relist(idx, now);
                continue;
            }
            let vouched = match self.run.passing {
                Passing::Reads => self.receive_vouch(idx, peer, now),
                Passing::Doubts => {
                    let since = self.entries[peer].own_since;
                    since.is_none_or(|it| it.after_ms(DOUBT_MS) <= now)
                }
            };
            self.remove(idx, now, vouched);
        }
    }

    /// Notes the reads for which a peer vouches in a reply; returns whether it does.
    fn receive_vouch(&mut self, idx: usize, peer: usize, now: Time) -> bool {
        let peer = &self.entries[peer];
        let vouches = store_reads::vouches(peer.own_since, now);
        let end = match peer.has_removal {
            true => self.removal.end,
            false => REMOVAL,
        };
        if vouches {
            let period = ReadPeriod::vouched(now, now, end);
            let known = &mut self.entries[idx].peers;
            *known = Some(known.map_or(period, |it| it.extended(period)));
        }
        vouches
    }

    /// Lets entries with doubts call the readers of their region.
    fn verify(&mut self, now: Time) {
        for idx in 0..self.entries.len() {
            let is_due = self.entries[idx].next_call.is_some_and(|it| it <= now);
            if !is_due || !self.entries[idx].doubts.any(now) {
                continue;
            }
            self.entries[idx].next_call = Some(now.after_ms(VERIFY_MS));
            let region = self.entries[idx].region;
            let is_first = now < self.entries[idx].doubted_at.after_ms(VERIFY_MS);
            for other in 0..self.run.regions {
                if other != region && is_first {
                    continue;
                }
                for peer in self.served_readers[other].clone() {
                    if peer != idx {
                        self.outcome.calls += 1;
                        self.receive_vouch(idx, peer, now);
                    }
                }
            }
            let entry = &mut self.entries[idx];
            let is_listed = entry.has_listing;
            let sound =
                entry
                    .doubts
                    .take_confirmed(entry.own_since, entry.peers, |_| is_listed, now);
            if !sound.is_empty() {
                entry.gone_at = Some(now);
            }
        }
    }

    fn outcome(&self, end_ms: u64) -> Outcome {
        let removed = self.removal.written;
        let undisturbed = self.entries.iter().filter(|it| !it.cut_off);
        let left = undisturbed.map(|it| it.gone_at.unwrap_or(ms(end_ms)).since(removed));
        let last = left.max().unwrap_or_default();
        Outcome {
            last_ms: last.as_millis() as u64,
            dropped: self
                .entries
                .iter()
                .filter(|it| it.has_listing && it.gone_at.is_some())
                .count(),
            ..self.outcome
        }
    }
}
