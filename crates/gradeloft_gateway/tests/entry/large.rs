//! Records that take long to come from a peer.
//!
//! Users saw requests answered by a configuration that had been replaced many seconds before, for as
//! long as half a minute. The operator confirmed a configuration of most of a megabyte; entries whose
//! reads of the store brought nothing asked a peer for it; after 1.5 s in which not all of it had come
//! over a link that many shared, each threw away what it had and asked again from the first byte. The
//! peer's link stayed full, and nobody got anything.
//!
//! What proved it: one entry sent 4.7 MB a second over a link of 5 MB a second for 35 s without a pause,
//! each of 24 processes of its availability zone received about 0.2 MB a second all that time, and their
//! metric `config_version` stood still. A record above the largest frame never came from a peer at all.

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
    tables::{Mood, Tables},
};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, Loads, Presence, Sender},
    frame::{Absence, Call, Reply, Role, Table},
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};

use crate::support::{Shape, World, address, ok, run, until};

/// Bytes of a large configuration.
const LARGE: usize = 700_000;
/// Speed of the narrow link, in bytes a second: a large configuration takes about 3 s.
const NARROW: u64 = 233_000;
/// Instances at which the first entry is reached over a link.
const BEHIND_LINK: u8 = 50;
const BEHIND_OTHER: u8 = 51;
/// Instance of a peer that answers nothing.
const SILENT: u8 = 90;

/// A configuration of `bytes` bytes.
fn configuration(version: u64, bytes: usize) -> String {
    let number = version.to_string();
    "0".repeat(bytes - number.len()) + &number
}

async fn world() -> World {
    let well = vec![vec![Step::Read, ok("receipt")]];
    World::start(Shape::of(RouteKind::Once), vec![well]).await
}

fn refusing() -> Rc<Tables> {
    let tables = Rc::new(Tables::default());
    tables.mood.set(Mood::Refusing);
    tables
}

/// An entry, reached only over a link of a certain speed.
struct Link {
    links: Arc<Links>,
    telling: JoinHandle<()>,
    _relay: Relay,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.telling.abort();
    }
}

impl Link {
    /// Stands at the instance `at` for an entry, and tells the instances `to` again and again how far that
    /// one's copy of the operator's table goes.
    async fn start(entry: &Handle, at: u8, to: &[u8], links: Arc<Links>) -> Link {
        let at = SocketAddr::from((address(at), 7700));
        let node = Rc::clone(&entry.entry().node);
        let target = SocketAddr::from((node.settings().address, 7700));
        let relay = Relay::start_at(Arc::clone(&links), at, target).unwrap();
        let telling = tell(node, at, to).await;
        Link {
            links,
            telling,
            _relay: relay,
        }
    }

    /// Records of [`LARGE`] bytes that crossed it.
    fn crossed(&self) -> f64 {
        self.links.crossed() as f64 / LARGE as f64
    }
}

/// Tells from `at` how far an entry's copy of the operator's table goes, again and again.
async fn tell(node: Rc<Node>, at: SocketAddr, to: &[u8]) -> JoinHandle<()> {
    let socket = UdpSocket::bind(at).await.unwrap();
    let to = to.to_vec();
    actix_rt::spawn(async move {
        loop {
            let told = codec::body(&datagram(node.end(Table::Operator)));
            for to in &to {
                socket.send_to(&told, (address(*to), 7700)).await.unwrap();
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// A peer that says it has what an entry has, and answers nothing; gives how many connections it got.
async fn silent(entry: &Handle, at: u8, to: &[u8]) -> Rc<Cell<usize>> {
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
    tell(Rc::clone(&entry.entry().node), at, to).await;
    connections
}

/// Links of which the one of the entry `last` carries so much.
fn links(last: u8, bytes_per_s: u64) -> Arc<Links> {
    let links = Arc::new(Links::default());
    links.set(address(last).into(), bytes_per_s);
    links
}

fn datagram(operator: u64) -> Datagram {
    Datagram {
        incarnation: 1,
        zone: "z".to_owned(),
        ends: [0, operator, 0],
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store: Access::Served,
            asks: false,
            loads: Loads::default(),
            entries: Vec::new(),
            switched: Vec::new(),
        },
    }
}

async fn in_force(entry: &Handle, version: u64) {
    until(|| async { entry.entry().config_version() == version }).await;
}

#[test]
fn a_large_record_comes_over_a_narrow_link_and_once() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let link = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        in_force(&follower, 7).await;
        let crossed = link.crossed();
        assert!(crossed < 1.3, "the record crossed {crossed} times");
    });
}

#[test]
fn a_record_larger_than_a_frame_comes_from_a_peer() {
    run(async {
        let world = world().await;
        let follower = world.another(2, &refusing()).await;
        in_force(&follower, 1).await;
        let large = configuration(9, 1_500_000);
        world.tables.write(Table::Operator, "config", Some(&large));
        in_force(&follower, 9).await;
    });
}

#[test]
fn what_came_from_one_peer_goes_on_from_another() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let first = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        until(|| async { 0.5 < first.crossed() }).await;
        let links = Arc::clone(&first.links);
        drop(first);
        let second = Link::start(&world.entry, BEHIND_OTHER, &[2], links).await;
        in_force(&follower, 7).await;
        let crossed = second.crossed();
        assert!(crossed < 1.3, "the record crossed {crossed} times");
    });
}

#[test]
fn small_news_do_not_wait_for_a_large_record_before_them() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let link = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        until(|| async { 0.1 < link.crossed() }).await;
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        let node = &follower.entry().node;
        let named = || {
            let records = node.records(Table::Operator);
            records.iter().any(|it| it.key == "weights/m")
        };
        until(|| async { named() }).await;
        assert_eq!(follower.entry().config_version(), 1, "still on its way");
        assert_eq!(
            node.end(Table::Operator),
            1,
            "nothing is claimed that was not taken in"
        );
        in_force(&follower, 7).await;
        assert_eq!(node.end(Table::Operator), 3);
    });
}

#[test]
fn a_peer_gives_to_few_at_once() {
    run(async {
        let world = world().await;
        let node = &world.entry.entry().node;
        let large = configuration(7, 3_000_000);
        world.tables.write(Table::Operator, "config", Some(&large));
        until(|| async { node.end(Table::Operator) == 2 }).await;
        let call = Call::Parts {
            table: Table::Operator,
            offset: 1,
            start: 0,
            caller: Role::Entry,
        };
        let own = node.peer_address(address(1));
        let pool = Pool::new(Clock::start(), MAX_FRAME, Duration::from_secs(1), None);
        let mut given = Vec::new();
        for _ in 0..2 {
            let mut incoming = pool.open(&own, Lane::Bulk, &call).await.unwrap();
            let part = incoming.next().await.unwrap();
            assert!(matches!(part, Some(Reply::Part(_))), "{part:?}");
            given.push(incoming);
        }
        let further = pool.call(&own, Lane::Bulk, &call).await;
        assert_eq!(further, Ok(Reply::Absent(Absence::Busy)));
        // A slot is free again once whoever had it has gone.
        given.pop();
        until(|| async {
            let again = pool.call(&own, Lane::Bulk, &call).await;
            matches!(again, Ok(Reply::Part(_)))
        })
        .await;
        let unknown = Call::Parts {
            table: Table::Operator,
            offset: 9,
            start: 0,
            caller: Role::Entry,
        };
        let unknown = pool.call(&own, Lane::Bulk, &unknown).await;
        assert_eq!(unknown, Ok(Reply::Absent(Absence::NotHeld)));
    });
}

#[test]
fn a_record_that_is_superseded_on_its_way_comes_nevertheless() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let link = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        for version in [7, 8] {
            let large = configuration(version, LARGE / 2);
            world.tables.write(Table::Operator, "config", Some(&large));
            until(|| async { 0.1 < link.crossed() }).await;
        }
        // While each change takes longer than the time until the next, none would ever come else.
        in_force(&follower, 7).await;
        in_force(&follower, 8).await;
        assert_eq!(follower.entry().node.end(Table::Operator), 3);
    });
}

#[test]
fn those_that_have_a_record_give_it_on() {
    run(async {
        let world = world().await;
        let lasts: Vec<u8> = (2..8).collect();
        let mut followers = Vec::new();
        for last in &lasts {
            let seed = BEHIND_LINK + last;
            followers.push(world.follower(*last, seed, &refusing()).await);
        }
        let speed = 1_400_000;
        let first = Link::start(&world.entry, BEHIND_LINK, &lasts, links(1, speed)).await;
        let mut others = Vec::new();
        for (last, follower) in lasts.iter().zip(&followers) {
            let to: Vec<u8> = lasts.iter().copied().filter(|it| it != last).collect();
            let links = links(*last, speed);
            others.push(Link::start(follower, BEHIND_LINK + last, &to, links).await);
        }
        for follower in &followers {
            in_force(follower, 1).await;
        }
        let clock = Clock::start();
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        for follower in &followers {
            in_force(follower, 7).await;
        }
        println!(
            "{} followers: {:?}",
            lasts.len(),
            clock.now().since(Time::ZERO)
        );
        let crossed = first.crossed();
        assert!(crossed < 5.5, "the first one gave it {crossed} times");
        let given: f64 = others.iter().map(Link::crossed).sum();
        assert!(0.9 < given, "the others gave it {given} times");
    });
}

#[test]
fn records_that_take_long_together_come_in_one_answer() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let link = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        // Each of them is small enough to come with its key.
        for version in 2..14 {
            let small = configuration(version, 50_000);
            let key = format!("config-{version}");
            world.tables.write(Table::Operator, &key, Some(&small));
        }
        in_force(&follower, 13).await;
        let crossed = link.crossed();
        assert!(crossed < 1.3, "they crossed {crossed} times");
    });
}

#[test]
fn what_the_store_brings_meanwhile_is_not_waited_for() {
    run(async {
        let world = world().await;
        let store = refusing();
        let follower = world.follower(2, BEHIND_LINK, &store).await;
        // The record alone takes longer than the test may.
        let links = links(1, LARGE as u64 / 12);
        let link = Link::start(&world.entry, BEHIND_LINK, &[2], links).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        store.write(Table::Operator, "config", Some("1"));
        store.write(Table::Operator, "config", Some(&large));
        world.tables.write(Table::Operator, "config", Some(&large));
        world.tables.write(Table::Operator, "weights/m", Some("2"));
        until(|| async { 0.05 < link.crossed() }).await;
        // It brings the large record, and not the one behind it.
        store.mood.set(Mood::Well);
        let node = &follower.entry().node;
        until(|| async { node.end(Table::Operator) == 3 }).await;
        assert_eq!(follower.entry().config_version(), 7);
        let crossed = link.crossed();
        assert!(crossed < 0.9, "{crossed} of it came from the peer too");
    });
}

#[test]
fn a_peer_that_did_not_answer_is_left_alone_while_others_have_it() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        let first = Link::start(&world.entry, BEHIND_LINK, &[2], links(1, NARROW)).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        until(|| async { 0.1 < first.crossed() }).await;
        let connections = silent(&world.entry, SILENT, &[2]).await;
        until(|| async { 0.3 < first.crossed() }).await;
        drop(first);
        until(|| async { connections.get() == 1 }).await;
        let links = links(1, 4 * NARROW);
        let _second = Link::start(&world.entry, BEHIND_OTHER, &[2], links).await;
        in_force(&follower, 7).await;
        assert_eq!(connections.get(), 1);
    });
}

/// Users saw a configuration stay out of force for many seconds at entries whose own links were well: the
/// peer that they took it from was behind a link that carried little, and gave so much each second that it
/// never counted as late. A peer that had all of it and a free link was not asked meanwhile.
#[test]
fn a_peer_that_gives_slowly_is_left_for_one_that_gives_quickly() {
    run(async {
        let world = world().await;
        let follower = world.follower(2, BEHIND_LINK, &refusing()).await;
        // A part each 0.8 s: the record takes twice as long as the test may.
        let slow = links(1, LARGE as u64 / 18);
        let slow = Link::start(&world.entry, BEHIND_LINK, &[2], slow).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        until(|| async { 0.1 < slow.crossed() }).await;
        let quick = links(1, 10 * NARROW);
        let _quick = Link::start(&world.entry, BEHIND_OTHER, &[2], quick).await;
        in_force(&follower, 7).await;
    });
}

/// Users saw the same at entries that asked a peer whose link was free: it gave to as many as it may, all of
/// them behind links that carried little, and sent everybody else away for as long as that took.
#[test]
fn those_that_take_slowly_do_not_keep_others_waiting() {
    run(async {
        let world = world().await;
        let mut slow = Vec::new();
        for last in [2, 3] {
            let seed = BEHIND_LINK + last;
            let follower = world.follower(last, seed, &refusing()).await;
            let links = links(1, LARGE as u64 / 18);
            let link = Link::start(&world.entry, seed, &[last], links).await;
            in_force(&follower, 1).await;
            slow.push((follower, link));
        }
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        for (_, link) in &slow {
            until(|| async { 0.02 < link.crossed() }).await;
        }
        let quick = world.another(4, &refusing()).await;
        in_force(&quick, 7).await;
    });
}
