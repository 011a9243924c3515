//! API keys of the teams.

use std::{collections::HashMap, fmt, rc::Rc};

/// Whether requests need an API key, and the keys that are accepted.
///
/// ```
/// use gradeloft_policy::process::api_keys::ApiKeys;
/// // The last key was revoked: requests still need one.
/// assert!(ApiKeys::of([]).are_required());
/// assert!(!ApiKeys::NotRequired.are_required());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiKeys {
    /// The operator has defined no teams, and requests need no key.
    NotRequired,
    /// Requests need one of these keys, except on public routes. There may be none.
    Required(HashMap<String, Rc<str>>),
}

impl ApiKeys {
    /// Returns required keys, each with its team.
    pub fn of(keys: impl IntoIterator<Item = (String, Rc<str>)>) -> ApiKeys {
        ApiKeys::Required(keys.into_iter().collect())
    }

    /// Returns whether requests need a key, except on public routes.
    pub fn are_required(&self) -> bool {
        matches!(self, ApiKeys::Required(_))
    }

    /// Returns whether requests need a key, and none is accepted.
    pub fn accept_none(&self) -> bool {
        matches!(self, ApiKeys::Required(keys) if keys.is_empty())
    }

    /// Returns the team of a key.
    pub fn team(&self, key: &str) -> Option<&Rc<str>> {
        match self {
            ApiKeys::NotRequired => None,
            ApiKeys::Required(keys) => keys.get(key),
        }
    }

    /// Iterates over the teams, once for each key.
    pub fn teams(&self) -> impl Iterator<Item = &Rc<str>> {
        let keys = match self {
            ApiKeys::NotRequired => None,
            ApiKeys::Required(keys) => Some(keys),
        };
        keys.into_iter().flat_map(HashMap::values)
    }
}

/// Writes the number of keys, or `not_required`.
impl fmt::Display for ApiKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApiKeys::NotRequired => f.write_str("not_required"),
            ApiKeys::Required(keys) => write!(f, "{}", keys.len()),
        }
    }
}
