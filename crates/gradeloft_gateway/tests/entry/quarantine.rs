//! Quarantine of requests that crash replicas.
//!
//! Guards against one request that crashes forty replicas of a model within half a minute, each
//! with all its running requests, so that a third of the callers are refused for seconds. A replica
//! crashes a tenth of a second after it starts the request; the entry retries at another replica,
//! which crashes too; the caller gets a 502 and retries at another entry, which has no record of
//! the request. Cause: an entry discarded its observations of a request with the attempt, and
//! attributed the failure only to the replica.
//!
//! Evidence: the same path, team and body preceded each crash, and the entries logged these
//! requests with `failures=lost,lost` at different replicas each time.

use futures_util::future::{join, join_all};
use gradeloft_gateway::{entry::Handle, suspects};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::{scripted::Step, tables::StoreMode};
use gradeloft_wire::{id::Fingerprint, quarantine::Subject};

use crate::support::{
    self, Harness, TestConfig,
    crashing_fleet::{Fleet, MARKER},
    run, wait_until,
};

/// Highest number of marked requests that may reach replicas in all. The quarantine starts after
/// three crashes, and three entries may have requests in flight before they learn of it.
const MAX_MARKED_REQUESTS: usize = 6;

/// Time within which entries write the suspects that they learned from each other, if these are
/// missing in the store, in milliseconds.
const LEARNED_WRITES_MS: u64 = 4_500;

#[test]
fn a_request_is_quarantined_after_three_crashes_while_others_are_served() {
    run(async {
        let fleet = Fleet::with_one_entry(6).await;
        for turn in 0..12 {
            fleet.send_marked(1).await;
            fleet.wait_until_listed().await;
            let status = fleet.send(1, &format!("innocent {turn}")).await;
            assert_eq!(status, "200");
        }
        assert!(
            fleet.marked_requests() <= MAX_MARKED_REQUESTS,
            "{}",
            fleet.marked_requests()
        );
    });
}

#[test]
fn a_quarantine_applies_at_the_entries_of_all_regions() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z"), (3, "far"), (4, "far")]).await;
        let marked_requests = fleet.send_marked_by_turns(&[1, 3, 2, 4], 24).await;
        assert!(marked_requests <= MAX_MARKED_REQUESTS, "{marked_requests}");
        for octet in 1..=4 {
            assert_eq!(fleet.send(octet, "innocent").await, "200");
        }
    });
}

#[test]
fn a_quarantine_survives_a_restart_of_all_entries() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "far")]).await;
        fleet.send_marked_by_turns(&[1, 2], 4).await;
        wait_until(|| async { fleet.harness.has_request_record() }).await;
        let Fleet {
            harness, replicas, ..
        } = fleet;
        let harness = harness.restart_entry().await;
        let fleet = Fleet {
            harness,
            others: Vec::new(),
            replicas,
        };
        let marked_requests = fleet.send_marked_by_turns(&[1], 8).await;
        assert!(marked_requests <= MAX_MARKED_REQUESTS, "{marked_requests}");
        assert_eq!(fleet.send(1, "innocent").await, "200");
    });
}

#[test]
fn a_quarantine_spreads_during_a_store_outage_and_is_stored_afterwards() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z"), (3, "far")]).await;
        fleet.harness.tables.mode.set(StoreMode::Refusing);
        fleet.harness.tables.abort_reads();
        // The tables don't change, so entries detect crashes from connections. A restarted replica
        // still counts as its listed start, so its second crash adds no evidence.
        let crash_counts = |handle: &Handle| {
            let suspects = handle.entry().suspects().into_iter();
            suspects.map(|it| it.1).max().unwrap_or(0)
        };
        for turn in 0.. {
            let octet = [1, 3, 2][turn % 3];
            fleet.send_marked(octet).await;
            if 3 <= crash_counts(fleet.entry(octet)) {
                break;
            }
        }
        wait_until(|| async { fleet.entries().all(|it| 3 <= crash_counts(it)) }).await;
        let crashed_replicas = fleet.replicas.iter().filter(|it| 0 < it.stats().crashes);
        assert!(
            crashed_replicas.count() <= MAX_MARKED_REQUESTS,
            "at most two crashed replicas for each entry"
        );
        let marked_requests = fleet.marked_requests();
        for octet in [1, 2, 3] {
            assert_eq!(fleet.send(octet, MARKER).await, "503");
        }
        assert_eq!(fleet.marked_requests(), marked_requests);
        fleet.harness.tables.mode.set(StoreMode::Healthy);
        wait_until(|| async { fleet.harness.has_request_record() }).await;
        fleet.wait_until_listed().await;
        assert_eq!(fleet.send(2, "innocent").await, "200");
    });
}

#[test]
fn a_quarantine_that_a_restore_of_the_store_lost_is_stored_again() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z")]).await;
        let Harness { tables, .. } = &fleet.harness;
        tables.back_up();
        fleet.send_marked_by_turns(&[1, 2], 4).await;
        wait_until(|| async { fleet.harness.has_request_record() }).await;
        // Until no entry is about to write what it learned from the other one.
        let clock = &fleet.harness.entry.entry().node.clock;
        let settled = clock.now().after_ms(LEARNED_WRITES_MS);
        wait_until(|| async { settled < clock.now() }).await;
        tables.restore_backup();
        tables.abort_reads();
        assert!(!fleet.harness.has_request_record());
        wait_until(|| async { fleet.harness.has_request_record() }).await;
    });
}

/// All replicas crash at once, twice, with harmless requests on each; the callers repeat the same
/// requests.
#[test]
fn a_mass_failure_quarantines_no_request() {
    run(async {
        let fleet = Fleet::start(4, &[(2, "far")]).await;
        let bodies: Vec<String> = (0..16).map(|it| format!("innocent {it}")).collect();
        for failure in 0..2 {
            let requests = bodies.iter().zip([1, 2].into_iter().cycle());
            let requests = requests.map(|(body, octet)| fleet.send(octet, body));
            let before = fleet.total_requests();
            let crashes = async {
                wait_until(|| async { before + 8 <= fleet.total_requests() }).await;
                fleet.crash_all().await;
            };
            join(join_all(requests), crashes).await;
            fleet.wait_until_agreed().await;
            assert!(
                !fleet.harness.entry.entry().suspects().is_empty(),
                "{failure}"
            );
        }
        for (body, octet) in bodies.iter().zip([2, 1].into_iter().cycle()) {
            assert_eq!(fleet.send(octet, body).await, "200", "{body}");
        }
        // Their responses have cleared the suspicion.
        let entry = fleet.harness.entry.entry();
        let is_cleared = || entry.suspects().iter().all(|it| it.1 == 0);
        wait_until(|| async { is_cleared() }).await;
    });
}

/// Connections break while the replica keeps running: no replica has crashed.
#[test]
fn broken_connections_make_no_request_suspect() {
    run(async {
        let resets = || vec![Step::Read, Step::Reset];
        let closes = || vec![Step::Read, Step::Close];
        let replica = || vec![resets(), closes(), resets(), closes(), resets(), closes()];
        let scripts = vec![replica(), replica(), replica()];
        let harness = Harness::start(TestConfig::of(RouteKind::Idempotent), scripts).await;
        let entry = harness.entry.entry();
        wait_until(|| async { entry.replicas.borrow().len() == 3 }).await;
        for _ in 0..6 {
            let response = harness.send(&support::request("POST", "innocent")).await;
            assert!(!response.contains("quarantined"), "{response}");
        }
        assert!(3 < harness.request_count(), "{}", harness.request_count());
        assert_eq!(entry.suspects(), Vec::new());
    });
}

/// A request is in flight at replicas that crash for other reasons; then a replica answers it.
#[test]
fn a_response_clears_a_suspect_request_at_all_entries() {
    run(async {
        let fleet = Fleet::start(4, &[(2, "z"), (3, "far")]).await;
        for _ in 0..2 {
            let before = fleet.total_requests();
            let crashes = async {
                wait_until(|| async { before < fleet.total_requests() }).await;
                fleet.crash_all().await;
            };
            join(fleet.send(1, "innocent"), crashes).await;
        }
        let crash_counts = |handle: &Handle| -> Vec<usize> {
            handle
                .entry()
                .suspects()
                .into_iter()
                .map(|it| it.1)
                .collect()
        };
        wait_until(|| async { fleet.entries().all(|it| crash_counts(it) == [2]) }).await;
        assert_eq!(fleet.send(3, "innocent").await, "200");
        wait_until(|| async { fleet.entries().all(|it| crash_counts(it) == [0]) }).await;
    });
}

/// An entry starts during a store outage and gets its state only from peers.
#[test]
fn an_entry_that_starts_during_a_store_outage_gets_suspects_from_peers() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z")]).await;
        fleet.harness.tables.mode.set(StoreMode::Refusing);
        fleet.harness.tables.abort_reads();
        for turn in 0..6 {
            fleet.send_marked([1, 2][turn % 2]).await;
        }
        let before = fleet.marked_requests();
        let newcomer = fleet
            .harness
            .add_entry_in_zone(3, "far", &fleet.harness.tables)
            .await;
        wait_until(|| async { !newcomer.entry().suspects().is_empty() }).await;
        let ready = || async {
            support::get(3, 8002, "/ready")
                .await
                .starts_with("HTTP/1.1 200")
        };
        wait_until(ready).await;
        assert_eq!(fleet.send(3, MARKER).await, "503");
        assert_eq!(fleet.marked_requests(), before);
    });
}

/// A suspect request is listed in the store, and an operator can lift its quarantine at all
/// entries.
#[test]
fn an_operator_lists_and_lifts_a_quarantine() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "far")]).await;
        fleet.send_marked_by_turns(&[1, 2], 6).await;
        let store = &*fleet.harness.tables;
        let suspect = fleet.harness.entry.entry().suspects()[0];
        assert!(3 <= suspect.1, "{suspect:?}");
        let is_stored = || async {
            let rows = suspects::list(store).await.unwrap();
            rows.iter().any(|it| (it.subject, it.crashes()) == suspect)
        };
        wait_until(is_stored).await;
        let row = suspects::list(store).await.unwrap().remove(0);
        assert_eq!(fleet.send(2, MARKER).await, "503");
        assert_eq!(suspects::lift(store, row.subject).await, Ok(true));
        let crash_counts = |handle: &Handle| -> Vec<usize> {
            let suspects = handle.entry().suspects().into_iter();
            suspects
                .filter(|it| it.0 == row.subject)
                .map(|it| it.1)
                .collect()
        };
        wait_until(|| async { fleet.entries().all(|it| crash_counts(it) == [0]) }).await;
        let before = fleet.marked_requests();
        fleet.send(2, MARKER).await;
        assert!(
            before < fleet.marked_requests(),
            "the request must reach replicas again"
        );
        let unknown = Subject::Request(Fingerprint::of(None, ["h", "GET", "/"], b""));
        assert_eq!(suspects::lift(store, unknown).await, Ok(false));
    });
}

/// A restarted entry knows no peer, but its peers know it and send their status first.
#[test]
fn an_entry_that_restarts_during_a_store_outage_gets_suspects_from_peers() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z")]).await;
        fleet.harness.tables.mode.set(StoreMode::Refusing);
        fleet.harness.tables.abort_reads();
        for turn in 0..6 {
            fleet.send_marked([1, 2][turn % 2]).await;
        }
        fleet.wait_until_agreed().await;
        let Fleet {
            harness,
            others,
            replicas,
        } = fleet;
        let harness = harness.restart_entry().await;
        let fleet = Fleet {
            harness,
            others,
            replicas,
        };
        let restarted = fleet.harness.entry.entry();
        wait_until(|| async { !restarted.suspects().is_empty() }).await;
        let before = fleet.marked_requests();
        wait_until(|| async {
            support::get(1, 8002, "/ready")
                .await
                .starts_with("HTTP/1.1 200")
        })
        .await;
        assert_eq!(fleet.send(1, MARKER).await, "503");
        assert_eq!(fleet.marked_requests(), before);
    });
}
