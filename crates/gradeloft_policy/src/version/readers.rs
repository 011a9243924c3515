//! Selection of the agents that read a version from the origin.
//!
//! An origin accepts a bounded number of connections and resets any others, which loses the data in
//! transit on them. So only as many agents read from the origin as its connections allow; all
//! others fetch everything from peers. The readers are selected by rendezvous hashing for each
//! version, so every agent computes the same readers without communication.

use crate::rendezvous;

/// Fraction of the origin's connections that readers use. The rest is for agents that can't reach
/// the readers and read from the origin themselves.
const READER_SHARE: f64 = 0.85;

/// Returns the agents of `nodes` that read the version `key` from the origin: at least one, in
/// order of rank. The origin accepts `connections` connections, and each reader uses
/// `connections_per_reader`.
pub fn choose(key: u64, nodes: &[u64], connections: u32, connections_per_reader: u32) -> Vec<u64> {
    let max_readers =
        f64::from(connections) * READER_SHARE / f64::from(connections_per_reader.max(1));
    let ranked = rendezvous::order(key, nodes).into_iter();
    ranked
        .take((max_readers as usize).max(1))
        .map(|idx| nodes[idx])
        .collect()
}
