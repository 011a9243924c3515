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

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{join, join_all};
use gradeloft_gateway::{entry::Handle, suspects};
use gradeloft_platform::fleet::Lookup;
use gradeloft_policy::process::{document::RouteKind, replicas::Listing};
use gradeloft_standin::{
    crashing_replica::{Behavior, CrashingReplica},
    scripted::Step,
    tables::StoreMode,
};
use gradeloft_wire::{frame::Table, id::Fingerprint};

use crate::support::{self, HEADERS, Harness, TestConfig, address, replica_id, run, wait_until};

/// Replicas crash when they start a request whose body contains this text.
const MARKER: &str = "ends replicas";
/// Highest number of marked requests that may reach replicas in all. The quarantine starts after
/// three crashes, and three entries may have requests in flight before they learn of it.
const MAX_MARKED_REQUESTS: usize = 6;

/// Time within which entries write the suspects that they learned from each other, if these are
/// missing in the store, in milliseconds.
const LEARNED_WRITES_MS: u64 = 4_500;

/// Entries in two regions with replicas that marked requests crash.
struct Fleet {
    harness: Harness,
    others: Vec<Handle>,
    replicas: Vec<Rc<CrashingReplica>>,
}

impl Fleet {
    /// Starts a fleet with one entry.
    async fn with_one_entry(replicas: u8) -> Fleet {
        Fleet::start(replicas, &[]).await
    }

    /// Starts entry 1 in the region `z` and `others` in their availability zones, each of which is
    /// a region.
    async fn start(replicas: u8, others: &[(u8, &str)]) -> Fleet {
        let harness =
            Harness::start_unready(TestConfig::of(RouteKind::Idempotent), Vec::new()).await;
        let mut other_entries = Vec::new();
        for (octet, zone) in others {
            other_entries.push(
                harness
                    .add_entry_in_zone(*octet, zone, &harness.tables)
                    .await,
            );
        }
        harness.tables.write(Table::Operator, "config", Some("1"));
        let mut crashing_replicas = Vec::new();
        for idx in 0..replicas {
            let behavior = Behavior {
                marker: MARKER.to_owned(),
                request_header: HEADERS.attempt_id.to_owned(),
                seal_header: HEADERS.seal.to_owned(),
                service_time: Duration::from_millis(20),
            };
            let at = SocketAddr::from((address(100 + idx), 8540));
            crashing_replicas.push(Rc::new(CrashingReplica::start(at, behavior).await.unwrap()));
        }
        let fleet = Fleet {
            harness,
            others: other_entries,
            replicas: crashing_replicas,
        };
        for idx in 0..fleet.replicas.len() {
            fleet.list(idx);
            fleet.keep_listed(idx);
        }
        for octet in [1].into_iter().chain(others.iter().map(|it| it.0)) {
            let ready = || async {
                let response = support::get(octet, 8002, "/ready").await;
                response.starts_with("HTTP/1.1 200")
            };
            wait_until(ready).await;
        }
        fleet.wait_until_listed().await;
        // Entries exchange suspects only after they have discovered each other.
        let has_all_peers = |handle: &Handle| {
            handle.entry().addresses(&Lookup::default()).len() == 1 + others.len()
        };
        wait_until(|| async { fleet.entries().all(has_all_peers) }).await;
        fleet
    }

    /// Returns all entries.
    fn entries(&self) -> impl Iterator<Item = &Handle> {
        [&self.harness.entry].into_iter().chain(&self.others)
    }

    /// Lists a replica in its current state.
    fn list(&self, idx: usize) {
        let replica = &self.replicas[idx];
        self.harness.list_replica(listing(idx, replica));
    }

    /// Starts a task that lists a replica again after each restart.
    fn keep_listed(&self, idx: usize) {
        let replica = Rc::clone(&self.replicas[idx]);
        let list_replica = self.harness.replica_lister();
        actix_rt::spawn(async move {
            let mut crashes = 0;
            loop {
                crashes = replica.wait_for_restart(crashes).await.crashes;
                list_replica(listing(idx, &replica));
            }
        });
    }

    /// Sends a request to an entry and returns the status code of the response.
    async fn send(&self, octet: u8, body: &str) -> String {
        let response = support::send(octet, &support::request("POST", body)).await;
        let status = response.split(' ').nth(1).unwrap_or("none");
        status.to_owned()
    }

    /// Returns the number of marked requests that have reached replicas.
    fn marked_requests(&self) -> usize {
        self.replicas.iter().map(|it| it.stats().marked).sum()
    }

    /// Returns the number of requests that have reached replicas.
    fn total_requests(&self) -> usize {
        self.replicas.iter().map(|it| it.stats().received).sum()
    }

    /// Crashes all replicas at once and waits until they have restarted.
    async fn crash_all(&self) {
        let crashes = self.replicas.iter().map(|it| it.stats().crashes);
        let crashes: Vec<usize> = crashes.collect();
        self.replicas.iter().for_each(|it| it.crash());
        for (replica, crashes) in self.replicas.iter().zip(crashes) {
            replica.wait_for_restart(crashes).await;
        }
        self.wait_until_listed().await;
    }

    /// Waits until every entry has the current start of each replica.
    async fn wait_until_listed(&self) {
        let start_time = |handle: &Handle, idx: usize| {
            let replicas = handle.entry().replicas.borrow();
            let key = replicas.key(&replica_id(idx))?;
            replicas.get(key)?.listing.born
        };
        let is_current = |handle: &Handle| {
            let mut all = self.replicas.iter().enumerate();
            all.all(|(idx, replica)| start_time(handle, idx) == Some(replica.stats().started_ms))
        };
        wait_until(|| async { self.entries().all(is_current) }).await;
    }

    /// Sends the marked request to the entries in turn, and returns how many requests reached
    /// replicas. A crashed replica stays down until the entry has detected the crash.
    async fn send_marked_by_turns(&self, entries: &[u8], times: usize) -> usize {
        for turn in 0..times {
            self.send_marked(entries[turn % entries.len()]).await;
            self.wait_until_listed().await;
        }
        self.marked_requests()
    }

    /// Sends the marked request to an entry, and waits until the entry has detected all crashes and
    /// the replicas run again.
    async fn send_marked(&self, octet: u8) {
        self.replicas.iter().for_each(|it| it.hold_restarts(true));
        self.send(octet, MARKER).await;
        let handle = self.entry(octet);
        wait_until(|| async { handle.entry().unsettled() == 0 }).await;
        self.replicas.iter().for_each(|it| it.hold_restarts(false));
        wait_until(|| async { self.replicas.iter().all(|it| it.is_running()) }).await;
    }

    /// Waits until no crash is undecided and all entries have the same suspects.
    async fn wait_until_agreed(&self) {
        let sorted_suspects = |handle: &Handle| {
            let mut suspects = handle.entry().suspects();
            suspects.sort_unstable();
            suspects
        };
        let first = &self.harness.entry;
        let settled = |it: &Handle| {
            it.entry().unsettled() == 0 && sorted_suspects(it) == sorted_suspects(first)
        };
        wait_until(|| async { self.entries().all(settled) }).await;
    }

    /// Returns the entry with the given last octet.
    fn entry(&self, octet: u8) -> &Handle {
        let has_address = |it: &&Handle| it.entry().node.settings().address == address(octet);
        self.entries().find(has_address).unwrap()
    }
}

fn listing(idx: usize, replica: &CrashingReplica) -> Listing {
    Listing {
        id: replica_id(idx).into(),
        born: Some(replica.stats().started_ms),
        service: "s".into(),
        address: replica.address,
        zone: "z".to_owned(),
        slots: 8,
        draining: false,
        has_model: false,
        version: None,
        warmup_left_ms: 0,
    }
}

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
            rows.iter().any(|it| (it.request, it.crashes()) == suspect)
        };
        wait_until(is_stored).await;
        let row = suspects::list(store).await.unwrap().remove(0);
        assert_eq!(fleet.send(2, MARKER).await, "503");
        assert_eq!(suspects::lift(store, row.request).await, Ok(true));
        let crash_counts = |handle: &Handle| -> Vec<usize> {
            let suspects = handle.entry().suspects().into_iter();
            suspects
                .filter(|it| it.0 == row.request)
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
        let unknown = Fingerprint::of(None, ["h", "GET", "/"], b"");
        assert_eq!(suspects::lift(store, unknown).await, Ok(false));
    });
}
