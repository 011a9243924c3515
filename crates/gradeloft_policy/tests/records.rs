//! Tests of copies of tables whose records come from peers, large ones in parts.

use std::net::Ipv4Addr;

use bytes::Bytes;
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Mirror, Record, Update},
        pending_update::{PendingUpdate, Row},
        transfer::{
            Choice, Fetcher, Holders, MAX_VALUE, MissingValue, Progress, Refusal, Transfer,
            UploadSlots,
        },
    },
};
use gradeloft_wire::position::Position;
use gradeloft_wire::{frame::Role, id::Digest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Returns the position at an offset in the first era.
fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

fn record(key: &str, value: Option<&str>, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|it| Bytes::from(it.to_owned())),
        position: at(offset),
    }
}

fn missing(key: &str, value: &str, offset: u64) -> MissingValue {
    MissingValue {
        key: key.to_owned(),
        position: at(offset),
        length: value.len() as u64,
        digest: Digest::of(value.as_bytes()),
    }
}

fn update(records: Vec<Record>) -> Update {
    let end = records
        .last()
        .map_or(Position::START, |it| it.position.next());
    Update {
        snapshot: false,
        records,
        end,
    }
}

fn peer(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn entry(last: u8) -> Fetcher {
    Fetcher {
        address: peer(last),
        role: Role::Entry,
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

#[test]
fn a_copy_retains_a_bounded_size_of_old_large_records() {
    let mut mirror = Mirror::default();
    let megabyte = Bytes::from(vec![0; 1 << 20]);
    for offset in (0..80).step_by(2) {
        let large = Record {
            key: "config".to_owned(),
            value: Some(megabyte.clone()),
            position: at(offset),
        };
        let small = record("weights", Some("1"), offset + 1);
        mirror.apply(update(vec![large, small]), true);
    }
    let kept = (0..80).filter(|it| {
        mirror
            .at(at(*it))
            .is_some_and(|it| 1 << 20 == it.value.as_ref().unwrap().len())
    });
    let kept: Vec<u64> = kept.collect();
    assert_eq!(
        kept,
        [74, 76, 78],
        "three large records and the small ones fit into 4 MiB"
    );
    let behind = mirror.since(at(10));
    assert!(behind.snapshot);
    assert_eq!(behind.records.len(), 2);
    assert_eq!(
        mirror.since(at(79)).records,
        [record("weights", Some("1"), 79)]
    );
}

#[test]
fn a_copy_always_retains_its_last_record() {
    let mut mirror = Mirror::default();
    let huge = Record {
        key: "config".to_owned(),
        value: Some(Bytes::from(vec![0; 8 << 20])),
        position: at(0),
    };
    mirror.apply(update(vec![huge.clone()]), true);
    assert_eq!(mirror.since(at(0)), update(vec![huge]));
}

#[test]
fn records_applied_ahead_do_not_move_the_end_and_are_reported_once() {
    let mut mirror = Mirror::default();
    mirror.apply(update(vec![record("a", Some("0"), 0)]), true);
    let ahead = vec![record("b", Some("2"), 2), record("a", None, 3)];
    assert_eq!(
        mirror.apply_ahead(ahead.clone()),
        [record("b", Some("2"), 2)]
    );
    assert_eq!(mirror.end(), at(1));
    assert!(mirror.apply_ahead(ahead.clone()).is_empty());
    assert_eq!(
        mirror.since(at(1)).end,
        at(1),
        "peers get records up to the end only"
    );
    let missed = record("c", Some("1"), 1);
    let whole = [vec![missed.clone()], ahead].concat();
    let changed = mirror.apply(update(whole), true);
    assert_eq!(changed, [missed, record("a", None, 3)]);
    assert_eq!(mirror.end(), at(4));
}

#[test]
fn an_older_record_does_not_undo_a_record_applied_ahead() {
    let mut mirror = Mirror::default();
    mirror.apply_ahead(vec![record("a", Some("new"), 5)]);
    let older = (0..5).map(|it| record("a", (it % 2 == 0).then_some("old"), it));
    assert!(mirror.apply(update(older.collect()), true).is_empty());
    assert_eq!(mirror.value("a"), Some(&Bytes::from("new")));
    // An older snapshot doesn't undo it either.
    let snapshot = Update {
        snapshot: true,
        records: Vec::new(),
        end: at(5),
    };
    assert!(mirror.apply(snapshot, true).is_empty());
    assert_eq!(mirror.value("a"), Some(&Bytes::from("new")));
    let snapshot = Update {
        snapshot: true,
        records: Vec::new(),
        end: at(7),
    };
    assert_eq!(mirror.apply(snapshot, true), [record("a", None, 7)]);
}

#[test]
fn records_before_a_missing_value_are_ready_and_later_ones_usable_ahead() {
    let rows = vec![
        Row::Present(record("a", Some("0"), 0)),
        Row::Missing(missing("config", "large", 1)),
        Row::Present(record("b", Some("2"), 2)),
        Row::Present(record("c", Some("3"), 3)),
        Row::Present(record("b", None, 4)),
    ];
    let mut pending = PendingUpdate::new(false, rows, at(5));
    let ready = pending.take_ready(at(0)).unwrap();
    assert_eq!(ready, update(vec![record("a", Some("0"), 0)]));
    assert_eq!(pending.take_ready(at(1)), None);
    assert_eq!(
        pending.usable_ahead(),
        [record("c", Some("3"), 3)],
        "a deleted key is not restored"
    );
    pending.fill(|it| (it.position == at(1)).then(|| Bytes::from("large")));
    let ready = pending.take_ready(at(1)).unwrap();
    assert_eq!(ready.records.len(), 4);
    assert_eq!(ready.end, at(5));
}

#[test]
fn a_snapshot_is_ready_once_it_is_complete() {
    let rows = vec![
        Row::Present(record("a", Some("0"), 0)),
        Row::Missing(missing("config", "large", 6)),
    ];
    let mut pending = PendingUpdate::new(true, rows, at(9));
    assert_eq!(pending.take_ready(at(2)), None);
    assert!(!pending.outdated(at(8)));
    assert!(pending.outdated(at(9)));
    pending.fill(|_| Some(Bytes::from("large")));
    assert_eq!(pending.missing(), None);
    assert_eq!(pending.take_ready(at(2)).unwrap().records.len(), 2);
}

#[test]
fn records_already_read_from_the_store_are_not_applied_again() {
    let rows = vec![
        Row::Missing(missing("config", "large", 1)),
        Row::Present(record("b", Some("2"), 2)),
    ];
    let mut pending = PendingUpdate::new(false, rows, at(3));
    let ready = pending.take_ready(at(2)).unwrap();
    assert_eq!(ready.records, [record("b", Some("2"), 2)]);
}

#[test]
fn values_above_the_size_limit_are_refused() {
    let huge = MissingValue {
        length: MAX_VALUE + 1,
        ..missing("config", "", 0)
    };
    assert!(PendingUpdate::new(false, vec![Row::Missing(huge)], at(1)).oversized());
}

#[test]
fn parts_from_several_peers_are_assembled_into_one_value() {
    let mut transfer = Transfer::new(missing("config", "one two", 3), Time::ZERO);
    assert_eq!(transfer.add(b"one "), Progress::More);
    transfer.refused(peer(1), Refusal::Faulty, Time::ZERO, &mut rng());
    assert_eq!(transfer.start(), 4, "received bytes are kept");
    assert_eq!(
        transfer.add(b"two"),
        Progress::Complete(Bytes::from("one two"))
    );
}

#[rstest]
#[case::other_bytes(b"one_two")]
#[case::too_long(b"one two three")]
fn a_value_that_does_not_match_the_announced_digest_is_refused(#[case] received: &[u8]) {
    let mut transfer = Transfer::new(missing("config", "one two", 3), Time::ZERO);
    assert_eq!(transfer.add(received), Progress::Corrupt);
    assert_eq!(transfer.start(), 0);
}

#[test]
fn holders_are_chosen_and_near_ones_first() {
    let mut holders = Holders::default();
    holders.note(peer(1), Some(false), at(4), Time::ZERO);
    holders.note(peer(2), Some(true), at(3), Time::ZERO);
    let mut transfer = Transfer::new(missing("config", "large", 3), Time::ZERO);
    let mut rng = rng();
    let far_only = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert_eq!(far_only, Choice::Request(peer(1)));
    holders.note(peer(2), None, at(4), Time::ZERO);
    holders.note(peer(3), Some(true), at(4), Time::ZERO);
    let mut choices = [0; 4];
    for _ in 0..40 {
        let Choice::Request(peer) = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng)
        else {
            panic!("no holder was chosen");
        };
        choices[usize::from(peer.octets()[3])] += 1;
    }
    assert_eq!(choices[1], 0);
    assert!(choices[2].min(choices[3]) > 5, "{choices:?}");
    transfer.refused(peer(2), Refusal::NotHeld, Time::ZERO, &mut rng);
    transfer.refused(peer(3), Refusal::Busy, Time::ZERO, &mut rng);
    let queued = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert!(matches!(queued, Choice::Wait(_)), "{queued:?}");
    transfer.refused(peer(3), Refusal::Faulty, Time::ZERO, &mut rng);
    let far = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert_eq!(far, Choice::Request(peer(1)));
    transfer.refused(peer(1), Refusal::Faulty, Time::ZERO, &mut rng);
    let retried = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert!(matches!(retried, Choice::Retry(_)), "{retried:?}");
    let later = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(4_000), &mut rng);
    assert_eq!(later, Choice::Request(peer(3)));
    let silent = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(6_000), &mut rng);
    assert_eq!(silent, Choice::NoHolder);
}

#[test]
fn near_holders_are_retained_in_preference_to_far_ones() {
    let mut holders = Holders::default();
    holders.note(peer(0), Some(true), at(9), Time::ZERO);
    for last in 1..200 {
        holders.note(peer(last), Some(false), at(9), Time::ZERO.after_ms(1));
    }
    let transfer = Transfer::new(missing("config", "large", 3), Time::ZERO);
    let choice = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(2), &mut rng());
    assert_eq!(choice, Choice::Request(peer(0)));
}

#[test]
fn few_processes_of_a_region_fetch_from_another_region_at_first() {
    let now = Time::ZERO.after_ms(1);
    let fetching = |current: Time| {
        let fetches = |own: u8| {
            let mut holders = Holders::default();
            for near in (0..14).filter(|it| *it != own) {
                holders.note(peer(near), Some(true), at(3), current);
            }
            holders.note(peer(100), Some(false), at(4), current);
            let transfer = Transfer::new(missing("config", "large", 3), now);
            transfer.choose(&holders, entry(own), current, &mut rng()) == Choice::Request(peer(100))
        };
        (0..14).filter(|it| fetches(*it)).count()
    };
    assert_eq!(fetching(now), 2);
    assert_eq!(
        fetching(now.after_ms(500)),
        4,
        "two more try in case the first two fail"
    );
    assert_eq!(fetching(now.after_ms(2_000)), 14);
}

/// Simulated process in an availability zone that lacks a record.
struct Process {
    /// Bandwidth in each direction, in bytes per second.
    link: f64,
    role: Role,
    slots: UploadSlots,
    transfer: Transfer,
    holders: Holders,
    /// Number of bytes received.
    received: f64,
    /// Index of the process from which this one receives the record.
    sender: Option<usize>,
    retry_at: Time,
    /// Time at which the record was complete.
    complete_at: Option<Time>,
}

const RECORD: f64 = 900_000.0;

impl Process {
    fn new(link: f64, role: Role) -> Process {
        Process {
            link,
            role,
            slots: UploadSlots::default(),
            transfer: Transfer::new(missing("config", "large", 3), Time::ZERO),
            holders: Holders::default(),
            received: 0.0,
            sender: None,
            retry_at: Time::ZERO,
            complete_at: None,
        }
    }

    fn is_due(&self, now: Time) -> bool {
        self.complete_at.is_none() && self.sender.is_none() && self.retry_at <= now
    }
}

/// Step-by-step simulation of an availability zone in which some entries hold a record.
struct Zone {
    processes: Vec<Process>,
    now: Time,
    rng: ChaCha8Rng,
}

impl Zone {
    const STEP_MS: u64 = 5;

    fn new(entries: usize, agents: usize, holders: usize, seed: u64) -> Zone {
        let entry = (0..entries).map(|_| Process::new(5_000_000.0, Role::Entry));
        let agent = (0..agents).map(|_| Process::new(1_175_000.0, Role::Agent));
        let mut processes: Vec<Process> = entry.chain(agent).collect();
        for process in &mut processes[..holders] {
            process.complete_at = Some(Time::ZERO);
        }
        Zone {
            processes,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Entries that hold the record announce it to all processes.
    fn announce(&mut self) {
        let has = |it: &Process| it.role == Role::Entry && it.complete_at.is_some();
        let holders: Vec<usize> = (0..self.processes.len())
            .filter(|it| has(&self.processes[*it]))
            .collect();
        for process in &mut self.processes {
            for sender in &holders {
                process
                    .holders
                    .note(peer(*sender as u8), Some(true), at(4), self.now);
            }
        }
    }

    fn uploads_of(&self, sender: usize) -> usize {
        let uploads = self.processes.iter().filter(|it| it.sender == Some(sender));
        uploads.count()
    }

    fn request(&mut self) {
        let first = self.rng.random_range(0..self.processes.len());
        for idx in 0..self.processes.len() {
            let idx = (first + idx) % self.processes.len();
            if !self.processes[idx].is_due(self.now) {
                continue;
            }
            let asker = &mut self.processes[idx];
            let caller = Fetcher {
                address: peer(idx as u8),
                role: asker.role,
            };
            match asker
                .transfer
                .choose(&asker.holders, caller, self.now, &mut self.rng)
            {
                Choice::Request(peer) => self.request_from(idx, peer),
                Choice::Wait(time) | Choice::Retry(time) => asker.retry_at = self.now.after(time),
                Choice::NoHolder => {}
            }
        }
    }

    fn request_from(&mut self, idx: usize, peer: Ipv4Addr) {
        let sender = usize::from(peer.octets()[3]);
        let role = self.processes[idx].role;
        if self.processes[sender].slots.take(role) {
            self.processes[idx].sender = Some(sender);
            return;
        }
        let transfer = &mut self.processes[idx].transfer;
        transfer.refused(peer, Refusal::Busy, self.now, &mut self.rng);
    }

    /// Transfers that share a link get equal shares of its bandwidth.
    fn transfer(&mut self) {
        for idx in 0..self.processes.len() {
            let Some(sender) = self.processes[idx].sender else {
                continue;
            };
            let out = self.processes[sender].link / self.uploads_of(sender) as f64;
            let process = &mut self.processes[idx];
            process.received += out.min(process.link) * Zone::STEP_MS as f64 / 1_000.0;
            if RECORD <= process.received {
                process.sender = None;
                process.complete_at = Some(self.now);
                let role = process.role;
                self.processes[sender].slots.free(role);
            }
        }
    }

    /// Runs the simulation, and returns the times until all entries and all agents hold the record, in milliseconds.
    fn run(&mut self) -> (u128, u128) {
        let mut step = 0;
        while self.processes.iter().any(|it| it.complete_at.is_none()) {
            if step % 25 == 0 {
                self.announce();
            }
            self.request();
            self.transfer();
            step += 1;
            self.now = self.now.after_ms(Zone::STEP_MS);
            assert!(step < 10_000, "some processes never get the record");
        }
        let last = |role: Role| {
            let these = self.processes.iter().filter(|it| it.role == role);
            let last = these.filter_map(|it| it.complete_at).max();
            last.unwrap_or_default().since(Time::ZERO).as_millis()
        };
        (last(Role::Entry), last(Role::Agent))
    }
}

#[rstest]
#[case::entries_alone(0, 2)]
#[case::entries_and_agents(30, 2)]
#[case::entries_and_agents_with_one_holder(30, 1)]
fn a_large_record_spreads_through_a_zone_in_bounded_time(
    #[case] agents: usize,
    #[case] holders: usize,
) {
    let mut slowest = (0, 0);
    for seed in 0..20 {
        let (entries, agents) = Zone::new(14, agents, holders, seed).run();
        slowest = (entries.max(slowest.0), agents.max(slowest.1));
    }
    println!(
        "{agents} agents, {holders} holders: entries {} ms, agents {} ms",
        slowest.0, slowest.1
    );
    assert!(slowest.0.max(slowest.1) < 4_000, "{slowest:?}");
}
