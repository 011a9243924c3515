//! Turns to switch versions, requested in the log.

use std::{cell::RefCell, rc::Rc, time::Duration};

use gradeloft_platform::Fault;
use gradeloft_policy::{
    clock::Time,
    version::turns::{self, RENEW_MS, Turns},
};
use gradeloft_wire::{
    border::bundle::Rollout,
    frame::Pin,
    id::Digest,
    record::{Record, Step, TURNS, Turn as TurnRecord},
};
use slog::info;

use super::Agent;

/// Time that a read of the log waits for new records, in milliseconds.
const WAIT_MS: u64 = 500;

/// A version that a turn is requested for.
#[derive(Clone, Debug)]
pub struct Version {
    stream: String,
    model: String,
    manifest: Digest,
}

impl Version {
    /// Creates the version of a model or an adapter.
    pub fn new(pin: &Pin, manifest: Digest) -> Version {
        let stream = match &pin.adapter {
            Some(adapter) => format!("{TURNS}.{}.{adapter}", pin.model),
            None => format!("{TURNS}.{}", pin.model),
        };
        Version {
            stream,
            model: pin.model.clone(),
            manifest,
        }
    }
}

/// A turn held by this replica, renewed until it is ended or dropped.
pub struct Turn {
    agent: Rc<Agent>,
    version: Version,
    renewing: tokio::task::JoinHandle<()>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.renewing.abort();
    }
}

/// Waits until this replica may switch to a version: the availability zones before its own in the
/// bundle's order have switched, and it holds one of the turns that `max_unavailable` allows.
pub async fn acquire(agent: &Rc<Agent>, version: Version) -> Result<Turn, String> {
    let stream = version.stream.clone();
    let turns = RefCell::new(Turns::default());
    let own = &agent.node.settings.node.id;
    let mut requested_at: Option<Time> = None;
    info!(agent.node.log, "turn requested"; "model" => &version.model);
    loop {
        read_to_end(agent, &stream, &turns, 0).await?;
        if zone_open(agent, &version, &turns.borrow()) {
            let renew = Duration::from_millis(RENEW_MS);
            let now = agent.node.clock.now();
            if requested_at.is_none_or(|it| it.after(renew) <= now) {
                append(agent, &version, Step::Ask).await?;
                requested_at = Some(now);
                read_to_end(agent, &stream, &turns, 0).await?;
            }
            if turns
                .borrow()
                .holds(own, version.manifest, agent.rollout().max_unavailable)
            {
                break;
            }
        }
        read_to_end(agent, &stream, &turns, WAIT_MS).await?;
    }
    info!(agent.node.log, "turn acquired"; "model" => &version.model);
    let renewing = actix_rt::spawn(renew(Rc::clone(agent), version.clone()));
    Ok(Turn {
        agent: Rc::clone(agent),
        version,
        renewing,
    })
}

impl Turn {
    /// Records the outcome of the switch, with retries until the log accepts it. The turn stays
    /// held until then.
    pub async fn end(self, step: Step) {
        while append(&self.agent, &self.version, step).await.is_err() {
            actix_rt::time::sleep(Duration::from_millis(WAIT_MS)).await;
        }
    }
}

async fn renew(agent: Rc<Agent>, version: Version) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(RENEW_MS)).await;
        let _ = append(&agent, &version, Step::Ask).await;
    }
}

/// Records that this replica serves a version for which it holds no turn.
pub async fn record_done(agent: &Agent, version: &Version) -> Result<(), String> {
    append(agent, version, Step::Done).await
}

async fn append(agent: &Agent, version: &Version, step: Step) -> Result<(), String> {
    let number = agent.node.chain.borrow().number();
    let node = agent.node.settings.node.id.clone();
    let manifest = version.manifest;
    let record = Record::Turn(TurnRecord {
        number,
        manifest,
        node,
        step,
    })
    .encode();
    match agent
        .node
        .platform
        .log
        .append(&version.stream, &[record])
        .await
    {
        // A duplicate record is harmless, and reading the stream shows whether the append took
        // effect.
        Ok(_) | Err(Fault::Lost) => Ok(()),
        Err(fault) => Err(log_failure(agent, &fault)),
    }
}

/// Reads the stream to its end. Waits up to `wait_ms` if it has no new records.
async fn read_to_end(
    agent: &Agent,
    stream: &str,
    turns: &RefCell<Turns>,
    wait_ms: u64,
) -> Result<(), String> {
    loop {
        let from = turns.borrow().next();
        let page = agent.node.platform.log.read(stream, from, wait_ms).await;
        let page = page.map_err(|it| log_failure(agent, &it))?;
        let mut turns = turns.borrow_mut();
        for record in &page.records {
            match Record::decode(&record.data) {
                Ok(Record::Turn(turn)) => turns.fold(record.offset, record.time_ms, &turn),
                _ => turns.skip(record.offset, record.time_ms),
            }
        }
        if page.next <= turns.next() || page.records.is_empty() {
            return Ok(());
        }
    }
}

/// Counts a failure of the log and returns its description.
fn log_failure(agent: &Agent, fault: &Fault) -> String {
    agent.node.count_platform_failure("log");
    format!("a turn requires the log, which failed: {fault}")
}

fn zone_open(agent: &Agent, version: &Version, turns: &Turns) -> bool {
    let order = agent.rollout().zone_order;
    if order.is_empty() {
        return true;
    }
    let placed = agent.placed_on(&version.model);
    let pairs = placed
        .iter()
        .map(|(node, zone)| (node.as_str(), zone.as_str()));
    let own = &agent.node.settings.node.zone;
    turns::zone_open(&order, own, pairs, |node| {
        turns.is_done(node, version.manifest)
    })
}

impl Agent {
    /// Returns the rollout part of the bundle in force.
    pub(super) fn rollout(&self) -> Rollout {
        let chain = self.node.chain.borrow();
        let rollout = chain.head().and_then(|it| it.bundle.rollout.clone());
        rollout.unwrap_or_default()
    }
}
