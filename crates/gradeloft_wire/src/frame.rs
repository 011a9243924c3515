//! Messages between gradeloft's own processes.
//!
//! Every h2 stream opens with one [`Call`]; the other side answers with [`Reply`] frames until it
//! closes the stream.

use bincode::{Decode, Encode};

use crate::{
    error::Kind,
    id::{Digest, RequestId},
    record::SignedBundle,
};

/// First frame of a stream: what its opener wants.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Call {
    /// Tell me your state now and whenever it changes: [`Reply::Notice`] frames without end.
    Watch,
    /// Run a request: [`Reply::Refused`], or [`Reply::Head`], [`Reply::Piece`]s and a
    /// [`Reply::End`].
    Work(Work),
    /// Send this content: one [`Reply::Chunk`] or [`Reply::Absent`].
    Chunk {
        /// The content wanted.
        digest: Digest,
    },
    /// Tell me which chunks of a manifest you hold, now and whenever there are more:
    /// [`Reply::Have`] frames without end.
    Follow {
        /// Digest of the manifest.
        manifest: Digest,
    },
    /// Send the bundle in force if its number is above this one: one [`Reply::Bundles`].
    Sync {
        /// Highest number that the caller has; 0 for none.
        number: u64,
    },
    /// Lend me shares of teams' rates, for which you are the home: one [`Reply::Leased`].
    Lease {
        /// Instance that asks.
        node: String,
        /// What it asks for.
        requests: Vec<TeamLeaseRequest>,
    },
    /// Here is a bundle that is in force: one [`Reply::Bundles`], empty.
    Push(SignedBundle),
    /// Send what brings a copy of a table up to date: one [`Reply::Records`].
    Records {
        /// Table.
        table: Table,
        /// Offset of the first record that the caller has not seen.
        from: u64,
        /// Whether to leave out of the operator's records what only entries need.
        abridged: bool,
    },
    /// Send the digests of a version's pieces: one [`Reply::Pieces`] or [`Reply::Absent`].
    Pieces {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// Send a value that was announced by [`Value::Deferred`]: its [`Reply::Part`]s in order up to the end,
    /// or one [`Reply::Absent`].
    Parts {
        /// Table.
        table: Table,
        /// Position of the record in the table.
        offset: u64,
        /// Bytes of the value that the caller has already.
        start: u64,
        /// What the caller is.
        caller: Role,
    },
}

/// What a process is.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Role {
    /// Beside a replica.
    Agent,
    /// Talks to callers.
    Entry,
}

/// Frames of an answer.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Reply {
    /// Not run, or not known to have run; [`Kind::ran`] tells which.
    Refused {
        /// Attempt.
        request: RequestId,
        /// Why.
        kind: Kind,
    },
    /// The endpoint's answer begins.
    Head {
        /// Attempt.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type; empty for none.
        content_type: String,
    },
    /// A piece of the answer.
    Piece {
        /// Attempt.
        request: RequestId,
        /// Version whose weights made it; empty for services.
        version: String,
        /// Position, from 0 without gaps.
        seq: u64,
        /// Text of a token, or bytes of a body.
        data: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// Attempt.
        request: RequestId,
        /// Version whose weights made it; empty for services.
        version: String,
        /// Number of pieces.
        count: u64,
        /// Digest of all pieces' data, in order.
        digest: Digest,
    },
    /// A chunk's content.
    Chunk(Vec<u8>),
    /// The sender does not hold it, or has no slot free now.
    Absent(Absence),
    /// Positions, among the manifest's distinct chunks, that the sender holds since its last
    /// such frame.
    Have(Vec<u32>),
    /// Signed bundles, lowest number first.
    Bundles(Vec<SignedBundle>),
    /// What is lent, in the order of the asks.
    Leased(Vec<Units>),
    /// State of the sender.
    Notice(Notice),
    /// Digests of a version's pieces, in order.
    Pieces(Vec<Digest>),
    /// Part of a table.
    Records {
        /// Whether `rows` are the newest of every key, in place of the records since the offset.
        snapshot: bool,
        /// Records in order of offset.
        rows: Vec<Row>,
        /// Offset of the record that comes next.
        end: u64,
        /// Whether the sender has read the table from the store without interruption, so that what
        /// was removed from it is gone.
        sound: bool,
    },
    /// The next bytes of a record's value.
    Part(Vec<u8>),
}

/// A table of the platform's store that processes copy from each other.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, Hash, PartialEq)]
pub enum Table {
    /// Entries, written by themselves.
    Entries,
    /// What the operator writes: the configuration and the versions of weights.
    Operator,
    /// Replicas, written by themselves.
    Replicas,
}

impl Table {
    /// Every table.
    pub const ALL: [Table; 3] = [Table::Entries, Table::Operator, Table::Replicas];
}

/// A record of a table.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Position in the table.
    pub offset: u64,
    /// For how long it has counted as written to the sender, in milliseconds; the largest number for longer.
    pub age_ms: u16,
}

/// Value of a record, as a peer tells it.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Value {
    /// Too large for this frame: to be asked for by [`Call::Parts`].
    Deferred {
        /// Bytes.
        length: u64,
        /// Of all of it, so that parts that came from several peers are known to fit together.
        digest: Digest,
    },
    /// The key is deleted.
    Deleted,
    /// All of it.
    Inline(Vec<u8>),
}

/// Thousandths of requests and of tokens a second.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Units {
    /// Of requests.
    pub requests: u64,
    /// Of tokens.
    pub tokens: u64,
}

/// An ask for a share of one team's rate.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct TeamLeaseRequest {
    /// Team.
    pub team: String,
    /// What callers want of the asker.
    pub demand: Units,
    /// What the asker holds by lease.
    pub held: Units,
}

/// Why a peer gives no chunk.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Absence {
    /// Every upload slot is taken: ask again soon.
    Busy,
    /// It is shutting down.
    Leaving,
    /// It does not hold the chunk.
    NotHeld,
    /// It is about to read the chunk from the origin, or has not heard of it yet.
    Pending,
}

/// What a request is pinned to when it is admitted, for its whole life.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pin {
    /// Model.
    pub model: String,
    /// Adapter, if one is used.
    pub adapter: Option<String>,
    /// Version of the model, or of the adapter where one is used.
    pub version: String,
}

/// One attempt at a request, from an entry to an agent.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Work {
    /// This attempt.
    pub request: RequestId,
    /// Team, for logs and metrics.
    pub team: String,
    /// Position of the class in the bundle's list; 0 is the most important.
    pub class: u8,
    /// Milliseconds left until the caller's deadline, when sent.
    pub deadline_ms: u32,
    /// What to run.
    pub job: Job,
}

/// What an attempt asks of its endpoint.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Job {
    /// Generate text.
    Generate {
        /// Weights to use.
        pin: Pin,
        /// Prompt.
        prompt: String,
        /// Most tokens.
        max_tokens: u32,
    },
    /// Call a plain service.
    Service {
        /// Service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path and query below the service.
        path: String,
        /// Content type; empty for none.
        content_type: String,
        /// Body.
        body: Vec<u8>,
        /// Whether it may run more than once.
        repeat: Repeat,
    },
}

/// Whether a call may run more than once.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Repeat {
    /// Idempotent: may run again.
    Allowed,
    /// At most once; a lost reply leaves its outcome unknown.
    Never,
    /// At most once for all calls with this key.
    Key(String),
}

/// State of an agent, pushed to those who watch it.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Notice {
    /// Instance.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the bundle in force there; 0 for none.
    pub bundle: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Weights that it serves, checked against the engine.
    pub serving: Vec<Pin>,
    /// Plain service that it serves.
    pub service: Option<String>,
    /// Requests running at the endpoint.
    pub running: u32,
    /// Requests that the endpoint can run at once.
    pub capacity: u32,
}
