//! What lives for a process.
//!
//! - [`address`]: which entries a caller is told to use.
//! - [`write_times`]: since when the records of a table count as written.
//! - [`cadence`]: how often an entry tells others of itself.
//! - [`document`]: the operator's configuration.
//! - [`remote_loads`]: requests of others at replicas.
//! - [`latest_writes`]: since when a table is known to go beyond a record.
//! - [`gaps`]: gaps between events that come again and again.
//! - [`gossip`]: which peers a node asks for the bundle in force.
//! - [`allowed_regions`]: regions to which the operator binds the requests of a route or team.
//! - [`drain`]: how an entry that was told to end treats its callers.
//! - [`membership`]: which peers there are, by the list and by what connections show.
//! - [`mirror`]: a copy of a table of the platform's store.
//! - [`announcements`]: what an entry tells others at once, and again.
//! - [`pending_update`]: what a peer announced of a table, while large values of it are still under way.
//! - [`readers`]: which entries read the platform's tables from its store.
//! - [`refresh`]: when an agent asks an entry for the operator's records.
//! - [`retry_budget`]: how often requests are sent again.
//! - [`replicas`]: the replicas of all services.
//! - [`roster`]: the entries that callers may be sent to.
//! - [`rate_leases`]: shares of a rate between entries.
//! - [`delegates`]: which entries speak for their region.
//! - [`slot_split`]: how the slots of replicas are split among entries.
//! - [`freshness`]: what an entry makes of knowing that others have newer records.
//! - [`replica_starts`]: which start of a replica something was said of.
//! - [`transfer`]: a large value on its way, and the peers that have it.
//! - [`warmup`]: how many requests a replica gets while it is cold.
//! - [`earliest_writes`]: until when a table is known to have had no more.

pub mod address;
pub mod allowed_regions;
pub mod announcements;
pub mod cadence;
pub mod delegates;
pub mod document;
pub mod drain;
pub mod earliest_writes;
pub mod freshness;
pub mod gaps;
pub mod gossip;
pub mod latest_writes;
pub mod membership;
pub mod mirror;
pub mod pending_update;
pub mod rate_leases;
pub mod readers;
pub mod refresh;
pub mod remote_loads;
pub mod replica_starts;
pub mod replicas;
pub mod retry_budget;
pub mod roster;
pub mod slot_split;
pub mod transfer;
pub mod warmup;
pub mod write_times;
