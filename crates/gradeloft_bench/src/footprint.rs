//! Growth of memory, message sizes and time with the number of replicas, teams, chunks and models.
//!
//! Each figure is measured at four sizes and fitted with a line; `docs/CAPACITY.md` uses the slopes.

use std::{hint::black_box, time::Instant};

use gradeloft_policy::{
    clock::Time,
    process::membership::Membership,
    request::{
        admission::{Rate, TeamLimiter},
        at_most_once::{self, ClaimTable},
        route::{self, Candidate, Locality},
    },
    version::{
        bundle::{self, Key, Publisher},
        chain::Chain,
        fetch::{Fetch, Scheme, Tuning},
        manifest::{Chunk, Manifest},
        placement::{self, Replica},
        turns::Turns,
    },
};
use gradeloft_standin::fleet::team;
use gradeloft_wire::{
    border::{
        bundle::{Bundle, Model, Objective, Publisher as BundlePublisher},
        platform::{Instance, InstanceRole, InstanceState},
    },
    codec,
    frame::{Notice, Pin, Reply},
    id::Digest,
    record::{Claim, Step, Turn},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{ALLOCATOR, idle};

const PEERS: [usize; 4] = [100, 400, 1_600, 6_400];
const TEAMS: [usize; 4] = [10, 50, 250, 1_000];
const MODELS: [usize; 4] = [1, 10, 50, 200];
const CHUNKS: [usize; 4] = [512, 2_048, 8_192, 32_768];
const CLAIMS: [usize; 4] = [1_000, 4_000, 16_000, 64_000];
const CANDIDATES: [usize; 4] = [8, 32, 128, 512];
const REPLICAS: [usize; 4] = [50, 200, 800, 2_300];
const PINS: [usize; 4] = [1, 2, 4, 8];
const SOURCES: usize = 14;

/// Arguments of the measurement.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Print one JSON line for each figure.
    #[arg(long)]
    json: bool,
    /// Skip the idle fleets, which take a minute.
    #[arg(long)]
    no_fleet: bool,
}

/// A figure at several sizes.
#[derive(Debug, Serialize)]
pub(crate) struct Figure {
    /// Name of the figure.
    pub(crate) name: &'static str,
    /// Unit of the values.
    pub(crate) unit: &'static str,
    /// Item that the sizes count.
    pub(crate) per: &'static str,
    /// Sizes.
    pub(crate) sizes: Vec<usize>,
    /// A value for each size.
    pub(crate) values: Vec<f64>,
    /// Growth per item.
    pub(crate) slope: f64,
    /// Value of the fitted line at size 0.
    pub(crate) base: f64,
}

impl Figure {
    /// Measures a value at each size and fits a line.
    pub(crate) fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        sizes: &[usize],
        mut value: impl FnMut(usize) -> f64,
    ) -> Figure {
        let values: Vec<f64> = sizes.iter().map(|it| value(*it)).collect();
        let (slope, base) = fit(sizes, &values);
        Figure {
            name,
            unit,
            per,
            sizes: sizes.to_vec(),
            values,
            slope,
            base,
        }
    }
}

/// Fits a line by least squares; returns its slope and intercept.
fn fit(sizes: &[usize], values: &[f64]) -> (f64, f64) {
    let count = sizes.len() as f64;
    let mean_x = sizes.iter().map(|it| *it as f64).sum::<f64>() / count;
    let mean_y = values.iter().sum::<f64>() / count;
    let pairs = || sizes.iter().map(|it| *it as f64 - mean_x).zip(values);
    let covariance: f64 = pairs().map(|(x, y)| x * (y - mean_y)).sum();
    let variance: f64 = pairs().map(|(x, _)| x * x).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

/// Runs the measurement and prints its figures.
pub(crate) fn run(args: &Args) {
    let mut figures = memory();
    figures.extend(times());
    figures.extend(messages());
    if !args.no_fleet {
        figures.extend(idle::figures());
    }
    for it in &figures {
        if args.json {
            println!("{}", serde_json::to_string(it).expect("plain numbers"));
        } else {
            println!(
                "{}: {:.4} {} per {}, base {:.2}",
                it.name, it.slope, it.unit, it.per, it.base
            );
        }
    }
}

fn memory() -> Vec<Figure> {
    vec![
        Figure::new("membership", "bytes", "peer", &PEERS, |it| {
            retained_bytes(|| membership(it))
        }),
        Figure::new("ledger", "bytes", "team", &TEAMS, |it| {
            retained_bytes(|| limiter(it))
        }),
        Figure::new("bundle_teams", "bytes", "team", &TEAMS, |it| {
            retained_bytes(|| chain(it, 1))
        }),
        Figure::new("bundle_models", "bytes", "model", &MODELS, |it| {
            retained_bytes(|| chain(1, it))
        }),
        Figure::new("fetch", "bytes", "chunk", &CHUNKS, |it| {
            retained_bytes(|| fetch(it))
        }),
        Figure::new("claims", "bytes", "claim", &CLAIMS, |it| {
            retained_bytes(|| claims(it))
        }),
        Figure::new("turns", "bytes", "replica", &REPLICAS, |it| {
            retained_bytes(|| turns(it))
        }),
    ]
}

fn times() -> Vec<Figure> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    vec![
        Figure::new("route", "ns", "candidate", &CANDIDATES, |count| {
            let candidates: Vec<Candidate<usize>> = (0..count).map(candidate).collect();
            let mut prefix = 0;
            best_ns(|| {
                prefix += 1;
                black_box(route::choose(
                    &candidates,
                    Some(prefix),
                    Time::ZERO,
                    &mut rng,
                ));
            })
        }),
        Figure::new("view", "ns", "peer", &PEERS, |count| {
            let membership = membership(count);
            best_ns(|| {
                let agents = membership.of(InstanceRole::Agent);
                black_box(agents.filter(|(_, it)| it.accepts_work(Time::ZERO)).count());
            })
        }),
        Figure::new("admit", "ns", "team", &TEAMS, |count| {
            let mut limiter = limiter(count);
            let mut now = Time::ZERO;
            best_ns(|| {
                now = now.after_ms(1);
                let _ = black_box(limiter.admit("team-7", 1.0, now));
            })
        }),
        Figure::new("placement", "ns", "replica", &REPLICAS, |count| {
            let bundle = bundle(1, 10, count as u32 / 10);
            let names: Vec<String> = (0..count).map(|it| format!("agent-{it}")).collect();
            let replicas: Vec<Replica<'_>> = names
                .iter()
                .map(|node| Replica {
                    node,
                    zone: "zone-0",
                })
                .collect();
            best_ns(|| {
                black_box(placement::place(&bundle, &replicas));
            })
        }),
        Figure::new("accept_bundle", "ns", "team", &TEAMS, |count| {
            let signed = Key::new([1; 32]).sign(&bundle(count, 1, 1), "ops");
            best_ns(|| {
                black_box(empty_chain().fold(&signed));
            })
        }),
        Figure::new("fetch_next", "ns", "chunk", &CHUNKS, |count| {
            let mut fetch = fetch(count);
            let mut rng = ChaCha8Rng::seed_from_u64(2);
            let mut now = Time::ZERO;
            best_ns(|| {
                now = now.after_ms(1);
                if let Some(request) = fetch.next_request(now, &mut rng) {
                    fetch.arrived(request.idx, request.from, now);
                }
            })
        }),
        Figure::new("heartbeat", "ns", "version served", &PINS, |count| {
            let reply = Reply::Notice(notice(count));
            best_ns(|| {
                let body = codec::encode_body(&reply);
                let _ = black_box(codec::decode_body::<Reply>(&body));
            })
        }),
    ]
}

fn messages() -> Vec<Figure> {
    vec![
        Figure::new(
            "heartbeat_frame",
            "bytes",
            "version served",
            &PINS,
            |count| codec::encode_frame(&Reply::Notice(notice(count))).len() as f64,
        ),
        Figure::new("bundle_frame_teams", "bytes", "team", &TEAMS, |count| {
            Key::new([1; 32])
                .sign(&bundle(count, 1, 1), "ops")
                .payload
                .len() as f64
        }),
        Figure::new("bundle_frame_models", "bytes", "model", &MODELS, |count| {
            Key::new([1; 32])
                .sign(&bundle(1, count, 1), "ops")
                .payload
                .len() as f64
        }),
        Figure::new("have_frame", "bytes", "chunk", &CHUNKS, |count| {
            codec::encode_frame(&Reply::Have((0..count as u32).collect())).len() as f64
        }),
    ]
}

/// Returns the bytes that a value retains on the heap.
fn retained_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATOR.stats();
    let value = make();
    let after = ALLOCATOR.stats();
    let allocated = |it: &stats_alloc::Stats| {
        it.bytes_allocated as i64 + it.bytes_reallocated as i64 - it.bytes_deallocated as i64
    };
    let bytes = allocated(&after) - allocated(&before);
    drop(black_box(value));
    bytes as f64
}

/// Returns the duration of a call in nanoseconds: the best of several rounds, which is the one with
/// the least interference.
fn best_ns(mut call: impl FnMut()) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..7 {
        let mut calls = 0_u32;
        let started = Instant::now();
        while calls < 10 || (started.elapsed().as_millis() < 15 && calls < 100_000) {
            call();
            calls += 1;
        }
        best = best.min(started.elapsed().as_nanos() as f64 / f64::from(calls));
    }
    best
}

fn notice(pins: usize) -> Notice {
    let pin = |idx: usize| Pin {
        model: format!("model-{idx}"),
        adapter: None,
        version: "2026-12-02.1".to_owned(),
    };
    Notice {
        node: "engine-liepaja-0001".to_owned(),
        zone: "liepaja-hall".to_owned(),
        bundle: 12_345,
        serving: (0..pins).map(pin).collect(),
        capacity: 32,
        ..Notice::default()
    }
}

fn membership(count: usize) -> Membership {
    let instance = |idx: usize| Instance {
        id: format!("engine-liepaja-{idx:04}"),
        zone: "liepaja-hall".to_owned(),
        region: "kurzeme".to_owned(),
        role: InstanceRole::Agent,
        state: InstanceState::Live,
        peer: "10.11.12.13:7401".to_owned(),
        public: None,
        admin: Some("10.11.12.13:9401".to_owned()),
        service: None,
    };
    let mut membership = Membership::new("entry");
    for key in membership.apply_list((0..count).map(instance).collect()) {
        membership.receive_notice(key, notice(1), Time::ZERO);
    }
    membership
}

fn limiter(count: usize) -> TeamLimiter {
    let rate = Rate {
        requests: 1e9,
        tokens: 1e9,
    };
    let mut limiter = TeamLimiter::default();
    for idx in 0..count {
        limiter.set_rate(&format!("team-{idx}"), rate, Time::ZERO);
    }
    limiter
}

fn bundle(teams: usize, models: usize, replicas: u32) -> Bundle {
    let model = |idx: usize| Model {
        name: format!("model-{idx}"),
        version: "2026-12-02.1".to_owned(),
        manifest: Digest::of(&idx.to_le_bytes()).to_string(),
        replicas,
        zones: Vec::new(),
        adapters: Vec::new(),
    };
    let team = |idx: usize| {
        let mut team = team(&format!("team-{idx}"), "token");
        team.models = vec!["model-0".to_owned()];
        team.services = Vec::new();
        team
    };
    Bundle {
        format: 1,
        number: 1,
        parent: None,
        note: None,
        publishers: vec![BundlePublisher {
            name: "ops".to_owned(),
            key: Key::new([1; 32]).public(),
        }],
        classes: vec!["critical".to_owned(), "normal".to_owned()],
        teams: (0..teams).map(team).collect(),
        models: (0..models).map(model).collect(),
        services: Vec::new(),
        rollout: None,
    }
}

fn empty_chain() -> Chain {
    Chain::new(
        Publisher::new("ops", &Key::new([1; 32]).public())
            .into_iter()
            .collect(),
    )
}

fn chain(teams: usize, models: usize) -> Chain {
    let signed = Key::new([1; 32]).sign(&bundle(teams, models, 1), "ops");
    let mut chain = empty_chain();
    chain.fold(&signed);
    assert_eq!(
        chain.number(),
        1,
        "{:?}",
        bundle::parse_canonical(&signed.payload).err()
    );
    chain
}

fn fetch(chunks: usize) -> Fetch {
    let chunk = |idx: usize| Chunk {
        digest: Digest::of(&idx.to_le_bytes()),
        size_bytes: 1,
    };
    let manifest = Manifest {
        digest: Digest::of(b"m"),
        chunks: (0..chunks).map(chunk).collect(),
    };
    let tuning = Tuning {
        scheme: Scheme::Owners,
        peer_slots: 8,
        origin_slots: 2,
        per_source: 3,
        stall_ms: 1_000_000,
        chunk_ms: 0,
        takeover_ms: 1_000_000,
        max_announcements: 8,
        objective: Objective::Time,
        origin_copies: 4.0,
    };
    let mut fetch = Fetch::new(1, &manifest, |_| false, tuning, Time::ZERO);
    fetch.set_members((1..351).collect());
    for _ in 0..SOURCES {
        let key = fetch.add_source(true);
        fetch.add_held(key, 0..chunks);
    }
    fetch
}

fn claims(count: usize) -> ClaimTable<()> {
    let mut table = ClaimTable::new(1);
    for idx in 0..count {
        let key = at_most_once::key("booking", "duty", &idx.to_string());
        table.fold(
            idx as u64,
            &[Claim {
                key,
                attempt: idx as u128,
            }],
        );
    }
    table
}

fn turns(count: usize) -> Turns {
    let mut turns = Turns::default();
    for idx in 0..count {
        let node = format!("engine-liepaja-{idx:04}");
        let turn = Turn {
            number: 1,
            manifest: Digest::of(b"m"),
            node,
            step: Step::Ask,
        };
        turns.fold(idx as u64, 0, &turn);
    }
    turns
}

fn candidate(idx: usize) -> Candidate<usize> {
    Candidate {
        key: idx,
        node: idx as u64,
        locality: Locality::Zone,
        own: 1,
        others: 2,
        reported: Time::ZERO,
        capacity: 32,
    }
}
