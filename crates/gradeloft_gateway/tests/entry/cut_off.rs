//! Entries that the store or a peer does not answer, and versions that become due in the middle of a
//! request.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::support::{Shape, World, address, get, ok, request, run, until};
use gradeloft_gateway::{node::Node, settings::Settings};
use gradeloft_policy::process::{document::RouteKind, mirror::Record};
use gradeloft_standin::{
    scripted::Step,
    tables::{Mood, Tables},
};
use gradeloft_wire::{datagram::Access, frame::Table};
use tokio::net::TcpListener;

fn well(body: &str) -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok(body)]]
}

#[test]
fn an_entry_that_is_cut_off_takes_a_steady_peers_word_for_a_removal() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a"), well("b")]).await;
        let refusing = Rc::new(Tables::default());
        refusing.mood.set(Mood::Refusing);
        let second = world.another(2, &refusing).await;
        until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        world.tables.write(Table::Replicas, "i-0", None);
        let entry = second.entry();
        let told = || {
            let records = entry.node.records(Table::Replicas);
            records.iter().all(|it| it.key != "i-0")
        };
        until(|| async { told() }).await;
        // In the same moment, and not once the wait for doubtful removals is over.
        assert_eq!(entry.replicas.borrow().len(), 1);
    });
}

#[test]
fn a_connection_on_which_a_peer_did_not_answer_is_not_used_again() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let silent = TcpListener::bind((address(9), 7700)).await.unwrap();
        let connections = Rc::new(Cell::new(0));
        let counted = Rc::clone(&connections);
        actix_rt::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = silent.accept().await {
                open.push(stream);
                counted.set(open.len());
            }
        });
        let node = &world.entry.entry().node;
        for asked in 1..=2 {
            assert!(!node.ask_records(address(9), Table::Replicas).await);
            assert_eq!(connections.get(), asked);
        }
    });
}

#[test]
fn a_second_attempt_needs_the_version_that_became_due_during_the_first() {
    run(async {
        let silent = vec![vec![Step::Read, Step::UntilGone]];
        let scripts = vec![silent, well("from weights that are too old")];
        let world = World::unready(Shape::of(RouteKind::Idempotent), scripts).await;
        (0..2).for_each(|it| world.holds(it, 1));
        world.tables.write(Table::Operator, "config", Some("1"));
        world.list_all();
        let entry = world.entry.entry();
        until(|| async { entry.replicas.borrow().len() == 2 }).await;
        until(|| async { entry.config_version() == 1 }).await;
        let before = entry.node.settings();
        *entry.node.settings.borrow_mut() = Rc::new(Settings {
            version_ms: 200,
            ..(*before).clone()
        });
        let asking = request("GET", "");
        let asked = world.ask(&asking);
        let naming = async {
            until(|| async { world.arrivals() == 1 }).await;
            world.tables.write(Table::Operator, "weights/m", Some("2"));
            until(|| async { entry.oldest_versions("s").allowed == Some(2) }).await;
            assert_eq!(world.arrivals(), 1, "the first attempt still goes on");
        };
        let (answer, ()) = tokio::join!(asked, naming);
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert_eq!(world.arrivals(), 1);
    });
}

#[test]
fn what_was_dropped_while_the_store_was_away_is_read_whole_once_it_is_back() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let entry = world.entry.entry();
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        until(|| async { entry.node.access() == Access::Unserved }).await;
        world.tables.write(Table::Operator, "config", Some("7"));
        world.tables.write(Table::Operator, "config", Some("8"));
        world.tables.compact(Table::Operator);
        world.tables.mood.set(Mood::Well);
        until(|| async { entry.config_version() == 8 }).await;
    });
}

/// Callers got answers by a configuration that had been replaced five seconds before. In order: every entry
/// that reads the operator's table waits at the store, all since the same record; connections go silent for
/// good, without a reset, while new ones work; a configuration is confirmed. Cause: a read waits for four
/// seconds, and one on a silent connection looks like one that has nothing to tell until it is overdue.
/// Evidence: where all connections went silent right before a change, all entries took it in together, 1.5
/// to 2.3 s late, though the store was well; usually it takes 0.05 s.
#[test]
fn a_configuration_written_while_waiting_reads_are_silent_is_in_force_within_two_seconds() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let entry = world.entry.entry();
        let waits = async || until(|| async { world.tables.waiting(Table::Operator) == 1 }).await;
        waits().await;
        world.tables.write(Table::Operator, "config", Some("2"));
        until(|| async { entry.config_version() == 2 }).await;
        waits().await;
        world.tables.silence();
        world.tables.write(Table::Operator, "config", Some("3"));
        let taken = tokio::time::timeout(
            Duration::from_secs(2),
            until(|| async { entry.config_version() == 3 }),
        );
        let taken = taken.await;
        assert!(taken.is_ok(), "still version {}", entry.config_version());
    });
}

#[test]
fn a_copy_is_whole_up_to_the_last_read_before_the_store_was_away() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let node = &world.entry.entry().node;
        let table = Table::Operator;
        until(|| async { node.confirmed_until(table).is_some() }).await;
        assert!(!node.after_interruption(table));
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        until(|| async { node.access() == Access::Unserved }).await;
        let before = node.confirmed_until(table);
        let away = node.clock.now();
        world.tables.write(table, "config", Some("7"));
        assert!(before < Some(away));
        world.tables.mood.set(Mood::Well);
        until(|| async { node.end(table) == 2 && before < node.confirmed_until(table) }).await;
        assert!(node.after_interruption(table));
        assert!(Some(away) < node.confirmed_until(table));
    });
}

#[test]
fn a_request_that_waits_at_a_replica_whose_weights_expire_is_taken_back() {
    run(async {
        let silent = vec![vec![Step::Read, Step::UntilGone]];
        let scripts = vec![silent, well("from new weights")];
        let world = World::unready(Shape::of(RouteKind::Idempotent), scripts).await;
        world.holds(0, 1);
        world.holds(1, 2);
        world.tables.write(Table::Operator, "config", Some("1"));
        world.tables.write(Table::Replicas, "i-0", Some("ready"));
        let entry = world.entry.entry();
        until(|| async { entry.replicas.borrow().len() == 1 && entry.config_version() == 1 }).await;
        let before = entry.node.settings();
        *entry.node.settings.borrow_mut() = Rc::new(Settings {
            version_ms: 1_000,
            ..(*before).clone()
        });
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        let old = entry.replicas.borrow().iter().next().unwrap().0;
        until(|| async { entry.start_deadline("s", old).is_some() }).await;
        let asking = request("GET", "");
        let asked = world.ask(&asking);
        let filling = async {
            until(|| async { world.arrivals() == 1 }).await;
            world.tables.write(Table::Replicas, "i-1", Some("ready"));
        };
        let (answer, ()) = tokio::join!(asked, filling);
        assert!(answer.ends_with("from new weights"), "{answer}");
        let outdated = entry.node.metrics.text();
        assert!(
            outdated.contains(r#"reason="outdated"} 1"#),
            "taken back, not given up: {outdated}"
        );
    });
}

/// The version of the weights as an entry's copy has it.
fn named(node: &Node) -> Option<Record> {
    let records = node.records(Table::Operator);
    records.into_iter().find(|it| it.key == "weights/m")
}

/// Requests began on older weights more than eight seconds after a newer version was confirmed. In order: an
/// entry's reads of the store fail; a version is named; the store is back, and the entry reads it. Cause: the
/// version's time counted from that read, as if what is read had just been written. Evidence: the time that it
/// counted from lay after the interruption, though the entry's copy was last whole before it.
#[test]
fn a_version_that_is_read_after_an_interruption_counts_from_before_it() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let node = &world.entry.entry().node;
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        until(|| async { node.access() == Access::Unserved }).await;
        let away = node.clock.now();
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        world.tables.mood.set(Mood::Well);
        until(|| async { named(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &named(node).unwrap());
        assert!(
            written <= away,
            "{written:?}, and the copy was whole before {away:?}"
        );
    });
}

/// As above, one process further: the entry that had read the version late passed it on, and the one that got
/// it gave older weights their whole time once more. Cause: a record came without an age.
#[test]
fn a_version_that_a_peer_learned_late_keeps_its_age() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let refusing = Rc::new(Tables::default());
        refusing.mood.set(Mood::Refusing);
        let second = world.another(2, &refusing).await;
        until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        let node = &second.entry().node;
        let first = &world.entry.entry().node;
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        until(|| async { first.access() == Access::Unserved }).await;
        let away = node.clock.now();
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        world.tables.mood.set(Mood::Well);
        until(|| async { named(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &named(node).unwrap());
        assert!(
            written <= away,
            "{written:?}, and the peer's copy was whole before {away:?}"
        );
    });
}

#[test]
fn a_version_that_came_while_the_process_stood_still_counts_from_before() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        let node = &world.entry.entry().node;
        world.tables.write(Table::Operator, "config", Some("2"));
        until(|| async { node.end(Table::Operator) == 2 }).await;
        // The next read waits at the store.
        let calls = world.tables.calls.get();
        until(|| async { calls < world.tables.calls.get() }).await;
        let before = node.clock.now();
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        // Everything stands still, the read that waits for the version as well.
        std::thread::sleep(Duration::from_millis(1_500));
        until(|| async { named(node).is_some() }).await;
        let written = node.written_at(Table::Operator, &named(node).unwrap());
        assert!(written <= before, "{written:?}, stood still at {before:?}");
    });
}

/// An entry that had just started sent requests to replicas with weights that were replaced long before. It
/// read the configuration and the version behind it in one answer, and the version, which may have been due
/// before the process began, counted as named in that moment, with all its time still to come. Where the
/// configuration was written later than the version, it counted as due.
#[test]
fn a_version_that_was_named_before_the_start_is_due() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("a")]).await;
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        // Whoever is asked first has both.
        let first = world.entry.entry();
        until(|| async { first.node.end(Table::Operator) == 2 }).await;
        let later = world.another(2, &world.tables).await;
        let entry = later.entry();
        until(|| async { entry.config_version() == 1 }).await;
        let named = || entry.oldest_versions("s").preferred.is_some();
        let allowed = || entry.oldest_versions("s").allowed;
        until(|| async { named() || allowed().is_some() }).await;
        assert_eq!(allowed(), Some(2));
    });
}
