//! Claims on keyed calls, appended to the log in groups and read back.
//!
//! One task appends whatever waits in one record, then reads the stream past it, so a burst of
//! calls costs few appends, and a claim is settled only after every claim before it is known.

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

/// A claim must be settled within this, in milliseconds.
const EXPIRY_MS: u64 = 60_000;
/// Claims appended as one record.
const GROUP: usize = 256;

/// Claims of the agent's service.
pub struct Claims {
    /// What is known of them.
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
    /// Waits until the claim stands on the log and every record before it has been folded; gives
    /// `false` when that can't be had now.
    pub async fn settled(&self, claim: Claim) -> bool {
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().push((claim, tell));
        self.queued.notify_one();
        told.await.unwrap_or(false)
    }

    /// What to do with a call once its claim is settled, or could not be.
    pub fn settle(&self, key: Digest, settled: bool, now: Time) -> Step<Outcome> {
        let mut table = self.table.borrow_mut();
        if settled {
            return table.settle(key, now);
        }
        table.abandon(key);
        Step::Refuse(gradeloft_wire::error::Kind::LogUnavailable)
    }
}

/// Appends and reads claims as long as the agent runs.
pub async fn run(agent: Rc<Agent>, service: String) {
    let stream = format!("{CLAIMS}.{service}");
    let claims = &agent.claims;
    // Claims of earlier processes; if the log is down now, the next group reads them.
    let _ = read_to_end(&agent.node, claims, &stream).await;
    loop {
        claims.queued.notified().await;
        loop {
            let group = take(claims);
            if group.is_empty() {
                break;
            }
            let settled = commit(&agent.node, claims, &stream, &group).await;
            if let Err(fault) = &settled {
                agent.node.count_platform_failure("log");
                warn!(agent.node.log, "claims not settled"; "claims" => group.len(), "why" => %fault);
            }
            for (_, tell) in group {
                let _ = tell.send(settled.is_ok());
            }
        }
    }
}

type Waiting = (Claim, oneshot::Sender<bool>);

fn take(claims: &Claims) -> Vec<Waiting> {
    let mut waiting = claims.waiting.borrow_mut();
    let count = waiting.len().min(GROUP);
    waiting.drain(..count).collect()
}

async fn commit(
    node: &Node,
    claims: &Claims,
    stream: &str,
    group: &[Waiting],
) -> Result<(), Fault> {
    let record = Record::Claims(group.iter().map(|(it, _)| it.clone()).collect()).encode();
    match node.platform.log.append(stream, &[record]).await {
        // Whether a lost append took effect shows when the stream is read.
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
