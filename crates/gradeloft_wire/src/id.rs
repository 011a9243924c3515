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

    /// Digest of several byte strings, each with its length before it, so that no two lists of them share one.
    pub fn of_parts(parts: &[&[u8]]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }

    /// First eight bytes as a number, for hashing and for seeds.
    pub fn prefix_u64(self) -> u64 {
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

/// Names all requests that are alike: the same team sends the same bytes to the same place. Nothing of a body can
/// be read from it, and nobody finds a second request with the fingerprint of a first.
#[derive(Clone, Copy, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Of a request; `place` is its host, its method and its path with the query.
    ///
    /// ```
    /// use gradeloft_wire::id::Fingerprint;
    /// let place = ["host", "POST", "/notes?long"];
    /// let one = Fingerprint::of(Some("rangers"), place, b"body");
    /// assert_eq!(one.to_string().parse(), Ok(one));
    /// assert_ne!(one, Fingerprint::of(Some("guides"), place, b"body"));
    /// assert_ne!(one, Fingerprint::of(None, place, b"body"));
    /// ```
    pub fn of(team: Option<&str>, place: [&str; 3], body: &[u8]) -> Fingerprint {
        let [host, method, target] = place.map(str::as_bytes);
        let with_team = [u8::from(team.is_some())];
        let team = team.unwrap_or_default().as_bytes();
        let digest = Digest::of_parts(&[&with_team, team, host, method, target, body]);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.0[..16]);
        Fingerprint(bytes)
    }

    /// First eight bytes as a number, for hashing.
    pub fn prefix_u64(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Fingerprint {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Fingerprint, Malformed> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Malformed)?;
        Ok(Fingerprint(bytes))
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
