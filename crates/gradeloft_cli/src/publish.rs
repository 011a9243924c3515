//! Publishes a bundle and waits until it is in force.

use std::{fmt, rc::Rc, time::Duration};

use gradeloft_platform::{Fault, list::InstanceList, log::Log};
use gradeloft_policy::version::{
    bundle::Publisher,
    chain::{Refusal, Verdict},
};
use gradeloft_wire::record::{CONFIG, Record, SignedBundle};

use crate::{
    fleet,
    history::{History, describe_verdict},
};

/// Append attempts before the log is reported as unreachable.
const MAX_APPENDS: u32 = 5;
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the nodes' status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Reasons why a bundle was not published.
#[derive(Debug)]
pub enum PublishError {
    /// The log could not be reached; whether the bundle was appended is unknown.
    Log(Fault),
    /// The chain of accepted bundles refused the bundle.
    Refused(Refusal),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Log(fault) => write!(f, "the log can't be used: {fault}"),
            PublishError::Refused(refusal) => {
                f.write_str(&describe_verdict(&Verdict::Refused(refusal.clone())))
            }
        }
    }
}

/// Appends a signed bundle, reads the verdict on it from the log and returns the number of the
/// bundle then in force.
///
/// A repeated append of the same bundle is harmless: after a lost reply the log is read, and the
/// bundle is appended again if the first append did not take effect.
pub async fn publish(
    log: &dyn Log,
    trusted: &[Publisher],
    signed: &SignedBundle,
) -> Result<u64, PublishError> {
    let digest = signed.digest();
    let record = Record::Bundle(signed.clone()).encode();
    let mut last = Fault::Unreachable;
    for _ in 0..MAX_APPENDS {
        let appended = log.append(CONFIG, std::slice::from_ref(&record)).await;
        let history = History::read(log, trusted).await;
        match (appended, history) {
            (_, Ok(history)) => match history.verdict(digest) {
                Some(Verdict::Accepted | Verdict::Known) => return Ok(history.chain.number()),
                Some(Verdict::Refused(refusal)) => {
                    return Err(PublishError::Refused(refusal.clone()));
                }
                None => {}
            },
            (Err(fault), _) | (_, Err(fault)) => last = fault,
        }
        actix_rt::time::sleep(APPEND_RETRY_DELAY).await;
    }
    Err(PublishError::Log(last))
}

/// Progress of a bundle across the nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Nodes where the bundle, or a later one, is in force.
    pub reached: usize,
    /// Live nodes in the instance list.
    pub nodes: usize,
    /// Ids of the nodes where the bundle is not in force yet.
    pub lagging: Vec<String>,
}

impl Progress {
    /// Returns whether the bundle is in force on every live node, of which there has to be one.
    pub fn is_complete(&self) -> bool {
        0 < self.nodes && self.reached == self.nodes
    }
}

/// Waits at most `timeout` until a bundle is in force on every live node; calls `on_progress` after
/// each poll.
pub async fn wait_until_in_force(
    list: &Rc<dyn InstanceList>,
    number: u64,
    timeout: Duration,
    mut on_progress: impl FnMut(&Progress),
) -> Result<Progress, Fault> {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let members = fleet::fetch_members(list).await?;
        let live_nodes: Vec<_> = members.into_iter().filter(fleet::Member::is_live).collect();
        let lagging: Vec<String> = live_nodes
            .iter()
            .filter(|it| it.bundle_number() < number)
            .map(|it| it.instance.id.clone())
            .collect();
        let nodes = live_nodes.len();
        let progress = Progress {
            reached: nodes - lagging.len(),
            nodes,
            lagging,
        };
        on_progress(&progress);
        if progress.is_complete() || deadline <= tokio::time::Instant::now() {
            return Ok(progress);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
