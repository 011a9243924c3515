//! The state of all nodes.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use gradeloft_platform::{
    Fault,
    http::{BaseClient, ConnectionReuse},
    list::InstanceList,
};
use gradeloft_wire::border::{
    caller::Status,
    platform::{Instance, InstanceState},
};
use serde::Serialize;

/// Time for a node to answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// One node of the list, and what it says of itself.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The list's entry.
    pub instance: Instance,
    /// Its status; absent when it does not answer, or another instance does in its place.
    pub status: Option<Status>,
}

impl Member {
    /// Number of the bundle in force there; 0 for none or unknown.
    pub fn bundle(&self) -> u64 {
        let bundle = self.status.as_ref().and_then(|it| it.bundle.as_ref());
        bundle.map_or(0, |it| it.number)
    }

    /// Whether it counts when a bundle is to be in force everywhere.
    pub fn counts(&self) -> bool {
        self.instance.state == InstanceState::Live
    }
}

/// Asks every node of the list, all at once.
pub async fn status(list: &Rc<dyn InstanceList>) -> Result<Vec<Member>, Fault> {
    let instances = list.instances().await?;
    Ok(join_all(instances.into_iter().map(member)).await)
}

async fn member(instance: Instance) -> Member {
    let status = match &instance.admin {
        Some(admin) => {
            let base = BaseClient::new(
                &format!("http://{admin}"),
                NODE_TIMEOUT,
                ConnectionReuse::PerCall,
            );
            let status: Option<Status> = base.get("/v1/status").await.ok();
            // Its address may have gone to another instance meanwhile.
            status.filter(|it| it.node == instance.id)
        }
        None => None,
    };
    Member { instance, status }
}
