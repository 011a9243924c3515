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
pub struct ResponseChecker {
    request: RequestId,
    /// Version that the request is pinned to; empty for services.
    version: String,
    /// Pieces seen so far, all in order.
    count: u64,
    hasher: blake3::Hasher,
    ended: bool,
}

impl ResponseChecker {
    /// A checker for an attempt pinned to a version.
    pub fn new(request: RequestId, version: &str) -> ResponseChecker {
        ResponseChecker {
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
            Reply::Head { request, .. } => self.check_request(*request),
            Reply::Refused { request, kind } => {
                self.check_request(*request)?;
                Err(*kind)
            }
            Reply::Piece {
                request,
                version,
                seq,
                data,
            } => {
                self.check_request(*request)?;
                self.accept_piece(version, *seq, data)
            }
            Reply::End {
                request,
                version,
                count,
                digest,
            } => {
                self.check_request(*request)?;
                self.accept_end(version, *count, *digest)
            }
            _ => Err(Kind::Mismatch),
        }
    }

    /// Takes a piece that is known to belong to the attempt.
    pub fn accept_piece(&mut self, version: &str, seq: u64, data: &[u8]) -> Result<(), Kind> {
        if version != self.version || seq != self.count {
            return Err(Kind::Mismatch);
        }
        self.count += 1;
        self.hasher.update(data);
        Ok(())
    }

    /// Whether any piece was accepted.
    pub fn has_started(&self) -> bool {
        0 < self.count
    }

    /// Whether the closing frame came and matched.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Number of pieces and their digest, for the closing frame of an answer made here.
    pub fn totals(&self) -> (u64, Digest) {
        (self.count, Digest(self.hasher.finalize().into()))
    }

    fn check_request(&self, request: RequestId) -> Result<(), Kind> {
        if request == self.request {
            Ok(())
        } else {
            Err(Kind::Mismatch)
        }
    }

    fn accept_end(&mut self, version: &str, count: u64, digest: Digest) -> Result<(), Kind> {
        if version != self.version || (count, digest) != self.totals() {
            return Err(Kind::Mismatch);
        }
        self.ended = true;
        Ok(())
    }
}
