//! The platform's list of live and leaving instances, which may be stale.

use std::time::Duration;

use futures_util::FutureExt;
use gradeloft_wire::border::platform::{Instance, Instances};

use crate::{
    CallFuture,
    http::{BaseClient, ConnectionReuse},
};

/// Interface of the list of instances.
pub trait InstanceList {
    /// Returns all instances on the list.
    fn instances(&self) -> CallFuture<'_, Vec<Instance>>;
}

/// A client of the list over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// Creates a client of the list at a base URL; `timeout` limits the time to the response head.
    pub fn new(url: &str, timeout: Duration) -> Http {
        Http(BaseClient::new(url, timeout, ConnectionReuse::KeepAlive))
    }
}

impl InstanceList for Http {
    fn instances(&self) -> CallFuture<'_, Vec<Instance>> {
        async move {
            let list: Instances = self.0.get("/v1/instances").await?;
            Ok(list.instances)
        }
        .boxed_local()
    }
}
