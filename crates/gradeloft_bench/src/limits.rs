//! Enforcement of a team's rate limit across several entries while demand moves between them.
//!
//! The decisions of `gradeloft_policy` run with a virtual clock and simulated messages, so the
//! results are the same on every machine.

use std::collections::VecDeque;

use clap::ValueEnum;
use gradeloft_policy::{
    clock::Time,
    process::rate_leases::{
        Borrower, CUT_OFF_MS, Demand, FleetView, HomeReach, LEASE_MS, LeaseRequest, Lender,
        RENEW_MS, need,
    },
    request::admission::TokenBucket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const ENTRIES: usize = 7;
/// Requests per second that the team may send to all entries together.
const ALLOWED_PER_S: f64 = 700.0;
const STEP_MS: u64 = 1;
/// Latency of a lease answer from the home, in milliseconds.
const LATENCY_MS: u64 = 6;
/// Home of the team, an entry that is not cut off.
const HOME: usize = 0;
/// Entry that is cut off, and the time in which it is.
const CUT_OFF_ENTRY: usize = 3;
const CUT_START_MS: u64 = 20_000;
const CUT_END_MS: u64 = 40_000;
/// Window for the worst overshoot, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Scheme to share the rate among the entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
enum SharingScheme {
    /// Leases that follow the demand.
    Gradeloft,
    /// Every entry grants the whole rate.
    NoSharing,
    /// Every entry grants an equal share of the rate.
    Static,
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Demand, as a multiple of the rate.
    #[arg(long, default_value_t = 1.3)]
    demand: f64,
    /// Interval at which the demand moves to another entry, in seconds.
    #[arg(long, default_value_t = 5)]
    moves_every: u64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON line for each run.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    scheme: SharingScheme,
    cut_off: bool,
    demanded: u64,
    admitted_over_allowed: f64,
    worst_window_over_allowed: f64,
    used_over_allowed: f64,
    messages_per_s: f64,
}

/// Runs the measurement and prints its report.
pub(crate) fn run(args: &Args) {
    for scheme in [
        SharingScheme::NoSharing,
        SharingScheme::Static,
        SharingScheme::Gradeloft,
    ] {
        for cut_off in [false, true] {
            let report = Simulation::new(args, scheme, cut_off).measure();
            if args.json {
                println!("{}", serde_json::to_string(&report).expect("plain numbers"));
            } else {
                println!(
                    "{scheme:?} cut off {cut_off}: admitted {:.3}, worst 10 s {:.3}, used {:.3} of \
                     allowed",
                    report.admitted_over_allowed,
                    report.worst_window_over_allowed,
                    report.used_over_allowed
                );
            }
        }
    }
}

struct Entry {
    bucket: TokenBucket,
    demand: Demand,
    borrower: Borrower,
    /// Time of the oldest lease request without an answer since.
    unanswered_since: Option<Time>,
}

/// An answer of the home in transit.
struct Answer {
    due: Time,
    entry: usize,
    rate: f64,
    requested: Time,
}

struct Simulation<'a> {
    args: &'a Args,
    scheme: SharingScheme,
    cut_off: bool,
    entries: Vec<Entry>,
    lender: Lender,
    answers: VecDeque<Answer>,
    messages: u64,
    rng: ChaCha8Rng,
}

impl<'a> Simulation<'a> {
    fn new(args: &'a Args, scheme: SharingScheme, cut_off: bool) -> Simulation<'a> {
        let rate = match scheme {
            SharingScheme::Gradeloft => 0.0,
            SharingScheme::NoSharing => ALLOWED_PER_S,
            SharingScheme::Static => ALLOWED_PER_S / ENTRIES as f64,
        };
        let entry = || Entry {
            bucket: TokenBucket::new(rate, Time::ZERO),
            demand: Demand::default(),
            borrower: Borrower::default(),
            unanswered_since: None,
        };
        Simulation {
            args,
            scheme,
            cut_off,
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            lender: Lender::new(Time::ZERO),
            answers: VecDeque::new(),
            messages: 0,
            rng: ChaCha8Rng::seed_from_u64(args.seed),
        }
    }

    fn measure(mut self) -> Report {
        // The measurement starts after a warm-up in which leases settle.
        let warm_up_ms = 2 * LEASE_MS;
        let end_ms = warm_up_ms + self.args.seconds * 1000;
        let mut admissions = VecDeque::new();
        let (mut admitted, mut demanded, mut worst) = (0_u64, 0_u64, 0.0_f64);
        for ms in (0..end_ms).step_by(STEP_MS as usize) {
            let now = Time::ZERO.after_ms(ms);
            let (sent, granted) = self.step(ms, now);
            if ms < warm_up_ms {
                continue;
            }
            demanded += sent;
            admitted += granted;
            admissions.push_back((ms, granted));
            while admissions
                .front()
                .is_some_and(|(it, _)| it + WINDOW_MS <= ms)
            {
                admissions.pop_front();
            }
            if warm_up_ms + WINDOW_MS <= ms {
                let in_window: u64 = admissions.iter().map(|it| it.1).sum();
                worst = worst.max(in_window as f64 / (ALLOWED_PER_S * WINDOW_MS as f64 / 1000.0));
            }
        }
        let allowed = ALLOWED_PER_S * self.args.seconds as f64;
        let possible = allowed.min(demanded as f64);
        Report {
            scheme: self.scheme,
            cut_off: self.cut_off,
            demanded,
            admitted_over_allowed: admitted as f64 / allowed,
            worst_window_over_allowed: worst,
            used_over_allowed: admitted as f64 / possible,
            messages_per_s: self.messages as f64 * 1000.0 / end_ms as f64,
        }
    }

    /// Simulates one time step; returns the number of requests sent and admitted.
    fn step(&mut self, ms: u64, now: Time) -> (u64, u64) {
        if self.scheme == SharingScheme::Gradeloft {
            self.exchange_leases(ms, now);
        }
        let hot_entry = (ms / 1000 / self.args.moves_every) as usize * 3 % ENTRIES;
        let (mut sent, mut admitted) = (0, 0);
        for idx in 0..ENTRIES {
            // One entry receives four fifths of the demand; the others share the rest equally.
            let share = if idx == hot_entry {
                0.8
            } else {
                0.2 / (ENTRIES - 1) as f64
            };
            let mean = ALLOWED_PER_S * self.args.demand * share * STEP_MS as f64 / 1000.0;
            let count = self.poisson(mean);
            sent += count;
            let entry = &mut self.entries[idx];
            for _ in 0..count {
                entry.demand.add(1.0, now);
                admitted += u64::from(entry.bucket.try_take(1.0, now));
            }
        }
        (sent, admitted)
    }

    fn exchange_leases(&mut self, ms: u64, now: Time) {
        while self.answers.front().is_some_and(|it| it.due <= now) {
            if let Some(answer) = self.answers.pop_front() {
                let entry = &mut self.entries[answer.entry];
                entry.borrower.granted(answer.rate, answer.requested);
                entry.unanswered_since = None;
            }
        }
        for idx in 0..ENTRIES {
            let offset = idx as u64 * RENEW_MS / ENTRIES as u64;
            if ms % RENEW_MS == offset {
                self.request_lease(idx, ms, now);
            }
            let entry = &mut self.entries[idx];
            let is_cut_off = entry
                .unanswered_since
                .is_some_and(|it| it.after_ms(CUT_OFF_MS) <= now);
            let reach = if is_cut_off {
                HomeReach::CutOff
            } else {
                HomeReach::Home
            };
            let rate = entry.borrower.rate(ALLOWED_PER_S, ENTRIES, reach, now);
            entry.bucket.set_rate(rate, now);
        }
    }

    fn request_lease(&mut self, idx: usize, ms: u64, now: Time) {
        let entry = &mut self.entries[idx];
        entry.unanswered_since.get_or_insert(now);
        let cut_active = self.cut_off && (CUT_START_MS..CUT_END_MS).contains(&ms);
        if cut_active && idx == CUT_OFF_ENTRY {
            return;
        }
        let demand = need(entry.demand.rate(now), entry.bucket.level(now));
        let held = entry.borrower.held(now);
        let request = LeaseRequest {
            entry: idx as u64,
            demand,
            held,
        };
        // The home counts an entry as disconnected after three missed heartbeats, one per second.
        let is_disconnected = cut_active && CUT_START_MS + 3_000 <= ms;
        let connected = ENTRIES - usize::from(is_disconnected);
        let fleet = FleetView {
            allowed: ALLOWED_PER_S,
            entries: ENTRIES,
            connected,
        };
        let rate = self.lender.grant(request, fleet, now);
        let latency = if idx == HOME { 0 } else { LATENCY_MS };
        self.messages += 2 * u64::from(idx != HOME);
        self.answers.push_back(Answer {
            due: now.after_ms(latency),
            entry: idx,
            rate,
            requested: now,
        });
    }

    /// Draws a Poisson-distributed number with the given mean.
    fn poisson(&mut self, mean: f64) -> u64 {
        let limit = (-mean).exp();
        let mut product: f64 = self.rng.random();
        let mut count = 0;
        while limit < product {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }
}
