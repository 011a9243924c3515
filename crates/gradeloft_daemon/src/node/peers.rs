//! The list, the connections to peers and the notices that come over them.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::process::membership::{self, PeerKey};
use gradeloft_wire::{
    border::settings::Role,
    frame::{Call, Notice, Reply},
};
use slog::{debug, info};

use super::{Node, config};
use crate::transport::{client::Lane, server::Outgoing};

/// Longest time between two notices on one stream.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// Silent heartbeats after which a connection counts as lost.
const MISSED_HEARTBEATS: u32 = 3;

/// Starts to follow the list and to watch the peers that this node has to know.
pub fn start(node: &Rc<Node>) {
    node.scope.spawn(follow_list(Rc::clone(node)));
}

/// Addresses of the peers whose connections stand.
pub fn connected(node: &Node) -> Vec<String> {
    let membership = node.membership.borrow();
    let connected = membership.iter().filter(|(_, it)| it.connected);
    connected.map(|(_, it)| it.instance.peer.clone()).collect()
}

/// Sends this node's notice now, on each change and as a heartbeat, until the watcher goes.
pub async fn serve_watch(node: Rc<Node>, outgoing: Outgoing) {
    let mut notices = node.notice.subscribe();
    loop {
        let notice = notices.borrow_and_update().clone();
        if !outgoing.send(&Reply::Notice(notice)).await {
            return;
        }
        tokio::select! {
            changed = notices.changed() => if changed.is_err() { return },
            () = actix_rt::time::sleep(HEARTBEAT) => {}
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
                let fresh = node.membership.borrow_mut().apply_list(instances);
                for key in fresh {
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
    // Agents hear of bundles by gossip and from the entries that watch them, and of each other's
    // chunks when they share them; so only entries watch.
    if node.settings.role == Role::Entry {
        node.scope.spawn(watch_peer(Rc::clone(node), key));
    }
}

async fn watch_peer(node: Rc<Node>, key: PeerKey) {
    let first = address(&node, key);
    loop {
        let Some(address) = address(&node, key) else {
            return;
        };
        if first.as_ref() != Some(&address) {
            // It moved; a task for its new address has been started.
            return;
        }
        let reason = watch_once(&node, key, &address).await;
        let now = node.clock.now();
        node.membership.borrow_mut().connection_lost(key, now);
        node.membership_changes.send_modify(|it| *it += 1);
        debug!(node.log, "peer lost"; "peer" => &address, "why" => reason);
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
        let silence = HEARTBEAT * MISSED_HEARTBEATS;
        let Ok(next) = tokio::time::timeout(silence, incoming.next()).await else {
            return "silent";
        };
        let Ok(Some(Reply::Notice(notice))) = next else {
            return "closed";
        };
        if !is_at(node, key, &notice.node) {
            return "another instance at its address";
        }
        noticed(node, key, notice);
        let ahead = node
            .membership
            .borrow()
            .get(key)
            .and_then(|it| it.notice.clone());
        if ahead.is_some_and(|it| node.chain.borrow().number() < it.bundle) {
            config::sync(node, address).await;
        }
    }
}

fn noticed(node: &Node, key: PeerKey, notice: Notice) {
    let now = node.clock.now();
    let mut membership = node.membership.borrow_mut();
    let before = membership.get(key).and_then(|it| it.notice.clone());
    let told = |it: &Notice| (it.leaving, it.serving.clone(), it.service.clone());
    let changed = before.as_ref().map(told) != Some(told(&notice));
    if changed {
        info!(node.log, "peer state"; "peer" => &notice.node, "leaving" => notice.leaving,
            "serving" => notice.serving.len(), "bundle" => notice.bundle);
    }
    membership.receive_notice(key, notice, now);
    drop(membership);
    if changed {
        node.membership_changes.send_modify(|it| *it += 1);
    }
}

/// Whether a peer is the instance that the list names; an address can go to another one.
fn is_at(node: &Node, key: PeerKey, name: &str) -> bool {
    let membership = node.membership.borrow();
    membership.get(key).is_some_and(|it| it.instance.id == name)
}

fn address(node: &Node, key: PeerKey) -> Option<String> {
    node.membership
        .borrow()
        .get(key)
        .map(|it| it.instance.peer.clone())
}
