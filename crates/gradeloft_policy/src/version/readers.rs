//! Which agents read a version from the origin.
//!
//! An origin takes a bounded number of connections and resets those beyond, with whatever was on its
//! way through them. So only as many agents read there as it has connections for; all others take
//! everything from peers. The readers are drawn by rendezvous hashing, anew for each version, so every
//! agent knows them without asking.

use crate::rendezvous;

/// Part of the origin's connections that readers use. The rest is for agents that read although they
/// are none, since the readers were out of reach.
const CONNECTIONS_USED: f64 = 0.85;

/// The agents of `nodes` that read the version `key` from an origin with so many connections, of which
/// each reader uses `each`. At least one, the first in rank first.
pub fn choose(key: u64, nodes: &[u64], connections: u32, each: u32) -> Vec<u64> {
    let most = f64::from(connections) * CONNECTIONS_USED / f64::from(each.max(1));
    let ranked = rendezvous::order(key, nodes).into_iter();
    ranked
        .take((most as usize).max(1))
        .map(|idx| nodes[idx])
        .collect()
}
