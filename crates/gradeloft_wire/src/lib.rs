//! Messages between gradeloft's processes, the platform and callers.
//!
//! - [`border`]: types generated from the JSON Schemas under `schema/`.
//! - [`codec`]: length-prefixed bincode frames with bounded sizes.
//! - [`datagram`]: state that processes send each other several times a second.
//! - [`error`]: the closed list of error kinds and the response to each.
//! - [`frame`]: messages between gradeloft's own processes.
//! - [`id`]: digests, fingerprints and ids.
//! - [`position`]: positions of records in the tables of the platform's store.
//! - [`quarantine`]: requests and parts of prompts suspected of crashing replicas.
//! - [`record`]: records that gradeloft appends to the platform's log.
//! - [`schema`]: validation of documents against the schemas.

pub mod border;
pub mod codec;
pub mod datagram;
pub mod error;
pub mod frame;
pub mod id;
pub mod position;
pub mod quarantine;
pub mod record;
pub mod schema;

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        border::{bundle::Bundle, manifest::Manifest, settings::Settings},
        error::{Kind, Ran},
        frame::{Call, Pin, Reply, Work},
        id::{Digest, RequestId},
    };
}
