//! Tests of agents that are paused between the verification of the staged chunks and the load.

use std::{cell::RefCell, rc::Rc, time::Duration};

use gradeloft_wire::datagram::{Sender, StoreAccess};
use rstest::rstest;

use crate::{
    fake_entry,
    support::{CHUNKS, Harness, Pause, PausePoint, run},
};

/// Guards against a load that is ordered long after the chunks were read back: a chunk that became
/// corrupt in the meantime would be loaded.
#[rstest]
#[case::after_the_first_chunk(0)]
#[case::between_two_chunks(CHUNKS / 2)]
#[case::after_the_last_chunk(CHUNKS - 1)]
fn chunk_that_becomes_corrupt_during_a_pause_before_the_order_is_not_loaded(#[case] position: u32) {
    run(async {
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let engine = &harness.engines[0];
        engine.pause.set(Some(Pause {
            after: PausePoint::ChunkRead(position),
            corrupt: Some(position),
            restarts: false,
            ms: 4_000,
        }));
        harness.name_version(2);
        harness.wait_for_version(2).await;
        assert!(engine.pause.get().is_none(), "the agent was not paused");
    });
}

/// Number of reports on a version that include one after the end of its deployment: an agent
/// reports the loaded version, the end of the deployment, and then once a second.
const REPORTS_OF_DEPLOYMENT: usize = 3;

/// Returns the agent's reports on a version; each tells whether the replica gets requests.
fn reports_on(reports: &RefCell<Vec<Sender>>, version: u64) -> Vec<bool> {
    let reports = reports.borrow();
    let engines = reports.iter().filter_map(|it| match it {
        Sender::Agent { engine, .. } => *engine,
        _ => None,
    });
    let of_version = engines.filter(|it| it.version == Some(version));
    of_version.map(|it| !it.loading).collect()
}

/// Waits until the agent has reported that its replica gets requests with a version.
async fn wait_until_open(reports: &RefCell<Vec<Sender>>, version: u64) {
    while !reports_on(reports, version).contains(&true) {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts an agent whose replica serves version 1, and an entry that collects its reports.
async fn start() -> (Harness, Rc<RefCell<Vec<Sender>>>) {
    let harness = Harness::start(1, |_, engines| engines[0].born.set(Some(1_000))).await;
    let reports = Rc::new(RefCell::new(Vec::new()));
    // The entry has no access to the store, so the agent reads the store itself.
    fake_entry(9, 1, StoreAccess::Unserved, Rc::clone(&reports)).await;
    harness.wait_for_version(1).await;
    wait_until_open(&reports, 1).await;
    (harness, reports)
}

/// Deploys version 3 to a replica that has loaded version 2 with a corrupt chunk, and checks that
/// the replica gets requests with version 3 only.
async fn replace_corrupt_load(harness: &Harness, reports: &RefCell<Vec<Sender>>) {
    while reports_on(reports, 2).len() < REPORTS_OF_DEPLOYMENT {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(harness.engines[0].loaded_corrupt.get());
    harness.name_version(3);
    wait_until_open(reports, 3).await;
    assert!(!reports_on(reports, 2).contains(&true));
}

/// Guards against requests to a replica that accepted an order so late that a chunk had become
/// corrupt: no check before the order can exclude a pause after it.
#[test]
fn replica_that_accepted_an_order_late_is_not_opened_with_a_corrupt_chunk() {
    run(async {
        let (harness, reports) = start().await;
        harness.engines[0].pause.set(Some(Pause {
            after: PausePoint::OrderDecided,
            corrupt: Some(5),
            restarts: false,
            ms: 4_000,
        }));
        harness.name_version(2);
        replace_corrupt_load(&harness, &reports).await;
    });
}

/// Guards against a replica that stays closed although its chunks are intact after the load.
#[test]
fn replica_that_accepted_an_order_late_is_opened_if_its_chunks_are_intact() {
    run(async {
        let (harness, reports) = start().await;
        harness.engines[0].pause.set(Some(Pause {
            after: PausePoint::OrderDecided,
            corrupt: None,
            restarts: false,
            ms: 4_000,
        }));
        harness.name_version(2);
        wait_until_open(&reports, 2).await;
        assert!(!harness.engines[0].loaded_corrupt.get());
    });
}

/// Guards against requests to a replica that stopped responding when it got an order, and accepted
/// it when it responded again, after a chunk had become corrupt.
#[test]
fn replica_that_accepted_an_order_without_a_response_is_not_opened_with_a_corrupt_chunk() {
    run(async {
        let (harness, reports) = start().await;
        let engine = &harness.engines[0];
        engine.unresponsive_to_order.set(true);
        harness.name_version(2);
        harness.wait_for_all(|it| it.unresponsive.get()).await;
        engine.corrupt(5);
        engine.pass_time(4_000);
        engine.resume();
        replace_corrupt_load(&harness, &reports).await;
    });
}

/// Guards against a load that is ordered for chunks which the replica lost when it restarted after
/// their verification, and against requests to a replica that accepted such an order.
#[rstest]
#[case::before_the_order(PausePoint::ChunkRead(CHUNKS - 1), false)]
#[case::after_the_last_check(PausePoint::OrderDecided, true)]
fn replica_that_restarts_after_its_verification_is_not_opened_without_chunks(
    #[case] after: PausePoint,
    #[case] loaded: bool,
) {
    run(async {
        let (harness, reports) = start().await;
        let engine = &harness.engines[0];
        engine.pause.set(Some(Pause {
            after,
            corrupt: None,
            restarts: true,
            ms: 0,
        }));
        harness.name_version(2);
        if loaded {
            replace_corrupt_load(&harness, &reports).await;
        } else {
            wait_until_open(&reports, 2).await;
            assert!(!engine.loaded_corrupt.get());
        }
    });
}

/// Number of failed requests for the state of a replica during which an agent would order a load
/// without a known start of the replica.
const FAILED_STATE_REQUESTS: u32 = 6;

/// Guards against a verification for an unknown start of the replica, which no restart invalidates.
#[test]
fn chunks_are_not_verified_while_the_state_of_the_replica_is_unknown() {
    run(async {
        let (harness, reports) = start().await;
        let engine = &harness.engines[0];
        engine.refused_chunk.set(Some(CHUNKS - 1));
        harness.name_version(2);
        harness.wait_for_all(|it| 0 < it.refusals.get()).await;
        engine.state_fails.set(true);
        while harness.agents[0].agent().state().is_some() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        engine.pause.set(Some(Pause {
            after: PausePoint::ChunkRead(CHUNKS - 1),
            corrupt: None,
            restarts: true,
            ms: 0,
        }));
        engine.refused_chunk.set(None);
        let until = engine.state_requests.get() + FAILED_STATE_REQUESTS;
        harness
            .wait_for_all(|it| until <= it.state_requests.get())
            .await;
        engine.state_fails.set(false);
        wait_until_open(&reports, 2).await;
        assert!(!engine.loaded_corrupt.get());
    });
}
