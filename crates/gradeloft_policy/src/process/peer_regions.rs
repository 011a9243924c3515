//! Whether the processes that send datagrams are in the own region.

use std::{collections::HashMap, net::Ipv4Addr};

/// Maximum number of known processes: three times the entries and agents of the largest fleet that is
/// designed for. Anybody can send datagrams, from any number of addresses.
const MAX_PEERS: usize = 8_192;

/// Addresses that datagrams came from, and whether they are in the own region.
#[derive(Clone, Debug, Default)]
pub struct PeerRegions {
    /// At most [`MAX_PEERS`].
    near: HashMap<Ipv4Addr, bool>,
}

impl PeerRegions {
    /// Records a process; returns whether there was room for it. If there was not, it replaces any other one,
    /// which sends again within a second.
    pub fn note(&mut self, address: Ipv4Addr, is_near: bool) -> bool {
        let has_room = self.near.len() < MAX_PEERS || self.near.contains_key(&address);
        if !has_room {
            let replaced = self.near.keys().next().copied();
            replaced.map(|it| self.near.remove(&it));
        }
        self.near.insert(address, is_near);
        has_room
    }

    /// Returns whether a process is in the own region; `None` if it is not known.
    pub fn is_near(&self, address: Ipv4Addr) -> Option<bool> {
        self.near.get(&address).copied()
    }

    /// Returns the number of known processes.
    pub fn len(&self) -> usize {
        self.near.len()
    }

    /// Returns whether no process is known.
    pub fn is_empty(&self) -> bool {
        self.near.is_empty()
    }
}
