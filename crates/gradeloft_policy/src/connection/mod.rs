//! State and decisions that last for one connection.
//!
//! - [`health`]: whether a peer is usable.
//! - [`intake`]: what all clients of a listener together make a process hold.
//! - [`pace`]: transfer rate of weights while live requests are present.
//! - [`window`]: number of concurrent requests for chunks of weights.

pub mod health;
pub mod intake;
pub mod pace;
pub mod window;
