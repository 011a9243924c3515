//! Decisions about configuration bundles and versions of weights.
//!
//! - [`bundle`]: validation, canonical form and signatures of bundles.
//! - [`chain`]: selection of the published bundle that is in force.
//! - [`manifest`]: list of the chunks of a version.
//! - [`order_backoff`]: pause between orders to a replica to load a version.
//! - [`outside_sources`]: access to the weight store and the origin.
//! - [`partners`]: selection of the peers whose holdings an agent follows.
//! - [`named_versions`]: versions on which requests may begin.
//! - [`placement`]: assignment of models to replicas.
//! - [`readers`]: selection of the agents that read a version from the origin.
//! - [`fetch`]: selection of the next chunk to fetch and of its source.
//! - [`upload`]: admission of peers' requests for chunks.
//! - [`rollout`]: version to which requests are pinned.
//! - [`suspect_load`]: load of chunks that may have been corrupt.
//! - [`turns`]: leases that bound how many replicas are down at once.
//! - [`verification`]: time for which a verification of staged chunks is valid.
//! - [`waves`]: time at which each replica loads a new version.

pub mod bundle;
pub mod chain;
pub mod fetch;
pub mod manifest;
pub mod named_versions;
pub mod order_backoff;
pub mod outside_sources;
pub mod partners;
pub mod placement;
pub mod readers;
pub mod rollout;
pub mod suspect_load;
pub mod turns;
pub mod upload;
pub mod verification;
pub mod waves;
