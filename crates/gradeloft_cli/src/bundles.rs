//! Bundle files and signed bundle files.

use std::{fmt, fs, io, path::Path};

use gradeloft_policy::version::bundle;
use gradeloft_wire::{border::bundle::Bundle, record::SignedBundle, schema::Fault};
use serde::{Deserialize, Serialize};

/// Reasons why a bundle file can't be used.
#[derive(Debug)]
pub enum BundleFileError {
    /// The bundle does not pass its checks.
    Faulty(Vec<Fault>),
    /// The file is not a signed bundle.
    Unsigned,
    /// The file can't be read.
    Unreadable(io::Error),
}

impl fmt::Display for BundleFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BundleFileError::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            BundleFileError::Unsigned => f.write_str(
                "no signed bundle; make one with `gradeloft bundle sign`, or give --key and --signer",
            ),
            BundleFileError::Unreadable(error) => write!(f, "{error}"),
        }
    }
}

/// JSON form of a signed bundle file.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct SignedBundleFile {
    payload: String,
    signer: String,
    signature: String,
}

/// Reads and checks a YAML bundle.
pub fn read(path: &Path) -> Result<Bundle, BundleFileError> {
    let text = fs::read_to_string(path).map_err(BundleFileError::Unreadable)?;
    bundle::parse(&text).map_err(BundleFileError::Faulty)
}

/// Reads a signed bundle and checks its payload, but not its signature.
pub fn read_signed(path: &Path) -> Result<SignedBundle, BundleFileError> {
    let text = fs::read_to_string(path).map_err(BundleFileError::Unreadable)?;
    let file: SignedBundleFile =
        serde_json::from_str(&text).map_err(|_| BundleFileError::Unsigned)?;
    let mut signature = [0; 64];
    hex::decode_to_slice(&file.signature, &mut signature).map_err(|_| BundleFileError::Unsigned)?;
    let payload = file.payload.into_bytes();
    bundle::parse_canonical(&payload).map_err(BundleFileError::Faulty)?;
    Ok(SignedBundle {
        payload,
        signer: file.signer,
        signature,
    })
}

/// Returns the content of a signed bundle file.
pub fn signed_text(signed: &SignedBundle) -> String {
    let file = SignedBundleFile {
        payload: String::from_utf8_lossy(&signed.payload).into_owned(),
        signer: signed.signer.clone(),
        signature: hex::encode(signed.signature),
    };
    // String fields always serialize.
    serde_json::to_string_pretty(&file).unwrap_or_default() + "\n"
}
