//! Entries before replicas that marked requests crash.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_gateway::entry::Handle;
use gradeloft_platform::fleet::Lookup;
use gradeloft_policy::process::{document::RouteKind, replicas::Listing};
use gradeloft_standin::crashing_replica::{Behavior, Crash, CrashingReplica};
use gradeloft_wire::frame::Table;

use super::{HEADERS, Harness, TestConfig, address, get, replica_id, request, send, wait_until};

/// Replicas crash when they start a request whose body contains this text.
pub(crate) const MARKER: &str = "ends replicas";

/// How a fleet is set up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options<'a> {
    /// Number of replicas.
    pub(crate) replicas: u8,
    /// Entries beside entry 1, which is in the region `z`, and their availability zones, each of which
    /// is a region.
    pub(crate) others: &'a [(u8, &'a str)],
    /// Replicas crash when they start a request that contains this text.
    pub(crate) marker: &'a str,
    /// What the caller of a request that crashes its replica sees of the crash.
    pub(crate) crash: Crash,
}

impl Default for Options<'_> {
    fn default() -> Self {
        Options {
            replicas: 6,
            others: &[],
            marker: MARKER,
            crash: Crash::Reset,
        }
    }
}

/// Entries in two regions with replicas that marked requests crash.
pub(crate) struct Fleet {
    pub(crate) harness: Harness,
    pub(crate) others: Vec<Handle>,
    pub(crate) replicas: Vec<Rc<CrashingReplica>>,
}

impl Fleet {
    /// Starts a fleet with one entry.
    pub(crate) async fn with_one_entry(replicas: u8) -> Fleet {
        Fleet::start(replicas, &[]).await
    }

    /// Starts a fleet whose marked requests reset their connections when they crash a replica.
    pub(crate) async fn start(replicas: u8, others: &[(u8, &str)]) -> Fleet {
        Fleet::with_options(Options {
            replicas,
            others,
            ..Options::default()
        })
        .await
    }

    /// Starts a fleet.
    pub(crate) async fn with_options(options: Options<'_>) -> Fleet {
        let Options {
            replicas, others, ..
        } = options;
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
                marker: options.marker.to_owned(),
                crash: options.crash,
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
                let response = get(octet, 8002, "/ready").await;
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
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Handle> {
        [&self.harness.entry].into_iter().chain(&self.others)
    }

    /// Lists a replica in its current state.
    pub(crate) fn list(&self, idx: usize) {
        let replica = &self.replicas[idx];
        self.harness.list_replica(listing(idx, replica));
    }

    /// Starts a task that lists a replica again after each restart.
    pub(crate) fn keep_listed(&self, idx: usize) {
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
    pub(crate) async fn send(&self, octet: u8, body: &str) -> String {
        let response = send(octet, &request("POST", body)).await;
        let status = response.split(' ').nth(1).unwrap_or("none");
        status.to_owned()
    }

    /// Returns the number of marked requests that have reached replicas.
    pub(crate) fn marked_requests(&self) -> usize {
        self.replicas.iter().map(|it| it.stats().marked).sum()
    }

    /// Returns the number of requests that have reached replicas.
    pub(crate) fn total_requests(&self) -> usize {
        self.replicas.iter().map(|it| it.stats().received).sum()
    }

    /// Crashes all replicas at once and waits until they have restarted.
    pub(crate) async fn crash_all(&self) {
        let crashes = self.replicas.iter().map(|it| it.stats().crashes);
        let crashes: Vec<usize> = crashes.collect();
        self.replicas.iter().for_each(|it| it.crash());
        for (replica, crashes) in self.replicas.iter().zip(crashes) {
            replica.wait_for_restart(crashes).await;
        }
        self.wait_until_listed().await;
    }

    /// Waits until every entry has the current start of each replica.
    pub(crate) async fn wait_until_listed(&self) {
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
    pub(crate) async fn send_marked_by_turns(&self, entries: &[u8], times: usize) -> usize {
        for turn in 0..times {
            self.send_marked(entries[turn % entries.len()]).await;
            self.wait_until_listed().await;
        }
        self.marked_requests()
    }

    /// Sends the marked request to an entry, and waits until the entry has detected all crashes and
    /// the replicas run again.
    pub(crate) async fn send_marked(&self, octet: u8) {
        self.replicas.iter().for_each(|it| it.hold_restarts(true));
        self.send(octet, MARKER).await;
        let handle = self.entry(octet);
        wait_until(|| async { handle.entry().unsettled() == 0 }).await;
        self.replicas.iter().for_each(|it| it.hold_restarts(false));
        wait_until(|| async { self.replicas.iter().all(|it| it.is_running()) }).await;
    }

    /// Waits until no crash is undecided and all entries have the same suspects.
    pub(crate) async fn wait_until_agreed(&self) {
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
    pub(crate) fn entry(&self, octet: u8) -> &Handle {
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
