#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "What to do."]
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
pub enum Action {
    #[serde(rename = "load")]
    Load,
    #[serde(rename = "unload")]
    Unload,
}
impl ::std::fmt::Display for Action {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Load => f.write_str("load"),
            Self::Unload => f.write_str("unload"),
        }
    }
}
impl ::std::str::FromStr for Action {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load" => Ok(Self::Load),
            "unload" => Ok(Self::Unload),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Action {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Action {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Request to append records to a stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Append {
    #[doc = "Records in base64, in order."]
    pub records: ::std::vec::Vec<::std::string::String>,
}
#[doc = "Answer to an append."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Appended {
    #[doc = "Offset of the first record."]
    pub first_offset: u64,
}
#[doc = "End of an engine's answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineEnd {
    #[doc = "Number of tokens."]
    pub count: u64,
    #[doc = "Id."]
    pub request_id: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
}
#[doc = "A request to an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineRequest {
    #[doc = "Adapter."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Most tokens."]
    pub max_tokens: u32,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "0 is served first."]
    pub priority: u32,
    #[doc = "Prompt."]
    pub prompt: ::std::string::String,
    #[doc = "Id to echo."]
    pub request_id: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
}
#[doc = "State of an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    #[doc = "Versions that it can hold."]
    pub capacity: u32,
    pub fence: Fence,
    #[doc = "Requests running."]
    pub running: u32,
    #[doc = "What it serves."]
    pub serving: ::std::vec::Vec<Weights>,
    #[doc = "Requests waiting."]
    pub waiting: u32,
}
#[doc = "One token of an engine's answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineToken {
    #[doc = "Id."]
    pub request_id: ::std::string::String,
    #[doc = "Position."]
    pub seq: u64,
    #[doc = "Text."]
    pub text: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
}
#[doc = "Orders with a lower fence are stale."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    #[doc = "Number of the bundle behind the order."]
    pub bundle: u64,
    #[doc = "Epoch of the agent."]
    pub epoch: u64,
}
#[doc = "One instance of the list."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    #[doc = "Admin address, ip:port."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub admin: ::std::option::Option<::std::string::String>,
    #[doc = "Name."]
    pub id: ::std::string::String,
    #[doc = "Peer address, ip:port."]
    pub peer: ::std::string::String,
    #[doc = "Public address of an entry, ip:port."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub public: ::std::option::Option<::std::string::String>,
    #[doc = "Region."]
    pub region: ::std::string::String,
    pub role: InstanceRole,
    #[doc = "Service behind an agent; absent for an engine."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
    pub state: InstanceState,
    #[doc = "Availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Role of the process there."]
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
pub enum InstanceRole {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "agent")]
    Agent,
}
impl ::std::fmt::Display for InstanceRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Agent => f.write_str("agent"),
        }
    }
}
impl ::std::str::FromStr for InstanceRole {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceRole {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What the platform knows of it."]
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
pub enum InstanceState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for InstanceState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for InstanceState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The list of instances."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    #[doc = "Instances."]
    pub instances: ::std::vec::Vec<Instance>,
}
#[doc = "An order to an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Order {
    pub action: Action,
    pub fence: Fence,
    pub weights: Weights,
}
#[doc = "A page of a stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Page {
    #[doc = "Offset of the next append."]
    pub next: u64,
    #[doc = "Oldest offset still kept."]
    pub oldest: u64,
    #[doc = "Records in order of offset."]
    pub records: ::std::vec::Vec<Record>,
}
#[doc = "A record of a stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Record {
    #[doc = "Base64."]
    pub data: ::std::string::String,
    #[doc = "Offset."]
    pub offset: u64,
    #[doc = "When the log took it, in milliseconds since 1970."]
    pub time_ms: u64,
}
#[doc = "Why an endpoint refused."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fence: ::std::option::Option<Fence>,
    #[doc = "Reason."]
    pub reason: ::std::string::String,
}
#[doc = "A model, adapter or version that an engine holds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    #[doc = "Adapter."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Digest of the manifest, in hex."]
    pub manifest: ::std::string::String,
    #[doc = "Model."]
    pub model: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
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
