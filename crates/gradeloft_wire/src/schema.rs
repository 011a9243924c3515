//! Validation of documents against the JSON Schemas under `schema/`, which reports all faults at
//! once.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;

/// A JSON Schema of this repository.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Schema {
    /// `schema/bundle.json`.
    Bundle,
    /// `schema/manifest.json`.
    Manifest,
    /// `schema/settings.json`.
    Settings,
}

impl Schema {
    fn text(self) -> &'static str {
        match self {
            Schema::Bundle => include_str!("../../../schema/bundle.json"),
            Schema::Manifest => include_str!("../../../schema/manifest.json"),
            Schema::Settings => include_str!("../../../schema/settings.json"),
        }
    }
}

/// A fault in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Location as a JSON pointer; empty for the whole document.
    pub path: String,
    /// Description of the invalid value and of what is allowed.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.message)
    }
}

impl Fault {
    /// Creates a fault, for checks that the schema can't express.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Fault {
        Fault {
            path: path.into(),
            message: message.into(),
        }
    }
}

/// Parses YAML, validates it against the schema and returns the typed document or all faults.
pub fn from_yaml<T: DeserializeOwned>(schema: Schema, text: &str) -> Result<T, Vec<Fault>> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|it| vec![Fault::new("", first_line(&it))])?;
    from_value(schema, value)
}

/// Like [`from_yaml`], for JSON bytes.
pub fn from_json<T: DeserializeOwned>(schema: Schema, bytes: &[u8]) -> Result<T, Vec<Fault>> {
    let value: Value =
        serde_json::from_slice(bytes).map_err(|it| vec![Fault::new("", it.to_string())])?;
    from_value(schema, value)
}

fn from_value<T: DeserializeOwned>(schema: Schema, value: Value) -> Result<T, Vec<Fault>> {
    let faults = faults(schema, &value);
    if !faults.is_empty() {
        return Err(faults);
    }
    serde_json::from_value(value).map_err(|it| vec![Fault::new("", it.to_string())])
}

fn faults(schema: Schema, value: &Value) -> Vec<Fault> {
    let schema: Value = match serde_json::from_str(schema.text()) {
        Ok(it) => it,
        Err(it) => return vec![Fault::new("", format!("schema: {it}"))],
    };
    let validator = match jsonschema::validator_for(&schema) {
        Ok(it) => it,
        Err(it) => return vec![Fault::new("", format!("schema: {it}"))],
    };
    validator
        .iter_errors(value)
        .map(|it| Fault::new(it.instance_path().to_string(), it.to_string()))
        .collect()
}

fn first_line(error: &dyn fmt::Display) -> String {
    let text = error.to_string();
    text.lines().next().unwrap_or_default().to_owned()
}
