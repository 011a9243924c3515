//! Which peers a node asks for the bundle in force.

use gradeloft_wire::border::platform::InstanceRole;

use super::membership::Peer;
use crate::rendezvous;

/// Peers of any role that a node gossips with.
const PEERS: usize = 4;
/// Entries that it gossips with besides; they are the first to know.
const ENTRIES: usize = 2;

/// The few peers that the node whose name hashes to `own` gossips with. They are drawn by rendezvous
/// and stay the same while members do, so that a large fleet does not end up with a connection for
/// every pair, and all draws together still connect it.
pub fn select_peers<'a>(own: u64, peers: &[&'a Peer]) -> Vec<&'a Peer> {
    let nodes: Vec<u64> = peers.iter().map(|it| it.node).collect();
    let ranked: Vec<&Peer> = rendezvous::order(own, &nodes)
        .into_iter()
        .map(|idx| peers[idx])
        .collect();
    let entries = ranked
        .iter()
        .filter(|it| it.instance.role == InstanceRole::Entry);
    let mut drawn: Vec<&Peer> = ranked.iter().take(PEERS).copied().collect();
    drawn.extend(entries.take(ENTRIES));
    drawn
}
