//! Leases that bound how many replicas are taken down, or switched to a new version, at once.
//!
//! Agents append requests for turns to the platform's log, one stream for each model, and every
//! agent folds the stream to the same state. A turn is a lease: a replica holds a turn while fewer
//! than `bound` earlier requests are open. The replica's agent renews the request while it works,
//! so the turn of a dead agent expires. A replica on which the version failed keeps its turn: a bad
//! version takes down at most as many replicas as the bound allows.

use std::collections::BTreeMap;

use gradeloft_wire::{
    id::Digest,
    record::{Step, Turn},
};

/// Time after which a request that is not renewed expires, in milliseconds of the log's clock.
pub const LEASE_MS: u64 = 30_000;
/// Interval at which a holder renews its request, in milliseconds.
pub const RENEW_MS: u64 = 8_000;

#[derive(Clone, Debug)]
struct Request {
    /// Offset of the first record of this request; determines its position in the queue.
    offset: u64,
    /// Time of the latest renewal by the log's clock, in milliseconds.
    renewed_ms: u64,
    step: Step,
}

/// Turns of one model or adapter, for the newest version that was requested.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Manifest of the version.
    ///
    /// Requests for a version of an older bundle are ignored.
    manifest: Option<Digest>,
    /// Highest bundle number that was recorded with the version.
    number: u64,
    requests: BTreeMap<String, Request>,
    /// Offset after the last record that was folded.
    next: u64,
    /// Latest record time on the log, in milliseconds.
    now_ms: u64,
}

impl Turns {
    /// Returns the offset from which to continue reading the stream.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the record at `offset`, which the log accepted at `time_ms`.
    pub fn fold(&mut self, offset: u64, time_ms: u64, turn: &Turn) {
        if offset < self.next {
            return;
        }
        self.skip(offset, time_ms);
        if self.manifest != Some(turn.manifest) {
            if turn.number <= self.number {
                return;
            }
            self.manifest = Some(turn.manifest);
            self.requests.clear();
        }
        self.number = self.number.max(turn.number);
        let expired = |it: &Request| it.step == Step::Ask && it.renewed_ms + LEASE_MS < time_ms;
        match self.requests.get_mut(&turn.node) {
            // An expired request moves to the end of the queue.
            Some(request) if !expired(request) => {
                request.renewed_ms = time_ms;
                request.step = turn.step;
            }
            _ => {
                let request = Request {
                    offset,
                    renewed_ms: time_ms,
                    step: turn.step,
                };
                self.requests.insert(turn.node.clone(), request);
            }
        }
    }

    /// Skips an offset whose record is not a turn.
    pub fn skip(&mut self, offset: u64, time_ms: u64) {
        self.next = self.next.max(offset + 1);
        self.now_ms = self.now_ms.max(time_ms);
    }

    /// Returns whether `node` holds one of `bound` turns for a version.
    pub fn holds(&self, node: &str, manifest: Digest, bound: u32) -> bool {
        if self.manifest != Some(manifest) {
            return false;
        }
        let Some(own) = self.requests.get(node).filter(|it| self.is_open(it)) else {
            return false;
        };
        let before = self
            .requests
            .values()
            .filter(|it| self.is_open(it) && it.offset < own.offset);
        before.count() < bound as usize
    }

    /// Returns whether `node` serves the version.
    pub fn is_done(&self, node: &str, manifest: Digest) -> bool {
        let request = self
            .requests
            .get(node)
            .filter(|_| self.manifest == Some(manifest));
        request.is_some_and(|it| it.step == Step::Done)
    }

    fn is_open(&self, request: &Request) -> bool {
        match request.step {
            Step::Ask => self.now_ms <= request.renewed_ms + LEASE_MS,
            Step::Done => false,
            Step::Failed => true,
        }
    }
}

/// Returns whether replicas in `zone` may switch: all replicas placed in the availability zones
/// before it in `order` serve the version. Zones that are not in `order` come last, together.
pub fn zone_open<'a>(
    order: &[String],
    zone: &str,
    placed: impl Iterator<Item = (&'a str, &'a str)>,
    done: impl Fn(&str) -> bool,
) -> bool {
    let rank = |zone: &str| {
        order
            .iter()
            .position(|it| it == zone)
            .unwrap_or(order.len())
    };
    let own = rank(zone);
    let mut before = placed.filter(|(_, zone)| rank(zone) < own);
    before.all(|(node, _)| done(node))
}
