//! An entry that knows that it lacks what the operator wrote last.
//!
//! Requests were handled by a configuration that the operator had replaced seconds before. A large one was
//! on its way to the entries of some regions for four to six seconds. They heard at once, in the datagrams
//! of entries that had it, that these went further, and asked for what they lacked. Meanwhile they went on
//! as if they lacked nothing: routed by the configuration before, answered 404 and 401 for routes and keys
//! that the newer one has, said that they were ready, and were named to callers beside entries that had
//! it.
//!
//! Evidence: an entry of a region far from the store answered by an older configuration 5.1 s after a newer
//! one was confirmed, while others answered by the newer one; and nothing that an entry answers depends on
//! how long it has known that peers go further.

use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, Loads, Presence, Sender},
    frame::Table,
};
use tokio::net::UdpSocket;

use crate::support::{Shape, World, address, ok, request, run, until};

/// Longer than an entry that lacks something goes on as if nothing was.
const LONG: Duration = Duration::from_millis(2_500);

/// How far the operator's table of a test goes, and how far with one record more.
const END: u64 = 1;
const FURTHER: u64 = 2;

fn well(body: &str) -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok(body)]]
}

/// Another entry, which says again and again how far its copy of the operator's table goes, and answers
/// no calls.
async fn peer(last: u8, end: Rc<Cell<u64>>) -> Ipv4Addr {
    let socket = UdpSocket::bind((address(last), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let datagram = Datagram {
                incarnation: 1,
                zone: "z".to_owned(),
                ends: [0, end.get(), 0],
                unconfirmed_ms: [u16::MAX; 3],
                sender: Sender::Entry {
                    presence: Presence::Ready,
                    // So that reading the store is left to the entry, which catches up by it.
                    store: Access::Unserved,
                    asks: false,
                    loads: Loads::default(),
                    entries: Vec::new(),
                    switched: Vec::new(),
                },
            };
            let told = codec::body(&datagram);
            // Refused while the entry is not up.
            let _ = socket.send_to(&told, (address(1), 7700)).await;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    address(last)
}

/// Peers on addresses from 3 on, of which each goes as far as `ends` says.
async fn peers(ends: &[u64]) {
    for (last, end) in (3..).zip(ends) {
        peer(last, Rc::new(Cell::new(*end))).await;
    }
}

/// Waits until the entry has known for this long that it lacks something.
async fn behind(world: &World, at_least: Duration) {
    let node = &world.entry.entry().node;
    let known = || {
        node.behind(Table::Operator)
            .is_some_and(|it| at_least <= it)
    };
    until(|| async { known() }).await;
}

/// Writes the record that the entry lacks, and waits until it has it.
async fn catch_up(world: &World) {
    world.tables.write(Table::Operator, "config", Some("2"));
    until(|| async { world.entry.entry().config_version() == 2 }).await;
}

/// A request that would keep its connection, and its answer; ends only if the entry closes.
async fn ask_keeping(world: &World, request: &str) -> String {
    world
        .ask(&request.replace("Connection: close\r\n", ""))
        .await
}

fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    for part in ["Retry-After: ", "Connection: close\r\n", r#""ran":"no""#] {
        assert!(answer.contains(part), "no {part} in {answer}");
    }
}

#[test]
fn what_newer_records_may_allow_is_not_denied() {
    run(async {
        let shape = Shape {
            body_bytes: 8,
            ..Shape::of(RouteKind::Once)
        };
        let world = World::start(shape, vec![well("never")]).await;
        let long_body = request("POST", "longer than that");
        let unknown_path = request("GET", "").replace("/r/x", "/added/x");
        let unknown_key = request("GET", "").replace("secret", "added");
        assert!(world.ask(&unknown_path).await.starts_with("HTTP/1.1 404 "));
        assert!(world.ask(&unknown_key).await.starts_with("HTTP/1.1 401 "));
        assert!(world.ask(&long_body).await.starts_with("HTTP/1.1 413 "));
        peers(&[FURTHER]).await;
        behind(&world, Duration::ZERO).await;
        assert_refused(&ask_keeping(&world, &unknown_path).await);
        assert_refused(&ask_keeping(&world, &unknown_key).await);
        assert_refused(&ask_keeping(&world, &long_body).await);
        catch_up(&world).await;
        assert!(world.ask(&unknown_path).await.starts_with("HTTP/1.1 404 "));
        assert!(world.ask(&unknown_key).await.starts_with("HTTP/1.1 401 "));
        assert_eq!(world.arrivals(), 0);
    });
}

#[test]
fn an_entry_that_is_long_behind_most_others_leaves_callers_to_them() {
    run(async {
        let later = vec![Step::Read, ok("later")];
        let mut slow = vec![Step::Read, Step::Wait(LONG), ok("held")];
        // The second request may come on the connection of the first.
        slow.extend(later.clone());
        let world = World::start(Shape::of(RouteKind::Once), vec![vec![slow, later]]).await;
        let holding = request("POST", "form");
        let held = world.ask(&holding);
        let meanwhile = async {
            until(|| async { world.arrivals() == 1 }).await;
            peers(&[FURTHER, FURTHER]).await;
            until(|| async { !world.get(8002, "/ready").await.starts_with("HTTP/1.1 200") }).await;
            let named = world.get(8009, "/where").await;
            assert!(!named.contains(&format!("{}:", address(1))), "{named}");
            for other in [3, 4] {
                assert!(
                    named.contains(&format!("{}:8005", address(other))),
                    "{named}"
                );
            }
            assert_refused(&ask_keeping(&world, &request("GET", "")).await);
            assert_eq!(world.arrivals(), 1);
        };
        let (held, ()) = tokio::join!(held, meanwhile);
        assert!(held.ends_with("held"), "{held}");
        catch_up(&world).await;
        assert!(world.get(8002, "/ready").await.starts_with("HTTP/1.1 200"));
        let named = world.get(8009, "/where").await;
        assert!(named.contains(&format!("{}:8005", address(1))), "{named}");
        assert!(world.ask(&request("GET", "")).await.ends_with("later"));
    });
}

#[test]
fn an_entry_that_is_behind_as_most_others_are_serves_on() {
    run(async {
        let world = World::start(Shape::of(RouteKind::Once), vec![well("served")]).await;
        peers(&[FURTHER, END, END]).await;
        behind(&world, LONG).await;
        assert!(world.get(8002, "/ready").await.starts_with("HTTP/1.1 200"));
        assert!(world.ask(&request("GET", "")).await.ends_with("served"));
    });
}
