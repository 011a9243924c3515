//! Copies of tables whose records come from peers, the large ones in parts.

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
use gradeloft_wire::{frame::Role, id::Digest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn record(key: &str, value: Option<&str>, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|it| Bytes::from(it.to_owned())),
        offset,
    }
}

fn want(key: &str, value: &str, offset: u64) -> MissingValue {
    MissingValue {
        key: key.to_owned(),
        offset,
        length: value.len() as u64,
        digest: Digest::of(value.as_bytes()),
    }
}

fn follows(records: Vec<Record>) -> Update {
    let end = records.last().map_or(0, |it| it.offset + 1);
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
fn a_copy_keeps_few_bytes_of_old_large_records() {
    let mut mirror = Mirror::default();
    let megabyte = Bytes::from(vec![0; 1 << 20]);
    for offset in (0..80).step_by(2) {
        let large = Record {
            key: "config".to_owned(),
            value: Some(megabyte.clone()),
            offset,
        };
        let small = record("weights", Some("1"), offset + 1);
        mirror.apply(follows(vec![large, small]));
    }
    let kept = (0..80).filter(|it| {
        mirror
            .at(*it)
            .is_some_and(|it| 1 << 20 == it.value.as_ref().unwrap().len())
    });
    let kept: Vec<u64> = kept.collect();
    assert_eq!(
        kept,
        [74, 76, 78],
        "three and the small ones are below 4 MiB"
    );
    let behind = mirror.since(10);
    assert!(behind.snapshot);
    assert_eq!(behind.records.len(), 2);
    assert_eq!(mirror.since(79).records, [record("weights", Some("1"), 79)]);
}

#[test]
fn a_copy_keeps_its_last_record_however_large() {
    let mut mirror = Mirror::default();
    let huge = Record {
        key: "config".to_owned(),
        value: Some(Bytes::from(vec![0; 8 << 20])),
        offset: 0,
    };
    mirror.apply(follows(vec![huge.clone()]));
    assert_eq!(mirror.since(0), follows(vec![huge]));
}

#[test]
fn what_is_taken_in_ahead_moves_no_end_and_is_told_once() {
    let mut mirror = Mirror::default();
    mirror.apply(follows(vec![record("a", Some("0"), 0)]));
    let ahead = vec![record("b", Some("2"), 2), record("a", None, 3)];
    assert_eq!(
        mirror.apply_ahead(ahead.clone()),
        [record("b", Some("2"), 2)]
    );
    assert_eq!(mirror.end(), 1);
    assert!(mirror.apply_ahead(ahead.clone()).is_empty());
    assert_eq!(mirror.since(1).end, 1, "peers are told no more than that");
    let missed = record("c", Some("1"), 1);
    let whole = [vec![missed.clone()], ahead].concat();
    let changed = mirror.apply(follows(whole));
    assert_eq!(changed, [missed, record("a", None, 3)]);
    assert_eq!(mirror.end(), 4);
}

#[test]
fn an_older_record_does_not_undo_what_was_taken_in_ahead() {
    let mut mirror = Mirror::default();
    mirror.apply_ahead(vec![record("a", Some("new"), 5)]);
    let older = (0..5).map(|it| record("a", (it % 2 == 0).then_some("old"), it));
    assert!(mirror.apply(follows(older.collect())).is_empty());
    assert_eq!(mirror.value("a"), Some(&Bytes::from("new")));
    // Nor does a snapshot from before it.
    let snapshot = Update {
        snapshot: true,
        records: Vec::new(),
        end: 5,
    };
    assert!(mirror.apply(snapshot).is_empty());
    assert_eq!(mirror.value("a"), Some(&Bytes::from("new")));
    let snapshot = Update {
        snapshot: true,
        records: Vec::new(),
        end: 7,
    };
    assert_eq!(mirror.apply(snapshot), [record("a", None, 7)]);
}

#[test]
fn records_before_a_missing_value_are_ready_and_those_behind_it_ahead() {
    let rows = vec![
        Row::Present(record("a", Some("0"), 0)),
        Row::Missing(want("config", "large", 1)),
        Row::Present(record("b", Some("2"), 2)),
        Row::Present(record("c", Some("3"), 3)),
        Row::Present(record("b", None, 4)),
    ];
    let mut pending = PendingUpdate::new(false, rows, 5);
    let ready = pending.take_ready(0).unwrap();
    assert_eq!(ready, follows(vec![record("a", Some("0"), 0)]));
    assert_eq!(pending.take_ready(1), None);
    assert_eq!(
        pending.usable_ahead(),
        [record("c", Some("3"), 3)],
        "what is deleted is not brought back"
    );
    pending.fill(|it| (it.offset == 1).then(|| Bytes::from("large")));
    let ready = pending.take_ready(1).unwrap();
    assert_eq!(ready.records.len(), 4);
    assert_eq!(ready.end, 5);
}

#[test]
fn a_snapshot_is_ready_once_it_is_whole() {
    let rows = vec![
        Row::Present(record("a", Some("0"), 0)),
        Row::Missing(want("config", "large", 6)),
    ];
    let mut pending = PendingUpdate::new(true, rows, 9);
    assert_eq!(pending.take_ready(2), None);
    assert!(!pending.outdated(8));
    assert!(pending.outdated(9));
    pending.fill(|_| Some(Bytes::from("large")));
    assert_eq!(pending.missing(), None);
    assert_eq!(pending.take_ready(2).unwrap().records.len(), 2);
}

#[test]
fn what_the_store_brought_meanwhile_is_not_taken_in_again() {
    let rows = vec![
        Row::Missing(want("config", "large", 1)),
        Row::Present(record("b", Some("2"), 2)),
    ];
    let mut pending = PendingUpdate::new(false, rows, 3);
    let ready = pending.take_ready(2).unwrap();
    assert_eq!(ready.records, [record("b", Some("2"), 2)]);
}

#[test]
fn values_too_large_for_the_memory_are_refused() {
    let huge = MissingValue {
        length: MAX_VALUE + 1,
        ..want("config", "", 0)
    };
    assert!(PendingUpdate::new(false, vec![Row::Missing(huge)], 1).oversized());
}

#[test]
fn parts_of_several_peers_make_one_value() {
    let mut transfer = Transfer::new(want("config", "one two", 3), Time::ZERO);
    assert_eq!(transfer.add(b"one "), Progress::More);
    transfer.refused(peer(1), Refusal::Faulty, Time::ZERO, &mut rng());
    assert_eq!(transfer.start(), 4, "what came is kept");
    assert_eq!(
        transfer.add(b"two"),
        Progress::Complete(Bytes::from("one two"))
    );
}

#[rstest]
#[case::other_bytes(b"one_two")]
#[case::too_long(b"one two three")]
fn a_value_other_than_the_one_announced_is_refused(#[case] came: &[u8]) {
    let mut transfer = Transfer::new(want("config", "one two", 3), Time::ZERO);
    assert_eq!(transfer.add(came), Progress::Corrupt);
    assert_eq!(transfer.start(), 0);
}

#[test]
fn those_that_have_it_are_asked_and_near_ones_first() {
    let mut holders = Holders::default();
    holders.note(peer(1), Some(false), 4, Time::ZERO);
    holders.note(peer(2), Some(true), 3, Time::ZERO);
    let mut transfer = Transfer::new(want("config", "large", 3), Time::ZERO);
    let mut rng = rng();
    let far_only = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert_eq!(far_only, Choice::Ask(peer(1)));
    holders.note(peer(2), None, 4, Time::ZERO);
    holders.note(peer(3), Some(true), 4, Time::ZERO);
    let mut asked = [0; 4];
    for _ in 0..40 {
        let Choice::Ask(peer) = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng) else {
            panic!("three have it");
        };
        asked[usize::from(peer.octets()[3])] += 1;
    }
    assert_eq!(asked[1], 0);
    assert!(asked[2].min(asked[3]) > 5, "{asked:?}");
    transfer.refused(peer(2), Refusal::NotHeld, Time::ZERO, &mut rng);
    transfer.refused(peer(3), Refusal::Busy, Time::ZERO, &mut rng);
    let queued = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert!(matches!(queued, Choice::Wait(_)), "{queued:?}");
    transfer.refused(peer(3), Refusal::Faulty, Time::ZERO, &mut rng);
    let far = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert_eq!(far, Choice::Ask(peer(1)));
    transfer.refused(peer(1), Refusal::Faulty, Time::ZERO, &mut rng);
    let retried = transfer.choose(&holders, entry(9), Time::ZERO, &mut rng);
    assert!(matches!(retried, Choice::Retry(_)), "{retried:?}");
    let later = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(4_000), &mut rng);
    assert_eq!(later, Choice::Ask(peer(3)));
    let silent = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(6_000), &mut rng);
    assert_eq!(silent, Choice::NoHolder);
}

#[test]
fn near_peers_are_remembered_rather_than_far_ones() {
    let mut holders = Holders::default();
    holders.note(peer(0), Some(true), 9, Time::ZERO);
    for last in 1..200 {
        holders.note(peer(last), Some(false), 9, Time::ZERO.after_ms(1));
    }
    let transfer = Transfer::new(want("config", "large", 3), Time::ZERO);
    let choice = transfer.choose(&holders, entry(9), Time::ZERO.after_ms(2), &mut rng());
    assert_eq!(choice, Choice::Ask(peer(0)));
}

#[test]
fn few_of_a_region_ask_another_region_and_the_others_take_it_from_them() {
    let now = Time::ZERO.after_ms(1);
    let asking = |at: Time| {
        let asks = |own: u8| {
            let mut holders = Holders::default();
            for near in (0..14).filter(|it| *it != own) {
                holders.note(peer(near), Some(true), 3, at);
            }
            holders.note(peer(100), Some(false), 4, at);
            let transfer = Transfer::new(want("config", "large", 3), now);
            transfer.choose(&holders, entry(own), at, &mut rng()) == Choice::Ask(peer(100))
        };
        (0..14).filter(|it| asks(*it)).count()
    };
    assert_eq!(asking(now), 2);
    assert_eq!(
        asking(now.after_ms(500)),
        4,
        "in case that these two reach nobody"
    );
    assert_eq!(asking(now.after_ms(2_000)), 14);
}

/// A process in a zone that lacks a record.
struct Process {
    /// Bytes a second, in each direction.
    link: f64,
    role: Role,
    slots: UploadSlots,
    transfer: Transfer,
    holders: Holders,
    /// Bytes that came.
    came: f64,
    /// Whom it receives from.
    giver: Option<usize>,
    asks_at: Time,
    /// When it had all.
    whole_at: Option<Time>,
}

const RECORD: f64 = 900_000.0;

impl Process {
    fn new(link: f64, role: Role) -> Process {
        Process {
            link,
            role,
            slots: UploadSlots::default(),
            transfer: Transfer::new(want("config", "large", 3), Time::ZERO),
            holders: Holders::default(),
            came: 0.0,
            giver: None,
            asks_at: Time::ZERO,
            whole_at: None,
        }
    }

    fn asks(&self, now: Time) -> bool {
        self.whole_at.is_none() && self.giver.is_none() && self.asks_at <= now
    }
}

/// A zone in which `having` entries have a record, step by step.
struct Zone {
    processes: Vec<Process>,
    now: Time,
    rng: ChaCha8Rng,
}

impl Zone {
    const STEP_MS: u64 = 5;

    fn new(entries: usize, agents: usize, having: usize, seed: u64) -> Zone {
        let entry = (0..entries).map(|_| Process::new(5_000_000.0, Role::Entry));
        let agent = (0..agents).map(|_| Process::new(1_175_000.0, Role::Agent));
        let mut processes: Vec<Process> = entry.chain(agent).collect();
        for process in &mut processes[..having] {
            process.whole_at = Some(Time::ZERO);
        }
        Zone {
            processes,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Entries that have it say so to all.
    fn tell(&mut self) {
        let has = |it: &Process| it.role == Role::Entry && it.whole_at.is_some();
        let having: Vec<usize> = (0..self.processes.len())
            .filter(|it| has(&self.processes[*it]))
            .collect();
        for process in &mut self.processes {
            for giver in &having {
                process
                    .holders
                    .note(peer(*giver as u8), Some(true), 4, self.now);
            }
        }
    }

    fn given_by(&self, giver: usize) -> usize {
        let given = self.processes.iter().filter(|it| it.giver == Some(giver));
        given.count()
    }

    fn ask(&mut self) {
        let first = self.rng.random_range(0..self.processes.len());
        for idx in 0..self.processes.len() {
            let idx = (first + idx) % self.processes.len();
            if !self.processes[idx].asks(self.now) {
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
                Choice::Ask(peer) => self.ask_one(idx, peer),
                Choice::Wait(time) | Choice::Retry(time) => asker.asks_at = self.now.after(time),
                Choice::NoHolder => {}
            }
        }
    }

    fn ask_one(&mut self, idx: usize, peer: Ipv4Addr) {
        let giver = usize::from(peer.octets()[3]);
        let role = self.processes[idx].role;
        if self.processes[giver].slots.take(role) {
            self.processes[idx].giver = Some(giver);
            return;
        }
        let transfer = &mut self.processes[idx].transfer;
        transfer.refused(peer, Refusal::Busy, self.now, &mut self.rng);
    }

    /// What shares a link gets equal parts of it.
    fn carry(&mut self) {
        for idx in 0..self.processes.len() {
            let Some(giver) = self.processes[idx].giver else {
                continue;
            };
            let out = self.processes[giver].link / self.given_by(giver) as f64;
            let process = &mut self.processes[idx];
            process.came += out.min(process.link) * Zone::STEP_MS as f64 / 1_000.0;
            if RECORD <= process.came {
                process.giver = None;
                process.whole_at = Some(self.now);
                let role = process.role;
                self.processes[giver].slots.free(role);
            }
        }
    }

    /// Milliseconds until all entries have it, and all agents.
    fn run(&mut self) -> (u128, u128) {
        let mut step = 0;
        while self.processes.iter().any(|it| it.whole_at.is_none()) {
            if step % 25 == 0 {
                self.tell();
            }
            self.ask();
            self.carry();
            step += 1;
            self.now = self.now.after_ms(Zone::STEP_MS);
            assert!(step < 10_000, "some never get it");
        }
        let last = |role: Role| {
            let these = self.processes.iter().filter(|it| it.role == role);
            let last = these.filter_map(|it| it.whole_at).max();
            last.unwrap_or_default().since(Time::ZERO).as_millis()
        };
        (last(Role::Entry), last(Role::Agent))
    }
}

#[rstest]
#[case::entries_alone(0, 2)]
#[case::entries_and_agents(30, 2)]
#[case::entries_and_agents_and_one_that_has_it(30, 1)]
fn a_zone_that_lacks_a_large_record_has_it_soon(#[case] agents: usize, #[case] having: usize) {
    let mut slowest = (0, 0);
    for seed in 0..20 {
        let (entries, agents) = Zone::new(14, agents, having, seed).run();
        slowest = (entries.max(slowest.0), agents.max(slowest.1));
    }
    println!(
        "{agents} agents, {having} have it: entries {} ms, agents {} ms",
        slowest.0, slowest.1
    );
    assert!(slowest.0.max(slowest.1) < 4_000, "{slowest:?}");
}
