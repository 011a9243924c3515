//! Interfaces to the platform's services and to endpoints: a trait for each, with an HTTP
//! implementation.
//!
//! - [`connector`]: connections of HTTP clients.
//! - [`endpoint`]: model engines and plain services.
//! - [`fleet`]: the store, engines and origin of a platform with tables of records and weights in
//!   numbered chunks.
//! - [`http`]: the HTTP client shared by the implementations.
//! - [`list`]: the list of instances.
//! - [`log`]: the append-only log.
//! - [`weights`]: the weight store and the origin.
//!
//! The other crates depend on the traits only, so an implementation can be replaced by one for
//! another protocol without changes to the other crates.

pub mod connector;
pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod list;
pub mod log;
pub mod weights;

use std::fmt;

use futures_util::future::LocalBoxFuture;

/// Future of a call to the platform or an endpoint.
pub type CallFuture<'a, T> = LocalBoxFuture<'a, Result<T, Fault>>;

/// Why a call to the platform or an endpoint failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The response was interrupted after it began; the call may have taken effect.
    Broken,
    /// The call was rate limited and had no effect.
    Limited {
        /// Time until a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The connection failed, or the call timed out, after something was sent; the call may have
    /// taken effect.
    Lost,
    /// The response can't be decoded.
    Malformed,
    /// The requested item does not exist.
    Missing,
    /// The call was refused for this reason and had no effect.
    Refused(String),
    /// The response has another HTTP status.
    Status(u16),
    /// The response exceeds the size limit.
    TooLarge,
    /// No connection could be established; nothing was sent.
    Unreachable,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Broken => f.write_str("answer broke off"),
            Fault::Limited { retry_after_ms } => write!(f, "limited for {retry_after_ms} ms"),
            Fault::Lost => f.write_str("reply lost"),
            Fault::Malformed => f.write_str("malformed answer"),
            Fault::Missing => f.write_str("missing"),
            Fault::Refused(reason) => write!(f, "refused: {reason}"),
            Fault::Status(status) => write!(f, "status {status}"),
            Fault::TooLarge => f.write_str("answer too large"),
            Fault::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        CallFuture, Fault, endpoint::Engine, endpoint::Service, list::InstanceList, log::Log,
        weights::WeightSource,
    };
}
