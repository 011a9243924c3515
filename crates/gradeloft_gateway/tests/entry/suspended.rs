//! Entries whose machines are suspended: their timers stand still meanwhile, and everybody else's time goes on.

use gradeloft_gateway::entry::Entry;
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::{scripted::Step, tables::Mood};
use gradeloft_wire::frame::Table;

use crate::support::{Machine, Shape, World, get, ok, request, run, until};

/// Waits until an entry takes callers.
async fn ready(last: u8) {
    until(|| async { get(last, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

#[test]
fn a_request_whose_time_is_over_meanwhile_gets_its_final_answer_on_waking() {
    run(async {
        let machine = Machine::new();
        let silent = vec![vec![Step::Read, Step::UntilGone]];
        let shape = Shape::of(RouteKind::Once);
        let world = World::on(&machine, shape, vec![silent]).await;
        let asked = request("POST", "b");
        let mut answer = Box::pin(world.ask(&asked));
        let waits = until(|| async { world.arrivals() == 1 });
        tokio::select! {
            early = &mut answer => panic!("answered early: {early}"),
            () = waits => {}
        }
        let before = machine.running_ms();
        // The caller waits for 6 s.
        machine.suspend_ms(6_500);
        let answer = answer.await;
        assert_eq!(status(&answer), "504", "{answer}");
        // Well before the timers alone would have shown it.
        assert!(machine.running_ms() < before + 3_000);
    });
}

#[test]
fn weights_that_became_due_meanwhile_are_needed_on_waking() {
    run(async {
        let machine = Machine::new();
        let replica = || vec![vec![Step::Read, ok("receipt")]; 4];
        let world = World::on_unready(
            &machine,
            Shape::of(RouteKind::Once),
            vec![replica(), replica()],
        );
        let world = world.await;
        world.holds(0, 1);
        world.holds(1, 2);
        world.tables.write(Table::Operator, "config", Some("1"));
        world.tables.write(Table::Operator, "weights/m", Some("1"));
        world.list_all();
        ready(1).await;
        let entry = world.entry.entry();
        until(|| async { entry.replicas.borrow().len() == 2 }).await;
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        until(|| async { named(entry) }).await;
        let first = world.ask(&request("POST", "a")).await;
        assert_eq!(status(&first), "200", "{first}");
        assert_eq!(
            world.replicas[0].requests().len(),
            1,
            "the near one, with the older weights"
        );
        machine.suspend_ms(8_000);
        ready(1).await;
        let second = world.ask(&request("POST", "b")).await;
        assert_eq!(status(&second), "200", "{second}");
        assert_eq!(world.replicas[0].requests().len(), 1);
        assert_eq!(world.replicas[1].requests().len(), 1);
    });
}

/// Whether the entry knows of the second version.
fn named(entry: &Entry) -> bool {
    let records = entry.node.records(Table::Operator);
    records.iter().any(|it| it.value.as_deref() == Some(b"2"))
}

#[test]
fn an_entry_that_wakes_leaves_callers_to_others_until_it_knows_how_far_they_are() {
    run(async {
        let machine = Machine::new();
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let world = World::on(&machine, Shape::of(RouteKind::Once), vec![replica]).await;
        let _other = world.another(2, &world.tables).await;
        ready(2).await;
        machine.suspend_ms(5_000);
        // Its key may be gone, its route moved: nothing has been heard since.
        let early = world.ask(&request("POST", "b")).await;
        assert!(
            early.starts_with("HTTP/1.1 503") && early.contains("behind"),
            "{early}"
        );
        assert_eq!(world.arrivals(), 0);
        ready(1).await;
        let answer = world.ask(&request("POST", "b")).await;
        assert_eq!(status(&answer), "200", "{answer}");
    });
}

#[test]
fn an_entry_that_wakes_alone_serves_by_what_it_knows() {
    run(async {
        let machine = Machine::new();
        let replica = vec![vec![Step::Read, ok("receipt")]; 4];
        let world = World::on(&machine, Shape::of(RouteKind::Once), vec![replica]).await;
        world.tables.mood.set(Mood::Refusing);
        world.tables.cut();
        machine.suspend_ms(5_000);
        ready(1).await;
        let answer = world.ask(&request("POST", "b")).await;
        assert_eq!(status(&answer), "200", "{answer}");
    });
}
