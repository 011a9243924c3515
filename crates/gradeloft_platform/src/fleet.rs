//! Interface to a platform with tables of records, and with model engines that load weights from
//! numbered chunks.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use gradeloft_policy::process::{
    document::Document,
    mirror::{Record, Update},
    replicas::Listing,
};
use gradeloft_policy::version::waves::RunningRequests;
use gradeloft_wire::{frame::Table, id::Digest, position::Position};

use crate::CallFuture;

/// Time after the end of a long poll's wait within which the response of a quick store has to
/// begin. A write has to be in force within two seconds, which have to suffice for a wait of 1.3 s,
/// this time, and a read without a wait on a new connection (0.3 s).
pub const READ_GRACE: Duration = Duration::from_millis(400);

/// The result of reading a table from a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableRead {
    /// The store was restored since the position was read; a snapshot has to be read instead.
    Restored,
    /// The store has truncated the requested records, or they are too large for one read; a
    /// snapshot has to be read instead.
    Truncated,
    /// The first records; a read from the end of this update returns more.
    Partial(Update),
    /// All records from the position on; empty if none was written during the wait.
    Complete(Update),
}

/// A record for the table of entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// The tables in the platform's store.
pub trait Store {
    /// Reads the records from position `from` on, with a long poll of up to `wait_ms` for the first
    /// one. Fails if the response has not begun [`READ_GRACE`] after the wait.
    fn follow(&self, table: Table, from: Position, wait_ms: u64) -> CallFuture<'_, TableRead>;
    /// Reads the latest record of each key.
    fn snapshot(&self, table: Table) -> CallFuture<'_, Update>;
    /// Writes records to the table of entries atomically. Returns the era of the store in which the
    /// records were written; a restore of the store loses them.
    fn write(&self, rows: Vec<Put>) -> CallFuture<'_, u32>;
}

/// A decoded record of the operator's table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<Document>),
    /// The start or end of the evacuation of an availability zone. Replicas of an evacuated zone
    /// get no new requests.
    Evacuation {
        /// Availability zone.
        zone: String,
        /// Whether the evacuation is in force.
        active: bool,
    },
    /// A record that gradeloft does not use.
    Other,
    /// The version of a model's weights that replicas have to serve.
    Weights {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
}

/// Decodes the platform's records.
pub trait Decoder {
    /// Decodes a record of the operator's table; a record without a value is a deletion.
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String>;
    /// Returns a shorter value of an operator's record with all that agents use: a configuration
    /// without keys, and with only the routes that [`Document::resumes`] needs for the same result
    /// for each service. Returns `None` if the record can't be shortened.
    fn abridge(&self, _record: &Record) -> Result<Option<Bytes>, String> {
        Ok(None)
    }
    /// Decodes a record of the replicas' table.
    fn listing(&self, record: &Record) -> Result<Listing, String>;
    /// Returns the path at which replicas tell their state, without needing a free slot. Replicas of
    /// some services may not know it.
    fn state_path(&self) -> Option<&str> {
        None
    }
    /// Returns the start time in a replica's state, in Unix milliseconds.
    fn born(&self, _state: &[u8]) -> Option<u64> {
        None
    }
}

/// State that an engine reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Start time of the engine in Unix milliseconds, if reported.
    pub born: Option<u64>,
    /// Version of the loaded weights, if all layers are loaded.
    pub version: Option<u64>,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of running requests.
    pub active: u32,
    /// Number of queued requests.
    pub queued: u32,
}

/// An order to load the staged weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load<'a> {
    /// Model.
    pub model: &'a str,
    /// Version of the staged weights.
    pub version: u64,
    /// Fencing token; an engine refuses an order whose token is lower than one that it has seen.
    pub fence: u64,
    /// Whether running requests are cut off or finish first.
    pub running: RunningRequests,
}

/// Response of an engine to a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The order conflicts with the engine's state.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Loading has started, or the weights are loaded already.
    Started,
}

/// Interface of the model engine on the agent's instance.
pub trait Engine {
    /// Returns the engine's state.
    fn state(&self) -> CallFuture<'_, State>;
    /// Returns the positions of the staged chunks.
    fn staged<'a>(&'a self, model: &'a str) -> CallFuture<'a, Vec<u32>>;
    /// Returns the content of a staged chunk; the caller checks its digest.
    fn chunk<'a>(&'a self, model: &'a str, idx: u32) -> CallFuture<'a, Bytes>;
    /// Stages a chunk, replacing the one at this position.
    fn stage<'a>(&'a self, model: &'a str, idx: u32, content: Bytes) -> CallFuture<'a, ()>;
    /// Orders the engine to load the staged weights.
    fn load<'a>(&'a self, load: Load<'a>) -> CallFuture<'a, LoadOutcome>;
}

/// Interface of the origin of weights.
pub trait Origin {
    /// Returns the digests of a version's chunks, in order.
    fn manifest<'a>(
        &'a self,
        address: SocketAddr,
        model: &'a str,
        version: u64,
    ) -> CallFuture<'a, Vec<Digest>>;
    /// Returns the content of a chunk; the caller checks its digest.
    fn chunk<'a>(
        &'a self,
        address: SocketAddr,
        model: &'a str,
        version: u64,
        idx: u32,
    ) -> CallFuture<'a, Bytes>;
    /// Returns the digest of content, computed with the manifest's hash function.
    fn digest(&self, content: &[u8]) -> Digest;
}

/// Names of the headers that callers, entries and replicas use.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Id of a caller's attempt; replicas echo it.
    pub attempt_id: &'static str,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline: &'static str,
    /// API key of the caller's team; never forwarded.
    pub api_key: &'static str,
    /// Team of the caller, set for the replica.
    pub team: &'static str,
    /// Id of the replica, including its start, that has to run the request.
    pub target_replica: &'static str,
    /// Id of the replica that responds.
    pub replica_id: &'static str,
    /// Version of weights that has to run the request.
    pub expected_version: &'static str,
    /// Number of prompt tokens and limit of output tokens, separated by a comma.
    pub tokens: &'static str,
    /// Parts of the prompt in order, as comma-separated entries of an id, a colon and a number of
    /// tokens. Requests share parts, other than the last one.
    pub prompt_parts: &'static str,
    /// Priority of the request in the replica's queue.
    pub priority: &'static str,
    /// Marks a response as created by a replica.
    pub seal: &'static str,
    /// Marks a response to a request that the replica did not execute.
    pub not_executed: &'static str,
    /// Requests a second that a replica accepts from all entries together, as a decimal number;
    /// only in the responses of a replica that limits them.
    pub limit: &'static str,
    /// `1` in the responses of a replica that is leaving and accepts no new requests.
    pub leaving: &'static str,
}

/// Parameters of a caller's address lookup.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// Host to look up; empty if not given.
    pub host: String,
    /// Region of the caller, if given.
    pub region: Option<String>,
}

/// Protocol of the address lookups and readiness checks that an entry answers itself.
pub trait Directory {
    /// Returns the path of address lookups.
    fn lookup_path(&self) -> &str;
    /// Parses the query of an address lookup.
    fn lookup(&self, _query: &str) -> Lookup {
        Lookup::default()
    }
    /// Returns the path of readiness checks.
    fn readiness_path(&self) -> &str;
    /// Returns the response body with the addresses of a lookup, which callers cache for `ttl_s`
    /// seconds.
    fn addresses(&self, addresses: &[SocketAddr], ttl_s: u64) -> Vec<u8>;
}
