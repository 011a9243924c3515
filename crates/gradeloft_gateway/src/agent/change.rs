//! Brings the replica to the version that it is to hold.

use std::{rc::Rc, time::Duration};

use gradeloft_platform::fleet::{Load, LoadOutcome};
use gradeloft_policy::{
    clock::Time,
    version::{
        order_backoff::OrderBackoff,
        waves::{RunningRequests, Wave},
    },
};
use slog::{info, warn};

use super::{ASK_LOADING, Agent, Version, fill, share};
use crate::logs::Topic;

/// Pause before a version is tried again.
const RETRY: Duration = Duration::from_millis(300);
/// Time for the entries to learn that the replica takes no work, before it is ordered to load.
const HEADS_UP: Duration = Duration::from_millis(40);
/// Longest time for requests that wait at the replica to get a slot, in milliseconds.
const BEGIN_MS: u64 = 600;
/// Time for the prompts of requests that have a slot to be read: a few passes at full load.
const PROMPTS: Duration = Duration::from_millis(400);
/// How often pieces that were spoilt while they lay staged are fetched again before an order.
const MENDS: usize = 3;
/// Longest time for an order to show its effect, in milliseconds: the longest request of today, and
/// the loading.
const LOAD_MS: u64 = 8_000;

/// Why a version was not brought to the replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stop {
    /// The replica ended while it was to load it, as this shows.
    Ended(&'static str),
    /// It failed, for this reason.
    Failed(String),
    /// A newer version was named.
    Superseded,
}

impl From<String> for Stop {
    fn from(reason: String) -> Stop {
        Stop::Failed(reason)
    }
}

impl Agent {
    /// The version that the replica is to hold, once the configuration is known.
    pub fn target(&self) -> Option<Version> {
        let config = self.config.borrow();
        let services = &config.as_ref()?.services;
        let service = services.iter().find(|it| *it.name == *self.service)?;
        let named = self.named.borrow();
        let model = service
            .models
            .iter()
            .find(|it| named.contains_key(*it))
            .or(service.models.first())?;
        // A model for which nothing was named yet is at its first version.
        let number = named.get(model).map_or(1, |it| it.0);
        Some(Version {
            model: model.clone(),
            number,
        })
    }

    /// A version is named that counts as written since `written`.
    pub(super) fn name(&self, model: String, version: u64, written: Time) {
        let mut named = self.named.borrow_mut();
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

    /// Since when a version counts as named; now if it is not the newest, or was never named.
    pub fn named_at(&self, version: &Version) -> Time {
        let named = self.named.borrow();
        let newest = named.get(&version.model);
        let at = newest.filter(|it| it.0 == version.number).map(|it| it.1);
        at.unwrap_or(self.node.clock.now())
    }

    /// Brings the replica to the version that it is to hold, again and again.
    pub(super) async fn update(self: Rc<Agent>) {
        let mut orders: Option<(Version, OrderBackoff)> = None;
        loop {
            let Some(version) = self.wanted() else {
                share::adopt_target(&self);
                tokio::select! {
                    () = self.node.changed.notified() => {}
                    () = actix_rt::time::sleep(RETRY) => {}
                }
                continue;
            };
            let started = self.node.clock.now();
            let brought = self.bring(&version).await;
            match brought {
                Ok(()) => {
                    orders = None;
                    if let Some(log) = self.node.logs.line(Topic::Weights) {
                        let took = self.node.clock.now().since(started);
                        info!(log, "weights loaded"; "model" => &version.model,
                            "version" => version.number, "ms" => took.as_millis() as u64);
                    }
                }
                Err(Stop::Superseded) => {
                    if let Some(log) = self.node.logs.line(Topic::Weights) {
                        info!(log, "weights superseded"; "model" => &version.model,
                            "version" => version.number);
                    }
                }
                Err(Stop::Failed(reason)) => {
                    self.not_loaded(&version, &reason, RETRY).await;
                }
                Err(Stop::Ended(reason)) => {
                    let known = orders.take().filter(|it| it.0 == version);
                    let mut ends = known.map_or(OrderBackoff::default(), |it| it.1);
                    let pause = RETRY.max(ends.record_exit());
                    orders = Some((version.clone(), ends));
                    self.not_loaded(&version, reason, pause).await;
                }
            }
        }
    }

    /// Waits before a version is tried again, unless a newer one is named meanwhile.
    async fn not_loaded(&self, version: &Version, reason: &str, pause: Duration) {
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

    /// The version to bring the replica to, if it answers and does not hold it.
    fn wanted(&self) -> Option<Version> {
        let target = self.target()?;
        let state = self.state.get()?;
        let holds = state.version.is_some_and(|it| target.number <= it);
        (!holds).then_some(target)
    }

    async fn bring(self: &Rc<Agent>, version: &Version) -> Result<(), Stop> {
        let named = self.named_at(version);
        let others = fill::fill(self, version).await?;
        let wave = self.turn(version, named, &others).await;
        self.mend(version).await?;
        self.loading.set(true);
        self.report();
        let loaded = self.load(version, wave).await;
        if self.target().as_ref() != Some(version) {
            let until = self
                .node
                .clock
                .now()
                .after_ms(wave.closed_ms(self.node.settings().version_ms));
            self.closed_until.set(until);
        }
        self.loading.set(false);
        self.ask().await;
        self.report();
        loaded
    }

    /// Checks what lies staged, as it is loaded as it is when the order is taken, and fetches again what
    /// is spoilt: a version that is superseded meanwhile would not be begun again.
    async fn mend(self: &Rc<Agent>, version: &Version) -> Result<(), Stop> {
        for _ in 0..MENDS {
            if fill::check(self, version).await.is_ok() {
                return Ok(());
            }
            fill::fill(self, version).await?;
        }
        Ok(fill::check(self, version).await?)
    }

    /// Waits until it is this replica's turn to load.
    async fn turn(&self, version: &Version, named: Time, others: &[u64]) -> Wave {
        let own = fill::node_hash(self.replica);
        let mut wave = Wave::new(version.number, own, others);
        let version_ms = self.node.settings().version_ms;
        let mut superseded_since = None;
        let ready = self.node.clock.now();
        loop {
            let serves = self.state.get().is_some_and(|it| it.version.is_some());
            let switched = self.switched(version);
            let now = self.node.clock.now();
            if let Some(newer) = self.target().filter(|it| it != version)
                && superseded_since.is_none()
            {
                superseded_since = Some(now);
                // Everybody waits for the newer version's readers, so they are done with this one first.
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
            actix_rt::time::sleep(ASK_LOADING).await;
        }
    }

    async fn load(&self, version: &Version, wave: Wave) -> Result<(), Stop> {
        actix_rt::time::sleep(HEADS_UP).await;
        self.idle().await?;
        let running = wave.running_requests(self.resumable.get());
        let serves = self.state.get().is_some_and(|it| it.version.is_some());
        if serves && running == RunningRequests::Finished {
            self.begun().await;
        }
        let load = Load {
            model: &version.model,
            version: version.number,
            fence: version.number,
            running,
        };
        let born = self.state.get().and_then(|it| it.born);
        let ordered = self.engine.load(load).await;
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            info!(log, "ordered"; "order" => ?load, "result" => ?ordered);
        }
        match ordered {
            Ok(LoadOutcome::Started) => self.loaded(version, born).await,
            Ok(LoadOutcome::Conflict) => Err("the replica is in another state".to_owned().into()),
            Ok(LoadOutcome::Fenced) => Err("a higher fence has been used".to_owned().into()),
            // It may have been taken all the same; what the replica holds will show.
            Err(fault) => Err(fault.to_string().into()),
        }
    }

    /// Waits until no order is in progress at the replica.
    async fn idle(&self) -> Result<(), String> {
        let until = self.node.clock.now().after_ms(LOAD_MS);
        while self.state.get().is_some_and(|it| it.busy) {
            if until <= self.node.clock.now() {
                return Err("an earlier order goes on".to_owned());
            }
            actix_rt::time::sleep(ASK_LOADING).await;
        }
        Ok(())
    }

    /// Waits until every request at the replica has begun, for a bounded time. One that has not, while
    /// the replica stands still, would begin on weights that are no longer allowed.
    async fn begun(&self) {
        let until = self.node.clock.now().after_ms(BEGIN_MS);
        while self.node.clock.now() < until && self.state.get().is_some_and(|it| 0 < it.queued) {
            actix_rt::time::sleep(ASK_LOADING).await;
        }
        // Those that have a slot still have their prompts read.
        actix_rt::time::sleep(PROMPTS).await;
    }

    /// Waits until the replica holds a version; `born` is the start of it that was ordered to.
    async fn loaded(&self, version: &Version, born: Option<u64>) -> Result<(), Stop> {
        let until = self.node.clock.now().after_ms(LOAD_MS);
        loop {
            let state = self.state.get();
            match state {
                Some(state) if state.version == Some(version.number) => return Ok(()),
                // It has forgotten the order.
                Some(state) if state.born.is_some() && born.is_some() && state.born != born => {
                    return Err(Stop::Ended("the replica started again"));
                }
                None => return Err(Stop::Ended("the replica does not answer")),
                Some(_) => {}
            }
            // What is loaded was fixed when the order was taken, so the next version's pieces can
            // be staged meanwhile.
            if self.target().as_ref() != Some(version) {
                return Err(Stop::Superseded);
            }
            if until <= self.node.clock.now() {
                return Err("the order shows no effect".to_owned().into());
            }
            actix_rt::time::sleep(ASK_LOADING).await;
        }
    }
}
