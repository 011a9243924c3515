//! State that processes send each other several times a second, each message in one datagram.
//!
//! Datagrams get lost and arrive out of order, so each carries its sender's whole state, or a part
//! that is complete in itself.

use std::net::{Ipv4Addr, SocketAddrV4};

use bincode::{Decode, Encode};

use crate::{position::Position, quarantine::Suspect};

/// Largest datagram that is read, in bytes; below the usual MTU.
pub const MAX_BYTES: usize = 1_400;

/// Maximum number of demands in one datagram. Each takes at most 10 bytes.
pub const MAX_DEMANDS: usize = 6;

/// Maximum number of signals in one datagram. Each takes at most 22 bytes.
pub const MAX_SIGNALS: usize = 50;

/// Returns a count as a field of a datagram; the largest value stands for larger ones as well.
pub fn saturate(count: u32) -> u16 {
    count.min(u32::from(u16::MAX)) as u16
}

/// State of the sender.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Datagram {
    /// Identifies this start of the sender; later starts have higher numbers.
    pub incarnation: u64,
    /// Availability zone of the sender.
    pub zone: String,
    /// Position at which the sender's copy of each table ends, in the order of
    /// [`Table::ALL`](crate::frame::Table::ALL).
    pub ends: [Position; 3],
    /// Digest of the records that the sender keeps although the store lost them in a restore; 0 for
    /// none.
    pub kept: u32,
    /// Time since the sender's own reads of the store last confirmed that each copy is complete, in
    /// milliseconds; `u16::MAX` for longer and for never.
    pub unconfirmed_ms: [u16; 3],
    /// State specific to the sender's role or to the message.
    pub sender: Sender,
}

/// State specific to the sender's role or to the message.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Sender {
    /// The process next to a replica.
    Agent {
        /// Address of the replica.
        replica: SocketAddrV4,
        /// Status that the replica reports; `None` while it does not respond.
        engine: Option<EngineStatus>,
    },
    /// A process that serves callers.
    Entry {
        /// Whether the entry accepts requests from callers.
        presence: Presence,
        /// Whether the platform's store serves the entry, as far as the entry can tell.
        store: StoreAccess,
        /// Whether the sender requests the receiver's state, because it has only the receiver's
        /// address.
        wants_state: bool,
        /// The entry's requests in flight at replicas.
        loads: Loads,
        /// Addresses of other entries.
        entries: Vec<Ipv4Addr>,
        /// Replicas that accept requests for the newest version, by model.
        switched: Vec<SwitchedReplicas>,
    },
    /// State of a whole region, sent by one of its entries. The other fields of the datagram
    /// describe that entry alone.
    Region {
        /// Whether an entry of the receiver's region relayed the message.
        relayed: bool,
        /// The region's state.
        message: RegionMessage,
    },
    /// An entry's observations of requests and parts of prompts suspected of crashing replicas.
    Suspects {
        /// Whether an entry of the receiver's region relayed the message.
        relayed: bool,
        /// Suspects.
        suspects: Vec<Suspect>,
    },
    /// Backpressure of replicas, as an entry knows it.
    Signals {
        /// Whether an entry of the receiver's region relayed the message.
        relayed: bool,
        /// Signals, at most [`MAX_SIGNALS`].
        signals: Vec<ReplicaSignal>,
    },
}

/// State that one region's entries send to the entries of other regions.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RegionMessage {
    /// Recent agent reports on the region's replicas.
    Engines(Vec<EngineReport>),
    /// Requests of the region's entries in flight at replicas of any region.
    Loads(Loads),
    /// The region's entries.
    Members(Vec<Member>),
}

/// Requests of one entry or region in flight at replicas. If they exceed one datagram, they are
/// split into parts by the replica's hash, and each datagram replaces the previous one of its part.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Loads {
    /// Number of the part, counted from 0.
    pub part: u16,
    /// Number of the last part.
    pub last_part: u16,
    /// Rate of incoming requests to services that run a model, in tenths of a request per second.
    pub demand: u32,
    /// Demand for services whose requests the operator ranks, by precedence; at most
    /// [`MAX_DEMANDS`], the most urgent ones.
    pub demands: Vec<Demand>,
    /// Requests in flight, by replica.
    pub loads: Vec<Load>,
}

/// Demand for a service at one precedence.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Demand {
    /// Hash of the service's name.
    pub service: u32,
    /// Priority of the teams that send the requests.
    pub team_priority: u8,
    /// Priority of the requests' routes.
    pub route_priority: u8,
    /// Replica time that the requests of one second take, in units of 1 /
    /// [`Demand::WORK_UNITS`] seconds.
    pub work: u16,
}

impl Demand {
    /// Units of [`Demand::work`] per second.
    pub const WORK_UNITS: f64 = 16.0;
}

/// Status of a replica as its agent reported it.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct EngineReport {
    /// Address of the replica.
    pub replica: SocketAddrV4,
    /// Reported status.
    pub engine: EngineStatus,
    /// Age of the report, in milliseconds.
    pub age_ms: u16,
}

/// State of an entry as it announced it.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Member {
    /// Address of the entry.
    pub address: Ipv4Addr,
    /// Identifies this start of the entry.
    pub incarnation: u64,
    /// Whether the entry accepts requests from callers.
    pub presence: Presence,
    /// Whether the platform's store serves the entry.
    pub store: StoreAccess,
    /// Position at which the entry's copy of the operator's table ends.
    pub end: Position,
}

/// Whether the platform's store serves a process.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum StoreAccess {
    /// The last read succeeded, or the process leaves reading to others.
    Served,
    /// The last read failed.
    Unserved,
}

/// Number of replicas that have switched to a version of a model.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SwitchedReplicas {
    /// Hash of the model's name.
    pub model: u64,
    /// Version.
    pub version: u64,
    /// Number of replicas that accept requests for the version.
    pub replicas: u16,
}

/// Whether an entry accepts requests from callers.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Presence {
    /// The entry completes its requests and accepts no new ones.
    Leaving,
    /// The entry accepts requests.
    Ready,
    /// The entry's state is incomplete, or behind that of other entries.
    Starting,
}

/// Requests of one entry or region in flight at one replica.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Load {
    /// Hash that identifies one start of the replica.
    pub replica: u32,
    /// Number of requests in flight.
    pub running: u16,
    /// Number of requests in flight whose response has not begun.
    pub waiting: u16,
    /// Prompt tokens of the requests whose response has not begun, in units of
    /// [`Load::TOKENS_UNIT`].
    pub waiting_tokens: u16,
}

impl Load {
    /// Unit of [`Load::waiting_tokens`], in tokens: small next to a prompt, and large enough for the
    /// prompts of a full replica to fit into one byte.
    pub const TOKENS_UNIT: f64 = 64.0;
}

/// Status that a replica reports to its agent.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct EngineStatus {
    /// Unix time of the replica's start in milliseconds, if reported.
    pub born: Option<u64>,
    /// Version of the weights that are completely loaded; `None` without one.
    pub version: Option<u64>,
    /// Whether the replica accepts no requests because it is about to load weights.
    pub loading: bool,
    /// Whether the instance's link is saturated, so that requests to the replica wait for the link.
    pub congested: bool,
    /// Number of requests that the replica runs, by its own count.
    pub running: u16,
    /// Number of requests in the replica's queue, by its own count.
    pub queued: u16,
}

/// Backpressure that a replica signalled, as one entry knows it.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ReplicaSignal {
    /// Hash that identifies one start of the replica.
    pub replica: u32,
    /// Requests that the replica accepts from all entries together, in thousandths of a request per
    /// second; `None` without a limit.
    pub limit: Option<u32>,
    /// Time since which the limit, or its absence, counts, in milliseconds.
    pub limit_age_ms: u32,
    /// Whether the replica is leaving.
    pub leaving: bool,
    /// Time since which this counts, in milliseconds.
    pub leaving_age_ms: u32,
}
