//! Replicas that start again under the id that they had, and records of other writers.

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;

use crate::support::{Shape, World, id, last_chunk, ok, request, run, stream, until};

#[test]
fn a_request_that_waits_at_a_start_that_is_over_is_sent_again_at_once() {
    run(async {
        let silent = vec![Step::Read, Step::UntilGone];
        let replica = vec![silent, vec![Step::Read, ok("receipt")]];
        let world = World::unready(Shape::of(RouteKind::Idempotent), vec![replica]).await;
        world.started_at(0, 1_000);
        world.tables.write(Table::Operator, "config", Some("1"));
        world.list_all();
        until(|| async { world.entry.entry().replicas.borrow().len() == 1 }).await;
        let asked = request("GET", "");
        let mut answer = Box::pin(world.ask(&asked));
        let waits = until(|| async { world.replicas[0].requests().len() == 1 });
        tokio::select! {
            early = &mut answer => panic!("answered before the restart: {early}"),
            () = waits => {}
        }
        let clock = Clock::start();
        world.started_at(0, 2_000);
        world.list_all();
        let answer = answer.await;
        assert!(answer.contains("receipt"), "{answer}");
        // Well before the patience for a silent replica is over.
        assert!(clock.now() < Time::ZERO.after_ms(1_000));
    });
}

#[test]
fn a_stream_from_a_start_that_is_over_goes_on_at_another() {
    run(async {
        let silent = vec![Step::Read, stream("s1", "id: 1\n\n"), Step::UntilGone];
        let goes_on = vec![Step::Read, stream("s2", "id: 2\n\n"), last_chunk()];
        let replica = vec![silent, goes_on];
        let world = World::unready(Shape::of(RouteKind::ResumableStream), vec![replica]).await;
        world.started_at(0, 1_000);
        world.tables.write(Table::Operator, "config", Some("1"));
        world.list_all();
        until(|| async { world.entry.entry().replicas.borrow().len() == 1 }).await;
        let asked = request("POST", "");
        let mut answer = Box::pin(world.ask(&asked));
        let waits = until(|| async { world.replicas[0].requests().len() == 1 });
        tokio::select! {
            early = &mut answer => panic!("ended before the restart: {early}"),
            () = waits => {}
        }
        world.started_at(0, 2_000);
        world.list_all();
        let answer = answer.await;
        assert!(
            answer.contains("id: 1") && answer.contains("id: 2"),
            "{answer}"
        );
    });
}

#[test]
fn a_record_of_another_writer_names_no_replica_and_takes_no_memory() {
    run(async {
        let scripts = vec![vec![vec![Step::Read, ok("receipt")]; 2]];
        let world = World::start(Shape::of(RouteKind::Once), scripts).await;
        let node = &world.entry.entry().node;
        let long = "x".repeat(200_000);
        world.tables.write(Table::Replicas, "somebody", Some(&long));
        world
            .tables
            .write(Table::Entries, "no address", Some(&long));
        world
            .tables
            .write(Table::Replicas, "somebody else", Some("[]"));
        world.list_all();
        until(|| async {
            node.metrics
                .text()
                .contains("unreadable_records_total{reason=\"entries\"} 1")
        })
        .await;
        until(|| async {
            node.metrics
                .text()
                .contains("unreadable_records_total{reason=\"replicas\"} 2")
        })
        .await;
        let held = node.records(Table::Replicas);
        assert!(held.iter().all(|it| it.key == id(0)), "{held:?}");
        assert!(
            node.records(Table::Entries)
                .iter()
                .all(|it| it.key != "no address")
        );
        let answer = world.ask(&request("POST", "b")).await;
        assert!(answer.contains("receipt"), "{answer}");
    });
}

#[test]
fn a_replica_whose_record_another_writer_replaced_gets_no_requests() {
    run(async {
        let replica = || vec![vec![Step::Read, ok("receipt")]];
        let world = World::start(Shape::of(RouteKind::Once), vec![replica(), replica()]).await;
        let entry = world.entry.entry();
        until(|| async { entry.replicas.borrow().len() == 2 }).await;
        world.garble(0);
        world.tables.write(Table::Replicas, &id(0), Some("what?"));
        until(|| async { entry.replicas.borrow().len() == 1 }).await;
        let answer = world.ask(&request("POST", "b")).await;
        assert!(answer.contains("receipt"), "{answer}");
        assert_eq!(world.replicas[0].requests().len(), 0);
    });
}
