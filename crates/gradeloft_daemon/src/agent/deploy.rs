//! Brings the engine to what the bundle wants of it, and keeps it there.
//!
//! A version goes through its phases one after the other: its chunks are fetched and staged, the
//! engine is ordered to load it, and what the engine then says it serves is read back. Only what
//! was read back is told to entries. A newer bundle ends the work on an older one wherever it is.

use std::{rc::Rc, time::Duration};

use gradeloft_platform::{Fault, endpoint::Engine};
use gradeloft_policy::{
    rendezvous,
    version::{
        bundle::{self, Weights as Target},
        partners::Member,
        placement::{self, Replica},
    },
};
use gradeloft_wire::{
    border::{
        bundle::{Bundle, Objective},
        caller::VersionStatus,
        platform::{Action, EngineState, Fence, InstanceRole, InstanceState, Order, Weights},
    },
    frame::Pin,
    id::Digest,
    record::Step,
};
use slog::{info, warn};

use super::{
    Agent,
    fetch::{self, Members},
    turn,
};

/// Time between two looks at the engine while nothing is to be done.
const POLL: Duration = Duration::from_millis(500);
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(150);
/// Orders to load a version that may fail before it counts as failed on this replica.
const MAX_ORDERS: u32 = 5;
/// How often a replica that is to unload a version looks whether requests still run on it.
const DRAIN_STEP: Duration = Duration::from_millis(20);

const NO_EPOCH: &str = "no epoch from the log yet, so no order can be given";

/// Works as long as the agent runs.
pub async fn run(agent: Rc<Agent>, engine: Rc<dyn Engine>) {
    loop {
        let targets = agent.targets();
        tokio::select! {
            () = converge(&agent, &engine, &targets) => {}
            () = changed(&agent, &targets) => {}
        }
    }
}

/// Waits until the bundle and the members give other targets than these.
async fn changed(agent: &Agent, targets: &[Target]) {
    let mut bundle = agent.node.bundle_number.subscribe();
    let mut members = agent.node.membership_changes.subscribe();
    loop {
        if agent.targets() != targets {
            return;
        }
        tokio::select! {
            it = bundle.changed() => if it.is_err() { return },
            it = members.changed() => if it.is_err() { return },
        }
    }
}

async fn converge(agent: &Rc<Agent>, engine: &Rc<dyn Engine>, targets: &[Target]) {
    agent.show(targets);
    let mut failed = vec![false; targets.len()];
    let mut told = false;
    loop {
        let pause = match step(agent, engine, targets, &mut failed).await {
            Ok(()) => {
                told = told || tell_done(agent, targets, &failed).await;
                POLL
            }
            Err(why) => {
                info!(agent.node.log, "deployment waits"; "why" => why);
                RETRY
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}

/// Lets the next availability zones go on, also where this replica served the versions before the
/// agent started. Gives whether there is nothing left to tell.
async fn tell_done(agent: &Agent, targets: &[Target], failed: &[bool]) -> bool {
    let mut told = agent.ordered();
    for (target, _) in targets.iter().zip(failed).filter(|(_, failed)| !**failed) {
        let version = turn::Version::new(&target.pin, target.manifest);
        told = told && turn::done(agent, &version).await.is_ok();
    }
    told
}

/// One look at the engine, and the work that it shows to be needed. A version that failed here is
/// left alone until the bundle changes.
async fn step(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    targets: &[Target],
    failed: &mut [bool],
) -> Result<(), String> {
    let state = observe(agent, &**engine).await?;
    for (idx, target) in targets.iter().enumerate() {
        if failed[idx] || serves(&state, target) {
            continue;
        }
        agent.phase(target, "fetching");
        prepare(agent, engine, target).await?;
        let result = load(agent, engine, target, targets).await;
        failed[idx] = agent.failed(target);
        result?;
    }
    Ok(())
}

/// Brings every chunk and the manifest to the engine; quick when it holds them already.
async fn prepare(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    target: &Target,
) -> Result<(), String> {
    let members = members(agent, &target.pin.model);
    let objective = agent.objective();
    fetch::run(agent, engine, target.manifest, objective, members).await?;
    let manifest = agent.chunks.borrow().get(target.manifest);
    let manifest = manifest.ok_or("the manifest was dropped")?;
    let staged = engine.stage(target.manifest, manifest).await;
    staged.map_err(|it| format!("engine: {it}"))
}

async fn load(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    target: &Target,
    targets: &[Target],
) -> Result<(), String> {
    if agent.epoch.get() == 0 {
        return Err(NO_EPOCH.to_owned());
    }
    let victim = victim(agent, engine, target, targets).await?;
    let turn = if agent.ordered() || victim.is_some() {
        agent.phase(target, "waiting for its turn");
        Some(turn::take(agent, turn::Version::new(&target.pin, target.manifest)).await?)
    } else {
        None
    };
    let result = switch(agent, engine, target, victim).await;
    let step = if result.is_ok() {
        Step::Done
    } else {
        Step::Failed
    };
    if let Some(turn) = turn {
        turn.end(step).await;
    }
    result
}

/// Gives the orders, and reads back what the engine then serves. Tried a few times, because orders
/// and their replies can be lost.
async fn switch(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    target: &Target,
    victim: Option<Weights>,
) -> Result<(), String> {
    if let Some(victim) = victim {
        withdraw(agent, engine, victim).await?;
    }
    agent.phase(target, "loading");
    let mut why = String::new();
    for _ in 0..MAX_ORDERS {
        // An engine may have dropped what was staged together with the version withdrawn.
        prepare(agent, engine, target).await?;
        let ordered = order(agent, engine, Action::Load, weights(target)).await;
        // Whatever the reply, what counts is what the engine serves now.
        let state = observe(agent, &**engine).await?;
        if serves(&state, target) {
            agent.phase(target, "serving");
            info!(agent.node.log, "version in service"; "model" => &target.pin.model,
                "version" => &target.pin.version);
            return Ok(());
        }
        why = match ordered {
            Ok(()) => "the engine took the order and does not serve the version".to_owned(),
            Err(why) => why,
        };
        actix_rt::time::sleep(RETRY).await;
    }
    agent.fail(target, &why);
    Err(why)
}

/// A version that the bundle no longer wants and that has to go, if the engine has no memory for
/// another one.
async fn victim(
    agent: &Agent,
    engine: &Rc<dyn Engine>,
    target: &Target,
    targets: &[Target],
) -> Result<Option<Weights>, String> {
    let state = observe(agent, &**engine).await?;
    let models = state.serving.iter().filter(|it| it.adapter.is_none());
    if target.pin.adapter.is_some() || models.count() < state.capacity as usize {
        return Ok(None);
    }
    let unwanted = state
        .serving
        .iter()
        .find(|it| !targets.iter().any(|t| weights(t) == **it));
    match unwanted {
        Some(victim) => Ok(Some(victim.clone())),
        None => Err("the engine has no memory for another version".to_owned()),
    }
}

/// Takes a version out of service: entries are told first, and the requests that run on it end.
async fn withdraw(
    agent: &Rc<Agent>,
    engine: &Rc<dyn Engine>,
    victim: Weights,
) -> Result<(), String> {
    let pin = pin(&victim);
    info!(agent.node.log, "version withdrawn"; "model" => &pin.model, "version" => &pin.version);
    agent
        .node
        .notice
        .send_modify(|it| it.serving.retain(|it| *it != pin));
    while 0 < agent.running_on(&pin) {
        actix_rt::time::sleep(DRAIN_STEP).await;
    }
    order(agent, engine, Action::Unload, victim).await
}

async fn order(
    agent: &Agent,
    engine: &Rc<dyn Engine>,
    action: Action,
    weights: Weights,
) -> Result<(), String> {
    let epoch = agent.epoch.get();
    if epoch == 0 {
        return Err(NO_EPOCH.to_owned());
    }
    let fence = Fence {
        bundle: agent.node.chain.borrow().number(),
        epoch,
    };
    let order = Order {
        fence,
        action,
        weights,
    };
    engine.order(&order).await.map_err(|it| match it {
        Fault::Refused(reason) => format!("the engine refused the order: {reason}"),
        other => format!("engine: {other}"),
    })
}

/// Reads the engine's state, and tells watchers what of it can be relied on.
async fn observe(agent: &Agent, engine: &dyn Engine) -> Result<EngineState, String> {
    let result = engine.state().await;
    let serving: Vec<Pin> = match &result {
        Ok(state) => state
            .serving
            .iter()
            .filter(|it| agent.knows(it))
            .map(pin)
            .collect(),
        Err(_) => Vec::new(),
    };
    if let Ok(state) = &result {
        for unknown in state.serving.iter().filter(|it| !agent.knows(it)) {
            warn!(agent.node.log, "unknown weights"; "model" => &unknown.model,
                "version" => &unknown.version, "manifest" => &unknown.manifest);
        }
    }
    agent.node.notice.send_if_modified(|it| {
        let changed = it.serving != serving;
        it.serving.clone_from(&serving);
        changed
    });
    result.map_err(|it| format!("engine: {it}"))
}

fn members(agent: &Rc<Agent>, model: &str) -> Members {
    let agent = Rc::clone(agent);
    let model = model.to_owned();
    Rc::new(move || agent.members_of(&model))
}

fn serves(state: &EngineState, target: &Target) -> bool {
    state.serving.contains(&weights(target))
}

fn weights(target: &Target) -> Weights {
    Weights {
        model: target.pin.model.clone(),
        adapter: target.pin.adapter.clone(),
        version: target.pin.version.clone(),
        manifest: target.manifest.to_string(),
    }
}

fn pin(weights: &Weights) -> Pin {
    Pin {
        model: weights.model.clone(),
        adapter: weights.adapter.clone(),
        version: weights.version.clone(),
    }
}

impl Agent {
    /// What the bundle wants on this replica.
    fn targets(&self) -> Vec<Target> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let named = bundle::weights(&head.bundle);
        let mut known = self.known.borrow_mut();
        known.extend(named.iter().map(|it| (it.pin.clone(), it.manifest)));
        let own = &self.node.settings.node.id;
        let placed = self.placed(&head.bundle);
        let model = placed
            .iter()
            .find(|(member, _)| member.0 == *own)
            .and_then(|it| it.1);
        named
            .into_iter()
            .filter(|it| Some(it.model) == model)
            .collect()
    }

    /// Every engine's instance (name, availability zone, peer address) and the model placed there.
    fn placed(&self, bundle: &Bundle) -> Vec<((String, String, String), Option<usize>)> {
        let settings = &self.node.settings;
        let membership = self.node.membership.borrow();
        let others = membership.of(InstanceRole::Agent).filter(|(_, it)| {
            it.instance.service.is_none() && it.instance.state == InstanceState::Live
        });
        let mut members: Vec<(String, String, String)> = others
            .map(|(_, it)| &it.instance)
            .map(|it| (it.id.clone(), it.zone.clone(), it.peer.clone()))
            .collect();
        members.push((
            settings.node.id.clone(),
            settings.node.zone.clone(),
            String::new(),
        ));
        members.sort_unstable();
        let replicas: Vec<Replica<'_>> = members
            .iter()
            .map(|(node, zone, _)| Replica { node, zone })
            .collect();
        let placed = placement::place(bundle, &replicas);
        members.into_iter().zip(placed).collect()
    }

    /// The other agents that a model is placed on.
    fn members_of(&self, model: &str) -> Vec<Member> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let wanted = head.bundle.models.iter().position(|it| it.name == model);
        let settings = &self.node.settings.node;
        let placed = self.placed(&head.bundle).into_iter();
        let others = placed.filter(|(it, model)| *model == wanted && it.0 != settings.id);
        others
            .map(|((node, zone, address), _)| Member {
                node: rendezvous::hash(node.as_bytes()),
                address,
                near: zone == settings.zone,
            })
            .collect()
    }

    /// Name and availability zone of every instance that a model is placed on.
    pub(super) fn placed_on(&self, model: &str) -> Vec<(String, String)> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let wanted = head.bundle.models.iter().position(|it| it.name == model);
        let placed = self
            .placed(&head.bundle)
            .into_iter()
            .filter(|(_, it)| *it == wanted);
        placed.map(|((node, zone, _), _)| (node, zone)).collect()
    }

    fn objective(&self) -> Objective {
        self.rollout().objective.unwrap_or(Objective::Time)
    }

    /// Whether weights that the engine reports are what a bundle named.
    fn knows(&self, weights: &Weights) -> bool {
        let manifest = weights.manifest.parse().ok();
        let known = self.known.borrow().get(&pin(weights)).copied();
        known.is_some() && known == manifest
    }

    /// Shows targets in the status.
    fn show(&self, targets: &[Target]) {
        let status = |it: &Target| VersionStatus {
            model: it.pin.model.clone(),
            adapter: it.pin.adapter.clone(),
            version: it.pin.version.clone(),
            phase: "waiting".to_owned(),
            fault: None,
            from_origin: 0,
            from_store: 0,
            from_peers: 0,
        };
        *self.versions.borrow_mut() = targets.iter().map(status).collect();
    }

    fn phase(&self, target: &Target, phase: &str) {
        let status = |it: &mut VersionStatus| phase.clone_into(&mut it.phase);
        self.with_version(target.manifest, status);
    }

    /// Whether the bundle orders the availability zones.
    fn ordered(&self) -> bool {
        !self.rollout().zone_order.is_empty()
    }

    /// Whether a version failed on this replica.
    fn failed(&self, target: &Target) -> bool {
        let versions = self.versions.borrow();
        let same = |it: &&VersionStatus| {
            it.model == target.pin.model
                && it.adapter == target.pin.adapter
                && it.version == target.pin.version
        };
        versions
            .iter()
            .find(same)
            .is_some_and(|it| it.fault.is_some())
    }

    fn fail(&self, target: &Target, why: &str) {
        warn!(self.node.log, "version failed"; "model" => &target.pin.model,
            "version" => &target.pin.version, "why" => why);
        self.with_version(target.manifest, |it| {
            "failed".clone_into(&mut it.phase);
            it.fault = Some(why.to_owned());
        });
    }

    /// Changes the status of the versions of a manifest.
    pub(super) fn with_version(&self, manifest: Digest, change: impl Fn(&mut VersionStatus)) {
        let known = self.known.borrow();
        for status in self.versions.borrow_mut().iter_mut() {
            let pin = Pin {
                model: status.model.clone(),
                adapter: status.adapter.clone(),
                version: status.version.clone(),
            };
            if known.get(&pin) == Some(&manifest) {
                change(status);
            }
        }
    }
}
