//! Small `Copy` keys that name content and requests.

use std::{fmt, str::FromStr};

use bincode::{Decode, Encode};

/// A digest of 32 bytes, which names a chunk, a manifest or a bundle by its content: blake3 for what
/// gradeloft names itself, SHA-256 for pieces of weights whose origin names them so.
///
/// ```
/// use gradeloft_wire::id::Digest;
/// let digest = Digest::of(b"weights");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(blake3::hash(bytes).into())
    }

    /// First eight bytes as a number, for hashing and for seeds.
    pub fn short(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Why a text is no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Digest, Malformed> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Malformed)?;
        Ok(Digest(bytes))
    }
}

/// Names one attempt at one request; drawn at random by the entry for each dispatch, never taken
/// from a caller, so two requests cannot share one.
#[derive(Clone, Copy, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for RequestId {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<RequestId, Malformed> {
        if text.len() != 32 {
            return Err(Malformed);
        }
        u128::from_str_radix(text, 16)
            .map(RequestId)
            .map_err(|_| Malformed)
    }
}
