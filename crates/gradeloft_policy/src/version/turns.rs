//! Which replicas may be taken down, or switched to a new version, now.
//!
//! Replicas ask for turns on the platform's log, one stream for each model, and every agent folds the
//! stream alike. A turn is a lease: an asker holds one of the bundle's places while no more than
//! `bound - 1` asks before its own are open. It renews its ask while it works, so a dead holder's
//! place falls free. A replica on which the version failed keeps its place for good: a bad version
//! takes down as many replicas as the bound allows, and no more.

use std::collections::BTreeMap;

use gradeloft_wire::{
    id::Digest,
    record::{Step, Turn},
};

/// How long an ask stands without being renewed, in milliseconds of the log's clock.
pub const LEASE_MS: u64 = 30_000;
/// How often a holder renews its ask, in milliseconds.
pub const RENEW_MS: u64 = 8_000;

#[derive(Clone, Debug)]
struct Ask {
    /// Offset of the first ask; decides the order.
    offset: u64,
    /// The log's time of the latest ask.
    renewed_ms: u64,
    step: Step,
}

/// The turns of one model or adapter, for the newest version that anyone asked for.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// The version, and the highest number of a bundle that was said with it. Asks for a version of
    /// an older bundle are forgotten.
    manifest: Option<Digest>,
    number: u64,
    asks: BTreeMap<String, Ask>,
    /// Offset after the last record folded.
    next: u64,
    /// Latest time seen on the log.
    now_ms: u64,
}

impl Turns {
    /// Offset to read the stream from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Folds the record at `offset`, which the log took at `time_ms`.
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
            self.asks.clear();
        }
        self.number = self.number.max(turn.number);
        let expired = |it: &Ask| it.step == Step::Ask && it.renewed_ms + LEASE_MS < time_ms;
        match self.asks.get_mut(&turn.node) {
            // An ask that lapsed goes to the end of the queue.
            Some(ask) if !expired(ask) => {
                ask.renewed_ms = time_ms;
                ask.step = turn.step;
            }
            _ => {
                let ask = Ask {
                    offset,
                    renewed_ms: time_ms,
                    step: turn.step,
                };
                self.asks.insert(turn.node.clone(), ask);
            }
        }
    }

    /// Passes over an offset that holds nothing to fold.
    pub fn skip(&mut self, offset: u64, time_ms: u64) {
        self.next = self.next.max(offset + 1);
        self.now_ms = self.now_ms.max(time_ms);
    }

    /// Whether `node` holds a turn for a version under a bound.
    pub fn holds(&self, node: &str, manifest: Digest, bound: u32) -> bool {
        if self.manifest != Some(manifest) {
            return false;
        }
        let Some(own) = self.asks.get(node).filter(|it| self.open(it)) else {
            return false;
        };
        let before = self
            .asks
            .values()
            .filter(|it| self.open(it) && it.offset < own.offset);
        before.count() < bound as usize
    }

    /// Whether the version serves on `node`.
    pub fn is_done(&self, node: &str, manifest: Digest) -> bool {
        let ask = self
            .asks
            .get(node)
            .filter(|_| self.manifest == Some(manifest));
        ask.is_some_and(|it| it.step == Step::Done)
    }

    fn open(&self, ask: &Ask) -> bool {
        match ask.step {
            Step::Ask => self.now_ms <= ask.renewed_ms + LEASE_MS,
            Step::Done => false,
            Step::Failed => true,
        }
    }
}

/// Whether replicas in `zone` may switch: the version serves on all that are placed in the
/// availability zones before it. Zones that are not in the order come last, together.
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
