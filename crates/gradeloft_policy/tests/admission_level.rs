//! Tests of the level of admission over all entries, by demand over time.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    request::{
        admission_level::{ADMITTED_SHARE, Arrivals, Level, Reserve, Verdict, capacity},
        contention::Precedence,
        placement::Urgency,
    },
};
use proptest::prelude::*;
use rstest::rstest;

const IN_TIME: Urgency = Urgency::OnTime(900.0);
/// Replicas that serve, each of which works for one second per second.
const REPLICAS: f64 = 30.0;
/// Replica time of one request, in milliseconds.
const WORK_MS: f64 = 60.0;
/// Interval at which levels are recomputed, in milliseconds.
const ROUND_MS: u64 = 125;
/// Age of the reports of other entries, in milliseconds.
const REPORT_AGE_MS: u64 = 300;

fn route(route: u32) -> Precedence {
    Precedence { team: 0, route }
}

/// Returns the level that admits [`REPLICAS`] replicas' time of the demand.
fn level(demands: &[f64]) -> Level {
    let rows = demands.iter().enumerate();
    let rows = rows.map(|(idx, it)| (route(idx as u32), *it));
    Level::deal(rows, REPLICAS / ADMITTED_SHARE)
}

fn fractions(level: &Level) -> Vec<f64> {
    level.shares().iter().map(|it| it.fraction).collect()
}

/// Returns the fractions of the less urgent of two precedences, one per round of five seconds, at an
/// entry that receives a tenth of the demand. `demand` is the total demand in replicas at a time in
/// milliseconds, half of each precedence.
fn rounds(demand: impl Fn(u64) -> f64) -> Vec<(u64, f64)> {
    let mut own = Arrivals::default();
    let mut others = Arrivals::default();
    let mut reports: Vec<(u64, Vec<(Precedence, f64)>)> = Vec::new();
    let mut fractions = Vec::new();
    for ms in 0..5_000 {
        let now = Time::ZERO.after_ms(ms);
        let work_ms = demand(ms) / 2.0;
        for precedence in [route(0), route(1)] {
            own.count(precedence, work_ms * 0.1, 400.0, now);
            others.count(precedence, work_ms * 0.9, 400.0, now);
        }
        if ms % ROUND_MS == 0 {
            reports.push((ms, others.replicas(now).collect()));
            let known = reports.iter().rev().find(|it| it.0 + REPORT_AGE_MS <= ms);
            let known = known.iter().flat_map(|it| it.1.iter().copied());
            let level = Level::deal(own.replicas(now).chain(known), REPLICAS);
            fractions.push((ms, level.fraction(route(1))));
        }
    }
    fractions
}

/// Returns the sum of all changes of a fraction against the direction of its overall change.
fn reversals(fractions: &[(u64, f64)]) -> f64 {
    let changes = fractions.windows(2).map(|it| it[1].1 - it[0].1);
    let overall = fractions[fractions.len() - 1].1 - fractions[0].1;
    changes.map(|it| (-it * overall.signum()).max(0.0)).sum()
}

fn between(fractions: &[(u64, f64)], from_ms: u64, to_ms: u64) -> Vec<(u64, f64)> {
    let within = fractions.iter().copied();
    within
        .filter(|it| (from_ms..to_ms).contains(&it.0))
        .collect()
}

#[rstest]
#[case(&[10.0, 10.0, 9.0], &[1.0, 1.0, 1.0])]
#[case(&[20.0, 10.0, 10.0], &[1.0, 0.8125, 0.1875])]
#[case(&[60.0, 30.0, 30.0], &[0.4375, 0.0625, 0.0625])]
fn capacity_goes_to_the_most_urgent_first(#[case] demands: &[f64], #[case] expected: &[f64]) {
    for (fraction, expected) in fractions(&level(demands)).iter().zip(expected) {
        assert!((fraction - expected).abs() < 1e-9, "{fraction} {expected}");
    }
}

proptest! {
    #[test]
    fn no_kind_starves_and_none_is_served_better_than_a_more_urgent_one(
        demands in prop::collection::vec(0.1_f64..200.0, 1..6),
    ) {
        let fractions = fractions(&level(&demands));
        let served: f64 = fractions.iter().zip(&demands).map(|(it, demand)| it * demand).sum();
        let total: f64 = demands.iter().sum();
        prop_assert!((served - total.min(REPLICAS)).abs() < 1e-6, "{served}");
        for pair in fractions.windows(2) {
            prop_assert!(pair[1] <= pair[0] + 1e-9);
        }
        let least = fractions[fractions.len() - 1];
        prop_assert!(0.25 * served / total <= least + 1e-9, "{least}");
    }
}

#[rstest]
#[case(1.3)]
#[case(2.0)]
#[case(4.0)]
fn a_step_of_demand_is_answered_within_a_second_without_oscillation(#[case] factor: f64) {
    let step = |ms| if ms < 2_000 { 0.8 } else { factor } * REPLICAS;
    let after = between(&rounds(step), 2_000, 5_000);
    let last = after[after.len() - 1].1;
    let settled = between(&after, 3_000, 5_000);
    for (ms, fraction) in &settled {
        assert!(
            (fraction - last).abs() < 0.1,
            "{fraction} at {ms} ms, {last}"
        );
    }
    assert!(reversals(&after) < 0.01, "{after:?}");
}

#[test]
fn a_ramp_of_demand_is_followed_without_oscillation() {
    let ramp = |ms: u64| (0.8 + 1.2 * ms as f64 / 5_000.0) * REPLICAS;
    let fractions = rounds(ramp);
    assert!(reversals(&fractions) < 0.01, "{fractions:?}");
    for (ms, fraction) in between(&fractions, 1_000, 5_000) {
        let lagging = Level::deal(
            [0, 1]
                .map(|it| (route(it), ramp(ms - 1_000) / 2.0))
                .into_iter(),
            REPLICAS,
        );
        assert!(fraction <= lagging.fraction(route(1)) + 0.01, "{ms}");
    }
}

#[test]
fn a_pulse_of_demand_is_forgotten_within_a_second() {
    let pulse = |ms| if (2_000..3_000).contains(&ms) { 2.0 } else { 0.8 } * REPLICAS;
    let fractions = rounds(pulse);
    assert!(reversals(&between(&fractions, 2_000, 3_000)) < 0.01);
    let after = between(&fractions, 4_000, 5_000);
    assert!(after.iter().all(|it| it.1 == 1.0), "{after:?}");
}

#[test]
fn an_entry_that_knows_only_its_own_demand_admits_everything() {
    let mut arrivals = Arrivals::default();
    for ms in 0..2_000 {
        arrivals.count(route(2), WORK_MS / 30.0, 400.0, Time::ZERO.after_ms(ms));
    }
    let now = Time::ZERO.after_ms(2_000);
    let level = Level::deal(arrivals.replicas(now), REPLICAS);
    let verdict = level.decide(route(2), IN_TIME, 0.99, None, 0);
    assert_eq!(verdict, Verdict::Unlimited);
}

#[test]
fn a_silent_part_of_the_deployment_leaves_neither_demand_nor_capacity() {
    let both = Level::deal([(route(0), 30.0), (route(0), 30.0)].into_iter(), REPLICAS);
    let one = Level::deal([(route(0), 30.0)].into_iter(), REPLICAS / 2.0);
    assert_eq!(both.fraction(route(0)), one.fraction(route(0)));
}

#[test]
fn a_resumed_stream_is_never_refused() {
    let level = level(&[90.0, 90.0]);
    let verdict = level.decide(route(1), Urgency::Resumed, 0.999, None, 0);
    assert_eq!(verdict, Verdict::Unlimited);
}

#[test]
fn late_requests_are_refused_once_others_of_their_precedence_are() {
    let level = level(&[10.0, 40.0]);
    let late = |precedence| level.decide(precedence, Urgency::Late, 0.0, None, 9);
    assert_eq!(late(route(0)), Verdict::Unlimited);
    assert_eq!(late(route(1)), Verdict::Late);
}

#[test]
fn a_waiting_request_is_not_drawn_again_while_the_level_stays() {
    let level = level(&[20.0, 20.0]);
    let draws = (0..1_000).map(|it| f64::from(it) / 1_000.0);
    let shed = draws.filter(|draw| level.decide(route(1), IN_TIME, *draw, None, 0).refuses());
    let expected = (1.0 - level.fraction(route(1))) * 1_000.0;
    assert!((shed.count() as f64 - expected).abs() <= 1.0);
}

#[test]
fn the_last_free_slots_are_left_to_more_urgent_requests() {
    let mut arrivals = Arrivals::default();
    for ms in (0..4_000).step_by(50) {
        arrivals.count(route(0), WORK_MS, 300.0, Time::ZERO.after_ms(ms));
        arrivals.count(route(1), WORK_MS, 900.0, Time::ZERO.after_ms(ms));
    }
    let now = Time::ZERO.after_ms(4_000);
    assert_eq!(arrivals.reserve(route(0), 0.05, now), None);
    let reserve = arrivals.reserve(route(1), 0.05, now);
    // One more urgent request in the 50 ms until a slot is free, and a standard deviation of one.
    assert!(reserve.is_some_and(|it: Reserve| (1.8..2.2).contains(&it.slots)));
    let short = level(&[20.0, 9.0]);
    let decide = |free| short.decide(route(1), IN_TIME, 0.0, reserve, free);
    assert_eq!(decide(1), Verdict::Reserved);
    assert_eq!(decide(3), Verdict::InTime(300.0));
    let ample = level(&[6.0, 5.0]);
    let verdict = ample.decide(route(1), IN_TIME, 0.0, reserve, 0);
    assert_eq!(verdict, Verdict::Unlimited);
}

#[test]
fn a_kind_without_requests_reserves_nothing() {
    let mut arrivals = Arrivals::default();
    arrivals.count(route(0), WORK_MS, 300.0, Time::ZERO);
    let now = Time::ZERO.after(Duration::from_secs(5));
    arrivals.expire(now);
    assert_eq!(arrivals.reserve(route(1), 0.05, now), None);
}

#[test]
fn forecasts_that_are_too_short_everywhere_cost_no_capacity() {
    assert_eq!(capacity(vec![2.0; 30]), 30.0);
    assert_eq!(capacity(Vec::new()), 0.0);
}
