//! Messages between gradeloft's own processes.
//!
//! The client opens each HTTP/2 stream with one [`Call`]; the server sends [`Reply`] frames until
//! it closes the stream.

use bincode::{Decode, Encode};

use crate::{
    error::Kind,
    id::{Digest, RequestId},
    position::Position,
    record::SignedBundle,
};

/// First frame of a stream: the request of its client.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Call {
    /// Subscribe to the server's state: [`Reply::Notice`] frames, now and after each change,
    /// without end.
    Watch,
    /// Run a request: [`Reply::Refused`], or [`Reply::Head`], [`Reply::Piece`]s and a
    /// [`Reply::End`].
    Work(Work),
    /// Fetch a chunk: one [`Reply::Chunk`] or [`Reply::Absent`].
    Chunk {
        /// Digest of the chunk.
        digest: Digest,
    },
    /// Subscribe to the server's chunks of a manifest: [`Reply::Have`] frames, now and whenever it
    /// gets more, without end.
    Follow {
        /// Digest of the manifest.
        manifest: Digest,
    },
    /// Fetch the bundle in force if its number is higher than this one: one [`Reply::Bundles`].
    Sync {
        /// Highest bundle number that the client has; 0 for none.
        number: u64,
    },
    /// Lease shares of the rates of teams whose home is the server: one [`Reply::Leased`].
    Lease {
        /// Instance that sends the call.
        node: String,
        /// Requested shares.
        requests: Vec<TeamLeaseRequest>,
    },
    /// Push the bundle in force: one empty [`Reply::Bundles`].
    Push(SignedBundle),
    /// Fetch the records that a copy of a table lacks: one [`Reply::Records`], or
    /// [`Reply::Absent`].
    Records {
        /// Table.
        table: Table,
        /// Position of the first record that the client lacks.
        from: Position,
        /// Whether to omit the parts of the operator's records that only entries need.
        abridged: bool,
    },
    /// Fetch the digests of a version's pieces: one [`Reply::Pieces`] or [`Reply::Absent`].
    Pieces {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// Fetch a value announced by [`Value::Deferred`]: the remaining [`Reply::Part`]s in order, or
    /// one [`Reply::Absent`].
    Parts {
        /// Table.
        table: Table,
        /// Position of the record in the table.
        position: Position,
        /// Number of bytes of the value that the client already has.
        start: u64,
        /// Role of the client.
        caller: Role,
    },
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Role {
    /// Process next to a replica.
    Agent,
    /// Process that serves callers.
    Entry,
}

/// Frame of a response.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Reply {
    /// The request failed; [`Kind::ran`] tells whether it ran.
    Refused {
        /// Attempt.
        request: RequestId,
        /// Reason.
        kind: Kind,
    },
    /// Start of the endpoint's response.
    Head {
        /// Attempt.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type; empty for none.
        content_type: String,
    },
    /// A piece of the response.
    Piece {
        /// Attempt.
        request: RequestId,
        /// Version of the weights that generated the piece; empty for services.
        version: String,
        /// Sequence number, from 0 without gaps.
        seq: u64,
        /// Text of a token, or bytes of the body.
        data: Vec<u8>,
    },
    /// End of a complete response.
    End {
        /// Attempt.
        request: RequestId,
        /// Version of the weights that generated the response; empty for services.
        version: String,
        /// Number of pieces sent.
        count: u64,
        /// Digest of the data of all pieces, in order.
        digest: Digest,
    },
    /// Content of a chunk.
    Chunk(Vec<u8>),
    /// The server can't send the requested content now.
    Absent(Absence),
    /// Positions, among the manifest's distinct chunks, of the chunks that the server got since its
    /// previous [`Reply::Have`].
    Have(Vec<u32>),
    /// Signed bundles, lowest number first.
    Bundles(Vec<SignedBundle>),
    /// Leased shares, in the order of the requests.
    Leased(Vec<MilliRates>),
    /// State of the server.
    Notice(Notice),
    /// Digests of a version's pieces, in order.
    Pieces(Vec<Digest>),
    /// Records of a table.
    Records {
        /// Whether `rows` are the newest record of every key, instead of the records from the
        /// requested position on.
        snapshot: bool,
        /// Records in order of position.
        rows: Vec<Row>,
        /// Position of the record after the last one.
        end: Position,
        /// Whether the server's own reads of the table from the store have succeeded for at least
        /// [`VOUCHED_MS`], so that none of the removals up to `end` in this time is an error of the
        /// store. Otherwise the server knows nothing about the store.
        sound: bool,
    },
    /// Next bytes of a record's value.
    Part(Vec<u8>),
}

/// Shortest time of uninterrupted reads for which [`Reply::Records`] is sound, in milliseconds.
pub const VOUCHED_MS: u64 = 2_000;

/// A table of the platform's store that processes copy from each other.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, Hash, PartialEq)]
pub enum Table {
    /// Registered entries, written by the entries.
    Entries,
    /// Configuration and versions of weights, written by the operator.
    Operator,
    /// Registered replicas, written by the replicas.
    Replicas,
}

impl Table {
    /// All tables, in the order in which messages list them.
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
    pub position: Position,
    /// Age of the record as the sender knows it, in milliseconds; `u16::MAX` for longer.
    pub age_ms: u16,
}

/// Value of a record in a reply.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Value {
    /// The value is too large for this frame; [`Call::Parts`] fetches it.
    Deferred {
        /// Length of the value, in bytes.
        length: u64,
        /// Digest of the whole value, which shows whether parts from several peers fit together.
        digest: Digest,
    },
    /// The key is deleted.
    Deleted,
    /// The whole value.
    Inline(Vec<u8>),
}

/// Rates of requests and of tokens, in thousandths per second.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct MilliRates {
    /// Thousandths of requests per second.
    pub requests: u64,
    /// Thousandths of tokens per second.
    pub tokens: u64,
}

/// Request to lease a share of one team's rate.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct TeamLeaseRequest {
    /// Team.
    pub team: String,
    /// Rate that the callers of the requesting entry demand.
    pub demand: MilliRates,
    /// Rate that the requesting entry holds by leases.
    pub held: MilliRates,
}

/// Reason why a peer doesn't send the requested content.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Absence {
    /// Every upload slot is taken; the client may retry soon.
    Busy,
    /// The peer is shutting down.
    Leaving,
    /// The peer doesn't hold the content.
    NotHeld,
    /// The peer is about to read the content from the origin, or doesn't know of the content yet.
    Pending,
}

/// Weights to which a request is pinned from admission to its end.
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
    /// Id of the attempt.
    pub request: RequestId,
    /// Team, for logs and metrics.
    pub team: String,
    /// Position of the class in the bundle's list; 0 is the most important.
    pub class: u8,
    /// Time left until the caller's deadline when the frame was sent, in milliseconds.
    pub deadline_ms: u32,
    /// Work for the endpoint.
    pub job: Job,
}

/// Work that an attempt sends to its endpoint.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Job {
    /// Generate text.
    Generate {
        /// Weights to use.
        pin: Pin,
        /// Prompt.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// Call a plain service.
    Service {
        /// Service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path and query, relative to the service.
        path: String,
        /// Content type; empty for none.
        content_type: String,
        /// Body.
        body: Vec<u8>,
        /// Whether the call may run more than once.
        repeat: Repeat,
    },
}

/// Whether a call may run more than once.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Repeat {
    /// The call is idempotent and may run again.
    Allowed,
    /// The call runs at most once; if its reply is lost, its outcome stays unknown.
    Never,
    /// All calls with this idempotency key together run at most once.
    Key(String),
}

/// State of an agent, sent to its watchers.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Notice {
    /// Instance.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the bundle in force at the agent; 0 for none.
    pub bundle: u64,
    /// Whether the agent accepts no new work.
    pub leaving: bool,
    /// Weights served, as the engine confirms them.
    pub serving: Vec<Pin>,
    /// Plain service served, if any.
    pub service: Option<String>,
    /// Requests running at the endpoint.
    pub running: u32,
    /// Requests that the endpoint can run at once.
    pub capacity: u32,
}
