//! Requests that end each replica which begins them.
//!
//! What users saw: within half a minute forty replicas of one model ended, each with all that it worked on, and
//! for seconds a third of the callers were sent away. The order of events: a replica begins a certain request
//! and ends a tenth of a second later; the entry sends the request to another replica, which ends too; the caller
//! gets a 502 and asks again, at another entry, which knows nothing of it. The cause: what an entry learned of a
//! request went with the attempt, and only the replica was blamed. The evidence: one path, team and body behind
//! each end, and the entries' lines of these requests, `failures=lost,lost` at ever other replicas.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{join, join_all};
use gradeloft_gateway::{entry::Handle, suspects};
use gradeloft_platform::fleet::Lookup;
use gradeloft_policy::process::{document::RouteKind, replicas::Listing};
use gradeloft_standin::{
    fragile::{Fragile, Nature},
    scripted::Step,
    tables::Mood,
};
use gradeloft_wire::{frame::Table, id::Fingerprint};

use crate::support::{self, HEADERS, Harness, TestConfig, address, replica_id, run, wait_until};

/// Replicas end when they begin a request with this in its body.
const MARKED: &str = "ends replicas";
/// Most marked requests that may reach replicas in all, once three of them have ended: what three entries have
/// under way before they hear of it.
const MOST: usize = 6;

/// Entries in two regions before replicas that some requests end.
struct Fleet {
    harness: Harness,
    others: Vec<Handle>,
    replicas: Vec<Rc<Fragile>>,
}

impl Fleet {
    /// One entry.
    async fn alone(replicas: u8) -> Fleet {
        Fleet::start(replicas, &[]).await
    }

    /// Entry 1 in the region `z`, and others in their zones, each of which is a region.
    async fn start(replicas: u8, others: &[(u8, &str)]) -> Fleet {
        let harness =
            Harness::start_unready(TestConfig::of(RouteKind::Idempotent), Vec::new()).await;
        let mut started = Vec::new();
        for (octet, zone) in others {
            started.push(
                harness
                    .add_entry_in_zone(*octet, zone, &harness.tables)
                    .await,
            );
        }
        harness.tables.write(Table::Operator, "config", Some("1"));
        let mut fragile = Vec::new();
        for idx in 0..replicas {
            let nature = Nature {
                marker: MARKED.to_owned(),
                request_header: HEADERS.attempt_id.to_owned(),
                seal_header: HEADERS.seal.to_owned(),
                work: Duration::from_millis(20),
            };
            let at = SocketAddr::from((address(100 + idx), 8540));
            fragile.push(Rc::new(Fragile::start(at, nature).await.unwrap()));
        }
        let fleet = Fleet {
            harness,
            others: started,
            replicas: fragile,
        };
        for idx in 0..fleet.replicas.len() {
            fleet.list(idx);
            fleet.relist(idx);
        }
        for octet in [1].into_iter().chain(others.iter().map(|it| it.0)) {
            let ready = || async {
                let response = support::get(octet, 8002, "/ready").await;
                response.starts_with("HTTP/1.1 200")
            };
            wait_until(ready).await;
        }
        fleet.whole().await;
        // Entries that have not met yet can't tell each other anything.
        let met = |handle: &Handle| {
            handle.entry().addresses(&Lookup::default()).len() == 1 + others.len()
        };
        wait_until(|| async { fleet.entries().all(met) }).await;
        fleet
    }

    /// All entries.
    fn entries(&self) -> impl Iterator<Item = &Handle> {
        [&self.harness.entry].into_iter().chain(&self.others)
    }

    /// Lists a replica as it is now.
    fn list(&self, idx: usize) {
        let replica = &self.replicas[idx];
        self.harness.list_replica(listing(idx, replica));
    }

    /// Lists a replica anew each time it has started again.
    fn relist(&self, idx: usize) {
        let replica = Rc::clone(&self.replicas[idx]);
        let lists = self.harness.replica_lister();
        actix_rt::spawn(async move {
            let mut ends = 0;
            loop {
                ends = replica.restarted(ends).await.ends;
                lists(listing(idx, &replica));
            }
        });
    }

    /// Asks an entry, and gives the status of its answer.
    async fn send(&self, octet: u8, body: &str) -> String {
        let response = support::send(octet, &support::request("POST", body)).await;
        let status = response.split(' ').nth(1).unwrap_or("none");
        status.to_owned()
    }

    /// Marked requests that reached replicas.
    fn marked(&self) -> usize {
        self.replicas.iter().map(|it| it.seen().marked).sum()
    }

    /// Requests that reached replicas.
    fn arrived(&self) -> usize {
        self.replicas.iter().map(|it| it.seen().arrived).sum()
    }

    /// Ends all replicas at once, and waits until they have started again.
    async fn end_all(&self) {
        let ends = self.replicas.iter().map(|it| it.seen().ends);
        let ends: Vec<usize> = ends.collect();
        self.replicas.iter().for_each(|it| it.end());
        for (replica, ends) in self.replicas.iter().zip(ends) {
            replica.restarted(ends).await;
        }
        self.whole().await;
    }

    /// Waits until all replicas run and every entry knows it.
    async fn whole(&self) {
        let born = |handle: &Handle, idx: usize| {
            let replicas = handle.entry().replicas.borrow();
            let key = replicas.key(&replica_id(idx))?;
            replicas.get(key)?.listing.born
        };
        let knows = |handle: &Handle| {
            let mut all = self.replicas.iter().enumerate();
            all.all(|(idx, replica)| born(handle, idx) == Some(replica.seen().born))
        };
        wait_until(|| async { self.entries().all(knows) }).await;
    }

    /// Sends the marked request to entries by turns; gives how many reached replicas. Each replica that ends stays
    /// away until the entry has found out.
    async fn ask_marked(&self, entries: &[u8], times: usize) -> usize {
        for turn in 0..times {
            self.ask_once(entries[turn % entries.len()]).await;
            self.whole().await;
        }
        self.marked()
    }

    /// Sends the marked request to an entry, and waits until it has found out what ended, and all runs again.
    async fn ask_once(&self, octet: u8) {
        self.replicas.iter().for_each(|it| it.stays_away(true));
        self.send(octet, MARKED).await;
        let asked = self.entry(octet);
        wait_until(|| async { asked.entry().unsettled() == 0 }).await;
        self.replicas.iter().for_each(|it| it.stays_away(false));
        wait_until(|| async { self.replicas.iter().all(|it| it.runs()) }).await;
    }

    /// Waits until nothing is to be found out any more, and all entries know the same.
    async fn agreed(&self) {
        let known = |handle: &Handle| {
            let mut suspects = handle.entry().suspects();
            suspects.sort_unstable();
            suspects
        };
        let first = &self.harness.entry;
        let settled = |it: &Handle| it.entry().unsettled() == 0 && known(it) == known(first);
        wait_until(|| async { self.entries().all(settled) }).await;
    }

    /// The entry of an instance.
    fn entry(&self, octet: u8) -> &Handle {
        let own = |it: &&Handle| it.entry().node.settings().address == address(octet);
        self.entries().find(own).unwrap()
    }
}

fn listing(idx: usize, replica: &Fragile) -> Listing {
    Listing {
        id: replica_id(idx).into(),
        born: Some(replica.seen().born),
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
fn a_request_that_ended_three_replicas_goes_to_no_more_while_others_are_served() {
    run(async {
        let fleet = Fleet::alone(6).await;
        for turn in 0..12 {
            fleet.ask_once(1).await;
            fleet.whole().await;
            let innocent = fleet.send(1, &format!("innocent {turn}")).await;
            assert_eq!(innocent, "200");
        }
        assert!(fleet.marked() <= MOST, "{}", fleet.marked());
    });
}

#[test]
fn what_one_entry_learned_of_a_request_holds_at_entries_of_every_region() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z"), (3, "far"), (4, "far")]).await;
        let marked = fleet.ask_marked(&[1, 3, 2, 4], 24).await;
        assert!(marked <= MOST, "{marked}");
        for octet in 1..=4 {
            assert_eq!(fleet.send(octet, "innocent").await, "200");
        }
    });
}

#[test]
fn what_is_known_of_a_request_outlives_all_entries() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "far")]).await;
        fleet.ask_marked(&[1, 2], 4).await;
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
        let marked = fleet.ask_marked(&[1], 8).await;
        assert!(marked <= MOST, "{marked}");
        assert_eq!(fleet.send(1, "innocent").await, "200");
    });
}
#[test]
fn what_is_known_of_a_request_is_told_and_kept_though_the_store_was_away() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z"), (3, "far")]).await;
        fleet.harness.tables.mood.set(Mood::Refusing);
        fleet.harness.tables.cut();
        // The tables stand still: what ended is found out from its connections, and a replica that is back counts
        // as the start that is listed, so that its second end is no news.
        let counts = |handle: &Handle| {
            let suspects = handle.entry().suspects().into_iter();
            suspects.map(|it| it.1).max().unwrap_or(0)
        };
        for turn in 0.. {
            let octet = [1, 3, 2][turn % 3];
            fleet.ask_once(octet).await;
            if 3 <= counts(fleet.entry(octet)) {
                break;
            }
        }
        wait_until(|| async { fleet.entries().all(|it| 3 <= counts(it)) }).await;
        let ended = fleet.replicas.iter().filter(|it| 0 < it.seen().ends);
        assert!(ended.count() <= MOST, "two at most for each entry");
        let marked = fleet.marked();
        for octet in [1, 2, 3] {
            assert_eq!(fleet.send(octet, MARKED).await, "503");
        }
        assert_eq!(fleet.marked(), marked);
        fleet.harness.tables.mood.set(Mood::Well);
        wait_until(|| async { fleet.harness.has_request_record() }).await;
        fleet.whole().await;
        assert_eq!(fleet.send(2, "innocent").await, "200");
    });
}

/// All replicas end at once, twice, with innocent requests on each; their callers come again with the same.
#[test]
fn a_mass_failure_shuts_out_none() {
    run(async {
        let fleet = Fleet::start(4, &[(2, "far")]).await;
        let bodies: Vec<String> = (0..16).map(|it| format!("innocent {it}")).collect();
        for failure in 0..2 {
            let asks = bodies.iter().zip([1, 2].into_iter().cycle());
            let asks = asks.map(|(body, octet)| fleet.send(octet, body));
            let before = fleet.arrived();
            let ends = async {
                wait_until(|| async { before + 8 <= fleet.arrived() }).await;
                fleet.end_all().await;
            };
            join(join_all(asks), ends).await;
            fleet.agreed().await;
            assert!(
                !fleet.harness.entry.entry().suspects().is_empty(),
                "{failure}"
            );
        }
        for (body, octet) in bodies.iter().zip([2, 1].into_iter().cycle()) {
            assert_eq!(fleet.send(octet, body).await, "200", "{body}");
        }
        // What they were suspected of, their answers have cleared.
        let entry = fleet.harness.entry.entry();
        let cleared = || entry.suspects().iter().all(|it| it.1 == 0);
        wait_until(|| async { cleared() }).await;
    });
}

/// Connections break while the replica lives: whatever breaks them, no replica ended.
#[test]
fn connections_that_break_speak_against_no_request() {
    run(async {
        let breaks = || vec![Step::Read, Step::Reset];
        let closes = || vec![Step::Read, Step::Close];
        let replica = || vec![breaks(), closes(), breaks(), closes(), breaks(), closes()];
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

/// A request was under way at replicas that ended for other reasons; then one answers it.
#[test]
fn an_answer_clears_a_request_at_every_entry() {
    run(async {
        let fleet = Fleet::start(4, &[(2, "z"), (3, "far")]).await;
        for _ in 0..2 {
            let before = fleet.arrived();
            let ends = async {
                wait_until(|| async { before < fleet.arrived() }).await;
                fleet.end_all().await;
            };
            join(fleet.send(1, "innocent"), ends).await;
        }
        let counts = |handle: &Handle| -> Vec<usize> {
            handle
                .entry()
                .suspects()
                .into_iter()
                .map(|it| it.1)
                .collect()
        };
        wait_until(|| async { fleet.entries().all(|it| counts(it) == [2]) }).await;
        assert_eq!(fleet.send(3, "innocent").await, "200");
        wait_until(|| async { fleet.entries().all(|it| counts(it) == [0]) }).await;
    });
}

/// The store is away, and an entry starts that knows only what its peers tell it.
#[test]
fn an_entry_that_starts_while_the_store_is_away_is_told_of_what_ends_replicas() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "z")]).await;
        fleet.harness.tables.mood.set(Mood::Refusing);
        fleet.harness.tables.cut();
        for turn in 0..6 {
            fleet.ask_once([1, 2][turn % 2]).await;
        }
        let before = fleet.marked();
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
        assert_eq!(fleet.send(3, MARKED).await, "503");
        assert_eq!(fleet.marked(), before);
    });
}

/// What speaks against a request is listed in the store, and an operator's word takes it back at every entry.
#[test]
fn an_operator_sees_and_lifts_what_is_shut_out() {
    run(async {
        let fleet = Fleet::start(6, &[(2, "far")]).await;
        fleet.ask_marked(&[1, 2], 6).await;
        let store = &*fleet.harness.tables;
        let known = fleet.harness.entry.entry().suspects()[0];
        assert!(3 <= known.1, "{known:?}");
        let kept = || async {
            let rows = suspects::list(store).await.unwrap();
            rows.iter().any(|it| (it.request, it.crashes()) == known)
        };
        wait_until(kept).await;
        let row = suspects::list(store).await.unwrap().remove(0);
        assert_eq!(fleet.send(2, MARKED).await, "503");
        assert_eq!(suspects::lift(store, row.request).await, Ok(true));
        let counts = |handle: &Handle| -> Vec<usize> {
            let suspects = handle.entry().suspects().into_iter();
            suspects
                .filter(|it| it.0 == row.request)
                .map(|it| it.1)
                .collect()
        };
        wait_until(|| async { fleet.entries().all(|it| counts(it) == [0]) }).await;
        let before = fleet.marked();
        fleet.send(2, MARKED).await;
        assert!(before < fleet.marked(), "it is sent on again");
        let unknown = Fingerprint::of(None, ["h", "GET", "/"], b"");
        assert_eq!(suspects::lift(store, unknown).await, Ok(false));
    });
}
