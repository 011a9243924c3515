//! Turns to switch versions, asked for on the log.

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
    record::{Record, Step, TURNS, Turn as Said},
};
use slog::info;

use super::Agent;

/// How long the log is asked to wait for something new, in milliseconds.
const WAIT_MS: u64 = 500;

/// The version that a turn is for.
#[derive(Clone, Debug)]
pub struct Version {
    stream: String,
    model: String,
    manifest: Digest,
}

impl Version {
    /// A version of a model or an adapter.
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

/// A turn of this replica, renewed until it is ended or dropped.
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

/// Waits until this replica may switch to a version: it holds one of the turns that
/// the bundle's bound leaves, and the availability zones before its own are done.
pub async fn take(agent: &Rc<Agent>, version: Version) -> Result<Turn, String> {
    let stream = version.stream.clone();
    let folded = RefCell::new(Turns::default());
    let own = &agent.node.settings.node.id;
    let mut asked: Option<Time> = None;
    info!(agent.node.log, "turn asked for"; "model" => &version.model);
    loop {
        read(agent, &stream, &folded, 0).await?;
        if zone_open(agent, &version, &folded.borrow()) {
            let renew = Duration::from_millis(RENEW_MS);
            let now = agent.node.clock.now();
            if asked.is_none_or(|it| it.after(renew) <= now) {
                say(agent, &version, Step::Ask).await?;
                asked = Some(now);
                read(agent, &stream, &folded, 0).await?;
            }
            if folded
                .borrow()
                .holds(own, version.manifest, agent.rollout().max_unavailable)
            {
                break;
            }
        }
        read(agent, &stream, &folded, WAIT_MS).await?;
    }
    info!(agent.node.log, "turn taken"; "model" => &version.model);
    let renewing = actix_rt::spawn(renew(Rc::clone(agent), version.clone()));
    Ok(Turn {
        agent: Rc::clone(agent),
        version,
        renewing,
    })
}

impl Turn {
    /// The version serves, or failed; until the log takes the word, the turn stays held.
    pub async fn end(self, step: Step) {
        while say(&self.agent, &self.version, step).await.is_err() {
            actix_rt::time::sleep(Duration::from_millis(WAIT_MS)).await;
        }
    }
}

async fn renew(agent: Rc<Agent>, version: Version) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(RENEW_MS)).await;
        let _ = say(&agent, &version, Step::Ask).await;
    }
}

/// Tells the others that the version serves here, for a replica that needed no turn.
pub async fn done(agent: &Agent, version: &Version) -> Result<(), String> {
    say(agent, version, Step::Done).await
}

async fn say(agent: &Agent, version: &Version, step: Step) -> Result<(), String> {
    let number = agent.node.chain.borrow().number();
    let node = agent.node.settings.node.id.clone();
    let manifest = version.manifest;
    let record = Record::Turn(Said {
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
        // Saying it twice is harmless, and whether it was said shows when the stream is read.
        Ok(_) | Err(Fault::Lost) => Ok(()),
        Err(fault) => Err(refused(agent, &fault)),
    }
}

async fn read(
    agent: &Agent,
    stream: &str,
    folded: &RefCell<Turns>,
    wait_ms: u64,
) -> Result<(), String> {
    loop {
        let from = folded.borrow().next();
        let page = agent.node.platform.log.read(stream, from, wait_ms).await;
        let page = page.map_err(|it| refused(agent, &it))?;
        let mut folded = folded.borrow_mut();
        for record in &page.records {
            match Record::decode(&record.data) {
                Ok(Record::Turn(turn)) => folded.fold(record.offset, record.time_ms, &turn),
                _ => folded.skip(record.offset, record.time_ms),
            }
        }
        if page.next <= folded.next() || page.records.is_empty() {
            return Ok(());
        }
    }
}

fn refused(agent: &Agent, fault: &Fault) -> String {
    agent.node.count_platform_failure("log");
    format!("no turn while the log can't be used: {fault}")
}

fn zone_open(agent: &Agent, version: &Version, folded: &Turns) -> bool {
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
        folded.is_done(node, version.manifest)
    })
}

impl Agent {
    /// The rollout part of the bundle in force.
    pub(super) fn rollout(&self) -> Rollout {
        let chain = self.node.chain.borrow();
        let rollout = chain.head().and_then(|it| it.bundle.rollout.clone());
        rollout.unwrap_or_default()
    }
}
