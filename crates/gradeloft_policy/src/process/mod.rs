//! Decisions whose state lasts as long as the process.
//!
//! - [`address`]: orders the entries that a caller can use.
//! - [`allowed_regions`]: regions in which the requests of a route or team may be served.
//! - [`announcements`]: schedules announcements to other entries and their repetition.
//! - [`api_keys`]: API keys of the teams.
//! - [`backpressure`]: backpressure that replicas signal in their responses.
//! - [`cadence`]: derives the interval between messages from a byte budget.
//! - [`delegates`]: selects the entries that send messages to other regions on behalf of their own
//!   region.
//! - [`document`]: the operator's configuration.
//! - [`drain`]: handles callers while an entry shuts down.
//! - [`earliest_writes`]: lower bounds for the times at which records of a table were written.
//! - [`freshness`]: rates an entry by the operator's records that it lacks.
//! - [`gaps`]: detects gaps between recurring events.
//! - [`gossip`]: selects the peers from which a node requests the bundle in force.
//! - [`latest_writes`]: upper bounds for the times at which records of a table were written.
//! - [`membership`]: the peers, by the platform's list and by the state of connections.
//! - [`mirror`]: a copy of a table of the platform's store.
//! - [`occupancy`]: requests at a replica that no known entry accounts for.
//! - [`peer_regions`]: whether the processes that send datagrams are in the own region.
//! - [`pending_update`]: a table update from a peer whose large values are still being fetched.
//! - [`rate_leases`]: splits the rate limit of a team among entries by leases.
//! - [`rate_share`]: splits the request rate that a replica accepts among entries.
//! - [`readers`]: selects the entries that read the platform's tables from its store.
//! - [`refresh`]: schedules the reads of the operator's records by an agent.
//! - [`remote_loads`]: requests of other entries at replicas.
//! - [`replica_starts`]: assigns messages about a replica to its starts.
//! - [`replicas`]: the replicas of all services.
//! - [`retry_budget`]: limits the number of repeated requests.
//! - [`roster`]: the entries that callers can be sent to.
//! - [`signal_reports`]: schedules reports of replicas' backpressure to other entries.
//! - [`slot_split`]: splits the slots of replicas among entries.
//! - [`store_reads`]: trust in removals, by the reads of the store that succeeded.
//! - [`team_shares`]: splits scarce replica time among teams.
//! - [`transfer`]: fetches a large value from the peers that hold it.
//! - [`write_times`]: estimates the times at which records of a table were written.
//! - [`zones`]: availability zones that datagrams name.

pub mod address;
pub mod allowed_regions;
pub mod announcements;
pub mod api_keys;
pub mod backpressure;
pub mod cadence;
pub mod delegates;
pub mod document;
pub mod drain;
pub mod earliest_writes;
pub mod freshness;
pub mod gaps;
pub mod gossip;
pub mod latest_writes;
pub mod lineage;
pub mod membership;
pub mod mirror;
pub mod occupancy;
pub mod peer_regions;
pub mod pending_update;
pub mod rate_leases;
pub mod rate_share;
pub mod readers;
pub mod refresh;
pub mod remote_loads;
pub mod replica_starts;
pub mod replicas;
pub mod retry_budget;
pub mod roster;
pub mod signal_reports;
pub mod slot_split;
pub mod store_reads;
pub mod team_shares;
pub mod transfer;
pub mod write_times;
pub mod zones;
