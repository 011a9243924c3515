//! Checks that the frames of a response are complete and belong to their request.

use gradeloft_wire::{
    error::Kind,
    frame::Reply,
    id::{Digest, RequestId},
};

/// Validates the frames of one attempt's response.
///
/// A frame that belongs to another attempt or version, is out of order or is repeated ends the
/// response with an error, so a caller never receives another caller's text.
#[derive(Clone, Debug)]
pub struct ResponseChecker {
    request: RequestId,
    /// Version that the request is pinned to; empty for services.
    version: String,
    /// Number of pieces accepted so far, all in order.
    count: u64,
    hasher: blake3::Hasher,
    ended: bool,
}

impl ResponseChecker {
    /// Creates a checker for an attempt that is pinned to `version`.
    pub fn new(request: RequestId, version: &str) -> ResponseChecker {
        ResponseChecker {
            request,
            version: version.to_owned(),
            count: 0,
            hasher: blake3::Hasher::new(),
            ended: false,
        }
    }

    /// Accepts the next frame. An error ends the response.
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

    /// Accepts a piece that is known to belong to the attempt.
    pub fn accept_piece(&mut self, version: &str, seq: u64, data: &[u8]) -> Result<(), Kind> {
        if version != self.version || seq != self.count {
            return Err(Kind::Mismatch);
        }
        self.count += 1;
        self.hasher.update(data);
        Ok(())
    }

    /// Returns whether any piece was accepted.
    pub fn has_started(&self) -> bool {
        0 < self.count
    }

    /// Returns whether the end frame arrived and matched.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Returns the number of pieces and their digest, for the end frame of a response that this
    /// process produces.
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
