//! A team's rate over several entries while demand moves between them.
//!
//! The decisions of `gradeloft_policy` run against a clock and messages of this module, so the
//! figures are the same on every machine.

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
/// Requests a second that the team may send over all entries.
const ALLOWED: f64 = 700.0;
const STEP_MS: u64 = 1;
/// Time of a message between entries, in milliseconds.
const LATENCY_MS: u64 = 6;
/// The home, an entry that is not cut off.
const HOME: usize = 0;
/// The entry that is cut off, and when.
const CUT: usize = 3;
const CUT_FROM_MS: u64 = 20_000;
const CUT_TO_MS: u64 = 40_000;
/// A window over which the worst overshoot is taken, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// A way to share the rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
enum Way {
    /// Leases that follow demand.
    Gradeloft,
    /// Every entry grants the whole rate.
    NoSharing,
    /// Every entry grants an equal part.
    Static,
}

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Seconds of each run.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Demand, in parts of the rate.
    #[arg(long, default_value_t = 1.3)]
    demand: f64,
    /// Time after which demand moves to another entry, in seconds.
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
    scheme: Way,
    cut_off: bool,
    demanded: u64,
    admitted_over_allowed: f64,
    worst_window_over_allowed: f64,
    used_over_allowed: f64,
    messages_per_s: f64,
}

/// Runs the measurement and prints what it gives.
pub(crate) fn run(args: &Args) {
    for scheme in [Way::NoSharing, Way::Static, Way::Gradeloft] {
        for cut_off in [false, true] {
            let report = Run::new(args, scheme, cut_off).measure();
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
    /// Since when asks have stayed unanswered.
    unanswered: Option<Time>,
}

/// An answer of the home on its way.
struct Answer {
    due: Time,
    entry: usize,
    rate: f64,
    asked: Time,
}

struct Run<'a> {
    args: &'a Args,
    scheme: Way,
    cut_off: bool,
    entries: Vec<Entry>,
    lender: Lender,
    answers: VecDeque<Answer>,
    messages: u64,
    rng: ChaCha8Rng,
}

impl<'a> Run<'a> {
    fn new(args: &'a Args, scheme: Way, cut_off: bool) -> Run<'a> {
        let rate = match scheme {
            Way::Gradeloft => 0.0,
            Way::NoSharing => ALLOWED,
            Way::Static => ALLOWED / ENTRIES as f64,
        };
        let entry = || Entry {
            bucket: TokenBucket::new(rate, Time::ZERO),
            demand: Demand::default(),
            borrower: Borrower::default(),
            unanswered: None,
        };
        Run {
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
        // Leases settle first; then what counts begins.
        let warm_up_ms = 2 * LEASE_MS;
        let end_ms = warm_up_ms + self.args.seconds * 1000;
        let mut admitted_at = VecDeque::new();
        let (mut admitted, mut demanded, mut worst) = (0_u64, 0_u64, 0.0_f64);
        for ms in (0..end_ms).step_by(STEP_MS as usize) {
            let now = Time::ZERO.after_ms(ms);
            let (wanted, granted) = self.step(ms, now);
            if ms < warm_up_ms {
                continue;
            }
            demanded += wanted;
            admitted += granted;
            admitted_at.push_back((ms, granted));
            while admitted_at
                .front()
                .is_some_and(|(it, _)| it + WINDOW_MS <= ms)
            {
                admitted_at.pop_front();
            }
            if warm_up_ms + WINDOW_MS <= ms {
                let in_window: u64 = admitted_at.iter().map(|it| it.1).sum();
                worst = worst.max(in_window as f64 / (ALLOWED * WINDOW_MS as f64 / 1000.0));
            }
        }
        let allowed = ALLOWED * self.args.seconds as f64;
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

    /// One step of time; gives requests wanted and admitted.
    fn step(&mut self, ms: u64, now: Time) -> (u64, u64) {
        if self.scheme == Way::Gradeloft {
            self.exchange(ms, now);
        }
        let hot = (ms / 1000 / self.args.moves_every) as usize * 3 % ENTRIES;
        let (mut wanted, mut admitted) = (0, 0);
        for idx in 0..ENTRIES {
            // Four fifths of the demand are at one entry, the rest is spread.
            let part = if idx == hot {
                0.8
            } else {
                0.2 / (ENTRIES - 1) as f64
            };
            let mean = ALLOWED * self.args.demand * part * STEP_MS as f64 / 1000.0;
            let count = self.poisson(mean);
            wanted += count;
            let entry = &mut self.entries[idx];
            for _ in 0..count {
                entry.demand.add(1.0, now);
                admitted += u64::from(entry.bucket.try_take(1.0, now));
            }
        }
        (wanted, admitted)
    }

    fn exchange(&mut self, ms: u64, now: Time) {
        while self.answers.front().is_some_and(|it| it.due <= now) {
            if let Some(answer) = self.answers.pop_front() {
                let entry = &mut self.entries[answer.entry];
                entry.borrower.granted(answer.rate, answer.asked);
                entry.unanswered = None;
            }
        }
        for idx in 0..ENTRIES {
            let spread = idx as u64 * RENEW_MS / ENTRIES as u64;
            if ms % RENEW_MS == spread {
                self.ask(idx, ms, now);
            }
            let entry = &mut self.entries[idx];
            let lost = entry
                .unanswered
                .is_some_and(|it| it.after_ms(CUT_OFF_MS) <= now);
            let reach = if lost {
                HomeReach::CutOff
            } else {
                HomeReach::Home
            };
            let rate = entry.borrower.rate(ALLOWED, ENTRIES, reach, now);
            entry.bucket.set_rate(rate, now);
        }
    }

    fn ask(&mut self, idx: usize, ms: u64, now: Time) {
        let entry = &mut self.entries[idx];
        entry.unanswered.get_or_insert(now);
        let cut = self.cut_off && (CUT_FROM_MS..CUT_TO_MS).contains(&ms);
        if cut && idx == CUT {
            return;
        }
        let demand = need(entry.demand.rate(now), entry.bucket.level(now));
        let held = entry.borrower.held(now);
        let ask = LeaseRequest {
            entry: idx as u64,
            demand,
            held,
        };
        // The home misses three heartbeats before it counts an entry as gone.
        let missed = cut && CUT_FROM_MS + 3_000 <= ms;
        let connected = ENTRIES - usize::from(missed);
        let fleet = FleetView {
            allowed: ALLOWED,
            entries: ENTRIES,
            connected,
        };
        let rate = self.lender.grant(ask, fleet, now);
        let latency = if idx == HOME { 0 } else { LATENCY_MS };
        self.messages += 2 * u64::from(idx != HOME);
        self.answers.push_back(Answer {
            due: now.after_ms(latency),
            entry: idx,
            rate,
            asked: now,
        });
    }

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
