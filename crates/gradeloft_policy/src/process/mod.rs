//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`document`]: the operator's configuration.
//! - [`ends`]: when peers first said that a table goes beyond a record.
//! - [`gossip`]: which peers a node asks for the bundle in force.
//! - [`membership`]: which peers there are, by the list and by what connections show.
//! - [`mirror`]: a copy of a table of the platform's store.
//! - [`readers`]: which entries read the platform's tables from its store.
//! - [`repeats`]: how often requests are sent again.
//! - [`replicas`]: the replicas of all services.
//! - [`roster`]: the entries that callers may be sent to.
//! - [`shares`]: shares of a rate between entries.
//! - [`split`]: how the slots of replicas are split among entries.
//! - [`standing`]: what an entry makes of knowing that others have newer records.

pub mod address;
pub mod document;
pub mod ends;
pub mod gossip;
pub mod membership;
pub mod mirror;
pub mod readers;
pub mod repeats;
pub mod replicas;
pub mod roster;
pub mod shares;
pub mod split;
pub mod standing;
