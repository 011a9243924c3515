//! What processes tell each other several times a second, each in one datagram.
//!
//! Datagrams get lost and come out of order, so each says all of its sender's state, or a part of it that
//! stands for itself.

use std::net::{Ipv4Addr, SocketAddrV4};

use bincode::{Decode, Encode};

use crate::quarantine::Suspect;

/// Largest datagram that is read, in bytes; below the usual size of a packet.
pub const MAX_BYTES: usize = 1_400;

/// State of the sender.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Datagram {
    /// Names this start of the sender; later starts have higher numbers.
    pub incarnation: u64,
    /// The sender's availability zone.
    pub zone: String,
    /// Offset up to which the sender's copy of each table goes, in the order of
    /// [`Table::ALL`](crate::frame::Table::ALL).
    pub ends: [u64; 3],
    /// For how long the sender has not known each copy to be whole by its own reads of the store, in
    /// milliseconds; the largest number for longer, and for never.
    pub unconfirmed_ms: [u16; 3],
    /// What depends on the sender's role.
    pub sender: Sender,
}

/// What depends on the sender's role.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Sender {
    /// The process beside a replica.
    Agent {
        /// Where the replica listens.
        replica: SocketAddrV4,
        /// What the replica says of itself; `None` while it does not answer.
        engine: Option<EngineStatus>,
    },
    /// A process that callers talk to.
    Entry {
        /// Whether it takes callers.
        presence: Presence,
        /// Whether the platform's store serves it, as far as it knows.
        store: StoreAccess,
        /// Whether it wants to be told of the receiver, of which it knows nothing but the address.
        wants_state: bool,
        /// Requests that it has at replicas now.
        loads: Loads,
        /// Other entries that it knows of.
        entries: Vec<Ipv4Addr>,
        /// Replicas that take requests with the newest version named, by model.
        switched: Vec<SwitchedReplicas>,
    },
    /// An entry that speaks for all entries of its region. The rest of the datagram is of this entry.
    Region {
        /// Whether it came through an entry of the receiver's region.
        relayed: bool,
        /// What it says.
        message: RegionMessage,
    },
    /// An entry that knows something of requests under which replicas ended.
    Suspects {
        /// Whether it came through an entry of the receiver's region.
        relayed: bool,
        /// The requests.
        suspects: Vec<Suspect>,
    },
}

/// What one region's entries tell those of others.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RegionMessage {
    /// What agents said of the region's replicas.
    Engines(Vec<EngineReport>),
    /// Requests that the region's entries have at replicas, of whatever region.
    Loads(Loads),
    /// The region's entries.
    Members(Vec<Member>),
}

/// Requests of one entry or region at replicas. Where they are too many for one datagram, each datagram
/// has those whose replicas' hashes fall into its part, and replaces what was said of that part before.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Loads {
    /// Number of the part, from 0.
    pub part: u16,
    /// Parts, less one.
    pub last_part: u16,
    /// Requests that come for services which run a model, a second, in tenths.
    pub demand: u32,
    /// Requests by replica.
    pub loads: Vec<Load>,
}

/// What an agent said of its replica.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct EngineReport {
    /// Where the replica listens.
    pub replica: SocketAddrV4,
    /// What it says of itself.
    pub engine: EngineStatus,
    /// How long ago, in milliseconds.
    pub age_ms: u16,
}

/// What an entry said of itself.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Member {
    /// Its address.
    pub address: Ipv4Addr,
    /// Names this start of it.
    pub incarnation: u64,
    /// Whether it takes callers.
    pub presence: Presence,
    /// Whether the platform's store serves it.
    pub store: StoreAccess,
    /// How far its copy of the operator's table goes.
    pub end: u64,
}

/// Whether the platform's store serves a process.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum StoreAccess {
    /// Its last read went well, or it leaves reading to others.
    Served,
    /// Its last read failed.
    Unserved,
}

/// Replicas that changed over to a version.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SwitchedReplicas {
    /// Hash of the model's name.
    pub model: u64,
    /// Version.
    pub version: u64,
    /// Replicas that take requests with it.
    pub replicas: u16,
}

/// Whether an entry takes callers.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Presence {
    /// It finishes what runs and takes nothing new.
    Leaving,
    /// It takes callers.
    Ready,
    /// It does not know enough, or others know more.
    Starting,
}

/// Requests of one entry at one replica.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Load {
    /// Hash of the replica's start.
    pub replica: u32,
    /// Requests.
    pub running: u16,
    /// Of those, requests whose answer has not begun.
    pub waiting: u16,
}

/// What a replica says of itself to its agent.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct EngineStatus {
    /// Unix millisecond of the replica's start, where it says so.
    pub born: Option<u64>,
    /// Version of the weights that it holds in full; `None` without them.
    pub version: Option<u64>,
    /// Whether it takes no work now because weights are about to be loaded.
    pub loading: bool,
    /// Whether the instance's link is full, so that requests to the replica wait before it.
    pub congested: bool,
}
