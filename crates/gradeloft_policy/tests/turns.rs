//! Which replicas may be taken down now.

use gradeloft_policy::version::turns::{LEASE_MS, Turns, zone_open};
use gradeloft_wire::{
    id::Digest,
    record::{Step, Turn},
};
use proptest::prelude::*;

fn said(number: u64, node: &str, step: Step) -> Turn {
    let manifest = Digest::of(&[if number < 10 { 1 } else { 2 }]);
    Turn {
        number,
        manifest,
        node: node.to_owned(),
        step,
    }
}

fn version(number: u64) -> Digest {
    said(number, "", Step::Ask).manifest
}

fn fold(turns: &mut Turns, records: &[(u64, Turn)]) {
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
fn turns_go_by_offset_and_to_the_next_when_one_is_done() {
    let mut turns = Turns::default();
    let asks = ["c", "a", "b"].map(|it| (0, said(1, it, Step::Ask)));
    fold(&mut turns, &asks);
    assert_eq!(holders(&turns, 1), ["c"]);
    assert_eq!(holders(&turns, 2), ["a", "c"]);
    fold(&mut turns, &[(1, said(1, "c", Step::Done))]);
    assert_eq!(holders(&turns, 1), ["a"]);
    assert!(turns.is_done("c", version(1)));
}

#[test]
fn a_dead_holder_loses_its_turn_and_a_renewed_one_keeps_it() {
    let mut turns = Turns::default();
    fold(
        &mut turns,
        &[(0, said(1, "a", Step::Ask)), (0, said(1, "b", Step::Ask))],
    );
    fold(&mut turns, &[(LEASE_MS - 1, said(1, "b", Step::Ask))]);
    assert_eq!(holders(&turns, 1), ["a"]);
    turns.skip(turns.next(), LEASE_MS + 1);
    assert_eq!(holders(&turns, 1), ["b"]);
    fold(&mut turns, &[(LEASE_MS + 2, said(1, "a", Step::Ask))]);
    assert_eq!(holders(&turns, 1), ["b"], "who comes back goes to the end");
}

#[test]
fn a_failed_replica_keeps_its_turn_so_a_bad_version_takes_no_more_down() {
    let mut turns = Turns::default();
    fold(
        &mut turns,
        &[(0, said(1, "a", Step::Ask)), (0, said(1, "b", Step::Ask))],
    );
    fold(
        &mut turns,
        &[
            (1, said(1, "a", Step::Failed)),
            (9 * LEASE_MS, said(1, "b", Step::Ask)),
        ],
    );
    assert_eq!(holders(&turns, 1), ["a"]);
    fold(&mut turns, &[(9 * LEASE_MS, said(10, "b", Step::Ask))]);
    assert!(
        turns.holds("b", version(10), 1),
        "the next version starts afresh"
    );
    assert_eq!(holders(&turns, 1), [""; 0]);
}

#[test]
fn a_bundle_that_keeps_the_version_keeps_its_turns_and_an_older_version_is_forgotten() {
    let mut turns = Turns::default();
    fold(
        &mut turns,
        &[(0, said(1, "a", Step::Done)), (0, said(2, "b", Step::Ask))],
    );
    assert!(turns.is_done("a", version(1)));
    fold(
        &mut turns,
        &[(0, said(10, "a", Step::Ask)), (0, said(2, "b", Step::Ask))],
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
        "zones without a place in the order come last"
    );
    assert!(open("z3", &["a", "b"]));
}

proptest! {
    /// Whatever is said in whatever order, no more replicas hold turns than the bound, and two
    /// agents that fold the same stream agree, whichever records they are handed twice.
    #[test]
    fn the_bound_holds(
        said_by in prop::collection::vec((0usize..4, 0u8..3, 0u64..9), 0..60),
        bound in 1u32..4,
    ) {
        let mut turns = Turns::default();
        let mut other = Turns::default();
        let mut time_ms = 0;
        for (offset, (node, step, wait)) in said_by.into_iter().enumerate() {
            time_ms += wait * LEASE_MS / 4;
            let step = [Step::Ask, Step::Done, Step::Failed][step as usize];
            let record = said(1, ["a", "b", "c", "d"][node], step);
            turns.fold(offset as u64, time_ms, &record);
            other.fold(offset as u64, time_ms, &record);
            other.fold(offset as u64 / 2, time_ms, &record);
            prop_assert!(holders(&turns, bound).len() <= bound as usize);
            prop_assert_eq!(holders(&turns, bound), holders(&other, bound));
        }
    }
}
