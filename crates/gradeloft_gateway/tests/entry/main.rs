//! Tests of an entry with scripted replicas, peers and stores.

mod backpressure;
mod caller_disconnects;
mod cut_heads;
mod cut_requests;
mod draining;
mod early_ends;
mod endless_responses;
mod forward;
mod gossip;
mod lagging_entry;
mod large_records;
mod newcomers;
mod placement;
mod quarantine;
mod quarantine_parts;
mod queueing;
mod removals;
mod replica_restarts;
mod returns;
mod stalled_replicas;
mod started_entry;
mod store_outage;
mod store_restored;
mod support;
mod suspended;
