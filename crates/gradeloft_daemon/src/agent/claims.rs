//! Claims for keyed calls, appended to the log in batches and read back.
//!
//! One task appends all waiting claims as one record, then reads the stream past it. So a burst of
//! calls needs few appends, and a claim is settled only after every earlier claim is known.

use std::{cell::RefCell, rc::Rc};

use gradeloft_platform::Fault;
use gradeloft_policy::{
    clock::Time,
    request::at_most_once::{ClaimTable, Step},
};
use gradeloft_wire::{
    id::Digest,
    record::{CLAIMS, Claim, Record},
};
use slog::warn;
use tokio::sync::{Notify, oneshot};

use super::{Agent, service::Outcome};
use crate::node::Node;

/// Time limit from requesting a claim to settling it, in milliseconds.
const EXPIRY_MS: u64 = 60_000;
/// Maximum number of claims in one record.
const MAX_BATCH: usize = 256;

/// Claims of the agent's service.
pub struct Claims {
    /// Claims and outcomes known to this agent.
    pub table: RefCell<ClaimTable<Outcome>>,
    waiting: RefCell<Vec<(Claim, oneshot::Sender<bool>)>>,
    queued: Notify,
}

impl Default for Claims {
    fn default() -> Claims {
        Claims {
            table: RefCell::new(ClaimTable::new(EXPIRY_MS)),
            waiting: RefCell::default(),
            queued: Notify::new(),
        }
    }
}

impl Claims {
    /// Appends a claim to the log, and waits until the stream has been read past it. Returns
    /// `false` if the log fails.
    pub async fn append(&self, claim: Claim) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push((claim, sender));
        self.queued.notify_one();
        receiver.await.unwrap_or(false)
    }

    /// Returns the next step for a call after [`Claims::append`], which returned `appended`.
    pub fn settle(&self, key: Digest, appended: bool, now: Time) -> Step<Outcome> {
        let mut table = self.table.borrow_mut();
        if appended {
            return table.settle(key, now);
        }
        table.abandon(key);
        Step::Refuse(gradeloft_wire::error::Kind::LogUnavailable)
    }
}

/// Appends and reads claims while the agent runs.
pub async fn run(agent: Rc<Agent>, service: String) {
    let stream = format!("{CLAIMS}.{service}");
    let claims = &agent.claims;
    // Reads the claims of earlier processes. If this fails, the next batch reads them.
    let _ = read_to_end(&agent.node, claims, &stream).await;
    loop {
        claims.queued.notified().await;
        loop {
            let batch = take_batch(claims);
            if batch.is_empty() {
                break;
            }
            let appended = append_batch(&agent.node, claims, &stream, &batch).await;
            if let Err(fault) = &appended {
                agent.node.count_platform_failure("log");
                warn!(agent.node.log, "claims not settled"; "claims" => batch.len(), "why" => %fault);
            }
            for (_, sender) in batch {
                let _ = sender.send(appended.is_ok());
            }
        }
    }
}

type Waiting = (Claim, oneshot::Sender<bool>);

fn take_batch(claims: &Claims) -> Vec<Waiting> {
    let mut waiting = claims.waiting.borrow_mut();
    let count = waiting.len().min(MAX_BATCH);
    waiting.drain(..count).collect()
}

async fn append_batch(
    node: &Node,
    claims: &Claims,
    stream: &str,
    batch: &[Waiting],
) -> Result<(), Fault> {
    let record = Record::Claims(batch.iter().map(|(it, _)| it.clone()).collect()).encode();
    match node.platform.log.append(stream, &[record]).await {
        // If the reply was lost, reading the stream shows whether the append took effect.
        Ok(_) | Err(Fault::Lost) => read_to_end(node, claims, stream).await,
        Err(fault) => Err(fault),
    }
}

async fn read_to_end(node: &Node, claims: &Claims, stream: &str) -> Result<(), Fault> {
    loop {
        let from = claims.table.borrow().next();
        let page = node.platform.log.read(stream, from, 0).await?;
        let mut table = claims.table.borrow_mut();
        table.drop_below(page.oldest);
        for record in &page.records {
            match Record::decode(&record.data) {
                Ok(Record::Claims(claims)) => table.fold(record.offset, &claims),
                _ => table.skip(record.offset),
            }
        }
        if page.next <= table.next() || page.records.is_empty() {
            return Ok(());
        }
    }
}
