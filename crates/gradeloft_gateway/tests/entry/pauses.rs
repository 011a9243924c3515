//! Replicas that pause in the middle of an answer.
//!
//! Callers saw streams end early, their connections closed, while the replica was at work and finished. Order of events: a
//! replica paused, for 1.2 s in a stream, 1.5 s before an answer and 2 s in a plain one; the entry dropped its connection,
//! and only then found that no other replica could go on: the request's kind, its attempts, the budget of repeats or full
//! replicas forbade it. Cause: a silence was taken for an end. Evidence: with real processes and replicas that stood still,
//! 33 of 34 cut answers of a run were of `ended_by=silent`, `quiet_ms=1201` to `1202`, and each of the cases below was cut
//! although its replica ran on.

use std::{rc::Rc, time::Duration};

use crate::support::{Shape, World, answer, last_chunk, request, run, stream, until};
use gradeloft_gateway::settings::Settings;
use gradeloft_policy::process::{document::RouteKind, retry_budget};
use gradeloft_standin::scripted::Step;
use rstest::rstest;

/// Longer than any silence after which an entry looks for another replica.
const PAUSE: Duration = Duration::from_millis(2_300);

fn once(steps: Vec<Step>) -> Vec<Vec<Step>> {
    vec![steps]
}

fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn part(text: &str) -> Step {
    Step::Send(text.to_owned())
}

/// A stream that pauses between its first and its second event.
fn pausing_stream() -> Vec<Vec<Step>> {
    once(vec![
        Step::Read,
        stream("s1", "id: 1\ndata: a\n\n"),
        Step::Wait(PAUSE),
        chunk("id: 2\ndata: b\n\n"),
        last_chunk(),
    ])
}

fn full() -> Vec<Vec<Step>> {
    once(vec![Step::Read, answer("503 Full", "t-not-run: 1\r\n", "")])
}

/// A plain answer that pauses in its middle.
fn pausing_answer() -> Vec<Vec<Step>> {
    once(vec![
        Step::Read,
        part("HTTP/1.1 200 OK\r\nt-seal: s1\r\nContent-Length: 8\r\n\r\nfirst"),
        Step::Wait(PAUSE),
        part("two"),
    ])
}

fn attempts(kind: RouteKind, max_attempts: u32) -> Shape {
    Shape {
        max_attempts,
        ..Shape::of(kind)
    }
}

#[rstest]
#[case::runs_once(attempts(RouteKind::Stream, 2), vec![pausing_stream(), full()])]
#[case::no_other_replica(attempts(RouteKind::ResumableStream, 2), vec![pausing_stream()])]
#[case::no_attempt_left(attempts(RouteKind::ResumableStream, 1), vec![pausing_stream(), full()])]
#[case::the_other_is_full(attempts(RouteKind::ResumableStream, 2), vec![pausing_stream(), full()])]
fn a_stream_goes_on_after_a_pause_that_no_other_replica_bridges(
    #[case] shape: Shape,
    #[case] scripts: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let world = World::start(shape, scripts).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.contains("data: a\n\n"), "{answer}");
        assert!(answer.contains("data: b\n\n"), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

#[test]
fn a_stream_goes_on_after_a_pause_while_the_budget_of_repeats_is_empty() {
    run(async {
        let shape = Shape::of(RouteKind::ResumableStream);
        let world = World::start(shape, vec![pausing_stream(), pausing_stream()]).await;
        let node = &world.entry.entry().node;
        let settings = Settings {
            repeats: retry_budget::Bounds {
                ratio: 0.0,
                slack: 0.0,
                window_ms: 10_000,
            },
            ..(*node.settings()).clone()
        };
        *node.settings.borrow_mut() = Rc::new(settings);
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.contains("data: b\n\n"), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        assert_eq!(world.arrivals(), 1);
    });
}

#[rstest]
#[case::runs_once(attempts(RouteKind::Once, 2), vec![pausing_answer(), full()])]
#[case::no_other_replica(attempts(RouteKind::Idempotent, 2), vec![pausing_answer()])]
#[case::the_other_is_full(attempts(RouteKind::Idempotent, 2), vec![pausing_answer(), full()])]
fn a_plain_answer_goes_on_after_a_pause_that_no_other_replica_bridges(
    #[case] shape: Shape,
    #[case] scripts: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let world = World::start(shape, scripts).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.ends_with("firsttwo"), "{answer}");
    });
}

/// An answer that is too large to be held went out in part, so nobody else can go on with it.
#[test]
fn a_large_answer_goes_on_after_a_pause() {
    run(async {
        let first = "x".repeat(600 << 10);
        let head = format!(
            "HTTP/1.1 200 OK\r\nt-seal: s1\r\nContent-Length: {}\r\n\r\n",
            first.len() + 4
        );
        let script = once(vec![
            Step::Read,
            part(&head),
            part(&first),
            Step::Wait(PAUSE),
            part("last"),
        ]);
        let world = World::start(Shape::of(RouteKind::Idempotent), vec![script]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.ends_with("last\r\n0\r\n\r\n"), "{}", answer.len());
    });
}

#[rstest]
#[case::no_other_replica(vec![])]
#[case::the_other_is_full(vec![full()])]
fn an_answer_that_begins_late_goes_through_if_no_other_replica_gives_one(
    #[case] others: Vec<Vec<Vec<Step>>>,
) {
    run(async {
        let late = once(vec![
            Step::Read,
            Step::Wait(PAUSE),
            answer("200 OK", "t-seal: s1\r\n", "late"),
        ]);
        let scripts = [vec![late], others].concat();
        let world = World::start(Shape::of(RouteKind::Idempotent), scripts).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.ends_with("late"), "{answer}");
    });
}

/// What the pause is waited out for: a replica that is free goes on at once, and the one that paused stops.
#[test]
fn a_stream_goes_on_at_another_replica_after_a_pause() {
    run(async {
        let silent = once(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::UntilGone,
        ]);
        let rest = once(vec![
            Step::Read,
            stream("s2", "id: 2\ndata: b\n\n"),
            last_chunk(),
        ]);
        let shape = Shape::of(RouteKind::ResumableStream);
        let world = World::start(shape, vec![silent, rest]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(
            answer.contains("data: b\n\n") && answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
        until(|| async { world.replicas[0].seen.borrow().gone == 1 }).await;
        assert!(world.replicas[1].requests()[0].contains("Last-Event-Id: 1\r\n"));
    });
}

/// The replica that paused goes on before the other has begun: the caller gets its answer, and the other stops.
#[test]
fn a_replica_that_goes_on_first_is_listened_to() {
    run(async {
        let pausing = once(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::Wait(Duration::from_millis(1_700)),
            chunk("id: 2\ndata: b\n\n"),
            last_chunk(),
        ]);
        let slow = once(vec![Step::Read, Step::UntilGone]);
        let shape = Shape::of(RouteKind::ResumableStream);
        let world = World::start(shape, vec![pausing, slow]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(
            answer.contains("data: b\n\n") && answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
        until(|| async { world.replicas[1].seen.borrow().gone == 1 }).await;
        assert_eq!(world.arrivals(), 2);
    });
}

/// A replica that never goes on: the answer ends when the request's time is over, and does not look whole.
#[test]
fn a_stream_whose_replica_stays_silent_ends_with_its_time() {
    run(async {
        let silent = once(vec![
            Step::Read,
            stream("s1", "id: 1\ndata: a\n\n"),
            Step::UntilGone,
        ]);
        let shape = Shape {
            timeout_ms: 3_000,
            ..Shape::of(RouteKind::Stream)
        };
        let world = World::start(shape, vec![silent]).await;
        let clock = world.entry.entry().node.clock;
        let began = clock.now();
        let answer = world.ask(&request("POST", "form")).await;
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        assert!(Duration::from_secs(3) <= clock.now().since(began));
        until(|| async { world.replicas[0].seen.borrow().gone == 1 }).await;
    });
}
