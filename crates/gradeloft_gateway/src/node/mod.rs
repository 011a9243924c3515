//! State and functions that entries and agents share: copies of the platform's tables, calls
//! between peers, datagrams.
//!
//! - [`write_times`]: the times at which records count as written, and stalls of the process.
//! - [`abridged`]: the operator's records, without the parts that only entries need.
//! - [`restored`]: restores of the store from a backup.
//! - [`confirmed`]: the time up to which each copy is known to be complete.
//! - [`unreadable`]: records of other writers that can't be decoded.
//! - [`parts`]: large values, which peers send to each other in parts.
//! - [`removals`]: trust in removals, which may be errors of the store.
//! - [`records`]: exchange of the tables' records with peers.
//! - [`tables`]: copies of the tables, and reads of the store.

pub mod abridged;
pub mod confirmed;
pub mod parts;
pub mod records;
pub mod removals;
pub mod restored;
pub mod tables;
pub mod unreadable;
pub mod write_times;

use std::{
    cell::{Cell, RefCell},
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
use gradeloft_http::intake::{self, Refusal};
use gradeloft_platform::fleet::{Decoder, Directory, Engine, Headers, Origin, Store};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Mirror, Record},
        peer_regions::PeerRegions,
        store_reads::{DoubtfulRemovals, ReadPeriod},
        transfer::UploadSlots,
        write_times::WriteTimes,
        zones::Zones,
    },
};
use gradeloft_wire::{
    codec,
    datagram::{Datagram, MAX_BYTES, Sender},
    frame::Table,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use tokio::{net::UdpSocket, sync::Notify};

use abridged::AbridgedRecords;
use records::Inbox;
use restored::{PeerKept, lost_records};
use tables::{ReadState, Source};
use write_times::ActivityGaps;

use crate::{
    logs::{Logs, Topic},
    metrics::{Metrics, Reason, RefusalLabels},
    settings::Settings,
    traffic::{Purpose, Reach, Traffic},
};

/// Largest frame between processes, in bytes: the values that [`records`] puts into one frame, and
/// room for the keys of these values.
pub const MAX_FRAME: usize = 1 << 20;
/// Time limit for a connection to a peer: far above the links' delays.
const PEER_CONNECT: Duration = Duration::from_millis(500);

/// Adapters to the platform, which the composition root passes to a process.
#[derive(Clone)]
pub struct Platform {
    /// Store of the tables.
    pub store: Rc<dyn Store>,
    /// Decoder of the platform's records.
    pub decoder: Rc<dyn Decoder>,
    /// Responses to lookups of addresses and readiness.
    pub directory: Rc<dyn Directory>,
    /// Origin of weights.
    pub origin: Rc<dyn Origin>,
    /// Engine of the agent's instance; `None` for entries.
    pub engine: Option<Rc<dyn Engine>>,
    /// Names of headers.
    pub headers: Headers,
}

/// Elects the processes that read the tables from the store.
pub trait Election {
    /// Returns whether this process should read a table.
    fn reads(&self, table: Table) -> bool;
    /// Returns the pause between two reads of a table, at least `pause`.
    fn pause(&self, _table: Table, pause: Duration) -> Duration {
        pause
    }
    /// Returns the pause before a snapshot is read because the store was restored.
    fn pause_after_restore(&self, pause: Duration) -> Duration {
        pause
    }
    /// Returns the other processes that read a table, those of this region first.
    fn readers(&self, _table: Table) -> Vec<Ipv4Addr> {
        Vec::new()
    }
    /// Returns the longest pause after failed reads.
    fn longest_pause(&self) -> Duration {
        tables::LONGEST_PAUSE
    }
}

/// Callback for changed records of a table.
pub type Observer = Rc<dyn Fn(Table, Vec<Record>)>;

/// State of a process of either role.
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
    /// Set once the process drains, after SIGTERM.
    pub draining: Cell<bool>,
    /// Copies of the tables.
    copies: RefCell<[Mirror; 3]>,
    /// Updates of each table that are being fetched from peers.
    inboxes: RefCell<[Inbox; 3]>,
    /// Large values that are being sent to peers.
    uploads: RefCell<UploadSlots>,
    /// Write times of each table's records.
    write_times: RefCell<[WriteTimes; 3]>,
    activity_gaps: RefCell<ActivityGaps>,
    /// Time at which this process last got current information about the ends of other copies, by
    /// datagram or by a read of the store.
    informed_at: Cell<Option<Time>>,
    /// State of reading each table from the store.
    read_states: RefCell<[ReadState; 3]>,
    /// Whether the last successful read of each table followed a failed one.
    after_interruption: Cell<[bool; 3]>,
    election: RefCell<Option<Rc<dyn Election>>>,
    /// Longest period in which reads of each table are known to have succeeded, by peers' replies.
    peer_reads: RefCell<[Option<ReadPeriod>; 3]>,
    /// Removals that may be errors of the store.
    doubtful_removals: RefCell<DoubtfulRemovals>,
    /// Number of tasks that ask peers about these removals.
    verifiers: Cell<usize>,
    /// Set while removals are applied that turned out to be sound.
    removal_confirmed: Cell<bool>,
    abridged: RefCell<AbridgedRecords>,
    /// Source of the records that are being applied.
    source: Cell<Source>,
    /// Whether the records that are being applied are the first of their table.
    initial_load: Cell<bool>,
    /// Whether the update that is being applied is the first after a restore of the store.
    entering_era: Cell<bool>,
    /// Kept records of peers.
    peer_kept: RefCell<PeerKept>,
    /// Last logged event of a store that does not respond; `None` while it responds.
    logged_store_fault: Cell<Option<&'static str>>,
    observer: RefCell<Option<Observer>>,
    /// Whether each peer that sent datagrams is in this process's region.
    near_peers: RefCell<PeerRegions>,
    zones: RefCell<Zones>,
    /// Counts of bytes.
    traffic: Traffic,
    socket: UdpSocket,
    incarnation: u64,
    rng: RefCell<ChaCha8Rng>,
    /// Notified when a table changed.
    pub changed: Notify,
}

impl Node {
    /// Creates the state of a process, and binds its socket.
    pub async fn new(
        settings: Settings,
        platform: Platform,
        logs: Logs,
        clock: Clock,
    ) -> io::Result<Rc<Node>> {
        let own = SocketAddrV4::new(settings.address, settings.peer_port);
        let socket = UdpSocket::bind(own).await?;
        // Before the socket is writable, sends would block, and the first datagrams would be lost.
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
            draining: Cell::new(false),
            copies: RefCell::new(Table::ALL.map(|it| Mirror::new(lost_records(it)))),
            inboxes: RefCell::default(),
            uploads: RefCell::default(),
            write_times: RefCell::default(),
            activity_gaps: RefCell::default(),
            informed_at: Cell::default(),
            read_states: RefCell::default(),
            after_interruption: Cell::default(),
            election: RefCell::default(),
            peer_reads: RefCell::default(),
            doubtful_removals: RefCell::default(),
            verifiers: Cell::default(),
            removal_confirmed: Cell::default(),
            abridged: RefCell::default(),
            source: Cell::default(),
            initial_load: Cell::default(),
            entering_era: Cell::default(),
            peer_kept: RefCell::default(),
            logged_store_fault: Cell::default(),
            observer: RefCell::default(),
            near_peers: RefCell::default(),
            zones: RefCell::default(),
            traffic: Traffic::default(),
            socket,
            incarnation,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(u64::from_le_bytes(seed))),
            changed: Notify::new(),
        }))
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Sets the callback for changed records.
    pub fn set_observer(&self, observer: Observer) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Sets the election of the processes that read the tables.
    pub fn set_election(&self, election: Rc<dyn Election>) {
        *self.election.borrow_mut() = Some(election);
    }

    /// Runs a function with this process's random number generator.
    pub fn with_rng<T>(&self, run: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        run(&mut self.rng.borrow_mut())
    }

    /// Returns the address at which the process on an instance listens for peers.
    pub fn peer_address(&self, peer: Ipv4Addr) -> String {
        SocketAddr::from((peer, self.settings.borrow().peer_port)).to_string()
    }

    /// Returns the number of this start of the process; later starts have higher numbers.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a datagram with this process's state.
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
            ends: Table::ALL.map(|it| self.advertised_end(it)),
            kept: self.kept_digest(),
            unconfirmed_ms: self.unconfirmed_ms(),
            sender,
        };
        self.send(purpose, reach, &datagram, to);
    }

    /// Sends a datagram. One that the socket refuses counts as lost; one that is too large to be
    /// read is counted as unsent. `reach` applies to receivers that have not sent a datagram yet.
    pub fn send(
        &self,
        purpose: Purpose,
        reach: Reach,
        datagram: &Datagram,
        to: impl Iterator<Item = Ipv4Addr>,
    ) {
        let bytes = codec::encode_body(datagram);
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
            let known = self.near_peers.borrow().is_near(address);
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

    /// Counts and logs a connection or a request of a listener that ended in favour of others.
    pub fn record_refusal(&self, listener: &'static str, refusal: Refusal) {
        let labels = RefusalLabels {
            listener,
            shortage: refusal.shortage.name(),
            activity: refusal.activity.name(),
        };
        let count = self.metrics.refused_clients.get_or_create(&labels).inc() + 1;
        if let Some(log) = self.logs.line(Topic::Clients) {
            info!(log, "client refused"; "listener" => listener,
                "shortage" => refusal.shortage.name(), "activity" => refusal.activity.name(),
                "bytes" => refusal.bytes, "so_far" => count);
        }
    }

    /// Returns an observer that records the refusals of a listener.
    pub fn refusal_observer(self: &Rc<Node>, listener: &'static str) -> intake::Observer {
        let node = Rc::downgrade(self);
        Rc::new(move |refusal| {
            if let Some(node) = node.upgrade() {
                node.record_refusal(listener, refusal);
            }
        })
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, table: Table) {
        let reason = unreadable::table_name(table);
        self.metrics
            .store_calls
            .get_or_create(&Reason { reason })
            .inc();
    }

    /// Counts bytes sent to an instance in an availability zone, or received from it.
    pub fn count_zone(&self, purpose: Purpose, zone: &str, bytes: usize) {
        self.count(purpose, Reach::of(self.near(zone)), bytes);
    }

    /// Counts bytes sent or received.
    pub fn count(&self, purpose: Purpose, reach: Reach, bytes: usize) {
        self.traffic.count(&self.metrics, purpose, reach, bytes);
    }

    /// Logs the counts of bytes from time to time.
    pub fn log_traffic(&self) {
        let now = self.clock.now();
        self.traffic.show(&self.logs.root, &self.metrics, now);
    }

    /// Counts and logs content of datagrams that was not kept for lack of room in a table.
    pub fn count_unkept(&self, table: &'static str, count: u64) {
        if count == 0 {
            return;
        }
        let label = Reason { reason: table };
        let so_far = self.metrics.unkept.get_or_create(&label).inc_by(count) + count;
        if let Some(log) = self.logs.line(Topic::Clients) {
            info!(log, "datagram content not kept"; "table" => table, "count" => count, "so_far" => so_far);
        }
    }

    fn admits_zone(&self, zone: &str) -> bool {
        let settings = self.settings.borrow();
        let is_listed = settings.zone == zone || settings.regions.contains_key(zone);
        self.zones.borrow_mut().admit(zone, is_listed)
    }

    /// Waits for the next datagram, and returns it with its sender's address.
    pub async fn next_datagram(&self) -> (Ipv4Addr, Datagram) {
        let mut buffer = [0; MAX_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, SocketAddr::V4(from))) = received else {
                // Most likely an ICMP error for a datagram that was sent before.
                tokio::task::yield_now().await;
                continue;
            };
            if let Ok(datagram) = codec::decode_body::<Datagram>(&buffer[..length]) {
                if !self.admits_zone(&datagram.zone) {
                    self.count_unkept("zones", 1);
                    continue;
                }
                if matches!(datagram.sender, Sender::Entry { .. }) {
                    self.note_holder(*from.ip(), &datagram.zone, datagram.ends);
                }
                let near = self.near(&datagram.zone);
                if !self.near_peers.borrow_mut().note(*from.ip(), near) {
                    self.count_unkept("senders", 1);
                }
                return (*from.ip(), datagram);
            }
        }
    }
}
