//! Status of all nodes.

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

/// Timeout for the status request to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// A node of the instance list and its own status report.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Entry in the instance list.
    pub instance: Instance,
    /// Status report; absent when the node does not answer or another instance answers at its
    /// address.
    pub status: Option<Status>,
}

impl Member {
    /// Returns the number of the bundle in force on the node; 0 for none or unknown.
    pub fn bundle_number(&self) -> u64 {
        let bundle = self.status.as_ref().and_then(|it| it.bundle.as_ref());
        bundle.map_or(0, |it| it.number)
    }

    /// Returns whether the node is live; only live nodes are waited for when a bundle is published.
    pub fn is_live(&self) -> bool {
        self.instance.state == InstanceState::Live
    }
}

/// Requests the status of every node in the list concurrently.
pub async fn fetch_members(list: &Rc<dyn InstanceList>) -> Result<Vec<Member>, Fault> {
    let instances = list.instances().await?;
    Ok(join_all(instances.into_iter().map(fetch_member)).await)
}

async fn fetch_member(instance: Instance) -> Member {
    let status = match &instance.admin {
        Some(admin) => {
            let base = BaseClient::new(
                &format!("http://{admin}"),
                NODE_TIMEOUT,
                ConnectionReuse::PerCall,
            );
            let status: Option<Status> = base.get("/v1/status").await.ok();
            // The address may have been reassigned to another instance.
            status.filter(|it| it.node == instance.id)
        }
        None => None,
    };
    Member { instance, status }
}
