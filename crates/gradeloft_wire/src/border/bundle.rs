#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An adapter of a model."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    #[doc = "Digest of its manifest."]
    pub manifest: ::std::string::String,
    #[doc = "Name."]
    pub name: ::std::string::String,
    #[doc = "Version."]
    pub version: ::std::string::String,
}
#[doc = "One version of the fleet's configuration."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    #[doc = "Classes of requests, most important first."]
    #[serde(default = "defaults::bundle_classes")]
    pub classes: ::std::vec::Vec<::std::string::String>,
    #[doc = "Version of this format; 1."]
    pub format: u32,
    #[doc = "Models."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<Model>,
    #[doc = "Free text shown in the history."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub note: ::std::option::Option<::std::string::String>,
    #[doc = "Grows by one from bundle to bundle; the first is 1."]
    pub number: u64,
    #[doc = "Digest of the bundle that this one replaces; absent in the first."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    #[doc = "Who may sign the next bundle."]
    pub publishers: ::std::vec::Vec<Publisher>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rollout: ::std::option::Option<Rollout>,
    #[doc = "Plain services."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<Service>,
    #[doc = "Teams."]
    pub teams: ::std::vec::Vec<Team>,
}
#[doc = "A kind of call to a service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Call {
    #[doc = "HTTP method."]
    pub method: ::std::string::String,
    #[doc = "Path, or a prefix of it, below the service."]
    pub path: ::std::string::String,
}
#[doc = "A model and the version that serves."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Model {
    #[doc = "Adapters loaded beside the model."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<Adapter>,
    #[doc = "Digest of the version's manifest."]
    pub manifest: ::std::string::String,
    #[doc = "Name."]
    pub name: ::std::string::String,
    #[doc = "How many replicas serve it."]
    pub replicas: u32,
    #[doc = "Version to serve."]
    pub version: ::std::string::String,
    #[doc = "Availability zones it may be placed in; all when empty."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub zones: ::std::vec::Vec<::std::string::String>,
}
#[doc = "What a rollout spends: the origin's link, to be early, or time, to spare the origin."]
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
pub enum Objective {
    #[serde(rename = "time")]
    Time,
    #[serde(rename = "origin_bytes")]
    OriginBytes,
}
impl ::std::fmt::Display for Objective {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Time => f.write_str("time"),
            Self::OriginBytes => f.write_str("origin_bytes"),
        }
    }
}
impl ::std::str::FromStr for Objective {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "time" => Ok(Self::Time),
            "origin_bytes" => Ok(Self::OriginBytes),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Objective {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Objective {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
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
#[doc = "How new versions reach the replicas."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    #[doc = "Replicas that may be taken down at once."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub max_unavailable: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub objective: ::std::option::Option<Objective>,
    #[doc = "Copies of a version that may be read from the origin."]
    #[serde(default = "defaults::rollout_origin_copies")]
    pub origin_copies: f64,
    #[doc = "Replicas that must serve a version before requests are pinned to it."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub ready_required: u32,
    #[doc = "Availability zones in the order in which they get new versions."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub zone_order: ::std::vec::Vec<::std::string::String>,
}
impl ::std::default::Default for Rollout {
    fn default() -> Self {
        Self {
            max_unavailable: defaults::default_u64::<u32, 1>(),
            objective: Default::default(),
            origin_copies: defaults::rollout_origin_copies(),
            ready_required: defaults::default_u64::<u32, 1>(),
            zone_order: Default::default(),
        }
    }
}
#[doc = "A plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[doc = "Calls that may not be repeated, whatever the caller says."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub at_most_once: ::std::vec::Vec<Call>,
    #[doc = "Name."]
    pub name: ::std::string::String,
}
#[doc = "A team that calls."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Team {
    #[doc = "Class of its requests where the caller names none, and the highest it may name."]
    #[serde(default = "defaults::team_class")]
    pub class: ::std::string::String,
    #[doc = "Models it may call."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<::std::string::String>,
    #[doc = "Name."]
    pub name: ::std::string::String,
    #[doc = "Requests a second over all entries."]
    #[serde(default = "defaults::default_u64::<u64, 100>")]
    pub requests_per_s: u64,
    #[doc = "Services it may call."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<::std::string::String>,
    #[doc = "blake3 digest of the team's token, in hex."]
    pub token_digest: ::std::string::String,
    #[doc = "Tokens a second over all entries, prompt and answer."]
    #[serde(default = "defaults::default_u64::<u64, 100000>")]
    pub tokens_per_s: u64,
    #[doc = "Availability zones that may serve it; all when empty."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub zones: ::std::vec::Vec<::std::string::String>,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn bundle_classes() -> ::std::vec::Vec<::std::string::String> {
        vec![
            "critical".to_string(),
            "normal".to_string(),
            "batch".to_string(),
        ]
    }
    pub(super) fn rollout_origin_copies() -> f64 {
        4.0_f64
    }
    pub(super) fn team_class() -> ::std::string::String {
        "normal".to_string()
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
