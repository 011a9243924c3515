//! The platform's services and the endpoints, as gradeloft uses them: a trait for each, and its
//! HTTP adapter.
//!
//! - [`endpoint`]: model engines and plain services.
//! - [`fleet`]: the store, engines and origin of a platform that keeps tables and cuts weights into
//!   numbered pieces.
//! - [`http`]: the client that the adapters share.
//! - [`list`]: the list of instances.
//! - [`log`]: the append-only log.
//! - [`weights`]: the weight store and the origin.
//!
//! Decisions know the traits only, so an adapter for another protocol replaces one of these
//! without touching them.

pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod list;
pub mod log;
pub mod weights;

use std::fmt;

use futures_util::future::LocalBoxFuture;

/// What a call gives, later.
pub type CallFuture<'a, T> = LocalBoxFuture<'a, Result<T, Fault>>;

/// Why a call to the platform or an endpoint failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The answer began, and broke off or stopped: the call may have taken effect.
    Broken,
    /// The other side asks to come back after so many milliseconds; it did nothing.
    Limited {
        /// Milliseconds to wait.
        retry_after_ms: u64,
    },
    /// The connection broke, or the time ran out, after something was sent: the call may have
    /// taken effect.
    Lost,
    /// The answer can't be read.
    Malformed,
    /// It is not there.
    Missing,
    /// The other side refused and did nothing.
    Refused(String),
    /// Another HTTP status.
    Status(u16),
    /// The answer is larger than what is read at once.
    TooLarge,
    /// No connection could be made: nothing was sent.
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

/// The names that most users of this crate want.
pub mod prelude {
    pub use crate::{
        CallFuture, Fault, endpoint::Engine, endpoint::Service, list::InstanceList, log::Log,
        weights::WeightSource,
    };
}
