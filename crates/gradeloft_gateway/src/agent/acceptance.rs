//! Loads for which it is uncertain when the replica accepted the order.
//!
//! The process can be paused after it checked the age of a verification, and a response can be
//! lost. The replica stays closed until it is known that the loaded chunks were intact.

use gradeloft_platform::Fault;
use gradeloft_policy::version::{suspect_load::SuspectLoad, verification::Verification};
use slog::{error, info};

use super::{
    Agent, LOADING_POLL_INTERVAL, Version,
    deploy::{DeployError, holds_load},
    staging,
};
use crate::logs::Topic;

/// Maximum number of verifications after a load was accepted; a read also fails if the replica
/// does not respond at that moment.
const MAX_CONFIRMATIONS: usize = 3;

impl Agent {
    /// Waits until the replica's state shows whether the replica accepted an order whose call
    /// failed. There is no time limit, as an unresponsive replica may accept the order once it
    /// responds again.
    pub(super) async fn settle_order(
        &self,
        version: &Version,
        verification: Verification,
        fault: Fault,
    ) -> Result<(), DeployError> {
        loop {
            self.update_state().await;
            match self.state.get() {
                Some(state) if holds_load(state, version) => return Ok(()),
                Some(state) if verification.is_of_other_start(state.born) => {
                    return Err(DeployError::ReplicaExited("the replica restarted"));
                }
                Some(_) => return Err(fault.to_string().into()),
                None => actix_rt::time::sleep(LOADING_POLL_INTERVAL).await,
            }
        }
    }

    /// Verifies the staged chunks after their load was accepted. A corrupt chunk stays corrupt
    /// until it is staged again, so chunks that are intact now were intact then. If they are not,
    /// the replica stays closed for as long as it may hold this load.
    pub(super) async fn confirm_load(&self, version: &Version, born: Option<u64>) {
        for _ in 0..MAX_CONFIRMATIONS {
            if staging::verify(self, version).await.is_ok() {
                return;
            }
            actix_rt::time::sleep(LOADING_POLL_INTERVAL).await;
        }
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            error!(log, "loaded chunks may be corrupt"; "model" => &version.model,
                "version" => version.number);
        }
        self.node.metrics.suspect_loads.inc();
        self.suspect_load.set(Some(SuspectLoad {
            born,
            version: version.number,
        }));
    }

    /// Ends the exclusion of the replica once it no longer holds a suspect load.
    pub(super) fn update_suspect_load(&self) {
        let (Some(load), Some(state)) = (self.suspect_load.get(), self.state.get()) else {
            return;
        };
        if load.may_be_held(state.born, state.version, state.busy) {
            return;
        }
        self.suspect_load.set(None);
        if let Some(log) = self.node.logs.line(Topic::Weights) {
            info!(log, "suspect load replaced"; "version" => load.version, "state" => ?state);
        }
    }
}
