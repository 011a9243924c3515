//! The platform's list of live and leaving instances, which lags.

use std::time::Duration;

use futures_util::FutureExt;
use gradeloft_wire::border::platform::{Instance, Instances};

use crate::{
    CallFuture,
    http::{BaseClient, ConnectionReuse},
};

/// The list, as gradeloft uses it.
pub trait InstanceList {
    /// All instances that the platform knows of.
    fn instances(&self) -> CallFuture<'_, Vec<Instance>>;
}

/// The list over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// A list at a base URL.
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
