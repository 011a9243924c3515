//! Checks the table in `docs/CAPACITY.md` of how many processes act at once, by region size.

use std::{fs, net::Ipv4Addr, path::Path, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        delegates, readers,
        transfer::{Fetcher, Holders},
    },
    rendezvous,
};
use gradeloft_wire::{frame::Role, position::Position};

/// Entries per region, by column.
const SIZES: [u16; 5] = [6, 11, 33, 110, 220];

fn name_hashes(size: u16) -> Vec<u64> {
    (0..size)
        .map(|it| rendezvous::hash(&it.to_le_bytes()))
        .collect()
}

/// Counts the entries of a region that act, depending on their own name and the others'.
fn count(size: u16, acts: impl Fn(u64, &[u64]) -> bool) -> usize {
    let names = name_hashes(size);
    let others = |own: u64| {
        names
            .iter()
            .copied()
            .filter(move |it| *it != own)
            .collect::<Vec<_>>()
    };
    names
        .iter()
        .filter(|own| acts(**own, &others(**own)))
        .count()
}

fn first_readers(size: u16, ms: u64) -> usize {
    count(size, |own, others| {
        readers::reads_first(readers::FirstRead {
            since_start: Duration::from_millis(ms),
            since_contact: Some(Duration::from_millis(ms)),
            seed: false,
            held_by_peer: false,
            optional: false,
            rank: rendezvous::rank(0, own, others.iter().copied()),
        })
    })
}

fn cross_region_askers(size: u16, ms: u64) -> usize {
    let address = |it: u16| Ipv4Addr::from(0x0a00_0000 + u32::from(it));
    let asks = |own: u16| {
        let mut holders = Holders::default();
        for peer in (0..size).filter(|it| *it != own) {
            holders.note(address(peer), Some(true), Position::START, Time::ZERO);
        }
        let caller = Fetcher {
            address: address(own),
            role: Role::Entry,
        };
        holders.far_wait_ms(0, caller, Time::ZERO) <= ms
    };
    (0..size).filter(|it| asks(*it)).count()
}

fn informers(size: u16) -> usize {
    count(size, |own, others| {
        delegates::sends_changes_at_once(7, own, others.iter().copied())
    })
}

fn stand_ins(size: u16) -> usize {
    count(size, |own, others| {
        delegates::is_fallback_sender(7, own, others.iter().copied())
    })
}

#[test]
fn the_capacity_page_matches_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = fs::read_to_string(path).unwrap();
    let row = |name: &str, figure: &dyn Fn(u16) -> usize| {
        let figures: Vec<String> = SIZES.iter().map(|it| figure(*it).to_string()).collect();
        let row = format!("| {name} | {} |", figures.join(" | "));
        assert!(page.contains(&row), "not on the page: {row}");
    };
    row(
        "read a table first from the store, 0.2 s after their first contact",
        &|it| first_readers(it, 200),
    );
    row("the same, 0.8 s after it", &|it| first_readers(it, 800));
    row("the same, at most", &|it| first_readers(it, 60_000));
    row("ask another region for records at first", &|it| {
        cross_region_askers(it, 0)
    });
    row("the same, a second later", &|it| {
        cross_region_askers(it, 1_000)
    });
    row("send to an agent at once what changed", &informers);
    row("send to an agent of a region without entries", &stand_ins);
}
