//! Rollout of a version to the replicas of a fleet, with pauses of agents and corrupt chunks.
//!
//! Agents run the decisions of `gradeloft_policy`: turns, validity of verifications, and exclusion of
//! replicas. The model of an agent's steps follows the gateway's.

use std::collections::BTreeMap;

use gradeloft_policy::{
    clock::Time,
    rendezvous,
    version::{
        suspect_load::SuspectLoad,
        verification::Verification,
        waves::{RunningRequests, Wave},
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Resolution of the simulation, in milliseconds.
const TICK_MS: u64 = 5;
/// Number of chunks of a version.
const CHUNKS: usize = 48;
/// Time to read back all chunks, in milliseconds.
const VERIFY_MS: u64 = 25;
/// Time from the report that a replica is closed to the order, in milliseconds, for replicas that cut
/// their requests and for those that finish them.
const CLOSE_MS: [u64; 2] = [40, 640];
/// Duration of a load in milliseconds.
const LOAD_MS: u64 = 300;
/// Time to fetch a corrupt chunk again, in milliseconds.
const REPAIR_MS: u64 = 350;
/// Time before a load in which a chunk may become corrupt without consequences, in milliseconds.
const TOLERATED_MS: u64 = 3_000;
/// Number of verifications in the preparation of a load after which it is ordered in any case.
const MAX_REVERIFICATIONS: u32 = 2;
/// Duration of a run in milliseconds.
const LENGTH_MS: u64 = 30_000;

/// Step of a deployment after which an agent is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PausePoint {
    /// A chunk has been read back before the order.
    ChunkRead(usize),
    /// The replica has been closed.
    Closed,
    /// The order has been decided, and the replica has not received it.
    OrderDecided,
}

/// How agents treat the age of a verification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Validity {
    /// Verifications stay valid.
    Unlimited,
    /// Verifications are valid as `gradeloft_policy` decides.
    Limited,
}

/// Parameters of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Rollout {
    /// Number of replicas.
    pub replicas: usize,
    /// Rollout time of the version, in milliseconds.
    pub version_ms: u64,
    /// Fraction of the agents that are paused at a random step, while a chunk becomes corrupt.
    pub paused: f64,
    /// Treatment of verifications.
    pub validity: Validity,
    /// Seed.
    pub seed: u64,
}

/// Result of a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Number of replicas that were opened with weights loaded from corrupt chunks.
    pub faulty: usize,
    /// Number of replicas that were excluded after a load of chunks that may have been corrupt.
    pub excluded: usize,
    /// Number of replicas that serve the version.
    pub serving: usize,
    /// Time at which the last replica served the version, in milliseconds.
    pub last_ms: u64,
    /// Time for which all replicas together were closed, in milliseconds.
    pub closed_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Waits for its turn.
    Waiting,
    /// Reads back the chunks.
    Verifying { started: Time, read: usize },
    /// Prepares the closed replica; the preparation ends at `until`.
    Preparing {
        verification: Verification,
        until: Time,
    },
    /// Reads back the chunks of the closed replica again.
    Reverifying { started: Time, read: usize },
    /// Orders the load.
    Ordering(Verification),
    /// The replica has accepted the order.
    Loading { until: Time, faulty: bool },
    /// Reads back the chunks after the load was accepted.
    Confirming { until: Time, faulty: bool },
    /// Fetches corrupt chunks again.
    Repairing { until: Time },
    /// Serves the version.
    Serving,
    /// Gets no requests with this load.
    Excluded(SuspectLoad),
}

struct Agent {
    wave: Wave,
    stage: Stage,
    reverifications: u32,
    pause: Option<(PausePoint, u64, usize)>,
    paused_until: Time,
    /// Times at which chunks become corrupt.
    corrupt_since: BTreeMap<usize, Time>,
}

impl Agent {
    fn is_corrupt(&self, idx: usize, now: Time) -> bool {
        self.corrupt_since.get(&idx).is_some_and(|it| *it <= now)
    }

    /// Pauses the agent if it is to be paused after this step. A chunk becomes corrupt at the start of
    /// the pause.
    fn pause_at(&mut self, point: PausePoint, now: Time) {
        if let Some((_, for_ms, corrupt)) = self.pause.take_if(|it| it.0 == point) {
            self.paused_until = now.after_ms(for_ms);
            self.corrupt_since.insert(corrupt, now);
        }
    }

    /// Reads the chunks that are due; returns the number of read chunks, or `None` if one is corrupt.
    fn read_back(&mut self, started: Time, mut read: usize, now: Time) -> Option<usize> {
        let elapsed_ms = now.since(started).as_millis() as usize;
        let due = (elapsed_ms * CHUNKS / VERIFY_MS as usize).min(CHUNKS);
        while read < due && self.paused_until <= now {
            if self.is_corrupt(read, now) {
                return None;
            }
            read += 1;
            self.pause_at(PausePoint::ChunkRead(read - 1), now);
        }
        Some(read)
    }

    /// Returns whether a load that is accepted now is affected by a corrupt chunk.
    fn loads_faulty(&self, now: Time) -> bool {
        let mut corrupt = self.corrupt_since.values();
        corrupt.any(|it| it.after_ms(TOLERATED_MS) <= now)
    }

    fn is_closed(&self) -> bool {
        !matches!(
            self.stage,
            Stage::Waiting | Stage::Verifying { .. } | Stage::Repairing { .. } | Stage::Serving
        )
    }
}

struct Simulation {
    rollout: Rollout,
    agents: Vec<Agent>,
    outcome: Outcome,
}

/// Simulates a rollout.
pub fn simulate(rollout: Rollout) -> Outcome {
    let mut simulation = Simulation::new(rollout);
    for tick in 0..LENGTH_MS / TICK_MS {
        let now = Time::ZERO.after_ms(tick * TICK_MS);
        let serving = simulation.serving();
        for idx in 0..rollout.replicas {
            simulation.step(idx, serving, now);
        }
        let closed = simulation.agents.iter().filter(|it| it.is_closed()).count() as u64;
        simulation.outcome.closed_ms += closed * TICK_MS;
        if serving + simulation.outcome.excluded == rollout.replicas {
            break;
        }
    }
    simulation.outcome.serving = simulation.serving();
    simulation.outcome
}

impl Simulation {
    fn new(rollout: Rollout) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(rollout.seed);
        let nodes: Vec<u64> = (0..rollout.replicas)
            .map(|it| rendezvous::hash(format!("{}/{it}", rollout.seed).as_bytes()))
            .collect();
        let agent = |(idx, own): (usize, &u64)| {
            let others = nodes.iter().enumerate().filter(|(it, _)| *it != idx);
            let others: Vec<u64> = others.map(|it| *it.1).collect();
            let point = match rng.random_range(0..3) {
                0 => PausePoint::Closed,
                1 => PausePoint::OrderDecided,
                _ => PausePoint::ChunkRead(rng.random_range(0..CHUNKS)),
            };
            let pause = (
                point,
                rng.random_range(500..6_000),
                rng.random_range(0..CHUNKS),
            );
            Agent {
                wave: Wave::new(2, *own, &others),
                stage: Stage::Waiting,
                reverifications: 0,
                pause: rng.random_bool(rollout.paused).then_some(pause),
                paused_until: Time::ZERO,
                corrupt_since: BTreeMap::new(),
            }
        };
        Simulation {
            agents: nodes.iter().enumerate().map(agent).collect(),
            outcome: Outcome::default(),
            rollout,
        }
    }

    /// Returns the number of replicas that serve the version.
    fn serving(&self) -> usize {
        let serving = |it: &&Agent| matches!(it.stage, Stage::Serving);
        self.agents.iter().filter(serving).count()
    }

    /// Performs a step of an agent; `switched` replicas serve the version.
    fn step(&mut self, idx: usize, switched: usize, now: Time) {
        let Rollout {
            version_ms,
            validity,
            ..
        } = self.rollout;
        let agent = &mut self.agents[idx];
        if now < agent.paused_until {
            return;
        }
        let limited = validity == Validity::Limited;
        agent.stage = match agent.stage {
            Stage::Waiting => {
                let wave = agent.wave;
                let ready = wave.may_load(switched, Time::ZERO, version_ms, now)
                    && wave.has_turn(Time::ZERO, Time::ZERO, version_ms, now);
                match ready {
                    true => Stage::Verifying {
                        started: now,
                        read: 0,
                    },
                    false => Stage::Waiting,
                }
            }
            Stage::Verifying { started, read } => match agent.read_back(started, read, now) {
                None => repair(now),
                Some(CHUNKS) => {
                    agent.pause_at(PausePoint::Closed, now);
                    prepare(agent.wave, Verification::new(started, None), now)
                }
                Some(read) => Stage::Verifying { started, read },
            },
            Stage::Preparing {
                verification,
                until,
            } => {
                if now < until {
                    agent.stage
                } else if !limited || verification.permits_order(now) {
                    agent.pause_at(PausePoint::OrderDecided, now);
                    Stage::Ordering(verification)
                } else {
                    agent.reverifications += 1;
                    Stage::Reverifying {
                        started: now,
                        read: 0,
                    }
                }
            }
            Stage::Reverifying { started, read } => match agent.read_back(started, read, now) {
                None => repair(now),
                Some(CHUNKS) if agent.reverifications < MAX_REVERIFICATIONS => {
                    prepare(agent.wave, Verification::new(started, None), now)
                }
                Some(CHUNKS) => Stage::Ordering(Verification::new(started, None)),
                Some(read) => Stage::Reverifying { started, read },
            },
            Stage::Ordering(verification) => {
                let faulty = agent.loads_faulty(now);
                match limited && !verification.covers_load(now) {
                    true => Stage::Confirming {
                        until: now.after_ms(VERIFY_MS),
                        faulty,
                    },
                    false => Stage::Loading {
                        until: now.after_ms(LOAD_MS),
                        faulty,
                    },
                }
            }
            Stage::Confirming { until, .. } if now < until => agent.stage,
            Stage::Confirming { faulty, .. } => {
                match (0..CHUNKS).any(|it| agent.is_corrupt(it, now)) {
                    true => {
                        self.outcome.excluded += 1;
                        Stage::Excluded(SuspectLoad {
                            born: None,
                            version: 2,
                        })
                    }
                    false => Stage::Loading {
                        until: now.after_ms(LOAD_MS),
                        faulty,
                    },
                }
            }
            Stage::Loading { until, .. } if now < until => agent.stage,
            Stage::Loading { faulty, .. } => {
                self.outcome.faulty += usize::from(faulty);
                self.outcome.last_ms = now.since(Time::ZERO).as_millis() as u64;
                Stage::Serving
            }
            Stage::Repairing { until } if now < until => agent.stage,
            Stage::Repairing { .. } => {
                agent.corrupt_since.clear();
                agent.reverifications = 0;
                Stage::Verifying {
                    started: now,
                    read: 0,
                }
            }
            Stage::Serving => Stage::Serving,
            Stage::Excluded(load) => match load.may_be_held(None, Some(2), false) {
                true => Stage::Excluded(load),
                false => Stage::Serving,
            },
        };
    }
}

fn repair(now: Time) -> Stage {
    Stage::Repairing {
        until: now.after_ms(REPAIR_MS),
    }
}

fn prepare(wave: Wave, verification: Verification, now: Time) -> Stage {
    let close_ms = match wave.running_requests(true) {
        RunningRequests::Cut => CLOSE_MS[0],
        RunningRequests::Finished => CLOSE_MS[1],
    };
    Stage::Preparing {
        verification,
        until: now.after_ms(close_ms),
    }
}
