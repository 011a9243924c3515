//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`membership`]: which peers there are, by the list and by what connections show.

pub mod address;
pub mod membership;
