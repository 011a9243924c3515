//! A bundle on its way into force.

use std::{fmt, rc::Rc, time::Duration};

use gradeloft_platform::{Fault, list::InstanceList, log::Log};
use gradeloft_policy::version::{
    bundle::Publisher,
    chain::{Refusal, Verdict},
};
use gradeloft_wire::record::{CONFIG, Record, SignedBundle};

use crate::{
    fleet,
    history::{History, describe},
};

/// Appends tried before the log counts as unreachable.
const APPENDS: u32 = 5;
const APPEND_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks at the nodes.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Why a bundle was not published.
#[derive(Debug)]
pub enum PublishError {
    /// The log could not be reached; whether the bundle was appended is unknown.
    Log(Fault),
    /// The fold refused it.
    Refused(Refusal),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Log(fault) => write!(f, "the log can't be used: {fault}"),
            PublishError::Refused(refusal) => {
                f.write_str(&describe(&Verdict::Refused(refusal.clone())))
            }
        }
    }
}

/// Appends a signed bundle and reads back what became of it. Appending again is harmless, so a
/// lost reply is settled by reading, and by another append if the first one did not take effect.
pub async fn publish(
    log: &dyn Log,
    trusted: &[Publisher],
    signed: &SignedBundle,
) -> Result<u64, PublishError> {
    let digest = signed.digest();
    let record = Record::Bundle(signed.clone()).encode();
    let mut last = Fault::Unreachable;
    for _ in 0..APPENDS {
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
        actix_rt::time::sleep(APPEND_PAUSE).await;
    }
    Err(PublishError::Log(last))
}

/// How far a bundle has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Nodes where it, or a later one, is in force.
    pub reached: usize,
    /// Live nodes of the list.
    pub nodes: usize,
    /// Names of those where it is not in force yet.
    pub lagging: Vec<String>,
}

/// Waits until a bundle is in force on every live node, at most `bound`; shows each progress.
pub async fn wait_until_in_force(
    list: &Rc<dyn InstanceList>,
    number: u64,
    bound: Duration,
    mut show: impl FnMut(&Progress),
) -> Result<Progress, Fault> {
    let give_up = tokio::time::Instant::now() + bound;
    loop {
        let members = fleet::status(list).await?;
        let counted: Vec<_> = members.into_iter().filter(fleet::Member::counts).collect();
        let lagging: Vec<String> = counted
            .iter()
            .filter(|it| it.bundle() < number)
            .map(|it| it.instance.id.clone())
            .collect();
        let nodes = counted.len();
        let progress = Progress {
            reached: nodes - lagging.len(),
            nodes,
            lagging,
        };
        show(&progress);
        if progress.reached == nodes || give_up <= tokio::time::Instant::now() {
            return Ok(progress);
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}
