//! Entries whose copy of the operator's table lags behind their peers.
//!
//! Guards against serving requests by a replaced configuration. A large configuration takes four to
//! six seconds to reach the entries of some regions. Datagrams of peers announce it to these
//! entries at once, but without a check of the lag they keep routing by the previous one, answer
//! 404 and 401 for new routes and keys, report that they are ready and stay listed in lookups.
//!
//! Evidence: an entry in a region far from the store responded by the older configuration 5.1 s
//! after the newer one was confirmed, while other entries responded by the newer one, and no
//! response depended on how long the entry had been aware of its lag.

use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};

use gradeloft_policy::process::document::RouteKind;
use gradeloft_standin::scripted::Step;
use gradeloft_wire::{
    codec,
    datagram::{Datagram, Loads, Presence, Sender, StoreAccess},
    frame::Table,
    position::Position,
};
use tokio::net::UdpSocket;

use crate::support::{Harness, TestConfig, address, ok, request, run, wait_until};

/// Longer than a lagging entry keeps serving as usual.
const LONG_LAG: Duration = Duration::from_millis(2_500);

/// End offset of the operator's table at the start of a test.
const CURRENT_END: Position = Position::new(0, 1);
/// End offset of the operator's table with one more record.
const NEWER_END: Position = Position::new(0, 2);

fn ok_script(body: &str) -> Vec<Vec<Step>> {
    vec![vec![Step::Read, ok(body)]]
}

/// Starts a peer that periodically announces the end offset of its copy of the operator's table and
/// answers no calls.
async fn announcing_peer(octet: u8, end: Rc<Cell<Position>>) -> Ipv4Addr {
    let socket = UdpSocket::bind((address(octet), 7700)).await.unwrap();
    actix_rt::spawn(async move {
        loop {
            let datagram = Datagram {
                incarnation: 1,
                zone: "z".to_owned(),
                ends: [Position::START, end.get(), Position::START],
                kept: 0,
                unconfirmed_ms: [u16::MAX; 3],
                sender: Sender::Entry {
                    presence: Presence::Ready,
                    // Leaves reading the store to the entry, which catches up that way.
                    store: StoreAccess::Unserved,
                    wants_state: false,
                    loads: Loads::default(),
                    entries: Vec::new(),
                    switched: Vec::new(),
                },
            };
            let bytes = codec::encode_body(&datagram);
            // Fails while the entry isn't running.
            let _ = socket.send_to(&bytes, (address(1), 7700)).await;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    address(octet)
}

/// Starts a peer for each end offset in `ends`, on the addresses from 3 on.
async fn announcing_peers(ends: &[Position]) {
    for (octet, end) in (3..).zip(ends) {
        announcing_peer(octet, Rc::new(Cell::new(*end))).await;
    }
}

/// Waits until the entry has been aware of its lag for at least this long.
async fn wait_until_behind(harness: &Harness, at_least: Duration) {
    let node = &harness.entry.entry().node;
    let lag_reached = || {
        node.behind(Table::Operator)
            .is_some_and(|it| at_least <= it)
    };
    wait_until(|| async { lag_reached() }).await;
}

/// Writes the missing record and waits until the entry has applied it.
async fn catch_up(harness: &Harness) {
    harness.tables.write(Table::Operator, "config", Some("2"));
    wait_until(|| async { harness.entry.entry().config_version() == 2 }).await;
}

/// Sends a request that allows keep-alive and returns the response. Ends only if the entry closes
/// the connection.
async fn send_keep_alive(harness: &Harness, request: &str) -> String {
    harness
        .send(&request.replace("Connection: close\r\n", ""))
        .await
}

fn assert_refused(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    for part in ["Retry-After: ", "Connection: close\r\n", r#""ran":"no""#] {
        assert!(response.contains(part), "no {part} in {response}");
    }
}

#[test]
fn a_lagging_entry_answers_503_where_newer_records_might_allow_the_request() {
    run(async {
        let config = TestConfig {
            body_bytes: 8,
            ..TestConfig::of(RouteKind::Once)
        };
        let harness = Harness::start(config, vec![ok_script("never")]).await;
        let long_body = request("POST", "longer than that");
        let unknown_path = request("GET", "").replace("/r/x", "/added/x");
        let unknown_key = request("GET", "").replace("secret", "added");
        assert!(
            harness
                .send(&unknown_path)
                .await
                .starts_with("HTTP/1.1 404 ")
        );
        assert!(
            harness
                .send(&unknown_key)
                .await
                .starts_with("HTTP/1.1 401 ")
        );
        assert!(harness.send(&long_body).await.starts_with("HTTP/1.1 413 "));
        announcing_peers(&[NEWER_END]).await;
        wait_until_behind(&harness, Duration::ZERO).await;
        assert_refused(&send_keep_alive(&harness, &unknown_path).await);
        assert_refused(&send_keep_alive(&harness, &unknown_key).await);
        assert_refused(&send_keep_alive(&harness, &long_body).await);
        catch_up(&harness).await;
        assert!(
            harness
                .send(&unknown_path)
                .await
                .starts_with("HTTP/1.1 404 ")
        );
        assert!(
            harness
                .send(&unknown_key)
                .await
                .starts_with("HTTP/1.1 401 ")
        );
        assert_eq!(harness.request_count(), 0);
    });
}

#[test]
fn an_entry_that_lags_long_behind_most_peers_refuses_requests_and_is_not_listed() {
    run(async {
        let second_response = vec![Step::Read, ok("later")];
        let mut first_script = vec![Step::Read, Step::Wait(LONG_LAG), ok("held")];
        // The second request may arrive on the connection of the first.
        first_script.extend(second_response.clone());
        let harness = Harness::start(
            TestConfig::of(RouteKind::Once),
            vec![vec![first_script, second_response]],
        )
        .await;
        let request_text = request("POST", "form");
        let response = harness.send(&request_text);
        let meanwhile = async {
            wait_until(|| async { harness.request_count() == 1 }).await;
            announcing_peers(&[NEWER_END, NEWER_END]).await;
            wait_until(|| async {
                !harness
                    .get(8002, "/ready")
                    .await
                    .starts_with("HTTP/1.1 200")
            })
            .await;
            let addresses = harness.get(8009, "/where").await;
            assert!(
                !addresses.contains(&format!("{}:", address(1))),
                "{addresses}"
            );
            for other in [3, 4] {
                assert!(
                    addresses.contains(&format!("{}:8005", address(other))),
                    "{addresses}"
                );
            }
            assert_refused(&send_keep_alive(&harness, &request("GET", "")).await);
            assert_eq!(harness.request_count(), 1);
        };
        let (response, ()) = tokio::join!(response, meanwhile);
        assert!(response.ends_with("held"), "{response}");
        catch_up(&harness).await;
        assert!(
            harness
                .get(8002, "/ready")
                .await
                .starts_with("HTTP/1.1 200")
        );
        let addresses = harness.get(8009, "/where").await;
        assert!(
            addresses.contains(&format!("{}:8005", address(1))),
            "{addresses}"
        );
        assert!(harness.send(&request("GET", "")).await.ends_with("later"));
    });
}

#[test]
fn an_entry_that_lags_like_most_peers_keeps_serving() {
    run(async {
        let harness =
            Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script("served")]).await;
        announcing_peers(&[NEWER_END, CURRENT_END, CURRENT_END]).await;
        wait_until_behind(&harness, LONG_LAG).await;
        assert!(
            harness
                .get(8002, "/ready")
                .await
                .starts_with("HTTP/1.1 200")
        );
        assert!(harness.send(&request("GET", "")).await.ends_with("served"));
    });
}
