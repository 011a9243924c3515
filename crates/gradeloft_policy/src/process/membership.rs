//! Which peers there are, by the platform's list and by what connections show.
//!
//! The list lags and has outages, so it is a hint: a peer that it names is tried, a peer that it
//! drops stays as long as its connection proves it alive, and an outage changes nothing.

use gradeloft_wire::{
    border::platform::{Instance, InstanceRole, InstanceState},
    frame::Notice,
};
use slotmap::{SlotMap, new_key_type};

use crate::{clock::Time, connection::health::Health, rendezvous};

/// Shortest time between two readings of the list, in milliseconds.
const LIST_LEAST_MS: u64 = 500;
/// What that time grows by for each instance of the list, in milliseconds.
const LIST_MS_PER_INSTANCE: u64 = 25;

/// Time until the list is read again, when it had so many instances. It grows with the list, so that
/// reading it costs a node the same bytes a second in a fleet of any size; what a large fleet learns
/// late that way is only who is new, since connections show who is gone.
pub fn list_interval_ms(instances: usize) -> u64 {
    LIST_LEAST_MS.max(instances as u64 * LIST_MS_PER_INSTANCE)
}

new_key_type! {
    /// Names a peer for as long as it is a member.
    pub struct PeerKey;
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The list's entry, as last seen.
    pub instance: Instance,
    /// Hash of its name.
    pub node: u64,
    /// Whether the last list that could be read names it.
    pub listed: bool,
    /// Its last notice; none until it is connected.
    pub notice: Option<Notice>,
    /// When the notice came.
    pub noticed_at: Time,
    /// Whether its connection stands.
    pub connected: bool,
    /// What its connection and its answers show.
    pub health: Health,
    /// Requests of this process that run there.
    pub own_requests: u32,
}

impl Peer {
    /// Whether it may be given new work at `now`.
    pub fn takes_work(&self, now: Time) -> bool {
        let leaving = self.notice.as_ref().is_none_or(|it| it.leaving);
        let listed_leaving = self.instance.state == InstanceState::Leaving;
        self.connected && !leaving && !listed_leaving && !self.health.is_suspect(now)
    }

    /// Requests that it can run at once.
    pub fn capacity(&self) -> u32 {
        self.notice.as_ref().map_or(0, |it| it.capacity)
    }

    /// Requests of others that ran there when it last reported.
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
    /// Whether a list has ever been read.
    read: bool,
}

impl Membership {
    /// Peers of the instance `own`; none yet.
    pub fn new(own: &str) -> Membership {
        Membership {
            own: own.to_owned(),
            ..Membership::default()
        }
    }

    /// Takes over a list that was read. Gives the peers that are new, or whose address changed.
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

    /// A peer sent a notice.
    pub fn receive_notice(&mut self, key: PeerKey, notice: Notice, now: Time) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.connected = true;
            peer.noticed_at = now;
            peer.notice = Some(notice);
            peer.health.record_success();
        }
    }

    /// A peer's connection broke, or can't be made.
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

    /// A peer.
    pub fn get(&self, key: PeerKey) -> Option<&Peer> {
        self.peers.get(key)
    }

    /// A peer, to change what is known of it.
    pub fn get_mut(&mut self, key: PeerKey) -> Option<&mut Peer> {
        self.peers.get_mut(key)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers.iter()
    }

    /// Peers of one role.
    pub fn of(&self, role: InstanceRole) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, it)| it.instance.role == role)
    }

    /// Whether a list has ever been read.
    pub fn has_read_list(&self) -> bool {
        self.read
    }
}
