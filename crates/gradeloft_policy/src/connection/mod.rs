//! What lives for a connection.
//!
//! - [`health`]: whether a peer can be relied on at present.
//! - [`pace`]: how fast weights may go, beside live requests.

pub mod health;
pub mod pace;
