//! The weight store and the origin, which serve content by digest.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use gradeloft_wire::id::Digest;

use crate::{
    CallFuture,
    http::{BaseClient, ConnectionReuse},
};

/// Interface of a weight source other than the instances.
pub trait WeightSource {
    /// Returns the content with this digest, of at most `max_bytes`; the caller verifies the
    /// digest.
    fn content(&self, digest: Digest, max_bytes: usize) -> CallFuture<'_, Bytes>;
}

/// A client of a source over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// Creates a client of the source at a base URL, with the local address `source` if one is
    /// given; `timeout` limits the time to the response head.
    pub fn new(url: &str, timeout: Duration, source: Option<IpAddr>) -> Http {
        Http(BaseClient::from(
            url,
            timeout,
            ConnectionReuse::KeepAlive,
            source,
        ))
    }
}

impl WeightSource for Http {
    fn content(&self, digest: Digest, max_bytes: usize) -> CallFuture<'_, Bytes> {
        async move {
            self.0
                .bytes(&format!("/v1/content/{digest}"), max_bytes)
                .await
        }
        .boxed_local()
    }
}
