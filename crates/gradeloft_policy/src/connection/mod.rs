//! State and decisions that last for one connection.
//!
//! - [`health`]: whether a peer is usable.
//! - [`pace`]: transfer rate of weights while live requests are present.
//! - [`window`]: number of concurrent requests for chunks of weights.

pub mod health;
pub mod pace;
pub mod window;
