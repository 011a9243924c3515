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

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use gradeloft_gateway::entry::Handle;
use gradeloft_policy::process::document::Kind;
use gradeloft_standin::{
    link::{Links, Relay},
    scripted::Step,
    tables::{Mood, Tables},
};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, Presence, Sender},
    frame::Table,
};
use tokio::net::UdpSocket;

use crate::support::{Shape, World, address, ok, run, until};

/// Bytes of a large configuration.
const LARGE: usize = 700_000;
/// Speed of the narrow link, in bytes a second: a large configuration takes about 3 s.
const NARROW: u64 = 233_000;
/// Instance at which the first entry is reached over the narrow link.
const BEHIND_LINK: u8 = 50;

/// A configuration of `bytes` bytes.
fn configuration(version: u64, bytes: usize) -> String {
    let number = version.to_string();
    "0".repeat(bytes - number.len()) + &number
}

async fn world() -> World {
    let well = vec![vec![Step::Read, ok("receipt")]];
    World::start(Shape::of(Kind::Once), vec![well]).await
}

fn refusing() -> Rc<Tables> {
    let tables = Rc::new(Tables::default());
    tables.mood.set(Mood::Refusing);
    tables
}

/// The world's entry, reached only over a link of a certain speed.
struct Link {
    links: Arc<Links>,
    _relay: Relay,
}

impl Link {
    /// Tells `to` again and again how far the first entry's copy of the operator's table goes.
    async fn start(world: &World, to: u8, bytes_per_s: u64) -> Link {
        let links = Arc::new(Links::default());
        links.set(address(1).into(), bytes_per_s);
        let at = SocketAddr::from((address(BEHIND_LINK), 7700));
        let target = SocketAddr::from((address(1), 7700));
        let relay = Relay::start_at(Arc::clone(&links), at, target).unwrap();
        let socket = UdpSocket::bind(at).await.unwrap();
        let node = Rc::clone(&world.entry.entry().node);
        actix_rt::spawn(async move {
            loop {
                let told = codec::body(&datagram(node.end(Table::Operator)));
                socket.send_to(&told, (address(to), 7700)).await.unwrap();
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        });
        Link {
            links,
            _relay: relay,
        }
    }
}

fn datagram(operator: u64) -> Datagram {
    Datagram {
        incarnation: 1,
        zone: "z".to_owned(),
        ends: [0, operator, 0],
        sender: Sender::Entry {
            presence: Presence::Ready,
            store: Access::Served,
            loads: Vec::new(),
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
        let link = Link::start(&world, 2, NARROW).await;
        in_force(&follower, 1).await;
        let large = configuration(7, LARGE);
        world.tables.write(Table::Operator, "config", Some(&large));
        in_force(&follower, 7).await;
        let crossed = link.links.crossed();
        assert!(
            crossed < LARGE as u64 * 13 / 10,
            "{crossed} bytes crossed for a record of {LARGE}"
        );
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
