//! In-memory store of chunks and manifests for peers and the engine, bounded in size.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use bytes::Bytes;
use gradeloft_policy::version::manifest::Manifest;
use gradeloft_wire::id::Digest;

/// Content by digest. Beyond the size limit the oldest content is evicted first, because it belongs
/// to the oldest version, which the engine already holds.
pub struct Chunks {
    content: HashMap<Digest, Bytes>,
    /// Digests in order of arrival, oldest first.
    order: VecDeque<Digest>,
    /// Total size of the content. Exceeds `max_bytes` only if the newest item alone does.
    bytes: u64,
    max_bytes: u64,
    manifests: HashMap<Digest, KnownManifest>,
}

struct KnownManifest {
    manifest: Rc<Manifest>,
    positions: HashMap<Digest, u32>,
    /// Positions of the chunks in order of arrival. A follower's progress is the number of
    /// positions sent to it.
    arrived: Vec<u32>,
}

impl Chunks {
    /// Creates an empty store for at most `max_bytes` of content.
    pub fn new(max_bytes: u64) -> Chunks {
        Chunks {
            content: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
            manifests: HashMap::new(),
        }
    }

    /// Returns content, if it is held.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        self.content.get(&digest).cloned()
    }

    /// Returns whether content is held.
    pub fn holds(&self, digest: Digest) -> bool {
        self.content.contains_key(&digest)
    }

    /// Returns whether a known manifest lists a chunk.
    pub fn is_listed(&self, digest: Digest) -> bool {
        self.manifests
            .values()
            .any(|it| it.positions.contains_key(&digest))
    }

    /// Adds content, whose digest must have been verified.
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
            self.evict_oldest();
        }
    }

    /// Adds a manifest, so that peers can follow its chunks.
    pub fn insert_manifest(&mut self, manifest: Rc<Manifest>) {
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
            KnownManifest {
                manifest,
                positions,
                arrived,
            },
        );
    }

    /// Removes the manifests for which `wanted` returns false.
    pub fn retain_manifests(&mut self, wanted: impl Fn(Digest) -> bool) {
        self.manifests.retain(|digest, _| wanted(*digest));
    }

    /// Returns a manifest, if it is known.
    pub fn manifest(&self, digest: Digest) -> Option<Rc<Manifest>> {
        self.manifests
            .get(&digest)
            .map(|it| Rc::clone(&it.manifest))
    }

    /// Returns the positions of a manifest's chunks in order of arrival, without the first `seen`.
    pub fn arrived(&self, manifest: Digest, seen: usize) -> &[u32] {
        let arrived = self
            .manifests
            .get(&manifest)
            .map(|it| it.arrived.as_slice());
        arrived.and_then(|it| it.get(seen..)).unwrap_or_default()
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(content) = self.content.remove(&oldest) {
            self.bytes -= content.len() as u64;
        }
    }
}
