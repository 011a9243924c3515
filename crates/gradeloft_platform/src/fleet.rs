//! A platform that keeps tables of records, and model engines that take weights in numbered pieces.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use gradeloft_policy::process::{
    document::Document,
    mirror::{Record, Update},
    replicas::Listing,
};
use gradeloft_policy::version::waves::RunningRequests;
use gradeloft_wire::{frame::Table, id::Digest};

use crate::CallFuture;

/// Time after the end of a read's wait by which an answer begins that comes at all, where answers are
/// quick. What is written is to be in force two seconds later: a wait of 1.3 s, this, and a read without a
/// wait on a new connection, for which 0.3 s are left.
pub const READ_GRACE: Duration = Duration::from_millis(400);

/// What reading a table gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableRead {
    /// The records asked for were dropped: only a snapshot helps.
    Truncated,
    /// The first of the records: the others follow from the end of these.
    Partial(Update),
    /// The records, none if the wait passed without any.
    Complete(Update),
}

/// A record that entries write into their table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// The platform's tables.
pub trait Store {
    /// The records from offset `from` on; waits up to `wait_ms` for the first. Fails once the answer is
    /// overdue by [`READ_GRACE`].
    fn follow(&self, table: Table, from: u64, wait_ms: u64) -> CallFuture<'_, TableRead>;
    /// The newest record of every key.
    fn snapshot(&self, table: Table) -> CallFuture<'_, Update>;
    /// Writes records of the table of entries, all of them or none.
    fn write(&self, rows: Vec<Put>) -> CallFuture<'_, ()>;
}

/// A record that the operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<Document>),
    /// Nothing more goes to the replicas of an availability zone, or that is taken back.
    Evacuation {
        /// Availability zone.
        zone: String,
        /// Whether it is in force.
        active: bool,
    },
    /// Nothing that concerns gradeloft.
    Other,
    /// The version of a model's weights that replicas are to serve.
    Weights {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
}

/// Reads the platform's records.
pub trait Decoder {
    /// A record of the operator's, which may be the removal of one.
    fn operator_record(&self, record: &Record) -> Result<OperatorRecord, String>;
    /// Value that tells an agent as much as a record of the operator's does: a configuration without
    /// keys, and with only so many routes that [`Document::resumes`] says the same of every service.
    /// `None` where it is the record's own.
    fn abridge(&self, _record: &Record) -> Result<Option<Bytes>, String> {
        Ok(None)
    }
    /// A replica's record.
    fn listing(&self, record: &Record) -> Result<Listing, String>;
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Unix millisecond of its start, where it says so.
    pub born: Option<u64>,
    /// Version of the layers that it holds, if it holds all of them.
    pub version: Option<u64>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Requests that run.
    pub active: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// An order to load what is staged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load<'a> {
    /// Model.
    pub model: &'a str,
    /// Version of what is staged.
    pub version: u64,
    /// Refused by engines that have seen a higher one.
    pub fence: u64,
    /// What becomes of the requests that run.
    pub running: RunningRequests,
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// It does not fit the engine's state.
    Conflict,
    /// A higher fence has been used.
    Fenced,
    /// It has begun, or is in effect already.
    Started,
}

/// The engine on this agent's own instance.
pub trait Engine {
    /// What it serves and how busy it is.
    fn state(&self) -> CallFuture<'_, State>;
    /// Positions of the pieces that lie staged.
    fn staged<'a>(&'a self, model: &'a str) -> CallFuture<'a, Vec<u32>>;
    /// Content of a staged piece; whether it is the right one is the caller's to check.
    fn piece<'a>(&'a self, model: &'a str, idx: u32) -> CallFuture<'a, Bytes>;
    /// Stages a piece in place of what lies there.
    fn stage<'a>(&'a self, model: &'a str, idx: u32, content: Bytes) -> CallFuture<'a, ()>;
    /// Orders it to load what is staged.
    fn load<'a>(&'a self, load: Load<'a>) -> CallFuture<'a, LoadOutcome>;
}

/// The origin of weights.
pub trait Origin {
    /// Digests of a version's pieces, in order.
    fn manifest<'a>(
        &'a self,
        address: SocketAddr,
        model: &'a str,
        version: u64,
    ) -> CallFuture<'a, Vec<Digest>>;
    /// Content of a piece; the caller checks its digest.
    fn piece<'a>(
        &'a self,
        address: SocketAddr,
        model: &'a str,
        version: u64,
        idx: u32,
    ) -> CallFuture<'a, Bytes>;
    /// Digest of content, by the function that the manifest uses.
    fn digest(&self, content: &[u8]) -> Digest;
}

/// Names of the headers that callers, entries and replicas use. All are in lower case.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Names one attempt of a caller; replicas echo it.
    pub attempt_id: &'static str,
    /// Milliseconds that the caller still waits.
    pub deadline: &'static str,
    /// Proves the caller's team; never passed on.
    pub api_key: &'static str,
    /// Tells the replica the team.
    pub team: &'static str,
    /// Pins a request to one start of a replica.
    pub target_replica: &'static str,
    /// Names the replica that gives an answer.
    pub replica_id: &'static str,
    /// Pins a request to a version of weights.
    pub expected_version: &'static str,
    /// Tokens of the prompt and the most that an answer may have, with a comma between.
    pub tokens: &'static str,
    /// Rank of a request in its replica's queue.
    pub priority: &'static str,
    /// Marks an answer as a replica's own.
    pub seal: &'static str,
    /// Says that the replica ran nothing.
    pub not_executed: &'static str,
}

/// What a caller says when it asks for addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// Host that it is to reach; empty if it does not say.
    pub host: String,
    /// Its region, if it says.
    pub region: Option<String>,
}

/// How callers and the platform ask an entry for what is no request to forward.
pub trait Directory {
    /// Path at which callers ask for addresses.
    fn lookup_path(&self) -> &str;
    /// What the query of a look-up says.
    fn lookup(&self, _query: &str) -> Lookup {
        Lookup::default()
    }
    /// Path at which the platform asks whether an entry is ready.
    fn readiness_path(&self) -> &str;
    /// Body of an answer that names addresses, which callers keep for `ttl_s` seconds.
    fn addresses(&self, addresses: &[SocketAddr], ttl_s: u64) -> Vec<u8>;
}
