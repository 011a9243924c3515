//! What lives for a bundle or a version of weights.
//!
//! - [`bundle`]: checks, canonical form, signatures.
//! - [`chain`]: which published bundle is in force.
//! - [`manifest`]: the chunks of a version.
//! - [`order_backoff`]: how soon a replica is ordered again to load a version.
//! - [`outside_sources`]: when to read the weight store or the origin.
//! - [`partners`]: which agents tell each other what they hold.
//! - [`named_versions`]: which versions requests may begin on.
//! - [`placement`]: which replica holds which model.
//! - [`readers`]: which agents read a version from the origin.
//! - [`fetch`]: which chunk to fetch next, and from where.
//! - [`upload`]: which peer's request for a chunk is served when.
//! - [`rollout`]: which version requests are pinned to.
//! - [`turns`]: which replica may be taken down now.
//! - [`waves`]: when each replica takes a new version.

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
pub mod turns;
pub mod upload;
pub mod waves;
