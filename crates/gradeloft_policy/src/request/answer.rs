//! Whether the frames of an answer are whole and belong to their request.

use gradeloft_wire::{
    error::Kind,
    frame::Reply,
    id::{Digest, RequestId},
};

/// Follows the frames of one attempt's answer.
///
/// A frame of another attempt or version, out of order or repeated ends the answer: it becomes an
/// error to its caller and never somebody else's text.
#[derive(Clone, Debug)]
pub struct Checker {
    request: RequestId,
    /// Version that the request is pinned to; empty for services.
    version: String,
    /// Pieces seen so far, all in order.
    count: u64,
    hasher: blake3::Hasher,
    ended: bool,
}

impl Checker {
    /// A checker for an attempt pinned to a version.
    pub fn new(request: RequestId, version: &str) -> Checker {
        Checker {
            request,
            version: version.to_owned(),
            count: 0,
            hasher: blake3::Hasher::new(),
            ended: false,
        }
    }

    /// Takes the next frame; an error ends the answer.
    pub fn accept(&mut self, reply: &Reply) -> Result<(), Kind> {
        if self.ended {
            return Err(Kind::Mismatch);
        }
        match reply {
            Reply::Head { request, .. } => self.owns(*request),
            Reply::Refused { request, kind } => {
                self.owns(*request)?;
                Err(*kind)
            }
            Reply::Piece {
                request,
                version,
                seq,
                data,
            } => {
                self.owns(*request)?;
                self.piece(version, *seq, data)
            }
            Reply::End {
                request,
                version,
                count,
                digest,
            } => {
                self.owns(*request)?;
                self.end(version, *count, *digest)
            }
            _ => Err(Kind::Mismatch),
        }
    }

    /// Takes a piece that is known to belong to the attempt.
    pub fn piece(&mut self, version: &str, seq: u64, data: &[u8]) -> Result<(), Kind> {
        if version != self.version || seq != self.count {
            return Err(Kind::Mismatch);
        }
        self.count += 1;
        self.hasher.update(data);
        Ok(())
    }

    /// Whether any piece was accepted.
    pub fn begun(&self) -> bool {
        0 < self.count
    }

    /// Whether the closing frame came and matched.
    pub fn whole(&self) -> bool {
        self.ended
    }

    /// Number of pieces and their digest, for the closing frame of an answer made here.
    pub fn totals(&self) -> (u64, Digest) {
        (self.count, Digest(self.hasher.finalize().into()))
    }

    fn owns(&self, request: RequestId) -> Result<(), Kind> {
        if request == self.request {
            Ok(())
        } else {
            Err(Kind::Mismatch)
        }
    }

    fn end(&mut self, version: &str, count: u64, digest: Digest) -> Result<(), Kind> {
        if version != self.version || (count, digest) != self.totals() {
            return Err(Kind::Mismatch);
        }
        self.ended = true;
        Ok(())
    }
}
