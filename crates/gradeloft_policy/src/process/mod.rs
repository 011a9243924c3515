//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`ages`]: since when the records of a table count as written.
//! - [`cadence`]: how often an entry tells others of itself.
//! - [`document`]: the operator's configuration.
//! - [`elsewhere`]: requests of others at replicas.
//! - [`ends`]: since when a table is known to go beyond a record.
//! - [`gaps`]: gaps between events that come again and again.
//! - [`gossip`]: which peers a node asks for the bundle in force.
//! - [`homes`]: regions to which the operator binds the requests of a route or team.
//! - [`leave`]: how an entry that was told to end treats its callers.
//! - [`membership`]: which peers there are, by the list and by what connections show.
//! - [`mirror`]: a copy of a table of the platform's store.
//! - [`news`]: what an entry tells others at once, and again.
//! - [`pending`]: what a peer announced of a table, while large values of it are still under way.
//! - [`readers`]: which entries read the platform's tables from its store.
//! - [`refresh`]: when an agent asks an entry for the operator's records.
//! - [`repeats`]: how often requests are sent again.
//! - [`replicas`]: the replicas of all services.
//! - [`roster`]: the entries that callers may be sent to.
//! - [`shares`]: shares of a rate between entries.
//! - [`speakers`]: which entries speak for their region.
//! - [`split`]: how the slots of replicas are split among entries.
//! - [`standing`]: what an entry makes of knowing that others have newer records.
//! - [`starts`]: which start of a replica something was said of.
//! - [`transfer`]: a large value on its way, and the peers that have it.
//! - [`warmup`]: how many requests a replica gets while it is cold.
//! - [`whole`]: until when a table is known to have had no more.

pub mod address;
pub mod ages;
pub mod cadence;
pub mod document;
pub mod elsewhere;
pub mod ends;
pub mod gaps;
pub mod gossip;
pub mod homes;
pub mod leave;
pub mod membership;
pub mod mirror;
pub mod news;
pub mod pending;
pub mod readers;
pub mod refresh;
pub mod repeats;
pub mod replicas;
pub mod roster;
pub mod shares;
pub mod speakers;
pub mod split;
pub mod standing;
pub mod starts;
pub mod transfer;
pub mod warmup;
pub mod whole;
