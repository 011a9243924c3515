//! Tables that grow with what anybody's datagrams name stay bounded, and keep what real processes send.

use std::{collections::HashMap, net::Ipv4Addr};

use gradeloft_policy::{
    clock::Time,
    process::{
        peer_regions::PeerRegions,
        remote_loads::{Load, Part, RemoteLoads},
        roster::{MAX_ENTRIES, Roster, State, Status},
        zones::Zones,
    },
};
use gradeloft_wire::position::Position;

/// Number of made-up processes, several times what any table keeps.
const MADE_UP: u32 = 40_000;

fn made_up(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits((127 << 24) | number)
}

fn status(zone: &str) -> Status<'_> {
    Status {
        incarnation: 1,
        zone,
        state: State::Ready,
        served: true,
        end: Position::START,
    }
}

fn real() -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1)
}

#[test]
fn named_addresses_do_not_displace_entries() {
    let mut roster = Roster::default();
    roster.receive(real(), status("z"), Time::ZERO);
    for number in 0..MADE_UP {
        roster.learn(made_up(number), Some("z"));
        roster.receive_relayed(made_up(MADE_UP + number), status("y"), Time::ZERO);
    }
    assert!(roster.alive(real(), Time::ZERO));
    let all = roster.addresses_in(|_| true).count();
    assert!(all <= MAX_ENTRIES, "{all}");
    assert!(u64::from(MADE_UP) < roster.take_unkept());
    assert_eq!(roster.take_unkept(), 0);
}

#[test]
fn an_entry_is_found_although_made_up_ones_fill_the_roster() {
    let mut roster = Roster::default();
    for number in 0..MADE_UP {
        roster.receive_relayed(made_up(number), status("y"), Time::ZERO);
        roster.learn(made_up(MADE_UP + number), None);
    }
    roster.receive(real(), status("z"), Time::ZERO);
    assert!(roster.alive(real(), Time::ZERO));
}

#[test]
fn an_entry_that_keeps_sending_stays_among_addresses_that_send_once() {
    let mut roster = Roster::default();
    let mut lost = 0;
    for number in 0..MADE_UP {
        let now = Time::ZERO.after_ms(u64::from(number));
        if number % 1_000 == 0 {
            roster.receive(real(), status("z"), now);
        }
        roster.receive(made_up(number), status("y"), now);
        lost += u32::from(!roster.alive(real(), now));
    }
    assert_eq!(lost, 0);
    let now = Time::ZERO.after_ms(u64::from(MADE_UP) + 120_000);
    roster.forget(|_| false, now);
    assert_eq!(roster.addresses_in(|_| true).count(), 0);
    assert_eq!(roster.unidentified().count(), 0);
}

fn part(number: u16, replica: u32, at: Time) -> Part {
    let load = |it| Load {
        replica: replica.wrapping_mul(200).wrapping_add(it),
        running: 1,
        ..Load::default()
    };
    Part {
        at,
        part: number,
        last_part: u16::MAX,
        demand: 1.0,
        demands: Vec::new(),
        loads: (0..200).map(load).collect(),
    }
}

fn replicas(loads: &RemoteLoads<u32>) -> usize {
    let mut sums = HashMap::new();
    loads.add_to(&mut sums);
    sums.len()
}

#[test]
fn parts_and_senders_without_end_take_bounded_memory_until_they_expire() {
    let mut loads = RemoteLoads::default();
    for number in 0..MADE_UP {
        loads.receive(0, part(number as u16, number, Time::ZERO));
        loads.receive(number, part(0, MADE_UP + number, Time::ZERO));
    }
    assert!(loads.len() < 3_000, "{} senders", loads.len());
    assert!(replicas(&loads) < 70_000, "{} rows", replicas(&loads));
    assert!(u64::from(MADE_UP) < loads.take_unkept());
    let now = Time::ZERO.after_ms(10_000);
    loads.expire(now);
    assert_eq!(replicas(&loads), 0);
    loads.receive(7, part(0, 1, now));
    assert_eq!(replicas(&loads), 200, "room is free again");
}

#[test]
fn a_report_that_is_repeated_is_replaced_although_there_is_no_room() {
    let mut loads = RemoteLoads::default();
    loads.receive(1, part(0, 1, Time::ZERO));
    for number in 2..MADE_UP {
        loads.receive(number, part(0, number, Time::ZERO));
    }
    let later = Time::ZERO.after_ms(500);
    loads.receive(1, part(0, 1, later));
    loads.expire(later);
    assert_eq!((loads.len(), replicas(&loads)), (1, 200));
}

#[test]
fn regions_of_made_up_processes_are_forgotten() {
    let mut regions = PeerRegions::default();
    for number in 0..MADE_UP {
        regions.note(made_up(number), true);
    }
    assert!(regions.len() < 10_000, "{}", regions.len());
    regions.note(real(), false);
    assert_eq!(regions.is_near(real()), Some(false));
}

#[test]
fn zones_of_made_up_processes_do_not_shut_out_those_of_the_settings() {
    let mut zones = Zones::default();
    let admitted = (0..MADE_UP).filter(|it| zones.admit(&format!("made-up-{it}"), false));
    assert!(admitted.count() < 100);
    assert!(zones.admit("listed", true));
    assert!(
        zones.admit("made-up-0", false),
        "a zone that is known stays"
    );
    let long = "z".repeat(1_000);
    assert!(!Zones::default().admit(&long, false));
}
