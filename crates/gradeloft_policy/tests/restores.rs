//! Copies of a table across restores of the store from a backup.

use std::collections::BTreeMap;

use bytes::Bytes;
use gradeloft_policy::process::mirror::{LostRecords, Mirror, Record, Update};
use gradeloft_wire::position::Position;
use proptest::prelude::*;
use rstest::rstest;

/// A table whose writer writes its records again after a restore.
#[derive(Default)]
struct Store {
    era: u32,
    /// Keys and values in the order of their offsets.
    log: Vec<(String, Option<u64>)>,
}

impl Store {
    fn of(log: &[(&str, Option<u64>)]) -> Store {
        let log = log.iter().map(|(key, value)| ((*key).to_owned(), *value));
        Store {
            era: 0,
            log: log.collect(),
        }
    }

    fn write(&mut self, key: &str, value: Option<u64>) {
        self.log.push((key.to_owned(), value));
    }

    /// Goes back to a backup with the first `len` records.
    fn restore(&mut self, len: usize) {
        self.log.truncate(len);
        self.era += 1;
    }

    fn end(&self) -> Position {
        Position::new(self.era, self.log.len() as u64)
    }

    fn record(&self, offset: usize) -> Record {
        let (key, value) = self.log[offset].clone();
        Record {
            key,
            value: value.map(|it| Bytes::from(it.to_string())),
            position: Position::new(self.era, offset as u64),
        }
    }

    fn snapshot(&self) -> Update {
        let records = (0..self.log.len()).map(|it| self.record(it));
        let newest: BTreeMap<String, Record> = records.map(|it| (it.key.clone(), it)).collect();
        let mut records: Vec<Record> = newest.into_values().collect();
        records.retain(|it| it.value.is_some());
        records.sort_by_key(|it| it.position);
        Update {
            snapshot: true,
            records,
            end: self.end(),
        }
    }

    /// Returns the response to a read by a copy that ends at a position.
    fn read(&self, from: Position) -> Update {
        if from.era != self.era || self.end() < from {
            return self.snapshot();
        }
        let offsets = from.offset as usize..self.log.len();
        Update {
            snapshot: false,
            records: offsets.map(|it| self.record(it)).collect(),
            end: self.end(),
        }
    }
}

fn read(copy: &mut Mirror, store: &Store) -> Vec<Record> {
    copy.apply(store.read(copy.end()), true)
}

fn copy_of(store: &Store, lost_records: LostRecords) -> Mirror {
    let mut copy = Mirror::new(lost_records);
    copy.apply(store.snapshot(), true);
    copy
}

fn values(copy: &Mirror) -> BTreeMap<String, u64> {
    let value = |it: &Record| {
        let value = it.value.as_deref()?;
        std::str::from_utf8(value).ok()?.parse().ok()
    };
    let rows = copy.records().map(|it| (it.key.clone(), value(it)));
    rows.filter_map(|(key, value)| Some((key, value?)))
        .collect()
}

fn value(copy: &Mirror, key: &str) -> Option<u64> {
    values(copy).get(key).copied()
}

#[test]
fn a_lost_record_stays_until_its_key_is_written_again() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::Keep);
    store.write("a", Some(2));
    store.write("a", Some(3));
    read(&mut copy, &store);
    store.restore(2);
    assert_eq!(read(&mut copy, &store), []);
    assert_eq!((value(&copy, "a"), copy.kept_len()), (Some(3), 1));
    store.write("b", Some(2));
    assert_eq!(read(&mut copy, &store).len(), 1);
    assert_eq!((value(&copy, "a"), copy.kept_len()), (Some(3), 1));
    // At the offset of the lost record, and before the copy's end in the earlier era.
    store.write("a", Some(4));
    read(&mut copy, &store);
    assert_eq!((value(&copy, "a"), copy.kept_len()), (Some(4), 0));
}

#[test]
fn a_record_written_after_a_restore_applies_in_the_first_read() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::Keep);
    (2..6).for_each(|it| store.write("a", Some(it)));
    read(&mut copy, &store);
    store.restore(2);
    store.write("a", Some(9));
    assert_eq!(read(&mut copy, &store).len(), 1);
    assert_eq!((value(&copy, "a"), copy.kept_len()), (Some(9), 0));
}

#[test]
fn a_deletion_that_a_restore_undoes_holds_until_the_key_is_written() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::KeepOverOlder);
    store.write("a", None);
    read(&mut copy, &store);
    store.restore(2);
    assert_eq!(read(&mut copy, &store), []);
    assert_eq!(value(&copy, "a"), None);
    let later = copy_of(&store, LostRecords::KeepOverOlder);
    assert_eq!(value(&later, "a"), Some(1));
    let mut informed = later;
    informed.apply(copy.since(informed.end()), true);
    assert_eq!(value(&informed, "a"), None);
    store.write("a", Some(2));
    for copy in [&mut copy, &mut informed] {
        read(copy, &store);
        assert_eq!((value(copy, "a"), copy.kept_len()), (Some(2), 0));
    }
}

#[rstest]
#[case::operator(LostRecords::Keep, true, Some(1))]
#[case::replicas(LostRecords::KeepOverOlder, true, None)]
#[case::entries(LostRecords::Drop, true, None)]
#[case::after_a_long_interruption(LostRecords::Keep, false, None)]
fn a_lost_key_is_kept_if_its_writer_may_be_late(
    #[case] lost_records: LostRecords,
    #[case] current: bool,
    #[case] expected: Option<u64>,
) {
    let mut store = Store::of(&[("a", Some(1))]);
    let mut copy = copy_of(&store, lost_records);
    store.write("new", Some(1));
    read(&mut copy, &store);
    store.restore(1);
    copy.apply(store.snapshot(), current);
    assert_eq!(value(&copy, "new"), expected);
}

#[test]
fn a_key_that_is_deleted_after_a_restore_is_removed() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::Keep);
    store.write("b", Some(2));
    read(&mut copy, &store);
    store.restore(2);
    store.write("a", None);
    read(&mut copy, &store);
    assert_eq!((value(&copy, "a"), value(&copy, "b")), (None, Some(2)));
}

#[test]
fn a_copy_that_begins_after_a_restore_takes_lost_records_from_a_peer() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::Keep);
    store.write("a", Some(2));
    read(&mut copy, &store);
    store.restore(2);
    read(&mut copy, &store);
    let mut later = copy_of(&store, LostRecords::Keep);
    assert_eq!(value(&later, "a"), Some(1));
    later.apply(copy.since(later.end()), true);
    assert_eq!(value(&later, "a"), Some(2));
    assert_eq!(later.kept_digest(), copy.kept_digest());
    // What one peer learned from the other doesn't come back as news.
    assert_eq!(copy.apply(later.since(copy.end()), true), []);
}

/// A peer that has not seen the new record yet still passes on the lost one.
#[test]
fn a_lost_record_of_a_late_peer_does_not_replace_a_new_one() {
    let mut store = Store::of(&[("a", Some(1)), ("b", Some(1))]);
    let mut late = copy_of(&store, LostRecords::Keep);
    let mut copy = copy_of(&store, LostRecords::Keep);
    store.write("a", Some(2));
    read(&mut late, &store);
    read(&mut copy, &store);
    store.restore(2);
    read(&mut late, &store);
    read(&mut copy, &store);
    store.write("a", Some(3));
    read(&mut copy, &store);
    let mut later = copy_of(&store, LostRecords::Keep);
    for copy in [&mut copy, &mut later] {
        copy.apply(late.since(copy.end()), true);
        assert_eq!(value(copy, "a"), Some(3));
    }
}

#[test]
fn an_update_of_an_ended_era_changes_nothing() {
    let mut store = Store::of(&[("a", Some(1))]);
    let mut copy = copy_of(&store, LostRecords::Keep);
    store.write("a", Some(2));
    let (snapshot, records) = (store.snapshot(), store.read(copy.end()));
    store.restore(1);
    read(&mut copy, &store);
    for late in [snapshot, records] {
        assert_eq!(copy.apply(late, true), []);
    }
    assert_eq!((value(&copy, "a"), copy.end()), (Some(1), store.end()));
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8, bool),
    /// A restore that loses up to this many records.
    Restore(usize),
    Read(usize),
    /// The first copy takes an update from the second one.
    Exchange(usize, usize),
    /// A copy that begins anew.
    Begin(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..5, any::<bool>()).prop_map(|(key, deletes)| Step::Write(key, deletes)),
        1 => (0_usize..6).prop_map(Step::Restore),
        5 => (0_usize..4).prop_map(Step::Read),
        5 => (0_usize..4, 0_usize..4).prop_map(|(to, from)| Step::Exchange(to, from)),
        1 => (0_usize..4).prop_map(Step::Begin),
    ]
}

proptest! {
    /// Once the writer has written its records again, all copies agree with the store, whatever was
    /// lost, kept and passed on before.
    #[test]
    fn copies_agree_with_the_store_once_lost_records_are_written_again(
        steps in prop::collection::vec(step(), 0..120),
        over_older in any::<bool>(),
    ) {
        let lost_records = match over_older {
            true => LostRecords::KeepOverOlder,
            false => LostRecords::Keep,
        };
        let mut store = Store::default();
        let mut wanted = BTreeMap::new();
        let mut copies: Vec<Mirror> = (0..4).map(|_| Mirror::new(lost_records)).collect();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Write(key, deletes) => {
                    let value = (!deletes).then_some(number as u64);
                    store.write(&key.to_string(), value);
                    wanted.insert(key, value);
                }
                Step::Restore(lost) => store.restore(store.log.len().saturating_sub(lost)),
                Step::Read(copy) => {
                    read(&mut copies[copy], &store);
                }
                Step::Exchange(to, from) => {
                    let update = copies[from].since(copies[to].end());
                    copies[to].apply(update, true);
                }
                Step::Begin(copy) => copies[copy] = copy_of(&store, lost_records),
            }
        }
        copies.iter_mut().for_each(|it| { read(it, &store); });
        wanted.iter().for_each(|(key, value)| store.write(&key.to_string(), *value));
        let expected = wanted.into_iter().filter_map(|(key, it)| Some((key.to_string(), it?)));
        let expected: BTreeMap<String, u64> = expected.collect();
        for copy in &mut copies {
            read(copy, &store);
            prop_assert_eq!(values(copy), expected.clone());
        }
        for (to, from) in [(0, 1), (1, 2), (2, 3), (3, 0)] {
            let update = copies[from].since(copies[to].end());
            copies[to].apply(update, true);
            prop_assert_eq!(values(&copies[to]), expected.clone());
        }
    }
}
