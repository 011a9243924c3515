//! Tests of calls that run at most once.

use gradeloft_policy::{
    clock::Time,
    request::at_most_once::{self, ClaimTable, Step},
};
use gradeloft_wire::{error::Kind, id::Digest, record::Claim};
use proptest::prelude::*;

const EXPIRY_MS: u64 = 1_000;

fn key() -> Digest {
    at_most_once::key("booking", "duty", "k1")
}

fn table() -> ClaimTable<&'static str> {
    ClaimTable::new(EXPIRY_MS)
}

fn claimed(step: Step<&'static str>) -> Claim {
    match step {
        Step::Claim(claim) => claim,
        other => panic!("no claim: {other:?}"),
    }
}

#[test]
fn the_first_call_runs_and_the_second_gets_its_outcome() {
    let mut table = table();
    let claim = claimed(table.arrive(key(), 1, Time::ZERO));
    assert_eq!(
        table.arrive(key(), 2, Time::ZERO),
        Step::Refuse(Kind::Duplicate)
    );
    table.fold(0, &[claim]);
    assert_eq!(table.settle(key(), Time::ZERO), Step::Run);
    assert_eq!(
        table.settle(key(), Time::ZERO),
        Step::Refuse(Kind::Duplicate)
    );
    assert_eq!(
        table.arrive(key(), 3, Time::ZERO),
        Step::Refuse(Kind::Duplicate)
    );
    table.complete(key(), "booked");
    assert_eq!(table.arrive(key(), 4, Time::ZERO), Step::Replay("booked"));
}

#[test]
fn the_first_claim_by_offset_wins_over_another_agent() {
    let mut table = table();
    let own = claimed(table.arrive(key(), 1, Time::ZERO));
    table.fold(
        0,
        &[Claim {
            key: key(),
            attempt: 99,
        }],
    );
    table.fold(1, &[own]);
    assert_eq!(
        table.settle(key(), Time::ZERO),
        Step::Refuse(Kind::Duplicate)
    );
}

#[test]
fn a_restarted_agent_does_not_run_its_earlier_claims() {
    let mut before = table();
    let claim = claimed(before.arrive(key(), 1, Time::ZERO));
    let mut restarted = table();
    restarted.fold(0, &[claim]);
    assert_eq!(
        restarted.arrive(key(), 2, Time::ZERO),
        Step::Refuse(Kind::Duplicate)
    );
}

#[test]
fn an_abandoned_claim_is_reused_by_its_own_agent() {
    let mut table = table();
    let claim = claimed(table.arrive(key(), 1, Time::ZERO));
    table.abandon(key());
    let again = claimed(table.arrive(key(), 2, Time::ZERO));
    assert_eq!(again, claim);
    table.fold(0, &[claim]);
    assert_eq!(table.settle(key(), Time::ZERO), Step::Run);
}

#[test]
fn a_call_paused_past_its_claim_expiry_does_not_run() {
    let mut table = table();
    let claim = claimed(table.arrive(key(), 1, Time::ZERO));
    table.fold(0, &[claim]);
    let late = Time::ZERO.after_ms(EXPIRY_MS + 1);
    assert_eq!(
        table.settle(key(), late),
        Step::Refuse(Kind::LogUnavailable)
    );
}

#[test]
fn a_claim_missing_from_the_log_does_not_run() {
    let mut table = table();
    claimed(table.arrive(key(), 1, Time::ZERO));
    assert_eq!(
        table.settle(key(), Time::ZERO),
        Step::Refuse(Kind::LogUnavailable)
    );
}

#[test]
fn repeated_records_and_old_offsets_have_no_effect() {
    let mut table = table();
    let claim = claimed(table.arrive(key(), 1, Time::ZERO));
    table.fold(3, &[claim]);
    table.fold(
        2,
        &[Claim {
            key: key(),
            attempt: 99,
        }],
    );
    assert_eq!(table.settle(key(), Time::ZERO), Step::Run);
}

#[test]
fn keys_differ_between_teams_and_services() {
    let keys = [
        at_most_once::key("booking", "duty", "k1"),
        at_most_once::key("booking", "guides", "k1"),
        at_most_once::key("portal", "duty", "k1"),
        at_most_once::key("bookingd", "uty", "k1"),
    ];
    for (idx, key) in keys.iter().enumerate() {
        assert!(keys[idx + 1..].iter().all(|it| it != key));
    }
}

/// One event at one of several agents of a service.
#[derive(Clone, Copy, Debug)]
enum Event {
    Abandon,
    Append,
    Arrive,
    Done,
    Read,
    Restart,
    Settle,
    Unrun,
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    use Event::*;
    prop::sample::select(vec![
        Abandon, Append, Arrive, Done, Read, Restart, Settle, Unrun, Wait,
    ])
}

/// An agent: its table, its claim that is not yet appended, and whether its call runs.
struct Agent {
    table: ClaimTable<&'static str>,
    claim: Option<Claim>,
    started: bool,
}

impl Agent {
    fn new() -> Agent {
        Agent {
            table: table(),
            claim: None,
            started: false,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Three agents receive calls with one key in any order, lose replies, pause, restart, give up,
    /// and read the log late. The call reaches the service at most once, and an attempt that was
    /// reported as not run never ran.
    ///
    /// The test fails if `settle` runs a claim in the log that is not the first, or if `abandon`
    /// gives up a call that has started.
    #[test]
    fn a_keyed_call_runs_at_most_once(
        events in prop::collection::vec((0usize..3, event()), 0..120),
    ) {
        let mut agents = [Agent::new(), Agent::new(), Agent::new()];
        let mut log: Vec<Claim> = Vec::new();
        let mut now = Time::ZERO;
        let mut attempt = 0;
        let mut runs = 0;
        for (idx, event) in events {
            let agent = &mut agents[idx];
            match event {
                Event::Abandon => agent.table.abandon(key()),
                Event::Append => log.extend(agent.claim.take()),
                Event::Arrive => {
                    attempt += 1;
                    if let Step::Claim(claim) = agent.table.arrive(key(), attempt, now) {
                        agent.claim = Some(claim);
                    }
                }
                Event::Done => {
                    if agent.started {
                        agent.table.complete(key(), "booked");
                        agent.started = false;
                    }
                }
                Event::Read => {
                    for (offset, claim) in log.iter().enumerate() {
                        agent.table.fold(offset as u64, std::slice::from_ref(claim));
                    }
                }
                Event::Restart => *agent = Agent::new(),
                Event::Settle => {
                    if agent.table.settle(key(), now) == Step::Run {
                        runs += 1;
                        agent.started = true;
                    }
                }
                Event::Unrun => {
                    // The endpoint could not be reached, so the call did not run.
                    if agent.started {
                        agent.table.mark_not_run(key());
                        agent.started = false;
                        runs -= 1;
                    }
                }
                Event::Wait => now = now.after_ms(EXPIRY_MS / 2),
            }
            prop_assert!(runs <= 1);
        }
    }
}
