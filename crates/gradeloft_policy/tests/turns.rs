//! Tests of the leases that bound how many replicas are down at once.

use gradeloft_policy::version::turns::{LEASE_MS, Turns, zone_open};
use gradeloft_wire::{
    id::Digest,
    record::{Step, Turn},
};
use proptest::prelude::*;

fn turn(number: u64, node: &str, step: Step) -> Turn {
    let manifest = Digest::of(&[if number < 10 { 1 } else { 2 }]);
    Turn {
        number,
        manifest,
        node: node.to_owned(),
        step,
    }
}

fn version(number: u64) -> Digest {
    turn(number, "", Step::Ask).manifest
}

fn fold_all(turns: &mut Turns, records: &[(u64, Turn)]) {
    for (time_ms, turn) in records {
        turns.fold(turns.next(), *time_ms, turn);
    }
}

fn holders(turns: &Turns, bound: u32) -> Vec<&'static str> {
    let nodes = ["a", "b", "c", "d"];
    nodes
        .into_iter()
        .filter(|it| turns.holds(it, version(1), bound))
        .collect()
}

#[test]
fn turns_are_granted_by_offset_and_pass_on_when_a_holder_is_done() {
    let mut turns = Turns::default();
    let requests = ["c", "a", "b"].map(|it| (0, turn(1, it, Step::Ask)));
    fold_all(&mut turns, &requests);
    assert_eq!(holders(&turns, 1), ["c"]);
    assert_eq!(holders(&turns, 2), ["a", "c"]);
    fold_all(&mut turns, &[(1, turn(1, "c", Step::Done))]);
    assert_eq!(holders(&turns, 1), ["a"]);
    assert!(turns.is_done("c", version(1)));
}

#[test]
fn a_turn_that_is_not_renewed_expires_and_a_renewed_request_stays_queued() {
    let mut turns = Turns::default();
    fold_all(
        &mut turns,
        &[(0, turn(1, "a", Step::Ask)), (0, turn(1, "b", Step::Ask))],
    );
    fold_all(&mut turns, &[(LEASE_MS - 1, turn(1, "b", Step::Ask))]);
    assert_eq!(holders(&turns, 1), ["a"]);
    turns.skip(turns.next(), LEASE_MS + 1);
    assert_eq!(holders(&turns, 1), ["b"]);
    fold_all(&mut turns, &[(LEASE_MS + 2, turn(1, "a", Step::Ask))]);
    assert_eq!(
        holders(&turns, 1),
        ["b"],
        "an expired request moves to the end of the queue"
    );
}

#[test]
fn a_failed_replica_keeps_its_turn_until_the_next_version() {
    let mut turns = Turns::default();
    fold_all(
        &mut turns,
        &[(0, turn(1, "a", Step::Ask)), (0, turn(1, "b", Step::Ask))],
    );
    fold_all(
        &mut turns,
        &[
            (1, turn(1, "a", Step::Failed)),
            (9 * LEASE_MS, turn(1, "b", Step::Ask)),
        ],
    );
    assert_eq!(holders(&turns, 1), ["a"]);
    fold_all(&mut turns, &[(9 * LEASE_MS, turn(10, "b", Step::Ask))]);
    assert!(
        turns.holds("b", version(10), 1),
        "the next version starts with an empty queue"
    );
    assert_eq!(holders(&turns, 1), [""; 0]);
}

#[test]
fn a_new_bundle_with_the_same_version_keeps_turns_and_older_versions_are_ignored() {
    let mut turns = Turns::default();
    fold_all(
        &mut turns,
        &[(0, turn(1, "a", Step::Done)), (0, turn(2, "b", Step::Ask))],
    );
    assert!(turns.is_done("a", version(1)));
    fold_all(
        &mut turns,
        &[(0, turn(10, "a", Step::Ask)), (0, turn(2, "b", Step::Ask))],
    );
    assert!(turns.holds("a", version(10), 1));
    assert!(!turns.holds("b", version(1), 9));
}

#[test]
fn a_zone_opens_when_all_before_it_are_done() {
    let order = ["z2".to_owned(), "z1".to_owned()];
    let placed = [("a", "z1"), ("b", "z2"), ("c", "z3")];
    let open = |zone: &str, done: &[&str]| {
        zone_open(&order, zone, placed.iter().copied(), |it| {
            done.contains(&it)
        })
    };
    assert!(open("z2", &[]));
    assert!(!open("z1", &[]));
    assert!(open("z1", &["b"]));
    assert!(
        !open("z3", &["b"]),
        "zones that are not in the order come last"
    );
    assert!(open("z3", &["a", "b"]));
}

proptest! {
    /// For any sequence of records, the number of holders does not exceed the bound, and two
    /// agents that fold the same stream agree, even if one of them folds some records twice.
    #[test]
    fn the_number_of_holders_never_exceeds_the_bound(
        steps in prop::collection::vec((0usize..4, 0u8..3, 0u64..9), 0..60),
        bound in 1u32..4,
    ) {
        let mut turns = Turns::default();
        let mut other = Turns::default();
        let mut time_ms = 0;
        for (offset, (node, step, wait)) in steps.into_iter().enumerate() {
            time_ms += wait * LEASE_MS / 4;
            let step = [Step::Ask, Step::Done, Step::Failed][step as usize];
            let record = turn(1, ["a", "b", "c", "d"][node], step);
            turns.fold(offset as u64, time_ms, &record);
            other.fold(offset as u64, time_ms, &record);
            other.fold(offset as u64 / 2, time_ms, &record);
            prop_assert!(holders(&turns, bound).len() <= bound as usize);
            prop_assert_eq!(holders(&turns, bound), holders(&other, bound));
        }
    }
}
