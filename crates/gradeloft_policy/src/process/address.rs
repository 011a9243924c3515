//! Which entries a caller is told to use.

use std::cmp::Reverse;

use crate::rendezvous;

/// Share of requests for entries in the caller's availability zone.
const NEAR_WEIGHT: u32 = 100;
/// Share for the others.
const FAR_WEIGHT: u32 = 10;

/// An entry that takes new requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Instance.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Public address, ip:port.
    pub address: String,
}

/// Entries in order of use for a team in a zone, each with its weight: the near ones first, and
/// among equals each team in an order of its own, so that teams spread over the entries.
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
