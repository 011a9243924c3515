//! Records that take long to arrive from a peer.
//!
//! Guards against serving requests for up to half a minute by a replaced configuration. A
//! configuration of most of a megabyte is confirmed; entries that can't read it from the store
//! fetch it from a peer over a link that many share. Cause: an entry that had not received the
//! whole record within 1.5 s discarded the received bytes and started over, so the peer's link
//! stayed saturated and no entry got the record.
//!
//! Evidence: one entry sent 4.7 MB/s over a link of 5 MB/s for 35 s without a pause, each of 24
//! processes of its availability zone received about 0.2 MB/s all that time, and their metric
//! `config_version` didn't change. A record above the largest frame never arrived from a peer.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use gradeloft_daemon::{
    clock::Clock,
    transport::client::{Lane, Pool},
};
use gradeloft_gateway::{
    entry::Handle,
    node::{MAX_FRAME, Node},
};
use gradeloft_policy::{clock::Time, process::document::RouteKind};
use gradeloft_standin::{
    link::{Links, Relay},
    scripted::Step,
    tables::{StoreMode, Tables},
};
use gradeloft_wire::{
    codec,
    datagram::{Datagram, Loads, Presence, Sender, StoreAccess},
    frame::{Absence, Call, Reply, Role, Table},
    position::Position,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};

use crate::support::{Harness, TestConfig, address, ok, run, wait_until};

/// Size of a large configuration, in bytes.
const LARGE_BYTES: usize = 700_000;
/// Rate of the narrow link, in bytes per second: a large configuration takes about 3 s.
const NARROW_BYTES_PER_S: u64 = 233_000;
/// Last octets of the addresses at which the first entry is reachable over a link.
const BEHIND_LINK: u8 = 50;
const BEHIND_SECOND_LINK: u8 = 51;
/// Last octet of the address of a peer that answers no calls.
const UNRESPONSIVE: u8 = 90;

/// Returns a configuration of `bytes` bytes.
fn configuration(version: u64, bytes: usize) -> String {
    let number = version.to_string();
    "0".repeat(bytes - number.len()) + &number
}

async fn harness() -> Harness {
    let ok_script = vec![vec![Step::Read, ok("receipt")]];
    Harness::start(TestConfig::of(RouteKind::Once), vec![ok_script]).await
}

fn refusing_store() -> Rc<Tables> {
    let tables = Rc::new(Tables::default());
    tables.mode.set(StoreMode::Refusing);
    tables
}

/// An address at which an entry is reachable only over a rate-limited link.
struct Link {
    links: Arc<Links>,
    announcer: JoinHandle<()>,
    _relay: Relay,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}

impl Link {
    /// Relays the address `at` to an entry, and periodically announces the end offset of the
    /// entry's copy of the operator's table to the instances `to`.
    async fn start(entry: &Handle, at: u8, to: &[u8], links: Arc<Links>) -> Link {
        let at = SocketAddr::from((address(at), 7700));
        let node = Rc::clone(&entry.entry().node);
        let target = SocketAddr::from((node.settings().address, 7700));
        let relay = Relay::start_at(Arc::clone(&links), at, target).unwrap();
        let announcer = announce(node, at, to).await;
        Link {
            links,
            announcer,
            _relay: relay,
        }
    }

    /// Returns the transferred bytes, in records of [`LARGE_BYTES`] bytes.
    fn records_sent(&self) -> f64 {
        self.links.bytes_sent() as f64 / LARGE_BYTES as f64
    }
}

/// Periodically announces the end offset of an entry's copy of the operator's table from `at`.
async fn announce(node: Rc<Node>, at: SocketAddr, to: &[u8]) -> JoinHandle<()> {
    let socket = UdpSocket::bind(at).await.unwrap();
    let to = to.to_vec();
    actix_rt::spawn(async move {
        loop {
            let bytes = codec::encode_body(&datagram(node.end(Table::Operator)));
            for to in &to {
                socket.send_to(&bytes, (address(*to), 7700)).await.unwrap();
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// Starts a peer that announces the same end offset as an entry but answers no calls. Returns the
/// number of connections that it has accepted.
async fn unresponsive_peer(entry: &Handle, at: u8, to: &[u8]) -> Rc<Cell<usize>> {
    let at = SocketAddr::from((address(at), 7700));
    let listener = TcpListener::bind(at).await.unwrap();
    let connections = Rc::new(Cell::new(0));
    let counted = Rc::clone(&connections);
    actix_rt::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
            counted.set(open.len());
        }
    });
    announce(Rc::clone(&entry.entry().node), at, to).await;
    connections
}

/// Returns links that limit the entry with the last octet `octet` to the given rate.
fn links(octet: u8, bytes_per_s: u64) -> Arc<Links> {
    let links = Arc::new(Links::default());
    links.set(address(octet).into(), bytes_per_s);
    links
}

fn datagram(operator: Position) -> Datagram {
    Datagram {
        incarnation: 1,
        zone: "z".to_owned(),
        ends: [Position::START, operator, Position::START],
        kept: 0,
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store: StoreAccess::Served,
            wants_state: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    }
}

async fn wait_for_config(entry: &Handle, version: u64) {
    wait_until(|| async { entry.entry().config_version() == version }).await;
}

#[test]
fn a_large_record_crosses_a_narrow_link_only_once() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let link = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_for_config(&follower, 7).await;
        let records_sent = link.records_sent();
        assert!(
            records_sent < 1.3,
            "the record crossed the link {records_sent} times"
        );
    });
}

#[test]
fn a_record_larger_than_a_frame_arrives_from_a_peer() {
    run(async {
        let harness = harness().await;
        let follower = harness.add_entry(2, &refusing_store()).await;
        wait_for_config(&follower, 1).await;
        let large = configuration(9, 1_500_000);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_for_config(&follower, 9).await;
    });
}

#[test]
fn a_transfer_from_one_peer_continues_from_another() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let first = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_until(|| async { 0.5 < first.records_sent() }).await;
        let links = Arc::clone(&first.links);
        drop(first);
        let second = Link::start(&harness.entry, BEHIND_SECOND_LINK, &[2], links).await;
        wait_for_config(&follower, 7).await;
        let records_sent = second.records_sent();
        assert!(
            records_sent < 1.3,
            "the record crossed the link {records_sent} times"
        );
    });
}

#[test]
fn small_records_do_not_wait_for_an_earlier_large_record() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let link = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_until(|| async { 0.1 < link.records_sent() }).await;
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        let node = &follower.entry().node;
        let has_weights = || {
            let records = node.records(Table::Operator);
            records.iter().any(|it| it.key == "weights/m")
        };
        wait_until(|| async { has_weights() }).await;
        assert_eq!(
            follower.entry().config_version(),
            1,
            "the large record is still in transfer"
        );
        assert_eq!(
            node.end(Table::Operator),
            Position::new(0, 1),
            "the announced end must not include records that have not arrived"
        );
        wait_for_config(&follower, 7).await;
        assert_eq!(node.end(Table::Operator), Position::new(0, 3));
    });
}

#[test]
fn a_peer_limits_concurrent_transfers() {
    run(async {
        let harness = harness().await;
        let node = &harness.entry.entry().node;
        let large = configuration(7, 3_000_000);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_until(|| async { node.end(Table::Operator).offset == 2 }).await;
        let call = Call::Parts {
            table: Table::Operator,
            position: Position::new(0, 1),
            start: 0,
            caller: Role::Entry,
        };
        let own = node.peer_address(address(1));
        let pool = Pool::new(Clock::start(), MAX_FRAME, Duration::from_secs(1), None);
        let mut transfers = Vec::new();
        for _ in 0..2 {
            let mut incoming = pool.open(&own, Lane::Bulk, &call).await.unwrap();
            let part = incoming.next().await.unwrap();
            assert!(matches!(part, Some(Reply::Part(_))), "{part:?}");
            transfers.push(incoming);
        }
        let third_call = pool.call(&own, Lane::Bulk, &call).await;
        assert_eq!(third_call, Ok(Reply::Absent(Absence::Busy)));
        // Dropping a transfer frees its slot.
        transfers.pop();
        wait_until(|| async {
            let reply = pool.call(&own, Lane::Bulk, &call).await;
            matches!(reply, Ok(Reply::Part(_)))
        })
        .await;
        let missing = Call::Parts {
            table: Table::Operator,
            position: Position::new(0, 9),
            start: 0,
            caller: Role::Entry,
        };
        let reply = pool.call(&own, Lane::Bulk, &missing).await;
        assert_eq!(reply, Ok(Reply::Absent(Absence::NotHeld)));
    });
}

#[test]
fn a_record_superseded_during_its_transfer_still_arrives() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let link = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        for version in [7, 8] {
            let large = configuration(version, LARGE_BYTES / 2);
            harness
                .tables
                .write(Table::Operator, "config", Some(&large));
            wait_until(|| async { 0.1 < link.records_sent() }).await;
        }
        // Otherwise no record would ever arrive while transfers take longer than the time between
        // changes.
        wait_for_config(&follower, 7).await;
        wait_for_config(&follower, 8).await;
        assert_eq!(
            follower.entry().node.end(Table::Operator),
            Position::new(0, 3)
        );
    });
}

#[test]
fn followers_forward_a_record_to_each_other() {
    run(async {
        let harness = harness().await;
        let octets: Vec<u8> = (2..8).collect();
        let mut followers = Vec::new();
        for octet in &octets {
            let seed = BEHIND_LINK + octet;
            followers.push(
                harness
                    .add_entry_with_seed(*octet, seed, &refusing_store())
                    .await,
            );
        }
        let bytes_per_s = 1_400_000;
        let first = Link::start(&harness.entry, BEHIND_LINK, &octets, links(1, bytes_per_s)).await;
        let mut others = Vec::new();
        for (octet, follower) in octets.iter().zip(&followers) {
            let to: Vec<u8> = octets.iter().copied().filter(|it| it != octet).collect();
            let links = links(*octet, bytes_per_s);
            others.push(Link::start(follower, BEHIND_LINK + octet, &to, links).await);
        }
        for follower in &followers {
            wait_for_config(follower, 1).await;
        }
        let clock = Clock::start();
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        for follower in &followers {
            wait_for_config(follower, 7).await;
        }
        println!(
            "{} followers: {:?}",
            octets.len(),
            clock.now().since(Time::ZERO)
        );
        let records_sent = first.records_sent();
        assert!(
            records_sent < 5.5,
            "the first entry sent the record {records_sent} times"
        );
        let sent_by_followers: f64 = others.iter().map(Link::records_sent).sum();
        assert!(
            0.9 < sent_by_followers,
            "the followers sent the record {sent_by_followers} times"
        );
    });
}

#[test]
fn many_small_records_arrive_in_one_response() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let link = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        // Each record is small enough to arrive with its key.
        for version in 2..14 {
            let small = configuration(version, 50_000);
            let key = format!("config-{version}");
            harness.tables.write(Table::Operator, &key, Some(&small));
        }
        wait_for_config(&follower, 13).await;
        let records_sent = link.records_sent();
        assert!(
            records_sent < 1.3,
            "the records crossed the link {records_sent} times"
        );
    });
}

#[test]
fn a_transfer_ends_when_the_store_returns_the_record() {
    run(async {
        let harness = harness().await;
        let store = refusing_store();
        let follower = harness.add_entry_with_seed(2, BEHIND_LINK, &store).await;
        // The transfer of the record takes longer than the test's time limit.
        let links = links(1, LARGE_BYTES as u64 / 12);
        let link = Link::start(&harness.entry, BEHIND_LINK, &[2], links).await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        store.write(Table::Operator, "config", Some("1"));
        store.write(Table::Operator, "config", Some(&large));
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        harness
            .tables
            .write(Table::Operator, "weights/m", Some("2"));
        wait_until(|| async { 0.05 < link.records_sent() }).await;
        // The follower's store has the large record but not the record after it.
        store.mode.set(StoreMode::Healthy);
        let node = &follower.entry().node;
        wait_until(|| async { node.end(Table::Operator).offset == 3 }).await;
        assert_eq!(follower.entry().config_version(), 7);
        let records_sent = link.records_sent();
        assert!(
            records_sent < 0.9,
            "the peer sent {records_sent} of the record"
        );
    });
}

#[test]
fn a_peer_that_did_not_respond_is_avoided_while_others_have_the_record() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        let first = Link::start(
            &harness.entry,
            BEHIND_LINK,
            &[2],
            links(1, NARROW_BYTES_PER_S),
        )
        .await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_until(|| async { 0.1 < first.records_sent() }).await;
        let connections = unresponsive_peer(&harness.entry, UNRESPONSIVE, &[2]).await;
        wait_until(|| async { 0.3 < first.records_sent() }).await;
        drop(first);
        wait_until(|| async { connections.get() == 1 }).await;
        // The rest of the record has to arrive before the peer may be asked again.
        let links = links(1, 40 * NARROW_BYTES_PER_S);
        let _second = Link::start(&harness.entry, BEHIND_SECOND_LINK, &[2], links).await;
        wait_for_config(&follower, 7).await;
        assert_eq!(connections.get(), 1);
    });
}

/// Guards against a configuration that is delayed for many seconds at entries with fast links:
/// their peer is behind a narrow link and sends just enough each second not to count as late, while
/// a peer with the whole record and a free link isn't asked.
#[test]
fn a_slow_peer_is_replaced_by_a_fast_one() {
    run(async {
        let harness = harness().await;
        let follower = harness
            .add_entry_with_seed(2, BEHIND_LINK, &refusing_store())
            .await;
        // One part each 0.8 s: the record takes twice the test's time limit.
        let slow = links(1, LARGE_BYTES as u64 / 18);
        let slow = Link::start(&harness.entry, BEHIND_LINK, &[2], slow).await;
        wait_for_config(&follower, 1).await;
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        wait_until(|| async { 0.1 < slow.records_sent() }).await;
        let quick = links(1, 10 * NARROW_BYTES_PER_S);
        let _quick = Link::start(&harness.entry, BEHIND_SECOND_LINK, &[2], quick).await;
        wait_for_config(&follower, 7).await;
    });
}

/// Guards against the same delay at entries whose peer has a free link: all its transfer slots are
/// taken by entries behind narrow links, and the peer refuses everyone else until they finish.
#[test]
fn slow_receivers_do_not_block_others() {
    run(async {
        let harness = harness().await;
        let mut slow = Vec::new();
        for octet in [2, 3] {
            let seed = BEHIND_LINK + octet;
            let follower = harness
                .add_entry_with_seed(octet, seed, &refusing_store())
                .await;
            let links = links(1, LARGE_BYTES as u64 / 18);
            let link = Link::start(&harness.entry, seed, &[octet], links).await;
            wait_for_config(&follower, 1).await;
            slow.push((follower, link));
        }
        let large = configuration(7, LARGE_BYTES);
        harness
            .tables
            .write(Table::Operator, "config", Some(&large));
        for (_, link) in &slow {
            wait_until(|| async { 0.02 < link.records_sent() }).await;
        }
        let quick = harness.add_entry(4, &refusing_store()).await;
        wait_for_config(&quick, 7).await;
    });
}
