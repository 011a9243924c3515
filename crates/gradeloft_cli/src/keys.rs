//! Key files: 32 secret bytes in hex, readable by their owner only.

use std::{
    fmt,
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::{MetadataExt, OpenOptionsExt},
    path::Path,
};

use gradeloft_policy::version::bundle::Key;

const OWNER_READ_WRITE: u32 = 0o600;
const GROUP_AND_OTHERS: u32 = 0o077;

/// Reasons why a key file can't be used.
#[derive(Debug)]
pub enum KeyFileError {
    /// The content is not 64 hex digits.
    Malformed,
    /// The system's random number generator failed.
    NoRandomness,
    /// Users other than the owner have access; holds the file's mode.
    OpenToOthers(u32),
    /// The file can't be read or written.
    Unusable(io::Error),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyFileError::Malformed => f.write_str("no key; 64 hex digits are expected"),
            KeyFileError::NoRandomness => {
                f.write_str("the system's random number generator failed")
            }
            KeyFileError::OpenToOthers(mode) => {
                write!(
                    f,
                    "its mode is {mode:o}, so others can read it; run chmod 600 on it"
                )
            }
            KeyFileError::Unusable(error) => write!(f, "{error}"),
        }
    }
}

/// Generates a key and writes it to a new file; fails if the file exists.
pub fn generate(path: &Path) -> Result<Key, KeyFileError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|_| KeyFileError::NoRandomness)?;
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(OWNER_READ_WRITE)
        .open(path)
        .map_err(KeyFileError::Unusable)?;
    writeln!(file, "{}", hex::encode(secret)).map_err(KeyFileError::Unusable)?;
    Ok(Key::new(secret))
}

/// Reads a key file; refuses one that other users have access to.
pub fn read(path: &Path) -> Result<Key, KeyFileError> {
    let mode = fs::metadata(path).map_err(KeyFileError::Unusable)?.mode();
    if mode & GROUP_AND_OTHERS != 0 {
        return Err(KeyFileError::OpenToOthers(mode & 0o777));
    }
    let text = fs::read_to_string(path).map_err(KeyFileError::Unusable)?;
    let mut secret = [0; 32];
    hex::decode_to_slice(text.trim(), &mut secret).map_err(|_| KeyFileError::Malformed)?;
    Ok(Key::new(secret))
}
