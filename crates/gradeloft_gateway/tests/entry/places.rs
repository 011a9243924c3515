//! Where requests may be served: regions to which the operator binds them, availability zones that are evacuated, and
//! replicas that are cold.

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{
    clock::Time,
    process::document::{RouteKind, Warmup},
};
use gradeloft_standin::scripted::Step;
use gradeloft_wire::frame::Table;
use rstest::rstest;

use crate::support::{Shape, World, address, get, id, ok, request, run, until};

/// A replica that answers every request, of which many come on each connection.
fn well(body: &str) -> Vec<Vec<Step>> {
    vec![(0..100).flat_map(|_| [Step::Read, ok(body)]).collect()]
}

fn bound(kind: RouteKind, home: &'static str) -> Shape {
    Shape {
        homes: Some(home),
        ..Shape::of(kind)
    }
}

#[rstest]
// The first replica is in the entry's own region, the second in another.
#[case("z", [4, 0])]
#[case("elsewhere", [0, 4])]
fn requests_run_in_their_home_only(#[case] home: &'static str, #[case] arrivals: [usize; 2]) {
    run(async move {
        let shape = bound(RouteKind::Idempotent, home);
        let world = World::start(shape, vec![well("near"), well("far")]).await;
        for _ in 0..4 {
            let answer = world.ask(&request("POST", "form")).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
        let arrived = [0, 1].map(|it: usize| world.replicas[it].requests().len());
        assert_eq!(arrived, arrivals);
    });
}

#[test]
fn a_failed_request_is_not_repeated_outside_its_home() {
    run(async {
        let fails = vec![vec![Step::Read, Step::Close]];
        let world = World::start(bound(RouteKind::Idempotent, "z"), vec![fails, well("far")]).await;
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert_eq!(world.replicas[1].requests().len(), 0);
    });
}

#[test]
fn with_nobody_at_home_a_request_is_refused_at_once_and_has_not_run() {
    run(async {
        let world = World::start(
            bound(RouteKind::Once, "south"),
            vec![well("near"), well("far")],
        )
        .await;
        let clock = Clock::start();
        let answer = world.ask(&request("POST", "form")).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(clock.now() < Time::ZERO.after_ms(500));
        assert_eq!(world.arrivals(), 0);
    });
}

#[test]
fn look_ups_for_a_bound_host_name_entries_at_home_and_in_the_callers_region() {
    run(async {
        let world =
            World::start(bound(RouteKind::Once, "z"), vec![well("near"), well("far")]).await;
        let _other = world.in_zone(2, "elsewhere", &world.tables).await;
        let named = |region: &'static str, host: &'static str| async move {
            let answer = get(1, 8009, &format!("/where?{host},{region}")).await;
            [1, 2].map(|it| answer.contains(&format!("{}:8005", address(it))))
        };
        until(|| async { named("z", "another").await == [true, true] }).await;
        assert_eq!(named("z", "h").await, [true, false]);
        assert_eq!(named("elsewhere", "h").await, [true, true]);
    });
}

#[test]
fn nothing_goes_to_an_evacuated_zone_until_that_is_taken_back() {
    run(async {
        let shape = Shape::of(RouteKind::Idempotent);
        let world = World::start(shape, vec![well("near"), well("far")]).await;
        world
            .tables
            .write(Table::Operator, "evacuate/z", Some("{}"));
        until(|| async { world.ask(&request("POST", "form")).await.ends_with("far") }).await;
        for _ in 0..4 {
            assert!(world.ask(&request("POST", "form")).await.ends_with("far"));
        }
        // Whoever reads the table later keeps to it as well, and so does a replica that is listed later.
        let world = world.restarted().await;
        world.list_all();
        until(|| async { world.get(8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
        let before = world.replicas[0].requests().len();
        for _ in 0..4 {
            assert!(world.ask(&request("POST", "form")).await.ends_with("far"));
        }
        assert_eq!(world.replicas[0].requests().len(), before);
        world.tables.write(Table::Operator, "evacuate/z", None);
        until(|| async { world.ask(&request("POST", "form")).await.ends_with("near") }).await;
    });
}

#[test]
fn with_all_zones_evacuated_requests_are_refused_at_once() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("near")]).await;
        world
            .tables
            .write(Table::Operator, "evacuate/z", Some("{}"));
        until(|| async {
            let answer = world.ask(&request("POST", "form")).await;
            answer.starts_with("HTTP/1.1 503 ")
        })
        .await;
    });
}

#[test]
fn a_cold_replica_gets_no_more_requests_than_it_bears() {
    run(async {
        let warmup = Warmup {
            ms: 5_000,
            per_s: 10.0,
        };
        let shape = Shape {
            warmup: Some(warmup),
            ..Shape::of(RouteKind::Idempotent)
        };
        let world = World::start(shape, vec![well("near"), well("far")]).await;
        world.cold_for(0, 60_000);
        world.tables.write(Table::Replicas, &id(0), Some("ready"));
        let entry = world.entry.entry();
        let is_cold = || {
            let replicas = entry.replicas.borrow();
            let listed = replicas.key(&id(0)).and_then(|it| replicas.get(it));
            listed.is_some_and(|it| it.cold(entry.node.clock.now()))
        };
        until(|| async { is_cold() }).await;
        let before = world.replicas[0].requests().len();
        let clock = Clock::start();
        for _ in 0..60 {
            let answer = world.ask(&request("POST", "form")).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
        let cold = world.replicas[0].requests().len() - before;
        let most = 1.0 + clock.now().since(Time::ZERO).as_secs_f64() * warmup.per_s;
        assert!(cold as f64 <= most, "{cold} of {most}");
        // Once it is warm again it gets all of them, as it is nearer.
        world.cold_for(0, 0);
        world.tables.write(Table::Replicas, &id(0), Some("ready"));
        until(|| async {
            let mut near = true;
            for _ in 0..4 {
                near &= world.ask(&request("POST", "form")).await.ends_with("near");
            }
            near
        })
        .await;
    });
}
