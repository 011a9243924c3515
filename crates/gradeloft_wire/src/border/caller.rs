#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "One entry to call."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Address {
    #[doc = "ip:port."]
    pub address: ::std::string::String,
    #[doc = "Share of requests, relative to the others."]
    pub weight: u32,
    #[doc = "Its availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Answer to an address query."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    #[doc = "Entries in order of use."]
    pub addresses: ::std::vec::Vec<Address>,
    #[doc = "How long the answer may be kept, in seconds."]
    pub ttl_s: u64,
}
#[doc = "The bundle in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleStatus {
    #[doc = "Digest in hex."]
    pub digest: ::std::string::String,
    #[doc = "Number."]
    pub number: u64,
    #[doc = "Who signed it."]
    pub signer: ::std::string::String,
}
#[doc = "Last event of a whole answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct End {
    #[doc = "Adapter."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Number of tokens."]
    pub count: u64,
    #[doc = "blake3 digest of all text, in hex."]
    pub digest: ::std::string::String,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Id of the request."]
    pub request_id: ::std::string::String,
    #[doc = "Version whose weights answered."]
    pub version: ::std::string::String,
}
#[doc = "Body of every error answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Error {
    #[doc = "Kind of error, from the closed list."]
    pub kind: ::std::string::String,
    #[doc = "What happened and what to do."]
    pub message: ::std::string::String,
    pub ran: Ran,
    #[doc = "Id of the request."]
    pub request_id: ::std::string::String,
    #[doc = "Seconds to wait before the next try."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_s: ::std::option::Option<u64>,
    #[doc = "Whether the caller may send the request again as it is."]
    pub retryable: bool,
}
#[doc = "Body of a generate request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    #[doc = "Adapter to use."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Most tokens to generate."]
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub max_tokens: u32,
    #[doc = "Text to go on from."]
    pub prompt: ::std::string::String,
}
#[doc = "Whether the request ran."]
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
pub enum Ran {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "yes")]
    Yes,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Unknown => f.write_str("unknown"),
            Self::Yes => f.write_str("yes"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            "yes" => Ok(Self::Yes),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "State of one process, from its admin port."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Status {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bundle: ::std::option::Option<BundleStatus>,
    #[doc = "Epoch of the agent."]
    #[serde(default)]
    pub epoch: u64,
    #[doc = "Whether it is shutting down."]
    #[serde(default)]
    pub leaving: bool,
    #[doc = "Instance."]
    pub node: ::std::string::String,
    #[doc = "Peers connected."]
    #[serde(default)]
    pub peers: u64,
    #[doc = "Whether it takes work."]
    pub ready: bool,
    #[doc = "Role."]
    pub role: ::std::string::String,
    #[doc = "Where the bundle came from: log, peer or none."]
    pub source: ::std::string::String,
    #[doc = "Versions on the replica."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub versions: ::std::vec::Vec<VersionStatus>,
    #[doc = "Availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "One streamed piece of an answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Token {
    #[doc = "Position, from 0."]
    pub seq: u64,
    #[doc = "Text."]
    pub text: ::std::string::String,
}
#[doc = "One version on a replica."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VersionStatus {
    #[doc = "Adapter."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Why it stopped."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fault: ::std::option::Option<::std::string::String>,
    #[doc = "Chunks read from the origin."]
    #[serde(default)]
    pub from_origin: u64,
    #[doc = "Chunks read from peers."]
    #[serde(default)]
    pub from_peers: u64,
    #[doc = "Chunks read from the weight store."]
    #[serde(default)]
    pub from_store: u64,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Phase of its life cycle."]
    pub phase: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
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
