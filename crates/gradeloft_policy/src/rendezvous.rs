//! Rendezvous hashing: every node ranks the same nodes the same way for a key, without talking,
//! and the loss of one moves only what it held.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a name, as [`score`] takes it.
pub fn hash(name: &[u8]) -> u64 {
    xxh3_64_with_seed(name, 0)
}

/// Weight of `node` for `key`; the highest owns the key.
pub fn score(key: u64, node: u64) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), key)
}

/// Positions of `nodes` in the order in which they own `key`; ties go by the node's hash.
pub fn order(key: u64, nodes: &[u64]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_cached_key(|&idx| Reverse((score(key, nodes[idx]), nodes[idx])));
    ranked
}

/// How many of `nodes` come before `own` for `key`.
pub fn rank(key: u64, own: u64, nodes: impl Iterator<Item = u64>) -> usize {
    let mine = (score(key, own), own);
    nodes
        .filter(|&node| mine < (score(key, node), node))
        .count()
}
