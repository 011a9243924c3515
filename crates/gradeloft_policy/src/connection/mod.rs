//! What lives for a connection.
//!
//! - [`health`]: whether a peer can be relied on at present.
//! - [`pace`]: how fast weights may go, beside live requests.
//! - [`window`]: how many pieces of weights are asked for at once.

pub mod health;
pub mod pace;
pub mod window;
