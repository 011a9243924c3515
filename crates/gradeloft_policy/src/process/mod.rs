//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`membership`]: which peers there are, by the list and by what connections show.
//! - [`shares`]: shares of a rate between entries.

pub mod address;
pub mod membership;
pub mod shares;
