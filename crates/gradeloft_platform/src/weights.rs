//! The weight store and the origin: content by digest.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use gradeloft_wire::id::Digest;

use crate::{
    CallFuture,
    http::{BaseClient, ConnectionReuse},
};

/// A source of weights outside the fleet.
pub trait WeightSource {
    /// Content named by a digest, at most `max_bytes`; the caller checks the digest.
    fn content(&self, digest: Digest, max_bytes: usize) -> CallFuture<'_, Bytes>;
}

/// A source over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// A source at a base URL, read from an address of this instance if one is given.
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
