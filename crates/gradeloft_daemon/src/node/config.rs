//! How a node learns which bundle is in force.
//!
//! Entries tail the log. Every node also asks a random peer now and then, passes on what it has
//! accepted, and looks at the notices of the peers that it watches; so an outage of the log stops
//! new bundles, and neither the spread of the accepted one nor the start of new nodes. Agents read
//! the log themselves only while they have no bundle, or hear of none from peers.
//!
//! Before the log's retention drops the bundle in force, an entry appends it again as a checkpoint;
//! who reads the log later starts from there.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use gradeloft_platform::log;
use gradeloft_policy::{
    process::{gossip, membership::Peer},
    rendezvous,
    version::chain::{self, Refusal, Verdict},
};
use gradeloft_wire::{
    border::settings::Role,
    frame::{Call, Reply},
    record::{CONFIG, Record, SignedBundle},
};
use rand::{Rng, seq::IteratorRandom};
use slog::{info, warn};

use super::{BundleSource, Node, peers};
use crate::transport::client::Lane;

/// How long the log is asked to wait for something new, in milliseconds.
const TAIL_WAIT_MS: u64 = 2_000;
/// First and longest pause after the log failed, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 100..1_000;
/// How often an entry looks whether a checkpoint is due.
const CHECKPOINT_LOOK: Duration = Duration::from_millis(500);
/// Mean time between two questions to random peers, in milliseconds.
const GOSSIP_MS: u64 = 1_000;
/// Time without word of the bundle from a peer after which an agent reads the log, in seconds.
const AGENT_LOG_S: u64 = 5;

/// Starts to learn.
pub fn start(node: &Rc<Node>) {
    node.scope.spawn(tail(Rc::clone(node)));
    node.scope.spawn(ask_peers(Rc::clone(node)));
    if node.settings.role == Role::Entry {
        node.scope.spawn(checkpoint(Rc::clone(node)));
    }
}

/// Takes over a bundle that a peer says is in force.
pub fn adopt(node: &Node, signed: &SignedBundle) {
    let verdict = node.chain.borrow_mut().adopt(signed);
    settle(node, signed, &verdict, BundleSource::Peer);
}

/// Asks a peer for the bundle in force.
pub async fn sync(node: &Node, address: &str) -> bool {
    let number = node.chain.borrow().number();
    let call = Call::Sync { number };
    let asking = node.pool.call(address, Lane::Live, &call);
    let Ok(Ok(Reply::Bundles(bundles))) = tokio::time::timeout(node.idle_timeout(), asking).await
    else {
        return false;
    };
    for signed in &bundles {
        adopt(node, signed);
    }
    true
}

async fn tail(node: Rc<Node>) {
    let mut from = 0;
    let mut pause_ms = RETRY_MS.start;
    let entry = node.settings.role == Role::Entry;
    loop {
        if !entry && node.bundle_source.get() != BundleSource::None {
            let jitter = node.with_rng(|it| it.random_range(0..1000));
            let pause = Duration::from_millis(AGENT_LOG_S * 1000 + jitter);
            actix_rt::time::sleep(pause).await;
        }
        let wait_ms = if entry { TAIL_WAIT_MS } else { 0 };
        match node.platform.log.read(CONFIG, from, wait_ms).await {
            Ok(page) => {
                pause_ms = RETRY_MS.start;
                let whole = page.oldest <= from;
                for record in &page.records {
                    fold(&node, whole, record);
                    from = record.offset + 1;
                }
                from = from.max(page.oldest);
                if entry || node.bundle_source.get() != BundleSource::None {
                    continue;
                }
            }
            Err(_) => node.count_platform_failure("log"),
        }
        let jitter = node.with_rng(|it| it.random_range(0..pause_ms));
        actix_rt::time::sleep(Duration::from_millis(pause_ms / 2 + jitter)).await;
        pause_ms = (pause_ms * 2).min(RETRY_MS.end);
    }
}

/// Folds one record; `whole` tells whether no record before it is missing.
fn fold(node: &Node, whole: bool, record: &log::Record) {
    let (signed, verdict) = match Record::decode(&record.data) {
        Ok(Record::Bundle(signed)) => {
            // With records missing, a bundle without its parent may be one that lost a race.
            let known = whole || node.chain.borrow().head().is_some();
            if !known {
                return;
            }
            let verdict = node.chain.borrow_mut().fold(&signed);
            (signed, verdict)
        }
        Ok(Record::Checkpoint(signed)) => {
            let verdict = node.chain.borrow_mut().adopt(&signed);
            (signed, verdict)
        }
        Ok(_) => return,
        Err(why) => {
            warn!(node.log, "record skipped"; "offset" => record.offset, "why" => ?why);
            return;
        }
    };
    let digest = signed.digest();
    settle(node, &signed, &verdict, BundleSource::Log);
    if node
        .chain
        .borrow()
        .head()
        .is_some_and(|it| it.digest == digest)
    {
        node.last_record_ms.set(Some(record.time_ms));
    }
}

fn settle(node: &Node, signed: &SignedBundle, verdict: &Verdict, source: BundleSource) {
    match verdict {
        Verdict::Accepted => {
            let number = node.chain.borrow().number();
            node.bundle_source.set(source);
            node.metrics.bundle.set(number as i64);
            node.notice.send_modify(|it| it.bundle = number);
            node.bundle_number.send_replace(number);
            info!(node.log, "bundle in force"; "number" => number, "signer" => &signed.signer,
                "digest" => %signed.digest(), "source" => source.name());
        }
        Verdict::Known => {}
        // What was accepted before looks outrun when the log is read again.
        Verdict::Refused(Refusal::Outrun { .. }) if source == BundleSource::Peer => {}
        Verdict::Refused(why) => {
            node.metrics.bundles_refused.inc();
            info!(node.log, "bundle refused"; "signer" => &signed.signer,
                "digest" => %signed.digest(), "why" => ?why);
        }
    }
}

async fn checkpoint(node: Rc<Node>) {
    let settings = node.settings.entry.clone().unwrap_or_default();
    let every_ms = settings.checkpoint_s * 1000;
    loop {
        let draw = node.with_rng(rand::Rng::random);
        actix_rt::time::sleep(CHECKPOINT_LOOK).await;
        let head = node.chain.borrow().head().map(|it| it.signed.clone());
        let (Some(signed), Some(last_ms)) = (head, node.last_record_ms.get()) else {
            continue;
        };
        if !chain::checkpoint_due(last_ms, wall_ms(), every_ms, draw) {
            continue;
        }
        let record = Record::Checkpoint(signed).encode();
        match node.platform.log.append(CONFIG, &[record]).await {
            Ok(offset) => info!(node.log, "checkpoint"; "offset" => offset),
            Err(_) => node.count_platform_failure("log"),
        }
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

async fn ask_peers(node: Rc<Node>) {
    let mut bundle = node.bundle_number.subscribe();
    loop {
        let pause = node.with_rng(|it| it.random_range(GOSSIP_MS / 2..GOSSIP_MS * 3 / 2));
        tokio::select! {
            () = actix_rt::time::sleep(Duration::from_millis(pause)) => {
                if let Some(address) = random_peer(&node) {
                    sync(&node, &address).await;
                }
            }
            Ok(()) = bundle.changed() => {
                bundle.borrow_and_update();
                push(&node);
            }
        }
    }
}

/// Address of one of the peers that this node gossips with.
fn random_peer(node: &Node) -> Option<String> {
    let membership = node.membership.borrow();
    let now = node.clock.now();
    let peers: Vec<&Peer> = membership
        .iter()
        .map(|(_, it)| it)
        .filter(|it| !it.health.is_suspect(now))
        .collect();
    let own = rendezvous::hash(node.settings.node.id.as_bytes());
    let drawn = gossip::select_peers(own, &peers);
    let chosen = node.with_rng(|rng| drawn.into_iter().choose(rng));
    chosen.map(|it| it.instance.peer.clone())
}

/// Passes the bundle in force on to the peers that this node watches.
fn push(node: &Rc<Node>) {
    let Some(signed) = node.chain.borrow().head().map(|it| it.signed.clone()) else {
        return;
    };
    for address in peers::connected(node) {
        let node = Rc::clone(node);
        let call = Call::Push(signed.clone());
        let scope = Rc::clone(&node.scope);
        scope.spawn(async move {
            let asking = node.pool.call(&address, Lane::Live, &call);
            let _ = tokio::time::timeout(node.idle_timeout(), asking).await;
        });
    }
}
