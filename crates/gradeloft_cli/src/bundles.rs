//! Bundles and their signed form in files.

use std::{fmt, fs, io, path::Path};

use gradeloft_policy::version::bundle;
use gradeloft_wire::{border::bundle::Bundle, record::SignedBundle, schema::Fault};
use serde::{Deserialize, Serialize};

/// Why a file gives no bundle.
#[derive(Debug)]
pub enum Invalid {
    /// These faults are in it.
    Faulty(Vec<Fault>),
    /// It is no signed bundle.
    Unsigned,
    /// It can't be read.
    Unreadable(io::Error),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Invalid::Unsigned => f.write_str(
                "no signed bundle; make one with `gradeloft bundle sign`, or give --key and --signer",
            ),
            Invalid::Unreadable(error) => write!(f, "{error}"),
        }
    }
}

/// A signed bundle in a file, as JSON.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct File {
    payload: String,
    signer: String,
    signature: String,
}

/// Reads a YAML bundle.
pub fn read(path: &Path) -> Result<Bundle, Invalid> {
    let text = fs::read_to_string(path).map_err(Invalid::Unreadable)?;
    bundle::parse(&text).map_err(Invalid::Faulty)
}

/// Reads a signed bundle.
pub fn read_signed(path: &Path) -> Result<SignedBundle, Invalid> {
    let text = fs::read_to_string(path).map_err(Invalid::Unreadable)?;
    let file: File = serde_json::from_str(&text).map_err(|_| Invalid::Unsigned)?;
    let mut signature = [0; 64];
    hex::decode_to_slice(&file.signature, &mut signature).map_err(|_| Invalid::Unsigned)?;
    let payload = file.payload.into_bytes();
    bundle::parse_canonical(&payload).map_err(Invalid::Faulty)?;
    Ok(SignedBundle {
        payload,
        signer: file.signer,
        signature,
    })
}

/// The text of a signed bundle's file.
pub fn signed_text(signed: &SignedBundle) -> String {
    let file = File {
        payload: String::from_utf8_lossy(&signed.payload).into_owned(),
        signer: signed.signer.clone(),
        signature: hex::encode(signed.signature),
    };
    // Plain text fields always serialize.
    serde_json::to_string_pretty(&file).unwrap_or_default() + "\n"
}
