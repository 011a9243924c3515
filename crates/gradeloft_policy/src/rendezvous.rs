//! Rendezvous hashing: for a key, every process ranks the same nodes in the same order without
//! coordination, and the loss of a node moves only its own keys.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a name for use with [`score`].
pub fn hash(name: &[u8]) -> u64 {
    xxh3_64_with_seed(name, 0)
}

/// Returns the weight of `node` for `key`. The node with the highest weight owns the key.
pub fn score(key: u64, node: u64) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), key)
}

/// Returns the indices of `nodes` in descending order of weight for `key`; ties go by the node's
/// hash.
pub fn order(key: u64, nodes: &[u64]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_cached_key(|&idx| Reverse((score(key, nodes[idx]), nodes[idx])));
    ranked
}

/// Returns the number of `nodes` that rank before `own` for `key`.
pub fn rank(key: u64, own: u64, nodes: impl Iterator<Item = u64>) -> usize {
    let mine = (score(key, own), own);
    nodes
        .filter(|&node| mine < (score(key, node), node))
        .count()
}

/// Returns the weight of `node` for `key` like [`score`], where both are hashes of names. It takes a
/// fraction of the time, for rankings of all nodes for all keys.
pub fn pair_score(key: u64, node: u64) -> u64 {
    // The finalizer of SplitMix64, which spreads each bit over the whole result.
    let mixed = key ^ node;
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
