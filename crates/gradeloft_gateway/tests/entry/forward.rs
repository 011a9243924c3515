//! Requests through an entry, whatever its replicas and their connections do.

use std::time::Duration;

use crate::support::{
    Shape, World, address, answer, get, last_chunk, ok, request, run, stream, until,
};
use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::{scripted::Step, tables::Mood};
use gradeloft_wire::frame::Table;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

fn once(steps: Vec<Step>) -> Vec<Vec<Step>> {
    vec![steps]
}

/// A replica that answers every connection well.
fn well(body: &str) -> Vec<Vec<Step>> {
    once(vec![Step::Read, ok(body)])
}

#[test]
fn an_answer_goes_through_unchanged_and_the_replica_gets_what_concerns_it() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("receipt")]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.contains("t-seal: s1\r\n") && answer.ends_with("\r\n\r\nreceipt"));
        let seen = world.replicas[0].requests().remove(0);
        assert!(seen.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"), "{seen}");
        assert!(seen.contains("t-request: abc\r\n") && seen.ends_with("\r\n\r\nform"));
        assert!(seen.contains("t-team: rangers\r\n") && seen.contains("t-replica: i-0\r\n"));
        assert!(!seen.contains("secret") && !seen.to_lowercase().contains("connection:"));
        let left = seen.split("t-deadline: ").nth(1).unwrap();
        let left: u64 = left.split("\r\n").next().unwrap().parse().unwrap();
        assert!((1..=6000).contains(&left), "{left}");
    });
}

#[rstest]
// Sent and no answer: it may have run.
#[case(RouteKind::Once, vec![Step::Read, Step::Close], "502", 1)]
#[case(RouteKind::Once, vec![Step::Read, Step::Reset], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Close], "200", 2)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Reset], "200", 2)]
// The replica says that it ran nothing.
#[case(RouteKind::Once, vec![Step::Read, answer("503 Full", "t-not-run: 1\r\n", "")], "200", 2)]
// Another replica has the address now.
#[case(RouteKind::Once, vec![Step::Read, answer("421 Other", "t-replica-id: x\r\n", "")], "200", 2)]
// Its own failure is passed on, unless the request may be repeated.
#[case(RouteKind::Once, vec![Step::Read, answer("500 Oops", "t-seal: s\r\n", "")], "500", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, answer("500 Oops", "t-seal: s\r\n", "")], "200", 2)]
// Bytes that are no answer.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("\u{1}nonsense\r\n\r\n".into())], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Send("nonsense\r\n\r\n".into())], "200", 2)]
// A body that ends early.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 9\r\n\r\nhalf".into()), Step::Close], "502", 1)]
#[case(RouteKind::Idempotent, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\nContent-Length: 9\r\n\r\nhalf".into()), Step::Close], "200", 2)]
// A success that no replica sealed.
#[case(RouteKind::Once, vec![Step::Read, answer("200 OK", "", "forged")], "502", 1)]
// A body that ends with its connection is whole only if the connection was not reset.
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\nall".into()), Step::Close], "200", 1)]
#[case(RouteKind::Once, vec![Step::Read, Step::Send("HTTP/1.1 200 OK\r\nt-seal: s\r\n\r\npart".into()), Step::Wait(Duration::from_millis(50)), Step::Reset], "502", 1)]
fn how_a_connection_ends_decides_what_follows(
    #[case] kind: RouteKind,
    #[case] first: Vec<Step>,
    #[case] status: &str,
    #[case] arrivals: usize,
) {
    run(async {
        let world = World::start(Shape::of(kind), vec![once(first), well("second")]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert_eq!(world.arrivals(), arrivals);
        if status == "502" {
            assert!(answer.contains(r#""ran":"unknown""#), "{answer}");
        }
    });
}

#[test]
fn nothing_sent_leaves_even_a_call_that_runs_once_free_to_go_elsewhere() {
    run(async {
        // Resets connections before it reads anything.
        let world = World::start(
            Shape::of(RouteKind::Once),
            vec![well("never"), well("second")],
        )
        .await;
        // Nobody listens where the first replica was.
        let refused = world.tables.clone();
        refused.write(Table::Replicas, "i-0", None);
        until(|| async { world.entry.entry().replicas.borrow().len() == 1 }).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

#[test]
fn a_refusal_is_said_only_of_what_has_not_run_and_tells_when_to_come_back() {
    run(async {
        let full = once(vec![Step::Read, answer("503 Full", "t-not-run: 1\r\n", "")]);
        let shape = Shape {
            max_attempts: 1,
            ..Shape::of(RouteKind::Once)
        };
        let world = World::start(shape, vec![full, well("never")]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains(r#""ran":"no""#), "{answer}");
        let back = answer.split("Retry-After: ").nth(1).unwrap();
        let back: f64 = back.split("\r\n").next().unwrap().parse().unwrap();
        // The first refusal of a shortage: as soon as a slot may be free.
        assert!((0.045..=0.06).contains(&back), "{back}");
        assert_eq!(world.arrivals(), 1);
    });
}

#[test]
fn a_late_answer_to_another_request_is_passed_over() {
    run(async {
        let crossed =
            "HTTP/1.1 200 OK\r\nt-request: other\r\nt-seal: s0\r\nContent-Length: 5\r\n\r\nwrong";
        let script = once(vec![
            Step::Read,
            Step::Send(crossed.to_owned()),
            ok("right"),
        ]);
        let world = World::start(Shape::of(RouteKind::Once), vec![script]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(
            answer.ends_with("right") && !answer.contains("wrong"),
            "{answer}"
        );
        assert_eq!(world.arrivals(), 1);
    });
}

#[test]
fn bytes_after_an_answer_cost_the_connection_and_nobody_else_gets_them() {
    run(async {
        let extra = "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: s1\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nt-seal: s2\r\nContent-Length: 5\r\n\r\nextra";
        let script = vec![
            vec![Step::Read, Step::Send(extra.to_owned())],
            vec![Step::Read, ok("two")],
        ];
        let world = World::start(Shape::of(RouteKind::Once), vec![script]).await;
        let first = world.ask(&request("POST", "form")).await;
        let second = world.ask(&request("POST", "form")).await;
        assert!(first.ends_with("\r\n\r\none"), "{first}");
        assert!(second.ends_with("\r\n\r\ntwo"), "{second}");
        assert_eq!(world.replicas[0].seen.borrow().connections, 2);
    });
}

#[test]
fn connections_are_used_again_after_whole_answers() {
    run(async {
        let script = once(vec![Step::Read, ok("one"), Step::Read, ok("two")]);
        let world = World::start(Shape::of(RouteKind::Once), vec![script]).await;
        world.ask(&request("POST", "form")).await;
        let second = world.ask(&request("POST", "form")).await;
        assert!(second.ends_with("two"), "{second}");
        assert_eq!(world.replicas[0].seen.borrow().connections, 1);
    });
}

#[test]
fn an_early_answer_to_a_long_body_goes_through_and_its_connection_is_not_used_again() {
    run(async {
        let early = answer("413 Long", "t-seal: s1\r\n", "no");
        let script = vec![
            vec![Step::ReadHead, early, Step::UntilGone],
            vec![Step::Read, ok("two")],
        ];
        let shape = Shape {
            body_bytes: 64 << 20,
            ..Shape::of(RouteKind::Once)
        };
        let world = World::start(shape, vec![script]).await;
        // More than the sockets between hold, so that part of it is unsent when the answer comes.
        let first = world.ask(&request("POST", &"x".repeat(32 << 20))).await;
        assert!(first.starts_with("HTTP/1.1 413 Long"), "{first}");
        let second = world.ask(&request("POST", "form")).await;
        assert!(second.ends_with("two"), "{second}");
        assert_eq!(world.replicas[0].seen.borrow().connections, 2);
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_replica_without_a_gap_or_a_repeat() {
    run(async {
        let first = once(vec![
            Step::Read,
            stream("first", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
            Step::Reset,
        ]);
        // It repeats an event that the caller has.
        let second = once(vec![
            Step::Read,
            stream("second", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
            last_chunk(),
        ]);
        let world = World::start(Shape::of(RouteKind::ResumableStream), vec![first, second]).await;
        let answer = world.ask(&request("POST", "prompt")).await;
        assert!(answer.contains("t-seal: first") && !answer.contains("t-seal: second"));
        let ids: Vec<&str> = answer.lines().filter(|it| it.starts_with("id:")).collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3"], "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        let resumed = world.replicas[1].requests().remove(0);
        assert!(resumed.contains("Last-Event-Id: 2\r\n"), "{resumed}");
    });
}

#[test]
fn a_stream_that_nobody_can_go_on_with_does_not_look_complete() {
    run(async {
        let cut = once(vec![
            Step::Read,
            stream("s", "id: 1\ndata: a\n\n"),
            Step::Wait(Duration::from_millis(30)),
            Step::Reset,
        ]);
        let world = World::start(Shape::of(RouteKind::Stream), vec![cut, well("never")]).await;
        let answer = world.ask(&request("POST", "prompt")).await;
        assert!(
            answer.contains("data: a") && !answer.contains("0\r\n\r\n"),
            "{answer}"
        );
        assert_eq!(world.arrivals(), 1);
    });
}

#[test]
fn events_go_out_as_they_come() {
    run(async {
        let script = once(vec![
            Step::Read,
            stream("s", "id: 1\ndata: a\n\n"),
            Step::UntilGone,
        ]);
        let world = World::start(Shape::of(RouteKind::ResumableStream), vec![script]).await;
        let mut caller = world.connect().await;
        caller
            .write_all(request("POST", "prompt").as_bytes())
            .await
            .unwrap();
        let mut seen = Vec::new();
        while !seen.ends_with(b"data: a\n\n\r\n") {
            tokio::io::AsyncReadExt::read_buf(&mut caller, &mut seen)
                .await
                .unwrap();
        }
        // A caller who leaves ends the replica's work.
        drop(caller);
        until(|| async { world.replicas[0].seen.borrow().gone == 1 }).await;
    });
}

#[test]
fn a_caller_who_leaves_before_the_answer_ends_the_replicas_work_and_nothing_is_repeated() {
    run(async {
        let script = once(vec![Step::Read, Step::UntilGone]);
        let world = World::start(
            Shape::of(RouteKind::Idempotent),
            vec![script, well("never")],
        )
        .await;
        let mut caller = world.connect().await;
        caller
            .write_all(request("GET", "").as_bytes())
            .await
            .unwrap();
        until(|| async { world.arrivals() == 1 }).await;
        drop(caller);
        until(|| async { world.replicas[0].seen.borrow().gone == 1 }).await;
        assert_eq!(world.arrivals(), 1);
    });
}

#[test]
fn a_request_gets_its_final_answer_at_the_routes_timeout() {
    run(async {
        let shape = Shape {
            timeout_ms: 200,
            ..Shape::of(RouteKind::Once)
        };
        let world = World::start(shape, vec![once(vec![Step::Read, Step::UntilGone])]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        until(|| async { world.replicas[0].seen.borrow().gone == 1 }).await;
    });
}

#[rstest]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: wrong\r\nConnection: close\r\n\r\n",
    "401"
)]
#[case("POST /r/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "401")]
#[case(
    "POST /none/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nConnection: close\r\n\r\n",
    "404"
)]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "400"
)]
#[case("no request at all\r\n\r\n", "400")]
#[case(
    "POST /r/x HTTP/1.1\r\nHost: h\r\nt-key: secret\r\nContent-Length: 9999999\r\n\r\n",
    "413"
)]
fn what_is_not_proper_reaches_no_replica(#[case] bytes: &str, #[case] status: &str) {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("never")]).await;
        let mut request = bytes.to_owned();
        if status == "413" {
            request.push_str(&"x".repeat(1_100_000));
        }
        let answer = world.ask(&request).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert_eq!(world.arrivals(), 0);
    });
}

#[test]
fn an_entry_without_a_configuration_says_come_back_and_is_not_ready() {
    run(async {
        let world = World::unready(Shape::of(RouteKind::Once), vec![well("never")]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(world.get(8002, "/ready").await.starts_with("HTTP/1.1 503"));
        assert!(world.get(8009, "/where").await.starts_with("HTTP/1.1 503"));
    });
}

#[test]
fn an_entry_that_the_store_refuses_learns_from_its_peers() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("receipt")]).await;
        let refusing = std::rc::Rc::new(gradeloft_standin::tables::Tables::default());
        refusing.mood.set(Mood::Refusing);
        let _second = world.another(2, &refusing).await;
        until(|| async { get(2, 8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        let named = get(2, 8009, "/where").await;
        assert!(named.contains(&format!("{}:8005", address(1))), "{named}");
        assert!(named.contains(&format!("{}:8005", address(2))), "{named}");
    });
}

#[test]
fn a_configuration_read_late_does_not_bring_an_old_one_back() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("receipt")]).await;
        world.tables.write(Table::Operator, "config", Some("5"));
        until(|| async { world.entry.entry().config_version() == 5 }).await;
        world.tables.write(Table::Operator, "config", Some("4"));
        world.tables.compact(Table::Operator);
        let calls = world.tables.calls.get();
        until(|| async { calls + 4 < world.tables.calls.get() }).await;
        assert_eq!(world.entry.entry().config_version(), 5);
    });
}

#[test]
fn a_leaving_entry_is_named_to_nobody_and_finishes_what_runs() {
    run(async {
        let slow = once(vec![
            Step::Read,
            Step::Wait(Duration::from_millis(400)),
            ok("whole"),
        ]);
        let world = World::start(Shape::of(RouteKind::Once), vec![slow]).await;
        let mut caller = world.connect().await;
        let keeping = request("POST", "form").replace("Connection: close\r\n", "");
        caller.write_all(keeping.as_bytes()).await.unwrap();
        until(|| async { world.arrivals() == 1 }).await;
        let leaving = actix_rt::spawn(world.entry.leave());
        until(|| async { get(1, 8002, "/ready").await.starts_with("HTTP/1.1 503") }).await;
        assert!(get(1, 8009, "/where").await.starts_with("HTTP/1.1 503"));
        let mut answer = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut caller, &mut answer).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(
            answer.ends_with("whole") && answer.contains("Connection: close"),
            "{answer}"
        );
        assert_eq!(leaving.await.unwrap(), 0);
    });
}
