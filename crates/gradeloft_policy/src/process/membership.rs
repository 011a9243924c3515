//! The peers of a process, by the platform's list and by the state of connections.
//!
//! The list lags and has outages, so it is only a hint: a peer on the list is tried, a peer that
//! disappears from it stays as long as its connection is alive, and an outage of the list changes
//! nothing.

use gradeloft_wire::{
    border::platform::{Instance, InstanceRole, InstanceState},
    frame::Notice,
};
use slotmap::{SlotMap, new_key_type};

use crate::{clock::Time, connection::health::Health, rendezvous};

/// Shortest interval between two reads of the list, in milliseconds.
const LIST_LEAST_MS: u64 = 500;
/// Time that each instance on the list adds to the interval, in milliseconds.
const LIST_MS_PER_INSTANCE: u64 = 25;

/// Returns the time until the next read of a list of this size. The time grows with the list, so
/// that reads cost a node the same bytes a second in a fleet of any size. Only new instances are
/// noticed later in a large fleet, since connections show which instances are gone.
pub fn list_interval_ms(instances: usize) -> u64 {
    LIST_LEAST_MS.max(instances as u64 * LIST_MS_PER_INSTANCE)
}

new_key_type! {
    /// Key of a peer, valid for as long as the peer is a member.
    pub struct PeerKey;
}

/// Known state of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The latest list entry of the peer.
    pub instance: Instance,
    /// Hash of the name of the peer's instance.
    pub node: u64,
    /// Whether the last list that was read contains the peer.
    pub listed: bool,
    /// Last notice of the peer; `None` until it is connected.
    pub notice: Option<Notice>,
    /// Time at which the notice was received.
    pub noticed_at: Time,
    /// Whether the peer's connection is up.
    pub connected: bool,
    /// Health, judged by the peer's connection and replies.
    pub health: Health,
    /// Number of this process's requests that run at the peer.
    pub own_requests: u32,
}

impl Peer {
    /// Returns whether the peer accepts new work at `now`.
    pub fn accepts_work(&self, now: Time) -> bool {
        let leaving = self.notice.as_ref().is_none_or(|it| it.leaving);
        let listed_leaving = self.instance.state == InstanceState::Leaving;
        self.connected && !leaving && !listed_leaving && !self.health.is_suspect(now)
    }

    /// Returns the number of requests that the peer can run at once.
    pub fn capacity(&self) -> u32 {
        self.notice.as_ref().map_or(0, |it| it.capacity)
    }

    /// Returns the number of other processes' requests that were running at the peer at its last
    /// notice.
    pub fn others(&self) -> u32 {
        self.notice
            .as_ref()
            .map_or(0, |it| it.running.saturating_sub(self.own_requests))
    }
}

/// All peers of one process.
#[derive(Default)]
pub struct Membership {
    own: String,
    peers: SlotMap<PeerKey, Peer>,
    /// Whether a list was ever read.
    read: bool,
}

impl Membership {
    /// Creates a membership without peers for the instance `own`.
    pub fn new(own: &str) -> Membership {
        Membership {
            own: own.to_owned(),
            ..Membership::default()
        }
    }

    /// Applies a list that was read. Returns the peers that are new or whose address changed.
    pub fn apply_list(&mut self, instances: Vec<Instance>) -> Vec<PeerKey> {
        self.read = true;
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        let others = instances.into_iter().filter(|it| it.id != self.own);
        let fresh: Vec<Option<PeerKey>> = others
            .collect::<Vec<_>>()
            .into_iter()
            .map(|it| self.upsert(it))
            .collect();
        self.peers.retain(|_, it| it.listed || it.connected);
        fresh.into_iter().flatten().collect()
    }

    fn upsert(&mut self, instance: Instance) -> Option<PeerKey> {
        let known = self
            .peers
            .iter_mut()
            .find(|(_, it)| it.instance.id == instance.id);
        if let Some((key, peer)) = known {
            let moved = peer.instance.peer != instance.peer;
            peer.listed = true;
            peer.instance = instance;
            if !moved {
                return None;
            }
            peer.connected = false;
            peer.notice = None;
            peer.health = Health::default();
            return Some(key);
        }
        let node = rendezvous::hash(instance.id.as_bytes());
        Some(self.peers.insert(Peer {
            instance,
            node,
            listed: true,
            notice: None,
            noticed_at: Time::ZERO,
            connected: false,
            health: Health::default(),
            own_requests: 0,
        }))
    }

    /// Records a notice from a peer.
    pub fn receive_notice(&mut self, key: PeerKey, notice: Notice, now: Time) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.connected = true;
            peer.noticed_at = now;
            peer.notice = Some(notice);
            peer.health.record_success();
        }
    }

    /// Records that a peer's connection broke or can't be established.
    pub fn connection_lost(&mut self, key: PeerKey, now: Time) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.connected = false;
        peer.health.record_failure(now);
        if !peer.listed {
            self.peers.remove(key);
        }
    }

    /// Returns a peer.
    pub fn get(&self, key: PeerKey) -> Option<&Peer> {
        self.peers.get(key)
    }

    /// Returns a peer for modification.
    pub fn get_mut(&mut self, key: PeerKey) -> Option<&mut Peer> {
        self.peers.get_mut(key)
    }

    /// Iterates over all peers.
    pub fn iter(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers.iter()
    }

    /// Iterates over the peers of one role.
    pub fn of(&self, role: InstanceRole) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, it)| it.instance.role == role)
    }

    /// Returns whether a list was ever read.
    pub fn has_read_list(&self) -> bool {
        self.read
    }
}
