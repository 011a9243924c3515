//! Tests of the leases by which entries share a rate limit.

use gradeloft_policy::{
    clock::Time,
    process::rate_leases::{
        Borrower, CUT_OFF_FRACTION, Demand, FleetView, HomeReach, IDLE_FRACTION, LEASE_MS,
        LeaseRequest, Lender, home,
    },
};
use proptest::prelude::*;

const ALLOWED: f64 = 700.0;
const ENTRIES: usize = 7;
const ALL: FleetView = FleetView {
    allowed: ALLOWED,
    entries: ENTRIES,
    connected: ENTRIES,
};

fn request(entry: u64, demand: f64) -> LeaseRequest {
    LeaseRequest {
        entry,
        demand,
        held: 0.0,
    }
}

/// Returns the lender of a home whose earlier leases have all expired.
fn lender() -> (Lender, Time) {
    (Lender::new(Time::ZERO), Time::ZERO.after_ms(LEASE_MS))
}

/// Lets every entry request a lease for its demand several times, and returns the final grants.
fn final_grants(lender: &mut Lender, demands: &[f64], now: Time) -> Vec<f64> {
    let mut granted = vec![0.0; demands.len()];
    for _ in 0..4 {
        for (entry, demand) in demands.iter().enumerate() {
            granted[entry] = lender.grant(request(entry as u64, *demand), ALL, now);
        }
    }
    granted
}

#[test]
fn demand_at_one_entry_gets_the_whole_rate_once_all_have_reported() {
    let (mut lender, now) = lender();
    let granted = final_grants(&mut lender, &[700.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], now);
    assert!(0.95 * ALLOWED < granted[0], "{granted:?}");
    assert!(granted.iter().sum::<f64>() <= ALLOWED * 1.000_001);
}

#[test]
fn excess_demand_is_granted_evenly_and_small_demands_are_met() {
    let (mut lender, now) = lender();
    let granted = final_grants(&mut lender, &[900.0, 900.0, 10.0, 10.0, 0.0, 0.0, 0.0], now);
    assert!((granted[0] - granted[1]).abs() < 1.0, "{granted:?}");
    assert!(10.0 <= granted[2] && 330.0 < granted[0], "{granted:?}");
}

#[test]
fn the_rate_usable_without_a_lease_is_reserved() {
    let share = ALLOWED / ENTRIES as f64;
    let (mut lender, now) = lender();
    let lent: f64 = final_grants(&mut lender, &[700.0; 6], now).iter().sum();
    assert!(
        (lent + share * IDLE_FRACTION - ALLOWED).abs() < 1.0,
        "{lent} with one silent entry"
    );

    let cut_off = FleetView {
        connected: 6,
        ..ALL
    };
    let mut lender = Lender::new(Time::ZERO);
    let mut granted = [0.0; 6];
    for _ in 0..4 {
        for (entry, granted) in granted.iter_mut().enumerate() {
            *granted = lender.grant(request(entry as u64, 700.0), cut_off, now);
        }
    }
    let lent: f64 = granted.iter().sum();
    assert!(
        (lent + share * CUT_OFF_FRACTION - ALLOWED).abs() < 1.0,
        "{lent} with one cut-off entry"
    );
    let alone = Borrower::default();
    let used = alone.rate(ALLOWED, ENTRIES, HomeReach::CutOff, now);
    assert!((used - share * CUT_OFF_FRACTION).abs() < 1e-9);
}

#[test]
fn a_lease_starts_at_its_request() {
    let mut borrower = Borrower::default();
    borrower.granted(100.0, Time::ZERO);
    assert_eq!(
        borrower.rate(
            ALLOWED,
            ENTRIES,
            HomeReach::Home,
            Time::ZERO.after_ms(LEASE_MS - 1)
        ),
        100.0
    );
    assert!(
        borrower.rate(
            ALLOWED,
            ENTRIES,
            HomeReach::Home,
            Time::ZERO.after_ms(LEASE_MS)
        ) < 100.0
    );
    assert_eq!(borrower.held(Time::ZERO.after_ms(LEASE_MS)), 0.0);
}

#[test]
fn an_entry_without_a_majority_lends_nothing() {
    let (mut lender, now) = lender();
    let cut_off = FleetView {
        connected: 3,
        ..ALL
    };
    let least = ALLOWED * IDLE_FRACTION / ENTRIES as f64;
    assert_eq!(lender.grant(request(0, 700.0), cut_off, now), least);
}

#[test]
fn a_new_home_does_not_increase_grants_until_old_leases_have_expired() {
    let mut lender = Lender::new(Time::ZERO);
    let held = LeaseRequest {
        entry: 0,
        demand: 700.0,
        held: 300.0,
    };
    assert_eq!(lender.grant(held, ALL, Time::ZERO), 300.0);
    let late = Time::ZERO.after_ms(LEASE_MS);
    assert!(300.0 < lender.grant(held, ALL, late));
}

#[test]
fn every_entry_finds_the_same_home_and_teams_spread() {
    let homes: std::collections::BTreeSet<Option<u64>> = (0..50)
        .map(|it| home(&format!("team-{it}"), 0..7))
        .collect();
    assert_eq!(homes.len(), 7);
    assert_eq!(home("duty", 0..7), home("duty", (0..7).rev()));
    assert_eq!(home("duty", std::iter::empty()), None);
}

#[test]
fn demand_is_averaged_and_decays() {
    let mut demand = Demand::default();
    for ms in 0..6_000 {
        demand.add(0.1, Time::ZERO.after_ms(ms));
    }
    let now = Time::ZERO.after_ms(6_000);
    assert!(
        (95.0..105.0).contains(&demand.rate(now)),
        "{}",
        demand.rate(now)
    );
    assert!(
        demand.rate(now.after_ms(500)) < 1.0,
        "demand decays within half a second"
    );
}

proptest! {
    /// For any sequence of requests, the sum of the leases and of the rates that entries may use without one never
    /// exceeds the rate limit.
    #[test]
    fn the_rate_is_never_exceeded(
        requests in prop::collection::vec((0u64..7, 0.0f64..2_000.0, 0u64..1_500), 1..80),
    ) {
        let (mut lender, mut now) = lender();
        let mut borrowers = [Borrower::default(); ENTRIES];
        for (entry, demand, wait) in requests {
            now = now.after_ms(wait);
            let held = borrowers[entry as usize].held(now);
            let rate = lender.grant(LeaseRequest { entry, demand, held }, ALL, now);
            borrowers[entry as usize].granted(rate, now);
            let used: f64 = borrowers.iter().map(|it| it.rate(ALLOWED, ENTRIES, HomeReach::Home, now)).sum();
            prop_assert!(used <= ALLOWED * 1.000_001, "{used}");
        }
    }
}
