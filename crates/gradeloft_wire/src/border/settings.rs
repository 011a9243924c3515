#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Settings of an agent."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    #[doc = "Memory for chunks kept for peers, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 268435456>")]
    pub chunk_memory_bytes: u64,
    pub endpoint: Endpoint,
    #[doc = "Chunks fetched at once."]
    #[serde(default = "defaults::default_u64::<u64, 8>")]
    pub fetch_slots: u64,
    #[doc = "Speed of the instance's link, in bytes a second, that weights and live requests share."]
    #[serde(default = "defaults::default_u64::<u64, 1250000000>")]
    pub link_bytes_per_s: u64,
    #[doc = "Requests that the endpoint is given at once."]
    #[serde(default = "defaults::default_u64::<u64, 32>")]
    pub running: u64,
    #[doc = "Chunks given to peers at once."]
    #[serde(default = "defaults::default_u64::<u64, 4>")]
    pub upload_slots: u64,
}
#[doc = "The endpoint beside the agent."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    pub kind: EndpointKind,
    #[doc = "Name of the service; plain services only."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
    #[doc = "Base URL of the endpoint."]
    pub url: ::std::string::String,
}
#[doc = "A model engine or a plain service."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum EndpointKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "service")]
    Service,
}
impl ::std::fmt::Display for EndpointKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for EndpointKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EndpointKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndpointKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Settings of an entry."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    #[doc = "How long callers may keep an address answer, in seconds."]
    #[serde(default = "defaults::default_u64::<u64, 2>")]
    pub address_ttl_s: u64,
    #[doc = "Longest time between two checkpoints of the bundle in force on the log, in seconds; at most half of the log's retention."]
    #[serde(default = "defaults::default_u64::<u64, 21600>")]
    pub checkpoint_s: u64,
    #[doc = "Retries allowed per hundred fresh requests."]
    #[serde(default = "defaults::default_u64::<u64, 10>")]
    pub retry_percent: u64,
}
impl ::std::default::Default for Entry {
    fn default() -> Self {
        Self {
            address_ttl_s: defaults::default_u64::<u64, 2>(),
            checkpoint_s: defaults::default_u64::<u64, 21600>(),
            retry_percent: defaults::default_u64::<u64, 10>(),
        }
    }
}
#[doc = "Bounds on what a process takes in; every one has a default."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    #[doc = "Largest request body, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub body_bytes: u64,
    #[doc = "Largest chunk of weights, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 16777216>")]
    pub chunk_bytes: u64,
    #[doc = "Memory that clients of all ports may make the process hold, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 134217728>")]
    pub client_memory_bytes: u64,
    #[doc = "Connections open at once on one port."]
    #[serde(default = "defaults::default_u64::<u64, 1024>")]
    pub connections: u64,
    #[doc = "Longest graceful shutdown, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub drain_ms: u64,
    #[doc = "Largest frame between processes other than a chunk, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 2097152>")]
    pub frame_bytes: u64,
    #[doc = "Largest request head, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 16384>")]
    pub header_bytes: u64,
    #[doc = "A silent connection, or a reply that stalls, ends after this, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub idle_ms: u64,
    #[doc = "Longest life of a request, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 120000>")]
    pub request_ms: u64,
    #[doc = "Concurrent streams on one peer connection."]
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub streams_per_connection: u32,
}
impl ::std::default::Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: defaults::default_u64::<u64, 1048576>(),
            chunk_bytes: defaults::default_u64::<u64, 16777216>(),
            client_memory_bytes: defaults::default_u64::<u64, 134217728>(),
            connections: defaults::default_u64::<u64, 1024>(),
            drain_ms: defaults::default_u64::<u64, 30000>(),
            frame_bytes: defaults::default_u64::<u64, 2097152>(),
            header_bytes: defaults::default_u64::<u64, 16384>(),
            idle_ms: defaults::default_u64::<u64, 30000>(),
            request_ms: defaults::default_u64::<u64, 120000>(),
            streams_per_connection: defaults::default_u64::<u32, 256>(),
        }
    }
}
#[doc = "Addresses to listen on, as ip:port."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    #[doc = "Health, metrics and status."]
    pub admin: ::std::string::String,
    #[doc = "Where the system's other processes connect."]
    pub peer: ::std::string::String,
    #[doc = "Where callers connect; entries only."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub public: ::std::option::Option<::std::string::String>,
    #[doc = "IP address that connections to peers and to the platform come from; chosen by the system if absent."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub source: ::std::option::Option<::std::string::String>,
}
#[doc = "Least severe level that is logged."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum LogLevel {
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "warning")]
    Warning,
    #[serde(rename = "error")]
    Error,
}
impl ::std::fmt::Display for LogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Debug => f.write_str("debug"),
            Self::Info => f.write_str("info"),
            Self::Warning => f.write_str("warning"),
            Self::Error => f.write_str("error"),
        }
    }
}
impl ::std::str::FromStr for LogLevel {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "debug" => Ok(Self::Debug),
            "info" => Ok(Self::Info),
            "warning" => Ok(Self::Warning),
            "error" => Ok(Self::Error),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Who and where the process is."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Node {
    #[doc = "Name of the instance, unique in the fleet."]
    pub id: ::std::string::String,
    #[doc = "Region."]
    pub region: ::std::string::String,
    #[doc = "Availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Base URLs of the platform's services."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    #[doc = "List of instances."]
    pub list: ::std::string::String,
    #[doc = "Append-only log."]
    pub log: ::std::string::String,
    #[doc = "Origin of weights."]
    pub origin: ::std::string::String,
    #[doc = "Rate-limited weight store."]
    pub store: ::std::string::String,
}
#[doc = "A publisher of bundles."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Publisher {
    #[doc = "ed25519 public key in hex."]
    pub key: ::std::string::String,
    #[doc = "Name shown in histories."]
    pub name: ::std::string::String,
}
#[doc = "Which of the two roles the process has."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Role {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "agent")]
    Agent,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Agent => f.write_str("agent"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Settings of one process."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub agent: ::std::option::Option<Agent>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub entry: ::std::option::Option<Entry>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<Limits>,
    pub listen: Listen,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log_level: ::std::option::Option<LogLevel>,
    pub node: Node,
    pub platform: Platform,
    #[doc = "Keys whose bundles are trusted before any bundle is in force."]
    pub publishers: ::std::vec::Vec<Publisher>,
    pub role: Role,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
