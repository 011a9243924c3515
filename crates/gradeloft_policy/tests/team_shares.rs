//! Tests of the split of scarce replica time among teams.

use std::collections::HashMap;

use gradeloft_policy::{
    clock::Time, process::team_shares::TeamShares, request::contention::Precedence,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const PRECEDENCE: Precedence = Precedence { team: 0, route: 1 };
const WORK_MS: f64 = 100.0;

/// Tries of teams at random entries, in virtual time.
struct Load {
    entries: Vec<TeamShares>,
    rng: ChaCha8Rng,
    /// Tries a second of each team.
    rates: Vec<f64>,
    /// Tries a second that are admitted.
    capacity: f64,
    /// Tries sent and admitted, by team.
    counts: HashMap<usize, (f64, f64)>,
    now_ms: u64,
}

impl Load {
    fn new(entries: usize, rates: &[f64], capacity: f64) -> Load {
        Load::with_seed(7, entries, rates, capacity)
    }

    fn with_seed(seed: u64, entries: usize, rates: &[f64], capacity: f64) -> Load {
        Load {
            entries: vec![TeamShares::default(); entries],
            rng: ChaCha8Rng::seed_from_u64(seed),
            rates: rates.to_vec(),
            capacity,
            counts: HashMap::new(),
            now_ms: 0,
        }
    }

    fn run(&mut self, ms: u64) {
        self.counts.clear();
        let admitted = self.capacity / self.rates.iter().sum::<f64>();
        for _ in 0..ms {
            self.now_ms += 1;
            let now = Time::ZERO.after_ms(self.now_ms);
            for team in 0..self.rates.len() {
                let mut due = self.rates[team] / 1000.0;
                while self.rng.random::<f64>() < due {
                    due -= 1.0;
                    self.send(team, admitted, now);
                }
            }
        }
    }

    fn send(&mut self, team: usize, admitted: f64, now: Time) {
        let entry = self.rng.random_range(0..self.entries.len());
        let shares = &mut self.entries[entry];
        shares.count(PRECEDENCE, Some(team as u64), WORK_MS, now);
        let fraction = shares.fraction(PRECEDENCE, Some(team as u64), admitted, now);
        let count = self.counts.entry(team).or_default();
        count.0 += 1.0;
        count.1 += fraction;
    }

    /// Returns the admitted share of a team's tries.
    fn served(&self, team: usize) -> f64 {
        let (sent, admitted) = self.counts[&team];
        admitted / sent
    }

    /// Returns the tries of a team that were admitted a second.
    fn per_s(&self, team: usize, ms: u64) -> f64 {
        self.counts[&team].1 * 1000.0 / ms as f64
    }
}

#[rstest]
fn a_team_that_repeats_at_once_takes_no_room_of_teams_that_wait(
    #[values(1, 6, 38)] entries: usize,
) {
    let mut load = Load::new(entries, &[100.0, 100.0, 100.0], 150.0);
    load.run(20_000);
    let calm = load.per_s(0, 20_000);
    load.rates[2] = 400.0;
    load.run(3_000);
    load.run(20_000);
    let beside_repeats = load.per_s(0, 20_000);
    assert!(calm * 0.9 < beside_repeats, "{calm} {beside_repeats}");
}

#[rstest]
#[case(38, 2.0)]
#[case(38, 4.0)]
#[case(410, 2.0)]
#[case(410, 4.0)]
fn a_small_team_gets_its_requests_beside_large_ones(#[case] entries: usize, #[case] times: f64) {
    let rates = [3.0, 500.0, 500.0, 500.0, 497.0];
    let mut load = Load::new(entries, &rates, 2_000.0 / times);
    load.run(10_000);
    load.run(40_000);
    assert!(0.97 < load.served(0), "{}", load.served(0));
}

#[rstest]
fn no_team_of_24_is_held_below_its_equal_share(
    #[values(6, 38, 410)] entries: usize,
    #[values(1, 7)] seed: u64,
) {
    let rates: Vec<f64> = (1..=24).map(|it| 600.0 / f64::from(it)).collect();
    let all: f64 = rates.iter().sum();
    let capacity = all / 2.0;
    let mut load = Load::with_seed(seed, entries, &rates, capacity);
    load.run(20_000);
    load.run(20_000);
    let equal = capacity / 24.0;
    let mut served = 0.0;
    for (team, rate) in rates.iter().enumerate() {
        let per_s = load.per_s(team, 20_000);
        served += per_s;
        assert!(
            rate.min(equal) * 0.9 < per_s,
            "team {team}: {per_s} of {rate}"
        );
    }
    assert!(
        (served / capacity - 1.0).abs() < 0.1,
        "{served} of {capacity}"
    );
}

#[rstest]
#[case(&[1.0, 1.0], 0.5)]
#[case(&[400.0, 30.0, 3.0], 0.25)]
#[case(&[400.0, 390.0, 3.0, 80.0, 40.0], 0.77)]
#[case(&[5.0, 5.0, 5.0], 0.0)]
#[case(&[5.0, 700.0], 1.0)]
fn the_admitted_parts_add_up_to_the_admitted_demand(#[case] counts: &[f64], #[case] admitted: f64) {
    let mut shares = TeamShares::default();
    let mut now = Time::ZERO;
    let mut due = vec![0.0; counts.len()];
    for ms in 0..200_000 {
        now = Time::ZERO.after_ms(ms);
        for (team, count) in counts.iter().enumerate() {
            due[team] += count / 1000.0;
            if 1.0 <= due[team] {
                due[team] -= 1.0;
                shares.count(PRECEDENCE, Some(team as u64), WORK_MS, now);
            }
        }
    }
    let fraction = |team| shares.fraction(PRECEDENCE, Some(team), admitted, now);
    let parts = (0..).zip(counts).map(|(team, it)| it * fraction(team));
    let (sum, all) = (parts.sum::<f64>(), counts.iter().sum::<f64>());
    assert!((sum - admitted * all).abs() < 0.01 * all, "{sum}");
}

#[test]
fn a_new_team_is_not_refused_for_lack_of_history() {
    let mut load = Load::new(1, &[300.0, 300.0, 0.0], 300.0);
    load.run(30_000);
    load.rates[2] = 20.0;
    load.run(2_000);
    assert!(0.95 < load.served(2), "{}", load.served(2));
}

#[rstest]
fn a_team_that_grows_is_held_to_its_share_after_two_seconds(#[values(1, 2, 3, 7)] seed: u64) {
    let mut load = Load::with_seed(seed, 6, &[100.0, 100.0, 20.0], 200.0);
    load.run(20_000);
    load.rates[2] = 1_000.0;
    load.run(2_000);
    load.run(1_000);
    assert!(load.served(2) < 0.15, "{}", load.served(2));
    // The equal share is two thirds of the requests of this team.
    assert!(0.85 * 2.0 / 3.0 < load.served(0), "{}", load.served(0));
}

#[test]
fn large_requests_count_by_their_work() {
    let mut shares = TeamShares::default();
    for _ in 0..100 {
        shares.count(PRECEDENCE, Some(1), 1_000.0, Time::ZERO);
        shares.count(PRECEDENCE, Some(2), 100.0, Time::ZERO);
    }
    assert_eq!(shares.fraction(PRECEDENCE, Some(2), 0.5, Time::ZERO), 1.0);
}

#[test]
fn a_single_team_and_other_precedences_are_not_split() {
    let mut shares = TeamShares::default();
    let other = Precedence { team: 0, route: 2 };
    shares.count(PRECEDENCE, Some(1), WORK_MS, Time::ZERO);
    shares.count(other, Some(2), WORK_MS, Time::ZERO);
    assert_eq!(shares.fraction(PRECEDENCE, Some(1), 0.3, Time::ZERO), 0.3);
    assert_eq!(shares.fraction(other, Some(3), 0.3, Time::ZERO), 0.3);
}

#[test]
fn teams_that_stopped_are_dropped() {
    let mut shares = TeamShares::default();
    for team in 0..100 {
        shares.count(PRECEDENCE, Some(team), WORK_MS, Time::ZERO);
    }
    shares.expire(Time::ZERO.after_ms(10_000));
    assert_eq!(shares.len(), 100);
    shares.expire(Time::ZERO.after_ms(100_000));
    assert!(shares.is_empty());
}

#[rstest]
fn requests_without_work_are_not_counted(#[values(0.0, -1.0, f64::NAN)] work_ms: f64) {
    let mut shares = TeamShares::default();
    shares.count(PRECEDENCE, Some(1), work_ms, Time::ZERO);
    assert!(shares.is_empty());
}
