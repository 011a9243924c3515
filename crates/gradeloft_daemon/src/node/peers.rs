//! The list of instances, connections to peers, and the notices received over them.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::process::membership::{self, PeerKey};
use gradeloft_wire::{
    border::settings::Role,
    frame::{Call, Notice, Reply},
};
use slog::{debug, info};

use super::{Node, config};
use crate::transport::{client::Lane, server::Outgoing};

/// Longest interval between two notices on a stream.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of missed heartbeats after which a connection counts as lost.
const MISSED_HEARTBEATS: u32 = 3;

/// Starts the task that reads the list and watches peers.
pub fn start(node: &Rc<Node>) {
    node.scope.spawn(follow_list(Rc::clone(node)));
}

/// Returns the addresses of connected peers.
pub fn connected(node: &Node) -> Vec<String> {
    let membership = node.membership.borrow();
    let connected = membership.iter().filter(|(_, it)| it.connected);
    connected.map(|(_, it)| it.instance.peer.clone()).collect()
}

/// Sends this node's notice at once, on each change and as a heartbeat, until the watcher
/// disconnects.
pub async fn serve_watch(node: Rc<Node>, outgoing: Outgoing) {
    let mut notices = node.notice.subscribe();
    loop {
        let notice = notices.borrow_and_update().clone();
        if !outgoing.send(&Reply::Notice(notice)).await {
            return;
        }
        tokio::select! {
            changed = notices.changed() => if changed.is_err() { return },
            () = actix_rt::time::sleep(HEARTBEAT_INTERVAL) => {}
            () = outgoing.closed() => return,
        }
    }
}

async fn follow_list(node: Rc<Node>) {
    let mut interval_ms = membership::list_interval_ms(0);
    loop {
        match node.platform.list.instances().await {
            Ok(instances) => {
                interval_ms = membership::list_interval_ms(instances.len());
                let added = node.membership.borrow_mut().apply_list(instances);
                for key in added {
                    watch(&node, key);
                }
                node.membership_changes.send_modify(|it| *it += 1);
            }
            Err(_) => node.count_platform_failure("list"),
        }
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

fn watch(node: &Rc<Node>, key: PeerKey) {
    // Only entries watch peers. Agents get bundles by gossip and from the entries that watch them,
    // and learn of each other's chunks when they exchange them.
    if node.settings.role == Role::Entry {
        node.scope.spawn(watch_peer(Rc::clone(node), key));
    }
}

async fn watch_peer(node: Rc<Node>, key: PeerKey) {
    let initial_address = peer_address(&node, key);
    loop {
        let Some(address) = peer_address(&node, key) else {
            return;
        };
        if initial_address.as_ref() != Some(&address) {
            // The peer has a new address, which another task watches.
            return;
        }
        let reason = watch_once(&node, key, &address).await;
        let now = node.clock.now();
        node.membership.borrow_mut().connection_lost(key, now);
        node.membership_changes.send_modify(|it| *it += 1);
        debug!(node.log, "connection to peer lost"; "peer" => &address, "why" => reason);
        let retry_at = node
            .membership
            .borrow()
            .get(key)
            .map(|it| it.health.retry_at());
        let Some(retry_at) = retry_at else {
            return;
        };
        actix_rt::time::sleep(node.clock.until(retry_at)).await;
    }
}

async fn watch_once(node: &Node, key: PeerKey, address: &str) -> &'static str {
    let Ok(mut incoming) = node.pool.open(address, Lane::Live, &Call::Watch).await else {
        return "unreachable";
    };
    loop {
        let idle_timeout = HEARTBEAT_INTERVAL * MISSED_HEARTBEATS;
        let Ok(next) = tokio::time::timeout(idle_timeout, incoming.next()).await else {
            return "silent";
        };
        let Ok(Some(Reply::Notice(notice))) = next else {
            return "closed";
        };
        if !is_instance(node, key, &notice.node) {
            return "another instance at its address";
        }
        apply_notice(node, key, notice);
        let notice = node
            .membership
            .borrow()
            .get(key)
            .and_then(|it| it.notice.clone());
        if notice.is_some_and(|it| node.chain.borrow().number() < it.bundle) {
            config::sync(node, address).await;
        }
    }
}

fn apply_notice(node: &Node, key: PeerKey, notice: Notice) {
    let now = node.clock.now();
    let mut membership = node.membership.borrow_mut();
    let before = membership.get(key).and_then(|it| it.notice.clone());
    let visible_state = |it: &Notice| (it.leaving, it.serving.clone(), it.service.clone());
    let changed = before.as_ref().map(visible_state) != Some(visible_state(&notice));
    if changed {
        info!(node.log, "peer state changed"; "peer" => &notice.node, "leaving" => notice.leaving,
            "serving" => notice.serving.len(), "bundle" => notice.bundle);
    }
    membership.receive_notice(key, notice, now);
    drop(membership);
    if changed {
        node.membership_changes.send_modify(|it| *it += 1);
    }
}

/// Returns whether a peer is still the instance with this name, since another instance may reuse
/// its address.
fn is_instance(node: &Node, key: PeerKey, name: &str) -> bool {
    let membership = node.membership.borrow();
    membership.get(key).is_some_and(|it| it.instance.id == name)
}

fn peer_address(node: &Node, key: PeerKey) -> Option<String> {
    node.membership
        .borrow()
        .get(key)
        .map(|it| it.instance.peer.clone())
}
