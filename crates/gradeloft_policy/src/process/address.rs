//! Orders the entries that a caller can use.

use std::cmp::Reverse;

use crate::rendezvous;

/// Weight of an entry in the caller's availability zone.
const NEAR_WEIGHT: u32 = 100;
/// Weight of any other entry.
const FAR_WEIGHT: u32 = 10;

/// An entry that accepts new requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Instance.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Public address, as `ip:port`.
    pub address: String,
}

/// Returns the entries in order of preference for a team in a zone, each with its weight. Entries
/// of that zone come first. Within the zone and among the other entries, the order depends on the
/// team, which spreads teams over the entries.
pub fn order(entries: &[Entry], team: &str, zone: &str) -> Vec<(Entry, u32)> {
    let key = rendezvous::hash(team.as_bytes());
    let mut ranked: Vec<&Entry> = entries.iter().collect();
    ranked.sort_by_cached_key(|it| {
        let score = rendezvous::score(key, rendezvous::hash(it.node.as_bytes()));
        (it.zone != zone, Reverse(score))
    });
    let weight = |it: &Entry| {
        if it.zone == zone {
            NEAR_WEIGHT
        } else {
            FAR_WEIGHT
        }
    };
    ranked
        .into_iter()
        .map(|it| (it.clone(), weight(it)))
        .collect()
}
