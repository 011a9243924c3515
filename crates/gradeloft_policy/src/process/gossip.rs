//! Selects the peers from which a node requests the bundle in force.

use gradeloft_wire::border::platform::InstanceRole;

use super::membership::Peer;
use crate::rendezvous;

/// Number of peers of any role that a node gossips with.
const PEERS: usize = 4;
/// Number of entries that a node gossips with in addition; entries learn of a new bundle first.
const ENTRIES: usize = 2;

/// Selects the peers that the node whose name hashes to `own` gossips with, by rendezvous hashing.
/// The selection stays the same while the members do. It is small, so a large fleet needs no
/// connection between each pair of nodes. The selections of all nodes together still connect the
/// fleet.
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
