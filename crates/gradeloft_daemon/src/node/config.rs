//! Synchronization of the bundle in force, from the log and from peers.
//!
//! Entries follow the log. In addition, every node periodically requests from a random peer a newer
//! bundle, pushes each bundle that it accepts to its peers, and compares bundle numbers in the
//! notices of the peers that it watches. During an outage of the log no new bundle is accepted, but
//! the accepted one still spreads and new nodes can start. Agents read the log frequently only
//! while they have no bundle.
//!
//! Before the log's retention drops the bundle in force, an entry appends it again as a checkpoint,
//! from which later readers of the log start.

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

/// Time that a read of the log waits for new records, in milliseconds.
const LOG_WAIT_MS: u64 = 2_000;
/// Initial and maximum delay before a failed read of the log is retried, in milliseconds.
const LOG_RETRY_DELAY_MS: std::ops::Range<u64> = 100..1_000;
/// Interval at which an entry checks whether a checkpoint is due.
const CHECKPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between queries to random peers, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 1_000;
/// Interval at which an agent that has a bundle reads the log, in seconds.
const AGENT_LOG_INTERVAL_S: u64 = 5;

/// Starts the tasks that synchronize the bundle.
pub fn start(node: &Rc<Node>) {
    node.scope.spawn(follow_log(Rc::clone(node)));
    node.scope.spawn(sync_with_peers(Rc::clone(node)));
    if node.settings.role == Role::Entry {
        node.scope.spawn(append_checkpoints(Rc::clone(node)));
    }
}

/// Adopts a bundle that a peer reports as in force.
pub fn adopt(node: &Node, signed: &SignedBundle) {
    let verdict = node.chain.borrow_mut().adopt(signed);
    record_verdict(node, signed, &verdict, BundleSource::Peer);
}

/// Requests a newer bundle from a peer and adopts it. Returns whether the peer replied.
pub async fn sync(node: &Node, address: &str) -> bool {
    let number = node.chain.borrow().number();
    let call = Call::Sync { number };
    let calling = node.pool.call(address, Lane::Live, &call);
    let Ok(Ok(Reply::Bundles(bundles))) = tokio::time::timeout(node.idle_timeout(), calling).await
    else {
        return false;
    };
    for signed in &bundles {
        adopt(node, signed);
    }
    true
}

async fn follow_log(node: Rc<Node>) {
    let mut from = 0;
    let mut delay_ms = LOG_RETRY_DELAY_MS.start;
    let is_entry = node.settings.role == Role::Entry;
    loop {
        if !is_entry && node.bundle_source.get() != BundleSource::None {
            let jitter = node.with_rng(|it| it.random_range(0..1000));
            let delay = Duration::from_millis(AGENT_LOG_INTERVAL_S * 1000 + jitter);
            actix_rt::time::sleep(delay).await;
        }
        let wait_ms = if is_entry { LOG_WAIT_MS } else { 0 };
        match node.platform.log.read(CONFIG, from, wait_ms).await {
            Ok(page) => {
                delay_ms = LOG_RETRY_DELAY_MS.start;
                let contiguous = page.oldest <= from;
                for record in &page.records {
                    apply_record(&node, contiguous, record);
                    from = record.offset + 1;
                }
                from = from.max(page.oldest);
                if is_entry || node.bundle_source.get() != BundleSource::None {
                    continue;
                }
            }
            Err(_) => node.count_platform_failure("log"),
        }
        let jitter = node.with_rng(|it| it.random_range(0..delay_ms));
        actix_rt::time::sleep(Duration::from_millis(delay_ms / 2 + jitter)).await;
        delay_ms = (delay_ms * 2).min(LOG_RETRY_DELAY_MS.end);
    }
}

/// Applies a record of the log. `contiguous` is whether all earlier records were read.
fn apply_record(node: &Node, contiguous: bool, record: &log::Record) {
    let (signed, verdict) = match Record::decode(&record.data) {
        Ok(Record::Bundle(signed)) => {
            // If earlier records are missing, one of them may hold a concurrent bundle that won.
            let decidable = contiguous || node.chain.borrow().head().is_some();
            if !decidable {
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
            warn!(node.log, "skipping unreadable record"; "offset" => record.offset, "why" => ?why);
            return;
        }
    };
    let digest = signed.digest();
    record_verdict(node, &signed, &verdict, BundleSource::Log);
    if node
        .chain
        .borrow()
        .head()
        .is_some_and(|it| it.digest == digest)
    {
        node.last_record_ms.set(Some(record.time_ms));
    }
}

fn record_verdict(node: &Node, signed: &SignedBundle, verdict: &Verdict, source: BundleSource) {
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
        // Bundles of peers that are older than the one in force are expected.
        Verdict::Refused(Refusal::Outrun { .. }) if source == BundleSource::Peer => {}
        Verdict::Refused(why) => {
            node.metrics.bundles_refused.inc();
            info!(node.log, "bundle refused"; "signer" => &signed.signer,
                "digest" => %signed.digest(), "why" => ?why);
        }
    }
}

async fn append_checkpoints(node: Rc<Node>) {
    let settings = node.settings.entry.clone().unwrap_or_default();
    let every_ms = settings.checkpoint_s * 1000;
    loop {
        let draw = node.with_rng(rand::Rng::random);
        actix_rt::time::sleep(CHECKPOINT_POLL_INTERVAL).await;
        let head = node.chain.borrow().head().map(|it| it.signed.clone());
        let (Some(signed), Some(last_ms)) = (head, node.last_record_ms.get()) else {
            continue;
        };
        if !chain::checkpoint_due(last_ms, unix_time_ms(), every_ms, draw) {
            continue;
        }
        let record = Record::Checkpoint(signed).encode();
        match node.platform.log.append(CONFIG, &[record]).await {
            Ok(offset) => info!(node.log, "checkpoint appended"; "offset" => offset),
            Err(_) => node.count_platform_failure("log"),
        }
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| it.as_millis() as u64)
}

async fn sync_with_peers(node: Rc<Node>) {
    let mut bundle = node.bundle_number.subscribe();
    loop {
        let delay =
            node.with_rng(|it| it.random_range(GOSSIP_INTERVAL_MS / 2..GOSSIP_INTERVAL_MS * 3 / 2));
        tokio::select! {
            () = actix_rt::time::sleep(Duration::from_millis(delay)) => {
                if let Some(address) = random_peer(&node) {
                    sync(&node, &address).await;
                }
            }
            Ok(()) = bundle.changed() => {
                bundle.borrow_and_update();
                push_bundle(&node);
            }
        }
    }
}

/// Returns the address of a random peer among those that this node gossips with.
fn random_peer(node: &Node) -> Option<String> {
    let membership = node.membership.borrow();
    let now = node.clock.now();
    let peers: Vec<&Peer> = membership
        .iter()
        .map(|(_, it)| it)
        .filter(|it| !it.health.is_suspect(now))
        .collect();
    let own = rendezvous::hash(node.settings.node.id.as_bytes());
    let selected = gossip::select_peers(own, &peers);
    let chosen = node.with_rng(|rng| selected.into_iter().choose(rng));
    chosen.map(|it| it.instance.peer.clone())
}

/// Pushes the bundle in force to the peers that this node watches.
fn push_bundle(node: &Rc<Node>) {
    let Some(signed) = node.chain.borrow().head().map(|it| it.signed.clone()) else {
        return;
    };
    for address in peers::connected(node) {
        let node = Rc::clone(node);
        let call = Call::Push(signed.clone());
        let scope = Rc::clone(&node.scope);
        scope.spawn(async move {
            let calling = node.pool.call(&address, Lane::Live, &call);
            let _ = tokio::time::timeout(node.idle_timeout(), calling).await;
        });
    }
}
