//! Content held for peers and for the engine, bounded in memory.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use bytes::Bytes;
use gradeloft_policy::version::manifest::Manifest;
use gradeloft_wire::id::Digest;

/// Content by digest. When it outgrows its bound, what came first is dropped first: the chunks of
/// the oldest version, which the engine has long had.
pub struct Chunks {
    content: HashMap<Digest, Bytes>,
    /// Digests in order of arrival, oldest first.
    order: VecDeque<Digest>,
    /// Sum of the content's sizes; at most `max_bytes`, but for the newest piece.
    bytes: u64,
    max_bytes: u64,
    manifests: HashMap<Digest, Known>,
}

struct Known {
    manifest: Rc<Manifest>,
    positions: HashMap<Digest, u32>,
    /// Positions in order of arrival, so that a follower needs only to remember how many it got.
    arrived: Vec<u32>,
}

impl Chunks {
    /// Nothing yet, and never more than `max_bytes`.
    pub fn new(max_bytes: u64) -> Chunks {
        Chunks {
            content: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
            manifests: HashMap::new(),
        }
    }

    /// Content that is held.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        self.content.get(&digest).cloned()
    }

    /// Whether it is held.
    pub fn holds(&self, digest: Digest) -> bool {
        self.content.contains_key(&digest)
    }

    /// Whether a manifest taken in names it.
    pub fn knows(&self, digest: Digest) -> bool {
        self.manifests
            .values()
            .any(|it| it.positions.contains_key(&digest))
    }

    /// Keeps content whose digest has been checked.
    pub fn insert(&mut self, digest: Digest, content: Bytes) {
        if self.holds(digest) {
            return;
        }
        self.bytes += content.len() as u64;
        self.content.insert(digest, content);
        self.order.push_back(digest);
        for known in self.manifests.values_mut() {
            if let Some(position) = known.positions.get(&digest) {
                known.arrived.push(*position);
            }
        }
        while self.max_bytes < self.bytes && 1 < self.order.len() {
            self.drop_oldest();
        }
    }

    /// Takes in a manifest, so that peers can follow it.
    pub fn learn(&mut self, manifest: Rc<Manifest>) {
        if self.manifests.contains_key(&manifest.digest) {
            return;
        }
        let distinct = manifest.distinct_chunks();
        let positions: HashMap<Digest, u32> = distinct
            .iter()
            .enumerate()
            .map(|(idx, it)| (it.digest, idx as u32))
            .collect();
        let held = distinct
            .iter()
            .enumerate()
            .filter(|(_, it)| self.holds(it.digest));
        let arrived = held.map(|(idx, _)| idx as u32).collect();
        let digest = manifest.digest;
        self.manifests.insert(
            digest,
            Known {
                manifest,
                positions,
                arrived,
            },
        );
    }

    /// Forgets the manifests that are not among `wanted`.
    pub fn retain_manifests(&mut self, wanted: impl Fn(Digest) -> bool) {
        self.manifests.retain(|digest, _| wanted(*digest));
    }

    /// A manifest taken in before.
    pub fn manifest(&self, digest: Digest) -> Option<Rc<Manifest>> {
        self.manifests
            .get(&digest)
            .map(|it| Rc::clone(&it.manifest))
    }

    /// Positions that arrived after the first `seen` ones.
    pub fn arrived(&self, manifest: Digest, seen: usize) -> &[u32] {
        let arrived = self
            .manifests
            .get(&manifest)
            .map(|it| it.arrived.as_slice());
        arrived.and_then(|it| it.get(seen..)).unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(content) = self.content.remove(&oldest) {
            self.bytes -= content.len() as u64;
        }
    }
}
