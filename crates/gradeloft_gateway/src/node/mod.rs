//! What entries and agents share: copies of the platform's tables, peers, datagrams.
//!
//! - [`ages`]: since when records count as written.
//! - [`abridged`]: the operator's records without what only entries need.
//! - [`confirmed`]: until when each copy is known to have been whole.
//! - [`unreadable`]: records that other writers left, and that nothing can be made of.
//! - [`parts`]: large values, which processes give each other in parts.
//! - [`records`]: what peers bring of the tables, and what they are given.
//! - [`tables`]: who reads the tables from the store.

pub mod abridged;
pub mod ages;
pub mod confirmed;
pub mod parts;
pub mod records;
pub mod tables;
pub mod unreadable;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::Rc,
    time::{Duration, SystemTime},
};

use gradeloft_daemon::{
    clock::{Clock, Timers},
    scope::Scope,
    transport::client::Pool,
};
use gradeloft_platform::fleet::{Decoder, Directory, Engine, Headers, Origin, Store};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Mirror, Record},
        transfer::UploadSlots,
        write_times::WriteTimes,
    },
};
use gradeloft_wire::{
    codec,
    datagram::{Datagram, MAX_BYTES, Sender},
    frame::Table,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::warn;
use tokio::{net::UdpSocket, sync::Notify};

use abridged::Brief;
use ages::Disturbances;
use records::Inbox;
use tables::{Reading, Source};

use crate::{
    logs::{Logs, Topic},
    metrics::{Metrics, Reason},
    settings::Settings,
    traffic::{Purpose, Reach, Traffic},
};

/// Largest frame between processes, in bytes: what [`records`] puts into one, and room for its keys.
pub const MAX_FRAME: usize = 1 << 20;
/// Time to connect to a peer: far above the links' delays.
const PEER_CONNECT: Duration = Duration::from_millis(500);

/// What the composition root gives a process: adapters to its platform.
#[derive(Clone)]
pub struct Platform {
    /// Tables.
    pub store: Rc<dyn Store>,
    /// Reads the platform's records.
    pub decoder: Rc<dyn Decoder>,
    /// Answers to questions for addresses and readiness.
    pub directory: Rc<dyn Directory>,
    /// Origin of weights.
    pub origin: Rc<dyn Origin>,
    /// Engine beside this process, for agents.
    pub engine: Option<Rc<dyn Engine>>,
    /// Names of headers.
    pub headers: Headers,
}

/// Decides who reads the tables from the store.
pub trait Election {
    /// Whether this process is to read a table.
    fn reads(&self, table: Table) -> bool;
    /// Pause between two reads of a table, of which `pause` is the shortest.
    fn pause(&self, _table: Table, pause: Duration) -> Duration {
        pause
    }
    /// Longest pause after reads that failed.
    fn longest_pause(&self) -> Duration {
        tables::LONGEST_PAUSE
    }
}

/// Learns what changed in a table.
pub type Observer = Rc<dyn Fn(Table, Vec<Record>)>;

/// A process, whatever its role.
pub struct Node {
    /// Settings.
    pub settings: RefCell<Rc<Settings>>,
    /// Adapters.
    pub platform: Platform,
    /// Log.
    pub logs: Logs,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Clock.
    pub clock: Clock,
    /// Timers.
    pub timers: Timers,
    /// Tasks.
    pub scope: Rc<Scope>,
    /// Connections to peers.
    pub peers: Pool,
    /// Set once SIGTERM came.
    pub leaving: Cell<bool>,
    copies: RefCell<[Mirror; 3]>,
    /// What comes of each table from peers.
    inboxes: RefCell<[Inbox; 3]>,
    /// Large values that are being given to peers.
    giving: RefCell<UploadSlots>,
    /// Since when each table's records are known to be written.
    ages: RefCell<[WriteTimes; 3]>,
    disturbances: RefCell<Disturbances>,
    /// When a datagram that was sent a moment before last said how far others are.
    informed_at: Cell<Option<Time>>,
    reading: RefCell<[Reading; 3]>,
    /// Whether the last good read of each table came after one that failed.
    after_interruption: Cell<[bool; 3]>,
    election: RefCell<Option<Rc<dyn Election>>>,
    /// Until when removals that peers gave may be errors of the store's.
    peer_doubt: Cell<Time>,
    /// Set while an update is taken in from a peer that vouches for its removals.
    peer_sound: Cell<bool>,
    brief: RefCell<Brief>,
    /// Where the records that are being taken in came from.
    source: Cell<Source>,
    /// Whether they are the first of their table.
    beginning: Cell<bool>,
    /// What was said last of a store that does not serve.
    store_trouble: Cell<Option<&'static str>>,
    observer: RefCell<Option<Observer>>,
    /// Whether peers that spoke are in this process's region.
    near_peers: RefCell<HashMap<Ipv4Addr, bool>>,
    /// What was sent.
    traffic: Traffic,
    socket: UdpSocket,
    incarnation: u64,
    rng: RefCell<ChaCha8Rng>,
    /// Notified when a table changed.
    pub changed: Notify,
}

impl Node {
    /// A process that is about to start.
    pub async fn new(
        settings: Settings,
        platform: Platform,
        logs: Logs,
        clock: Clock,
    ) -> io::Result<Rc<Node>> {
        let own = SocketAddrV4::new(settings.address, settings.peer_port);
        let socket = UdpSocket::bind(own).await?;
        // Until then nothing can be sent without a wait, and the first datagrams would be lost.
        socket.writable().await?;
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).map_err(io::Error::other)?;
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since.unwrap_or_default().as_millis() as u64;
        Ok(Rc::new(Node {
            settings: RefCell::new(Rc::new(settings)),
            platform,
            logs,
            metrics: Metrics::new(),
            clock,
            timers: Timers::new(clock),
            scope: Rc::default(),
            peers: Pool::new(clock, MAX_FRAME, PEER_CONNECT, None),
            leaving: Cell::new(false),
            copies: RefCell::default(),
            inboxes: RefCell::default(),
            giving: RefCell::default(),
            ages: RefCell::default(),
            disturbances: RefCell::default(),
            informed_at: Cell::default(),
            reading: RefCell::default(),
            after_interruption: Cell::default(),
            election: RefCell::default(),
            peer_doubt: Cell::default(),
            peer_sound: Cell::default(),
            brief: RefCell::default(),
            source: Cell::default(),
            beginning: Cell::default(),
            store_trouble: Cell::default(),
            observer: RefCell::default(),
            near_peers: RefCell::default(),
            traffic: Traffic::default(),
            socket,
            incarnation,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(u64::from_le_bytes(seed))),
            changed: Notify::new(),
        }))
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Sets who learns what changed.
    pub fn set_observer(&self, observer: Observer) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Sets who decides which process reads the tables.
    pub fn set_election(&self, election: Rc<dyn Election>) {
        *self.election.borrow_mut() = Some(election);
    }

    /// Runs a decision that needs randomness.
    pub fn with_rng<T>(&self, run: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        run(&mut self.rng.borrow_mut())
    }

    /// Where the process on an instance listens for peers.
    pub fn peer_address(&self, peer: Ipv4Addr) -> String {
        SocketAddr::from((peer, self.settings.borrow().peer_port)).to_string()
    }

    /// Names this start of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends this process's state.
    pub fn send_state(
        &self,
        purpose: Purpose,
        reach: Reach,
        sender: Sender,
        to: impl Iterator<Item = Ipv4Addr>,
    ) {
        let datagram = Datagram {
            incarnation: self.incarnation,
            zone: self.settings().zone.clone(),
            ends: Table::ALL.map(|it| self.offered(it)),
            unconfirmed_ms: self.unconfirmed_ms(),
            sender,
        };
        self.send(purpose, reach, &datagram, to);
    }

    /// Sends a datagram. One that can't be sent is as good as lost; one that nobody would read is counted. `reach` is
    /// that of receivers that have not sent anything themselves.
    pub fn send(
        &self,
        purpose: Purpose,
        reach: Reach,
        datagram: &Datagram,
        to: impl Iterator<Item = Ipv4Addr>,
    ) {
        let bytes = codec::body(datagram);
        if MAX_BYTES < bytes.len() {
            self.metrics.unsent.inc();
            if let Some(log) = self.logs.line(Topic::State) {
                warn!(log, "datagram too large"; "purpose" => ?purpose, "bytes" => bytes.len());
            }
            return;
        }
        let port = self.settings.borrow().peer_port;
        let mut near = 0;
        let mut far = 0;
        for address in to {
            let to = SocketAddrV4::new(address, port);
            let _ = self.socket.try_send_to(&bytes, to.into());
            let known = self.near_peers.borrow().get(&address).copied();
            match known.map_or(reach, Reach::of) {
                Reach::Far => far += bytes.len(),
                Reach::Near => near += bytes.len(),
            }
        }
        for (reach, sent) in [(Reach::Far, far), (Reach::Near, near)] {
            if 0 < sent {
                self.count(purpose, reach, sent);
            }
        }
    }

    /// Counts a call to the store.
    pub fn count_call(&self, table: Table) {
        let reason = unreadable::table_name(table);
        self.metrics
            .store_calls
            .get_or_create(&Reason { reason })
            .inc();
    }

    /// Counts bytes that go to an instance in an availability zone, or come from it.
    pub fn count_zone(&self, purpose: Purpose, zone: &str, bytes: usize) {
        self.count(purpose, Reach::of(self.near(zone)), bytes);
    }

    /// Counts bytes that go out or come in.
    pub fn count(&self, purpose: Purpose, reach: Reach, bytes: usize) {
        self.traffic.count(&self.metrics, purpose, reach, bytes);
    }

    /// Logs what was sent, now and then.
    pub fn log_traffic(&self) {
        let now = self.clock.now();
        self.traffic.show(&self.logs.root, &self.metrics, now);
    }

    /// The next datagram, and who sent it.
    pub async fn next_datagram(&self) -> (Ipv4Addr, Datagram) {
        let mut buffer = [0; MAX_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, SocketAddr::V4(from))) = received else {
                // An earlier datagram was refused, most likely.
                tokio::task::yield_now().await;
                continue;
            };
            if let Ok(datagram) = codec::parse::<Datagram>(&buffer[..length]) {
                if matches!(datagram.sender, Sender::Entry { .. }) {
                    self.know_holder(*from.ip(), &datagram.zone, datagram.ends);
                }
                let near = self.near(&datagram.zone);
                self.near_peers.borrow_mut().insert(*from.ip(), near);
                return (*from.ip(), datagram);
            }
        }
    }
}
