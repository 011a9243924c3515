//! Ends of responses without a length, which close their connections like the kernel of a process that was
//! killed, and the verdicts of entries on them.
//!
//! Entries compare identities as `gradeloft_policy` decides. The model of how they ask a replica after a
//! close follows the gateway's.

use gradeloft_policy::process::replica_starts::{Answerer, Identity};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of a run in milliseconds.
const LENGTH_MS: u64 = 30_000;
/// Number of responses that each entry relays.
const RESPONSES: usize = 40;
/// Shortest and longest duration of a response, in milliseconds.
const RESPONSE_MS: (u64, u64) = (20, 5_000);
/// Shortest and longest time between two ends of a replica, in milliseconds.
const UPTIME_MS: (u64, u64) = (50, 8_000);
/// Shortest and longest time in which nobody, another service or no machine has a replica's address, in
/// milliseconds.
const GAP_MS: (u64, u64) = (1, 3_000);
/// Shortest and longest time for which a replica stands still, in milliseconds.
const STALL_MS: (u64, u64) = (10, 4_000);
/// Longest time from the removal of a replica's record to the end of the replica, in milliseconds.
const UNLISTED_MS: u64 = 2_000;
/// Longest time until an entry has read a record, in milliseconds.
const RECORD_DELAY_MS: u64 = 300;
/// Longest time from a record to a report with the time of the start, in milliseconds.
const REPORT_DELAY_MS: u64 = 2_000;
/// Longest time for which an entry is suspended, in milliseconds.
const PAUSE_MS: u64 = 4_000;
/// Fraction of the closes that a suspended entry reads late.
const PAUSED: f64 = 0.1;
/// Fraction of the closes at which an entry has an older connection to the replica.
const OLDER_CONNECTION: f64 = 0.5;
/// Longest time of a request for a replica's identity and its answer, in milliseconds.
const ROUND_TRIP_MS: u64 = 4;
/// Time within which a replica has to confirm that it runs, in milliseconds.
const CONFIRM_MS: u64 = 1_000;
/// Pause before a replica is asked again after its connection failed, in milliseconds.
const RETRY_MS: u64 = 100;

/// How starts of a replica are told apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// Each start has an id of its own.
    Ids,
    /// Records have the time of each start, and ids may be used again.
    Times,
    /// Reports that follow the record have the time of each start, and ids may be used again.
    LateTimes,
}

/// What an entry takes for the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// An answer of the start that had the request.
    Answer,
    /// A close, unless the replica is listed and its port refuses connections.
    Close,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Number of entries.
    pub entries: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Identities of starts.
    pub naming: Naming,
    /// Decision of the entries.
    pub evidence: Evidence,
    /// Seed.
    pub seed: u64,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Number of responses that were cut.
    pub cut: usize,
    /// Number of responses that were cut and taken for whole.
    pub cut_as_whole: usize,
    /// Number of responses that were whole.
    pub whole: usize,
    /// Number of responses that were whole and taken for cut although their replica could answer.
    pub whole_as_cut: usize,
    /// Number of responses that were whole and taken for cut because the entry knew only the start
    /// before, which had the same id.
    pub of_unknown_starts: usize,
    /// Number of responses that were whole and taken for cut because their replica ended or stood still
    /// before it could answer.
    pub unanswered: usize,
}

/// A start of a replica. An id is that of the replica and its number of renames.
#[derive(Clone, Debug)]
struct Start {
    id: String,
    born: Option<u64>,
    unlisted_ms: Option<u64>,
    /// Time in which the start stands still.
    stall: (u64, u64),
}

#[derive(Clone, Debug)]
enum Occupant {
    Nobody,
    NoMachine,
    OtherService { id: Option<&'static str> },
    Start(Start),
}

/// Time in which somebody has a replica's address.
#[derive(Clone, Debug)]
struct Span {
    from_ms: u64,
    to_ms: u64,
    occupant: Occupant,
}

/// All who have a replica's address in a run, in order and without gaps.
struct Address(Vec<Span>);

/// A replica whose response has been closed, as an entry knows it.
#[derive(Clone, Copy, Debug)]
struct Asked<'a> {
    known: Identity<'a>,
    has_older: bool,
    /// Time at which the start ends.
    ends_ms: u64,
    stall: (u64, u64),
}

fn between(rng: &mut ChaCha8Rng, (least, most): (u64, u64)) -> u64 {
    rng.random_range(least..=most)
}

impl Address {
    /// Generates starts, and what has the address between them.
    fn generate(replica: usize, naming: Naming, rng: &mut ChaCha8Rng) -> Address {
        let mut spans = Vec::new();
        let (mut from_ms, mut renames) = (0, 0);
        while from_ms < LENGTH_MS {
            let to_ms = from_ms + between(rng, UPTIME_MS);
            let stalled_ms = rng.random_range(from_ms..to_ms);
            let stall_ms = between(rng, STALL_MS);
            let unlisted_ms = to_ms.saturating_sub(rng.random_range(1..UNLISTED_MS));
            let start = Start {
                id: format!("i-{replica}-{renames}"),
                // A clock may be set back between two starts, and shows each of them another time.
                born: (naming != Naming::Ids).then(|| rng.random()),
                unlisted_ms: rng.random_bool(0.3).then_some(unlisted_ms),
                stall: match rng.random_bool(0.3) {
                    true => (stalled_ms, stalled_ms + stall_ms),
                    false => (stalled_ms, stalled_ms),
                },
            };
            spans.push(Span {
                from_ms,
                to_ms,
                occupant: Occupant::Start(start),
            });
            from_ms = to_ms;
            let gap = match rng.random_range(0..5) {
                0 => Some(Occupant::Nobody),
                1 => Some(Occupant::NoMachine),
                2 => Some(Occupant::OtherService {
                    id: rng.random_bool(0.5).then_some("other"),
                }),
                _ => None,
            };
            if let Some(occupant) = gap {
                let to_ms = from_ms + between(rng, GAP_MS);
                spans.push(Span {
                    from_ms,
                    to_ms,
                    occupant,
                });
                from_ms = to_ms;
            }
            if naming == Naming::Ids || rng.random_bool(0.5) {
                renames += 1;
            }
        }
        Address(spans)
    }

    fn at(&self, now_ms: u64) -> Option<&Span> {
        let mut spans = self.0.iter();
        spans.find(|it| it.from_ms <= now_ms && now_ms < it.to_ms)
    }

    /// Returns the last start before a time.
    fn start_before(&self, time_ms: u64) -> Option<&Start> {
        let mut spans = self.0.iter().rev().filter(|it| it.to_ms <= time_ms);
        spans.find_map(|it| match &it.occupant {
            Occupant::Start(start) => Some(start),
            _ => None,
        })
    }

    /// Returns whether the start that had a request answers in time.
    fn confirms(&self, asked: Asked<'_>, closed_ms: u64, rng: &mut ChaCha8Rng) -> bool {
        let until_ms = closed_ms + CONFIRM_MS;
        let mut now_ms = closed_ms;
        if asked.has_older {
            let answered_ms = answer_ms(asked.stall, now_ms, rng);
            if answered_ms < asked.ends_ms {
                return answered_ms <= until_ms;
            }
            // The connection ends with the process, which may stand still until then.
            now_ms = now_ms.max(asked.ends_ms.min(answered_ms));
        }
        while now_ms <= until_ms {
            let Some(span) = self.at(now_ms) else {
                return false;
            };
            let Some(answered_ms) = span.occupant.answer_ms(now_ms, rng) else {
                return false;
            };
            if answered_ms < span.to_ms {
                let is_same = span.occupant.answerer(asked.known) == Answerer::Same;
                return is_same && answered_ms <= until_ms;
            }
            now_ms = span.to_ms + RETRY_MS;
        }
        false
    }
}

/// Returns the time at which a process answers that stands still for some time.
fn answer_ms(stall: (u64, u64), now_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
    let answered_ms = now_ms + rng.random_range(1..=ROUND_TRIP_MS);
    match stall.0 <= answered_ms && answered_ms < stall.1 {
        true => stall.1,
        false => answered_ms,
    }
}

impl Occupant {
    /// Returns the time at which a request is answered on a new connection; `None` for never.
    fn answer_ms(&self, now_ms: u64, rng: &mut ChaCha8Rng) -> Option<u64> {
        match self {
            Occupant::Nobody | Occupant::NoMachine => None,
            Occupant::OtherService { .. } => Some(answer_ms((0, 0), now_ms, rng)),
            Occupant::Start(start) => Some(answer_ms(start.stall, now_ms, rng)),
        }
    }

    /// Compares the answers to requests for the state, which has a time, and for the health, which has
    /// an id, with a known start.
    fn answerer(&self, known: Identity<'_>) -> Answerer {
        let (id, born) = match self {
            Occupant::Start(start) => (Some(start.id.as_str()), start.born),
            Occupant::OtherService { id } => (*id, None),
            Occupant::Nobody | Occupant::NoMachine => (None, None),
        };
        let state = Identity { id: None, born };
        let health = Identity { id, born: None };
        match known.compare(state) {
            // A state with a time shows that starts have times, so that an id does not tell.
            Answerer::Unknown if born.is_none() => known.compare(health),
            answerer => answerer,
        }
    }
}

/// Simulates the responses of a run, all of which end with their connections.
pub fn simulate(run: Run) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let replicas = 0..run.replicas;
    let addresses = replicas.map(|it| Address::generate(it, run.naming, &mut rng));
    let addresses: Vec<Address> = addresses.collect();
    let mut outcome = Outcome::default();
    for _ in 0..run.entries * RESPONSES {
        let address = &addresses[rng.random_range(0..addresses.len())];
        relay(run, address, &mut outcome, &mut rng);
    }
    outcome
}

/// Relays one response, if the entry knows a replica to send the request to.
fn relay(run: Run, address: &Address, outcome: &mut Outcome, rng: &mut ChaCha8Rng) {
    let sent_ms = rng.random_range(0..LENGTH_MS);
    let Some(span) = address.at(sent_ms) else {
        return;
    };
    let Occupant::Start(start) = &span.occupant else {
        return;
    };
    let read_ms = span.from_ms + rng.random_range(0..RECORD_DELAY_MS);
    let reported_ms = read_ms + rng.random_range(0..REPORT_DELAY_MS);
    if start.unlisted_ms.is_some_and(|it| it <= sent_ms) {
        return;
    }
    let is_known = read_ms <= sent_ms;
    let known_start = match is_known {
        true => Some(start),
        false => address.start_before(span.from_ms),
    };
    // A replica refuses requests to another id.
    let is_served = |it: &&Start| it.id == start.id && (is_known || it.unlisted_ms.is_none());
    let Some(known_start) = known_start.filter(is_served) else {
        return;
    };
    let born = match run.naming {
        Naming::LateTimes if is_known && sent_ms < reported_ms => None,
        Naming::Ids | Naming::LateTimes | Naming::Times => known_start.born,
    };
    let mut end_ms = sent_ms + between(rng, RESPONSE_MS);
    if sent_ms < start.stall.1 && start.stall.0 < end_ms {
        end_ms += start.stall.1 - start.stall.0.max(sent_ms);
    }
    let is_whole = end_ms <= span.to_ms;
    let mut closed_ms = end_ms.min(span.to_ms);
    if rng.random_bool(PAUSED) {
        closed_ms += rng.random_range(0..PAUSE_MS);
    }
    let is_unlisted = start.unlisted_ms.is_some_and(|it| it <= closed_ms);
    let asked = Asked {
        known: Identity {
            id: Some(&known_start.id),
            born,
        },
        // The connections to a replica that is not listed any more are closed.
        has_older: is_known && !is_unlisted && rng.random_bool(OLDER_CONNECTION),
        ends_ms: span.to_ms,
        stall: start.stall,
    };
    let taken_for_whole = match run.evidence {
        Evidence::Answer => address.confirms(asked, closed_ms, rng),
        Evidence::Close => {
            let occupant = address.at(closed_ms).map(|it| &it.occupant);
            is_unlisted || !matches!(occupant, Some(Occupant::Nobody))
        }
    };
    let until_ms = closed_ms + CONFIRM_MS;
    let stands_still = start.stall.0 <= until_ms && closed_ms < start.stall.1;
    let can_answer = until_ms < span.to_ms && !stands_still;
    match (is_whole, taken_for_whole) {
        (true, false) if !is_known => outcome.of_unknown_starts += 1,
        (true, false) if can_answer => outcome.whole_as_cut += 1,
        (true, false) => outcome.unanswered += 1,
        (false, true) => outcome.cut_as_whole += 1,
        (true, true) | (false, false) => {}
    }
    match is_whole {
        true => outcome.whole += 1,
        false => outcome.cut += 1,
    }
}
