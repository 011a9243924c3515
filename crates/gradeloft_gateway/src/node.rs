//! What entries and agents share: copies of the platform's tables, peers, datagrams.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::Rc,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use gradeloft_daemon::{
    clock::Clock,
    scope::Scope,
    transport::{
        client::{Lane, Pool},
        server::Outgoing,
    },
};
use gradeloft_platform::fleet::{Decoder, Directory, Engine, Followed, Headers, Origin, Store};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::{Mirror, Record, Update},
        replicas::Trust,
    },
};
use gradeloft_wire::{
    codec,
    datagram::{Access, Datagram, MAX_BYTES, Sender},
    frame::{Call, Reply, Row, Table},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    logs::{Logs, Topic},
    metrics::Metrics,
    settings::Settings,
};

/// Largest frame between processes, in bytes: the largest record of the store, and room for its key.
pub const MAX_FRAME: usize = 1 << 20;
/// Time to connect to a peer: far above the links' delays.
const PEER_CONNECT: Duration = Duration::from_millis(500);
/// Time for a peer to answer a call for records.
const PEER_ANSWER: Duration = Duration::from_millis(1_500);
/// First and longest pause after a failed call to the store.
const FIRST_PAUSE_MS: u64 = 150;
const MAX_PAUSE_MS: u64 = 1_000;
/// Time for which a peer of another region has to be ahead before it is asked for records, in
/// milliseconds: two pauses between near entries' datagrams, and an answer.
const FAR_MS: u64 = 300;
/// Pause before a process that leaves reading to others looks again whether it is to read.
const STANDBY: Duration = Duration::from_millis(200);
/// Time after an interruption of reading a table within which the store may still drop records of
/// replicas that live, in milliseconds.
const DOUBT_MS: u64 = 1_500;
/// Time after the interruption by which dropped records of replicas that live are back, in
/// milliseconds: two seconds, and a read. Counted from there and not from the removal, so that a
/// replica which leaves just then is left in time.
const BACK_MS: u64 = 2_300;

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

/// How reading a table from the store goes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Reading {
    /// The last read failed.
    Interrupted,
    /// It failed, and has gone well since.
    Resumed(Time),
    /// It has never failed.
    #[default]
    Steady,
    /// It is left to others.
    Standby,
}

/// Decides who reads the tables from the store.
pub trait Election {
    /// Whether this process is to read a table.
    fn reads(&self, table: Table) -> bool;
    /// Whether the store does not serve some other process.
    fn troubled(&self) -> bool;
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
    /// Tasks.
    pub scope: Rc<Scope>,
    /// Connections to peers.
    pub peers: Pool,
    /// Set once SIGTERM came.
    pub leaving: Cell<bool>,
    copies: RefCell<[Mirror; 3]>,
    /// Tables that are being read from a peer.
    asking: Cell<[bool; 3]>,
    /// Since when a peer of another region has been ahead with a table.
    behind: Cell<[Option<Time>; 3]>,
    reading: RefCell<[Reading; 3]>,
    election: RefCell<Option<Rc<dyn Election>>>,
    /// Until when removals that peers told may be errors of the store's.
    peer_doubt: Cell<Time>,
    /// Set while an update is taken in from a peer that vouches for its removals.
    peer_sound: Cell<bool>,
    store_lost: Cell<bool>,
    observer: RefCell<Option<Observer>>,
    socket: UdpSocket,
    incarnation: u64,
    rng: RefCell<ChaCha8Rng>,
    /// Told when a table changed.
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
            scope: Rc::default(),
            peers: Pool::new(MAX_FRAME, PEER_CONNECT, None),
            leaving: Cell::new(false),
            copies: RefCell::default(),
            asking: Cell::default(),
            behind: Cell::default(),
            reading: RefCell::default(),
            election: RefCell::default(),
            peer_doubt: Cell::default(),
            peer_sound: Cell::default(),
            store_lost: Cell::default(),
            observer: RefCell::default(),
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
    pub fn observe(&self, observer: Observer) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Sets who decides which process reads the tables.
    pub fn elect(&self, election: Rc<dyn Election>) {
        *self.election.borrow_mut() = Some(election);
    }

    /// Whether the store serves this process, as far as it knows.
    pub fn access(&self) -> Access {
        let interrupted = self.reading.borrow().contains(&Reading::Interrupted);
        if interrupted {
            Access::Unserved
        } else {
            Access::Served
        }
    }

    /// Runs a decision that needs randomness.
    pub fn with_rng<T>(&self, run: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        run(&mut self.rng.borrow_mut())
    }

    /// Whether the copy of a table has ever been brought up to date.
    pub fn loaded(&self, table: Table) -> bool {
        self.copies.borrow()[index(table)].loaded()
    }

    /// Whether a removal from a table may be an error of the store's.
    pub fn trust(&self, table: Table) -> Trust {
        if self.peer_sound.get() {
            return Trust::Sound;
        }
        let now = self.clock.now();
        match self.reading.borrow()[index(table)] {
            Reading::Interrupted => Trust::Doubtful(now.after_ms(BACK_MS)),
            Reading::Resumed(at) if now < at.after_ms(DOUBT_MS) => {
                Trust::Doubtful(at.after_ms(BACK_MS))
            }
            Reading::Standby if now < self.peer_doubt.get() => {
                Trust::Doubtful(self.peer_doubt.get())
            }
            Reading::Resumed(_) | Reading::Standby | Reading::Steady => Trust::Sound,
        }
    }

    /// Newest records of a table.
    pub fn records(&self, table: Table) -> Vec<Record> {
        let copies = self.copies.borrow();
        copies[index(table)].records().cloned().collect()
    }

    /// Offset up to which the copy of a table goes.
    pub fn end(&self, table: Table) -> u64 {
        self.copies.borrow()[index(table)].end()
    }

    fn apply(&self, table: Table, update: Update) {
        let changed = self.copies.borrow_mut()[index(table)].apply(update);
        if changed.is_empty() {
            return;
        }
        let observer = self.observer.borrow().clone();
        if let Some(observer) = observer {
            observer(table, changed);
        }
        self.changed.notify_waiters();
    }

    /// Keeps the copy of a table up to date from the store, with `pause` between reads.
    pub async fn follow(self: Rc<Node>, table: Table, wait: Duration, pause: Duration) {
        let mut failures = 0;
        let mut fresh = false;
        loop {
            if self.stands_by(table) {
                // Peers keep the copy up to date, so reading goes on where it ends.
                fresh = self.loaded(table);
                actix_rt::time::sleep(STANDBY).await;
                continue;
            }
            self.metrics.store_calls.inc();
            // After a failure, a read without a wait soon tells whether the store is back.
            let wait = if failures == 0 { wait } else { Duration::ZERO };
            let read = self.read(table, &mut fresh, wait).await;
            match read {
                Ok(()) => {
                    failures = 0;
                    self.store_answered(table);
                    actix_rt::time::sleep(pause).await;
                }
                Err(fault) => {
                    self.store_fault(table, &fault);
                    let longest = (FIRST_PAUSE_MS << failures).min(MAX_PAUSE_MS);
                    failures = (failures + 1).min(6);
                    let pause = self.with_rng(|it| it.random_range(longest / 2..=longest));
                    actix_rt::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Whether reading a table is left to others now.
    fn stands_by(&self, table: Table) -> bool {
        let election = self.election.borrow().clone();
        let Some(election) = election else {
            return false;
        };
        let reads = election.reads(table);
        let before = self.reading.borrow()[index(table)];
        if reads == (before == Reading::Standby)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "duty"; "table" => ?table, "reads_store" => reads);
        }
        let reading = &mut self.reading.borrow_mut()[index(table)];
        match (reads, *reading) {
            (false, _) => *reading = Reading::Standby,
            // What others could not read may have been dropped meanwhile.
            (true, Reading::Standby) if election.troubled() => {
                *reading = Reading::Resumed(self.clock.now());
            }
            (true, Reading::Standby) => *reading = Reading::Steady,
            (true, _) => {}
        }
        !reads
    }

    async fn read(
        &self,
        table: Table,
        fresh: &mut bool,
        wait: Duration,
    ) -> Result<(), gradeloft_platform::Fault> {
        let store = &self.platform.store;
        if !*fresh {
            let update = store.snapshot(table).await?;
            *fresh = true;
            self.apply(table, update);
            return Ok(());
        }
        let wait_ms = wait.as_millis() as u64;
        match store.follow(table, self.end(table), wait_ms).await? {
            Followed::Dropped => *fresh = false,
            Followed::Update(update) => {
                // Before what was read is taken in: records of an interruption are doubtful.
                self.apply(table, update);
            }
        }
        Ok(())
    }

    /// Reads a table whole from the store, once.
    pub async fn read_snapshot(&self, table: Table) {
        self.metrics.store_calls.inc();
        match self.platform.store.snapshot(table).await {
            Ok(update) => self.apply(table, update),
            Err(fault) => self.store_fault(table, &fault),
        }
    }

    fn store_answered(&self, table: Table) {
        let reading = &mut self.reading.borrow_mut()[index(table)];
        if *reading == Reading::Interrupted {
            *reading = Reading::Resumed(self.clock.now());
        }
        if self.store_lost.replace(false)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            info!(log, "store regained");
        }
    }

    fn store_fault(&self, table: Table, fault: &gradeloft_platform::Fault) {
        self.metrics.store_faults.inc();
        self.reading.borrow_mut()[index(table)] = Reading::Interrupted;
        if !self.store_lost.replace(true)
            && let Some(log) = self.logs.line(Topic::Dependency)
        {
            warn!(log, "store lost"; "table" => ?table, "fault" => %fault);
        }
    }

    /// Answers a peer's call for records.
    pub async fn give_records(&self, table: Table, from: u64, outgoing: Outgoing) {
        let update = self.copies.borrow()[index(table)].since(from);
        let rows = update.records.into_iter().map(|it| Row {
            key: it.key,
            value: it.value.map(|it| it.to_vec()),
            offset: it.offset,
        });
        let reply = Reply::Records {
            snapshot: update.snapshot,
            rows: rows.collect(),
            end: update.end,
            sound: self.trust(table) == Trust::Sound,
        };
        outgoing.finish(&reply).await;
    }

    /// A peer's copies go up to `ends`: reads from it what this process lacks. Peers of other regions
    /// are left alone for a moment, in which near ones most likely have it too.
    pub fn heard_ends(self: &Rc<Node>, peer: Ipv4Addr, zone: &str, ends: [u64; 3]) {
        let settings = self.settings();
        let near = settings.region(zone) == settings.region(&settings.zone);
        for table in Table::ALL {
            let mut asking = self.asking.get();
            if asking[index(table)] || !self.follows(table) {
                continue;
            }
            let behind = self.end(table) < ends[index(table)];
            if !behind || (!near && !self.long_behind(table)) {
                continue;
            }
            self.set_behind(table, None);
            asking[index(table)] = true;
            self.asking.set(asking);
            let node = Rc::clone(self);
            self.scope.spawn(async move {
                node.ask_records(peer, table).await;
                let mut asking = node.asking.get();
                asking[index(table)] = false;
                node.asking.set(asking);
            });
        }
    }

    /// Whether peers of other regions have been ahead with a table for a while.
    fn long_behind(&self, table: Table) -> bool {
        let now = self.clock.now();
        let since = self.behind.get()[index(table)];
        // What near peers brought meanwhile does not count as being behind.
        let recent = since.filter(|it| now < it.after_ms(2 * FAR_MS));
        self.set_behind(table, recent.or(Some(now)));
        recent.is_some_and(|it| it.after_ms(FAR_MS) <= now)
    }

    fn set_behind(&self, table: Table, since: Option<Time>) {
        let mut behind = self.behind.get();
        behind[index(table)] = since;
        self.behind.set(behind);
    }

    /// Agents need replicas only while they fetch weights, and entries never.
    fn follows(&self, table: Table) -> bool {
        match self.settings.borrow().role {
            crate::settings::Role::Agent { .. } => table == Table::Operator,
            crate::settings::Role::Entry { .. } => true,
        }
    }

    /// Reads what this process lacks of a table from a peer; gives whether the peer answered.
    pub async fn ask_records(&self, peer: Ipv4Addr, table: Table) -> bool {
        let address = self.peer_address(peer);
        let from = self.end(table);
        let call = Call::Records { table, from };
        let asked = self.peers.ask(&address, Lane::Live, &call);
        let reply = tokio::time::timeout(PEER_ANSWER, asked).await;
        if reply.is_err() {
            self.peers.forget(&address, Lane::Live);
        }
        let Ok(Ok(Reply::Records {
            snapshot,
            rows,
            end,
            sound,
        })) = reply
        else {
            return false;
        };
        let records = rows.into_iter().map(|it| Record {
            key: it.key,
            value: it.value.map(Bytes::from),
            offset: it.offset,
        });
        let update = Update {
            snapshot,
            records: records.collect(),
            end,
        };
        if !sound {
            self.peer_doubt.set(self.clock.now().after_ms(BACK_MS));
        }
        // A peer that reads the store steadily knows better than a process that is cut off from it.
        self.peer_sound.set(sound);
        self.apply(table, update);
        self.peer_sound.set(false);
        true
    }

    /// Where the process on an instance listens for peers.
    pub fn peer_address(&self, peer: Ipv4Addr) -> String {
        SocketAddr::from((peer, self.settings.borrow().peer_port)).to_string()
    }

    /// Sends this process's state to others. A datagram that can't be sent is as good as lost.
    pub fn tell(&self, sender: Sender, to: impl Iterator<Item = Ipv4Addr>) {
        let settings = self.settings();
        let datagram = Datagram {
            incarnation: self.incarnation,
            zone: settings.zone.clone(),
            ends: Table::ALL.map(|it| self.end(it)),
            sender,
        };
        let bytes = codec::body(&datagram);
        for address in to {
            let to = SocketAddrV4::new(address, settings.peer_port);
            let _ = self.socket.try_send_to(&bytes, to.into());
        }
    }

    /// The next datagram, and who sent it.
    pub async fn heard(&self) -> (Ipv4Addr, Datagram) {
        let mut buffer = [0; MAX_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, SocketAddr::V4(from))) = received else {
                // An earlier datagram was refused, most likely.
                tokio::task::yield_now().await;
                continue;
            };
            if let Ok(datagram) = codec::parse(&buffer[..length]) {
                return (*from.ip(), datagram);
            }
        }
    }
}

/// Position of a table in arrays of one value for each.
fn index(table: Table) -> usize {
    match table {
        Table::Entries => 0,
        Table::Operator => 1,
        Table::Replicas => 2,
    }
}
