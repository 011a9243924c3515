//! The platform's list of live and leaving instances, which lags.

use std::time::Duration;

use futures_util::FutureExt;
use gradeloft_wire::border::platform::{Instance, Instances};

use crate::{
    Answer,
    http::{Base, Reuse},
};

/// The list, as gradeloft uses it.
pub trait List {
    /// All instances that the platform knows of.
    fn instances(&self) -> Answer<'_, Vec<Instance>>;
}

/// The list over HTTP.
#[derive(Clone)]
pub struct Http(Base);

impl Http {
    /// A list at a base URL.
    pub fn new(url: &str, timeout: Duration) -> Http {
        Http(Base::new(url, timeout, Reuse::Kept))
    }
}

impl List for Http {
    fn instances(&self) -> Answer<'_, Vec<Instance>> {
        async move {
            let list: Instances = self.0.get("/v1/instances").await?;
            Ok(list.instances)
        }
        .boxed_local()
    }
}
