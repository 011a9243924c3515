//! Digests, fingerprints and ids of content and requests.

use std::{fmt, str::FromStr};

use bincode::{Decode, Encode};

/// Digest of 32 bytes that identifies a chunk, a manifest or a bundle by its content. Digests are
/// BLAKE3, or SHA-256 for weight pieces whose origin identifies them that way.
///
/// ```
/// use gradeloft_wire::id::Digest;
/// let digest = Digest::of(b"weights");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(blake3::hash(bytes).into())
    }

    /// Returns the digest of several byte strings. Each is prefixed with its length, so that
    /// different lists have different digests.
    pub fn of_parts(parts: &[&[u8]]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }

    /// Returns the first eight bytes as a number, for hashing and as a seed.
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

/// Error of parsing an id from text.
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

/// Identifies equal requests: the same team sends the same bytes to the same target. The hash
/// reveals nothing of a body, and finding a second request with the same fingerprint is infeasible.
#[derive(Clone, Copy, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request; `target` is its host, its method and its path with the
    /// query.
    ///
    /// ```
    /// use gradeloft_wire::id::Fingerprint;
    /// let target = ["host", "POST", "/notes?long"];
    /// let one = Fingerprint::of(Some("rangers"), target, b"body");
    /// assert_eq!(one.to_string().parse(), Ok(one));
    /// assert_ne!(one, Fingerprint::of(Some("guides"), target, b"body"));
    /// assert_ne!(one, Fingerprint::of(None, target, b"body"));
    /// ```
    pub fn of(team: Option<&str>, target: [&str; 3], body: &[u8]) -> Fingerprint {
        Fingerprint::of_segments(team, target, std::iter::once(body))
    }

    /// Returns the fingerprint of a request whose body is in segments.
    ///
    /// ```
    /// use gradeloft_wire::id::Fingerprint;
    /// let target = ["host", "POST", "/notes"];
    /// let segments = [&b"bo"[..], b"dy"];
    /// let one = Fingerprint::of_segments(None, target, segments.into_iter());
    /// assert_eq!(one, Fingerprint::of(None, target, b"body"));
    /// ```
    pub fn of_segments<'a>(
        team: Option<&str>,
        target: [&str; 3],
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Fingerprint {
        let [host, method, path] = target.map(str::as_bytes);
        let has_team = [u8::from(team.is_some())];
        let team = team.unwrap_or_default().as_bytes();
        let mut hasher = blake3::Hasher::new();
        for part in [&has_team, team, host, method, path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let length: usize = body.clone().map(<[u8]>::len).sum();
        hasher.update(&(length as u64).to_le_bytes());
        body.for_each(|it| {
            hasher.update(it);
        });
        Fingerprint::truncating(Digest(hasher.finalize().into()))
    }

    /// Returns the fingerprint of a part of a prompt, by the id that callers give it. Unlike that of a
    /// request, it does not depend on the team: several teams send the same part, and it has the same
    /// effect from all of them.
    ///
    /// ```
    /// use gradeloft_wire::id::Fingerprint;
    /// assert_eq!(Fingerprint::of_part("5c1e07a2"), Fingerprint::of_part("5C1E07A2"));
    /// ```
    pub fn of_part(id: &str) -> Fingerprint {
        let id = id.to_ascii_lowercase();
        Fingerprint::truncating(Digest::of_parts(&[b"part", id.as_bytes()]))
    }

    fn truncating(digest: Digest) -> Fingerprint {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.0[..16]);
        Fingerprint(bytes)
    }

    /// Returns the first eight bytes as a number, for hashing.
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

/// Identifies one attempt at a request. The entry generates it at random for each dispatch and
/// never accepts one from a caller, so that two requests can't share an id.
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
