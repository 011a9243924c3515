//! Reconciles the versions that the engine serves with the bundle.
//!
//! A version is deployed in phases: its chunks are fetched and staged, the engine is ordered to
//! load it, and the engine's state is read back. Entries are notified only of versions that were
//! read back. A newer bundle cancels the deployment of an older one in any phase.

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
    fetch::{self, ListMembers},
    turn,
};

/// Interval between reads of the engine's state while it serves all targets.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of failed orders to load a version after which it counts as failed on this replica.
const MAX_LOAD_ORDERS: u32 = 5;
/// Interval at which the agent checks for running requests on a version to unload.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

const NO_EPOCH: &str = "no epoch from the log yet, which orders require";

/// Deploys versions while the agent runs.
pub async fn run(agent: Rc<Agent>, engine: Rc<dyn Engine>) {
    loop {
        let targets = agent.targets();
        tokio::select! {
            () = converge(&agent, &engine, &targets) => {}
            () = targets_changed(&agent, &targets) => {}
        }
    }
}

/// Waits until the bundle or the membership changes the targets.
async fn targets_changed(agent: &Agent, targets: &[Target]) {
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
    agent.reset_status(targets);
    let mut failed = vec![false; targets.len()];
    let mut reported = false;
    loop {
        let delay = match reconcile(agent, engine, targets, &mut failed).await {
            Ok(()) => {
                reported = reported || report_done(agent, targets, &failed).await;
                POLL_INTERVAL
            }
            Err(why) => {
                info!(agent.node.log, "deployment not complete; retrying"; "why" => why);
                RETRY_DELAY
            }
        };
        actix_rt::time::sleep(delay).await;
    }
}

/// Records in the log that this replica serves the targets, so that the next availability zones can
/// continue. This includes versions that the engine served before the agent started. Nothing is
/// recorded if the bundle specifies no order of the zones. Returns whether all targets are
/// recorded.
async fn report_done(agent: &Agent, targets: &[Target], failed: &[bool]) -> bool {
    let mut reported = agent.has_zone_order();
    for (target, _) in targets.iter().zip(failed).filter(|(_, failed)| !**failed) {
        let version = turn::Version::new(&target.pin, target.manifest);
        reported = reported && turn::record_done(agent, &version).await.is_ok();
    }
    reported
}

/// Reads the engine's state, then fetches and loads the targets that it does not serve. A version
/// that failed on this replica is skipped until the targets change.
async fn reconcile(
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
        agent.set_phase(target, "fetching");
        stage(agent, engine, target).await?;
        let result = load(agent, engine, target, targets).await;
        failed[idx] = agent.has_failed(target);
        result?;
    }
    Ok(())
}

/// Stages all chunks and the manifest in the engine. Chunks that it holds already are skipped.
async fn stage(agent: &Rc<Agent>, engine: &Rc<dyn Engine>, target: &Target) -> Result<(), String> {
    let members = members(agent, &target.pin.model);
    let objective = agent.objective();
    fetch::run(agent, engine, target.manifest, objective, members).await?;
    let manifest = agent.chunks.borrow().get(target.manifest);
    let manifest = manifest.ok_or("the manifest was evicted from memory")?;
    let staged = engine.stage(target.manifest, manifest).await;
    staged.map_err(|it| format!("engine: {it}"))
}

/// Loads a version once this replica holds a turn, if one is needed.
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
    let turn = if agent.has_zone_order() || victim.is_some() {
        agent.set_phase(target, "waiting for its turn");
        Some(turn::acquire(agent, turn::Version::new(&target.pin, target.manifest)).await?)
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

/// Orders the engine to switch versions, and reads its state back. Loading is retried, since orders
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
    agent.set_phase(target, "loading");
    let mut why = String::new();
    for _ in 0..MAX_LOAD_ORDERS {
        // An engine may drop staged chunks together with a version that it unloads.
        stage(agent, engine, target).await?;
        let ordered = send_order(agent, engine, Action::Load, weights(target)).await;
        // The engine's state decides, whatever the reply was.
        let state = observe(agent, &**engine).await?;
        if serves(&state, target) {
            agent.set_phase(target, "serving");
            info!(agent.node.log, "version in service"; "model" => &target.pin.model,
                "version" => &target.pin.version);
            return Ok(());
        }
        why = match ordered {
            Ok(()) => "the engine accepted the order but does not serve the version".to_owned(),
            Err(why) => why,
        };
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    agent.mark_failed(target, &why);
    Err(why)
}

/// Returns the version to unload, if the engine has no memory for another one. Only versions that
/// are not targets are unloaded.
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

/// Withdraws a version: notifies the entries, waits for running requests and unloads it.
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
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    send_order(agent, engine, Action::Unload, victim).await
}

async fn send_order(
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

/// Reads the engine's state, and notifies watchers of the served versions that a bundle named. If
/// the read fails, watchers are notified that none is served.
async fn observe(agent: &Agent, engine: &dyn Engine) -> Result<EngineState, String> {
    let result = engine.state().await;
    let serving: Vec<Pin> = match &result {
        Ok(state) => state
            .serving
            .iter()
            .filter(|it| agent.is_known(it))
            .map(pin)
            .collect(),
        Err(_) => Vec::new(),
    };
    if let Ok(state) = &result {
        for unknown in state.serving.iter().filter(|it| !agent.is_known(it)) {
            warn!(agent.node.log, "engine serves weights that no bundle named";
                "model" => &unknown.model, "version" => &unknown.version,
                "manifest" => &unknown.manifest);
        }
    }
    agent.node.notice.send_if_modified(|it| {
        let changed = it.serving != serving;
        it.serving.clone_from(&serving);
        changed
    });
    result.map_err(|it| format!("engine: {it}"))
}

fn members(agent: &Rc<Agent>, model: &str) -> ListMembers {
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
    /// Returns the versions that the bundle assigns to this replica.
    fn targets(&self) -> Vec<Target> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let named = bundle::weights(&head.bundle);
        let mut known = self.known_manifests.borrow_mut();
        known.extend(named.iter().map(|it| (it.pin.clone(), it.manifest)));
        let own = &self.node.settings.node.id;
        let placements = self.placements(&head.bundle);
        let model = placements
            .iter()
            .find(|(member, _)| member.0 == *own)
            .and_then(|it| it.1);
        named
            .into_iter()
            .filter(|it| Some(it.model) == model)
            .collect()
    }

    /// Returns the instance of every engine (name, availability zone, peer address) and the index
    /// of the model placed there.
    fn placements(&self, bundle: &Bundle) -> Vec<((String, String, String), Option<usize>)> {
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
        let models = placement::place(bundle, &replicas);
        members.into_iter().zip(models).collect()
    }

    /// Returns the other agents on whose replicas a model is placed.
    fn members_of(&self, model: &str) -> Vec<Member> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let wanted = head.bundle.models.iter().position(|it| it.name == model);
        let settings = &self.node.settings.node;
        let placements = self.placements(&head.bundle).into_iter();
        let others = placements.filter(|(it, model)| *model == wanted && it.0 != settings.id);
        others
            .map(|((node, zone, address), _)| Member {
                node: rendezvous::hash(node.as_bytes()),
                address,
                near: zone == settings.zone,
            })
            .collect()
    }

    /// Returns the name and availability zone of every instance that a model is placed on.
    pub(super) fn placed_on(&self, model: &str) -> Vec<(String, String)> {
        let chain = self.node.chain.borrow();
        let Some(head) = chain.head() else {
            return Vec::new();
        };
        let wanted = head.bundle.models.iter().position(|it| it.name == model);
        let placements = self
            .placements(&head.bundle)
            .into_iter()
            .filter(|(_, it)| *it == wanted);
        placements
            .map(|((node, zone, _), _)| (node, zone))
            .collect()
    }

    fn objective(&self) -> Objective {
        self.rollout().objective.unwrap_or(Objective::Time)
    }

    /// Returns whether a bundle named weights that the engine reports.
    fn is_known(&self, weights: &Weights) -> bool {
        let manifest = weights.manifest.parse().ok();
        let known = self.known_manifests.borrow().get(&pin(weights)).copied();
        known.is_some() && known == manifest
    }

    /// Resets the status to the targets, all in the phase `waiting`.
    fn reset_status(&self, targets: &[Target]) {
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

    fn set_phase(&self, target: &Target, phase: &str) {
        let change = |it: &mut VersionStatus| phase.clone_into(&mut it.phase);
        self.update_status(target.manifest, change);
    }

    /// Returns whether the bundle specifies an order of the availability zones.
    fn has_zone_order(&self) -> bool {
        !self.rollout().zone_order.is_empty()
    }

    /// Returns whether a version failed on this replica.
    fn has_failed(&self, target: &Target) -> bool {
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

    fn mark_failed(&self, target: &Target, why: &str) {
        warn!(self.node.log, "version failed"; "model" => &target.pin.model,
            "version" => &target.pin.version, "why" => why);
        self.update_status(target.manifest, |it| {
            "failed".clone_into(&mut it.phase);
            it.fault = Some(why.to_owned());
        });
    }

    /// Applies a change to the status of the versions with a manifest.
    pub(super) fn update_status(&self, manifest: Digest, change: impl Fn(&mut VersionStatus)) {
        let known = self.known_manifests.borrow();
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
