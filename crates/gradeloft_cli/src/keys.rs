//! Key files: 32 secret bytes in hex, which nobody but their owner may read.

use std::{
    fmt,
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::{MetadataExt, OpenOptionsExt},
    path::Path,
};

use gradeloft_policy::version::bundle::Key;

const OWNER_ONLY: u32 = 0o600;
const OTHERS: u32 = 0o077;

/// Why a key file can't be used.
#[derive(Debug)]
pub enum Fault {
    /// It is no key.
    Malformed,
    /// The system gave no randomness.
    NoRandomness,
    /// Others than its owner can read it; the mode.
    Open(u32),
    /// It can't be read or written.
    Unusable(io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Malformed => f.write_str("no key; 64 hex digits are expected"),
            Fault::NoRandomness => f.write_str("the system gave no randomness"),
            Fault::Open(mode) => {
                write!(
                    f,
                    "its mode is {mode:o}, so others can read it; run chmod 600 on it"
                )
            }
            Fault::Unusable(error) => write!(f, "{error}"),
        }
    }
}

/// Makes a key and writes it to a new file; an existing one is not replaced.
pub fn generate(path: &Path) -> Result<Key, Fault> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|_| Fault::NoRandomness)?;
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY)
        .open(path)
        .map_err(Fault::Unusable)?;
    writeln!(file, "{}", hex::encode(secret)).map_err(Fault::Unusable)?;
    Ok(Key::new(secret))
}

/// Reads a key file.
pub fn read(path: &Path) -> Result<Key, Fault> {
    let mode = fs::metadata(path).map_err(Fault::Unusable)?.mode();
    if mode & OTHERS != 0 {
        return Err(Fault::Open(mode & 0o777));
    }
    let text = fs::read_to_string(path).map_err(Fault::Unusable)?;
    let mut secret = [0; 32];
    hex::decode_to_slice(text.trim(), &mut secret).map_err(|_| Fault::Malformed)?;
    Ok(Key::new(secret))
}
