//! Requests to a model whose replicas have no room.

use std::time::Duration;

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;

use crate::support::{Shape, World, ok, request, run, until};

fn shape(goal_ms: u64) -> Shape {
    Shape {
        goal_ms,
        model_slots: Some(1),
        ..Shape::of(RouteKind::Idempotent)
    }
}

/// Each of three callers asks while the one slot is taken. Without a wait the second and third were refused, though the
/// slot was free again well before they would have been late.
#[test]
fn a_request_waits_for_a_slot_that_is_free_while_it_can_be_in_time() {
    run(async {
        let takes = Step::Wait(Duration::from_millis(100));
        let answers = [Step::Read, takes, ok("answer")];
        let answers = answers.iter().cycle().take(9).cloned().collect();
        let world = World::start(shape(3_000), vec![vec![answers]]).await;
        let bytes = request("POST", "form");
        let (first, second, third) =
            tokio::join!(world.ask(&bytes), world.ask(&bytes), world.ask(&bytes));
        for answer in [first, second, third] {
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
    });
}

/// A slot that is never free: the caller is told after its objective, and long before its time is over.
#[test]
fn a_request_that_finds_no_slot_within_its_objective_is_refused_as_not_run() {
    run(async {
        let world = World::start(shape(200), vec![vec![vec![Step::Read, Step::UntilGone]]]).await;
        let bytes = request("POST", "form");
        let asking = world.ask(&bytes);
        let refused = async {
            until(|| async { world.arrivals() == 1 }).await;
            let clock = Clock::start();
            let asked = clock.now();
            (world.ask(&bytes).await, clock.now().since(asked))
        };
        let (answer, took) = tokio::select! {
            answered = refused => answered,
            answer = asking => panic!("{answer}"),
        };
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains(r#""ran":"no""#), "{answer}");
        assert!(Duration::from_millis(200) <= took, "{took:?}");
        assert_eq!(world.arrivals(), 1);
    });
}
