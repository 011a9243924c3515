//! Deployment of the target version to the replica.

use std::{rc::Rc, time::Duration};

use gradeloft_platform::fleet::{Load, LoadOutcome, State};
use gradeloft_policy::{
    clock::Time,
    process::replica_starts,
    version::{
        order_backoff::OrderBackoff,
        verification::Verification,
        waves::{RunningRequests, Wave},
    },
};
use slog::{info, warn};

use super::{Agent, LOADING_POLL_INTERVAL, Version, staging, upload};
use crate::logs::Topic;

/// Pause before a failed deployment of a version is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time for the report that the replica is closed to reach the entries before the load is ordered.
const CLOSE_NOTICE: Duration = Duration::from_millis(40);
/// Maximum time for requests that are queued at the replica to get a slot, in milliseconds.
const MAX_QUEUE_WAIT_MS: u64 = 600;
/// Time for the prefill of requests that have a slot: a few passes at full load.
const PREFILL_TIME: Duration = Duration::from_millis(400);
/// Maximum number of times that chunks which became corrupt after staging are fetched again before
/// a load is ordered.
const MAX_REPAIRS: usize = 3;
/// Maximum number of times that the chunks are verified again because the verification became too
/// old while the replica was prepared for the load. Each one prolongs the time without requests.
const MAX_REVERIFICATIONS: usize = 2;
/// Maximum time from an order until it takes effect, in milliseconds: the duration of the longest
/// request plus that of the load.
const LOAD_TIMEOUT_MS: u64 = 8_000;

/// Reason why a version was not deployed to the replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeployError {
    /// The replica exited during the load, according to this evidence.
    ReplicaExited(&'static str),
    /// A step failed for this reason.
    Failed(String),
    /// The operator named a newer version.
    Superseded,
}

impl From<String> for DeployError {
    fn from(reason: String) -> DeployError {
        DeployError::Failed(reason)
    }
}

impl Agent {
    /// Returns the version that the replica is to serve, once the configuration is known.
    pub fn target(&self) -> Option<Version> {
        let config = self.config.borrow();
        let services = &config.as_ref()?.services;
        let service = services.iter().find(|it| *it.name == *self.service)?;
        let named = self.named_versions.borrow();
        let model = service
            .models
            .iter()
            .find(|it| named.contains_key(*it))
            .or(service.models.first())?;
        // A model without a named version has its first version.
        let number = named.get(model).map_or(1, |it| it.0);
        Some(Version {
            model: model.clone(),
            number,
        })
    }

    /// Adds a version that the operator named, whose record counts as written at `written`.
    pub(super) fn add_named_version(&self, model: String, version: u64, written: Time) {
        let mut named = self.named_versions.borrow_mut();
        if named.get(&model).is_some_and(|it| version <= it.0) {
            return;
        }
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            info!(log, "weights named"; "model" => &model, "version" => version,
                "source" => %self.node.source(),
                "learned_ms" => self.node.clock.now().since(written).as_millis() as u64);
        }
        named.insert(model, (version, written));
    }

    /// Returns the time at which the record that names a version counts as written; the current
    /// time if the version is not the newest or was never named.
    pub fn named_at(&self, version: &Version) -> Time {
        let named = self.named_versions.borrow();
        let newest = named.get(&version.model);
        let at = newest.filter(|it| it.0 == version.number).map(|it| it.1);
        at.unwrap_or(self.node.clock.now())
    }

    /// Deploys the target version whenever the replica does not serve it.
    pub(super) async fn deploy_versions(self: Rc<Agent>) {
        let mut backoff: Option<(Version, OrderBackoff)> = None;
        loop {
            let Some(version) = self.pending_version() else {
                upload::recover_target(&self);
                tokio::select! {
                    () = self.node.changed.notified() => {}
                    () = actix_rt::time::sleep(RETRY_PAUSE) => {}
                }
                continue;
            };
            let started = self.node.clock.now();
            let deployed = self.deploy(&version).await;
            match deployed {
                Ok(()) => {
                    backoff = None;
                    if let Some(log) = self.node.logs.line(Topic::Weights) {
                        let elapsed = self.node.clock.now().since(started);
                        info!(log, "weights loaded"; "model" => &version.model,
                            "version" => version.number, "ms" => elapsed.as_millis() as u64);
                    }
                }
                Err(DeployError::Superseded) => {
                    if let Some(log) = self.node.logs.line(Topic::Weights) {
                        info!(log, "weights superseded"; "model" => &version.model,
                            "version" => version.number);
                    }
                }
                Err(DeployError::Failed(reason)) => {
                    self.wait_before_retry(&version, &reason, RETRY_PAUSE).await;
                }
                Err(DeployError::ReplicaExited(reason)) => {
                    let previous = backoff.take().filter(|it| it.0 == version);
                    let mut order_backoff = previous.map_or(OrderBackoff::default(), |it| it.1);
                    let pause = RETRY_PAUSE.max(order_backoff.record_exit());
                    backoff = Some((version.clone(), order_backoff));
                    self.wait_before_retry(&version, reason, pause).await;
                }
            }
        }
    }

    /// Waits before a version is retried, but only until a newer version is named.
    async fn wait_before_retry(&self, version: &Version, reason: &str, pause: Duration) {
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            warn!(log, "weights not loaded"; "model" => &version.model,
                "version" => version.number, "reason" => reason,
                "again_ms" => pause.as_millis() as u64);
        }
        let until = self.node.clock.now().after(pause);
        while self.node.clock.now() < until && self.target().as_ref() == Some(version) {
            tokio::select! {
                () = self.node.changed.notified() => {}
                () = self.node.timers.sleep_until(until) => {}
            }
        }
    }

    /// Returns the target version, if the replica responds and does not serve it or a newer one.
    fn pending_version(&self) -> Option<Version> {
        let target = self.target()?;
        let state = self.state.get()?;
        let serves = state.version.is_some_and(|it| target.number <= it);
        (!serves).then_some(target)
    }

    async fn deploy(self: &Rc<Agent>, version: &Version) -> Result<(), DeployError> {
        let named = self.named_at(version);
        let others = staging::stage(self, version).await?;
        let wave = self.wait_for_turn(version, named, &others).await;
        let verification = self.repair(version).await?;
        self.loading.set(true);
        let loaded = self.load(version, wave, verification).await;
        if self.target().as_ref() != Some(version) {
            let until = self
                .node
                .clock
                .now()
                .after_ms(wave.closed_ms(self.node.settings().version_ms));
            self.closed_until.set(until);
        }
        self.loading.set(false);
        self.update_state().await;
        self.report();
        loaded
    }

    /// Verifies the staged chunks and fetches corrupt ones again. The replica loads chunks without
    /// checks, as they are when it accepts the order. A version whose deployment failed is not
    /// retried if it has been superseded in the meantime.
    async fn repair(self: &Rc<Agent>, version: &Version) -> Result<Verification, DeployError> {
        for _ in 0..MAX_REPAIRS {
            if let Ok(verification) = staging::verify(self, version).await {
                return Ok(verification);
            }
            staging::stage(self, version).await?;
        }
        Ok(staging::verify(self, version).await?)
    }

    /// Waits until this replica may load the version.
    async fn wait_for_turn(&self, version: &Version, named: Time, others: &[u64]) -> Wave {
        let own = staging::node_hash(self.replica);
        let mut wave = Wave::new(version.number, own, others);
        let version_ms = self.node.settings().version_ms;
        let mut superseded_since = None;
        let ready = self.node.clock.now();
        loop {
            let serves = self.state.get().is_some_and(|it| it.version.is_some());
            let switched = self.switched_replicas(version);
            let now = self.node.clock.now();
            if let Some(newer) = self.target().filter(|it| it != version)
                && superseded_since.is_none()
            {
                superseded_since = Some(now);
                // All other agents depend on the readers of the newer version, so the readers load
                // this version first.
                let all: Vec<u64> = others.iter().copied().chain([own]).collect();
                let readers = self.readers(&newer, &all);
                wave = Wave::with_first(version.number, own, others, &readers);
            }
            let superseded =
                superseded_since.is_some_and(|it| wave.may_load_superseded(it, version_ms, now));
            let regular = wave.may_load(switched, named, version_ms, now)
                && wave.has_turn(ready, named, version_ms, now);
            if !serves || superseded || regular {
                return wave;
            }
            actix_rt::time::sleep(LOADING_POLL_INTERVAL).await;
        }
    }

    /// Loads a version whose staged chunks were verified.
    async fn load(
        self: &Rc<Agent>,
        version: &Version,
        wave: Wave,
        verification: Verification,
    ) -> Result<(), DeployError> {
        let running = wave.running_requests(self.resumable.get());
        let verification = self.prepare(version, running, verification).await?;
        self.order_load(version, running, verification).await
    }

    /// Prepares the replica for a load, and returns a verification of the chunks that permits the
    /// order. The process may be paused during any wait, in which chunks can become corrupt and
    /// entries resume sending requests, so an outdated verification is followed by another
    /// preparation. Chunks that have become corrupt are not fetched here, as the replica gets no
    /// requests in the meantime.
    async fn prepare(
        self: &Rc<Agent>,
        version: &Version,
        running: RunningRequests,
        mut verification: Verification,
    ) -> Result<Verification, DeployError> {
        for _ in 0..MAX_REVERIFICATIONS {
            self.close(running).await?;
            let born = self.state.get().and_then(|it| it.born);
            if verification.is_of_other_start(born) {
                return Err("the replica restarted after its chunks were verified"
                    .to_owned()
                    .into());
            }
            let now = self.node.clock.now();
            if verification.permits_order(now) {
                return Ok(verification);
            }
            if let Some(log) = self.node.logs.line(Topic::Weights) {
                let age = verification.age(now);
                warn!(log, "verification outdated"; "model" => &version.model,
                    "version" => version.number, "age_ms" => age.as_millis() as u64);
            }
            verification = staging::verify(self, version).await?;
        }
        Ok(verification)
    }

    /// Reports that the replica gets no more requests, and waits until it can accept an order.
    async fn close(&self, running: RunningRequests) -> Result<(), DeployError> {
        self.report();
        actix_rt::time::sleep(CLOSE_NOTICE).await;
        self.wait_until_idle().await?;
        let serves = self.state.get().is_some_and(|it| it.version.is_some());
        if serves && running == RunningRequests::Finished {
            self.wait_for_queued_requests().await;
        }
        self.update_state().await;
        match self.state.get() {
            Some(_) => Ok(()),
            None => Err("the replica does not respond".to_owned().into()),
        }
    }

    async fn order_load(
        &self,
        version: &Version,
        running: RunningRequests,
        verification: Verification,
    ) -> Result<(), DeployError> {
        let load = Load {
            model: &version.model,
            version: version.number,
            fence: version.number,
            running,
        };
        let sent = self.node.clock.now();
        let ordered = self.engine.load(load).await;
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            let elapsed = self.node.clock.now().since(sent);
            info!(log, "load ordered"; "order" => ?load, "result" => ?ordered,
                "verified_ms" => verification.age(sent).as_millis() as u64,
                "ms" => elapsed.as_millis() as u64);
        }
        match ordered {
            Ok(LoadOutcome::Started) => self.update_state().await,
            Ok(LoadOutcome::Conflict) => {
                return Err("the order does not fit the replica's state"
                    .to_owned()
                    .into());
            }
            Ok(LoadOutcome::Fenced) => {
                return Err("the replica has accepted a higher fence".to_owned().into());
            }
            Err(fault) => self.settle_order(version, verification, fault).await?,
        }
        let state = self.state.get();
        let born = state.and_then(|it| it.born);
        let restarted = verification.is_of_other_start(born);
        if restarted && !state.is_some_and(|it| holds_load(it, version)) {
            return Err(DeployError::ReplicaExited("the replica restarted"));
        }
        // The order may have been accepted at any time until now, and by either start.
        if restarted || !verification.covers_load(self.node.clock.now()) {
            self.confirm_load(version, born).await;
        }
        self.wait_until_loaded(version, born).await
    }

    /// Waits until no order is in progress at the replica.
    async fn wait_until_idle(&self) -> Result<(), String> {
        let until = self.node.clock.now().after_ms(LOAD_TIMEOUT_MS);
        while self.state.get().is_some_and(|it| it.busy) {
            if until <= self.node.clock.now() {
                return Err("an earlier order is still in progress".to_owned());
            }
            actix_rt::time::sleep(LOADING_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits for a bounded time until every request at the replica has begun. A request that is
    /// queued while the replica is paused would begin on weights that are no longer allowed.
    async fn wait_for_queued_requests(&self) {
        let until = self.node.clock.now().after_ms(MAX_QUEUE_WAIT_MS);
        while self.node.clock.now() < until && self.state.get().is_some_and(|it| 0 < it.queued) {
            actix_rt::time::sleep(LOADING_POLL_INTERVAL).await;
        }
        // Requests that have just got a slot need time for their prefill.
        actix_rt::time::sleep(PREFILL_TIME).await;
    }

    /// Waits until the replica serves a version; `born` identifies the start of the replica that
    /// got the order.
    async fn wait_until_loaded(
        &self,
        version: &Version,
        born: Option<u64>,
    ) -> Result<(), DeployError> {
        let until = self.node.clock.now().after_ms(LOAD_TIMEOUT_MS);
        loop {
            let state = self.state.get();
            match state {
                Some(state) if state.version == Some(version.number) => return Ok(()),
                // A restarted replica has lost the order.
                Some(state) if replica_starts::differ(born, state.born) => {
                    return Err(DeployError::ReplicaExited("the replica restarted"));
                }
                None => return Err(DeployError::ReplicaExited("the replica does not respond")),
                Some(_) => {}
            }
            // The order fixed the chunks to load, so the chunks of the next version can be staged
            // during the load.
            if self.target().as_ref() != Some(version) {
                return Err(DeployError::Superseded);
            }
            if until <= self.node.clock.now() {
                return Err("the order did not take effect in time".to_owned().into());
            }
            actix_rt::time::sleep(LOADING_POLL_INTERVAL).await;
        }
    }
}

/// Returns whether a replica has loaded a version, or has accepted an order and not completed it.
pub(super) fn holds_load(state: State, version: &Version) -> bool {
    state.busy || state.version == Some(version.number)
}
